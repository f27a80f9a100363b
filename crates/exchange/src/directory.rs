//! Selects the entry VMs that are advertised to a caller.

use std::net;

use tokio::time;

use crate::{message, peers};

/// Maximum number of addresses in one answer.
const MAX_ADDRESSES: usize = 64;
/// Minimum number of VMs of the caller's own failure domain: with fewer, the loss of one would
/// leave the caller with none until it asks again.
const MIN_NEAR_ADDRESSES: usize = 2;

/// This VM as it is listed for callers.
#[derive(Clone, Debug)]
pub struct OwnEntry {
    /// Failure domain.
    pub domain: String,
    /// Stage of this VM.
    pub stage: message::VmStage,
    /// Address for callers.
    pub address: net::SocketAddr,
}

/// Addresses for a caller in `domain`: VMs of its own failure domain if there are enough, otherwise
/// all.
#[must_use]
pub fn addresses(
    own: &OwnEntry,
    peers: &peers::PeerTable,
    domain: &str,
    now: time::Instant,
) -> Vec<net::SocketAddr> {
    let mut near = Vec::new();
    let mut far = Vec::new();
    let others = peers
        .all()
        .filter(|(_, peer)| peer.serves(now))
        .map(|(_, peer)| (peer.domain.as_str(), peer.entry_address));
    let own =
        (own.stage == message::VmStage::Serving).then_some((own.domain.as_str(), own.address));
    for (other, address) in own.into_iter().chain(others) {
        if other == domain {
            near.push(address)
        } else {
            far.push(address)
        }
    }
    if near.len() < MIN_NEAR_ADDRESSES {
        near.append(&mut far);
    }
    near.truncate(MAX_ADDRESSES);
    near
}

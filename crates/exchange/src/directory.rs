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
    /// Whether this VM reaches no server.
    pub cut_off: bool,
}

/// A VM that serves callers.
#[derive(Clone, Copy, Debug)]
struct ServingVm<'a> {
    domain: &'a str,
    address: net::SocketAddr,
    cut_off: bool,
}

/// Addresses for a caller in `domain`: VMs of its own failure domain if there are enough, otherwise
/// all. VMs that reach no server are left out, unless no VM reaches any.
#[must_use]
pub fn addresses(
    own: &OwnEntry,
    peers: &peers::PeerTable,
    domain: &str,
    now: time::Instant,
) -> Vec<net::SocketAddr> {
    let own = (own.stage == message::VmStage::Serving).then_some(ServingVm {
        domain: &own.domain,
        address: own.address,
        cut_off: own.cut_off,
    });
    let others = peers.all().filter(|(_, peer)| peer.serves(now));
    let others = others.map(|(_, peer)| ServingVm {
        domain: &peer.domain,
        address: peer.entry_address,
        cut_off: peer.cut_off,
    });
    let mut serving: Vec<_> = own.into_iter().chain(others).collect();
    if serving.iter().any(|vm| !vm.cut_off) {
        serving.retain(|vm| !vm.cut_off);
    }
    let (mut near, far): (Vec<_>, Vec<_>) = serving.into_iter().partition(|vm| vm.domain == domain);
    if near.len() < MIN_NEAR_ADDRESSES {
        near.extend(far);
    }
    near.truncate(MAX_ADDRESSES);
    near.iter().map(|vm| vm.address).collect()
}

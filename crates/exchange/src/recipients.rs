//! Selects which VMs receive which datagrams, depending on the number of VMs.
//!
//! Load pattern: every VM sends its load to every other, so the traffic that one VM receives grows
//! with the number of VMs, and the total with its square. Up to [`MAX_MESH_VMS`] VMs a full mesh is
//! the best choice. Beyond it, VMs of the same failure domain (to which callers are sent, and which
//! share the nearest engines) still receive every datagram, while the others take turns. Updates of
//! servers, of which thousands of servers produce hundreds a second, go through a few relay VMs,
//! each of which forwards them to its group.

use std::net;

use tokio::time;

use crate::peers;

/// Number of VMs up to which each sends to all others every time. At 100 VMs with ten servers each,
/// a VM sends and receives 57 KB a second this way; at 300 it was 1.4 MB.
pub const MAX_MESH_VMS: usize = 128;
/// Number of turns in which each VM of another failure domain receives one datagram. Its view of
/// the sender's load is then at most 2.4 s old, which is still accepted.
pub const FAR_TURNS: u64 = 4;
/// Number of VMs on each side of a group that also receive its updates, because relays may know of
/// slightly more or fewer VMs than others do.
const GROUP_OVERLAP: usize = 2;

/// Whether there are too many VMs for a full mesh.
#[must_use]
pub const fn is_large(others: usize) -> bool {
    others > MAX_MESH_VMS
}

/// All VMs that count as alive.
#[must_use]
pub fn alive(table: &peers::PeerTable, now: time::Instant) -> Vec<net::SocketAddr> {
    let alive = table.all().filter(|(_, peer)| peer.is_alive(now));
    alive.map(|(_, peer)| peer.link_address).collect()
}

/// Known VMs that do not count as alive.
#[must_use]
pub fn silent(table: &peers::PeerTable, now: time::Instant) -> Vec<net::SocketAddr> {
    let silent = table.all().filter(|(_, peer)| !peer.is_alive(now));
    silent.map(|(_, peer)| peer.link_address).collect()
}

/// VMs of this VM's failure domain that count as alive.
#[must_use]
pub fn near(table: &peers::PeerTable, now: time::Instant) -> Vec<net::SocketAddr> {
    let alive = table.all().filter(|(_, peer)| peer.is_alive(now));
    let near = alive.filter(|(_, peer)| peer.near);
    near.map(|(_, peer)| peer.link_address).collect()
}

/// VMs that receive the regular datagram of a turn.
#[must_use]
pub fn regular(table: &peers::PeerTable, turn: u64, now: time::Instant) -> Vec<net::SocketAddr> {
    if !is_large(table.len()) {
        return alive(table, now);
    }
    // Turns go by the position among all known VMs. If they went by the position among those alive,
    // each VM that falls silent would shift others to a turn that has just passed, so that they
    // would look silent in turn.
    let mut far = 0;
    let due = table.all().filter(|(_, peer)| {
        if peer.near {
            return true;
        }
        far += 1;
        far % FAR_TURNS == turn % FAR_TURNS
    });
    let alive = due.filter(|(_, peer)| peer.is_alive(now));
    alive.map(|(_, peer)| peer.link_address).collect()
}

/// Relays: the VMs that receive updates directly, one of each group, each to forward them to its
/// group. `None` while all VMs receive updates directly.
#[must_use]
pub fn relays(
    table: &peers::PeerTable,
    own: &str,
    turn: u64,
    now: time::Instant,
) -> Option<Vec<net::SocketAddr>> {
    if !is_large(table.len()) {
        return None;
    }
    let ranked = ranked(table, own, now);
    let length = group_length(ranked.len());
    let relays = ranked.chunks(length).filter_map(|group| {
        let others: Vec<_> = group.iter().flatten().collect();
        let index = usize::try_from(turn).unwrap_or_default() % others.len().max(1);
        others.get(index).map(|address| **address)
    });
    Some(relays.collect())
}

/// VMs to which this one forwards updates: its own group and a few VMs on each side.
#[must_use]
pub fn relay_group(
    table: &peers::PeerTable,
    own: &str,
    now: time::Instant,
) -> Vec<net::SocketAddr> {
    let ranked = ranked(table, own, now);
    let length = group_length(ranked.len());
    let rank = ranked.iter().position(Option::is_none).unwrap_or_default();
    let first = rank - rank % length;
    let last = (first + length + GROUP_OVERLAP).min(ranked.len());
    let group = &ranked[first.saturating_sub(GROUP_OVERLAP)..last];
    group.iter().flatten().copied().collect()
}

/// All VMs that count as alive, ordered by failure domain and name, which gives the same order on
/// each VM; this VM has no address. A group then lies within one domain except at its ends, which
/// saves expensive traffic between domains.
fn ranked(table: &peers::PeerTable, own: &str, now: time::Instant) -> Vec<Option<net::SocketAddr>> {
    let alive = table.all().filter(|(_, peer)| peer.is_alive(now));
    let placed = alive.map(|(name, peer)| {
        let address = Some(peer.link_address);
        (peer.domain.as_str(), name.as_str(), address)
    });
    let own = (table.own_domain(), own, None);
    let mut ranked: Vec<_> = placed.chain([own]).collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, _, address)| address).collect()
}

/// Length of a group: there are as many groups as each has members. The first sender and each relay
/// then send equally much, and the total is smallest.
fn group_length(vms: usize) -> usize {
    vms.isqrt().max(1)
}

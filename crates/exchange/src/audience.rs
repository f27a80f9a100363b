//! Who is told what, as there are more VMs.
//!
//! Load pattern: every VM tells every other what it has, so what one VM hears grows with their
//! number, and what all hear with its square. Up to [`MESH_MOST`] VMs that is the best there is.
//! Beyond it, a VM of the same failure domain (which callers are sent to, and which shares the
//! nearest engines) is told as before, the others by turns; news of servers, of which thousands of
//! servers make hundreds a second, goes through a few VMs that each tell a part of the others.

use std::net;

use tokio::time;

use crate::peers;

/// VMs up to which each tells all others each time. At 100, with ten servers to a VM, a VM sends and
/// hears 57 KB a second by it; at 300 it was 1.4 MB.
pub const MESH_MOST: usize = 128;
/// Turns in which VMs of other failure domains are told once: what they have on servers is then
/// 2.4 s old at the most, and still counts.
pub const FAR_TURNS: u64 = 4;
/// VMs on each side of a part that are told as well: those that tell on may know of some more or
/// some fewer VMs than others do.
const PART_OVERLAP: usize = 2;

/// Whether there are too many VMs for all to be told each time.
#[must_use]
pub const fn is_large(others: usize) -> bool {
    others > MESH_MOST
}

/// All VMs that are heard.
#[must_use]
pub fn heard(table: &peers::PeerTable, now: time::Instant) -> Vec<net::SocketAddr> {
    let heard = table.all().filter(|(_, peer)| peer.is_heard(now));
    heard.map(|(_, peer)| peer.link_address).collect()
}

/// VMs that are known and not heard.
#[must_use]
pub fn silent(table: &peers::PeerTable, now: time::Instant) -> Vec<net::SocketAddr> {
    let silent = table.all().filter(|(_, peer)| !peer.is_heard(now));
    silent.map(|(_, peer)| peer.link_address).collect()
}

/// VMs of this one's failure domain that are heard.
#[must_use]
pub fn near(table: &peers::PeerTable, now: time::Instant) -> Vec<net::SocketAddr> {
    let heard = table.all().filter(|(_, peer)| peer.is_heard(now));
    let near = heard.filter(|(_, peer)| peer.near);
    near.map(|(_, peer)| peer.link_address).collect()
}

/// VMs that get the regular datagram of a turn.
#[must_use]
pub fn regular(table: &peers::PeerTable, turn: u64, now: time::Instant) -> Vec<net::SocketAddr> {
    if !is_large(table.len()) {
        return heard(table, now);
    }
    // Turns go by the place among all that are known. By that among those that are heard, each VM that
    // falls silent would move others to a turn that is just over, and so make them silent in turn.
    let mut far = 0;
    let due = table.all().filter(|(_, peer)| {
        if peer.near {
            return true;
        }
        far += 1;
        far % FAR_TURNS == turn % FAR_TURNS
    });
    let heard = due.filter(|(_, peer)| peer.is_heard(now));
    heard.map(|(_, peer)| peer.link_address).collect()
}

/// VMs that are told news first hand, each to tell its part of the others: one of each part.
/// Absent while all are told first hand.
#[must_use]
pub fn tellers(
    table: &peers::PeerTable,
    own: &str,
    turn: u64,
    now: time::Instant,
) -> Option<Vec<net::SocketAddr>> {
    if !is_large(table.len()) {
        return None;
    }
    let ranked = ranked(table, own, now);
    let length = part_length(ranked.len());
    let tellers = ranked.chunks(length).filter_map(|part| {
        let others: Vec<_> = part.iter().flatten().collect();
        let chosen = usize::try_from(turn).unwrap_or_default() % others.len().max(1);
        others.get(chosen).map(|address| **address)
    });
    Some(tellers.collect())
}

/// VMs to which this one tells news on: the part that it is in, and some on each side.
#[must_use]
pub fn own_part(table: &peers::PeerTable, own: &str, now: time::Instant) -> Vec<net::SocketAddr> {
    let ranked = ranked(table, own, now);
    let length = part_length(ranked.len());
    let rank = ranked.iter().position(Option::is_none).unwrap_or_default();
    let first = rank - rank % length;
    let last = (first + length + PART_OVERLAP).min(ranked.len());
    let part = &ranked[first.saturating_sub(PART_OVERLAP)..last];
    part.iter().flatten().copied().collect()
}

/// All VMs that are heard by failure domain and name, the same order on each; this one has no
/// address. A part is then within one domain but for its ends: bytes between domains are dear.
fn ranked(table: &peers::PeerTable, own: &str, now: time::Instant) -> Vec<Option<net::SocketAddr>> {
    let heard = table.all().filter(|(_, peer)| peer.is_heard(now));
    let placed = heard.map(|(name, peer)| {
        let address = Some(peer.link_address);
        (peer.domain.as_str(), name.as_str(), address)
    });
    let own = (table.own_domain(), own, None);
    let mut ranked: Vec<_> = placed.chain([own]).collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, _, address)| address).collect()
}

/// Parts as many as each has members: what the first teller sends and what each other does is then
/// equal, and least together.
fn part_length(vms: usize) -> usize {
    vms.isqrt().max(1)
}

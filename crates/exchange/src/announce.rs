//! Sends datagrams to other VMs: loads regularly, updates at once.
//!
//! The recipients are selected in `recipients`.

use std::{collections, net, rc};

use prost::Message as _;
use tokio::{net as sockets, time};

use crate::{link, message, notices, plane, recipients, state};

/// Load changes within this time are sent together.
const LOADS_BATCH_INTERVAL: time::Duration = time::Duration::from_millis(15);
/// Updates within this time are sent together where they go through relays: at 3,000 servers there
/// are a hundred updates a second.
const UPDATES_BATCH_INTERVAL: time::Duration = time::Duration::from_millis(60);
/// Maximum number of VMs in this VM's failure domain that receive each load change where there are
/// too many VMs for a full mesh. Beyond it loads are sent with the regular datagrams only: at 410
/// VMs each would receive 6,000 changes a second.
const MAX_NEAR_LOAD_RECIPIENTS: usize = 64;
/// Number of datagrams that carry each update, since one may be lost.
const UPDATE_SENDS: u32 = 2;
/// Maximum number of server updates in one datagram, of 70 to 95 bytes each, next to the loads of
/// one VM.
const MAX_UPDATES_PER_DATAGRAM: usize = 9;
/// Maximum number of datagrams with updates in one round. 3,000 servers of which a sixth is
/// replaced every 3.3 s make 450 updates a second; a lower limit delayed updates for four seconds.
const MAX_UPDATE_DATAGRAMS: usize = 24;
/// Maximum number of refused requests in one datagram.
const MAX_REFUSED: usize = 32;
/// Maximum number of addresses of other VMs in an introduction.
const MAX_KNOWN_ADDRESSES: usize = 24;
/// This VM introduces itself in one of this many rounds, also to silent VMs, and in each of the
/// first rounds.
const INTRODUCTION_ROUNDS: u64 = 16;
/// Time for which each datagram carries evacuations that changed: as long as a VM may be silent and
/// still count as alive.
const EVACUATIONS_ANNOUNCE_TIME: time::Duration = time::Duration::from_secs(5);

/// Reason for which datagrams are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnounceCause {
    /// The announce interval is over.
    Regular,
    /// Loads of this VM on servers changed.
    Loads,
    /// There are server updates.
    Updates,
    /// Something that all VMs must receive at once.
    All,
    /// There are messages to single VMs about repeats that are lent.
    Loans,
}

/// Sends datagrams to other VMs.
pub trait DatagramPort {
    /// Sends one datagram. One that can't be sent now is treated like one that was lost.
    fn send(&self, datagram: &[u8], address: net::SocketAddr);
}

impl DatagramPort for sockets::UdpSocket {
    fn send(&self, datagram: &[u8], address: net::SocketAddr) {
        let _ = self.try_send_to(datagram, address);
    }
}

/// An update and the number of times that it is still to be sent.
type PendingUpdate = (message::UpdateItem, u32);

/// Sends datagrams; never ends.
pub async fn run<P, D: DatagramPort>(plane: rc::Rc<plane::ExchangePlane<P>>, port: rc::Rc<D>) {
    // Wait for this VM's system, because VMs that know their system accept no peer that does not
    // name the same one.
    plane.identified.notified().await;
    let mut pending = collections::VecDeque::new();
    let mut turn = 0;
    let mut rounds = 0_u64;
    let mut regular_at = time::Instant::now();
    loop {
        let more = !pending.is_empty() || !plane.state().forwarded_updates.is_empty();
        let cause = wait_for_cause(&plane, more, regular_at).await;
        regular_at = next_regular(&plane.state(), cause, regular_at);
        turn += u64::from(cause == AnnounceCause::Regular);
        if cause == AnnounceCause::Loans {
            for (address, bytes) in loan_datagrams(&mut plane.state()) {
                port.send(&bytes, address);
            }
            continue;
        }
        rounds += 1;
        let introduces = rounds.is_multiple_of(INTRODUCTION_ROUNDS) || rounds < INTRODUCTION_ROUNDS;
        let datagrams = compose(&mut plane.state(), &mut pending, cause, turn, introduces);
        for (recipients, bytes) in datagrams {
            for address in recipients {
                port.send(&bytes, address);
            }
        }
    }
}

/// Introduces this VM to another one at once.
pub fn answer<P, D: DatagramPort>(
    plane: &plane::ExchangePlane<P>,
    port: &D,
    address: net::SocketAddr,
) {
    let mut datagram = introduction(&mut plane.state());
    port.send(&encode(&mut datagram), address);
}

/// A datagram that carries the sender's name and addresses.
#[must_use]
pub fn introduction(state: &mut state::PlaneState) -> message::PeerDatagram {
    let mut datagram = datagram(state);
    introduce(&mut datagram, state);
    datagram
}

/// When the next regular datagram is due after datagrams of `cause`. VMs that do not receive those
/// must not wait longer for the regular one: at hundreds of updates a second this VM would
/// otherwise be silent to most others.
#[must_use]
pub fn next_regular(
    state: &state::PlaneState,
    cause: AnnounceCause,
    due: time::Instant,
) -> time::Instant {
    let reaches_all = match cause {
        AnnounceCause::Regular | AnnounceCause::All => true,
        AnnounceCause::Loans => false,
        AnnounceCause::Loads | AnnounceCause::Updates => !recipients::is_large(state.peers.len()),
    };
    if reaches_all {
        time::Instant::now() + state.peers.announce_interval()
    } else {
        due
    }
}

/// Waits until there is something to send. `pending` means that updates are waiting to be sent.
pub async fn wait_for_cause<P>(
    plane: &plane::ExchangePlane<P>,
    pending: bool,
    regular_at: time::Instant,
) -> AnnounceCause {
    let (large, sends_loads) = {
        let state = plane.state();
        let large = recipients::is_large(state.peers.len());
        let sends_loads = !large || state.peers.near_count() < MAX_NEAR_LOAD_RECIPIENTS;
        (large, sends_loads)
    };
    let updates_interval = if large {
        UPDATES_BATCH_INTERVAL
    } else {
        LOADS_BATCH_INTERVAL
    };
    tokio::select! {
        biased;
        () = plane.loans_due.notified() => AnnounceCause::Loans,
        () = time::sleep_until(regular_at) => AnnounceCause::Regular,
        () = time::sleep(updates_interval), if pending => AnnounceCause::Updates,
        () = plane.announce.notified() => AnnounceCause::All,
        () = plane.updates.notified() => {
            if large {
                time::sleep(UPDATES_BATCH_INTERVAL).await;
            }
            AnnounceCause::Updates
        }
        () = plane.loads.notified(), if sends_loads => {
            time::sleep(LOADS_BATCH_INTERVAL).await;
            AnnounceCause::Loads
        }
    }
}

/// Creates the datagrams about repeats that are lent, each with its recipient.
pub fn loan_datagrams(state: &mut state::PlaneState) -> Vec<(net::SocketAddr, Vec<u8>)> {
    let outgoing = state.loans.take_outgoing();
    let datagrams = outgoing.into_iter().map(|(address, item)| {
        let mut datagram = datagram(state);
        datagram.loans.push(item);
        (address, encode(&mut datagram))
    });
    datagrams.collect()
}

/// Creates the datagrams of one round, each with its recipients.
fn compose(
    state: &mut state::PlaneState,
    pending: &mut collections::VecDeque<PendingUpdate>,
    cause: AnnounceCause,
    turn: u64,
    introduces: bool,
) -> Vec<(Vec<net::SocketAddr>, Vec<u8>)> {
    let now = time::Instant::now();
    let own = state.settings.name.clone();
    let mut composed = Vec::new();
    let updates = take_pending_updates(state, pending);
    let large = recipients::is_large(state.peers.len());
    let mut recipients = match cause {
        AnnounceCause::Regular => recipients::regular(&state.peers, turn, now),
        AnnounceCause::Loads if large => recipients::near(&state.peers, now),
        AnnounceCause::Updates if large => Vec::new(),
        _ => recipients::alive(&state.peers, now),
    };
    // Selecting relays and groups sorts all VMs, so it is done only for updates that are to be
    // sent.
    let relays = (!updates.is_empty())
        .then(|| recipients::relays(&state.peers, &own, turn + state.sequence, now))
        .flatten();
    let mut datagram = datagram(state);
    datagram.refused = state.returning.take_unannounced(MAX_REFUSED);
    datagram.crashes = state.crashes.news(state.peers.len(), now);
    datagram.demand = state.demand_items(cause == AnnounceCause::Regular, large, now);
    let direct = relays.as_ref().unwrap_or(&recipients);
    for chunk in updates.chunks(MAX_UPDATES_PER_DATAGRAM) {
        let bytes = with_updates(state, &datagram, chunk, large);
        composed.push((direct.clone(), bytes));
    }
    if !large {
        // The VM that requested the forwarding knows of more VMs than this one.
        state.forwarded_updates.clear();
    }
    let forwarded = take_forwarded(state);
    if !forwarded.is_empty() {
        let group = recipients::relay_group(&state.peers, &own, now);
        for chunk in forwarded.chunks(MAX_UPDATES_PER_DATAGRAM) {
            let bytes = with_updates(state, &datagram, chunk, false);
            composed.push((group.clone(), bytes));
        }
    }
    let notice_datagrams = with_notices(state, &datagram, cause);
    // All recipients have received the loads with the updates or notices already.
    let sent = !large && !updates.is_empty() || !notice_datagrams.is_empty();
    composed.extend(
        notice_datagrams
            .into_iter()
            .map(|bytes| (recipients.clone(), bytes)),
    );
    datagram.sequence = state.next_sequence();
    if introduces {
        state.peers.sweep(now);
        recipients.extend(recipients::silent(&state.peers, now));
    }
    let greeted = state.peers.greetings(now);
    // Few datagrams introduce the sender; the others need not be encoded twice.
    if !introduces && !sent {
        composed.push((std::mem::take(&mut recipients), encode(&mut datagram)));
    }
    if !introduces {
        recipients.clear();
    }
    recipients.extend(greeted);
    if !recipients.is_empty() {
        introduce(&mut datagram, state);
        composed.push((recipients, encode(&mut datagram)));
    }
    composed
}

/// Encodes a separate datagram with some updates.
fn with_updates(
    state: &mut state::PlaneState,
    datagram: &message::PeerDatagram,
    updates: &[message::UpdateItem],
    forward: bool,
) -> Vec<u8> {
    encode_with(state, datagram, |datagram| {
        datagram.updates = updates.to_vec();
        datagram.forward = forward;
    })
}

/// Encodes separate datagrams with the notices that are due, if all VMs are recipients.
fn with_notices(
    state: &mut state::PlaneState,
    datagram: &message::PeerDatagram,
    cause: AnnounceCause,
) -> Vec<Vec<u8>> {
    if cause != AnnounceCause::All {
        return Vec::new();
    }
    let notices = state.notices.take_due();
    let chunks = notices.chunks(notices::MAX_NOTICES_PER_DATAGRAM);
    let chunks = chunks.map(|chunk| {
        encode_with(state, datagram, |datagram| {
            datagram.notices = chunk.to_vec();
        })
    });
    chunks.collect()
}

/// Encodes a separate datagram that `add` extends.
fn encode_with(
    state: &mut state::PlaneState,
    datagram: &message::PeerDatagram,
    add: impl FnOnce(&mut message::PeerDatagram),
) -> Vec<u8> {
    let mut datagram = datagram.clone();
    datagram.sequence = state.next_sequence();
    add(&mut datagram);
    encode(&mut datagram)
}

/// Takes the updates for this round from `pending`, where those that are to be sent again stay.
fn take_pending_updates(
    state: &mut state::PlaneState,
    pending: &mut collections::VecDeque<PendingUpdate>,
) -> Vec<message::UpdateItem> {
    pending.extend(
        state
            .unannounced
            .drain(..)
            .map(|update| (message::UpdateItem::from(&update), UPDATE_SENDS)),
    );
    let due: Vec<_> = pending
        .drain(
            ..pending
                .len()
                .min(MAX_UPDATES_PER_DATAGRAM * MAX_UPDATE_DATAGRAMS),
        )
        .collect();
    pending.extend(
        due.iter()
            .filter(|(_, left)| *left > 1)
            .map(|(item, left)| (item.clone(), left - 1)),
    );
    due.into_iter().map(|(item, _)| item).collect()
}

/// Takes the updates that this VM is to forward to its group.
fn take_forwarded(state: &mut state::PlaneState) -> Vec<message::UpdateItem> {
    let count = state
        .forwarded_updates
        .len()
        .min(MAX_UPDATES_PER_DATAGRAM * MAX_UPDATE_DATAGRAMS);
    state.forwarded_updates.drain(..count).collect()
}

/// Encodes a datagram, leaving out entries that do not fit.
fn encode(datagram: &mut message::PeerDatagram) -> Vec<u8> {
    while datagram.encoded_len() > link::MAX_DATAGRAM_BYTES {
        let shorter = datagram.known.pop().is_some()
            || datagram.paces.pop().is_some()
            || datagram.demand.pop().is_some()
            || datagram.crashes.pop().is_some()
            || datagram.brittle.pop().is_some()
            || datagram.cold.pop().is_some()
            || datagram.limits.pop().is_some()
            || datagram.loads.pop().is_some();
        if !shorter {
            break;
        }
    }
    datagram.encode_to_vec()
}

/// A datagram with the fields that change all the time.
fn datagram(state: &mut state::PlaneState) -> message::PeerDatagram {
    let now = time::Instant::now();
    let own = state.fleet.own_loads(now);
    let sends_steady = state.steady_services(&own, now);
    let loads = own.iter().filter_map(|(key, load)| {
        let server = state.fleet.server(key)?;
        Some(message::LoadItem {
            server: server.name_hash(),
            runs: load.runs,
            tokens: load.tokens,
            backlog: load.backlog,
            failing: load.failing,
            event_us: state.fleet.paces.own_event_us(key, load.runs, now),
            steady: load.steady * u32::from(sends_steady.contains(&server.service.as_str())),
        })
    });
    let loads = loads.collect();
    message::PeerDatagram {
        sender: state.sender(),
        sequence: state.next_sequence(),
        stage: state.stage.into(),
        catalog_version: state.version(),
        loads,
        store_unavailable: state.contact.is_unavailable(),
        store_era: state.era(),
        standing_hash: state.fleet.standing_hash(),
        waiting: state.waiting(now),
        partial: !state.servers_complete,
        limits: state.limit_items(false, now),
        brittle: state.brittle_items(false, now),
        cold: state.cold_items(false, now),
        misses_vms: state.peers.silent_count(now) > 0,
        senders: u32::try_from(state.peers.senders(now).count() + 1).unwrap_or(u32::MAX),
        evacuations: evacuations_changed(state, now).then(|| state.fleet.evacuations().into()),
        cut_services: state
            .reach
            .cut_services()
            .map(state::service_hash)
            .collect(),
        cut_off: state.reach.is_cut_off(),
        paces: state.fleet.paces.own_stretches(now),
        ..message::PeerDatagram::default()
    }
}

fn evacuations_changed(state: &state::PlaneState, now: time::Instant) -> bool {
    let changed_at = state.evacuated_at;
    changed_at.is_some_and(|at| now.saturating_duration_since(at) < EVACUATIONS_ANNOUNCE_TIME)
}

/// Adds the sender's name and addresses, some other VMs and the evacuations.
fn introduce(datagram: &mut message::PeerDatagram, state: &mut state::PlaneState) {
    datagram.evacuations = Some(state.fleet.evacuations().into());
    let now = time::Instant::now();
    datagram.limits = state.limit_items(true, now);
    datagram.brittle = state.brittle_items(true, now);
    datagram.cold = state.cold_items(true, now);
    datagram.crashes.extend(state.crashes.introduction(now));
    datagram.system = state.system.number();
    datagram.name.clone_from(&state.settings.name);
    datagram.domain.clone_from(&state.settings.domain);
    datagram.incarnation = state.settings.incarnation;
    datagram.entry_address = state.settings.entry_address.to_string();
    datagram.link_address = state.settings.link_address.to_string();
    let handover_address = state.settings.handover_address;
    datagram.handover_address =
        handover_address.map_or_else(String::new, |address| address.to_string());
    datagram.known = known(state);
}

/// Addresses of some other VMs that are alive: a random selection each time, so that a new VM
/// learns of all.
pub(crate) fn known(state: &mut state::PlaneState) -> Vec<String> {
    let alive = recipients::alive(&state.peers, time::Instant::now());
    let first = (state.draw() * alive.len() as f64) as usize;
    let selection = alive.iter().cycle().skip(first).take(alive.len());
    selection
        .take(MAX_KNOWN_ADDRESSES)
        .map(ToString::to_string)
        .collect()
}

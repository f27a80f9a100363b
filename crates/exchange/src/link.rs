//! Communication between entry VMs: datagrams for what changes all the time. State that they don't
//! deliver is requested in `catchup`.
//!
//! No guarantee to callers depends on it: a lost datagram costs a worse choice of server, or the
//! time until this VM reads the store itself.

use std::{io, net, rc};

use prost::Message as _;
use tokio::{net as sockets, time};

use crate::{
    announce, catchup, cold, follow, listing, loads, message, pausing, peers, plane, state, system,
    update,
};

/// Pause after the operating system failed to return a datagram or connection.
pub(crate) const ERROR_PAUSE: time::Duration = time::Duration::from_millis(100);
/// Maximum size of a datagram that is not fragmented on any path.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 1_300;

/// Value of `source` in log lines for an update in a datagram of another VM.
const SOURCE_PEER: &str = "peer";
/// Value of `source` in log lines for a notice of another VM.
const SOURCE_NOTICE: &str = "notice";

/// Binds the UDP and the TCP socket of the link.
///
/// # Errors
///
/// When the address is in use or does not belong to this VM.
pub async fn bind(
    address: net::SocketAddr,
) -> io::Result<(sockets::UdpSocket, sockets::TcpListener)> {
    let datagrams = sockets::UdpSocket::bind(address).await?;
    let listener = sockets::TcpListener::bind(address).await?;
    Ok((datagrams, listener))
}

/// Sends and receives; never ends. At most `connections` of other VMs are open.
pub async fn run<P: 'static>(
    plane: rc::Rc<plane::ExchangePlane<P>>,
    sockets: (sockets::UdpSocket, sockets::TcpListener),
    connections: usize,
    decode: follow::DocumentDecoder,
) {
    let (datagrams, listener) = sockets;
    let datagrams = rc::Rc::new(datagrams);
    tokio::join!(
        announce::run(plane.clone(), datagrams.clone()),
        listen(plane.clone(), datagrams),
        catchup::serve_state_requests(plane.clone(), listener, connections),
        catchup::catch_up(plane, catchup::TcpPeers, decode),
    );
}

/// Receives datagrams.
async fn listen<P>(plane: rc::Rc<plane::ExchangePlane<P>>, socket: rc::Rc<sockets::UdpSocket>) {
    let mut buffer = vec![0; 2 * MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            time::sleep(ERROR_PAUSE).await;
            continue;
        };
        match message::PeerDatagram::decode(&buffer[..length]) {
            Ok(datagram) => {
                if let Some(address) = take_datagram(&plane, &datagram) {
                    announce::answer(&plane, &*socket, address);
                }
            }
            Err(_) => {
                metrics::counter!("pollenchute_exchange_datagrams_refused_total").increment(1);
            }
        }
    }
}

/// Processes a datagram of another VM. Returns the sender's address if the VM is new or changed, so
/// that it learns at once that this VM exists.
pub fn take_datagram<P>(
    plane: &plane::ExchangePlane<P>,
    datagram: &message::PeerDatagram,
) -> Option<net::SocketAddr> {
    let now = time::Instant::now();
    let mut state = plane.state();
    if datagram.sender == state.sender() {
        return None;
    }
    match system::classify_sender(&mut state, datagram) {
        system::SenderStanding::Peer => {}
        // The answer carries this system's number, in case the sender's store does not return it.
        system::SenderStanding::Undecided => return datagram.link_address.parse().ok(),
        system::SenderStanding::Foreign => {
            metrics::counter!("pollenchute_exchange_datagrams_foreign_total").increment(1);
            return None;
        }
    }
    state.note_era(datagram.store_era, SOURCE_PEER, now);
    let change = state.peers.take(datagram, now);
    if change != peers::PeerChange::Stale {
        take_state_of_sender(&mut state, datagram, now);
    }
    let answered = match change {
        peers::PeerChange::Changed => state.peers.address_of(datagram.sender),
        _ => None,
    };
    if answered.is_some() {
        log::info!(vm:% = datagram.name, sender = datagram.sender, stage:? = datagram.stage(); "VM changed");
    }
    drop(state);
    if let Some(item) = &datagram.evacuations {
        follow::apply_evacuations(plane, item.clone().into(), "peer");
    }
    // Each update has its own position in the order of the store, so the updates of an overtaken
    // datagram are still valid.
    let updates = datagram
        .updates
        .iter()
        .filter_map(message::UpdateItem::decode_update);
    let updates: Vec<_> = updates.collect();
    let notices = notice_updates(plane, datagram, now);
    let mut changed = take_updates(plane, &updates, SOURCE_PEER, now);
    changed |= take_updates(plane, &notices, SOURCE_NOTICE, now);
    if changed && datagram.forward {
        plane
            .state()
            .forwarded_updates
            .extend(datagram.updates.iter().cloned());
        plane.updates.notify_one();
    }
    if !datagram.loans.is_empty() {
        plane.loans_due.notify_one();
        plane.repeats_lent.notify_waiters();
        plane.wake_decisions();
    }
    plane.save_crashes();
    let waits = !plane.state().waiting_services().is_empty();
    if changed || waits || !datagram.crashes.is_empty() {
        plane.wake_decisions();
    }
    answered
}

/// Server updates that the notices of a datagram stand for.
fn notice_updates<P>(
    plane: &plane::ExchangePlane<P>,
    datagram: &message::PeerDatagram,
    now: time::Instant,
) -> Vec<update::ServerUpdate> {
    let state = plane.state();
    let notices = datagram.notices.iter();
    let updates = notices.filter_map(|notice| state.fleet.update_of(notice, now));
    updates.collect()
}

/// Applies the sender's loads and known addresses, and its reports of refused requests and of crashes.
fn take_state_of_sender(
    state: &mut state::PlaneState,
    datagram: &message::PeerDatagram,
    now: time::Instant,
) {
    for known in datagram.known.iter().filter_map(|known| known.parse().ok()) {
        if known != state.settings.link_address {
            state.peers.add_address(known);
        }
    }
    take_loads(state, datagram, now);
    state.take_pace_reports(datagram, now);
    state.take_demand(datagram, now);
    for item in &datagram.limits {
        state.take_limit_item(item, now);
    }
    for item in &datagram.brittle {
        state.take_brittle_item(item, now);
    }
    for item in datagram.cold.iter().take(cold::MAX_ITEMS_PER_DATAGRAM) {
        state.take_cold_item(item, now);
    }
    if let Some(address) = state.peers.address_of(datagram.sender) {
        for item in &datagram.loans {
            state.take_loan_item(address, item, now);
        }
    }
    for refused in &datagram.refused {
        state.returning.record_peer_refusal(*refused, now);
    }
    for item in &datagram.crashes {
        state.crashes.take_item(item, now);
    }
}

fn take_loads(state: &mut state::PlaneState, datagram: &message::PeerDatagram, now: time::Instant) {
    let loads = datagram.loads.iter().filter_map(|item| {
        let load = loads::PeerLoad {
            runs: item.runs,
            tokens: item.tokens,
            backlog: item.backlog,
            failing: item.failing,
            steady: pausing::reported_steady(item),
        };
        Some((state.fleet.find_by_hash(item.server)?, load))
    });
    let loads: Vec<_> = loads.collect();
    state
        .fleet
        .replace_peer_loads(datagram.sender, loads.into_iter(), now);
}

/// Applies server updates; returns whether they changed anything.
pub(crate) fn take_updates<P>(
    plane: &plane::ExchangePlane<P>,
    updates: &[update::ServerUpdate],
    source: &str,
    now: time::Instant,
) -> bool {
    let changes = updates.iter().map(|update| {
        let change = plane.state().take_peer_update(update.clone(), source, now);
        (update.clone(), change)
    });
    let changes: Vec<_> = changes.collect();
    listing::log_changes(plane, &changes, source)
}

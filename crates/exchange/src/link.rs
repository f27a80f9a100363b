//! Carries what entry VMs tell each other: datagrams for what changes all the time. What they don't
//! bring is asked for, in `catchup`.
//!
//! Nothing here is needed for a promise: a lost datagram costs a worse choice of server, or the
//! time until this VM reads the store itself.

use std::{collections, io, net, rc};

use prost::Message as _;
use tokio::{net as sockets, time};

use crate::{catchup, fleet, follow, loads, message, news, peers, plane, state};

/// Changes of load within this are told together.
const LOADS_GAP: time::Duration = time::Duration::from_millis(15);
/// VMs up to which each is told of each change of load. Beyond it loads come with the regular
/// datagrams: at 410 VMs the others would hear 6,000 changes a second.
const MOST_TOLD_LOADS: u32 = 128;
/// Datagrams that carry a piece of news: one may be lost.
const NEWS_TIMES: u32 = 2;
/// Pause after the system gave no datagram or connection.
pub(crate) const FAULT_PAUSE: time::Duration = time::Duration::from_millis(100);
/// Largest datagram that passes everywhere unsplit.
const MOST_DATAGRAM: usize = 1_300;
/// Suspicions in one datagram.
const MOST_ACCUSATIONS: usize = 16;
/// Refused requests in one datagram.
const MOST_REFUSED: usize = 32;
/// News of servers in one datagram.
const MOST_NEWS: usize = 6;
/// Addresses of other VMs in a greeting.
const MOST_KNOWN: usize = 24;

/// Binds both sockets of the link.
///
/// # Errors
///
/// When the address is taken or not this VM's.
pub async fn bind(
    address: net::SocketAddr,
) -> io::Result<(sockets::UdpSocket, sockets::TcpListener)> {
    let datagrams = sockets::UdpSocket::bind(address).await?;
    let listener = sockets::TcpListener::bind(address).await?;
    Ok((datagrams, listener))
}

/// Speaks and listens; never ends.
pub async fn run<P: 'static>(
    plane: rc::Rc<plane::ExchangePlane<P>>,
    sockets: (sockets::UdpSocket, sockets::TcpListener),
    decode: follow::DocumentDecoder,
) {
    let (datagrams, listener) = sockets;
    let datagrams = rc::Rc::new(datagrams);
    tokio::join!(
        speak(plane.clone(), datagrams.clone()),
        listen(plane.clone(), datagrams),
        catchup::answer_states(plane.clone(), listener),
        catchup::catch_up(plane, decode),
    );
}

/// Sends datagrams to all VMs.
async fn speak<P>(plane: rc::Rc<plane::ExchangePlane<P>>, socket: rc::Rc<sockets::UdpSocket>) {
    let mut sequence = 0;
    let mut news = collections::VecDeque::new();
    loop {
        wait_to_speak(&plane, !news.is_empty()).await;
        let now = time::Instant::now();
        let mut datagram = datagram(&plane.state());
        datagram.news = news_to_tell(&mut plane.state(), &mut news);
        datagram.refused = plane.state().comebacks.take_untold(MOST_REFUSED);
        sequence += 1;
        datagram.sequence = sequence;
        let full = sequence.is_multiple_of(RARE) || sequence < RARE;
        let hearers = hearers(&mut plane.state(), sequence, now);
        let brief = encode(&mut datagram);
        // Few datagrams say who sends them; the others need not be written twice.
        let whole = if full || hearers.iter().any(|(_, greeted)| *greeted) {
            datagram.known = known(&plane.state());
            identify(&mut datagram, &plane.state().settings);
            encode(&mut datagram)
        } else {
            Vec::new()
        };
        for (address, greeted) in hearers {
            let bytes = if full || greeted { &whole } else { &brief };
            let _ = socket.try_send_to(bytes, address);
        }
    }
}

/// Waits until there is something to say, or it is time to show that this VM lives.
async fn wait_to_speak<P>(plane: &plane::ExchangePlane<P>, news: bool) {
    let (gap, heard) = {
        let state = plane.state();
        (
            state.peers.speak_gap(),
            state.peers.heard(time::Instant::now()),
        )
    };
    let gap = if news { LOADS_GAP } else { gap };
    tokio::select! {
        () = time::sleep(gap) => {}
        () = plane.spread.notified() => {}
        () = plane.loads.notified(), if heard <= MOST_TOLD_LOADS => time::sleep(LOADS_GAP).await,
    }
}

/// News for this datagram, each with those that are to be told again.
fn news_to_tell(
    state: &mut state::PlaneState,
    news: &mut collections::VecDeque<(message::NewsItem, u32)>,
) -> Vec<message::NewsItem> {
    news.extend(
        state
            .untold
            .drain(..)
            .map(|news| (message::NewsItem::from(&news), NEWS_TIMES)),
    );
    let told: Vec<_> = news.drain(..news.len().min(MOST_NEWS)).collect();
    news.extend(
        told.iter()
            .filter(|(_, left)| *left > 1)
            .map(|(item, left)| (item.clone(), left - 1)),
    );
    told.into_iter().map(|(item, _)| item).collect()
}

/// Encodes a datagram, leaving out what does not fit.
fn encode(datagram: &mut message::PeerDatagram) -> Vec<u8> {
    while datagram.encoded_len() > MOST_DATAGRAM {
        let shorter = datagram.known.pop().is_some()
            || datagram.accusations.pop().is_some()
            || datagram.loads.pop().is_some();
        if !shorter {
            break;
        }
    }
    datagram.encode_to_vec()
}

fn datagram(state: &state::PlaneState) -> message::PeerDatagram {
    let own = state.fleet.own_loads(time::Instant::now());
    let loads = own
        .iter()
        .filter_map(|(key, load)| {
            let server = state.fleet.server(key)?;
            Some(message::LoadItem {
                server: fleet::id_hash(&server.id),
                runs: load.runs,
                tokens: load.tokens,
                backlog: load.backlog,
                failing: load.failing,
            })
        })
        .collect();
    let accusations = state
        .suspects
        .accusations()
        .take(MOST_ACCUSATIONS)
        .map(|(fingerprint, server)| message::AccusationItem {
            fingerprint,
            server,
        })
        .collect();
    message::PeerDatagram {
        sender: state.sender(),
        sequence: 0,
        stage: state.stage.into(),
        catalog_version: state.version(),
        loads,
        accusations,
        store_away: state.store_away,
        standing_hash: state.fleet.standing_hash(),
        waiting: state.waiting(time::Instant::now()),
        ..message::PeerDatagram::default()
    }
}

/// Adds who sends it.
fn identify(datagram: &mut message::PeerDatagram, settings: &state::PlaneSettings) {
    datagram.name.clone_from(&settings.name);
    datagram.domain.clone_from(&settings.domain);
    datagram.incarnation = settings.incarnation;
    datagram.entry_address = settings.entry_address.to_string();
    datagram.link_address = settings.link_address.to_string();
}

/// Addresses of other VMs that are heard.
pub(crate) fn known(state: &state::PlaneState) -> Vec<String> {
    let now = time::Instant::now();
    state
        .peers
        .all()
        .filter(|(_, peer)| peer.is_heard(now))
        .map(|(_, peer)| peer.link_address.to_string())
        .take(MOST_KNOWN)
        .collect()
}

/// One in this many datagrams names other VMs, and goes to those that are silent too.
const RARE: u64 = 16;

/// Who gets a datagram, and whether it is greeted with it: those that are heard always, the others
/// now and then.
fn hearers(
    state: &mut state::PlaneState,
    sequence: u64,
    now: time::Instant,
) -> Vec<(net::SocketAddr, bool)> {
    let rare = sequence.is_multiple_of(RARE);
    let mut addresses: Vec<_> = state
        .peers
        .all()
        .filter(|(_, peer)| rare || peer.is_heard(now))
        .map(|(_, peer)| (peer.link_address, false))
        .collect();
    addresses.extend(
        state
            .peers
            .greetings(now)
            .into_iter()
            .map(|address| (address, true)),
    );
    if rare {
        state.peers.sweep(now);
    }
    addresses
}

/// Takes datagrams.
async fn listen<P>(plane: rc::Rc<plane::ExchangePlane<P>>, socket: rc::Rc<sockets::UdpSocket>) {
    let mut buffer = vec![0; 2 * MOST_DATAGRAM];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            time::sleep(FAULT_PAUSE).await;
            continue;
        };
        match message::PeerDatagram::decode(&buffer[..length]) {
            Ok(datagram) => take_datagram(&plane, &datagram),
            Err(_) => {
                metrics::counter!("pollenchute_exchange_datagrams_refused_total").increment(1);
            }
        }
    }
}

/// Takes what another VM told.
pub fn take_datagram<P>(plane: &plane::ExchangePlane<P>, datagram: &message::PeerDatagram) {
    let now = time::Instant::now();
    let mut state = plane.state();
    if datagram.sender == state.sender() {
        return;
    }
    match state.peers.take(datagram, now) {
        peers::PeerChange::Stale => return,
        peers::PeerChange::Same => {}
        peers::PeerChange::Changed => {
            log::info!(vm:% = datagram.name, sender = datagram.sender, stage:? = datagram.stage(); "VM changed");
            plane.spread();
        }
    }
    for known in datagram.known.iter().filter_map(|known| known.parse().ok()) {
        if known != state.settings.link_address {
            state.peers.tell(known);
        }
    }
    take_loads(&mut state, datagram, now);
    for refused in &datagram.refused {
        state.comebacks.told(*refused, now);
    }
    for accusation in &datagram.accusations {
        state
            .suspects
            .accuse(accusation.fingerprint, accusation.server, now);
    }
    drop(state);
    let news: Vec<_> = datagram
        .news
        .iter()
        .filter_map(message::NewsItem::decode_news)
        .collect();
    if take_news(plane, &news, now) {
        plane.stir();
    }
    if !plane.state().waiting_services().is_empty() {
        plane.stir();
    }
}

fn take_loads(state: &mut state::PlaneState, datagram: &message::PeerDatagram, now: time::Instant) {
    let told = datagram.loads.iter().filter_map(|item| {
        let load = loads::PeerLoad {
            runs: item.runs,
            tokens: item.tokens,
            backlog: item.backlog,
            failing: item.failing,
        };
        Some((state.fleet.find_hash(item.server)?, load))
    });
    let told: Vec<_> = told.collect();
    state
        .fleet
        .take_peer_loads(datagram.sender, told.into_iter(), now);
}

/// Takes news of servers; says whether they changed anything.
pub(crate) fn take_news<P>(
    plane: &plane::ExchangePlane<P>,
    news: &[news::ServerNews],
    now: time::Instant,
) -> bool {
    let mut changed = false;
    for news in news {
        let change = plane.state().take_news(news.clone(), false, now);
        changed |= follow::log_change(plane, news, change, "peer");
    }
    changed
}

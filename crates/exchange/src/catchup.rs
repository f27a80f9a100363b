//! One TCP exchange for what another VM knows otherwise, and neither the store nor datagrams bring.

use std::{collections, io, net, rc};

use bytes::Bytes;
use carry::transfer;
use futures_util::{SinkExt as _, StreamExt as _};
use prost::Message as _;
use tokio::{net as sockets, time};
use tokio_util::{codec, io as taps};

use crate::{follow, link, message, peers, plane, server, speak, state};

/// How long most VMs must know other news of servers before one is asked for what differs.
pub const DIFFERS_FOR: time::Duration = time::Duration::from_millis(400);
/// Largest state that is taken: a configuration of 38,000 organisations takes about 8 MB.
const MOST_STATE: usize = 32 * 1_024 * 1_024;
/// Time without a byte after which an exchange of state is given up.
const STATE_SILENCE: time::Duration = time::Duration::from_millis(700);
/// Longest time of an exchange.
const STATE_MOST: time::Duration = time::Duration::from_secs(20);
/// Limit of one exchange of state.
const STATE_LIMIT: transfer::TransferLimit = transfer::TransferLimit {
    first: STATE_SILENCE,
    silence: STATE_SILENCE,
    whole: STATE_MOST,
};
/// The same while the asker has only a part of the list of servers, and for the VM that answers:
/// others ask too.
const LIST_LIMIT: transfer::TransferLimit = transfer::TransferLimit {
    first: time::Duration::from_millis(1_500),
    ..STATE_LIMIT
};
/// Mean pause of such an asker after a VM that was busy.
const LIST_GAP: time::Duration = time::Duration::from_millis(300);
/// A list is long from this many servers on that the asker does not know.
const LONG_LIST: usize = 200;
/// Long lists that one VM sends at a time.
const MOST_LISTS: usize = 3;
/// Time between two looks whether another VM knows more.
const LOOK_GAP: time::Duration = time::Duration::from_millis(60);
/// Time that the store has to bring a configuration before it is asked of a VM that has it: all
/// other VMs fetch it at the same moment.
const STORE_FIRST: time::Duration = time::Duration::from_millis(500);
/// Time between two askings of state.
const STATE_GAP: time::Duration = time::Duration::from_millis(300);
/// Added to it for each server. Where thousands come and go, no two VMs know quite the same at any
/// moment, and each asks all the time. An asking carries 5 bytes a server: at 3,000 servers 12 KB a
/// second. What was lost twice on its way is found within this and [`DIFFERS_FOR`]: a notice of
/// leaving must be known everywhere within two seconds or so.
const STATE_GAP_EACH: time::Duration = time::Duration::from_micros(300);

/// Other VMs, as far as they are asked for state.
pub trait PeerPort {
    /// Asks the VM at an address; `meter` notes what comes. An error is a VM that is gone or busy.
    fn ask_state(
        &self,
        address: net::SocketAddr,
        ask: &message::StateAsk,
        meter: &transfer::TransferMeter,
    ) -> impl Future<Output = io::Result<message::StateReply>>;
}

/// Other VMs over TCP.
#[derive(Clone, Copy, Debug)]
pub struct TcpPeers;

impl PeerPort for TcpPeers {
    async fn ask_state(
        &self,
        address: net::SocketAddr,
        ask: &message::StateAsk,
        meter: &transfer::TransferMeter,
    ) -> io::Result<message::StateReply> {
        let stream = sockets::TcpStream::connect(address).await?;
        let stream = taps::InspectReader::new(stream, |bytes: &[u8]| meter.note(bytes.len()));
        let mut framed = codec::Framed::new(stream, state_codec());
        framed.send(Bytes::from(ask.encode_to_vec())).await?;
        let frame = framed.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
        message::StateReply::decode(frame).map_err(io::Error::other)
    }
}

/// Asks other VMs for what the store does not bring; never ends.
pub async fn catch_up<P, Q: PeerPort>(
    plane: rc::Rc<plane::ExchangePlane<P>>,
    port: Q,
    decode: follow::DocumentDecoder,
) {
    loop {
        time::sleep(LOOK_GAP).await;
        note_difference(&mut plane.state());
        let Some(address) = who_knows_more(&plane) else {
            continue;
        };
        let whole = plane.state().servers_whole;
        let ask = state_ask(&plane.state());
        let limit = if whole { STATE_LIMIT } else { LIST_LIMIT };
        let meter = plane.state().from_peers.clone();
        let asking = port.ask_state(address, &ask, &meter);
        let reply = meter.limit(&limit, asking).await;
        let taken = match reply {
            Ok(Ok(reply)) => {
                take_state(&plane, reply, decode);
                true
            }
            Ok(Err(fault)) => {
                count_failed("refused");
                log::debug!(vm:% = address, fault:% = fault; "VM gave no state");
                false
            }
            Err(stalled) => {
                count_failed("late");
                log::warn!(vm:% = address, fault:% = stalled; "state of another VM not whole");
                false
            }
        };
        let gap = if whole || taken {
            pace(ask.ready.len() + ask.leaving.len())
        } else {
            LIST_GAP.mul_f64(0.5 + plane.state().draw())
        };
        time::sleep(gap).await;
    }
}

fn count_failed(cause: &'static str) {
    metrics::counter!("pollenchute_exchange_states_failed_total", "cause" => cause).increment(1);
}

/// Time until the next asking.
#[must_use]
pub fn pace(servers: usize) -> time::Duration {
    STATE_GAP + STATE_GAP_EACH * u32::try_from(servers).unwrap_or(u32::MAX)
}

/// Asks for what a VM knows otherwise than this one.
#[must_use]
pub fn state_ask(state: &state::PlaneState) -> message::StateAsk {
    let hashes = |standing| {
        let servers = state.fleet.servers();
        let servers = servers.filter(move |(_, server)| server.standing == standing);
        servers.map(|(_, server)| server.name_hash())
    };
    message::StateAsk {
        catalog_version: state.version(),
        ready: hashes(server::ServerStanding::Ready).collect(),
        leaving: hashes(server::ServerStanding::Leaving).collect(),
    }
}

/// Notes whether most VMs know other news of servers than this one, for instance since a datagram
/// with news was lost on its way here.
fn note_difference(state: &mut state::PlaneState) {
    let now = time::Instant::now();
    let own = state.fleet.standing_hash();
    let version = state.version();
    let (mut behind, mut same, mut other) = (false, 0, 0);
    for (_, peer) in state.peers.all().filter(|(_, peer)| peer.is_heard(now)) {
        behind |= peer.catalog_version > version;
        if peer.standing_hash == own {
            same += 1;
        } else {
            other += 1;
        }
    }
    note_since(&mut state.behind_since, behind, now);
    note_since(&mut state.differs_since, other > same, now);
}

/// Keeps since when something holds.
fn note_since(since: &mut Option<time::Instant>, holds: bool, now: time::Instant) {
    if holds {
        since.get_or_insert(now);
    } else {
        *since = None;
    }
}

/// A VM that has a newer configuration, or newer news while the store is away.
fn who_knows_more<P>(plane: &plane::ExchangePlane<P>) -> Option<net::SocketAddr> {
    let mut state = plane.state();
    let now = time::Instant::now();
    let version = state.version();
    // Any one of those that know more, so that no single VM sends it to all others.
    let draw = (state.draw() * 1e6) as usize;
    let heard = || {
        state
            .peers
            .all()
            .map(|(_, peer)| peer)
            .filter(|peer| peer.is_heard(now))
    };
    let late = !state.from_store.is_moving()
        && state.behind_since.is_some_and(|since| {
            let first = if state.store_away {
                LOOK_GAP
            } else {
                STORE_FIRST
            };
            now.saturating_duration_since(since) >= first
        });
    let newer: Vec<_> = heard()
        .filter(|peer| late && peer.catalog_version > version)
        .collect();
    let newer = newer.get(draw % newer.len().max(1)).copied();
    let newer = newer.or_else(|| {
        let whole = heard().filter(|peer| !state.servers_whole && !peer.partial);
        let asked = near_first(whole.collect(), &state.settings.domain);
        asked.get(draw % asked.len().max(1)).copied()
    });
    let differs = state
        .differs_since
        .is_some_and(|since| now.saturating_duration_since(since) >= DIFFERS_FOR);
    let own = state.fleet.standing_hash();
    let newer = newer.or_else(|| {
        let other = heard().filter(|peer| differs && peer.standing_hash != own);
        let asked = worth_asking(other.collect(), &state.settings.domain);
        asked.get(draw % asked.len().max(1)).copied()
    });
    newer.map(|peer| peer.link_address)
}

/// VMs of this VM's failure domain if there are some, as bytes between domains are dear; else all. One
/// alone would be asked by its whole domain.
fn near_first<'a>(peers: Vec<&'a peers::PeerRecord>, domain: &str) -> Vec<&'a peers::PeerRecord> {
    let near = peers.iter().filter(|peer| peer.domain == domain);
    let near: Vec<_> = near.copied().collect();
    if near.len() > 1 { near } else { peers }
}

/// Of VMs that know other news than this one, those that know what most of them know: one that was
/// cut off knows otherwise too. Of these, those of this VM's failure domain if there are any: bytes
/// between domains are dear.
#[must_use]
pub fn worth_asking<'a>(
    others: Vec<&'a peers::PeerRecord>,
    domain: &str,
) -> Vec<&'a peers::PeerRecord> {
    let mut counts = collections::BTreeMap::<u64, usize>::new();
    for peer in &others {
        *counts.entry(peer.standing_hash).or_default() += 1;
    }
    let most = counts.values().copied().max().unwrap_or_default();
    let agreed = others
        .into_iter()
        .filter(|peer| counts.get(&peer.standing_hash) == Some(&most));
    let (near, far): (Vec<_>, Vec<_>) = agreed.partition(|peer| peer.domain == domain);
    if near.is_empty() { far } else { near }
}

/// Takes what a VM answered.
pub fn take_state<P>(
    plane: &plane::ExchangePlane<P>,
    reply: message::StateReply,
    decode: follow::DocumentDecoder,
) {
    let now = time::Instant::now();
    // A VM that was heard a moment ago may be gone, and another system's have its address.
    if !plane.state().system.is_own(reply.system) {
        return;
    }
    if !reply.catalog.is_empty() {
        follow::take_document(plane, decode, reply.catalog, "peer");
    }
    let news: Vec<_> = reply
        .news
        .iter()
        .filter_map(message::NewsItem::decode_news)
        .collect();
    let changed = link::take_news(plane, &news, now);
    let mut state = plane.state();
    state.servers_whole |= !reply.partial;
    for known in reply.known.iter().filter_map(|known| known.parse().ok()) {
        if known != state.settings.link_address {
            state.peers.tell(known);
        }
    }
    drop(state);
    if changed {
        plane.stir();
    }
}

/// Answers VMs that ask for all that this one knows.
pub(crate) async fn answer_states<P: 'static>(
    plane: rc::Rc<plane::ExchangePlane<P>>,
    listener: sockets::TcpListener,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            time::sleep(link::FAULT_PAUSE).await;
            continue;
        };
        let plane = plane.clone();
        tokio::task::spawn_local(async move {
            let meter = transfer::TransferMeter::default();
            let answering = answer_state(plane, stream, &meter);
            if let Err(stalled) = meter.limit(&LIST_LIMIT, answering).await {
                log::debug!(fault:% = stalled; "a VM does not take the state that it asked for");
            }
        });
    }
}

async fn answer_state<P>(
    plane: rc::Rc<plane::ExchangePlane<P>>,
    stream: sockets::TcpStream,
    meter: &transfer::TransferMeter,
) -> io::Result<()> {
    let stream = taps::InspectWriter::new(stream, |bytes: &[u8]| meter.note(bytes.len()));
    let mut framed = codec::Framed::new(stream, state_codec());
    let frame = framed.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
    let ask = message::StateAsk::decode(frame).map_err(io::Error::other)?;
    let (reply, _guard) = answer(&plane, &ask).ok_or(io::ErrorKind::ResourceBusy)?;
    framed.send(Bytes::from(reply.encode_to_vec())).await
}

/// Counts a long list as being sent until dropped.
#[derive(Debug)]
pub struct ListGuard<P>(rc::Rc<plane::ExchangePlane<P>>);

impl<P> Drop for ListGuard<P> {
    fn drop(&mut self) {
        self.0.lists_sent.set(self.0.lists_sent.get() - 1);
    }
}

/// The answer to a VM that asks, with a guard to be kept until it is sent; absent while this VM sends
/// as many long lists as it may. If all that ask at a mass restart were answered, each list would
/// arrive after the asker's timeout, and be asked for again.
pub fn answer<P>(
    plane: &rc::Rc<plane::ExchangePlane<P>>,
    ask: &message::StateAsk,
) -> Option<(message::StateReply, Option<ListGuard<P>>)> {
    let mut state = plane.state();
    let known = state
        .fleet
        .servers()
        .filter(|(_, server)| server.is_listed());
    let long = known.count() > ask.ready.len() + ask.leaving.len() + LONG_LIST;
    let sent = plane.lists_sent.get();
    if long && sent >= MOST_LISTS {
        return None;
    }
    let guard = long.then(|| {
        plane.lists_sent.set(sent + 1);
        ListGuard(plane.clone())
    });
    Some((state_reply(&mut state, ask), guard))
}

/// What this VM knows otherwise than the asker. Where thousands of servers come and go, all that it
/// knows is 300 KB, and all but a few hundred bytes of it are known to the asker.
#[must_use]
pub fn state_reply(state: &mut state::PlaneState, ask: &message::StateAsk) -> message::StateReply {
    let newer = state.version() > ask.catalog_version;
    let ready: collections::HashSet<_> = ask.ready.iter().copied().collect();
    let leaving: collections::HashSet<_> = ask.leaving.iter().copied().collect();
    let differs = |server: &server::ServerRecord| {
        let hash = server.name_hash();
        let known = match server.standing {
            server::ServerStanding::Ready => ready.contains(&hash) || leaving.contains(&hash),
            server::ServerStanding::Leaving => leaving.contains(&hash),
            server::ServerStanding::Gone => !ready.contains(&hash) && !leaving.contains(&hash),
        };
        !known
    };
    let servers = state.fleet.servers().map(|(_, server)| server);
    let news = servers
        .filter(|server| !server.superseded && differs(server))
        .map(|server| message::NewsItem::from(&server.news()));
    let news = news.collect();
    let catalog = if newer {
        state.document.clone()
    } else {
        Bytes::new()
    };
    message::StateReply {
        catalog,
        news,
        known: speak::known(state),
        system: state.system.number(),
        partial: !state.servers_whole,
    }
}

fn state_codec() -> codec::LengthDelimitedCodec {
    codec::LengthDelimitedCodec::builder()
        .max_frame_length(MOST_STATE)
        .new_codec()
}

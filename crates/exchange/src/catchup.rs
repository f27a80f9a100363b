//! One TCP exchange for what another VM knows otherwise, and neither the store nor datagrams bring.

use std::{collections, io, net, rc};

use bytes::Bytes;
use carry::transfer;
use futures_util::{SinkExt as _, StreamExt as _};
use prost::Message as _;
use tokio::{net as sockets, time};
use tokio_util::{codec, io as taps};

use crate::{delta, follow, link, message, peers, plane, server, speak, state};

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
/// Mean pause after a VM that was busy, of an asker that lacks a configuration or a part of the list.
const RETRY_GAP: time::Duration = time::Duration::from_millis(100);
/// A list is long from this many servers on that the asker does not know.
const LONG_LIST: usize = 200;
/// A document is long from this many bytes on that the asker does not have.
const LONG_DOCUMENT: usize = 32 * 1_024;
/// Long answers that one VM sends at a time.
const MOST_LONG: usize = 2;
/// Time between two looks whether another VM knows more.
const LOOK_GAP: time::Duration = time::Duration::from_millis(60);
/// Time that the store has to bring a configuration to a VM that reads it for all, before it is asked of
/// a VM that has it.
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
        let whole = plane.state().servers_complete;
        let ask = state_ask(&plane.state());
        let base = plane.state().document.clone();
        let behind = plane.state().behind_since.is_some();
        if behind {
            plane.state().peers_asked_at = Some(time::Instant::now());
        }
        let limit = if whole { STATE_LIMIT } else { LIST_LIMIT };
        let meter = plane.state().from_peers.clone();
        let asking = port.ask_state(address, &ask, &meter);
        let reply = meter.limit(&limit, asking).await;
        let taken = match reply {
            Ok(Ok(reply)) => {
                take_state(&plane, &base, reply, decode);
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
        let still_behind = behind && plane.state().version() == ask.catalog_version;
        let gap = if still_behind || !whole && !taken {
            RETRY_GAP.mul_f64(0.5 + plane.state().draw())
        } else {
            pace(ask.ready.len() + ask.leaving.len())
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
    let takes_delta = !state.delta_failed;
    let behind = state.behind_since.is_some();
    let pieces = if takes_delta && behind {
        state.document.hashes()
    } else {
        Vec::new()
    };
    message::StateAsk {
        catalog_version: state.version(),
        ready: hashes(server::ServerStanding::Ready).collect(),
        leaving: hashes(server::ServerStanding::Leaving).collect(),
        pieces,
        takes_delta,
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
            let first = if state.reads_store(now) && !state.store_away {
                STORE_FIRST
            } else {
                time::Duration::ZERO
            };
            now.saturating_duration_since(since) >= first
        });
    let newer = heard().filter(|peer| late && peer.catalog_version > version);
    let newer = near_first(newer.collect());
    let newer = newer.get(draw % newer.len().max(1)).copied();
    let newer = newer.or_else(|| {
        let whole = heard().filter(|peer| !state.servers_complete && !peer.partial);
        let asked = near_first(whole.collect());
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
fn near_first(peers: Vec<&peers::PeerRecord>) -> Vec<&peers::PeerRecord> {
    let near = peers.iter().filter(|peer| peer.near);
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

/// Takes what a VM answered that was asked when `base` was the document in force.
pub fn take_state<P>(
    plane: &plane::ExchangePlane<P>,
    base: &delta::PiecedDocument,
    reply: message::StateReply,
    decode: follow::DocumentDecoder,
) {
    let now = time::Instant::now();
    // A VM that was heard a moment ago may be gone, and another system's have its address.
    if !plane.state().system.is_own(reply.system) {
        return;
    }
    if let Some(document) = document_of(plane, base, &reply) {
        follow::take_document(plane, decode, document, "peer");
    }
    let news: Vec<_> = reply
        .news
        .iter()
        .filter_map(message::NewsItem::decode_news)
        .collect();
    let changed = link::take_news(plane, &news, now);
    let mut state = plane.state();
    state.servers_complete |= !reply.partial;
    for known in reply.known.iter().filter_map(|known| known.parse().ok()) {
        if known != state.settings.link_address {
            state.peers.tell(known);
        }
    }
    drop(state);
    if changed {
        plane.wake_decisions();
    }
}

/// The document in an answer, if there is one.
fn document_of<P>(
    plane: &plane::ExchangePlane<P>,
    base: &delta::PiecedDocument,
    reply: &message::StateReply,
) -> Option<Bytes> {
    let Some(delta) = &reply.delta else {
        return (!reply.catalog.is_empty()).then(|| reply.catalog.clone());
    };
    let applied = base.apply(delta).map_err(|fault| {
        count_failed("delta");
        log::warn!(fault:% = fault; "document not taken, the next one is asked for whole");
        plane.state().delta_failed = true;
    });
    applied.ok()
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
    framed.send(Bytes::from(reply.encode_to_vec())).await?;
    // What is still in the socket's buffer counts as being sent until the asker closes.
    framed.next().await.transpose().map(drop)
}

/// Counts a long answer as being sent until dropped.
#[derive(Debug)]
pub struct LongGuard<P>(rc::Rc<plane::ExchangePlane<P>>);

impl<P> Drop for LongGuard<P> {
    fn drop(&mut self) {
        self.0.long_sent.set(self.0.long_sent.get() - 1);
    }
}

/// The answer to a VM that asks, with a guard to be kept until it is sent; absent while this VM sends
/// as many long answers as it may. If all that ask at a mass restart were answered, each would arrive
/// late, and none could be passed on meanwhile.
pub fn answer<P>(
    plane: &rc::Rc<plane::ExchangePlane<P>>,
    ask: &message::StateAsk,
) -> Option<(message::StateReply, Option<LongGuard<P>>)> {
    let mut state = plane.state();
    let known = state
        .fleet
        .servers()
        .filter(|(_, server)| server.is_listed());
    let long_list = known.count() > ask.ready.len() + ask.leaving.len() + LONG_LIST;
    let newer = state.version() > ask.catalog_version;
    let sent = plane.long_sent.get();
    if (long_list || newer) && sent >= MOST_LONG {
        return None;
    }
    let reply = state_reply(&mut state, ask);
    let long = long_list || document_bytes(&reply) > LONG_DOCUMENT;
    let guard = long.then(|| {
        plane.long_sent.set(sent + 1);
        LongGuard(plane.clone())
    });
    Some((reply, guard))
}

/// Bytes of a document in an answer.
fn document_bytes(reply: &message::StateReply) -> usize {
    let delta = reply.delta.as_ref();
    reply.catalog.len() + delta.map_or(0, prost::Message::encoded_len)
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
        .map(|server| message::NewsItem::from(&server.update()));
    let news = news.collect();
    let delta = (newer && ask.takes_delta).then(|| state.document.delta(&ask.pieces));
    let catalog = if newer && delta.is_none() {
        state.document.bytes().clone()
    } else {
        Bytes::new()
    };
    message::StateReply {
        catalog,
        delta,
        news,
        known: speak::known(state),
        system: state.system.number(),
        partial: !state.servers_complete,
    }
}

fn state_codec() -> codec::LengthDelimitedCodec {
    codec::LengthDelimitedCodec::builder()
        .max_frame_length(MOST_STATE)
        .new_codec()
}

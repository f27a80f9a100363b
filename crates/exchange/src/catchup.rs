//! Fetches state from another VM over TCP: differences that neither the store nor datagrams have
//! delivered.

use std::{collections, io, net, rc};

use bytes::Bytes;
use carry::{bounded, places, transfer};
use futures_util::{SinkExt as _, StreamExt as _};
use prost::Message as _;
use tokio::{net as sockets, time};
use tokio_util::{codec, io as taps};

use crate::{announce, delta, endless, follow, link, message, peers, plane, server, state};

/// Time for which most VMs must have a different view of the servers before this VM requests the
/// difference from one of them.
pub const DIFFERENCE_DELAY: time::Duration = time::Duration::from_millis(400);
/// Maximum size of a state reply: a configuration of 38,000 organisations takes about 8 MB, and the list
/// of 3,000 servers 0.3 MB.
const MAX_STATE_BYTES: usize = 12 * 1_024 * 1_024;
/// Maximum size of a state request, which has 4 bytes per server and 8 per chunk of the document: some
/// 20 KB at 3,000 servers and 8 MB.
const MAX_REQUEST_BYTES: usize = 256 * 1_024;
/// Time without a byte after which a state exchange is aborted.
const STATE_IDLE_TIMEOUT: time::Duration = time::Duration::from_millis(700);
/// Maximum duration of a state exchange.
const STATE_TIMEOUT: time::Duration = time::Duration::from_secs(20);
/// Limits of a state exchange.
pub const STATE_LIMIT: transfer::TransferLimit = transfer::TransferLimit {
    first: STATE_IDLE_TIMEOUT,
    silence: STATE_IDLE_TIMEOUT,
    total: STATE_TIMEOUT,
};
/// Limits while the requester has only a part of the list of servers, and for the VM that replies.
/// The first byte may take longer, because other VMs send requests at the same time.
const LIST_LIMIT: transfer::TransferLimit = transfer::TransferLimit {
    first: time::Duration::from_millis(1_500),
    ..STATE_LIMIT
};
/// Listener for state requests among those that count connections.
const LISTENER: places::ListenerName = places::ListenerName("link");
/// Group of all state requests among those that hold places.
const STATE_GROUP: u64 = 0;
/// Mean pause of a VM that lacks a configuration or a part of the list, after the VM that it asked
/// was busy.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// A list reply is long from this many servers on that the requester does not know.
const LONG_LIST_SERVERS: usize = 200;
/// A document reply is long from this many bytes on that the requester does not have.
const LONG_DOCUMENT_BYTES: usize = 32 * 1_024;
/// Maximum number of long replies that one VM sends at the same time.
const MAX_LONG_REPLIES: usize = 2;
/// Interval between two checks whether another VM has newer state.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(60);
/// Time for the store to deliver a configuration to a VM that reads the store for all, before it is
/// requested from a VM that has it.
const STORE_GRACE: time::Duration = time::Duration::from_millis(500);
/// Base interval between two state requests.
const REQUEST_INTERVAL: time::Duration = time::Duration::from_millis(300);
/// Added to the interval for each server. Where thousands of servers come and go, no two VMs ever
/// have exactly the same view, and each sends requests all the time. A request carries 5 bytes per
/// server: at 3,000 servers that makes 12 KB a second. A notice that was lost twice is recovered
/// within this and [`DIFFERENCE_DELAY`]: a notice of leaving must be known everywhere within about
/// two seconds.
const REQUEST_INTERVAL_PER_SERVER: time::Duration = time::Duration::from_micros(300);

/// Value of `source` in log lines for a server in the state reply of another VM.
const SOURCE_STATE: &str = "state";

/// State requests to other VMs.
pub trait PeerPort {
    /// Requests state from the VM at an address; `meter` counts the bytes received. An error means
    /// that the VM is unreachable or busy.
    fn request_state(
        &self,
        address: net::SocketAddr,
        request: &message::StateRequest,
        meter: &transfer::TransferMeter,
    ) -> impl Future<Output = io::Result<message::StateReply>>;
}

/// State requests over TCP.
#[derive(Clone, Copy, Debug)]
pub struct TcpPeers;

impl PeerPort for TcpPeers {
    async fn request_state(
        &self,
        address: net::SocketAddr,
        request: &message::StateRequest,
        meter: &transfer::TransferMeter,
    ) -> io::Result<message::StateReply> {
        let stream = sockets::TcpStream::connect(address).await?;
        bounded::reset_on_close(&stream)?;
        let stream = taps::InspectReader::new(stream, |bytes: &[u8]| meter.note(bytes.len()));
        let mut framed = codec::Framed::new(stream, state_codec(MAX_STATE_BYTES));
        framed.send(Bytes::from(request.encode_to_vec())).await?;
        let frame = framed.next().await.ok_or(io::ErrorKind::UnexpectedEof)?;
        let frame =
            frame.inspect_err(|fault| endless::report_frame(fault, MAX_STATE_BYTES, &address))?;
        message::StateReply::decode(frame).map_err(io::Error::other)
    }
}

/// Requests from other VMs what the store does not deliver; never ends.
pub async fn catch_up<P, Q: PeerPort>(
    plane: rc::Rc<plane::ExchangePlane<P>>,
    port: Q,
    decode: follow::DocumentDecoder,
) {
    loop {
        time::sleep(CHECK_INTERVAL).await;
        note_difference(&mut plane.state());
        let Some(address) = choose_source(&plane) else {
            continue;
        };
        let complete = plane.state().servers_complete;
        let request = state_request(&plane.state());
        let base = plane.state().document.clone();
        let behind = plane.state().behind_since.is_some();
        if behind {
            plane.state().peers_requested_at = Some(time::Instant::now());
        }
        let limit = if complete { STATE_LIMIT } else { LIST_LIMIT };
        let meter = plane.state().from_peers.clone();
        let exchange = port.request_state(address, &request, &meter);
        let reply = meter.limit(&limit, exchange).await;
        let taken = match reply {
            Ok(Ok(reply)) => {
                take_state(&plane, &base, reply, decode);
                true
            }
            Ok(Err(error)) => {
                count_failed("refused");
                log::debug!(vm:% = address, fault:% = error; "VM did not send its state");
                false
            }
            Err(stalled) => {
                count_failed("late");
                endless::report_stalled(&stalled, &limit, &address);
                log::warn!(vm:% = address, fault:% = stalled; "state reply of another VM is incomplete");
                false
            }
        };
        let still_behind = behind && plane.state().version() == request.catalog_version;
        let interval = if still_behind || !complete && !taken {
            RETRY_INTERVAL.mul_f64(0.5 + plane.state().draw())
        } else {
            request_interval(request.ready.len() + request.leaving.len())
        };
        time::sleep(interval).await;
    }
}

fn count_failed(cause: &'static str) {
    metrics::counter!("pollenchute_exchange_states_failed_total", "cause" => cause).increment(1);
}

/// Interval until the next state request.
#[must_use]
pub fn request_interval(servers: usize) -> time::Duration {
    REQUEST_INTERVAL + REQUEST_INTERVAL_PER_SERVER * u32::try_from(servers).unwrap_or(u32::MAX)
}

/// Creates a request for the differences between another VM's state and this one's.
#[must_use]
pub fn state_request(state: &state::PlaneState) -> message::StateRequest {
    let hashes = |standing| {
        let servers = state.fleet.servers();
        let servers = servers.filter(move |(_, server)| server.standing == standing);
        servers.map(|(_, server)| server.name_hash())
    };
    let takes_delta = !state.delta_failed;
    let behind = state.behind_since.is_some();
    let chunks = if takes_delta && behind {
        state.document.hashes()
    } else {
        Vec::new()
    };
    message::StateRequest {
        catalog_version: state.version(),
        ready: hashes(server::ServerStanding::Ready).collect(),
        leaving: hashes(server::ServerStanding::Leaving).collect(),
        chunks,
        takes_delta,
    }
}

/// Whether the store answers any VM that counts as alive. If so, only the views of such VMs count:
/// one that the store turns away knows no removal since.
fn is_any_answered(state: &state::PlaneState, now: time::Instant) -> bool {
    let mut peers = state.peers.all();
    peers.any(|(_, peer)| peer.is_alive(now) && !peer.store_unavailable)
}

/// Notes whether most VMs have a different view of the servers than this one, for instance because
/// a datagram with updates was lost on its way here.
fn note_difference(state: &mut state::PlaneState) {
    let now = time::Instant::now();
    let own = state.fleet.standing_hash();
    let version = state.version();
    let any_answered = is_any_answered(state, now);
    let (mut behind, mut same, mut other) = (false, 0, 0);
    for (_, peer) in state.peers.all().filter(|(_, peer)| peer.is_alive(now)) {
        behind |= peer.catalog_version > version;
        if any_answered && peer.store_unavailable {
            continue;
        }
        if peer.standing_hash == own {
            same += 1;
        } else {
            other += 1;
        }
    }
    note_since(&mut state.behind_since, behind, now);
    note_since(&mut state.differs_since, other > same, now);
}

/// Sets the time since which a condition holds, or clears it.
fn note_since(since: &mut Option<time::Instant>, holds: bool, now: time::Instant) {
    if holds {
        since.get_or_insert(now);
    } else {
        *since = None;
    }
}

/// Selects a VM that has a newer configuration, a complete list of servers that this VM lacks, or a
/// different view of the servers.
fn choose_source<P>(plane: &plane::ExchangePlane<P>) -> Option<net::SocketAddr> {
    let mut state = plane.state();
    let now = time::Instant::now();
    let version = state.version();
    // Choose at random among the candidates, so that no single VM has to serve all others.
    let draw = (state.draw() * 1e6) as usize;
    let alive = || {
        state
            .peers
            .all()
            .map(|(_, peer)| peer)
            .filter(|peer| peer.is_alive(now))
    };
    let overdue = !state.from_store.is_moving()
        && state.behind_since.is_some_and(|since| {
            let grace = if state.reads_store(now) && !state.contact.is_unavailable() {
                STORE_GRACE
            } else {
                time::Duration::ZERO
            };
            now.saturating_duration_since(since) >= grace
        });
    let newer = alive().filter(|peer| overdue && peer.catalog_version > version);
    let newer = prefer_near(newer.collect());
    let source = newer.get(draw % newer.len().max(1)).copied();
    let source = source.or_else(|| {
        let complete = alive().filter(|peer| !state.servers_complete && !peer.partial);
        let candidates = prefer_near(complete.collect());
        candidates.get(draw % candidates.len().max(1)).copied()
    });
    let differs = state
        .differs_since
        .is_some_and(|since| now.saturating_duration_since(since) >= DIFFERENCE_DELAY);
    let own = state.fleet.standing_hash();
    let source = source.or_else(|| {
        let any_answered = is_any_answered(&state, now);
        let counts = alive().filter(|peer| !(any_answered && peer.store_unavailable));
        let other = counts.filter(|peer| differs && peer.standing_hash != own);
        let candidates = preferred_sources(other.collect(), &state.settings.domain);
        candidates.get(draw % candidates.len().max(1)).copied()
    });
    source.map(|peer| peer.link_address)
}

/// The candidates in this VM's failure domain if there are at least two, because traffic between
/// domains is expensive; otherwise all. A single one would have to serve its whole domain.
fn prefer_near(peers: Vec<&peers::PeerRecord>) -> Vec<&peers::PeerRecord> {
    let near = peers.iter().filter(|peer| peer.near);
    let near: Vec<_> = near.copied().collect();
    if near.len() > 1 { near } else { peers }
}

/// Of the VMs whose view of the servers differs from this VM's, returns those that share the most
/// common view, because a VM that was cut off has a different view too. Of these, prefers VMs of
/// this failure domain, because traffic between domains is expensive.
#[must_use]
pub fn preferred_sources<'a>(
    others: Vec<&'a peers::PeerRecord>,
    domain: &str,
) -> Vec<&'a peers::PeerRecord> {
    let mut counts = collections::BTreeMap::<u64, usize>::new();
    for peer in &others {
        *counts.entry(peer.standing_hash).or_default() += 1;
    }
    let max = counts.values().copied().max().unwrap_or_default();
    let agreed = others
        .into_iter()
        .filter(|peer| counts.get(&peer.standing_hash) == Some(&max));
    let (near, far): (Vec<_>, Vec<_>) = agreed.partition(|peer| peer.domain == domain);
    if near.is_empty() { far } else { near }
}

/// Applies a state reply to a request that was sent when `base` was the document in force.
pub fn take_state<P>(
    plane: &plane::ExchangePlane<P>,
    base: &delta::ChunkedDocument,
    reply: message::StateReply,
    decode: follow::DocumentDecoder,
) {
    let now = time::Instant::now();
    // The VM may have stopped a moment ago, and a VM of another system may have its address now.
    if !plane.state().system.is_own(reply.system) {
        return;
    }
    plane.state().note_era(reply.store_era, SOURCE_STATE, now);
    if let Some(document) = document_of(plane, base, &reply) {
        follow::take_document(plane, decode, document, "peer");
    }
    let updates: Vec<_> = reply
        .updates
        .iter()
        .filter_map(message::UpdateItem::decode_update)
        .collect();
    let mut changed = link::take_updates(plane, &updates, SOURCE_STATE, now);
    let removals = plane.state().fleet.removals_of(&reply);
    changed |= link::take_updates(plane, &removals, SOURCE_STATE, now);
    let mut state = plane.state();
    state.servers_complete |= !reply.partial;
    let known_until = state.fleet.complete_until.max(reply.complete_until());
    state.fleet.complete_until = known_until;
    for known in reply.known.iter().filter_map(|known| known.parse().ok()) {
        if known != state.settings.link_address {
            state.peers.add_address(known);
        }
    }
    drop(state);
    if changed {
        plane.wake_decisions();
    }
}

/// The document in a reply, if there is one.
fn document_of<P>(
    plane: &plane::ExchangePlane<P>,
    base: &delta::ChunkedDocument,
    reply: &message::StateReply,
) -> Option<Bytes> {
    let Some(delta) = &reply.delta else {
        return (!reply.catalog.is_empty()).then(|| reply.catalog.clone());
    };
    let applied = base.apply(delta).map_err(|error| {
        count_failed("delta");
        log::warn!(fault:% = error; "document delta can't be applied; requesting the complete document next");
        plane.state().delta_failed = true;
    });
    applied.ok()
}

/// Serves state requests of other VMs.
pub(crate) async fn serve_state_requests<P: 'static>(
    plane: rc::Rc<plane::ExchangePlane<P>>,
    listener: sockets::TcpListener,
    connections: usize,
) {
    let table = places::PlaceTable::default();
    loop {
        let Ok((stream, address)) = listener.accept().await else {
            time::sleep(link::ERROR_PAUSE).await;
            continue;
        };
        let Some(place) = table.enter(LISTENER, connections) else {
            metrics::counter!("pollenchute_carry_connections_refused_total", "listener" => LISTENER.0)
                .increment(1);
            continue;
        };
        let plane = plane.clone();
        tokio::task::spawn_local(async move {
            let meter = transfer::TransferMeter::default();
            let serving = serve_state_request(plane, stream, address, &meter, &place);
            let stalled = tokio::select! {
                served = meter.limit(&LIST_LIMIT, serving) => served.err(),
                _ = place.evicted() => None,
            };
            if let Some(stalled) = stalled {
                log::debug!(fault:% = stalled; "VM does not read the state that it requested");
            }
        });
    }
}

async fn serve_state_request<P>(
    plane: rc::Rc<plane::ExchangePlane<P>>,
    stream: sockets::TcpStream,
    address: net::SocketAddr,
    meter: &transfer::TransferMeter,
    place: &places::HeldPlace,
) -> io::Result<()> {
    bounded::reset_on_close(&stream)?;
    let stream = taps::InspectWriter::new(stream, |bytes: &[u8]| meter.note(bytes.len()));
    let mut framed = codec::Framed::new(stream, state_codec(MAX_REQUEST_BYTES));
    let frame = framed.next().await.ok_or(io::ErrorKind::UnexpectedEof)?;
    let frame =
        frame.inspect_err(|fault| endless::report_frame(fault, MAX_REQUEST_BYTES, &address))?;
    let request = message::StateRequest::decode(frame).map_err(io::Error::other)?;
    if !place.accept(STATE_GROUP) {
        return Err(io::ErrorKind::ResourceBusy.into());
    }
    let (reply, _guard) = answer(&plane, &request).ok_or(io::ErrorKind::ResourceBusy)?;
    framed.codec_mut().set_max_frame_length(MAX_STATE_BYTES);
    framed.send(Bytes::from(reply.encode_to_vec())).await?;
    // Data in the socket's buffer counts as being sent until the requester closes the connection.
    framed.codec_mut().set_max_frame_length(0);
    framed.next().await.transpose().map(drop)
}

/// Counts a long reply as being sent until dropped.
#[derive(Debug)]
pub struct LongReplyGuard<P>(rc::Rc<plane::ExchangePlane<P>>);

impl<P> Drop for LongReplyGuard<P> {
    fn drop(&mut self) {
        self.0.long_sent.set(self.0.long_sent.get() - 1);
    }
}

/// The reply to a state request, with a guard that is kept until the reply is sent; `None` while
/// this VM already sends the maximum number of long replies. If all requests were served at a mass
/// restart, each reply would arrive late, and none could be passed on meanwhile.
pub fn answer<P>(
    plane: &rc::Rc<plane::ExchangePlane<P>>,
    request: &message::StateRequest,
) -> Option<(message::StateReply, Option<LongReplyGuard<P>>)> {
    let mut state = plane.state();
    let known = state
        .fleet
        .servers()
        .filter(|(_, server)| server.is_listed());
    let long_list = known.count() > request.ready.len() + request.leaving.len() + LONG_LIST_SERVERS;
    let newer = state.version() > request.catalog_version;
    let sent = plane.long_sent.get();
    if (long_list || newer) && sent >= MAX_LONG_REPLIES {
        return None;
    }
    let reply = state_reply(&mut state, request);
    let long = long_list || document_bytes(&reply) > LONG_DOCUMENT_BYTES;
    let guard = long.then(|| {
        plane.long_sent.set(sent + 1);
        LongReplyGuard(plane.clone())
    });
    Some((reply, guard))
}

/// Bytes of the document in a reply.
fn document_bytes(reply: &message::StateReply) -> usize {
    let delta = reply.delta.as_ref();
    reply.catalog.len() + delta.map_or(0, prost::Message::encoded_len)
}

/// The differences between this VM's state and the requester's. Where thousands of servers come and
/// go, the complete state is 300 KB, of which the requester already knows all but a few hundred
/// bytes.
#[must_use]
pub fn state_reply(
    state: &mut state::PlaneState,
    request: &message::StateRequest,
) -> message::StateReply {
    let newer = state.version() > request.catalog_version;
    let ready: collections::HashSet<_> = request.ready.iter().copied().collect();
    let leaving: collections::HashSet<_> = request.leaving.iter().copied().collect();
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
    let updates = servers
        .filter(|server| !server.superseded && server.lapse_grace_until.is_none())
        .filter(|server| differs(server))
        .map(|server| message::UpdateItem::from(&server.update()));
    let updates = updates.collect();
    let complete_until = state.vouched_until(time::Instant::now());
    let unlisted = request.ready.iter().chain(&request.leaving);
    let unlisted = unlisted.filter(|&&hash| state.fleet.find_by_hash(hash).is_none());
    let unlisted = unlisted.copied().collect();
    let delta = (newer && request.takes_delta).then(|| state.document.delta(&request.chunks));
    let catalog = if newer && delta.is_none() {
        state.document.bytes().clone()
    } else {
        Bytes::new()
    };
    message::StateReply {
        catalog,
        delta,
        updates,
        known: announce::known(state),
        system: state.system.number(),
        store_era: state.era(),
        partial: !state.servers_complete,
        complete_offset: complete_until.offset,
        complete_era: complete_until.era,
        unlisted,
    }
}

fn state_codec(max_bytes: usize) -> codec::LengthDelimitedCodec {
    codec::LengthDelimitedCodec::builder()
        .max_frame_length(max_bytes)
        .new_codec()
}

//! Sends datagrams to other VMs: loads regularly, updates at once.
//!
//! The recipients are selected in `recipients`.

use std::{collections, net, rc};

use prost::Message as _;
use tokio::{net as sockets, time};

use crate::{link, message, notices, plane, recipients, state};

/// Load changes within this time are sent together.
const LOADS_GAP: time::Duration = time::Duration::from_millis(15);
/// Updates within this time are sent together where they go through relays: at 3,000 servers there
/// are a hundred updates a second.
const NEWS_GAP: time::Duration = time::Duration::from_millis(60);
/// Maximum number of VMs in this VM's failure domain that receive each load change where there are
/// too many VMs for a full mesh. Beyond it loads are sent with the regular datagrams only: at 410
/// VMs each would receive 6,000 changes a second.
const MOST_TOLD_LOADS: usize = 64;
/// Number of datagrams that carry each update, since one may be lost.
const NEWS_TIMES: u32 = 2;
/// Maximum number of server updates in one datagram, of 70 to 95 bytes each, next to the loads of
/// one VM.
const MOST_NEWS: usize = 9;
/// Maximum number of datagrams with updates in one turn. 3,000 servers of which a sixth is replaced
/// every 3.3 s make 450 updates a second; a lower limit delayed updates for four seconds.
const MOST_NEWS_DATAGRAMS: usize = 24;
/// Maximum number of suspect requests in one datagram.
const MOST_ACCUSATIONS: usize = 16;
/// Maximum number of refused requests in one datagram.
const MOST_REFUSED: usize = 32;
/// Maximum number of addresses of other VMs in an introduction.
const MOST_KNOWN: usize = 24;
/// One in this many datagrams introduces this VM, and is also sent to silent VMs.
const RARE: u64 = 16;
/// How long each datagram carries evacuations that changed: as long as a VM may be silent and still
/// count as alive.
const EVACUATIONS_TOLD: time::Duration = time::Duration::from_secs(5);

/// Reason for which datagrams are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpeakCause {
    /// The announce interval is over.
    Regular,
    /// Loads of this VM on servers changed.
    Loads,
    /// There are server updates.
    News,
    /// Something that all VMs must receive at once.
    All,
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
type PendingNews = (message::NewsItem, u32);

/// Sends datagrams; never ends.
pub async fn run<P, D: DatagramPort>(plane: rc::Rc<plane::ExchangePlane<P>>, port: rc::Rc<D>) {
    // Wait for this VM's system, because VMs that know their system accept no peer that does not
    // name the same one.
    plane.identified.notified().await;
    let mut pending = collections::VecDeque::new();
    let mut turn = 0;
    let mut said = 0_u64;
    let mut regular_at = time::Instant::now();
    loop {
        let more = !pending.is_empty() || !plane.state().told_on.is_empty();
        let cause = wait_to_speak(&plane, more, regular_at).await;
        regular_at = next_regular(&plane.state(), cause, regular_at);
        turn += u64::from(cause == SpeakCause::Regular);
        said += 1;
        let rare = said.is_multiple_of(RARE) || said < RARE;
        let datagrams = compose(&mut plane.state(), &mut pending, cause, turn, rare);
        for (audience, bytes) in datagrams {
            for address in audience {
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
    cause: SpeakCause,
    due: time::Instant,
) -> time::Instant {
    let told = match cause {
        SpeakCause::Regular | SpeakCause::All => true,
        SpeakCause::Loads | SpeakCause::News => !recipients::is_large(state.peers.len()),
    };
    if told {
        time::Instant::now() + state.peers.announce_interval()
    } else {
        due
    }
}

/// Waits until there is something to send. `pending` means that updates are waiting to be sent.
pub async fn wait_to_speak<P>(
    plane: &plane::ExchangePlane<P>,
    pending: bool,
    regular_at: time::Instant,
) -> SpeakCause {
    let (large, tells_loads) = {
        let state = plane.state();
        let large = recipients::is_large(state.peers.len());
        let tells_loads = !large || state.peers.near_count() < MOST_TOLD_LOADS;
        (large, tells_loads)
    };
    let news_gap = if large { NEWS_GAP } else { LOADS_GAP };
    tokio::select! {
        biased;
        () = time::sleep_until(regular_at) => SpeakCause::Regular,
        () = time::sleep(news_gap), if pending => SpeakCause::News,
        () = plane.spread.notified() => SpeakCause::All,
        () = plane.news.notified() => {
            if large {
                time::sleep(NEWS_GAP).await;
            }
            SpeakCause::News
        }
        () = plane.loads.notified(), if tells_loads => {
            time::sleep(LOADS_GAP).await;
            SpeakCause::Loads
        }
    }
}

/// Creates the datagrams of one turn, each with its recipients.
fn compose(
    state: &mut state::PlaneState,
    pending: &mut collections::VecDeque<PendingNews>,
    cause: SpeakCause,
    turn: u64,
    rare: bool,
) -> Vec<(Vec<net::SocketAddr>, Vec<u8>)> {
    let now = time::Instant::now();
    let own = state.settings.name.clone();
    let mut composed = Vec::new();
    let news = news_to_tell(state, pending);
    let large = recipients::is_large(state.peers.len());
    let mut audience = match cause {
        SpeakCause::Regular => recipients::regular(&state.peers, turn, now),
        SpeakCause::Loads if large => recipients::near(&state.peers, now),
        SpeakCause::News if large => Vec::new(),
        _ => recipients::alive(&state.peers, now),
    };
    // Selecting relays and groups sorts all VMs, so it is done only for updates that are to be
    // sent.
    let relays = (!news.is_empty())
        .then(|| recipients::relays(&state.peers, &own, turn + state.sequence, now))
        .flatten();
    let mut datagram = datagram(state);
    datagram.refused = state.comebacks.take_untold(MOST_REFUSED);
    let first_hand = relays.as_ref().unwrap_or(&audience);
    for news in news.chunks(MOST_NEWS) {
        let bytes = with_news(state, &datagram, news, large);
        composed.push((first_hand.clone(), bytes));
    }
    if !large {
        // The VM that requested the forwarding knows of more VMs than this one.
        state.told_on.clear();
    }
    let told_on = take_told_on(state);
    if !told_on.is_empty() {
        let part = recipients::relay_group(&state.peers, &own, now);
        for news in told_on.chunks(MOST_NEWS) {
            let bytes = with_news(state, &datagram, news, false);
            composed.push((part.clone(), bytes));
        }
    }
    let noticed = with_notices(state, &datagram, cause);
    // All recipients have received the loads with the updates or notices already.
    let said = !large && !news.is_empty() || !noticed.is_empty();
    composed.extend(noticed.into_iter().map(|bytes| (audience.clone(), bytes)));
    datagram.sequence = state.next_sequence();
    if rare {
        state.peers.sweep(now);
        audience.extend(recipients::silent(&state.peers, now));
    }
    let greeted = state.peers.greetings(now);
    // Few datagrams introduce the sender; the others need not be encoded twice.
    if !rare && !said {
        composed.push((std::mem::take(&mut audience), encode(&mut datagram)));
    }
    if !rare {
        audience.clear();
    }
    audience.extend(greeted);
    if !audience.is_empty() {
        introduce(&mut datagram, state);
        composed.push((audience, encode(&mut datagram)));
    }
    composed
}

/// Encodes a separate datagram with some updates.
fn with_news(
    state: &mut state::PlaneState,
    datagram: &message::PeerDatagram,
    news: &[message::NewsItem],
    tell_on: bool,
) -> Vec<u8> {
    with(state, datagram, |datagram| {
        datagram.news = news.to_vec();
        datagram.tell_on = tell_on;
    })
}

/// Encodes separate datagrams with the notices that are due, if all VMs are recipients.
fn with_notices(
    state: &mut state::PlaneState,
    datagram: &message::PeerDatagram,
    cause: SpeakCause,
) -> Vec<Vec<u8>> {
    if cause != SpeakCause::All {
        return Vec::new();
    }
    let notices = state.notices.take_due();
    let chunks = notices.chunks(notices::MAX_NOTICES_PER_DATAGRAM);
    let chunks = chunks.map(|chunk| {
        with(state, datagram, |datagram| {
            datagram.notices = chunk.to_vec();
        })
    });
    chunks.collect()
}

/// Encodes a separate datagram that `add` extends.
fn with(
    state: &mut state::PlaneState,
    datagram: &message::PeerDatagram,
    add: impl FnOnce(&mut message::PeerDatagram),
) -> Vec<u8> {
    let mut datagram = datagram.clone();
    datagram.sequence = state.next_sequence();
    add(&mut datagram);
    encode(&mut datagram)
}

/// Takes the updates for this turn from `pending`, where those that are to be sent again stay.
fn news_to_tell(
    state: &mut state::PlaneState,
    pending: &mut collections::VecDeque<PendingNews>,
) -> Vec<message::NewsItem> {
    pending.extend(
        state
            .untold
            .drain(..)
            .map(|news| (message::NewsItem::from(&news), NEWS_TIMES)),
    );
    let told: Vec<_> = pending
        .drain(..pending.len().min(MOST_NEWS * MOST_NEWS_DATAGRAMS))
        .collect();
    pending.extend(
        told.iter()
            .filter(|(_, left)| *left > 1)
            .map(|(item, left)| (item.clone(), left - 1)),
    );
    told.into_iter().map(|(item, _)| item).collect()
}

/// Takes the updates that this VM is to forward to its group.
fn take_told_on(state: &mut state::PlaneState) -> Vec<message::NewsItem> {
    let most = state.told_on.len().min(MOST_NEWS * MOST_NEWS_DATAGRAMS);
    state.told_on.drain(..most).collect()
}

/// Encodes a datagram, leaving out entries that do not fit.
fn encode(datagram: &mut message::PeerDatagram) -> Vec<u8> {
    while datagram.encoded_len() > link::MOST_DATAGRAM {
        let shorter = datagram.known.pop().is_some()
            || datagram.accusations.pop().is_some()
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
    let loads = own.iter().filter_map(|(key, load)| {
        let server = state.fleet.server(key)?;
        Some(message::LoadItem {
            server: server.name_hash(),
            runs: load.runs,
            tokens: load.tokens,
            backlog: load.backlog,
            failing: load.failing,
        })
    });
    let loads = loads.collect();
    let accusations = state.suspects.accusations().take(MOST_ACCUSATIONS);
    let accusations = accusations.map(|(fingerprint, server)| message::AccusationItem {
        fingerprint,
        server,
    });
    let accusations = accusations.collect();
    message::PeerDatagram {
        sender: state.sender(),
        sequence: state.next_sequence(),
        stage: state.stage.into(),
        catalog_version: state.version(),
        loads,
        accusations,
        store_away: state.store_away,
        standing_hash: state.fleet.standing_hash(),
        waiting: state.waiting(now),
        partial: !state.servers_whole,
        evacuations: evacuations_changed(state, now).then(|| state.fleet.evacuations().into()),
        ..message::PeerDatagram::default()
    }
}

fn evacuations_changed(state: &state::PlaneState, now: time::Instant) -> bool {
    let changed_at = state.evacuated_at;
    changed_at.is_some_and(|at| now.saturating_duration_since(at) < EVACUATIONS_TOLD)
}

/// Adds the sender's name and addresses, some other VMs and the evacuations.
fn introduce(datagram: &mut message::PeerDatagram, state: &mut state::PlaneState) {
    datagram.evacuations = Some(state.fleet.evacuations().into());
    datagram.system = state.system.number();
    datagram.name.clone_from(&state.settings.name);
    datagram.domain.clone_from(&state.settings.domain);
    datagram.incarnation = state.settings.incarnation;
    datagram.entry_address = state.settings.entry_address.to_string();
    datagram.link_address = state.settings.link_address.to_string();
    datagram.known = known(state);
}

/// Addresses of some other VMs that are alive: a random selection each time, so that a new VM
/// learns of all.
pub(crate) fn known(state: &mut state::PlaneState) -> Vec<String> {
    let heard = recipients::alive(&state.peers, time::Instant::now());
    let first = (state.draw() * heard.len() as f64) as usize;
    let some = heard.iter().cycle().skip(first).take(heard.len());
    some.take(MOST_KNOWN).map(ToString::to_string).collect()
}

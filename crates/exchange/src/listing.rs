//! Keeps the list of servers up to date.
//!
//! Load pattern in steady state: every heartbeat of every server is a record, so a reader that waits for
//! records is answered many times a second, on each VM. Instead few VMs poll, each at its own moment,
//! and tell the others at once what has changed: together they poll several times a second at the price
//! of one reader, and any of them can be cut off.
//!
//! Load pattern at a mass restart: hundreds of VMs start at once and know no server. If each read the
//! whole list, the store would answer too slowly, and calls that time out would be repeated. So each VM
//! reads the first page, from which it can serve, and only those that read the store for all read on.
//! The others take the rest from VMs that have it.

use std::{collections, rc};

use tokio::time;

use crate::{fleet, follow, plane, update};

/// Time between two polls of any VM: streams of a leaving engine need time to move before it is gone.
const POLL_GAP: time::Duration = time::Duration::from_millis(130);
/// Longest time between two polls of one VM.
const POLL_MOST: time::Duration = time::Duration::from_millis(1_000);
/// Shortest time between two polls of one VM.
const POLL_LEAST: time::Duration = time::Duration::from_millis(600);
/// VMs that poll in turn.
const POLLERS: u32 = 6;
/// Time between two checks whether this VM is to read the store for all.
const DUTY_GAP: time::Duration = time::Duration::from_millis(250);
/// The same while the list is read in part.
const REST_GAP: time::Duration = time::Duration::from_millis(60);
/// Time for VMs to hear each other before any reads on after the first page: a VM that hears no other
/// takes itself for one of those that read for all.
const MEET_GAP: time::Duration = time::Duration::from_millis(300);
/// How long a VM that does not read for all waits for the rest of the list from other VMs before it
/// reads on itself.
const REST_WAIT: time::Duration = time::Duration::from_secs(4);
/// News of one reading up to which the others are told each piece. More is what a VM reads that
/// knew nothing, and the others know it; or it is found by the hash of how all servers stand.
pub(crate) const MOST_TOLD: usize = 64;

/// How far the list of servers was read.
#[derive(Debug, Default)]
enum ListCursor {
    /// Not at all.
    #[default]
    Start,
    /// Some pages.
    Within(ListPart),
    /// Whole; what changes is read from this position on.
    Whole(u64),
}

/// Pages of a list that were read.
#[derive(Debug)]
struct ListPart {
    /// Name after which it goes on.
    after: String,
    /// Position of the first page: what changes while pages are read comes behind it.
    end: u64,
    listed: collections::HashSet<String>,
    began: time::Instant,
}

impl ListPart {
    fn begin(end: u64, now: time::Instant) -> Self {
        Self {
            after: String::new(),
            end,
            listed: collections::HashSet::new(),
            began: now,
        }
    }

    /// Adds a page; says whether it is the last one.
    fn add(&mut self, page: follow::UpdatePage) -> bool {
        let names = page.updates.into_iter().map(|news| news.id);
        self.listed.extend(names);
        let last = page.next.is_none();
        self.after = page.next.unwrap_or_default();
        last
    }
}

/// Keeps the servers up to date; never ends.
pub async fn follow_servers<P, S: follow::StorePort>(
    plane: rc::Rc<plane::ExchangePlane<P>>,
    store: rc::Rc<S>,
) {
    let mut cursor = ListCursor::Start;
    loop {
        if !may_read(&plane, &cursor) {
            let within = matches!(cursor, ListCursor::Within(_));
            if within && plane.state().servers_whole {
                cursor = ListCursor::Start;
            }
            time::sleep(if within { REST_GAP } else { DUTY_GAP }).await;
            continue;
        }
        let page = match &cursor {
            ListCursor::Start => store.read_servers(None).await,
            ListCursor::Within(part) => store.read_servers(Some(&part.after)).await,
            ListCursor::Whole(from) => store.read_updates(*from).await,
        };
        let now = time::Instant::now();
        let answered = page != Err(follow::StoreError::Unavailable);
        if plane.state().note_store(answered, now) {
            log::warn!(answered; "store changed");
        }
        match page {
            Ok(page) => {
                cursor = take_page(&plane, cursor, page, now);
                if matches!(cursor, ListCursor::Whole(_)) {
                    tell_poll(&plane, now);
                    let gap = poll_gap(&plane, now);
                    time::sleep(gap).await;
                }
            }
            Err(follow::StoreError::Trimmed) => cursor = ListCursor::Start,
            Err(follow::StoreError::Unavailable) => time::sleep(follow::STORE_RETRY_INTERVAL).await,
        }
    }
}

/// Has the others told after a poll, where this VM reads the store for all: of servers that leave, and also
/// without any, since the same datagram brings evacuations and the version of the configuration.
fn tell_poll<P>(plane: &plane::ExchangePlane<P>, now: time::Instant) {
    let mut state = plane.state();
    if state.reads_store(now) {
        state.notices.make_due(now);
        plane.spread();
    }
}

/// Whether this VM reads the store now: the first page at its start, and what follows while it is one
/// of those that read for all.
fn may_read<P>(plane: &plane::ExchangePlane<P>, cursor: &ListCursor) -> bool {
    let state = plane.state();
    let now = time::Instant::now();
    let reader = state.reads_store(now);
    match cursor {
        ListCursor::Start => reader || state.version() == 0,
        ListCursor::Within(part) => {
            let waited = now.saturating_duration_since(part.began);
            let met = state.servers_whole || waited >= MEET_GAP;
            met && reader || waited >= REST_WAIT && !state.servers_whole
        }
        ListCursor::Whole(_) => reader,
    }
}

/// Takes a page, and gives from where to read on.
fn take_page<P>(
    plane: &plane::ExchangePlane<P>,
    cursor: ListCursor,
    page: follow::UpdatePage,
    now: time::Instant,
) -> ListCursor {
    let part = match cursor {
        ListCursor::Start => Some(ListPart::begin(page.end, now)),
        ListCursor::Within(part) => Some(part),
        ListCursor::Whole(_) => None,
    };
    let told = part.is_none() || page.updates.len() <= MOST_TOLD;
    let mut changed = take_news(plane, &page.updates, told, now);
    let cursor = match part {
        None => ListCursor::Whole(page.end),
        Some(mut part) => {
            if part.add(page) {
                changed |= take_whole(plane, &part, now);
                ListCursor::Whole(part.end)
            } else {
                ListCursor::Within(part)
            }
        }
    };
    if changed {
        plane.stir();
        plane.news.notify_one();
    }
    cursor
}

/// Takes news of the store; says whether it changed anything.
fn take_news<P>(
    plane: &plane::ExchangePlane<P>,
    page: &[update::ServerNews],
    told: bool,
    now: time::Instant,
) -> bool {
    let mut changes = Vec::new();
    for news in page {
        let mut news = news.clone();
        if plane.state().fleet.names_none(&news) {
            log::warn!(
                server:% = news.id, offset = news.offset;
                "entry does not say which incarnation it means"
            );
            news.entry = None;
        }
        let change = plane.state().take_news(news.clone(), told, now);
        changes.push((news, change));
    }
    log_changes(plane, &changes, follow::SOURCE_STORE)
}

/// The list was read to its end: servers that are not in it are gone. Says whether that changed
/// anything.
fn take_whole<P>(plane: &plane::ExchangePlane<P>, part: &ListPart, now: time::Instant) -> bool {
    let mut state = plane.state();
    let spared = state.spared();
    let absent = state
        .fleet
        .take_absence(&part.listed, part.end, spared, now);
    for key in &absent {
        log::info!(server:? = state.fleet.server(*key).map(|server| &server.id); "server is gone from the list");
    }
    let first = !std::mem::replace(&mut state.servers_whole, true);
    let reader = state.reads_store(now);
    drop(state);
    if first && reader {
        plane.spread();
    }
    !absent.is_empty()
}

/// Time until this VM polls again.
fn poll_gap<P>(plane: &plane::ExchangePlane<P>, now: time::Instant) -> time::Duration {
    let mut state = plane.state();
    let gap = POLL_GAP * state.peers.alive_count(now).min(POLLERS);
    let draw = state.draw();
    gap.clamp(POLL_LEAST, POLL_MOST).mul_f64(0.85 + 0.3 * draw)
}

/// Logs what news changed, each server or, where there are more, their number; says whether anything
/// changed.
pub(crate) fn log_changes<P>(
    plane: &plane::ExchangePlane<P>,
    changes: &[(update::ServerNews, fleet::FleetChange)],
    source: &str,
) -> bool {
    let changed = changes
        .iter()
        .filter(|(_, change)| *change != fleet::FleetChange::Nothing);
    let count = changed.clone().count();
    if count > MOST_TOLD {
        log::info!(count, source:% = source; "servers changed");
    } else {
        changed.for_each(|(news, change)| log_change(plane, news, *change, source));
    }
    count > 0
}

fn log_change<P>(
    plane: &plane::ExchangePlane<P>,
    news: &update::ServerNews,
    change: fleet::FleetChange,
    source: &str,
) {
    let key = match change {
        fleet::FleetChange::Nothing => return,
        fleet::FleetChange::Arrived(key) | fleet::FleetChange::Leaves(key) => key,
    };
    let state = plane.state();
    let server = state.fleet.server(key);
    let standing = server.map(|server| server.standing);
    let born_ms = server.map_or(0, |server| server.born.millis());
    log::info!(
        server:% = news.id, standing:? = standing, offset = news.offset, born_ms, source:% = source;
        "server changed"
    );
}

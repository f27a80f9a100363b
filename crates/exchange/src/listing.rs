//! Keeps the list of servers up to date.
//!
//! Load pattern in steady state: every heartbeat of every server is a record, so a reader that
//! waits for records gets an answer many times a second, on each VM. Instead a few VMs poll, each
//! at its own time, and announce changes to the others at once. Together they poll several times a
//! second at the cost of one reader, and any of them can be cut off.
//!
//! Load pattern at a mass restart: hundreds of VMs start at once and know no server. If each read
//! the complete list, the store would answer too slowly, and calls that time out would be repeated.
//! So each VM reads the first page, from which it can serve, and only the VMs that read the store
//! for all read on. The others get the rest from VMs that have it.

use std::{collections, rc};

use tokio::time;

use crate::{fleet, follow, plane, position, update};

/// Interval between two polls of any VM: streams of a leaving engine need time to move before the
/// engine stops.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(130);
/// Maximum interval between two polls of one VM.
const MAX_POLL_INTERVAL: time::Duration = time::Duration::from_millis(1_000);
/// Minimum interval between two polls of one VM.
const MIN_POLL_INTERVAL: time::Duration = time::Duration::from_millis(600);
/// Time before the end of a grace period at which the store is polled again.
const LAPSE_POLL_LEAD: time::Duration = time::Duration::from_millis(150);
/// Maximum number of VMs over which the polls are spread.
const MAX_POLLERS: u32 = 6;
/// Interval between two checks whether this VM is to read the store for all.
const ROLE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Interval between these checks while only a part of the list has been read.
const PARTIAL_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(60);
/// Time for VMs to find each other before any of them reads beyond the first page: a VM that
/// receives nothing from others assumes that it is one of those that read for all.
const DISCOVERY_TIME: time::Duration = time::Duration::from_millis(300);
/// Time for which a VM that does not read for all waits for the rest of the list from other VMs
/// before it reads the rest itself.
const PEERS_TIMEOUT: time::Duration = time::Duration::from_secs(4);
/// Number of updates in one read up to which each is announced to the others. A larger number comes
/// from a first read, and the others know these updates already; otherwise they find the difference
/// by the hash of the standing of all servers.
pub(crate) const MAX_ANNOUNCED_UPDATES: usize = 64;

/// Progress of reading the list of servers.
#[derive(Debug, Default)]
enum ListCursor {
    /// Nothing.
    #[default]
    Start,
    /// Some pages.
    Partial(PartialList),
    /// All pages; changes are read from this position on.
    Complete(position::StorePosition),
}

impl ListCursor {
    /// Era of the store that the position belongs to.
    const fn era(&self) -> Option<u64> {
        match self {
            Self::Start => None,
            Self::Partial(list) => Some(list.end.era),
            Self::Complete(end) => Some(end.era),
        }
    }
}

/// Pages of a list that were read so far.
#[derive(Debug)]
struct PartialList {
    /// Name after which the list continues.
    after: String,
    /// Position of the first page: changes made while pages are read come after it.
    end: position::StorePosition,
    listed: collections::HashSet<String>,
    started_at: time::Instant,
}

impl PartialList {
    fn begin(end: position::StorePosition, now: time::Instant) -> Self {
        Self {
            after: String::new(),
            end,
            listed: collections::HashSet::new(),
            started_at: now,
        }
    }

    /// Adds a page; returns whether it is the last one.
    fn add(&mut self, page: follow::UpdatePage) -> bool {
        let names = page.updates.into_iter().map(|update| update.id);
        self.listed.extend(names);
        let last = page.next.is_none();
        self.after = page.next.unwrap_or_default();
        last
    }
}

/// Keeps the list of servers up to date; never ends.
pub async fn follow_servers<P, S: follow::StorePort>(
    plane: rc::Rc<plane::ExchangePlane<P>>,
    store: rc::Rc<S>,
) {
    let mut cursor = ListCursor::Start;
    loop {
        if !may_read(&plane, &cursor) {
            let partial = matches!(cursor, ListCursor::Partial(_));
            if partial && plane.state().servers_complete {
                cursor = ListCursor::Start;
            }
            time::sleep(if partial {
                PARTIAL_CHECK_INTERVAL
            } else {
                ROLE_CHECK_INTERVAL
            })
            .await;
            continue;
        }
        let called_at = time::Instant::now();
        let page = match &cursor {
            ListCursor::Start => store.read_servers(None).await,
            ListCursor::Partial(list) => store.read_servers(Some(&list.after)).await,
            ListCursor::Complete(from) => store.read_updates(*from).await,
        };
        let now = time::Instant::now();
        let answered = page != Err(follow::StoreError::Unavailable);
        if plane.state().note_store(answered, now) {
            log::warn!(answered; "store changed");
        }
        match page {
            Ok(page) => {
                plane
                    .state()
                    .note_era(page.end.era, follow::SOURCE_STORE, now);
                if cursor.era().is_some_and(|era| era != page.end.era) {
                    // Offsets of another era name other records: the list is read from its start.
                    cursor = ListCursor::Start;
                    continue;
                }
                cursor = take_page(&plane, cursor, page, now);
                if matches!(cursor, ListCursor::Complete(_)) {
                    end_distrust(&plane, now);
                    announce_poll(&plane, now);
                    let next = next_poll(&plane, time::Instant::now());
                    time::sleep_until(next).await;
                }
            }
            Err(follow::StoreError::Trimmed) => cursor = ListCursor::Start,
            Err(follow::StoreError::Unavailable) => follow::pause_after_failure(called_at).await,
        }
    }
}

/// Sends to all others after a poll, if this VM reads the store for all: the servers that leave,
/// and without any of them too, since the same datagram carries evacuations and the version of the
/// configuration.
fn announce_poll<P>(plane: &plane::ExchangePlane<P>, now: time::Instant) {
    let mut state = plane.state();
    if state.reads_store(now) {
        state.notices.make_due(now);
        plane.announce();
    }
}

/// Lets servers get work again that the store still lists after entries of an older copy have
/// expired.
fn end_distrust<P>(plane: &plane::ExchangePlane<P>, now: time::Instant) {
    let revived = plane.state().end_distrust(now);
    for &key in &revived {
        let state = plane.state();
        let server = state.fleet.server(key).map(|server| server.id.as_str());
        log::info!(
            server:? = server;
            "server is still listed after a restore of the store; it gets work again"
        );
    }
    if !revived.is_empty() {
        plane.wake_decisions();
        plane.updates.notify_one();
    }
}

/// Whether this VM may read the store now: the first page at its start, and the rest while it is
/// one of the VMs that read for all.
fn may_read<P>(plane: &plane::ExchangePlane<P>, cursor: &ListCursor) -> bool {
    let state = plane.state();
    let now = time::Instant::now();
    let reader = state.reads_store(now);
    match cursor {
        ListCursor::Start => reader || state.version() == 0,
        ListCursor::Partial(list) => {
            let waited = now.saturating_duration_since(list.started_at);
            let peers_known = state.servers_complete || waited >= DISCOVERY_TIME;
            peers_known && reader || waited >= PEERS_TIMEOUT && !state.servers_complete
        }
        // A VM whose word ends a grace period must have read shortly before.
        ListCursor::Complete(_) => reader || state.fleet.next_lapse_end().is_some(),
    }
}

/// Applies a page and returns the position from which to continue.
fn take_page<P>(
    plane: &plane::ExchangePlane<P>,
    cursor: ListCursor,
    page: follow::UpdatePage,
    now: time::Instant,
) -> ListCursor {
    let list = match cursor {
        ListCursor::Start => Some(PartialList::begin(page.end, now)),
        ListCursor::Partial(list) => Some(list),
        ListCursor::Complete(_) => None,
    };
    let announce = list.is_none() || page.updates.len() <= MAX_ANNOUNCED_UPDATES;
    let mut changed = take_updates(plane, &page.updates, announce, now);
    let cursor = match list {
        None => ListCursor::Complete(page.end),
        Some(mut list) => {
            if list.add(page) {
                changed |= take_complete_list(plane, &list, now);
                ListCursor::Complete(list.end)
            } else {
                ListCursor::Partial(list)
            }
        }
    };
    if let ListCursor::Complete(end) = &cursor {
        plane.state().fleet.complete_until = *end;
    }
    if changed {
        plane.wake_decisions();
        plane.updates.notify_one();
    }
    cursor
}

/// Applies updates from the store; returns whether they changed anything.
fn take_updates<P>(
    plane: &plane::ExchangePlane<P>,
    page: &[update::ServerUpdate],
    announce: bool,
    now: time::Instant,
) -> bool {
    let mut changes = Vec::new();
    for update in page {
        let mut update = update.clone();
        if plane.state().fleet.lacks_incarnation(&update) {
            log::warn!(
                server:% = update.id, offset = update.position.offset, era = update.position.era;
                "entry does not name its incarnation; treating it as removed"
            );
            update.entry = None;
        }
        let change = plane.state().apply_update(update.clone(), announce, now);
        changes.push((update, change));
    }
    finish_changes(plane, &changes)
}

/// Logs changes from the store; returns whether there are any.
fn finish_changes<P>(
    plane: &plane::ExchangePlane<P>,
    changes: &[(update::ServerUpdate, fleet::FleetChange)],
) -> bool {
    let deferred = |change: &fleet::FleetChange| matches!(change, fleet::FleetChange::Deferred(_));
    if changes.iter().any(|(_, change)| deferred(change)) {
        // The decision loop ends the grace period.
        plane.wake_decisions();
    }
    log_changes(plane, changes, follow::SOURCE_STORE)
}

/// Marks servers that are not in the complete list as removed; returns whether that changed
/// anything.
fn take_complete_list<P>(
    plane: &plane::ExchangePlane<P>,
    list: &PartialList,
    now: time::Instant,
) -> bool {
    let removals = plane.state().fleet.unlisted(&list.listed, list.end);
    let changes = removals.into_iter().map(|removal| {
        let change = plane.state().remove_unlisted(removal.clone(), now);
        (removal, change)
    });
    let changes: Vec<_> = changes.collect();
    let removed = finish_changes(plane, &changes);
    let mut state = plane.state();
    let first = !std::mem::replace(&mut state.servers_complete, true);
    let reader = state.reads_store(now);
    drop(state);
    if first && reader {
        plane.announce();
    }
    removed
}

/// When this VM polls again: after its interval, or shortly before a grace period ends, so that a
/// server that has registered again meanwhile is not removed.
fn next_poll<P>(plane: &plane::ExchangePlane<P>, now: time::Instant) -> time::Instant {
    let lapse_end = plane.state().fleet.next_lapse_end();
    let confirm_at = lapse_end.and_then(|end| end.checked_sub(LAPSE_POLL_LEAD));
    let due = now + poll_interval(plane, now);
    confirm_at
        .filter(|at| now < *at)
        .map_or(due, |at| at.min(due))
}

/// Interval between two polls of this VM.
fn poll_interval<P>(plane: &plane::ExchangePlane<P>, now: time::Instant) -> time::Duration {
    let mut state = plane.state();
    let interval = POLL_INTERVAL * state.peers.alive_count(now).min(MAX_POLLERS);
    let draw = state.draw();
    interval
        .clamp(MIN_POLL_INTERVAL, MAX_POLL_INTERVAL)
        .mul_f64(0.85 + 0.3 * draw)
}

/// Logs the servers that updates changed, or only their number if there are many; returns whether
/// anything changed.
pub(crate) fn log_changes<P>(
    plane: &plane::ExchangePlane<P>,
    changes: &[(update::ServerUpdate, fleet::FleetChange)],
    source: &str,
) -> bool {
    for (update, change) in changes {
        match change {
            fleet::FleetChange::Deferred(key) => log_deferred(plane, update, *key, source),
            fleet::FleetChange::Outdated(key) => log_outdated(plane, update, *key, source),
            _ => {}
        }
    }
    let changed = changes.iter().filter(|(_, change)| {
        matches!(
            change,
            fleet::FleetChange::Arrived(_) | fleet::FleetChange::Leaves(_)
        )
    });
    let count = changed.clone().count();
    if count > MAX_ANNOUNCED_UPDATES {
        log::info!(count, source:% = source; "servers changed");
    } else {
        changed.for_each(|(update, change)| log_change(plane, update, *change, source));
    }
    count > 0
}

/// Logs a removal that is not applied until the grace period ends.
fn log_deferred<P>(
    plane: &plane::ExchangePlane<P>,
    update: &update::ServerUpdate,
    key: fleet::ServerKey,
    source: &str,
) {
    metrics::counter!("pollenchute_exchange_removals_deferred_total").increment(1);
    let now = time::Instant::now();
    let state = plane.state();
    let record = state.fleet.server(key);
    let until = record.and_then(|record| record.lapse_grace_until);
    let grace_ms = until.map_or(0, |until| until.saturating_duration_since(now).as_millis());
    log::info!(
        server:% = update.id, offset = update.position.offset, era = update.position.era, grace_ms, source:% = source;
        "removal deferred: the entry may have expired in an outage of the store"
    );
}

/// Logs an entry of an older copy that this VM does not go by.
fn log_outdated<P>(
    plane: &plane::ExchangePlane<P>,
    update: &update::ServerUpdate,
    key: fleet::ServerKey,
    source: &str,
) {
    let state = plane.state();
    let standing = state.fleet.server(key).map(|server| server.standing);
    log::info!(
        server:% = update.id, standing:? = standing, offset = update.position.offset, era = update.position.era, source:% = source;
        "entry of an older copy of the store; the server still leaves or is gone"
    );
}

fn log_change<P>(
    plane: &plane::ExchangePlane<P>,
    update: &update::ServerUpdate,
    change: fleet::FleetChange,
    source: &str,
) {
    let key = match change {
        fleet::FleetChange::Nothing
        | fleet::FleetChange::Deferred(_)
        | fleet::FleetChange::Outdated(_) => return,
        fleet::FleetChange::Arrived(key) | fleet::FleetChange::Leaves(key) => key,
    };
    let state = plane.state();
    let server = state.fleet.server(key);
    let standing = server.map(|server| server.standing);
    let born_ms = server.map_or(0, |server| server.started_at.millis());
    log::info!(
        server:% = update.id, standing:? = standing, offset = update.position.offset, era = update.position.era, born_ms, source:% = source;
        "server changed"
    );
}

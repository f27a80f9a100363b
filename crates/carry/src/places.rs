//! Places for the connections of callers.
//!
//! A listener that has no place left closes the connection that has been quiet longest and carries no
//! accepted request. So a crowd that holds connections open keeps nobody out, and no accepted request is
//! dropped for a newer one.

use std::{cell, cmp, collections, rc};

use tokio::{sync::Notify, time};

slotmap::new_key_type! {
    /// Place of a connection.
    struct PlaceKey;
}

/// Time after which a body that has not advanced by [`ADVANCE_BYTES`] gives way to others.
pub(crate) const STALL_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Bytes by which a body that arrives advances.
pub(crate) const ADVANCE_BYTES: usize = 64 * 1_024;

/// What a connection carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlaceStage {
    /// Nothing.
    Idle,
    /// Part of the head of a request.
    Head,
    /// Part of the body of a request.
    Body,
    /// A request that has arrived, and its answer.
    Accepted,
    /// An answer that is complete here, and that its caller has not received yet.
    Sending,
}

impl PlaceStage {
    const fn name(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Head => "head",
            Self::Body => "body",
            Self::Accepted => "accepted",
            Self::Sending => "sending",
        }
    }
}

/// Listener whose places are counted apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ListenerName(pub &'static str);

#[derive(Debug)]
struct Place {
    listener: ListenerName,
    stage: PlaceStage,
    /// Start of the stage; in the stage `Body`, when it last advanced.
    since: time::Instant,
    /// Whether an earlier request on the connection was accepted.
    known: bool,
    /// Group of the accepted request; present in the stages `Accepted` and `Sending`, if it is counted.
    group: Option<u64>,
    /// Memory that the body holds, in bytes.
    held: usize,
    /// Present once the place is evicted.
    eviction: Option<PlaceEviction>,
    /// Whether a body was refused that its caller may still send.
    refused: bool,
    /// Notified when the place is evicted.
    evicted: rc::Rc<Notify>,
}

/// What a place is evicted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlaceEviction {
    /// A new connection, which counts in its place: the old one must close at once.
    Connection,
    /// Memory of another body: the caller of this one gets a refusal.
    Memory,
}

impl Place {
    /// Whether the connection counts among the open ones of its listener.
    fn is_counted(&self) -> bool {
        self.eviction != Some(PlaceEviction::Connection)
    }
}

/// Counts of one listener.
#[derive(Debug, Default)]
struct ListenerCounts {
    /// Connections that no other one has replaced.
    open: usize,
    /// Maximum number of them, as of the newest connection.
    limit: usize,
    /// Accepted requests.
    accepted: usize,
    /// Accepted requests of each group.
    groups: collections::HashMap<u64, usize>,
    /// Whether a connection had to give way or was refused, and most places have been taken since.
    is_full: bool,
}

impl ListenerCounts {
    /// Notes that no place was free.
    fn note_full(&mut self, listener: ListenerName) {
        if !self.is_full {
            self.is_full = true;
            log::warn!(
                listener:% = listener.0, limit = self.limit, accepted = self.accepted;
                "all connections of a listener are in use; quiet ones are closed for new ones"
            );
        }
    }

    /// Counts a connection that ended.
    fn leave(&mut self, listener: ListenerName) {
        self.open -= 1;
        if self.is_full && self.open < self.limit / 2 {
            self.is_full = false;
            log::info!(listener:% = listener.0, open = self.open; "a listener has room again");
        }
    }
}

#[derive(Debug, Default)]
struct PlaceState {
    places: slotmap::SlotMap<PlaceKey, Place>,
    listeners: collections::HashMap<ListenerName, ListenerCounts>,
}

/// Places of all listeners of a process. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct PlaceTable(rc::Rc<cell::RefCell<PlaceState>>);

/// Place of one connection, free again when dropped.
#[derive(Debug)]
pub struct HeldPlace {
    table: PlaceTable,
    key: PlaceKey,
}

/// A request, whose answer is being made until this is dropped.
#[derive(Debug)]
pub(crate) struct AnswerGuard(rc::Rc<HeldPlace>);

impl AnswerGuard {
    pub(crate) const fn new(place: rc::Rc<HeldPlace>) -> Self {
        Self(place)
    }
}

impl Drop for AnswerGuard {
    fn drop(&mut self) {
        self.0.end_answer();
    }
}

impl PlaceState {
    fn evict(&mut self, key: PlaceKey, eviction: PlaceEviction) {
        let Some(place) = self.places.get_mut(key) else {
            return;
        };
        place.eviction = Some(eviction);
        place.evicted.notify_waiters();
        let (listener, stage) = (place.listener, place.stage.name());
        if eviction == PlaceEviction::Connection
            && let Some(counts) = self.listeners.get_mut(&listener)
        {
            counts.leave(listener);
        }
        metrics::counter!(
            "pollenchute_carry_connections_evicted_total", "listener" => listener.0, "stage" => stage
        )
        .increment(1);
    }

    /// The place that is given up first for a new connection.
    fn quietest(&self, listener: ListenerName) -> Option<PlaceKey> {
        let gives_way = |place: &Place| {
            let arrives = matches!(
                place.stage,
                PlaceStage::Idle | PlaceStage::Head | PlaceStage::Body
            );
            arrives && place.is_counted() && place.listener == listener
        };
        let candidates = self.places.iter().filter(|(_, place)| gives_way(place));
        let quietest = candidates.min_by_key(|(_, place)| (place.known, place.since));
        quietest.map(|(key, _)| key)
    }
}

impl PlaceTable {
    /// Takes a place for a new connection, if need be that of the connection that has been quiet longest.
    /// `None` while all `limit` places carry accepted requests.
    #[must_use]
    pub fn enter(&self, listener: ListenerName, limit: usize) -> Option<HeldPlace> {
        let mut state = self.0.borrow_mut();
        let counts = state.listeners.entry(listener).or_default();
        counts.limit = limit;
        if counts.open >= limit {
            counts.note_full(listener);
            let quietest = state.quietest(listener)?;
            state.evict(quietest, PlaceEviction::Connection);
        }
        if let Some(counts) = state.listeners.get_mut(&listener) {
            counts.open += 1;
        }
        let key = state.places.insert(Place {
            listener,
            stage: PlaceStage::Idle,
            since: time::Instant::now(),
            known: false,
            group: None,
            held: 0,
            eviction: None,
            refused: false,
            evicted: rc::Rc::default(),
        });
        let table = self.clone();
        Some(HeldPlace { table, key })
    }

    /// Ends the bodies that have stalled, the one that has stalled longest first, until they hold `bytes`.
    pub(crate) fn evict_stalled(&self, bytes: usize) {
        let mut state = self.0.borrow_mut();
        let now = time::Instant::now();
        let stalls = |place: &Place| {
            let stalls = now.saturating_duration_since(place.since) >= STALL_TIMEOUT;
            place.stage == PlaceStage::Body && place.held > 0 && stalls && place.eviction.is_none()
        };
        let stalled = state.places.iter().filter(|(_, place)| stalls(place));
        let mut stalled: Vec<_> = stalled
            .map(|(key, place)| (place.since, place.held, key))
            .collect();
        stalled.sort_unstable_by_key(|(since, held, _)| (*since, cmp::Reverse(*held)));
        let mut ended = 0;
        for (_, held, key) in stalled {
            if ended >= bytes {
                return;
            }
            ended += held;
            state.evict(key, PlaceEviction::Memory);
        }
    }

    /// Memory of bodies that have not arrived completely, in bytes.
    pub(crate) fn held_by_bodies(&self) -> usize {
        let state = self.0.borrow();
        let bodies = state
            .places
            .values()
            .filter(|place| place.stage == PlaceStage::Body);
        bodies.map(|place| place.held).sum()
    }

    /// Number of open connections of a listener.
    #[must_use]
    pub fn open(&self, listener: ListenerName) -> usize {
        let state = self.0.borrow();
        state
            .listeners
            .get(&listener)
            .map_or(0, |counts| counts.open)
    }
}

impl HeldPlace {
    fn change<T>(&self, change: impl FnOnce(&mut Place) -> T) -> Option<T> {
        self.table
            .0
            .borrow_mut()
            .places
            .get_mut(self.key)
            .map(change)
    }

    fn set_stage(&self, stage: PlaceStage) {
        let since = time::Instant::now();
        self.change(|place| (place.stage, place.since) = (stage, since));
    }

    fn stage(&self) -> PlaceStage {
        self.change(|place| place.stage).unwrap_or(PlaceStage::Idle)
    }

    /// Notes that bytes were read.
    pub(crate) fn note_read(&self) {
        if matches!(self.stage(), PlaceStage::Idle | PlaceStage::Sending) {
            self.uncount();
            self.set_stage(PlaceStage::Head);
        }
    }

    /// Notes that all bytes of answers so far were written.
    pub(crate) fn note_flushed(&self) {
        if self.stage() == PlaceStage::Sending {
            self.uncount();
            self.set_stage(PlaceStage::Idle);
        }
    }

    /// When the head began that has not arrived completely.
    pub(crate) fn head_since(&self) -> Option<time::Instant> {
        let head = |place: &mut Place| (place.stage == PlaceStage::Head).then_some(place.since);
        self.change(head).flatten()
    }

    /// Notes that a body arrives.
    pub(crate) fn begin_body(&self) {
        self.set_stage(PlaceStage::Body);
    }

    /// Notes that the body advanced, and the memory that it holds.
    pub(crate) fn advance_body(&self, held: usize) {
        let now = time::Instant::now();
        self.change(|place| (place.held, place.since) = (held, now));
    }

    /// Notes that the body is not read on.
    pub(crate) fn refuse_body(&self) {
        self.change(|place| place.refused = true);
    }

    /// Whether a body was refused that the caller may still send.
    pub(crate) fn has_refused_body(&self) -> bool {
        self.change(|place| place.refused).unwrap_or_default()
    }

    /// Accepts the request that has arrived. A group may hold at most twice the places that no accepted
    /// request holds, so that there is always room for other groups. Returns whether there is room.
    pub fn accept(&self, group: u64) -> bool {
        let mut state = self.table.0.borrow_mut();
        let PlaceState { places, listeners } = &mut *state;
        let place = places.get_mut(self.key);
        let Some(place) = place.filter(|place| place.eviction.is_none()) else {
            return false;
        };
        let counts = listeners.entry(place.listener).or_default();
        let of_group = counts.groups.get(&group).copied().unwrap_or(0);
        if of_group >= 2 * counts.limit.saturating_sub(counts.accepted) {
            return false;
        }
        counts.accepted += 1;
        *counts.groups.entry(group).or_default() += 1;
        place.stage = PlaceStage::Accepted;
        place.group = Some(group);
        place.known = true;
        place.held = 0;
        true
    }

    /// Ends the count of the accepted request.
    fn uncount(&self) {
        let mut state = self.table.0.borrow_mut();
        let PlaceState { places, listeners } = &mut *state;
        let Some(place) = places.get_mut(self.key) else {
            return;
        };
        let Some(group) = place.group.take() else {
            return;
        };
        let Some(counts) = listeners.get_mut(&place.listener) else {
            return;
        };
        counts.accepted -= 1;
        if let collections::hash_map::Entry::Occupied(mut of_group) = counts.groups.entry(group) {
            *of_group.get_mut() -= 1;
            if *of_group.get() == 0 {
                of_group.remove();
            }
        }
    }

    fn end_answer(&self) {
        self.change(|place| place.held = 0);
        self.set_stage(PlaceStage::Sending);
    }

    /// Waits until the place is evicted.
    pub async fn evicted(&self) -> PlaceEviction {
        loop {
            let state = self.change(|place| (place.eviction, place.evicted.clone()));
            // The place is in the table until this is dropped.
            let (eviction, evicted) = state.unwrap_or_default();
            match eviction {
                Some(eviction) => return eviction,
                None => evicted.notified().await,
            }
        }
    }
}

impl Drop for HeldPlace {
    fn drop(&mut self) {
        self.uncount();
        let mut state = self.table.0.borrow_mut();
        let Some(place) = state.places.remove(self.key) else {
            return;
        };
        if place.is_counted()
            && let Some(counts) = state.listeners.get_mut(&place.listener)
        {
            counts.leave(place.listener);
        }
    }
}

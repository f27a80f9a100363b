//! The event journal of one process, its clock and its ring, into which the other crates record.

use std::sync::atomic;

use base::{id, ops};

use crate::{clock, event, kind, query, ring};

/// Minimum interval between two `clock_ahead` events.
///
/// Every datagram of a peer whose clock is too far ahead would record one; without the limit these
/// events would evict all others from the ring.
const CLOCK_AHEAD_INTERVAL_MS: u64 = 60_000;

/// Records the events of one process. Shared by all its threads.
#[derive(Debug)]
pub struct EventJournal {
    vm: String,
    incarnation: id::Incarnation,
    clock: clock::HybridClock,
    ring: ring::EventRing,
    /// Wall clock at the last recorded [`kind::EventKind::ClockAhead`]; 0 before the first.
    ahead_recorded_ms: atomic::AtomicU64,
}

impl EventJournal {
    /// Creates an empty journal for the process `incarnation` on `vm`.
    #[must_use]
    pub fn new(vm: String, incarnation: id::Incarnation, limits: ring::RingLimits) -> Self {
        Self {
            vm,
            incarnation,
            clock: clock::HybridClock::default(),
            ring: ring::EventRing::new(limits),
            ahead_recorded_ms: atomic::AtomicU64::new(0),
        }
    }

    /// Records an event that concerns no particular request. `now_ms`: wall clock, since 1970.
    pub fn record(&self, now_ms: u64, kind: kind::EventKind) {
        self.ring.write(|| self.clock.tick(now_ms), None, kind);
    }

    /// Records an event that concerns one request. `now_ms`: wall clock, since 1970.
    pub fn record_for(&self, now_ms: u64, request: id::RequestId, kind: kind::EventKind) {
        self.ring
            .write(|| self.clock.tick(now_ms), Some(request), kind);
    }

    /// Returns the stamp to send with a message to a peer.
    pub fn stamp(&self, now_ms: u64) -> clock::HybridStamp {
        self.clock.tick(now_ms)
    }

    /// Merges the stamp received with a message from `member` into the clock.
    pub fn observe(
        &self,
        now_ms: u64,
        member: &str,
        stamp: clock::HybridStamp,
    ) -> clock::MergeOutcome {
        let outcome = self.clock.observe(now_ms, stamp);
        if let clock::MergeOutcome::TooFarAhead { ahead_ms } = outcome
            && self.may_record_clock_ahead(now_ms)
        {
            let member = member.to_owned();
            self.record(now_ms, kind::EventKind::ClockAhead { member, ahead_ms });
        }
        outcome
    }

    /// Returns the matching events in the form in which the operators' API serves them.
    #[must_use]
    pub fn timeline(&self, query: &query::EventQuery) -> ops::TimelineBody<event::Event> {
        let view = self.ring.read(query);
        ops::TimelineBody {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            lost: view.lost,
            lost_up_to_ms: view.lost_up_to.map(clock::HybridStamp::wall_ms),
            omitted: view.omitted,
            events: view
                .entries
                .into_iter()
                .map(|entry| self.event(entry))
                .collect(),
        }
    }

    /// Returns the fill level of the ring.
    #[must_use]
    pub fn usage(&self) -> ring::RingUsage {
        self.ring.usage()
    }

    fn event(&self, entry: ring::RingEntry) -> event::Event {
        event::Event {
            stamp: entry.stamp,
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            seq: entry.seq,
            request: entry.request,
            kind: entry.kind,
        }
    }

    fn may_record_clock_ahead(&self, now_ms: u64) -> bool {
        let recorded_ms = self.ahead_recorded_ms.load(atomic::Ordering::Relaxed);
        if recorded_ms != 0 && now_ms.saturating_sub(recorded_ms) < CLOCK_AHEAD_INTERVAL_MS {
            return false;
        }
        let order = atomic::Ordering::Relaxed;
        self.ahead_recorded_ms
            .compare_exchange(recorded_ms, now_ms, order, order)
            .is_ok()
    }
}

//! One process's clock and ring together: what the other crates record into.

use std::sync::atomic;

use base::{id, ops};

use crate::{clock, event, kind, query, ring};

/// A peer with a clock too far ahead is noted at most once in this time.
///
/// Its every datagram shows the same; without the bound the note would push all else out of the
/// ring.
const AHEAD_NOTE_MS: u64 = 60_000;

/// Records the events of one process. Shared by all its threads.
#[derive(Debug)]
pub struct EventJournal {
    vm: String,
    incarnation: id::Incarnation,
    clock: clock::HybridClock,
    ring: ring::EventRing,
    /// Wall clock of the last [`kind::EventKind::ClockAhead`]; 0 before the first.
    ahead_noted_ms: atomic::AtomicU64,
}

impl EventJournal {
    /// An empty journal of the process `incarnation` on `vm`.
    #[must_use]
    pub fn new(vm: String, incarnation: id::Incarnation, limits: ring::RingLimits) -> Self {
        Self {
            vm,
            incarnation,
            clock: clock::HybridClock::default(),
            ring: ring::EventRing::new(limits),
            ahead_noted_ms: atomic::AtomicU64::new(0),
        }
    }

    /// Records an event about no request in particular. `now_ms`: wall clock, since 1970.
    pub fn record(&self, now_ms: u64, kind: kind::EventKind) {
        self.ring.write(|| self.clock.tick(now_ms), None, kind);
    }

    /// Records an event about one request. `now_ms`: wall clock, since 1970.
    pub fn record_for(&self, now_ms: u64, request: id::RequestId, kind: kind::EventKind) {
        self.ring
            .write(|| self.clock.tick(now_ms), Some(request), kind);
    }

    /// The stamp to send with a message to a peer.
    pub fn stamp(&self, now_ms: u64) -> clock::HybridStamp {
        self.clock.tick(now_ms)
    }

    /// Takes in the stamp that came with a message of `member`.
    pub fn observe(
        &self,
        now_ms: u64,
        member: &str,
        stamp: clock::HybridStamp,
    ) -> clock::MergeOutcome {
        let outcome = self.clock.observe(now_ms, stamp);
        if let clock::MergeOutcome::TooFarAhead { ahead_ms } = outcome
            && self.may_note_ahead(now_ms)
        {
            let member = member.to_owned();
            self.record(now_ms, kind::EventKind::ClockAhead { member, ahead_ms });
        }
        outcome
    }

    /// What matches, in the form in which the operators' face serves it.
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

    /// How full the ring is.
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

    fn may_note_ahead(&self, now_ms: u64) -> bool {
        let noted_ms = self.ahead_noted_ms.load(atomic::Ordering::Relaxed);
        if noted_ms != 0 && now_ms.saturating_sub(noted_ms) < AHEAD_NOTE_MS {
            return false;
        }
        let order = atomic::Ordering::Relaxed;
        self.ahead_noted_ms
            .compare_exchange(noted_ms, now_ms, order, order)
            .is_ok()
    }
}

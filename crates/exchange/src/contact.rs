//! What this VM's own calls to the store show of its availability, and which outages may have cost
//! servers their entries.
//!
//! A server writes its entry at each heartbeat, and the entry expires after three heartbeats without
//! a write. An outage that is shorter than one heartbeat loses one write at most, and no entry with
//! it. So the store may have lost entries of running servers only if it answered this VM nothing
//! for at least one heartbeat. Other VMs' reports alone don't show that: the store may turn some VMs
//! away while it serves the others and the servers.

use tokio::time;

use crate::fleet;

/// Answers of the store to this VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreContact {
    /// Whether the last call failed.
    unavailable: bool,
    /// When the store last answered.
    answered_at: Option<time::Instant>,
    /// When the store answered again after the last outage that may have cost entries.
    recovered_at: Option<time::Instant>,
}

/// An outage that the store's answer ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreOutage {
    /// Time since the answer before; `None` if this is the first one.
    pub gap: Option<time::Duration>,
    /// Whether a call of this VM failed meanwhile; otherwise only other VMs reported the outage.
    pub noticed: bool,
    /// Whether entries of running servers may have expired.
    pub may_cost_entries: bool,
}

impl StoreContact {
    /// Whether the last call to the store failed.
    #[must_use]
    pub const fn is_unavailable(&self) -> bool {
        self.unavailable
    }

    /// Records a call without an answer. Returns whether the one before had one.
    pub const fn note_failure(&mut self) -> bool {
        !std::mem::replace(&mut self.unavailable, true)
    }

    /// Records an answer. `reported_at` is when another VM last reported that the store had stopped
    /// answering it, and `heartbeat` the interval at which servers write their entries. Returns the
    /// outage that the answer ends, if there was one.
    pub fn note_answer(
        &mut self,
        reported_at: Option<time::Instant>,
        heartbeat: time::Duration,
        now: time::Instant,
    ) -> Option<StoreOutage> {
        let noticed = std::mem::take(&mut self.unavailable);
        let before = self.answered_at.replace(now);
        let reported = reported_at.is_some_and(|at| before.is_none_or(|before| before < at));
        if !noticed && !reported {
            return None;
        }
        let gap = before.map(|before| now.saturating_duration_since(before));
        let may_cost_entries = gap.is_none_or(|gap| gap >= heartbeat);
        if may_cost_entries {
            self.recovered_at = Some(now);
        }
        Some(StoreOutage {
            gap,
            noticed,
            may_cost_entries,
        })
    }

    /// End of the grace period for entries whose removal is read now; `None` unless the store has
    /// just recovered from an outage that may have cost entries.
    #[must_use]
    pub fn lapse_grace_until(&self, now: time::Instant) -> Option<time::Instant> {
        let until = self.recovered_at? + fleet::LAPSE_GRACE;
        (now < until).then_some(until)
    }
}

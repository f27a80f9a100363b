//! Times at which this VM itself was not scheduled.

use std::time;

/// Delay of this VM's own timer above which the VM counts as stalled.
const MIN_STALL: time::Duration = time::Duration::from_millis(50);

/// Watch over a timer that fires regularly.
#[derive(Clone, Copy, Debug, Default)]
pub struct StallWatch {
    /// When the timer should fire next.
    due_at: Option<time::Instant>,
    /// When the last stall ended.
    ended_at: Option<time::Instant>,
}

impl StallWatch {
    /// Records that the timer fired; it is set to fire again after `interval`.
    pub fn tick(&mut self, interval: time::Duration, now: time::Instant) {
        if self.is_late(now) {
            self.ended_at = Some(now);
        }
        self.due_at = Some(now + interval);
    }

    /// Whether a stall lies between these times. An arrival may be processed before the timer that
    /// is late.
    #[must_use]
    pub fn is_within(&self, since: time::Instant, now: time::Instant) -> bool {
        self.is_late(now) || self.ended_at.is_some_and(|at| at >= since)
    }

    fn is_late(&self, now: time::Instant) -> bool {
        let due_at = self.due_at;
        due_at.is_some_and(|at| now.saturating_duration_since(at) > MIN_STALL)
    }
}

//! Retry budget: retries are a fraction of first tries.
//!
//! What goes wrong without it: when everything is slow, each caller's retries come on top of the
//! first tries of all others, and the load that they make keeps everything slow after its cause
//! is gone. One would notice more tries than requests. Here retries end when they pass their
//! fraction of what callers sent.

use std::time::Duration;

use tokio::time;

/// Tries are counted over this long.
const WINDOW_SLOTS: usize = 10;

/// Length of one slot of the window.
const SLOT_DURATION: Duration = Duration::from_secs(1);

/// Retries that are always allowed in one window, so that a quiet site can retry at all.
const MIN_RETRIES: f64 = 10.0;

#[derive(Clone, Copy, Debug, Default)]
struct BudgetSlot {
    first_attempts: u32,
    retries: u32,
}

/// Counts tries over a sliding window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    slots: [BudgetSlot; WINDOW_SLOTS],
    /// Begin of the newest slot.
    slot_started_at: time::Instant,
    newest: usize,
}

impl RetryBudget {
    /// An empty window.
    #[must_use]
    pub fn new(now: time::Instant) -> Self {
        Self {
            slots: [BudgetSlot::default(); WINDOW_SLOTS],
            slot_started_at: now,
            newest: 0,
        }
    }

    /// A first try is made.
    pub fn record_first_attempt(&mut self, now: time::Instant) {
        self.advance(now);
        self.slots[self.newest].first_attempts += 1;
    }

    /// Takes one retry, when retries are under `fraction` of first tries.
    ///
    /// # Errors
    ///
    /// How long until the oldest retries leave the window.
    pub fn take_retry(&mut self, fraction: f64, now: time::Instant) -> Result<(), Duration> {
        self.advance(now);
        let first_attempts: u32 = self.slots.iter().map(|slot| slot.first_attempts).sum();
        let retries: u32 = self.slots.iter().map(|slot| slot.retries).sum();
        let allowed = MIN_RETRIES.max(f64::from(first_attempts) * fraction);
        if f64::from(retries) + 1.0 > allowed {
            return Err(self.time_until_retry(now));
        }
        self.slots[self.newest].retries += 1;
        Ok(())
    }

    /// Time until the oldest slot that holds a retry leaves the window.
    fn time_until_retry(&self, now: time::Instant) -> Duration {
        let held = (1..=WINDOW_SLOTS)
            .position(|age| self.slots[(self.newest + age) % WINDOW_SLOTS].retries > 0)
            .unwrap_or(0);
        let slots = u32::try_from(held + 1).unwrap_or(1);
        (self.slot_started_at + SLOT_DURATION * slots).saturating_duration_since(now)
    }

    fn advance(&mut self, now: time::Instant) {
        let passed = now
            .saturating_duration_since(self.slot_started_at)
            .as_millis()
            / SLOT_DURATION.as_millis();
        for _ in 0..passed.min(WINDOW_SLOTS as u128) {
            self.newest = (self.newest + 1) % WINDOW_SLOTS;
            self.slots[self.newest] = BudgetSlot::default();
        }
        self.slot_started_at += SLOT_DURATION * u32::try_from(passed).unwrap_or(u32::MAX);
    }
}

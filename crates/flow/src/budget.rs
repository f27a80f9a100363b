//! Retry budget: limits retries to a fraction of first attempts.
//!
//! Without a limit, a slowdown causes a retry storm: retries add to the first attempts, and the
//! extra load keeps the servers slow after the original cause has ended, with more attempts than
//! requests. Retries stop when they exceed their fraction of the requests that callers sent. The
//! fraction is of the requests that a VM got itself, and VMs divide a fixed number of retries among
//! them, so the limit holds for all VMs together, however many there are.

use std::time::Duration;

use tokio::time;

/// Number of slots in the sliding window.
const WINDOW_SLOTS: usize = 10;

/// Duration of one slot of the window.
const SLOT_DURATION: Duration = Duration::from_secs(1);

/// Retries that all VMs together are always allowed in one window, so that a site with little traffic
/// can retry.
const MIN_RETRIES: f64 = 10.0;

/// Limit on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetRule {
    /// Retries as a fraction of the first attempts of this VM.
    pub fraction: f64,
    /// Number of entry VMs that share what is always allowed.
    pub vms: usize,
}

#[derive(Clone, Copy, Debug, Default)]
struct BudgetSlot {
    first_attempts: u32,
    retries: u32,
}

/// Counts first attempts and retries over a sliding window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    slots: [BudgetSlot; WINDOW_SLOTS],
    /// Start of the newest slot.
    slot_started_at: time::Instant,
    newest: usize,
}

impl RetryBudget {
    /// Creates a budget with an empty window.
    #[must_use]
    pub fn new(now: time::Instant) -> Self {
        Self {
            slots: [BudgetSlot::default(); WINDOW_SLOTS],
            slot_started_at: now,
            newest: 0,
        }
    }

    /// Counts a first attempt.
    pub fn record_first_attempt(&mut self, now: time::Instant) {
        self.advance(now);
        self.slots[self.newest].first_attempts += 1;
    }

    /// Takes one retry if retries are below their fraction of first attempts, or below this VM's part
    /// of what is always allowed.
    ///
    /// # Errors
    ///
    /// Returns the time until the oldest retries leave the window.
    pub fn take_retry(&mut self, rule: BudgetRule, now: time::Instant) -> Result<(), Duration> {
        self.advance(now);
        let first_attempts: u32 = self.slots.iter().map(|slot| slot.first_attempts).sum();
        let retries: u32 = self.slots.iter().map(|slot| slot.retries).sum();
        let part = MIN_RETRIES / rule.vms.max(1) as f64;
        let allowed = part.max(f64::from(first_attempts) * rule.fraction);
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

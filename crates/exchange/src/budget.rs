//! Limit on the retries of a service, over all VMs together.
//!
//! Load pattern: a server fails and every VM retries at once; without a limit the remaining servers
//! of the service get several times their load. Each VM keeps to its own share without
//! coordination: a fraction of the requests that it received itself, and an even part of the fixed
//! allowance. VMs that fell silent keep their part, because they may be cut off and still send. A
//! VM that has just started has none, because the process before it may have spent it.

use std::collections;

use tokio::time;

/// Fraction of the budget that is used, because the known number of VMs lags behind the actual one.
const SAFETY_FRACTION: f64 = 0.75;

/// Time after the sending of a repeat for which it counts as on its way if no answer shows that it
/// has arrived: a path that stalls may deliver it late, together with many others.
const MAX_DELAY: time::Duration = time::Duration::from_secs(30);

/// Time for which a repeat that was lent counts beyond the window: the time that the borrower has to
/// make it, and to learn that it has arrived.
const LENT_TIME: time::Duration = time::Duration::from_secs(3);

slotmap::new_key_type! {
    /// Key of a repeat that counts.
    pub struct RepeatKey;
}

/// Limit on the retries of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetRule {
    /// Retries as a fraction of first attempts.
    pub ratio: f64,
    /// Retries allowed in addition, over all VMs.
    pub slack: f64,
    /// Window over which both are counted.
    pub window: time::Duration,
}

/// Why an attempt beyond the first of its request is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatKind {
    /// A second attempt of a call while the first one is still silent.
    Hedge,
    /// An attempt after one that failed.
    Retry,
    /// A stream that goes on from a copy of its run.
    Resume,
}

impl RepeatKind {
    /// Name in log lines and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Hedge => "hedge",
            Self::Retry => "retry",
            Self::Resume => "resume",
        }
    }
}

/// Recent attempts of this VM on one service.
#[derive(Debug, Default)]
pub struct RetryBudget {
    /// Times of first attempts, oldest first, none older than the window.
    first: collections::VecDeque<time::Instant>,
    /// Repeats that count.
    further: slotmap::SlotMap<RepeatKey, CountedRepeat>,
    /// Repeats that other VMs granted, with the time until which they may be made.
    granted: collections::VecDeque<time::Instant>,
}

/// A repeat that counts.
#[derive(Clone, Copy, Debug)]
struct CountedRepeat {
    until: time::Instant,
    /// Whether another VM granted it, and counts it.
    borrowed: bool,
}

impl RetryBudget {
    /// Counts the first attempt of a request.
    pub fn count_first(&mut self, rule: &BudgetRule, now: time::Instant) {
        self.trim(rule, now);
        self.first.push_back(now);
    }

    /// Takes one retry if `slack`, this VM's part of the fixed allowance, and its requests leave
    /// one besides those that are `reserved`. It counts for a window from the time at which it has
    /// arrived for certain.
    pub fn take(
        &mut self,
        rule: &BudgetRule,
        slack: f64,
        reserved: f64,
        now: time::Instant,
    ) -> Option<RepeatKey> {
        (self.left(rule, slack, now) >= 1.0 + reserved).then(|| self.insert(rule, false, now))
    }

    /// Takes one repeat that another VM granted.
    pub fn take_granted(&mut self, rule: &BudgetRule, now: time::Instant) -> Option<RepeatKey> {
        self.trim(rule, now);
        self.granted.pop_front()?;
        Some(self.insert(rule, true, now))
    }

    fn insert(&mut self, rule: &BudgetRule, borrowed: bool, now: time::Instant) -> RepeatKey {
        self.further.insert(CountedRepeat {
            until: now + MAX_DELAY + rule.window,
            borrowed,
        })
    }

    /// Adds repeats that another VM granted.
    pub fn add_granted(&mut self, repeats: u32, until: time::Instant) {
        self.granted.extend((0..repeats).map(|_| until));
    }

    /// Lends up to `wanted` repeats, besides those that are `reserved`. They count here for as long
    /// as they can arrive from the borrower.
    pub fn lend(
        &mut self,
        rule: &BudgetRule,
        slack: f64,
        reserved: f64,
        wanted: u32,
        now: time::Instant,
    ) -> u32 {
        let free = (self.left(rule, slack, now) - reserved).max(0.0);
        let lent = (free as u32).min(wanted);
        for _ in 0..lent {
            self.further.insert(CountedRepeat {
                until: now + LENT_TIME + rule.window,
                borrowed: false,
            });
        }
        lent
    }

    /// Number of streams that can be continued: what is left, and what other VMs granted.
    pub fn resumes_left(&mut self, rule: &BudgetRule, slack: f64, now: time::Instant) -> usize {
        let left = self.left(rule, slack, now).max(0.0) as usize;
        left + self.granted.len()
    }

    /// Records that all attempts that a repeat stands for have arrived.
    pub fn settle(&mut self, rule: &BudgetRule, key: RepeatKey, now: time::Instant) {
        if let Some(repeat) = self.further.get_mut(key) {
            repeat.until = repeat.until.min(now + rule.window);
        }
    }

    /// Removes a repeat that was not made.
    pub fn remove(&mut self, key: RepeatKey) {
        self.further.remove(key);
    }

    /// Whether a repeat still counts.
    #[must_use]
    pub fn counts_repeat(&self, key: RepeatKey) -> bool {
        self.further.contains_key(key)
    }

    /// Numbers of first attempts and of retries in the window that ends now.
    pub fn counts(&mut self, rule: &BudgetRule, now: time::Instant) -> (usize, usize) {
        self.trim(rule, now);
        (self.first.len(), self.further.len())
    }

    /// Number of retries that this VM has left with `slack` of the fixed allowance.
    pub fn left(&mut self, rule: &BudgetRule, slack: f64, now: time::Instant) -> f64 {
        self.trim(rule, now);
        let counted = self.further.values().filter(|repeat| !repeat.borrowed);
        let counted = counted.count();
        self.share(rule, slack) - counted as f64
    }

    /// Number of repeats that this VM may make in a window that ends now.
    #[must_use]
    pub fn share(&self, rule: &BudgetRule, slack: f64) -> f64 {
        (rule.ratio * self.first.len() as f64 + slack) * SAFETY_FRACTION
    }

    fn trim(&mut self, rule: &BudgetRule, now: time::Instant) {
        let is_old = |at: &time::Instant| now.saturating_duration_since(*at) > rule.window;
        while self.first.front().is_some_and(is_old) {
            self.first.pop_front();
        }
        self.further.retain(|_, repeat| now <= repeat.until);
        self.granted.retain(|until| now < *until);
    }
}

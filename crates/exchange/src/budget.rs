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
    /// Times of retries, oldest first.
    further: collections::VecDeque<time::Instant>,
}

impl RetryBudget {
    /// Counts the first attempt of a request.
    pub fn count_first(&mut self, rule: &BudgetRule, now: time::Instant) {
        trim(&mut self.first, rule.window, now);
        self.first.push_back(now);
    }

    /// Takes one retry if `slack`, this VM's part of the fixed allowance, and its requests leave
    /// one; returns false otherwise.
    pub fn take(&mut self, rule: &BudgetRule, slack: f64, now: time::Instant) -> bool {
        let left = self.left(rule, slack, now);
        if left < 1.0 {
            return false;
        }
        self.further.push_back(now);
        true
    }

    /// Counts a retry that is made even if none is left: continuing a run on another server is
    /// worth more than the retries that it takes from others.
    pub fn force(&mut self, rule: &BudgetRule, now: time::Instant) {
        trim(&mut self.further, rule.window, now);
        self.further.push_back(now);
    }

    /// Numbers of first attempts and of retries in the window that ends now.
    pub fn counts(&mut self, rule: &BudgetRule, now: time::Instant) -> (usize, usize) {
        trim(&mut self.first, rule.window, now);
        trim(&mut self.further, rule.window, now);
        (self.first.len(), self.further.len())
    }

    /// Number of retries that this VM has left with `slack` of the fixed allowance.
    pub fn left(&mut self, rule: &BudgetRule, slack: f64, now: time::Instant) -> f64 {
        trim(&mut self.first, rule.window, now);
        trim(&mut self.further, rule.window, now);
        let total = rule.ratio * self.first.len() as f64 + slack;
        total * SAFETY_FRACTION - self.further.len() as f64
    }
}

fn trim(
    times: &mut collections::VecDeque<time::Instant>,
    window: time::Duration,
    now: time::Instant,
) {
    while times
        .front()
        .is_some_and(|&at| now.saturating_duration_since(at) > window)
    {
        times.pop_front();
    }
}

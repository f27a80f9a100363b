//! How many further tries a service may get, over all VMs together.
//!
//! Load pattern: a server fails and every VM tries again at once; without a bound the rest of the
//! service gets several times its load. Each VM keeps to its own part without asking anyone: a
//! share of the requests that it saw itself, and an even part of the fixed allowance. Parts of VMs
//! that are down go unused until membership forgets them, so the sum never exceeds the whole.

use std::collections;

use tokio::time;

/// Part of the whole that is used: beliefs on how many VMs there are lag behind.
const SAFETY: f64 = 0.75;

/// The bound on further tries of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetRule {
    /// Further tries as a part of first ones.
    pub ratio: f64,
    /// Further tries that are free, over all VMs.
    pub slack: f64,
    /// The span over which both are counted.
    pub window: time::Duration,
}

/// What this VM sent to one service of late.
#[derive(Debug, Default)]
pub struct RetryBudget {
    /// Times of first tries, oldest first, none older than the window.
    first: collections::VecDeque<time::Instant>,
    /// Times of further tries.
    further: collections::VecDeque<time::Instant>,
}

impl RetryBudget {
    /// A request came.
    pub fn count_first(&mut self, rule: &BudgetRule, now: time::Instant) {
        trim(&mut self.first, rule.window, now);
        self.first.push_back(now);
    }

    /// Takes one further try, if there is one left for this VM of `entries`.
    pub fn take(&mut self, rule: &BudgetRule, entries: u32, now: time::Instant) -> bool {
        let left = self.left(rule, entries, now);
        if left < 1.0 {
            return false;
        }
        self.further.push_back(now);
        true
    }

    /// Counts a further try that is made whatever is left: a run that goes on elsewhere is worth
    /// more than the tries that it takes from others.
    pub fn force(&mut self, rule: &BudgetRule, now: time::Instant) {
        trim(&mut self.further, rule.window, now);
        self.further.push_back(now);
    }

    /// Further tries that this VM of `entries` has left.
    pub fn left(&mut self, rule: &BudgetRule, entries: u32, now: time::Instant) -> f64 {
        trim(&mut self.first, rule.window, now);
        trim(&mut self.further, rule.window, now);
        let slack = rule.slack / f64::from(entries.max(1));
        let whole = rule.ratio * self.first.len() as f64 + slack;
        whole * SAFETY - self.further.len() as f64
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

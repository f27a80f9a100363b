//! Limit on the retries of a service, over all VMs together.
//!
//! Load pattern: a server fails and every VM retries at once; without a limit the remaining servers
//! of the service get several times their load. Each VM keeps to its own share without
//! coordination: a fraction of the requests that it received itself, and an even part of the fixed
//! allowance. VMs that fell silent keep their part, because they may be cut off and still send. A
//! VM that has just started has none, because the process before it may have spent it.

use std::collections;

use tokio::time;

use crate::loans;

/// Fraction of the budget that is used, because the known number of VMs lags behind the actual one.
const SAFETY_FRACTION: f64 = 0.75;

/// Time after the sending of a repeat for which it counts as on its way if no answer shows that it
/// has arrived: a path that stalls may deliver it late, together with many others.
const MAX_DELAY: time::Duration = time::Duration::from_secs(30);

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
    /// Repeats that other VMs granted.
    granted: collections::VecDeque<GrantedRepeat>,
    /// Loans of which a repeat has arrived, or will not be made.
    settled: Vec<loans::LoanKey>,
}

/// A repeat that another VM granted.
#[derive(Clone, Copy, Debug)]
struct GrantedRepeat {
    /// Time until which it may be made.
    until: time::Instant,
    loan: loans::LoanKey,
}

/// A repeat that counts.
#[derive(Clone, Copy, Debug)]
struct CountedRepeat {
    /// Time by which it has arrived for certain. It counts for a window from then on.
    arrives_by: time::Instant,
    owner: RepeatOwner,
}

/// Who makes a repeat and who counts it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RepeatOwner {
    /// This VM makes and counts it.
    Own,
    /// Another VM counts it. Has the loan until its lender is told that it has arrived.
    Borrowed(Option<loans::LoanKey>),
    /// Another VM makes it.
    Lent(loans::LoanKey),
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
        (self.left(rule, slack, now) >= 1.0 + reserved).then(|| self.insert(RepeatOwner::Own, now))
    }

    /// Takes one repeat that another VM granted.
    pub fn take_granted(&mut self, rule: &BudgetRule, now: time::Instant) -> Option<RepeatKey> {
        self.trim(rule, now);
        let granted = self.granted.pop_front()?;
        Some(self.insert(RepeatOwner::Borrowed(Some(granted.loan)), now))
    }

    fn insert(&mut self, owner: RepeatOwner, now: time::Instant) -> RepeatKey {
        self.further.insert(CountedRepeat {
            arrives_by: now + MAX_DELAY,
            owner,
        })
    }

    /// Adds repeats that another VM granted.
    pub fn add_granted(&mut self, repeats: u32, loan: loans::LoanKey, until: time::Instant) {
        let granted = GrantedRepeat { until, loan };
        self.granted.extend((0..repeats).map(|_| granted));
    }

    /// Lends up to `wanted` repeats, besides those that are `reserved`. They count here for as long
    /// as they can arrive from the borrower, unless it says sooner that they have.
    pub fn lend(
        &mut self,
        rule: &BudgetRule,
        slack: f64,
        reserved: f64,
        (loan, wanted): (loans::LoanKey, u32),
        now: time::Instant,
    ) -> u32 {
        let free = (self.left(rule, slack, now) - reserved).max(0.0);
        let lent = (free as u32).min(wanted);
        for _ in 0..lent {
            self.further.insert(CountedRepeat {
                arrives_by: now + loans::LOAN_TIME + MAX_DELAY,
                owner: RepeatOwner::Lent(loan),
            });
        }
        lent
    }

    /// Records that repeats of a loan have arrived from the borrower, or will not be made.
    pub fn settle_lent(&mut self, loan: loans::LoanKey, repeats: u32, now: time::Instant) {
        let lent = self.further.values_mut();
        let lent = lent.filter(|repeat| repeat.owner == RepeatOwner::Lent(loan));
        for repeat in lent.take(usize::try_from(repeats).unwrap_or(usize::MAX)) {
            repeat.arrives_by = repeat.arrives_by.min(now);
            repeat.owner = RepeatOwner::Own;
        }
    }

    /// Takes the loans whose lenders are to be told of a repeat that has arrived, or will not be made.
    pub fn take_settled(&mut self, rule: &BudgetRule, now: time::Instant) -> Vec<loans::LoanKey> {
        self.trim(rule, now);
        std::mem::take(&mut self.settled)
    }

    /// Number of streams that can be continued: what is left, and what other VMs granted.
    pub fn resumes_left(&mut self, rule: &BudgetRule, slack: f64, now: time::Instant) -> usize {
        let left = self.left(rule, slack, now).max(0.0) as usize;
        left + self.granted.len()
    }

    /// Records that all attempts that a repeat stands for have arrived.
    pub fn settle(&mut self, key: RepeatKey, now: time::Instant) {
        if let Some(repeat) = self.further.get_mut(key) {
            repeat.arrives_by = repeat.arrives_by.min(now);
            if let RepeatOwner::Borrowed(loan) = &mut repeat.owner {
                self.settled.extend(loan.take());
            }
        }
    }

    /// Removes a repeat that was not made.
    pub fn remove(&mut self, key: RepeatKey) {
        let removed = self.further.remove(key);
        if let Some(RepeatOwner::Borrowed(loan)) = removed.map(|repeat| repeat.owner) {
            self.settled.extend(loan);
        }
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
        let is_counted = |owner| !matches!(owner, RepeatOwner::Borrowed(_));
        let counted = self.further.values();
        let counted = counted.filter(|repeat| is_counted(repeat.owner)).count();
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
        self.further
            .retain(|_, repeat| now <= repeat.arrives_by + rule.window);
        let unused = |granted: &GrantedRepeat| now >= granted.until;
        self.settled.extend(
            self.granted
                .iter()
                .filter(|granted| unused(granted))
                .map(|granted| granted.loan),
        );
        self.granted.retain(|granted| !unused(granted));
    }
}

//! Repeats of requests: what this VM has spent of the allowance of each service, and which attempts
//! may still arrive.
//!
//! Load pattern: the path to a server stalls, its callers are served by others, and when the path
//! heals all attempts that were sent into it arrive at once, also those that were given up. A
//! repeat therefore counts until a window after an answer has shown that each attempt of its
//! request has arrived: its own, or one to an attempt that was sent to the same server long after.

use std::{cell, collections, rc};

use tokio::time;

use crate::{budget, fleet, loans};

/// Time within which an attempt reaches a server that takes others. Each connection delays packets of
/// its own that were lost, until the system gives them up.
const MAX_DELIVERY: time::Duration = time::Duration::from_secs(4);

/// Repeats of all services.
#[derive(Debug, Default)]
pub struct RepeatLedger {
    budgets: collections::HashMap<String, budget::RetryBudget>,
    /// Attempts of requests with repeats that no answer has shown to have arrived.
    unanswered: Vec<UnansweredAttempt>,
    /// Repeats whose attempts are not made.
    returned: ReturnedRepeats,
    last_number: u64,
}

type ReturnedRepeats = rc::Rc<cell::RefCell<Vec<SentRepeat>>>;

/// A repeat that was taken. If it is dropped before its attempt is sent, it counts no more.
#[derive(Debug)]
pub struct HeldRepeat {
    /// Absent once the attempt is sent.
    repeat: Option<SentRepeat>,
    returned: ReturnedRepeats,
}

/// A repeat whose attempt was sent. It counts until the ledger knows that all it stands for has
/// arrived.
#[derive(Clone, Debug)]
pub struct SentRepeat {
    service: String,
    key: budget::RepeatKey,
}

impl Drop for HeldRepeat {
    fn drop(&mut self) {
        self.returned.borrow_mut().extend(self.repeat.take());
    }
}

/// One attempt, as its sender refers to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SentAttempt {
    /// Number of the attempt, of this VM.
    pub number: u64,
    /// Server that it was sent to; `None` if it was handed to another VM.
    pub server: Option<fleet::ServerKey>,
    /// When it was sent.
    pub sent_at: time::Instant,
}

/// An attempt, and the repeat that counts until it has arrived.
#[derive(Debug)]
struct UnansweredAttempt {
    attempt: SentAttempt,
    service: String,
    repeat: budget::RepeatKey,
}

impl RepeatLedger {
    /// Returns the budget of a service; the name is cloned only for a new entry.
    pub fn budget(&mut self, service: &str) -> &mut budget::RetryBudget {
        self.take_returned();
        if !self.budgets.contains_key(service) {
            let budget = budget::RetryBudget::default();
            self.budgets.insert(service.to_owned(), budget);
        }
        self.budgets.get_mut(service).expect("just inserted")
    }

    /// Budgets of all services that got requests.
    pub fn budgets(&mut self) -> impl Iterator<Item = (&String, &mut budget::RetryBudget)> {
        self.take_returned();
        self.budgets.iter_mut()
    }

    /// Takes back the repeats whose attempts were not made.
    fn take_returned(&mut self) {
        for repeat in self.returned.borrow_mut().drain(..) {
            if let Some(budget) = self.budgets.get_mut(&repeat.service) {
                budget.remove(repeat.key);
            }
        }
    }

    /// Takes back a repeat whose attempt was certainly not sent.
    pub fn give_back(&mut self, repeat: SentRepeat) {
        self.returned.borrow_mut().push(repeat);
        self.take_returned();
    }

    /// Takes the loans, by service, whose lenders are to be told of a repeat that has arrived.
    pub fn take_settled(
        &mut self,
        rule: &budget::BudgetRule,
        now: time::Instant,
    ) -> Vec<(String, loans::LoanKey)> {
        self.take_returned();
        let budgets = self.budgets.iter_mut();
        let settled = budgets.flat_map(|(service, budget)| {
            let loans = budget.take_settled(rule, now).into_iter();
            loans.map(|loan| (service.clone(), loan))
        });
        settled.collect()
    }

    /// Holds a repeat for an attempt that may be sent.
    pub fn hold(&self, service: &str, key: budget::RepeatKey) -> HeldRepeat {
        HeldRepeat {
            repeat: Some(SentRepeat {
                service: service.to_owned(),
                key,
            }),
            returned: self.returned.clone(),
        }
    }

    /// A new attempt that is sent now.
    pub const fn new_attempt(
        &mut self,
        server: Option<fleet::ServerKey>,
        now: time::Instant,
    ) -> SentAttempt {
        self.last_number += 1;
        SentAttempt {
            number: self.last_number,
            server,
            sent_at: now,
        }
    }

    /// Uses a repeat: it counts until these attempts have arrived.
    pub fn await_arrival(
        &mut self,
        mut held: HeldRepeat,
        attempts: &[SentAttempt],
    ) -> Option<SentRepeat> {
        let repeat = held.repeat.take()?;
        let budgets = &self.budgets;
        self.unanswered.retain(|unanswered| {
            let budget = budgets.get(&unanswered.service);
            budget.is_some_and(|budget| budget.counts_repeat(unanswered.repeat))
        });
        let awaited = attempts.iter().map(|&attempt| UnansweredAttempt {
            attempt,
            service: repeat.service.clone(),
            repeat: repeat.key,
        });
        self.unanswered.extend(awaited);
        Some(repeat)
    }

    /// Records that a server answered an attempt. What was sent there on other connections so long
    /// before that it is no longer on its way has arrived too.
    pub fn record_answer(&mut self, answered: SentAttempt, now: time::Instant) {
        self.remove_where(now, |attempt| {
            let settled = attempt.sent_at + MAX_DELIVERY <= answered.sent_at;
            let same_server = attempt.server.is_some() && attempt.server == answered.server;
            attempt.number == answered.number || same_server && settled
        });
    }

    /// Records that an attempt was certainly not sent.
    pub fn record_unsent(&mut self, unsent: SentAttempt, now: time::Instant) {
        self.remove_where(now, |attempt| attempt.number == unsent.number);
    }

    /// Removes attempts, and settles the repeats that wait for no other.
    fn remove_where(&mut self, now: time::Instant, is_known: impl Fn(&SentAttempt) -> bool) {
        let known = self
            .unanswered
            .extract_if(.., |unanswered| is_known(&unanswered.attempt));
        let known: Vec<_> = known.collect();
        for UnansweredAttempt {
            service, repeat, ..
        } in known
        {
            let mut others = self.unanswered.iter();
            let waits = others.any(|other| other.repeat == repeat && other.service == service);
            if !waits && let Some(budget) = self.budgets.get_mut(&service) {
                budget.settle(repeat, now);
            }
        }
    }
}

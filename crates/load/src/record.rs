//! Record of one call.

use std::time;

use base::{class, refusal};

use crate::check;

/// Outcome and measured times of one call.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Index of the call's workload in the scenario.
    pub workload: usize,
    /// Traffic class that the caller requested.
    pub class: class::TrafficClass,
    /// Outcome of the call.
    pub outcome: CallOutcome,
    /// Idempotency key of a call that must run at most once.
    pub key: Option<String>,
    /// Time from the intended start to the first token, or to a complete response.
    pub first: Option<time::Duration>,
    /// Times between consecutive tokens.
    pub token_intervals: Vec<time::Duration>,
    /// Stall time: the wait for the first token, plus the time beyond the expected step at each
    /// later token.
    pub stall: time::Duration,
    /// Number of tokens received.
    pub tokens: u32,
    /// Refusals of single attempts, the last one included.
    pub refused_tries: Vec<refusal::RefusalCode>,
    /// Number of times that a broken stream was continued.
    pub continuations: u32,
    /// Number of times that the call was resent because its answer was lost before the first byte.
    pub resends: u32,
}

/// Outcome of one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The complete answer arrived.
    Whole,
    /// The call was refused before any part of an answer arrived.
    Refused(refusal::RefusalBody),
    /// Part of the answer arrived, then an explicit error.
    Ended(refusal::RefusalBody),
    /// The answer was cut, mixed or doubled.
    Faulty(check::AnswerError),
}

impl CallRecord {
    /// Creates the record of a call that has not started.
    #[must_use]
    pub const fn begin(workload: usize, class: class::TrafficClass) -> Self {
        Self {
            workload,
            class,
            outcome: CallOutcome::Whole,
            key: None,
            first: None,
            token_intervals: Vec::new(),
            stall: time::Duration::ZERO,
            tokens: 0,
            refused_tries: Vec::new(),
            continuations: 0,
            resends: 0,
        }
    }

    /// Records a token that arrived `since_start` after the intended start and `interval` after the
    /// previous token.
    pub fn add_token(
        &mut self,
        since_start: time::Duration,
        interval: time::Duration,
        expected_step: time::Duration,
    ) {
        self.tokens += 1;
        if self.first.is_none() {
            self.first = Some(since_start);
            self.stall += since_start;
            return;
        }
        self.token_intervals.push(interval);
        self.stall += interval.saturating_sub(expected_step);
    }

    /// Records an answer that arrived as one complete response; the time beyond `expected`, the
    /// sum of the expected steps of its tokens, is stall time.
    pub fn add_answer(&mut self, since_start: time::Duration, expected: time::Duration) {
        self.first = Some(since_start);
        self.stall += since_start.saturating_sub(expected);
    }
}

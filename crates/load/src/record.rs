//! What became of one call.

use std::time;

use base::{class, refusal};

use crate::check;

/// What became of one call.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Index of its workload in the scenario.
    pub workload: usize,
    /// Class that the caller asked for.
    pub class: class::TrafficClass,
    /// How it ended.
    pub outcome: CallOutcome,
    /// The idempotency key of a call that must run at most once.
    pub key: Option<String>,
    /// From the intended start to the first token, or to the answer when it came in one piece.
    pub first: Option<time::Duration>,
    /// Between two tokens that follow each other.
    pub gaps: Vec<time::Duration>,
    /// Waiting beyond what callers expect: until the first token, and beyond the expected step
    /// at each later one.
    pub stall: time::Duration,
    /// Tokens that arrived.
    pub tokens: u32,
    /// Refusals of single tries, the last one included.
    pub refused_tries: Vec<refusal::RefusalCode>,
    /// Times that a broken stream was continued.
    pub continuations: u32,
    /// Times that a call whose answer was lost before its first byte was sent again.
    pub resends: u32,
}

/// How one call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The whole answer came.
    Whole,
    /// It was refused before any part of an answer came.
    Refused(refusal::RefusalBody),
    /// Part of the answer came, then an honest error.
    Ended(refusal::RefusalBody),
    /// A promise was broken.
    Faulty(check::AnswerFault),
}

impl CallRecord {
    /// The record of a call that nothing is known of yet.
    #[must_use]
    pub const fn begin(workload: usize, class: class::TrafficClass) -> Self {
        Self {
            workload,
            class,
            outcome: CallOutcome::Whole,
            key: None,
            first: None,
            gaps: Vec::new(),
            stall: time::Duration::ZERO,
            tokens: 0,
            refused_tries: Vec::new(),
            continuations: 0,
            resends: 0,
        }
    }

    /// Takes a token that arrived `since_start` after the intended start and `gap` after the one
    /// before it.
    pub fn take_token(
        &mut self,
        since_start: time::Duration,
        gap: time::Duration,
        expected_step: time::Duration,
    ) {
        self.tokens += 1;
        if self.first.is_none() {
            self.first = Some(since_start);
            self.stall += since_start;
            return;
        }
        self.gaps.push(gap);
        self.stall += gap.saturating_sub(expected_step);
    }

    /// Takes an answer in one piece: what goes beyond the expected step for each of its tokens
    /// is stall time.
    pub fn take_answer(&mut self, since_start: time::Duration, expected: time::Duration) {
        self.first = Some(since_start);
        self.stall += since_start.saturating_sub(expected);
    }
}

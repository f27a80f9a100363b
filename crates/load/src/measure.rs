//! Latencies and outcomes that callers observe, by traffic class.

use std::{collections, time};

use base::{class, outcome, refusal};

use crate::{check, record};

/// Maximum recorded time in microseconds; longer times are recorded as this value.
const MAX_TIME_US: u64 = 3_600_000_000;

/// Number of significant decimal digits of a recorded time.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Histogram of times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct TimeHistogram(hdrhistogram::Histogram<u64>);

impl Default for TimeHistogram {
    fn default() -> Self {
        // The bounds are constants that the library accepts.
        let histogram =
            hdrhistogram::Histogram::new_with_bounds(1, MAX_TIME_US, SIGNIFICANT_DIGITS);
        Self(histogram.expect("the bounds of the histogram are valid"))
    }
}

impl TimeHistogram {
    /// Records one time.
    pub fn record(&mut self, time: time::Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.0.saturating_record(micros);
    }

    /// Returns the number of recorded times.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// Returns the value at `quantile` in milliseconds.
    #[must_use]
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / US_PER_MS
    }

    /// Returns the mean in milliseconds.
    #[must_use]
    pub fn mean_ms(&self) -> f64 {
        self.0.mean() / US_PER_MS
    }

    /// Returns the library's histogram, for serialisation.
    #[must_use]
    pub const fn inner(&self) -> &hdrhistogram::Histogram<u64> {
        &self.0
    }

    /// Wraps a histogram that the library has deserialised.
    #[must_use]
    pub const fn from_inner(histogram: hdrhistogram::Histogram<u64>) -> Self {
        Self(histogram)
    }
}

const US_PER_MS: f64 = 1_000.0;

/// Counts and times of one class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassMeasure {
    /// Calls made.
    pub requests: u64,
    /// Complete answers.
    pub whole: u64,
    /// Calls that were finally refused, before any part of an answer.
    pub refused: u64,
    /// Answers that ended early with an explicit error.
    pub ended: u64,
    /// Answers with missing tokens, or calls without an outcome.
    pub cut: u64,
    /// Answers that contain a part of another answer.
    pub mixed: u64,
    /// Answers with repeated tokens, or calls that ran twice.
    pub doubled: u64,
    /// Refusals of single attempts by code.
    pub refused_tries: collections::BTreeMap<String, u64>,
    /// Number of times that a stream was continued after a break.
    pub continuations: u64,
    /// Number of times that a call was resent because its answer was lost before the first byte.
    pub resends: u64,
    /// Number of tokens received.
    pub tokens: u64,
    /// Stall time of each complete answer.
    pub stall: TimeHistogram,
    /// Time from the intended start to the first token, or to a complete response.
    pub first: TimeHistogram,
    /// Time between two consecutive tokens.
    pub gap: TimeHistogram,
    /// Preemptions by the engines' own counters; absent when engines do not report them by class.
    pub preemptions: Option<u64>,
}

/// A call that must run at most once, with the run state reported to its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedCall {
    /// Idempotency key of the call.
    pub key: String,
    /// Traffic class of the call.
    pub class: class::TrafficClass,
    /// Run state that was reported to the caller; `Yes` for an answer.
    pub reported_ran: outcome::RanState,
}

/// Everything measured in one run.
#[derive(Clone, Debug, Default)]
pub struct RunMeasure {
    /// Measure of each class that made a call.
    pub classes: collections::BTreeMap<class::TrafficClass, ClassMeasure>,
    /// Calls that must run at most once.
    pub keyed: Vec<KeyedCall>,
    /// Descriptions of the first broken answers.
    pub samples: Vec<String>,
}

/// Maximum number of broken answers whose descriptions are kept.
const MAX_SAMPLES: usize = 10;

impl RunMeasure {
    /// Adds the record of one call.
    pub fn add(&mut self, record: &record::CallRecord) {
        if let Some(key) = &record.key {
            self.keyed.push(KeyedCall {
                key: key.clone(),
                class: record.class,
                reported_ran: reported_run_state(record),
            });
        }
        let measure = self.classes.entry(record.class).or_default();
        measure.requests += 1;
        measure.continuations += u64::from(record.continuations);
        measure.resends += u64::from(record.resends);
        measure.tokens += u64::from(record.tokens);
        for code in &record.refused_tries {
            *measure.refused_tries.entry(code_name(*code)).or_default() += 1;
        }
        if let Some(first) = record.first {
            measure.first.record(first);
        }
        for interval in &record.token_intervals {
            measure.gap.record(*interval);
        }
        match &record.outcome {
            record::CallOutcome::Whole => {
                measure.whole += 1;
                measure.stall.record(record.stall);
            }
            record::CallOutcome::Refused(_) => measure.refused += 1,
            record::CallOutcome::Ended(_) => measure.ended += 1,
            record::CallOutcome::Faulty(error) => self.add_error(record.class, error),
        }
    }

    /// Compares the run states reported to callers with the actual runs, by idempotency key.
    pub fn check_runs(&mut self, runs: &collections::BTreeMap<String, u64>) {
        for call in std::mem::take(&mut self.keyed) {
            let count = runs.get(&call.key).copied().unwrap_or_default();
            let error = match (count, call.reported_ran) {
                (2.., _) => Some("ran more than once"),
                (1, outcome::RanState::No) => Some("was reported as not run, but ran"),
                (0, outcome::RanState::Yes) => Some("was answered, but never ran"),
                _ => None,
            };
            if let Some(error) = error {
                let seen = format!("{} {error} (runs: {count})", call.key);
                self.add_error(call.class, &check::AnswerError::Doubled { seen });
            }
        }
    }

    /// Stores the preemptions by priority that engines counted.
    pub fn set_preemptions(&mut self, by_priority: [u64; 3]) {
        for (class, measure) in &mut self.classes {
            measure.preemptions = Some(by_priority[class.index()]);
        }
    }

    /// Counts a broken answer and keeps its description.
    pub fn add_error(&mut self, class: class::TrafficClass, error: &check::AnswerError) {
        let measure = self.classes.entry(class).or_default();
        let (count, kind, seen) = match error {
            check::AnswerError::Cut { seen } => (&mut measure.cut, "cut", seen),
            check::AnswerError::Mixed { seen } => (&mut measure.mixed, "mixed", seen),
            check::AnswerError::Doubled { seen } => (&mut measure.doubled, "doubled", seen),
        };
        *count += 1;
        if self.samples.len() < MAX_SAMPLES {
            self.samples.push(format!("{class}: {kind}: {seen}"));
        }
    }
}

/// Returns the run state that was reported to the caller. A refusal covers its own attempt only, so
/// it proves nothing after an attempt whose answer was lost.
const fn reported_run_state(record: &record::CallRecord) -> outcome::RanState {
    match &record.outcome {
        record::CallOutcome::Whole => outcome::RanState::Yes,
        record::CallOutcome::Refused(_) | record::CallOutcome::Ended(_) if record.resends > 0 => {
            outcome::RanState::Unknown
        }
        record::CallOutcome::Refused(refusal) | record::CallOutcome::Ended(refusal) => refusal.ran,
        record::CallOutcome::Faulty(_) => outcome::RanState::Unknown,
    }
}

/// Returns the name of the code on the wire.
fn code_name(code: refusal::RefusalCode) -> String {
    let value = serde_json::to_value(code).unwrap_or_default();
    value.as_str().unwrap_or("unknown").to_owned()
}

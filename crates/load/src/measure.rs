//! What callers felt, by class.

use std::{collections, time};

use base::{class, outcome, refusal};

use crate::{check, record};

/// Longest time that is told apart; a longer one counts as this.
const MAX_MICROS: u64 = 3_600_000_000;

/// Significant decimal digits of a measured time.
const DIGITS: u8 = 3;

/// Times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct TimeHistogram(hdrhistogram::Histogram<u64>);

impl Default for TimeHistogram {
    fn default() -> Self {
        // The bounds are constants that the library accepts.
        let histogram = hdrhistogram::Histogram::new_with_bounds(1, MAX_MICROS, DIGITS);
        Self(histogram.expect("the bounds of the histogram are valid"))
    }
}

impl TimeHistogram {
    /// Adds one time.
    pub fn record(&mut self, time: time::Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.0.saturating_record(micros);
    }

    /// Number of times.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// The time in milliseconds below which the fraction `quantile` of all lies.
    #[must_use]
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / MICROS_PER_MS
    }

    /// Mean in milliseconds.
    #[must_use]
    pub fn mean_ms(&self) -> f64 {
        self.0.mean() / MICROS_PER_MS
    }

    /// The library's histogram, for serialisation.
    #[must_use]
    pub const fn inner(&self) -> &hdrhistogram::Histogram<u64> {
        &self.0
    }

    /// Wraps what the library has deserialised.
    #[must_use]
    pub const fn from_inner(histogram: hdrhistogram::Histogram<u64>) -> Self {
        Self(histogram)
    }
}

const MICROS_PER_MS: f64 = 1_000.0;

/// Counts and times of one class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassMeasure {
    /// Calls made.
    pub requests: u64,
    /// Whole answers.
    pub whole: u64,
    /// Calls refused in the end, before any part of an answer.
    pub refused: u64,
    /// Answers that ended early with an honest error.
    pub ended: u64,
    /// Answers with missing tokens, or no outcome at all.
    pub cut: u64,
    /// Answers with a part of another.
    pub mixed: u64,
    /// Answers or calls of which something came or ran twice.
    pub doubled: u64,
    /// Refusals of single tries by code.
    pub refused_tries: collections::BTreeMap<String, u64>,
    /// Streams continued after a break.
    pub continuations: u64,
    /// Calls sent again after their answer was lost before its first byte.
    pub resends: u64,
    /// Tokens that arrived.
    pub tokens: u64,
    /// Stall time of each whole answer.
    pub stall: TimeHistogram,
    /// Intended start to first token, or to the answer in one piece.
    pub first: TimeHistogram,
    /// Between two tokens.
    pub gap: TimeHistogram,
    /// Preemptions by the engines' own counters; absent when they do not say it by class.
    pub preemptions: Option<u64>,
}

/// A call that must run at most once, and what its caller was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedCall {
    /// Its idempotency key.
    pub key: String,
    /// Its class.
    pub class: class::TrafficClass,
    /// What its caller was told; `Yes` for an answer.
    pub told: outcome::RanState,
}

/// Everything measured in one run.
#[derive(Clone, Debug, Default)]
pub struct RunMeasure {
    /// One for each class that made a call.
    pub classes: collections::BTreeMap<class::TrafficClass, ClassMeasure>,
    /// Calls that must run at most once.
    pub keyed: Vec<KeyedCall>,
    /// The first few broken answers, in words.
    pub samples: Vec<String>,
}

/// Broken answers that are kept in words.
const MAX_SAMPLES: usize = 10;

impl RunMeasure {
    /// Adds the record of one call.
    pub fn add(&mut self, record: &record::CallRecord) {
        if let Some(key) = &record.key {
            self.keyed.push(KeyedCall {
                key: key.clone(),
                class: record.class,
                told: told_by(record),
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
        for gap in &record.gaps {
            measure.gap.record(*gap);
        }
        match &record.outcome {
            record::CallOutcome::Whole => {
                measure.whole += 1;
                measure.stall.record(record.stall);
            }
            record::CallOutcome::Refused(_) => measure.refused += 1,
            record::CallOutcome::Ended(_) => measure.ended += 1,
            record::CallOutcome::Faulty(fault) => self.add_fault(record.class, fault),
        }
    }

    /// Compares what callers were told with what ran, by idempotency key.
    pub fn check_runs(&mut self, runs: &collections::BTreeMap<String, u64>) {
        for call in std::mem::take(&mut self.keyed) {
            let count = runs.get(&call.key).copied().unwrap_or_default();
            let fault = match (count, call.told) {
                (2.., _) => Some("ran more than once"),
                (1, outcome::RanState::No) => Some("was told not to have run, but ran"),
                (0, outcome::RanState::Yes) => Some("was answered, but never ran"),
                _ => None,
            };
            if let Some(fault) = fault {
                let seen = format!("{} {fault} (runs: {count})", call.key);
                self.add_fault(call.class, &check::AnswerFault::Doubled { seen });
            }
        }
    }

    /// Takes the preemptions by priority that engines counted.
    pub fn take_preemptions(&mut self, by_priority: [u64; 3]) {
        for (class, measure) in &mut self.classes {
            measure.preemptions = Some(by_priority[class.index()]);
        }
    }

    /// Adds a broken promise.
    pub fn add_fault(&mut self, class: class::TrafficClass, fault: &check::AnswerFault) {
        let measure = self.classes.entry(class).or_default();
        let (count, kind, seen) = match fault {
            check::AnswerFault::Cut { seen } => (&mut measure.cut, "cut", seen),
            check::AnswerFault::Mixed { seen } => (&mut measure.mixed, "mixed", seen),
            check::AnswerFault::Doubled { seen } => (&mut measure.doubled, "doubled", seen),
        };
        *count += 1;
        if self.samples.len() < MAX_SAMPLES {
            self.samples.push(format!("{class}: {kind}: {seen}"));
        }
    }
}

/// What the caller was told of whether the call ran. A refusal speaks for its own try only, so
/// that after a try whose answer was lost it proves nothing.
const fn told_by(record: &record::CallRecord) -> outcome::RanState {
    match &record.outcome {
        record::CallOutcome::Whole => outcome::RanState::Yes,
        record::CallOutcome::Refused(_) | record::CallOutcome::Ended(_) if record.resends > 0 => {
            outcome::RanState::Unknown
        }
        record::CallOutcome::Refused(refusal) | record::CallOutcome::Ended(refusal) => refusal.ran,
        record::CallOutcome::Faulty(_) => outcome::RanState::Unknown,
    }
}

/// The code as it stands on the wire.
fn code_name(code: refusal::RefusalCode) -> String {
    let value = serde_json::to_value(code).unwrap_or_default();
    value.as_str().unwrap_or("unknown").to_owned()
}

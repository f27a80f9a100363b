//! Report of a run: printed as a table, saved as a file for comparison.

use std::{collections, fmt, fs, path};

use base::class;
use hdrhistogram::serialization::{self, Serializer as _};
use snafu::ResultExt as _;

use crate::measure;

/// Report of one run.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct RunReport {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the scenario.
    pub seed: u64,
    /// Time from the first call to the last outcome.
    pub elapsed_ms: u64,
    /// Generations that engines preempted, by the engines' own counters; absent when no engine
    /// was queried.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub preemptions: Option<u64>,
    /// Report of each class that made a call.
    pub classes: collections::BTreeMap<class::TrafficClass, ClassReport>,
    /// Descriptions of the first broken answers.
    #[serde(default)]
    pub samples: Vec<String>,
}

/// Report of one traffic class.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClassReport {
    /// Calls made.
    pub requests: u64,
    /// Complete answers.
    pub whole: u64,
    /// Calls that were finally refused.
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
    /// Preemptions by the engines' own counters; absent when engines do not report them by class.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub preemptions: Option<u64>,
    /// Number of tokens received.
    pub tokens: u64,
    /// Stall time of each complete answer.
    pub stall: SavedTimes,
    /// Time from the intended start to the first token, or to a complete response.
    pub first: SavedTimes,
    /// Time between two consecutive tokens.
    pub gap: SavedTimes,
}

/// Measured times: summary values and the complete histogram.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct SavedTimes {
    /// Number of recorded times.
    pub count: u64,
    /// Mean.
    pub mean_ms: f64,
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Maximum.
    pub max_ms: f64,
    /// Complete histogram in microseconds: format V2 of HdrHistogram, in hexadecimal.
    pub histogram: String,
}

/// A report cannot be saved or read.
#[derive(Debug)]
#[derive(snafu::Snafu)]
pub enum ReportError {
    /// The file cannot be read or written.
    #[snafu(display("report {}: {source}; check the path", path.display()))]
    FileAccess {
        /// Path as given.
        path: path::PathBuf,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// The file is not a report.
    #[snafu(display("report {}: {source}; give a file that --save wrote", path.display()))]
    NoReport {
        /// Path as given.
        path: path::PathBuf,
        /// Error from the parser.
        source: serde_json::Error,
    },
    /// A histogram cannot be decoded.
    #[snafu(display("a saved histogram cannot be decoded; run the scenario again with --save"))]
    NoHistogram,
}

impl SavedTimes {
    fn of(histogram: &measure::TimeHistogram) -> Self {
        let mut bytes = Vec::new();
        let written = serialization::V2Serializer::new().serialize(histogram.inner(), &mut bytes);
        // Writing to memory fails only for counters too large for the format.
        written.expect("a histogram of a run fits its format");
        Self {
            count: histogram.count(),
            mean_ms: histogram.mean_ms(),
            p50_ms: histogram.quantile_ms(0.5),
            p99_ms: histogram.quantile_ms(0.99),
            max_ms: histogram.quantile_ms(1.0),
            histogram: hex::encode(bytes),
        }
    }

    /// Decodes the histogram.
    pub fn decode(&self) -> Result<measure::TimeHistogram, ReportError> {
        let bytes = hex::decode(&self.histogram).map_err(|_| ReportError::NoHistogram)?;
        serialization::Deserializer::new()
            .deserialize(&mut bytes.as_slice())
            .map(measure::TimeHistogram::from_inner)
            .map_err(|_| ReportError::NoHistogram)
    }
}

impl ClassReport {
    fn of(measure: &measure::ClassMeasure) -> Self {
        Self {
            requests: measure.requests,
            whole: measure.whole,
            refused: measure.refused,
            ended: measure.ended,
            cut: measure.cut,
            mixed: measure.mixed,
            doubled: measure.doubled,
            refused_tries: measure.refused_tries.clone(),
            continuations: measure.continuations,
            resends: measure.resends,
            preemptions: measure.preemptions,
            tokens: measure.tokens,
            stall: SavedTimes::of(&measure.stall),
            first: SavedTimes::of(&measure.first),
            gap: SavedTimes::of(&measure.gap),
        }
    }

    /// Returns the number of cut, mixed and doubled answers.
    #[must_use]
    pub const fn broken(&self) -> u64 {
        self.cut + self.mixed + self.doubled
    }
}

impl RunReport {
    /// Creates the report of a run from `measure`.
    #[must_use]
    pub fn of(scenario: &str, seed: u64, elapsed_ms: u64, measure: &measure::RunMeasure) -> Self {
        let classes = measure.classes.iter();
        Self {
            scenario: scenario.to_owned(),
            seed,
            elapsed_ms,
            preemptions: None,
            classes: classes
                .map(|(class, measure)| (*class, ClassReport::of(measure)))
                .collect(),
            samples: measure.samples.clone(),
        }
    }

    /// Answers that break a promise, over all classes.
    #[must_use]
    pub fn broken(&self) -> u64 {
        self.classes.values().map(ClassReport::broken).sum()
    }

    /// Writes the report to `path`.
    pub fn save(&self, path: &path::Path) -> Result<(), ReportError> {
        let text = serde_json::to_string_pretty(self).context(NoReportSnafu { path })?;
        fs::write(path, text + "\n").context(FileAccessSnafu { path })
    }

    /// Reads the report that [`Self::save`] wrote to `path`.
    pub fn read(path: &path::Path) -> Result<Self, ReportError> {
        let text = fs::read_to_string(path).context(FileAccessSnafu { path })?;
        serde_json::from_str(&text).context(NoReportSnafu { path })
    }
}

impl fmt::Display for RunReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "scenario {}, seed {}, {:.1} s",
            self.scenario,
            self.seed,
            self.elapsed_ms as f64 / 1_000.0
        )?;
        writeln!(
            formatter,
            "{:<10} {:>8} {:>7} {:>6} {:>6} {:>9}  {:>13}  {:>13}",
            "class",
            "requests",
            "refused",
            "whole",
            "broken",
            "preempted",
            "stall ms",
            "token gap ms"
        )?;
        writeln!(
            formatter,
            "{:>51}  {:>6} {:>6}  {:>6} {:>6}",
            "", "p50", "p99", "p50", "p99"
        )?;
        for (class, report) in &self.classes {
            write_class(formatter, *class, report)?;
        }
        self.write_remarks(formatter)
    }
}

fn write_class(
    formatter: &mut fmt::Formatter<'_>,
    class: class::TrafficClass,
    report: &ClassReport,
) -> fmt::Result {
    let preempted = report.preemptions;
    let preempted = preempted.map_or_else(|| "-".to_owned(), |count| count.to_string());
    writeln!(
        formatter,
        "{:<10} {:>8} {:>7} {:>6} {:>6} {preempted:>9}  {:>6.0} {:>6.0}  {:>6.1} {:>6.1}",
        class.name(),
        report.requests,
        report.refused + report.ended,
        report.whole,
        report.broken(),
        report.stall.p50_ms,
        report.stall.p99_ms,
        report.gap.p50_ms,
        report.gap.p99_ms,
    )
}

impl RunReport {
    fn write_remarks(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.preemptions {
            Some(preemptions) => writeln!(formatter, "preemptions on all engines: {preemptions}")?,
            None => writeln!(formatter, "preemptions: not measured, no engine was asked")?,
        }
        for (class, report) in &self.classes {
            let codes: Vec<String> = report
                .refused_tries
                .iter()
                .map(|(code, count)| format!("{code} {count}"))
                .collect();
            if !codes.is_empty() {
                writeln!(formatter, "{class}: refused tries: {}", codes.join(", "))?;
            }
            if report.ended > 0 {
                let count = report.ended;
                writeln!(
                    formatter,
                    "{class}: refused after part of the answer: {count}"
                )?;
            }
            if report.continuations + report.resends > 0 {
                writeln!(
                    formatter,
                    "{class}: streams continued {}, calls sent again {}",
                    report.continuations, report.resends
                )?;
            }
        }
        for sample in &self.samples {
            writeln!(formatter, "broken: {sample}")?;
        }
        Ok(())
    }
}

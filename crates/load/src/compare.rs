//! Compares two saved runs and derives a verdict.

use std::fmt;

use base::class;

use crate::report;

/// Thresholds above which a difference is significant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CompareThresholds {
    /// Minimum relative increase: a time is worse only if it grew by more than this fraction.
    pub fraction: f64,
    /// Minimum absolute increase, in the unit of the measure, so that noise of a fraction of a
    /// millisecond does not count.
    pub floor: f64,
}

impl Default for CompareThresholds {
    fn default() -> Self {
        Self {
            fraction: 0.15,
            floor: 5.0,
        }
    }
}

/// Result of comparing the later run with the earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CompareVerdict {
    /// At least one measure is better and none is worse.
    Better,
    /// No difference beyond the thresholds.
    Same,
    /// At least one measure is worse.
    Worse,
}

impl fmt::Display for CompareVerdict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            Self::Better => "better",
            Self::Same => "same",
            Self::Worse => "worse",
        })
    }
}

/// One measure in both runs.
#[derive(Clone, Debug, PartialEq)]
pub struct MeasureRow {
    /// Class and measure.
    pub name: String,
    /// Value in the earlier run.
    pub before: f64,
    /// Value in the later run.
    pub after: f64,
    /// Verdict on the change.
    pub verdict: CompareVerdict,
}

/// Comparison of two runs.
#[derive(Clone, Debug, PartialEq)]
pub struct RunComparison {
    /// One row for each measure.
    pub rows: Vec<MeasureRow>,
    /// Differences that limit the comparability of the runs.
    pub remarks: Vec<String>,
}

impl RunComparison {
    /// Compares `after` with `before`.
    #[must_use]
    pub fn of(
        before: &report::RunReport,
        after: &report::RunReport,
        thresholds: CompareThresholds,
    ) -> Self {
        let mut rows = Vec::new();
        for class in class::TrafficClass::ALL {
            let pair = (before.classes.get(&class), after.classes.get(&class));
            if let (Some(before), Some(after)) = pair {
                push_class_rows(&mut rows, class, before, after, thresholds);
            }
        }
        if let (Some(before), Some(after)) = (before.preemptions, after.preemptions) {
            let count = CompareThresholds {
                floor: PREEMPTION_FLOOR,
                ..thresholds
            };
            rows.push(row_of("preemptions", before as f64, after as f64, count));
        }
        Self {
            rows,
            remarks: remarks_of(before, after),
        }
    }

    /// Returns `Worse` if any measure is worse, `Better` if one is better and none is worse.
    #[must_use]
    pub fn verdict(&self) -> CompareVerdict {
        let verdicts = || self.rows.iter().map(|row| row.verdict);
        if verdicts().any(|verdict| verdict == CompareVerdict::Worse) {
            return CompareVerdict::Worse;
        }
        verdicts().min().unwrap_or(CompareVerdict::Same)
    }
}

/// Difference in preemptions up to which two runs count as the same.
const PREEMPTION_FLOOR: f64 = 2.0;

fn push_class_rows(
    rows: &mut Vec<MeasureRow>,
    class: class::TrafficClass,
    before: &report::ClassReport,
    after: &report::ClassReport,
    thresholds: CompareThresholds,
) {
    let times = [
        ("stall p50 ms", before.stall.p50_ms, after.stall.p50_ms),
        ("stall p99 ms", before.stall.p99_ms, after.stall.p99_ms),
        ("token gap p50 ms", before.gap.p50_ms, after.gap.p50_ms),
        ("token gap p99 ms", before.gap.p99_ms, after.gap.p99_ms),
        ("first p99 ms", before.first.p99_ms, after.first.p99_ms),
    ];
    for (name, before, after) in times {
        rows.push(row_of(
            &format!("{class} {name}"),
            before,
            after,
            thresholds,
        ));
    }
    let share =
        |count: u64, of: &report::ClassReport| 100.0 * count as f64 / of.requests.max(1) as f64;
    let percent = CompareThresholds {
        fraction: 0.0,
        floor: REFUSED_FLOOR_PERCENT,
    };
    let refused = (
        share(before.refused + before.ended, before),
        share(after.refused + after.ended, after),
    );
    rows.push(row_of(
        &format!("{class} refused %"),
        refused.0,
        refused.1,
        percent,
    ));
    let none = CompareThresholds {
        fraction: 0.0,
        floor: 0.0,
    };
    let broken = (before.broken() as f64, after.broken() as f64);
    rows.push(row_of(&format!("{class} broken"), broken.0, broken.1, none));
}

/// Difference in the share of refusals, in percentage points, up to which two runs count as the
/// same.
const REFUSED_FLOOR_PERCENT: f64 = 1.0;

fn row_of(name: &str, before: f64, after: f64, thresholds: CompareThresholds) -> MeasureRow {
    let margin = (before * thresholds.fraction).max(thresholds.floor);
    let verdict = if after > before + margin {
        CompareVerdict::Worse
    } else if after < before - margin {
        CompareVerdict::Better
    } else {
        CompareVerdict::Same
    };
    MeasureRow {
        name: name.to_owned(),
        before,
        after,
        verdict,
    }
}

fn remarks_of(before: &report::RunReport, after: &report::RunReport) -> Vec<String> {
    let mut remarks = Vec::new();
    if before.scenario != after.scenario {
        remarks.push(format!(
            "different scenarios: {} and {}; compare runs of one scenario",
            before.scenario, after.scenario
        ));
    }
    if before.seed != after.seed {
        remarks.push(format!(
            "different seeds: {} and {}; the calls are not the same",
            before.seed, after.seed
        ));
    }
    for (class, report) in &before.classes {
        let calls = after.classes.get(class).map_or(0, |after| after.requests);
        if calls != report.requests {
            remarks.push(format!(
                "{class}: {} calls before, {calls} after",
                report.requests
            ));
        }
    }
    remarks
}

impl fmt::Display for RunComparison {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{:<28} {:>10} {:>10} {:>8}  verdict",
            "measure", "before", "after", "ratio"
        )?;
        for row in &self.rows {
            let ratio = if row.before > 0.0 {
                format!("{:.2}", row.after / row.before)
            } else {
                "-".into()
            };
            writeln!(
                formatter,
                "{:<28} {:>10.1} {:>10.1} {ratio:>8}  {}",
                row.name, row.before, row.after, row.verdict
            )?;
        }
        for remark in &self.remarks {
            writeln!(formatter, "note: {remark}")?;
        }
        writeln!(formatter, "verdict: {}", self.verdict())
    }
}

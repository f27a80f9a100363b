//! Merging of what several VMs report about the same engine or service.

use std::time;

use crate::interval;

/// Maximum number of reports kept for one engine or service. Of more VMs, the first to report are
/// kept: the median over 64 is as good as that over all.
pub const MAX_REPORTS: usize = 64;

/// Last report of one other VM.
#[derive(Clone, Copy, Debug)]
struct PeerReport {
    vm: u64,
    value: f32,
    at: time::Instant,
}

impl PeerReport {
    fn is_fresh(&self, now: time::Instant) -> bool {
        now.saturating_duration_since(self.at) <= interval::FRESH_TIME
    }
}

/// Value that is in force, from this VM's own samples and the reports of others.
#[derive(Clone, Debug, Default)]
pub struct MergedValue {
    reports: Vec<PeerReport>,
    /// Merged value, with the time of the newest sample or report that it rests on.
    held: Option<(f64, time::Instant)>,
}

impl MergedValue {
    /// Takes the report of another VM, which must be within its range.
    pub fn take_report(&mut self, vm: u64, value: f64, now: time::Instant) {
        let report = PeerReport {
            vm,
            value: value as f32,
            at: now,
        };
        if let Some(known) = self.reports.iter_mut().find(|known| known.vm == vm) {
            *known = report;
        } else if self.reports.len() < MAX_REPORTS {
            self.reports.push(report);
        }
    }

    /// Merges this VM's own value, with the time of its last sample, with the fresh reports. Without
    /// any, the last result stays in force until it expires. An own value that is not fresh counts only
    /// where there are no reports.
    pub fn refresh(&mut self, own: Option<(f64, time::Instant)>, now: time::Instant) {
        self.reports.retain(|report| report.is_fresh(now));
        let is_fresh = |at| now.saturating_duration_since(at) <= interval::FRESH_TIME;
        let own = own.filter(|(_, at)| is_fresh(*at) || self.reports.is_empty());
        let reports = self.reports.iter().map(|report| f64::from(report.value));
        if let Some(value) = merge(own.map(|(value, _)| value), reports.collect()) {
            let reported_at = self.reports.iter().map(|report| report.at).max();
            let at = reported_at.max(own.map(|(_, at)| at)).unwrap_or(now);
            // An own value from before the last reports does not replace what was merged from them.
            if self.held.is_none_or(|(_, held_at)| held_at <= at) {
                self.held = Some((value, at));
            }
        }
        let is_valid = |at| now.saturating_duration_since(at) <= interval::RETENTION;
        self.held = self.held.filter(|(_, at)| is_valid(*at));
    }

    /// The value in force, as of the last refresh.
    #[must_use]
    pub fn value(&self) -> Option<f64> {
        self.held.map(|(value, _)| value)
    }

    /// Whether nothing is known.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.held.is_none() && self.reports.is_empty()
    }

    /// Number of reports kept.
    #[must_use]
    pub const fn reports(&self) -> usize {
        self.reports.len()
    }
}

/// Median of this VM's own value and the reports of others; the lower middle one of an even number. Of
/// two values, the own one is used: a median of two would follow a single false report.
#[must_use]
pub fn merge(own: Option<f64>, mut reports: Vec<f64>) -> Option<f64> {
    if reports.len() == 1 && own.is_some() {
        return own;
    }
    reports.extend(own);
    lower_median(&mut reports)
}

/// The median; the lower middle value of an even number.
pub(crate) fn lower_median(values: &mut [f64]) -> Option<f64> {
    let middle = values.len().checked_sub(1)? / 2;
    let (_, median, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}

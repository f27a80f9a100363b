//! Pace of the engines, as this VM and the others see it.
//!
//! Load pattern: some hundred events a second pass through a VM. Each costs a look at the runs of
//! this VM and at the reports on its engine; estimates are merged and forecasts derived at intervals, if something changed.

use std::collections;

use pace::{arrival, group, interval, merge, stall, stretch};
use tokio::time;

use crate::{fleet, message, pace_reports, server, state};

/// Minimum interval between two refreshes: one with 600 engines and 4,800 reports takes 0.2 ms.
const REFRESH_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Interval between refreshes while nothing changes, so that estimates expire.
const EXPIRY_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Maximum number of services with samples or reports.
const MAX_SERVICES: usize = 64;
/// Maximum number of changes of class that are logged in one refresh; further ones are logged in the
/// following refreshes.
const MAX_CLASS_LINES: usize = 8;
/// Minimum interval between two log lines on the class of one engine, which may be near a bound.
const CLASS_LOG_INTERVAL: time::Duration = time::Duration::from_secs(10);
/// Number by which a stretch value is multiplied in messages.
const PERCENT: f64 = 100.0;

/// Whether an own value rests on samples that are new enough to be reported.
fn is_fresh(sampled_at: std::time::Instant, now: time::Instant) -> bool {
    now.into_std().saturating_duration_since(sampled_at) <= interval::FRESH_TIME
}

/// What is known of one engine.
#[derive(Clone, Debug, Default)]
struct EngineRecord {
    /// Intervals that this VM saw.
    window: interval::IntervalWindow,
    /// Estimate in force.
    event_ms: merge::MergedValue,
    /// When a run of this VM last waited for prefill there.
    prompt_at: Option<time::Instant>,
}

impl EngineRecord {
    fn own(&self, now: time::Instant) -> Option<(f64, std::time::Instant)> {
        let event_ms = self.window.event_ms(now.into_std())?;
        Some((event_ms, self.window.sampled_at()?))
    }

    /// Updates the estimate in force; returns whether anything is known.
    fn refresh(&mut self, now: time::Instant) -> bool {
        self.event_ms.refresh(self.own(now), now.into_std());
        let sampled_at = self.window.sampled_at();
        let is_sampled = sampled_at
            .is_some_and(|at| now.into_std().saturating_duration_since(at) <= interval::RETENTION);
        let is_prompted = self
            .prompt_at
            .is_some_and(|at| now.saturating_duration_since(at) <= interval::FRESH_TIME);
        is_sampled || is_prompted || !self.event_ms.is_empty()
    }
}

/// One stretch value of a service.
#[derive(Clone, Debug, Default)]
struct StretchRecord {
    histogram: stretch::StretchHistogram,
    merged: merge::MergedValue,
}

impl StretchRecord {
    /// Own value in percent; 0 if it is not known.
    fn own_percent(&mut self, now: time::Instant) -> u32 {
        let own = self.histogram.value(now.into_std());
        let own = own.filter(|(_, at)| is_fresh(*at, now));
        own.map_or(0, |(value, _)| (value * PERCENT).round() as u32)
    }

    fn refresh(&mut self, now: time::Instant) {
        let own = self.histogram.value(now.into_std());
        self.merged.refresh(own, now.into_std());
    }
}

/// What is known of one service.
#[derive(Clone, Debug, Default)]
struct ServiceRecord {
    alone: StretchRecord,
    beside: StretchRecord,
    sampled_at: Option<time::Instant>,
    /// Forecast for engines of which nothing is known; `None` while there are no forecasts.
    usual: Option<pace::EnginePace>,
}

impl ServiceRecord {
    /// Whether there are recent samples or reports.
    fn is_known(&self, now: time::Instant) -> bool {
        let is_sampled = self
            .sampled_at
            .is_some_and(|at| now.saturating_duration_since(at) <= interval::RETENTION);
        let is_known = !self.alone.merged.is_empty() || !self.beside.merged.is_empty();
        is_sampled || is_known
    }

    fn stretch(&self) -> Option<group::ServiceStretch> {
        group::ServiceStretch::new(self.alone.merged.value(), self.beside.merged.value())
    }
}

/// Estimates for all engines that this VM knows.
#[derive(Clone, Debug, Default)]
pub struct PaceTable {
    /// Forecasts in force.
    paces: slotmap::SecondaryMap<fleet::ServerKey, pace::EnginePace>,
    /// Engines with samples, reports or an estimate.
    engines: slotmap::SparseSecondaryMap<fleet::ServerKey, EngineRecord>,
    /// Services by hash; at most [`MAX_SERVICES`].
    services: collections::HashMap<u32, ServiceRecord>,
    /// Classes of engines as they were last logged, and when; usual if absent.
    classes: slotmap::SparseSecondaryMap<fleet::ServerKey, (group::SpeedClass, time::Instant)>,
    /// When a dropped report of each VM was last logged.
    pub(crate) drops_logged_at: collections::HashMap<u64, time::Instant>,
    /// Names of servers that have a gauge.
    pub(crate) gauged: collections::BTreeSet<String>,
    /// Watch over stalls of this VM.
    pub(crate) stalls: stall::StallWatch,
    /// Whether there were samples or reports since the last refresh.
    is_changed: bool,
    refreshed_at: Option<time::Instant>,
    /// Standing of the servers at the last refresh.
    standing_hash: u64,
}

impl PaceTable {
    /// Expected pauses on an engine; `None` while too little is known of its service.
    #[must_use]
    pub fn pace(&self, key: fleet::ServerKey) -> Option<pace::EnginePace> {
        self.paces.get(key).copied()
    }

    /// Sets the expected pauses on an engine, until they are derived from samples or reports.
    pub fn set(&mut self, key: fleet::ServerKey, pace: pace::EnginePace) {
        self.paces.insert(key, pace);
    }

    /// Gives an engine that has just been added the forecast of its service's median. Without one it
    /// would count as free of risk, and attract the long streams of all VMs, until the next refresh.
    pub(crate) fn add(&mut self, key: fleet::ServerKey, service: &str) {
        let record = self.services.get(&state::service_hash(service));
        if let Some(usual) = record.and_then(|record| record.usual) {
            self.paces.insert(key, usual);
        }
    }

    /// Removes the estimate for a server.
    pub fn forget(&mut self, key: fleet::ServerKey) {
        self.paces.remove(key);
        self.engines.remove(key);
        self.classes.remove(key);
    }

    /// Time between two events on an engine, from samples and reports.
    #[must_use]
    pub fn event_ms(&self, key: fleet::ServerKey) -> Option<f64> {
        self.engines.get(key)?.event_ms.value()
    }

    /// Stretch values of a service by hash: alone and beside a prompt.
    #[must_use]
    pub fn stretches(&self, service: u32) -> (Option<f64>, Option<f64>) {
        let record = self.services.get(&service);
        record.map_or((None, None), |record| {
            let values = (&record.alone.merged, &record.beside.merged);
            (values.0.value(), values.1.value())
        })
    }

    /// Engines of which this VM has samples.
    pub(crate) fn sampled(&self, now: time::Instant) -> impl Iterator<Item = fleet::ServerKey> {
        let engines = self.engines.iter();
        engines.filter_map(move |(key, engine)| engine.own(now).map(|_| key))
    }

    /// Number of engines, reports and services that are kept.
    #[must_use]
    pub fn sizes(&self) -> (usize, usize, usize) {
        let reports = self.engines.values();
        let reports = reports.map(|engine| engine.event_ms.reports()).sum();
        (self.engines.len(), reports, self.services.len())
    }

    /// Records that a run of this VM waits for prefill on an engine.
    pub(crate) fn note_prompt(&mut self, key: fleet::ServerKey, now: time::Instant) {
        if let Some(entry) = self.engines.entry(key) {
            entry.or_default().prompt_at = Some(now);
        }
    }

    /// When a run of this VM was last known to wait for prefill on an engine.
    pub(crate) fn prompt_at(&self, key: fleet::ServerKey) -> Option<time::Instant> {
        self.engines.get(key)?.prompt_at
    }

    /// Records an interval between events on an engine of a service.
    pub(crate) fn record_interval(
        &mut self,
        key: fleet::ServerKey,
        service: u32,
        interval: &arrival::EventInterval,
        prompt: stretch::PromptState,
        now: time::Instant,
    ) {
        let Some(entry) = self.engines.entry(key) else {
            return;
        };
        let engine = entry.or_default();
        engine.window.add(interval.event_ms, now.into_std());
        self.is_changed = true;
        let Some(event_ms) = engine.event_ms.value() else {
            return;
        };
        let Some(record) = self.service_mut(service) else {
            return;
        };
        record.sampled_at = Some(now);
        let histogram = match prompt {
            stretch::PromptState::Absent => &mut record.alone.histogram,
            stretch::PromptState::Waiting => &mut record.beside.histogram,
            stretch::PromptState::Recent => return,
        };
        histogram.add(interval.pause_ms / event_ms, now.into_std());
    }

    /// Takes the report of another VM on an engine, which must be within its range.
    pub(crate) fn take_event_ms(
        &mut self,
        key: fleet::ServerKey,
        vm: u64,
        event_ms: f64,
        now: time::Instant,
    ) {
        if let Some(entry) = self.engines.entry(key) {
            let engine = entry.or_default();
            engine.event_ms.take_report(vm, event_ms, now.into_std());
            self.is_changed = true;
        }
    }

    /// Takes the report of another VM on the stretch values of a service, each within its range.
    pub(crate) fn take_stretches(
        &mut self,
        service: u32,
        vm: u64,
        (alone, beside): (Option<f64>, Option<f64>),
        now: time::Instant,
    ) {
        let Some(record) = self.service_mut(service) else {
            return;
        };
        for (record, value) in [(&mut record.alone, alone), (&mut record.beside, beside)] {
            if let Some(value) = value {
                record.merged.take_report(vm, value, now.into_std());
            }
        }
        self.is_changed = true;
    }

    fn service_mut(&mut self, service: u32) -> Option<&mut ServiceRecord> {
        if self.services.len() >= MAX_SERVICES && !self.services.contains_key(&service) {
            return None;
        }
        Some(self.services.entry(service).or_default())
    }

    /// Own estimate of an engine for other VMs, in microseconds; 0 if it is not known, not fresh, or
    /// this VM runs nothing there.
    #[must_use]
    pub fn own_event_us(&self, key: fleet::ServerKey, runs: u32, now: time::Instant) -> u32 {
        let engine = self.engines.get(key).filter(|_| runs > 0);
        let own = engine.and_then(|engine| engine.own(now));
        let own = own.filter(|(_, at)| is_fresh(*at, now));
        own.map_or(0, |(event_ms, _)| (event_ms * 1_000.0).round() as u32)
    }

    /// Own stretch values for other VMs.
    pub fn own_stretches(&mut self, now: time::Instant) -> Vec<message::PaceItem> {
        let items = self.services.iter_mut().map(|(&service, record)| {
            let alone_pct = record.alone.own_percent(now);
            let beside_pct = record.beside.own_percent(now);
            message::PaceItem {
                service,
                alone_pct,
                beside_pct,
            }
        });
        items
            .filter(|item| item.alone_pct > 0 || item.beside_pct > 0)
            .collect()
    }

    /// Whether a refresh is due.
    pub(crate) fn is_due(&self, standing_hash: u64, now: time::Instant) -> bool {
        let Some(refreshed_at) = self.refreshed_at else {
            return self.is_changed;
        };
        let is_changed = self.is_changed || self.standing_hash != standing_hash;
        let interval = if is_changed {
            REFRESH_INTERVAL
        } else {
            EXPIRY_INTERVAL
        };
        now.saturating_duration_since(refreshed_at) >= interval
    }

    /// Merges the estimates and derives the forecasts of all engines that are not gone.
    pub(crate) fn refresh<'a>(
        &mut self,
        servers: impl Iterator<Item = (fleet::ServerKey, &'a server::ServerRecord)>,
        standing_hash: u64,
        now: time::Instant,
    ) {
        self.refreshed_at = Some(now);
        self.is_changed = false;
        self.standing_hash = standing_hash;
        self.engines.retain(|_, engine| engine.refresh(now));
        for service in self.services.values_mut() {
            service.alone.refresh(now);
            service.beside.refresh(now);
        }
        self.drops_logged_at
            .retain(|_, at| now.saturating_duration_since(*at) < pace_reports::LOG_INTERVAL);
        if self.services.is_empty() {
            return;
        }
        let mut by_service = collections::HashMap::<&str, Vec<_>>::new();
        for (key, record) in servers {
            if record.is_in_use(now) {
                by_service
                    .entry(&record.service)
                    .or_default()
                    .push((key, record));
            }
        }
        let mut lines = MAX_CLASS_LINES;
        for (service, engines) in by_service {
            self.refresh_service(service, &engines, &mut lines, now);
        }
        self.services.retain(|_, service| service.is_known(now));
    }

    fn refresh_service(
        &mut self,
        service: &str,
        engines: &[(fleet::ServerKey, &server::ServerRecord)],
        lines: &mut usize,
        now: time::Instant,
    ) {
        let hash = state::service_hash(service);
        let Some(record) = self.services.get_mut(&hash) else {
            return;
        };
        let known = engines.iter().filter_map(|(key, _)| {
            let engine = self.engines.get(*key)?;
            engine.event_ms.value()
        });
        let groups = group::SpeedGroups::new(known.collect());
        let Some((groups, stretch)) = groups.zip(record.stretch()) else {
            if record.usual.take().is_some() {
                for (key, _) in engines {
                    self.paces.remove(*key);
                }
            }
            return;
        };
        record.usual = Some(groups.pace(None, &stretch));
        for (key, server) in engines {
            let pace = groups.pace(self.event_ms(*key), &stretch);
            self.paces.insert(*key, pace);
            self.log_class((*key, server), &pace, lines, now);
        }
    }

    /// Logs the class of an engine if it changed.
    fn log_class(
        &mut self,
        (key, server): (fleet::ServerKey, &server::ServerRecord),
        pace: &pace::EnginePace,
        lines: &mut usize,
        now: time::Instant,
    ) {
        let class = group::SpeedClass::of(pace);
        let known = self.classes.get(key);
        let before = known.map_or_else(group::SpeedClass::default, |(class, _)| *class);
        let is_recent =
            known.is_some_and(|(_, at)| now.saturating_duration_since(*at) < CLASS_LOG_INTERVAL);
        if class == before || is_recent || *lines == 0 {
            return;
        }
        *lines -= 1;
        self.classes.insert(key, (class, now));
        log::info!(
            server:% = server.id, service:% = server.service, class:% = class.name(),
            before:% = before.name(), event_ms = pace.event_ms, relative = pace.relative;
            "engine changed its speed class"
        );
    }
}

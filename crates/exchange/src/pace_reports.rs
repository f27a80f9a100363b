//! Reports on the pace of engines from other VMs, and the gauges.

use std::ops;

use tokio::time;

use crate::{fleet, message, state};

/// Range of reports on the time between two events, in microseconds.
const EVENT_US: ops::RangeInclusive<u32> = 1_000..=5_000_000;
/// Range of reports on stretch values, in percent.
const STRETCH_PERCENT: ops::RangeInclusive<u32> = 100..=3_000;
/// Minimum interval between two log lines on dropped reports of one VM.
pub(crate) const LOG_INTERVAL: time::Duration = time::Duration::from_secs(60);
/// Maximum number of servers with a gauge.
const MAX_GAUGES: usize = 64;

impl state::PlaneState {
    /// Takes what a datagram of another VM reports on the pace of engines. Reports outside their ranges
    /// are dropped. A report on an incarnation that is not known or gone has no effect.
    pub fn take_pace_reports(&mut self, datagram: &message::PeerDatagram, now: time::Instant) {
        let vm = datagram.sender;
        let mut dropped = 0_u64;
        for item in datagram.loads.iter().filter(|item| item.event_us > 0) {
            if !EVENT_US.contains(&item.event_us) {
                dropped += 1;
                continue;
            }
            let key = self.fleet.find_by_hash(item.server);
            let key = key.filter(|&key| {
                let record = self.fleet.server(key);
                record.is_some_and(|record| record.is_in_use(now))
            });
            if let Some(key) = key {
                let event_ms = f64::from(item.event_us) / 1_000.0;
                self.fleet.paces.take_event_ms(key, vm, event_ms, now);
            }
        }
        // Services that are not configured would take the places of those that are.
        let services = self.engine_services();
        for item in &datagram.paces {
            if !services.contains(&item.service) {
                continue;
            }
            let mut take = |percent: u32| {
                let is_valid = STRETCH_PERCENT.contains(&percent);
                dropped += u64::from(percent > 0 && !is_valid);
                is_valid.then(|| f64::from(percent) / 100.0)
            };
            let stretches = (take(item.alone_pct), take(item.beside_pct));
            self.fleet
                .paces
                .take_stretches(item.service, vm, stretches, now);
        }
        if dropped > 0 {
            self.record_dropped(vm, dropped, now);
        }
        self.fleet.refresh_paces(now);
    }

    /// Hashes of the services with engines.
    fn engine_services(&self) -> Vec<u32> {
        let services = self.catalog.iter().flat_map(|catalog| &catalog.services);
        let services = services.filter(|(_, rule)| rule.engine.is_some());
        services
            .map(|(service, _)| state::service_hash(service))
            .collect()
    }

    /// Sets the gauges of engines and services, 0 for what is not known. A server keeps its gauge:
    /// metrics of names that come and go can't be removed.
    pub(crate) fn record_paces(&mut self, now: time::Instant) {
        self.fleet.record_event_seconds(now);
        let Some(catalog) = &self.catalog else { return };
        let services = catalog.services.iter();
        for (service, _) in services.filter(|(_, rule)| rule.engine.is_some()) {
            let (alone, beside) = self.fleet.paces.stretches(state::service_hash(service));
            for (kind, value) in [("alone", alone), ("beside", beside)] {
                metrics::gauge!(
                    "pollenchute_exchange_service_stretch", "service" => service.clone(), "kind" => kind
                )
                .set(value.unwrap_or_default());
            }
        }
    }

    fn record_dropped(&mut self, vm: u64, dropped: u64, now: time::Instant) {
        metrics::counter!("pollenchute_exchange_pace_reports_dropped_total").increment(dropped);
        let logged_at = &mut self.fleet.paces.drops_logged_at;
        let is_due = logged_at
            .get(&vm)
            .is_none_or(|at| now.saturating_duration_since(*at) >= LOG_INTERVAL);
        if is_due {
            logged_at.insert(vm, now);
            log::warn!(vm = vm, dropped; "reports on the pace of engines are out of range");
        }
    }
}

impl fleet::ServerFleet {
    /// Updates the forecasts, if that is due.
    pub fn refresh_paces(&mut self, now: time::Instant) {
        let standing_hash = self.standing_hash();
        if !self.paces.is_due(standing_hash, now) {
            return;
        }
        let mut paces = std::mem::take(&mut self.paces);
        paces.refresh(self.servers(), standing_hash, now);
        self.paces = paces;
    }

    fn record_event_seconds(&mut self, now: time::Instant) {
        let sampled: Vec<_> = self.paces.sampled(now).collect();
        for key in sampled {
            if self.paces.gauged.len() < MAX_GAUGES
                && let Some(record) = self.server(key)
            {
                let id = record.id.clone();
                self.paces.gauged.insert(id);
            }
        }
        for id in &self.paces.gauged {
            let event_ms = self.find(id).and_then(|key| self.paces.event_ms(key));
            metrics::gauge!("pollenchute_exchange_engine_event_seconds", "server" => id.clone())
                .set(event_ms.unwrap_or_default() / 1_000.0);
        }
    }
}

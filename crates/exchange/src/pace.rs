//! Arrival times of the events of one stream.

use tokio::time;

use crate::request;

/// First arrival and longest pause of the events of one stream.
#[derive(Debug, Default)]
pub(crate) struct EventPace {
    first: Option<time::Instant>,
    last: Option<time::Instant>,
    worst: time::Duration,
}

impl EventPace {
    pub(crate) fn note(&mut self, now: time::Instant) {
        if let Some(last) = self.last {
            self.worst = self.worst.max(now.saturating_duration_since(last));
        }
        self.first.get_or_insert(now);
        self.last = Some(now);
    }

    pub(crate) fn count(&self, request: &request::ExchangeRequest) {
        if let Some(first) = self.first {
            let first = first
                .saturating_duration_since(request.arrived)
                .as_secs_f64();
            metrics::histogram!("pollenchute_exchange_first_event_seconds").record(first);
        }
        let worst = self.worst.as_secs_f64();
        metrics::histogram!("pollenchute_exchange_worst_pause_seconds").record(worst);
    }

    /// Time between the arrival of the request and its first event.
    pub(crate) fn first_ms(&self, request: &request::ExchangeRequest) -> Option<u64> {
        let first = self.first?.saturating_duration_since(request.arrived);
        u64::try_from(first.as_millis()).ok()
    }

    /// Longest pause between two events.
    pub(crate) fn worst_ms(&self) -> u64 {
        u64::try_from(self.worst.as_millis()).unwrap_or(u64::MAX)
    }
}

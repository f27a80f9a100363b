//! Arrival times of the events of one stream.

use pace::arrival;
use tokio::time;

use crate::{fleet, request};

/// Longest pause between two events of one stream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorstPause {
    pub(crate) pause: time::Duration,
    /// Number of the event that ended the pause, counted from 1.
    pub(crate) event: u64,
    /// Server that sent this event.
    pub(crate) server: fleet::ServerKey,
}

/// First arrival and longest pause of the events of one stream.
#[derive(Debug, Default)]
pub(crate) struct EventPace {
    first: Option<time::Instant>,
    last: Option<time::Instant>,
    /// Intervals between events of one response body, which its server and the number of events before
    /// it identify.
    pub(crate) arrivals: arrival::ArrivalClock<(fleet::ServerKey, u64)>,
    /// Number of events so far.
    events: u64,
    worst: Option<WorstPause>,
}

impl EventPace {
    /// Records the arrival of events, after which there are `events`, from a server.
    pub(crate) fn record_event(
        &mut self,
        events: u64,
        server: fleet::ServerKey,
        now: time::Instant,
    ) {
        if let Some(last) = self.last {
            let pause = now.saturating_duration_since(last);
            if pause > self.max_pause() {
                self.worst = Some(WorstPause {
                    pause,
                    event: self.events + 1,
                    server,
                });
            }
        }
        self.events = events;
        self.first.get_or_insert(now);
        self.last = Some(now);
    }

    pub(crate) fn record_metrics(&self, request: &request::ExchangeRequest) {
        if let Some(first) = self.first {
            let first = first
                .saturating_duration_since(request.arrived)
                .as_secs_f64();
            metrics::histogram!("pollenchute_exchange_first_event_seconds").record(first);
        }
        let max_pause = self.max_pause().as_secs_f64();
        metrics::histogram!("pollenchute_exchange_worst_pause_seconds").record(max_pause);
    }

    /// Time between the arrival of the request and its first event.
    pub(crate) fn first_ms(&self, request: &request::ExchangeRequest) -> Option<u64> {
        let first = self.first?.saturating_duration_since(request.arrived);
        u64::try_from(first.as_millis()).ok()
    }

    /// Longest pause between two events.
    pub(crate) fn max_pause(&self) -> time::Duration {
        self.worst.map_or(time::Duration::ZERO, |worst| worst.pause)
    }

    /// Longest pause between two events, in milliseconds.
    pub(crate) fn max_pause_ms(&self) -> u64 {
        u64::try_from(self.max_pause().as_millis()).unwrap_or(u64::MAX)
    }

    /// The longest pause; `None` of a stream with fewer than two events.
    pub(crate) const fn worst(&self) -> Option<WorstPause> {
        self.worst
    }
}

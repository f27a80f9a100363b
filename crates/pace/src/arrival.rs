//! Arrivals of the events of one stream, and the intervals between them.

use std::time;

/// Maximum number of events in an arrival that is a sample. More at once are a replay or the output of
/// a buffer, whose time says nothing about the engine.
const MAX_EVENTS_AT_ONCE: u64 = 8;

/// Interval between two consecutive arrivals of one stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EventInterval {
    /// Time since the previous arrival: the pause that the caller sees.
    pub pause_ms: f64,
    /// The same for each event of the arrival. Where a connection delivers several events at once, this
    /// is still the time that the engine takes for one.
    pub event_ms: f64,
    /// When the interval began.
    pub since: time::Instant,
}

/// Last arrival of one stream. `B` identifies the response body that the events belong to.
#[derive(Clone, Debug)]
pub struct ArrivalClock<B> {
    last: Option<Arrival<B>>,
}

#[derive(Clone, Debug)]
struct Arrival<B> {
    body: B,
    /// Number of events of the stream so far.
    events: u64,
    at: time::Instant,
}

impl<B> Default for ArrivalClock<B> {
    fn default() -> Self {
        Self { last: None }
    }
}

impl<B: PartialEq> ArrivalClock<B> {
    /// Records an arrival, after which the stream has so many events. Returns the interval that it ends,
    /// if that is a sample: both arrivals belong to the same body, so that no move or resume lies
    /// between them, and few events arrived at once.
    pub fn arrive(&mut self, body: B, events: u64, now: time::Instant) -> Option<EventInterval> {
        let arrival = Arrival {
            body,
            events,
            at: now,
        };
        let last = self.last.replace(arrival)?;
        let is_same = self.last.as_ref().is_some_and(|now| now.body == last.body);
        let count = events.saturating_sub(last.events);
        if !is_same || !(1..=MAX_EVENTS_AT_ONCE).contains(&count) {
            return None;
        }
        let pause_ms = now.saturating_duration_since(last.at).as_secs_f64() * 1_000.0;
        Some(EventInterval {
            pause_ms,
            event_ms: pause_ms / count as f64,
            since: last.at,
        })
    }

    /// Excludes the interval that has begun: its beginning was delayed, or its end will be.
    pub fn interrupt(&mut self) {
        self.last = None;
    }
}

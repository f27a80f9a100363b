//! Recent intervals between events on one engine, as one VM sees them.

use std::{ops, time};

/// Number of intervals kept. They span 1.6 s at least, in which a slow period of 0.6 s and a prefill of
/// 0.4 s fill less than three quarters.
pub const WINDOW_SAMPLES: usize = 32;
/// Number of samples from which an estimate is valid: an engine lives for about 14 s, and half a second
/// of it is enough.
pub const MIN_SAMPLES: usize = 8;
/// Range of the time between two events. Shorter intervals are counted as the shortest, longer ones as
/// the longest.
pub const EVENT_MS: ops::RangeInclusive<f64> = 1.0..=5_000.0;
/// Time after the last sample during which an estimate is reported to other VMs and merged with theirs.
pub const FRESH_TIME: time::Duration = time::Duration::from_secs(3);
/// Time after the last sample or report at which an estimate expires.
pub const RETENTION: time::Duration = time::Duration::from_secs(30);
/// Minimum time between two samples. A step of an engine yields an event on each of its streams;
/// counted for each stream, a slow period of 0.6 s would fill the window. At 20 ms, a slow period beside
/// a prefill filled it on engines with 18 ms per event in 4% of the cases.
const MIN_SAMPLE_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Window over the last intervals.
#[derive(Clone, Debug, Default)]
pub struct IntervalWindow {
    /// Intervals in milliseconds; the first `count` are set.
    intervals: [f32; WINDOW_SAMPLES],
    count: usize,
    /// Position of the next interval.
    next: usize,
    sampled_at: Option<time::Instant>,
}

impl IntervalWindow {
    /// Adds an interval that ends now, unless another one ended just before.
    pub fn add(&mut self, event_ms: f64, now: time::Instant) {
        if self.age(now).is_some_and(|age| age < MIN_SAMPLE_INTERVAL) {
            return;
        }
        if self.age(now).is_some_and(|age| age > RETENTION) {
            self.count = 0;
            self.next = 0;
        }
        self.sampled_at = Some(now);
        self.intervals[self.next] = event_ms.clamp(*EVENT_MS.start(), *EVENT_MS.end()) as f32;
        self.next = (self.next + 1) % WINDOW_SAMPLES;
        self.count = WINDOW_SAMPLES.min(self.count + 1);
    }

    /// The 25th percentile of the intervals; `None` while there are too few, or the last one is too
    /// old. Prefills and slow periods, which last for less than three quarters of the window, have
    /// little effect on it.
    #[must_use]
    pub fn event_ms(&self, now: time::Instant) -> Option<f64> {
        let age = self.age(now)?;
        if self.count < MIN_SAMPLES || age > RETENTION {
            return None;
        }
        let mut intervals = self.intervals;
        let intervals = &mut intervals[..self.count];
        let (_, quartile, _) =
            intervals.select_nth_unstable_by((self.count - 1) / 4, f32::total_cmp);
        Some(f64::from(*quartile))
    }

    /// When the last sample was added.
    #[must_use]
    pub const fn sampled_at(&self) -> Option<time::Instant> {
        self.sampled_at
    }

    fn age(&self, now: time::Instant) -> Option<time::Duration> {
        let at = self.sampled_at?;
        Some(now.saturating_duration_since(at))
    }
}

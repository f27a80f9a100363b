//! How much longer than usual the pauses of a service's streams get.

use std::{ops, time};

/// Range of stretch values. Pauses shorter than an interval between events count as one.
pub const STRETCH: ops::RangeInclusive<f64> = 1.0..=30.0;
/// Number of samples from which a value is valid: a VM with one stream has them within about 3 s.
pub const MIN_SAMPLES: u32 = 32;
/// Quantile that counts as the longest pause to expect: a long stream has some hundred intervals, and
/// one pause makes it late.
const QUANTILE: f64 = 0.99;
/// Ratio between the bounds of a bin: the error of a value is 2% at most.
const BIN_RATIO: f64 = 1.04;
/// Number of bins, up to the upper end of [`STRETCH`].
const BINS: usize = 87;
/// Time for which samples are added to one generation. Values rest on one or two of them.
const GENERATION_TIME: time::Duration = time::Duration::from_secs(10);

/// What a VM knows of prompts on an engine at the end of an interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromptState {
    /// No prompt was waiting for prefill for long enough that none is being prefilled unnoticed.
    Absent,
    /// A prompt waits, or is being prefilled.
    Waiting,
    /// A prompt was waiting a short time ago.
    Recent,
}

type Bins = [u16; BINS];

/// Histogram of interval / `event_ms` over the last 10 to 20 s.
#[derive(Clone, Debug)]
pub struct StretchHistogram {
    current: Bins,
    previous: Bins,
    /// When the current generation began.
    began_at: Option<time::Instant>,
    sampled_at: Option<time::Instant>,
}

impl Default for StretchHistogram {
    fn default() -> Self {
        Self {
            current: [0; BINS],
            previous: [0; BINS],
            began_at: None,
            sampled_at: None,
        }
    }
}

impl StretchHistogram {
    /// Adds a sample.
    pub fn add(&mut self, stretch: f64, now: time::Instant) {
        self.rotate(now);
        let stretch = stretch.clamp(*STRETCH.start(), *STRETCH.end());
        let bin = (stretch.ln() / BIN_RATIO.ln()) as usize;
        let count = &mut self.current[bin.min(BINS - 1)];
        *count = count.saturating_add(1);
        self.sampled_at = Some(now);
    }

    /// The 99th percentile, but never the largest sample, and when the last sample was added; `None`
    /// while there are too few samples.
    pub fn value(&mut self, now: time::Instant) -> Option<(f64, time::Instant)> {
        self.rotate(now);
        let bins = self.current.iter().zip(&self.previous);
        let counts = bins.map(|(&current, &previous)| u32::from(current) + u32::from(previous));
        let total: u32 = counts.clone().sum();
        if total < MIN_SAMPLES {
            return None;
        }
        let rank = (f64::from(total) * QUANTILE).ceil() as u32;
        let rank = rank.min(total - 1);
        let mut below = 0;
        let bin = counts.enumerate().find_map(|(bin, count)| {
            below += count;
            (below >= rank).then_some(bin)
        })?;
        let middle = BIN_RATIO.powf(bin as f64 + 0.5);
        Some((middle.min(*STRETCH.end()), self.sampled_at?))
    }

    /// Begins the next generation when the current one is over.
    fn rotate(&mut self, now: time::Instant) {
        let began_at = *self.began_at.get_or_insert(now);
        let age = now.saturating_duration_since(began_at);
        if age < GENERATION_TIME {
            return;
        }
        let current = std::mem::replace(&mut self.current, [0; BINS]);
        if age < 2 * GENERATION_TIME {
            self.previous = current;
            self.began_at = Some(began_at + GENERATION_TIME);
        } else {
            self.previous = [0; BINS];
            self.began_at = Some(now);
        }
    }
}

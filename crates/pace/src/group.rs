//! Groups of engines of equal speed, and the forecast for each engine.
//!
//! All engines of a group have exactly the same forecast, so that noise in the estimates of equal
//! engines does not decide between them.

use crate::{EnginePace, merge};

/// Engines within this factor of the service's median count as equal to it, and others within this
/// factor of the fastest of their group as equal to each other. Estimates of equal engines differ by less,
/// also during a slow period.
pub const EQUAL_FACTOR: f64 = 1.4;

/// Stretch values of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceStretch {
    /// Longest pause while no prompt is being prefilled, as a multiple of the time between two events.
    pub alone: f64,
    /// The same while a prompt is being prefilled.
    pub beside: f64,
}

impl ServiceStretch {
    /// Combines the values that are known; `None` if none is. A prompt does not shorten pauses, and is
    /// taken to have no effect while too little is known of it. Engines that are never without prompts
    /// have no value for pauses without any.
    #[must_use]
    pub fn new(alone: Option<f64>, beside: Option<f64>) -> Option<Self> {
        let alone = alone.or(beside.map(|_| 1.0))?;
        let beside = beside.map_or(alone, |beside| beside.max(alone));
        Some(Self { alone, beside })
    }
}

/// Speed of an engine in words, for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SpeedClass {
    /// Faster than the service's median.
    Fast,
    /// Equal to the service's median.
    #[default]
    Usual,
    /// Slower than the service's median.
    Slow,
}

impl SpeedClass {
    /// Class of an engine.
    #[must_use]
    pub const fn of(pace: &EnginePace) -> Self {
        if pace.relative < 1.0 {
            Self::Fast
        } else if pace.relative > 1.0 {
            Self::Slow
        } else {
            Self::Usual
        }
    }

    /// Name in log lines and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Fast => "fast",
            Self::Usual => "usual",
            Self::Slow => "slow",
        }
    }
}

/// Engines of equal speed.
#[derive(Clone, Copy, Debug, PartialEq)]
struct SpeedGroup {
    /// Longest time between two events in the group.
    max_ms: f64,
    /// Median of the group.
    event_ms: f64,
}

/// Speeds of the engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct SpeedGroups {
    /// Median over all engines with an estimate.
    median_ms: f64,
    /// Groups, the fastest first.
    groups: Vec<SpeedGroup>,
}

impl SpeedGroups {
    /// Groups the engines by their times between two events; `None` if there are none.
    #[must_use]
    pub fn new(mut event_ms: Vec<f64>) -> Option<Self> {
        let median_ms = merge::lower_median(&mut event_ms)?;
        event_ms.sort_unstable_by(f64::total_cmp);
        let fast = event_ms.partition_point(|&ms| ms < median_ms / EQUAL_FACTOR);
        let slow = event_ms.partition_point(|&ms| ms <= median_ms * EQUAL_FACTOR);
        let usual = SpeedGroup {
            max_ms: median_ms * EQUAL_FACTOR,
            event_ms: median_ms,
        };
        let mut groups = split(&event_ms[..fast]);
        groups.push(usual);
        groups.extend(split(&event_ms[slow..]));
        Some(Self { median_ms, groups })
    }

    /// Forecast for an engine with this time between two events; that of the service's median if it is
    /// not known.
    #[must_use]
    pub fn pace(&self, event_ms: Option<f64>, stretch: &ServiceStretch) -> EnginePace {
        let known = event_ms.unwrap_or(self.median_ms);
        let group = self.groups.iter().find(|group| known <= group.max_ms);
        let event_ms = group.map_or(known, |group| group.event_ms);
        EnginePace {
            event_ms,
            alone_ms: event_ms * stretch.alone,
            beside_ms: event_ms * stretch.beside,
            relative: event_ms / self.median_ms,
        }
    }
}

/// Splits sorted times into groups.
fn split(mut event_ms: &[f64]) -> Vec<SpeedGroup> {
    let mut groups = Vec::new();
    while let Some(&min_ms) = event_ms.first() {
        let count = event_ms.partition_point(|&ms| ms <= min_ms * EQUAL_FACTOR);
        let (group, rest) = event_ms.split_at(count);
        groups.push(SpeedGroup {
            max_ms: group[count - 1],
            event_ms: group[(count - 1) / 2],
        });
        event_ms = rest;
    }
    groups
}

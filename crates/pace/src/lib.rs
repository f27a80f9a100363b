//! Pace of model engines, learnt from the events of the streams that run on them.
//!
//! Nothing here does I/O or reads a clock. [`arrival`] turns the arrivals of one stream into intervals,
//! [`interval`] and [`stretch`] collect them, [`merge`] combines the results of several VMs, and
//! [`group`] derives the forecast for each engine.

pub mod arrival;
pub mod group;
pub mod interval;
pub mod merge;
pub mod stall;
pub mod stretch;

/// Expected pauses of streams on one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EnginePace {
    /// Typical time between two events.
    pub event_ms: f64,
    /// Longest pause to expect while no prompt is being prefilled there.
    pub alone_ms: f64,
    /// Longest pause to expect while a prompt is being prefilled there.
    pub beside_ms: f64,
    /// Speed relative to the service's median: above 1 is slower; exactly 1 within a factor of 1.4.
    pub relative: f64,
}

//! Detects silent connections to model engines.
//!
//! Engines send a token or a ping at least every 500 ms. If a middlebox loses a connection's
//! state, the connection stays silent for good, while a new one works.

use std::time::Duration;

use tokio::time;

/// Maximum interval between two pings of an engine.
pub const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Tolerance for a late ping. A false alarm costs one connection and no token: the same generation
/// continues over a new connection.
pub const PING_TOLERANCE: Duration = Duration::from_millis(300);

/// Computes the time by which one connection must show its next token or ping.
#[derive(Clone, Copy, Debug)]
pub struct SilenceDetector {
    /// Timeout for an engine whose steps take no time.
    min_timeout: Duration,
    /// Upper bound of the timeout, set by the rules.
    max_timeout: Duration,
    /// Exponential moving average of the interval between tokens; absent before the second token.
    mean_interval: Option<Duration>,
    last_token_at: Option<time::Instant>,
    last_activity_at: time::Instant,
}

impl SilenceDetector {
    /// Creates a detector for a connection opened at `now`.
    #[must_use]
    pub const fn new(min_timeout: Duration, max_timeout: Duration, now: time::Instant) -> Self {
        Self {
            min_timeout,
            max_timeout,
            mean_interval: None,
            last_token_at: None,
            last_activity_at: now,
        }
    }

    /// Records a ping or a fresh connection.
    pub const fn alive(&mut self, now: time::Instant) {
        self.last_activity_at = now;
    }

    /// Records a token.
    pub fn token(&mut self, now: time::Instant) {
        if let Some(last) = self.last_token_at {
            let interval = now.saturating_duration_since(last);
            self.mean_interval = Some(match self.mean_interval {
                Some(mean) => (mean * 7 + interval) / 8,
                None => interval,
            });
        }
        self.last_token_at = Some(now);
        self.last_activity_at = now;
    }

    /// Time at which the connection is abandoned if nothing arrives before it.
    #[must_use]
    pub fn give_up_at(&self) -> time::Instant {
        // An engine sends its ping only after the step that it is running.
        let expected = self.min_timeout + self.mean_interval.unwrap_or_default();
        self.last_activity_at + expected.min(self.max_timeout)
    }
}

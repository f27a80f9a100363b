//! When a connection that shows nothing is given up.
//!
//! Engines show a sign of life every 500 ms at the least. A connection that something between
//! the two ends has lost track of shows nothing for good, while a new one works.

use std::time::Duration;

use tokio::time;

/// Engines ping at least this often.
pub const PING_INTERVAL: Duration = Duration::from_millis(500);

/// A ping may be late by this much. A false alarm costs one connection and no token: the same
/// generation goes on over the new one.
pub const PING_TOLERANCE: Duration = Duration::from_millis(300);

/// Expects the next sign of life of one connection.
#[derive(Clone, Copy, Debug)]
pub struct SilenceDetector {
    /// Limit of an engine whose steps take no time.
    shortest: Duration,
    /// The rules' limit; no expectation makes the limit longer.
    longest: Duration,
    /// Mean gap between tokens, decayed; absent before the second token.
    mean_gap: Option<Duration>,
    last_token_at: Option<time::Instant>,
    last_sign_at: time::Instant,
}

impl SilenceDetector {
    /// A gauge of a connection opened at `now`.
    #[must_use]
    pub const fn new(shortest: Duration, longest: Duration, now: time::Instant) -> Self {
        Self {
            shortest,
            longest,
            mean_gap: None,
            last_token_at: None,
            last_sign_at: now,
        }
    }

    /// A sign of life that is no token, or a fresh connection.
    pub const fn alive(&mut self, now: time::Instant) {
        self.last_sign_at = now;
    }

    /// A token.
    pub fn token(&mut self, now: time::Instant) {
        if let Some(last) = self.last_token_at {
            let gap = now.saturating_duration_since(last);
            self.mean_gap = Some(match self.mean_gap {
                Some(mean) => (mean * 7 + gap) / 8,
                None => gap,
            });
        }
        self.last_token_at = Some(now);
        self.last_sign_at = now;
    }

    /// When the connection is given up if it shows nothing more.
    #[must_use]
    pub fn give_up_at(&self) -> time::Instant {
        // An engine that is busy with a step shows its ping after it.
        let expected = self.shortest + self.mean_gap.unwrap_or_default();
        self.last_sign_at + expected.min(self.longest)
    }
}

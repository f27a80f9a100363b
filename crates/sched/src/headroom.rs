//! Capacity reserved for urgent work, derived from recent urgent demand.

use tokio::time;

/// Time constant of the slow mean, which tracks the usual urgent demand.
const SLOW_WINDOW: time::Duration = time::Duration::from_secs(60);

/// Time constant of the fast mean, which tracks bursts of urgent demand.
const FAST_WINDOW: time::Duration = time::Duration::from_secs(2);

/// Measures the number of concurrent urgent generations at this VM.
#[derive(Clone, Debug)]
pub struct HeadroomMeter {
    slow: f32,
    fast: f32,
    /// Mean number of tokens that an urgent generation holds at its end.
    tokens: f32,
    running: f32,
    measured_at: Option<time::Instant>,
}

impl Default for HeadroomMeter {
    fn default() -> Self {
        Self {
            slow: 0.0,
            fast: 0.0,
            tokens: 0.0,
            running: 0.0,
            measured_at: None,
        }
    }
}

impl HeadroomMeter {
    /// Counts the start (`change` +1) or the end (-1) of an urgent generation.
    pub fn change(&mut self, change: f32, now: time::Instant) {
        self.advance(now);
        self.running = (self.running + change).max(0.0);
    }

    /// Advances the means to `now`.
    pub fn advance(&mut self, now: time::Instant) {
        if let Some(then) = self.measured_at {
            let age = now.saturating_duration_since(then).as_secs_f32();
            for (mean, window) in [(&mut self.slow, SLOW_WINDOW), (&mut self.fast, FAST_WINDOW)] {
                let decay = (-age / window.as_secs_f32()).exp();
                *mean = decay.mul_add(*mean - self.running, self.running);
            }
        }
        self.measured_at = Some(now);
    }

    /// Adds the final size of an urgent generation to the mean size.
    pub fn learn(&mut self, tokens: f32) {
        const WEIGHT: f32 = 0.02;
        if self.tokens == 0.0 {
            self.tokens = tokens;
        } else {
            self.tokens += WEIGHT * (tokens - self.tokens);
        }
    }

    /// Returns the mean number of concurrent urgent generations; it rises fast and falls slowly.
    #[must_use]
    pub fn demand(&self) -> f32 {
        self.slow.max(self.fast)
    }

    /// Returns the part of the demand that is not running at this moment.
    #[must_use]
    pub fn idle(&self) -> f32 {
        (self.demand() - self.running).max(0.0)
    }

    /// Returns the mean number of tokens that an urgent generation holds.
    #[must_use]
    pub fn tokens(&self) -> f32 {
        self.tokens
    }
}

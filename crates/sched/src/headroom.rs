//! Room kept free for urgent work, from how much of it there has been.

use tokio::time;

/// Time over which the slow mean is taken: what urgent work usually needs.
const SLOW_WINDOW: time::Duration = time::Duration::from_secs(60);

/// Time over which the fast mean is taken: what it needs in a burst.
const FAST_WINDOW: time::Duration = time::Duration::from_secs(2);

/// Measures the urgent generations that this VM has at once.
#[derive(Clone, Debug)]
pub struct HeadroomMeter {
    slow: f32,
    fast: f32,
    /// Tokens that one of them holds at its end.
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
    /// An urgent generation begins or ends, at `change` of +1 or -1.
    pub fn change(&mut self, change: f32, now: time::Instant) {
        self.advance(now);
        self.running = (self.running + change).max(0.0);
    }

    /// Carries the means forward to `now`.
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

    /// Learns the size of one that ended.
    pub fn learn(&mut self, tokens: f32) {
        const WEIGHT: f32 = 0.02;
        if self.tokens == 0.0 {
            self.tokens = tokens;
        } else {
            self.tokens += WEIGHT * (tokens - self.tokens);
        }
    }

    /// Urgent generations at once, as a mean that rises fast and falls slowly.
    #[must_use]
    pub fn demand(&self) -> f32 {
        self.slow.max(self.fast)
    }

    /// Demand that nothing runs for at this moment.
    #[must_use]
    pub fn idle(&self) -> f32 {
        (self.demand() - self.running).max(0.0)
    }

    /// Tokens that one of them holds.
    #[must_use]
    pub fn tokens(&self) -> f32 {
        self.tokens
    }
}

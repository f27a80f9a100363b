//! Token bucket rate limiter.

use std::time;

/// Upper limit of the wait that a refusal returns.
const MAX_WAIT: time::Duration = time::Duration::from_secs(86_400);

/// Token bucket; `now` is the time since any fixed moment and is monotonic.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    per_second: f64,
    burst: f64,
    /// Amount available at `filled_at`; never above the burst.
    available: f64,
    filled_at: time::Duration,
}

impl TokenBucket {
    /// Creates a full bucket.
    #[must_use]
    pub const fn new(per_second: f64, burst: f64) -> Self {
        Self {
            per_second,
            burst,
            available: burst,
            filled_at: time::Duration::ZERO,
        }
    }

    /// Takes `amount`, all or nothing.
    ///
    /// # Errors
    ///
    /// If less than `amount` is available, returns the time until the rate has supplied the missing
    /// amount, ignoring the burst limit.
    pub fn take(&mut self, now: time::Duration, amount: f64) -> Result<(), time::Duration> {
        let gained = now.saturating_sub(self.filled_at).as_secs_f64() * self.per_second;
        self.available = (self.available + gained).min(self.burst);
        self.filled_at = self.filled_at.max(now);
        let missing = amount - self.available;
        if missing <= 0.0 {
            self.available -= amount;
            return Ok(());
        }
        let wait = time::Duration::try_from_secs_f64(missing / self.per_second);
        Err(wait.unwrap_or(MAX_WAIT).min(MAX_WAIT))
    }
}

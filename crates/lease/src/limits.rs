//! Time limits of leases and orders.

use snafu::Snafu;
use tokio::time;

/// Time limits of leases and orders. Processes may differ in them: each record carries its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct LeaseLimits {
    /// Time after which a lease lapses unless it is renewed.
    pub hold_ms: u64,
    /// Interval between two renewals.
    pub renew_ms: u64,
    /// Time limit of an order; an engine counts it from when it accepted the order's connection.
    pub order_ms: u64,
    /// Maximum rate error of any process's monotonic clock, in parts per million.
    pub drift_ppm: u64,
    /// Number of VMs in each region that hold leases. With one, the same VM holds the leases on a
    /// region's models and engines, and can place the models.
    pub holders_per_region: usize,
}

impl Default for LeaseLimits {
    fn default() -> Self {
        Self {
            hold_ms: 10_000,
            renew_ms: 3_000,
            order_ms: 1_000,
            drift_ppm: 1_000,
            holders_per_region: 1,
        }
    }
}

/// An error for time limits that contradict one another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum LimitsError {
    /// A single failed renewal would let the lease lapse.
    #[snafu(display(
        "leases of {hold_ms} ms cannot be renewed every {renew_ms} ms: two renewals and an order \
         of {order_ms} ms must fit; raise hold_ms or lower renew_ms"
    ))]
    TooShort {
        /// Time after which a lease lapses.
        hold_ms: u64,
        /// Interval between two renewals.
        renew_ms: u64,
        /// Time limit of an order.
        order_ms: u64,
    },
    /// The limit on clock drift is too high to be useful.
    #[snafu(display("a clock drift of {drift_ppm} ppm is too high; set drift_ppm below 500000"))]
    Drift {
        /// The configured limit.
        drift_ppm: u64,
    },
}

const MILLION: u64 = 1_000_000;

impl LeaseLimits {
    /// Checks that the limits are consistent.
    ///
    /// # Errors
    /// Returns an error if the limits contradict one another.
    pub const fn check(&self) -> Result<(), LimitsError> {
        if self.drift_ppm >= MILLION / 2 {
            return Err(LimitsError::Drift {
                drift_ppm: self.drift_ppm,
            });
        }
        if self.renew_ms == 0 || self.renew_ms * 2 + self.order_ms >= self.hold_ms {
            return Err(LimitsError::TooShort {
                hold_ms: self.hold_ms,
                renew_ms: self.renew_ms,
                order_ms: self.order_ms,
            });
        }
        Ok(())
    }

    /// Returns the time on this process's clock in which at least `ms` pass on any other process's
    /// clock.
    #[must_use]
    pub const fn drift_adjusted_ms(&self, ms: u64) -> u64 {
        let min_rate = MILLION - self.drift_ppm;
        let max_rate = MILLION + self.drift_ppm;
        ms.saturating_mul(max_rate).div_ceil(min_rate)
    }

    /// Returns [`Self::drift_adjusted_ms`] as a duration.
    #[must_use]
    pub const fn drift_adjusted(&self, ms: u64) -> time::Duration {
        time::Duration::from_millis(self.drift_adjusted_ms(ms))
    }
}

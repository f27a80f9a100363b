//! Time limits of leases and orders.

use snafu::Snafu;
use tokio::time;

/// Time limits of leases and orders. Processes may differ in them: each record carries its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct LeaseLimits {
    /// A lease lapses this long after it was taken or renewed.
    pub hold_ms: u64,
    /// A holder renews this often.
    pub renew_ms: u64,
    /// An engine refuses an order this long after it first saw the order's connection.
    pub order_ms: u64,
    /// Most by which the rate of any process's monotonic clock is off, in parts per million.
    pub drift_ppm: u64,
    /// VMs of one region that hold leases. With one, the same VM holds a region's models and
    /// engines, and can place the models.
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

/// Time limits that contradict one another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum LimitsError {
    /// A renewal that fails once would let the lease lapse.
    #[snafu(display(
        "leases of {hold_ms} ms cannot be renewed every {renew_ms} ms: two renewals and an order \
         of {order_ms} ms must fit; raise hold_ms or lower renew_ms"
    ))]
    TooShort {
        /// The lease's time.
        hold_ms: u64,
        /// Time between renewals.
        renew_ms: u64,
        /// Time limit of an order.
        order_ms: u64,
    },
    /// The bound on clocks bounds nothing.
    #[snafu(display("a drift of {drift_ppm} ppm bounds no clock; set drift_ppm below 500000"))]
    Drift {
        /// The bound.
        drift_ppm: u64,
    },
}

const MILLION: u64 = 1_000_000;

impl LeaseLimits {
    /// Checks that the limits can be kept.
    ///
    /// # Errors
    /// When they contradict one another.
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

    /// A time on this process's clock in which at least `ms` pass on any other process's.
    #[must_use]
    pub const fn stretched_ms(&self, ms: u64) -> u64 {
        let slowest = MILLION - self.drift_ppm;
        let fastest = MILLION + self.drift_ppm;
        ms.saturating_mul(fastest).div_ceil(slowest)
    }

    /// [`Self::stretched_ms`] as a duration.
    #[must_use]
    pub const fn stretched(&self, ms: u64) -> time::Duration {
        time::Duration::from_millis(self.stretched_ms(ms))
    }
}

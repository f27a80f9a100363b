//! Limits on requests that servers state in their answers.

use tokio::time;

use crate::port;

/// Newest known statement of a server about its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    /// Requests per second from all VMs together; `None` if the limit has ended.
    pub per_second: Option<f64>,
    /// When the answer with the statement was received.
    pub said_at: time::Instant,
}

/// Limit of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerLimit {
    report: Option<LimitReport>,
}

impl ServerLimit {
    /// Applies the statement of an answer to a request that was sent at `sent_at`. Returns whether
    /// the limit changed.
    pub fn take_signal(
        &mut self,
        signal: port::LimitSignal,
        sent_at: time::Instant,
        now: time::Instant,
    ) -> bool {
        let per_second = match signal {
            port::LimitSignal::PerSecond(rate) => Some(rate),
            // The answer to a request that crossed the statement may have been made before it.
            port::LimitSignal::Unlimited
                if self.report.is_none_or(|report| sent_at <= report.said_at) =>
            {
                return false;
            }
            port::LimitSignal::Unlimited => None,
        };
        let before = self.per_second();
        self.report = Some(LimitReport {
            per_second,
            said_at: now,
        });
        before != per_second
    }

    /// Requests per second that the server takes from all VMs together; `None` if it states no
    /// limit.
    #[must_use]
    pub fn per_second(&self) -> Option<f64> {
        self.report?.per_second
    }
}

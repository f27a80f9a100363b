//! Time limits of transfers whose size is not known.
//!
//! A limit on the total time of a transfer limits its size: content larger than the link carries
//! within that time never arrives completely, and each attempt starts from the beginning. So the
//! limit applies to the time without a received byte.

use std::{cell, future, rc, task};

use snafu::Snafu;
use tokio::time;

/// Time without a byte after which a transfer no longer counts as moving.
const MOVING_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Time limits of a transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransferLimit {
    /// Maximum time until the first byte.
    pub first: time::Duration,
    /// Maximum time between two later bytes.
    pub silence: time::Duration,
    /// Maximum total time. Far more than any transfer needs: it ends those that only trickle.
    pub total: time::Duration,
}

/// Error of a transfer that stalled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{received} bytes within {} ms, then none", waited.as_millis()))]
pub struct StalledTransfer {
    /// Bytes received before the stall.
    pub received: usize,
    /// Time from the start of the transfer until it was abandoned.
    pub waited: time::Duration,
}

/// Progress of the newest transfer; clones share it.
#[derive(Clone, Debug)]
pub struct TransferMeter(rc::Rc<cell::Cell<MeterState>>);

#[derive(Clone, Copy, Debug)]
struct MeterState {
    /// Start of the newest transfer.
    began: time::Instant,
    /// Bytes received so far.
    bytes: usize,
    /// Time of the last byte; the start if there is none.
    moved_at: time::Instant,
}

impl Default for TransferMeter {
    fn default() -> Self {
        Self(rc::Rc::new(cell::Cell::new(MeterState::begin())))
    }
}

impl MeterState {
    fn begin() -> Self {
        let now = time::Instant::now();
        Self {
            began: now,
            bytes: 0,
            moved_at: now,
        }
    }

    /// Time at which the transfer counts as stalled if no further byte arrives.
    fn due(&self, limit: &TransferLimit) -> time::Instant {
        let timeout = if self.bytes == 0 {
            limit.first
        } else {
            limit.silence
        };
        (self.moved_at + timeout).min(self.began + limit.total)
    }
}

impl TransferMeter {
    /// Records received bytes.
    pub fn note(&self, bytes: usize) {
        let mut state = self.0.get();
        state.bytes += bytes;
        state.moved_at = time::Instant::now();
        self.0.set(state);
    }

    /// Whether a transfer has received bytes and is still progressing.
    #[must_use]
    pub fn is_moving(&self) -> bool {
        let state = self.0.get();
        state.bytes > 0 && state.moved_at.elapsed() < MOVING_TIMEOUT
    }

    /// Runs a transfer, which records its bytes here, as long as it stays within `limit`.
    ///
    /// # Errors
    ///
    /// When the transfer exceeds `limit`; it is dropped.
    pub async fn limit<T>(
        &self,
        limit: &TransferLimit,
        transfer: impl Future<Output = T>,
    ) -> Result<T, StalledTransfer> {
        self.0.set(MeterState::begin());
        tokio::pin!(transfer);
        let halt = time::sleep_until(self.0.get().due(limit));
        tokio::pin!(halt);
        let ended = future::poll_fn(|context| {
            if let task::Poll::Ready(output) = transfer.as_mut().poll(context) {
                return task::Poll::Ready(Ok(output));
            }
            // Bytes that the transfer has just recorded postpone its deadline.
            let state = self.0.get();
            halt.as_mut().reset(state.due(limit));
            halt.as_mut().poll(context).map(|()| {
                Err(StalledTransfer {
                    received: state.bytes,
                    waited: state.began.elapsed(),
                })
            })
        })
        .await;
        self.end();
        ended
    }

    /// Resets the meter, so that a transfer that ended does not count as moving.
    fn end(&self) {
        self.0.set(MeterState::begin());
    }
}

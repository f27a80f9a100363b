//! Time limits of transfers whose size is not known.
//!
//! Whether a limit on the whole of a transfer is kept follows from its size: beyond what the link carries
//! within the limit nothing is ever received whole, and each try begins anew. So what is limited is the
//! time in which no byte comes.

use std::{cell, future, rc, task};

use snafu::Snafu;
use tokio::time;

/// Time without a byte from which on a transfer does not count as moving.
const MOVING_GAP: time::Duration = time::Duration::from_millis(300);

/// How long a transfer may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransferLimit {
    /// Until its first byte.
    pub first: time::Duration,
    /// Between two bytes after that.
    pub silence: time::Duration,
    /// The whole. Far beyond what any transfer needs: it ends those that only trickle.
    pub total: time::Duration,
}

/// A transfer that came to a halt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{received} bytes within {} ms, then none", waited.as_millis()))]
pub struct StalledTransfer {
    /// Bytes that had moved.
    pub received: usize,
    /// Time from the begin until it was given up.
    pub waited: time::Duration,
}

/// What has moved of a transfer; clones are of the same one.
#[derive(Clone, Debug)]
pub struct TransferMeter(rc::Rc<cell::Cell<MeterState>>);

#[derive(Clone, Copy, Debug)]
struct MeterState {
    /// Begin of the newest transfer.
    began: time::Instant,
    /// Bytes of it.
    bytes: usize,
    /// When the newest of them moved; its begin if there are none.
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

    /// When the transfer counts as halted.
    fn due(&self, limit: &TransferLimit) -> time::Instant {
        let gap = if self.bytes == 0 {
            limit.first
        } else {
            limit.silence
        };
        (self.moved_at + gap).min(self.began + limit.total)
    }
}

impl TransferMeter {
    /// Notes bytes that moved.
    pub fn note(&self, bytes: usize) {
        let mut state = self.0.get();
        state.bytes += bytes;
        state.moved_at = time::Instant::now();
        self.0.set(state);
    }

    /// Whether a transfer has begun to move and goes on.
    #[must_use]
    pub fn is_moving(&self) -> bool {
        let state = self.0.get();
        state.bytes > 0 && state.moved_at.elapsed() < MOVING_GAP
    }

    /// Waits for a transfer, which notes here what moves, as long as it keeps to `limit`.
    ///
    /// # Errors
    ///
    /// When it does not; the transfer is dropped.
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
            // What the transfer has just noted moves the moment at which it counts as halted.
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

    /// What ended moves no more.
    fn end(&self) {
        self.0.set(MeterState::begin());
    }
}

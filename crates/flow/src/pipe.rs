//! The bounded pipe from a relay to its caller's connection.
//!
//! The relay appends chunks; the connection takes all buffered bytes at once, so that a busy
//! connection costs one write for many tokens. Without the bound, the entry VM would buffer the
//! complete answer of each caller that stops reading, and its memory would grow with the number of
//! stalled callers. Instead, the relay waits for space and ends the stream after a time limit.

use std::{future, pin, sync, task};

use bytes::{Bytes, BytesMut};
use futures_util::Stream;

/// Number of buffered bytes from which the relay waits for the caller to read.
const MAX_BUFFERED_BYTES: usize = 16 * 1024;

/// The caller's connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerDisconnected;

#[derive(Debug, Default)]
struct PipeState {
    buffered: BytesMut,
    /// The relay ended: nothing follows the buffered bytes.
    ended: bool,
    /// The caller's connection is closed.
    disconnected: bool,
    reader: Option<task::Waker>,
    writer: Option<task::Waker>,
}

#[derive(Debug, Default)]
struct SharedPipe {
    state: sync::Mutex<PipeState>,
}

impl SharedPipe {
    fn lock(&self) -> sync::MutexGuard<'_, PipeState> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// The relay's end of the pipe; dropping it ends the stream.
#[derive(Debug)]
pub struct PipeWriter {
    shared: sync::Arc<SharedPipe>,
}

/// The caller's end of the pipe: a stream of bytes to send. Dropping it signals to the relay that
/// the caller disconnected.
#[derive(Debug)]
pub struct CallerStream {
    shared: sync::Arc<SharedPipe>,
}

/// Creates a pipe.
#[must_use]
pub fn pipe() -> (PipeWriter, CallerStream) {
    let shared = sync::Arc::new(SharedPipe::default());
    let writer = PipeWriter {
        shared: shared.clone(),
    };
    (writer, CallerStream { shared })
}

impl PipeWriter {
    /// Appends the bytes that `write` writes, also if there is no space. Returns whether there is
    /// space afterwards; see [`Self::space`].
    ///
    /// # Errors
    ///
    /// [`CallerDisconnected`] if the caller's connection is closed.
    pub fn append<F: FnOnce(&mut BytesMut)>(&self, write: F) -> Result<bool, CallerDisconnected> {
        let (reader, has_space) = {
            let mut state = self.shared.lock();
            if state.disconnected {
                return Err(CallerDisconnected);
            }
            write(&mut state.buffered);
            (
                state.reader.take(),
                state.buffered.len() < MAX_BUFFERED_BYTES,
            )
        };
        if let Some(waker) = reader {
            waker.wake();
        }
        Ok(has_space)
    }

    /// Completes when there is space.
    ///
    /// # Errors
    ///
    /// [`CallerDisconnected`] if the caller's connection is closed.
    pub async fn space(&self) -> Result<(), CallerDisconnected> {
        future::poll_fn(|context| {
            let mut state = self.shared.lock();
            if state.disconnected {
                return task::Poll::Ready(Err(CallerDisconnected));
            }
            if state.buffered.len() < MAX_BUFFERED_BYTES {
                return task::Poll::Ready(Ok(()));
            }
            state.writer = Some(context.waker().clone());
            task::Poll::Pending
        })
        .await
    }

    /// Completes when the caller's connection is closed.
    pub async fn disconnected(&self) {
        future::poll_fn(|context| {
            let mut state = self.shared.lock();
            if state.disconnected {
                return task::Poll::Ready(());
            }
            state.writer = Some(context.waker().clone());
            task::Poll::Pending
        })
        .await;
    }
}

impl Drop for PipeWriter {
    fn drop(&mut self) {
        let reader = {
            let mut state = self.shared.lock();
            state.ended = true;
            state.reader.take()
        };
        if let Some(waker) = reader {
            waker.wake();
        }
    }
}

impl Stream for CallerStream {
    type Item = Bytes;

    fn poll_next(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Bytes>> {
        let mut state = self.shared.lock();
        if state.buffered.is_empty() {
            if state.ended {
                return task::Poll::Ready(None);
            }
            state.reader = Some(context.waker().clone());
            return task::Poll::Pending;
        }
        let chunk = state.buffered.split().freeze();
        let writer = state.writer.take();
        drop(state);
        if let Some(waker) = writer {
            waker.wake();
        }
        task::Poll::Ready(Some(chunk))
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        let writer = {
            let mut state = self.shared.lock();
            state.disconnected = true;
            state.buffered = BytesMut::new();
            state.writer.take()
        };
        if let Some(waker) = writer {
            waker.wake();
        }
    }
}

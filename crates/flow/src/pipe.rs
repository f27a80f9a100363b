//! The bounded pipe from a relay to its caller's connection.
//!
//! The relay appends chunks; the connection takes all that has gathered at once, so that a busy
//! connection costs one write for many tokens. What goes wrong without the bound: a caller that
//! stops reading makes the entry VM hold its whole answer; one would notice memory growing with
//! stalled callers. Here the relay waits for space, and gives the caller up after a limit.

use std::{future, pin, sync, task};

use bytes::{Bytes, BytesMut};
use futures_util::Stream;

/// Bytes that may wait for a caller before its relay waits.
const PIPE_LIMIT_BYTES: usize = 16 * 1024;

/// The caller's connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerDisconnected;

#[derive(Debug, Default)]
struct PipeState {
    gathered: BytesMut,
    /// The relay ended: what is gathered is the rest.
    ended: bool,
    /// The connection is closed.
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

/// The relay's end; dropping it ends the stream.
#[derive(Debug)]
pub struct PipeWriter {
    shared: sync::Arc<SharedPipe>,
}

/// The caller's end: a stream of bytes to send. Dropping it tells the relay that the caller is
/// disconnected.
#[derive(Debug)]
pub struct CallerStream {
    shared: sync::Arc<SharedPipe>,
}

/// A new pipe.
#[must_use]
pub fn pipe() -> (PipeWriter, CallerStream) {
    let shared = sync::Arc::new(SharedPipe::default());
    let writer = PipeWriter {
        shared: shared.clone(),
    };
    (writer, CallerStream { shared })
}

impl PipeWriter {
    /// Appends what `write` writes, whether there is space or not. Returns whether there still
    /// is; see [`Self::space`].
    ///
    /// # Errors
    ///
    /// [`CallerDisconnected`] when nobody will read it.
    pub fn append<F: FnOnce(&mut BytesMut)>(&self, write: F) -> Result<bool, CallerDisconnected> {
        let (reader, has_space) = {
            let mut state = self.shared.lock();
            if state.disconnected {
                return Err(CallerDisconnected);
            }
            write(&mut state.gathered);
            (state.reader.take(), state.gathered.len() < PIPE_LIMIT_BYTES)
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
    /// [`CallerDisconnected`] when nobody will read.
    pub async fn space(&self) -> Result<(), CallerDisconnected> {
        future::poll_fn(|context| {
            let mut state = self.shared.lock();
            if state.disconnected {
                return task::Poll::Ready(Err(CallerDisconnected));
            }
            if state.gathered.len() < PIPE_LIMIT_BYTES {
                return task::Poll::Ready(Ok(()));
            }
            state.writer = Some(context.waker().clone());
            task::Poll::Pending
        })
        .await
    }

    /// Completes when the caller is disconnected.
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
        if state.gathered.is_empty() {
            if state.ended {
                return task::Poll::Ready(None);
            }
            state.reader = Some(context.waker().clone());
            return task::Poll::Pending;
        }
        let chunk = state.gathered.split().freeze();
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
            state.gathered = BytesMut::new();
            state.writer.take()
        };
        if let Some(waker) = writer {
            waker.wake();
        }
    }
}

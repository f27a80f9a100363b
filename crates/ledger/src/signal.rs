//! A state that tasks wait on, woken in the order in which they began to wait.
//!
//! `tokio::sync::watch` wakes its waiters in an order that it draws at random. Which of two claims
//! of one key comes first then differs from run to run, and a history that failed once can't be
//! played again.

use std::sync;

use tokio::sync as tokio_sync;

/// A state and those who wait for it to change.
#[derive(Debug, Default)]
pub struct StateSignal<T> {
    state: sync::Mutex<T>,
    changed: tokio_sync::Notify,
}

impl<T: Copy + PartialEq> StateSignal<T> {
    /// Begins with `state`.
    pub fn new(state: T) -> Self {
        Self {
            state: sync::Mutex::new(state),
            changed: tokio_sync::Notify::new(),
        }
    }

    /// The state now.
    pub fn get(&self) -> T {
        *self.lock()
    }

    /// Sets the state, and wakes whoever waits if that changes it. Gives what it was.
    pub fn replace(&self, state: T) -> T {
        let before = std::mem::replace(&mut *self.lock(), state);
        if before != state {
            self.changed.notify_waiters();
        }
        before
    }

    /// Waits until the state is as wanted.
    pub async fn wait_for(&self, wanted: impl Fn(&T) -> bool) -> T {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            // Registered before the look, so that a change between the two is not missed.
            changed.as_mut().enable();
            let state = self.get();
            if wanted(&state) {
                return state;
            }
            changed.await;
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, T> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

//! A state that tasks can wait on; waiting tasks are woken in the order in which they began to
//! wait.
//!
//! `tokio::sync::watch` wakes its waiters in random order. The order of two claims of one key would
//! then differ between runs, and a failed test history could not be reproduced from its seed.

use std::sync;

use tokio::sync as tokio_sync;

/// A state and the tasks that wait for it to change.
#[derive(Debug, Default)]
pub struct StateSignal<T> {
    state: sync::Mutex<T>,
    changed: tokio_sync::Notify,
}

impl<T: Copy + PartialEq> StateSignal<T> {
    /// Creates a signal with the initial state `state`.
    pub fn new(state: T) -> Self {
        Self {
            state: sync::Mutex::new(state),
            changed: tokio_sync::Notify::new(),
        }
    }

    /// Returns the current state.
    pub fn get(&self) -> T {
        *self.lock()
    }

    /// Sets the state, wakes the waiting tasks if the state changes, and returns the previous
    /// state.
    pub fn replace(&self, state: T) -> T {
        let before = std::mem::replace(&mut *self.lock(), state);
        if before != state {
            self.changed.notify_waiters();
        }
        before
    }

    /// Waits until the state satisfies `wanted` and returns the state.
    pub async fn wait_for(&self, wanted: impl Fn(&T) -> bool) -> T {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            // Registered before the state is read, so that a change in between is not missed.
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

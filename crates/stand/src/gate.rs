//! What every stand-in's connections share: up or down, hanging, gone silent.

use std::future;

use tokio::sync::watch;

/// State of the way between callers and one stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateState {
    /// Whether the process lives; connections to a dead one are refused.
    pub up: bool,
    /// Whether the link stalls: nothing passes, in either direction, until it ends.
    pub hanging: bool,
    /// Connections opened in an earlier silence epoch deliver nothing more, for good.
    pub silence_epoch: u64,
}

/// Switch for the way between callers and one stand-in; clones share it.
#[derive(Clone, Debug)]
pub struct LinkGate {
    state: watch::Sender<GateState>,
}

impl Default for LinkGate {
    fn default() -> Self {
        let state = GateState {
            up: true,
            hanging: false,
            silence_epoch: 0,
        };
        Self {
            state: watch::Sender::new(state),
        }
    }
}

impl LinkGate {
    /// The state now.
    #[must_use]
    pub fn state(&self) -> GateState {
        *self.state.borrow()
    }

    /// Marks the process as alive or dead.
    pub fn set_up(&self, up: bool) {
        self.state.send_modify(|state| state.up = up);
    }

    /// Starts or ends a stall of the link.
    pub fn set_hanging(&self, hanging: bool) {
        self.state.send_modify(|state| state.hanging = hanging);
    }

    /// Makes every connection of now silent for good; new ones work.
    pub fn silence(&self) {
        self.state.send_modify(|state| state.silence_epoch += 1);
    }

    /// Returns when the process is up (or down, for `up = false`).
    pub async fn wait_up(&self, up: bool) {
        let mut watcher = self.state.subscribe();
        // An error would mean that the sender is gone, and `self` holds it.
        let _ = watcher.wait_for(|state| state.up == up).await;
    }

    /// Returns when something may pass a connection of `silence_epoch`; never, when it is silent.
    pub async fn pass(&self, silence_epoch: u64) {
        let mut watcher = self.state.subscribe();
        let passed = watcher
            .wait_for(|state| !state.hanging || state.silence_epoch != silence_epoch)
            .await
            .is_ok_and(|state| state.silence_epoch == silence_epoch);
        if !passed {
            future::pending::<()>().await;
        }
    }
}

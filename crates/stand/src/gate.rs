//! Link state shared by all connections of a stand-in: up or down, hanging or silent.

use std::future;

use tokio::sync::watch;

/// State of the link between callers and one stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateState {
    /// Whether the process is up; connections are refused while it is down.
    pub up: bool,
    /// Whether the link hangs: it blocks traffic in both directions until the fault is cleared.
    pub hanging: bool,
    /// Current silence epoch. Connections opened in an earlier one never deliver anything again.
    pub silence_epoch: u64,
}

/// Fault switch for the link between callers and one stand-in, shared between clones.
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
    /// Returns the current state.
    #[must_use]
    pub fn state(&self) -> GateState {
        *self.state.borrow()
    }

    /// Marks the process as up or down.
    pub fn set_up(&self, up: bool) {
        self.state.send_modify(|state| state.up = up);
    }

    /// Starts or ends a hang of the link.
    pub fn set_hanging(&self, hanging: bool) {
        self.state.send_modify(|state| state.hanging = hanging);
    }

    /// Silences all existing connections permanently; new ones work.
    pub fn silence(&self) {
        self.state.send_modify(|state| state.silence_epoch += 1);
    }

    /// Waits until the process is up (or down, for `up = false`).
    pub async fn wait_up(&self, up: bool) {
        let mut watcher = self.state.subscribe();
        // This can't fail: `self` holds the sender.
        let _ = watcher.wait_for(|state| state.up == up).await;
    }

    /// Waits until a connection of `silence_epoch` may deliver data; never returns if it is silent.
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

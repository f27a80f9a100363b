//! What runs in this process, and a graceful end of it.

use std::{sync::atomic, time::Duration};

use base::refusal;
use tokio::{
    sync::{Notify, watch},
    time,
};

/// When a caller that comes to a leaving entry VM may try again; another one may be asked at
/// once.
const LEAVING_RETRY_MS: u64 = 1_000;

/// Requests are taken.
const OPEN: u8 = 0;

/// New requests are refused.
const CLOSED: u8 = 1;

/// Streams end here and are continued from another entry VM.
const HANDING_OVER: u8 = 2;

/// Counts what runs; closed when this entry VM leaves.
///
/// What goes wrong without it: a process that is told to end cuts off what it relays. One would
/// notice streams without their `[DONE]` at every rollout. Here new work is refused first, what
/// runs is waited for, and only what outlasts the wait is handed over by its token.
#[derive(Debug)]
pub struct FlowGate {
    /// [`OPEN`], [`CLOSED`] or [`HANDING_OVER`]; only ever grows: a second signal does not open
    /// the gate again.
    phase: atomic::AtomicU8,
    phase_changed: Notify,
    running: watch::Sender<u64>,
}

/// Counts one request for as long as it is held.
#[derive(Debug)]
pub struct GatePass {
    running: watch::Sender<u64>,
}

impl Drop for GatePass {
    fn drop(&mut self) {
        self.running.send_modify(|running| *running -= 1);
    }
}

impl Default for FlowGate {
    fn default() -> Self {
        Self {
            phase: atomic::AtomicU8::new(OPEN),
            phase_changed: Notify::new(),
            running: watch::Sender::default(),
        }
    }
}

impl FlowGate {
    /// Lets one request in.
    ///
    /// # Errors
    ///
    /// A refusal once the gate is closed.
    pub fn enter(&self) -> Result<GatePass, refusal::RefusalBody> {
        // Counted before the check: one that is let in is seen by whoever closes and then waits.
        let pass = self.extend();
        if self.is_closed() {
            let message = "this entry VM is leaving; ask another of GET /v1/entries";
            let body = refusal::RefusalBody::not_run(refusal::RefusalCode::NotReady, message);
            return Err(body.retry_after_ms(LEAVING_RETRY_MS));
        }
        Ok(pass)
    }

    /// A pass for work that belongs to a request which is already in.
    #[must_use]
    pub fn extend(&self) -> GatePass {
        self.running.send_modify(|running| *running += 1);
        GatePass {
            running: self.running.clone(),
        }
    }

    /// Refuses new work from here on.
    pub fn close(&self) {
        self.enter_phase(CLOSED);
    }

    fn enter_phase(&self, phase: u8) {
        self.phase.fetch_max(phase, atomic::Ordering::SeqCst);
        self.phase_changed.notify_waiters();
    }

    /// Completes when new work is refused.
    pub async fn closed(&self) {
        let changed = self.phase_changed.notified();
        tokio::pin!(changed);
        // Listening begins before the look, so that a change between the two is not missed.
        changed.as_mut().enable();
        if !self.is_closed() {
            changed.await;
        }
    }

    /// Whether new work is refused.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.phase.load(atomic::Ordering::SeqCst) >= CLOSED
    }

    /// Requests that run.
    #[must_use]
    pub fn running(&self) -> u64 {
        *self.running.borrow()
    }

    /// Ends every stream with its continuation token; the generations go on.
    pub fn hand_over(&self) {
        self.enter_phase(HANDING_OVER);
    }

    /// Whether streams are to end with their continuation token; looked at with each token and
    /// each heartbeat, so that no stream need wait for it.
    #[must_use]
    pub fn is_handing_over(&self) -> bool {
        self.phase.load(atomic::Ordering::Relaxed) == HANDING_OVER
    }

    /// Completes when nothing runs.
    pub async fn idle(&self) {
        let mut watcher = self.running.subscribe();
        let _ = watcher.wait_for(|running| *running == 0).await;
    }

    /// Graceful end: refuses new work, waits for what runs for at most `grace`, then hands over
    /// what is left and waits for at most `handover`. Returns how many still run.
    pub async fn drain(&self, grace: Duration, handover: Duration) -> u64 {
        self.close();
        if time::timeout(grace, self.idle()).await.is_err() {
            self.hand_over();
            let _ = time::timeout(handover, self.idle()).await;
        }
        self.running()
    }
}

//! Counts the requests that run in this process and drains them on shutdown.

use std::{sync::atomic, time::Duration};

use base::refusal;
use tokio::{
    sync::{Notify, watch},
    time,
};

/// Retry delay for a caller of an entry VM that is leaving, in milliseconds. Another entry VM may
/// be called at once.
const LEAVING_RETRY_MS: u64 = 1_000;

/// New requests are accepted.
const OPEN: u8 = 0;

/// New requests are refused.
const CLOSED: u8 = 1;

/// Streams end here and continue at another entry VM.
const HANDING_OVER: u8 = 2;

/// Counts running requests; closed when this entry VM leaves.
///
/// Without the gate, a process that is stopped would cut off the streams that it relays, and every
/// rollout would leave streams without their `[DONE]`. Draining refuses new requests first, waits
/// for the running ones, and hands over the remaining streams by their continuation tokens.
#[derive(Debug)]
pub struct FlowGate {
    /// [`OPEN`], [`CLOSED`] or [`HANDING_OVER`]. It never decreases, so a second signal cannot
    /// reopen the gate.
    phase: atomic::AtomicU8,
    phase_changed: Notify,
    running: watch::Sender<u64>,
}

/// Counts one request as running until dropped.
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
    /// Admits one request.
    ///
    /// # Errors
    ///
    /// Returns a refusal once the gate is closed.
    pub fn enter(&self) -> Result<GatePass, refusal::RefusalBody> {
        // Counted before the check, so that a drain that closes the gate and then waits sees every
        // admitted request.
        let pass = self.extend();
        if self.is_closed() {
            let message = "this entry VM is leaving; use another one listed by GET /v1/entries";
            let body = refusal::RefusalBody::not_run(refusal::RefusalCode::NotReady, message);
            return Err(body.retry_after_ms(LEAVING_RETRY_MS));
        }
        Ok(pass)
    }

    /// Returns a further pass for work of a request that was already admitted.
    #[must_use]
    pub fn extend(&self) -> GatePass {
        self.running.send_modify(|running| *running += 1);
        GatePass {
            running: self.running.clone(),
        }
    }

    /// Closes the gate: new requests are refused from here on.
    pub fn close(&self) {
        self.enter_phase(CLOSED);
    }

    fn enter_phase(&self, phase: u8) {
        self.phase.fetch_max(phase, atomic::Ordering::SeqCst);
        self.phase_changed.notify_waiters();
    }

    /// Completes when the gate is closed.
    pub async fn closed(&self) {
        let changed = self.phase_changed.notified();
        tokio::pin!(changed);
        // Registered before the check, so that a change between the two is not missed.
        changed.as_mut().enable();
        if !self.is_closed() {
            changed.await;
        }
    }

    /// Whether new requests are refused.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.phase.load(atomic::Ordering::SeqCst) >= CLOSED
    }

    /// Number of running requests.
    #[must_use]
    pub fn running(&self) -> u64 {
        *self.running.borrow()
    }

    /// Ends every stream with its continuation token; the generations keep running.
    pub fn hand_over(&self) {
        self.enter_phase(HANDING_OVER);
    }

    /// Whether streams must end with their continuation token. Streams check this with each token
    /// and each heartbeat, so none has to wait for a notification.
    #[must_use]
    pub fn is_handing_over(&self) -> bool {
        self.phase.load(atomic::Ordering::Relaxed) == HANDING_OVER
    }

    /// Completes when no request runs.
    pub async fn idle(&self) {
        let mut watcher = self.running.subscribe();
        let _ = watcher.wait_for(|running| *running == 0).await;
    }

    /// Shuts down gracefully: refuses new requests, waits at most `grace` for the running ones,
    /// then hands over the remaining streams and waits at most `handover`. Returns the number of
    /// requests that still run.
    pub async fn drain(&self, grace: Duration, handover: Duration) -> u64 {
        self.close();
        if time::timeout(grace, self.idle()).await.is_err() {
            self.hand_over();
            let _ = time::timeout(handover, self.idle()).await;
        }
        self.running()
    }
}

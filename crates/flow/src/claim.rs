//! A claim on an idempotency key, held by one request.

use std::{sync, time::Duration};

use tokio::time;

use crate::{
    port::{self, ClaimStore as _},
    shared,
};

/// Time limit for storing the outcome of a call.
const STORE_TIMEOUT: Duration = Duration::from_secs(30);

/// Initial delay between two attempts to store an outcome; it doubles each time.
const INITIAL_STORE_DELAY: Duration = Duration::from_millis(100);

/// A claim that this request holds.
///
/// Dropping it before the call is sent releases it, so that the key may be claimed again.
#[derive(Debug)]
pub struct HeldClaim<P: port::PortSet> {
    shared: sync::Arc<shared::SharedPlane<P>>,
    /// `None` once the claim has been settled.
    hold: Option<port::ClaimHold>,
    /// Outcome to store on drop: nothing was sent yet, or the call may have run.
    end_on_drop: port::ClaimEnd,
}

impl<P: port::PortSet> HeldClaim<P> {
    pub(crate) const fn new(
        shared: sync::Arc<shared::SharedPlane<P>>,
        hold: port::ClaimHold,
    ) -> Self {
        Self {
            shared,
            hold: Some(hold),
            end_on_drop: port::ClaimEnd::NotRun,
        }
    }

    /// Returns whether an attempt may be sent now. If so, dropping the claim from here on records
    /// that the call may have run.
    ///
    /// The clock is checked because a process that was paused between claim and call would
    /// otherwise send after others consider the claim lapsed: the call would run after a repeat
    /// was answered as unknown.
    pub(crate) fn begin_send(&mut self, now: time::Instant) -> bool {
        let is_valid = self.hold.as_ref().is_some_and(|hold| now < hold.deadline);
        if is_valid {
            self.end_on_drop = port::ClaimEnd::Unknown;
        }
        is_valid
    }

    /// Records that the attempt that was sent is proved not to have run.
    pub(crate) fn mark_not_run(&mut self) {
        self.end_on_drop = port::ClaimEnd::NotRun;
    }

    /// Settles the claim. The outcome is stored in the background; a graceful shutdown waits for
    /// it.
    pub(crate) fn settle(mut self, end: port::ClaimEnd) {
        self.end_on_drop = end;
    }
}

impl<P: port::PortSet> Drop for HeldClaim<P> {
    fn drop(&mut self) {
        let (Some(hold), Ok(runtime)) = (self.hold.take(), tokio::runtime::Handle::try_current())
        else {
            return;
        };
        let end = std::mem::replace(&mut self.end_on_drop, port::ClaimEnd::Unknown);
        let shared = self.shared.clone();
        let pass = shared.gate.extend();
        runtime.spawn(async move {
            let _pass = pass;
            store_end(&shared, hold, end).await;
        });
    }
}

async fn store_end<P: port::PortSet>(
    shared: &shared::SharedPlane<P>,
    hold: port::ClaimHold,
    end: port::ClaimEnd,
) {
    let give_up_at = time::Instant::now() + STORE_TIMEOUT;
    let mut delay = INITIAL_STORE_DELAY;
    loop {
        let store = shared.ports.claims().store(hold.clone(), end.clone());
        match store.await {
            Ok(()) => return,
            Err(_) if time::Instant::now() >= give_up_at => break,
            Err(_) => time::sleep(delay).await,
        }
        delay *= 2;
    }
    metrics::counter!("pollenchute_flow_claim_ends_lost_total").increment(1);
}

//! A claim in the hands of one request.

use std::{sync, time::Duration};

use tokio::time;

use crate::{
    port::{self, ClaimStore as _},
    shared,
};

/// Storing how a call ended is tried for this long.
const STORE_FOR: Duration = Duration::from_secs(30);

/// First pause between two tries to store.
const STORE_PAUSE: Duration = Duration::from_millis(100);

/// A claim that this request holds. Dropped before the call leaves, it is given back: the key
/// may then be claimed again.
#[derive(Debug)]
pub struct HeldClaim<P: port::PortSet> {
    shared: sync::Arc<shared::SharedPlane<P>>,
    /// Taken when the claim is settled.
    hold: Option<port::ClaimHold>,
    /// What a drop means: nothing was sent yet, or the call may have run.
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

    /// Whether a try may leave now; if so, a drop means from here on that it may have run.
    ///
    /// What goes wrong without the look at the clock: a process that was paused between its
    /// claim and its call sends after others have taken the claim for lapsed. One would notice a
    /// call that arrives after a repeat was told "unknown".
    pub(crate) fn leave(&mut self, now: time::Instant) -> bool {
        let leaves = self.hold.as_ref().is_some_and(|hold| now < hold.deadline);
        if leaves {
            self.end_on_drop = port::ClaimEnd::Unknown;
        }
        leaves
    }

    /// The try that left was proved not to have run.
    pub(crate) fn came_back(&mut self) {
        self.end_on_drop = port::ClaimEnd::NotRun;
    }

    /// Settles the claim; the end is stored in the background, which a graceful stop waits for.
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
    let give_up_at = time::Instant::now() + STORE_FOR;
    let mut pause = STORE_PAUSE;
    loop {
        let store = shared.ports.claims().store(hold.clone(), end.clone());
        match store.await {
            Ok(()) => return,
            Err(_) if time::Instant::now() >= give_up_at => break,
            Err(_) => time::sleep(pause).await,
        }
        pause *= 2;
    }
    metrics::counter!("pollenchute_flow_claim_ends_lost_total").increment(1);
}

//! Filter: does this content crash backend servers?

use std::sync;

use base::refusal;
use tokio::{sync::OwnedSemaphorePermit, time};

use crate::{filter, port, request, shared, suspect::ContentStanding};

/// Held by a suspect while it runs: suspects run one to a server, on few servers.
#[derive(Debug)]
pub struct ProbePass {
    _permit: OwnedSemaphorePermit,
}

/// Refuses quarantined content, and makes suspects run alone.
#[derive(Clone, Debug)]
pub struct QuarantineFilter<P> {
    shared: sync::Arc<shared::SharedPlane<P>>,
}

impl<P: port::PortSet> QuarantineFilter<P> {
    /// The filter of one plane.
    #[must_use]
    pub const fn new(shared: sync::Arc<shared::SharedPlane<P>>) -> Self {
        Self { shared }
    }

    /// Waits for a turn as long as content is suspect; it may be cleared meanwhile.
    async fn pass<W: request::Work>(
        &self,
        work: &W,
        due_at: time::Instant,
    ) -> Result<Option<ProbePass>, refusal::RefusalBody> {
        let content = work.fingerprint();
        let standing = || {
            self.shared
                .crash_tracker
                .standing(content, self.shared.now_ms())
        };
        if let ContentStanding::Suspect { .. } = standing() {
            let turn = self.shared.probes.clone().acquire_owned();
            let permit = match time::timeout_at(due_at, turn).await {
                Ok(Ok(permit)) => permit,
                Ok(Err(_)) | Err(_) => return Err(crowded()),
            };
            return match standing() {
                ContentStanding::Suspect { .. } => Ok(Some(ProbePass { _permit: permit })),
                ContentStanding::Clear => Ok(None),
                ContentStanding::Quarantined { left_ms } => Err(quarantined(left_ms)),
            };
        }
        match standing() {
            ContentStanding::Quarantined { left_ms } => Err(quarantined(left_ms)),
            ContentStanding::Clear | ContentStanding::Suspect { .. } => Ok(None),
        }
    }
}

fn quarantined(left_ms: u64) -> refusal::RefusalBody {
    refusal::RefusalBody::not_run(
        refusal::RefusalCode::Quarantined,
        "backend servers died each time they ran this content; change it, or have an operator \
         lift the quarantine",
    )
    .retry_after_ms(left_ms)
}

/// When a suspect that found no turn may come back.
const CROWDED_RETRY_MS: u64 = 1_000;

fn crowded() -> refusal::RefusalBody {
    refusal::RefusalBody::not_run(
        refusal::RefusalCode::Overloaded,
        "a backend server died while it ran this content, which now waits for one to itself; \
         ask again after the time given",
    )
    .retry_after_ms(CROWDED_RETRY_MS)
}

/// A request that may run, alone if it is a suspect.
pub type ClearedRequest<W, Q, C> = request::Request<W, request::Cleared<Q, C, Option<ProbePass>>>;

impl<P, W, Q, C> filter::Filter<request::Request<W, request::Claimed<Q, C>>> for QuarantineFilter<P>
where
    P: port::PortSet,
    W: request::Work,
    Q: Send + Sync,
    C: Send + Sync,
{
    type Out = ClearedRequest<W, Q, C>;

    async fn apply(
        &self,
        input: request::Request<W, request::Claimed<Q, C>>,
    ) -> Result<Self::Out, filter::EarlyEnd> {
        match self.pass(&input.facts.work, input.stage.terms.due_at).await {
            Ok(probe) => Ok(input.advance(|claimed| request::Cleared { claimed, probe })),
            Err(body) => Err(input.refused(body).into()),
        }
    }
}

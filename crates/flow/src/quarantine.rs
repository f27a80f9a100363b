//! Quarantine filter: refuses content that crashes backend servers.

use std::sync;

use base::refusal;
use tokio::{sync::OwnedSemaphorePermit, time};

use crate::{filter, port, request, shared, suspect::ContentStanding};

/// Permit that a suspect holds while it runs: each suspect has a server to itself, and only a few
/// servers run suspects.
#[derive(Debug)]
pub struct ProbePermit {
    _permit: OwnedSemaphorePermit,
}

/// Refuses quarantined content and runs suspects in isolation.
#[derive(Clone, Debug)]
pub struct QuarantineFilter<P> {
    shared: sync::Arc<shared::SharedPlane<P>>,
}

impl<P: port::PortSet> QuarantineFilter<P> {
    /// Creates the filter of one request plane.
    #[must_use]
    pub const fn new(shared: sync::Arc<shared::SharedPlane<P>>) -> Self {
        Self { shared }
    }

    /// Waits for a probe permit if the content is suspect; it may be cleared during the wait.
    async fn check<W: request::Work>(
        &self,
        work: &W,
        due_at: time::Instant,
    ) -> Result<Option<ProbePermit>, refusal::RefusalBody> {
        let content = work.fingerprint();
        let standing = || {
            self.shared
                .crash_tracker
                .standing(content, self.shared.now_ms())
        };
        if let ContentStanding::Suspect { .. } = standing() {
            let acquiring = self.shared.probe_permits.clone().acquire_owned();
            let permit = match time::timeout_at(due_at, acquiring).await {
                Ok(Ok(permit)) => permit,
                Ok(Err(_)) | Err(_) => return Err(no_probe_permit()),
            };
            return match standing() {
                ContentStanding::Suspect { .. } => Ok(Some(ProbePermit { _permit: permit })),
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
        "each backend server that ran this content crashed; change the content, or have an \
         operator lift the quarantine",
    )
    .retry_after_ms(left_ms)
}

/// Retry delay for a suspect that got no probe permit, in milliseconds.
const PROBE_BUSY_RETRY_MS: u64 = 1_000;

fn no_probe_permit() -> refusal::RefusalBody {
    refusal::RefusalBody::not_run(
        refusal::RefusalCode::Overloaded,
        "a backend server crashed while it ran this content, which now needs a server to itself \
         and found none free; retry after the given time",
    )
    .retry_after_ms(PROBE_BUSY_RETRY_MS)
}

/// A request that may run; a suspect carries a probe permit and runs alone.
pub type ClearedRequest<W, Q, C> = request::Request<W, request::Cleared<Q, C, Option<ProbePermit>>>;

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
        match self
            .check(&input.facts.work, input.stage.terms.due_at)
            .await
        {
            Ok(probe) => Ok(input.advance(|claimed| request::Cleared { claimed, probe })),
            Err(body) => Err(input.refused(body).into()),
        }
    }
}

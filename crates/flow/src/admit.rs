//! Admission filter: waits until the scheduler grants a slot on a backend server.

use std::{sync, time::Duration};

use base::{id, refusal};
use tokio::time;

use crate::{
    filter,
    port::{self, Scheduler as _},
    quarantine, request, shared,
};

/// Requests a slot from the scheduler and waits for the grant.
#[derive(Clone, Debug)]
pub struct AdmitFilter<P> {
    shared: sync::Arc<shared::SharedPlane<P>>,
}

/// Grant of a slot on a backend server.
pub type SlotGrant<P> = <<P as port::PortSet>::Schedule as port::Scheduler>::Grant;

impl<P: port::PortSet> AdmitFilter<P> {
    /// Creates the filter of one request plane.
    #[must_use]
    pub const fn new(shared: sync::Arc<shared::SharedPlane<P>>) -> Self {
        Self { shared }
    }

    /// Waits for a slot and excludes the servers to avoid for at most [`AVOID_TIMEOUT`].
    ///
    /// Excluding them for the whole wait would leave a request queued while an engine is idle: all
    /// other servers may die or leave meanwhile, and an excluded server may have recovered.
    async fn acquire_slot<W: request::Work>(
        &self,
        facts: &request::RequestFacts<W>,
        terms: &request::Terms,
        alone: bool,
    ) -> Result<SlotGrant<P>, refusal::RefusalBody> {
        let schedule = self.shared.ports.schedule();
        let mut tried = facts.avoid.as_slice();
        loop {
            let avoid = avoid_list(facts, tried, self.shared.crash_tracker.probed(), alone);
            let avoids_servers = !avoid.is_empty();
            let request = admission_request(facts, terms, avoid, alone);
            let admission = schedule.admit(&request);
            if !avoids_servers {
                return admission.await;
            }
            match time::timeout(AVOID_TIMEOUT, admission).await {
                Ok(Ok(grant)) => return Ok(grant),
                Ok(Err(body)) if alone => return Err(body),
                Ok(Err(_)) | Err(_) => tried = &[],
            }
            if !alone {
                return schedule
                    .admit(&admission_request(facts, terms, Vec::new(), alone))
                    .await;
            }
        }
    }
}

/// Time after which servers to avoid become acceptable again.
const AVOID_TIMEOUT: Duration = Duration::from_secs(2);

/// Builds the scheduler's admission request.
pub(crate) fn admission_request<W: request::Work>(
    facts: &request::RequestFacts<W>,
    terms: &request::Terms,
    avoid: Vec<id::ServerKey>,
    alone: bool,
) -> port::AdmissionRequest {
    port::AdmissionRequest {
        request: facts.id,
        organisation: terms.organisation,
        class: terms.class,
        work: facts.work.requested(),
        prompt: facts.work.prompt(),
        deadline: terms.due_at,
        avoid,
        alone,
        buffered: facts.work.buffered(),
        retry: facts.attempts > 0,
    }
}

/// Returns the servers to exclude for a request, as long as another candidate remains.
///
/// These are the servers of its failed attempts and the servers that run a suspect, since a crash
/// caused by a suspect also ends the requests that run beside it. A suspect never shares a server
/// with another suspect, so that a crash identifies the content that caused it.
fn avoid_list<W: request::Work>(
    facts: &request::RequestFacts<W>,
    tried: &[id::ServerKey],
    probed: Vec<id::ServerKey>,
    alone: bool,
) -> Vec<id::ServerKey> {
    let leaves_candidate = |avoid: &[id::ServerKey]| {
        let candidates = facts.work.candidates(&facts.view).iter();
        candidates
            .filter(|server| facts.view.takes_work(**server))
            .any(|server| !avoid.contains(server))
    };
    let mut avoid = probed;
    avoid.extend_from_slice(tried);
    if leaves_candidate(&avoid) {
        return avoid;
    }
    avoid.truncate(avoid.len() - tried.len());
    if !alone && !leaves_candidate(&avoid) {
        avoid.clear();
    }
    avoid
}

impl<P, W, Q, C>
    filter::Filter<request::Request<W, request::Cleared<Q, C, Option<quarantine::ProbePermit>>>>
    for AdmitFilter<P>
where
    P: port::PortSet,
    W: request::Work,
    Q: Send + Sync,
    C: Send + Sync,
{
    type Out =
        request::Request<W, request::Admitted<Q, C, Option<quarantine::ProbePermit>, SlotGrant<P>>>;

    async fn apply(
        &self,
        input: request::Request<W, request::Cleared<Q, C, Option<quarantine::ProbePermit>>>,
    ) -> Result<Self::Out, filter::EarlyEnd> {
        let terms = input.stage.claimed.terms;
        let alone = input.stage.probe.is_some();
        let admission = self.acquire_slot(&input.facts, &terms, alone);
        match time::timeout_at(terms.due_at, admission).await {
            Ok(Ok(grant)) => Ok(input.advance(|cleared| request::Admitted { cleared, grant })),
            Ok(Err(body)) => Err(input.refused(body).into()),
            Err(_) => Err(input.refused(no_slot_in_time()).into()),
        }
    }
}

/// Retry delay for a request that got no slot before its deadline, in milliseconds.
const NO_SLOT_RETRY_MS: u64 = 1_000;

fn no_slot_in_time() -> refusal::RefusalBody {
    refusal::RefusalBody::not_run(
        refusal::RefusalCode::DeadlineExceeded,
        "no backend server had a free slot before the deadline; retry after the given time",
    )
    .retry_after_ms(NO_SLOT_RETRY_MS)
}

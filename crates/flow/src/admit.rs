//! Filter: wait for a place.

use std::{sync, time::Duration};

use base::{id, refusal};
use tokio::time;

use crate::{
    filter,
    port::{self, Scheduler as _},
    quarantine, request, shared,
};

/// Asks the scheduler for a place and waits for it.
#[derive(Clone, Debug)]
pub struct AdmitFilter<P> {
    shared: sync::Arc<shared::SharedPlane<P>>,
}

/// A place on a backend server.
pub type PlaceGrant<P> = <<P as port::PortSet>::Schedule as port::Scheduler>::Grant;

impl<P: port::PortSet> AdmitFilter<P> {
    /// The filter of one plane.
    #[must_use]
    pub const fn new(shared: sync::Arc<shared::SharedPlane<P>>) -> Self {
        Self { shared }
    }

    /// Waits for a place, for a while elsewhere than at the servers to avoid.
    ///
    /// What goes wrong when they are avoided for as long as it waits: every other server dies or
    /// leaves meanwhile, and the request waits beside one that came back. One would notice work
    /// that waits while an engine is idle.
    async fn place<W: request::Work>(
        &self,
        facts: &request::RequestFacts<W>,
        terms: &request::Terms,
        alone: bool,
    ) -> Result<PlaceGrant<P>, refusal::RefusalBody> {
        let schedule = self.shared.ports.schedule();
        let mut tried = facts.avoid.as_slice();
        loop {
            let avoid = avoid_list(facts, tried, self.shared.crash_tracker.probed(), alone);
            let picky = !avoid.is_empty();
            let ask = ask_of(facts, terms, avoid, alone);
            let admission = schedule.admit(&ask);
            if !picky {
                return admission.await;
            }
            match time::timeout(AVOIDED_FOR, admission).await {
                Ok(Ok(grant)) => return Ok(grant),
                Ok(Err(body)) if alone => return Err(body),
                Ok(Err(_)) | Err(_) => tried = &[],
            }
            if !alone {
                return schedule
                    .admit(&ask_of(facts, terms, Vec::new(), alone))
                    .await;
            }
        }
    }
}

/// Servers are avoided for this long; then any will do.
const AVOIDED_FOR: Duration = Duration::from_secs(2);

/// The scheduler's question for a request.
pub(crate) fn ask_of<W: request::Work>(
    facts: &request::RequestFacts<W>,
    terms: &request::Terms,
    avoid: Vec<id::ServerKey>,
    alone: bool,
) -> port::AdmissionRequest {
    port::AdmissionRequest {
        request: facts.id,
        organisation: terms.organisation,
        class: terms.class,
        work: facts.work.asked(),
        prompt: facts.work.prompt(),
        deadline: terms.due_at,
        avoid,
        alone,
        buffered: facts.work.buffered(),
        retry: facts.tries > 0,
    }
}

/// Servers that a request must not get, as long as that leaves it one.
///
/// Servers of its failed tries, and servers where a suspect runs: whatever stands beside that
/// dies with it. A suspect never joins another suspect, so that a death names one of them.
fn avoid_list<W: request::Work>(
    facts: &request::RequestFacts<W>,
    tried: &[id::ServerKey],
    probed: Vec<id::ServerKey>,
    alone: bool,
) -> Vec<id::ServerKey> {
    let leaves_one = |avoid: &[id::ServerKey]| {
        let candidates = facts.work.candidates(&facts.view).iter();
        candidates
            .filter(|server| facts.view.takes_work(**server))
            .any(|server| !avoid.contains(server))
    };
    let mut avoid = probed;
    avoid.extend_from_slice(tried);
    if leaves_one(&avoid) {
        return avoid;
    }
    avoid.truncate(avoid.len() - tried.len());
    if !alone && !leaves_one(&avoid) {
        avoid.clear();
    }
    avoid
}

impl<P, W, Q, C>
    filter::Filter<request::Request<W, request::Cleared<Q, C, Option<quarantine::ProbePass>>>>
    for AdmitFilter<P>
where
    P: port::PortSet,
    W: request::Work,
    Q: Send + Sync,
    C: Send + Sync,
{
    type Out =
        request::Request<W, request::Admitted<Q, C, Option<quarantine::ProbePass>, PlaceGrant<P>>>;

    async fn apply(
        &self,
        input: request::Request<W, request::Cleared<Q, C, Option<quarantine::ProbePass>>>,
    ) -> Result<Self::Out, filter::EarlyEnd> {
        let terms = input.stage.claimed.terms;
        let alone = input.stage.probe.is_some();
        let placed = self.place(&input.facts, &terms, alone);
        match time::timeout_at(terms.due_at, placed).await {
            Ok(Ok(grant)) => Ok(input.advance(|cleared| request::Admitted { cleared, grant })),
            Ok(Err(body)) => Err(input.refused(body).into()),
            Err(_) => Err(input.refused(late()).into()),
        }
    }
}

/// When a request that found no place in its time may come back.
const LATE_RETRY_MS: u64 = 1_000;

fn late() -> refusal::RefusalBody {
    refusal::RefusalBody::not_run(
        refusal::RefusalCode::DeadlineExceeded,
        "no backend server had a place in time; ask again after the time given",
    )
    .retry_after_ms(LATE_RETRY_MS)
}

//! Filter: wait for a place.

use std::sync;

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
}

/// The scheduler's question for a request.
pub(crate) fn ask_of<W: request::Work>(
    facts: &request::RequestFacts<W>,
    terms: &request::Terms,
    avoid: Vec<id::ServerKey>,
    alone: bool,
) -> port::AdmissionAsk {
    port::AdmissionAsk {
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
    avoid.extend_from_slice(&facts.avoid);
    if leaves_one(&avoid) {
        return avoid;
    }
    avoid.truncate(avoid.len() - facts.avoid.len());
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
        let terms = &input.stage.claimed.terms;
        let alone = input.stage.probe.is_some();
        let avoid = avoid_list(&input.facts, self.shared.book.probed(), alone);
        let ask = ask_of(&input.facts, terms, avoid, alone);
        let admission = self.shared.ports.schedule().admit(&ask);
        match time::timeout_at(terms.due_at, admission).await {
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

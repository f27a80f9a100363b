//! Runs attempts of a generation until one delivers its first token.

use std::{sync, time::Duration};

use base::{id, refusal};
use tokio::time;
use trace::kind;

use crate::{
    admit, attempt, claim,
    filter::{self, Filter as _},
    port, proof, quarantine, quota, request, route,
    running::{self, AttemptEnd},
    shared, view,
};

/// Retry delay after all attempts of a request have failed.
const EXHAUSTED_RETRY: Duration = Duration::from_secs(1);

/// Delay before a suspect that was granted a server with another suspect requests another slot.
const PROBE_CONFLICT_DELAY: Duration = Duration::from_millis(50);

/// Stage of a generation that has not been granted a slot.
pub type GenerationClaimed<P> =
    request::Claimed<quota::QuotaPermit<P>, Option<claim::HeldClaim<P>>>;

/// A generation with a granted slot and the address of its server.
pub type GenerationRouted<P> = route::RoutedRequest<
    request::GenerationWork,
    quota::QuotaPermit<P>,
    Option<claim::HeldClaim<P>>,
    admit::SlotGrant<P>,
>;

/// Filters that acquire a slot for an attempt, the first one and every retry.
pub type PlacementChain<P> = filter::Chain<
    filter::Chain<quarantine::QuarantineFilter<P>, admit::AdmitFilter<P>>,
    route::RouteFilter,
>;

/// A request whose generation has delivered its first step.
pub struct OpenedRequest<P: port::PortSet> {
    /// Facts of the request that no filter changes.
    pub facts: request::RequestFacts<request::GenerationWork>,
    /// Terms, quota and claim of the request.
    pub claimed: GenerationClaimed<P>,
    /// The running attempt.
    pub running: running::RunningAttempt<P>,
    /// The first step: a token or the end.
    pub step: attempt::AttemptStep,
}

/// Starts generations and restarts them as long as no token has been sent to the caller.
#[derive(Clone, Debug)]
pub struct GenerationOpener<P: port::PortSet> {
    shared: sync::Arc<shared::SharedPlane<P>>,
    placement: PlacementChain<P>,
    routing: route::RouteFilter,
}

impl<P: port::PortSet> GenerationOpener<P> {
    pub(crate) const fn new(
        shared: sync::Arc<shared::SharedPlane<P>>,
        placement: PlacementChain<P>,
        routing: route::RouteFilter,
    ) -> Self {
        Self {
            shared,
            placement,
            routing,
        }
    }

    /// Runs attempts until one delivers its first token or its end.
    ///
    /// # Errors
    ///
    /// Returns a refusal that states whether any attempt ran.
    pub async fn open(
        &self,
        routed: GenerationRouted<P>,
    ) -> Result<OpenedRequest<P>, filter::EarlyEnd> {
        let mut routed = routed;
        loop {
            let request::Request {
                mut facts,
                permit,
                stage,
            } = routed;
            let request::Routed { admitted, target } = stage;
            let request::Cleared { claimed, probe } = admitted.cleared;
            let content = facts.work.content;
            let mark = self
                .shared
                .crash_tracker
                .begin(target.key, content, probe.is_some());
            let Some(run_guard) = mark else {
                drop((admitted.grant, probe));
                time::sleep(PROBE_CONFLICT_DELAY).await;
                routed = self.acquire_slot(facts, permit, claimed).await?;
                continue;
            };
            if let Err(delay) = self.shared.take_attempt(facts.attempts, &facts.view.config) {
                return Err(permit.refused(retry_budget_exhausted(delay)).into());
            }
            facts.attempts += 1;
            let place = running::AttemptPlacement {
                target,
                grant: admitted.grant,
                run_guard,
                probe,
            };
            match self.run_one(place, &facts, &claimed.terms, permit).await {
                Ok((running, step)) => {
                    return Ok(OpenedRequest {
                        facts,
                        claimed,
                        running,
                        step,
                    });
                }
                Err(end) => routed = self.retry(facts, claimed, end).await?,
            }
        }
    }

    async fn run_one(
        &self,
        place: running::AttemptPlacement<P>,
        facts: &request::RequestFacts<request::GenerationWork>,
        terms: &request::Terms,
        permit: proof::StartPermit,
    ) -> Result<(running::RunningAttempt<P>, attempt::AttemptStep), AttemptEnd<P>> {
        let running = place.start(&self.shared, facts, terms, permit).await?;
        running.first_step(&self.shared, facts, terms.due_at).await
    }

    /// Ends an attempt whose answer was buffered here and opens another one. A `loss` of `None`
    /// means that the scheduler preempts it.
    ///
    /// # Errors
    ///
    /// Returns a refusal that states whether any attempt ran.
    pub async fn reopen(
        &self,
        opened: OpenedRequest<P>,
        loss: Option<attempt::AttemptLoss>,
    ) -> Result<OpenedRequest<P>, filter::EarlyEnd> {
        let OpenedRequest {
            facts,
            mut claimed,
            running,
            step: _,
        } = opened;
        // The time limit applies to the first token, so a new generation gets a new deadline.
        claimed.terms.due_at = time::Instant::now() + claimed.terms.time_limit;
        let deadline = claimed.terms.due_at;
        let end = match loss {
            Some(loss) => running.settle(&self.shared, loss, deadline).await,
            None => running.preempt(&self.shared, facts.id, deadline).await,
        };
        let routed = self.retry(facts, claimed, end).await?;
        self.open(routed).await
    }

    async fn retry(
        &self,
        mut facts: request::RequestFacts<request::GenerationWork>,
        claimed: GenerationClaimed<P>,
        end: AttemptEnd<P>,
    ) -> Result<GenerationRouted<P>, filter::EarlyEnd> {
        match end {
            AttemptEnd::Refused(refused) => Err(refused.into()),
            AttemptEnd::Moved {
                permit,
                grant,
                probe,
            } => {
                let cleared = request::Cleared { claimed, probe };
                let stage = request::Admitted { cleared, grant };
                let moved = request::Request {
                    facts,
                    permit,
                    stage,
                };
                self.routing.apply(moved).await
            }
            AttemptEnd::Again {
                permit,
                server,
                cause,
            } => {
                if facts.attempts >= facts.view.config.rules().retries.max_tries {
                    return Err(permit.refused(attempts_exhausted(&cause)).into());
                }
                self.shared.record(
                    facts.id,
                    kind::EventKind::RequestRetried {
                        server: server_name(&facts.view, server),
                        attempt: facts.attempts,
                        ran: permit.ran(),
                        reason: cause,
                    },
                );
                facts.avoid.push(server);
                self.acquire_slot(facts, permit, claimed).await
            }
        }
    }

    /// Acquires a slot for another attempt.
    async fn acquire_slot(
        &self,
        facts: request::RequestFacts<request::GenerationWork>,
        permit: proof::StartPermit,
        claimed: GenerationClaimed<P>,
    ) -> Result<GenerationRouted<P>, filter::EarlyEnd> {
        let retried = request::Request {
            facts,
            permit,
            stage: claimed,
        };
        self.placement.apply(retried).await
    }
}

fn server_name(view: &view::PlaneView, server: id::ServerKey) -> String {
    let server = view.config.server(server);
    server.map(|server| server.name.clone()).unwrap_or_default()
}

pub(crate) fn retry_budget_exhausted(delay: Duration) -> refusal::RefusalBody {
    shared::retryable_refusal(
        refusal::RefusalCode::Overloaded,
        "an attempt failed and the retry budget is exhausted; retry after the given time",
        delay,
    )
}

pub(crate) fn attempts_exhausted(cause: &str) -> refusal::RefusalBody {
    let message = format!("{cause}; all attempts failed; retry after the given time");
    shared::retryable_refusal(refusal::RefusalCode::Unavailable, message, EXHAUSTED_RETRY)
}

//! Bringing a generation to its first token, over as many tries as that takes.

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

/// When to come back when the tries of a request are used up.
const USED_UP_RETRY: Duration = Duration::from_secs(1);

/// Pause before a suspect that met another on its server asks for another place.
const PROBE_PAUSE: Duration = Duration::from_millis(50);

/// What a generation's request holds before it has a place.
pub type GenerationClaimed<P> =
    request::Claimed<quota::QuotaPermit<P>, Option<claim::HeldClaim<P>>>;

/// A generation's request with a place.
pub type GenerationRouted<P> = route::RoutedRequest<
    request::GenerationWork,
    quota::QuotaPermit<P>,
    Option<claim::HeldClaim<P>>,
    admit::PlaceGrant<P>,
>;

/// Filters that find a place for a try, the first and every further one.
pub type PlacingChain<P> = filter::Chain<
    filter::Chain<quarantine::QuarantineFilter<P>, admit::AdmitFilter<P>>,
    route::RouteFilter,
>;

/// A request whose generation has shown its first step.
pub struct OpenedRequest<P: port::PortSet> {
    /// What stays the same.
    pub facts: request::RequestFacts<request::GenerationWork>,
    /// What it holds.
    pub claimed: GenerationClaimed<P>,
    /// Its try.
    pub running: running::RunningAttempt<P>,
    /// The first step: a token, or the end.
    pub step: attempt::TryStep,
}

/// Starts generations and restarts them for as long as nothing of them has left for the caller.
#[derive(Clone, Debug)]
pub struct GenerationOpener<P: port::PortSet> {
    shared: sync::Arc<shared::SharedPlane<P>>,
    placing: PlacingChain<P>,
    routing: route::RouteFilter,
}

impl<P: port::PortSet> GenerationOpener<P> {
    pub(crate) const fn new(
        shared: sync::Arc<shared::SharedPlane<P>>,
        placing: PlacingChain<P>,
        routing: route::RouteFilter,
    ) -> Self {
        Self {
            shared,
            placing,
            routing,
        }
    }

    /// Runs tries until one shows its first token or its end.
    ///
    /// # Errors
    ///
    /// An honest refusal that says what is known of the tries.
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
            let begun = self
                .shared
                .crash_tracker
                .begin(target.key, content, probe.is_some());
            let Some(run_guard) = begun else {
                drop((admitted.grant, probe));
                time::sleep(PROBE_PAUSE).await;
                routed = self.place(facts, permit, claimed).await?;
                continue;
            };
            let fraction = facts.view.config.rules().retries.budget_fraction;
            if let Err(delay) = self.shared.take_try(facts.tries, fraction) {
                return Err(permit.refused(over_budget(delay)).into());
            }
            facts.tries += 1;
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
                Err(end) => routed = self.place_again(facts, claimed, end).await?,
            }
        }
    }

    async fn run_one(
        &self,
        place: running::AttemptPlacement<P>,
        facts: &request::RequestFacts<request::GenerationWork>,
        terms: &request::Terms,
        permit: proof::StartPermit,
    ) -> Result<(running::RunningAttempt<P>, attempt::TryStep), AttemptEnd<P>> {
        let running = place.start(&self.shared, facts, terms, permit).await?;
        running.first_step(&self.shared, facts, terms.due_at).await
    }

    /// Ends a try whose answer was held here, and opens another. `None`: the scheduler stops it.
    ///
    /// # Errors
    ///
    /// An honest refusal that says what is known of the tries.
    pub async fn reopen(
        &self,
        opened: OpenedRequest<P>,
        loss: Option<attempt::TryLoss>,
    ) -> Result<OpenedRequest<P>, filter::EarlyEnd> {
        let OpenedRequest {
            facts,
            mut claimed,
            running,
            step: _,
        } = opened;
        // The time limit is for the first token: a new generation has a new one.
        claimed.terms.due_at = time::Instant::now() + claimed.terms.time_limit;
        let until = claimed.terms.due_at;
        let end = match loss {
            Some(loss) => running.settle(&self.shared, loss, until).await,
            None => running.preempt(&self.shared, facts.id, until).await,
        };
        let routed = self.place_again(facts, claimed, end).await?;
        self.open(routed).await
    }

    async fn place_again(
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
                if facts.tries >= facts.view.config.rules().retries.max_tries {
                    return Err(permit.refused(used_up(&cause)).into());
                }
                self.shared.record(
                    facts.id,
                    kind::EventKind::RequestRetried {
                        server: server_name(&facts.view, server),
                        attempt: facts.tries,
                        ran: permit.ran(),
                        reason: cause,
                    },
                );
                facts.avoid.push(server);
                self.place(facts, permit, claimed).await
            }
        }
    }

    /// Finds a place for another try.
    async fn place(
        &self,
        facts: request::RequestFacts<request::GenerationWork>,
        permit: proof::StartPermit,
        claimed: GenerationClaimed<P>,
    ) -> Result<GenerationRouted<P>, filter::EarlyEnd> {
        let again = request::Request {
            facts,
            permit,
            stage: claimed,
        };
        self.placing.apply(again).await
    }
}

fn server_name(view: &view::PlaneView, server: id::ServerKey) -> String {
    let server = view.config.server(server);
    server.map(|server| server.name.clone()).unwrap_or_default()
}

pub(crate) fn over_budget(delay: Duration) -> refusal::RefusalBody {
    shared::come_back(
        refusal::RefusalCode::Overloaded,
        "a try failed and the budget of retries is used up; ask again after the time given",
        delay,
    )
}

pub(crate) fn used_up(cause: &str) -> refusal::RefusalBody {
    let message = format!("{cause}; no try succeeded; ask again after the time given");
    shared::come_back(refusal::RefusalCode::Unavailable, message, USED_UP_RETRY)
}

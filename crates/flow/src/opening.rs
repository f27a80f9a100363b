//! Bringing a generation to its first token, over as many tries as that takes.

use std::{sync, time::Duration};

use base::{id, refusal};
use tokio::time;
use trace::kind;

use crate::{
    admit, attempt, claim, crashes,
    filter::{self, Filter as _},
    port::{self, Grant as _},
    proof, quarantine, quota, refused, request, route, settle, shared, view,
};

/// When to come back when the tries of a request are used up.
const USED_UP_RETRY: Duration = Duration::from_secs(1);

/// Pause before a suspect that met another on its server asks for another place.
pub(crate) const PROBE_PAUSE: Duration = Duration::from_millis(50);

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

/// A try that is under way.
pub struct RunningTry<P: port::PortSet> {
    /// The generation.
    pub live: attempt::LiveTry<P>,
    /// What stays here while it runs.
    pub ticket: proof::TryTicket,
    /// Its place.
    pub grant: admit::PlaceGrant<P>,
    /// Marks its content as running there.
    pub mark: crashes::RunMark,
    /// Held by a suspect.
    pub probe: Option<quarantine::ProbePass>,
}

/// A request whose generation has shown its first step.
pub struct OpenedRequest<P: port::PortSet> {
    /// What stays the same.
    pub facts: request::RequestFacts<request::GenerationWork>,
    /// What it holds.
    pub claimed: GenerationClaimed<P>,
    /// Its try.
    pub running: RunningTry<P>,
    /// The first step: a token, or the end.
    pub step: attempt::TryStep,
}

/// Where a try is to run.
struct TryPlace<P: port::PortSet> {
    target: port::ServerTarget,
    grant: admit::PlaceGrant<P>,
    mark: crashes::RunMark,
    probe: Option<quarantine::ProbePass>,
}

/// Why a try has to be followed by another.
enum TryEnd<P: port::PortSet> {
    /// Another may be started.
    Again {
        permit: proof::StartPermit,
        /// Where it was lost.
        server: id::ServerKey,
        cause: String,
    },
    /// The scheduler stopped it; it has a place again.
    Moved {
        permit: proof::StartPermit,
        grant: admit::PlaceGrant<P>,
        probe: Option<quarantine::ProbePass>,
    },
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
            let begun = self.shared.book.begin(target.key, content, probe.is_some());
            let Some(mark) = begun else {
                drop((admitted.grant, probe));
                time::sleep(PROBE_PAUSE).await;
                let again = request::Request {
                    facts,
                    permit,
                    stage: claimed,
                };
                routed = self.placing.apply(again).await?;
                continue;
            };
            let fraction = facts.view.config.rules().retries.budget_fraction;
            if let Err(delay) = self.shared.take_try(facts.tries, fraction) {
                return Err(permit.refused(over_budget(delay)).into());
            }
            facts.tries += 1;
            let place = TryPlace {
                target,
                grant: admitted.grant,
                mark,
                probe,
            };
            let started = self.start(&facts, &claimed.terms, permit, place).await;
            let end = match started {
                Ok(running) => match self.first_step(running, &facts, &claimed.terms).await? {
                    Ok((running, step)) => {
                        return Ok(OpenedRequest {
                            facts,
                            claimed,
                            running,
                            step,
                        });
                    }
                    Err(end) => end,
                },
                Err(end) => end?,
            };
            routed = self.place_again(facts, claimed, end).await?;
        }
    }

    /// Sends one start; `Err` when it cannot be running.
    async fn start(
        &self,
        facts: &request::RequestFacts<request::GenerationWork>,
        terms: &request::Terms,
        permit: proof::StartPermit,
        place: TryPlace<P>,
    ) -> Result<RunningTry<P>, Result<TryEnd<P>, refused::Refused>> {
        let shared = &self.shared;
        let TryPlace {
            target,
            grant,
            mark,
            probe,
        } = place;
        let work = &facts.work;
        let order = port::StartOrder {
            id: shared.draw_generation(),
            model: work.model.clone(),
            adapter: work.adapter.clone(),
            prompt: work.prompt_text(),
            max_tokens: work.max_tokens,
            priority: grant.priority(),
            seed: work.body.seed,
        };
        shared.record(facts.id, dispatched(facts, &target));
        let silent_limit = silent_limit(&facts.view);
        let outcome = attempt::LiveTry::start(
            shared.clone(),
            facts.id,
            target.clone(),
            &order,
            permit,
            silent_limit,
        );
        match outcome.await {
            proof::TryOutcome::Ran((live, ticket)) => Ok(RunningTry {
                live,
                ticket,
                grant,
                mark,
                probe,
            }),
            proof::TryOutcome::NotRun { permit, cause } => {
                grant.failed(port::FailureKind::Broken);
                let server = target.key;
                Err(Ok(TryEnd::Again {
                    permit,
                    server,
                    cause,
                }))
            }
            proof::TryOutcome::Unknown { ticket, cause } => {
                let server = target.key;
                let lost = settle::LostTry {
                    target,
                    generation: order.id,
                    ticket,
                };
                let declined = attempt::LossKind::Declined;
                let settled = lost.settle(shared, declined, terms.due_at).await;
                grant.failed(port::FailureKind::Rejected);
                Err(again(settled, server, cause))
            }
        }
    }

    /// Waits for a try's first token or end.
    async fn first_step(
        &self,
        mut running: RunningTry<P>,
        facts: &request::RequestFacts<request::GenerationWork>,
        terms: &request::Terms,
    ) -> Result<Result<(RunningTry<P>, attempt::TryStep), TryEnd<P>>, filter::EarlyEnd> {
        let step = {
            let RunningTry { live, grant, .. } = &mut running;
            tokio::select! {
                biased;
                step = live.next() => Some(step),
                () = grant.preempted() => None,
                () = time::sleep_until(terms.due_at) => {
                    return Err(self.too_late(running).into());
                }
            }
        };
        match step {
            Some(attempt::TryStep::Lost(loss)) => {
                let end = self.settle(running, loss, terms.due_at).await;
                end.map(Err).map_err(Into::into)
            }
            Some(step) => {
                running.ticket.saw_running();
                Ok(Ok((running, step)))
            }
            None => {
                let end = self.preempt(running, facts, terms.due_at).await;
                end.map(Err).map_err(Into::into)
            }
        }
    }

    /// Nothing came in time: the generation is cancelled and the caller told so.
    fn too_late(&self, running: RunningTry<P>) -> refused::Refused {
        let body = shared::come_back(
            refusal::RefusalCode::DeadlineExceeded,
            "the first token did not come in time; ask again after the time given",
            USED_UP_RETRY,
        );
        running.grant.failed(port::FailureKind::Silent);
        running.ticket.refused(body)
    }

    /// Settles a try that was lost.
    async fn settle(
        &self,
        running: RunningTry<P>,
        loss: attempt::TryLoss,
        until: time::Instant,
    ) -> Result<TryEnd<P>, refused::Refused> {
        let RunningTry {
            mut live,
            ticket,
            grant,
            mark,
            probe,
        } = running;
        let server = live.target().key;
        let lost = settle::LostTry {
            target: live.target().clone(),
            generation: live.generation(),
            ticket,
        };
        let settled = lost.settle(&self.shared, loss.kind, until).await;
        // Not before: a request that is given up here must still cancel its generation.
        live.release();
        grant.failed(loss.kind.failure());
        drop((mark, probe));
        again(settled, server, loss.cause)
    }

    /// Stops a generation to make room, then waits for another place.
    async fn preempt(
        &self,
        running: RunningTry<P>,
        facts: &request::RequestFacts<request::GenerationWork>,
        until: time::Instant,
    ) -> Result<TryEnd<P>, refused::Refused> {
        let RunningTry {
            mut live,
            ticket,
            grant,
            mark,
            probe,
        } = running;
        self.shared.record(
            facts.id,
            kind::EventKind::RequestPreempted {
                server: live.target().name.clone(),
                produced: live.next_index(),
                reason: "engine memory".to_owned(),
            },
        );
        let lost = settle::LostTry {
            target: live.target().clone(),
            generation: live.generation(),
            ticket,
        };
        let settled = lost
            .settle(&self.shared, attempt::LossKind::Unreachable, until)
            .await;
        live.release();
        drop(mark);
        let permit = match settled {
            Ok(permit) => permit,
            Err(ticket) => {
                grant.failed(port::FailureKind::Silent);
                let cause = "a generation that was to be moved could not be stopped";
                return Err(ticket.refused(settle::unsettled(cause)));
            }
        };
        match time::timeout_at(until, grant.requeue()).await {
            Ok(Ok(grant)) => Ok(TryEnd::Moved {
                permit,
                grant,
                probe,
            }),
            Ok(Err(body)) => Err(permit.refused(body)),
            Err(_) => {
                let message = "it was stopped to make room and found no other place in time; ask \
                               again after the time given";
                let code = refusal::RefusalCode::DeadlineExceeded;
                Err(permit.refused(shared::come_back(code, message, USED_UP_RETRY)))
            }
        }
    }

    /// Ends a try whose answer was held here, and opens another.
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
            Some(loss) => self.settle(running, loss, until).await?,
            None => self.preempt(running, &facts, until).await?,
        };
        let routed = self.place_again(facts, claimed, end).await?;
        self.open(routed).await
    }

    async fn place_again(
        &self,
        mut facts: request::RequestFacts<request::GenerationWork>,
        claimed: GenerationClaimed<P>,
        end: TryEnd<P>,
    ) -> Result<GenerationRouted<P>, filter::EarlyEnd> {
        match end {
            TryEnd::Moved {
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
            TryEnd::Again {
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
                let again = request::Request {
                    facts,
                    permit,
                    stage: claimed,
                };
                self.placing.apply(again).await
            }
        }
    }
}

fn again<P: port::PortSet>(
    settled: Result<proof::StartPermit, proof::TryTicket>,
    server: id::ServerKey,
    cause: String,
) -> Result<TryEnd<P>, refused::Refused> {
    match settled {
        Ok(permit) => Ok(TryEnd::Again {
            permit,
            server,
            cause,
        }),
        Err(ticket) => Err(ticket.refused(settle::unsettled(&cause))),
    }
}

pub(crate) fn silent_limit(view: &view::PlaneView) -> Duration {
    Duration::from_millis(view.config.rules().time_limits.silent_connection_ms)
}

fn server_name(view: &view::PlaneView, server: id::ServerKey) -> String {
    let server = view.config.server(server);
    server.map(|server| server.name.clone()).unwrap_or_default()
}

fn dispatched(
    facts: &request::RequestFacts<request::GenerationWork>,
    target: &port::ServerTarget,
) -> kind::EventKind {
    kind::EventKind::RequestDispatched {
        server: target.name.clone(),
        attempt: facts.tries,
        candidates: 0,
        waited_ms: shared::millis_since(facts.arrived_at),
        reason: "granted".to_owned(),
    }
}

pub(crate) fn over_budget(delay: Duration) -> refusal::RefusalBody {
    shared::come_back(
        refusal::RefusalCode::Overloaded,
        "a try failed and the budget of retries is used up; ask again after the time given",
        delay,
    )
}

fn used_up(cause: &str) -> refusal::RefusalBody {
    let message = format!("{cause}; no try succeeded; ask again after the time given");
    shared::come_back(refusal::RefusalCode::Unavailable, message, USED_UP_RETRY)
}

//! One try of a generation with what it holds: its start, its first step, and its end.

use std::{sync, time::Duration};

use base::{id, refusal};
use tokio::time;
use trace::kind;

use crate::{
    admit, attempt, crash_tracker,
    port::{self, Grant as _},
    proof, quarantine, refused, request, settle, shared, view,
};

/// When to come back after nothing came in time.
const LATE_RETRY: Duration = Duration::from_secs(1);

/// Where a try is to run.
pub(crate) struct AttemptPlacement<P: port::PortSet> {
    pub(crate) target: port::ServerTarget,
    pub(crate) grant: admit::PlaceGrant<P>,
    pub(crate) mark: crash_tracker::RunGuard,
    pub(crate) probe: Option<quarantine::ProbePass>,
}

/// A try that is under way.
pub struct RunningAttempt<P: port::PortSet> {
    /// The generation.
    pub live: attempt::LiveTry<P>,
    /// What stays here while it runs.
    pub ticket: proof::TryTicket<proof::GenerationKind>,
    /// Its place.
    pub grant: admit::PlaceGrant<P>,
    /// Marks its content as running there.
    pub mark: crash_tracker::RunGuard,
    /// Held by a suspect.
    pub probe: Option<quarantine::ProbePass>,
}

/// What follows a try that ended without an answer.
pub(crate) enum AttemptEnd<P: port::PortSet> {
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
    /// The request ends here.
    Refused(refused::Refused),
}

impl<P: port::PortSet> AttemptEnd<P> {
    /// Another try, if the lost one could be settled.
    fn settled(
        settled: Result<proof::StartPermit, proof::TryTicket<proof::GenerationKind>>,
        server: id::ServerKey,
        cause: String,
    ) -> Self {
        match settled {
            Ok(permit) => Self::Again {
                permit,
                server,
                cause,
            },
            Err(ticket) => Self::Refused(ticket.refused(settle::unsettled(&cause))),
        }
    }
}

type Facts = request::RequestFacts<request::GenerationWork>;

impl<P: port::PortSet> AttemptPlacement<P> {
    /// Sends one start.
    pub(crate) async fn start(
        self,
        shared: &sync::Arc<shared::SharedPlane<P>>,
        facts: &Facts,
        terms: &request::Terms,
        permit: proof::StartPermit,
    ) -> Result<RunningAttempt<P>, AttemptEnd<P>> {
        shared.record(
            facts.id,
            dispatched(facts, &self.target, self.grant.reason()),
        );
        let order = start_order(shared, &facts.work, self.grant.priority());
        let outcome = attempt::LiveTry::start(
            shared.clone(),
            facts.id,
            self.target.clone(),
            &order,
            permit,
            silent_limit(&facts.view),
        );
        let server = self.target.key;
        match outcome.await {
            proof::TryOutcome::Ran((live, ticket)) => Ok(RunningAttempt {
                live,
                ticket,
                grant: self.grant,
                mark: self.mark,
                probe: self.probe,
            }),
            proof::TryOutcome::NotRun { permit, cause } => {
                self.grant.failed(port::FailureKind::Broken);
                Err(AttemptEnd::Again {
                    permit,
                    server,
                    cause,
                })
            }
            proof::TryOutcome::Unknown {
                ticket,
                cause,
                hopeless,
            } => {
                let lost = settle::LostTry {
                    target: self.target,
                    generation: order.id,
                    ticket,
                };
                let declined = attempt::LossKind::Declined;
                let settled = lost.settle(shared, declined, terms.due_at).await;
                self.grant.failed(port::FailureKind::Rejected);
                Err(match (settled, hopeless) {
                    (Ok(permit), Some(code)) => {
                        let body = refusal::RefusalBody::not_run(code, cause);
                        AttemptEnd::Refused(permit.refused(body))
                    }
                    (settled, _) => AttemptEnd::settled(settled, server, cause),
                })
            }
        }
    }
}

impl<P: port::PortSet> RunningAttempt<P> {
    /// Waits for the first token or the end.
    pub(crate) async fn first_step(
        mut self,
        shared: &sync::Arc<shared::SharedPlane<P>>,
        facts: &Facts,
        due_at: time::Instant,
    ) -> Result<(Self, attempt::TryStep), AttemptEnd<P>> {
        let step = {
            let Self { live, grant, .. } = &mut self;
            tokio::select! {
                biased;
                step = live.next() => Some(step),
                () = grant.preempted() => None,
                () = time::sleep_until(due_at) => return Err(self.too_late()),
            }
        };
        match step {
            Some(attempt::TryStep::Lost(loss)) => Err(self.settle(shared, loss, due_at).await),
            Some(step) => {
                self.ticket.saw_running();
                Ok((self, step))
            }
            None => Err(self.preempt(shared, facts.id, due_at).await),
        }
    }

    /// Nothing came in time: dropping the try cancels its generation.
    fn too_late(self) -> AttemptEnd<P> {
        let message = "the first token did not come in time; ask again after the time given";
        let code = refusal::RefusalCode::DeadlineExceeded;
        self.grant.failed(port::FailureKind::Silent);
        let body = shared::come_back(code, message, LATE_RETRY);
        AttemptEnd::Refused(self.ticket.refused(body))
    }

    /// Settles it after it was lost.
    pub(crate) async fn settle(
        self,
        shared: &sync::Arc<shared::SharedPlane<P>>,
        loss: attempt::TryLoss,
        until: time::Instant,
    ) -> AttemptEnd<P> {
        let server = self.live.target().key;
        let settled = settle_live(shared, self.live, self.ticket, loss.kind, until).await;
        self.grant.failed(loss.kind.failure());
        AttemptEnd::settled(settled, server, loss.cause)
    }

    /// Stops it to make room, then waits for another place.
    pub(crate) async fn preempt(
        self,
        shared: &sync::Arc<shared::SharedPlane<P>>,
        request: id::RequestId,
        until: time::Instant,
    ) -> AttemptEnd<P> {
        shared.record(
            request,
            kind::EventKind::RequestPreempted {
                server: self.live.target().name.clone(),
                produced: self.live.next_index(),
                reason: "engine memory".to_owned(),
            },
        );
        let kind = attempt::LossKind::Unreachable;
        let settled = settle_live(shared, self.live, self.ticket, kind, until).await;
        drop(self.mark);
        let permit = match settled {
            Ok(permit) => permit,
            Err(ticket) => {
                self.grant.failed(port::FailureKind::Silent);
                let cause = "a generation that was to be moved could not be stopped";
                return AttemptEnd::Refused(ticket.refused(settle::unsettled(cause)));
            }
        };
        match time::timeout_at(until, self.grant.requeue()).await {
            Ok(Ok(grant)) => AttemptEnd::Moved {
                permit,
                grant,
                probe: self.probe,
            },
            Ok(Err(body)) => AttemptEnd::Refused(permit.refused(body)),
            Err(_) => {
                let message = "it was stopped to make room and found no other place in time; ask \
                               again after the time given";
                let code = refusal::RefusalCode::DeadlineExceeded;
                let body = shared::come_back(code, message, LATE_RETRY);
                AttemptEnd::Refused(permit.refused(body))
            }
        }
    }
}

async fn settle_live<P: port::PortSet>(
    shared: &sync::Arc<shared::SharedPlane<P>>,
    mut live: attempt::LiveTry<P>,
    ticket: proof::TryTicket<proof::GenerationKind>,
    loss: attempt::LossKind,
    until: time::Instant,
) -> Result<proof::StartPermit, proof::TryTicket<proof::GenerationKind>> {
    let lost = settle::LostTry {
        target: live.target().clone(),
        generation: live.generation(),
        ticket,
    };
    let settled = lost.settle(shared, loss, until).await;
    // Not before: a request that is given up meanwhile must still cancel its generation.
    live.release();
    settled
}

fn start_order<P: port::PortSet>(
    shared: &shared::SharedPlane<P>,
    work: &request::GenerationWork,
    priority: u8,
) -> port::StartOrder {
    port::StartOrder {
        id: shared.draw_generation(),
        model: work.model.clone(),
        adapter: work.adapter.clone(),
        prompt: work.prompt_text(),
        max_tokens: work.max_tokens,
        priority,
        seed: work.body.seed,
    }
}

fn dispatched(
    facts: &Facts,
    target: &port::ServerTarget,
    reason: port::PlacementReason,
) -> kind::EventKind {
    kind::EventKind::RequestDispatched {
        server: target.name.clone(),
        attempt: facts.tries,
        candidates: reason.candidates,
        waited_ms: shared::millis_since(facts.arrived_at),
        reason: reason.text,
    }
}

pub(crate) fn silent_limit(view: &view::PlaneView) -> Duration {
    Duration::from_millis(view.config.rules().time_limits.silent_connection_ms)
}

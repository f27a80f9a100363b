//! One attempt of a generation with the resources it holds: its start, first step and end.

use std::{sync, time::Duration};

use base::{id, refusal};
use tokio::time;
use trace::kind;

use crate::{
    admit, attempt, crash_tracker,
    port::{self, Grant as _},
    proof, quarantine, refused, request, settle, shared, view,
};

/// Retry delay given when the deadline passed without a first token.
const DEADLINE_RETRY: Duration = Duration::from_secs(1);

/// Placement of an attempt that is about to start.
pub(crate) struct AttemptPlacement<P: port::PortSet> {
    pub(crate) target: port::ServerTarget,
    pub(crate) grant: admit::SlotGrant<P>,
    pub(crate) run_guard: crash_tracker::RunGuard,
    pub(crate) probe: Option<quarantine::ProbePermit>,
}

/// A started attempt.
pub struct RunningAttempt<P: port::PortSet> {
    /// The generation.
    pub live: attempt::LiveAttempt<P>,
    /// Records that the attempt was sent and is not settled yet.
    pub ticket: proof::AttemptTicket<proof::GenerationKind>,
    /// Its slot on the server.
    pub grant: admit::SlotGrant<P>,
    /// Counts its content as running on the server.
    pub run_guard: crash_tracker::RunGuard,
    /// Held if the content is a suspect, which runs alone.
    pub probe: Option<quarantine::ProbePermit>,
}

/// Result of an attempt that ended without an answer.
pub(crate) enum AttemptEnd<P: port::PortSet> {
    /// Another attempt may be started.
    Again {
        permit: proof::StartPermit,
        /// The server on which the attempt was lost.
        server: id::ServerKey,
        cause: String,
    },
    /// The scheduler preempted it and has placed it again.
    Moved {
        permit: proof::StartPermit,
        grant: admit::SlotGrant<P>,
        probe: Option<quarantine::ProbePermit>,
    },
    /// The request is refused.
    Refused(refused::Refused),
}

impl<P: port::PortSet> AttemptEnd<P> {
    /// Allows another attempt if the lost one could be settled, or refuses the request.
    fn settled(
        settled: Result<proof::StartPermit, proof::AttemptTicket<proof::GenerationKind>>,
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
    /// Starts the generation on the server.
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
        let start_request = start_request(shared, &facts.work, self.grant.priority());
        let outcome = attempt::LiveAttempt::start(
            shared.clone(),
            facts.id,
            self.target.clone(),
            &start_request,
            permit,
            silence_timeout(&facts.view),
        );
        let server = self.target.key;
        match outcome.await {
            proof::AttemptOutcome::Ran((live, ticket)) => Ok(RunningAttempt {
                live,
                ticket,
                grant: self.grant,
                run_guard: self.run_guard,
                probe: self.probe,
            }),
            proof::AttemptOutcome::NotRun { permit, cause } => {
                self.grant.failed(port::FailureKind::Broken);
                Err(AttemptEnd::Again {
                    permit,
                    server,
                    cause,
                })
            }
            proof::AttemptOutcome::Unknown {
                ticket,
                cause,
                permanent_refusal,
            } => {
                let lost = settle::LostAttempt {
                    target: self.target,
                    generation: start_request.id,
                    ticket,
                };
                let declined = attempt::LossKind::Declined;
                let settled = lost.settle(shared, declined, terms.due_at).await;
                self.grant.failed(port::FailureKind::Rejected);
                Err(match (settled, permanent_refusal) {
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
    /// Waits for the first token or the end of the generation.
    pub(crate) async fn first_step(
        mut self,
        shared: &sync::Arc<shared::SharedPlane<P>>,
        facts: &Facts,
        due_at: time::Instant,
    ) -> Result<(Self, attempt::AttemptStep), AttemptEnd<P>> {
        let step = {
            let Self { live, grant, .. } = &mut self;
            tokio::select! {
                biased;
                step = live.next() => Some(step),
                () = grant.preempted() => None,
                () = time::sleep_until(due_at) => return Err(self.deadline_exceeded()),
            }
        };
        match step {
            Some(attempt::AttemptStep::Lost(loss)) => Err(self.settle(shared, loss, due_at).await),
            Some(step) => {
                self.ticket.saw_running();
                Ok((self, step))
            }
            None => Err(self.preempt(shared, facts.id, due_at).await),
        }
    }

    /// Refuses the request because no first token arrived before the deadline. Dropping the
    /// attempt cancels its generation.
    fn deadline_exceeded(self) -> AttemptEnd<P> {
        let message = "the first token did not arrive in time; retry after the given time";
        let code = refusal::RefusalCode::DeadlineExceeded;
        self.grant.failed(port::FailureKind::Silent);
        let body = shared::retryable_refusal(code, message, DEADLINE_RETRY);
        AttemptEnd::Refused(self.ticket.refused(body))
    }

    /// Settles the attempt after its generation was lost.
    pub(crate) async fn settle(
        self,
        shared: &sync::Arc<shared::SharedPlane<P>>,
        loss: attempt::AttemptLoss,
        until: time::Instant,
    ) -> AttemptEnd<P> {
        let server = self.live.target().key;
        let settled = settle_live(shared, self.live, self.ticket, loss.kind, until).await;
        self.grant.failed(loss.kind.failure());
        AttemptEnd::settled(settled, server, loss.cause)
    }

    /// Stops the generation to free engine memory, then waits for another placement.
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
        drop(self.run_guard);
        let permit = match settled {
            Ok(permit) => permit,
            Err(ticket) => {
                self.grant.failed(port::FailureKind::Silent);
                let cause = "the preempted generation could not be stopped";
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
                let message = "the request was preempted to free memory and could not be placed \
                               again in time; retry after the given time";
                let code = refusal::RefusalCode::DeadlineExceeded;
                let body = shared::retryable_refusal(code, message, DEADLINE_RETRY);
                AttemptEnd::Refused(permit.refused(body))
            }
        }
    }
}

async fn settle_live<P: port::PortSet>(
    shared: &sync::Arc<shared::SharedPlane<P>>,
    mut live: attempt::LiveAttempt<P>,
    ticket: proof::AttemptTicket<proof::GenerationKind>,
    loss: attempt::LossKind,
    until: time::Instant,
) -> Result<proof::StartPermit, proof::AttemptTicket<proof::GenerationKind>> {
    let lost = settle::LostAttempt {
        target: live.target().clone(),
        generation: live.generation(),
        ticket,
    };
    let settled = lost.settle(shared, loss, until).await;
    // Not earlier: a request that is dropped during settling must still cancel its generation.
    live.release();
    settled
}

fn start_request<P: port::PortSet>(
    shared: &shared::SharedPlane<P>,
    work: &request::GenerationWork,
    priority: u8,
) -> port::StartRequest {
    port::StartRequest {
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
        attempt: facts.attempts,
        candidates: reason.candidates,
        waited_ms: shared::millis_since(facts.arrived_at),
        reason: reason.text,
    }
}

pub(crate) fn silence_timeout(view: &view::PlaneView) -> Duration {
    Duration::from_millis(view.config.rules().time_limits.silent_connection_ms)
}

//! Call filter, the last one for plain service calls: sends the call, and retries it only if it is
//! proved not to have run or is idempotent.

use std::{sync, time::Duration};

use base::refusal;
use tokio::time;
use trace::kind;

use crate::{
    admit, claim,
    filter::{self, Filter as _},
    link_error, opening,
    port::{self, Grant as _, ServiceLink as _},
    proof, quota, request, route, shared,
};

/// Retry delay after a call that failed.
const FAILED_CALL_RETRY: Duration = Duration::from_secs(1);

/// Stage of a call that has not been granted a slot.
type CallClaimed<P> = request::Claimed<quota::QuotaPermit<P>, Option<claim::HeldClaim<P>>>;

/// A call with a granted slot and the address of its server.
pub type CallRouted<P> = route::RoutedRequest<
    request::CallWork,
    quota::QuotaPermit<P>,
    Option<claim::HeldClaim<P>>,
    admit::SlotGrant<P>,
>;

/// Calls plain services.
#[derive(Clone, Debug)]
pub struct CallFilter<P: port::PortSet> {
    shared: sync::Arc<shared::SharedPlane<P>>,
    placement: opening::PlacementChain<P>,
}

impl<P: port::PortSet> CallFilter<P> {
    pub(crate) const fn new(
        shared: sync::Arc<shared::SharedPlane<P>>,
        placement: opening::PlacementChain<P>,
    ) -> Self {
        Self { shared, placement }
    }

    /// Sends one attempt and returns which of the three outcomes it had.
    async fn send(
        &self,
        facts: &request::RequestFacts<request::CallWork>,
        deadline: time::Instant,
        target: &port::ServerTarget,
        permit: proof::StartPermit,
    ) -> proof::AttemptOutcome<port::ServiceAnswer, proof::CallKind> {
        let raw = &facts.work.raw;
        let call = port::ServiceCall {
            request: facts.id,
            method: raw.method.clone(),
            path: raw.path.clone(),
            key: facts.headers.idempotency_key.clone(),
            content_type: raw.content_type.clone(),
            body: raw.body.clone(),
        };
        let time_left = deadline.saturating_duration_since(time::Instant::now());
        let (send, ticket) = permit.send();
        let answer = {
            let called = self
                .shared
                .ports
                .services()
                .call(target, &call, time_left, send);
            time::timeout_at(deadline, called).await
        };
        match answer {
            Ok(Ok(answer)) => proof::AttemptOutcome::Ran(answer),
            Ok(Err(link_error::CallError::NeverSent {
                evidence, cause, ..
            })) => proof::AttemptOutcome::NotRun {
                permit: ticket.never_sent(evidence),
                cause,
            },
            Ok(Err(lost @ link_error::CallError::Lost { .. })) => proof::AttemptOutcome::Unknown {
                ticket,
                cause: lost.to_string(),
                permanent_refusal: None,
            },
            Err(_) => proof::AttemptOutcome::Unknown {
                ticket,
                cause: format!("{} did not answer in time", target.name),
                permanent_refusal: None,
            },
        }
    }

    /// Acquires another slot for a call that may be retried.
    async fn retry(
        &self,
        mut facts: request::RequestFacts<request::CallWork>,
        claimed: CallClaimed<P>,
        permit: proof::StartPermit,
        server: &port::ServerTarget,
        cause: &str,
    ) -> Result<CallRouted<P>, filter::EarlyEnd> {
        let rules = &facts.view.config.rules().retries;
        if facts.attempts >= rules.max_tries {
            return Err(permit.refused(opening::attempts_exhausted(cause)).into());
        }
        self.shared.record(
            facts.id,
            kind::EventKind::RequestRetried {
                server: server.name.clone(),
                attempt: facts.attempts,
                ran: permit.ran(),
                reason: cause.to_owned(),
            },
        );
        facts.avoid.push(server.key);
        let retried = request::Request {
            facts,
            permit,
            stage: claimed,
        };
        self.placement.apply(retried).await
    }
}

impl<P: port::PortSet> filter::Filter<CallRouted<P>> for CallFilter<P> {
    type Out = port::ServiceAnswer;

    async fn apply(&self, input: CallRouted<P>) -> Result<port::ServiceAnswer, filter::EarlyEnd> {
        let mut routed = input;
        loop {
            let request::Request {
                mut facts,
                permit,
                stage,
            } = routed;
            let request::Routed { admitted, target } = stage;
            let mut claimed = admitted.cleared.claimed;
            if let Err(delay) = self.shared.take_attempt(facts.attempts, &facts.view.config) {
                return Err(permit
                    .refused(opening::retry_budget_exhausted(delay))
                    .into());
            }
            facts.attempts += 1;
            let due_at = claimed.terms.due_at;
            let deadline = attempt_deadline(&facts, due_at);
            if let Some(claim) = claimed.claim.as_mut()
                && !claim.begin_send(time::Instant::now())
            {
                return Err(permit.refused(lapsed()).into());
            }
            let outcome = self.send(&facts, deadline, &target, permit).await;
            let (permit, cause) = match outcome {
                proof::AttemptOutcome::Ran(answer) => {
                    admitted.grant.finished(0);
                    if let Some(claim) = claimed.claim.take() {
                        claim.settle(port::ClaimEnd::Answered(answer.clone()));
                    }
                    return Ok(answer);
                }
                proof::AttemptOutcome::NotRun { permit, cause } => {
                    admitted.grant.failed(port::FailureKind::Broken);
                    if let Some(claim) = claimed.claim.as_mut() {
                        claim.mark_not_run();
                    }
                    (permit, cause)
                }
                proof::AttemptOutcome::Unknown { ticket, cause, .. } => {
                    admitted.grant.failed(port::FailureKind::Silent);
                    match facts.work.repeat {
                        Some(repeat) if time::Instant::now() < due_at => {
                            (ticket.repeated(repeat), cause)
                        }
                        repeat => return Err(ticket.refused(may_have_run(&cause, repeat)).into()),
                    }
                }
            };
            routed = self.retry(facts, claimed, permit, &target, &cause).await?;
        }
    }
}

/// Deadline of one attempt.
///
/// An attempt of an idempotent call, unless it is the last one, gets half of the remaining time, so
/// that a hanging server leaves time for another one.
fn attempt_deadline(
    facts: &request::RequestFacts<request::CallWork>,
    due_at: time::Instant,
) -> time::Instant {
    let now = time::Instant::now();
    let is_last = facts.attempts >= facts.view.config.rules().retries.max_tries;
    if is_last || facts.work.repeat.is_none() {
        return due_at;
    }
    now + due_at.saturating_duration_since(now) / 2
}

fn lapsed() -> refusal::RefusalBody {
    let message = "the claim on the idempotency key lapsed before the call was sent; repeat it \
                   after the given time";
    shared::retryable_refusal(
        refusal::RefusalCode::DeadlineExceeded,
        message,
        FAILED_CALL_RETRY,
    )
}

fn may_have_run(cause: &str, repeat: Option<proof::RepeatPermit>) -> refusal::RefusalBody {
    let code = refusal::RefusalCode::BackendFault;
    if repeat.is_some() {
        let message = format!("{cause}; retry after the given time");
        return shared::retryable_refusal(code, message, FAILED_CALL_RETRY);
    }
    let message =
        format!("{cause}; look up whether the call ran before calling again with another key");
    refusal::RefusalBody::not_run(code, message)
}

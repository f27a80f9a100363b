//! Filter, the last one for plain service calls: call, and call again only where that is proved
//! or allowed.

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

/// When to come back after a call did not run.
const NOT_RUN_RETRY: Duration = Duration::from_secs(1);

/// What a call's request holds before it has a place.
type CallClaimed<P> = request::Claimed<quota::QuotaPermit<P>, Option<claim::HeldClaim<P>>>;

/// A call's request with a place.
pub type CallRouted<P> = route::RoutedRequest<
    request::CallWork,
    quota::QuotaPermit<P>,
    Option<claim::HeldClaim<P>>,
    admit::PlaceGrant<P>,
>;

/// Calls plain services.
#[derive(Clone, Debug)]
pub struct CallFilter<P: port::PortSet> {
    shared: sync::Arc<shared::SharedPlane<P>>,
    placing: opening::PlacingChain<P>,
}

impl<P: port::PortSet> CallFilter<P> {
    pub(crate) const fn new(
        shared: sync::Arc<shared::SharedPlane<P>>,
        placing: opening::PlacingChain<P>,
    ) -> Self {
        Self { shared, placing }
    }

    /// Sends one try and says which of the three it was.
    async fn send(
        &self,
        facts: &request::RequestFacts<request::CallWork>,
        until: time::Instant,
        target: &port::ServerTarget,
        permit: proof::StartPermit,
    ) -> proof::TryOutcome<port::ServiceAnswer, proof::CallKind> {
        let raw = &facts.work.raw;
        let call = port::ServiceCall {
            request: facts.id,
            method: raw.method.clone(),
            path: raw.path.clone(),
            key: facts.headers.idempotency_key.clone(),
            content_type: raw.content_type.clone(),
            body: raw.body.clone(),
        };
        let time_left = until.saturating_duration_since(time::Instant::now());
        let (send, ticket) = permit.send();
        let answer = {
            let called = self
                .shared
                .ports
                .services()
                .call(target, &call, time_left, send);
            time::timeout_at(until, called).await
        };
        match answer {
            Ok(Ok(answer)) => proof::TryOutcome::Ran(answer),
            Ok(Err(link_error::CallError::NeverSent {
                evidence, cause, ..
            })) => proof::TryOutcome::NotRun {
                permit: ticket.never_sent(evidence),
                cause,
            },
            Ok(Err(lost @ link_error::CallError::Lost { .. })) => proof::TryOutcome::Unknown {
                ticket,
                cause: lost.to_string(),
                hopeless: None,
            },
            Err(_) => proof::TryOutcome::Unknown {
                ticket,
                cause: format!("{} did not answer in time", target.name),
                hopeless: None,
            },
        }
    }

    /// Another place for a call that may be tried again.
    async fn place_again(
        &self,
        mut facts: request::RequestFacts<request::CallWork>,
        claimed: CallClaimed<P>,
        permit: proof::StartPermit,
        server: &port::ServerTarget,
        cause: &str,
    ) -> Result<CallRouted<P>, filter::EarlyEnd> {
        let rules = &facts.view.config.rules().retries;
        if facts.tries >= rules.max_tries {
            return Err(permit.refused(opening::used_up(cause)).into());
        }
        self.shared.record(
            facts.id,
            kind::EventKind::RequestRetried {
                server: server.name.clone(),
                attempt: facts.tries,
                ran: permit.ran(),
                reason: cause.to_owned(),
            },
        );
        facts.avoid.push(server.key);
        let again = request::Request {
            facts,
            permit,
            stage: claimed,
        };
        self.placing.apply(again).await
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
            let fraction = facts.view.config.rules().retries.budget_fraction;
            if let Err(delay) = self.shared.take_try(facts.tries, fraction) {
                return Err(permit.refused(opening::over_budget(delay)).into());
            }
            facts.tries += 1;
            let due_at = claimed.terms.due_at;
            let until = try_until(&facts, due_at);
            if let Some(claim) = claimed.claim.as_mut()
                && !claim.leave(time::Instant::now())
            {
                return Err(permit.refused(lapsed()).into());
            }
            let outcome = self.send(&facts, until, &target, permit).await;
            let (permit, cause) = match outcome {
                proof::TryOutcome::Ran(answer) => {
                    admitted.grant.finished(0);
                    if let Some(claim) = claimed.claim.take() {
                        claim.settle(port::ClaimEnd::Answered(answer.clone()));
                    }
                    return Ok(answer);
                }
                proof::TryOutcome::NotRun { permit, cause } => {
                    admitted.grant.failed(port::FailureKind::Broken);
                    if let Some(claim) = claimed.claim.as_mut() {
                        claim.came_back();
                    }
                    (permit, cause)
                }
                proof::TryOutcome::Unknown { ticket, cause, .. } => {
                    admitted.grant.failed(port::FailureKind::Silent);
                    match facts.work.repeat {
                        Some(repeat) if time::Instant::now() < due_at => {
                            (ticket.repeated(repeat), cause)
                        }
                        repeat => return Err(ticket.refused(may_have_run(&cause, repeat)).into()),
                    }
                }
            };
            routed = self
                .place_again(facts, claimed, permit, &target, &cause)
                .await?;
        }
    }
}

/// Until when one try may take.
///
/// A call that may be repeated leaves half of its time for another server: one that hangs would
/// take it all otherwise.
fn try_until(
    facts: &request::RequestFacts<request::CallWork>,
    due_at: time::Instant,
) -> time::Instant {
    let now = time::Instant::now();
    let is_last = facts.tries >= facts.view.config.rules().retries.max_tries;
    if is_last || facts.work.repeat.is_none() {
        return due_at;
    }
    now + due_at.saturating_duration_since(now) / 2
}

fn lapsed() -> refusal::RefusalBody {
    let message = "the claim on the idempotency key lapsed before the call could leave; repeat it \
                   after the time given";
    shared::come_back(
        refusal::RefusalCode::DeadlineExceeded,
        message,
        NOT_RUN_RETRY,
    )
}

fn may_have_run(cause: &str, repeat: Option<proof::RepeatPermit>) -> refusal::RefusalBody {
    let code = refusal::RefusalCode::BackendFault;
    if repeat.is_some() {
        let message = format!("{cause}; ask again after the time given");
        return shared::come_back(code, message, NOT_RUN_RETRY);
    }
    let message = format!("{cause}; look up whether it did before calling again with another key");
    refusal::RefusalBody::not_run(code, message)
}

//! Deduplication filter: runs at most one call per idempotency key.

use std::{sync, time::Duration};

use base::{outcome, refusal};
use tokio::time;

use crate::{
    claim, filter,
    port::{self, ClaimStore as _},
    refused, request, shared,
};

/// Maximum time by which a key may lie in the future, in milliseconds. The window of a later key
/// would end after the claim store has forgotten it.
const CLOCK_SKEW_MS: u64 = 10_000;

/// Retry delay after an earlier call with the key may have run, in milliseconds.
const UNKNOWN_RETRY_MS: u64 = 1_000;

/// Claims the idempotency key of a call that must run at most once.
#[derive(Clone, Debug)]
pub struct DeduplicateFilter<P> {
    shared: sync::Arc<shared::SharedPlane<P>>,
}

/// A request that holds the claim on its idempotency key, or needs none.
pub type ClaimedRequest<P, W, Q> =
    request::Request<W, request::Claimed<Q, Option<claim::HeldClaim<P>>>>;

impl<P: port::PortSet> DeduplicateFilter<P> {
    /// Creates the filter of one request plane.
    #[must_use]
    pub const fn new(shared: sync::Arc<shared::SharedPlane<P>>) -> Self {
        Self { shared }
    }

    /// Builds the claim request; `None` if the work may be repeated.
    fn claim_request<W: request::Work>(
        &self,
        facts: &request::RequestFacts<W>,
        terms: &request::Terms,
    ) -> Result<Option<port::ClaimRequest>, refusal::RefusalBody> {
        let Some(call) = facts.work.at_most_once() else {
            return Ok(None);
        };
        let Some(key) = facts.headers.idempotency_key.as_deref() else {
            return Err(refusal::RefusalBody::not_run(
                refusal::RefusalCode::IdempotencyKeyRequired,
                "this call is not idempotent; send `Idempotency-Key: <unix milliseconds>-<text>`",
            ));
        };
        let window_ms = facts.view.config.rules().time_limits.idempotency_window_ms;
        let key_made_ms = key_time(key, self.shared.now_ms(), window_ms)?;
        let organisation = facts.view.config.organisation(terms.organisation);
        Ok(Some(port::ClaimRequest {
            request: facts.id,
            organisation: organisation
                .map(|view| view.name.clone())
                .unwrap_or_default(),
            service: call.service.to_owned(),
            key: key.to_owned(),
            key_made_ms,
            content: call.content,
            holds_for: terms.time_limit + self.shared.settings.claim_margin,
        }))
    }
}

impl<P: port::PortSet> DeduplicateFilter<P> {
    /// Claims a key in a separate task.
    ///
    /// A caller may disconnect while the claim is appended. Without a task of its own the claim
    /// would stay on the log for a call that is never sent, and repeats would be answered as
    /// unknown although nothing ran. The task either hands the claim to the request or releases it.
    async fn claim(
        &self,
        request: port::ClaimRequest,
        due_at: time::Instant,
    ) -> Result<claim::HeldClaim<P>, port::ClaimAnswer> {
        let shared = self.shared.clone();
        let pass = shared.gate.extend();
        let claiming = tokio::spawn(async move {
            let _pass = pass;
            match shared.ports.claims().claim(request).await {
                port::ClaimAnswer::Fresh(hold) => Ok(claim::HeldClaim::new(shared, hold)),
                other => Err(other),
            }
        });
        match time::timeout_at(due_at, claiming).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => Err(port::ClaimAnswer::Refused(unanswered())),
        }
    }
}

impl<P: port::PortSet, W: request::Work, Q: Send + Sync>
    filter::Filter<request::Request<W, request::Metered<Q>>> for DeduplicateFilter<P>
{
    type Out = ClaimedRequest<P, W, Q>;

    async fn apply(
        &self,
        input: request::Request<W, request::Metered<Q>>,
    ) -> Result<Self::Out, filter::EarlyEnd> {
        let claimed = |input: request::Request<W, request::Metered<Q>>, claim| {
            input.advance(|metered| request::Claimed {
                terms: metered.terms,
                quota: metered.quota,
                claim,
            })
        };
        let request = match self.claim_request(&input.facts, &input.stage.terms) {
            Ok(Some(request)) => request,
            Ok(None) => return Ok(claimed(input, None)),
            Err(body) => return Err(input.refused(body).into()),
        };
        let due_at = input.stage.terms.due_at;
        let answer = match self.claim(request, due_at).await {
            Ok(claim) => return Ok(claimed(input, Some(claim))),
            Err(answer) => answer,
        };
        match answer {
            port::ClaimAnswer::Stored(answer) => Err(filter::EarlyEnd::Stored(answer)),
            port::ClaimAnswer::Refused(body) => Err(input.refused(body).into()),
            // Unreachable: `Self::claim` returns fresh claims as `Ok`.
            port::ClaimAnswer::Fresh(_) => Err(input.refused(unanswered()).into()),
            port::ClaimAnswer::InProgress { retry_after_ms } => {
                let message = "a call with this idempotency key is in progress; repeat the call \
                               later to get its answer";
                Err(earlier_call_refusal(
                    refusal::RefusalCode::InProgress,
                    message,
                    retry_after_ms,
                ))
            }
            port::ClaimAnswer::Unknown => {
                let message = "an earlier call with this idempotency key may have run; look up \
                               whether it did before using another key";
                Err(earlier_call_refusal(
                    refusal::RefusalCode::BackendFault,
                    message,
                    UNKNOWN_RETRY_MS,
                ))
            }
            port::ClaimAnswer::Mismatch => {
                let body = refusal::RefusalBody::not_run(
                    refusal::RefusalCode::BadRequest,
                    "this idempotency key was used for another call; use a new key for each call",
                );
                Err(input.refused(body).into())
            }
        }
    }
}

/// Retry delay after a claim that was not answered in time.
const UNANSWERED_RETRY: Duration = Duration::from_secs(1);

/// Refusal for a claim that was not answered in time. The claim may be on the log; it is released,
/// since the call is not sent.
fn unanswered() -> refusal::RefusalBody {
    let message = "the claim on the idempotency key was not answered in time, so the call was not \
                   sent; repeat it after the given time";
    shared::retryable_refusal(
        refusal::RefusalCode::DeadlineExceeded,
        message,
        UNANSWERED_RETRY,
    )
}

/// Refusal of a repeated call: its outcome is that of the first call, which is not known.
fn earlier_call_refusal(
    code: refusal::RefusalCode,
    message: &str,
    retry_after_ms: u64,
) -> filter::EarlyEnd {
    let body = refusal::RefusalBody::not_run(code, message).retry_after_ms(retry_after_ms);
    refused::Refused::for_repeat(body, outcome::RanState::Unknown).into()
}

/// Parses the time in a key and checks that it lies within the deduplication window.
fn key_time(key: &str, now_ms: u64, window_ms: u64) -> Result<u64, refusal::RefusalBody> {
    let made_ms = key
        .split_once('-')
        .and_then(|(time, _)| time.parse::<u64>().ok())
        .ok_or_else(|| {
            refusal::RefusalBody::not_run(
                refusal::RefusalCode::BadRequest,
                "the idempotency key has no timestamp; send `<unix milliseconds>-<text>`",
            )
        })?;
    let window = Duration::from_millis(window_ms);
    if made_ms.saturating_add(window_ms) <= now_ms {
        return Err(refusal::RefusalBody::not_run(
            refusal::RefusalCode::IdempotencyKeyExpired,
            format!(
                "the idempotency key is older than {} s, so it is no longer known whether a call \
                 with it ran; look that up, then use a new key",
                window.as_secs()
            ),
        )
        .ran(outcome::RanState::Unknown));
    }
    if made_ms > now_ms.saturating_add(CLOCK_SKEW_MS) {
        return Err(refusal::RefusalBody::not_run(
            refusal::RefusalCode::BadRequest,
            "the time in the idempotency key is in the future; correct the caller's clock",
        ));
    }
    Ok(made_ms)
}

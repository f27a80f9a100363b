//! Filter: has a call with this idempotency key been made?

use std::{sync, time::Duration};

use base::{outcome, refusal};
use tokio::time;

use crate::{
    claim, filter,
    port::{self, ClaimStore as _},
    refused, request, shared,
};

/// A key that claims to be from further ahead than this is refused: its window would end later
/// than the claim book remembers it.
const CLOCK_SKEW_MS: u64 = 10_000;

/// When to ask again while another call with the key is under way.
const UNKNOWN_RETRY_MS: u64 = 1_000;

/// Claims the idempotency key of a call that must run at most once.
#[derive(Clone, Debug)]
pub struct DeduplicateFilter<P> {
    shared: sync::Arc<shared::SharedPlane<P>>,
}

/// A request that may leave as far as its key is concerned.
pub type ClaimedRequest<P, W, Q> =
    request::Request<W, request::Claimed<Q, Option<claim::HeldClaim<P>>>>;

impl<P: port::PortSet> DeduplicateFilter<P> {
    /// The filter of one plane.
    #[must_use]
    pub const fn new(shared: sync::Arc<shared::SharedPlane<P>>) -> Self {
        Self { shared }
    }

    /// The claim to make; absent when the work may be repeated.
    fn claim_ask<W: request::Work>(
        &self,
        facts: &request::RequestFacts<W>,
        terms: &request::Terms,
    ) -> Result<Option<port::ClaimRequest>, refusal::RefusalBody> {
        let Some(once) = facts.work.run_once() else {
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
            service: once.service.to_owned(),
            key: key.to_owned(),
            key_made_ms,
            content: once.content,
            holds_for: terms.time_limit + self.shared.settings.claim_margin,
        }))
    }
}

impl<P: port::PortSet> DeduplicateFilter<P> {
    /// Claims a key, in a task of its own.
    ///
    /// What goes wrong otherwise: a caller goes away while the claim is appended, and the claim
    /// stands for a call that is never sent. One would notice keys that are told as unknown
    /// although nothing ran. In its own task the claim comes to its holder, or is given back.
    async fn claim(
        &self,
        ask: port::ClaimRequest,
        due_at: time::Instant,
    ) -> Result<claim::HeldClaim<P>, port::ClaimAnswer> {
        let shared = self.shared.clone();
        let pass = shared.gate.extend();
        let claiming = tokio::spawn(async move {
            let _pass = pass;
            match shared.ports.claims().claim(ask).await {
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
        let ask = match self.claim_ask(&input.facts, &input.stage.terms) {
            Ok(Some(ask)) => ask,
            Ok(None) => return Ok(claimed(input, None)),
            Err(body) => return Err(input.refused(body).into()),
        };
        let due_at = input.stage.terms.due_at;
        let answer = match self.claim(ask, due_at).await {
            Ok(claim) => return Ok(claimed(input, Some(claim))),
            Err(answer) => answer,
        };
        match answer {
            port::ClaimAnswer::Stored(answer) => Err(filter::EarlyEnd::Stored(answer)),
            port::ClaimAnswer::Refused(body) => Err(input.refused(body).into()),
            // Taken out above.
            port::ClaimAnswer::Fresh(_) => Err(input.refused(unanswered()).into()),
            port::ClaimAnswer::InProgress { retry_after_ms } => {
                let message = "a call with this idempotency key is in progress; repeat it later \
                               for its answer";
                Err(earlier_call(
                    refusal::RefusalCode::InProgress,
                    message,
                    retry_after_ms,
                ))
            }
            port::ClaimAnswer::Unknown => {
                let message = "an earlier call with this idempotency key may have run; look up \
                               whether it did before using another key";
                Err(earlier_call(
                    refusal::RefusalCode::BackendFault,
                    message,
                    UNKNOWN_RETRY_MS,
                ))
            }
            port::ClaimAnswer::Mismatch => {
                let body = refusal::RefusalBody::not_run(
                    refusal::RefusalCode::BadRequest,
                    "this idempotency key was used for another call; draw a new key for each call",
                );
                Err(input.refused(body).into())
            }
        }
    }
}

/// When to ask again after a claim was not answered in time.
const UNANSWERED_RETRY: Duration = Duration::from_secs(1);

/// The claim may be on the log; it is given back, as the call is not sent.
fn unanswered() -> refusal::RefusalBody {
    let message = "the claim on the idempotency key was not answered in time, so the call was not \
                   sent; repeat it after the time given";
    shared::come_back(
        refusal::RefusalCode::DeadlineExceeded,
        message,
        UNANSWERED_RETRY,
    )
}

/// What a repeat is told: its fate is that of the first call, which is not known.
fn earlier_call(
    code: refusal::RefusalCode,
    message: &str,
    retry_after_ms: u64,
) -> filter::EarlyEnd {
    let body = refusal::RefusalBody::not_run(code, message).retry_after_ms(retry_after_ms);
    refused::Refused::of_claim(body, outcome::RanState::Unknown).into()
}

/// The time that a key carries, when it lies in the window in which repeats are recognised.
fn key_time(key: &str, now_ms: u64, window_ms: u64) -> Result<u64, refusal::RefusalBody> {
    let made_ms = key
        .split_once('-')
        .and_then(|(time, _)| time.parse::<u64>().ok())
        .ok_or_else(|| {
            refusal::RefusalBody::not_run(
                refusal::RefusalCode::BadRequest,
                "the idempotency key carries no time; send `<unix milliseconds>-<text>`",
            )
        })?;
    let window = Duration::from_millis(window_ms);
    if made_ms.saturating_add(window_ms) <= now_ms {
        return Err(refusal::RefusalBody::not_run(
            refusal::RefusalCode::IdempotencyKeyExpired,
            format!(
                "the idempotency key is older than {} s; whether it ran is no longer known here, \
                 so look that up, then draw a new key",
                window.as_secs()
            ),
        )
        .ran(outcome::RanState::Unknown));
    }
    if made_ms > now_ms.saturating_add(CLOCK_SKEW_MS) {
        return Err(refusal::RefusalBody::not_run(
            refusal::RefusalCode::BadRequest,
            "the idempotency key is from the future; set the caller's clock",
        ));
    }
    Ok(made_ms)
}

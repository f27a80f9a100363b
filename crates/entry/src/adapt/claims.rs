//! Claims on idempotency keys for the request plane, recorded on the log.

use std::{collections, sync};

use base::{id, outcome, refusal};
use flow::port;
use ledger::{claim_calls, claims, permit};

use crate::adapt::peers;

/// Retry delay for a repeated call while the first one is in progress.
const IN_PROGRESS_RETRY_MS: u64 = 500;
/// Retry delay for a call whose claim the log could not record.
const LOG_DOWN_RETRY_MS: u64 = 2_000;

/// Claims on the log, with the permits of the claims that this process holds.
pub struct LogClaims {
    router: peers::EntryRouter,
    /// One permit for each claim that is held and not yet settled.
    permits: sync::Mutex<collections::HashMap<id::RecordId, permit::SendPermit>>,
}

impl std::fmt::Debug for LogClaims {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("LogClaims").finish_non_exhaustive()
    }
}

impl LogClaims {
    /// Creates a store that makes claims through `router`.
    #[must_use]
    pub fn new(router: peers::EntryRouter) -> Self {
        Self {
            router,
            permits: sync::Mutex::default(),
        }
    }

    fn permits(
        &self,
    ) -> sync::MutexGuard<'_, collections::HashMap<id::RecordId, permit::SendPermit>> {
        self.permits
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl port::ClaimStore for LogClaims {
    async fn claim(&self, request: port::ClaimRequest) -> port::ClaimAnswer {
        let call = permit::ClaimCall {
            organisation: request.organisation.clone(),
            key: request.key.clone(),
            content: request.content,
        };
        match self.router.claim(call).await {
            permit::ClaimAnswer::Granted(permit) => {
                let hold = port::ClaimHold {
                    record: permit.claim(),
                    deadline: permit.deadline(),
                    claim: request,
                };
                self.permits().insert(hold.record, permit);
                port::ClaimAnswer::Fresh(hold)
            }
            permit::ClaimAnswer::Stored(outcome) => match service_answer(outcome) {
                Some(answer) => port::ClaimAnswer::Stored(answer),
                None => port::ClaimAnswer::Refused(answer_not_kept()),
            },
            permit::ClaimAnswer::InProgress => port::ClaimAnswer::InProgress {
                retry_after_ms: IN_PROGRESS_RETRY_MS,
            },
            permit::ClaimAnswer::Unknown => port::ClaimAnswer::Unknown,
            permit::ClaimAnswer::OtherContent => port::ClaimAnswer::Mismatch,
            permit::ClaimAnswer::Refused(refused) => port::ClaimAnswer::Refused(refusal(&refused)),
        }
    }

    async fn store(
        &self,
        hold: port::ClaimHold,
        end: port::ClaimEnd,
    ) -> Result<(), refusal::RefusalBody> {
        let Some(permit) = self.permits().remove(&hold.record) else {
            return Ok(());
        };
        let outcome = match end {
            port::ClaimEnd::Answered(answer) => claims::SettledOutcome::Ran(stored(answer)),
            port::ClaimEnd::NotRun => claims::SettledOutcome::NotRun,
            // Not settling the claim leaves the outcome of the key unknown, as it is.
            port::ClaimEnd::Unknown => return Ok(()),
        };
        if self.router.settle(permit, outcome).await == claim_calls::RecordReply::NotRecorded {
            // The permit is consumed; to other VMs the outcome of the key stays unknown, which is
            // correct.
            metrics::counter!("pollenchute_entry_claim_ends_lost_total").increment(1);
        }
        Ok(())
    }

    fn seen(&self, _organisation: &str, _key: &str) -> bool {
        false
    }
}

fn stored(answer: port::ServiceAnswer) -> claims::StoredOutcome {
    claims::StoredOutcome {
        status: answer.status,
        content_type: answer.content_type,
        body: Some(claims::StoredBody(answer.body)),
    }
}

fn service_answer(outcome: claims::StoredOutcome) -> Option<port::ServiceAnswer> {
    Some(port::ServiceAnswer {
        status: outcome.status,
        content_type: outcome.content_type,
        body: outcome.body?.0,
    })
}

fn answer_not_kept() -> refusal::RefusalBody {
    let message = "the call with this key ran, but its answer was too large to keep; look the \
                   outcome up, and do not send it under another key";
    refusal::RefusalBody::not_run(refusal::RefusalCode::BackendFault, message)
        .ran(outcome::RanState::Yes)
}

fn refusal(refused: &permit::ClaimRefused) -> refusal::RefusalBody {
    let (code, message, retry_after_ms) = match refused.cause {
        Some(claim_calls::RefusalCause::KeyMalformed) => (
            refusal::RefusalCode::BadRequest,
            "an idempotency key is `<unix milliseconds>-<any text>`; draw one with its time",
            None,
        ),
        Some(claim_calls::RefusalCause::OutsideWindow) => (
            refusal::RefusalCode::IdempotencyKeyExpired,
            "the idempotency key is too old to determine whether the call ran; look the outcome up, then \
             draw a new key",
            None,
        ),
        Some(claim_calls::RefusalCause::Withdrawn) => (
            refusal::RefusalCode::Unavailable,
            "the claim was withdrawn before the call was sent; send the call again",
            Some(IN_PROGRESS_RETRY_MS),
        ),
        Some(claim_calls::RefusalCause::Full) => (
            refusal::RefusalCode::Overloaded,
            "too many idempotency keys are stored; send the call again later",
            Some(LOG_DOWN_RETRY_MS),
        ),
        Some(claim_calls::RefusalCause::NotAppended(_) | claim_calls::RefusalCause::Unsettled)
        | None => (
            refusal::RefusalCode::Unavailable,
            "the log cannot record the claim, without which this call is not sent; send it again",
            Some(LOG_DOWN_RETRY_MS),
        ),
    };
    let body = refusal::RefusalBody::not_run(code, message).ran(refused.ran);
    match retry_after_ms {
        Some(delay_ms) => body.retry_after_ms(delay_ms),
        None => body,
    }
}

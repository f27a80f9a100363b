//! Appends an operator's change to the log and waits for its outcome.

use std::time::Duration;

use base::{ops, refusal};
use conf::{change, state as config_state};
use ledger::{client, client::LogClient as _};
use tokio::time;

use crate::{configure, state};

/// Timeout for the decision.
const DECISION_TIMEOUT: Duration = Duration::from_secs(5);

/// Publishes one change. Repeating a request is harmless, because only the first record with an id
/// is applied.
///
/// # Errors
///
/// A refusal when it is certain that nothing was appended.
pub async fn publish(
    entry: &state::EntryState,
    request: ops::PublishAsk,
) -> Result<ops::PublishAnswer, refusal::RefusalBody> {
    // A repeated request that was decided already needs no second record.
    if let Some(decided) = entry.active_config.decided(request.record) {
        return Ok(answer(&request, decided));
    }
    let change = change::ConfigChange {
        id: request.record,
        base_revision: request.base_revision,
        author: request.author.clone(),
        comment: request.comment.clone(),
        patch: request.change.clone(),
    };
    let mut decisions = entry.active_config.decisions();
    let mut appended = false;
    for record in change.records() {
        match entry.log.append(configure::STREAM, record.into()).await {
            Ok(_) => appended = true,
            // The record may be on the log nevertheless; reading the log shows it.
            Err(error) if error.may_have_taken_effect() => appended = true,
            Err(error) if appended => {
                return Ok(ops::PublishAnswer::Undecided {
                    reason: error.to_string(),
                });
            }
            Err(error) => return Err(not_appended(&error)),
        }
    }
    let deadline = time::Instant::now() + DECISION_TIMEOUT;
    loop {
        decisions.mark_unchanged();
        if let Some(decided) = entry.active_config.decided(request.record) {
            return Ok(answer(&request, decided));
        }
        if time::timeout_at(deadline, decisions.changed())
            .await
            .is_err()
        {
            let reason = "the log did not show the change in time; send the same request again";
            return Ok(ops::PublishAnswer::Undecided {
                reason: reason.to_owned(),
            });
        }
    }
}

/// Retry delay for a change that the log did not accept.
const LOG_DOWN_RETRY_MS: u64 = 2_000;

fn not_appended(error: &client::AppendError) -> refusal::RefusalBody {
    refusal::RefusalBody::not_run(refusal::RefusalCode::Unavailable, error.to_string())
        .retry_after_ms(LOG_DOWN_RETRY_MS)
}

fn answer(request: &ops::PublishAsk, decided: configure::DecidedChange) -> ops::PublishAnswer {
    match decided.verdict {
        config_state::ApplyVerdict::Accepted { revision } => ops::PublishAnswer::Accepted {
            revision,
            offset: decided.offset,
        },
        config_state::ApplyVerdict::Conflict(report) => conflict(request.base_revision, report),
        config_state::ApplyVerdict::Invalid(faults) => {
            let faults = faults.faults.iter().map(ToString::to_string).collect();
            ops::PublishAnswer::Invalid { faults }
        }
        other => ops::PublishAnswer::Undecided {
            reason: format!("{other:?}"),
        },
    }
}

fn conflict(base_revision: u64, report: config_state::ConflictReport) -> ops::PublishAnswer {
    let dotted = |paths: &[Vec<String>]| paths.iter().map(|path| path.join(".")).collect();
    let since = report
        .since
        .iter()
        .map(|entry| ops::ConflictEntry {
            revision: entry.revision,
            author: entry.author.clone(),
            comment: entry.comment.clone(),
            paths: dotted(&entry.paths),
        })
        .collect();
    ops::PublishAnswer::Conflict {
        base_revision,
        current_revision: report.revision,
        since,
        overlapping: dotted(&report.overlapping),
    }
}

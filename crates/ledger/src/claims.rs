//! Idempotency claims: their time limits and their entries on the `calls-` streams.

use base::{fingerprint, id};
use snafu::Snafu;

use crate::record;

/// Time limits of claims. They must be equal in all processes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClaimLimits {
    /// Maximum age of a key's timestamp at the time of the claim's record.
    pub window_ms: u64,
    /// Maximum lead of a caller's clock over the log's clock, and maximum step back of the log's
    /// clock.
    pub margin_ms: u64,
    /// Retention of the log as guaranteed by its operators; younger records are still on the log.
    pub retention_ms: u64,
    /// Time within which the holder of a claim must send its call, or not send it at all.
    pub hold_ms: u64,
    /// Time after sending within which a call must have its outcome.
    pub run_ms: u64,
    /// Maximum drift of the log's clock ahead of a holder's clock during one claim.
    pub drift_ms: u64,
    /// Maximum size of an answer's body that is stored for repeated calls, in bytes.
    pub max_kept_bytes: usize,
}

impl Default for ClaimLimits {
    fn default() -> Self {
        Self {
            window_ms: 600_000,
            margin_ms: 60_000,
            retention_ms: 3_600_000,
            hold_ms: 5_000,
            run_ms: 10_000,
            drift_ms: 2_000,
            max_kept_bytes: 16 * 1024,
        }
    }
}

/// An error for time limits that contradict one another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum LimitsError {
    /// The log could drop a claim while its key is still accepted.
    #[snafu(display(
        "the log keeps records for {retention_ms} ms, but idempotency keys need {needed_ms} ms: \
         shorten idempotency_window_ms or have the log keep records longer"
    ))]
    RetentionShort {
        /// Retention of the log.
        retention_ms: u64,
        /// Minimum retention for claims.
        needed_ms: u64,
    },
}

impl ClaimLimits {
    /// Returns the time for which a claim must stay readable.
    ///
    /// Two claims of one key are both accepted only if the key's timestamp lies within `[at -
    /// window, at + margin]` of each claim's record, so the records are at most `window + margin`
    /// apart. Another margin covers steps of the log's clock, and the holder of the later claim may
    /// still act for `hold` after its record.
    #[must_use]
    pub const fn needed_retention_ms(&self) -> u64 {
        self.window_ms + 2 * self.margin_ms + self.hold_ms
    }

    /// Checks that the log retains every claim for as long as it is relevant.
    ///
    /// # Errors
    /// Returns an error if the retention of the log is too short.
    pub const fn check(&self) -> Result<(), LimitsError> {
        let needed_ms = self.needed_retention_ms();
        if self.retention_ms < needed_ms {
            let retention_ms = self.retention_ms;
            return Err(LimitsError::RetentionShort {
                retention_ms,
                needed_ms,
            });
        }
        Ok(())
    }

    /// Whether a key with timestamp `key_ms` may be claimed by a record with timestamp `at_ms`.
    ///
    /// Without the limit on the age, a key could run again after retention dropped its first claim.
    /// Without the limit on the future, a key's window could outlast the retention of that claim.
    #[must_use]
    pub const fn admits(&self, key_ms: u64, at_ms: u64) -> bool {
        at_ms <= key_ms.saturating_add(self.window_ms)
            && key_ms <= at_ms.saturating_add(self.margin_ms)
    }
}

/// Returns the timestamp of an idempotency key of the form `<unix milliseconds>-<any text>`.
#[must_use]
pub fn key_time_ms(key: &str) -> Option<u64> {
    let (digits, text) = key.split_once('-')?;
    if text.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    digits.parse().ok()
}

/// The answer to a call, stored for repeated calls.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct StoredOutcome {
    /// HTTP status of the answer.
    pub status: u16,
    /// Value of the `Content-Type` header.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content_type: Option<String>,
    /// The body; `None` if it was too large to be stored.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<StoredBody>,
}

/// The body of a stored answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct StoredBody(#[serde(with = "record::base64_bytes")] pub bytes::Bytes);

/// Outcome of the holder's attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SettledOutcome {
    /// The call ran; contains its answer.
    Ran(StoredOutcome),
    /// The call provably did not run and the holder will never send it; the key becomes free.
    NotRun,
}

/// An entry on a `calls-` stream.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ClaimEntry {
    /// A claim of a key. The entry's id is the claim's id.
    Claim(ClaimItem),
    /// The end of a claim.
    Settle(SettleItem),
    /// An entry of a later version.
    #[serde(other)]
    Other,
}

/// A claim of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ClaimItem {
    /// The organisation that the key belongs to.
    pub organisation: String,
    /// The idempotency key as the caller sent it.
    pub key: String,
    /// Hash of the call's content. The same key with different content is a different call.
    pub content: fingerprint::ContentHash,
    /// Name of the entry VM that would send the call.
    pub holder: String,
    /// Time within which the holder must send, counted from before its append.
    pub hold_ms: u64,
    /// Time after sending within which the call must have its outcome.
    pub run_ms: u64,
}

/// The end of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct SettleItem {
    /// The claim that ends.
    pub claim: id::RecordId,
    /// The organisation that the key belongs to.
    pub organisation: String,
    /// The key that was claimed.
    pub key: String,
    /// Outcome of the holder's attempt.
    pub outcome: SettledOutcome,
}

/// Decision of the fold on an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The claim holds its key.
    Held,
    /// Another claim holds the key.
    Taken(KeyView),
    /// The key's timestamp is outside the window at the time of the claim's record.
    OutsideWindow,
    /// The key was used for a call with different content.
    OtherContent,
    /// The claim does not hold its key, because it was withdrawn before or the key has too many
    /// claims.
    Withdrawn,
    /// The end of a claim was recorded, now or earlier.
    Settled,
}

/// State of a key as reported to a repeated call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyView {
    /// The call ran; contains its answer.
    Stored(StoredOutcome),
    /// The call is in progress or, after `until_ms` on the log's clock, its outcome is unknown.
    Pending {
        /// Time on the log's clock after which the outcome is unknown.
        until_ms: u64,
    },
}

/// Removes the outcome's body if it is larger than `max_kept_bytes`.
#[must_use]
pub fn without_large_body(mut outcome: StoredOutcome, max_kept_bytes: usize) -> StoredOutcome {
    if outcome
        .body
        .as_ref()
        .is_some_and(|body| body.0.len() > max_kept_bytes)
    {
        outcome.body = None;
    }
    outcome
}

//! Idempotency claims: their time limits, and what the `calls-` streams say about them.

use base::{fingerprint, id};
use snafu::Snafu;

use crate::record;

/// Time limits of claims. All processes use the same ones.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClaimLimits {
    /// A key whose own time is further back than this at the claim's record is refused.
    pub window_ms: u64,
    /// Most by which a caller's clock is ahead of the log's, and most by which the log's clock
    /// goes back.
    pub margin_ms: u64,
    /// Records younger than this are on the log, as its operators promise.
    pub retention_ms: u64,
    /// The holder of a claim sends its call within this time, or not at all.
    pub hold_ms: u64,
    /// Once sent, a call has its outcome within this time, or none.
    pub run_ms: u64,
    /// Most by which the log's clock runs ahead of a holder's over the life of one claim.
    pub drift_ms: u64,
    /// Bytes of an answer's body that are kept for a repeated call.
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

/// Time limits that contradict one another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum LimitsError {
    /// A claim could be dropped from the log while its key is still accepted.
    #[snafu(display(
        "the log keeps records for {retention_ms} ms, but idempotency keys need {needed_ms} ms: \
         shorten idempotency_window_ms or have the log keep records longer"
    ))]
    RetentionShort {
        /// Time for which the log keeps records.
        retention_ms: u64,
        /// Time for which claims must stay readable.
        needed_ms: u64,
    },
}

impl ClaimLimits {
    /// Time for which a claim must stay readable.
    ///
    /// Two claims of one key are both accepted only when each key's own time lies within
    /// `[at - window, at + margin]` of its record, so they are at most `window + margin` apart.
    /// Another margin covers the log's clock, and the later one's holder may still act `hold`
    /// after its record.
    #[must_use]
    pub const fn needed_retention_ms(&self) -> u64 {
        self.window_ms + 2 * self.margin_ms + self.hold_ms
    }

    /// Checks that no claim is forgotten while it matters.
    ///
    /// # Errors
    /// When the log keeps records for too short a time.
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

    /// Whether a key of `key_ms` may be claimed by a record of `at_ms`.
    ///
    /// Without the lower bound a key would run again once retention has dropped its first claim;
    /// without the upper one a key from the future would outlive that claim.
    #[must_use]
    pub const fn admits(&self, key_ms: u64, at_ms: u64) -> bool {
        at_ms <= key_ms.saturating_add(self.window_ms)
            && key_ms <= at_ms.saturating_add(self.margin_ms)
    }
}

/// The time that an idempotency key carries: `<unix milliseconds>-<any text>`.
#[must_use]
pub fn key_time_ms(key: &str) -> Option<u64> {
    let (digits, text) = key.split_once('-')?;
    if text.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    digits.parse().ok()
}

/// The answer to a call, as it is kept for a repeated call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct StoredOutcome {
    /// HTTP status of the answer.
    pub status: u16,
    /// Value of its `Content-Type` header.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content_type: Option<String>,
    /// Its body; absent when it was larger than what is kept.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<StoredBody>,
}

/// The body of a kept answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct StoredBody(#[serde(with = "record::base64_bytes")] pub bytes::Bytes);

/// How the holder's try ended.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SettledOutcome {
    /// It ran and this was the answer.
    Ran(StoredOutcome),
    /// It is proved that it did not run, and the holder will never send it: the key is free.
    NotRun,
}

/// What a record on a `calls-` stream says.
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
    /// Hash of the call's content: a key that returns with another content is another call.
    pub content: fingerprint::ContentHash,
    /// Name of the entry VM that would send the call.
    pub holder: String,
    /// The holder sends within this time, counted from before its append.
    pub hold_ms: u64,
    /// Once sent, the call has its outcome within this time.
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
    /// How it ended.
    pub outcome: SettledOutcome,
}

/// What the fold decides about an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The claim holds its key.
    Held,
    /// Another claim holds the key.
    Taken(KeyView),
    /// The key's own time is outside the window at the claim's record.
    OutsideWindow,
    /// The key was used for a call with another content.
    OtherContent,
    /// The claim was withdrawn before, or its key has had too many claims; it holds nothing.
    Withdrawn,
    /// An end of a claim was recorded, now or earlier.
    Settled,
}

/// A key as a caller that repeats it sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyView {
    /// The call ran; this was its answer.
    Stored(StoredOutcome),
    /// The call is under way, or, after `until_ms` on the log's clock, its outcome is unknown.
    Open {
        /// On the log's clock.
        until_ms: u64,
    },
}

/// The outcome without a body that is larger than what is kept.
#[must_use]
pub fn bounded(mut outcome: StoredOutcome, max_kept_bytes: usize) -> StoredOutcome {
    if outcome
        .body
        .as_ref()
        .is_some_and(|body| body.0.len() > max_kept_bytes)
    {
        outcome.body = None;
    }
    outcome
}

//! Requests and replies about idempotency claims between entry VMs.

use base::{fingerprint, id, outcome};

use crate::{appender, claims};

/// A request to claim a key, possibly from another entry VM.
///
/// Sending the request twice, also to two processes at once, is harmless as long as `claim` is the
/// same: the fold recognises the repetition.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ClaimRequest {
    /// Random id of the claim, chosen by its holder.
    pub claim: id::RecordId,
    /// The organisation that the key belongs to.
    pub organisation: String,
    /// The idempotency key as the caller sent it.
    pub key: String,
    /// Hash of the call's content.
    pub content: fingerprint::ContentHash,
    /// Name of the entry VM that would send the call.
    pub holder: String,
    /// Time that the requester waits for a reply, in milliseconds.
    pub wait_ms: u64,
}

/// The reply to a [`ClaimRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimReply {
    /// The claim holds its key: the holder may send the call before its deadline.
    Held,
    /// The key's call ran; contains its answer.
    Stored(claims::StoredOutcome),
    /// The key's call is in progress.
    InProgress,
    /// The key's call may have run. Its outcome stays unknown unless the holder still reports it.
    Unknown,
    /// The key was used for a call with different content.
    OtherContent,
    /// The claim does not hold its key.
    Refused(ClaimRefusal),
}

/// The refusal of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ClaimRefusal {
    /// Cause of the refusal.
    pub cause: RefusalCause,
    /// Whether the claim may nevertheless be on the log. Its holder then decides never to send the
    /// call and settles the claim as not run, so that the key becomes free.
    pub may_be_on_log: bool,
}

/// Cause of the refusal of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCause {
    /// The key does not contain a timestamp.
    KeyMalformed,
    /// The key's timestamp is too old or lies in the future.
    OutsideWindow,
    /// The claim was withdrawn before.
    Withdrawn,
    /// This process holds the maximum number of keys.
    Full,
    /// The claim is not on the log.
    NotAppended(appender::NotAppended),
    /// The claim's record was not read back in time.
    Unsettled,
}

impl RefusalCause {
    /// Returns whether a call with this key may have run *earlier*, as far as the refusal shows.
    ///
    /// The refused attempt itself never runs. A key that is refused for its age, however, may have
    /// run within its window, and its state is no longer available.
    #[must_use]
    pub const fn ran(self) -> outcome::RanState {
        match self {
            Self::OutsideWindow => outcome::RanState::Unknown,
            _ => outcome::RanState::No,
        }
    }
}

/// A request to record the end of a claim, possibly from another entry VM. Sending it twice is
/// harmless.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct SettleRequest {
    /// Random id of the entry, chosen by the holder.
    pub entry: id::RecordId,
    /// The end of the claim.
    pub item: claims::SettleItem,
    /// Time that the requester waits for a reply, in milliseconds.
    pub wait_ms: u64,
}

/// The reply to a request that only records something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordReply {
    /// The report is on the log, or came too late to have an effect.
    Recorded,
    /// The report may not be on the log and must be sent again.
    NotRecorded,
}

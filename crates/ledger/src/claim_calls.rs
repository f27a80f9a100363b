//! What entry VMs ask one another about idempotency claims.

use base::{fingerprint, id, outcome};

use crate::{appender, claims};

/// A claim that is asked for, possibly by another entry VM.
///
/// Asking twice, also two processes at once, is harmless as long as `claim` is the same: the fold
/// knows it again.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ClaimRequest {
    /// Id of the claim, drawn by its holder.
    pub claim: id::RecordId,
    /// The organisation that the key belongs to.
    pub organisation: String,
    /// The idempotency key as the caller sent it.
    pub key: String,
    /// Hash of the call's content.
    pub content: fingerprint::ContentHash,
    /// Name of the entry VM that would send the call.
    pub holder: String,
    /// How long the asker waits for a reply, in milliseconds.
    pub wait_ms: u64,
}

/// What became of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimReply {
    /// The claim holds its key: its holder may send the call before its deadline.
    Held,
    /// The key's call ran; this was its answer.
    Stored(claims::StoredOutcome),
    /// The key's call is under way.
    InProgress,
    /// The key's call may have run; its outcome will not be known unless its holder reports late.
    Unknown,
    /// The key was used for a call with another content.
    OtherContent,
    /// The claim holds nothing.
    Refused(ClaimRefusal),
}

/// A claim that holds nothing, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ClaimRefusal {
    /// Why.
    pub cause: RefusalCause,
    /// Whether the claim may be on the log all the same: its holder, once it has decided never to
    /// send, ends it as not run so that the key becomes free.
    pub may_be_on_log: bool,
}

/// Why a claim holds nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCause {
    /// The key does not carry its own time.
    KeyMalformed,
    /// The key's own time is too old, or lies in the future.
    OutsideWindow,
    /// The claim was withdrawn before.
    Withdrawn,
    /// This process remembers as many keys as it can.
    Full,
    /// The claim is not on the log.
    NotAppended(appender::NotAppended),
    /// The claim's record was not read back in time.
    Unsettled,
}

impl RefusalCause {
    /// Whether a call with this key may have run *earlier*, as far as the refusal tells.
    ///
    /// The refused try itself never runs. But a key that is refused for its age may have run
    /// within its window, and cannot be asked about any more.
    #[must_use]
    pub const fn ran(self) -> outcome::RanState {
        match self {
            Self::OutsideWindow => outcome::RanState::Unknown,
            _ => outcome::RanState::No,
        }
    }
}

/// An end of a claim, possibly reported by another entry VM. Asking twice is harmless.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct SettleRequest {
    /// Id of the entry, drawn by the holder.
    pub entry: id::RecordId,
    /// The end of the claim.
    pub item: claims::SettleItem,
    /// How long the asker waits for a reply, in milliseconds.
    pub wait_ms: u64,
}

/// Whether a report is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordReply {
    /// It is on the log, or too late to matter.
    Recorded,
    /// It may not be on the log; report it again.
    NotRecorded,
}

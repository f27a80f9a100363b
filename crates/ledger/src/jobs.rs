//! What the `jobs-` streams say about work that may wait.

use base::id;

use crate::{parts, record};

/// Time limits and bounds of deferrable work. All processes use the same times.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct JobLimits {
    /// A holder that has not renewed for this long may be superseded.
    pub hold_ms: u64,
    /// Added to `hold_ms` before another claim counts: the log's clock against a holder's.
    pub margin_ms: u64,
    /// Work that was appended longer ago than this is appended again, well before the log's
    /// retention would drop it.
    pub carry_after_ms: u64,
    /// A result is kept this long after it was fetched.
    pub fetched_kept_ms: u64,
    /// Ids of forgotten work, and parts without an owner, are remembered for this long.
    pub memory_ms: u64,
    /// Bytes of one part.
    pub part_bytes: usize,
    /// Bytes of requests and results that one partition keeps at the most.
    pub max_held_bytes: usize,
}

impl Default for JobLimits {
    fn default() -> Self {
        Self {
            hold_ms: 15_000,
            margin_ms: 5_000,
            carry_after_ms: 1_000_000,
            fetched_kept_ms: 600_000,
            memory_ms: 600_000,
            part_bytes: 96 * 1024,
            max_held_bytes: 64 * 1024 * 1024,
        }
    }
}

/// What a record on a `jobs-` stream says.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum JobEntry {
    /// Work is accepted.
    Accept(AcceptItem),
    /// A part of the bytes of a later entry.
    Part(parts::PartItem),
    /// Somebody wants to do the work. The entry's id is the claim's id.
    Claim(JobClaimItem),
    /// The holder is still at it.
    Renew(HolderItem),
    /// The holder gives the work back.
    Release(HolderItem),
    /// The work is done.
    Finish(FinishItem),
    /// The result was handed to its caller.
    Fetched(FetchedItem),
    /// The state of some work, appended again before retention drops it.
    Carry(CarryItem),
    /// An entry of a later version.
    #[serde(other)]
    Other,
}

/// Work is accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct AcceptItem {
    /// The request.
    pub job: id::RequestId,
    /// The organisation that it belongs to.
    pub organisation: String,
    /// How long its result is kept, in milliseconds.
    pub kept_ms: u64,
    /// What is to be done, in the form of whoever does it.
    pub body: parts::PartedBytes,
}

/// Somebody wants to do some work.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct JobClaimItem {
    /// The work.
    pub job: id::RequestId,
    /// Name of the entry VM that wants to do it.
    pub holder: String,
    /// It renews within this time, counted from before its append, or stops.
    pub hold_ms: u64,
}

/// A holder speaks of its work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct HolderItem {
    /// The work.
    pub job: id::RequestId,
    /// The holder's claim.
    pub claim: id::RecordId,
}

/// Some work is done.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct FinishItem {
    /// The work.
    pub job: id::RequestId,
    /// The claim under which it was done.
    pub claim: id::RecordId,
    /// The answer, in the form of whoever did it.
    pub result: parts::PartedBytes,
}

/// A result was handed to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct FetchedItem {
    /// The work.
    pub job: id::RequestId,
}

/// The state of some work as its writer had read it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct CarryItem {
    /// The work.
    pub job: id::RequestId,
    /// The organisation that it belongs to.
    pub organisation: String,
    /// When it was accepted, on the log's clock.
    pub accepted_ms: u64,
    /// How long its result is kept, in milliseconds.
    pub kept_ms: u64,
    /// The request while it is unfinished, then the result.
    pub bytes: parts::PartedBytes,
    /// How far it has come.
    pub stage: JobStage,
}

/// How far some work has come.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(tag = "stage", rename_all = "snake_case")]
pub enum JobStage {
    /// Nobody does it.
    Waiting,
    /// Somebody does it.
    Held(HeldStage),
    /// It is done.
    Finished(FinishedStage),
}

/// Somebody does some work.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct HeldStage {
    /// The newest claim that counts.
    pub claim: id::RecordId,
    /// Name of the entry VM.
    pub holder: String,
    /// It renews within this time or stops.
    pub hold_ms: u64,
    /// Its last sign of life on the log's clock.
    pub alive_ms: u64,
}

/// Some work is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct FinishedStage {
    /// The claim under which it was done.
    pub claim: id::RecordId,
    /// When, on the log's clock.
    pub at_ms: u64,
    /// When the result was first handed out, on the log's clock.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fetched_ms: Option<u64>,
}

/// What the fold decides about an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobVerdict {
    /// The work is accepted, now or earlier.
    Accepted,
    /// The claim holds the work.
    Taken,
    /// The claim does not hold the work: somebody else does, or it is done or not known.
    NotTaken,
    /// The holder's sign of life counts.
    Renewed,
    /// The result counts, now or earlier.
    Kept,
    /// The claim is not the newest one: what its holder says counts no more.
    Superseded,
    /// Parts of the bytes are missing; append them again, then the entry under a new id.
    Incomplete,
    /// The entry was written on an outdated view of the stream, and has no effect.
    Stale,
    /// The entry is taken.
    Noted,
}

/// Some work as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum JobView {
    /// It waits.
    Waiting,
    /// It is being done.
    Running,
    /// It is done; this is the whole answer.
    Finished(JobResult),
}

/// The whole answer of some work.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct JobResult {
    /// In the form of whoever did it.
    #[serde(with = "record::base64_bytes")]
    pub bytes: bytes::Bytes,
}

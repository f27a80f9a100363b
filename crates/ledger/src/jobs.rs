//! Deferrable jobs: their limits and their entries on the `jobs-` streams.

use base::id;

use crate::{parts, record};

/// Limits of deferrable jobs. The times must be equal in all processes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct JobLimits {
    /// Time without a renewal after which a holder may be superseded.
    pub hold_ms: u64,
    /// Added to `hold_ms` before another claim can take the job; covers the drift between the log's
    /// clock and a holder's clock.
    pub margin_ms: u64,
    /// Time after which a job is appended again, well before the log's retention would drop it.
    pub carry_after_ms: u64,
    /// Time for which a result is kept after it was fetched.
    pub fetched_kept_ms: u64,
    /// Time for which ids of expired jobs and parts without an owner are kept.
    pub memory_ms: u64,
    /// Maximum size of one part, in bytes.
    pub part_bytes: usize,
    /// Maximum total size of requests and results in one partition, in bytes.
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

/// An entry on a `jobs-` stream.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum JobEntry {
    /// Accepts a job.
    Accept(AcceptItem),
    /// One part of the bytes of a later entry.
    Part(parts::PartItem),
    /// Claims a job. The entry's id is the claim's id.
    Claim(JobClaimItem),
    /// Renews the claim on a job.
    Renew(HolderItem),
    /// Releases a job.
    Release(HolderItem),
    /// Records the result of a job.
    Finish(FinishItem),
    /// Records that the caller received the result.
    Fetched(FetchedItem),
    /// The state of a job, appended again before retention drops it.
    Carry(CarryItem),
    /// An entry of a later version.
    #[serde(other)]
    Other,
}

/// The acceptance of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct AcceptItem {
    /// Id of the request.
    pub job: id::RequestId,
    /// The organisation that the job belongs to.
    pub organisation: String,
    /// Time for which the result is kept, in milliseconds.
    pub kept_ms: u64,
    /// The request to execute, in the executor's format.
    pub body: parts::SplitBytes,
}

/// A claim on a job.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct JobClaimItem {
    /// Id of the job.
    pub job: id::RequestId,
    /// Name of the entry VM that claims the job.
    pub holder: String,
    /// Time, counted from before its append, within which the holder must renew or stop.
    pub hold_ms: u64,
}

/// A job and the claim of its holder, for renewals and releases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct HolderItem {
    /// Id of the job.
    pub job: id::RequestId,
    /// The holder's claim.
    pub claim: id::RecordId,
}

/// The result of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct FinishItem {
    /// Id of the job.
    pub job: id::RequestId,
    /// The claim under which the job was executed.
    pub claim: id::RecordId,
    /// The answer, in the executor's format.
    pub result: parts::SplitBytes,
}

/// Records that the caller of a job received its result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct FetchedItem {
    /// Id of the job.
    pub job: id::RequestId,
}

/// The state of a job as read by the entry's writer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct CarryItem {
    /// Id of the job.
    pub job: id::RequestId,
    /// The organisation that the job belongs to.
    pub organisation: String,
    /// Time of acceptance on the log's clock.
    pub accepted_ms: u64,
    /// Time for which the result is kept, in milliseconds.
    pub kept_ms: u64,
    /// The request while the job is unfinished, then the result.
    pub bytes: parts::SplitBytes,
    /// Stage of the job.
    pub stage: JobStage,
}

/// Stage of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(tag = "stage", rename_all = "snake_case")]
pub enum JobStage {
    /// Nobody holds the job.
    Waiting,
    /// A holder executes the job.
    Held(HeldStage),
    /// The job is finished.
    Finished(FinishedStage),
}

/// The holder of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct HeldStage {
    /// The newest claim that took the job.
    pub claim: id::RecordId,
    /// Name of the entry VM that holds the job.
    pub holder: String,
    /// Time within which the holder must renew or stop.
    pub hold_ms: u64,
    /// Time of the claim or the last renewal on the log's clock.
    pub alive_ms: u64,
}

/// The completion of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct FinishedStage {
    /// The claim under which the job was executed.
    pub claim: id::RecordId,
    /// Time of completion on the log's clock.
    pub at_ms: u64,
    /// Time at which the result was first fetched, on the log's clock.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fetched_ms: Option<u64>,
}

/// Decision of the fold on an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobVerdict {
    /// The job is accepted, now or earlier.
    Accepted,
    /// The claim holds the job.
    Taken,
    /// The claim does not hold the job: another one does, or the job is finished or not known.
    NotTaken,
    /// The renewal took effect.
    Renewed,
    /// The result is stored, now or earlier.
    Kept,
    /// The claim is not the newest one; entries of its holder have no effect.
    Superseded,
    /// Parts of the bytes are missing; they must be appended again, then the entry under a new id.
    Incomplete,
    /// The entry was based on an outdated state of the stream and has no effect.
    Stale,
    /// The entry was applied.
    Applied,
}

/// State of a job as reported to its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum JobView {
    /// The job is waiting.
    Waiting,
    /// The job is being executed.
    Running,
    /// The job is finished; contains the complete answer.
    Finished(JobResult),
}

/// The complete answer of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct JobResult {
    /// The answer, in the executor's format.
    #[serde(with = "record::base64_bytes")]
    pub bytes: bytes::Bytes,
}

//! Requests and replies about deferrable jobs between entry VMs.

use base::id;

use crate::{appender, jobs, record};

/// A request to accept a job. Sending it twice, also through two processes, is harmless.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct AcceptRequest {
    /// Random id of the entry, chosen by the requester.
    pub entry: id::RecordId,
    /// Id of the request, which determines the job's partition.
    pub job: id::RequestId,
    /// The organisation that the job belongs to.
    pub organisation: String,
    /// Time for which the result is kept, in milliseconds.
    pub kept_ms: u64,
    /// The request to execute.
    #[serde(with = "record::base64_bytes")]
    pub body: bytes::Bytes,
    /// Time that the requester waits for a reply, in milliseconds.
    pub wait_ms: u64,
}

/// The reply to an [`AcceptRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AcceptReply {
    /// The job is on the log and will be executed.
    Accepted,
    /// The job is not accepted, and will not be unless it is requested again.
    NotAccepted(AcceptRefusal),
    /// The job may be accepted; a later fetch by its id shows whether it is.
    Unknown,
}

/// The reason why a job is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AcceptRefusal {
    /// The partition holds the maximum number of bytes.
    Full,
    /// The job is not on the log.
    NotAppended(appender::NotAppended),
}

/// A request to take a job.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct TakeRequest {
    /// Random id, different for every request. The id of the claim is derived from it and the job:
    /// two processes that both receive the request may choose different jobs, and a verdict on one
    /// claim must not be mistaken for a verdict on the other.
    pub claim: id::RecordId,
    /// Name of the entry VM that requests the job.
    pub holder: String,
    /// Time that the requester waits for a reply, in milliseconds.
    pub wait_ms: u64,
}

/// The reply to a [`TakeRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TakeReply {
    /// The requester holds this job.
    Taken(JobGrant),
    /// No job is available now.
    Nothing,
    /// The log cannot be used now.
    Unavailable,
}

/// A job held by a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct JobGrant {
    /// Id of the job.
    pub job: id::RequestId,
    /// The claim that holds the job.
    pub claim: id::RecordId,
    /// The organisation that the job belongs to.
    pub organisation: String,
    /// The request to execute.
    #[serde(with = "record::base64_bytes")]
    pub body: bytes::Bytes,
    /// Time, counted from its request, within which the holder must renew or stop.
    pub hold_ms: u64,
}

/// A request to renew the claims of one holder on all its jobs in the partition.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct RenewRequest {
    /// One renewal for each job.
    pub entries: Vec<RenewEntry>,
    /// Time that the requester waits for a reply, in milliseconds.
    pub wait_ms: u64,
}

/// A renewal of the claim on one job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct RenewEntry {
    /// Random id of the entry, chosen by the holder.
    pub entry: id::RecordId,
    /// The job and the claim that holds it.
    pub item: jobs::HolderItem,
}

/// Outcome of one renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RenewState {
    /// The claim is extended, counted from before the request.
    Renewed,
    /// The claim is not the newest one; the holder must stop.
    Superseded,
    /// The outcome is unknown; the previous time limit remains in force.
    Unsettled,
}

/// A request to record a result. Sending it twice is harmless.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct FinishRequest {
    /// Random id of the entry, chosen by the holder.
    pub entry: id::RecordId,
    /// Id of the job.
    pub job: id::RequestId,
    /// The claim under which the job was executed.
    pub claim: id::RecordId,
    /// The complete answer.
    #[serde(with = "record::base64_bytes")]
    pub result: bytes::Bytes,
    /// Time that the requester waits for a reply, in milliseconds.
    pub wait_ms: u64,
}

/// The reply to a [`FinishRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReply {
    /// The result is stored as the only result of the job.
    Kept,
    /// The claim is not the newest one; the result is discarded.
    Superseded,
    /// The result may not be on the log and must be sent again.
    NotRecorded,
}

/// The reply to a request for the state of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FetchReply {
    /// The job was accepted.
    Found(FoundJob),
    /// The job was never accepted, or its result has expired.
    NotFound,
    /// The log cannot be read now; the job may have been accepted.
    Unavailable,
}

/// An accepted job.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct FoundJob {
    /// The organisation that the job belongs to; the state must not be shown to any other.
    pub organisation: String,
    /// State of the job.
    pub view: jobs::JobView,
}

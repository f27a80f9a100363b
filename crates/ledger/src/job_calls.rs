//! What entry VMs ask one another about deferrable work.

use base::id;

use crate::{appender, jobs, record};

/// Work that is to be accepted. Asking twice, also through two processes, is harmless.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct AcceptRequest {
    /// Id of the entry, drawn by the asker.
    pub entry: id::RecordId,
    /// The request; its id tells the partition.
    pub job: id::RequestId,
    /// The organisation that it belongs to.
    pub organisation: String,
    /// How long its result is kept, in milliseconds.
    pub kept_ms: u64,
    /// What is to be done.
    #[serde(with = "record::base64_bytes")]
    pub body: bytes::Bytes,
    /// How long the asker waits for a reply, in milliseconds.
    pub wait_ms: u64,
}

/// Whether work is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AcceptReply {
    /// It is on the log and will be done.
    Accepted,
    /// It is not accepted, and will not be unless it is asked for again.
    NotAccepted(AcceptRefusal),
    /// It may be accepted; its id tells later.
    Unknown,
}

/// Why work is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AcceptRefusal {
    /// The partition holds as many bytes as it may.
    Full,
    /// The work is not on the log.
    NotAppended(appender::NotAppended),
}

/// Somebody wants work.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct TakeRequest {
    /// Drawn by the asker; every request has another one. The claim's id follows from it and the
    /// work: two processes that are both asked may find different work, and a verdict about the
    /// one must not pass for a verdict about the other.
    pub claim: id::RecordId,
    /// Name of the entry VM that wants to do the work.
    pub holder: String,
    /// How long the asker waits for a reply, in milliseconds.
    pub wait_ms: u64,
}

/// What there is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TakeReply {
    /// This work.
    Taken(JobGrant),
    /// Nothing now.
    Nothing,
    /// The log cannot be used now.
    Unavailable,
}

/// Work that a claim holds.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct JobGrant {
    /// The work.
    pub job: id::RequestId,
    /// The claim that holds it.
    pub claim: id::RecordId,
    /// The organisation that it belongs to.
    pub organisation: String,
    /// What is to be done.
    #[serde(with = "record::base64_bytes")]
    pub body: bytes::Bytes,
    /// The holder renews within this time of asking, or stops.
    pub hold_ms: u64,
}

/// Signs of life of one holder for all its work in the partition.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct RenewRequest {
    /// One for each piece of work.
    pub entries: Vec<RenewEntry>,
    /// How long the asker waits for a reply, in milliseconds.
    pub wait_ms: u64,
}

/// A sign of life for one piece of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct RenewEntry {
    /// Id of the entry, drawn by the holder.
    pub entry: id::RecordId,
    /// The work and the claim that holds it.
    pub item: jobs::HolderItem,
}

/// What became of one sign of life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RenewState {
    /// The work is held on, counted from before the request.
    Renewed,
    /// The claim is not the newest one: stop.
    Superseded,
    /// Not known; the earlier time limit stands.
    Unsettled,
}

/// A result. Asking twice is harmless.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct FinishRequest {
    /// Id of the entry, drawn by the holder.
    pub entry: id::RecordId,
    /// The work.
    pub job: id::RequestId,
    /// The claim under which it was done.
    pub claim: id::RecordId,
    /// The whole answer.
    #[serde(with = "record::base64_bytes")]
    pub result: bytes::Bytes,
    /// How long the asker waits for a reply, in milliseconds.
    pub wait_ms: u64,
}

/// What became of a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReply {
    /// It is the one result of the work.
    Kept,
    /// The claim is not the newest one: the result does not count.
    Superseded,
    /// It may not be on the log; report it again.
    NotRecorded,
}

/// What is known of some work.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FetchReply {
    /// It is accepted.
    Found(FoundJob),
    /// It was never accepted, or its time is up.
    NotFound,
    /// The log cannot be read now; the work may be accepted all the same.
    Unavailable,
}

/// Some accepted work.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct FoundJob {
    /// The organisation that it belongs to; nobody else may learn more.
    pub organisation: String,
    /// How far it is.
    pub view: jobs::JobView,
}

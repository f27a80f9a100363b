//! Interfaces between the request plane and the rest of the system.
//!
//! Links carry calls to backend servers and report only what they know; the plane decides on time
//! limits, retries and cancellation. Every future may be dropped at any await.

use std::{future, net, time::Duration};

use base::{class, fingerprint, id, refusal};
use conf::rules;
use tokio::time;
use trace::kind;

use crate::{link_error, proof};

/// Identity and address of a backend server, for links.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerTarget {
    /// Its key in the configuration snapshot.
    pub key: id::ServerKey,
    /// Its name in the inventory.
    pub name: String,
    /// Address on which it listens.
    pub address: net::SocketAddr,
}

/// Body of a request to start a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct StartRequest {
    /// ID drawn for this attempt alone.
    pub id: id::GenerationId,
    /// The model.
    pub model: String,
    /// The model's adapter, if any.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// The complete prompt.
    pub prompt: String,
    /// Maximum number of tokens to produce.
    pub max_tokens: u32,
    /// Engine priority: 0 urgent, 1 normal, 2 deferrable.
    pub priority: u8,
    /// Seed for sampling.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub seed: Option<u64>,
}

/// Reason for which a generation ended on its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended the answer.
    Stop,
    /// The generation reached its maximum number of tokens.
    Length,
    /// The generation was cancelled.
    Cancelled,
    /// The engine failed.
    Error,
}

/// Last event of a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct FinishReport {
    /// Reason for the end.
    pub finish: FinishReason,
    /// Total number of tokens that it produced.
    pub produced: u32,
    /// Number of prompt tokens.
    #[serde(default)]
    pub prompt_tokens: u32,
    /// Number of prompt tokens found in the cache.
    #[serde(default)]
    pub cached_tokens: u32,
    /// Number of times that the engine preempted it.
    #[serde(default)]
    pub preempted: u32,
}

/// One event of a generation's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// One token.
    Token {
        /// Its number, from 0.
        seq: u32,
        /// Its text.
        text: String,
    },
    /// The generation is still running.
    Ping,
    /// The generation ended.
    Finish(FinishReport),
}

/// An event with the generation that it belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaggedEvent {
    /// The generation that the stream names, which may differ from the requested one.
    pub generation: id::GenerationId,
    /// The event.
    pub event: EngineEvent,
}

/// An engine's answer to a cancel, after which the generation does not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelAnswer {
    /// The engine holds the generation.
    Known {
        /// Whether any part of it ran.
        ran: bool,
        /// Tokens that it produced.
        produced: u32,
    },
    /// The engine does not hold the generation and will refuse a start that arrives late. Whether
    /// it ran in an earlier incarnation of the process is unknown.
    Remembered,
}

/// Events of one generation over one connection.
pub trait EngineEvents: Send + 'static {
    /// Waits for the next event; no event is lost if the future is dropped.
    fn next(&mut self)
    -> impl Future<Output = Result<TaggedEvent, link_error::StreamError>> + Send;
}

/// Calls to model engines.
pub trait EngineLink: Send + Sync + 'static {
    /// A stream of events.
    type Events: EngineEvents;

    /// Starts a generation. Returns once the engine has answered, before its first token.
    fn start(
        &self,
        target: &ServerTarget,
        start_request: &StartRequest,
        permit: proof::SendPermit,
    ) -> impl Future<Output = Result<Self::Events, link_error::StartError>> + Send;

    /// Streams a running generation from token `from` on, always over a fresh connection.
    fn resume(
        &self,
        target: &ServerTarget,
        generation: id::GenerationId,
        from: u32,
    ) -> impl Future<Output = Result<Self::Events, link_error::ResumeError>> + Send;

    /// Cancels a generation, always over a fresh connection.
    fn cancel(
        &self,
        target: &ServerTarget,
        generation: id::GenerationId,
    ) -> impl Future<Output = Result<CancelAnswer, link_error::CancelError>> + Send;
}

/// A call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceCall {
    /// The caller's request.
    pub request: id::RequestId,
    /// HTTP method.
    pub method: String,
    /// Path below the service's prefix, with the query.
    pub path: String,
    /// Idempotency key, passed on to the service.
    pub key: Option<String>,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Body.
    pub body: bytes::Bytes,
}

/// A plain service's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Body.
    pub body: bytes::Bytes,
}

/// Calls to plain services.
pub trait ServiceLink: Send + Sync + 'static {
    /// Sends the call once, without retries. `time_left` is sent along with it.
    fn call(
        &self,
        target: &ServerTarget,
        call: &ServiceCall,
        time_left: Duration,
        permit: proof::SendPermit,
    ) -> impl Future<Output = Result<ServiceAnswer, link_error::CallError>> + Send;
}

/// Work for which a request needs a slot on a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestedWork {
    /// A generation.
    Generation {
        /// The model's name.
        model: String,
        /// The model's adapter, if any.
        adapter: Option<String>,
        /// Estimated number of prompt tokens.
        prompt_tokens: u32,
        /// Maximum number of tokens to produce.
        max_tokens: u32,
    },
    /// A plain service call.
    Service {
        /// The service's name.
        service: String,
    },
}

/// Request for a slot on a backend server.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// The caller's request.
    pub request: id::RequestId,
    /// The caller's organisation.
    pub organisation: id::OrganisationKey,
    /// Traffic class, which sets priority and waiting time.
    pub class: class::TrafficClass,
    /// The work to place.
    pub work: RequestedWork,
    /// The prompt, for prefix affinity; empty for a plain service call.
    pub prompt: std::sync::Arc<str>,
    /// Time at which the request is refused if it has no slot.
    pub deadline: time::Instant,
    /// Servers on which the request must not be placed.
    pub avoid: Vec<id::ServerKey>,
    /// Whether the request may crash its server and must therefore run alone on it.
    pub alone: bool,
    /// Whether the answer is buffered here until it is complete, so that the generation may be
    /// preempted after its first token.
    pub buffered: bool,
    /// Whether this is a retry, which goes ahead of first attempts and is not charged to a limit
    /// again.
    pub retry: bool,
}

/// Kind of failure of an attempt, for the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// The connection was refused or broke.
    Broken,
    /// The server was silent for too long.
    Silent,
    /// The server declined the attempt.
    Rejected,
    /// The engine reported an error.
    Errored,
}

/// Reason for a placement, for the time line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlacementReason {
    /// Number of backend servers that were considered.
    pub candidates: u32,
    /// The deciding criterion, and what the request waited for.
    pub text: String,
}

/// A slot on a backend server; dropping it releases the slot as withdrawn.
pub trait Grant: Send + Sync + Sized + 'static {
    /// The server.
    fn server(&self) -> id::ServerKey;

    /// Engine priority for the start.
    fn priority(&self) -> u8;

    /// Reason for the placement, for the time line.
    fn reason(&self) -> PlacementReason {
        PlacementReason::default()
    }

    /// Reports `count` further tokens, including the first one.
    fn progress(&self, count: u32);

    /// Completes when the scheduler preempts the generation, which must be stopped and requeued.
    fn preempted(&mut self) -> impl Future<Output = ()> + Send {
        future::pending()
    }

    /// Reports that the generation ended normally with `produced` tokens in total.
    fn finished(self, produced: u32);

    /// Reports that the attempt failed on its server.
    fn failed(self, failure: FailureKind);

    /// Releases the slot after the generation was stopped, and waits for another one.
    fn requeue(self) -> impl Future<Output = Result<Self, refusal::RefusalBody>> + Send;
}

/// Decides when and on which server a request runs.
pub trait Scheduler: Send + Sync + 'static {
    /// A slot on a server.
    type Grant: Grant;

    /// Returns a refusal if it is certain before anything is queued or claimed.
    fn early_refusal(&self, request: &AdmissionRequest) -> Option<refusal::RefusalBody>;

    /// Waits for a slot; dropping the future withdraws the request.
    fn admit(
        &self,
        request: &AdmissionRequest,
    ) -> impl Future<Output = Result<Self::Grant, refusal::RefusalBody>> + Send;
}

/// One request's part of its organisation's quota; released on drop.
pub trait QuotaPermit: Send + Sync + 'static {
    /// Charges generated tokens.
    fn charge(&mut self, tokens: u32);
}

/// Enforces the quotas of organisations.
pub trait QuotaLimiter: Send + Sync + 'static {
    /// Permit that a request holds while it runs.
    type Permit: QuotaPermit;

    /// Takes a permit for one request, or refuses it with a retry delay.
    fn take(
        &self,
        organisation: id::OrganisationKey,
        rule: &rules::OrganisationRule,
        work: &RequestedWork,
        now: time::Instant,
    ) -> Result<Self::Permit, refusal::RefusalBody>;
}

/// Claim on an idempotency key for a call that must not run twice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The caller's request.
    pub request: id::RequestId,
    /// Name of the organisation; each organisation has its own key space.
    pub organisation: String,
    /// The service.
    pub service: String,
    /// The key as the caller sent it; its timestamp is already checked.
    pub key: String,
    /// The timestamp in the key, milliseconds since 1970.
    pub key_made_ms: u64,
    /// Fingerprint of method, path and body: a key must not be reused for a different call.
    pub content: fingerprint::ContentHash,
    /// Maximum duration of the call, counted from before the append.
    pub holds_for: Duration,
}

/// A claim that this process holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimHold {
    /// The record that holds the key.
    pub record: id::RecordId,
    /// The claim.
    pub claim: ClaimRequest,
    /// Time before which the call must be sent, by this process's monotonic clock and counted
    /// from before the append.
    pub deadline: time::Instant,
}

/// Outcome of a claimed call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEnd {
    /// The call ran and was answered.
    Answered(ServiceAnswer),
    /// The call provably did not run, so the key may be claimed again.
    NotRun,
    /// The call may have run.
    Unknown,
}

/// Answer of the store to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// This process holds the claim; the call may be sent before the deadline.
    Fresh(ClaimHold),
    /// An earlier call with this key ended with this answer.
    Stored(ServiceAnswer),
    /// An earlier call with this key has not ended yet.
    InProgress {
        /// Delay after which it is expected to have ended.
        retry_after_ms: u64,
    },
    /// An earlier call with this key may have run.
    Unknown,
    /// The key was used for another call.
    Mismatch,
    /// The claim was not made, so no call ran under it.
    Refused(refusal::RefusalBody),
}

/// Store of claims on idempotency keys, on the log.
pub trait ClaimStore: Send + Sync + 'static {
    /// Claims a key. Returns `Fresh` only if the claim is durable and the first one.
    fn claim(&self, claim: ClaimRequest) -> impl Future<Output = ClaimAnswer> + Send;

    /// Stores the outcome of a claimed call; the first outcome on the log counts.
    fn store(
        &self,
        hold: ClaimHold,
        end: ClaimEnd,
    ) -> impl Future<Output = Result<(), refusal::RefusalBody>> + Send;

    /// Whether this process already knows of a claim on the key.
    fn seen(&self, organisation: &str, key: &str) -> bool;
}

/// Deferrable work as it is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct JobRecord {
    /// The caller's request, by which the job is fetched.
    pub request: id::RequestId,
    /// Name of the organisation.
    pub organisation: String,
    /// Whether the request used the chat format.
    pub chat: bool,
    /// The request's body as received.
    pub body: String,
    /// Time of acceptance, milliseconds since 1970.
    pub accepted_ms: u64,
}

/// Result of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobResult {
    /// The complete answer, as JSON text.
    Answer(String),
    /// The job is refused for good.
    Refused(refusal::RefusalBody),
}

/// Known state of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobState {
    /// No such job exists, or its result has expired.
    Absent,
    /// Accepted for this organisation, not finished.
    Waiting(String),
    /// Accepted for this organisation and finished.
    Done(String, JobResult),
    /// The store cannot be read now.
    Unreadable(refusal::RefusalBody),
}

/// Lease on a job that this process runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobLease {
    /// The record that holds the lease.
    pub record: id::RecordId,
    /// The job.
    pub job: JobRecord,
    /// End of the lease, after which another process may take the job over, by this process's
    /// monotonic clock.
    pub deadline: time::Instant,
}

/// Answer of the store to a job that was submitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AcceptAnswer {
    /// The job's record is on the log.
    Accepted,
    /// The job's record is provably not on the log and will not be.
    Refused(refusal::RefusalBody),
    /// The job's record may be on the log, so the job may still run.
    Unknown,
}

/// Outcome of storing a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoredResult {
    /// The stored result is the job's result.
    Stored,
    /// Another result was first; this one must be discarded.
    Superseded,
}

/// Store of deferrable work, on the log.
pub trait JobStore: Send + Sync + 'static {
    /// Accepts a job.
    fn accept(&self, job: JobRecord) -> impl Future<Output = AcceptAnswer> + Send;

    /// Reads the state of a job; works on any entry VM.
    fn fetch(&self, request: id::RequestId) -> impl Future<Output = JobState> + Send;

    /// Waits for a job that this process is to run.
    fn take(&self) -> impl Future<Output = JobLease> + Send;

    /// Extends a lease; returns `None` if it is lost.
    fn renew(&self, lease: &JobLease) -> impl Future<Output = Option<JobLease>> + Send;

    /// Releases a lease, so that another process may take the job at once.
    fn release(&self, lease: &JobLease) -> impl Future<Output = ()> + Send;

    /// Stores a result; the first result on the log counts.
    fn store(
        &self,
        lease: &JobLease,
        result: JobResult,
    ) -> impl Future<Output = Result<StoredResult, refusal::RefusalBody>> + Send;
}

/// Sink for time line events.
pub trait EventSink: Send + Sync + 'static {
    /// Records an event without blocking.
    fn record(&self, request: Option<id::RequestId>, kind: kind::EventKind);
}

/// The wall clock.
pub trait WallClock: Send + Sync + 'static {
    /// Milliseconds since 1970.
    fn unix_ms(&self) -> u64;
}

/// Source of identifiers.
pub trait IdSource: Send + Sync + 'static {
    /// Draws 128 random bits.
    fn draw(&self) -> u128;
}

/// Messages to other entry VMs.
pub trait PeerLink: Send + Sync + 'static {
    /// Informs the entry VM `vm`, which first relayed `generation`, that this one continues it, so
    /// that `vm` does not cancel it when its own caller disconnects. Best effort.
    fn adopted(&self, vm: &str, generation: id::GenerationId);
}

/// All ports of one request plane.
pub trait PortSet: Send + Sync + 'static {
    /// Link to model engines.
    type Engines: EngineLink;
    /// Link to plain services.
    type Services: ServiceLink;
    /// Scheduler.
    type Schedule: Scheduler;
    /// Quotas of organisations.
    type Quotas: QuotaLimiter;
    /// Claims on idempotency keys.
    type Claims: ClaimStore;
    /// Deferrable work.
    type Jobs: JobStore;
    /// Time line.
    type Events: EventSink;
    /// Wall clock.
    type Clock: WallClock;
    /// Source of identifiers.
    type Ids: IdSource;
    /// Link to other entry VMs.
    type Peers: PeerLink;

    /// Link to model engines.
    fn engines(&self) -> &Self::Engines;
    /// Link to plain services.
    fn services(&self) -> &Self::Services;
    /// Scheduler.
    fn schedule(&self) -> &Self::Schedule;
    /// Quotas of organisations.
    fn quotas(&self) -> &Self::Quotas;
    /// Claims on idempotency keys.
    fn claims(&self) -> &Self::Claims;
    /// Deferrable work.
    fn jobs(&self) -> &Self::Jobs;
    /// Time line.
    fn events(&self) -> &Self::Events;
    /// Wall clock.
    fn clock(&self) -> &Self::Clock;
    /// Source of identifiers.
    fn ids(&self) -> &Self::Ids;
    /// Link to other entry VMs.
    fn peers(&self) -> &Self::Peers;
}

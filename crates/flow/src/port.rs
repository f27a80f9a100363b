//! What the request plane needs of the rest of the system.
//!
//! Links carry calls to backend servers and report what they know, no more: time limits, retries
//! and cancellation are the plane's. Every future may be dropped at any await.

use std::{future, net, time::Duration};

use base::{class, fingerprint, id, refusal};
use conf::rules;
use tokio::time;
use trace::kind;

use crate::{link_error, proof};

/// A backend server as links address it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerTarget {
    /// Its key in the snapshot.
    pub key: id::ServerKey,
    /// Its name in the inventory.
    pub name: String,
    /// Where it listens.
    pub address: net::SocketAddr,
}

/// A generation to start.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct StartOrder {
    /// Drawn for this try alone.
    pub id: id::GenerationId,
    /// The model.
    pub model: String,
    /// The adapter beside it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// The whole prompt.
    pub prompt: String,
    /// Most tokens to produce.
    pub max_tokens: u32,
    /// 0 urgent, 1 normal, 2 deferrable.
    pub priority: u8,
    /// Seed of its sampling.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub seed: Option<u64>,
}

/// How a generation ended on its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// By itself.
    Stop,
    /// At its limit of tokens.
    Length,
    /// Cancelled.
    Cancelled,
    /// By a fault of the engine.
    Error,
}

/// Last event of a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct FinishReport {
    /// How it ended.
    pub finish: FinishReason,
    /// Tokens that it produced in all.
    pub produced: u32,
    /// Tokens of its prompt.
    #[serde(default)]
    pub prompt_tokens: u32,
    /// Of these, found in the cache.
    #[serde(default)]
    pub cached_tokens: u32,
    /// Times that the engine preempted it.
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
    /// The generation lives.
    Ping,
    /// It ended.
    Finish(FinishReport),
}

/// An event with the generation that it belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaggedEvent {
    /// The generation, as the stream says, not as was asked.
    pub generation: id::GenerationId,
    /// The event.
    pub event: EngineEvent,
}

/// An engine's answer to a cancel: from then on the generation does not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelAnswer {
    /// The engine holds the generation.
    Known {
        /// Whether any part of it ran.
        ran: bool,
        /// Tokens that it produced.
        produced: u32,
    },
    /// The engine does not hold it, and will refuse a start of it that comes late. Whether it ran
    /// in an earlier life of the process is not known.
    Remembered,
}

/// Events of one generation over one connection.
pub trait EngineEvents: Send + 'static {
    /// The next event; nothing is lost when the future is dropped.
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
        order: &StartOrder,
        permit: proof::SendPermit,
    ) -> impl Future<Output = Result<Self::Events, link_error::StartError>> + Send;

    /// Streams a generation from token `from` on, always over a fresh connection.
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
    /// Path below the service, with its query.
    pub path: String,
    /// Idempotency key, relayed.
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
    /// Calls once; never sends a second time by itself. `time_left` travels with the call.
    fn call(
        &self,
        target: &ServerTarget,
        call: &ServiceCall,
        time_left: Duration,
        permit: proof::SendPermit,
    ) -> impl Future<Output = Result<ServiceAnswer, link_error::CallError>> + Send;
}

/// What a request needs a place for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestedWork {
    /// A generation.
    Generation {
        /// The model's name.
        model: String,
        /// The adapter beside it.
        adapter: Option<String>,
        /// Tokens of its prompt, estimated.
        prompt_tokens: u32,
        /// Most tokens that it may produce.
        max_tokens: u32,
    },
    /// A plain service call.
    Service {
        /// The service's name.
        service: String,
    },
}

/// A request that wants a place on a backend server.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// The caller's request.
    pub request: id::RequestId,
    /// Who asks.
    pub organisation: id::OrganisationKey,
    /// How long it may wait.
    pub class: class::TrafficClass,
    /// What it needs.
    pub work: RequestedWork,
    /// The prompt, for prefix affinity; empty for a plain service call.
    pub prompt: std::sync::Arc<str>,
    /// Refused when it has no place by then.
    pub deadline: time::Instant,
    /// Servers that it must not get.
    pub avoid: Vec<id::ServerKey>,
    /// It may crash its server: give it one where nothing else runs, and nothing else beside it.
    pub alone: bool,
    /// Its answer is held here until whole, so that it may be preempted after its first token.
    pub buffered: bool,
    /// It is a further try: ahead of first tries, not charged to a limit again.
    pub retry: bool,
}

/// How a try failed, for the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// The connection was refused or broke.
    Broken,
    /// Nothing came for too long.
    Silent,
    /// The server declined it.
    Rejected,
    /// The engine ended it with an error of its own.
    Errored,
}

/// Why a request got its place, for the time line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlacementReason {
    /// Backend servers that were weighed.
    pub candidates: u32,
    /// What decided, and what it waited for.
    pub text: String,
}

/// A place on a backend server; dropping it gives the place back as withdrawn.
pub trait Grant: Send + Sync + Sized + 'static {
    /// Where.
    fn server(&self) -> id::ServerKey;

    /// Engine priority to start with.
    fn priority(&self) -> u8;

    /// Why there, for the time line.
    fn reason(&self) -> PlacementReason {
        PlacementReason::default()
    }

    /// `count` further tokens arrived, the first included.
    fn progress(&self, count: u32);

    /// Completes when the generation is to be stopped and placed again.
    fn preempted(&mut self) -> impl Future<Output = ()> + Send {
        future::pending()
    }

    /// It ended by itself, with `produced` tokens in all.
    fn finished(self, produced: u32);

    /// It failed on its server.
    fn failed(self, failure: FailureKind);

    /// Gives the place back and waits for another, after the generation was stopped.
    fn requeue(self) -> impl Future<Output = Result<Self, refusal::RefusalBody>> + Send;
}

/// Decides where and when.
pub trait Scheduler: Send + Sync + 'static {
    /// A place.
    type Grant: Grant;

    /// A refusal that is certain before anything is queued or claimed.
    fn early_refusal(&self, request: &AdmissionRequest) -> Option<refusal::RefusalBody>;

    /// Waits for a place; dropping the future withdraws the request.
    fn admit(
        &self,
        request: &AdmissionRequest,
    ) -> impl Future<Output = Result<Self::Grant, refusal::RefusalBody>> + Send;
}

/// One request's share of its organisation's limits; frees on drop.
pub trait QuotaPermit: Send + Sync + 'static {
    /// Charges generated tokens.
    fn charge(&mut self, tokens: u32);
}

/// Limits of organisations.
pub trait QuotaLimiter: Send + Sync + 'static {
    /// What a request holds while it runs.
    type Permit: QuotaPermit;

    /// Takes one request's share, or says when to come back.
    fn take(
        &self,
        organisation: id::OrganisationKey,
        rule: &rules::OrganisationRule,
        work: &RequestedWork,
        now: time::Instant,
    ) -> Result<Self::Permit, refusal::RefusalBody>;
}

/// A call that may not run twice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The caller's request.
    pub request: id::RequestId,
    /// Name of the organisation; keys of two organisations are different keys.
    pub organisation: String,
    /// The service.
    pub service: String,
    /// The key as the caller wrote it, its time checked.
    pub key: String,
    /// The time that the key carries, milliseconds since 1970.
    pub key_made_ms: u64,
    /// Of method, path and body: a key may not be used again for something else.
    pub content: fingerprint::ContentHash,
    /// How long the call may take, counted from before the append.
    pub holds_for: Duration,
}

/// A claim that this process holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimHold {
    /// The record that won.
    pub record: id::RecordId,
    /// What was claimed.
    pub claim: ClaimRequest,
    /// The call may leave before this only; by this process's monotonic clock, counted from
    /// before the append.
    pub deadline: time::Instant,
}

/// How a claimed call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEnd {
    /// It ran and answered.
    Answered(ServiceAnswer),
    /// It is proved that it did not run: the key may be claimed again.
    NotRun,
    /// It may have run.
    Unknown,
}

/// What the book says to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// It is ours: the call may leave before the deadline.
    Fresh(ClaimHold),
    /// An earlier call with this key ended so.
    Stored(ServiceAnswer),
    /// An earlier call with this key is not over yet.
    InProgress {
        /// When it will be.
        retry_after_ms: u64,
    },
    /// An earlier call with this key may have run.
    Unknown,
    /// The key was used for another call.
    Mismatch,
    /// The claim was not made; nothing ran by it.
    Refused(refusal::RefusalBody),
}

/// Claims on idempotency keys, on the log.
pub trait ClaimStore: Send + Sync + 'static {
    /// Claims a key. `Fresh` only when the claim is durable and first.
    fn claim(&self, claim: ClaimRequest) -> impl Future<Output = ClaimAnswer> + Send;

    /// Stores how a claimed call ended; the first end in the order of the log stands.
    fn store(
        &self,
        hold: ClaimHold,
        end: ClaimEnd,
    ) -> impl Future<Output = Result<(), refusal::RefusalBody>> + Send;

    /// Whether this process already knows of a claim on the key.
    fn seen(&self, organisation: &str, key: &str) -> bool;
}

/// Deferrable work, as it is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct JobRecord {
    /// The caller's request; the job is fetched by it.
    pub request: id::RequestId,
    /// Name of the organisation.
    pub organisation: String,
    /// Whether it came as a chat.
    pub chat: bool,
    /// The request's body as it came.
    pub body: String,
    /// When it was accepted, milliseconds since 1970.
    pub accepted_ms: u64,
}

/// How a job ended: whole, or refused for good.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobResult {
    /// The whole answer, as JSON text.
    Answer(String),
    /// It cannot be done.
    Refused(refusal::RefusalBody),
}

/// What is known of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobState {
    /// No such job, or its time is up.
    Absent,
    /// Accepted for this organisation, not finished.
    Waiting(String),
    /// Accepted for this organisation and finished.
    Done(String, JobResult),
    /// The book cannot say now.
    Unreadable(refusal::RefusalBody),
}

/// A job that this process runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobLease {
    /// The record that won.
    pub record: id::RecordId,
    /// The job.
    pub job: JobRecord,
    /// Another may take the job over after this, by this process's monotonic clock.
    pub deadline: time::Instant,
}

/// What became of work that was to be accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AcceptAnswer {
    /// Its record is on the log.
    Accepted,
    /// It is proved that its record is not on the log and will not be.
    Refused(refusal::RefusalBody),
    /// Its record may be on the log: it may still be done.
    Unknown,
}

/// What became of a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoredResult {
    /// It is the job's result.
    Stored,
    /// Another result was first; this one is to be thrown away.
    Superseded,
}

/// Deferrable work, on the log.
pub trait JobStore: Send + Sync + 'static {
    /// Accepts a job.
    fn accept(&self, job: JobRecord) -> impl Future<Output = AcceptAnswer> + Send;

    /// State of a job, from any entry VM.
    fn fetch(&self, request: id::RequestId) -> impl Future<Output = JobState> + Send;

    /// Waits for a job that this process is to run.
    fn take(&self) -> impl Future<Output = JobLease> + Send;

    /// Makes the lease last longer; `None`: it is lost.
    fn renew(&self, lease: &JobLease) -> impl Future<Output = Option<JobLease>> + Send;

    /// Gives a lease back, so that another may take the job at once.
    fn release(&self, lease: &JobLease) -> impl Future<Output = ()> + Send;

    /// Stores a result; the first in the order of the log stands.
    fn store(
        &self,
        lease: &JobLease,
        result: JobResult,
    ) -> impl Future<Output = Result<StoredResult, refusal::RefusalBody>> + Send;
}

/// The time line.
pub trait EventSink: Send + Sync + 'static {
    /// Records an event; never waits.
    fn record(&self, request: Option<id::RequestId>, kind: kind::EventKind);
}

/// The wall clock.
pub trait WallClock: Send + Sync + 'static {
    /// Milliseconds since 1970.
    fn unix_ms(&self) -> u64;
}

/// Where identifiers come from.
pub trait IdSource: Send + Sync + 'static {
    /// 128 random bits.
    fn draw(&self) -> u128;
}

/// Messages to other entry VMs.
pub trait PeerLink: Send + Sync + 'static {
    /// Tells the entry VM `vm`, which began to relay `generation`, that this one goes on with
    /// it: `vm` must not cancel it when its own caller is gone. Best effort.
    fn adopted(&self, vm: &str, generation: id::GenerationId);
}

/// All ports of one request plane.
pub trait PortSet: Send + Sync + 'static {
    /// Model engines.
    type Engines: EngineLink;
    /// Plain services.
    type Services: ServiceLink;
    /// Placement.
    type Schedule: Scheduler;
    /// Limits.
    type Quotas: QuotaLimiter;
    /// Claims.
    type Claims: ClaimStore;
    /// Deferrable work.
    type Jobs: JobStore;
    /// Time line.
    type Events: EventSink;
    /// Wall clock.
    type Clock: WallClock;
    /// Identifiers.
    type Ids: IdSource;
    /// Other entry VMs.
    type Peers: PeerLink;

    /// Model engines.
    fn engines(&self) -> &Self::Engines;
    /// Plain services.
    fn services(&self) -> &Self::Services;
    /// Placement.
    fn schedule(&self) -> &Self::Schedule;
    /// Limits.
    fn quotas(&self) -> &Self::Quotas;
    /// Claims.
    fn claims(&self) -> &Self::Claims;
    /// Deferrable work.
    fn jobs(&self) -> &Self::Jobs;
    /// Time line.
    fn events(&self) -> &Self::Events;
    /// Wall clock.
    fn clock(&self) -> &Self::Clock;
    /// Identifiers.
    fn ids(&self) -> &Self::Ids;
    /// Other entry VMs.
    fn peers(&self) -> &Self::Peers;
}

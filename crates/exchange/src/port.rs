//! Interface of the plane to the backend servers.

use std::{net, rc, time};

use base::outcome;
use bytes::Bytes;

use crate::{handed, handover, permit, request};

/// Target of one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerTarget {
    /// Id of the incarnation; another incarnation at this address must not run the attempt.
    pub id: String,
    /// Address of the server.
    pub address: net::SocketAddr,
    /// How long this incarnation has been known: an older connection led to another one.
    pub known_for: time::Duration,
}

impl ServerTarget {
    /// Max age of kept-alive connections that lead to this incarnation and are allowed by `rule`.
    #[must_use]
    pub fn max_connection_age(&self, rule: ReuseRule) -> time::Duration {
        match rule {
            ReuseRule::Any => self.known_for,
            ReuseRule::Fresh(span) => span.min(self.known_for),
        }
    }
}

/// Point from which a generation continues.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumePoint {
    /// Server that issued the handle.
    pub origin: net::SocketAddr,
    /// Handle of the copy at that server.
    pub handle: String,
    /// Id of the last complete event that the caller received.
    pub last_event: Option<String>,
}

/// One attempt.
#[derive(Clone, Debug)]
pub struct ServerCall {
    /// The request.
    pub request: rc::Rc<request::ExchangeRequest>,
    /// Server to send to.
    pub target: ServerTarget,
    /// Time limit for the server.
    pub left: time::Duration,
    /// Set if the generation continues from a copy.
    pub resume: Option<ResumePoint>,
    /// Handle of the memory reserved on the server.
    pub reservation: Option<String>,
    /// Server that keeps a proactive copy of the run.
    pub backup: Option<net::SocketAddr>,
    /// Which kept-alive connections may carry the attempt.
    pub reuse: ReuseRule,
}

/// Which kept-alive connections may carry an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReuseRule {
    /// Any connection not known to be closed.
    Any,
    /// Only a connection that carried a response within this time: an older one may be dead, and a
    /// request lost on it can't be sent again.
    Fresh(time::Duration),
}

/// Why an attempt certainly did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunCause {
    /// No connection could be established.
    Unreachable,
    /// The server was full or rejected the attempt.
    Rejected,
    /// Another incarnation has the address.
    Misdirected,
    /// The request is quarantined, and was not sent.
    Quarantined,
}

/// Why it is unknown whether an attempt ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LostCause {
    /// The connection broke.
    Broken,
    /// The response is invalid or belongs to another request.
    Garbled,
    /// The head of the response did not end within its limit in bytes or in time.
    Endless,
    /// The server had not answered when the attempt was given up.
    Silent,
}

/// Outcome of an attempt.
#[derive(Debug)]
pub enum CallOutcome<B> {
    /// The server responded.
    Responded(ServerResponse<B>),
    /// The attempt has not run and never will.
    NotRun(NotRunCause),
    /// The attempt may have run.
    Lost(LostCause),
}

impl ReuseRule {
    /// Rule for requests that can't be sent again: a connection that was idle for longer may be
    /// dead.
    pub const FRESH: Self = Self::Fresh(Self::FRESH_TIME);
    /// Idle time up to which a connection may carry such a request.
    pub const FRESH_TIME: time::Duration = time::Duration::from_millis(1_500);
}

impl<B> CallOutcome<B> {
    /// Returns whether the server answered in any way.
    #[must_use]
    pub const fn reached(&self) -> bool {
        !matches!(
            self,
            Self::NotRun(NotRunCause::Unreachable)
                | Self::Lost(LostCause::Broken | LostCause::Silent)
        )
    }

    /// Returns whether the attempt ran.
    #[must_use]
    pub const fn ran(&self) -> outcome::RanState {
        match self {
            Self::Responded(_) => outcome::RanState::Yes,
            Self::NotRun(_) => outcome::RanState::No,
            Self::Lost(_) => outcome::RanState::Unknown,
        }
    }
}

/// Limit on requests as an answer of a server states it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitSignal {
    /// Requests per second that the server takes from all VMs together.
    PerSecond(f64),
    /// The server takes any number.
    Unlimited,
}

/// What a server says of itself in an answer, whatever it answers to the request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerSignals {
    /// Limit on requests; `None` if the answer does not tell.
    pub limit: Option<LimitSignal>,
    /// Number of requests per second that the server can turn away for want of room, those of all
    /// VMs together; one that has to turn away more falls over. `None` if the answer does not tell.
    pub brittle: Option<LimitSignal>,
    /// Whether the server says that it leaves. An answer that does not say so tells nothing.
    pub leaving: bool,
    /// Time for which the server wants nothing from this VM; set if it turned the request away.
    pub rest: Option<time::Duration>,
    /// Time for which the server is still cold; `None` if the answer does not tell.
    pub cold: Option<time::Duration>,
    /// Whether the answer to a copy or a release had no end, which counts as a failure of the server.
    pub endless: bool,
}

/// Reply of a server, with the signals of the answer that it was read from.
#[derive(Debug)]
pub struct SignalledReply<T> {
    /// The reply.
    pub reply: T,
    /// Empty if there was no answer.
    pub signals: ServerSignals,
}

impl<T> SignalledReply<T> {
    /// A reply without an answer of the server.
    pub const fn silent(reply: T) -> Self {
        let signals = ServerSignals {
            limit: None,
            brittle: None,
            leaving: false,
            rest: None,
            cold: None,
            endless: false,
        };
        Self { reply, signals }
    }
}

/// Response of a server.
#[derive(Debug)]
pub struct ServerResponse<B> {
    /// Status.
    pub status: http::StatusCode,
    /// Headers to forward.
    pub headers: http::HeaderMap,
    /// Body, streamed as it arrives.
    pub body: B,
}

/// A streamed response body.
pub trait ResponseBody {
    /// Returns the next bytes; `None` at the regular end.
    fn next(&mut self) -> impl Future<Output = Option<Result<Bytes, LostCause>>>;

    /// Whether the response states where its body ends, by a length or by chunks. Any other body
    /// ends when its connection is closed.
    fn is_delimited(&self) -> bool;
}

/// A completed copy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CopyDone {
    /// Handle of the copy at the source.
    pub handle: String,
    /// Events that the run had produced.
    pub events: u64,
}

/// Why a copy failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CopyFault {
    /// The run is unknown at the source.
    NoRun,
    /// Another copy is in progress.
    Busy,
    /// The target is full or unreachable; with a handle, the run has stopped and is kept at the
    /// source.
    NoRoom(Option<String>),
    /// The source did not answer.
    Unreachable,
}

/// What a new connection to a server tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The connection was established.
    Reached,
    /// The server's host refused it: nothing listens at the address.
    Refused,
    /// There was no answer in time, or another error.
    Unreached,
}

/// Why a server reserved no memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveFault {
    /// The server is full.
    Full,
    /// The server did not respond.
    Unreachable,
}

/// Backend servers, and other VMs that reach them.
pub trait ServerPort {
    /// Body of a response.
    type Body: ResponseBody;

    /// Sends one attempt, which is permitted; dropping the future cancels it and closes its
    /// connection.
    fn open(
        &self,
        call: ServerCall,
        proof: permit::PermitProof,
    ) -> impl Future<Output = SignalledReply<CallOutcome<Self::Body>>>;

    /// Reserves memory and a slot on a server, for a request that is sent there next.
    fn reserve(
        &self,
        target: ServerTarget,
        tokens: u64,
        span: time::Duration,
    ) -> impl Future<Output = SignalledReply<Result<String, ReserveFault>>>;

    /// Copies a run's memory to another server; with `stop`, the run stops first.
    fn copy(
        &self,
        source: ServerTarget,
        run: String,
        to: net::SocketAddr,
        stop: bool,
    ) -> impl Future<Output = SignalledReply<Result<CopyDone, CopyFault>>>;

    /// Releases an unused copy.
    fn release(
        &self,
        source: ServerTarget,
        handle: String,
    ) -> impl Future<Output = SignalledReply<()>>;

    /// Opens a new connection to a server, without a request.
    fn probe(&self, target: ServerTarget) -> impl Future<Output = ProbeOutcome>;

    /// Hands a request over to another VM for one attempt, which is permitted. Dropping the future, or the body of the reply, cancels it
    /// there.
    fn hand_over(
        &self,
        peer: net::SocketAddr,
        request: handed::HandedRequest,
        proof: permit::PermitProof,
    ) -> impl Future<Output = Result<handover::HandedAnswer, handover::HandoverError>>;
}

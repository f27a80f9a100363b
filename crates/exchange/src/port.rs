//! What the plane needs of the outside: backend servers.

use std::{net, rc, time};

use base::outcome;
use bytes::Bytes;

use crate::ask;

/// Where to send one try.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerTarget {
    /// Incarnation that is meant; another one at this address must not run it.
    pub id: String,
    /// Its address.
    pub address: net::SocketAddr,
    /// Since when this incarnation is known: a connection that was kept for longer led to another.
    pub known_for: time::Duration,
}

impl ServerTarget {
    /// Which kept connections lead to this incarnation, of those that `rule` allows.
    #[must_use]
    pub fn kept(&self, rule: ReuseRule) -> time::Duration {
        match rule {
            ReuseRule::Any => self.known_for,
            ReuseRule::Fresh(span) => span.min(self.known_for),
        }
    }
}

/// From where a generation goes on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumePoint {
    /// Server named in the copy's handle.
    pub origin: net::SocketAddr,
    /// Handle of the copy at that server.
    pub handle: String,
    /// Last event that the caller has had whole.
    pub last_event: Option<String>,
}

/// One try.
#[derive(Clone, Debug)]
pub struct ServerCall {
    /// The request.
    pub ask: rc::Rc<ask::ExchangeAsk>,
    /// Where it goes.
    pub target: ServerTarget,
    /// Time that the server has.
    pub left: time::Duration,
    /// Present when it goes on from a copy.
    pub resume: Option<ResumePoint>,
    /// Memory set aside for it at the server.
    pub reservation: Option<String>,
    /// Server that is to hold a copy while it runs.
    pub backup: Option<net::SocketAddr>,
    /// Whether a connection that was used before may carry it.
    pub reuse: ReuseRule,
}

/// Which kept connections may carry a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReuseRule {
    /// Any that is not known to be closed.
    Any,
    /// Only one that carried an answer this short a time ago: an older one may have gone silent,
    /// and what is lost on it can't be sent again.
    Fresh(time::Duration),
}

/// Why a try certainly did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunCause {
    /// No connection came about.
    Unreachable,
    /// The server was full or would not take it.
    Rejected,
    /// Another incarnation has the address.
    Misdirected,
}

/// Why it is unknown whether a try ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LostCause {
    /// The connection broke.
    Broken,
    /// What came is not an answer to this request.
    Garbled,
}

/// What came of a try.
#[derive(Debug)]
pub enum CallOutcome<B> {
    /// The server's answer.
    Answered(ServerAnswer<B>),
    /// It has not run and never will.
    NotRun(NotRunCause),
    /// It may have run.
    Lost(LostCause),
}

impl ReuseRule {
    /// For what can't be sent again: a connection that was idle for longer may have gone silent.
    pub const FRESH: Self = Self::Fresh(time::Duration::from_millis(1_500));
}

impl<B> CallOutcome<B> {
    /// Whether it ran.
    #[must_use]
    pub const fn ran(&self) -> outcome::RanState {
        match self {
            Self::Answered(_) => outcome::RanState::Yes,
            Self::NotRun(_) => outcome::RanState::No,
            Self::Lost(_) => outcome::RanState::Unknown,
        }
    }
}

/// A server's answer.
#[derive(Debug)]
pub struct ServerAnswer<B> {
    /// Status.
    pub status: http::StatusCode,
    /// Headers to pass on.
    pub headers: http::HeaderMap,
    /// Body as it comes.
    pub body: B,
}

/// A body as it comes.
pub trait AnswerBody {
    /// The next bytes; absent at its proper end.
    fn next(&mut self) -> impl Future<Output = Option<Result<Bytes, LostCause>>>;
}

/// A copy that was made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CopyDone {
    /// Names the copy at the source.
    pub handle: String,
    /// Events that the run had made.
    pub events: u64,
}

/// Why a copy was not made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CopyFault {
    /// The source knows no such run.
    NoRun,
    /// Another copy is being made.
    Busy,
    /// No room there, or unreachable; with a handle the run has stopped and waits at the source.
    NoRoom(Option<String>),
    /// The source did not answer.
    Unreachable,
}

/// Why a server set no memory aside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveFault {
    /// It has no room.
    Full,
    /// It did not answer.
    Unreachable,
}

/// Backend servers.
pub trait ServerPort {
    /// Body of an answer.
    type Body: AnswerBody;

    /// Sends one try; the future may be dropped to give it up, which closes its connection.
    fn open(&self, call: ServerCall) -> impl Future<Output = CallOutcome<Self::Body>>;

    /// Sets memory and a place aside at a server, for a request that is about to be sent there.
    fn reserve(
        &self,
        target: ServerTarget,
        tokens: u64,
        span: time::Duration,
    ) -> impl Future<Output = Result<String, ReserveFault>>;

    /// Copies a run's memory to another server; with `stop`, the run stops first.
    fn copy(
        &self,
        source: ServerTarget,
        run: String,
        to: net::SocketAddr,
        stop: bool,
    ) -> impl Future<Output = Result<CopyDone, CopyFault>>;

    /// Frees a copy that will not be used.
    fn release(&self, source: ServerTarget, handle: String) -> impl Future<Output = ()>;
}

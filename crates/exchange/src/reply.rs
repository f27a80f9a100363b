//! What a caller is told.

use std::time;

use base::outcome;
use bytes::Bytes;
use tokio::sync::mpsc;

/// Why a request is turned away or given up here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalCause {
    /// No configuration is known yet.
    Unconfigured,
    /// No route, or no key: the caller's fault.
    Unroutable(crate::catalog::RouteError),
    /// The head or body is not acceptable.
    BadRequest,
    /// The body is over the limit.
    TooLarge,
    /// No server of the service is known.
    NoServer,
    /// More work waits than can be served in time.
    Overload,
    /// It waited as long as may be and found no place.
    Patience,
    /// Servers turned it away, and it may not be sent to another.
    Rejected,
    /// This VM stops, and would not live to the end of the answer.
    Stopping,
    /// It crashed servers before.
    Quarantined,
    /// A server lost it, or answered with what is not an answer.
    ServerLost,
    /// Its time is up.
    Timeout,
}

impl RefusalCause {
    /// The name used in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unconfigured => "unconfigured",
            Self::Unroutable(crate::catalog::RouteError::NoRoute) => "no_route",
            Self::Unroutable(crate::catalog::RouteError::NoKey) => "no_key",
            Self::BadRequest => "bad_request",
            Self::TooLarge => "too_large",
            Self::NoServer => "no_server",
            Self::Overload => "overload",
            Self::Patience => "patience",
            Self::Rejected => "rejected",
            Self::Stopping => "stopping",
            Self::Quarantined => "quarantined",
            Self::ServerLost => "server_lost",
            Self::Timeout => "timeout",
        }
    }
}

/// A refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub cause: RefusalCause,
    /// Whether it ran; `No` is a promise.
    pub ran: outcome::RanState,
    /// When it is worth asking again.
    pub retry_after: Option<time::Duration>,
}

/// A piece of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamPart {
    /// Bytes to pass on.
    Bytes(Bytes),
    /// The answer is whole. A channel that closes without this is an answer cut short, and must
    /// look so to the caller: whatever goes wrong, no half answer passes for a whole one.
    End,
}

/// The bytes of an answer.
#[derive(Debug)]
pub enum ReplyBody {
    /// All of it.
    Whole(Bytes),
    /// As it comes.
    Parts(mpsc::Receiver<StreamPart>),
}

/// A server's answer, unchanged.
#[derive(Debug)]
pub struct Reply {
    /// Status of the server.
    pub status: http::StatusCode,
    /// Headers of the server, without those of its connection.
    pub headers: http::HeaderMap,
    /// Bytes of the server.
    pub body: ReplyBody,
}

//! Responses and refusals that a caller receives.

use std::time;

use base::outcome;
use bytes::Bytes;
use tokio::sync::mpsc;

/// Why a request is refused or abandoned on this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalCause {
    /// No configuration is known yet.
    Unconfigured,
    /// There is no route, or the key is missing: a client error.
    Unroutable(crate::catalog::RouteError),
    /// The head or body is invalid.
    BadRequest,
    /// The body exceeds the size limit.
    TooLarge,
    /// The memory for requests of callers has no room.
    NoMemory,
    /// The body stopped arriving, or did not arrive in time.
    SlowBody,
    /// The caller has as many requests in progress as there are places for.
    Crowded,
    /// No server of the service is known.
    NoServer,
    /// The queue is too long to serve the request in time.
    Overload,
    /// The request's organisation is above its share, and other requests go first.
    OverShare,
    /// The max wait ended without a server.
    Patience,
    /// Servers rejected the request, and no further attempt is allowed.
    Rejected,
    /// This VM is stopping, and would end before the response is complete.
    Stopping,
    /// The request is suspected of crashing servers.
    Quarantined,
    /// A server lost the request or sent an invalid response.
    ServerLost,
    /// The time limit passed.
    Timeout,
}

/// Causes of refusals that another VM may name.
const NAMED_CAUSES: [RefusalCause; 10] = [
    RefusalCause::Unconfigured,
    RefusalCause::NoServer,
    RefusalCause::Overload,
    RefusalCause::OverShare,
    RefusalCause::Patience,
    RefusalCause::Rejected,
    RefusalCause::Stopping,
    RefusalCause::Quarantined,
    RefusalCause::ServerLost,
    RefusalCause::Timeout,
];

impl RefusalCause {
    /// The cause that another VM names.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        NAMED_CAUSES.into_iter().find(|cause| cause.name() == name)
    }

    /// The name used in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unconfigured => "unconfigured",
            Self::Unroutable(crate::catalog::RouteError::NoRoute) => "no_route",
            Self::Unroutable(crate::catalog::RouteError::NoKey) => "no_key",
            Self::BadRequest => "bad_request",
            Self::TooLarge => "too_large",
            Self::NoMemory => "no_memory",
            Self::SlowBody => "slow_body",
            Self::Crowded => "crowded",
            Self::NoServer => "no_server",
            Self::Overload => "overload",
            Self::OverShare => "over_share",
            Self::Patience => "patience",
            Self::Rejected => "rejected",
            Self::Stopping => "stopping",
            Self::Quarantined => "quarantined",
            Self::ServerLost => "server_lost",
            Self::Timeout => "timeout",
        }
    }
}

/// Refusal of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Cause of the refusal.
    pub cause: RefusalCause,
    /// Whether the request ran; `No` is guaranteed.
    pub ran: outcome::RanState,
    /// Delay before a retry.
    pub retry_after: Option<time::Duration>,
}

/// A part of a streamed response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamPart {
    /// Bytes to forward.
    Bytes(Bytes),
    /// End of a complete response. A channel that closes without it is a truncated response and
    /// must look truncated to the caller: under no failure may an incomplete response pass for a
    /// complete one.
    End,
}

/// Body of a response.
#[derive(Debug)]
pub enum ReplyBody {
    /// Complete body.
    Complete(Bytes),
    /// Body streamed as it arrives.
    Parts(mpsc::Receiver<StreamPart>),
}

/// Response of a backend server, unchanged.
#[derive(Debug)]
pub struct Reply {
    /// Status from the server.
    pub status: http::StatusCode,
    /// Headers from the server, without hop-by-hop headers.
    pub headers: http::HeaderMap,
    /// Body from the server.
    pub body: ReplyBody,
}

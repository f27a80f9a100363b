//! Options and errors of calls.

use std::{net, time};

use base::outcome;

use crate::{handshake, proto::peer};
use peer::{reply, response};

/// Error of a call that got no valid response.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CallError {
    /// The connection could not be opened.
    #[snafu(display(
        "cannot connect to {address}: {source}; the VM may be down, call another one"
    ))]
    Connect {
        /// Address of the other VM.
        address: net::SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The handshake failed.
    #[snafu(display("handshake with {address} failed: {source}"))]
    Handshake {
        /// Address of the other VM.
        address: net::SocketAddr,
        /// Error of the handshake.
        source: handshake::HandshakeError,
    },
    /// The other side refused the call before it started.
    #[snafu(display("{address} refused the call: {message}"))]
    Refused {
        /// Address of the other VM.
        address: net::SocketAddr,
        /// Reason, for programs.
        kind: peer::FailureKind,
        /// Reason, for operators.
        message: String,
    },
    /// The other side failed; the call may have had an effect.
    #[snafu(display("{address} failed and the call may have had an effect: {message}"))]
    Failed {
        /// Address of the other VM.
        address: net::SocketAddr,
        /// Reason, for operators.
        message: String,
    },
    /// The connection broke or fell silent during the call.
    #[snafu(display("the connection to {address} was lost; the call may have had an effect"))]
    Lost {
        /// Address of the other VM.
        address: net::SocketAddr,
    },
    /// The connection broke before the call was sent.
    #[snafu(display("the connection to {address} was lost before the call was sent; call again"))]
    NotSent {
        /// Address of the other VM.
        address: net::SocketAddr,
    },
    /// The deadline passed without a response.
    #[snafu(display("{address} did not answer before the deadline; call another VM or extend it"))]
    Deadline {
        /// Address of the other VM.
        address: net::SocketAddr,
        /// Whether the call may have had an effect.
        ran: outcome::RanState,
    },
    /// The response does not match the kind of the request.
    #[snafu(display(
        "the response of {address} does not match the request; compare the releases of both VMs"
    ))]
    UnexpectedResponse {
        /// Address of the other VM.
        address: net::SocketAddr,
    },
}

impl CallError {
    /// Whether the call had an effect, as far as this side can tell.
    #[must_use]
    pub const fn ran(&self) -> outcome::RanState {
        match self {
            Self::Connect { .. }
            | Self::Handshake { .. }
            | Self::Refused { .. }
            | Self::NotSent { .. } => outcome::RanState::No,
            Self::Deadline { ran, .. } => *ran,
            Self::Failed { .. } | Self::Lost { .. } | Self::UnexpectedResponse { .. } => {
                outcome::RanState::Unknown
            }
        }
    }
}

/// Timeout of a call, and whether it may be repeated.
#[derive(Clone, Copy, Debug)]
pub struct CallOptions {
    /// Timeout of the complete call, including connecting and repeated attempts.
    pub timeout: time::Duration,
    /// Whether the call may run twice without harm; then it is repeated on a new connection after a
    /// connection is lost, while the timeout allows.
    pub repeatable: bool,
}

/// Converts a reply from `address` into the result of the call.
pub(crate) fn read_reply(
    address: net::SocketAddr,
    kind: reply::Kind,
) -> Result<response::Kind, CallError> {
    match kind {
        reply::Kind::Response(response) => response
            .kind
            .ok_or(CallError::UnexpectedResponse { address }),
        reply::Kind::Failure(failure) => {
            let (kind, message) = (failure.kind(), failure.message);
            let not_started = matches!(
                kind,
                peer::FailureKind::Busy
                    | peer::FailureKind::Unsupported
                    | peer::FailureKind::Refused
                    | peer::FailureKind::Late
            );
            if not_started {
                RefusedSnafu {
                    address,
                    kind,
                    message,
                }
                .fail()
            } else {
                FailedSnafu { address, message }.fail()
            }
        }
    }
}

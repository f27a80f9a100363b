//! What a call needs to know, and how it ends.

use std::{net, time};

use base::outcome;

use crate::{handshake, proto::peer};
use peer::{reply, response};

/// Why a call has no answer.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CallError {
    /// No connection.
    #[snafu(display("no connection to {address}: {source}; it may be down, ask another VM"))]
    Connect {
        /// Whom.
        address: net::SocketAddr,
        /// What the system says.
        source: std::io::Error,
    },
    /// The handshake failed.
    #[snafu(display("no connection to {address}: {source}"))]
    Handshake {
        /// Whom.
        address: net::SocketAddr,
        /// Why.
        source: handshake::HandshakeError,
    },
    /// The other side refused before anything was started.
    #[snafu(display("{address} refused the call: {message}"))]
    Refused {
        /// Whom.
        address: net::SocketAddr,
        /// Why, for programs.
        kind: peer::FailureKind,
        /// Why, for people.
        message: String,
    },
    /// The other side failed and may have had an effect.
    #[snafu(display("{address} failed and the call may have had an effect: {message}"))]
    Failed {
        /// Whom.
        address: net::SocketAddr,
        /// Why.
        message: String,
    },
    /// The connection broke or went silent with the call under way.
    #[snafu(display("the connection to {address} was lost; the call may have had an effect"))]
    Lost {
        /// Whom.
        address: net::SocketAddr,
    },
    /// The connection broke before the call was written.
    #[snafu(display("the connection to {address} was lost before the call left; call again"))]
    NotSent {
        /// Whom.
        address: net::SocketAddr,
    },
    /// The deadline passed.
    #[snafu(display("{address} did not answer in time; ask another VM or allow more time"))]
    Deadline {
        /// Whom.
        address: net::SocketAddr,
        /// Whether it may have had an effect.
        ran: outcome::RanState,
    },
    /// The answer is not one to this kind of request.
    #[snafu(display("{address} gave an answer that is none to this call; compare releases"))]
    Nonsense {
        /// Whom.
        address: net::SocketAddr,
    },
}

impl CallError {
    /// Whether the call had an effect, as far as this side can prove.
    #[must_use]
    pub const fn ran(&self) -> outcome::RanState {
        match self {
            Self::Connect { .. }
            | Self::Handshake { .. }
            | Self::Refused { .. }
            | Self::NotSent { .. } => outcome::RanState::No,
            Self::Deadline { ran, .. } => *ran,
            Self::Failed { .. } | Self::Lost { .. } | Self::Nonsense { .. } => {
                outcome::RanState::Unknown
            }
        }
    }
}

/// How long a call may take, and whether it may be made twice.
#[derive(Clone, Copy, Debug)]
pub struct CallOptions {
    /// The whole call, connecting and repeating included.
    pub within: time::Duration,
    /// Whether it does no harm when it runs twice; then a lost connection is replaced and the
    /// call made again while there is time.
    pub repeatable: bool,
}

/// What a reply says to the one who called `address`.
pub(crate) fn read_reply(
    address: net::SocketAddr,
    kind: reply::Kind,
) -> Result<response::Kind, CallError> {
    match kind {
        reply::Kind::Response(response) => response.kind.ok_or(CallError::Nonsense { address }),
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

//! Errors of calls to backend servers, one type per call, as far as callers must distinguish them.

use snafu::Snafu;

use crate::proof;

/// Error of a start: the generation was not started, or it is unknown whether it was.
#[derive(Debug, Snafu)]
#[snafu(module)]
pub enum StartError {
    /// The connection was refused or no byte was sent.
    #[snafu(display("{server} could not be reached: {cause}; check that its process runs"))]
    NeverSent {
        /// Proof that no byte was sent, which allows another attempt.
        evidence: proof::NeverSent,
        /// The server.
        server: String,
        /// Error of the transport.
        cause: String,
    },
    /// The start was sent and no answer arrived.
    #[snafu(display(
        "{server} did not answer a start: {cause}; the attempt is settled by cancelling"
    ))]
    Lost {
        /// The server.
        server: String,
        /// Error of the transport.
        cause: String,
    },
    /// The server declined the start.
    #[snafu(display("{server} declined a start with status {status}; see its own logs"))]
    Declined {
        /// The server.
        server: String,
        /// HTTP status.
        status: u16,
    },
}

/// Error of a resume.
#[derive(Debug, Snafu)]
#[snafu(module)]
pub enum ResumeError {
    /// The connection was refused: the process that held the generation no longer runs.
    #[snafu(display("{server} refuses connections; its generations are lost with its process"))]
    Refused {
        /// The server.
        server: String,
    },
    /// The server does not hold the generation.
    #[snafu(display("{server} does not hold the generation; it restarted or has evicted it"))]
    NotHeld {
        /// The server.
        server: String,
    },
    /// No answer or an invalid one arrived.
    #[snafu(display("{server} did not answer a resume: {cause}; the resume is retried"))]
    Lost {
        /// The server.
        server: String,
        /// Error of the transport.
        cause: String,
    },
}

/// Error of a cancel: the generation was not cancelled, or it is unknown whether it was.
#[derive(Debug, Snafu)]
#[snafu(module)]
pub enum CancelError {
    /// The connection was refused: the process that held the generation no longer runs.
    #[snafu(display("{server} refuses connections; its generations are lost with its process"))]
    Refused {
        /// The server.
        server: String,
    },
    /// No answer or an invalid one arrived.
    #[snafu(display("{server} did not answer a cancel: {cause}; the cancel is retried"))]
    Lost {
        /// The server.
        server: String,
        /// Error of the transport.
        cause: String,
    },
}

/// Error of a stream of events.
#[derive(Debug, Snafu)]
#[snafu(module)]
pub enum StreamError {
    /// The stream ended without a finish event.
    #[snafu(display("the stream from {server} broke: {cause}; the generation is resumed"))]
    Cut {
        /// The server.
        server: String,
        /// Error of the transport.
        cause: String,
    },
    /// The stream carried something that is not an event.
    #[snafu(display("{server} sent an invalid event: {cause}; the generation is resumed"))]
    Nonsense {
        /// The server.
        server: String,
        /// Error of the parser.
        cause: String,
    },
}

/// Error of a plain service call.
#[derive(Debug, Snafu)]
#[snafu(module)]
pub enum CallError {
    /// The connection was refused or no byte was sent.
    #[snafu(display("{server} could not be reached: {cause}; check that its process runs"))]
    NeverSent {
        /// Proof that no byte was sent, which allows another attempt.
        evidence: proof::NeverSent,
        /// The server.
        server: String,
        /// Error of the transport.
        cause: String,
    },
    /// The call was sent, and no answer or an invalid one arrived.
    #[snafu(display("{server} did not answer a call: {cause}; it may have run"))]
    Lost {
        /// The server.
        server: String,
        /// Error of the transport.
        cause: String,
    },
}

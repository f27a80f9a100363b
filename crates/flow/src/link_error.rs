//! How a call to a backend server can fail, as far as the caller of the link must tell apart.

use snafu::Snafu;

use crate::proof;

/// A generation was not started, or it is not known whether it was.
#[derive(Debug, Snafu)]
#[snafu(module)]
pub enum StartError {
    /// The connection was refused or no byte was sent.
    #[snafu(display("{server} could not be reached: {cause}; check that its process runs"))]
    NeverSent {
        /// For another try.
        evidence: proof::NeverSent,
        /// The server.
        server: String,
        /// What the transport said.
        cause: String,
    },
    /// It was sent and no answer came.
    #[snafu(display("{server} did not answer a start: {cause}; the try is settled by cancelling"))]
    Lost {
        /// The server.
        server: String,
        /// What the transport said.
        cause: String,
    },
    /// The server answered that it will not.
    #[snafu(display("{server} declined a start with status {status}; see its own logs"))]
    Declined {
        /// The server.
        server: String,
        /// HTTP status.
        status: u16,
    },
}

/// A generation could not be continued.
#[derive(Debug, Snafu)]
#[snafu(module)]
pub enum ResumeError {
    /// Nothing listens there: the process that held the generation is gone.
    #[snafu(display("{server} refuses connections; its generations are lost with its process"))]
    Refused {
        /// The server.
        server: String,
    },
    /// The server does not hold the generation.
    #[snafu(display("{server} does not hold the generation; it was restarted or forgot it"))]
    NotHeld {
        /// The server.
        server: String,
    },
    /// No answer, or one that makes no sense.
    #[snafu(display("{server} did not answer a resume: {cause}; it is asked again"))]
    Lost {
        /// The server.
        server: String,
        /// What the transport said.
        cause: String,
    },
}

/// A generation could not be cancelled, or it is not known whether it was.
#[derive(Debug, Snafu)]
#[snafu(module)]
pub enum CancelError {
    /// Nothing listens there: the process that held the generation is gone.
    #[snafu(display("{server} refuses connections; its generations are lost with its process"))]
    Refused {
        /// The server.
        server: String,
    },
    /// No answer, or one that makes no sense.
    #[snafu(display("{server} did not answer a cancel: {cause}; it is asked again"))]
    Lost {
        /// The server.
        server: String,
        /// What the transport said.
        cause: String,
    },
}

/// A stream of events broke.
#[derive(Debug, Snafu)]
#[snafu(module)]
pub enum StreamError {
    /// It ended without a finish.
    #[snafu(display("the stream of {server} was cut: {cause}; the generation is resumed"))]
    Cut {
        /// The server.
        server: String,
        /// What the transport said.
        cause: String,
    },
    /// It carried something that is no event.
    #[snafu(display("{server} sent what is no event: {cause}; the generation is resumed"))]
    Nonsense {
        /// The server.
        server: String,
        /// What was wrong.
        cause: String,
    },
}

/// A plain service call has no answer.
#[derive(Debug, Snafu)]
#[snafu(module)]
pub enum CallError {
    /// The connection was refused or no byte was sent.
    #[snafu(display("{server} could not be reached: {cause}; check that its process runs"))]
    NeverSent {
        /// For another try.
        evidence: proof::NeverSent,
        /// The server.
        server: String,
        /// What the transport said.
        cause: String,
    },
    /// It was sent, and its answer did not come or was nonsense.
    #[snafu(display("{server} did not answer a call: {cause}; it may have run"))]
    Lost {
        /// The server.
        server: String,
        /// What the transport said.
        cause: String,
    },
}

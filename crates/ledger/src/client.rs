//! The face of the platform's append-only log as this project uses it.

use snafu::Snafu;

/// One record as it is read back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    /// Position in the stream; offsets have no gaps.
    pub offset: u64,
    /// When the record was appended, by the log's own clock.
    pub at_ms: u64,
    /// The bytes that were appended.
    pub body: bytes::Bytes,
}

/// Which records of a stream are asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadQuery {
    /// Name of the stream.
    pub stream: String,
    /// Offset of the first record wanted.
    pub from: u64,
    /// Records in the answer at the most.
    pub max: u32,
    /// How long the log waits for a record when there is none yet, in milliseconds.
    pub wait_ms: u64,
}

/// The answer to a read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadPage {
    /// Lowest offset that the log still keeps.
    pub first: u64,
    /// Offset that the next read starts at.
    pub next: u64,
    /// Records in order of offset; empty when there is none from the offset asked for.
    pub records: Vec<LogRecord>,
}

/// Why an append has no offset to show.
///
/// Only `Unknown` leaves it open whether the record is on the log.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum AppendError {
    /// The log is over its cap on appends; nothing was appended.
    #[snafu(display(
        "stream {stream}: the log refuses appends over its cap; nothing was appended, append later"
    ))]
    OverCap {
        /// Name of the stream.
        stream: String,
    },
    /// The log refuses this record whatever the moment; nothing was appended.
    #[snafu(display(
        "stream {stream}: the log refused the record with status {status}; check its size and the \
         stream's name"
    ))]
    Refused {
        /// Name of the stream.
        stream: String,
        /// HTTP status of the answer.
        status: u16,
    },
    /// The request did not leave; nothing was appended.
    #[snafu(display("stream {stream}: the log cannot be reached ({cause}); append later"))]
    Down {
        /// Name of the stream.
        stream: String,
        /// What the connection reported.
        cause: String,
    },
    /// The answer was lost: the record may be on the log, or may yet come to be.
    #[snafu(display(
        "stream {stream}: the answer to an append was lost ({cause}); read the stream for the \
         record's id before anything is concluded"
    ))]
    Unknown {
        /// Name of the stream.
        stream: String,
        /// What the connection reported.
        cause: String,
    },
}

impl AppendError {
    /// Whether the record may be on the log all the same.
    #[must_use]
    pub const fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::Unknown { .. })
    }
}

/// Why a read has no page to show.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum ReadError {
    /// Retention has dropped the record asked for.
    #[snafu(display(
        "stream {stream}: records below offset {first} were dropped by retention; start again \
         from a checkpoint at or after {first}"
    ))]
    Dropped {
        /// Name of the stream.
        stream: String,
        /// Lowest offset that the log still keeps.
        first: u64,
    },
    /// The log did not answer, or not with a page.
    #[snafu(display("stream {stream}: the log cannot be read ({cause}); read again later"))]
    Fault {
        /// Name of the stream.
        stream: String,
        /// What the connection reported.
        cause: String,
    },
}

/// A connection to the platform's append-only log.
///
/// An implementation bounds every call in time: a call that hangs would stop a whole stream.
pub trait LogClient: Clone + Send + Sync + 'static {
    /// Appends one record and returns its offset.
    fn append(
        &self,
        stream: &str,
        body: bytes::Bytes,
    ) -> impl Future<Output = Result<u64, AppendError>> + Send;

    /// Reads records from an offset on.
    fn read(&self, query: &ReadQuery) -> impl Future<Output = Result<ReadPage, ReadError>> + Send;
}

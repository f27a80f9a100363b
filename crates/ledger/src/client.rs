//! Client interface of the platform's append-only log.

use snafu::Snafu;

/// One record read from the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    /// Position in the stream; offsets are contiguous.
    pub offset: u64,
    /// Time at which the record was appended, on the log's clock.
    pub at_ms: u64,
    /// The appended bytes.
    pub body: bytes::Bytes,
}

/// A request to read records of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadQuery {
    /// Name of the stream.
    pub stream: String,
    /// Offset of the first requested record.
    pub from: u64,
    /// Maximum number of records in the answer.
    pub max: u32,
    /// Time that the log waits for a record if there is none yet, in milliseconds.
    pub wait_ms: u64,
}

/// The answer to a read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadPage {
    /// Era of the log that answered; it rises each time the log comes back from an older copy of
    /// itself, and offsets are then given out again.
    pub era: u64,
    /// Lowest offset that the log still retains.
    pub first: u64,
    /// Offset at which the next read starts.
    pub next: u64,
    /// Records in order of offset; empty if there are none at or after the requested offset.
    pub records: Vec<LogRecord>,
}

/// An error of an append.
///
/// After `Unknown` the record may be on the log; all other errors mean that it is not.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum AppendError {
    /// The log is over its cap on appends; nothing was appended.
    #[snafu(display(
        "stream {stream}: the log refuses appends over its cap; nothing was appended, retry later"
    ))]
    OverCap {
        /// Name of the stream.
        stream: String,
    },
    /// The log refuses this record regardless of its load; nothing was appended.
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
    /// The request was not sent; nothing was appended.
    #[snafu(display("stream {stream}: the log cannot be reached ({cause}); retry later"))]
    Down {
        /// Name of the stream.
        stream: String,
        /// Cause that the connection reported.
        cause: String,
    },
    /// The answer was lost: the record may be on the log, or may still reach it.
    #[snafu(display(
        "stream {stream}: the answer to an append was lost ({cause}); search the stream for the \
         record's id to learn the outcome"
    ))]
    Unknown {
        /// Name of the stream.
        stream: String,
        /// Cause that the connection reported.
        cause: String,
    },
}

impl AppendError {
    /// Whether the record may nevertheless be on the log.
    #[must_use]
    pub const fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::Unknown { .. })
    }
}

/// An error of a read.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum ReadError {
    /// The requested record was dropped by retention.
    #[snafu(display(
        "stream {stream}: records below offset {first} were dropped by retention; restart from \
         a checkpoint at or after {first}"
    ))]
    Dropped {
        /// Name of the stream.
        stream: String,
        /// Era of the log that answered.
        era: u64,
        /// Lowest offset that the log still retains.
        first: u64,
    },
    /// The log did not answer with a valid page.
    #[snafu(display("stream {stream}: the log cannot be read ({cause}); retry later"))]
    Failed {
        /// Name of the stream.
        stream: String,
        /// Cause that the connection reported.
        cause: String,
    },
}

/// A client of the platform's append-only log.
///
/// An implementation must limit the time of every call, because a hanging call would stop the
/// processing of its stream.
pub trait LogClient: Clone + Send + Sync + 'static {
    /// Appends one record and returns its offset.
    fn append(
        &self,
        stream: &str,
        body: bytes::Bytes,
    ) -> impl Future<Output = Result<u64, AppendError>> + Send;

    /// Reads records starting at an offset.
    fn read(&self, query: &ReadQuery) -> impl Future<Output = Result<ReadPage, ReadError>> + Send;
}

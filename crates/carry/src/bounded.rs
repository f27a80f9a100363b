//! Limits on answers that do not end.
//!
//! A faulty server may send bytes until its connection is closed. The parts of an answer that are kept
//! are limited in bytes; all of it is limited in time.

use std::{cell, fmt, io, pin, rc, task};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::{
    body,
    rt::{Read, ReadBufCursor, Write},
};
use hyper_util::rt;
use snafu::Snafu;
use tokio::{io::AsyncRead as _, net, time};

use crate::socket;

/// Maximum size of the head of an answer, with all interim heads before it.
pub const MAX_HEAD_BYTES: usize = 64 * 1_024;
/// Maximum number of lines of one head, as the HTTP client has it.
pub(crate) const MAX_HEAD_LINES: usize = 100;
/// Maximum size of the answer to a call whose answers have a few fields.
pub const MAX_SHORT_BODY_BYTES: usize = 16 * 1_024;
/// Time before the end of a call at which an answer that has begun counts as one without end, so that
/// the call ends with this finding.
const END_MARGIN: time::Duration = time::Duration::from_millis(10);
/// Maximum number of bytes that are read at once. The HTTP client would read up to 64 KiB at once from
/// a server that sends fast, and keep two such parts for each connection.
const READ_BYTES: usize = 16 * 1_024;
/// Index of the first digit of the status in a status line.
const STATUS_INDEX: usize = "HTTP/1.1 ".len();

thread_local! {
    /// Bytes of one read, before they are copied to the HTTP client.
    static READ_BUFFER: cell::RefCell<Box<[u8]>> =
        cell::RefCell::new(vec![0; READ_BYTES].into_boxed_slice());
}

/// What of an answer had no end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndlessPlace {
    /// The head of a server's answer.
    Head,
    /// The body of a server's answer.
    Body,
    /// An event of a stream.
    Event,
    /// An answer of the store.
    Store,
    /// An answer or a request of another VM.
    Link,
}

impl EndlessPlace {
    /// The name used in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Head => "head",
            Self::Body => "body",
            Self::Event => "event",
            Self::Store => "store",
            Self::Link => "link",
        }
    }
}

/// A limit that an answer exceeded, as logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndlessLimit {
    /// A number of bytes.
    Bytes(usize),
    /// A number of header lines.
    Lines(usize),
    /// The time since the answer began, or that the call had.
    Time(time::Duration),
}

impl fmt::Display for EndlessLimit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bytes(bytes) => write!(formatter, "{bytes} bytes"),
            Self::Lines(lines) => write!(formatter, "{lines} header lines"),
            Self::Time(span) => write!(formatter, "{} ms", span.as_millis()),
        }
    }
}

/// Error of an answer that exceeds a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("no end after {read} bytes, limit {limit}"))]
pub struct EndlessAnswer {
    /// Bytes that were read.
    pub read: usize,
    /// The limit.
    pub limit: EndlessLimit,
}

impl EndlessAnswer {
    /// Logs and counts the answer, whose connection is closed.
    pub fn report(&self, place: EndlessPlace, server: impl fmt::Display) {
        let name = place.name();
        metrics::counter!("pollenchute_exchange_endless_answers_total", "where" => name)
            .increment(1);
        log::warn!(
            server:% = server, what:% = name, read = self.read, limit:% = self.limit;
            "answer without end closed"
        );
    }
}

/// Progress of the heads of one answer.
#[derive(Debug, Default)]
struct HeadState {
    /// Whether the head of an answer is awaited.
    awaited: bool,
    /// Bytes of heads since the request.
    bytes: usize,
    /// Length of the current line, without its end.
    line_bytes: usize,
    /// Whether a line of the current head has ended.
    in_head: bool,
    /// Whether the current head is that of an interim answer.
    interim: bool,
}

impl HeadState {
    /// Takes the next bytes of the answer, up to the end of its head.
    fn take(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            if !self.awaited {
                return;
            }
            self.bytes += 1;
            match byte {
                b'\n' => self.end_line(),
                b'\r' => {}
                _ => {
                    if !self.in_head && self.line_bytes == STATUS_INDEX {
                        self.interim = byte == b'1';
                    }
                    self.line_bytes += 1;
                }
            }
        }
    }

    /// An empty line ends a head. Empty lines before a head belong to it.
    const fn end_line(&mut self) {
        let ends_head = self.in_head && self.line_bytes == 0;
        self.in_head = !ends_head && (self.in_head || self.line_bytes > 0);
        self.line_bytes = 0;
        if ends_head && !self.interim {
            self.awaited = false;
        }
    }
}

/// Progress of the heads on one connection; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeadMeter(rc::Rc<cell::RefCell<HeadState>>);

impl HeadMeter {
    /// Begins to await the head of an answer.
    pub(crate) fn begin(&self) {
        *self.0.borrow_mut() = HeadState {
            awaited: true,
            ..HeadState::default()
        };
    }

    /// Notes that the head of the answer is complete.
    pub(crate) fn end(&self) {
        self.0.borrow_mut().awaited = false;
    }

    /// Bytes of heads since the request, while the head is awaited and has reached its limit.
    pub(crate) fn exceeded(&self) -> Option<EndlessAnswer> {
        let state = self.0.borrow();
        let exceeded = state.awaited && state.bytes >= MAX_HEAD_BYTES;
        exceeded.then_some(EndlessAnswer {
            read: state.bytes,
            limit: EndlessLimit::Bytes(MAX_HEAD_BYTES),
        })
    }

    /// The answer as one that has exceeded `limit`.
    pub(crate) fn endless(&self, limit: EndlessLimit) -> EndlessAnswer {
        let read = self.0.borrow().bytes;
        EndlessAnswer { read, limit }
    }

    /// Whether a head has begun and not ended. Between two interim answers none has.
    fn is_in_head(&self) -> bool {
        let state = self.0.borrow();
        let began = state.in_head || state.line_bytes > 0;
        // Lines without content are no head of an interim answer either.
        let blank = !began && !state.interim && state.bytes > 0;
        state.awaited && (began || blank)
    }

    /// Runs a call that awaits a head for at most `left`. Ends shortly before if a head has begun and
    /// not ended; a server that is silent has all the time.
    pub(crate) async fn limit<T>(
        &self,
        left: time::Duration,
        call: impl Future<Output = T>,
    ) -> Result<T, EndlessAnswer> {
        tokio::pin!(call);
        let due = left.saturating_sub(END_MARGIN);
        if let Ok(output) = time::timeout(due, call.as_mut()).await {
            return Ok(output);
        }
        if self.is_in_head() {
            return Err(self.endless(EndlessLimit::Time(left)));
        }
        Ok(call.await)
    }
}

/// Connection to a server, whose reads fail once a head exceeds its limit.
#[derive(Debug)]
pub(crate) struct BoundedStream {
    stream: net::TcpStream,
    heads: HeadMeter,
}

impl BoundedStream {
    pub(crate) const fn new(stream: net::TcpStream, heads: HeadMeter) -> Self {
        Self { stream, heads }
    }

    fn io(&mut self) -> rt::TokioIo<&mut net::TcpStream> {
        rt::TokioIo::new(&mut self.stream)
    }
}

impl Read for BoundedStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> task::Poll<io::Result<()>> {
        if let Some(endless) = self.heads.exceeded() {
            return task::Poll::Ready(Err(io::Error::other(endless)));
        }
        READ_BUFFER.with_borrow_mut(|bytes| {
            let length = buffer.remaining().min(bytes.len());
            let mut read = tokio::io::ReadBuf::new(&mut bytes[..length]);
            task::ready!(pin::Pin::new(&mut self.stream).poll_read(context, &mut read))?;
            self.heads.0.borrow_mut().take(read.filled());
            buffer.put_slice(read.filled());
            task::Poll::Ready(Ok(()))
        })
    }
}

impl Write for BoundedStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.io()).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.io()).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.io()).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.io()).poll_write_vectored(context, bytes)
    }
}

/// Errors of reading a body that is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// The connection broke.
    #[snafu(display("the body broke off"))]
    Broken,
    /// The body exceeds its limit.
    #[snafu(display("{answer}"))]
    Endless {
        /// What was read.
        answer: EndlessAnswer,
    },
}

/// Limits on a body that is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyLimit {
    /// Maximum size.
    pub bytes: usize,
    /// Time until the call ends.
    pub left: time::Duration,
}

/// Reads a whole body; `note` learns the length of each part. Ends shortly before the time is over, so
/// that the call ends with this finding.
///
/// # Errors
///
/// When the body breaks off or exceeds a limit.
pub async fn collect(
    mut body: body::Incoming,
    limit: BodyLimit,
    note: impl Fn(usize),
) -> Result<Bytes, BodyError> {
    let due = time::Instant::now() + limit.left.saturating_sub(END_MARGIN);
    let mut received = BytesMut::new();
    let endless = |read, limit| {
        let answer = EndlessAnswer { read, limit };
        Err(BodyError::Endless { answer })
    };
    loop {
        let frame = match time::timeout_at(due, body.frame()).await {
            Ok(Some(frame)) => frame.map_err(|_| BodyError::Broken)?,
            Ok(None) => return Ok(received.freeze()),
            Err(_) if received.is_empty() => return Err(BodyError::Broken),
            Err(_) => return endless(received.len(), EndlessLimit::Time(limit.left)),
        };
        let Ok(part) = frame.into_data() else {
            continue;
        };
        note(part.len());
        let read = received.len() + part.len();
        if read > limit.bytes {
            return endless(read, EndlessLimit::Bytes(limit.bytes));
        }
        received.extend_from_slice(&part);
    }
}

/// Lets the system reset a connection when it is closed.
///
/// # Errors
///
/// When the system refuses the option.
pub fn reset_on_close(stream: &net::TcpStream) -> io::Result<()> {
    socket::reset_on_close(stream)
}

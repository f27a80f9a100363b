//! Connection of a caller whose end tells whether its answer is complete.

use std::{cell, io, pin, rc, task};

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt;
use tokio::{
    io::{AsyncRead as _, ReadBuf},
    time,
};

use crate::places;

/// Whether the answer in progress ends with its connection, as shared by the connection and the
/// service that answers.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnswerFraming(rc::Rc<cell::Cell<bool>>);

impl AnswerFraming {
    /// Notes the version of a request. Callers of HTTP/1.0 know neither chunks nor their end.
    pub(crate) fn note_version(&self, version: http::Version) {
        self.0.set(version < http::Version::HTTP_11);
    }
}

/// Maximum time in which the caller of a refused body closes its connection.
const LINGER_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Bytes that are read at once and dropped.
const LINGER_BUFFER_BYTES: usize = 4 * 1_024;
/// Number of reads before other connections have their turn.
const MAX_LINGER_READS: usize = 16;

/// Connection of a caller. While it carries an answer that ends with it, any end but a shutdown
/// resets it, so that an answer that breaks off never looks complete, not even if the process ends.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    stream: rt::TokioIo<tokio::net::TcpStream>,
    framing: AnswerFraming,
    /// Whether the end of the connection resets it.
    resets: bool,
    place: rc::Rc<places::HeldPlace>,
    /// Time in which a head that has begun must have arrived.
    head_timeout: time::Duration,
    /// Ends the time of the head that arrives; present while one does.
    head_due: Option<pin::Pin<Box<time::Sleep>>>,
    /// Ends the wait for the end of a refused body; present during it.
    linger_due: Option<pin::Pin<Box<time::Sleep>>>,
}

impl CallerConnection {
    pub(crate) fn new(
        stream: tokio::net::TcpStream,
        framing: AnswerFraming,
        place: rc::Rc<places::HeldPlace>,
        head_timeout: time::Duration,
    ) -> Self {
        Self {
            stream: rt::TokioIo::new(stream),
            framing,
            resets: false,
            place,
            head_timeout,
            head_due: None,
            linger_due: None,
        }
    }

    /// Fails once the head that arrives has taken too long. Only heads that do not arrive at once have a
    /// timer.
    fn poll_head(&mut self, context: &mut task::Context<'_>) -> io::Result<()> {
        let Some(since) = self.place.head_since() else {
            self.head_due = None;
            return Ok(());
        };
        let due = since + self.head_timeout;
        let timer = self
            .head_due
            .get_or_insert_with(|| Box::pin(time::sleep_until(due)));
        if timer.as_mut().poll(context).is_pending() {
            return Ok(());
        }
        metrics::counter!("pollenchute_carry_requests_refused_total", "reason" => "late_head")
            .increment(1);
        Err(io::ErrorKind::TimedOut.into())
    }

    /// Reads and drops what the caller of a refused body still sends, until it closes the connection, so
    /// that the system does not reset it before the caller has read its refusal.
    fn poll_linger(&mut self, context: &mut task::Context<'_>) -> task::Poll<io::Result<()>> {
        let timer = self
            .linger_due
            .get_or_insert_with(|| Box::pin(time::sleep(LINGER_TIMEOUT)));
        if timer.as_mut().poll(context).is_ready() {
            return task::Poll::Ready(Ok(()));
        }
        let mut buffer = [0; LINGER_BUFFER_BYTES];
        for _ in 0..MAX_LINGER_READS {
            let mut read = ReadBuf::new(&mut buffer);
            let stream = pin::Pin::new(self.stream.inner_mut());
            task::ready!(stream.poll_read(context, &mut read))?;
            if read.filled().is_empty() {
                return task::Poll::Ready(Ok(()));
            }
        }
        context.waker().wake_by_ref();
        task::Poll::Pending
    }

    fn set_resets(&mut self, resets: bool) -> io::Result<()> {
        if self.resets == resets {
            return Ok(());
        }
        let linger = resets.then_some(time::Duration::ZERO);
        socket2::SockRef::from(self.stream.inner()).set_linger(linger)?;
        self.resets = resets;
        Ok(())
    }

    fn stream(&mut self) -> pin::Pin<&mut rt::TokioIo<tokio::net::TcpStream>> {
        pin::Pin::new(&mut self.stream)
    }
}

impl Read for CallerConnection {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> task::Poll<io::Result<()>> {
        let read = self.stream().poll_read(context, buffer);
        match read {
            task::Poll::Ready(_) => self.place.note_read(),
            task::Poll::Pending => self.poll_head(context)?,
        }
        read
    }
}

impl Write for CallerConnection {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let resets = self.framing.0.get();
        self.set_resets(resets)?;
        self.stream().poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        let flushed = self.stream().poll_flush(context);
        if flushed.is_ready() {
            self.place.note_flushed();
        }
        flushed
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        if self.linger_due.is_none() {
            self.set_resets(false)?;
            task::ready!(self.stream().poll_shutdown(context))?;
        }
        if self.place.has_refused_body() {
            return self.poll_linger(context);
        }
        task::Poll::Ready(Ok(()))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let resets = self.framing.0.get();
        self.set_resets(resets)?;
        self.stream().poll_write_vectored(context, bytes)
    }
}

//! Connection of a caller whose end tells whether its answer is complete.

use std::{cell, io, pin, rc, task, time};

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt;

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

/// Connection of a caller. While it carries an answer that ends with it, any end but a shutdown
/// resets it, so that an answer that breaks off never looks complete, not even if the process ends.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    stream: rt::TokioIo<tokio::net::TcpStream>,
    framing: AnswerFraming,
    /// Whether the end of the connection resets it.
    resets: bool,
}

impl CallerConnection {
    pub(crate) fn new(stream: tokio::net::TcpStream, framing: AnswerFraming) -> Self {
        Self {
            stream: rt::TokioIo::new(stream),
            framing,
            resets: false,
        }
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
        self.stream().poll_read(context, buffer)
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
        self.stream().poll_flush(context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        self.set_resets(false)?;
        self.stream().poll_shutdown(context)
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

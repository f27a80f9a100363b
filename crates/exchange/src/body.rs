//! HTTP body of a reply.

use std::{pin, task};

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::reply;

/// Body that is sent as its parts arrive.
#[derive(Debug)]
pub struct ReplyStream {
    /// Bytes before the body; `None` once they have been sent.
    first: Option<Bytes>,
    rest: BodyRest,
}

#[derive(Debug)]
enum BodyRest {
    /// Complete body; `None` once it has been sent.
    Complete(Option<Bytes>),
    /// Body that is forwarded as its parts arrive.
    Parts(mpsc::Receiver<reply::StreamPart>),
}

/// The response body ended before it was complete.
#[derive(Clone, Copy, Debug, snafu::Snafu)]
#[snafu(display("the response body ended before it was complete"))]
pub struct IncompleteBody;

impl ReplyStream {
    /// The body of a reply.
    #[must_use]
    pub fn of(body: reply::ReplyBody) -> Self {
        let rest = match body {
            reply::ReplyBody::Complete(bytes) => BodyRest::Complete(Some(bytes)),
            reply::ReplyBody::Parts(parts) => BodyRest::Parts(parts),
        };
        Self { first: None, rest }
    }

    /// A complete body.
    #[must_use]
    pub fn complete(bytes: impl Into<Bytes>) -> Self {
        Self::of(reply::ReplyBody::Complete(bytes.into()))
    }

    /// Adds bytes that are sent before the body.
    #[must_use]
    pub fn after(self, first: Bytes) -> Self {
        let first = Some(first);
        Self { first, ..self }
    }
}

impl http_body::Body for ReplyStream {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<Bytes>, IncompleteBody>>> {
        if let Some(first) = self.first.take() {
            return task::Poll::Ready(Some(Ok(http_body::Frame::data(first))));
        }
        match &mut self.rest {
            BodyRest::Complete(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                task::Poll::Ready(bytes.map(|bytes| Ok(http_body::Frame::data(bytes))))
            }
            BodyRest::Parts(parts) => parts.poll_recv(context).map(|part| match part {
                Some(reply::StreamPart::Bytes(bytes)) => Some(Ok(http_body::Frame::data(bytes))),
                Some(reply::StreamPart::End) => None,
                None => Some(Err(IncompleteBody)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.rest {
            BodyRest::Complete(bytes) => {
                self.first.is_none() && bytes.as_ref().is_none_or(Bytes::is_empty)
            }
            BodyRest::Parts(_) => false,
        }
    }

    fn size_hint(&self) -> http_body::SizeHint {
        let first = self.first.as_ref().map_or(0, Bytes::len) as u64;
        match &self.rest {
            BodyRest::Complete(bytes) => {
                let rest = bytes.as_ref().map_or(0, Bytes::len) as u64;
                http_body::SizeHint::with_exact(first + rest)
            }
            BodyRest::Parts(_) => http_body::SizeHint::default(),
        }
    }
}

//! HTTP answers as Rocket responders.

use std::io;

use base::refusal;
use bytes::Bytes;
use futures_util::stream;
use rocket::{http, response};

const JSON: &str = "application/json";

/// One answer: a status, a few headers, a body.
#[derive(Debug)]
pub struct HttpAnswer<B> {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// Further headers.
    pub headers: Vec<HeaderLine>,
    /// The body.
    pub body: B,
}

/// One header of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderLine {
    /// Lower-case name.
    pub name: &'static str,
    /// Value.
    pub value: String,
}

/// A body that is completely in memory.
#[derive(Clone, Debug)]
pub struct CompleteBody(pub Bytes);

/// A body that is streamed.
#[derive(Debug)]
pub struct StreamBody<S>(pub S);

impl HttpAnswer<CompleteBody> {
    /// Creates a JSON answer.
    pub fn json<T: serde::Serialize>(status: u16, value: &T) -> Self {
        // The types passed here always serialize: they hold no maps with non-string keys.
        let body = serde_json::to_vec(value).unwrap_or_default();
        let headers = Vec::new();
        Self {
            status,
            content_type: JSON.to_owned(),
            headers,
            body: CompleteBody(body.into()),
        }
    }

    /// Creates the answer of a refusal, with `Retry-After` when the refusal has a retry delay.
    pub fn refusal(body: refusal::RefusalBody) -> Self {
        let retry_after = body.retry_after_ms;
        let status = body.code.status();
        let mut answer = Self::json(status, &refusal::RefusalEnvelope { error: body });
        if let Some(delay_ms) = retry_after {
            let value = delay_ms.div_ceil(1000).to_string();
            answer.headers.push(HeaderLine {
                name: "retry-after",
                value,
            });
        }
        answer
    }

    /// Creates a plain-text answer.
    pub fn text(status: u16, text: impl Into<String>) -> Self {
        let content_type = "text/plain; charset=utf-8".to_owned();
        let body = CompleteBody(Bytes::from(text.into()));
        Self {
            status,
            content_type,
            headers: Vec::new(),
            body,
        }
    }
}

fn start<'r, B>(answer: &mut HttpAnswer<B>) -> response::Builder<'r> {
    let mut builder = response::Response::build();
    builder.status(http::Status::new(answer.status));
    builder.raw_header("content-type", std::mem::take(&mut answer.content_type));
    for line in answer.headers.drain(..) {
        builder.raw_header(line.name, line.value);
    }
    builder
}

impl<'r> response::Responder<'r, 'static> for HttpAnswer<CompleteBody> {
    fn respond_to(mut self, _request: &'r rocket::Request<'_>) -> response::Result<'static> {
        let mut builder = start(&mut self);
        let body = self.body.0;
        builder.sized_body(body.len(), io::Cursor::new(body)).ok()
    }
}

impl<'r, S> response::Responder<'r, 'static> for HttpAnswer<StreamBody<S>>
where
    S: stream::Stream<Item = Bytes> + Send + 'static,
{
    fn respond_to(mut self, _request: &'r rocket::Request<'_>) -> response::Result<'static> {
        let mut builder = start(&mut self);
        // A buffering proxy between the daemon and the caller would delay tokens.
        builder.raw_header("cache-control", "no-store");
        builder.raw_header("x-accel-buffering", "no");
        builder
            .streamed_body(response::stream::ReaderStream::from(
                self.body.0.map_cursor(),
            ))
            .ok()
    }
}

/// Converts the chunks of a body to the cursors that Rocket's reader takes.
trait CursorStream: stream::Stream<Item = Bytes> + Sized {
    fn map_cursor(self) -> impl stream::Stream<Item = io::Cursor<Bytes>> {
        futures_util::StreamExt::map(self, io::Cursor::new)
    }
}

impl<S: stream::Stream<Item = Bytes>> CursorStream for S {}

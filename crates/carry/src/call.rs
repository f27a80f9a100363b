//! Body of a request to a server or another VM.

use std::{convert, pin, task};

use bytes::Bytes;

/// Complete body in two parts, of which the second is sent from the buffer that it is in.
#[derive(Clone, Debug, Default)]
pub struct CallBody {
    /// What has not been sent.
    first: Bytes,
    rest: Bytes,
}

impl CallBody {
    /// A body whose second part is shared with other users.
    #[must_use]
    pub const fn joined(first: Bytes, rest: Bytes) -> Self {
        Self { first, rest }
    }
}

impl From<Bytes> for CallBody {
    fn from(first: Bytes) -> Self {
        Self::joined(first, Bytes::new())
    }
}

impl http_body::Body for CallBody {
    type Data = Bytes;
    type Error = convert::Infallible;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        _: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<Bytes>, convert::Infallible>>> {
        let mut part = std::mem::take(&mut self.first);
        if part.is_empty() {
            part = std::mem::take(&mut self.rest);
        }
        let part = Some(part).filter(|part| !part.is_empty());
        task::Poll::Ready(part.map(|part| Ok(http_body::Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_empty() && self.rest.is_empty()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        http_body::SizeHint::with_exact((self.first.len() + self.rest.len()) as u64)
    }
}

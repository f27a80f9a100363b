//! Parser of server-sent events for callers: one data line per event, comments as keep-alives.

use futures_util::StreamExt as _;
use tokio_util::{codec, io};

/// Maximum length of a line; a longer line is an error, which bounds memory use.
const MAX_LINE_BYTES: usize = 1 << 20;

/// One line of an event stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// The text after `data: `.
    Data(String),
    /// A comment or an empty line, which shows that the connection is alive.
    KeepAlive,
}

impl StreamEvent {
    fn of_line(line: String) -> Self {
        match line.strip_prefix("data:") {
            Some(data) => Self::Data(data.strip_prefix(' ').unwrap_or(data).to_owned()),
            None => Self::KeepAlive,
        }
    }
}

/// Returns the events of `response` until its body ends or fails.
pub fn read_events(
    response: reqwest::Response,
) -> impl futures_util::Stream<Item = Result<StreamEvent, codec::LinesCodecError>> + Unpin {
    let chunks = Box::pin(response.bytes_stream());
    let reader = io::StreamReader::new(chunks.map(|chunk| chunk.map_err(std::io::Error::other)));
    let codec = codec::LinesCodec::new_with_max_length(MAX_LINE_BYTES);
    codec::FramedRead::new(reader, codec).map(|line| line.map(StreamEvent::of_line))
}

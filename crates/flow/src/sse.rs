//! Parser for the server-sent events of a model engine.

use bytes::{Buf as _, BytesMut};
use snafu::{ResultExt as _, Snafu};

use crate::port;

/// Maximum length of a line; the line of a token has less than a hundred bytes.
const MAX_LINE_BYTES: usize = 64 * 1024;

/// Error of a stream that carries something other than events.
#[derive(Debug, Snafu)]
pub enum EventError {
    /// A line is too long.
    #[snafu(display(
        "a line is longer than {MAX_LINE_BYTES} bytes; check which server listens at the address"
    ))]
    LineTooLong,
    /// A line is not an event in JSON.
    #[snafu(display(
        "a line is not a JSON event: {source}; check which server listens at the address"
    ))]
    NotAnEvent {
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// An event is neither token nor finish.
    #[snafu(display(
        "an event is neither token nor finish; check which server listens at the address"
    ))]
    UnknownEvent,
}

/// Event in its wire format.
#[derive(serde::Deserialize)]
struct RawEvent {
    seq: Option<u32>,
    text: Option<String>,
    finish: Option<port::FinishReason>,
    produced: Option<u32>,
    #[serde(default)]
    prompt_tokens: u32,
    #[serde(default)]
    cached_tokens: u32,
    #[serde(default)]
    preempted: u32,
}

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct EventReader {
    bytes: BytesMut,
    /// Number of leading bytes that are known to contain no line feed.
    scanned: usize,
}

impl EventReader {
    /// Appends a piece of the stream.
    pub fn push(&mut self, piece: &[u8]) {
        self.bytes.extend_from_slice(piece);
    }

    /// Returns the next event if it has arrived completely.
    ///
    /// # Errors
    ///
    /// [`EventError`] if the stream is invalid; the rest of it must not be used.
    pub fn take(&mut self) -> Result<Option<port::EngineEvent>, EventError> {
        loop {
            let end = self.bytes[self.scanned..]
                .iter()
                .position(|byte| *byte == b'\n');
            let Some(end) = end else {
                self.scanned = self.bytes.len();
                snafu::ensure!(self.scanned <= MAX_LINE_BYTES, LineTooLongSnafu);
                return Ok(None);
            };
            let end = self.scanned + end;
            let event = parse_line(self.bytes[..end].trim_ascii_end());
            self.bytes.advance(end + 1);
            self.scanned = 0;
            if let Some(event) = event? {
                return Ok(Some(event));
            }
        }
    }
}

/// Parses one line: a comment is a ping; empty lines and fields other than `data` are ignored.
fn parse_line(line: &[u8]) -> Result<Option<port::EngineEvent>, EventError> {
    if line.first() == Some(&b':') {
        return Ok(Some(port::EngineEvent::Ping));
    }
    let Some(data) = line.strip_prefix(b"data:") else {
        return Ok(None);
    };
    let raw: RawEvent = serde_json::from_slice(data).context(NotAnEventSnafu)?;
    match raw {
        RawEvent {
            seq: Some(seq),
            text: Some(text),
            finish: None,
            ..
        } => Ok(Some(port::EngineEvent::Token { seq, text })),
        RawEvent {
            finish: Some(finish),
            produced: Some(produced),
            ..
        } => Ok(Some(port::EngineEvent::Finish(port::FinishReport {
            finish,
            produced,
            prompt_tokens: raw.prompt_tokens,
            cached_tokens: raw.cached_tokens,
            preempted: raw.preempted,
        }))),
        _ => UnknownEventSnafu.fail(),
    }
}

//! Server-sent events of a model engine, read from pieces of a byte stream.

use bytes::{Buf as _, BytesMut};
use snafu::{ResultExt as _, Snafu};

use crate::port;

/// Longest line that is taken; a token's is under a hundred bytes.
const LONGEST_LINE_BYTES: usize = 64 * 1024;

/// A stream carries something that is no event.
#[derive(Debug, Snafu)]
pub enum EventError {
    /// A line does not end.
    #[snafu(display(
        "a line is longer than {LONGEST_LINE_BYTES} bytes; check what is served there"
    ))]
    LineTooLong,
    /// A line is no JSON event.
    #[snafu(display("a line is no event: {source}; check what is served there"))]
    NotAnEvent {
        /// What the parser said.
        source: serde_json::Error,
    },
    /// An event is neither token nor finish.
    #[snafu(display("an event is neither token nor finish; check what is served there"))]
    NeitherNor,
}

/// An event as it is on the wire.
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
    /// Bytes at the front that are known to hold no end of a line.
    scanned: usize,
}

impl EventReader {
    /// Takes in a piece of the stream.
    pub fn push(&mut self, piece: &[u8]) {
        self.bytes.extend_from_slice(piece);
    }

    /// The next event, if there is a whole one.
    ///
    /// # Errors
    ///
    /// [`EventError`] when the stream makes no sense; nothing after it can be trusted.
    pub fn take(&mut self) -> Result<Option<port::EngineEvent>, EventError> {
        loop {
            let end = self.bytes[self.scanned..]
                .iter()
                .position(|byte| *byte == b'\n');
            let Some(end) = end else {
                self.scanned = self.bytes.len();
                snafu::ensure!(self.scanned <= LONGEST_LINE_BYTES, LineTooLongSnafu);
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

/// A comment is a ping; empty lines and fields other than `data` are nothing.
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
        _ => NeitherNorSnafu.fail(),
    }
}

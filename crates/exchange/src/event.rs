//! Splits a stream into events, so that only complete ones are forwarded.
//!
//! A server that crashes may truncate its stream within an event. A partial event followed by the
//! events of the run's continuation would reach the caller as an event that no server sent.

use bytes::{Buf, Bytes, BytesMut};

use crate::endless;

/// Max size of an event that is buffered until it is complete. A larger one is forwarded as it
/// arrives, and its stream can no longer continue on another server.
const MAX_EVENT_BYTES: usize = 256 * 1_024;
/// The same while all kept parts of answers together are near their limit.
const MAX_CROWDED_EVENT_BYTES: usize = endless::MIN_KEPT_BODY_BYTES;
/// Size of taken bytes above which their memory is freed with them and not used for further events.
const MAX_REUSED_BYTES: usize = 16 * 1_024;
/// Bytes of a large event that are kept back, so that its end is found across two parts.
const MAX_END_BYTES: usize = 3;

/// Incremental splitter of a stream's bytes into complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Length of the prefix of `buffer` that contains no end of an event.
    scanned_bytes: usize,
    last_id: Option<String>,
    events: u64,
    /// Whether `buffer` begins inside an event, whose first part was forwarded.
    inside_event: bool,
    /// Whether an event was forwarded before it was complete.
    has_split_event: bool,
    /// Whether the next event is the first one of a continued run.
    is_continued: bool,
    /// Progress of the event that the bytes so far end in.
    pub(crate) progress: endless::EventProgress,
    /// Counts the bytes in `buffer`.
    pub(crate) kept: endless::KeptBytes,
    /// Whether less may be kept, since much is for other requests.
    pub(crate) crowded: bool,
}

impl EventSplitter {
    /// Appends bytes and returns all events that are now complete, or nothing.
    pub fn take(&mut self, bytes: &[u8]) -> Bytes {
        self.buffer.extend_from_slice(bytes);
        self.drop_repeated();
        let mut end = 0;
        let mut at = self.scanned_bytes.saturating_sub(3);
        while let Some(after) = end_of_event(&self.buffer, at) {
            self.record_event(end, after);
            end = after;
            at = after;
        }
        if end > 0 {
            self.inside_event = false;
        } else if self.buffer.len() > self.max_event_bytes() {
            end = self.buffer.len() - MAX_END_BYTES;
            self.inside_event = true;
            self.has_split_event = true;
        }
        self.scanned_bytes = self.buffer.len() - end;
        let taken = self.buffer.split_to(end).freeze();
        if end > MAX_REUSED_BYTES {
            self.buffer = BytesMut::from(&self.buffer[..]);
        }
        taken
    }

    const fn max_event_bytes(&self) -> usize {
        if self.crowded {
            MAX_CROWDED_EVENT_BYTES
        } else {
            MAX_EVENT_BYTES
        }
    }

    /// Discards the last complete event if it comes once more at the begin of a continued run.
    fn drop_repeated(&mut self) {
        while self.is_continued
            && let Some(after) = end_of_event(&self.buffer, 0)
        {
            let id = event_id(&self.buffer[..after]);
            self.is_continued = id.is_some() && id == self.last_id;
            if self.is_continued {
                metrics::counter!("pollenchute_exchange_repeated_events_total").increment(1);
                self.buffer.advance(after);
                self.scanned_bytes = 0;
            }
        }
    }

    /// Discards a partial event, since the run continues after the last complete one.
    pub fn drop_partial(&mut self) {
        self.is_continued = true;
        self.buffer.clear();
        self.scanned_bytes = 0;
        self.progress = endless::EventProgress::default();
    }

    /// Whether the bytes so far end inside an event. Line ends after the last event begin none.
    #[must_use]
    pub fn is_in_event(&self) -> bool {
        let is_line_end = |byte: &u8| matches!(byte, b'\r' | b'\n');
        self.inside_event || !self.buffer.iter().all(is_line_end)
    }

    /// Whether the stream may continue after the last complete event. After an event that was
    /// forwarded in parts, the caller would get a part of it twice.
    #[must_use]
    pub const fn may_continue(&self) -> bool {
        !self.has_split_event
    }

    /// Returns the remaining bytes when the stream has ended normally.
    pub fn rest(&mut self) -> Bytes {
        self.scanned_bytes = 0;
        let length = self.buffer.remaining();
        self.buffer.split_to(length).freeze()
    }

    /// Number of bytes received after the last complete event.
    #[must_use]
    pub fn partial_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Id of the last complete event.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Number of complete events so far.
    #[must_use]
    pub const fn events(&self) -> u64 {
        self.events
    }

    fn record_event(&mut self, start: usize, end: usize) {
        self.events += 1;
        if let Some(id) = event_id(&self.buffer[start..end]) {
            self.last_id = Some(id);
        }
    }
}

/// Returns the id of an event.
fn event_id(event: &[u8]) -> Option<String> {
    let mut lines = event.split(|&byte| byte == b'\n');
    let id = lines.rfind(|line| line.starts_with(b"id:"))?;
    let id = String::from_utf8_lossy(&id["id:".len()..]);
    Some(id.trim().to_owned())
}

/// Returns the position after the blank line of the first event that ends at or after `from`.
fn end_of_event(bytes: &[u8], from: usize) -> Option<usize> {
    (from..bytes.len()).find_map(|at| {
        let rest = &bytes[at..];
        if rest.starts_with(b"\n\n") {
            Some(at + 2)
        } else if rest.starts_with(b"\r\n\r\n") {
            Some(at + 4)
        } else {
            None
        }
    })
}

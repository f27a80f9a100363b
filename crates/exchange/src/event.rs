//! Events of a stream: only whole ones are passed on.
//!
//! A server that dies may cut its stream within an event. Half an event followed by the events of
//! the run's continuation would reach the caller as one that no server ever sent.

use bytes::{Buf, Bytes, BytesMut};

/// Largest event that is held back until it is whole; a larger one is passed on as it comes, and
/// its stream can no longer go on elsewhere.
const MOST_HELD: usize = 256 * 1_024;

/// Splits a stream's bytes into whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    held: BytesMut,
    /// Bytes of `held` that hold no end of an event.
    searched: usize,
    last_id: Option<String>,
    events: u64,
}

impl EventSplitter {
    /// Takes bytes, gives all events that are whole now; empty if there is none.
    pub fn take(&mut self, bytes: &[u8]) -> Bytes {
        self.held.extend_from_slice(bytes);
        let mut end = 0;
        let mut at = self.searched.saturating_sub(3);
        while let Some(after) = end_of_event(&self.held, at) {
            self.note(end, after);
            end = after;
            at = after;
        }
        if end == 0 && self.held.len() > MOST_HELD {
            end = self.held.len();
        }
        self.searched = self.held.len() - end;
        self.held.split_to(end).freeze()
    }

    /// Drops the part of an event that came, since the run goes on from the last whole one.
    pub fn drop_partial(&mut self) {
        self.held.clear();
        self.searched = 0;
    }

    /// What is left of an event at the stream's proper end.
    pub fn rest(&mut self) -> Bytes {
        self.searched = 0;
        let length = self.held.remaining();
        self.held.split_to(length).freeze()
    }

    /// Id of the last whole event.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whole events so far.
    #[must_use]
    pub const fn events(&self) -> u64 {
        self.events
    }

    fn note(&mut self, start: usize, end: usize) {
        self.events += 1;
        for line in self.held[start..end].split(|&byte| byte == b'\n') {
            if let Some(id) = line.strip_prefix(b"id:") {
                self.last_id = Some(String::from_utf8_lossy(id).trim().to_owned());
            }
        }
    }
}

/// Where the event that ends at or after `from` ends: behind its blank line.
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

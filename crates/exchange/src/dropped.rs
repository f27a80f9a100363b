//! Attempts that this VM gave up while their servers may have been at work on them.
//!
//! Load pattern: callers leave, or their time is over, before a request crashes its server. No attempt
//! breaks off then, so what was given up is remembered for a while.

use std::collections;

use crate::content;

/// Time after an attempt was dropped within which a crash of its server may be due to it, in
/// milliseconds.
const DROPPED_MS: u64 = 2_000;
/// Maximum number of dropped attempts that are remembered, of 0.3 KB each.
const MAX_DROPPED: usize = 256;

#[derive(Debug)]
struct DroppedAttempt {
    server: u64,
    at_ms: u64,
    contents: Vec<content::ContentKey>,
}

/// Dropped attempts, by the clock of records of crashes.
#[derive(Debug, Default)]
pub struct DroppedAttempts {
    /// At most [`MAX_DROPPED`], the oldest first.
    attempts: collections::VecDeque<DroppedAttempt>,
}

impl DroppedAttempts {
    /// Adds an attempt that was dropped on a server.
    pub fn add(&mut self, server: u64, contents: Vec<content::ContentKey>, at_ms: u64) {
        if self.attempts.len() == MAX_DROPPED {
            self.attempts.pop_front();
        }
        self.attempts.push_back(DroppedAttempt {
            server,
            at_ms,
            contents,
        });
    }

    /// Contents of the attempts that were dropped on a server shortly before a time, or later.
    pub fn contents_on(
        &self,
        server: u64,
        at_ms: u64,
    ) -> impl Iterator<Item = content::ContentKey> {
        let attempts = self.attempts.iter().filter(move |attempt| {
            attempt.server == server && attempt.at_ms.saturating_add(DROPPED_MS) >= at_ms
        });
        attempts.flat_map(|attempt| attempt.contents.iter().copied())
    }
}

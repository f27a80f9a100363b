//! Timestamps on messages between processes, so that the effects of a message are ordered after it.

use std::sync;

use crate::{clock, journal};

/// Reads the wall clock, in milliseconds since 1970.
pub type WallClock = fn() -> u64;

/// Stamps outgoing messages and merges the stamps of incoming messages into the clock.
///
/// The default has no clock: it stamps with 0, which receivers ignore.
#[derive(Clone, Debug, Default)]
pub struct MessageStamper {
    clocked: Option<(sync::Arc<journal::EventJournal>, WallClock)>,
}

impl MessageStamper {
    /// Creates a stamper that uses the clock of `journal`.
    #[must_use]
    pub const fn new(journal: sync::Arc<journal::EventJournal>, clock: WallClock) -> Self {
        Self {
            clocked: Some((journal, clock)),
        }
    }

    /// Returns the stamp of a message that is sent now.
    #[must_use]
    pub fn stamp(&self) -> u64 {
        let clocked = self.clocked.as_ref();
        clocked.map_or(0, |(journal, clock)| journal.stamp(clock()).bits())
    }

    /// Merges the stamp of a message that `vm` sent into the clock.
    pub fn observe(&self, vm: &str, stamp: u64) {
        if let Some((journal, clock)) = &self.clocked
            && stamp != 0
        {
            journal.observe(clock(), vm, clock::HybridStamp::from_bits(stamp));
        }
    }
}

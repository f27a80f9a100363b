//! Stamps on messages between processes, so that what a message causes is ordered after it.

use std::sync;

use crate::{clock, journal};

/// Reads the wall clock, in milliseconds since 1970.
pub type WallClock = fn() -> u64;

/// Stamps messages that leave and takes in stamps of messages that arrive.
///
/// The default has no clock: it stamps with 0, which receivers pass over.
#[derive(Clone, Debug, Default)]
pub struct MessageStamper {
    clocked: Option<(sync::Arc<journal::EventJournal>, WallClock)>,
}

impl MessageStamper {
    /// A stamper by the clock of `journal`.
    #[must_use]
    pub const fn new(journal: sync::Arc<journal::EventJournal>, clock: WallClock) -> Self {
        Self {
            clocked: Some((journal, clock)),
        }
    }

    /// The stamp of a message that leaves now.
    #[must_use]
    pub fn stamp(&self) -> u64 {
        let clocked = self.clocked.as_ref();
        clocked.map_or(0, |(journal, clock)| journal.stamp(clock()).bits())
    }

    /// Takes in the stamp of a message that `vm` sent.
    pub fn observe(&self, vm: &str, stamp: u64) {
        if let Some((journal, clock)) = &self.clocked
            && stamp != 0
        {
            journal.observe(clock(), vm, clock::HybridStamp::from_bits(stamp));
        }
    }
}

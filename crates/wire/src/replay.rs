//! Replay protection: which counters of a sender's life have been taken.

use std::collections;

use base::id;

/// Counters behind the highest one that are still told apart.
const WINDOW_COUNTERS: u64 = 128;

/// Which counters of one sender's life were taken.
#[derive(Clone, Debug, Default)]
pub struct ReplayWindow {
    /// Highest counter taken; 0 when none was.
    top: u64,
    /// Bit `i` tells whether `top - i` was taken; bit 0 is set unless `top` is 0.
    taken: u128,
}

impl ReplayWindow {
    /// Takes `counter`; `false` when it was taken before or is too old to tell.
    pub fn take(&mut self, counter: u64) -> bool {
        if counter == 0 {
            return false;
        }
        if counter > self.top {
            let shift = u32::try_from(counter - self.top).unwrap_or(u32::MAX);
            self.taken = self.taken.checked_shl(shift).unwrap_or(0) | 1;
            self.top = counter;
            return true;
        }
        let behind = self.top - counter;
        if behind >= WINDOW_COUNTERS {
            return false;
        }
        let bit = 1u128 << behind;
        let fresh = self.taken & bit == 0;
        self.taken |= bit;
        fresh
    }
}

/// The windows of all senders' lives that were heard.
#[derive(Debug)]
pub struct ReplayTable {
    windows: collections::HashMap<id::Incarnation, HeardWindow>,
    /// Lives kept at the most; only holders of a key can fill the table.
    capacity: usize,
    /// Counts datagrams, as a measure of age.
    heard: u64,
}

#[derive(Debug, Default)]
struct HeardWindow {
    window: ReplayWindow,
    /// Value of the table's `heard` at the last datagram.
    last_heard: u64,
}

impl ReplayTable {
    /// An empty table for `capacity` lives.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            windows: collections::HashMap::new(),
            capacity,
            heard: 0,
        }
    }

    /// Takes `counter` of the life `sender`; `false` when it is a replay.
    pub fn take(&mut self, sender: id::Incarnation, counter: u64) -> bool {
        self.heard += 1;
        if !self.windows.contains_key(&sender) && self.windows.len() >= self.capacity {
            self.forget_oldest();
        }
        let entry = self.windows.entry(sender).or_default();
        entry.last_heard = self.heard;
        entry.window.take(counter)
    }

    fn forget_oldest(&mut self) {
        let oldest = self
            .windows
            .iter()
            .min_by_key(|(_, entry)| entry.last_heard);
        if let Some(sender) = oldest.map(|(sender, _)| *sender) {
            self.windows.remove(&sender);
        }
    }
}

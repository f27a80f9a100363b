//! Replay protection by a sliding window over the counters of each sender's incarnation.

use std::collections;

use base::id;

/// Size of the window below the highest counter.
const WINDOW_COUNTERS: u64 = 128;

/// Sliding window over the accepted counters of one sender's incarnation.
#[derive(Clone, Debug, Default)]
pub struct ReplayWindow {
    /// Highest accepted counter; 0 when there is none.
    top: u64,
    /// Bit `i` tells whether `top - i` was accepted; bit 0 is set unless `top` is 0.
    accepted: u128,
}

impl ReplayWindow {
    /// Accepts `counter`; `false` when it was accepted before or is behind the window.
    pub fn accept(&mut self, counter: u64) -> bool {
        if counter == 0 {
            return false;
        }
        if counter > self.top {
            let shift = u32::try_from(counter - self.top).unwrap_or(u32::MAX);
            self.accepted = self.accepted.checked_shl(shift).unwrap_or(0) | 1;
            self.top = counter;
            return true;
        }
        let behind = self.top - counter;
        if behind >= WINDOW_COUNTERS {
            return false;
        }
        let bit = 1u128 << behind;
        let is_new = self.accepted & bit == 0;
        self.accepted |= bit;
        is_new
    }
}

/// Replay windows of the senders' incarnations, the least recently used evicted first.
#[derive(Debug)]
pub struct ReplayTable {
    windows: collections::HashMap<id::Incarnation, WindowEntry>,
    /// Maximum number of windows; only holders of a key can fill the table.
    capacity: usize,
    /// Number of datagrams received, used as a logical time.
    received: u64,
}

#[derive(Debug, Default)]
struct WindowEntry {
    window: ReplayWindow,
    /// Value of the table's `received` at the last datagram.
    last_received: u64,
}

impl ReplayTable {
    /// Creates an empty table for `capacity` incarnations.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            windows: collections::HashMap::new(),
            capacity,
            received: 0,
        }
    }

    /// Accepts `counter` of the incarnation `sender`; `false` when it is a replay.
    pub fn accept(&mut self, sender: id::Incarnation, counter: u64) -> bool {
        self.received += 1;
        if !self.windows.contains_key(&sender) && self.windows.len() >= self.capacity {
            self.evict_oldest();
        }
        let entry = self.windows.entry(sender).or_default();
        entry.last_received = self.received;
        entry.window.accept(counter)
    }

    fn evict_oldest(&mut self) {
        let oldest = self
            .windows
            .iter()
            .min_by_key(|(_, entry)| entry.last_received);
        if let Some(sender) = oldest.map(|(sender, _)| *sender) {
            self.windows.remove(&sender);
        }
    }
}

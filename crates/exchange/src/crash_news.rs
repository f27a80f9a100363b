//! Which crashes a datagram tells of: the newest first, then those that are remembered, in turn.

use std::collections;

use tokio::time;

/// Number of contents of a crash in one message.
pub const CHUNK_CONTENTS: usize = 32;
/// Number of datagrams that tell news which this VM found itself.
const OWN_SENDS: u32 = 3;
/// Number of datagrams that tell news from another VM.
const FORWARDED_SENDS: u32 = 1;
/// Maximum number of news that wait to be told; the oldest are told in their turn only.
const MAX_NEWS: usize = 256;
/// Interval between datagrams with a remembered crash, for a VM that missed the news.
const TURN_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Number of VMs up to which that interval holds; it grows with their number.
const TURN_VMS: u32 = 8;

/// Where this VM has evidence from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvidenceSource {
    /// It was found here.
    Own,
    /// Another VM told it.
    Peer,
    /// The store has it.
    Store,
}

impl EvidenceSource {
    /// Number of datagrams that tell evidence.
    const fn sends(self) -> u32 {
        match self {
            Self::Own => OWN_SENDS,
            Self::Peer | Self::Store => FORWARDED_SENDS,
        }
    }
}

/// A part of a crash: the hash of the server, and the number of the part.
pub type CrashChunk = (u64, usize);

/// News, and the number of datagrams that are still to tell it.
#[derive(Clone, Copy, Debug)]
struct PendingNews {
    chunk: CrashChunk,
    sends: u32,
}

/// Crashes that are to be told to other VMs.
#[derive(Debug, Default)]
pub struct CrashNews {
    /// Newest first.
    pending: collections::VecDeque<PendingNews>,
    /// Number of remembered parts that were told in their turn.
    turn: usize,
    /// When a remembered part was last told in its turn.
    told_at: Option<time::Instant>,
}

impl CrashNews {
    /// Adds a part that is new or has changed.
    pub fn add(&mut self, chunk: CrashChunk, source: EvidenceSource) {
        let sends = source.sends();
        self.pending.retain(|news| news.chunk != chunk);
        self.pending.push_front(PendingNews { chunk, sends });
        self.pending.truncate(MAX_NEWS);
    }

    /// The news, newest first.
    pub fn pending(&self) -> impl Iterator<Item = CrashChunk> {
        self.pending.iter().map(|news| news.chunk)
    }

    /// Records that one datagram tells this many of the newest news.
    pub fn record_told(&mut self, count: usize) {
        for news in self.pending.iter_mut().take(count) {
            news.sends = news.sends.saturating_sub(1);
        }
        self.pending.retain(|news| news.sends > 0);
    }

    /// Whether a remembered part is due, with so many other VMs.
    #[must_use]
    pub fn is_turn_due(&self, vms: usize, now: time::Instant) -> bool {
        let vms = u32::try_from(vms).unwrap_or(u32::MAX);
        let interval = TURN_INTERVAL * (vms / TURN_VMS).max(1);
        let is_over = |at| now.saturating_duration_since(at) >= interval;
        self.told_at.is_none_or(is_over)
    }

    /// Puts remembered parts in the order of their turns.
    pub fn in_turn(&self, mut remembered: Vec<CrashChunk>) -> Vec<CrashChunk> {
        if !remembered.is_empty() {
            let first = self.turn % remembered.len();
            remembered.rotate_left(first);
        }
        remembered
    }

    /// Records that one datagram tells this many remembered parts.
    pub fn record_turn(&mut self, count: usize, now: time::Instant) {
        self.turn = self.turn.wrapping_add(count);
        self.told_at = Some(now);
    }
}

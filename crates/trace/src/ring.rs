//! The bounded ring buffer of events that one process retains.

use std::{collections, sync};

use base::id;

use crate::{clock, kind, query};

/// Maximum number of entries that a reader scans per lock acquisition.
///
/// A reader that held the lock over the complete ring would stall every request of this process for
/// the duration of the copy; reading in batches bounds the stall to this many entries.
const READ_BATCH: usize = 256;

/// Capacity limits of a ring.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RingLimits {
    /// Maximum number of events.
    pub max_events: usize,
    /// Maximum size in bytes, including the text of the events.
    pub max_bytes: usize,
}

impl Default for RingLimits {
    fn default() -> Self {
        Self {
            max_events: 32_768,
            max_bytes: 8 << 20,
        }
    }
}

/// An event as stored in a ring, without the VM and incarnation, which all entries share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RingEntry {
    /// Timestamp of the event.
    pub stamp: clock::HybridStamp,
    /// Sequence number within the incarnation.
    pub seq: u64,
    /// The request that the event concerns, if any.
    pub request: Option<id::RequestId>,
    /// Kind of the event, with its fields.
    pub kind: kind::EventKind,
}

impl RingEntry {
    /// Returns the bytes that an entry with `kind` occupies in a ring.
    #[must_use]
    pub fn cost_bytes(kind: &kind::EventKind) -> usize {
        size_of::<Self>() + kind.heap_bytes()
    }
}

/// Result of reading a ring.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RingView {
    /// Matching events, oldest first.
    pub entries: Vec<RingEntry>,
    /// Events evicted since the process started, matching or not.
    pub lost: u64,
    /// Stamp of the newest evicted event.
    pub lost_up_to: Option<clock::HybridStamp>,
    /// Matching events omitted because of `limit`.
    pub omitted: u64,
}

/// Fill level of a ring.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RingUsage {
    /// Events retained.
    pub events: usize,
    /// Bytes retained.
    pub bytes: usize,
    /// Events evicted since the process started.
    pub lost: u64,
}

/// A bounded ring buffer of events that evicts the oldest first and counts the evictions.
#[derive(Debug)]
pub struct EventRing {
    limits: RingLimits,
    inner: sync::Mutex<RingInner>,
}

#[derive(Debug, Default)]
struct RingInner {
    /// Oldest first, by `seq` and by `stamp`.
    entries: collections::VecDeque<RingEntry>,
    /// Sum of [`RingEntry::cost_bytes`] over `entries`; at most `max_bytes`.
    bytes: usize,
    next_seq: u64,
    lost: u64,
    lost_up_to: Option<clock::HybridStamp>,
}

impl EventRing {
    /// Creates an empty ring. The entry table is allocated up front, so that writes never grow it.
    #[must_use]
    pub fn new(limits: RingLimits) -> Self {
        let by_bytes = limits.max_bytes / size_of::<RingEntry>();
        let capacity = limits.max_events.min(by_bytes);
        let inner = RingInner {
            entries: collections::VecDeque::with_capacity(capacity),
            ..RingInner::default()
        };
        Self {
            limits: RingLimits {
                max_events: limits.max_events.max(1),
                ..limits
            },
            inner: sync::Mutex::new(inner),
        }
    }

    /// Adds an event. `stamp` is called under the lock, so that sequence numbers and stamps
    /// increase together.
    pub fn write<S>(&self, stamp: S, request: Option<id::RequestId>, kind: kind::EventKind)
    where
        S: FnOnce() -> clock::HybridStamp,
    {
        let cost_bytes = RingEntry::cost_bytes(&kind);
        let mut inner = self.lock();
        let entry = RingEntry {
            stamp: stamp(),
            seq: inner.next_seq,
            request,
            kind,
        };
        inner.next_seq += 1;
        if cost_bytes > self.limits.max_bytes {
            inner.record_loss(entry.stamp);
            return;
        }
        while inner.entries.len() >= self.limits.max_events
            || inner.bytes + cost_bytes > self.limits.max_bytes
        {
            inner.evict_oldest();
        }
        inner.bytes += cost_bytes;
        inner.entries.push_back(entry);
    }

    /// Copies the matching events in batches, so that writers are not blocked for long.
    #[must_use]
    pub fn read(&self, query: &query::EventQuery) -> RingView {
        let mut view = RingView::default();
        let end_seq = self.lock().next_seq;
        let mut next_seq = 0;
        while next_seq < end_seq {
            next_seq = self.read_batch(next_seq, end_seq, query, &mut view.entries);
        }
        let inner = self.lock();
        view.lost = inner.lost;
        view.lost_up_to = inner.lost_up_to;
        drop(inner);
        let surplus = query
            .limit
            .map_or(0, |limit| view.entries.len().saturating_sub(limit));
        view.entries.drain(..surplus);
        view.omitted = surplus as u64;
        view
    }

    /// Returns the fill level of the ring.
    #[must_use]
    pub fn usage(&self) -> RingUsage {
        let inner = self.lock();
        RingUsage {
            events: inner.entries.len(),
            bytes: inner.bytes,
            lost: inner.lost,
        }
    }

    fn read_batch(
        &self,
        from_seq: u64,
        end_seq: u64,
        query: &query::EventQuery,
        out: &mut Vec<RingEntry>,
    ) -> u64 {
        let inner = self.lock();
        let skip = inner.entries.partition_point(|entry| entry.seq < from_seq);
        let batch = inner.entries.iter().skip(skip).take(READ_BATCH);
        let mut next_seq = end_seq;
        for entry in batch.take_while(|entry| entry.seq < end_seq) {
            next_seq = entry.seq + 1;
            if query.matches(entry.stamp, entry.request, &entry.kind) {
                out.push(entry.clone());
            }
        }
        next_seq
    }

    fn lock(&self) -> sync::MutexGuard<'_, RingInner> {
        self.inner
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl RingInner {
    fn evict_oldest(&mut self) {
        if let Some(entry) = self.entries.pop_front() {
            self.bytes -= RingEntry::cost_bytes(&entry.kind);
            self.record_loss(entry.stamp);
        }
    }

    fn record_loss(&mut self, stamp: clock::HybridStamp) {
        self.lost += 1;
        self.lost_up_to = self.lost_up_to.max(Some(stamp));
    }
}

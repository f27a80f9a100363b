//! Memory that the bytes of callers may take, over all listeners of a process.

use std::sync::{self, atomic};

use bytes::Bytes;
use snafu::Snafu;
use tokio::sync::Notify;

/// Largest grant that may take the memory that is reserved for ordinary requests.
pub const SMALL_GRANT_BYTES: usize = 64 * 1_024;
/// Fraction of the memory that only small grants may take: one over this number.
const RESERVE_DIVISOR: usize = 4;

/// The memory for the bytes of callers has no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display(
    "{used} of {limit} bytes for requests of callers are in use; send it again later"
))]
pub struct MemoryFull {
    /// Bytes granted.
    pub used: usize,
    /// Bytes that may be granted.
    pub limit: usize,
}

/// Memory that the bytes of callers may take. Clones share it.
#[derive(Clone, Debug)]
pub struct CallerMemory(sync::Arc<MemoryState>);

#[derive(Debug)]
struct MemoryState {
    /// Bytes that may be granted.
    limit: atomic::AtomicUsize,
    /// Bytes granted; more than `limit` only after that was lowered.
    used: atomic::AtomicUsize,
    /// Notified when memory is released.
    released: Notify,
    /// Whether a grant found no room, and at least half of the memory has been granted since.
    is_full: atomic::AtomicBool,
}

/// A share of the memory, released when dropped.
#[derive(Debug)]
pub struct MemoryGrant {
    memory: CallerMemory,
    bytes: usize,
}

impl CallerMemory {
    /// Memory of this size, in bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self(sync::Arc::new(MemoryState {
            limit: atomic::AtomicUsize::new(limit),
            used: atomic::AtomicUsize::new(0),
            released: Notify::new(),
            is_full: atomic::AtomicBool::new(false),
        }))
    }

    /// Size of the memory of which one grant may take so many bytes.
    #[must_use]
    pub(crate) const fn limit_for(bytes: usize) -> usize {
        bytes
            .saturating_add(bytes / (RESERVE_DIVISOR - 1))
            .saturating_add(1)
    }

    /// Changes the size; grants stay as they are.
    pub fn set_limit(&self, limit: usize) {
        self.0.limit.store(limit, atomic::Ordering::Relaxed);
    }

    /// Bytes that may be granted.
    fn limit(&self) -> usize {
        self.0.limit.load(atomic::Ordering::Relaxed)
    }

    /// Size of the largest grant, if there is no other one.
    #[must_use]
    pub fn largest_grant(&self) -> usize {
        self.room_for(usize::MAX)
    }

    /// Bytes granted.
    #[must_use]
    pub fn used(&self) -> usize {
        self.0.used.load(atomic::Ordering::Relaxed)
    }

    /// An empty grant, which can grow.
    #[must_use]
    pub fn grant(&self) -> MemoryGrant {
        MemoryGrant {
            memory: self.clone(),
            bytes: 0,
        }
    }

    /// Waits until memory is released.
    pub(crate) async fn released(&self) {
        self.0.released.notified().await;
    }

    /// Notes that a grant lacks so many bytes.
    pub(crate) fn note_full(&self, missing: usize) {
        if !self.0.is_full.swap(true, atomic::Ordering::Relaxed) {
            log::warn!(
                used = self.used(), limit = self.limit(), missing;
                "the memory for requests of callers is in use; large requests wait or are refused"
            );
        }
    }

    /// Notes that memory was released.
    fn note_released(&self) {
        self.0.released.notify_waiters();
        let is_low = self.used() < self.limit() / 2;
        if is_low && self.0.is_full.swap(false, atomic::Ordering::Relaxed) {
            log::info!(used = self.used(); "the memory for requests of callers has room again");
        }
    }

    /// Total of all grants up to which one of this size may grow.
    fn room_for(&self, bytes: usize) -> usize {
        let limit = self.limit();
        if bytes <= SMALL_GRANT_BYTES {
            limit
        } else {
            limit - limit / RESERVE_DIVISOR
        }
    }
}

impl MemoryGrant {
    /// Size of this grant, in bytes.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Shared bytes that hold this grant until the last clone of them is dropped.
    #[must_use]
    pub fn hold(self, bytes: Vec<u8>) -> Bytes {
        Bytes::from_owner(GrantedBytes {
            bytes,
            _grant: self,
        })
    }

    /// Changes the size of this grant.
    ///
    /// # Errors
    ///
    /// When it grows and the memory has no room; it keeps its size.
    pub fn resize(&mut self, bytes: usize) -> Result<(), MemoryFull> {
        let room = self.memory.room_for(bytes);
        let change = |used: usize| {
            let used = used - self.bytes + bytes;
            (bytes <= self.bytes || used <= room).then_some(used)
        };
        let order = atomic::Ordering::Relaxed;
        let changed = self.memory.0.used.fetch_update(order, order, change);
        changed.map_err(|used| MemoryFull {
            used,
            limit: self.memory.limit(),
        })?;
        if bytes < self.bytes {
            self.memory.note_released();
        }
        self.bytes = bytes;
        Ok(())
    }
}

/// Bytes that are granted until dropped.
#[derive(Debug)]
struct GrantedBytes {
    bytes: Vec<u8>,
    _grant: MemoryGrant,
}

impl AsRef<[u8]> for GrantedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for MemoryGrant {
    fn drop(&mut self) {
        // A grant that shrinks is never refused.
        let _ = self.resize(0);
    }
}

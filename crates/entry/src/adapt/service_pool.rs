//! Slots on plain service servers: selects the least busy server that takes work, within each
//! server's concurrency limit.

use std::{collections, sync};

use base::id;
use tokio::{sync::Notify, time};

/// Time for which a server that failed a call is selected last.
///
/// Most entry VMs check the health of a server only every ten seconds. Without this, a dead
/// server, which is always the least busy one, would receive every call until then and use up the
/// retry budget within a second: callers get `overloaded` while two of three servers are idle.
const FAILURE_PENALTY: time::Duration = time::Duration::from_secs(2);

/// Calls of this VM that are running on each plain service server.
#[derive(Debug, Default)]
pub struct ServicePool {
    state: sync::Mutex<PoolState>,
    freed: Notify,
}

#[derive(Debug, Default)]
struct PoolState {
    /// Running calls by server; idle servers have no entry.
    running: collections::HashMap<id::ServerKey, u32>,
    /// Time at which each server that failed a call counts as healthy again.
    failed_until: collections::HashMap<id::ServerKey, time::Instant>,
    /// Rotates the order of equally good candidates, because the first would get all calls
    /// otherwise.
    turn: usize,
}

impl PoolState {
    fn load(&self, server: id::ServerKey) -> u32 {
        self.running.get(&server).copied().unwrap_or(0)
    }

    fn has_failed(&self, server: id::ServerKey, now: time::Instant) -> bool {
        let until = self.failed_until.get(&server);
        until.is_some_and(|until| now < *until)
    }
}

/// One server that may take a call.
#[derive(Clone, Copy, Debug)]
pub struct PoolCandidate {
    /// The server.
    pub server: id::ServerKey,
    /// Maximum concurrent calls on it.
    pub max_concurrency: u32,
    /// Whether it is suspected of having failed; selected only when there is no other.
    pub suspected: bool,
}

/// A slot on a plain service server; released when dropped.
#[derive(Debug)]
pub struct ServiceSlot {
    pool: sync::Arc<ServicePool>,
    server: id::ServerKey,
}

impl ServiceSlot {
    /// The server of this slot.
    #[must_use]
    pub const fn server(&self) -> id::ServerKey {
        self.server
    }

    /// Releases the slot after a failed call; other servers are preferred for a while.
    pub fn failed(self, now: time::Instant) {
        let mut state = self.pool.lock();
        state.failed_until.retain(|_, until| now < *until);
        state
            .failed_until
            .insert(self.server, now + FAILURE_PENALTY);
    }
}

impl Drop for ServiceSlot {
    fn drop(&mut self) {
        let mut state = self.pool.lock();
        if let Some(count) = state.running.get_mut(&self.server) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                state.running.remove(&self.server);
            }
        }
        drop(state);
        self.pool.freed.notify_waiters();
    }
}

impl ServicePool {
    fn lock(&self) -> sync::MutexGuard<'_, PoolState> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Takes a slot on the least busy candidate with a free one; candidates that failed recently or
    /// are suspected are used only when there is no other.
    pub fn try_take(
        self: &sync::Arc<Self>,
        candidates: &[PoolCandidate],
        now: time::Instant,
    ) -> Option<ServiceSlot> {
        let mut state = self.lock();
        state.turn = state.turn.wrapping_add(1);
        let (before, after) = candidates.split_at(state.turn % candidates.len().max(1));
        let best = after
            .iter()
            .chain(before)
            .filter(|candidate| state.load(candidate.server) < candidate.max_concurrency)
            .min_by_key(|candidate| {
                let server = candidate.server;
                let is_unhealthy = candidate.suspected || state.has_failed(server, now);
                (is_unhealthy, state.load(server))
            })?;
        *state.running.entry(best.server).or_insert(0) += 1;
        Some(ServiceSlot {
            pool: sync::Arc::clone(self),
            server: best.server,
        })
    }

    /// Waits until a slot may have become free.
    pub async fn freed(&self) {
        self.freed.notified().await;
    }
}

//! Places on plain service servers: the least busy of those that take work, within each
//! server's bound on concurrency.

use std::{collections, sync};

use base::id;
use tokio::{sync::Notify, time};

/// A server that failed a call is taken last for this long.
///
/// Health checks of most entry VMs come every ten seconds only. Without this, a dead server, which
/// is always the least busy one, would draw every call until then, and the budget of retries
/// would be used up within a second: callers see `overloaded` while two of three servers idle.
const FAILURE_PENALTY: time::Duration = time::Duration::from_secs(2);

/// Calls that run on each plain service server on this VM's behalf.
#[derive(Debug, Default)]
pub struct ServicePool {
    state: sync::Mutex<PoolState>,
    freed: Notify,
}

#[derive(Debug, Default)]
struct PoolState {
    /// Servers that run nothing are not in it.
    running: collections::HashMap<id::ServerKey, u32>,
    /// When the servers that failed a call count as good again.
    failed_until: collections::HashMap<id::ServerKey, time::Instant>,
    /// Turns the order of equally good candidates, else the first would get all calls.
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
    /// Calls that it runs at once at the most.
    pub max_concurrency: u32,
    /// Whether it was seen to fail lately; taken only when nothing else is there.
    pub suspected: bool,
}

/// A place on a plain service server; dropping it gives the place back.
#[derive(Debug)]
pub struct ServiceSlot {
    pool: sync::Arc<ServicePool>,
    server: id::ServerKey,
}

impl ServiceSlot {
    /// Where.
    #[must_use]
    pub const fn server(&self) -> id::ServerKey {
        self.server
    }

    /// The call failed there: others go elsewhere for a while.
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

    /// Takes the least busy candidate that has room; one that failed lately, or is suspected,
    /// only when there is no other.
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

    /// Completes when a place may have become free.
    pub async fn freed(&self) {
        self.freed.notified().await;
    }
}

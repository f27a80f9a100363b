//! Places on plain service servers: the least busy of those that take work, within each
//! server's bound on concurrency.

use std::{collections, sync};

use base::id;
use tokio::sync::Notify;

/// Calls that run on each plain service server on this VM's behalf.
#[derive(Debug, Default)]
pub struct ServicePool {
    running: sync::Mutex<collections::HashMap<id::ServerKey, u32>>,
    freed: Notify,
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
}

impl Drop for ServiceSlot {
    fn drop(&mut self) {
        let mut running = self.pool.lock();
        if let Some(count) = running.get_mut(&self.server) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                running.remove(&self.server);
            }
        }
        drop(running);
        self.pool.freed.notify_waiters();
    }
}

impl ServicePool {
    fn lock(&self) -> sync::MutexGuard<'_, collections::HashMap<id::ServerKey, u32>> {
        self.running
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Takes the least busy candidate that has room.
    pub fn try_take(self: &sync::Arc<Self>, candidates: &[PoolCandidate]) -> Option<ServiceSlot> {
        let mut running = self.lock();
        let load = |server| running.get(&server).copied().unwrap_or(0);
        let best = candidates
            .iter()
            .filter(|candidate| load(candidate.server) < candidate.max_concurrency)
            .min_by_key(|candidate| (candidate.suspected, load(candidate.server)))?;
        *running.entry(best.server).or_insert(0) += 1;
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

//! What runs on which server, and what to do with it when the server dies.

use std::{collections, sync};

use base::{fingerprint::ContentHash, id, ops};

use crate::suspect;

/// Content that ended well is remembered until this many others did.
const INNOCENTS_KEPT: usize = 4096;

#[derive(Debug, Default)]
struct TrackerState {
    table: suspect::SuspectTable,
    /// What runs, with how often; an entry is never 0.
    running: collections::BTreeMap<(id::ServerKey, ContentHash), u32>,
    /// Oldest first.
    innocent_order: collections::VecDeque<ContentHash>,
    /// The same as `innocent_order`.
    innocents: collections::BTreeSet<ContentHash>,
    /// Servers where a suspect runs.
    probed: collections::BTreeSet<id::ServerKey>,
}

/// The suspects of one process; shared by all requests.
#[derive(Debug, Default)]
pub struct CrashTracker {
    state: sync::Mutex<TrackerState>,
}

/// Marks content as running on a server for as long as it is held.
#[derive(Debug)]
pub struct RunGuard {
    book: sync::Arc<CrashTracker>,
    server: id::ServerKey,
    content: ContentHash,
    probe: bool,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut state = self.book.lock();
        let place = (self.server, self.content);
        if let Some(count) = state.running.get_mut(&place) {
            *count -= 1;
            if *count == 0 {
                state.running.remove(&place);
            }
        }
        if self.probe {
            state.probed.remove(&self.server);
        }
    }
}

impl CrashTracker {
    /// An empty book.
    #[must_use]
    pub fn new(limits: suspect::SuspectLimits) -> Self {
        let state = TrackerState {
            table: suspect::SuspectTable::new(limits),
            ..TrackerState::default()
        };
        Self {
            state: sync::Mutex::new(state),
        }
    }

    /// Content begins to run on a server, as a suspect when `probe`. `None`: another suspect
    /// runs there, and of two a death would name neither.
    pub fn begin(
        self: &sync::Arc<Self>,
        server: id::ServerKey,
        content: ContentHash,
        probe: bool,
    ) -> Option<RunGuard> {
        let mut state = self.lock();
        if probe && !state.probed.insert(server) {
            return None;
        }
        *state.running.entry((server, content)).or_default() += 1;
        drop(state);
        Some(RunGuard {
            book: self.clone(),
            server,
            content,
            probe,
        })
    }

    /// Servers where a suspect runs: nobody else should go there.
    #[must_use]
    pub fn probed(&self) -> Vec<id::ServerKey> {
        self.lock().probed.iter().copied().collect()
    }

    /// Content ended well: what crashes each server that runs it cannot do that.
    pub fn record_success(&self, content: ContentHash, now_ms: u64) {
        let mut state = self.lock();
        if state.innocents.insert(content) {
            state.innocent_order.push_back(content);
            if state.innocent_order.len() > INNOCENTS_KEPT
                && let Some(oldest) = state.innocent_order.pop_front()
            {
                state.innocents.remove(&oldest);
            }
        }
        if state.table.standing(content, now_ms) != suspect::ContentStanding::Clear {
            state.table.clear(content, now_ms);
        }
    }

    /// A server's process is gone. Returns what became suspect, when that is news.
    pub fn record_death(&self, server: id::ServerKey, name: &str, now_ms: u64) -> Vec<ContentHash> {
        let mut state = self.lock();
        let contents: collections::BTreeSet<ContentHash> = state
            .running
            .keys()
            .filter(|(running_on, content)| {
                *running_on == server && !state.innocents.contains(content)
            })
            .map(|(_, content)| *content)
            .collect();
        if contents.is_empty() {
            return Vec::new();
        }
        let record = suspect::DeathRecord {
            server: name.to_owned(),
            at_ms: now_ms,
            contents: contents.clone(),
        };
        state.table.expire(now_ms);
        let learnt = state.table.record_death(record);
        drop(state);
        if learnt {
            contents.into_iter().collect()
        } else {
            Vec::new()
        }
    }

    /// What to do with content.
    #[must_use]
    pub fn standing(&self, content: ContentHash, now_ms: u64) -> suspect::ContentStanding {
        self.lock().table.standing(content, now_ms)
    }

    /// What other entry VMs should know.
    #[must_use]
    pub fn digest(&self, now_ms: u64) -> suspect::SuspectDigest {
        let mut state = self.lock();
        state.table.expire(now_ms);
        state.table.digest()
    }

    /// What other entry VMs should know of what happened at `since_ms` or later: those that heard
    /// of the rest already.
    #[must_use]
    pub fn digest_since(&self, since_ms: u64) -> suspect::SuspectDigest {
        self.lock().table.digest_since(since_ms)
    }

    /// Takes in what another entry VM knows. Whether anything new was learnt.
    pub fn merge(&self, digest: suspect::SuspectDigest) -> bool {
        self.lock().table.merge(digest)
    }

    /// Everything that is suspected or quarantined.
    #[must_use]
    pub fn list(&self, now_ms: u64) -> Vec<ops::QuarantineStatus> {
        self.lock().table.list(now_ms)
    }

    /// An operator lifts content's quarantine. Whether it was held against it at all.
    pub fn lift(&self, content: ContentHash, now_ms: u64) -> bool {
        let mut state = self.lock();
        let held = state.table.standing(content, now_ms) != suspect::ContentStanding::Clear;
        held && state.table.clear(content, now_ms)
    }

    fn lock(&self) -> sync::MutexGuard<'_, TrackerState> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

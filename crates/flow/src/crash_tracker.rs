//! Tracks which content runs on which server and makes it suspect when the server crashes.

use std::{collections, sync};

use base::{fingerprint::ContentHash, id, ops};

use crate::suspect;

/// Maximum number of contents remembered as completed; the oldest is dropped first.
const MAX_COMPLETED: usize = 4096;

#[derive(Debug, Default)]
struct TrackerState {
    table: suspect::SuspectTable,
    /// Number of runs of each content on each server; never 0.
    running: collections::BTreeMap<(id::ServerKey, ContentHash), u32>,
    /// Completed contents, oldest first.
    completed_order: collections::VecDeque<ContentHash>,
    /// The contents of `completed_order`, for lookup.
    completed: collections::BTreeSet<ContentHash>,
    /// Servers on which a suspect runs alone.
    probed: collections::BTreeSet<id::ServerKey>,
}

/// Crash suspects known to one process; shared by all requests.
#[derive(Debug, Default)]
pub struct CrashTracker {
    state: sync::Mutex<TrackerState>,
}

/// Counts content as running on a server until dropped.
#[derive(Debug)]
pub struct RunGuard {
    tracker: sync::Arc<CrashTracker>,
    server: id::ServerKey,
    content: ContentHash,
    probe: bool,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut state = self.tracker.lock();
        let key = (self.server, self.content);
        if let Some(count) = state.running.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                state.running.remove(&key);
            }
        }
        if self.probe {
            state.probed.remove(&self.server);
        }
    }
}

impl CrashTracker {
    /// Creates a tracker without suspects.
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

    /// Records that content starts to run on a server, as a suspect if `probe` is set. Returns
    /// `None` if another suspect runs there: with two, a crash would identify neither.
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
            tracker: self.clone(),
            server,
            content,
            probe,
        })
    }

    /// Servers on which a suspect runs; no other request should be placed there.
    #[must_use]
    pub fn probed(&self) -> Vec<id::ServerKey> {
        self.lock().probed.iter().copied().collect()
    }

    /// Records that content completed, which clears it: content that crashes every server that
    /// runs it never completes.
    pub fn record_success(&self, content: ContentHash, now_ms: u64) {
        let mut state = self.lock();
        if state.completed.insert(content) {
            state.completed_order.push_back(content);
            if state.completed_order.len() > MAX_COMPLETED
                && let Some(oldest) = state.completed_order.pop_front()
            {
                state.completed.remove(&oldest);
            }
        }
        if state.table.standing(content, now_ms) != suspect::ContentStanding::Clear {
            state.table.clear(content, now_ms);
        }
    }

    /// Records the death of a server's process. Returns the contents that became suspect, or
    /// nothing if the record adds nothing.
    pub fn record_death(&self, server: id::ServerKey, name: &str, now_ms: u64) -> Vec<ContentHash> {
        let mut state = self.lock();
        let contents: collections::BTreeSet<ContentHash> = state
            .running
            .keys()
            .filter(|(running_on, content)| {
                *running_on == server && !state.completed.contains(content)
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
            late: collections::BTreeSet::new(),
        };
        state.table.expire(now_ms);
        let is_new = state.table.record_death(record);
        drop(state);
        if is_new {
            contents.into_iter().collect()
        } else {
            Vec::new()
        }
    }

    /// Whether content may run freely, runs alone as a suspect, or is quarantined.
    #[must_use]
    pub fn standing(&self, content: ContentHash, now_ms: u64) -> suspect::ContentStanding {
        self.lock().table.standing(content, now_ms)
    }

    /// All records, for other entry VMs; expired ones are dropped first.
    #[must_use]
    pub fn digest(&self, now_ms: u64) -> suspect::SuspectDigest {
        let mut state = self.lock();
        state.table.expire(now_ms);
        state.table.digest()
    }

    /// Records of `since_ms` or later, for entry VMs that already received the older ones.
    #[must_use]
    pub fn digest_since(&self, since_ms: u64) -> suspect::SuspectDigest {
        self.lock().table.digest_since(since_ms)
    }

    /// Merges the records of another entry VM. Returns whether any of them was new.
    pub fn merge(&self, digest: suspect::SuspectDigest) -> bool {
        self.lock().table.merge(digest)
    }

    /// Lists all suspected and quarantined contents.
    #[must_use]
    pub fn list(&self, now_ms: u64) -> Vec<ops::QuarantineStatus> {
        suspect::list(&self.lock().table, now_ms)
    }

    /// Lifts the quarantine or suspicion of content for an operator. Returns false if there was
    /// none.
    pub fn lift(&self, content: ContentHash, now_ms: u64) -> bool {
        let mut state = self.lock();
        let is_listed = state.table.standing(content, now_ms) != suspect::ContentStanding::Clear;
        is_listed && state.table.clear(content, now_ms)
    }

    fn lock(&self) -> sync::MutexGuard<'_, TrackerState> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

//! Requests suspected of crashing the servers that run them.
//!
//! Load pattern: one request crashes each engine that starts it, and is retried at another VM.
//! Every engine that crashes loses all its streams. A crash makes the requests that had just
//! started on the server suspects; a request that is suspected on two different servers is
//! quarantined.

use std::collections;

use tokio::time;

/// Number of crashed servers from which a request is quarantined. A single crash may be a
/// coincidence, because several requests start on an engine at a time.
const QUARANTINE_CRASHES: usize = 2;
/// How long a suspicion is kept: callers retry such a request within this time.
const SUSPICION_RETENTION: time::Duration = time::Duration::from_secs(60);
/// Max suspects, 100 bytes each; the oldest is evicted.
const MAX_SUSPECTS: usize = 512;

/// Requests suspected of crashing servers.
#[derive(Debug, Default)]
pub struct SuspectTable {
    suspects: collections::HashMap<u64, SuspectRecord>,
}

/// Crashes that one request is suspected of.
#[derive(Clone, Debug)]
struct SuspectRecord {
    /// Hashes of the incarnations that crashed when the request had just started there.
    servers: collections::BTreeSet<u64>,
    /// Time of the last crash.
    at: time::Instant,
}

impl SuspectTable {
    /// Records that a server crashed when this request had just started there. Returns whether this
    /// was new.
    pub fn record_crash(&mut self, fingerprint: u64, server: u64, now: time::Instant) -> bool {
        self.suspects
            .retain(|_, record| now.saturating_duration_since(record.at) < SUSPICION_RETENTION);
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&fingerprint) {
            let oldest = self.suspects.iter().min_by_key(|(_, record)| record.at);
            if let Some(oldest) = oldest.map(|(&key, _)| key) {
                self.suspects.remove(&oldest);
            }
        }
        let record = self
            .suspects
            .entry(fingerprint)
            .or_insert_with(|| SuspectRecord {
                servers: collections::BTreeSet::new(),
                at: now,
            });
        record.at = now;
        record.servers.insert(server)
    }

    /// Clears a request that ran to completion.
    pub fn clear_suspect(&mut self, fingerprint: u64) {
        self.suspects.remove(&fingerprint);
    }

    /// Returns whether the request must not be sent to any server.
    #[must_use]
    pub fn is_quarantined(&self, fingerprint: u64, now: time::Instant) -> bool {
        self.suspects.get(&fingerprint).is_some_and(|record| {
            record.servers.len() >= QUARANTINE_CRASHES
                && now.saturating_duration_since(record.at) < SUSPICION_RETENTION
        })
    }

    /// Number of servers that crashed under a request, and the age of the newest report, for logs.
    #[must_use]
    pub fn evidence(&self, fingerprint: u64, now: time::Instant) -> (usize, time::Duration) {
        let record = self.suspects.get(&fingerprint);
        record.map_or((0, time::Duration::ZERO), |record| {
            let age = now.saturating_duration_since(record.at);
            (record.servers.len(), age)
        })
    }

    /// All suspicions as pairs of fingerprint and server hash, to be announced to other VMs.
    pub fn crash_reports(&self) -> impl Iterator<Item = (u64, u64)> {
        self.suspects.iter().flat_map(|(&fingerprint, record)| {
            record
                .servers
                .iter()
                .map(move |&server| (fingerprint, server))
        })
    }
}

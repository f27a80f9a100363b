//! Requests that crash the servers that run them.
//!
//! Load pattern: one request kills each engine that begins it, and comes again at another VM. Every
//! engine that dies takes all its streams along. A crash makes suspects of the requests that had
//! just begun there; one that is a suspect at two different servers is kept away from servers.

use std::collections;

use tokio::time;

/// Crashes after which a request is kept away. One may be chance: several requests begin on an
/// engine at a time.
const CRASHES: usize = 2;
/// How long a suspicion is kept: callers that repeat such a request do so within this.
const KEPT: time::Duration = time::Duration::from_secs(60);
/// Suspects that are kept; the oldest go. 100 bytes each.
const MOST: usize = 512;

/// Requests suspected of crashing servers.
#[derive(Debug, Default)]
pub struct SuspectTable {
    suspects: collections::HashMap<u64, SuspectRecord>,
}

/// One suspect.
#[derive(Clone, Debug)]
struct SuspectRecord {
    /// Servers that crashed as it began there, by hash of their ids.
    servers: collections::BTreeSet<u64>,
    /// When the last of them did.
    at: time::Instant,
}

impl SuspectTable {
    /// A server crashed as this request began there. Returns whether that was not known.
    pub fn accuse(&mut self, fingerprint: u64, server: u64, now: time::Instant) -> bool {
        self.suspects
            .retain(|_, record| now.saturating_duration_since(record.at) < KEPT);
        if self.suspects.len() >= MOST && !self.suspects.contains_key(&fingerprint) {
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

    /// It ran to its end: it is no suspect.
    pub fn acquit(&mut self, fingerprint: u64) {
        self.suspects.remove(&fingerprint);
    }

    /// Whether it must not go to a server again.
    #[must_use]
    pub fn is_quarantined(&self, fingerprint: u64, now: time::Instant) -> bool {
        self.suspects.get(&fingerprint).is_some_and(|record| {
            record.servers.len() >= CRASHES && now.saturating_duration_since(record.at) < KEPT
        })
    }

    /// All suspicions, to be told to other VMs.
    pub fn accusations(&self) -> impl Iterator<Item = (u64, u64)> {
        self.suspects.iter().flat_map(|(&fingerprint, record)| {
            record
                .servers
                .iter()
                .map(move |&server| (fingerprint, server))
        })
    }
}

//! Directory of the entry VMs that a caller may use.

use std::{collections, net, time::Duration};

use tokio::time;

/// Time for which an entry VM that failed a call is ranked last.
const SUSPECT_DURATION: Duration = Duration::from_secs(2);

/// The entry VMs known to the callers of one organisation.
#[derive(Clone, Debug)]
pub struct EntryDirectory {
    /// Addresses to query when nothing else is known; never empty.
    bootstrap: Vec<net::SocketAddr>,
    /// Addresses of the last entry list, in its order.
    listed: Vec<net::SocketAddr>,
    /// Time at which the entry list must be fetched again; absent before the first one.
    keep_until: Option<time::Instant>,
    /// Entry VMs that failed, with the time at which the suspicion expires.
    suspects: collections::BTreeMap<net::SocketAddr, time::Instant>,
}

impl EntryDirectory {
    /// Creates a directory that knows only `bootstrap`.
    #[must_use]
    pub const fn new(bootstrap: Vec<net::SocketAddr>) -> Self {
        Self {
            bootstrap,
            listed: Vec::new(),
            keep_until: None,
            suspects: collections::BTreeMap::new(),
        }
    }

    /// Returns true if the entry list must be fetched, for the first time or again.
    #[must_use]
    pub fn is_stale(&self, now: time::Instant) -> bool {
        self.keep_until.is_none_or(|until| now >= until)
    }

    /// Stores the entry list received from an entry VM.
    pub fn store_entries(
        &mut self,
        listed: Vec<net::SocketAddr>,
        keep: Duration,
        now: time::Instant,
    ) {
        self.listed = listed;
        self.keep_until = Some(now + keep);
    }

    /// Extends the lifetime of the current list, because no entry VM answered.
    pub fn keep_stale(&mut self, now: time::Instant) {
        self.keep_until = Some(now + SUSPECT_DURATION);
    }

    /// Records that `address` failed a call.
    pub fn suspect(&mut self, address: net::SocketAddr, now: time::Instant) {
        self.suspects.insert(address, now + SUSPECT_DURATION);
    }

    /// Returns every address to try: the listed ones before the bootstrap ones, suspects last.
    #[must_use]
    pub fn ranking(&self, now: time::Instant) -> Vec<net::SocketAddr> {
        let mut ranking: Vec<net::SocketAddr> = Vec::new();
        for address in self.listed.iter().chain(&self.bootstrap) {
            if !ranking.contains(address) {
                ranking.push(*address);
            }
        }
        let is_suspect = |address: &net::SocketAddr| {
            let until = self.suspects.get(address);
            until.is_some_and(|until| now < *until)
        };
        // The sort is stable, so the order among suspects and among the others is kept.
        ranking.sort_by_key(is_suspect);
        ranking
    }
}

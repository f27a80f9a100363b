//! Which entry VMs a caller may use now.

use std::{collections, net, time::Duration};

use tokio::time;

/// How long an entry VM that failed a caller is tried last.
const SUSPECT_TIME: Duration = Duration::from_secs(2);

/// One organisation's knowledge of the entry VMs.
#[derive(Clone, Debug)]
pub struct EntryBook {
    /// Where to ask when nothing else is known; never empty.
    bootstrap: Vec<net::SocketAddr>,
    /// The last answer, in its order.
    named: Vec<net::SocketAddr>,
    /// When the last answer is to be asked for again; absent before the first one.
    keep_until: Option<time::Instant>,
    /// Entry VMs that failed, with the instant from which they count as good again.
    suspects: collections::BTreeMap<net::SocketAddr, time::Instant>,
}

impl EntryBook {
    /// A book that knows only `bootstrap`.
    #[must_use]
    pub const fn new(bootstrap: Vec<net::SocketAddr>) -> Self {
        Self {
            bootstrap,
            named: Vec::new(),
            keep_until: None,
            suspects: collections::BTreeMap::new(),
        }
    }

    /// Whether the answer has to be asked for, for the first time or again.
    #[must_use]
    pub fn is_stale(&self, now: time::Instant) -> bool {
        self.keep_until.is_none_or(|until| now >= until)
    }

    /// Takes the answer of an entry VM.
    pub fn learn(&mut self, named: Vec<net::SocketAddr>, keep: Duration, now: time::Instant) {
        self.named = named;
        self.keep_until = Some(now + keep);
    }

    /// Keeps what is known a little longer, because nobody answered.
    pub fn keep_stale(&mut self, now: time::Instant) {
        self.keep_until = Some(now + SUSPECT_TIME);
    }

    /// Notes that `address` failed a caller.
    pub fn suspect(&mut self, address: net::SocketAddr, now: time::Instant) {
        self.suspects.insert(address, now + SUSPECT_TIME);
    }

    /// Every address to try: named ones before the bootstrap, suspects last.
    #[must_use]
    pub fn ranking(&self, now: time::Instant) -> Vec<net::SocketAddr> {
        let mut ranking: Vec<net::SocketAddr> = Vec::new();
        for address in self.named.iter().chain(&self.bootstrap) {
            if !ranking.contains(address) {
                ranking.push(*address);
            }
        }
        let is_suspect = |address: &net::SocketAddr| {
            let until = self.suspects.get(address);
            until.is_some_and(|until| now < *until)
        };
        // The sort is stable: within good ones and within suspects the order stays.
        ranking.sort_by_key(is_suspect);
        ranking
    }
}

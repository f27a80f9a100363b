//! What other VMs have on servers, as they told it.
//!
//! Load pattern: at 400 VMs and 4,000 servers, hundreds of datagrams a second each replace what one
//! VM has on a dozen servers. So it is kept by VM too: taking a datagram costs by what it names, not
//! by how many servers there are.

use std::collections;

use tokio::time;

use crate::fleet;

/// Age after which a peer's word on its own load counts for nothing: it is down or cut off.
const PEER_LOAD_AGE: time::Duration = time::Duration::from_secs(3);
/// Other VMs that must say that a server fails for it to be believed. One may be cut off itself.
const FAILING_PEERS: usize = 2;

/// What another VM has on a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerLoad {
    /// Tries there.
    pub runs: u32,
    /// Memory that they and the copies there are expected to need.
    pub tokens: u64,
    /// Prompt tokens of generations without a first event.
    pub backlog: u64,
    /// Whether generations failed there of late.
    pub failing: bool,
}

/// What a server has to do, over all VMs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerLoad {
    /// Tries there.
    pub runs: u32,
    /// Expected memory.
    pub tokens: u64,
    /// Prompt tokens not read yet.
    pub backlog: u64,
    /// Tries of this VM alone.
    pub own_runs: u32,
}

impl ServerLoad {
    /// Begins with what this VM has there.
    #[must_use]
    pub const fn of_own(own: PeerLoad) -> Self {
        Self {
            runs: own.runs,
            tokens: own.tokens,
            backlog: own.backlog,
            own_runs: own.runs,
        }
    }

    const fn add(&mut self, peer: &PeerLoad) {
        self.runs += peer.runs;
        self.tokens += peer.tokens;
        self.backlog += peer.backlog;
    }
}

/// One VM's word on one server.
#[derive(Clone, Copy, Debug)]
struct PeerWord {
    load: PeerLoad,
    told_at: time::Instant,
}

impl PeerWord {
    fn counts(&self, now: time::Instant) -> bool {
        now.saturating_duration_since(self.told_at) <= PEER_LOAD_AGE
    }
}

/// What all other VMs told.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads {
    /// By server, then by VM.
    words: slotmap::SecondaryMap<fleet::ServerKey, collections::HashMap<u64, PeerWord>>,
    /// Servers that a VM named last.
    named: collections::HashMap<u64, Vec<fleet::ServerKey>>,
}

impl PeerLoads {
    /// A VM told all that it has: what it does not name, it no longer has.
    pub fn replace(
        &mut self,
        vm: u64,
        loads: impl Iterator<Item = (fleet::ServerKey, PeerLoad)>,
        now: time::Instant,
    ) {
        let mut named = self.named.remove(&vm).unwrap_or_default();
        for key in named.drain(..) {
            if let Some(words) = self.words.get_mut(key) {
                words.remove(&vm);
            }
        }
        for (key, load) in loads {
            let word = PeerWord { load, told_at: now };
            if let Some(words) = self.words.entry(key) {
                words.or_default().insert(vm, word);
                named.push(key);
            }
        }
        if !named.is_empty() {
            self.named.insert(vm, named);
        }
    }

    /// Adds what others have on a server.
    pub fn add_to(&self, load: &mut ServerLoad, key: fleet::ServerKey, now: time::Instant) {
        for word in self.words_on(key, now) {
            load.add(&word.load);
        }
    }

    /// Whether enough other VMs say that a server fails.
    #[must_use]
    pub fn say_failing(&self, key: fleet::ServerKey, now: time::Instant) -> bool {
        let told = self.words_on(key, now).filter(|word| word.load.failing);
        told.count() >= FAILING_PEERS
    }

    /// A server is forgotten.
    pub fn forget(&mut self, key: fleet::ServerKey) {
        self.words.remove(key);
    }

    fn words_on(
        &self,
        key: fleet::ServerKey,
        now: time::Instant,
    ) -> impl Iterator<Item = &PeerWord> {
        let words = self.words.get(key).into_iter();
        words
            .flat_map(collections::HashMap::values)
            .filter(move |word| word.counts(now))
    }
}

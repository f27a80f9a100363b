//! Which server is believed to hold which prefix in its cache.
//!
//! Engines tell late and with gaps what they stored and evicted. What this process itself sent
//! somewhere is known at once. Belief fades with age; how much it is worth at all is learnt from
//! the cached tokens that engines report at the end of a generation.

use base::id;
use tokio::time;

use crate::request;

/// Servers remembered of one prefix.
const MAX_SERVERS_PER_PREFIX: usize = 4;

/// Sets of the table; a power of two.
const SETS: usize = 4_096;

/// Slots of a set, each a prefix on one server.
const SLOTS_PER_SET: usize = 8;

/// One prefix on one server.
#[derive(Clone, Copy, Debug)]
struct AffinitySlot {
    hash: u64,
    server: id::ServerKey,
    /// Null `server`: nothing.
    seen_at: time::Instant,
}

/// Bounded table of prefixes and the servers that hold them.
#[derive(Clone, Debug)]
pub struct AffinityTable {
    /// `SETS * SLOTS_PER_SET` of them once anything was noted, none before.
    slots: Vec<Option<AffinitySlot>>,
    /// Belief in an entry halves with this age.
    half_life: time::Duration,
    /// Cached tokens found over those believed in, decayed; from 0 to 1.
    hit_ratio: f32,
}

/// A believed cache hit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PrefixEstimate {
    /// Tokens of the longest prefix believed to be there.
    pub tokens: u32,
    /// Expected tokens: the former by the chance that it still is there.
    pub expected: f32,
}

/// Servers believed to hold some prefix of one prompt, at most `MAX_ESTIMATES` of them.
#[derive(Clone, Copy, Debug)]
pub struct EstimateList {
    estimates: [(id::ServerKey, PrefixEstimate); MAX_ESTIMATES],
    len: usize,
}

/// Servers that one [`EstimateList`] holds.
const MAX_ESTIMATES: usize = 16;

impl Default for EstimateList {
    fn default() -> Self {
        let none = (id::ServerKey::default(), PrefixEstimate::default());
        Self {
            estimates: [none; MAX_ESTIMATES],
            len: 0,
        }
    }
}

impl EstimateList {
    /// What is believed of `server`.
    #[must_use]
    pub fn of(&self, server: id::ServerKey) -> PrefixEstimate {
        let mut matches = self.estimates[..self.len].iter();
        let found = matches.find(|(key, _)| *key == server);
        found.map_or_else(PrefixEstimate::default, |(_, estimate)| *estimate)
    }

    fn raise(&mut self, server: id::ServerKey, estimate: PrefixEstimate) {
        let mut matches = self.estimates[..self.len].iter_mut();
        if let Some((_, old)) = matches.find(|(key, _)| *key == server) {
            if estimate.expected > old.expected {
                *old = estimate;
            }
        } else if self.len < MAX_ESTIMATES {
            self.estimates[self.len] = (server, estimate);
            self.len += 1;
        }
    }
}

impl AffinityTable {
    /// An empty table.
    #[must_use]
    pub fn new(half_life: time::Duration) -> Self {
        Self {
            slots: Vec::new(),
            half_life,
            hit_ratio: 0.8,
        }
    }

    /// Changes the age with which estimate halves.
    pub fn set_half_life(&mut self, half_life: time::Duration) {
        self.half_life = half_life;
    }

    fn set(hash: u64) -> usize {
        // The hash may be of any quality: spread it.
        let spread = hash.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        (spread as usize % SETS) * SLOTS_PER_SET
    }

    /// Notes that `server` holds the prefix `hash`, as of `seen_at`.
    pub fn insert(&mut self, hash: u64, server: id::ServerKey, seen_at: time::Instant) {
        if self.slots.is_empty() {
            self.slots = vec![None; SETS * SLOTS_PER_SET];
        }
        let set = Self::set(hash);
        let slots = &mut self.slots[set..set + SLOTS_PER_SET];
        let matches = |slot: &Option<AffinitySlot>| {
            slot.is_some_and(|slot| slot.hash == hash && slot.server == server)
        };
        let index = slots
            .iter()
            .position(matches)
            .unwrap_or_else(|| Self::oldest(slots, hash));
        let newer = slots[index].is_none_or(|slot| slot.seen_at <= seen_at);
        if newer || !matches(&slots[index]) {
            slots[index] = Some(AffinitySlot {
                hash,
                server,
                seen_at,
            });
        }
    }

    /// The slot to give up: the oldest of the same prefix when that has its [`MAX_SERVERS_PER_PREFIX`], else the
    /// oldest of the set.
    fn oldest(slots: &[Option<AffinitySlot>], hash: u64) -> usize {
        let same = |slot: &Option<AffinitySlot>| slot.is_some_and(|slot| slot.hash == hash);
        let full = slots.iter().filter(|slot| same(slot)).count() >= MAX_SERVERS_PER_PREFIX;
        let indices = (0..slots.len()).filter(|&index| !full || same(&slots[index]));
        indices
            .min_by_key(|&index| slots[index].map(|slot| slot.seen_at))
            .unwrap_or(0)
    }

    /// Notes that `server` dropped the prefix `hash` at `evicted_at`; a later note stands.
    pub fn remove(&mut self, hash: u64, server: id::ServerKey, evicted_at: time::Instant) {
        if self.slots.is_empty() {
            return;
        }
        let set = Self::set(hash);
        for slot in &mut self.slots[set..set + SLOTS_PER_SET] {
            let evicted = slot.is_some_and(|slot| {
                slot.hash == hash && slot.server == server && slot.seen_at <= evicted_at
            });
            if evicted {
                *slot = None;
            }
        }
    }

    /// Forgets all that `server` matches: it restarted.
    pub fn clear(&mut self, server: id::ServerKey) {
        for slot in &mut self.slots {
            if slot.is_some_and(|slot| slot.server == server) {
                *slot = None;
            }
        }
    }

    /// Learns from a generation that was believed to find `believed` tokens and found `found`.
    pub fn record_hit(&mut self, predicted: u32, found: u32) {
        const WEIGHT: f32 = 0.05;
        if predicted > 0 {
            let ratio = (found as f32 / predicted as f32).min(1.0);
            self.hit_ratio += WEIGHT * (ratio - self.hit_ratio);
        }
    }

    /// Which servers are believed to hold a prefix of the prompt.
    #[must_use]
    pub fn estimates(&self, prefix: &request::PrefixChain, now: time::Instant) -> EstimateList {
        let mut list = EstimateList::default();
        if self.slots.is_empty() {
            return list;
        }
        for wanted in prefix.hashes() {
            let set = Self::set(wanted.hash);
            for slot in self.slots[set..set + SLOTS_PER_SET].iter().flatten() {
                if slot.hash != wanted.hash {
                    continue;
                }
                let age = now.saturating_duration_since(slot.seen_at).as_secs_f32();
                let chance = self.hit_ratio * (-age / self.half_life.as_secs_f32()).exp2();
                let estimate = PrefixEstimate {
                    tokens: wanted.tokens,
                    expected: chance * wanted.tokens as f32,
                };
                list.raise(slot.server, estimate);
            }
        }
        list
    }
}

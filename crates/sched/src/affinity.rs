//! Prediction of which servers have which prompt prefixes in their cache.
//!
//! Engines report stored and evicted prefixes with delay and gaps, while the prefixes that this
//! process itself sent to a server are known at once. The estimate decays with age. Its overall
//! reliability is learnt from the cached tokens that engines report at the end of a generation.

use base::id;
use tokio::time;

use crate::request;

/// Maximum number of servers tracked per prefix.
const MAX_SERVERS_PER_PREFIX: usize = 4;

/// Number of sets in the table; a power of two.
const SETS: usize = 4_096;

/// Slots per set; each holds one prefix on one server.
const SLOTS_PER_SET: usize = 8;

/// Record that a server holds a prefix.
#[derive(Clone, Copy, Debug)]
struct AffinitySlot {
    hash: u64,
    server: id::ServerKey,
    /// Time of the latest evidence that the server holds the prefix.
    seen_at: time::Instant,
}

/// Bounded set-associative table of prefixes and the servers that hold them.
#[derive(Clone, Debug)]
pub struct AffinityTable {
    /// Empty until the first insertion, then `SETS * SLOTS_PER_SET` slots.
    slots: Vec<Option<AffinitySlot>>,
    /// Age at which the estimate of an entry has halved.
    half_life: time::Duration,
    /// Decayed ratio of cached tokens found to cached tokens predicted, from 0 to 1.
    hit_ratio: f32,
}

/// Predicted cache hit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PrefixEstimate {
    /// Length of the longest prefix predicted to be cached, in tokens.
    pub tokens: u32,
    /// Expected number of cached tokens: `tokens` times the probability that the prefix is still
    /// cached.
    pub expected: f32,
}

/// Servers predicted to hold a prefix of one prompt; at most `MAX_ESTIMATES`.
#[derive(Clone, Copy, Debug)]
pub struct EstimateList {
    estimates: [(id::ServerKey, PrefixEstimate); MAX_ESTIMATES],
    len: usize,
}

/// Maximum number of servers in one [`EstimateList`].
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
    /// Returns the estimate for `server`.
    #[must_use]
    pub fn get(&self, server: id::ServerKey) -> PrefixEstimate {
        let mut entries = self.estimates[..self.len].iter();
        let found = entries.find(|(key, _)| *key == server);
        found.map_or_else(PrefixEstimate::default, |(_, estimate)| *estimate)
    }

    fn raise(&mut self, server: id::ServerKey, estimate: PrefixEstimate) {
        let mut entries = self.estimates[..self.len].iter_mut();
        if let Some((_, old)) = entries.find(|(key, _)| *key == server) {
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
    /// Creates an empty table.
    #[must_use]
    pub fn new(half_life: time::Duration) -> Self {
        Self {
            slots: Vec::new(),
            half_life,
            hit_ratio: 0.8,
        }
    }

    /// Sets the age at which the estimate of an entry has halved.
    pub fn set_half_life(&mut self, half_life: time::Duration) {
        self.half_life = half_life;
    }

    fn set(hash: u64) -> usize {
        // Callers may use hashes of low quality, so mix the bits.
        let spread = hash.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        (spread as usize % SETS) * SLOTS_PER_SET
    }

    /// Records that `server` held the prefix `hash` at `seen_at`.
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

    /// Returns the slot to replace: the oldest slot of the same prefix if it already has
    /// [`MAX_SERVERS_PER_PREFIX`] servers, otherwise the oldest slot of the set.
    fn oldest(slots: &[Option<AffinitySlot>], hash: u64) -> usize {
        let same = |slot: &Option<AffinitySlot>| slot.is_some_and(|slot| slot.hash == hash);
        let full = slots.iter().filter(|slot| same(slot)).count() >= MAX_SERVERS_PER_PREFIX;
        let indices = (0..slots.len()).filter(|&index| !full || same(&slots[index]));
        indices
            .min_by_key(|&index| slots[index].map(|slot| slot.seen_at))
            .unwrap_or(0)
    }

    /// Removes the entry for `hash` on `server`, unless it is newer than `evicted_at`.
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

    /// Removes all entries of `server`, which has restarted.
    pub fn clear(&mut self, server: id::ServerKey) {
        for slot in &mut self.slots {
            if slot.is_some_and(|slot| slot.server == server) {
                *slot = None;
            }
        }
    }

    /// Updates the hit ratio with a generation for which `predicted` cached tokens were predicted
    /// and `found` were reported.
    pub fn record_hit(&mut self, predicted: u32, found: u32) {
        const WEIGHT: f32 = 0.05;
        if predicted > 0 {
            let ratio = (found as f32 / predicted as f32).min(1.0);
            self.hit_ratio += WEIGHT * (ratio - self.hit_ratio);
        }
    }

    /// Returns the servers predicted to hold a prefix of the prompt.
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

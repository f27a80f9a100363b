//! Which server is believed to hold which prefix in its cache.
//!
//! Engines tell late and with gaps what they stored and evicted. What this process itself sent
//! somewhere is known at once. Belief fades with age; how much it is worth at all is learnt from
//! the cached tokens that engines report at the end of a generation.

use base::id;
use tokio::time;

use crate::ask;

/// Servers remembered of one prefix.
const WAYS: usize = 4;

/// Sets of the table; a power of two.
const SETS: usize = 4_096;

/// Slots of a set, each a prefix on one server.
const SLOTS: usize = 8;

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
    /// `SETS * SLOTS` of them once anything was noted, none before.
    slots: Vec<Option<AffinitySlot>>,
    /// Belief in an entry halves with this age.
    half_life: time::Duration,
    /// Cached tokens found over those believed in, decayed; from 0 to 1.
    trust: f32,
}

/// A believed cache hit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PrefixBelief {
    /// Tokens of the longest prefix believed to be there.
    pub tokens: u32,
    /// Expected tokens: the former by the chance that it still is there.
    pub expected: f32,
}

impl AffinityTable {
    /// An empty table.
    #[must_use]
    pub fn new(half_life: time::Duration) -> Self {
        Self {
            slots: Vec::new(),
            half_life,
            trust: 0.8,
        }
    }

    /// Changes the age with which belief halves.
    pub fn set_half_life(&mut self, half_life: time::Duration) {
        self.half_life = half_life;
    }

    fn set(hash: u64) -> usize {
        // The hash may be of any quality: spread it.
        let spread = hash.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        (spread as usize % SETS) * SLOTS
    }

    /// Notes that `server` holds the prefix `hash`, as of `seen_at`.
    pub fn note(&mut self, hash: u64, server: id::ServerKey, seen_at: time::Instant) {
        if self.slots.is_empty() {
            self.slots = vec![None; SETS * SLOTS];
        }
        let set = Self::set(hash);
        let slots = &mut self.slots[set..set + SLOTS];
        let held = |slot: &Option<AffinitySlot>| {
            slot.is_some_and(|slot| slot.hash == hash && slot.server == server)
        };
        let place = slots
            .iter()
            .position(held)
            .unwrap_or_else(|| Self::oldest(slots, hash));
        let newer = slots[place].is_none_or(|slot| slot.seen_at <= seen_at);
        if newer || !held(&slots[place]) {
            slots[place] = Some(AffinitySlot {
                hash,
                server,
                seen_at,
            });
        }
    }

    /// The slot to give up: the oldest of the same prefix when that has its [`WAYS`], else the
    /// oldest of the set.
    fn oldest(slots: &[Option<AffinitySlot>], hash: u64) -> usize {
        let same = |slot: &Option<AffinitySlot>| slot.is_some_and(|slot| slot.hash == hash);
        let full = slots.iter().filter(|slot| same(slot)).count() >= WAYS;
        let places = (0..slots.len()).filter(|&place| !full || same(&slots[place]));
        places
            .min_by_key(|&place| slots[place].map(|slot| slot.seen_at))
            .unwrap_or(0)
    }

    /// Notes that `server` dropped the prefix `hash` at `evicted_at`; a later note stands.
    pub fn forget(&mut self, hash: u64, server: id::ServerKey, evicted_at: time::Instant) {
        if self.slots.is_empty() {
            return;
        }
        let set = Self::set(hash);
        for slot in &mut self.slots[set..set + SLOTS] {
            let gone = slot.is_some_and(|slot| {
                slot.hash == hash && slot.server == server && slot.seen_at <= evicted_at
            });
            if gone {
                *slot = None;
            }
        }
    }

    /// Forgets all that `server` held: it restarted.
    pub fn clear(&mut self, server: id::ServerKey) {
        for slot in &mut self.slots {
            if slot.is_some_and(|slot| slot.server == server) {
                *slot = None;
            }
        }
    }

    /// Learns from a generation that was believed to find `believed` tokens and found `found`.
    pub fn learn(&mut self, believed: u32, found: u32) {
        const WEIGHT: f32 = 0.05;
        if believed > 0 {
            let part = (found as f32 / believed as f32).min(1.0);
            self.trust += WEIGHT * (part - self.trust);
        }
    }

    /// What of `prefix` is believed to be on `server`.
    #[must_use]
    pub fn belief(
        &self,
        prefix: &ask::PrefixChain,
        server: id::ServerKey,
        now: time::Instant,
    ) -> PrefixBelief {
        if self.slots.is_empty() {
            return PrefixBelief::default();
        }
        let mut belief = PrefixBelief::default();
        for held in prefix.hashes() {
            let set = Self::set(held.hash);
            let slots = &self.slots[set..set + SLOTS];
            let slot = slots
                .iter()
                .flatten()
                .find(|slot| slot.hash == held.hash && slot.server == server);
            if let Some(slot) = slot {
                let age = now.saturating_duration_since(slot.seen_at).as_secs_f32();
                let chance = self.trust * (-age / self.half_life.as_secs_f32()).exp2();
                let expected = chance * held.tokens as f32;
                if expected > belief.expected {
                    belief = PrefixBelief {
                        tokens: held.tokens,
                        expected,
                    };
                }
            }
        }
        belief
    }
}

//! This VM's share of the engines that it sends work to beside other entry VMs.
//!
//! A VM's weight is the sum of the weights of the organisations that have work at it, not the
//! amount of that work: an organisation that sends ten times its share makes its VM no heavier.

use base::id;
use tokio::time;

/// What one entry VM tells the others of its work, in gossip.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EntryDigest {
    /// Sum of the weights of organisations with work there.
    pub weight: f32,
    /// Whether some of that work waits for room.
    pub backlogged: bool,
    /// Urgent generations at once, see [`crate::headroom`].
    pub urgent: f32,
}

/// A digest older than this says nothing any more.
const STALE: time::Duration = time::Duration::from_secs(20);

/// What a VM counts whose work does not wait, as a part of its weight.
const UNPRESSED: f32 = 0.25;

/// Digests of the other entry VMs and what follows from them.
#[derive(Clone, Debug)]
pub struct ShareTable {
    digests: slotmap::SecondaryMap<id::VmKey, (EntryDigest, time::Instant)>,
    /// Share when no digest is known.
    default_share: f32,
    others_weight: f32,
    others_urgent: f32,
}

impl ShareTable {
    /// A table for `entries` VMs, this one included, of which nothing is known yet.
    #[must_use]
    pub fn new(entries: u32) -> Self {
        Self {
            digests: slotmap::SecondaryMap::new(),
            default_share: 1.0 / entries.max(1) as f32,
            others_weight: 0.0,
            others_urgent: 0.0,
        }
    }

    /// Changes the number of VMs.
    pub fn set_entries(&mut self, entries: u32) {
        self.default_share = 1.0 / entries.max(1) as f32;
    }

    /// Another VM's digest arrived; one older than the newest of it is ignored.
    pub fn take(&mut self, vm: id::VmKey, digest: EntryDigest, taken_at: time::Instant) {
        let newer = self
            .digests
            .get(vm)
            .is_none_or(|(_, held_at)| *held_at < taken_at);
        if newer {
            self.digests.insert(vm, (digest, taken_at));
        }
    }

    /// Another VM is gone.
    pub fn remove(&mut self, vm: id::VmKey) {
        self.digests.remove(vm);
    }

    /// Sums up what is known; called now and then, not for each decision.
    pub fn refresh(&mut self, now: time::Instant) {
        self.digests
            .retain(|_, (_, taken_at)| now.saturating_duration_since(*taken_at) < STALE);
        (self.others_weight, self.others_urgent) = (0.0, 0.0);
        for (_, (digest, _)) in &self.digests {
            let pressed = if digest.backlogged { 1.0 } else { UNPRESSED };
            self.others_weight += digest.weight * pressed;
            self.others_urgent += digest.urgent;
        }
    }

    /// Share of a VM of `weight` in engines of which each VM uses the part `used`.
    #[must_use]
    pub fn share(&self, weight: f32, used: f32) -> f32 {
        if self.digests.is_empty() {
            return (self.default_share / used.max(1e-3)).min(1.0);
        }
        let weight = weight.max(0.5);
        weight / self.others_weight.mul_add(used, weight)
    }

    /// Urgent generations at once at the other VMs.
    #[must_use]
    pub fn others_urgent(&self) -> f32 {
        self.others_urgent
    }
}

//! This VM's share of the engines that it sends work to beside other entry VMs.
//!
//! Reports of engines are old, so several VMs that fill the same engine overfill it or leave it
//! idle. Each engine is therefore mostly filled by one VM, or by two: all engines of a model lie
//! on a ring in an order that every process knows, each as long as its memory, and the VMs that
//! have work for the model lie on the same ring, each as long as what it is allotment. Where a VM's
//! length covers an engine, that is its share of it. What a VM is allotment is the smaller of what it
//! asks for and a fair portion by the weights of its organisations, so an organisation that sends
//! ten times its share takes no other VM's engines.
//!
//! Every VM works this out from the digests that it has, without agreement. Digests differ in
//! age, so neighbours on the ring may both claim the engine between them, or neither: a small portion
//! of the room, and the next digests mend it.

use base::id;
use tokio::time;

/// What one entry VM tells the others of its work for one model, in gossip, about once a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EntryDigest {
    /// Tells the VM's place on the ring; equal in every process, different for each VM.
    pub identity: u64,
    /// Sum of the weights of the organisations with work there.
    pub weight: f32,
    /// Engine memory that its running and waiting urgent and normal work asks for, in tokens.
    pub firm: f32,
    /// The same for deferrable work.
    pub deferrable: f32,
    /// The portion of both that waits.
    pub waiting: f32,
    /// Urgent generations at once, see [`crate::headroom`].
    pub urgent: f32,
}

/// A digest older than this says nothing any more.
const DIGEST_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// What the division of a ring follows.
#[derive(Clone, Copy, Debug)]
pub struct ShareRule {
    /// Part of the total_weight that deferrable work is owed.
    pub floor: f32,
    /// Part of each engine's room that goes to whoever has work waiting, wherever on the ring.
    pub common_fraction: f32,
    /// What a VM may be allotment, as a multiple of its demand: above 1, else growth would wait for a
    /// digest.
    pub demand_factor: f32,
}

/// An engine on the ring.
#[derive(Clone, Copy, Debug)]
pub struct RingEngine {
    /// The engine.
    pub server: id::ServerKey,
    /// Tells its place; equal in every process.
    pub identity: u64,
    /// Its length: its memory, in tokens.
    pub capacity: f32,
}

/// A VM on the ring.
#[derive(Clone, Copy, Debug)]
struct RingEntry {
    identity: u64,
    weight: f32,
    /// Most that it is allotment for its urgent and normal work.
    firm: f32,
    /// The same for deferrable work.
    deferrable: f32,
    /// What it may be allotment in the round of division under way.
    demand: f32,
    allotment: f32,
}

/// Digests of the other entry VMs for one model, and what follows from them.
#[derive(Clone, Debug, Default)]
pub struct ShareTable {
    digests: slotmap::SecondaryMap<id::VmKey, (EntryDigest, time::Instant)>,
    /// Ranked by identity; kept for its memory.
    entries: Vec<RingEntry>,
    /// Share of each engine; empty while no digest is known.
    shares: slotmap::SecondaryMap<id::ServerKey, f32>,
    others_urgent: f32,
    /// Part that is not laid on the ring, see [`ShareRule`].
    common_fraction: f32,
}

impl ShareTable {
    /// Another VM's digest arrived; one older than the newest of it is ignored.
    pub fn record(&mut self, vm: id::VmKey, digest: EntryDigest, taken_at: time::Instant) {
        let known = self.digests.get(vm);
        if known.is_none_or(|(_, known_at)| *known_at < taken_at) {
            self.digests.insert(vm, (digest, taken_at));
        }
    }

    /// Another VM is gone.
    pub fn remove(&mut self, vm: id::VmKey) {
        self.digests.remove(vm);
    }

    /// Works out the shares anew; called now and then, not for each decision. `engines` are in
    /// ascending order of identity;
    pub fn refresh(
        &mut self,
        own: &EntryDigest,
        engines: &[RingEngine],
        rule: &ShareRule,
        now: time::Instant,
    ) {
        self.digests
            .retain(|_, (_, taken_at)| now.saturating_duration_since(*taken_at) < DIGEST_TIMEOUT);
        self.shares.clear();
        self.entries.clear();
        self.others_urgent = self.digests.values().map(|(digest, _)| digest.urgent).sum();
        if self.digests.is_empty() {
            return;
        }
        let capacity: f32 = engines.iter().map(|engine| engine.capacity).sum();
        let waiting: f32 = self
            .digests
            .values()
            .map(|(digest, _)| digest.waiting)
            .sum();
        let others = self.digests.values().map(|(digest, _)| digest);
        for digest in others.chain([own]) {
            self.entries.push(RingEntry {
                identity: digest.identity,
                weight: digest.weight.max(0.1),
                firm: rule.demand_factor * digest.firm + 0.01 * capacity,
                deferrable: rule.demand_factor * digest.deferrable,
                demand: 0.0,
                allotment: 0.0,
            });
        }
        divide_all(&mut self.entries, capacity, rule.floor);
        let common = own.waiting / (waiting + own.waiting).max(1.0);
        self.common_fraction = rule.common_fraction;
        self.assign_shares(own.identity, engines, common);
    }

    /// Lays the VMs and the engines on the ring and notes what this VM covers.
    fn assign_shares(&mut self, own: u64, engines: &[RingEngine], common: f32) {
        self.entries.sort_unstable_by_key(|entry| entry.identity);
        let before = self
            .entries
            .iter()
            .take_while(|entry| entry.identity != own);
        let from: f32 = before.map(|entry| entry.allotment).sum();
        let own = self.entries.iter().find(|entry| entry.identity == own);
        let to = from + own.map_or(0.0, |entry| entry.allotment);
        let mut start = 0.0;
        for engine in engines {
            let end = start + engine.capacity;
            let covered = (to.min(end) - from.max(start)).max(0.0);
            let own = covered / engine.capacity.max(1.0);
            let share = (1.0 - self.common_fraction) * own + self.common_fraction * common;
            self.shares.insert(engine.server, share);
            start = end;
        }
    }

    /// Place in `engines` of the first engine that this VM covers.
    #[must_use]
    pub fn first_covered(&self, engines: &[RingEngine]) -> Option<usize> {
        let own = self.common_fraction + f32::EPSILON;
        engines
            .iter()
            .position(|engine| self.share(engine.server).is_some_and(|share| share > own))
    }

    /// This VM's share of the room on `server`; absent while nothing is known of other VMs.
    #[must_use]
    pub fn share(&self, server: id::ServerKey) -> Option<f32> {
        self.shares.get(server).copied()
    }

    /// Urgent generations at once at the other VMs.
    #[must_use]
    pub fn others_urgent(&self) -> f32 {
        self.others_urgent
    }
}

/// Divides `capacity`: first to urgent and normal work, what is left to deferrable work, which is
/// owed `floor` of the total_weight; then what nobody asks for to all by weight.
fn divide_all(entries: &mut [RingEntry], capacity: f32, floor: f32) {
    let deferrable: f32 = entries.iter().map(|entry| entry.deferrable).sum();
    let owed = deferrable.min(floor * capacity);
    for entry in entries.iter_mut() {
        entry.demand = entry.firm;
    }
    let left = divide(entries, capacity - owed) + owed;
    for entry in entries.iter_mut() {
        entry.demand = entry.deferrable;
    }
    let left = divide(entries, left);
    let total_weight: f32 = entries.iter().map(|entry| entry.weight).sum();
    for entry in entries.iter_mut() {
        entry.allotment += left * entry.weight / total_weight.max(f32::EPSILON);
    }
}

/// Divides `capacity` by weight, nobody more than it wants while others want more. Returns what
/// is left over.
fn divide(entries: &mut [RingEntry], capacity: f32) -> f32 {
    entries.sort_unstable_by(|left, right| {
        let levels = (left.demand / left.weight, right.demand / right.weight);
        levels.0.total_cmp(&levels.1)
    });
    let mut weight: f32 = entries.iter().map(|entry| entry.weight).sum();
    let mut left = capacity;
    for entry in entries.iter_mut() {
        let fair = left * entry.weight / weight.max(f32::EPSILON);
        let portion = entry.demand.min(fair).max(0.0);
        entry.allotment += portion;
        left -= portion;
        weight -= entry.weight;
    }
    left.max(0.0)
}

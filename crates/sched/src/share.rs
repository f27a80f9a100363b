//! Share of each engine that this VM may use where several entry VMs send work to the same engines.
//!
//! Load reports are delayed, so several VMs that fill the same engine would overfill it or leave it
//! idle. Each engine is therefore mostly filled by one or two VMs. All engines of a model lie on a
//! ring, ordered the same way in every process, and each covers a length equal to its memory. The
//! VMs with work for the model lie on the same ring, and each covers a length equal to its
//! allotment. The part of an engine that a VM's length covers is the VM's share of it. The
//! allotment is the smaller of the VM's demand and its fair share by the weights of its
//! organisations, so an organisation that sends ten times its share does not take engines from
//! other VMs.
//!
//! Every VM computes this from the digests it has, without coordination. Digests differ in age, so
//! neighbours on the ring may both claim the engine at their boundary, or neither may. This affects
//! only a small part of the capacity and is corrected by the next digests.

use base::id;
use tokio::time;

/// Summary of one entry VM's work for one model, sent to the other entry VMs by gossip about once a
/// second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EntryDigest {
    /// Position of the VM on the ring: the same number in every process, and different for each VM.
    pub identity: u64,
    /// Sum of the weights of the organisations with work at the VM.
    pub weight: f32,
    /// Engine memory needed by running and waiting urgent and normal work, in tokens.
    pub firm: f32,
    /// Engine memory needed by running and waiting deferrable work, in tokens.
    pub deferrable: f32,
    /// Waiting part of `firm` and `deferrable` together.
    pub waiting: f32,
    /// Number of concurrent urgent generations, see [`crate::headroom`].
    pub urgent: f32,
}

/// Age at which a digest is discarded.
const DIGEST_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Parameters of the division of a ring.
#[derive(Clone, Copy, Debug)]
pub struct ShareRule {
    /// Fraction of the total capacity guaranteed to deferrable work.
    pub floor: f32,
    /// Fraction of each engine's capacity that goes to the VMs with waiting work, regardless of
    /// their position on the ring.
    pub common_fraction: f32,
    /// Maximum allotment of a VM as a multiple of its demand. It is above 1 so that growing demand
    /// need not wait for the next digest.
    pub demand_factor: f32,
}

/// Engine on the ring.
#[derive(Clone, Copy, Debug)]
pub struct RingEngine {
    /// Key of the engine.
    pub server: id::ServerKey,
    /// Position on the ring: the same number in every process.
    pub identity: u64,
    /// Length on the ring: the engine's memory in tokens.
    pub capacity: f32,
}

/// Entry VM on the ring.
#[derive(Clone, Copy, Debug)]
struct RingEntry {
    identity: u64,
    weight: f32,
    /// Maximum allotment for urgent and normal work.
    firm: f32,
    /// Maximum allotment for deferrable work.
    deferrable: f32,
    /// Maximum additional allotment in the current round of the division.
    demand: f32,
    allotment: f32,
}

/// Digests of the other entry VMs for one model, and the shares computed from them.
#[derive(Clone, Debug, Default)]
pub struct ShareTable {
    digests: slotmap::SecondaryMap<id::VmKey, (EntryDigest, time::Instant)>,
    /// Entries in ascending order of identity; kept to reuse the memory.
    entries: Vec<RingEntry>,
    /// Share of each engine; empty while no digest is known.
    shares: slotmap::SecondaryMap<id::ServerKey, f32>,
    others_urgent: f32,
    /// Fraction that is not distributed on the ring, see [`ShareRule::common_fraction`].
    common_fraction: f32,
}

impl ShareTable {
    /// Records another VM's digest, unless a newer one from that VM is known.
    pub fn record(&mut self, vm: id::VmKey, digest: EntryDigest, taken_at: time::Instant) {
        let known = self.digests.get(vm);
        if known.is_none_or(|(_, known_at)| *known_at < taken_at) {
            self.digests.insert(vm, (digest, taken_at));
        }
    }

    /// Removes a VM that has departed.
    pub fn remove(&mut self, vm: id::VmKey) {
        self.digests.remove(vm);
    }

    /// Recomputes the shares. Called periodically rather than for each decision. `engines` are in
    /// ascending order of identity.
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
        let common_share = own.waiting / (waiting + own.waiting).max(1.0);
        self.common_fraction = rule.common_fraction;
        self.assign_shares(own.identity, engines, common_share);
    }

    /// Places the VMs and the engines on the ring and records this VM's share of each engine.
    fn assign_shares(&mut self, own: u64, engines: &[RingEngine], common_share: f32) {
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
            let share = (1.0 - self.common_fraction) * own + self.common_fraction * common_share;
            self.shares.insert(engine.server, share);
            start = end;
        }
    }

    /// Returns the index in `engines` of the first engine that this VM covers.
    #[must_use]
    pub fn first_covered(&self, engines: &[RingEngine]) -> Option<usize> {
        let max_common = self.common_fraction + f32::EPSILON;
        engines.iter().position(|engine| {
            self.share(engine.server)
                .is_some_and(|share| share > max_common)
        })
    }

    /// Returns this VM's share of the capacity of `server`, or `None` while no other VM is known.
    #[must_use]
    pub fn share(&self, server: id::ServerKey) -> Option<f32> {
        self.shares.get(server).copied()
    }

    /// Returns the number of concurrent urgent generations at the other VMs.
    #[must_use]
    pub fn others_urgent(&self) -> f32 {
        self.others_urgent
    }
}

/// Divides `capacity`: first among urgent and normal work, then what is left among deferrable work,
/// which is guaranteed `floor` of the total. The unused remainder is divided by weight.
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

/// Divides `capacity` by weighted max-min fairness: no entry gets more than its demand while others
/// want more. Returns what is left over.
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

//! What the core keeps of each model: its engines and its queues.

use base::{class, id};
use tokio::time;

use crate::{headroom, length, queue, request::TicketKey, share, view};

/// Time over which demand is averaged.
const DEMAND_WINDOW: time::Duration = time::Duration::from_secs(8);

/// Time with a backlog over which the rate of service is averaged.
const DRAIN_WINDOW: time::Duration = time::Duration::from_secs(10);

/// Time with a backlog before the rate is taken to be known.
const MIN_DRAIN_BUSY_S: f64 = 2.0;

/// Rate at which a queue is served while something waits in it.
///
/// Only that time counts: of a queue that is mostly empty, what was served a second tells what
/// was asked for, and a wait predicted from that would refuse what could be served at once.
#[derive(Clone, Copy, Debug)]
pub struct DrainMeter {
    /// Cost served, in generated tokens, faded over [`DRAIN_WINDOW`] of busy time.
    served: f64,
    /// Busy time in seconds, faded likewise.
    busy: f64,
    /// Since when the queue has not been empty; absent while it is.
    busy_since: Option<time::Instant>,
}

impl DrainMeter {
    fn new() -> Self {
        Self {
            served: 0.0,
            busy: 0.0,
            busy_since: None,
        }
    }

    /// Carries the meter forward to `now`; `waits` tells whether the queue is not empty.
    pub fn advance(&mut self, waits: bool, now: time::Instant) {
        if let Some(then) = self.busy_since {
            let age = now.saturating_duration_since(then).as_secs_f64();
            let keep = (-age / DRAIN_WINDOW.as_secs_f64()).exp();
            self.served *= keep;
            self.busy = self.busy.mul_add(keep, age);
        }
        self.busy_since = waits.then_some(now);
    }

    /// Something of `cost` was served after it had waited.
    pub fn serve(&mut self, cost: f64) {
        if self.busy_since.is_some() {
            self.served += cost;
        }
    }

    /// Seconds until `ahead` is served; absent while too little was seen to tell.
    #[must_use]
    pub fn wait(&self, ahead: f64) -> Option<f64> {
        let rate = self.served / self.busy.max(f64::EPSILON);
        (self.busy >= MIN_DRAIN_BUSY_S).then(|| ahead / rate.max(1.0))
    }
}

/// A server that is kept for a request that found no room for long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerReservation {
    /// Who it is kept for.
    pub ticket: TicketKey,
    /// The server.
    pub server: id::ServerKey,
}

/// One model.
#[derive(Clone, Debug)]
pub struct ModelFleet {
    /// Candidate engines in the own region.
    pub local: Vec<id::ServerKey>,
    /// Candidate engines in other regions.
    pub remote: Vec<id::ServerKey>,
    /// Engines in the own region that take new work, candidates or not, in ascending order of
    /// identity.
    pub ring: Vec<share::RingEngine>,
    /// This VM's share of each of them.
    pub shares: share::ShareTable,
    /// How many urgent generations there are at once.
    pub headroom: headroom::HeadroomMeter,
    /// Engine memory that own urgent and normal work asks for, in tokens, averaged over some
    /// seconds.
    pub firm: f32,
    /// The same for deferrable work.
    pub deferrable: f32,
    /// What waits, as of now.
    pub waiting: f32,
    /// Waiting requests by class.
    pub queues: [queue::FairQueue; 3],
    /// How fast each queue is served.
    pub drains: [DrainMeter; 3],
    /// Tokens that deferrable work is owed, against what normal work was given.
    pub credit: f64,
    /// Kept for a request of the normal or the deferrable queue.
    pub reservation: Option<ServerReservation>,
    /// What is known of others' generations; refreshed now and then.
    pub residual: length::ResidualCurve,
}

impl ModelFleet {
    /// A model without engines.
    #[must_use]
    pub fn new(residual: length::ResidualCurve) -> Self {
        Self {
            local: Vec::new(),
            remote: Vec::new(),
            ring: Vec::new(),
            shares: share::ShareTable::default(),
            headroom: headroom::HeadroomMeter::default(),
            firm: 0.0,
            deferrable: 0.0,
            waiting: 0.0,
            queues: Default::default(),
            drains: [DrainMeter::new(); 3],
            credit: 0.0,
            reservation: None,
            residual,
        }
    }

    /// The queue of `class`.
    pub fn queue(&mut self, class: class::TrafficClass) -> &mut queue::FairQueue {
        &mut self.queues[class.index()]
    }

    /// Carries the meters of service forward.
    pub fn advance_drains(&mut self, now: time::Instant) {
        for (drain, queue) in self.drains.iter_mut().zip(&self.queues) {
            drain.advance(!queue.is_empty(), now);
        }
    }

    /// Moves the averaged demands by `age` towards what runs, `firm` and deferrable, and waits.
    pub fn measure_demand(&mut self, firm: f32, deferrable: f32, age: time::Duration) {
        let [urgent, normal, deferrable_queue] = &self.queues;
        let firm_waiting = (urgent.backlog() + normal.backlog()) as f32;
        let deferrable_waiting = deferrable_queue.backlog() as f32;
        self.waiting = firm_waiting + deferrable_waiting;
        let keep = (-age.as_secs_f32() / DEMAND_WINDOW.as_secs_f32()).exp();
        let firm = firm + firm_waiting;
        self.firm = keep.mul_add(self.firm - firm, firm);
        let deferrable = deferrable + deferrable_waiting;
        self.deferrable = keep.mul_add(self.deferrable - deferrable, deferrable);
    }

    /// Where there are more engines than candidates, takes those that this VM covers on the ring
    /// and the next after them.
    pub fn follow_shares(&mut self, candidates: usize) {
        if self.ring.len() <= candidates {
            return;
        }
        if let Some(first) = self.shares.first_covered(&self.ring) {
            let order = self.ring.iter().cycle().skip(first).take(candidates);
            self.local.clear();
            self.local.extend(order.map(|engine| engine.server));
        }
    }

    /// What the other entry VMs are told.
    #[must_use]
    pub fn digest(&self, identity: u64, weight: f32) -> share::EntryDigest {
        share::EntryDigest {
            identity,
            weight,
            firm: self.firm,
            deferrable: self.deferrable,
            waiting: self.waiting,
            urgent: self.headroom.demand(),
        }
    }
}

/// Chooses the candidates among `engines`: the `count` that rank highest for this VM, so that
/// the subset is stable when engines come and go and differs between VMs.
pub fn candidates(
    engines: impl Iterator<Item = id::ServerKey>,
    seed: u64,
    count: usize,
) -> Vec<id::ServerKey> {
    let mut ranking: Vec<(u64, id::ServerKey)> = engines
        .map(|key| (splitmix64(seed ^ slotmap::Key::data(&key).as_ffi()), key))
        .collect();
    ranking.sort_unstable();
    ranking.truncate(count);
    ranking.into_iter().map(|(_, key)| key).collect()
}

/// Finalizer of a 64-bit hash (splitmix64).
fn splitmix64(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Whether `place` lies in the own region.
#[must_use]
pub fn same_region(own: view::ServerLocation, location: view::ServerLocation) -> bool {
    own.region == location.region
}

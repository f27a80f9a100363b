//! State of each model: its engines and its queues.

use base::{class, id};
use tokio::time;

use crate::{headroom, length, queue, request::TicketKey, share, view};

/// Time constant of the moving average of demand.
const DEMAND_WINDOW: time::Duration = time::Duration::from_secs(8);

/// Time constant of the drain rate, in time with a backlog.
const DRAIN_WINDOW: time::Duration = time::Duration::from_secs(10);

/// Seconds with a backlog after which the drain rate counts as known.
const MIN_DRAIN_BUSY_S: f64 = 2.0;

/// Rate at which a queue is served while it has a backlog.
///
/// Time without a backlog does not count. If a queue is mostly empty, the rate over all time
/// measures the demand, and a wait predicted from it would refuse requests that could be served at
/// once.
#[derive(Clone, Copy, Debug)]
pub struct DrainMeter {
    /// Cost served, in generated tokens, decayed over [`DRAIN_WINDOW`] of busy time.
    served: f64,
    /// Busy time in seconds, decayed in the same way.
    busy: f64,
    /// Start of the busy time that is not yet counted; `None` while the queue is empty.
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

    /// Advances the meter to `now`. `waits` is true if the queue is not empty.
    pub fn advance(&mut self, waits: bool, now: time::Instant) {
        if let Some(then) = self.busy_since {
            let age = now.saturating_duration_since(then).as_secs_f64();
            let decay = (-age / DRAIN_WINDOW.as_secs_f64()).exp();
            self.served *= decay;
            self.busy = self.busy.mul_add(decay, age);
        }
        self.busy_since = waits.then_some(now);
    }

    /// Counts the service of a request of `cost` that had waited.
    pub fn serve(&mut self, cost: f64) {
        if self.busy_since.is_some() {
            self.served += cost;
        }
    }

    /// Returns the seconds until `ahead` is served, or `None` while the rate is unknown.
    #[must_use]
    pub fn wait(&self, ahead: f64) -> Option<f64> {
        let rate = self.served / self.busy.max(f64::EPSILON);
        (self.busy >= MIN_DRAIN_BUSY_S).then(|| ahead / rate.max(1.0))
    }
}

/// Reservation of a server for a request that has been blocked for long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerReservation {
    /// Ticket that the server is reserved for.
    pub ticket: TicketKey,
    /// Reserved server.
    pub server: id::ServerKey,
}

/// Engines, queues and demand of one model.
#[derive(Clone, Debug)]
pub struct ModelFleet {
    /// Candidate engines in this VM's region.
    pub local: Vec<id::ServerKey>,
    /// Candidate engines in other regions.
    pub remote: Vec<id::ServerKey>,
    /// Healthy engines in this VM's region, candidates or not, in ascending order of identity.
    pub ring: Vec<share::RingEngine>,
    /// This VM's share of each engine in `ring`.
    pub shares: share::ShareTable,
    /// Meter of concurrent urgent generations.
    pub headroom: headroom::HeadroomMeter,
    /// Engine memory needed by this VM's urgent and normal work, in tokens, as a moving average.
    pub firm: f32,
    /// Engine memory needed by this VM's deferrable work, in tokens, as a moving average.
    pub deferrable: f32,
    /// Current backlog of all queues, in tokens.
    pub waiting: f32,
    /// Waiting requests by class.
    pub queues: [queue::FairQueue; 3],
    /// Drain rate of each queue.
    pub drains: [DrainMeter; 3],
    /// Credit of deferrable work in tokens, earned while normal work is served.
    pub credit: f64,
    /// Server reserved for a request of the normal or the deferrable queue.
    pub reservation: Option<ServerReservation>,
    /// Predicted remaining life of other VMs' generations; refreshed periodically.
    pub residual: length::ResidualCurve,
}

impl ModelFleet {
    /// Creates a model without engines.
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

    /// Returns the queue of `class`.
    pub fn queue(&mut self, class: class::TrafficClass) -> &mut queue::FairQueue {
        &mut self.queues[class.index()]
    }

    /// Advances the drain meters to `now`.
    pub fn advance_drains(&mut self, now: time::Instant) {
        for (drain, queue) in self.drains.iter_mut().zip(&self.queues) {
            drain.advance(!queue.is_empty(), now);
        }
    }

    /// Updates the averaged demands after `age`, from the memory of running `firm` and deferrable
    /// work and from the backlogs.
    pub fn measure_demand(&mut self, firm: f32, deferrable: f32, age: time::Duration) {
        let [urgent, normal, deferrable_queue] = &self.queues;
        let firm_waiting = (urgent.backlog() + normal.backlog()) as f32;
        let deferrable_waiting = deferrable_queue.backlog() as f32;
        self.waiting = firm_waiting + deferrable_waiting;
        let decay = (-age.as_secs_f32() / DEMAND_WINDOW.as_secs_f32()).exp();
        let firm = firm + firm_waiting;
        self.firm = decay.mul_add(self.firm - firm, firm);
        let deferrable = deferrable + deferrable_waiting;
        self.deferrable = decay.mul_add(self.deferrable - deferrable, deferrable);
    }

    /// If there are more engines than candidates, makes the engines that this VM covers on the ring
    /// and the ones following them the candidates.
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

    /// Returns the digest to send to the other entry VMs.
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

/// Returns the `count` engines that rank highest for this VM. The subset is stable when engines are
/// added or removed, and differs between VMs.
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

/// Finalizer of the splitmix64 hash.
fn splitmix64(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Returns whether `location` is in the region of `own`.
#[must_use]
pub fn same_region(own: view::ServerLocation, location: view::ServerLocation) -> bool {
    own.region == location.region
}

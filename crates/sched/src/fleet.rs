//! What the core keeps of each model: its engines and its queues.

use base::{class, id};
use tokio::time;

use crate::{ask::TicketKey, length, queue, view};

/// Time over which the rate of service is averaged.
const DRAIN_SPAN: time::Duration = time::Duration::from_secs(5);

/// Rate at which a queue is served.
#[derive(Clone, Copy, Debug)]
pub struct DrainMeter {
    /// Cost a second, in generated tokens.
    rate: f64,
    measured_at: time::Instant,
    started_at: time::Instant,
}

impl DrainMeter {
    fn new(now: time::Instant) -> Self {
        Self {
            rate: 0.0,
            measured_at: now,
            started_at: now,
        }
    }

    /// Something of `cost` was served.
    pub fn served(&mut self, cost: f64, now: time::Instant) {
        self.rate = self.faded(now) + cost / DRAIN_SPAN.as_secs_f64();
        self.measured_at = now;
    }

    fn faded(&self, now: time::Instant) -> f64 {
        let age = now
            .saturating_duration_since(self.measured_at)
            .as_secs_f64();
        self.rate * (-age / DRAIN_SPAN.as_secs_f64()).exp()
    }

    /// Seconds until `ahead` is served; absent while too little was seen to tell.
    #[must_use]
    pub fn wait(&self, ahead: f64, now: time::Instant) -> Option<f64> {
        let seen = now.saturating_duration_since(self.started_at).as_secs_f64();
        let span = DRAIN_SPAN.as_secs_f64();
        if seen < span {
            return None;
        }
        Some(ahead / self.faded(now).max(1.0))
    }
}

/// A server that is kept for a request that found no room for long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldServer {
    /// Who it is kept for.
    pub ticket: TicketKey,
    /// The server.
    pub server: id::ServerKey,
}

/// One model.
#[derive(Clone, Debug)]
pub struct ModelFleet {
    /// Candidate engines in the own region.
    pub near: Vec<id::ServerKey>,
    /// Candidate engines in other regions.
    pub far: Vec<id::ServerKey>,
    /// Engines in the own region, candidates or not.
    pub engines: usize,
    /// Waiting requests by class.
    pub queues: [queue::FairQueue; 3],
    /// How fast each queue is served.
    pub drains: [DrainMeter; 3],
    /// Tokens that deferrable work is owed, against what normal work was given.
    pub credit: f64,
    /// Kept for a request of the normal or the deferrable queue.
    pub held: Option<HeldServer>,
    /// What is known of others' generations; refreshed now and then.
    pub rest: length::RestCurve,
}

impl ModelFleet {
    /// A model without engines.
    #[must_use]
    pub fn new(rest: length::RestCurve, now: time::Instant) -> Self {
        Self {
            near: Vec::new(),
            far: Vec::new(),
            engines: 0,
            queues: Default::default(),
            drains: [DrainMeter::new(now); 3],
            credit: 0.0,
            held: None,
            rest,
        }
    }

    /// The queue of `class`.
    pub fn queue(&mut self, class: class::TrafficClass) -> &mut queue::FairQueue {
        &mut self.queues[class.index()]
    }

    /// Part of the region's engines that this VM uses.
    #[must_use]
    pub fn used_part(&self) -> f32 {
        self.near.len() as f32 / self.engines.max(1) as f32
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
        .map(|key| (mix(seed ^ slotmap::Key::data(&key).as_ffi()), key))
        .collect();
    ranking.sort_unstable();
    ranking.truncate(count);
    ranking.into_iter().map(|(_, key)| key).collect()
}

/// Finalizer of a 64-bit hash (splitmix64).
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Whether `place` lies in the own region.
#[must_use]
pub fn near(own: view::ServerPlace, place: view::ServerPlace) -> bool {
    own.region == place.region
}

//! Free memory of a service's engines, now and in recent seconds.
//!
//! Load pattern: callers need more memory than engines have for as long as an overload lasts. A
//! request that did not start while it could still be on time never starts then, because free
//! memory goes to later requests that can. The max of the free memory over the last seconds shows
//! whether this is the case.

use std::collections;

use tokio::time;

use crate::{catalog, fleet, server};

/// Fraction of an engine's memory that expected demand may fill: above it, estimation errors lead
/// to preemption.
pub const MEMORY_FILL: f64 = 0.92;
/// How long memory is reserved for the runs of a leaving server, which ends soon after.
const MOVE_TIMEOUT: time::Duration = time::Duration::from_millis(2_500);

/// How long a generation must not have fitted to be refused: longer than it takes until memory is
/// free again after engines were replaced, 3 to 4 s in production, and as long as a caller waits.
const EXHAUSTED_TIMEOUT: time::Duration = time::Duration::from_secs(4);
/// How long samples are kept: a third of the longest time limit of callers.
const SAMPLE_RETENTION: time::Duration = time::Duration::from_secs(15);
/// Interval between samples.
const SAMPLE_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Memory of all engines of a service, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MemoryCapacity {
    /// Total memory of the engines that accept work.
    pub all: f64,
    /// Memory planned for runs and copies on them.
    pub used: f64,
    /// Memory that new runs may still use.
    pub free: f64,
    /// Memory of runs on leaving engines: the prefill of a run is already paid for, and is lost if
    /// no engine has memory for the run within two seconds.
    pub moving: f64,
}

/// Memory that a generation needs, in tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemoryDemand {
    /// Memory planned for the generation.
    pub tokens: f64,
    /// Memory planned for waiting generations that go before it.
    pub ahead_tokens: f64,
    /// Fraction of the total memory that it must leave free for later requests with a better rank.
    pub reserve_fraction: f64,
}

impl MemoryCapacity {
    /// Sums the memory of a service's engines, as far as this VM knows it.
    #[must_use]
    pub fn measure(
        fleet: &fleet::ServerFleet,
        service: &str,
        engine: &catalog::EngineRule,
        loads: &fleet::LoadTable,
        now: time::Instant,
    ) -> Self {
        let memory = engine.memory_tokens as f64;
        let mut capacity = Self::default();
        for (key, record) in fleet.of_service(service) {
            let tokens = loads.get(key).map_or(0.0, |load| load.tokens as f64);
            if fleet.is_eligible(record, now) {
                capacity.add_engine(memory, tokens);
            } else if is_moving_off(record, now) {
                capacity.moving += tokens;
            }
        }
        capacity
    }

    /// Adds an engine that accepts work.
    fn add_engine(&mut self, memory: f64, tokens: f64) {
        self.all += memory;
        self.used += tokens;
        self.free += (memory * MEMORY_FILL - tokens).max(0.0);
    }

    /// Returns whether a generation leaves enough memory for runs that move and for generations
    /// that go before it. The reserve for the latter never exceeds the memory in use: idle engines
    /// accept any generation.
    #[must_use]
    pub fn admits(&self, demand: &MemoryDemand) -> bool {
        let reserve = self.used.min(self.all * demand.reserve_fraction);
        let reserved = self.moving + demand.ahead_tokens + reserve;
        reserved == 0.0 || self.free - reserved >= demand.tokens
    }

    /// Returns whether the engines together have enough memory for the generation, however it is
    /// distributed over them.
    fn fits(&self, demand: &MemoryDemand) -> bool {
        self.admits(demand) && (self.used == 0.0 || self.free >= demand.tokens)
    }
}

/// Returns whether the runs of a server are expected to move off it.
fn is_moving_off(record: &server::ServerRecord, now: time::Instant) -> bool {
    let since_change = now.saturating_duration_since(record.since);
    !record.takes_work(now) && !record.superseded && since_change < MOVE_TIMEOUT
}

/// Recent samples of the free memory of a service.
#[derive(Clone, Debug, Default)]
pub struct CapacityTrend {
    /// Samples, oldest first, none older than [`SAMPLE_RETENTION`].
    samples: collections::VecDeque<(time::Instant, MemoryCapacity)>,
}

impl CapacityTrend {
    /// Returns whether the next sample is due.
    #[must_use]
    pub fn is_due(&self, now: time::Instant) -> bool {
        let last = self.samples.back();
        last.is_none_or(|(at, _)| now.saturating_duration_since(*at) >= SAMPLE_INTERVAL)
    }

    /// Adds a sample.
    pub fn add_sample(&mut self, capacity: MemoryCapacity, now: time::Instant) {
        self.samples.push_back((now, capacity));
        while let Some((at, _)) = self.samples.front()
            && now.saturating_duration_since(*at) > SAMPLE_RETENTION
        {
            self.samples.pop_front();
        }
    }

    /// How long a generation has not fitted into memory; zero if it fitted at the last sample.
    #[must_use]
    pub fn exhausted_for(&self, demand: &MemoryDemand, now: time::Instant) -> time::Duration {
        let samples = self.samples.iter().rev();
        let closed = samples
            .take_while(|(_, capacity)| !capacity.fits(demand))
            .last();
        closed.map_or(time::Duration::ZERO, |(since, _)| {
            now.saturating_duration_since(*since)
        })
    }

    /// Returns whether a generation is unlikely to start before its caller leaves: it fitted at no
    /// sample of the last seconds. Of the generations that wait under overload, nearly all that
    /// start do so within 0.8 s, and hardly any after that.
    #[must_use]
    pub fn is_exhausted(&self, demand: &MemoryDemand, now: time::Instant) -> bool {
        self.exhausted_for(demand, now) >= EXHAUSTED_TIMEOUT
    }
}

//! Limits of an organisation across all its entry VMs, without coordination between them.
//!
//! Each VM enforces a fraction of the limit: its own recent demand divided by the total demand
//! known from the digests that the VMs exchange. The fraction rises slowly and falls at once. If it
//! rose at once, demand that moves from one VM to another would be served at both until they
//! received each other's digests. With a rise of at most `1 / FRACTION_RAMP` per second, the excess
//! is at most the digests' age over `FRACTION_RAMP` for each VM whose fraction grows.

use base::id;
use tokio::time;

use crate::{explain, settings};

/// Time in which a fraction may rise from 0 to 1.
const FRACTION_RAMP: time::Duration = time::Duration::from_secs(8);

/// Burst allowance, in seconds of the rate.
const BURST_SECONDS: f64 = 1.0;

/// Time constant of the moving average of demand.
const DEMAND_WINDOW: time::Duration = time::Duration::from_secs(5);

/// Age at which a peer's demand is no longer counted.
const DEMAND_TIMEOUT: time::Duration = time::Duration::from_secs(15);

/// Maximum number of peers tracked per organisation.
const MAX_PEERS: usize = 4;

/// Minimum demand assumed for each VM, as a fraction of the limit.
const MIN_DEMAND_FRACTION: f64 = 0.05;

/// Demand of an organisation at one entry VM.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitDemand {
    /// Requests per second, including refused ones.
    pub requests_per_second: f32,
    /// Generated tokens per second that the requests would use.
    pub tokens_per_second: f32,
    /// Running and waiting generations.
    pub generations: f32,
}

impl LimitDemand {
    fn to_array(self) -> [f64; 3] {
        [
            self.requests_per_second,
            self.tokens_per_second,
            self.generations,
        ]
        .map(f64::from)
    }
}

/// Limit that delays a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitKind {
    /// Requests per second.
    Requests,
    /// Generated tokens per second.
    Tokens,
    /// Concurrent generations.
    Generations,
}

impl LimitKind {
    /// Returns the refusal reason for callers.
    #[must_use]
    pub const fn reason(self) -> explain::RefusalReason {
        match self {
            Self::Requests => explain::RefusalReason::RequestRate,
            Self::Tokens => explain::RefusalReason::TokenRate,
            Self::Generations => explain::RefusalReason::Concurrency,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct PeerDemand {
    vm: id::VmKey,
    demand: LimitDemand,
    taken_at: time::Instant,
}

/// Use of its limits by one active organisation at this VM.
#[derive(Clone, Debug)]
pub struct LimitAccount {
    /// Fraction of each limit that this VM enforces, indexed by [`LimitKind`].
    fractions: [f64; 3],
    /// Token bucket of requests; negative when deferrable work was accepted beyond it.
    requests: f64,
    /// Token bucket of generated tokens; negative when a generation was longer than expected.
    tokens: f64,
    demand: LimitDemand,
    peers: [Option<PeerDemand>; MAX_PEERS],
    /// Number of running generations.
    pub running: u32,
    /// Number of waiting generations.
    pub waiting: u32,
    advanced_at: time::Instant,
}

impl LimitAccount {
    /// Creates the account of a previously idle organisation at one of its `entries` VMs.
    #[must_use]
    pub fn new(plan: &settings::OrganisationPlan, entries: u32, now: time::Instant) -> Self {
        let fraction = 1.0 / f64::from(entries.max(1));
        let depth = |rate: Option<f64>| rate.unwrap_or(0.0) * fraction * BURST_SECONDS;
        Self {
            fractions: [fraction; 3],
            requests: depth(plan.requests_per_second).max(1.0),
            tokens: depth(plan.tokens_per_second),
            demand: LimitDemand::default(),
            peers: [None; MAX_PEERS],
            running: 0,
            waiting: 0,
            advanced_at: now,
        }
    }

    /// Advances the token buckets, the demand and the fractions to `now`.
    pub fn advance(&mut self, plan: &settings::OrganisationPlan, entries: u32, now: time::Instant) {
        let age = now
            .saturating_duration_since(self.advanced_at)
            .as_secs_f64();
        if age <= 0.0 {
            return;
        }
        self.advanced_at = now;
        let decay = (-age / DEMAND_WINDOW.as_secs_f64()).exp() as f32;
        self.demand.requests_per_second *= decay;
        self.demand.tokens_per_second *= decay;
        self.demand.generations = (self.running + self.waiting) as f32;
        self.divide(plan, entries, age, now);
        if let Some(rate) = plan.requests_per_second {
            let rate = rate * self.fractions[0];
            let depth = (rate * BURST_SECONDS).max(1.0);
            self.requests = rate.mul_add(age, self.requests).min(depth);
        }
        if let Some(rate) = plan.tokens_per_second {
            let rate = rate * self.fractions[1];
            self.tokens = rate.mul_add(age, self.tokens).min(rate * BURST_SECONDS);
        }
    }

    fn divide(
        &mut self,
        plan: &settings::OrganisationPlan,
        entries: u32,
        age: f64,
        now: time::Instant,
    ) {
        let limits = [
            plan.requests_per_second,
            plan.tokens_per_second,
            plan.concurrent_generations.map(f64::from),
        ];
        let own = self.demand.to_array();
        let mut others = [0.0; 3];
        let mut known = 0;
        for peer in self.peers.iter().flatten() {
            if now.saturating_duration_since(peer.taken_at) < DEMAND_TIMEOUT {
                known += 1;
                for (sum, value) in others.iter_mut().zip(peer.demand.to_array()) {
                    *sum += value;
                }
            }
        }
        let entries = f64::from(entries.max(known + 1));
        let rise = age / FRACTION_RAMP.as_secs_f64();
        for (index, limit) in limits.into_iter().enumerate() {
            let Some(limit) = limit else { continue };
            let floor = MIN_DEMAND_FRACTION * limit;
            let target = (own[index] + floor) / (own[index] + others[index] + floor * entries);
            self.fractions[index] = target.min(self.fractions[index] + rise);
        }
    }

    /// Returns the limit that one more request would exceed, and the delay until it no longer
    /// would.
    #[must_use]
    pub fn refusal(
        &self,
        plan: &settings::OrganisationPlan,
    ) -> Option<(LimitKind, time::Duration)> {
        let missing = |have: f64, need: f64, rate: f64| {
            time::Duration::from_secs_f64(((need - have) / rate.max(1e-3)).clamp(0.001, 3_600.0))
        };
        if let Some(rate) = plan.requests_per_second
            && self.requests < 1.0
        {
            let delay = missing(self.requests, 1.0, rate * self.fractions[0]);
            return Some((LimitKind::Requests, delay));
        }
        self.token_delay(plan)
            .map(|delay| (LimitKind::Tokens, delay))
    }

    fn token_delay(&self, plan: &settings::OrganisationPlan) -> Option<time::Duration> {
        let rate = plan.tokens_per_second? * self.fractions[1];
        let seconds = (1.0 - self.tokens) / rate.max(1e-3);
        (self.tokens <= 0.0).then(|| time::Duration::from_secs_f64(seconds.clamp(0.001, 3_600.0)))
    }

    /// Returns whether a waiting generation may start now.
    #[must_use]
    pub fn may_start(&self, plan: &settings::OrganisationPlan) -> bool {
        let slots = plan
            .concurrent_generations
            .map(|limit| (f64::from(limit) * self.fractions[2]).round().max(1.0));
        let slots_full = slots.is_some_and(|slots| f64::from(self.running) >= slots);
        !slots_full && self.token_delay(plan).is_none()
    }

    /// Records the demand of a request, whether or not it is then refused.
    pub fn record_request(&mut self, expected_tokens: f64) {
        let rate = DEMAND_WINDOW.as_secs_f64().recip();
        self.demand.requests_per_second += rate as f32;
        self.demand.tokens_per_second += (expected_tokens * rate) as f32;
    }

    /// Counts an accepted request.
    pub fn accept(&mut self) {
        self.requests -= 1.0;
        self.waiting += 1;
    }

    /// Counts the start of a generation that is expected to produce `tokens`.
    pub fn start(&mut self, tokens: f64) {
        self.tokens -= tokens;
        self.running += 1;
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Counts the end of a generation that produced `excess` more tokens than expected.
    pub fn end(&mut self, excess: f64) {
        self.tokens -= excess;
        self.running = self.running.saturating_sub(1);
    }

    /// Returns the demand to report to the organisation's other entry VMs.
    #[must_use]
    pub fn demand(&self) -> LimitDemand {
        self.demand
    }

    /// Records the demand reported by another of the organisation's entry VMs.
    pub fn record_peer(&mut self, vm: id::VmKey, demand: LimitDemand, taken_at: time::Instant) {
        let same = |peer: &Option<PeerDemand>| peer.is_some_and(|peer| peer.vm == vm);
        let oldest = || {
            let ages = self.peers.iter().map(|peer| peer.map(|peer| peer.taken_at));
            ages.enumerate()
                .min_by_key(|(_, age)| *age)
                .map_or(0, |(index, _)| index)
        };
        let index = self.peers.iter().position(same).unwrap_or_else(oldest);
        let newer = self.peers[index].is_none_or(|peer| peer.taken_at < taken_at);
        if newer {
            self.peers[index] = Some(PeerDemand {
                vm,
                demand,
                taken_at,
            });
        }
    }

    /// Returns whether the account can be dropped without losing information.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let no_recent_requests = self.demand.requests_per_second < 0.01;
        self.running == 0 && self.waiting == 0 && no_recent_requests
    }
}

//! Limits of an organisation over all its entry VMs, without agreement between them.
//!
//! Each VM enforces a fraction of the limit: its own recent demand over that of all, by the
//! digests that the VMs exchange. The fraction rises slowly and falls at once. Were it to rise at
//! once, a demand that moves from one VM to another would be served at both until their digests
//! cross; rising by at most `1 / FRACTION_RAMP` a second, it is served too much by at most the digests'
//! age over `FRACTION_RAMP`, for each VM that gains.

use base::id;
use tokio::time;

use crate::{explain, settings};

/// Time that a fraction takes from nothing to the whole.
const FRACTION_RAMP: time::Duration = time::Duration::from_secs(8);

/// Seconds of a rate that may be used at once.
const BURST_SECONDS: f64 = 1.0;

/// Time over which demand is averaged.
const DEMAND_WINDOW: time::Duration = time::Duration::from_secs(5);

/// A peer's demand older than this counts as none.
const DEMAND_TIMEOUT: time::Duration = time::Duration::from_secs(15);

/// Peers remembered of one organisation.
const MAX_PEERS: usize = 4;

/// Demand that each VM is taken to have at least, as a part of the limit.
const MIN_DEMAND_FRACTION: f64 = 0.05;

/// What an organisation asks of one entry VM.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitDemand {
    /// Requests a second, refused ones included.
    pub requests_per_second: f32,
    /// Generated tokens a second that it would use.
    pub tokens_per_second: f32,
    /// Generations that run or wait.
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

/// Which limit holds a request back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitKind {
    /// Requests a second.
    Requests,
    /// Generated tokens a second.
    Tokens,
    /// Generations at once.
    Generations,
}

impl LimitKind {
    /// What a caller is told.
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

/// One active organisation's use of its limits at this VM.
#[derive(Clone, Debug)]
pub struct LimitAccount {
    /// Fraction of each limit that this VM enforces, by [`LimitKind`].
    fractions: [f64; 3],
    /// Requests that may come now; negative when deferrable work was taken beyond them.
    requests: f64,
    /// Tokens that may be generated now; negative when a generation went on longer than reckoned.
    tokens: f64,
    demand: LimitDemand,
    peers: [Option<PeerDemand>; MAX_PEERS],
    /// Generations that run.
    pub running: u32,
    /// Generations that wait.
    pub waiting: u32,
    advanced_at: time::Instant,
}

impl LimitAccount {
    /// An account of an organisation that was idle, at one of its `entries` VMs.
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

    /// Carries buckets, demand and fractions forward to `now`.
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
                for (sum, part) in others.iter_mut().zip(peer.demand.to_array()) {
                    *sum += part;
                }
            }
        }
        let entries = f64::from(entries.max(known + 1));
        let rise = age / FRACTION_RAMP.as_secs_f64();
        for (index, limit) in limits.into_iter().enumerate() {
            let Some(limit) = limit else { continue };
            let floor = MIN_DEMAND_FRACTION * limit;
            let wanted = (own[index] + floor) / (own[index] + others[index] + floor * entries);
            self.fractions[index] = wanted.min(self.fractions[index] + rise);
        }
    }

    /// Which limit holds back one more request, and for how long.
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

    /// Whether a waiting generation may start now.
    #[must_use]
    pub fn may_start(&self, plan: &settings::OrganisationPlan) -> bool {
        let slots = plan
            .concurrent_generations
            .map(|limit| (f64::from(limit) * self.fractions[2]).round().max(1.0));
        let slots_full = slots.is_some_and(|slots| f64::from(self.running) >= slots);
        !slots_full && self.token_delay(plan).is_none()
    }

    /// A request came, whether it is then refused or not.
    pub fn record_request(&mut self, expected_tokens: f64) {
        let rate = DEMAND_WINDOW.as_secs_f64().recip();
        self.demand.requests_per_second += rate as f32;
        self.demand.tokens_per_second += (expected_tokens * rate) as f32;
    }

    /// A request is taken.
    pub fn accept(&mut self) {
        self.requests -= 1.0;
        self.waiting += 1;
    }

    /// A generation starts that is reckoned to bring `tokens`.
    pub fn start(&mut self, tokens: f64) {
        self.tokens -= tokens;
        self.running += 1;
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// A generation ended that brought `excess` tokens more than it was reckoned to.
    pub fn end(&mut self, excess: f64) {
        self.tokens -= excess;
        self.running = self.running.saturating_sub(1);
    }

    /// What the organisation's other entry VMs are told.
    #[must_use]
    pub fn demand(&self) -> LimitDemand {
        self.demand
    }

    /// What another of the organisation's entry VMs told.
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

    /// Whether nothing would be lost by forgetting the account.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let no_recent_requests = self.demand.requests_per_second < 0.01;
        self.running == 0 && self.waiting == 0 && no_recent_requests
    }
}

//! Weights and thresholds of the policy.

use base::class;
use tokio::time;

use crate::view;

/// Everything that tunes the decisions. Defaults are what the policy bench supports.
#[derive(Clone, Debug)]
pub struct PolicySettings {
    /// Where this entry VM stands.
    pub location: view::ServerLocation,
    /// Hash of this VM's name: different for each VM, and the same number that others are told.
    pub identity: u64,
    /// Entry VMs that send work to the same engines, this one included; at least 1. Counts only
    /// until digests of the others arrive.
    pub entries: u32,
    /// Entry VMs that one organisation's callers are told; its limits are divided among them.
    pub organisation_entries: u32,
    /// Chance of running out of engine memory that admission accepts, by class.
    pub overflow_chance: [f64; 3],
    /// Requests that may wait by class; more are refused.
    pub queue_limit: [usize; 3],
    /// Longest time between two polls while something waits.
    pub poll_interval: time::Duration,
    /// Engines of one model in the own region that are compared, and as many elsewhere.
    pub candidates: usize,
    /// Engines whose score lies within this of the best are drawn from in proportion to their
    /// room.
    pub near_best: time::Duration,
    /// What one recent failure counts in a score, as time to first token.
    pub failure_weight: time::Duration,
    /// What another failure domain counts in a score.
    pub domain_penalty: time::Duration,
    /// What another region counts in a score: at least the way there and back.
    pub region_penalty: time::Duration,
    /// Time that normal and deferrable work waits for its own region before it spills.
    pub spill_after: time::Duration,
    /// Belief in a cached prefix halves with this age; zero: prefixes count for nothing.
    pub prefix_half_life: time::Duration,
    /// Prompt tokens that an engine takes in a second, before anything is learnt.
    pub prefill_rate: f32,
    /// Part of the tokens that deferrable work gets while normal work waits too.
    pub deferrable_floor: f64,
    /// A request that was next for this long and found no room has an engine kept for it.
    pub reserve_after: time::Duration,
    /// Least part that a VM above its share may use again of what its ended generations gave back.
    pub min_reuse: f32,
    /// Whether this VM takes only its share of the room that a report shows.
    pub enforce_share: bool,
    /// Part of each engine's room that goes to whoever has work waiting, see [`crate::share`].
    pub common_fraction: f32,
    /// What a VM may be due of the engines, as a multiple of its demand.
    pub demand_factor: f32,
    /// Urgent generations without a first token that may be sent to one engine beyond its room.
    pub urgent_overcommit: u32,
    /// Deviations of urgent demand that are kept free beside its mean.
    pub headroom_deviations: f32,
    /// Part of the doubt on how many generations others have that is kept free in the batch.
    pub slot_uncertainty: f32,
    /// A waiting request is refused at once when its predicted wait is this many times the time
    /// that it has.
    pub early_refusal_factor: f64,
    /// A generation is stopped here when its engine's memory runs out with this chance, see
    /// [`crate::victim`]; above 1: never.
    pub victim_chance: f32,
    /// Most tokens that stopping one may lose.
    pub victim_tokens: u32,
    /// Organisations' length histograms that are kept.
    pub histograms: usize,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            location: view::ServerLocation::default(),
            identity: 0,
            entries: 1,
            organisation_entries: 1,
            overflow_chance: [0.15; 3],
            queue_limit: [10_000, 10_000, 1_000_000],
            poll_interval: time::Duration::from_millis(10),
            candidates: 16,
            near_best: time::Duration::from_millis(20),
            failure_weight: time::Duration::from_secs(2),
            domain_penalty: time::Duration::from_millis(2),
            region_penalty: time::Duration::from_millis(150),
            spill_after: time::Duration::from_millis(500),
            prefix_half_life: time::Duration::from_secs(60),
            prefill_rate: 4_000.0,
            deferrable_floor: 0.1,
            reserve_after: time::Duration::from_secs(1),
            min_reuse: 0.25,
            enforce_share: true,
            common_fraction: 0.2,
            demand_factor: 1.25,
            urgent_overcommit: 2,
            headroom_deviations: 3.0,
            slot_uncertainty: 1.0,
            early_refusal_factor: 1.5,
            victim_chance: 0.5,
            victim_tokens: 32,
            histograms: 4_096,
        }
    }
}

impl PolicySettings {
    /// The accepted chance of running out of memory for `class`.
    #[must_use]
    pub fn overflow_chance(&self, class: class::TrafficClass) -> f64 {
        self.overflow_chance[class.index()]
    }
}

/// Limits and weight of one organisation, over all entry VMs together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OrganisationPlan {
    /// Weight in the fair share of tokens; above 0.
    pub weight: f64,
    /// Requests a second.
    pub requests_per_second: Option<f64>,
    /// Generated tokens a second.
    pub tokens_per_second: Option<f64>,
    /// Generations at once.
    pub concurrent_generations: Option<u32>,
}

impl Default for OrganisationPlan {
    fn default() -> Self {
        Self {
            weight: 1.0,
            requests_per_second: None,
            tokens_per_second: None,
            concurrent_generations: None,
        }
    }
}

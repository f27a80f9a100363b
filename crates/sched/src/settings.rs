//! Settings of the scheduling policy.

use base::class;
use tokio::time;

use crate::view;

/// Parameters of the scheduling decisions.
#[derive(Clone, Debug)]
pub struct PolicySettings {
    /// Location of this entry VM.
    pub location: view::ServerLocation,
    /// Hash of this VM's name: different for each VM, and the number that this VM announces to
    /// others.
    pub identity: u64,
    /// Number of entry VMs that send work to the same engines, including this one; at least 1. Used
    /// only until digests of the others arrive.
    pub entries: u32,
    /// Number of entry VMs that the callers of one organisation use. The organisation's limits are
    /// divided among them.
    pub organisation_entries: u32,
    /// Accepted probability of running out of engine memory, by class.
    pub overflow_chance: [f64; 3],
    /// Maximum number of waiting requests, by class. Further requests are refused.
    pub queue_limit: [usize; 3],
    /// Maximum time between two polls while requests wait.
    pub poll_interval: time::Duration,
    /// Maximum number of engines per model compared in this VM's region, and in all others
    /// together.
    pub candidates: usize,
    /// Difference to the best score within which engines are drawn at random, weighted by their
    /// free capacity.
    pub near_best: time::Duration,
    /// Score penalty of one recent failure, as time to first token.
    pub failure_weight: time::Duration,
    /// Score penalty of another failure domain.
    pub domain_penalty: time::Duration,
    /// Score penalty of another region: at least the round-trip time.
    pub region_penalty: time::Duration,
    /// Time that normal and deferrable work waits for this VM's region before it may use another.
    pub spill_after: time::Duration,
    /// Age at which the estimate of a cached prefix has halved. Zero disables prefix affinity.
    pub prefix_half_life: time::Duration,
    /// Initial estimate of an engine's prefill rate, in prompt tokens per second.
    pub prefill_rate: f32,
    /// Fraction of the tokens guaranteed to deferrable work while normal work waits.
    pub deferrable_floor: f64,
    /// Time that a request at the front of its queue is blocked before an engine is reserved for
    /// it.
    pub reserve_after: time::Duration,
    /// Minimum fraction of the capacity freed by its ended generations that a VM above its share
    /// may use again.
    pub min_reuse: f32,
    /// Whether this VM limits itself to its share of the free capacity shown in a report.
    pub enforce_share: bool,
    /// Fraction of each engine's capacity that goes to VMs with waiting work, see [`crate::share`].
    pub common_fraction: f32,
    /// Maximum allotment of a VM as a multiple of its demand.
    pub demand_factor: f32,
    /// Maximum number of urgent generations without a first token that may be sent to one engine
    /// beyond its free capacity.
    pub urgent_overcommit: u32,
    /// Standard deviations of urgent demand reserved in addition to its mean.
    pub headroom_deviations: f32,
    /// Fraction of the uncertainty about the number of other VMs' generations that is kept free in
    /// the batch.
    pub slot_uncertainty: f32,
    /// Ratio of predicted wait to the time left before the deadline above which a request is
    /// refused at once.
    pub early_refusal_factor: f64,
    /// Probability of running out of engine memory at which a generation is preempted, see
    /// [`crate::victim`]. A value above 1 disables preemption.
    pub victim_chance: f32,
    /// Maximum number of tokens that a preemption may lose.
    pub victim_tokens: u32,
    /// Maximum number of organisations' length histograms kept.
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
    /// Returns the accepted probability of running out of memory for `class`.
    #[must_use]
    pub fn overflow_chance(&self, class: class::TrafficClass) -> f64 {
        self.overflow_chance[class.index()]
    }
}

/// Limits and weight of one organisation, across all entry VMs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OrganisationPlan {
    /// Weight in the fair share of tokens; above 0.
    pub weight: f64,
    /// Limit of requests per second.
    pub requests_per_second: Option<f64>,
    /// Limit of generated tokens per second.
    pub tokens_per_second: Option<f64>,
    /// Limit of concurrent generations.
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

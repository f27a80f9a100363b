//! Weights and thresholds of the policy.

use base::class;
use tokio::time;

use crate::view;

/// Everything that tunes the decisions. Defaults are what the policy bench supports.
#[derive(Clone, Debug)]
pub struct PolicySettings {
    /// Where this entry VM stands.
    pub place: view::ServerPlace,
    /// Entry VMs that send work to the same engines, this one included; at least 1.
    pub entries: u32,
    /// Chance of running out of engine memory that admission accepts, by class.
    pub overflow_chance: [f64; 3],
    /// Requests that may wait by class; more are refused.
    pub queue_limit: [usize; 3],
    /// Longest time between two polls while something waits.
    pub poll_interval: time::Duration,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            place: view::ServerPlace::default(),
            entries: 1,
            overflow_chance: [0.05, 0.02, 0.01],
            queue_limit: [10_000, 10_000, 1_000_000],
            poll_interval: time::Duration::from_millis(10),
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

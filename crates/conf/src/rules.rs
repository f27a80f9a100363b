//! The rules: what operators want of the traffic.

use std::collections;

use base::class;

/// All rules. Every field has a default, so that an empty file is valid.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct RuleSet {
    /// Which class a request gets; the first match wins, else `normal`.
    pub classes: Vec<ClassRule>,
    /// Limits and weights by organisation; an absent one has the defaults.
    pub organisations: collections::BTreeMap<String, OrganisationRule>,
    /// Defaults for organisations without a rule of their own.
    pub default_organisation: OrganisationRule,
    /// Time limits by class.
    pub time_limits: TimeLimits,
    /// How admission treats each class.
    pub admission: AdmissionRules,
    /// Retries.
    pub retries: RetryRules,
    /// Entry VMs that an organisation is told.
    pub entries: EntryRules,
}

/// Gives a class to the requests that match every field present.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClassRule {
    /// Organisations that it is for; absent: all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisations: Option<Vec<String>>,
    /// Models that it is for; absent: all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub models: Option<Vec<String>>,
    /// Services that it is for; absent: all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub services: Option<Vec<String>>,
    /// Value of the caller's `X-Traffic-Class` header that it is for; absent: any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requested: Option<class::TrafficClass>,
    /// The class that they get.
    pub class: class::TrafficClass,
}

/// Limits and weight of one organisation, over all entry VMs together.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct OrganisationRule {
    /// Weight in the fair share of tokens among organisations; 1 is usual.
    pub weight: f64,
    /// Requests a second; absent: unlimited.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub requests_per_second: Option<f64>,
    /// Generated tokens a second; absent: unlimited.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tokens_per_second: Option<f64>,
    /// Generations at once; absent: unlimited.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub concurrent_generations: Option<u32>,
}

impl Default for OrganisationRule {
    fn default() -> Self {
        Self {
            weight: 1.0,
            requests_per_second: None,
            tokens_per_second: None,
            concurrent_generations: None,
        }
    }
}

/// Time limits in milliseconds.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct TimeLimits {
    /// An urgent request that has no first token after this is refused.
    pub urgent_first_token_ms: u64,
    /// A normal request that has no first token after this is refused.
    pub normal_first_token_ms: u64,
    /// A plain service call ends after this.
    pub service_call_ms: u64,
    /// A connection to a model engine that shows nothing for this long is given up.
    pub silent_connection_ms: u64,
    /// The result of deferrable work is kept this long for its caller.
    pub result_kept_ms: u64,
    /// An idempotency key is recognised for this long; older ones are refused.
    pub idempotency_window_ms: u64,
}

impl Default for TimeLimits {
    fn default() -> Self {
        Self {
            urgent_first_token_ms: 5_000,
            normal_first_token_ms: 30_000,
            service_call_ms: 10_000,
            silent_connection_ms: 2_000,
            result_kept_ms: 3_600_000,
            idempotency_window_ms: 600_000,
        }
    }
}

/// Chance of running out of engine memory that admission accepts, by class, from 0 to 1.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdmissionRules {
    /// For urgent requests.
    pub urgent_overflow_chance: f64,
    /// For normal requests.
    pub normal_overflow_chance: f64,
    /// For deferrable requests.
    pub deferrable_overflow_chance: f64,
}

impl Default for AdmissionRules {
    fn default() -> Self {
        Self {
            urgent_overflow_chance: 0.05,
            normal_overflow_chance: 0.02,
            deferrable_overflow_chance: 0.01,
        }
    }
}

/// Retry budget.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct RetryRules {
    /// Retries as a fraction of first tries.
    pub budget_fraction: f64,
    /// Tries of one request, the first included.
    pub max_tries: u32,
}

impl Default for RetryRules {
    fn default() -> Self {
        Self {
            budget_fraction: 0.1,
            max_tries: 3,
        }
    }
}

/// Naming of entry VMs to callers.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct EntryRules {
    /// Entry VMs named to one organisation.
    pub per_organisation: u32,
    /// How long callers keep the answer, in milliseconds.
    pub keep_ms: u64,
}

impl Default for EntryRules {
    fn default() -> Self {
        Self {
            per_organisation: 3,
            keep_ms: 30_000,
        }
    }
}

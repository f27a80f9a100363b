//! The rules that operators set for traffic: classes, limits, timeouts, admission and retries.

use std::collections;

use base::class;

/// All rules. Every field has a default, so an empty file is valid.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct RuleSet {
    /// Rules that assign traffic classes; the first matching rule applies, and a request that
    /// matches none is `normal`.
    pub classes: Vec<ClassRule>,
    /// Limits and weights by organisation; organisations without an entry use
    /// `default_organisation`.
    pub organisations: collections::BTreeMap<String, OrganisationRule>,
    /// Limits and weight of organisations without an entry in `organisations`.
    pub default_organisation: OrganisationRule,
    /// Time limits of requests, connections and stored results.
    pub time_limits: TimeLimits,
    /// Admission of each class.
    pub admission: AdmissionRules,
    /// Retries.
    pub retries: RetryRules,
    /// List of entry VMs that callers receive.
    pub entries: EntryRules,
}

/// Assigns a class to the requests that match every field present.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClassRule {
    /// Organisations that the rule applies to; absent: all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisations: Option<Vec<String>>,
    /// Models that the rule applies to; absent: all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub models: Option<Vec<String>>,
    /// Services that the rule applies to; absent: all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub services: Option<Vec<String>>,
    /// Value of the caller's `X-Traffic-Class` header that the rule applies to; absent: any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requested: Option<class::TrafficClass>,
    /// Class of matching requests.
    pub class: class::TrafficClass,
}

/// Limits and weight of an organisation, across all entry VMs.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct OrganisationRule {
    /// Weight of the organisation in the fair sharing of tokens; normally 1.
    pub weight: f64,
    /// Requests per second; absent: unlimited.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub requests_per_second: Option<f64>,
    /// Generated tokens per second; absent: unlimited.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tokens_per_second: Option<f64>,
    /// Concurrent generations; absent: unlimited.
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
    /// Time to the first token after which an urgent request is refused.
    pub urgent_first_token_ms: u64,
    /// Time to the first token after which a normal request is refused.
    pub normal_first_token_ms: u64,
    /// Timeout of a plain service call.
    pub service_call_ms: u64,
    /// Time without data after which a connection to a model engine is treated as failed.
    pub silent_connection_ms: u64,
    /// How long the result of a deferrable request is kept for its caller.
    pub result_kept_ms: u64,
    /// How long an idempotency key is recognised; older keys are refused.
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

/// Probability of running out of engine memory that admission accepts, by class, from 0 to 1.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdmissionRules {
    /// Accepted probability for urgent requests.
    pub urgent_overflow_chance: f64,
    /// Accepted probability for normal requests.
    pub normal_overflow_chance: f64,
    /// Accepted probability for deferrable requests.
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
    /// Maximum number of retries as a fraction of first attempts.
    pub budget_fraction: f64,
    /// Maximum number of attempts per request, including the first.
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

/// List of entry VMs that callers receive.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct EntryRules {
    /// Number of entry VMs in the list of an organisation.
    pub per_organisation: u32,
    /// How long callers cache the list, in milliseconds.
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

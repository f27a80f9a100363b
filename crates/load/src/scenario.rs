//! Scenario files: organisations, their workloads, and the faults to inject.

use std::{collections, fs, path};

use base::class;
use conf::{fault, settings};
use snafu::ResultExt as _;

use crate::length;

/// One experiment, read from JSON with comments.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadScenario {
    /// Name in reports.
    pub name: String,
    /// Seed of all random choices: the same seed produces the same calls at the same times.
    pub seed: u64,
    /// Time within which calls start; the run ends when the last call has an outcome.
    pub duration_ms: u64,
    /// Time after `duration_ms` at which a call without an outcome counts as cut.
    #[serde(default = "default_grace_ms")]
    pub grace_ms: u64,
    /// Expected time between two tokens; time beyond it is stall time.
    pub expected_step_ms: u64,
    /// Idle time after which a stream is continued at another entry VM.
    #[serde(default = "default_idle_ms")]
    pub idle_ms: u64,
    /// Calling organisations by their name in the inventory.
    pub organisations: collections::BTreeMap<String, CallerOrganisation>,
    /// Kinds of traffic.
    pub workloads: Vec<CallWorkload>,
    /// Faults to inject; empty for a run without faults.
    #[serde(default)]
    pub faults: Vec<PlannedFault>,
}

const fn default_grace_ms() -> u64 {
    60_000
}

const fn default_idle_ms() -> u64 {
    3_000
}

/// One organisation that calls.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallerOrganisation {
    /// API key in plain text; the inventory holds only its hash.
    pub api_key: String,
    /// Share of the calls, relative to the other organisations.
    #[serde(default = "default_share")]
    pub share: f64,
}

const fn default_share() -> f64 {
    1.0
}

/// One kind of traffic.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallWorkload {
    /// Name in reports.
    pub name: String,
    /// Traffic class that callers request.
    pub class: class::TrafficClass,
    /// Mean arrival rate of a Poisson process.
    pub per_second: f64,
    /// Request that one call sends.
    pub ask: CallRequest,
    /// Organisations that make the calls; absent: all, by share.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisations: Option<Vec<String>>,
}

/// Request of one call.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum CallRequest {
    /// A generation.
    Generation(GenerationRequest),
    /// A call to a plain service.
    Service(ServiceRequest),
}

/// Parameters of generation requests.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct GenerationRequest {
    /// Model name that callers use.
    pub model: String,
    /// Number of words of the prompt, the shared ones included.
    pub prompt_tokens: length::LengthDistribution,
    /// Number of leading words of the prompt that all calls of one organisation share.
    #[serde(default)]
    pub shared_prefix_tokens: u32,
    /// Length of the answer, which the system does not know in advance.
    pub output_tokens: length::LengthDistribution,
    /// Delivery modes that callers request.
    #[serde(default)]
    pub delivery: DeliveryShares,
}

/// Relative shares of the delivery modes that callers request.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct DeliveryShares {
    /// Share of answers delivered as server-sent events.
    #[serde(default)]
    pub streamed: f64,
    /// Share of answers delivered as one complete response.
    #[serde(default)]
    pub whole: f64,
    /// Share of answers accepted at once and fetched later.
    #[serde(default)]
    pub respond_async: f64,
}

impl Default for DeliveryShares {
    fn default() -> Self {
        Self {
            streamed: 1.0,
            whole: 0.0,
            respond_async: 0.0,
        }
    }
}

/// Parameters of calls to a plain service.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRequest {
    /// Service name that callers use.
    pub service: String,
    /// Path below the service, without a leading slash.
    pub path: String,
    /// True if the call carries an idempotency key and must run at most once.
    #[serde(default)]
    pub at_most_once: bool,
}

/// A fault to inject at a given time.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedFault {
    /// Time of the injection, from the start of the run.
    pub at_ms: u64,
    /// Fault to inject.
    pub fault: FaultKind,
}

/// Kinds of faults that a scenario can inject.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultKind {
    /// A backend server crashes and drops its connections.
    ServerCrash {
        /// Name in the inventory.
        server: String,
    },
    /// The open connections of a backend server carry no more data; new connections work.
    ServerSilent {
        /// Name in the inventory.
        server: String,
    },
    /// An entry VM is stopped gracefully.
    EntryStop {
        /// Name in the inventory.
        vm: String,
    },
    /// The log does not answer for a limited time.
    LogOutage {
        /// Duration of the outage.
        for_ms: u64,
    },
}

/// A scenario cannot be used.
#[derive(Debug)]
#[derive(snafu::Snafu)]
pub enum ScenarioError {
    /// The file cannot be read.
    #[snafu(display("scenario {}: {source}; check the path", path.display()))]
    Unreadable {
        /// Path as given.
        path: path::PathBuf,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// The text is not a valid scenario; all errors are reported together.
    #[snafu(transparent)]
    Invalid {
        /// Errors, with line, column and remedy.
        source: fault::FaultList,
    },
}

impl LoadScenario {
    /// Reads and checks the scenario in the file at `path`.
    pub fn read(path: &path::Path) -> Result<Self, ScenarioError> {
        let text = fs::read_to_string(path).context(UnreadableSnafu { path })?;
        Ok(settings::parse(&path.display().to_string(), &text)?)
    }
}

impl settings::CheckedSettings for LoadScenario {
    fn contradictions(&self) -> Vec<fault::ConfigFault> {
        let mut faults = Vec::new();
        if self.organisations.is_empty() {
            let remedy = "name at least one with its api_key";
            faults.push(fault::ConfigFault::at(
                &["organisations"],
                "no organisation makes calls",
                remedy,
            ));
        }
        for (name, organisation) in &self.organisations {
            push_unless_positive(
                &mut faults,
                &["organisations", name, "share"],
                organisation.share,
            );
        }
        for (index, workload) in self.workloads.iter().enumerate() {
            workload.push_faults(&index.to_string(), &self.organisations, &mut faults);
        }
        for (index, planned) in self.faults.iter().enumerate() {
            if planned.at_ms > self.duration_ms {
                let message = format!("comes after duration_ms, {}", self.duration_ms);
                let path = ["faults", &index.to_string(), "at_ms"];
                faults.push(fault::ConfigFault::at(&path, message, "move it before"));
            }
        }
        faults
    }
}

fn push_unless_positive(faults: &mut Vec<fault::ConfigFault>, path: &[&str], number: f64) {
    if !(number > 0.0 && number.is_finite()) {
        let message = format!("{number} is not above 0");
        faults.push(fault::ConfigFault::at(
            path,
            message,
            "write a number above 0",
        ));
    }
}

impl CallWorkload {
    fn push_faults(
        &self,
        index: &str,
        organisations: &collections::BTreeMap<String, CallerOrganisation>,
        faults: &mut Vec<fault::ConfigFault>,
    ) {
        push_unless_positive(faults, &["workloads", index, "per_second"], self.per_second);
        let callers = self.organisations.iter().flatten().enumerate();
        for (position, name) in callers.filter(|(_, name)| !organisations.contains_key(*name)) {
            let path = ["workloads", index, "organisations", &position.to_string()];
            let message = format!("organisation {name:?} is not in organisations");
            faults.push(fault::ConfigFault::at(&path, message, "add it there"));
        }
        if self.organisations.as_ref().is_some_and(Vec::is_empty) {
            let path = ["workloads", index, "organisations"];
            let remedy = "leave the field out for all of them";
            faults.push(fault::ConfigFault::at(
                &path,
                "no organisation makes calls",
                remedy,
            ));
        }
        if let CallRequest::Generation(request) = &self.ask {
            request.push_faults(&["workloads", index, "ask", "generation"], faults);
        }
    }
}

impl GenerationRequest {
    fn push_faults(&self, path: &[&str], faults: &mut Vec<fault::ConfigFault>) {
        let fields = [
            ("prompt_tokens", &self.prompt_tokens),
            ("output_tokens", &self.output_tokens),
        ];
        for (field, distribution) in fields {
            if let Some((message, remedy)) = distribution.validation_error() {
                let path = [path, &[field]].concat();
                faults.push(fault::ConfigFault::at(&path, message, remedy));
            }
        }
        if !self.delivery.is_usable() {
            let path = [path, &["delivery"]].concat();
            let remedy = "write shares of 0 or more, one of them above 0";
            faults.push(fault::ConfigFault::at(
                &path,
                "no delivery mode can be drawn",
                remedy,
            ));
        }
    }
}

impl DeliveryShares {
    /// Returns the shares in the order streamed, whole, respond-async.
    #[must_use]
    pub const fn weights(&self) -> [f64; 3] {
        [self.streamed, self.whole, self.respond_async]
    }

    fn is_usable(&self) -> bool {
        let weights = self.weights();
        weights
            .iter()
            .all(|weight| *weight >= 0.0 && weight.is_finite())
            && weights.iter().any(|weight| *weight > 0.0)
    }
}

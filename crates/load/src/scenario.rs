//! Scenario files: who calls, what they ask, how often, and what fails when.

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
    /// Everything random follows from it: the same seed makes the same calls at the same times.
    pub seed: u64,
    /// Calls start within this time; the run goes on until the last one has its outcome.
    pub duration_ms: u64,
    /// A call without an outcome this long after `duration_ms` counts as cut.
    #[serde(default = "default_grace_ms")]
    pub grace_ms: u64,
    /// Time between two tokens that callers expect; what goes beyond it is stall time.
    pub expected_step_ms: u64,
    /// A stream that shows nothing at all for this long is continued at another entry VM.
    #[serde(default = "default_idle_ms")]
    pub idle_ms: u64,
    /// Who calls, by the name in the inventory.
    pub organisations: collections::BTreeMap<String, CallerOrganisation>,
    /// What they ask.
    pub workloads: Vec<CallWorkload>,
    /// What fails when; empty for a run in which nothing fails.
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
    /// Its API key in the clear; the inventory holds only the hash.
    pub api_key: String,
    /// Its share of the calls, relative to the others'.
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
    /// Class that callers ask for.
    pub class: class::TrafficClass,
    /// Mean arrival rate of a Poisson process.
    pub per_second: f64,
    /// What one call is.
    pub ask: CallAsk,
    /// Organisations that make it; absent: all, by share.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisations: Option<Vec<String>>,
}

/// What one call asks for.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum CallAsk {
    /// A generation.
    Generation(GenerationAsk),
    /// A call to a plain service.
    Service(ServiceAsk),
}

/// What a generation is asked like.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct GenerationAsk {
    /// Model by the name that callers use.
    pub model: String,
    /// Words of the prompt, the shared ones included.
    pub prompt_tokens: length::LengthDistribution,
    /// Leading words of the prompt that every call of one organisation shares.
    #[serde(default)]
    pub shared_prefix_tokens: u32,
    /// Length of the answer, which the system does not know ahead.
    pub output_tokens: length::LengthDistribution,
    /// How callers want the answer.
    #[serde(default)]
    pub delivery: DeliveryShares,
}

/// How many in all of the calls want their answer in which way, relative to each other.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct DeliveryShares {
    /// As server-sent events.
    #[serde(default)]
    pub streamed: f64,
    /// In one piece.
    #[serde(default)]
    pub whole: f64,
    /// Accepted now and fetched later.
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

/// What a plain service is asked.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceAsk {
    /// Service by the name that callers use.
    pub service: String,
    /// Path below it, without a leading slash.
    pub path: String,
    /// Whether the call carries an idempotency key and must run at most once.
    #[serde(default)]
    pub at_most_once: bool,
}

/// One fault at one time.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedFault {
    /// Time from the start of the run.
    pub at_ms: u64,
    /// What fails.
    pub fault: FaultKind,
}

/// What can fail.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultKind {
    /// A backend server dies and drops its connections.
    ServerCrash {
        /// Name in the inventory.
        server: String,
    },
    /// The open connections of a backend server go silent for good; new ones work.
    ServerSilent {
        /// Name in the inventory.
        server: String,
    },
    /// An entry VM is stopped gracefully.
    EntryStop {
        /// Name in the inventory.
        vm: String,
    },
    /// The log answers nothing for a while.
    LogOutage {
        /// How long.
        for_ms: u64,
    },
}

/// Why a scenario cannot be used.
#[derive(Debug)]
#[derive(snafu::Snafu)]
pub enum ScenarioError {
    /// The file cannot be read.
    #[snafu(display("scenario {}: {source}; check the path", path.display()))]
    Unreadable {
        /// Path as given.
        path: path::PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// The text is no scenario; all faults at once.
    #[snafu(transparent)]
    Invalid {
        /// The faults, with line, column and remedy.
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
                "nobody calls",
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
            faults.push(fault::ConfigFault::at(&path, "nobody calls", remedy));
        }
        if let CallAsk::Generation(ask) = &self.ask {
            ask.push_faults(&["workloads", index, "ask", "generation"], faults);
        }
    }
}

impl GenerationAsk {
    fn push_faults(&self, path: &[&str], faults: &mut Vec<fault::ConfigFault>) {
        let fields = [
            ("prompt_tokens", &self.prompt_tokens),
            ("output_tokens", &self.output_tokens),
        ];
        for (field, distribution) in fields {
            if let Some((message, remedy)) = distribution.fault() {
                let path = [path, &[field]].concat();
                faults.push(fault::ConfigFault::at(&path, message, remedy));
            }
        }
        if !self.delivery.is_usable() {
            let path = [path, &["delivery"]].concat();
            let remedy = "write shares of 0 or more, one of them above 0";
            faults.push(fault::ConfigFault::at(
                &path,
                "nothing can be drawn",
                remedy,
            ));
        }
    }
}

impl DeliveryShares {
    /// The shares in the order streamed, whole, respond-async.
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

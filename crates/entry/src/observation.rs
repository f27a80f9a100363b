//! Converts the observed state of backend servers and the rules to the types of the decision core
//! and of the operators' API.

use base::{class, ops};
use conf::{inventory, snapshot};
use sched::{settings, view};
use tokio::time;

use crate::{roster, watch};

/// Location of this process.
#[derive(Clone, Debug)]
pub struct OwnPlace {
    /// Name of this VM.
    pub vm: String,
    /// Region.
    pub region: String,
    /// Failure domain.
    pub failure_domain: String,
}

/// Creates the decision core's settings from the rules in force.
pub(crate) fn policy_settings(
    snapshot: &snapshot::ConfigSnapshot,
    place: view::ServerLocation,
    own: &OwnPlace,
) -> settings::PolicySettings {
    let admission = &snapshot.rules().admission;
    let mut overflow_chance = [0.0; class::TrafficClass::ALL.len()];
    overflow_chance[class::TrafficClass::Urgent.index()] = admission.urgent_overflow_chance;
    overflow_chance[class::TrafficClass::Normal.index()] = admission.normal_overflow_chance;
    overflow_chance[class::TrafficClass::Deferrable.index()] = admission.deferrable_overflow_chance;
    let peers = snapshot
        .vms()
        .filter(|(_, vm)| vm.region == own.region)
        .count();
    settings::PolicySettings {
        location: place,
        identity: roster::vm_identity(&own.vm),
        entries: u32::try_from(peers.max(1)).unwrap_or(u32::MAX),
        overflow_chance,
        ..settings::PolicySettings::default()
    }
}

/// Converts an organisation's limits and weight for the decision core.
pub(crate) fn plan(rule: &conf::rules::OrganisationRule) -> settings::OrganisationPlan {
    settings::OrganisationPlan {
        weight: rule.weight,
        requests_per_second: rule.requests_per_second,
        tokens_per_second: rule.tokens_per_second,
        concurrent_generations: rule.concurrent_generations,
    }
}

/// Converts an engine's report for the decision core.
pub(crate) fn load_report(report: &watch::LoadBody, now: time::Instant) -> view::LoadReport {
    let age = std::time::Duration::from_millis(report.taken_ms_ago);
    view::LoadReport {
        taken_at: now.checked_sub(age).unwrap_or(now),
        total_blocks: report.total_blocks,
        free_blocks: report.free_blocks,
        running: report.running,
        waiting: report.waiting,
        preemptions: report.preemptions,
        leaving: report.leaving,
    }
}

/// Status of a backend server for the operators' API.
pub(crate) fn server_status(
    server: &snapshot::ServerView,
    observation: &watch::ServerObservation,
    leaving: bool,
    now: time::Instant,
) -> ops::ServerStatus {
    let report = observation.report.as_ref();
    let (role, service) = match &server.entry.kind {
        inventory::ServerKind::ModelEngine(_) => (ops::ServerRole::ModelEngine, None),
        inventory::ServerKind::PlainService { service } => {
            (ops::ServerRole::PlainService, Some(service.clone()))
        }
    };
    let loaded = report
        .map(|report| report.models.as_slice())
        .unwrap_or_default();
    let serves = loaded
        .iter()
        .map(|model| ops::LoadedModel {
            name: model.model.clone(),
            version: model.version.clone(),
            adapters: model.adapters.clone(),
        })
        .chain(service.map(|name| ops::LoadedModel {
            name,
            version: String::new(),
            adapters: Vec::new(),
        }))
        .collect();
    let report_age_ms = observation.reported_at.map(|at| {
        let since = u64::try_from(now.duration_since(at).as_millis()).unwrap_or(u64::MAX);
        since + report.map_or(0, |report| report.taken_ms_ago)
    });
    ops::ServerStatus {
        server: server.name.clone(),
        failure_domain: server.entry.failure_domain.clone(),
        role,
        state: health(observation, leaving),
        serves,
        running: report.map_or(0, |report| report.running),
        waiting: report.map_or(0, |report| report.waiting),
        free_blocks: report.map_or(0, |report| report.free_blocks),
        total_blocks: report.map_or(0, |report| report.total_blocks),
        preemptions: report.map_or(0, |report| report.preemptions),
        report_age_ms,
    }
}

fn health(observation: &watch::ServerObservation, leaving: bool) -> ops::HealthState {
    if leaving {
        return ops::HealthState::Leaving;
    }
    match (observation.misses, observation.reported_at) {
        (watch::DEAD_MISSES.., _) => ops::HealthState::Dead,
        (watch::SUSPECT_MISSES.., _) => ops::HealthState::Suspect,
        (_, None) => ops::HealthState::Unknown,
        (_, Some(_)) => ops::HealthState::Up,
    }
}

//! Status of the system as this VM sees it, for the operators' API.

use base::{class, ops};
use tokio::time;

use crate::{clock, state};

/// Returns the status of the system as this VM sees it.
#[must_use]
pub fn status(entry: &state::EntryState) -> ops::StatusBody {
    let now_ms = clock::unix_ms();
    let snapshot = entry.active_config.snapshot();
    let usage = entry.recorder.journal().usage();
    ops::StatusBody {
        vm: entry.settings.vm.clone(),
        region: entry.settings.region.clone(),
        failure_domain: entry.settings.failure_domain.clone(),
        incarnation: entry.incarnation,
        version: env!("CARGO_PKG_VERSION").to_owned(),
        now_ms,
        readiness: entry.readiness(),
        configuration: entry.active_config.status(now_ms),
        log: vec![entry.active_config.log_status(now_ms)],
        members: entry.members.list(),
        servers: entry.roster.status(&snapshot, time::Instant::now()),
        placement: entry.placement.rows(),
        queues: queues(entry),
        leases: entry.leases.status(),
        quarantine: entry.plane.suspects().list(now_ms),
        journal: ops::JournalStatus {
            events: usage.events as u64,
            bytes: usage.bytes as u64,
            lost: usage.lost,
        },
    }
}

fn queues(entry: &state::EntryState) -> Vec<ops::QueueStatus> {
    let loads = entry.driver.change(|core, now| core.class_loads(now));
    let classes = class::TrafficClass::ALL.into_iter();
    classes
        .zip(loads)
        .map(|(class, load)| ops::QueueStatus {
            class,
            waiting: load.waiting,
            running: load.running,
            oldest_ms: u64::try_from(load.max_wait.as_millis()).unwrap_or(u64::MAX),
            taken: 0,
            refused: 0,
        })
        .collect()
}

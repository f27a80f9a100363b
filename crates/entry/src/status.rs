//! One VM's whole view for the operators' face.

use base::ops;
use tokio::time;

use crate::{state, wall};

/// The whole view of this VM.
#[must_use]
pub fn status(entry: &state::EntryState) -> ops::StatusBody {
    let now_ms = wall::unix_ms();
    let snapshot = entry.book.snapshot();
    let usage = entry.chronicle.journal().usage();
    ops::StatusBody {
        vm: entry.settings.vm.clone(),
        region: entry.settings.region.clone(),
        failure_domain: entry.settings.failure_domain.clone(),
        incarnation: entry.incarnation,
        version: env!("CARGO_PKG_VERSION").to_owned(),
        now_ms,
        readiness: entry.readiness(),
        configuration: entry.book.status(now_ms),
        log: vec![entry.book.log_status(now_ms)],
        members: entry.members.list(),
        servers: entry.roster.status(&snapshot, time::Instant::now()),
        placement: Vec::new(),
        queues: Vec::new(),
        leases: Vec::new(),
        quarantine: entry.plane.suspects().list(now_ms),
        journal: ops::JournalStatus {
            events: usage.events as u64,
            bytes: usage.bytes as u64,
            lost: usage.lost,
        },
    }
}

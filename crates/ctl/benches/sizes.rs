//! Size of the status and of time line events that an entry VM sends to an operator, in bytes.
//!
//! `cargo bench -p ctl --bench sizes` prints sizes for growing deployments, and the slopes.

use std::time;

use base::{class, id, ops, outcome, refusal};
use trace::{journal, kind, query, ring};

fn main() {
    println!(
        "{:>6} {:>8} {:>12} {:>12} {:>12} {:>10}",
        "VMs", "servers", "status B", "members B", "render us", "lines"
    );
    for (vms, servers) in [(9, 12), (64, 94), (256, 375), (410, 600)] {
        let status = status(vms, servers);
        let begin = time::Instant::now();
        let shown = ctl::overview::render(&status);
        let render_us = begin.elapsed().as_micros();
        let lines = shown.lines().count();
        let complete = json_bytes(&status);
        let members = json_bytes(&status.only("members"));
        println!("{vms:>6} {servers:>8} {complete:>12} {members:>12} {render_us:>12} {lines:>10}");
    }
    let empty = json_bytes(&status(0, 0));
    println!(
        "slope: {} B a VM",
        (json_bytes(&status(410, 0)) - empty) / 410
    );
    println!(
        "slope: {} B a backend server with its lease",
        (json_bytes(&status(0, 600)) - empty) / 600
    );
    println!(
        "slope: {} B an event of a usual request in JSON",
        event_bytes()
    );
}

fn json_bytes<T: serde::Serialize>(value: &T) -> usize {
    serde_json::to_vec(value).map_or(0, |bytes| bytes.len())
}

fn status(vms: usize, servers: usize) -> ops::StatusBody {
    ops::StatusBody {
        vm: "entry-001".to_owned(),
        region: "hcmc".to_owned(),
        failure_domain: "hall-a".to_owned(),
        incarnation: id::Incarnation(u128::MAX),
        version: "0.1.0".to_owned(),
        now_ms: 1_772_000_000_000,
        readiness: ops::ReadyState::Ready,
        configuration: ops::ConfigurationStatus::default(),
        log: Vec::new(),
        members: (0..vms).map(member).collect(),
        servers: (0..servers).map(server).collect(),
        placement: Vec::new(),
        queues: class::TrafficClass::ALL
            .iter()
            .map(|class| queue(*class))
            .collect(),
        leases: (0..servers).map(lease).collect(),
        quarantine: Vec::new(),
        journal: ops::JournalStatus::default(),
    }
}

fn member(number: usize) -> ops::MemberStatus {
    ops::MemberStatus {
        vm: format!("entry-{number:03}"),
        region: format!("region-{}", number % 3),
        failure_domain: format!("domain-{}", number % 9),
        address: "192.0.2.117:21101".to_owned(),
        state: ops::HealthState::Up,
        incarnation: Some(id::Incarnation(u128::MAX)),
        revision: Some(12_345),
        heard_ms_ago: Some(1_200),
        version: Some("0.1.0".to_owned()),
    }
}

fn server(number: usize) -> ops::ServerStatus {
    ops::ServerStatus {
        server: format!("engine-{number:03}"),
        failure_domain: format!("domain-{}", number % 9),
        role: ops::ServerRole::ModelEngine,
        state: ops::HealthState::Up,
        serves: vec![ops::LoadedModel {
            name: format!("model-{}", number % 6),
            version: "2026-02-01".to_owned(),
            adapters: Vec::new(),
        }],
        running: 48,
        waiting: 0,
        free_blocks: 12_000,
        total_blocks: 40_960,
        preemptions: 17,
        report_age_ms: Some(900),
    }
}

fn lease(number: usize) -> ops::LeaseStatus {
    ops::LeaseStatus {
        subject: format!("engine-{number:03}"),
        holder: Some(format!("entry-{:03}", number % 410)),
        fencing: 9_000_000,
        left_ms: 8_000,
    }
}

const fn queue(class: class::TrafficClass) -> ops::QueueStatus {
    ops::QueueStatus {
        class,
        waiting: 31,
        running: 5,
        oldest_ms: 8_400,
        taken: 911_234,
        refused: 12,
    }
}

/// Returns the mean size of the events of a request that is received, classified, dispatched and
/// answered, and of a refusal.
fn event_bytes() -> usize {
    let limits = ring::RingLimits::default();
    let journal = journal::EventJournal::new("entry-001".to_owned(), id::Incarnation(1), limits);
    let request = id::RequestId(u128::MAX);
    for kind in typical_kinds() {
        journal.record_for(1_772_000_000_000, request, kind);
    }
    let body = journal.timeline(&query::EventQuery::default());
    json_bytes(&body.events) / body.events.len()
}

fn typical_kinds() -> [kind::EventKind; 6] {
    [
        kind::EventKind::RequestTaken {
            organisation: "troupe-river-opera".to_owned(),
            target: "review-llm".to_owned(),
        },
        kind::EventKind::RequestClassified {
            class: class::TrafficClass::Normal,
            reason: "rules".to_owned(),
        },
        kind::EventKind::RequestDispatched {
            server: "engine-004".to_owned(),
            attempt: 1,
            candidates: 4,
            waited_ms: 12,
            reason: "soonest first token".to_owned(),
        },
        kind::EventKind::RequestFirstToken {
            server: "engine-004".to_owned(),
            after_ms: 310,
        },
        kind::EventKind::RequestFinished {
            tokens: 512,
            after_ms: 17_210,
            finish: "stop".to_owned(),
        },
        kind::EventKind::RequestRefused {
            code: refusal::RefusalCode::Overloaded,
            ran: outcome::RanState::No,
            retry_after_ms: 1_500,
            reason: "no backend server had a place in time".to_owned(),
        },
    ]
}

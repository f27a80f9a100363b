//! Shared fixtures: seeded histories, journals and events.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::panic;

use arbtest::arbitrary;
use base::{class, id, outcome, refusal};
use rand_chacha::rand_core::{Rng as _, SeedableRng as _};
use trace::{event, journal, kind, merge, ring};

/// Start time of the fixtures, in 2026; milliseconds since 1970.
pub const START_MS: u64 = 1_772_000_000_000;

/// Runs `check` on `count` histories with fixed seeds; prints the seed of a failed one.
pub fn for_seeds<F>(count: u64, check: F)
where
    F: Fn(&mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()>,
{
    for seed in 0..count {
        let mut bytes = vec![0; 16_384];
        rand_chacha::ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut bytes);
        let mut unstructured = arbitrary::Unstructured::new(&bytes);
        let run = panic::AssertUnwindSafe(|| check(&mut unstructured).expect("enough bytes"));
        if let Err(cause) = panic::catch_unwind(run) {
            eprintln!("failed with seed {seed}");
            panic::resume_unwind(cause);
        }
    }
}

/// Creates a journal that retains up to `max_events`.
pub fn journal(number: u128, max_events: usize) -> journal::EventJournal {
    let limits = ring::RingLimits {
        max_events,
        max_bytes: 1 << 20,
    };
    journal::EventJournal::new(vm(number), id::Incarnation(number), limits)
}

/// Returns the name of the VM with this number.
pub fn vm(number: u128) -> String {
    format!("hall-a-{number}")
}

/// Creates an event with one short text field.
pub fn member_up(member: &str) -> kind::EventKind {
    kind::EventKind::MemberUp {
        member: member.to_owned(),
    }
}

/// Time line of a request that waits, fails on an engine that dies, and completes through another
/// entry VM.
pub fn sample_timeline() -> merge::MergedTimeline {
    let (first, second) = (journal(1, 100), journal(2, 100));
    let (request, other) = (id::RequestId(0xabcd << 112 | 1), id::RequestId(2));
    let at = |ms: u64| START_MS + ms;
    first.record_for(at(0), request, taken("troupe-7"));
    first.record_for(at(0), request, classified(class::TrafficClass::Deferrable));
    first.record_for(at(1), request, queued());
    first.record_for(at(5), other, taken("vendor-2"));
    first.record_for(at(6), other, refused());
    first.record_for(at(230), request, dispatched("engine-4", 1, 230));
    second.observe(at(530), "hall-a-1", first.stamp(at(530)));
    second.record(at(1_900), dead("engine-4"));
    second.record(at(1_901), dead("engine-9"));
    first.observe(at(1_905), "hall-a-2", second.stamp(at(1_904)));
    first.record_for(at(1_910), request, retried("engine-4"));
    second.observe(at(1_912), "hall-a-1", first.stamp(at(1_911)));
    second.record_for(at(1_950), request, dispatched("engine-5", 2, 1_950));
    second.record_for(at(2_300), request, first_token("engine-5", 2_300));
    second.record_for(at(9_000), request, finished());
    let query = trace::query::EventQuery::default();
    merge::merge(vec![first.timeline(&query), second.timeline(&query)], None)
}

/// The request followed by [`sample_timeline`].
pub fn sample_request() -> id::RequestId {
    id::RequestId(0xabcd << 112 | 1)
}

fn taken(organisation: &str) -> kind::EventKind {
    kind::EventKind::RequestTaken {
        organisation: organisation.to_owned(),
        target: "review-llm".to_owned(),
    }
}

fn classified(class: class::TrafficClass) -> kind::EventKind {
    kind::EventKind::RequestClassified {
        class,
        reason: "rule 2".to_owned(),
    }
}

fn queued() -> kind::EventKind {
    kind::EventKind::RequestQueued {
        class: class::TrafficClass::Deferrable,
        ahead: 3,
        reason: "memory at risk on every engine".to_owned(),
    }
}

fn dispatched(server: &str, attempt: u32, waited_ms: u64) -> kind::EventKind {
    kind::EventKind::RequestDispatched {
        server: server.to_owned(),
        attempt,
        candidates: 4,
        waited_ms,
        reason: "soonest first token".to_owned(),
    }
}

fn first_token(server: &str, after_ms: u64) -> kind::EventKind {
    kind::EventKind::RequestFirstToken {
        server: server.to_owned(),
        after_ms,
    }
}

fn retried(server: &str) -> kind::EventKind {
    kind::EventKind::RequestRetried {
        server: server.to_owned(),
        attempt: 1,
        ran: outcome::RanState::Unknown,
        reason: "connection reset before a token left".to_owned(),
    }
}

fn dead(server: &str) -> kind::EventKind {
    kind::EventKind::ServerDead {
        server: server.to_owned(),
        reason: "connection refused".to_owned(),
    }
}

fn refused() -> kind::EventKind {
    kind::EventKind::RequestRefused {
        code: refusal::RefusalCode::Overloaded,
        ran: outcome::RanState::No,
        retry_after_ms: 1_500,
        reason: "no room before its deadline".to_owned(),
    }
}

fn finished() -> kind::EventKind {
    kind::EventKind::RequestFinished {
        tokens: 512,
        after_ms: 9_000,
        finish: "stop".to_owned(),
    }
}

/// Returns the position of the event that `vm` recorded with sequence number `seq`.
pub fn position(timeline: &merge::MergedTimeline, vm: &str, seq: u64) -> Option<usize> {
    let is_match = |event: &event::Event| event.vm == vm && event.seq == seq;
    timeline.events.iter().position(is_match)
}

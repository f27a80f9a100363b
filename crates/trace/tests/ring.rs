//! A ring respects its limits and counts evicted events.

mod sample;

use std::{sync, thread};

use base::id;
use trace::{clock, kind, query, ring};

#[test]
fn ring_respects_limits_and_counts_losses() {
    sample::for_seeds(200, |unstructured| {
        let limits = ring::RingLimits {
            max_events: unstructured.int_in_range(0..=20)?,
            max_bytes: unstructured.int_in_range(0..=3_000)?,
        };
        let ring = ring::EventRing::new(limits);
        let clock = clock::HybridClock::default();
        let mut written: Vec<(clock::HybridStamp, kind::EventKind)> = Vec::new();
        for now_ms in 0..unstructured.int_in_range(0..=60)? {
            let member = "x".repeat(unstructured.int_in_range(0..=400)?);
            let kind = sample::member_up(&member);
            ring.write(|| clock.tick(now_ms), None, kind.clone());
            written.push((clock.newest(), kind));
            let usage = ring.usage();
            assert!(
                usage.events <= limits.max_events.max(1),
                "{usage:?} {limits:?}"
            );
            assert!(usage.bytes <= limits.max_bytes, "{usage:?} {limits:?}");
        }
        check_view(&ring.read(&query::EventQuery::default()), &written);
        Ok(())
    });
}

/// Checks that retained and lost events add up to the written ones, that retained events are
/// unchanged, and that `lost_up_to` is the stamp of the newest lost event. An event too large for
/// the ring is lost by itself.
fn check_view(view: &ring::RingView, written: &[(clock::HybridStamp, kind::EventKind)]) {
    assert_eq!(view.entries.len() as u64 + view.lost, written.len() as u64);
    for entry in &view.entries {
        let (stamp, kind) = &written[usize::try_from(entry.seq).unwrap()];
        assert_eq!((&entry.stamp, &entry.kind), (stamp, kind));
    }
    let is_retained = |seq: usize| view.entries.iter().any(|entry| entry.seq == seq as u64);
    let last_lost = (0..written.len()).rev().find(|seq| !is_retained(*seq));
    assert_eq!(view.lost_up_to, last_lost.map(|seq| written[seq].0));
}

#[test]
fn concurrent_writes_have_one_order() {
    let ring = sync::Arc::new(ring::EventRing::new(ring::RingLimits::default()));
    let clock = sync::Arc::new(clock::HybridClock::default());
    let writer = |request: u128| {
        let (ring, clock) = (sync::Arc::clone(&ring), sync::Arc::clone(&clock));
        thread::spawn(move || {
            for now_ms in 0..2_000 {
                let request = Some(id::RequestId(request));
                ring.write(|| clock.tick(now_ms), request, sample::member_up("x"));
            }
        })
    };
    let threads: Vec<_> = (0..4).map(writer).collect();
    for thread in threads {
        thread.join().unwrap();
    }
    let view = ring.read(&query::EventQuery::default());
    assert_eq!((view.entries.len(), view.lost), (8_000, 0));
    let is_increasing =
        |pair: &[ring::RingEntry]| pair[0].stamp < pair[1].stamp && pair[0].seq + 1 == pair[1].seq;
    assert!(view.entries.windows(2).all(is_increasing));
}

#[test]
fn query_filters_and_limits() {
    let ring = ring::EventRing::new(ring::RingLimits::default());
    let clock = clock::HybridClock::default();
    for number in 0..1_000_u64 {
        let request = Some(id::RequestId(u128::from(number % 2)));
        ring.write(|| clock.tick(number), request, sample::member_up("x"));
    }
    let query = query::EventQuery {
        request: Some(id::RequestId(1).into()),
        since_ms: Some(500),
        kinds: query::KindFilter::parse_list("lease, member").unwrap(),
        limit: Some(10),
    };
    let view = ring.read(&query);
    assert_eq!((view.entries.len(), view.omitted), (10, 240));
    assert!(
        view.entries
            .iter()
            .all(|entry| entry.request == Some(id::RequestId(1)))
    );
    assert_eq!(view.entries.last().unwrap().seq, 999);
    let none = query::EventQuery {
        kinds: query::KindFilter::parse_list("member_dead").unwrap(),
        ..query
    };
    assert!(ring.read(&none).entries.is_empty());
}

#[test]
fn unknown_kind_is_refused_and_known_areas_are_listed() {
    let error = query::KindFilter::parse_list("lease,memb")
        .unwrap_err()
        .to_string();
    assert!(
        error.contains("\"memb\"") && error.contains("quarantine"),
        "{error}"
    );
}

#[test]
fn request_prefix_matches_only_leading_digits() {
    let request: id::RequestId = "00ab3400000000000000000000000001".parse().unwrap();
    for text in ["0", "00ab", "00AB34", "00ab3400000000000000000000000001"] {
        assert!(
            query::RequestPrefix::parse(text).unwrap().matches(request),
            "{text}"
        );
    }
    for text in ["1", "ab34", "00ab3400000000000000000000000002"] {
        assert!(
            !query::RequestPrefix::parse(text).unwrap().matches(request),
            "{text}"
        );
    }
    for text in ["", "+1", "0x1", "000000000000000000000000000000000"] {
        assert!(query::RequestPrefix::parse(text).is_err(), "{text}");
    }
}

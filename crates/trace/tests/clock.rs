//! Stamps never run backwards and follow peers only as far as they should.

mod sample;

use std::{sync, thread};

use trace::clock;

#[test]
fn stamps_grow_while_wall_clock_runs_backwards() {
    // Symptom: an effect stands before its cause in the time line.
    // Sequence: an event; the wall clock is set back; another event of the same process.
    // Cause: the stamp was taken from the wall clock alone.
    sample::for_seeds(200, |unstructured| {
        let clock = clock::HybridClock::default();
        let mut last = clock::HybridStamp::default();
        let mut now_ms = sample::START_MS;
        for _ in 0..100 {
            now_ms = now_ms.saturating_add_signed(unstructured.int_in_range(-5_000..=4_000)?);
            if unstructured.ratio(1, 3)? {
                let ahead_ms: u64 = unstructured.int_in_range(0..=10_000)?;
                let peer = clock::HybridStamp::new(now_ms + ahead_ms, unstructured.arbitrary()?);
                let outcome = clock.observe(now_ms, peer);
                let is_followed = ahead_ms <= clock::HybridClock::DEFAULT_DRIFT_MS;
                assert_eq!(outcome == clock::MergeOutcome::Merged, is_followed);
                if is_followed {
                    last = last.max(peer);
                }
            }
            let stamp = clock.tick(now_ms);
            assert!(stamp > last, "{stamp} after {last}");
            last = stamp;
        }
        Ok(())
    });
}

#[test]
fn far_ahead_peer_does_not_drag_the_clock() {
    // Symptom: every VM's time line stands an hour in the future, for good.
    // Sequence: one VM's clock is an hour ahead; it sends a datagram to each.
    // Cause: the stamp of a peer was followed without a bound.
    let clock = clock::HybridClock::default();
    let peer = clock::HybridStamp::new(sample::START_MS + 3_600_000, 0);
    let outcome = clock.observe(sample::START_MS, peer);
    let ahead_ms = 3_600_000;
    assert_eq!(outcome, clock::MergeOutcome::TooFarAhead { ahead_ms });
    assert_eq!(clock.tick(sample::START_MS).wall_ms(), sample::START_MS);
}

#[test]
fn full_counter_carries_into_the_next_millisecond() {
    let clock = clock::HybridClock::default();
    clock.observe(5, clock::HybridStamp::new(5, u16::MAX));
    assert_eq!(clock.tick(5), clock::HybridStamp::new(6, 0));
}

#[test]
fn threads_get_different_stamps() {
    let clock = sync::Arc::new(clock::HybridClock::default());
    let ticks = || {
        let clock = sync::Arc::clone(&clock);
        thread::spawn(move || (0..5_000).map(|_| clock.tick(7)).collect::<Vec<_>>())
    };
    let threads: Vec<_> = (0..4).map(|_| ticks()).collect();
    let mut stamps: Vec<_> = threads
        .into_iter()
        .flat_map(|thread| thread.join().unwrap())
        .collect();
    stamps.sort_unstable();
    stamps.dedup();
    assert_eq!(stamps.len(), 20_000);
}

#[test]
fn stamp_survives_text() {
    let stamp = clock::HybridStamp::new(sample::START_MS, 65_535);
    assert_eq!(stamp.to_string().parse(), Ok(stamp));
    for wrong in ["", "1", "1.x", "1.65536", "281474976710656.0", "-1.0"] {
        assert!(wrong.parse::<clock::HybridStamp>().is_err(), "{wrong}");
    }
}

//! Stamps never decrease and follow peers only within the maximum drift.

mod sample;

use std::{sync, thread};

use trace::clock;

#[test]
fn stamps_increase_when_the_wall_clock_is_set_back() {
    // Guards against an effect ordered before its cause: when stamps come from the wall clock
    // alone and the clock is set back between two events of one process, the second sorts first.
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
                let is_merged = ahead_ms <= clock::HybridClock::DEFAULT_DRIFT_MS;
                assert_eq!(outcome == clock::MergeOutcome::Merged, is_merged);
                if is_merged {
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
fn stamp_beyond_the_maximum_drift_is_ignored() {
    // Guards against one VM with a clock an hour ahead moving the stamps of all VMs an hour ahead
    // permanently: without a drift limit, one datagram to each VM is enough.
    let clock = clock::HybridClock::default();
    let peer = clock::HybridStamp::new(sample::START_MS + 3_600_000, 0);
    let outcome = clock.observe(sample::START_MS, peer);
    let ahead_ms = 3_600_000;
    assert_eq!(outcome, clock::MergeOutcome::TooFarAhead { ahead_ms });
    assert_eq!(clock.tick(sample::START_MS).wall_ms(), sample::START_MS);
}

#[test]
fn counter_overflow_carries_into_the_next_millisecond() {
    let clock = clock::HybridClock::default();
    clock.observe(5, clock::HybridStamp::new(5, u16::MAX));
    assert_eq!(clock.tick(5), clock::HybridStamp::new(6, 0));
}

#[test]
fn concurrent_threads_get_unique_stamps() {
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
fn stamp_round_trips_through_text() {
    let stamp = clock::HybridStamp::new(sample::START_MS, 65_535);
    assert_eq!(stamp.to_string().parse(), Ok(stamp));
    for invalid in ["", "1", "1.x", "1.65536", "281474976710656.0", "-1.0"] {
        assert!(invalid.parse::<clock::HybridStamp>().is_err(), "{invalid}");
    }
}

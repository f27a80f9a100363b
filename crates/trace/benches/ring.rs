//! Cost of recording an event relative to building it: with one thread, with several threads, and
//! with a concurrent reader.
//!
//! `cargo bench -p trace --bench ring` prints times and, in the last column, the ratio to
//! building the event without recording it in the same run.

use std::sync::atomic;
use std::{hint, sync, thread, time};

use base::id;
use trace::{journal, kind, query, ring};

const EVENTS: u64 = 400_000;
const NOW_MS: u64 = 1_772_000_000_000;

fn main() {
    println!("{:<34} {:>10} {:>8}", "case", "ns/event", "ratio");
    let build_ns = time_ns(1, |_| {
        hint::black_box(dispatched());
    });
    print_case("build the event only", build_ns, build_ns);
    for threads in [1, 2, 4, 8] {
        let journal = new_journal();
        let ns = time_ns(threads, |number| {
            journal.record_for(NOW_MS, id::RequestId(u128::from(number)), dispatched());
        });
        print_case(&format!("record, {threads} threads"), ns, build_ns);
    }
    for with_reader in [false, true] {
        let name = if with_reader {
            "with a concurrent reader"
        } else {
            "without a reader"
        };
        let (mean_ns, worst_us) = record_times(with_reader);
        print_case(&format!("record, 1 thread, {name}"), mean_ns, build_ns);
        println!("{:<34} {worst_us:>7} us", "  slowest single record");
    }
    print_sizes();
}

fn print_case(name: &str, ns: f64, base_ns: f64) {
    println!("{name:<34} {ns:>10.0} {:>8.2}", ns / base_ns);
}

fn new_journal() -> journal::EventJournal {
    let limits = ring::RingLimits::default();
    journal::EventJournal::new("hall-a-1".to_owned(), id::Incarnation(1), limits)
}

fn dispatched() -> kind::EventKind {
    kind::EventKind::RequestDispatched {
        server: "engine-4".to_owned(),
        attempt: 1,
        candidates: 4,
        waited_ms: 229,
        reason: "soonest first token".to_owned(),
    }
}

/// Measures the wall time per event, with [`EVENTS`] divided evenly among `threads` threads.
fn time_ns<F: Fn(u64) + Sync>(threads: u64, act: F) -> f64 {
    let begin = time::Instant::now();
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| (0..EVENTS / threads).for_each(&act));
        }
    });
    begin.elapsed().as_nanos() as f64 / EVENTS as f64
}

fn record_times(with_reader: bool) -> (f64, u128) {
    let journal = sync::Arc::new(new_journal());
    let is_done = atomic::AtomicBool::new(false);
    let mut worst = time::Duration::ZERO;
    let mut total = time::Duration::ZERO;
    thread::scope(|scope| {
        if with_reader {
            scope.spawn(|| {
                while !is_done.load(atomic::Ordering::Relaxed) {
                    hint::black_box(journal.timeline(&query::EventQuery::default()));
                }
            });
        }
        for number in 0..EVENTS {
            let begin = time::Instant::now();
            journal.record_for(NOW_MS, id::RequestId(u128::from(number)), dispatched());
            let took = begin.elapsed();
            total += took;
            worst = worst.max(took);
        }
        is_done.store(true, atomic::Ordering::Relaxed);
    });
    (total.as_nanos() as f64 / EVENTS as f64, worst.as_micros())
}

fn print_sizes() {
    let journal = new_journal();
    for number in 0..EVENTS {
        journal.record_for(NOW_MS, id::RequestId(u128::from(number)), dispatched());
    }
    let usage = journal.usage();
    println!(
        "full ring: {} events, {} bytes, {} bytes/event",
        usage.events,
        usage.bytes,
        usage.bytes / usage.events
    );
}

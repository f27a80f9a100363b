//! What is refused for want of room, and when.

mod world;

use std::time;

use exchange::{capacity, catalog, reply, wait};
use tokio::time::Instant;

fn full() -> capacity::MemoryCapacity {
    capacity::MemoryCapacity {
        all: 40_000.0,
        used: 35_000.0,
        free: 1_800.0,
        moving: 0.0,
    }
}

fn need(reserve_fraction: f64) -> capacity::MemoryDemand {
    capacity::MemoryDemand {
        tokens: 3_500.0,
        ahead_tokens: 0.0,
        reserve_fraction,
    }
}

/// A trend with a moment every 100 ms for `span`, up to `now`.
fn trend(
    moment: impl Fn(time::Duration) -> capacity::MemoryCapacity,
    span: time::Duration,
    now: Instant,
) -> capacity::CapacityTrend {
    let gap = time::Duration::from_millis(100);
    let mut trend = capacity::CapacityTrend::default();
    let mut ago = span;
    while ago > time::Duration::ZERO {
        trend.add_sample(moment(ago), now - ago);
        ago = ago.saturating_sub(gap);
    }
    trend
}

#[test]
fn room_is_hopeless_only_once_the_best_moment_of_seconds_had_none() {
    // Load: engines full for long, full since a burst began, full but for one moment.
    world::run(async {
        tokio::time::advance(time::Duration::from_secs(60)).await;
        let now = Instant::now();
        let seconds = time::Duration::from_secs;
        let lasting = trend(|_| full(), seconds(10), now);
        assert!(lasting.is_exhausted(&need(0.0), now));
        assert_eq!(lasting.exhausted_for(&need(0.0), now), seconds(10));
        let burst = trend(|_| full(), seconds(3), now);
        assert!(!burst.is_exhausted(&need(0.0), now));
        let open = capacity::MemoryCapacity {
            free: 9_000.0,
            ..full()
        };
        let at_times = |ago| if ago == seconds(2) { open } else { full() };
        let at_times = trend(at_times, seconds(10), now);
        assert!(!at_times.is_exhausted(&need(0.0), now));
        // What must leave more free did not find it at that moment either.
        assert!(at_times.is_exhausted(&need(0.39), now));
        let unknown = capacity::CapacityTrend::default();
        assert!(!unknown.is_exhausted(&need(0.39), now));
        // The past is forgotten in the end.
        let long = trend(|_| full(), seconds(100), now);
        assert!(long.exhausted_for(&need(0.0), now) <= seconds(16));
    });
}

/// Peers tell that both engines are full, for as long as this runs.
async fn keep_full(plane: world::TestPlane) {
    loop {
        {
            let mut state = plane.state();
            let now = Instant::now();
            for (vm, id) in [(1, "e1"), (2, "e2")] {
                let key = state.fleet.find(id).expect("known");
                let load = exchange::loads::PeerLoad {
                    runs: 5,
                    tokens: 18_000,
                    backlog: 0,
                    failing: false,
                };
                state
                    .fleet
                    .replace_peer_loads(vm, [(key, load)].into_iter(), now);
            }
        }
        plane.wake_decisions();
        tokio::time::sleep(time::Duration::from_millis(500)).await;
    }
}

#[test]
fn what_turned_late_without_a_chance_is_refused_then_and_told_to_stay_away_for_as_long() {
    // Load: 44 engines full for seconds on end. Of 526 generations that waited 375 started while they
    // could be on time, 6 later; 145 waited for 5.9 s to be refused, came back and were refused again.
    world::run(async {
        let plane = world::plane();
        world::start(&plane);
        tokio::task::spawn_local(keep_full(plane.clone()));
        tokio::time::sleep(time::Duration::from_secs(8)).await;
        let began = Instant::now();
        let ask = world::ask("a", catalog::ExchangeKind::Stream);
        let Err(refusal) = plane.serve(ask).await else {
            panic!("served");
        };
        assert_eq!(refusal.cause, reply::RefusalCause::Overload);
        assert!(plane.port().seen.borrow().is_empty(), "it has not run");
        let held = began.elapsed();
        let aim = time::Duration::from_millis(1_800);
        assert!(held >= wait::max_start_delay(aim), "it had its chance");
        assert!(held < time::Duration::from_millis(900), "{held:?}");
        let away = refusal.retry_after.expect("a time");
        assert!(away > time::Duration::from_secs(3), "{away:?}");
        assert!(away <= wait::MAX_RETRY_AFTER);
    });
}

#[test]
fn what_waits_in_a_burst_is_not_refused_early() {
    // Load: engines that had room two seconds ago. The wait is worth its while.
    world::run(async {
        let plane = world::plane();
        world::start(&plane);
        tokio::time::sleep(time::Duration::from_secs(3)).await;
        tokio::task::spawn_local(keep_full(plane.clone()));
        tokio::time::sleep(time::Duration::from_secs(1)).await;
        let began = Instant::now();
        let ask = world::ask("a", catalog::ExchangeKind::Stream);
        let Err(refusal) = plane.serve(ask).await else {
            panic!("served");
        };
        assert!(began.elapsed() > time::Duration::from_millis(2_500));
        assert_eq!(refusal.ran, base::outcome::RanState::No);
    });
}

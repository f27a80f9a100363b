//! Tests of the choice of the target of a move.

mod cluster;

use cluster::engines;
use exchange::place;
use tokio::time::Instant;

#[test]
fn runs_that_move_together_stay_in_their_failure_domain() {
    // Guards against truncated streams of an engine that is gone 1.4 s after its notice: each run
    // was copied to an idle engine of another domain, which took 0.31 s per run, because a single
    // prompt in prefill on the engine of their own domain counted for more.
    cluster::run(async {
        let now = Instant::now();
        let mut fleet = engines::fleet_of(3);
        let [source, other, near] = ["e1", "e2", "e3"].map(|id| fleet.find(id).expect("known"));
        for _ in 0..5 {
            fleet.start(engines::run(source, 2_600, true));
        }
        fleet.start(engines::run(near, 2_600, false));
        let request = place::CopyRequest {
            source,
            tokens: 3_000,
            proactive: false,
            service: "llm",
        };
        let engine = cluster::engine_rule();
        for seed in 0..40 {
            let mut rng: rand::rngs::StdRng = rand::SeedableRng::seed_from_u64(seed);
            let chosen = place::choose_copy(&fleet, &engine, &request, now, &mut rng);
            assert_eq!(chosen, Some(near));
        }
        // If no engine of the domain has memory, one of another domain is chosen.
        for _ in 0..5 {
            fleet.start(engines::run(near, 3_000, true));
        }
        let chosen = place::choose_copy(&fleet, &engine, &request, now, &mut engines::rng());
        assert_eq!(chosen, Some(other));
    });
}

//! Which runs go where, and why.

mod world;

use exchange::place;
use tokio::time::Instant;
use world::engines;

#[test]
fn runs_that_leave_together_stay_within_their_domain() {
    // Symptom: four streams of one engine are cut as it is reclaimed, 1.4 s after its notice.
    // Sequence: each was copied to an idle engine of another domain, at 0.31 s each.
    // Cause: the engine of their own domain was reading one prompt, which counted for more.
    world::run(async {
        let now = Instant::now();
        let mut fleet = engines::fleet_of(3);
        let [source, other, near] = ["e1", "e2", "e3"].map(|id| fleet.find(id).expect("known"));
        for _ in 0..5 {
            fleet.start(engines::run(source, 2_600, true));
        }
        fleet.start(engines::run(near, 2_600, false));
        let ask = place::CopyRequest {
            source,
            tokens: 3_000,
            proactive: false,
            service: "llm",
        };
        let engine = world::engine_rule();
        for seed in 0..40 {
            let mut rng: rand::rngs::StdRng = rand::SeedableRng::seed_from_u64(seed);
            let chosen = place::choose_copy(&fleet, &engine, &ask, now, &mut rng);
            assert_eq!(chosen, Some(near));
        }
        // Where there is no room in the domain, another one is better than none.
        for _ in 0..5 {
            fleet.start(engines::run(near, 3_000, true));
        }
        let chosen = place::choose_copy(&fleet, &engine, &ask, now, &mut engines::rng());
        assert_eq!(chosen, Some(other));
    });
}

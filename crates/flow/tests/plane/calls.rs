//! Failures of plain service calls, one by one.

use std::{sync, time::Duration};

use base::{outcome, refusal};
use flow::{plane, request};
use stand::service;
use tokio::time;

use crate::{callers, cluster};

async fn charge(
    plane: &sync::Arc<cluster::WorldPlane>,
    key: &str,
    path: &str,
) -> Result<plane::ServiceReply, plane::RefusedRequest> {
    let headers = request::CallerHeaders {
        idempotency_key: Some(key.to_owned()),
        ..callers::headers()
    };
    plane
        .call_service(headers, callers::call(path, "one pass"))
        .await
}

fn key(name: &str) -> String {
    format!("{}-{name}", cluster::ORIGIN_MS)
}

// Symptom: a pass is charged twice.
// Sequence: a charge runs, its answer is lost, the caller repeats it.
// Cause: what may have run was sent again.
#[test]
fn a_lost_answer_is_told_as_unknown_and_never_repeated() {
    cluster::history(async {
        let world = cluster::World::new(&cluster::WorldPlan::default());
        for service in &world.services {
            service.apply(&service::ServiceFault::LoseAnswers { count: 1 });
        }
        let key = key("family");
        for plane in [&world.planes[0], &world.planes[1], &world.planes[0]] {
            let refused = charge(plane, &key, "charge").await.unwrap_err().body;
            assert_eq!(refused.ran, outcome::RanState::Unknown, "{refused:?}");
            time::sleep(Duration::from_secs(1)).await;
        }
        assert_eq!(world.runs_of_key(&key), 1);
    });
}

// Symptom: a caller that repeats its charge is told something else than the first time.
// Sequence: a charge is answered; its caller lost the answer and repeats it elsewhere, with the
// service down.
// Cause: the outcome was not stored with the claim.
#[test]
fn a_repeat_gets_the_stored_answer() {
    cluster::history(async {
        let world = cluster::World::new(&cluster::WorldPlan::default());
        let key = key("family");
        let first = charge(&world.planes[0], &key, "charge").await.unwrap();
        time::sleep(Duration::from_millis(10)).await;
        world
            .services
            .iter()
            .for_each(service::ServiceHandle::crash);
        let repeat = charge(&world.planes[1], &key, "charge").await.unwrap();
        assert_eq!(first.answer, repeat.answer);
        assert_eq!(world.runs_of_key(&key), 1);
    });
}

// Symptom: a charge is made after a repeat was told "unknown".
// Sequence: the claim is on the log; the entry VM is paused until the claim has lapsed.
// Cause: the holder still believed in it.
#[test]
fn a_lapsed_claim_is_not_used() {
    cluster::history(async {
        let world = cluster::World::new(&cluster::WorldPlan::default());
        *world.late_claims.lock().unwrap() = Duration::from_secs(5);
        let key = key("late");
        let refused = charge(&world.planes[0], &key, "charge").await.unwrap_err();
        assert_eq!(refused.body.ran, outcome::RanState::No);
        assert_eq!(world.runs_of_key(&key), 0);
    });
}

// Symptom: a charge that could not run blocks its key.
// Sequence: no server can be reached; they come back; the caller repeats the charge.
// Cause: the claim was not given back although nothing was sent.
#[test]
fn a_charge_that_never_left_may_be_repeated() {
    cluster::history(async {
        let world = cluster::World::new(&cluster::WorldPlan::default());
        world
            .services
            .iter()
            .for_each(service::ServiceHandle::crash);
        let key = key("again");
        let refused = charge(&world.planes[0], &key, "charge").await.unwrap_err();
        assert_eq!(refused.body.ran, outcome::RanState::No);
        world
            .services
            .iter()
            .for_each(service::ServiceHandle::restart);
        time::sleep(Duration::from_secs(1)).await;
        charge(&world.planes[1], &key, "charge").await.unwrap();
        assert_eq!(world.runs_of_key(&key), 1);
    });
}

// Symptom: a charge runs without a claim.
// Sequence: a caller spells the path otherwise, or sends no key, or one that is too old.
// Cause: the rule was looked up by the spelling; the window was not looked at.
#[test]
fn a_charge_needs_a_fresh_key_however_it_is_spelled() {
    cluster::history(async {
        let world = cluster::World::new(&cluster::WorldPlan::default());
        let plane = &world.planes[0];
        for path in ["charge/x", "%63harge", "/charge?a=b"] {
            let call = callers::call(path, "one pass");
            let refused = plane
                .call_service(callers::headers(), call)
                .await
                .unwrap_err();
            assert_eq!(
                refused.body.code,
                refusal::RefusalCode::IdempotencyKeyRequired,
                "{path}"
            );
        }
        for path in [
            "free/../charge",
            "free//charge",
            "free/%2e%2e/charge",
            "free\\charge",
            "a%2fb",
        ] {
            let call = callers::call(path, "one pass");
            let refused = plane
                .call_service(callers::headers(), call)
                .await
                .unwrap_err();
            assert_eq!(
                refused.body.code,
                refusal::RefusalCode::BadRequest,
                "{path}"
            );
        }
        let old = format!("{}-x", cluster::ORIGIN_MS - 600_000);
        let refused = charge(plane, &old, "charge").await.unwrap_err();
        assert_eq!(
            refused.body.code,
            refusal::RefusalCode::IdempotencyKeyExpired
        );
        // Whether a call with it ran within its window is no longer known.
        assert_eq!(refused.body.ran, outcome::RanState::Unknown);
        let runs: u64 = world
            .services
            .iter()
            .map(|service| service.counts().total)
            .sum();
        assert_eq!(runs, 0);
    });
}

// Symptom: deferrable work is lost with its entry VM.
// Sequence: the entry VM that accepted a review dies while it runs it.
// Cause: nobody took the work over.
#[test]
fn a_job_outlives_its_entry_vm() {
    cluster::history(async {
        let world = cluster::World::new(&cluster::WorldPlan::default());
        tokio::spawn(world.planes[0].clone().run_jobs());
        let face = flow::body::CompletionApi::Chat;
        let body = callers::chat(40, 150, false, "");
        let accepted = world.planes[0].accept_job(callers::headers(), face, body);
        let job = accepted.await.unwrap();
        time::sleep(Duration::from_secs(1)).await;
        world.kill_first_entry();
        tokio::spawn(world.planes[1].clone().run_jobs());
        time::sleep(Duration::from_secs(20)).await;
        let reply = world.planes[1]
            .fetch_job(callers::headers(), job)
            .await
            .unwrap();
        let flow::jobs::JobReply::Answer(text) = reply else {
            panic!("not finished: {reply:?}");
        };
        let mut transcript = callers::Transcript::default();
        transcript.whole(text.as_bytes());
        transcript.check(40, 150);
    });
}

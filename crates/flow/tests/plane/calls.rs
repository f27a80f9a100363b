//! Failures of plain service calls.

use std::{sync, time::Duration};

use base::{outcome, refusal};
use flow::{plane, request};
use stand::service;
use tokio::time;

use crate::{callers, cluster};

async fn charge(
    plane: &sync::Arc<cluster::ClusterPlane>,
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

// Guards against charging a pass twice: a charge runs, its answer is lost, and a repeat by the
// caller sends a call again that may have run.
#[test]
fn a_call_with_a_lost_answer_is_reported_as_unknown_and_never_resent() {
    cluster::run_paused(async {
        let cluster = cluster::TestCluster::new(&cluster::ClusterOptions::default());
        for service in &cluster.services {
            service.apply(&service::ServiceFault::LoseAnswers { count: 1 });
        }
        let key = key("family");
        for plane in [&cluster.planes[0], &cluster.planes[1], &cluster.planes[0]] {
            let refused = charge(plane, &key, "charge").await.unwrap_err().body;
            assert_eq!(refused.ran, outcome::RanState::Unknown, "{refused:?}");
            time::sleep(Duration::from_secs(1)).await;
        }
        assert_eq!(cluster.runs_of_key(&key), 1);
    });
}

// Guards against answering a repeated charge differently from the first one: the caller loses the
// answer and repeats the charge at another entry VM while the service is down. The outcome must
// have been stored with the claim.
#[test]
fn a_repeat_gets_the_stored_answer() {
    cluster::run_paused(async {
        let cluster = cluster::TestCluster::new(&cluster::ClusterOptions::default());
        let key = key("family");
        let first = charge(&cluster.planes[0], &key, "charge").await.unwrap();
        time::sleep(Duration::from_millis(10)).await;
        cluster
            .services
            .iter()
            .for_each(service::ServiceHandle::crash);
        let repeat = charge(&cluster.planes[1], &key, "charge").await.unwrap();
        assert_eq!(first.answer, repeat.answer);
        assert_eq!(cluster.runs_of_key(&key), 1);
    });
}

// Guards against sending a charge after a repeat was answered as unknown: the claim is on the log,
// the entry VM is paused until the claim has lapsed, and the holder still considers it valid.
#[test]
fn a_lapsed_claim_is_not_used() {
    cluster::run_paused(async {
        let cluster = cluster::TestCluster::new(&cluster::ClusterOptions::default());
        *cluster.claim_delay.lock().unwrap() = Duration::from_secs(5);
        let key = key("late");
        let refused = charge(&cluster.planes[0], &key, "charge")
            .await
            .unwrap_err();
        assert_eq!(refused.body.ran, outcome::RanState::No);
        assert_eq!(cluster.runs_of_key(&key), 0);
    });
}

// Guards against a key that stays blocked by a charge that could not run: no server is reachable,
// the servers restart, and the caller repeats the charge. The claim must be released, since nothing
// was sent.
#[test]
fn a_charge_that_was_never_sent_may_be_repeated() {
    cluster::run_paused(async {
        let cluster = cluster::TestCluster::new(&cluster::ClusterOptions::default());
        cluster
            .services
            .iter()
            .for_each(service::ServiceHandle::crash);
        let key = key("again");
        let refused = charge(&cluster.planes[0], &key, "charge")
            .await
            .unwrap_err();
        assert_eq!(refused.body.ran, outcome::RanState::No);
        cluster
            .services
            .iter()
            .for_each(service::ServiceHandle::restart);
        time::sleep(Duration::from_secs(1)).await;
        charge(&cluster.planes[1], &key, "charge").await.unwrap();
        assert_eq!(cluster.runs_of_key(&key), 1);
    });
}

// Guards against charges that run without a claim: a caller spells the path differently, sends no
// key or an expired one. The rule must not depend on the spelling, and the time in the key must be
// checked against the window.
#[test]
fn a_charge_needs_a_fresh_key_for_every_spelling_of_its_path() {
    cluster::run_paused(async {
        let cluster = cluster::TestCluster::new(&cluster::ClusterOptions::default());
        let plane = &cluster.planes[0];
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
        // It is no longer known whether a call with this key ran within its window.
        assert_eq!(refused.body.ran, outcome::RanState::Unknown);
        let runs: u64 = cluster
            .services
            .iter()
            .map(|service| service.counts().total)
            .sum();
        assert_eq!(runs, 0);
    });
}

// Guards against losing an accepted job with its entry VM: the VM that accepted it dies while it
// runs the job, and no other VM takes it over.
#[test]
fn a_job_survives_the_death_of_its_entry_vm() {
    cluster::run_paused(async {
        let cluster = cluster::TestCluster::new(&cluster::ClusterOptions::default());
        tokio::spawn(cluster.planes[0].clone().run_jobs());
        let api = flow::body::CompletionApi::Chat;
        let body = callers::chat(40, 150, false, "");
        let accepted = cluster.planes[0].accept_job(callers::headers(), api, body);
        let job = accepted.await.unwrap();
        time::sleep(Duration::from_secs(1)).await;
        cluster.kill_first_entry();
        tokio::spawn(cluster.planes[1].clone().run_jobs());
        time::sleep(Duration::from_secs(20)).await;
        let reply = cluster.planes[1]
            .fetch_job(callers::headers(), job)
            .await
            .unwrap();
        let flow::jobs::JobReply::Answer(text) = reply else {
            panic!("the job is not finished: {reply:?}");
        };
        let mut transcript = callers::Transcript::default();
        transcript.read_complete(text.as_bytes());
        transcript.check(40, 150);
    });
}

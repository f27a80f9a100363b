//! Requests whose content crashes the engines that run them.

use std::time::Duration;

use base::{ops, refusal};
use flow::plane;
use tokio::{task, time};

use crate::{callers, cluster};

fn crash_options() -> cluster::ClusterOptions {
    cluster::ClusterOptions {
        engines: 9,
        max_concurrency: 16,
        ..cluster::ClusterOptions::default()
    }
}

/// Retries a request until it is answered or quarantined. Returns whether it was answered, and the
/// number of requests sent.
async fn retry_until_final(cluster: &cluster::TestCluster, mark: u32, extra: &str) -> (bool, u32) {
    for request in 1..=30 {
        let body = callers::chat(mark, 40, false, extra);
        match callers::generate(&cluster.planes[0], body).await {
            Ok(plane::GenerationReply::Complete { body, .. }) => {
                let mut transcript = callers::Transcript::default();
                transcript.read_complete(&body);
                transcript.check(mark, 40);
                return (true, request);
            }
            Ok(other) => panic!("not a complete answer: {other:?}"),
            Err(refused) if refused.body.code == refusal::RefusalCode::Quarantined => {
                return (false, request);
            }
            Err(refused) => {
                let delay_ms = refused
                    .body
                    .retry_after_ms
                    .expect("a refusal with a retry delay");
                time::sleep(Duration::from_millis(delay_ms)).await;
            }
        }
    }
    panic!("request {mark} was not answered after 30 retries");
}

// Guards against losing one engine after another: a request that crashes each engine that runs it
// is retried beside full batches and is not distinguished from the requests that run beside it.
#[test]
fn a_crashing_request_kills_at_most_two_engines_and_other_requests_are_answered() {
    cluster::run_paused(async {
        let cluster = std::sync::Arc::new(cluster::TestCluster::new(&crash_options()));
        let mut others = task::JoinSet::new();
        for mark in 1..=72 {
            let cluster = cluster.clone();
            others.spawn(async move { retry_until_final(&cluster, mark, "").await });
        }
        time::sleep(Duration::from_millis(100)).await;
        let (answered, _) = retry_until_final(&cluster, 100, "[[crash]]").await;
        assert!(!answered);
        while let Some(other) = others.join_next().await {
            assert!(
                other.unwrap().0,
                "a request that crashes no engine was quarantined"
            );
        }
        let dead = cluster
            .engines
            .iter()
            .filter(|engine| !engine.is_up())
            .count();
        assert!(dead <= 2, "{dead} engines died");
    });
}

// Guards against an engine crash by content that another entry VM has quarantined: its caller goes
// to a second entry VM, which did not receive the quarantine or did not merge it.
#[test]
fn a_quarantine_reaches_other_entry_vms_and_can_be_lifted() {
    cluster::run_paused(async {
        let cluster = cluster::TestCluster::new(&crash_options());
        retry_until_final(&cluster, 200, "[[crash]]").await;
        let dead = || {
            cluster
                .engines
                .iter()
                .filter(|engine| !engine.is_up())
                .count()
        };
        let dead_before = dead();
        let now_ms = cluster::ORIGIN_MS;
        let digest = cluster.planes[0].suspects().digest(now_ms);
        assert!(cluster.planes[1].suspects().merge(digest));
        let body = callers::chat(200, 40, false, "[[crash]]");
        let refused = callers::generate(&cluster.planes[1], body)
            .await
            .unwrap_err()
            .body;
        assert_eq!(refused.code, refusal::RefusalCode::Quarantined);
        assert_eq!(dead(), dead_before);
        let listed = cluster.planes[1].suspects().list(now_ms);
        assert_eq!(listed.len(), 1);
        assert_eq!(listed[0].state, ops::QuarantineState::Quarantined);
        let late_ms = now_ms + 60_000;
        assert!(
            cluster.planes[1]
                .suspects()
                .lift(listed[0].fingerprint, late_ms)
        );
        assert!(cluster.planes[1].suspects().list(late_ms).is_empty());
    });
}

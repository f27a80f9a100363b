//! Requests that crash the engines that run them.

use std::time::Duration;

use base::{ops, refusal};
use flow::plane;
use tokio::{task, time};

use crate::{callers, cluster};

fn plan() -> cluster::WorldPlan {
    cluster::WorldPlan {
        engines: 9,
        at_once: 16,
        ..cluster::WorldPlan::default()
    }
}

/// Asks until it is answered or told that it is no use; the number of asks.
async fn insist(world: &cluster::World, mark: u32, extra: &str) -> (bool, u32) {
    for ask in 1..=30 {
        let body = callers::chat(mark, 40, false, extra);
        match callers::generate(&world.planes[0], body).await {
            Ok(plane::GenerationReply::Complete { body, .. }) => {
                let mut transcript = callers::Transcript::default();
                transcript.whole(&body);
                transcript.check(mark, 40);
                return (true, ask);
            }
            Ok(other) => panic!("no whole answer: {other:?}"),
            Err(refused) if refused.body.code == refusal::RefusalCode::Quarantined => {
                return (false, ask);
            }
            Err(refused) => {
                let delay_ms = refused.body.retry_after_ms.expect("when to come back");
                time::sleep(Duration::from_millis(delay_ms)).await;
            }
        }
    }
    panic!("never answered: {mark}");
}

// Symptom: one engine after the other dies.
// Sequence: a request crashes each engine that runs it, beside full batches; it is sent again
// and again.
// Cause: it was not told apart from what ran beside it.
#[test]
fn a_crashing_request_costs_two_engines_and_the_innocent_are_answered() {
    cluster::history(async {
        let world = std::sync::Arc::new(cluster::World::new(&plan()));
        let mut innocents = task::JoinSet::new();
        for mark in 1..=72 {
            let world = world.clone();
            innocents.spawn(async move { insist(&world, mark, "").await });
        }
        time::sleep(Duration::from_millis(100)).await;
        let (answered, _) = insist(&world, 100, "[[crash]]").await;
        assert!(!answered);
        while let Some(innocent) = innocents.join_next().await {
            assert!(innocent.unwrap().0, "an innocent request was quarantined");
        }
        let dead = world
            .engines
            .iter()
            .filter(|engine| !engine.is_up())
            .count();
        assert!(dead <= 2, "{dead} engines died");
    });
}

// Symptom: an engine dies of content that another entry VM had found out.
// Sequence: the content is quarantined by one entry VM; its caller goes to another.
// Cause: the finding was not passed on, or not taken in.
#[test]
fn a_finding_passes_to_other_entry_vms_and_can_be_lifted() {
    cluster::history(async {
        let world = cluster::World::new(&plan());
        insist(&world, 200, "[[crash]]").await;
        let dead = || {
            world
                .engines
                .iter()
                .filter(|engine| !engine.is_up())
                .count()
        };
        let dead_before = dead();
        let now_ms = cluster::ORIGIN_MS;
        let digest = world.planes[0].suspects().digest(now_ms);
        assert!(world.planes[1].suspects().merge(digest));
        let body = callers::chat(200, 40, false, "[[crash]]");
        let refused = callers::generate(&world.planes[1], body)
            .await
            .unwrap_err()
            .body;
        assert_eq!(refused.code, refusal::RefusalCode::Quarantined);
        assert_eq!(dead(), dead_before);
        let listed = world.planes[1].suspects().list(now_ms);
        assert_eq!(listed.len(), 1);
        assert_eq!(listed[0].state, ops::QuarantineState::Quarantined);
        let late_ms = now_ms + 60_000;
        assert!(
            world.planes[1]
                .suspects()
                .lift(listed[0].fingerprint, late_ms)
        );
        assert!(world.planes[1].suspects().list(late_ms).is_empty());
    });
}

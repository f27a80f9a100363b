//! Claims through the group commit, with one failure at a time.

mod cluster;

use std::sync;

use base::{fingerprint, id, outcome};
use ledger::{appender, claim_calls, host, memory, permit, route};
use tokio::time;

fn single_vm_cluster() -> cluster::TestCluster {
    let settings = host::HostSettings::default();
    let cluster = cluster::TestCluster::new(1, 1, settings, route::RouteSettings::default());
    cluster.clear_faults();
    cluster
}

/// Returns the number of records on all claim streams.
fn record_count(log: &memory::MemoryLog) -> usize {
    (0..ledger::partition::CLAIM_PARTITIONS)
        .map(|index| log.records(&format!("calls-{index}")).len())
        .sum()
}

#[test]
fn calls_are_refused_as_not_run_at_once_while_the_log_is_down() {
    // Guards against entries that wait for a log which cannot answer: a call that arrives during
    // an outage of the log would wait until its deadline, or get "unknown" although it was never
    // sent.
    cluster::run_paused(async {
        let cluster = single_vm_cluster();
        let router = &cluster.vms[0].router;
        let first = router.claim(cluster::booking("1000000-a")).await;
        let permit::ClaimAnswer::Granted(permit) = first else {
            panic!("{first:?}");
        };
        router.settle(permit, cluster::booked()).await;
        cluster.log.change_faults(|faults| faults.down = true);
        let started_at = time::Instant::now();
        let refused = router.claim(cluster::booking("1000000-b")).await;
        let permit::ClaimAnswer::Refused(refusal) = refused else {
            panic!("{refused:?}");
        };
        assert_eq!(refusal.ran, outcome::RanState::No);
        assert!(started_at.elapsed() < time::Duration::from_secs(1));
        let repeated = router.claim(cluster::booking("1000000-a")).await;
        assert!(
            matches!(repeated, permit::ClaimAnswer::Stored(_)),
            "{repeated:?}"
        );
        cluster.clear_faults();
        time::sleep(time::Duration::from_secs(2)).await;
        let again = router.claim(cluster::booking("1000000-b")).await;
        assert!(
            matches!(again, permit::ClaimAnswer::Granted(_)),
            "{again:?}"
        );
    });
}

#[test]
fn an_append_whose_answer_was_lost_is_not_appended_again() {
    // Guards against an appender that treats a lost answer as a failed append: the log would hold
    // most entries twice whenever its answers are lost.
    cluster::run_paused(async {
        let cluster = single_vm_cluster();
        cluster.log.change_faults(|faults| faults.lose_answer = 1.0);
        let answer = cluster.vms[0]
            .router
            .claim(cluster::booking("1000000-a"))
            .await;
        assert!(
            matches!(answer, permit::ClaimAnswer::Granted(_)),
            "{answer:?}"
        );
        time::sleep(time::Duration::from_secs(5)).await;
        assert_eq!(record_count(&cluster.log), 1);
    });
}

#[test]
fn a_lost_append_is_appended_again_with_the_same_id() {
    // Guards against an appender that waits forever for an append that never reached the log: a
    // lost request looks like a lost answer, and the claim would be refused although the log works
    // again.
    cluster::run_paused(async {
        let cluster = single_vm_cluster();
        cluster
            .log
            .change_faults(|faults| faults.lose_request = 1.0);
        let router = cluster.vms[0].router.clone();
        let claiming =
            tokio::spawn(async move { router.claim(cluster::booking("1000000-a")).await });
        time::sleep(time::Duration::from_millis(100)).await;
        cluster.clear_faults();
        let answer = claiming.await.expect("an answer");
        assert!(
            matches!(answer, permit::ClaimAnswer::Granted(_)),
            "{answer:?}"
        );
    });
}

#[test]
fn many_claims_share_few_appends() {
    // Guards against one append per call: a burst of 400 calls would exceed the log's cap on
    // appends.
    cluster::run_paused(async {
        let cluster = single_vm_cluster();
        let mut claiming = Vec::new();
        for index in 0..400 {
            let router = cluster.vms[0].router.clone();
            let key = format!("1000000-{index}");
            claiming.push(tokio::spawn(async move {
                router.claim(cluster::booking(&key)).await
            }));
        }
        for answer in claiming {
            let answer = answer.await.expect("an answer");
            assert!(
                matches!(answer, permit::ClaimAnswer::Granted(_)),
                "{answer:?}"
            );
        }
        let appended = cluster.log.counts().appended;
        assert!(appended <= 12, "{appended} appends for 400 claims");
    });
}

#[test]
fn a_full_queue_refuses_at_once() {
    // Guards against an unbounded queue: under overload every call would wait until its deadline
    // and then fail.
    cluster::run_paused(async {
        let mut settings = host::HostSettings::default();
        settings.claims.append = appender::AppendLimits {
            max_queue: 2,
            ..appender::AppendLimits::default()
        };
        let cluster = cluster::TestCluster::new(1, 1, settings, route::RouteSettings::default());
        cluster.clear_faults();
        let host = sync::Arc::clone(&cluster.vms[0].host);
        let mut claiming = Vec::new();
        for number in 0..10 {
            let host = sync::Arc::clone(&host);
            let request = host::LedgerRequest::Claim(claim_calls::ClaimRequest {
                claim: id::RecordId(number),
                organisation: String::from("depot-3"),
                key: String::from("1000000-same"),
                content: fingerprint::ContentHash::of(b"book"),
                holder: String::from("vm-0"),
                wait_ms: 1_000,
            });
            claiming.push(tokio::spawn(async move { host.handle(request).await }));
        }
        let mut refused = 0;
        for reply in claiming {
            let full = claim_calls::RefusalCause::NotAppended(appender::NotAppended::QueueFull);
            let reply = reply.await.expect("a reply");
            if let host::LedgerReply::Claim(claim_calls::ClaimReply::Refused(refusal)) = reply {
                refused += usize::from(refusal.cause == full);
            }
        }
        assert!(refused >= 7, "{refused} refused");
    });
}

#[test]
fn a_disconnected_caller_leaves_its_key_free() {
    // Guards against a claim that is never settled: a caller disconnects while its claim is being
    // appended, and the key would stay unknown although no call was sent.
    cluster::run_paused(async {
        let cluster = single_vm_cluster();
        let router = cluster.vms[0].router.clone();
        let claiming =
            tokio::spawn(async move { router.claim(cluster::booking("1000000-a")).await });
        time::sleep(time::Duration::from_millis(3)).await;
        claiming.abort();
        time::sleep(time::Duration::from_secs(1)).await;
        let again = cluster.vms[0]
            .router
            .claim(cluster::booking("1000000-a"))
            .await;
        assert!(
            matches!(again, permit::ClaimAnswer::Granted(_)),
            "{again:?}"
        );
    });
}

//! Single failures of claims through the group commit.

mod cluster;

use std::sync;

use base::{fingerprint, id, outcome};
use ledger::{appender, claim_calls, claims, host, memory, permit, route};
use tokio::time;

fn router_world() -> cluster::World {
    let settings = host::HostSettings::default();
    let world = cluster::World::new(1, 1, settings, route::RouteSettings::default());
    world.heal();
    world
}

fn call(key: &str) -> permit::ClaimCall {
    permit::ClaimCall {
        organisation: String::from("depot-3"),
        key: key.to_owned(),
        content: fingerprint::ContentHash::of(b"book"),
    }
}

fn ran() -> claims::SettledOutcome {
    claims::SettledOutcome::Ran(claims::StoredOutcome {
        status: 201,
        content_type: None,
        body: Some(claims::StoredBody("booked".into())),
    })
}

/// Records of all claim streams.
fn record_count(log: &memory::MemoryLog) -> usize {
    (0..ledger::partition::CLAIM_PARTITIONS)
        .map(|index| log.records(&format!("calls-{index}")).len())
        .sum()
}

#[test]
fn with_the_log_down_a_call_is_refused_as_not_run_and_soon() {
    // Symptom: a caller waits for its whole time, or is told "unknown" of what never left.
    // Sequence: the log goes down; a call comes; the log comes back; the call comes again.
    // Cause: an entry that waits for a log which cannot answer.
    cluster::run_paused(async {
        let world = router_world();
        let router = &world.vms[0].router;
        let first = router.claim(call("1000000-a")).await;
        let permit::ClaimAnswer::Granted(permit) = first else {
            panic!("{first:?}");
        };
        router.settle(permit, ran()).await;
        world.log.change_faults(|faults| faults.down = true);
        let begun = time::Instant::now();
        let refused = router.claim(call("1000000-b")).await;
        let permit::ClaimAnswer::Refused(refusal) = refused else {
            panic!("{refused:?}");
        };
        assert_eq!(refusal.ran, outcome::RanState::No);
        assert!(begun.elapsed() < time::Duration::from_secs(1));
        let repeated = router.claim(call("1000000-a")).await;
        assert!(
            matches!(repeated, permit::ClaimAnswer::Stored(_)),
            "{repeated:?}"
        );
        world.heal();
        time::sleep(time::Duration::from_secs(2)).await;
        let again = router.claim(call("1000000-b")).await;
        assert!(
            matches!(again, permit::ClaimAnswer::Granted(_)),
            "{again:?}"
        );
    });
}

#[test]
fn an_append_whose_answer_was_lost_is_not_appended_again() {
    // Symptom: the log holds most entries twice when its answers are lost.
    // Sequence: a claim is appended, the answer is lost.
    // Cause: an appender that takes a lost answer for a failed append.
    cluster::run_paused(async {
        let world = router_world();
        world.log.change_faults(|faults| faults.lose_answer = 1.0);
        let answer = world.vms[0].router.claim(call("1000000-a")).await;
        assert!(
            matches!(answer, permit::ClaimAnswer::Granted(_)),
            "{answer:?}"
        );
        time::sleep(time::Duration::from_secs(5)).await;
        assert_eq!(record_count(&world.log), 1);
    });
}

#[test]
fn an_append_that_got_lost_is_appended_again_with_its_id() {
    // Symptom: a claim is refused although the log works again.
    // Sequence: the request is lost on its way, which looks like a lost answer.
    // Cause: an appender that waits for ever for what never arrived.
    cluster::run_paused(async {
        let world = router_world();
        world.log.change_faults(|faults| faults.lose_request = 1.0);
        let router = world.vms[0].router.clone();
        let asked = tokio::spawn(async move { router.claim(call("1000000-a")).await });
        time::sleep(time::Duration::from_millis(100)).await;
        world.heal();
        let answer = asked.await.expect("an answer");
        assert!(
            matches!(answer, permit::ClaimAnswer::Granted(_)),
            "{answer:?}"
        );
    });
}

#[test]
fn many_claims_share_few_appends() {
    // Symptom: the log refuses appends over its cap in an ordinary rush.
    // Sequence: 400 calls within a moment.
    // Cause: one append a call.
    cluster::run_paused(async {
        let world = router_world();
        let mut asked = Vec::new();
        for index in 0..400 {
            let router = world.vms[0].router.clone();
            let key = format!("1000000-{index}");
            asked.push(tokio::spawn(async move { router.claim(call(&key)).await }));
        }
        for answer in asked {
            let answer = answer.await.expect("an answer");
            assert!(
                matches!(answer, permit::ClaimAnswer::Granted(_)),
                "{answer:?}"
            );
        }
        let appended = world.log.counts().appended;
        assert!(appended <= 12, "{appended} appends for 400 claims");
    });
}

#[test]
fn a_full_queue_refuses_at_once() {
    // Symptom: under overload every call waits for its whole time and then fails.
    // Sequence: more calls than the log can take wait.
    // Cause: a queue without an end.
    cluster::run_paused(async {
        let mut settings = host::HostSettings::default();
        settings.claims.append = appender::AppendLimits {
            max_queue: 2,
            ..appender::AppendLimits::default()
        };
        let world = cluster::World::new(1, 1, settings, route::RouteSettings::default());
        world.heal();
        let host = sync::Arc::clone(&world.vms[0].host);
        let mut asked = Vec::new();
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
            asked.push(tokio::spawn(async move { host.handle(request).await }));
        }
        let mut refused = 0;
        for reply in asked {
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
fn a_caller_that_goes_away_leaves_its_key_free() {
    // Symptom: a key stays unknown although nothing was ever sent.
    // Sequence: a caller hangs up while its claim is under way; it sends the call again.
    // Cause: a claim that nobody ends.
    cluster::run_paused(async {
        let world = router_world();
        let router = world.vms[0].router.clone();
        let asked = tokio::spawn(async move { router.claim(call("1000000-a")).await });
        time::sleep(time::Duration::from_millis(3)).await;
        asked.abort();
        time::sleep(time::Duration::from_secs(1)).await;
        let again = world.vms[0].router.claim(call("1000000-a")).await;
        assert!(
            matches!(again, permit::ClaimAnswer::Granted(_)),
            "{again:?}"
        );
    });
}

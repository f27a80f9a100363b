//! Tests of the configuration on several entry VMs, during outages of the platform's log and
//! replacement of VMs.

mod env;

use stand::log::LogFault;

fn weight(value: f64) -> serde_json::Value {
    serde_json::json!({ "rules": { "organisations": { "fleet-office": { "weight": value } } } })
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_on_all_entries() {
    let env = env::TestEnv::start(3).await;
    let answer = env.change(0, 1, weight(2.0)).await;
    assert_eq!(
        answer.status().as_u16(),
        200,
        "{}",
        answer.text().await.unwrap()
    );
    for entry in 0..3 {
        env.wait_revision(entry, 2).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_concurrent_changes_one_is_accepted_and_the_other_gets_a_conflict() {
    // Guards against lost updates, as with a last-writer-wins store. Two operators publish a change
    // against revision 1 through two entry VMs at the same time.
    let env = env::TestEnv::start(2).await;
    let (left, right) = tokio::join!(env.change(0, 1, weight(3.0)), env.change(1, 1, weight(4.0)));
    let mut statuses = [left.status().as_u16(), right.status().as_u16()];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409]);
    let loser = if left.status().as_u16() == 409 {
        left
    } else {
        right
    };
    let body: serde_json::Value = loser.json().await.unwrap();
    assert_eq!(body["verdict"], "conflict");
    assert_eq!(body["current_revision"], 2);
    assert_eq!(body["since"][0]["revision"], 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replaced_entry_gets_the_configuration_from_peers_while_the_log_is_down() {
    // Guards against an entry VM that is replaced during an outage of the log and serves nothing,
    // or uses an old configuration, because only the log can supply it. A change is accepted, the
    // log goes down, and one VM is replaced.
    let mut env = env::TestEnv::start(3).await;
    env.change(0, 1, weight(5.0)).await;
    for entry in 0..3 {
        env.wait_revision(entry, 2).await;
    }
    env.site.log.apply(&LogFault::Outage { on: true });
    env.restart(1).await;
    env.wait_revision(1, 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn all_entries_replaced_in_sequence_during_an_outage_keep_the_configuration() {
    // Guards against a return to an old revision after a rolling replacement during an outage. A
    // change is accepted, the log goes down, and all VMs are replaced one after another; each must
    // pass its state on before it stops.
    let mut env = env::TestEnv::start(3).await;
    env.change(0, 1, weight(6.0)).await;
    for entry in 0..3 {
        env.wait_revision(entry, 2).await;
    }
    env.site.log.apply(&LogFault::Outage { on: true });
    for entry in 0..3 {
        env.restart(entry).await;
        env.wait_revision(entry, 2).await;
    }
    env.site.log.apply(&LogFault::Outage { on: false });
    let answer = env.change(2, 2, weight(7.0)).await;
    assert_eq!(
        answer.status().as_u16(),
        200,
        "{}",
        answer.text().await.unwrap()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_during_an_outage_is_reported_as_undecided() {
    // Guards against reporting a change as accepted before the log has answered, so that no VM has
    // it. An operator publishes while the log is down.
    let env = env::TestEnv::start(2).await;
    env.site.log.apply(&LogFault::Outage { on: true });
    let answer = env.change(0, 1, weight(8.0)).await;
    assert_eq!(answer.status().as_u16(), 503);
    assert_eq!(env.revision(0), 1);
}

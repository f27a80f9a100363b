//! Configuration over several entry VMs, with the platform's log down and VMs replaced.

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
async fn of_two_racing_changes_one_wins_and_the_other_is_told_who_did() {
    // Symptom: two operators publish at once and one change silently undoes the other.
    // Sequence: both make a change against revision 1, through two entry VMs, at the same time.
    // Cause: a last-writer-wins store.
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
async fn a_fresh_entry_serves_by_its_peers_while_the_log_is_down() {
    // Symptom: an entry VM that is replaced during an outage of the log serves nothing, or serves
    // by an old configuration.
    // Sequence: a change is accepted; the log goes down; one VM is replaced.
    // Cause: configuration that can be had from the log alone.
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
    // Symptom: after a rolling replacement during an outage an old revision is back.
    // Sequence: a change is accepted; the log goes down; every VM is replaced, one after another.
    // Cause: state that no VM handed on before it ended.
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
async fn a_change_during_an_outage_is_told_to_be_undecided() {
    // Symptom: an operator is told that a change stands which nobody has.
    // Sequence: the log is down; an operator publishes.
    // Cause: an answer given before the log's.
    let env = env::TestEnv::start(2).await;
    env.site.log.apply(&LogFault::Outage { on: true });
    let answer = env.change(0, 1, weight(8.0)).await;
    assert_eq!(answer.status().as_u16(), 503);
    assert_eq!(env.revision(0), 1);
}

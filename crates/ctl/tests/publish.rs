//! Changes against a tiny operators' face: one effect each, one clear answer.

mod fake;

use ctl::error;
use fake::{FakeFace, PublishFault, SharedSystem};

const FIRST_RULES: &str = r#"{ "entries": { "per_organisation": 2 } }"#;
const SECOND_RULES: &str =
    r#"{ "entries": { "per_organisation": 3 }, "retries": { "max_tries": 2 } }"#;
const OTHER_RULES: &str =
    r#"{ "entries": { "per_organisation": 2 }, "retries": { "max_tries": 5 } }"#;

#[tokio::test]
async fn change_whose_answer_was_lost_takes_effect_once() {
    // Symptom: a change stands twice in the history, or its operator is told that it failed.
    // Sequence: publish; the append takes effect; the answer is lost; the client asks the next VM.
    // Cause: the second ask was a new change.
    let system = SharedSystem::default();
    let (first, second) = (
        FakeFace::start("hall-a-1", &system).await,
        FakeFace::start("hall-a-2", &system).await,
    );
    let files = fake::files(&fake::directory("lost"), FIRST_RULES);
    system
        .lock()
        .unwrap()
        .faults
        .push_back(PublishFault::AnswerLost);
    let output = fake::run(
        &[first.address, second.address],
        &format!("publish {files}"),
    )
    .await;
    assert_eq!(output.status, error::ExitStatus::Success, "{output:?}");
    assert!(
        output.text.contains("accepted as revision 1"),
        "{}",
        output.text
    );
    let system = system.lock().unwrap();
    assert_eq!((system.publish_calls, system.state.offset()), (2, 1));
}

#[tokio::test]
async fn undecided_change_can_be_asked_again_by_its_id() {
    // Symptom: an operator does not know whether a change took effect.
    // Sequence: publish while the log is down; the log comes back; the same id is sent again.
    // Cause: without the id the operator could only publish a second change.
    let system = SharedSystem::default();
    let face = FakeFace::start("hall-a-1", &system).await;
    let files = fake::files(&fake::directory("undecided"), FIRST_RULES);
    system
        .lock()
        .unwrap()
        .faults
        .push_back(PublishFault::LogDown);
    let line = format!("publish {files} --timeout 0");
    let output = fake::run(&[face.address], &line).await;
    assert_eq!(output.status, error::ExitStatus::Undecided, "{output:?}");
    let record = output
        .complaint
        .split("--record ")
        .nth(1)
        .unwrap()
        .split(',')
        .next()
        .unwrap();
    for _ in 0..2 {
        let output = fake::run(
            &[face.address],
            &format!("{line} --base 0 --record {record}"),
        )
        .await;
        assert!(output.text.contains("accepted as revision 1"), "{output:?}");
    }
    assert_eq!(system.lock().unwrap().state.offset(), 1);
}

#[tokio::test]
async fn refusal_after_a_lost_answer_is_not_taken_for_the_outcome() {
    // Symptom: an operator is told that nothing was published, and the change is in force.
    // Sequence: the change takes effect and its answer is lost; the next VM does not know the key.
    // Cause: the last try's refusal was told as the outcome of all.
    let system = SharedSystem::default();
    let first = FakeFace::start("hall-a-1", &system).await;
    let second = FakeFace::start("hall-a-2", &system).await;
    let files = fake::files(&fake::directory("refused-later"), FIRST_RULES);
    let faults = [PublishFault::AnswerLost, PublishFault::KeyUnknown];
    system.lock().unwrap().faults.extend(faults);
    let output = fake::run(
        &[first.address, second.address],
        &format!("publish {files}"),
    )
    .await;
    assert_eq!(output.status, error::ExitStatus::Undecided, "{output:?}");
    assert_eq!(system.lock().unwrap().state.revision(), 1);
    system
        .lock()
        .unwrap()
        .faults
        .push_back(PublishFault::KeyUnknown);
    let line = format!("publish {files} --base 0");
    let output = fake::run(&[first.address], &line).await;
    assert_eq!(output.status, error::ExitStatus::Refused, "{output:?}");
}

#[tokio::test]
async fn base_must_be_named_once_there_is_one() {
    // Symptom: another operator's change is undone without a word.
    // Sequence: both edit the files of revision 1; one publishes; the other publishes.
    // Cause: whole files were compared with what is in force, not with what they were made from.
    let system = SharedSystem::default();
    let face = FakeFace::start("hall-a-1", &system).await;
    let directory = fake::directory("base");
    let first = fake::files(&directory, FIRST_RULES);
    fake::run(&[face.address], &format!("publish {first}")).await;
    let second = fake::files(&directory, SECOND_RULES);
    let output = fake::run(&[face.address], &format!("publish {second}")).await;
    assert_eq!(output.status, error::ExitStatus::Usage, "{output:?}");
    assert!(output.complaint.contains("--base 1"), "{output:?}");
    let output = fake::run(&[face.address], &format!("publish {second} --base 1")).await;
    assert!(output.text.contains("accepted as revision 2"), "{output:?}");
    assert!(
        output.text.contains("~ rules.retries.max_tries: 3 -> 2"),
        "{output:?}"
    );

    let other = fake::files(&directory, OTHER_RULES);
    let output = fake::run(
        &[face.address],
        &format!("publish {other} --base 1 --rebase"),
    )
    .await;
    assert_eq!(output.status, error::ExitStatus::Refused, "{output:?}");
    for part in [
        "revision 2 by linh",
        "both of you changed:\n  rules.retries.max_tries",
    ] {
        assert!(output.complaint.contains(part), "{}", output.complaint);
    }
    assert_eq!(system.lock().unwrap().state.revision(), 2);
}

#[tokio::test]
async fn change_that_touches_nothing_of_another_is_rebased() {
    let system = SharedSystem::default();
    let face = FakeFace::start("hall-a-1", &system).await;
    let directory = fake::directory("rebase");
    let first = fake::files(&directory, FIRST_RULES);
    fake::run(&[face.address], &format!("publish {first}")).await;
    let mine = fake::files(&directory, r#"{ "entries": { "per_organisation": 9 } }"#);
    fake::run(&[face.address], &format!("publish {mine} --base 1")).await;
    let other = fake::files(&directory, OTHER_RULES);
    let line = format!("publish {other} --base 1");
    let output = fake::run(&[face.address], &line).await;
    assert!(
        output.complaint.contains("publish again with --rebase"),
        "{output:?}"
    );
    let output = fake::run(&[face.address], &format!("{line} --rebase")).await;
    assert!(output.text.contains("accepted as revision 3"), "{output:?}");
    let state = system.lock().unwrap().current();
    assert_eq!(state["rules"]["entries"]["per_organisation"], 9);
    assert_eq!(state["rules"]["retries"]["max_tries"], 5);
}

#[tokio::test]
async fn rollback_brings_the_older_state_back_as_a_new_revision() {
    let system = SharedSystem::default();
    let face = FakeFace::start("hall-a-1", &system).await;
    let directory = fake::directory("rollback");
    let first = fake::files(&directory, FIRST_RULES);
    fake::run(&[face.address], &format!("publish {first}")).await;
    let wanted = system.lock().unwrap().current();
    let second = fake::files(&directory, SECOND_RULES);
    fake::run(&[face.address], &format!("publish {second} --base latest")).await;
    assert_ne!(system.lock().unwrap().current(), wanted);
    let output = fake::run(&[face.address], "rollback 1").await;
    assert!(output.text.contains("accepted as revision 3"), "{output:?}");
    assert_eq!(system.lock().unwrap().current(), wanted);
    let output = fake::run(&[face.address], "rollback 77").await;
    assert!(
        output
            .complaint
            .contains("take its files from your version control"),
        "{output:?}"
    );
}

#[tokio::test]
async fn faulty_files_and_unreachable_vms_publish_nothing() {
    let system = SharedSystem::default();
    let face = FakeFace::start("hall-a-1", &system).await;
    let directory = fake::directory("faulty");
    let faulty = fake::files(&directory, "{\n  \"retriess\": {},\n  \"entries\": 3\n}");
    let output = fake::run(&[face.address], &format!("publish {faulty}")).await;
    assert_eq!(output.status, error::ExitStatus::Refused);
    assert!(
        output.complaint.contains("2 faults found"),
        "{}",
        output.complaint
    );
    assert!(
        output.complaint.contains("rules.jsonc:2:3"),
        "{}",
        output.complaint
    );
    assert_eq!(system.lock().unwrap().publish_calls, 0);

    let valid = fake::files(&directory, FIRST_RULES);
    let dead = fake::dead_address().await;
    let output = fake::run(&[dead], &format!("publish {valid}")).await;
    assert_eq!(output.status, error::ExitStatus::Unreachable);
    let output = fake::run(&[dead, face.address], &format!("diff {valid}")).await;
    assert!(output.text.contains("+ inventory.models.m:"), "{output:?}");
    assert!(
        output
            .text
            .ends_with("against revision 0; publish with --base 0\n"),
        "{output:?}"
    );
}

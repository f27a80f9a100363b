//! Configuration changes against a stand-in for the operators' API: each takes effect once and has
//! a clear answer.

mod fake;

use ctl::error;
use fake::{FakeEntryVm, PublishFault, SharedSystem};

const FIRST_RULES: &str = r#"{ "entries": { "per_organisation": 2 } }"#;
const SECOND_RULES: &str =
    r#"{ "entries": { "per_organisation": 3 }, "retries": { "max_tries": 2 } }"#;
const OTHER_RULES: &str =
    r#"{ "entries": { "per_organisation": 2 }, "retries": { "max_tries": 5 } }"#;

#[tokio::test]
async fn change_whose_answer_was_lost_takes_effect_once() {
    // Guards against a change that is applied twice or reported as failed: the append takes effect,
    // the answer is lost, and the call to the next VM is treated as a new change.
    let system = SharedSystem::default();
    let (first, second) = (
        FakeEntryVm::start("hall-a-1", &system).await,
        FakeEntryVm::start("hall-a-2", &system).await,
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
async fn undecided_change_can_be_retried_by_its_id() {
    // Guards against an operator who cannot find out whether a change took effect: the change is
    // published while the log is down, and without its id it could only be published a second time.
    let system = SharedSystem::default();
    let entry = FakeEntryVm::start("hall-a-1", &system).await;
    let files = fake::files(&fake::directory("undecided"), FIRST_RULES);
    system
        .lock()
        .unwrap()
        .faults
        .push_back(PublishFault::LogDown);
    let line = format!("publish {files} --timeout 0");
    let output = fake::run(&[entry.address], &line).await;
    assert_eq!(output.status, error::ExitStatus::Undecided, "{output:?}");
    let record = output
        .error_text
        .split("--record ")
        .nth(1)
        .unwrap()
        .split(',')
        .next()
        .unwrap();
    for _ in 0..2 {
        let output = fake::run(
            &[entry.address],
            &format!("{line} --base 0 --record {record}"),
        )
        .await;
        assert!(output.text.contains("accepted as revision 1"), "{output:?}");
    }
    assert_eq!(system.lock().unwrap().state.offset(), 1);
}

#[tokio::test]
async fn refusal_after_a_lost_answer_is_not_reported_as_the_outcome() {
    // Guards against reporting that nothing was published while the change is in force: the change
    // takes effect, its answer is lost, and the next VM refuses because it does not know the key.
    let system = SharedSystem::default();
    let first = FakeEntryVm::start("hall-a-1", &system).await;
    let second = FakeEntryVm::start("hall-a-2", &system).await;
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
async fn base_is_required_after_the_first_revision() {
    // Guards against silently undoing another operator's change: both edit the files of revision 1
    // and publish, and the second files are compared with the revision in force instead of the
    // revision that they were made from.
    let system = SharedSystem::default();
    let entry = FakeEntryVm::start("hall-a-1", &system).await;
    let directory = fake::directory("base");
    let first = fake::files(&directory, FIRST_RULES);
    fake::run(&[entry.address], &format!("publish {first}")).await;
    let second = fake::files(&directory, SECOND_RULES);
    let output = fake::run(&[entry.address], &format!("publish {second}")).await;
    assert_eq!(output.status, error::ExitStatus::Usage, "{output:?}");
    assert!(output.error_text.contains("--base 1"), "{output:?}");
    let output = fake::run(&[entry.address], &format!("publish {second} --base 1")).await;
    assert!(output.text.contains("accepted as revision 2"), "{output:?}");
    assert!(
        output.text.contains("~ rules.retries.max_tries: 3 -> 2"),
        "{output:?}"
    );

    let other = fake::files(&directory, OTHER_RULES);
    let output = fake::run(
        &[entry.address],
        &format!("publish {other} --base 1 --rebase"),
    )
    .await;
    assert_eq!(output.status, error::ExitStatus::Refused, "{output:?}");
    for part in [
        "revision 2 by linh",
        "both of you changed:\n  rules.retries.max_tries",
    ] {
        assert!(output.error_text.contains(part), "{}", output.error_text);
    }
    assert_eq!(system.lock().unwrap().state.revision(), 2);
}

#[tokio::test]
async fn change_that_does_not_overlap_is_rebased() {
    let system = SharedSystem::default();
    let entry = FakeEntryVm::start("hall-a-1", &system).await;
    let directory = fake::directory("rebase");
    let first = fake::files(&directory, FIRST_RULES);
    fake::run(&[entry.address], &format!("publish {first}")).await;
    let mine = fake::files(&directory, r#"{ "entries": { "per_organisation": 9 } }"#);
    fake::run(&[entry.address], &format!("publish {mine} --base 1")).await;
    let other = fake::files(&directory, OTHER_RULES);
    let line = format!("publish {other} --base 1");
    let output = fake::run(&[entry.address], &line).await;
    assert!(
        output.error_text.contains("publish again with --rebase"),
        "{output:?}"
    );
    let output = fake::run(&[entry.address], &format!("{line} --rebase")).await;
    assert!(output.text.contains("accepted as revision 3"), "{output:?}");
    let state = system.lock().unwrap().current();
    assert_eq!(state["rules"]["entries"]["per_organisation"], 9);
    assert_eq!(state["rules"]["retries"]["max_tries"], 5);
}

#[tokio::test]
async fn rollback_publishes_the_older_state_as_a_new_revision() {
    let system = SharedSystem::default();
    let entry = FakeEntryVm::start("hall-a-1", &system).await;
    let directory = fake::directory("rollback");
    let first = fake::files(&directory, FIRST_RULES);
    fake::run(&[entry.address], &format!("publish {first}")).await;
    let wanted = system.lock().unwrap().current();
    let second = fake::files(&directory, SECOND_RULES);
    fake::run(&[entry.address], &format!("publish {second} --base latest")).await;
    assert_ne!(system.lock().unwrap().current(), wanted);
    let output = fake::run(&[entry.address], "rollback 1").await;
    assert!(output.text.contains("accepted as revision 3"), "{output:?}");
    assert_eq!(system.lock().unwrap().current(), wanted);
    let output = fake::run(&[entry.address], "rollback 77").await;
    assert!(
        output
            .error_text
            .contains("take its files from your version control"),
        "{output:?}"
    );
}

#[tokio::test]
async fn invalid_files_and_unreachable_vms_publish_nothing() {
    let system = SharedSystem::default();
    let entry = FakeEntryVm::start("hall-a-1", &system).await;
    let directory = fake::directory("faulty");
    let faulty = fake::files(&directory, "{\n  \"retriess\": {},\n  \"entries\": 3\n}");
    let output = fake::run(&[entry.address], &format!("publish {faulty}")).await;
    assert_eq!(output.status, error::ExitStatus::Refused);
    assert!(
        output.error_text.contains("2 faults found"),
        "{}",
        output.error_text
    );
    assert!(
        output.error_text.contains("rules.jsonc:2:3"),
        "{}",
        output.error_text
    );
    assert_eq!(system.lock().unwrap().publish_calls, 0);

    let valid = fake::files(&directory, FIRST_RULES);
    let dead = fake::unreachable_address().await;
    let output = fake::run(&[dead], &format!("publish {valid}")).await;
    assert_eq!(output.status, error::ExitStatus::Unreachable);
    let output = fake::run(&[dead, entry.address], &format!("diff {valid}")).await;
    assert!(output.text.contains("+ inventory.models.m:"), "{output:?}");
    assert!(
        output
            .text
            .ends_with("against revision 0; publish with --base 0\n"),
        "{output:?}"
    );
}

//! Status, drain, quarantine and time line commands against a stand-in for the operators' API.

mod fake;

use base::{fingerprint, id, ops};
use ctl::error;
use fake::{FakeEntryVm, SharedSystem};
use trace::kind;

#[tokio::test]
async fn next_vm_is_called_when_one_does_not_answer() {
    let system = SharedSystem::default();
    let entry = FakeEntryVm::start("hall-a-1", &system).await;
    let dead = fake::unreachable_address().await;
    let output = fake::run(&[dead, entry.address], "status").await;
    assert_eq!(output.status, error::ExitStatus::Success, "{output:?}");
    assert!(
        output.text.starts_with("hall-a-1 (hall-a, hcmc), ready"),
        "{}",
        output.text
    );
    let output = fake::run(&[dead], "status").await;
    assert_eq!(output.status, error::ExitStatus::Unreachable);
    assert!(output.error_text.contains(&dead.to_string()), "{output:?}");
}

#[tokio::test]
async fn refusal_is_reported_with_its_remedy() {
    let system = SharedSystem::default();
    let entry = FakeEntryVm::start("hall-a-1", &system).await;
    let directory = fake::directory("key");
    std::fs::write(directory.join("wrong.key"), "other-key\n").unwrap();
    let settings = directory.join("settings.jsonc");
    let text = format!(
        "{{ // comment\n \"entries\": [\"{}\"], \"operator_key_file\": \"wrong.key\" }}",
        entry.address
    );
    std::fs::write(&settings, text).unwrap();
    let settings = settings.display().to_string();
    let run = async |words: &[&str]| {
        let environment = ctl::settings::CallEnvironment::default();
        ctl::command::run(ctl::args::parse(words).unwrap(), &environment).await
    };
    let output = run(&["--config", &settings, "status"]).await;
    assert_eq!(output.status, error::ExitStatus::Refused);
    assert!(
        output.error_text.contains("(401): use a known key"),
        "{output:?}"
    );
    let output = run(&["--config", &settings, "--check"]).await;
    assert_eq!(
        output.text,
        "settings are valid: 1 entry address, operator key found\n"
    );

    std::fs::write(&settings, "{\n  \"entrys\": [],\n  \"timeout_ms\": 0\n}").unwrap();
    let output = run(&["--config", &settings, "--check"]).await;
    assert_eq!(output.status, error::ExitStatus::Usage);
    for part in [
        "settings.jsonc:2:3: entrys",
        "\"entries\"",
        "settings.jsonc:3:3: timeout_ms",
    ] {
        assert!(
            output.error_text.contains(part),
            "no {part} in {}",
            output.error_text
        );
    }
}

#[tokio::test]
async fn in_force_lists_lagging_vms() {
    // Guards against reporting a change as in force where it is not: a change is accepted while one
    // VM receives no gossip and another is dead, and a missing report is taken as confirmation.
    let system = SharedSystem::default();
    let entry = FakeEntryVm::start("hall-a-1", &system).await;
    let without_gossip = FakeEntryVm::start("hall-a-2", &system).await;
    let files = fake::files(&fake::directory("in-force"), "{}");
    fake::run(&[entry.address], &format!("publish {files}")).await;
    let output = fake::run(&[entry.address], "status --in-force --timeout 0").await;
    assert_eq!(output.status, error::ExitStatus::Success, "{output:?}");
    assert!(
        output
            .text
            .starts_with("revision 1 is in force on 2 entry VMs"),
        "{}",
        output.text
    );

    let dead = fake::unreachable_address().await;
    let mut member = fake::member("hall-b-1", dead);
    member.state = ops::HealthState::Dead;
    system.lock().unwrap().members.push(member);
    let output = fake::run(&[without_gossip.address], "status --in-force --timeout 0").await;
    assert_eq!(output.status, error::ExitStatus::TimedOut, "{output:?}");
    assert!(
        output.text.contains("in force on 2 of 3 entry VMs"),
        "{}",
        output.text
    );
    assert!(
        output.text.contains("hall-b-1   dead    nothing"),
        "{}",
        output.text
    );
    let live = "status --in-force --timeout 0 --live-only";
    let output = fake::run(&[entry.address], live).await;
    assert_eq!(output.status, error::ExitStatus::Success, "{output:?}");
    let later = "status --in-force --timeout 0 --live-only --revision 2";
    let output = fake::run(&[entry.address], later).await;
    assert_eq!(output.status, error::ExitStatus::TimedOut, "{output:?}");
}

/// Starts two VMs with one event each, and adds a third member that does not answer.
async fn two_of_three_vms(system: &SharedSystem) -> (FakeEntryVm, FakeEntryVm) {
    let first = FakeEntryVm::start("hall-a-1", system).await;
    let second = FakeEntryVm::start("hall-a-2", system).await;
    let dead = fake::unreachable_address().await;
    system
        .lock()
        .unwrap()
        .members
        .push(fake::member("hall-b-1", dead));
    let taken = kind::EventKind::RequestTaken {
        organisation: "troupe-7".to_owned(),
        target: "m".to_owned(),
    };
    let server_dead = kind::EventKind::ServerDead {
        server: "engine-9".to_owned(),
        reason: "gone".to_owned(),
    };
    let request = id::RequestId(0x3f2a << 112);
    first.journal.record_for(1_772_000_000_000, request, taken);
    second.journal.record(1_772_000_000_001, server_dead);
    (first, second)
}

#[tokio::test]
async fn timeline_merges_vms_and_reports_the_unreachable_one() {
    let system = SharedSystem::default();
    let (first, _second) = two_of_three_vms(&system).await;
    let output = fake::run(&[first.address], "timeline --since 10m").await;
    let lines: Vec<&str> = output.text.lines().collect();
    assert!(
        lines[0].starts_with("!! hall-b-1 did not answer (Connection refused"),
        "{lines:?}"
    );
    assert!(
        lines[2].contains("hall-a-1 3f2a0000 request_taken"),
        "{lines:?}"
    );
    assert!(
        lines[3].contains("hall-a-2          server_dead server=engine-9"),
        "{lines:?}"
    );
    let output = fake::run(&[first.address], "timeline --kind server --format jsonl").await;
    assert!(
        output.text.contains(r#""kind":"server_dead""#),
        "{}",
        output.text
    );
    assert!(!output.text.contains("request_taken"), "{}", output.text);
    for invalid in ["--kind sever", "--since yesterday", "--request xyz"] {
        let output = fake::run(&[first.address], &format!("timeline {invalid}")).await;
        assert_eq!(output.status, error::ExitStatus::Usage, "{output:?}");
    }
}

#[tokio::test]
async fn diagram_is_written_and_request_is_explained_from_any_vm() {
    let system = SharedSystem::default();
    let (_first, second) = two_of_three_vms(&system).await;
    let file = fake::directory("timeline").join("out.svg");
    let line = format!(
        "timeline --request 3f2a --format svg --output {}",
        file.display()
    );
    let output = fake::run(&[second.address], &line).await;
    assert!(output.text.ends_with("out.svg: 1 event\n"), "{output:?}");
    assert!(
        std::fs::read_to_string(file)
            .unwrap()
            .contains("taken troupe-7")
    );
    let output = fake::run(&[second.address], "explain 3f2a").await;
    assert!(
        output.text.contains("taken from troupe-7 for m"),
        "{output:?}"
    );
    assert!(
        output.text.contains("caution: hall-b-1 did not answer"),
        "{output:?}"
    );
    let saved = fake::directory("timeline").join("saved.jsonl");
    let line = format!("timeline --format jsonl --output {}", saved.display());
    fake::run(&[second.address], &line).await;
    let output = fake::run(&[], &format!("explain 3f2a --from {}", saved.display())).await;
    assert!(
        output.text.contains("taken from troupe-7 for m"),
        "{output:?}"
    );
    let output = fake::run(
        &[],
        &format!("timeline --kind server --from {}", saved.display()),
    )
    .await;
    assert_eq!(output.text.lines().count(), 3, "{output:?}");
    let output = fake::run(&[second.address], "explain 99").await;
    assert_eq!(output.status, error::ExitStatus::Refused, "{output:?}");
}

#[tokio::test]
async fn quarantine_is_lifted_by_a_fingerprint_prefix() {
    let system = SharedSystem::default();
    let entry = FakeEntryVm::start("hall-a-1", &system).await;
    for number in 0..40_u8 {
        system
            .lock()
            .unwrap()
            .quarantine
            .push(ops::QuarantineStatus {
                fingerprint: fingerprint::ContentHash::of(&[number]),
                state: ops::QuarantineState::Quarantined,
                deaths: 2,
                servers: vec!["engine-1".to_owned()],
                organisation: "troupe-7".to_owned(),
                left_ms: 90_000,
            });
    }
    let wanted = fingerprint::ContentHash::of(&[7]).to_string();
    let output = fake::run(&[entry.address], "quarantine list").await;
    assert!(output.text.contains(&wanted[..12]), "{}", output.text);
    let output = fake::run(
        &[entry.address],
        &format!("quarantine lift {}", &wanted[..12]),
    )
    .await;
    assert_eq!(output.text, format!("{wanted} lifted\n"), "{output:?}");
    assert_eq!(system.lock().unwrap().quarantine.len(), 39);
    let output = fake::run(&[entry.address], &format!("quarantine lift {wanted}")).await;
    assert_eq!(output.status, error::ExitStatus::Refused, "{output:?}");
    let shared: Vec<String> = (0..40)
        .map(|number| fingerprint::ContentHash::of(&[number]).to_string())
        .collect();
    let digit = |digit: &&char| {
        shared
            .iter()
            .filter(|text| text.starts_with(**digit))
            .count()
            > 2
    };
    let digit = ['0', '1', '2', '3', '4', '5', '6', '7']
        .iter()
        .find(digit)
        .copied()
        .unwrap();
    let output = fake::run(&[entry.address], &format!("quarantine lift {digit}")).await;
    assert!(output.error_text.contains("give more digits"), "{output:?}");
}

#[tokio::test]
async fn drain_waits_until_nothing_runs() {
    let system = SharedSystem::default();
    let entry = FakeEntryVm::start("hall-a-1", &system).await;
    let output = fake::run(&[entry.address], "drain").await;
    assert_eq!(output.status, error::ExitStatus::Usage);
    let mut server = ops::ServerStatus {
        server: "engine-4".to_owned(),
        failure_domain: "hall-a".to_owned(),
        role: ops::ServerRole::ModelEngine,
        state: ops::HealthState::Leaving,
        serves: Vec::new(),
        running: 2,
        waiting: 0,
        free_blocks: 0,
        total_blocks: 0,
        preemptions: 0,
        report_age_ms: None,
    };
    system.lock().unwrap().servers = vec![server.clone()];
    let line = "drain --server engine-4 --wait --timeout 0";
    let output = fake::run(&[entry.address], line).await;
    assert_eq!(output.status, error::ExitStatus::TimedOut, "{output:?}");
    assert!(
        output.text.contains("2 requests still run there"),
        "{output:?}"
    );
    let other = FakeEntryVm::start("hall-a-2", &system).await;
    let output = fake::run(&[entry.address], "drain --vm hall-a-2").await;
    assert_eq!(output.status, error::ExitStatus::Success, "{output:?}");
    let last_call = system.lock().unwrap().calls.last().cloned();
    assert_eq!(
        last_call.as_deref(),
        Some("hall-a-2 POST /ops/drain"),
        "{}",
        other.vm
    );
    let output = fake::run(&[entry.address], "drain --vm hall-z-9").await;
    assert!(
        output.error_text.contains("there are: hall-a-1, hall-a-2"),
        "{output:?}"
    );
    server.running = 0;
    system.lock().unwrap().servers = vec![server];
    let output = fake::run(&[entry.address], line).await;
    assert_eq!(output.status, error::ExitStatus::Success, "{output:?}");
}

#[test]
fn completions_list_every_command_and_typos_get_suggestions() {
    let script = ctl::completions::bash_script();
    let commands = <ctl::args::CtlArgs as argh::ArgsInfo>::get_subcommands();
    assert_eq!(commands.len(), 13);
    for command in commands {
        assert!(
            script.contains(&format!("\"{}\") words=", command.name)),
            "{}",
            command.name
        );
        for flag in command.command.flags {
            assert!(script.contains(flag.long), "{}", flag.long);
        }
    }
    let output = ctl::args::parse(&["statsu"]).unwrap_err();
    assert!(
        output.error_text.contains("Did you mean \"status\"?"),
        "{}",
        output.error_text
    );
    let output = ctl::args::parse(&["status", "--in-forse"]).unwrap_err();
    assert!(
        output.error_text.contains("--in-force"),
        "{}",
        output.error_text
    );
}

//! Settings, names and fault injection of all stand-ins of a process.

use conf::{document, place, settings::parse};
use stand::{fleet, settings};

const EXAMPLE: &str = include_str!("../../../examples/stand.jsonc");

#[test]
fn the_example_settings_are_valid() {
    let settings: settings::StandSettings = parse("stand.jsonc", EXAMPLE).expect("is valid");
    assert_eq!(settings.engines[0].count, 3);
}

#[test]
fn the_example_deployments_have_a_stand_in_at_each_address() {
    for (inventory, stand) in [
        (
            include_str!("../../../examples/pass-works/inventory.jsonc"),
            include_str!("../../../examples/pass-works/stand.jsonc"),
        ),
        (
            include_str!("../../../examples/ridebook/inventory.jsonc"),
            include_str!("../../../examples/ridebook/stand.jsonc"),
        ),
    ] {
        let source = |text| place::SourceText { file: "", text };
        let configuration = document::parse(source(inventory), source("{}")).expect("valid");
        let inventory = configuration.inventory;
        let stand: settings::StandSettings = parse("stand.jsonc", stand).expect("valid");
        let engines = stand
            .engines
            .iter()
            .map(|group| (group.address, group.count));
        let services = stand
            .services
            .iter()
            .map(|group| (group.address, group.count));
        let mut served = engines.chain(services).flat_map(|(first, count)| {
            (0..count).filter_map(move |index| settings::nth_address(first, index))
        });
        let mut wanted: Vec<_> = inventory
            .backend_servers
            .values()
            .map(|it| it.address)
            .collect();
        wanted.sort_unstable();
        assert!(wanted.into_iter().eq(served.by_ref()));
        for group in &stand.engines {
            let model = &inventory.models[&group.profile.model];
            assert_eq!(group.profile.version, model.version);
            assert_eq!(group.profile.adapters, model.adapters);
        }
    }
}

#[test]
fn invalid_settings_report_every_error_with_its_line() {
    let text = r#"{
  "log": {"address": "127.0.0.1:7101"},
  "engines": [
    {"name": "e", "address": "127.0.0.1:7100", "count": 2},
    {"name": "e", "address": "127.0.0.1:65535", "count": 2, "profile": {"blocks": 1}}
  ]
}"#;
    let faults = parse::<settings::StandSettings>("stand.jsonc", text).expect_err("is invalid");
    let report = faults.to_string();
    let lines: Vec<&str> = report.lines().collect();
    assert_eq!(lines.len(), 5, "{report}");
    for (line, part) in [
        (
            "stand.jsonc:4:",
            "would listen on 127.0.0.1:7101, which another stand-in uses",
        ),
        ("stand.jsonc:5:", "two stand-ins would be called \"e-0\""),
        ("stand.jsonc:5:", "two stand-ins would be called \"e-1\""),
        ("stand.jsonc:5:", "\"e-1\" would need a port above 65535"),
        ("stand.jsonc:5:", "unknown field \"blocks\""),
    ] {
        assert!(
            lines
                .iter()
                .any(|text| text.starts_with(line) && text.contains(part)),
            "{part} is missing in {report}"
        );
    }
}

#[tokio::test]
async fn faults_are_switched_by_name_even_while_a_stand_in_is_down() {
    let settings = settings::StandSettings::on_loopback(0, 2, 1);
    let fleet = fleet::StandFleet::start(&settings).await.expect("listens");
    let names: Vec<&str> = fleet.members().iter().map(|it| it.name.as_str()).collect();
    assert_eq!(
        names,
        ["log", "weights", "vms", "engine-0", "engine-1", "service-0"]
    );
    let fleet::StandHandle::Engine(engine) = &fleet.members()[3].handle else {
        panic!("engine-0 is an engine");
    };
    let admin = format!(
        "http://{}/admin/faults",
        fleet.admin_address().expect("is on")
    );
    let client = reqwest::Client::new();
    let switch = |target: &str, fault: &str| {
        let body = serde_json::json!({"target": target, "fault": {"fault": fault}});
        client.post(&admin).json(&body).send()
    };
    assert_eq!(
        switch("engine-0", "crash").await.expect("answers").status(),
        200
    );
    assert!(!engine.is_up());
    assert_eq!(
        switch("engine-0", "restart")
            .await
            .expect("answers")
            .status(),
        200
    );
    assert!(engine.is_up());
    assert_eq!(
        switch("engine-9", "crash").await.expect("answers").status(),
        404
    );
    assert_eq!(switch("log", "crash").await.expect("answers").status(), 400);
    fleet.stop().await;
}

#[tokio::test]
async fn all_servers_lose_power_at_the_same_moment_and_come_back() {
    // Guards against plays in which machines are lost one after the other only.
    let settings = settings::StandSettings::on_loopback(0, 2, 1);
    let fleet = fleet::StandFleet::start(&settings).await.expect("listens");
    let admin = fleet.admin_address().expect("is on");
    let body = serde_json::json!({"down_ms": 150, "log_age_ms": 0});
    let call = reqwest::Client::new()
        .post(format!("http://{admin}/admin/power-loss"))
        .json(&body);
    assert_eq!(call.send().await.expect("answers").status(), 200);
    let up = || {
        let engines = fleet
            .members()
            .iter()
            .filter(|member| match &member.handle {
                fleet::StandHandle::Engine(engine) => engine.is_up(),
                _ => false,
            });
        engines.count()
    };
    assert_eq!(up(), 0);
    tokio::time::sleep(std::time::Duration::from_millis(600)).await;
    assert_eq!(up(), 2, "both engines");
}

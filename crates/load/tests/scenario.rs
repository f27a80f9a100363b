//! Tests of scenario files: validation, and plans that depend on the seed alone.

use std::{fs, path};

use base::fingerprint;
use conf::{fault, settings};
use load::{arrival, scenario};

const SCENARIO: &str = r#"{
    // Two workloads of one organisation.
    "name": "small", "seed": 3, "duration_ms": 20000, "expected_step_ms": 20,
    "organisations": { "saigon": { "api_key": "k1" }, "hue": { "api_key": "k2", "share": 3 } },
    "workloads": [
        { "name": "verdict", "class": "normal", "per_second": 20, "ask": { "generation": {
            "model": "review-llm", "shared_prefix_tokens": 10,
            "prompt_tokens": { "uniform": { "min": 20, "max": 40 } },
            "output_tokens": { "log_normal": { "median": 30, "sigma": 0.8, "max": 400 } },
            "delivery": { "streamed": 3, "whole": 1 } } } },
        { "name": "charge", "class": "urgent", "per_second": 5, "organisations": ["hue"],
          "ask": { "service": { "service": "pass-app", "path": "charges", "at_most_once": true } } },
    ],
}"#;

fn parse(text: &str) -> Result<scenario::LoadScenario, fault::FaultList> {
    settings::parse("scenario.jsonc", text)
}

#[test]
fn the_plan_is_a_function_of_the_seed() {
    let scenario = parse(SCENARIO).expect("the scenario is valid");
    let calls = arrival::plan_calls(&scenario);
    assert_eq!(calls, arrival::plan_calls(&scenario));
    assert!(calls.is_sorted_by_key(|call| call.at));
    let charges = calls.iter().filter(|call| call.workload == 1);
    assert!(charges.clone().all(|call| call.organisation == "hue"));
    // 20 and 5 a second for 20 s: 400 and 100 on average.
    assert!(
        (70..130).contains(&charges.count()),
        "{} calls",
        calls.len()
    );
    assert!((430..570).contains(&calls.len()), "{} calls", calls.len());
}

#[test]
fn a_change_of_one_workload_does_not_affect_the_others() {
    let scenario = parse(SCENARIO).expect("the scenario is valid");
    let mut changed = scenario.clone();
    changed.workloads[0].per_second = 80.0;
    let charges = |scenario: &scenario::LoadScenario| -> Vec<_> {
        let calls = arrival::plan_calls(scenario).into_iter();
        calls
            .filter(|call| call.workload == 1)
            .map(|call| (call.at, call.organisation))
            .collect()
    };
    assert_eq!(charges(&scenario), charges(&changed));
}

#[test]
fn all_errors_of_a_scenario_are_reported_together() {
    let text = SCENARIO
        .replace(r#""share": 3"#, r#""share": 0"#)
        .replace(r#""per_second": 5"#, r#""per_second": 0"#)
        .replace(r#"["hue"]"#, r#"["hanoi"]"#)
        .replace(r#""min": 20, "max": 40"#, r#""min": 50, "max": 40"#);
    let message = parse(&text).expect_err("four errors").to_string();
    for part in [
        "organisations.hue.share",
        "per_second",
        "\"hanoi\"",
        "prompt_tokens",
    ] {
        assert!(message.contains(part), "{part} is missing in: {message}");
    }
}

#[test]
fn an_unknown_field_is_refused_with_its_line() {
    let text = SCENARIO.replace("\"seed\"", "\"sed\"");
    let message = parse(&text).expect_err("unknown field").to_string();
    assert!(
        message.contains("sed") && message.contains("scenario.jsonc:3:"),
        "{message}"
    );
}

/// Guards against a demonstration that stops at its first call, or a fault that names an unknown
/// server. Names are repeated in two files, so an example's inventory can change without its
/// scenario.
#[test]
fn example_scenarios_refer_only_to_their_inventory() {
    for example in ["pass-works", "ridebook"] {
        let directory = path::Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("../../examples")
            .join(example);
        let scenario = scenario::LoadScenario::read(&directory.join("scenario.jsonc"))
            .unwrap_or_else(|error| panic!("{error}"));
        let text = fs::read_to_string(directory.join("inventory.jsonc")).expect("an inventory");
        let inventory: serde_json::Value =
            jsonc_parser::parse_to_serde_value(&text, &jsonc_parser::ParseOptions::default())
                .expect("an inventory of JSON with comments");
        for (name, organisation) in &scenario.organisations {
            let hash = fingerprint::ContentHash::of(organisation.api_key.as_bytes()).to_string();
            let hashes = &inventory["organisations"][name]["key_hashes"];
            assert_eq!(hashes[0], hash, "{example}: {name}");
        }
        for planned in &scenario.faults {
            let (kind, name) = match &planned.fault {
                scenario::FaultKind::ServerCrash { server }
                | scenario::FaultKind::ServerSilent { server } => ("backend_servers", server),
                scenario::FaultKind::EntryStop { vm } => ("entry_vms", vm),
                scenario::FaultKind::LogOutage { .. } => continue,
            };
            assert!(inventory[kind][name].is_object(), "{example}: {name}");
        }
    }
}

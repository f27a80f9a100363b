//! All faults of an invalid file are reported at once, each with its location and remedy.

use std::fs;

use conf::{document, fault, place, settings};
use rand_chacha::rand_core::{Rng as _, SeedableRng as _};

/// A pair of files with faults of every kind.
const INVENTORY: &str = include_str!("wrong-files/inventory.jsonc");
const RULES: &str = include_str!("wrong-files/rules.jsonc");
/// Location and beginning of each fault of the two files, in the order of the report.
const EXPECTED: &str = include_str!("wrong-files/faults.txt");

fn parse(inventory: &str, rules: &str) -> Result<document::Configuration, fault::FaultList> {
    document::parse(
        place::SourceText {
            file: "inv",
            text: inventory,
        },
        place::SourceText {
            file: "rul",
            text: rules,
        },
    )
}

#[test]
fn all_faults_of_both_files_are_reported_at_once() {
    let faults = parse(INVENTORY, RULES).expect_err("the files are invalid");
    let messages: Vec<String> = faults.faults.iter().map(ToString::to_string).collect();
    let expected: Vec<&str> = EXPECTED.lines().collect();
    for (message, expected) in messages.iter().zip(&expected) {
        assert!(
            message.starts_with(expected),
            "reported {message}\nexpected {expected}"
        );
    }
    assert_eq!(messages.len(), expected.len(), "{}", messages.join("\n"));
}

#[test]
fn a_fault_that_only_follows_from_another_is_not_reported() {
    let broken = r#"{
      "regions": { "west": { "failure_domains": "a" } },
      "entry_vms": { "entry-1": { "failure_domain": "a", "callers": "127.0.0.1:80", "peers": "127.0.0.1:81" } },
      "backend_servers": {}, "models": {}, "organisations": []
    }"#;
    let rules = r#"{ "organisations": { "one": {} } }"#;
    let faults = parse(broken, rules).expect_err("the file is invalid");
    let paths: Vec<String> = faults
        .faults
        .iter()
        .map(|fault| fault.path.join("."))
        .collect();
    assert_eq!(
        paths,
        [
            "inventory.regions.west.failure_domains",
            "inventory.organisations"
        ]
    );
}

#[test]
fn every_fault_of_text_that_is_not_json_has_a_location() {
    for text in [
        "{",
        "",
        "[1,",
        "{\"regions\": {\"a\": ",
        "nonsense",
        "\u{feff}\u{0}",
    ] {
        let faults = parse(text, "{}").expect_err(text);
        assert!(
            faults.faults.iter().all(|fault| fault.place.is_some()),
            "{text:?}: {faults}"
        );
    }
}

/// Settings of a daemon, for the generic parser.
#[derive(Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct LimitSettings {
    least: u8,
    greatest: u8,
    address: std::net::SocketAddr,
}

impl settings::CheckedSettings for LimitSettings {
    fn contradictions(&self) -> Vec<fault::ConfigFault> {
        let fault = || fault::ConfigFault::at(&["least"], "above greatest", "lower it");
        (self.least > self.greatest)
            .then(fault)
            .into_iter()
            .collect()
    }
}

#[test]
fn daemon_settings_are_validated_like_configurations() {
    let cases = [
        (
            "{ \"least\": 3, // so\n \"greatest\": 2, \"address\": \"127.0.0.1:1\" }",
            "s:1:3: least: above greatest; lower it",
        ),
        (
            "{ \"least\": 1, \"greatest\": 300, \"address\": \"127.0.0.1:1\" }",
            "s:1:27: greatest: 300 is not a whole number from 0 to 255",
        ),
        (
            "{ \"least\": 1, \"greatest\": 2, \"address\": \"here\" }",
            "s:1:41: invalid socket address",
        ),
    ];
    for (text, expected) in cases {
        let faults = settings::parse::<LimitSettings>("s", text).expect_err(text);
        assert!(faults.to_string().starts_with(expected), "{faults}");
        assert_eq!(faults.faults.len(), 1, "{faults}");
    }
    let text = "{ \"least\": 1, \"greatest\": 2, \"address\": \"127.0.0.1:1\", }";
    assert_eq!(
        settings::parse::<LimitSettings>("s", text)
            .expect("valid")
            .greatest,
        2
    );
}

/// Parses the examples with characters inserted, removed or repeated: the parser must not panic,
/// and every fault must have a location within its file and a remedy.
#[test]
fn the_parser_neither_panics_nor_loses_a_location_on_mutated_text() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/ridebook/");
    let read = |file| fs::read_to_string(format!("{root}{file}")).expect("committed");
    let (inventory, rules) = (read("inventory.jsonc"), read("rules.jsonc"));
    let mut refused = 0;
    for seed in 0..2_000 {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let (inventory, rules) = (mutated(&inventory, &mut rng), mutated(&rules, &mut rng));
        let Err(faults) = parse(&inventory, &rules) else {
            continue;
        };
        refused += 1;
        assert!(!faults.faults.is_empty(), "seed {seed}");
        for fault in &faults.faults {
            let place = fault
                .place
                .as_ref()
                .unwrap_or_else(|| panic!("seed {seed}: {fault}"));
            let text = if place.file == "inv" {
                &inventory
            } else {
                &rules
            };
            assert!(
                place.line <= text.split('\n').count(),
                "seed {seed}: {fault}"
            );
            assert!(!fault.remedy.is_empty(), "seed {seed}: {fault}");
        }
    }
    assert!(refused > 1_000, "only {refused} texts were refused");
}

fn mutated(text: &str, rng: &mut rand_chacha::ChaCha8Rng) -> String {
    const INSERTED: &[&str] = &[
        "\"", "{", "}", "[", "]", ",", ":", "null", "1e999", "-1", "é", "\\u12", "/*", "'x'", "\n",
    ];
    let mut characters: Vec<char> = text.chars().collect();
    for _ in 0..rng.next_u32() % 4 {
        let at = rng.next_u32() as usize % characters.len();
        let until = (at + rng.next_u32() as usize % 24).min(characters.len());
        let inserted = match rng.next_u32() % 3 {
            0 => characters[at..until].repeat(2),
            1 => Vec::new(),
            _ => INSERTED[rng.next_u32() as usize % INSERTED.len()]
                .chars()
                .collect(),
        };
        characters.splice(at..until, inserted);
    }
    characters.into_iter().collect()
}

//! A wrong file gets all its faults at once, each with its place and its remedy.

use std::fs;

use conf::{document, fault, place, settings};
use rand_chacha::rand_core::{Rng as _, SeedableRng as _};

const INVENTORY: &str = r#"{
  "regions": { "west": { "failure_domains": ["a", "b", "a"] }, "east": { "failure_domains": [] } },
  "entry_vms": {
    "entry-1": { "failure_domain": "a", "callers": "127.0.0.1:80", "peers": "127.0.0.1:80" },
    "entry-2": { "failure_domain": "q", "callers": "127.0.0.1", "peers": "0.0.0.0:81" }
  },
  "backend_servers": {
    "engine-1": {
      "failure_domain": "b", "adress": "127.0.0.1:90", "address": "127.0.0.1:90",
      "kind": { "model_engine": {
        "models": ["m", "n"], "checks_fencing": "yes", "kv_blocks": 0, "block_tokens": 16, "max_batch": 1.5
      } }
    },
    "app-1": { "failure_domain": "b", "address": "127.0.0.1:91", "kind": { "plain_service": { "service": "s" } } },
    "app-2": { "failure_domain": "b", "address": "127.0.0.1:91", "kind": "plain_service" }
  },
  "models": { "m": { "version": "", "min_engines": 3, "context_tokens": 100 }, "m": { "version": "2" } },
  "services": { "s/t": { "max_concurrency": -1, "non_idempotent_paths": [""] } },
  "organisations": {
    "one": { "key_hashes": ["abc"], "region": "south" },
    "two": { "key_hashes": ["0000000000000000000000000000000000000000000000000000000000000000"], "region": "west" },
    "six": { "key_hashes": ["0000000000000000000000000000000000000000000000000000000000000000"], "region": null }
  }
}"#;

const RULES: &str = r#"{
  "classes": [
    { "models": ["m"], "class": "normal" },
    { "models": ["m"], "organisations": ["one", "tow"], "class": "urgent" },
    { "models": ["m"], "services": [], "class": "soon" },
  ],
  "organisations": { "three": { "weight": 0, "burst": 2 } },
  "time_limits": { "silent_connection_ms": 100, "idempotency_window_ms": 5 },
  "admission": { "urgent_overflow_chance": 1.5 },
  "retries": { "max_tries": 0 },
  'entries': { "keep_ms": 0 }
}"#;

/// Place and beginning of each fault of the two files, in the order of the report.
const EXPECTED: &[&str] = &[
    "inv:2:56: inventory.regions.west.failure_domains.2: failure domain \"a\" is in \"west\"",
    "inv:2:74: inventory.regions.east.failure_domains: the region has no failure domain",
    "inv:4:68: inventory.entry_vms.entry-1.peers: 127.0.0.1:80 is the address of entry_vms.entry-1.callers",
    "inv:5:18: inventory.entry_vms.entry-2.failure_domain: no region has a failure domain \"q\"",
    "inv:5:52: inventory.entry_vms.entry-2.callers: \"127.0.0.1\" is not an address",
    "inv:5:65: inventory.entry_vms.entry-2.peers: nobody can connect to 0.0.0.0:81",
    "inv:9:30: inventory.backend_servers.engine-1.adress: unknown field \"adress\"; write \"address\"",
    "inv:11:25: inventory.backend_servers.engine-1.kind.model_engine.models.1: no model \"n\"",
    "inv:11:49: inventory.backend_servers.engine-1.kind.model_engine.checks_fencing: the text \"yes\" stands here; write true or false",
    "inv:11:56: inventory.backend_servers.engine-1.kind.model_engine.kv_blocks: 0 is not above zero",
    "inv:11:105: inventory.backend_servers.engine-1.kind.model_engine.max_batch: 1.5 is not a whole number from 0 to 4294967295",
    "inv:14:95: inventory.backend_servers.app-1.kind.plain_service.service: no service \"s\"",
    "inv:15:39: inventory.backend_servers.app-2.address: 127.0.0.1:91 is the address of backend_servers.app-1.address",
    "inv:15:74: inventory.backend_servers.app-2.kind: the text \"plain_service\" stands here; write an object with \"model_engine\" or an object with \"plain_service\"",
    "inv:17:80: inventory.models.m: \"m\" stands more than once",
    "inv:17:85: inventory.models.m.context_tokens: field \"context_tokens\" is missing; add \"context_tokens\": a whole number",
    "inv:18:17: inventory.services.s/t: the name cannot stand in a path",
    "inv:18:45: inventory.services.s/t.max_concurrency: -1 is not a whole number from 0",
    "inv:18:49: inventory.services.s/t.non_idempotent_paths: an empty prefix",
    "inv:20:29: inventory.organisations.one.key_hashes.0: this is not a key hash",
    "inv:20:37: inventory.organisations.one.region: no region \"south\"",
    "inv:21:29: inventory.organisations.two.key_hashes.0: \"six\" has the same key",
    "inv:22:108: inventory.organisations.six.region: null stands here; write a text",
    "rul:4:5: rules.classes.1: never applies: rule 0 matches all",
    "rul:4:49: rules.classes.1.organisations.1: \"tow\" is not among the inventory's organisations",
    "rul:5:5: rules.classes.2: no request is for a model and a service at once",
    "rul:5:24: rules.classes.2.services: an empty list matches nothing",
    "rul:5:49: rules.classes.2.class: the text \"soon\" stands here; write \"urgent\" or \"normal\" or \"deferrable\"",
    "rul:7:22: rules.organisations.three: organisation \"three\" is not in the inventory",
    "rul:7:33: rules.organisations.three.weight: 0 is not above zero",
    "rul:7:46: rules.organisations.three.burst: unknown field \"burst\"",
    "rul:8:20: rules.time_limits.silent_connection_ms: 100 ms is too short; write at least 1000",
    "rul:8:49: rules.time_limits.idempotency_window_ms: 5 ms is too short; write at least 10000",
    "rul:9:18: rules.admission.urgent_overflow_chance: 1.5 is not between 0 and 1",
    "rul:10:16: rules.retries.max_tries: 0 is not above zero",
    "rul:11:3: rules: not JSON with comments",
    "rul:11:16: rules.entries.keep_ms: 0 ms is too short",
];

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
fn every_fault_of_both_files_is_told_at_once() {
    let faults = parse(INVENTORY, RULES).expect_err("the files are wrong");
    let told: Vec<String> = faults.faults.iter().map(ToString::to_string).collect();
    for (told, expected) in told.iter().zip(EXPECTED) {
        assert!(
            told.starts_with(expected),
            "told {told}\nexpected {expected}"
        );
    }
    assert_eq!(told.len(), EXPECTED.len(), "{}", told.join("\n"));
}

#[test]
fn a_fault_that_only_follows_from_another_is_left_out() {
    let broken = r#"{
      "regions": { "west": { "failure_domains": "a" } },
      "entry_vms": { "entry-1": { "failure_domain": "a", "callers": "127.0.0.1:80", "peers": "127.0.0.1:81" } },
      "backend_servers": {}, "models": {}, "organisations": []
    }"#;
    let rules = r#"{ "organisations": { "one": {} } }"#;
    let faults = parse(broken, rules).expect_err("the file is wrong");
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
fn text_that_is_no_json_is_told_where_it_ends() {
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

/// Settings of a daemon, for the generic reader.
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
fn settings_of_daemons_are_checked_the_same_way() {
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

/// The examples with some bytes replaced, removed, repeated: nothing panics, every fault has a
/// place within the file and a remedy, and what is accepted is valid.
#[test]
fn no_text_makes_the_parser_panic_or_lose_a_place() {
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
    assert!(refused > 1_000, "only {refused} were refused");
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

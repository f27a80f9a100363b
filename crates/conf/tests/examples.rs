//! The committed examples are valid and agree with their README.

use std::{fs, path};

use base::class;
use conf::{document, place, snapshot};

fn root() -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(path: &str) -> String {
    fs::read_to_string(root().join(path)).expect("the file is committed")
}

fn example(name: &str) -> document::Configuration {
    let inventory = read(&format!("examples/{name}/inventory.jsonc"));
    let rules = read(&format!("examples/{name}/rules.jsonc"));
    let source = |file, text| place::SourceText { file, text };
    document::parse(
        source("inventory.jsonc", &inventory),
        source("rules.jsonc", &rules),
    )
    .unwrap_or_else(|faults| panic!("{name}:\n{faults}"))
}

fn index(configuration: document::Configuration) -> snapshot::ConfigSnapshot {
    snapshot::ConfigSnapshot::default().next(1, 1, configuration.into())
}

#[test]
fn example_deployments_have_the_documented_size() {
    for (name, model, service, vms) in [
        ("pass-works", "review-llm", "pass-app", 9),
        ("ridebook", "pollen-lm", "ridebook-app", 7),
    ] {
        let snapshot = index(example(name));
        assert_eq!(snapshot.servers_of_model(model).len(), 9, "{name}");
        assert_eq!(snapshot.servers_of_service(service).len(), 3, "{name}");
        assert_eq!(snapshot.inventory().organisations.len(), 10, "{name}");
        assert_eq!(snapshot.vms().count(), vms, "{name}");
        let domains = snapshot
            .inventory()
            .regions
            .values()
            .map(|entry| entry.failure_domains.len());
        assert_eq!(domains.collect::<Vec<_>>(), [3], "{name}");
    }
}

#[test]
fn the_keys_in_the_readme_match_the_files() {
    let snapshots = [
        ("pass-works", index(example("pass-works"))),
        ("ridebook", index(example("ridebook"))),
    ];
    let readme = read("examples/README.md");
    let mut found = 0;
    for line in readme.lines() {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        let [_, deployment, owner, key, _] = cells[..] else {
            continue;
        };
        let Some((_, snapshot)) = snapshots.iter().find(|(name, _)| *name == deployment) else {
            continue;
        };
        let key = key.trim_matches('`');
        if let Some(name) = owner.strip_prefix("organisation ") {
            let organisation = snapshot.organisation_by_api_key(key).expect(line);
            assert_eq!(snapshot.organisation(organisation).expect(line).name, name);
            assert_eq!(snapshot.operator_by_key(key), None);
        } else {
            let name = owner.strip_prefix("operator ").expect(line);
            assert_eq!(snapshot.operator_by_key(key), Some(name), "{line}");
        }
        found += 1;
    }
    assert_eq!(found, 24);
}

/// Organisation, target, requested class and resulting class by the rules of Pass Works.
const CLASS_CASES: [(
    &str,
    snapshot::RequestTarget<'_>,
    Option<class::TrafficClass>,
    class::TrafficClass,
); 7] = {
    use class::TrafficClass::{Deferrable, Normal, Urgent};
    use snapshot::RequestTarget::{Model, Service};
    [
        ("gate-scanners", Model("review-llm"), None, Urgent),
        ("vendor-bureau", Service("pass-app"), None, Urgent),
        ("vendor-bureau", Model("review-llm"), None, Normal),
        ("vendor-bureau", Model("review-llm"), Some(Urgent), Normal),
        (
            "vendor-bureau",
            Model("review-llm"),
            Some(Deferrable),
            Deferrable,
        ),
        ("troupe-paper-tiger", Model("review-llm"), None, Deferrable),
        (
            "troupe-paper-tiger",
            Service("pass-app"),
            Some(Deferrable),
            Urgent,
        ),
    ]
};

#[test]
fn the_first_matching_rule_determines_the_class() {
    let snapshot = index(example("pass-works"));
    for (name, target, requested, class) in CLASS_CASES {
        let organisation = snapshot.organisation_key(name).expect("known");
        let found = snapshot.class_of(organisation, target, requested);
        assert_eq!(found, class, "{name} {target:?}");
    }
}

#[test]
fn every_spelling_of_a_path_matches_its_rule() {
    let snapshot = index(example("pass-works"));
    for path in [
        "charges",
        "/charges/7",
        "//charges",
        "/x/../charges",
        "/%63harges?a=b",
        "./charges",
    ] {
        assert!(snapshot.is_non_idempotent("pass-app", path), "{path}");
    }
    assert!(!snapshot.is_non_idempotent("pass-app", "status"));
}

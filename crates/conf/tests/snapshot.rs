//! Stability of keys and selection of entry VMs in a snapshot.

use std::collections;

use conf::{sample, snapshot};

fn first(size: sample::SampleSize) -> snapshot::ConfigSnapshot {
    snapshot::ConfigSnapshot::default().next(1, 1, sample::configuration(size).into())
}

/// Guards against requests that are attributed to the wrong organisation. An organisation is
/// removed and another one added while a request still holds the old key. Keys carry a generation,
/// so a key is never reused and never resolves to another name.
#[test]
fn keys_stay_valid_across_revisions_and_are_never_reused() {
    let before = first(sample::SampleSize::TODAY);
    let names: Vec<String> = before.inventory().organisations.keys().cloned().collect();
    let mut configuration = sample::configuration(sample::SampleSize::TODAY);
    let entry = configuration
        .inventory
        .organisations
        .remove(&names[3])
        .expect("there");
    configuration
        .inventory
        .organisations
        .insert("added".to_owned(), entry);
    let after = before.next(2, 2, configuration.into());
    for name in &names {
        let key = before.organisation_key(name).expect("there");
        let found = after.organisation(key).map(|view| &view.name);
        assert_eq!(found, (*name != names[3]).then_some(name));
    }
    let key = sample::api_key(3);
    let owner = after
        .organisation_by_api_key(&key)
        .and_then(|key| after.organisation(key));
    assert_eq!(owner.map(|view| view.name.as_str()), Some("added"));
    assert_eq!(after.organisation_by_api_key("unknown"), None);
}

#[test]
fn entries_cover_failure_domains_and_first_positions_are_balanced() {
    let size = sample::SampleSize {
        organisations: 8_000,
        ..sample::SampleSize::TODAY
    };
    let snapshot = first(size);
    let mut first_places: collections::BTreeMap<String, usize> = collections::BTreeMap::new();
    for name in snapshot.inventory().organisations.keys() {
        let organisation = snapshot.organisation_key(name).expect("there");
        let entries = snapshot.entries_of(organisation, |_| true);
        let views: Vec<_> = entries.iter().filter_map(|key| snapshot.vm(*key)).collect();
        let domains: collections::BTreeSet<_> = views
            .iter()
            .map(|view| view.entry.failure_domain.as_str())
            .collect();
        assert_eq!((views.len(), domains.len()), (3, 3), "{name}");
        *first_places.entry(views[0].name.clone()).or_default() += 1;
        let without_first = snapshot.entries_of(organisation, |key| key != entries[0]);
        assert!(!without_first.contains(&entries[0]));
        assert!(without_first.contains(&entries[1]) || without_first.contains(&entries[2]));
    }
    assert_eq!(first_places.len(), size.entry_vms);
    for (name, count) in first_places {
        assert!(
            (850..1_150).contains(&count),
            "{name} is first for {count} of 8000"
        );
    }
}

#[test]
fn a_region_without_a_usable_vm_falls_back_to_the_others() {
    let snapshot = first(sample::SampleSize {
        regions: 2,
        ..sample::SampleSize::TODAY
    });
    let organisation = snapshot
        .organisation_key(&sample::organisation_name(0))
        .expect("there");
    let region = |key| snapshot.vm(key).map(|view| view.region.clone());
    let home = snapshot.entries_of(organisation, |_| true);
    assert!(
        home.iter()
            .all(|key| region(*key).as_deref() == Some("region-0"))
    );
    let away = snapshot.entries_of(organisation, |key| {
        region(key).as_deref() != Some("region-0")
    });
    assert!(!away.is_empty());
}

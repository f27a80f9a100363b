//! The fold of leases: fencing numbers, expiry, and starting in the middle of the stream.

use std::collections;

use base::id;
use lease::fold;
use ledger::driver::LogFold as _;
use ledger::record;

const SERVER: &str = "engine-1";
const HOLD_MS: u64 = 10_000;

fn item(vm: u128, held: Option<u64>) -> fold::HoldItem {
    let subject = SERVER.to_owned();
    fold::HoldItem {
        holder: fold::HolderId {
            vm: format!("vm-{vm}"),
            incarnation: id::Incarnation(vm),
        },
        hold_ms: HOLD_MS,
        order_ms: 1_000,
        held: held
            .map(|number| (subject.clone(), number))
            .into_iter()
            .collect(),
        wanted: if held.is_none() {
            collections::BTreeSet::from([subject])
        } else {
            collections::BTreeSet::new()
        },
        released: collections::BTreeMap::new(),
    }
}

/// Applies one record and returns the fencing number if the writer then holds the lease.
fn apply(fold: &mut fold::LeaseFold, offset: u64, at_ms: u64, item: fold::HoldItem) -> Option<u64> {
    let entry = record::BatchEntry {
        id: id::RecordId(u128::from(offset)),
        seen: 0,
        item: fold::LeaseEntry::Hold(item),
    };
    let batch = record::BatchRecord {
        writer: String::new(),
        entries: vec![entry],
    };
    let verdicts = fold.apply(record::RecordPlace { offset, at_ms }, batch);
    verdicts[0]
        .verdict
        .held
        .get(SERVER)
        .map(|held| held.fencing)
}

#[test]
fn renewals_keep_the_fencing_number_and_new_holders_raise_it() {
    let mut fold = fold::LeaseFold::default();
    assert_eq!(apply(&mut fold, 3, 0, item(1, None)), Some(3));
    assert_eq!(apply(&mut fold, 4, 9_000, item(1, Some(3))), Some(3));
    assert_eq!(apply(&mut fold, 5, 19_000, item(2, None)), None);
    assert_eq!(apply(&mut fold, 6, 19_001, item(2, None)), Some(6));
    assert_eq!(apply(&mut fold, 7, 19_002, item(1, Some(3))), None);
    assert_eq!(
        apply(&mut fold, 8, 19_003, item(2, None)),
        Some(6),
        "a record that was appended twice"
    );
}

/// Guards against a reader that treats a lease as free because it has not read of it: retention has
/// dropped the record that took the lease, and another VM requests the lease before the holder's
/// next renewal. Different readers would then see different holders.
#[test]
fn a_fold_that_starts_mid_stream_grants_nothing_at_first() {
    let mut complete = fold::LeaseFold::default();
    let mut late = fold::LeaseFold::default();
    late.restart(10);
    assert!(late.is_warming());
    assert_eq!(apply(&mut complete, 3, 0, item(1, None)), Some(3));
    assert_eq!(apply(&mut complete, 9, 5_000, item(1, Some(3))), Some(3));
    for fold in [&mut complete, &mut late] {
        assert_eq!(apply(fold, 10, 6_000, item(2, None)), None);
        assert_eq!(apply(fold, 11, 8_000, item(1, Some(3))), Some(3));
        assert_eq!(apply(fold, 12, 9_000, item(2, None)), None);
    }
    for (offset, at_ms) in (13..30).zip((10_000..).step_by(5_000)) {
        for fold in [&mut complete, &mut late] {
            assert_eq!(apply(fold, offset, at_ms, item(1, Some(3))), Some(3));
        }
    }
    assert!(!late.is_warming());
    for fold in [&mut complete, &mut late] {
        assert_eq!(apply(fold, 40, 200_000, item(2, None)), Some(40));
        assert_eq!(apply(fold, 41, 201_000, item(1, Some(3))), None);
    }
}

#[test]
fn one_record_renews_the_leases_of_600_engines() {
    let mut renewal = item(1, None);
    renewal.wanted.clear();
    renewal.held = (0..600)
        .map(|number| (format!("engine-{number:03}"), 1_000_000))
        .collect();
    let entry = fold::LeaseEntry::Hold(renewal);
    let encoded = record::EncodedEntry::new(id::RecordId(1), 1_000_000, &entry).expect("JSON");
    println!("600 leases: {} bytes", encoded.size());
    assert!(
        encoded.size() < 64 * 1024,
        "larger than a quarter of a batch"
    );
}

/// Guards against two holders with the same fencing number: the log came back from an older copy
/// and gives out again the offset from which the number of an earlier lease was taken.
#[test]
fn a_lease_taken_after_the_log_came_back_from_a_copy_has_a_greater_number() {
    let mut fold = fold::LeaseFold::default();
    assert_eq!(apply(&mut fold, 50, 0, item(1, None)), Some(50));
    let later = apply(&mut fold, 50, 2 * HOLD_MS, item(2, None));
    assert!(later > Some(50), "{later:?}");
}

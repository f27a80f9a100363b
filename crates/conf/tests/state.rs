//! Concurrent changes, duplicates, parts and rollbacks on the log.

use base::id;
use conf::{change, check, checkpoint, document, part, sample, state};
use rand_chacha::rand_core::{Rng as _, SeedableRng as _};
use serde_json::{Value, json};

fn change(id: u128, base_revision: u64, author: &str, patch: Value) -> change::ConfigChange {
    let comment = format!("change {id}");
    change::ConfigChange {
        id: id::RecordId(id),
        base_revision,
        author: author.to_owned(),
        comment,
        patch,
    }
}

fn apply(state: &mut state::ConfigState, change: &change::ConfigChange) -> state::ApplyVerdict {
    let mut verdict = state::ApplyVerdict::Stale;
    for record in change.records() {
        verdict = state.apply(state.offset(), &record);
    }
    verdict
}

/// A state whose revision 1 is a complete deployment.
fn started() -> state::ConfigState {
    let mut state = state::ConfigState::new();
    let patch = change::difference(
        &document::Configuration::default(),
        &sample::configuration(sample::SampleSize::TODAY),
    );
    let verdict = apply(&mut state, &change(1, 0, "ann", patch));
    assert_eq!(verdict, state::ApplyVerdict::Accepted { revision: 1 });
    state
}

fn keep(keep_ms: u64) -> Value {
    json!({"rules": {"entries": {"keep_ms": keep_ms}}})
}

fn tries(max_tries: u32) -> Value {
    json!({"rules": {"retries": {"max_tries": max_tries}}})
}

/// Guards against a change that silently overwrites another one. Several operators publish, one of
/// them against an old base revision. Without the base revision the later record would overwrite
/// changes that its author never saw.
#[test]
fn a_conflict_reports_who_changed_what() {
    let mut state = started();
    apply(&mut state, &change(2, 1, "ann", keep(7_000)));
    apply(&mut state, &change(3, 2, "bob", tries(2)));
    let late = change(
        4,
        1,
        "eve",
        json!({"rules": {"entries": {"per_organisation": 2, "keep_ms": 9_000}}}),
    );
    let state::ApplyVerdict::Conflict(report) = apply(&mut state, &late) else {
        panic!("the late change was not refused");
    };
    assert_eq!((report.revision, report.is_complete), (3, true));
    let who: Vec<_> = report
        .since
        .iter()
        .map(|it| (it.revision, it.author.as_str()))
        .collect();
    assert_eq!(who, [(2, "ann"), (3, "bob")]);
    assert_eq!(report.overlapping, [["rules", "entries", "keep_ms"]]);
    assert_eq!(state.configuration().rules.entries.keep_ms, 7_000);
    let apart = change(5, 2, "eve", keep(9_000));
    let state::ApplyVerdict::Conflict(report) = apply(&mut state, &apart) else {
        panic!("a change against an old revision was not refused");
    };
    assert!(report.overlapping.is_empty() && report.is_complete);
    let again = change(6, 3, "eve", keep(9_000));
    assert_eq!(
        apply(&mut state, &again),
        state::ApplyVerdict::Accepted { revision: 4 }
    );
}

/// Guards against a change that takes effect again after another operator replaced it. The response
/// to an append is lost and the writer appends again, while another change was accepted in between.
/// The log then holds the change twice, and the second record must have no effect.
#[test]
fn a_repeated_record_has_no_effect() {
    let mut state = started();
    let once = change(2, 1, "ann", keep(7_000));
    apply(&mut state, &once);
    apply(&mut state, &change(3, 2, "bob", keep(8_000)));
    assert_eq!(apply(&mut state, &once), state::ApplyVerdict::Duplicate);
    assert_eq!(state.configuration().rules.entries.keep_ms, 8_000);
    let verdict = state.history().verdict_of(id::RecordId(2));
    assert_eq!(verdict, Some(state::ApplyVerdict::Accepted { revision: 2 }));
}

#[test]
fn an_invalid_change_is_refused_with_all_its_faults_and_changes_nothing() {
    let mut state = started();
    let before = state.configuration().clone();
    let patch =
        json!({"rules": {"entries": {"keep_ms": 0}, "organisations": {"nobody": {"weight": -1}}}});
    let state::ApplyVerdict::Invalid(faults) = apply(&mut state, &change(2, 1, "ann", patch))
    else {
        panic!("an invalid change was not refused");
    };
    assert_eq!(faults.faults.len(), 3, "{faults}");
    assert_eq!(*state.configuration(), before);
    assert_eq!((state.revision(), state.offset()), (1, 2));
}

/// Guards against a large change that is applied in part. Its records are interleaved with a change
/// of another operator. The parts form one change, which is decided at the last part, against the
/// revision in force there.
#[test]
fn a_large_change_is_decided_atomically() {
    let mut state = started();
    let patch = json!({"inventory": {"regions": {"r": {"failure_domains": ["d"]}}}});
    let large = change(2, 1, "ann", patch);
    let text = serde_json::to_string(&large).expect("serializable");
    let parts = part::split(part::PartKind::Change, large.id, &text, 40);
    let (last, first) = parts.split_last().expect("several");
    for part in first.iter().chain(&first[..1]) {
        assert_eq!(state.apply(state.offset(), part), state::ApplyVerdict::Part);
    }
    let mut raced = state.clone();
    let accepted = state::ApplyVerdict::Accepted { revision: 2 };
    assert_eq!(state.apply(state.offset(), last), accepted);
    assert!(state.configuration().inventory.regions.contains_key("r"));
    assert_eq!(
        state.apply(state.offset(), last),
        state::ApplyVerdict::Duplicate
    );
    assert_eq!(apply(&mut raced, &change(3, 1, "bob", tries(2))), accepted);
    let verdict = raced.apply(raced.offset(), last);
    assert!(
        matches!(verdict, state::ApplyVerdict::Conflict(_)),
        "{verdict:?}"
    );
}

/// Guards against a completely appended change that never takes effect. One part is damaged in
/// transit and appended again. If the damaged part were kept, the reassembled text would not match
/// its hash and the change would be lost.
#[test]
fn a_damaged_part_does_not_invalidate_the_others() {
    let mut state = started();
    let large = change(2, 1, "ann", tries(2));
    let text = serde_json::to_string(&large).expect("serializable");
    let parts = part::split(part::PartKind::Change, large.id, &text, 40);
    let mut damaged = parts[1].clone();
    damaged.pop();
    let sequence = [&parts[..1], &[damaged], &parts[1..]].concat();
    let verdicts: Vec<_> = sequence
        .iter()
        .map(|it| state.apply(state.offset(), it))
        .collect();
    assert!(matches!(verdicts[1], state::ApplyVerdict::Malformed { .. }));
    assert_eq!(
        verdicts.last(),
        Some(&state::ApplyVerdict::Accepted { revision: 2 })
    );
}

/// Guards against a mixture of two texts that takes effect. A faulty writer appends parts that each
/// match their own hash but do not add up to the announced text, so the hash of the complete text
/// is compared at the last part.
#[test]
fn parts_whose_text_does_not_match_its_hash_are_refused() {
    let mut state = started();
    let large = change(2, 1, "ann", tries(2));
    let text = serde_json::to_string(&large).expect("serializable");
    let hash = base::fingerprint::ContentHash::of(text.as_bytes()).to_string();
    let other = base::fingerprint::ContentHash::of(b"another text").to_string();
    let mut verdict = state::ApplyVerdict::Stale;
    for record in part::split(part::PartKind::Change, large.id, &text, 40) {
        let record = String::from_utf8(record)
            .expect("text")
            .replace(&hash, &other);
        verdict = state.apply(state.offset(), record.as_bytes());
    }
    assert!(
        matches!(verdict, state::ApplyVerdict::Malformed { .. }),
        "{verdict:?}"
    );
    assert_eq!(state.revision(), 1);
}

#[test]
fn a_rollback_is_a_new_revision_with_the_old_content() {
    let mut state = started();
    let old = document::Configuration::clone(state.configuration());
    apply(&mut state, &change(2, 1, "ann", keep(7_000)));
    apply(
        &mut state,
        &change(
            3,
            2,
            "ann",
            json!({"inventory": {"organisations": {"organisation-00003": null}}}),
        ),
    );
    let back = state.configuration_at(1).expect("remembered");
    assert_eq!(back, old);
    let patch = change::difference(state.configuration(), &back);
    apply(&mut state, &change(4, 3, "ann", patch));
    assert_eq!((state.revision(), &**state.configuration()), (4, &old));
    assert_eq!(state.configuration_at(9), None);
}

/// Guards against a VM with rules that were never published, adopted from a VM that read another
/// log or from a damaged checkpoint. Offsets of different logs cannot be compared; the hash chain
/// of the changes distinguishes the logs.
#[test]
fn a_damaged_state_or_one_of_another_log_is_not_adopted() {
    let mut state = started();
    let mut other = state.clone();
    apply(&mut state, &change(2, 1, "ann", keep(7_000)));
    apply(&mut other, &change(2, 1, "ann", keep(8_000)));
    apply(&mut other, &change(3, 2, "ann", keep(9_000)));
    let before = state.clone();
    assert_eq!(
        state.adopt(other.clone()),
        Err(state::AdoptRefusal::Contradictory)
    );
    assert_eq!(state.adopt(started()), Err(state::AdoptRefusal::Older));
    assert_eq!(state, before);
    let text = checkpoint::encode(&other);
    let hash = base::fingerprint::ContentHash::of(text.as_bytes());
    let damaged = text.replace("9000", "9001");
    assert!(checkpoint::decode(&damaged, hash, &other.offer()).is_err());
    assert!(checkpoint::decode(&text, hash, &state.offer()).is_err());
    assert_eq!(
        checkpoint::decode(&text, hash, &other.offer()).expect("valid"),
        other
    );
}

/// A patch converts and validates only the entries that it names. The result must be the same as
/// when the complete document is merged and validated as plain JSON, and the reverse patch must
/// restore the original.
#[test]
fn a_partial_patch_equals_a_patch_of_the_complete_document() {
    let start = sample::configuration(sample::SampleSize::TODAY);
    let (mut accepted, mut refused) = (0, 0);
    for seed in 0..3_000 {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let mut patch = json!({});
        for _ in 0..=rng.next_u32() % 3 {
            json_patch::merge(&mut patch, &draw(&mut rng));
        }
        let mut plain = serde_json::to_value(&start).expect("serializable");
        json_patch::merge(&mut plain, &patch);
        let plain = serde_json::from_value::<document::Configuration>(plain).ok();
        let plain = plain.filter(|configuration| check::check(configuration).is_ok());
        let mut patched = start.clone();
        let reverse = patched.patch(&patch).ok();
        assert_eq!(reverse.is_some(), plain.is_some(), "seed {seed}: {patch}");
        assert_eq!(
            patched,
            plain.unwrap_or_else(|| start.clone()),
            "seed {seed}: {patch}"
        );
        match reverse {
            None => refused += 1,
            Some(reverse) => {
                patched.patch(&reverse).expect("it was valid before");
                assert_eq!(patched, start, "seed {seed}: {patch} reverted by {reverse}");
                accepted += 1;
            }
        }
    }
    assert!(
        accepted > 500 && refused > 500,
        "{accepted} accepted, {refused} refused"
    );
}

fn draw(rng: &mut rand_chacha::ChaCha8Rng) -> Value {
    const SECTIONS: [&str; 7] = [
        "regions",
        "entry_vms",
        "backend_servers",
        "models",
        "services",
        "organisations",
        "operators",
    ];
    let mut pick = |bound: u32| rng.next_u32() % bound;
    let section = SECTIONS[pick(7) as usize];
    let organisation = format!("organisation-{:05}", pick(14));
    let hash = sample::configuration(sample::SampleSize {
        organisations: 2,
        ..sample::SampleSize::TODAY
    });
    let known = hash
        .inventory
        .organisations
        .values()
        .next()
        .map(|entry| entry.key_hashes[0].clone());
    let hash = if pick(4) == 0 {
        known.unwrap_or_default()
    } else {
        format!("{:064x}", pick(99))
    };
    match pick(12) {
        0 => json!({"inventory": {section: null}}),
        1 => json!({"inventory": {section: {"x": null}}}),
        2 => json!({"inventory": {section: {}}, "rules": {}}),
        3 => json!({"inventory": {"organisations": {organisation: null}}}),
        4..=6 => {
            json!({"inventory": {"organisations": {organisation: {"key_hashes": [hash], "region": "region-0"}}}})
        }
        7 => json!({"inventory": {"operators": {"operator-1": {"key_hashes": [hash]}}}}),
        8 => json!({"rules": {"organisations": {organisation: {"weight": pick(3)}}}}),
        9 => json!({"rules": {"organisations": null, "retries": {"max_tries": pick(3)}}}),
        10 => {
            json!({"inventory": {"backend_servers": {"engine-003": {"kind": {"model_engine": {"kv_blocks": pick(2_000)}}}}}})
        }
        _ => json!({"rules": {"classes": [{"class": "urgent", "organisations": [organisation]}]}}),
    }
}

//! Single sequences of records that the fold of claims must get right.

use base::{fingerprint, id};
use ledger::driver::LogFold as _;
use ledger::{claim_fold, claims, record};

const KEY: &str = "1000000-pass";

fn fold() -> claim_fold::ClaimFold {
    claim_fold::ClaimFold::new(claims::ClaimLimits::default())
}

fn claim(key: &str, content: &str) -> claims::ClaimEntry {
    claims::ClaimEntry::Claim(claims::ClaimItem {
        organisation: String::from("troupe-7"),
        key: key.to_owned(),
        content: fingerprint::ContentHash::of(content.as_bytes()),
        holder: String::from("vm-0"),
        hold_ms: 1_000,
        run_ms: 1_000,
    })
}

fn end(number: u128, outcome: claims::SettledOutcome) -> claims::ClaimEntry {
    claims::ClaimEntry::Settle(claims::SettleItem {
        claim: id::RecordId(number),
        organisation: String::from("troupe-7"),
        key: KEY.to_owned(),
        outcome,
    })
}

fn ran(text: &'static str) -> claims::SettledOutcome {
    claims::SettledOutcome::Ran(claims::StoredOutcome {
        status: 200,
        content_type: None,
        body: Some(claims::StoredBody(text.into())),
    })
}

fn put(
    fold: &mut claim_fold::ClaimFold,
    at_ms: u64,
    number: u128,
    item: claims::ClaimEntry,
) -> claims::ClaimVerdict {
    let place = record::RecordPlace { offset: 0, at_ms };
    let batch = record::BatchRecord {
        writer: String::from("vm-0"),
        entries: vec![record::BatchEntry {
            id: id::RecordId(number),
            seen: 0,
            item,
        }],
    };
    let mut verdicts = fold.apply(place, batch);
    verdicts.remove(0).verdict
}

#[test]
fn a_repeated_claim_does_not_take_a_key_that_became_free() {
    // Symptom: a key stays unknown although every try of it was proved not to have run.
    // Sequence: an append's answer is lost, the claim is appended again; the first one is ended as
    // not run; then the second copy arrives.
    // Cause: a fold that takes the copy for a new claim, for which nobody acts.
    let mut fold = fold();
    let held = put(&mut fold, 1_000_000, 1, claim(KEY, "a"));
    assert_eq!(held, claims::ClaimVerdict::Held);
    put(
        &mut fold,
        1_000_100,
        2,
        end(1, claims::SettledOutcome::NotRun),
    );
    let repeated = put(&mut fold, 1_000_200, 1, claim(KEY, "a"));
    assert_eq!(repeated, claims::ClaimVerdict::Withdrawn);
    let next = put(&mut fold, 1_000_300, 3, claim(KEY, "a"));
    assert_eq!(next, claims::ClaimVerdict::Held);
}

#[test]
fn a_claim_that_arrives_after_its_end_holds_nothing() {
    // Symptom: as above.
    // Sequence: a claim is held up on its way; its holder gives it up and appends its end, which
    // arrives first.
    // Cause: a fold that forgets the end of a claim that it has not met.
    let mut fold = fold();
    put(
        &mut fold,
        1_000_000,
        2,
        end(1, claims::SettledOutcome::NotRun),
    );
    let late = put(&mut fold, 1_000_100, 1, claim(KEY, "a"));
    assert_eq!(late, claims::ClaimVerdict::Withdrawn);
    let next = put(&mut fold, 1_000_200, 3, claim(KEY, "a"));
    assert_eq!(next, claims::ClaimVerdict::Held);
}

#[test]
fn a_late_proof_of_not_run_does_not_free_the_key() {
    // Symptom: a call runs after its caller was told that its outcome is unknown, and had booked
    // by other means.
    // Sequence: a holder pauses past its time; others are told "unknown"; the holder reports that
    // it never sent; the key is claimed again.
    // Cause: an end that counts whenever it comes.
    let mut fold = fold();
    put(&mut fold, 1_000_000, 1, claim(KEY, "a"));
    put(
        &mut fold,
        1_002_001,
        2,
        end(1, claims::SettledOutcome::NotRun),
    );
    let next = put(&mut fold, 1_002_100, 3, claim(KEY, "a"));
    assert!(matches!(
        next,
        claims::ClaimVerdict::Taken(claims::KeyView::Pending { .. })
    ));
}

#[test]
fn a_key_with_another_content_is_another_call() {
    // Symptom: a caller is given the answer to a different call.
    // Sequence: a client draws the same key twice.
    // Cause: a stored outcome that is found by its key alone.
    let mut fold = fold();
    put(&mut fold, 1_000_000, 1, claim(KEY, "two seats"));
    put(&mut fold, 1_000_100, 2, end(1, ran("booked")));
    let other = put(&mut fold, 1_000_200, 3, claim(KEY, "three seats"));
    assert_eq!(other, claims::ClaimVerdict::OtherContent);
    let same = put(&mut fold, 1_000_300, 4, claim(KEY, "two seats"));
    assert!(matches!(
        same,
        claims::ClaimVerdict::Taken(claims::KeyView::Stored(_))
    ));
}

#[test]
fn keys_outside_the_window_are_refused_at_both_ends() {
    // Symptom: a call runs a second time an hour after the first.
    // Sequence: retention drops the first claim; the caller repeats its call. Or: a caller whose
    // clock is far ahead repeats a call whose key outlives the first claim.
    // Cause: a fold that accepts a key of any age.
    let limits = claims::ClaimLimits::default();
    let mut fold = fold();
    let newest = format!("{}-a", 2_000_000 + limits.margin_ms);
    let future = format!("{}-b", 2_000_000 + limits.margin_ms + 1);
    let oldest = format!("{}-c", 2_000_000 - limits.window_ms);
    let expired = format!("{}-d", 2_000_000 - limits.window_ms - 1);
    let mut verdict = |number, key: &str| put(&mut fold, 2_000_000, number, claim(key, "a"));
    assert_eq!(verdict(1, &newest), claims::ClaimVerdict::Held);
    assert_eq!(verdict(2, &future), claims::ClaimVerdict::OutsideWindow);
    assert_eq!(verdict(3, &oldest), claims::ClaimVerdict::Held);
    assert_eq!(verdict(4, &expired), claims::ClaimVerdict::OutsideWindow);
    assert_eq!(verdict(5, "pass"), claims::ClaimVerdict::OutsideWindow);
}

#[test]
fn retention_shorter_than_the_window_is_refused() {
    // Symptom: a key runs twice.
    // Sequence: the log drops a claim while its key is still accepted.
    // Cause: settings that contradict one another.
    let limits = claims::ClaimLimits {
        retention_ms: 600_000,
        ..claims::ClaimLimits::default()
    };
    let error = limits.check().expect_err("contradictory limits");
    assert!(
        error.to_string().contains("shorten idempotency_window_ms"),
        "{error}"
    );
}

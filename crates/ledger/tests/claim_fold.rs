//! Sequences of records with known verdicts, applied to the fold of claims.

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

fn settle(number: u128, outcome: claims::SettledOutcome) -> claims::ClaimEntry {
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

fn apply(
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
    // Guards against a fold that treats the second copy of a claim as a new claim, which nobody
    // would settle: the answer to an append is lost, the claim is appended again, the first copy
    // is settled as not run, and then the second copy arrives. The key would stay unknown although
    // no attempt ran.
    let mut fold = fold();
    let held = apply(&mut fold, 1_000_000, 1, claim(KEY, "a"));
    assert_eq!(held, claims::ClaimVerdict::Held);
    apply(
        &mut fold,
        1_000_100,
        2,
        settle(1, claims::SettledOutcome::NotRun),
    );
    let repeated = apply(&mut fold, 1_000_200, 1, claim(KEY, "a"));
    assert_eq!(repeated, claims::ClaimVerdict::Withdrawn);
    let next = apply(&mut fold, 1_000_300, 3, claim(KEY, "a"));
    assert_eq!(next, claims::ClaimVerdict::Held);
}

#[test]
fn a_claim_that_arrives_after_its_end_holds_nothing() {
    // Guards against a fold that ignores the end of a claim that it has not read: the claim is
    // delayed, and its end, appended when the holder gave up, arrives first. The key would stay
    // unknown although no attempt ran.
    let mut fold = fold();
    apply(
        &mut fold,
        1_000_000,
        2,
        settle(1, claims::SettledOutcome::NotRun),
    );
    let late = apply(&mut fold, 1_000_100, 1, claim(KEY, "a"));
    assert_eq!(late, claims::ClaimVerdict::Withdrawn);
    let next = apply(&mut fold, 1_000_200, 3, claim(KEY, "a"));
    assert_eq!(next, claims::ClaimVerdict::Held);
}

#[test]
fn a_late_proof_of_not_run_does_not_free_the_key() {
    // Guards against a claim's end that takes effect however late it arrives: a holder pauses past
    // its deadline, other requests get "unknown", then the holder reports that it never sent, and
    // the key is claimed again. The call would run after its caller had booked in another way.
    let mut fold = fold();
    apply(&mut fold, 1_000_000, 1, claim(KEY, "a"));
    apply(
        &mut fold,
        1_002_001,
        2,
        settle(1, claims::SettledOutcome::NotRun),
    );
    let next = apply(&mut fold, 1_002_100, 3, claim(KEY, "a"));
    assert!(matches!(
        next,
        claims::ClaimVerdict::Taken(claims::KeyView::Pending { .. })
    ));
}

#[test]
fn a_key_with_different_content_is_refused() {
    // Guards against a stored outcome that is looked up by its key alone: a client that uses the
    // same key for two calls would get the answer to the wrong one.
    let mut fold = fold();
    apply(&mut fold, 1_000_000, 1, claim(KEY, "two seats"));
    apply(&mut fold, 1_000_100, 2, settle(1, ran("booked")));
    let other = apply(&mut fold, 1_000_200, 3, claim(KEY, "three seats"));
    assert_eq!(other, claims::ClaimVerdict::OtherContent);
    let same = apply(&mut fold, 1_000_300, 4, claim(KEY, "two seats"));
    assert!(matches!(
        same,
        claims::ClaimVerdict::Taken(claims::KeyView::Stored(_))
    ));
}

#[test]
fn keys_outside_the_window_are_refused_at_both_ends() {
    // Guards against a fold that accepts keys of any age: a call would run a second time after
    // retention dropped its first claim (an hour later), or if the caller's clock is so far ahead
    // that its key stays valid for longer than the first claim is retained.
    let limits = claims::ClaimLimits::default();
    let mut fold = fold();
    let newest = format!("{}-a", 2_000_000 + limits.margin_ms);
    let future = format!("{}-b", 2_000_000 + limits.margin_ms + 1);
    let oldest = format!("{}-c", 2_000_000 - limits.window_ms);
    let expired = format!("{}-d", 2_000_000 - limits.window_ms - 1);
    let mut verdict = |number, key: &str| apply(&mut fold, 2_000_000, number, claim(key, "a"));
    assert_eq!(verdict(1, &newest), claims::ClaimVerdict::Held);
    assert_eq!(verdict(2, &future), claims::ClaimVerdict::OutsideWindow);
    assert_eq!(verdict(3, &oldest), claims::ClaimVerdict::Held);
    assert_eq!(verdict(4, &expired), claims::ClaimVerdict::OutsideWindow);
    assert_eq!(verdict(5, "pass"), claims::ClaimVerdict::OutsideWindow);
}

#[test]
fn retention_shorter_than_the_window_is_refused() {
    // Guards against contradictory settings: a key would run twice if the log dropped its claim
    // while the key is still accepted.
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

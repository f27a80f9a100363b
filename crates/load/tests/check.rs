//! Tests of the answer check: complete answers pass, and each kind of violation is reported.

use arbtest::arbitrary;
use base::id;
use load::check;
use rand::SeedableRng as _;
use stand::engine::text;

const GENERATION: id::GenerationId = id::GenerationId(77);

fn token(mark: u32, index: u32) -> String {
    text::marked_token(GENERATION, index, mark)
}

fn check_of(mark: u32, count: u32) -> check::AnswerCheck {
    check::AnswerCheck::new(check::ExpectedAnswer {
        mark,
        token_count: Some(count),
    })
}

fn complete_text(mark: u32, count: u32) -> String {
    (0..count).map(|index| token(mark, index)).collect()
}

#[test]
fn a_complete_answer_passes_as_one_response_and_as_a_stream() {
    assert_eq!(check_of(7, 12).check_answer(&complete_text(7, 12)), Ok(()));
    let mut check = check_of(7, 12);
    for index in 0..12 {
        assert_eq!(check.check_token(index, &token(7, index)), Ok(()));
    }
    assert_eq!(check.finish(), Ok(()));
}

/// Guards against answers that pass although a token is missing, repeated, or belongs to another
/// call, as after a continuation from the wrong number or a mix-up of answers. One token of a valid
/// stream is dropped, repeated, swapped with the next one, or replaced by another generation's.
#[test]
fn every_single_change_of_a_stream_is_detected() {
    for seed in 0..500_u64 {
        let mut bytes = [0; 64];
        rand::Rng::fill_bytes(
            &mut rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            &mut bytes,
        );
        let mut draw = arbitrary::Unstructured::new(&bytes);
        let count = draw.int_in_range(2..=40).expect("enough bytes");
        let place = draw.int_in_range(0..=count - 1).expect("enough bytes");
        let kind = draw.int_in_range(0..=4).expect("enough bytes");
        let mark = seed as u32;
        let mut tokens: Vec<(u32, String)> = (0..count)
            .map(|index| (index, token(mark, index)))
            .collect();
        let at = place as usize;
        match kind {
            0 => drop(tokens.remove(at)),
            1 => tokens.insert(at, tokens[at].clone()),
            2 => tokens.swap(at, (at + 1) % count as usize),
            3 => tokens[at].1 = token(mark + 1, place),
            _ => tokens[at].1 = text::marked_token(id::GenerationId(78), place, mark),
        }
        let mut check = check_of(mark, count);
        let taken = tokens
            .iter()
            .try_for_each(|(index, token)| check.check_token(*index, token));
        let verdict = taken.and_then(|()| check.finish());
        let error = verdict.expect_err(&format!(
            "seed {seed}: change {kind} at {place} was not detected"
        ));
        let is_classified = match kind {
            0 => matches!(error, check::AnswerError::Cut { .. }),
            1 => matches!(error, check::AnswerError::Doubled { .. }),
            2 => !matches!(error, check::AnswerError::Mixed { .. }),
            _ => matches!(error, check::AnswerError::Mixed { .. }),
        };
        assert!(
            is_classified,
            "seed {seed}: change {kind} at {place} was reported as {error:?}"
        );
    }
}

#[test]
fn a_repeated_token_of_a_complete_answer_is_reported_as_doubled() {
    let answer = complete_text(7, 6) + &token(7, 2);
    let error = check_of(7, 6).check_answer(&answer);
    assert!(
        matches!(error, Err(check::AnswerError::Doubled { .. })),
        "{error:?}"
    );
}

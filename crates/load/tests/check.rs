//! Answers are judged right: whole ones pass, and each way of breaking one is named.

use arbtest::arbitrary;
use load::check::{self, ExpectedText as _};
use rand::SeedableRng as _;

/// Text by seed and number, as a stand-in makes it.
#[derive(Clone, Copy)]
struct NumberedText {
    seed: u64,
    count: u32,
}

impl check::ExpectedText for NumberedText {
    fn token(&self, index: u32) -> String {
        format!("{:x}.{index} ", self.seed)
    }

    fn token_count(&self) -> u32 {
        self.count
    }
}

fn whole(text: NumberedText) -> String {
    (0..text.count).map(|index| text.token(index)).collect()
}

#[test]
fn a_whole_answer_passes_in_one_piece_and_as_a_stream() {
    let text = NumberedText { seed: 7, count: 12 };
    assert_eq!(
        check::AnswerCheck::new(text).take_whole(&whole(text)),
        Ok(())
    );
    let mut check = check::AnswerCheck::new(text);
    for index in 0..text.count {
        assert_eq!(check.take_token(index, &text.token(index)), Ok(()));
    }
    assert_eq!(check.finish(), Ok(()));
}

/// Symptom: a caller reads a text that looks whole although a token is missing, comes twice, or
/// belongs to another call.
/// Sequence: a valid stream is changed at one place: a token dropped, repeated, swapped with the
/// next one, or replaced by another generation's.
/// Cause: a continuation from the wrong number, or crossed answers.
#[test]
fn every_single_change_of_a_stream_is_found() {
    for seed in 0..500_u64 {
        let mut bytes = [0; 64];
        rand::Rng::fill_bytes(
            &mut rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            &mut bytes,
        );
        let mut draw = arbitrary::Unstructured::new(&bytes);
        let count = draw.int_in_range(2..=40).expect("enough bytes");
        let place = draw.int_in_range(0..=count - 1).expect("enough bytes");
        let kind = draw.int_in_range(0..=3).expect("enough bytes");
        let text = NumberedText { seed, count };
        let mut tokens: Vec<(u32, String)> =
            (0..count).map(|index| (index, text.token(index))).collect();
        let at = place as usize;
        match kind {
            0 => drop(tokens.remove(at)),
            1 => tokens.insert(at, tokens[at].clone()),
            2 => tokens.swap(at, (at + 1) % count as usize),
            _ => {
                tokens[at].1 = NumberedText {
                    seed: seed + 1,
                    count,
                }
                .token(place)
            }
        }
        let mut check = check::AnswerCheck::new(text);
        let taken = tokens
            .iter()
            .try_for_each(|(index, token)| check.take_token(*index, token));
        let verdict = taken.and_then(|()| check.finish());
        let fault = verdict.expect_err(&format!(
            "seed {seed}: change {kind} at {place} was not found"
        ));
        let is_named = match kind {
            0 => matches!(fault, check::AnswerFault::Cut { .. }),
            1 => matches!(fault, check::AnswerFault::Doubled { .. }),
            2 => !matches!(fault, check::AnswerFault::Mixed { .. }),
            _ => matches!(fault, check::AnswerFault::Mixed { .. }),
        };
        assert!(
            is_named,
            "seed {seed}: change {kind} at {place} was called {fault:?}"
        );
    }
}

#[test]
fn a_doubled_part_of_a_whole_answer_is_named() {
    let text = NumberedText { seed: 7, count: 6 };
    let answer = whole(text) + &text.token(2);
    let fault = check::AnswerCheck::new(text).take_whole(&answer);
    assert!(
        matches!(fault, Err(check::AnswerFault::Doubled { .. })),
        "{fault:?}"
    );
}

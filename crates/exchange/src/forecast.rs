//! What a generation will need of its engine, as far as can be known before it ends.

use crate::ask;

/// Part of what a generation may still produce that is expected once it is past its guess: the rest
/// of a log-normal length of deviation 0.7 that is cut off at the most.
const REST_PART: f64 = 0.28;
/// Share of the most tokens that is expected without a hint: the mean of such lengths.
const UNHINTED_PART: f64 = 0.34;
/// Weight of the hint against that share, both as logarithms. Hints of deviation 1.3 explain
/// lengths of deviation 0.7 with a slope of 0.2 to 0.33 (259 streams).
const HINT_WEIGHT: f64 = 0.3;
/// Part of a generation's expected output that is planned for in its engine's memory: a
/// generation met at a random moment has produced 0.7 of the mean length, since long ones are met
/// more often; those that end make room for those that grow.
pub const PLANNED_PART: f64 = 0.7;
/// Milliseconds that a token takes before anything of a run is known; engines make one in 7 to 9.
pub const TOKEN_MS: f64 = 8.0;

/// Tokens of a prompt that an engine reads in a millisecond while it makes tokens for others.
pub const PREFILL_TOKENS_PER_MS: f64 = 7.0;

/// Tokens that a generation of `size` is expected to produce once it has produced `produced`.
#[must_use]
pub fn expected_output(size: &ask::GenerationSize, produced: u32) -> f64 {
    let most = f64::from(size.most_tokens);
    let produced = f64::from(produced);
    let usual = (most * UNHINTED_PART).max(1.0);
    let guess = match size.hint_tokens {
        Some(hint) => {
            let hint = f64::from(hint.max(1));
            usual.powf(1.0 - HINT_WEIGHT) * hint.powf(HINT_WEIGHT)
        }
        None => usual,
    };
    let past = (produced / guess).min(1.0);
    let at_least = produced + (most - produced).max(0.0) * REST_PART * past;
    guess.max(at_least).min(most.max(produced))
}

/// Memory that is planned for a generation of `size` before it starts.
#[must_use]
pub fn planned_tokens(size: &ask::GenerationSize) -> u64 {
    u64::from(size.prompt_tokens) + (expected_output(size, 0) * PLANNED_PART) as u64
}

/// Memory that a generation of `size` is expected to take, times how long: thousands of tokens times
/// seconds. What is short of these is what engines are short of.
#[must_use]
pub fn expected_cost(size: &ask::GenerationSize) -> f64 {
    let reading_ms = f64::from(size.prompt_tokens) / PREFILL_TOKENS_PER_MS;
    let making_ms = expected_output(size, 0) * TOKEN_MS;
    planned_tokens(size) as f64 * (reading_ms + making_ms) / 1.0e6
}

//! Estimates of the output, memory and cost of a generation.

use crate::request;

/// Fraction of the remaining output limit that is expected once a generation has passed its
/// estimate: the remainder of a log-normal length of deviation 0.7 that is cut off at the limit.
const REMAINDER_FRACTION: f64 = 0.28;
/// Fraction of the output limit that is expected without a hint: the mean of such lengths.
const UNHINTED_FRACTION: f64 = 0.34;
/// Weight of the hint against the unhinted estimate, both as logarithms: hints of deviation 1.3
/// explain lengths of deviation 0.7 with a slope of 0.2 to 0.33.
const HINT_WEIGHT: f64 = 0.3;
/// Fraction of a generation's expected output for which memory is planned. A generation observed at
/// a random moment has produced 0.7 of the mean length, since long ones are observed more often;
/// memory of generations that end serves those that grow.
pub const PLANNED_FRACTION: f64 = 0.7;
/// Assumed time per token before the rate of a run is known; engines take 7 to 9 ms.
pub const TOKEN_MS: f64 = 8.0;

/// Prefill rate of an engine that decodes for other runs at the same time.
pub const PREFILL_TOKENS_PER_MS: f64 = 7.0;

/// Expected total output of a generation that has produced `produced` tokens.
#[must_use]
pub fn expected_output(size: &request::GenerationSize, produced: u32) -> f64 {
    let max = f64::from(size.max_tokens);
    let produced = f64::from(produced);
    let unhinted = (max * UNHINTED_FRACTION).max(1.0);
    let estimate = match size.hint_tokens {
        Some(hint) => {
            let hint = f64::from(hint.max(1));
            unhinted.powf(1.0 - HINT_WEIGHT) * hint.powf(HINT_WEIGHT)
        }
        None => unhinted,
    };
    let progress = (produced / estimate).min(1.0);
    let at_least = produced + (max - produced).max(0.0) * REMAINDER_FRACTION * progress;
    estimate.max(at_least).min(max.max(produced))
}

/// Memory planned for a generation before it starts.
#[must_use]
pub fn planned_tokens(size: &request::GenerationSize) -> u64 {
    u64::from(size.prompt_tokens) + (expected_output(size, 0) * PLANNED_FRACTION) as u64
}

/// Expected memory of a generation times its expected run time, in thousands of token seconds: the
/// resource that engines are short of.
#[must_use]
pub fn expected_cost(size: &request::GenerationSize) -> f64 {
    let prefill_ms = f64::from(size.prompt_tokens) / PREFILL_TOKENS_PER_MS;
    let decode_ms = expected_output(size, 0) * TOKEN_MS;
    planned_tokens(size) as f64 * (prefill_ms + decode_ms) / 1.0e6
}

//! Deterministic pseudorandom values: a seed and a number give the same value in every process.

use std::f64::consts;

use xxhash_rust::xxh3;

/// Returns 64 pseudorandom bits for draw `number` of `seed`.
#[must_use]
pub fn bits(seed: u64, number: u64) -> u64 {
    xxh3::xxh3_64_with_seed(&number.to_le_bytes(), seed)
}

/// Returns a value in `[0, 1)` for draw `number` of `seed`.
#[must_use]
pub fn unit(seed: u64, number: u64) -> f64 {
    const SCALE: f64 = 1.0 / (1_u64 << 53) as f64;
    (bits(seed, number) >> 11) as f64 * SCALE
}

/// Returns a lognormal value with the given median; `sigma` is the standard deviation of its
/// logarithm.
#[must_use]
pub fn lognormal(seed: u64, median: f64, sigma: f64) -> f64 {
    let radius = (-2.0 * (1.0 - unit(seed, 0)).ln()).sqrt();
    let normal = radius * (2.0 * consts::PI * unit(seed, 1)).cos();
    median * (sigma * normal).exp()
}

//! Prediction of engine memory: mean and variance at several horizons.
//!
//! A generation that holds `c` tokens now and still runs after `d` further steps then holds `c + d`
//! tokens; a generation that has ended holds none. The chance that it still runs comes from its
//! length curve, given the tokens produced so far. Adding up the final sizes instead would assume
//! that all generations end at the same time, and would leave a third of the memory unused.

use crate::length;

/// Prediction horizons, in further tokens per generation.
pub const HORIZONS: [f32; 5] = [0.0, 64.0, 256.0, 1_024.0, 3_072.0];

/// One value per horizon in [`HORIZONS`].
pub type HorizonRow = [f32; HORIZONS.len()];

/// Expected memory in tokens and its variance, at each horizon.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MemoryLoad {
    /// Expected number of tokens held.
    pub mean: HorizonRow,
    /// Variance of the number of tokens held.
    pub variance: HorizonRow,
}

impl MemoryLoad {
    /// Returns the load of one generation that holds `context` tokens and has produced `produced`.
    #[must_use]
    pub fn of_generation(curve: &length::LengthCurve<'_>, context: f32, produced: f32) -> Self {
        let mut load = Self::default();
        let alive = curve.survival(produced).max(1e-6);
        for (index, distance) in HORIZONS.into_iter().enumerate() {
            let chance = if distance == 0.0 {
                1.0
            } else {
                (curve.survival(produced + distance) / alive).min(1.0)
            };
            let size = context + distance;
            load.mean[index] = chance * size;
            load.variance[index] = chance * (1.0 - chance) * size * size;
        }
        load
    }

    /// Adds another load.
    pub fn add(&mut self, other: &Self) {
        for index in 0..HORIZONS.len() {
            self.mean[index] += other.mean[index];
            self.variance[index] += other.variance[index];
        }
    }

    /// Subtracts a load that was added before. Rounding errors never make the result negative.
    pub fn subtract(&mut self, other: &Self) {
        for index in 0..HORIZONS.len() {
            self.mean[index] = (self.mean[index] - other.mean[index]).max(0.0);
            self.variance[index] = (self.variance[index] - other.variance[index]).max(0.0);
        }
    }
}

/// Returns the number of standard deviations above the mean that a normal distribution exceeds with
/// probability `chance`.
///
/// Rational approximation of the inverse normal tail, exact to 0.0005 (Abramowitz and Stegun,
/// 26.2.23).
#[must_use]
pub fn deviations(chance: f64) -> f32 {
    let chance = chance.clamp(1e-9, 1.0 - 1e-9);
    let tail = chance.min(1.0 - chance);
    let root = (-2.0 * tail.ln()).sqrt();
    let numerator = 0.010_328f64
        .mul_add(root, 0.802_853)
        .mul_add(root, 2.515_517);
    let denominator = 0.001_308f64
        .mul_add(root, 0.189_269)
        .mul_add(root, 1.432_788)
        .mul_add(root, 1.0);
    let value = (root - numerator / denominator) as f32;
    if chance <= 0.5 { value } else { -value }
}

/// Returns the probability that a normal distribution exceeds its mean by `deviations`.
#[must_use]
pub fn tail_chance(deviations: f32) -> f32 {
    let distance = deviations.abs();
    let step = 1.0 / 0.231_641_9f32.mul_add(distance, 1.0);
    let density = 0.398_942_3 * (-distance * distance / 2.0).exp();
    let sum = 1.330_274f32
        .mul_add(step, -1.821_256)
        .mul_add(step, 1.781_478)
        .mul_add(step, -0.356_563_8)
        .mul_add(step, 0.319_381_5);
    let tail = density * step * sum;
    if deviations >= 0.0 { tail } else { 1.0 - tail }
}

/// Returns the highest probability over all horizons that `load` exceeds `capacity` tokens.
#[must_use]
pub fn overflow_chance(load: &MemoryLoad, capacity: f32) -> f32 {
    let mut worst = 0.0f32;
    for index in 0..HORIZONS.len() {
        let free = capacity - load.mean[index];
        let deviation = load.variance[index].sqrt().max(1.0);
        worst = worst.max(tail_chance(free / deviation));
    }
    worst
}

/// Returns whether `load` stays within `capacity` at every horizon, with a margin of `deviations`
/// standard deviations.
#[must_use]
pub fn fits(load: &MemoryLoad, capacity: f32, deviations: f32) -> bool {
    (0..HORIZONS.len()).all(|index| {
        let needed = deviations.mul_add(load.variance[index].sqrt(), load.mean[index]);
        needed <= capacity
    })
}

//! Distributions of prompt and output lengths.

use rand_distr::Distribution as _;

/// Distribution of prompt or output lengths in tokens.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum LengthDistribution {
    /// A constant length.
    Fixed {
        /// Length in tokens.
        tokens: u32,
    },
    /// Uniform distribution over a range of lengths.
    Uniform {
        /// Minimum length.
        min: u32,
        /// Maximum length, inclusive.
        max: u32,
    },
    /// Log-normal distribution: most lengths are near the median, with a long tail.
    LogNormal {
        /// Median length.
        median: u32,
        /// Standard deviation of the logarithm; 0 makes every length the median.
        sigma: f64,
        /// Maximum length; longer samples are truncated to it.
        max: u32,
    },
}

impl LengthDistribution {
    /// Draws one length of at least 1.
    pub fn sample<R: rand::Rng + ?Sized>(&self, rng: &mut R) -> u32 {
        match *self {
            Self::Fixed { tokens } => tokens.max(1),
            Self::Uniform { min, max } => rand::RngExt::random_range(rng, min..=max).max(1),
            Self::LogNormal { median, sigma, max } => {
                let deviate: f64 = rand_distr::StandardNormal.sample(rng);
                let tokens = f64::from(median) * (sigma * deviate).exp();
                (tokens.round() as u32).clamp(1, max.max(1))
            }
        }
    }

    /// Returns the maximum length that can be drawn.
    #[must_use]
    pub fn max_tokens(&self) -> u32 {
        match *self {
            Self::Fixed { tokens } => tokens.max(1),
            Self::Uniform { max, .. } | Self::LogNormal { max, .. } => max.max(1),
        }
    }

    /// Validates the parameters; returns the error and its remedy.
    #[must_use]
    pub fn validation_error(&self) -> Option<(String, &'static str)> {
        match *self {
            Self::Fixed { tokens: 0 } => {
                Some(("0 tokens is not a valid length".into(), "write 1 or more"))
            }
            Self::Uniform { min, max } if min == 0 || min > max => Some((
                format!("no length lies between {min} and {max}"),
                "write 1 <= min <= max",
            )),
            Self::LogNormal { median, sigma, max }
                if median == 0 || median > max || !(0.0..=MAX_SIGMA).contains(&sigma) =>
            {
                Some((
                    format!("median {median}, sigma {sigma} and max {max} contradict each other"),
                    "write 1 <= median <= max and sigma from 0 to 4",
                ))
            }
            _ => None,
        }
    }
}

/// Maximum sigma; above it nearly every sample is truncated to `max`.
const MAX_SIGMA: f64 = 4.0;

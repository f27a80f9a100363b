//! Distributions of prompt and output lengths.

use rand_distr::Distribution as _;

/// How long prompts or outputs are, in tokens.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum LengthDistribution {
    /// Always the same.
    Fixed {
        /// The length.
        tokens: u32,
    },
    /// Any length of a range, equally likely.
    Uniform {
        /// Shortest length.
        min: u32,
        /// Longest length, included.
        max: u32,
    },
    /// Mostly near the median, with a long tail.
    LogNormal {
        /// Half of the lengths lie below.
        median: u32,
        /// Standard deviation of the logarithm; 0 makes every length the median.
        sigma: f64,
        /// Longer draws are cut to this.
        max: u32,
    },
}

impl LengthDistribution {
    /// One length, never 0.
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

    /// The longest length that can be drawn.
    #[must_use]
    pub fn longest(&self) -> u32 {
        match *self {
            Self::Fixed { tokens } => tokens.max(1),
            Self::Uniform { max, .. } | Self::LogNormal { max, .. } => max.max(1),
        }
    }

    /// What is wrong with it, and the remedy.
    #[must_use]
    pub fn fault(&self) -> Option<(String, &'static str)> {
        match *self {
            Self::Fixed { tokens: 0 } => Some(("0 tokens is no length".into(), "write 1 or more")),
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

/// Beyond this nearly every draw is cut to `max`.
const MAX_SIGMA: f64 = 4.0;

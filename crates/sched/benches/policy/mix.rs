//! Seeded synthetic traffic of the two users' workloads.

use base::class::TrafficClass;
use rand::{Rng, RngExt as _};

/// Number of organisations.
pub const ORGANISATIONS: usize = 10;

/// Fraction of the traffic of each organisation; a few organisations are large.
const SHARES: [f64; ORGANISATIONS] = [0.26, 0.20, 0.15, 0.10, 0.08, 0.06, 0.05, 0.04, 0.03, 0.03];

/// Workload of one traffic class.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub class: TrafficClass,
    /// Fraction of the requests.
    pub fraction: f64,
    pub prompt_median: f64,
    pub prompt_spread: f64,
    pub output_median: f64,
    pub output_spread: f64,
    pub max_tokens: u32,
    pub buffered: bool,
}

/// User whose workload is generated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mix {
    PassWorks,
    Ridebook,
}

impl Mix {
    pub const ALL: [Self; 2] = [Self::PassWorks, Self::Ridebook];

    pub fn name(self) -> &'static str {
        match self {
            Self::PassWorks => "pass-works",
            Self::Ridebook => "ridebook",
        }
    }

    pub fn kinds(self) -> [Kind; 3] {
        match self {
            // Gate checks; verdicts on booths; reviews of dossiers, which are deferrable.
            Self::PassWorks => [
                kind(TrafficClass::Urgent, 0.60, (90.0, 0.3), (14.0, 0.4), 64),
                kind(TrafficClass::Normal, 0.25, (300.0, 0.4), (60.0, 0.6), 512),
                kind(
                    TrafficClass::Deferrable,
                    0.15,
                    (1_100.0, 0.5),
                    (600.0, 0.9),
                    6_000,
                ),
            ],
            // Checks whether a pickup fits; run sheets that a dispatcher waits for; run sheets of
            // the next day.
            Self::Ridebook => [
                kind(TrafficClass::Urgent, 0.60, (160.0, 0.3), (35.0, 0.6), 256),
                kind(
                    TrafficClass::Normal,
                    0.25,
                    (1_500.0, 0.4),
                    (700.0, 0.8),
                    6_000,
                ),
                kind(
                    TrafficClass::Deferrable,
                    0.15,
                    (1_500.0, 0.4),
                    (900.0, 0.8),
                    8_000,
                ),
            ],
        }
    }
}

fn kind(
    class: TrafficClass,
    fraction: f64,
    prompt: (f64, f64),
    output: (f64, f64),
    max_tokens: u32,
) -> Kind {
    Kind {
        class,
        fraction,
        prompt_median: prompt.0,
        prompt_spread: prompt.1,
        output_median: output.0,
        output_spread: output.1,
        max_tokens,
        buffered: class == TrafficClass::Deferrable,
    }
}

/// One request.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: f64,
    pub organisation: usize,
    /// Random number that selects one of the organisation's entry VMs.
    pub pick: u32,
    pub class: TrafficClass,
    pub prompt: u32,
    pub length: u32,
    pub max_tokens: u32,
    /// Length in words of the preamble shared by the organisation's requests of this kind.
    pub preamble: u32,
    /// Number of the preamble.
    pub preamble_number: usize,
    pub buffered: bool,
}

/// Temporary or permanent increase of the traffic.
#[derive(Clone, Copy, Debug)]
pub enum Surge {
    /// Multiplies the deferrable work, which has the longest outputs, by `factor`.
    Long { from: f64, to: f64, factor: f64 },
    /// Multiplies the urgent work by `factor`.
    Urgent { from: f64, to: f64, factor: f64 },
    /// Multiplies all work of one organisation by `factor` during the entire run.
    Greedy { organisation: usize, factor: f64 },
}

fn normal<R: Rng>(rng: &mut R) -> f64 {
    let (first, second): (f64, f64) = (rng.random(), rng.random());
    (-2.0 * (1.0 - first).ln()).sqrt() * (std::f64::consts::TAU * second).cos()
}

fn lognormal<R: Rng>(rng: &mut R, median: f64, spread: f64) -> f64 {
    median * (spread * normal(rng)).exp()
}

/// Returns the arrivals of a run in order of time.
pub fn arrivals<R: Rng>(
    mix: Mix,
    rate: f64,
    until: f64,
    surge: Option<Surge>,
    rng: &mut R,
) -> Vec<Arrival> {
    let kinds = mix.kinds();
    // Output lengths and preambles differ between organisations.
    let scales: Vec<f64> = (0..ORGANISATIONS)
        .map(|_| (0.35 * normal(rng)).exp())
        .collect();
    let preambles: Vec<u32> = (0..ORGANISATIONS)
        .map(|_| rng.random_range(100..600))
        .collect();
    let mut arrivals = Vec::new();
    for (organisation, share) in SHARES.iter().enumerate() {
        for (number, kind) in kinds.iter().enumerate() {
            let base = rate * share * kind.fraction;
            let factor = |at: f64| match surge {
                Some(Surge::Long { from, to, factor })
                    if (from..to).contains(&at) && kind.class == TrafficClass::Deferrable =>
                {
                    factor
                }
                Some(Surge::Urgent { from, to, factor })
                    if (from..to).contains(&at) && kind.class == TrafficClass::Urgent =>
                {
                    factor
                }
                Some(Surge::Greedy {
                    organisation: greedy,
                    factor,
                }) if greedy == organisation => factor,
                _ => 1.0,
            };
            let max_factor = match surge {
                Some(
                    Surge::Long { factor, .. }
                    | Surge::Urgent { factor, .. }
                    | Surge::Greedy { factor, .. },
                ) => factor,
                None => 1.0,
            };
            let mut at = 0.0;
            loop {
                at += -(1.0 - rng.random::<f64>()).ln() / (base * max_factor);
                if at > until {
                    break;
                }
                let accepted = rng.random::<f64>() * max_factor < factor(at);
                let arrival = draw(organisation, number, kind, &scales, &preambles, at, rng);
                if accepted {
                    arrivals.push(arrival);
                }
            }
        }
    }
    arrivals.sort_by(|left, right| left.at.total_cmp(&right.at));
    arrivals
}

fn draw<R: Rng>(
    organisation: usize,
    number: usize,
    kind: &Kind,
    scales: &[f64],
    preambles: &[u32],
    at: f64,
    rng: &mut R,
) -> Arrival {
    let scale = scales[organisation];
    let prompt = lognormal(rng, kind.prompt_median, kind.prompt_spread).clamp(16.0, 6_000.0);
    let output = lognormal(rng, kind.output_median * scale, kind.output_spread);
    let prompt = prompt as u32;
    // Gate checks are too small to share a preamble worth caching.
    let preamble = if kind.class == TrafficClass::Urgent {
        0
    } else {
        preambles[organisation]
    };
    Arrival {
        at,
        organisation,
        pick: rng.random(),
        class: kind.class,
        prompt,
        length: (output as u32).clamp(1, kind.max_tokens),
        max_tokens: kind.max_tokens,
        preamble: preamble.min(prompt / 2),
        preamble_number: organisation * 3 + number,
        buffered: kind.buffered,
    }
}

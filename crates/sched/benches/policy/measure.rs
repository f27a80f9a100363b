//! What is measured of a run, and medians over runs.

use base::class::TrafficClass;

use crate::{entry, mix, world};

/// Counts of durations in buckets of 5 percent.
#[derive(Clone, Debug)]
struct LogHistogram {
    counts: Vec<u64>,
}

const LOWEST: f64 = 1e-4;
const GROWTH: f64 = 1.02;

impl Default for LogHistogram {
    fn default() -> Self {
        Self {
            counts: vec![0; 800],
        }
    }
}

impl LogHistogram {
    fn add(&mut self, seconds: f64) {
        let place = ((seconds / LOWEST).max(1.0).ln() / GROWTH.ln()) as usize;
        let last = self.counts.len() - 1;
        self.counts[place.min(last)] += 1;
    }

    fn quantile(&self, part: f64) -> f64 {
        let whole: u64 = self.counts.iter().sum();
        let wanted = (whole as f64 * part).ceil() as u64;
        let mut sum = 0;
        for (place, count) in self.counts.iter().enumerate() {
            sum += count;
            if sum >= wanted.max(1) {
                return LOWEST * GROWTH.powf(place as f64 + 0.5);
            }
        }
        0.0
    }
}

/// The measures of one run.
#[derive(Clone, Debug, Default)]
#[derive(serde::Serialize)]
pub struct Outcome {
    pub urgent_stall_p50: f64,
    pub urgent_stall_p99: f64,
    pub normal_stall_p99: f64,
    pub deferrable_wait_p99: f64,
    pub deferrable_wait_max: f64,
    pub preemptions: u64,
    pub preempted_roomy: u64,
    pub gap_p99: f64,
    pub urgent_gap_p99: f64,
    pub tokens_per_second: f64,
    pub refused_urgent: f64,
    pub refused_normal: f64,
    pub lost: u64,
    pub started_late: u64,
    /// Urgent stall, 99th of a hundred, of organisation 4, which is never the greedy one.
    pub other_urgent_p99: f64,
    /// Normal stall of the same.
    pub other_normal_p99: f64,
    #[serde(skip)]
    gaps: [LogHistogram; 3],
    #[serde(skip)]
    tokens: f64,
}

fn quantile(values: &mut [f64], part: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_by(f64::total_cmp);
    let place = (values.len() as f64 * part).ceil() as usize;
    values[place.clamp(1, values.len()) - 1]
}

impl Outcome {
    pub fn token(&mut self, now: f64) {
        if now >= world::WARM {
            self.tokens += 1.0;
        }
    }

    pub fn discard(&mut self, tokens: u32, now: f64) {
        if now >= world::WARM {
            self.tokens -= f64::from(tokens);
        }
    }

    pub fn preempted(&mut self, now: f64, free: u32) {
        if now >= world::WARM {
            self.preemptions += 1;
            self.preempted_roomy += u64::from(free > 150);
        }
    }

    pub fn gap(&mut self, class: TrafficClass, gap: f64, now: f64) {
        if now >= world::WARM {
            self.gaps[class.index()].add(gap);
        }
    }

    pub fn finish(mut self, requests: &[mix::Arrival], fates: &[world::Fate], until: f64) -> Self {
        let measured = || {
            let both = requests.iter().zip(fates);
            both.filter(|(arrival, _)| arrival.at >= world::WARM && arrival.at < until)
        };
        let stall = |arrival: &mix::Arrival, fate: &world::Fate| match fate.first_at {
            Some(first) => first - arrival.at + fate.pauses,
            // Refused or never begun: its caller waited as long as it may, or as it did.
            None => match arrival.class {
                TrafficClass::Urgent => (until - arrival.at).max(entry::URGENT_DEADLINE),
                TrafficClass::Normal => (until - arrival.at).max(entry::NORMAL_DEADLINE),
                TrafficClass::Deferrable => until - arrival.at,
            },
        };
        let stalls = |class: TrafficClass, organisation: Option<usize>| -> Vec<f64> {
            measured()
                .filter(|(arrival, fate)| {
                    arrival.class == class
                        && organisation.is_none_or(|wanted| wanted == arrival.organisation)
                        && (fate.first_at.is_some()
                            || fate.refused_at.is_some()
                            || class == TrafficClass::Deferrable
                            || until - arrival.at > entry::URGENT_DEADLINE)
                })
                .map(|(arrival, fate)| match fate.refused_at {
                    Some(_) if class == TrafficClass::Urgent => entry::URGENT_DEADLINE,
                    Some(_) => entry::NORMAL_DEADLINE,
                    None => stall(arrival, fate),
                })
                .collect()
        };
        let mut urgent = stalls(TrafficClass::Urgent, None);
        self.urgent_stall_p50 = quantile(&mut urgent, 0.5);
        self.urgent_stall_p99 = quantile(&mut urgent, 0.99);
        self.normal_stall_p99 = quantile(&mut stalls(TrafficClass::Normal, None), 0.99);
        let mut deferrable = stalls(TrafficClass::Deferrable, None);
        self.deferrable_wait_p99 = quantile(&mut deferrable, 0.99);
        self.deferrable_wait_max = deferrable.last().copied().unwrap_or(0.0);
        self.other_urgent_p99 = quantile(&mut stalls(TrafficClass::Urgent, Some(4)), 0.99);
        self.other_normal_p99 = quantile(&mut stalls(TrafficClass::Normal, Some(4)), 0.99);
        let refused = |class: TrafficClass| {
            let all = measured().filter(|(arrival, _)| arrival.class == class);
            let (mut count, mut refused) = (0.0, 0.0);
            for (_, fate) in all {
                count += 1.0;
                refused += f64::from(u8::from(fate.refused_at.is_some()));
            }
            refused / f64::max(count, 1.0)
        };
        self.refused_urgent = refused(TrafficClass::Urgent);
        self.refused_normal = refused(TrafficClass::Normal);
        self.lost = fates.iter().filter(|fate| fate.lost).count() as u64;
        let mut whole = LogHistogram::default();
        for gaps in &self.gaps {
            for (sum, count) in whole.counts.iter_mut().zip(&gaps.counts) {
                *sum += count;
            }
        }
        self.gap_p99 = whole.quantile(0.99);
        self.urgent_gap_p99 = self.gaps[0].quantile(0.99);
        self.tokens_per_second = self.tokens / (until - world::WARM);
        self
    }
}

/// Median and the quarters beside it.
#[derive(Clone, Copy, Debug, Default)]
#[derive(serde::Serialize)]
pub struct Spread {
    pub low: f64,
    pub median: f64,
    pub high: f64,
}

pub fn spread(values: impl Iterator<Item = f64>) -> Spread {
    let mut values: Vec<f64> = values.collect();
    Spread {
        low: quantile(&mut values, 0.25),
        median: quantile(&mut values, 0.5),
        high: quantile(&mut values, 0.75),
    }
}

//! Metrics of one run, and their medians over runs.

use base::class::TrafficClass;

use crate::{cluster, entry, mix};

/// Histogram of durations in logarithmic buckets.
#[derive(Clone, Debug)]
struct LogHistogram {
    counts: Vec<u64>,
}

const MIN_SECONDS: f64 = 1e-4;
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
        let index = ((seconds / MIN_SECONDS).max(1.0).ln() / GROWTH.ln()) as usize;
        let last = self.counts.len() - 1;
        self.counts[index.min(last)] += 1;
    }

    fn quantile(&self, fraction: f64) -> f64 {
        let total: u64 = self.counts.iter().sum();
        let rank = (total as f64 * fraction).ceil() as u64;
        let mut sum = 0;
        for (index, count) in self.counts.iter().enumerate() {
            sum += count;
            if sum >= rank.max(1) {
                return MIN_SECONDS * GROWTH.powf(index as f64 + 0.5);
            }
        }
        0.0
    }
}

/// Metrics of one run.
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
    /// 99th percentile of the urgent stall of organisation 4, which is never the greedy one.
    pub other_urgent_p99: f64,
    /// 99th percentile of the normal stall of organisation 4.
    pub other_normal_p99: f64,
    #[serde(skip)]
    gaps: [LogHistogram; 3],
    #[serde(skip)]
    tokens: f64,
}

fn quantile(values: &mut [f64], fraction: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_by(f64::total_cmp);
    let index = (values.len() as f64 * fraction).ceil() as usize;
    values[index.clamp(1, values.len()) - 1]
}

impl Outcome {
    pub fn token(&mut self, now: f64) {
        if now >= cluster::WARMUP_S {
            self.tokens += 1.0;
        }
    }

    pub fn discard(&mut self, tokens: u32, now: f64) {
        if now >= cluster::WARMUP_S {
            self.tokens -= f64::from(tokens);
        }
    }

    pub fn preempted(&mut self, now: f64, free: u32) {
        if now >= cluster::WARMUP_S {
            self.preemptions += 1;
            self.preempted_roomy += u64::from(free > 150);
        }
    }

    pub fn gap(&mut self, class: TrafficClass, gap: f64, now: f64) {
        if now >= cluster::WARMUP_S {
            self.gaps[class.index()].add(gap);
        }
    }

    pub fn finish(
        mut self,
        requests: &[mix::Arrival],
        states: &[cluster::RequestState],
        until: f64,
    ) -> Self {
        let measured = || {
            let both = requests.iter().zip(states);
            both.filter(|(arrival, _)| arrival.at >= cluster::WARMUP_S && arrival.at < until)
        };
        let stall = |arrival: &mix::Arrival, state: &cluster::RequestState| match state.first_at {
            Some(first) => first - arrival.at + state.pauses,
            // Refused or never started: the stall is the time the caller waited, but at least its
            // deadline.
            None => match arrival.class {
                TrafficClass::Urgent => (until - arrival.at).max(entry::URGENT_DEADLINE),
                TrafficClass::Normal => (until - arrival.at).max(entry::NORMAL_DEADLINE),
                TrafficClass::Deferrable => until - arrival.at,
            },
        };
        let stalls = |class: TrafficClass, organisation: Option<usize>| -> Vec<f64> {
            measured()
                .filter(|(arrival, state)| {
                    arrival.class == class
                        && organisation.is_none_or(|expected| expected == arrival.organisation)
                        && (state.first_at.is_some()
                            || state.refused_at.is_some()
                            || class == TrafficClass::Deferrable
                            || until - arrival.at > entry::URGENT_DEADLINE)
                })
                .map(|(arrival, state)| match state.refused_at {
                    Some(_) if class == TrafficClass::Urgent => entry::URGENT_DEADLINE,
                    Some(_) => entry::NORMAL_DEADLINE,
                    None => stall(arrival, state),
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
            for (_, state) in all {
                count += 1.0;
                refused += f64::from(u8::from(state.refused_at.is_some()));
            }
            refused / f64::max(count, 1.0)
        };
        self.refused_urgent = refused(TrafficClass::Urgent);
        self.refused_normal = refused(TrafficClass::Normal);
        self.lost = states.iter().filter(|state| state.lost).count() as u64;
        let mut total = LogHistogram::default();
        for gaps in &self.gaps {
            for (sum, count) in total.counts.iter_mut().zip(&gaps.counts) {
                *sum += count;
            }
        }
        self.gap_p99 = total.quantile(0.99);
        self.urgent_gap_p99 = self.gaps[0].quantile(0.99);
        self.tokens_per_second = self.tokens / (until - cluster::WARMUP_S);
        self
    }
}

/// Median and quartiles.
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

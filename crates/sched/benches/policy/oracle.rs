//! Oracle policy: a single queue with knowledge of the true lengths and loads at any time.
//!
//! Serves by class, then by the least-served organisation. Admits a request if the true future
//! memory, checked at the end of each running generation, fits into the engine, with slots reserved
//! for urgent work. The difference to the policy is the cost of delayed reports and unknown
//! lengths.

use std::collections;

use base::class::TrafficClass;

use crate::{
    engine,
    entry::{Action, Entry, Report, Retry, Truth},
    mix,
};

/// Slots of each batch reserved for urgent work.
const URGENT_SLOTS: usize = 4;

#[derive(Default)]
pub struct OracleEntry {
    queues: [Vec<(usize, Retry)>; 3],
    served: collections::HashMap<usize, f64>,
    /// Running requests of each engine, including those that have not reached it yet.
    placed: Vec<Vec<usize>>,
}

/// Current memory of a generation and the steps until its end.
#[derive(Clone, Copy)]
struct PredictedLoad {
    context: f64,
    remaining_steps: f64,
}

fn peak(held: &mut [PredictedLoad]) -> f64 {
    // Memory peaks at the end of a generation, because between ends all generations only grow.
    held.sort_by(|left, right| right.remaining_steps.total_cmp(&left.remaining_steps));
    let mut worst = 0.0f64;
    let mut sum = 0.0;
    for (index, last) in held.iter().enumerate() {
        sum += last.context;
        worst = worst.max(sum + (index + 1) as f64 * last.remaining_steps);
    }
    worst
}

impl OracleEntry {
    pub fn new(engines: usize) -> Self {
        Self {
            placed: vec![Vec::new(); engines],
            ..Self::default()
        }
    }

    fn fits(
        &self,
        number: usize,
        engine: &engine::Engine,
        arrival: &mix::Arrival,
        truth: &Truth<'_>,
    ) -> Option<f64> {
        let profile = engine.profile();
        let slots = profile.max_batch as usize;
        let reserved_slots = if arrival.class == TrafficClass::Urgent {
            0
        } else {
            URGENT_SLOTS
        };
        let placed = &self.placed[number];
        if engine.is_down() || placed.len() + reserved_slots >= slots {
            return None;
        }
        let rounding = f64::from(profile.block_tokens);
        let mut all: Vec<PredictedLoad> = placed
            .iter()
            .map(|&request| {
                let (held, done) = (&truth.requests[request], truth.states[request].produced);
                PredictedLoad {
                    context: f64::from(held.prompt + done) + rounding,
                    remaining_steps: f64::from(held.length.saturating_sub(done)),
                }
            })
            .collect();
        all.push(PredictedLoad {
            context: f64::from(arrival.prompt) + rounding,
            remaining_steps: f64::from(arrival.length),
        });
        // The engine itself keeps 1 percent free before it admits a generation.
        let capacity = 0.99 * f64::from(profile.total_blocks * profile.block_tokens);
        let urgent = if reserved_slots > 0 {
            0.02 * capacity
        } else {
            0.0
        };
        let peak = peak(&mut all);
        (peak <= capacity - urgent).then_some(peak / capacity + all.len() as f64 / slots as f64)
    }

    fn serve(&mut self, class: usize, truth: &Truth<'_>, actions: &mut Vec<Action>) -> bool {
        let mut best: Option<(f64, usize)> = None;
        let mut seen = 0u32;
        for (index, (request, _)) in self.queues[class].iter().enumerate() {
            let organisation = truth.requests[*request].organisation;
            if seen & (1 << organisation) != 0 {
                continue;
            }
            seen |= 1 << organisation;
            let served = self.served.get(&organisation).copied().unwrap_or(0.0);
            if best.is_none_or(|(min_served, _)| served < min_served) {
                best = Some((served, index));
            }
        }
        let Some((_, index)) = best else { return false };
        let (request, _) = self.queues[class][index];
        let arrival = &truth.requests[request];
        let engines = truth.engines.iter().enumerate();
        let fit = engines
            .filter_map(|(number, engine)| {
                Some((self.fits(number, engine, arrival, truth)?, number))
            })
            .min_by(|left, right| left.0.total_cmp(&right.0));
        let Some((_, engine)) = fit else { return false };
        self.queues[class].remove(index);
        self.placed[engine].push(request);
        *self.served.entry(arrival.organisation).or_default() += f64::from(arrival.length);
        actions.push(Action::Start {
            request,
            engine,
            priority: class as u8,
        });
        true
    }

    fn leave(&mut self, request: usize) {
        for placed in &mut self.placed {
            placed.retain(|held| *held != request);
        }
    }
}

impl Entry for OracleEntry {
    fn submit(&mut self, request: usize, arrival: &mix::Arrival, retry: Retry, _now: f64) {
        let queue = &mut self.queues[arrival.class.index()];
        if retry.attempts > 0 {
            queue.insert(0, (request, retry));
        } else {
            queue.push((request, retry));
        }
    }

    fn poll(&mut self, _now: f64, truth: &Truth<'_>, actions: &mut Vec<Action>) {
        for class in 0..3 {
            while self.serve(class, truth, actions) {}
        }
    }

    fn wake(&self, _now: f64) -> Option<f64> {
        None
    }

    fn token(&mut self, _request: usize, _now: f64) {}

    fn finished(&mut self, request: usize, _produced: u32, _cached: u32, _now: f64) {
        self.leave(request);
    }

    fn failed(&mut self, request: usize, _now: f64) {
        self.leave(request);
    }

    fn requeued(&mut self, request: usize, _now: f64) {
        self.leave(request);
    }

    fn report(&mut self, _engine: usize, _report: Report) {}
}

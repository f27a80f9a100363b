//! An oracle: one queue for everything, told true lengths and true loads at every moment.
//!
//! Serves by class, then by the least-served organisation. Admits where the true future memory,
//! at each end of a running generation, stays within the engine, with places kept for urgent
//! work. Its lead over the policy is what lag and unknown lengths cost.

use std::collections;

use base::class::TrafficClass;

use crate::{
    engine,
    entry::{Action, Entry, Report, Retry, Truth},
    mix,
};

/// Places of each batch that only urgent work gets.
const URGENT_SLOTS: usize = 4;

#[derive(Default)]
pub struct OracleEntry {
    queues: [Vec<(usize, Retry)>; 3],
    served: collections::HashMap<usize, f64>,
    /// Started, perhaps not yet seen in the engine.
    placed: Vec<Vec<usize>>,
}

/// A generation's memory now and the steps until it ends.
#[derive(Clone, Copy)]
struct Held {
    context: f64,
    rest: f64,
}

fn peak(held: &mut [Held]) -> f64 {
    // The peak is at an end: between ends everything only grows.
    held.sort_by(|left, right| right.rest.total_cmp(&left.rest));
    let mut worst = 0.0f64;
    let mut sum = 0.0;
    for (place, last) in held.iter().enumerate() {
        sum += last.context;
        worst = worst.max(sum + (place + 1) as f64 * last.rest);
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
        let kept = if arrival.class == TrafficClass::Urgent {
            0
        } else {
            URGENT_SLOTS
        };
        let placed = &self.placed[number];
        if engine.is_down() || placed.len() + kept >= slots {
            return None;
        }
        let rounding = f64::from(profile.block_tokens);
        let mut all: Vec<Held> = placed
            .iter()
            .map(|&request| {
                let (held, done) = (&truth.requests[request], truth.fates[request].produced);
                Held {
                    context: f64::from(held.prompt + done) + rounding,
                    rest: f64::from(held.length.saturating_sub(done)),
                }
            })
            .collect();
        all.push(Held {
            context: f64::from(arrival.prompt) + rounding,
            rest: f64::from(arrival.length),
        });
        // The engine itself keeps a hundredth free before it admits.
        let capacity = 0.99 * f64::from(profile.total_blocks * profile.block_tokens);
        let urgent = if kept > 0 { 0.02 * capacity } else { 0.0 };
        let peak = peak(&mut all);
        (peak <= capacity - urgent).then_some(peak / capacity + all.len() as f64 / slots as f64)
    }

    fn serve(&mut self, class: usize, truth: &Truth<'_>, actions: &mut Vec<Action>) -> bool {
        let mut best: Option<(f64, usize)> = None;
        let mut seen = 0u32;
        for (place, (request, _)) in self.queues[class].iter().enumerate() {
            let organisation = truth.requests[*request].organisation;
            if seen & (1 << organisation) != 0 {
                continue;
            }
            seen |= 1 << organisation;
            let served = self.served.get(&organisation).copied().unwrap_or(0.0);
            if best.is_none_or(|(least, _)| served < least) {
                best = Some((served, place));
            }
        }
        let Some((_, place)) = best else { return false };
        let (request, _) = self.queues[class][place];
        let arrival = &truth.requests[request];
        let engines = truth.engines.iter().enumerate();
        let fit = engines
            .filter_map(|(number, engine)| {
                Some((self.fits(number, engine, arrival, truth)?, number))
            })
            .min_by(|left, right| left.0.total_cmp(&right.0));
        let Some((_, engine)) = fit else { return false };
        self.queues[class].remove(place);
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
        if retry.tries > 0 {
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

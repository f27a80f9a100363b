//! Baselines for the policy: round robin, fewest outstanding requests, and a simple queueing
//! policy.

use std::collections;

use base::class::TrafficClass;
use rand::{Rng as _, SeedableRng as _, rngs};

use crate::{
    entry::{Action, Entry, Report, Retry, Truth},
    mix,
};

/// Sends each request to an engine at once.
pub struct DirectEntry {
    engines: usize,
    /// Whether to choose the engine with the fewest outstanding requests of this VM instead of
    /// round robin.
    fewest: bool,
    /// Whether the class is passed on as the engine's priority.
    priorities: bool,
    next: usize,
    outstanding: Vec<u32>,
    assignments: collections::HashMap<usize, usize>,
    arrived: Vec<(usize, TrafficClass, Retry)>,
    rng: rngs::StdRng,
}

impl DirectEntry {
    pub fn new(engines: usize, fewest: bool, priorities: bool, seed: u64) -> Self {
        Self {
            engines,
            fewest,
            priorities,
            next: seed as usize % engines,
            outstanding: vec![0; engines],
            assignments: collections::HashMap::new(),
            arrived: Vec::new(),
            rng: rngs::StdRng::seed_from_u64(seed),
        }
    }

    fn choose(&mut self, retry: Retry) -> usize {
        if self.fewest {
            let rng = &mut self.rng;
            let engines = (0..self.engines).filter(|engine| Some(*engine) != retry.avoid);
            return engines
                .min_by_key(|&engine| (self.outstanding[engine], rng.next_u32()))
                .expect("there are several engines");
        }
        self.next = (self.next + 1) % self.engines;
        if Some(self.next) == retry.avoid {
            self.next = (self.next + 1) % self.engines;
        }
        self.next
    }

    fn leave(&mut self, request: usize) {
        if let Some(engine) = self.assignments.remove(&request) {
            self.outstanding[engine] -= 1;
        }
    }
}

impl Entry for DirectEntry {
    fn submit(&mut self, request: usize, arrival: &mix::Arrival, retry: Retry, _now: f64) {
        self.arrived.push((request, arrival.class, retry));
    }

    fn poll(&mut self, _now: f64, _truth: &Truth<'_>, actions: &mut Vec<Action>) {
        for (request, class, retry) in std::mem::take(&mut self.arrived) {
            let engine = self.choose(retry);
            self.outstanding[engine] += 1;
            self.assignments.insert(request, engine);
            let priority = if self.priorities {
                class.index() as u8
            } else {
                1
            };
            actions.push(Action::Start {
                request,
                engine,
                priority,
            });
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

    fn requeued(&mut self, _request: usize, _now: f64) {}

    fn report(&mut self, _engine: usize, _report: Report) {}
}

/// The scheduler's first version: one first-come-first-served queue per class, and the engine with
/// the fewest generations of this VM. At most the engine's batch divided by the number of entry VMs
/// is in flight per engine.
pub struct FirstEntry {
    queues: [collections::VecDeque<(usize, Retry)>; 3],
    max_in_flight: u32,
    direct: DirectEntry,
}

impl FirstEntry {
    pub fn new(engines: usize, max_batch: usize, entries: usize, seed: u64) -> Self {
        Self {
            queues: Default::default(),
            max_in_flight: max_batch.div_ceil(entries) as u32,
            direct: DirectEntry::new(engines, true, true, seed),
        }
    }
}

impl Entry for FirstEntry {
    fn submit(&mut self, request: usize, arrival: &mix::Arrival, retry: Retry, _now: f64) {
        self.queues[arrival.class.index()].push_back((request, retry));
    }

    fn poll(&mut self, _now: f64, _truth: &Truth<'_>, actions: &mut Vec<Action>) {
        for priority in 0..3 {
            while let Some(&(request, retry)) = self.queues[priority].front() {
                let engine = self.direct.choose(retry);
                if self.direct.outstanding[engine] >= self.max_in_flight {
                    break;
                }
                self.queues[priority].pop_front();
                self.direct.outstanding[engine] += 1;
                self.direct.assignments.insert(request, engine);
                let priority = priority as u8;
                actions.push(Action::Start {
                    request,
                    engine,
                    priority,
                });
            }
        }
    }

    fn wake(&self, _now: f64) -> Option<f64> {
        None
    }

    fn token(&mut self, _request: usize, _now: f64) {}

    fn finished(&mut self, request: usize, _produced: u32, _cached: u32, _now: f64) {
        self.direct.leave(request);
    }

    fn failed(&mut self, request: usize, _now: f64) {
        self.direct.leave(request);
    }

    fn requeued(&mut self, _request: usize, _now: f64) {}

    fn report(&mut self, _engine: usize, _report: Report) {}
}

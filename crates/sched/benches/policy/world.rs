//! Entry VMs before engines on virtual time, with lagged reports and faults.

use std::{cmp, collections};

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use sched::share;

use crate::{
    engine::{Engine, EngineSize, Output, Work},
    entry::{Action, Entry, Report, Retry, Truth},
    measure::Outcome,
    mix,
};

/// One-way latency between an entry VM and an engine, in seconds.
const LATENCY: f64 = 0.001;

/// Seconds between two reports of one engine.
const REPORT_INTERVAL: f64 = 0.5;

/// Seconds between two digests of one entry VM.
const DIGEST_INTERVAL: f64 = 1.0;

/// Nothing before this is measured.
pub const WARM: f64 = 30.0;

/// A fault of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// Engine 0 dies and comes back empty.
    Dies {
        at: f64,
        back: f64,
    },
    /// Engine 0 runs at half speed.
    Slow {
        from: f64,
        to: f64,
    },
}

/// Everything about a run but the policy.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub engines: usize,
    pub entries: usize,
    pub size: EngineSize,
    /// Age of a report when it arrives, in seconds: uniform between half of this and this.
    pub lag: f64,
    pub fault: Fault,
    pub until: f64,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive(usize),
    Step(usize),
    Start {
        engine: usize,
        request: usize,
        priority: u8,
    },
    Stop {
        engine: usize,
        request: usize,
    },
    Stopped(usize),
    Deliver {
        engine: usize,
        output: Output,
    },
    Failed {
        request: usize,
        engine: usize,
    },
    Take(usize),
    Report {
        entry: usize,
        engine: usize,
        report: Report,
    },
    TakeDigest(usize),
    Digest {
        entry: usize,
        from: usize,
        digest: share::EntryDigest,
        taken_at: f64,
    },
    Wake(usize),
    Fault(usize),
}

struct Timed {
    at: f64,
    number: u64,
    event: Event,
}

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Timed {}

impl Ord for Timed {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        let times = other.at.total_cmp(&self.at);
        times.then_with(|| other.number.cmp(&self.number))
    }
}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// What became of one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fate {
    pub entry: usize,
    pub tries: u32,
    pub engine: usize,
    pub first_at: Option<f64>,
    pub last_at: f64,
    pub produced: u32,
    pub pauses: f64,
    pub preempted: u32,
    pub done_at: Option<f64>,
    pub refused_at: Option<f64>,
    pub lost: bool,
}

pub struct World<'a> {
    setup: Setup,
    requests: &'a [mix::Arrival],
    entries: Vec<Box<dyn Entry>>,
    engines: Vec<Engine>,
    stepping: Vec<bool>,
    fates: Vec<Fate>,
    heap: collections::BinaryHeap<Timed>,
    number: u64,
    now: f64,
    wakes: Vec<f64>,
    actions: Vec<Action>,
    outputs: Vec<Output>,
    rng: ChaCha8Rng,
    outcome: Outcome,
}

impl<'a> World<'a> {
    pub fn new(
        setup: Setup,
        requests: &'a [mix::Arrival],
        entries: Vec<Box<dyn Entry>>,
        seed: u64,
    ) -> Self {
        let count = entries.len();
        let mut world = Self {
            setup,
            requests,
            engines: vec![Engine::new(setup.size); setup.engines],
            stepping: vec![false; setup.engines],
            fates: vec![Fate::default(); requests.len()],
            heap: collections::BinaryHeap::new(),
            number: 0,
            now: 0.0,
            wakes: vec![f64::INFINITY; count],
            actions: Vec::new(),
            outputs: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            outcome: Outcome::default(),
            entries,
        };
        for engine in 0..setup.engines {
            world.at(
                REPORT_INTERVAL * engine as f64 / setup.engines as f64,
                Event::Take(engine),
            );
        }
        for entry in 0..count {
            let offset = DIGEST_INTERVAL * entry as f64 / count as f64;
            world.at(offset, Event::TakeDigest(entry));
        }
        match setup.fault {
            Fault::None => {}
            Fault::Dies { at, back } => {
                world.at(at, Event::Fault(0));
                world.at(back, Event::Fault(1));
            }
            Fault::Slow { from, to } => {
                world.at(from, Event::Fault(2));
                world.at(to, Event::Fault(3));
            }
        }
        if !requests.is_empty() {
            world.at(requests[0].at, Event::Arrive(0));
        }
        world
    }

    fn at(&mut self, at: f64, event: Event) {
        self.number += 1;
        self.heap.push(Timed {
            at,
            number: self.number,
            event,
        });
    }

    /// Runs to the end and returns what was measured.
    pub fn run(mut self) -> (Outcome, Vec<Fate>) {
        while let Some(timed) = self.heap.pop() {
            if timed.at > self.setup.until {
                break;
            }
            self.now = timed.at;
            self.handle(timed.event);
        }
        let preemptions = self
            .engines
            .iter()
            .map(|engine| engine.preemptions)
            .sum::<u64>();
        self.outcome.preemptions += preemptions;
        let outcome = self
            .outcome
            .finish(self.requests, &self.fates, self.setup.until);
        (outcome, self.fates)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Step(engine) => self.step(engine),
            Event::Start {
                engine,
                request,
                priority,
            } => self.start(engine, request, priority),
            Event::Stop { engine, request } => {
                self.engines[engine].cancel(request);
                self.outcome.preemptions += 1;
                self.fates[request].preempted += 1;
                self.at(self.now + LATENCY, Event::Stopped(request));
            }
            Event::Stopped(request) => {
                let fate = &mut self.fates[request];
                if fate.done_at.is_some() {
                    return;
                }
                self.outcome.discard(fate.produced, self.now);
                fate.produced = 0;
                let entry = fate.entry;
                self.entries[entry].requeued(request, self.now);
                self.poll(entry);
            }
            Event::Deliver { engine, output } => self.deliver(engine, output),
            Event::Failed { request, engine } => self.fail(request, engine),
            Event::Take(engine) => self.take_report(engine),
            Event::Report {
                entry,
                engine,
                report,
            } => {
                self.entries[entry].report(engine, report);
                self.poll(entry);
            }
            Event::TakeDigest(entry) => self.take_digest(entry),
            Event::Digest {
                entry,
                from,
                digest,
                taken_at,
            } => {
                self.entries[entry].take_digest(from, digest, taken_at);
            }
            Event::Wake(entry) => {
                if self.wakes[entry] <= self.now {
                    self.wakes[entry] = f64::INFINITY;
                    self.poll(entry);
                }
            }
            Event::Fault(number) => self.fault(number),
        }
    }

    fn arrive(&mut self, request: usize) {
        let arrival = self.requests[request];
        // Each organisation's callers are told three entry VMs.
        let count = self.entries.len();
        let entry = (arrival.organisation * 3 + arrival.pick as usize % 3) % count;
        self.fates[request].entry = entry;
        self.entries[entry].submit(request, &arrival, Retry::default(), self.now);
        self.poll(entry);
        if let Some(next) = self.requests.get(request + 1) {
            self.at(next.at, Event::Arrive(request + 1));
        }
    }

    fn poll(&mut self, entry: usize) {
        let mut actions = std::mem::take(&mut self.actions);
        let truth = Truth {
            engines: &self.engines,
            requests: self.requests,
        };
        self.entries[entry].poll(self.now, &truth, &mut actions);
        for action in actions.drain(..) {
            let at = self.now + LATENCY;
            match action {
                Action::Start {
                    request,
                    engine,
                    priority,
                } => {
                    self.fates[request].engine = engine;
                    self.at(
                        at,
                        Event::Start {
                            engine,
                            request,
                            priority,
                        },
                    );
                }
                Action::Stop { request, engine } => self.at(at, Event::Stop { engine, request }),
                Action::Refuse { request } => self.fates[request].refused_at = Some(self.now),
            }
        }
        self.actions = actions;
        if let Some(wake) = self.entries[entry].wake(self.now)
            && wake < self.wakes[entry]
        {
            self.wakes[entry] = wake;
            self.at(wake, Event::Wake(entry));
        }
    }

    fn start(&mut self, engine: usize, request: usize, priority: u8) {
        if !self.engines[engine].alive {
            self.at(self.now + LATENCY, Event::Failed { request, engine });
            return;
        }
        let arrival = &self.requests[request];
        self.engines[engine].submit(Work {
            request,
            priority,
            prompt: arrival.prompt,
            length: arrival.length,
            prefix: arrival.prefix,
        });
        if !self.stepping[engine] {
            self.step(engine);
        }
    }

    fn step(&mut self, engine: usize) {
        self.stepping[engine] = false;
        if !self.engines[engine].alive || self.engines[engine].idle() {
            return;
        }
        let mut outputs = std::mem::take(&mut self.outputs);
        let time = self.engines[engine].step(&mut outputs);
        let end = self.now + time;
        for output in outputs.drain(..) {
            self.at(end + LATENCY, Event::Deliver { engine, output });
        }
        self.outputs = outputs;
        self.stepping[engine] = true;
        self.at(end, Event::Step(engine));
    }

    fn deliver(&mut self, engine: usize, output: Output) {
        match output {
            Output::Token { request } => {
                let fate = &mut self.fates[request];
                if fate.engine != engine || fate.done_at.is_some() {
                    return;
                }
                let class = self.requests[request].class;
                if fate.first_at.is_none() {
                    fate.first_at = Some(self.now);
                } else if fate.produced > 0 {
                    let gap = self.now - fate.last_at;
                    fate.pauses += (gap - 4.0 * self.setup.size.step_base).max(0.0);
                    self.outcome.gap(class, gap, self.now);
                }
                fate.last_at = self.now;
                fate.produced += 1;
                self.outcome.token(self.now);
                self.entries[fate.entry].token(request, self.now);
            }
            Output::Finished { request, cached } => {
                let fate = &mut self.fates[request];
                if fate.engine != engine || fate.done_at.is_some() {
                    return;
                }
                fate.done_at = Some(self.now);
                let (entry, produced) = (fate.entry, fate.produced);
                self.entries[entry].finished(request, produced, cached, self.now);
                self.poll(entry);
            }
            Output::Preempted { request } => self.fates[request].preempted += 1,
        }
    }

    fn fail(&mut self, request: usize, engine: usize) {
        let arrival = self.requests[request];
        let fate = &mut self.fates[request];
        if fate.done_at.is_some() || fate.engine != engine {
            return;
        }
        let entry = fate.entry;
        self.entries[entry].failed(request, self.now);
        if fate.produced > 0 && !arrival.buffered {
            fate.lost = true;
            fate.done_at = Some(self.now);
        } else {
            self.outcome.discard(fate.produced, self.now);
            fate.produced = 0;
            fate.tries += 1;
            let retry = Retry {
                tries: fate.tries,
                avoid: Some(engine),
            };
            self.entries[entry].submit(request, &arrival, retry, self.now);
        }
        self.poll(entry);
    }

    fn take_report(&mut self, engine: usize) {
        let held = &self.engines[engine];
        let report = Report {
            taken_at: self.now,
            free_blocks: held.free_blocks(),
            running: held.running() as u32,
            waiting: held.waiting() as u32,
            preemptions: held.preemptions,
        };
        if held.alive {
            for entry in 0..self.entries.len() {
                let age = self.setup.lag * self.rng.random_range(0.5..1.0);
                self.at(
                    self.now + age,
                    Event::Report {
                        entry,
                        engine,
                        report,
                    },
                );
            }
        }
        self.at(self.now + REPORT_INTERVAL, Event::Take(engine));
    }

    fn take_digest(&mut self, from: usize) {
        if let Some(digest) = self.entries[from].digest(self.now) {
            for entry in (0..self.entries.len()).filter(|entry| *entry != from) {
                let age = self.setup.lag * self.rng.random_range(0.5..1.0);
                let taken_at = self.now;
                let event = Event::Digest {
                    entry,
                    from,
                    digest,
                    taken_at,
                };
                self.at(self.now + age, event);
            }
        }
        self.at(self.now + DIGEST_INTERVAL, Event::TakeDigest(from));
    }

    fn fault(&mut self, number: usize) {
        match number {
            0 => {
                for request in self.engines[0].die() {
                    self.at(self.now + LATENCY, Event::Failed { request, engine: 0 });
                }
            }
            1 => self.engines[0].alive = true,
            2 => self.engines[0].speed = 0.5,
            _ => self.engines[0].speed = 1.0,
        }
    }
}

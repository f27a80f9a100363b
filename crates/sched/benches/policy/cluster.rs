//! Simulated test cluster: entry VMs and engines in virtual time, with delayed reports and faults.

use std::{cmp, collections, sync};

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use sched::share;
use stand::engine::{EngineProfile, feeds::CacheEvent};

use crate::{
    engine::{self, Engine, EngineUpdate},
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

/// Warm-up time in seconds, during which nothing is measured.
pub const WARMUP_S: f64 = 30.0;

/// Injected fault of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// Engine 0 dies and later restarts empty.
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

/// Configuration of a run except the policy.
#[derive(Clone, Debug)]
pub struct Setup {
    pub engines: usize,
    pub entries: usize,
    pub profile: EngineProfile,
    /// Maximum age of a report on arrival, in seconds. The age is uniform between half of it and
    /// it.
    pub lag: f64,
    pub fault: Fault,
    pub until: f64,
}

#[derive(Clone, Debug)]
enum Event {
    Arrive(usize),
    Step(usize, u64),
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
        update: EngineUpdate,
    },
    Failed {
        request: usize,
        engine: usize,
    },
    TakeReport(usize),
    Report {
        entry: usize,
        engine: usize,
        report: Report,
    },
    Prefixes {
        entry: usize,
        engine: usize,
        events: sync::Arc<Vec<CacheEvent>>,
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

struct TimedEvent {
    at: f64,
    number: u64,
    event: Event,
}

impl PartialEq for TimedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for TimedEvent {}

impl Ord for TimedEvent {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        let times = other.at.total_cmp(&self.at);
        times.then_with(|| other.number.cmp(&self.number))
    }
}

impl PartialOrd for TimedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// State of one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestState {
    pub entry: usize,
    pub attempts: u32,
    pub engine: usize,
    /// Whether an engine has accepted the request.
    pub started: bool,
    pub first_at: Option<f64>,
    pub last_at: f64,
    pub produced: u32,
    pub pauses: f64,
    pub preempted: u32,
    pub done_at: Option<f64>,
    pub refused_at: Option<f64>,
    pub lost: bool,
}

pub struct TestCluster<'a> {
    setup: Setup,
    requests: &'a [mix::Arrival],
    entries: Vec<Box<dyn Entry>>,
    engines: Vec<Engine>,
    /// Number of the valid step event of each engine; older ones are stale because the engine's
    /// next wake-up has moved.
    steps: Vec<u64>,
    states: Vec<RequestState>,
    heap: collections::BinaryHeap<TimedEvent>,
    number: u64,
    now: f64,
    wakes: Vec<f64>,
    actions: Vec<Action>,
    updates: Vec<EngineUpdate>,
    unloaded_step: f64,
    rng: ChaCha8Rng,
    outcome: Outcome,
}

impl<'a> TestCluster<'a> {
    pub fn new(
        setup: Setup,
        requests: &'a [mix::Arrival],
        entries: Vec<Box<dyn Entry>>,
        seed: u64,
    ) -> Self {
        let count = entries.len();
        let mut cluster = Self {
            requests,
            engines: (0..setup.engines)
                .map(|_| Engine::new(setup.profile.clone()))
                .collect(),
            steps: vec![0; setup.engines],
            unloaded_step: engine::unloaded_step(&setup.profile),
            states: vec![RequestState::default(); requests.len()],
            heap: collections::BinaryHeap::new(),
            number: 0,
            now: 0.0,
            wakes: vec![f64::INFINITY; count],
            actions: Vec::new(),
            updates: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            outcome: Outcome::default(),
            entries,
            setup,
        };
        for engine in 0..cluster.engines.len() {
            cluster.at(
                REPORT_INTERVAL * engine as f64 / cluster.engines.len() as f64,
                Event::TakeReport(engine),
            );
        }
        for entry in 0..count {
            let offset = DIGEST_INTERVAL * entry as f64 / count as f64;
            cluster.at(offset, Event::TakeDigest(entry));
        }
        match cluster.setup.fault {
            Fault::None => {}
            Fault::Dies { at, back } => {
                cluster.at(at, Event::Fault(0));
                cluster.at(back, Event::Fault(1));
            }
            Fault::Slow { from, to } => {
                cluster.at(from, Event::Fault(2));
                cluster.at(to, Event::Fault(3));
            }
        }
        if !requests.is_empty() {
            cluster.at(requests[0].at, Event::Arrive(0));
        }
        cluster
    }

    fn at(&mut self, at: f64, event: Event) {
        self.number += 1;
        self.heap.push(TimedEvent {
            at,
            number: self.number,
            event,
        });
    }

    /// Runs to the end and returns the metrics and the state of each request.
    pub fn run(mut self) -> (Outcome, Vec<RequestState>) {
        while let Some(timed) = self.heap.pop() {
            if timed.at > self.setup.until {
                break;
            }
            self.now = timed.at;
            self.handle(timed.event);
        }
        let outcome = self
            .outcome
            .finish(self.requests, &self.states, self.setup.until);
        (outcome, self.states)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Step(engine, number) => {
                if self.steps[engine] == number {
                    self.step(engine);
                }
            }
            Event::Start {
                engine,
                request,
                priority,
            } => self.start(engine, request, priority),
            Event::Stop { engine, request } => {
                self.engines[engine].cancel(request, self.states[request].attempts, self.now);
                self.step(engine);
                self.outcome.preempted(self.now, 0);
                self.states[request].preempted += 1;
                self.at(self.now + LATENCY, Event::Stopped(request));
            }
            Event::Stopped(request) => {
                let state = &mut self.states[request];
                if state.done_at.is_some() {
                    return;
                }
                self.outcome.discard(state.produced, self.now);
                state.produced = 0;
                state.attempts += 1;
                state.started = false;
                let entry = state.entry;
                self.entries[entry].requeued(request, self.now);
                self.poll(entry);
            }
            Event::Deliver { engine, update } => self.deliver(engine, update),
            Event::Failed { request, engine } => self.fail(request, engine),
            Event::TakeReport(engine) => self.take_report(engine),
            Event::Report {
                entry,
                engine,
                report,
            } => {
                self.entries[entry].report(engine, report);
                self.poll(entry);
            }
            Event::Prefixes {
                entry,
                engine,
                events,
            } => {
                for event in events.iter() {
                    let at = event.at_ms as f64 * 1e-3;
                    self.entries[entry].prefix(engine, event, at);
                }
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
        // The callers of each organisation use three entry VMs.
        let count = self.entries.len();
        let entry = (arrival.organisation * 3 + arrival.pick as usize % 3) % count;
        self.states[request].entry = entry;
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
            states: &self.states,
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
                    self.states[request].engine = engine;
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
                Action::Refuse { request } => self.states[request].refused_at = Some(self.now),
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
        let arrival = &self.requests[request];
        let attempts = self.states[request].attempts;
        let taken = self.engines[engine].start(request, attempts, arrival, priority, self.now);
        if taken {
            self.states[request].started = true;
            self.step(engine);
        } else {
            self.at(self.now + LATENCY, Event::Failed { request, engine });
        }
    }

    /// Delivers the engine's progress until now and schedules its next step.
    fn step(&mut self, engine: usize) {
        let mut updates = std::mem::take(&mut self.updates);
        self.engines[engine].step(self.now, &mut updates);
        for update in updates.drain(..) {
            self.at(self.now + LATENCY, Event::Deliver { engine, update });
        }
        self.updates = updates;
        self.steps[engine] += 1;
        if let Some(wake) = self.engines[engine].next_wake() {
            // The margin keeps rounding to whole nanoseconds from waking the engine just before its
            // time.
            self.at(
                wake.max(self.now) + 1e-9,
                Event::Step(engine, self.steps[engine]),
            );
        }
    }

    fn deliver(&mut self, engine: usize, update: EngineUpdate) {
        match update {
            EngineUpdate::Token { request } => {
                let state = &mut self.states[request];
                if state.engine != engine || state.done_at.is_some() {
                    return;
                }
                let class = self.requests[request].class;
                if state.first_at.is_none() {
                    state.first_at = Some(self.now);
                } else if state.produced > 0 {
                    let gap = self.now - state.last_at;
                    state.pauses += (gap - 4.0 * self.unloaded_step).max(0.0);
                    self.outcome.gap(class, gap, self.now);
                }
                state.last_at = self.now;
                state.produced += 1;
                self.outcome.token(self.now);
                self.entries[state.entry].token(request, self.now);
            }
            EngineUpdate::Finished { request, cached } => {
                let state = &mut self.states[request];
                if state.engine != engine || state.done_at.is_some() {
                    return;
                }
                state.done_at = Some(self.now);
                let (entry, produced) = (state.entry, state.produced);
                self.entries[entry].finished(request, produced, cached, self.now);
                self.poll(entry);
            }
            EngineUpdate::Preempted { request } => {
                self.states[request].preempted += 1;
                let held = &self.engines[engine];
                self.outcome.preempted(self.now, held.free_blocks());
            }
        }
    }

    fn fail(&mut self, request: usize, engine: usize) {
        let arrival = self.requests[request];
        let state = &mut self.states[request];
        if state.done_at.is_some() || state.engine != engine {
            return;
        }
        let entry = state.entry;
        self.entries[entry].failed(request, self.now);
        if state.produced > 0 && !arrival.buffered {
            state.lost = true;
            state.done_at = Some(self.now);
        } else {
            self.outcome.discard(state.produced, self.now);
            state.produced = 0;
            state.attempts += 1;
            state.started = false;
            let retry = Retry {
                attempts: state.attempts,
                avoid: Some(engine),
            };
            self.entries[entry].submit(request, &arrival, retry, self.now);
        }
        self.poll(entry);
    }

    fn take_report(&mut self, engine: usize) {
        let load = self.engines[engine].load(self.now);
        let events = sync::Arc::new(self.engines[engine].cache_events(self.now));
        if let Some(load) = load {
            let report = Report {
                taken_at: self.now - load.taken_ms_ago as f64 * 1e-3,
                free_blocks: load.free_blocks,
                running: load.running,
                waiting: load.waiting,
                preemptions: load.preemptions,
            };
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
                let events = events.clone();
                self.at(
                    self.now + age,
                    Event::Prefixes {
                        entry,
                        engine,
                        events,
                    },
                );
            }
        }
        self.at(self.now + REPORT_INTERVAL, Event::TakeReport(engine));
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
                self.engines[0].crash(self.now);
                for request in 0..self.states.len() {
                    let state = &self.states[request];
                    let runs = state.started && state.engine == 0 && state.done_at.is_none();
                    if runs {
                        self.at(self.now + LATENCY, Event::Failed { request, engine: 0 });
                    }
                }
            }
            1 => self.engines[0].restart(self.now),
            2 => self.engines[0].set_slow_factor(2.0, self.now),
            _ => self.engines[0].set_slow_factor(1.0, self.now),
        }
    }
}

//! Entry VMs before engines on virtual time, with lagged reports and faults.

use std::{cmp, collections, sync};

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use sched::share;
use stand::engine::{EngineProfile, feeds::CacheEvent};

use crate::{
    engine::{self, Engine, EngineNews},
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
#[derive(Clone, Debug)]
pub struct Setup {
    pub engines: usize,
    pub entries: usize,
    pub profile: EngineProfile,
    /// Age of a report when it arrives, in seconds: uniform between half of this and this.
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
        news: EngineNews,
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
    /// Whether an engine has it.
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

pub struct World<'a> {
    setup: Setup,
    requests: &'a [mix::Arrival],
    entries: Vec<Box<dyn Entry>>,
    engines: Vec<Engine>,
    /// Number of the step event that counts, by engine: an engine's next wake may move.
    steps: Vec<u64>,
    fates: Vec<Fate>,
    heap: collections::BinaryHeap<Timed>,
    number: u64,
    now: f64,
    wakes: Vec<f64>,
    actions: Vec<Action>,
    news: Vec<EngineNews>,
    unloaded_step: f64,
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
            requests,
            engines: (0..setup.engines)
                .map(|_| Engine::new(setup.profile.clone()))
                .collect(),
            steps: vec![0; setup.engines],
            unloaded_step: engine::unloaded_step(&setup.profile),
            fates: vec![Fate::default(); requests.len()],
            heap: collections::BinaryHeap::new(),
            number: 0,
            now: 0.0,
            wakes: vec![f64::INFINITY; count],
            actions: Vec::new(),
            news: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            outcome: Outcome::default(),
            entries,
            setup,
        };
        for engine in 0..world.engines.len() {
            world.at(
                REPORT_INTERVAL * engine as f64 / world.engines.len() as f64,
                Event::Take(engine),
            );
        }
        for entry in 0..count {
            let offset = DIGEST_INTERVAL * entry as f64 / count as f64;
            world.at(offset, Event::TakeDigest(entry));
        }
        match world.setup.fault {
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
        let outcome = self
            .outcome
            .finish(self.requests, &self.fates, self.setup.until);
        (outcome, self.fates)
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
                self.engines[engine].cancel(request, self.fates[request].tries, self.now);
                self.step(engine);
                self.outcome.preempted(self.now, 0);
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
                fate.tries += 1;
                fate.started = false;
                let entry = fate.entry;
                self.entries[entry].requeued(request, self.now);
                self.poll(entry);
            }
            Event::Deliver { engine, news } => self.deliver(engine, news),
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
            fates: &self.fates,
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
        let arrival = &self.requests[request];
        let tries = self.fates[request].tries;
        let taken = self.engines[engine].start(request, tries, arrival, priority, self.now);
        if taken {
            self.fates[request].started = true;
            self.step(engine);
        } else {
            self.at(self.now + LATENCY, Event::Failed { request, engine });
        }
    }

    /// Hands on what the engine did until now and notes when it does more.
    fn step(&mut self, engine: usize) {
        let mut news = std::mem::take(&mut self.news);
        self.engines[engine].step(self.now, &mut news);
        for news in news.drain(..) {
            self.at(self.now + LATENCY, Event::Deliver { engine, news });
        }
        self.news = news;
        self.steps[engine] += 1;
        if let Some(wake) = self.engines[engine].next_wake() {
            // Rounding to whole nanoseconds must not wake it just before its time.
            self.at(
                wake.max(self.now) + 1e-9,
                Event::Step(engine, self.steps[engine]),
            );
        }
    }

    fn deliver(&mut self, engine: usize, news: EngineNews) {
        match news {
            EngineNews::Token { request } => {
                let fate = &mut self.fates[request];
                if fate.engine != engine || fate.done_at.is_some() {
                    return;
                }
                let class = self.requests[request].class;
                if fate.first_at.is_none() {
                    fate.first_at = Some(self.now);
                } else if fate.produced > 0 {
                    let gap = self.now - fate.last_at;
                    fate.pauses += (gap - 4.0 * self.unloaded_step).max(0.0);
                    self.outcome.gap(class, gap, self.now);
                }
                fate.last_at = self.now;
                fate.produced += 1;
                self.outcome.token(self.now);
                self.entries[fate.entry].token(request, self.now);
            }
            EngineNews::Finished { request, cached } => {
                let fate = &mut self.fates[request];
                if fate.engine != engine || fate.done_at.is_some() {
                    return;
                }
                fate.done_at = Some(self.now);
                let (entry, produced) = (fate.entry, fate.produced);
                self.entries[entry].finished(request, produced, cached, self.now);
                self.poll(entry);
            }
            EngineNews::Preempted { request } => {
                self.fates[request].preempted += 1;
                let held = &self.engines[engine];
                self.outcome.preempted(self.now, held.free_blocks());
            }
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
            fate.started = false;
            let retry = Retry {
                tries: fate.tries,
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
                self.engines[0].crash(self.now);
                for request in 0..self.fates.len() {
                    let fate = &self.fates[request];
                    let runs = fate.started && fate.engine == 0 && fate.done_at.is_none();
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

//! Replays lasting overload of engine memory against the decisions on what waits.

mod world;

use std::time;

use exchange::{fleet, forecast, place, request, runs, wait};
use rand::RngExt as _;
use tokio::time::Instant;

/// Engines, and the memory and slots of each.
const ENGINES: u8 = 12;
const MEMORY: u64 = 22_000;
const SLOTS: u32 = 24;
/// Length of a replay and step of its clock.
const SPAN_MS: u64 = 60_000;
const STEP_MS: u64 = 20;
/// Aim of a generation: its first event.
const AIM: time::Duration = time::Duration::from_millis(1_800);
/// What an answer that comes late is worth to its caller, beside one on time.
const LATE_WORTH: f64 = 0.15;

/// In which order, and within which limits, waiting generations start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WaitPolicy {
    /// In the order of arrival, wherever there is room: the baseline.
    Arrival,
    /// By rank, each rank leaving room for those before it.
    Rank,
}

/// What came of a replay.
#[derive(Clone, Copy, Debug, Default)]
struct ReplayTally {
    asked: u32,
    on_time: u32,
    late: u32,
    worth: f64,
    worth_asked: f64,
}

impl ReplayTally {
    fn on_time_part(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.asked)
    }

    fn worth_part(&self) -> f64 {
        self.worth / self.worth_asked
    }
}

/// One generation of the load.
#[derive(Clone, Debug)]
struct ReplayAsk {
    arrived: Instant,
    size: request::GenerationSize,
    output: u32,
}

impl ReplayAsk {
    /// Drawn as users' requests are: outputs from a few tokens to the cap, hints often far off.
    fn draw(rng: &mut rand::rngs::StdRng, arrived: Instant) -> Self {
        let mut normal = || (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
        let output = (420.0 * normal().exp()).clamp(20.0, 1_756.0);
        let hint = output * (1.2 * normal()).exp();
        let prompt = 3_000.0 * (0.35 * normal()).exp();
        Self {
            arrived,
            output: output as u32,
            size: request::GenerationSize {
                prompt_tokens: prompt as u32,
                max_tokens: 1_756,
                hint_tokens: Some(hint.max(1.0) as u32),
                parts: Vec::new(),
            },
        }
    }

    fn worth(&self) -> f64 {
        0.3 + 0.7 * f64::from(self.size.prompt_tokens + 10 * self.output) / 9_000.0
    }
}

/// Generations that run, with when their first event comes and when they end.
struct ReplayRun {
    key: fleet::RunKey,
    until: Instant,
}

struct LoadReplay {
    policy: WaitPolicy,
    rng: rand::rngs::StdRng,
    fleet: fleet::ServerFleet,
    queue: wait::WaitQueue,
    waiting: Vec<(wait::WaitKey, ReplayAsk)>,
    running: Vec<ReplayRun>,
    tally: ReplayTally,
}

impl LoadReplay {
    fn new(policy: WaitPolicy, seed: u64) -> Self {
        let mut fleet = fleet::ServerFleet::default();
        for number in 1..=ENGINES {
            let mut entry = world::entry("llm", number, "a");
            entry.slots = SLOTS;
            let news = world::news(&format!("e{number}"), 1, Some(entry));
            fleet.apply_update(&news, None, Instant::now());
        }
        Self {
            policy,
            rng: rand::SeedableRng::seed_from_u64(seed),
            fleet,
            queue: wait::WaitQueue::default(),
            waiting: Vec::new(),
            running: Vec::new(),
            tally: ReplayTally::default(),
        }
    }

    /// Plays `per_s` generations a second, and tells what came of them.
    fn play(mut self, per_s: f64) -> ReplayTally {
        let start = Instant::now();
        for step in 0..SPAN_MS / STEP_MS {
            let now = start + time::Duration::from_millis(step * STEP_MS);
            if self.rng.random::<f64>() < per_s * STEP_MS as f64 / 1_000.0 {
                self.arrive(now);
            }
            self.end_runs(now);
            self.give_up(now);
            self.start_waiting(now);
        }
        self.tally
    }

    fn arrive(&mut self, now: Instant) {
        let ask = ReplayAsk::draw(&mut self.rng, now);
        self.tally.asked += 1;
        self.tally.worth_asked += ask.worth();
        let step = match self.policy {
            WaitPolicy::Arrival => 0,
            WaitPolicy::Rank => wait::cost_step(0, Some(&ask.size)),
        };
        let on_time = match self.policy {
            WaitPolicy::Arrival => time::Duration::from_secs(100),
            WaitPolicy::Rank => wait::max_start_delay(AIM),
        };
        let key = self.queue.insert(wait::WaitRecord {
            priority: 0,
            basis: wait::RankBasis {
                step,
                on_time_until: Some(now + on_time),
            },
            order: u64::from(self.tally.asked),
            until: now + wait::max_wait(time::Duration::from_secs(39), AIM, true),
            tokens: forecast::planned_tokens(&ask.size),
        });
        self.waiting.push((key, ask));
    }

    fn end_runs(&mut self, now: Instant) {
        let fleet = &mut self.fleet;
        self.running.retain(|run| {
            let goes_on = now < run.until;
            if !goes_on {
                fleet.end(run.key);
            }
            goes_on
        });
    }

    fn give_up(&mut self, now: Instant) {
        let queue = &mut self.queue;
        self.waiting.retain(|(key, _)| {
            let waits = queue.get(*key).is_some_and(|record| now < record.until);
            if !waits {
                queue.remove(*key);
            }
            waits
        });
    }

    fn start_waiting(&mut self, now: Instant) {
        for key in self.queue.start_order(now) {
            let index = self.waiting.iter().position(|(waits, _)| *waits == key);
            let index = index.expect("waits");
            let rank = match self.policy {
                WaitPolicy::Arrival => wait::WaitRank::default(),
                WaitPolicy::Rank => self.queue.get(key).expect("waits").basis.rank(now),
            };
            if !self.start(index, rank, now) {
                return;
            }
            self.queue.remove(key);
            self.waiting.remove(index);
        }
    }

    fn start(&mut self, index: usize, rank: wait::WaitRank, now: Instant) -> bool {
        let ask = self.waiting[index].1.clone();
        let wanted = place::PlacementRequest {
            service: "llm",
            size: Some(&ask.size),
            avoid: &[],
            domain: "a",
            entries: 1,
            ahead_tokens: 0,
            reserve_fraction: rank.reserve_fraction(),
        };
        let mut rule = exchange::catalog::ServiceRule {
            connections: 100,
            engine: Some(world::engine_rule()),
        };
        rule.engine.as_mut().expect("set").memory_tokens = MEMORY;
        let placed = place::choose(&self.fleet, Some(&rule), &wanted, now, &mut self.rng);
        let place::PlaceOutcome::Server(server) = placed else {
            return false;
        };
        let unread =
            self.fleet.loads("llm", now)[server].backlog + u64::from(ask.size.prompt_tokens);
        let reading = time::Duration::from_secs_f64(unread as f64 / 7_000.0);
        let making = time::Duration::from_millis(8 * u64::from(ask.output));
        let first_at = now + reading;
        let key = self.fleet.start(runs::RunRecord {
            server,
            backup: None,
            moving_to: None,
            move_after: None,
            size: Some(ask.size.clone()),
            produced: 0,
            started: now,
            first_at: Some(first_at),
        });
        self.running.push(ReplayRun {
            key,
            until: first_at + making,
        });
        if first_at - ask.arrived <= AIM {
            self.tally.on_time += 1;
            self.tally.worth += ask.worth();
        } else {
            self.tally.late += 1;
            self.tally.worth += ask.worth() * LATE_WORTH;
        }
        true
    }
}

#[test]
fn lasting_overload_makes_few_answers_late() {
    // Symptom: half of all answers are late, and none of those that cost little are spared.
    // Sequence: callers ask for more memory than engines have, for a minute.
    // Cause: waiting in the order of arrival fills all memory; each new caller then waits for as
    // long as the oldest one did, and the longest generations keep out the most.
    world::run(async {
        let play = |policy, seed| LoadReplay::new(policy, seed).play(13.5);
        for seed in 1..=5 {
            let arrival = play(WaitPolicy::Arrival, seed);
            let rank = play(WaitPolicy::Rank, seed);
            println!(
                "seed {seed}: on time {:.3} by arrival, {:.3} by rank; worth {:.3}, {:.3}; late {}, {}",
                arrival.on_time_part(),
                rank.on_time_part(),
                arrival.worth_part(),
                rank.worth_part(),
                arrival.late,
                rank.late
            );
            assert!(
                rank.on_time_part() > arrival.on_time_part() * 1.15,
                "seed {seed}"
            );
            assert!(rank.worth_part() > arrival.worth_part(), "seed {seed}");
            assert!(rank.late < arrival.late, "seed {seed}");
        }
    });
}

#[test]
fn light_load_starts_everything_at_once() {
    // What is kept free for others must cost nothing while there is room.
    world::run(async {
        for seed in 1..=5 {
            let rank = LoadReplay::new(WaitPolicy::Rank, seed).play(6.0);
            assert!(rank.on_time_part() > 0.97, "seed {seed}: {rank:?}");
        }
    });
}

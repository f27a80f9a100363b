//! Policy bench: compares the scheduling core with baselines on nine model engine stand-ins in
//! virtual time. All policies get the same arrivals for a seed.
//!
//! `cargo bench -p sched --bench policy -- [quick] [scenario=NAME] [seeds=N] [threads=N]`
//!
//! `quick` runs two seeds of the loads 0.7, 0.9 and 1.1 and prints its tables within two minutes;
//! the complete bench takes hours.

#![allow(
    clippy::too_many_lines,
    clippy::large_enum_variant,
    reason = "tables of scenarios read best whole, and few engines exist at once"
)]

mod ablation;
mod baseline;
mod cluster;
mod engine;
mod entry;
mod measure;
mod mix;
mod oracle;

use std::sync::{atomic, mpsc};

use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use sched::settings;
use tokio::time;

use crate::{
    cluster::{Fault, Setup},
    measure::Outcome,
    mix::{Mix, Surge},
};

#[derive(Clone, Debug)]
struct Scenario {
    name: String,
    mix: Mix,
    load: f64,
    lag: f64,
    surge: Option<Surge>,
    fault: Fault,
    entries: usize,
}

#[derive(Clone, Debug)]
enum Policy {
    RoundRobin,
    Fewest,
    FewestPriority,
    First,
    Oracle,
    Core(settings::PolicySettings),
}

const ENGINES: usize = 9;
const RUN_SECONDS: f64 = 150.0;
/// Suffixes of the names of the scenarios in a quick run.
const QUICK_LOADS: [&str; 3] = ["load-0.7", "load-0.9", "load-1.1"];
/// Number of seeds in a quick run.
const QUICK_SEEDS: u64 = 2;

fn entries(policy: &Policy, setup: &Setup, seed: u64) -> Vec<Box<dyn entry::Entry>> {
    let epoch = time::Instant::now();
    let batch = setup.profile.max_batch as usize;
    if matches!(policy, Policy::Oracle) {
        return vec![Box::new(oracle::OracleEntry::new(ENGINES))];
    }
    (0..setup.entries)
        .map(|number| -> Box<dyn entry::Entry> {
            let seed = seed * 1_000 + number as u64;
            match policy {
                Policy::RoundRobin => {
                    Box::new(baseline::DirectEntry::new(ENGINES, false, false, seed))
                }
                Policy::Fewest => Box::new(baseline::DirectEntry::new(ENGINES, true, false, seed)),
                Policy::FewestPriority => {
                    Box::new(baseline::DirectEntry::new(ENGINES, true, true, seed))
                }
                Policy::First => Box::new(baseline::FirstEntry::new(
                    ENGINES,
                    batch,
                    setup.entries,
                    seed,
                )),
                Policy::Core(settings) => {
                    let settings = settings::PolicySettings {
                        entries: setup.entries as u32,
                        identity: entry::mixed(number as u64 + 100),
                        ..settings.clone()
                    };
                    let profile = setup.profile.clone();
                    Box::new(entry::CoreEntry::new(
                        settings, ENGINES, profile, seed, epoch,
                    ))
                }
                Policy::Oracle => unreachable!("the oracle is handled above"),
            }
        })
        .collect()
}

fn run(scenario: &Scenario, policy: &Policy, seed: u64, capacity: f64) -> Outcome {
    let setup = Setup {
        engines: ENGINES,
        entries: scenario.entries,
        profile: engine::profile(scenario_chunk(), 0),
        lag: scenario.lag,
        fault: scenario.fault,
        until: RUN_SECONDS,
    };
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let requests = mix::arrivals(
        scenario.mix,
        scenario.load * capacity,
        RUN_SECONDS,
        scenario.surge,
        &mut rng,
    );
    let entries = entries(policy, &setup, seed);
    cluster::TestCluster::new(setup, &requests, entries, seed)
        .run()
        .0
}

/// Returns the requests per second that the engines serve while requests of all classes are always
/// waiting.
fn calibrate(mix: Mix) -> f64 {
    let mut sum = 0.0;
    for seed in 0..3 {
        let setup = Setup {
            engines: ENGINES,
            entries: 1,
            profile: engine::profile(scenario_chunk(), 0),
            lag: 0.1,
            fault: Fault::None,
            until: 120.0,
        };
        let mut rng = ChaCha8Rng::seed_from_u64(1_000_000 + seed);
        let mut requests = mix::arrivals(mix, 60.0, setup.until, None, &mut rng);
        for request in &mut requests {
            request.class = base::class::TrafficClass::Normal;
            request.at *= 0.1;
        }
        let tokens: f64 = requests
            .iter()
            .map(|request| f64::from(request.length))
            .sum();
        let mean = tokens / requests.len() as f64;
        let entries: Vec<Box<dyn entry::Entry>> = vec![Box::new(oracle::OracleEntry::new(ENGINES))];
        let (outcome, _) = cluster::TestCluster::new(setup, &requests, entries, seed).run();
        sum += outcome.tokens_per_second / mean;
    }
    sum / 3.0
}

fn scenarios() -> Vec<Scenario> {
    let mut all = Vec::new();
    for mix in Mix::ALL {
        let base = Scenario {
            name: String::new(),
            mix,
            load: 0.9,
            lag: 2.0,
            surge: None,
            fault: Fault::None,
            entries: 8,
        };
        for load in [0.6, 0.7, 0.8, 0.9, 1.0, 1.1, 1.2] {
            let name = format!("{}/load-{load}", mix.name());
            all.push(Scenario {
                name,
                load,
                ..base.clone()
            });
        }
        for lag in [0.5, 5.0] {
            let name = format!("{}/lag-{lag}", mix.name());
            all.push(Scenario {
                name,
                lag,
                ..base.clone()
            });
        }
        let named = |name: &str| Scenario {
            name: format!("{}/{name}", mix.name()),
            ..base.clone()
        };
        let fault = Fault::Dies {
            at: 60.0,
            back: 90.0,
        };
        all.push(Scenario {
            fault,
            ..named("engine-dies")
        });
        let fault = Fault::Slow {
            from: 60.0,
            to: 120.0,
        };
        all.push(Scenario {
            fault,
            ..named("engine-slow")
        });
        let surge = Some(Surge::Long {
            from: 60.0,
            to: 75.0,
            factor: 6.0,
        });
        all.push(Scenario {
            surge,
            ..named("burst-long")
        });
        let surge = Some(Surge::Urgent {
            from: 60.0,
            to: 75.0,
            factor: 6.0,
        });
        all.push(Scenario {
            surge,
            ..named("burst-urgent")
        });
        let surge = Some(Surge::Greedy {
            organisation: 3,
            factor: 10.0,
        });
        all.push(Scenario {
            surge,
            load: 0.6,
            ..named("greedy")
        });
        all.push(Scenario {
            entries: 3,
            ..named("entries-3")
        });
        for load in [1.0, 1.2] {
            all.push(Scenario {
                entries: 1,
                lag: 0.02,
                load,
                ..named(&format!("lone-{load}"))
            });
        }
    }
    all
}

fn policies() -> Vec<(&'static str, Policy)> {
    vec![
        ("round-robin", Policy::RoundRobin),
        ("fewest", Policy::Fewest),
        ("fewest+prio", Policy::FewestPriority),
        ("first", Policy::First),
        ("oracle", Policy::Oracle),
        ("policy", Policy::Core(settings::PolicySettings::default())),
    ]
}

fn argument(name: &str) -> Option<String> {
    let prefix = format!("{name}=");
    std::env::args().find_map(|text| text.strip_prefix(&prefix).map(str::to_owned))
}

/// Returns the maximum number of prompt tokens prefilled per step.
fn scenario_chunk() -> u32 {
    argument("chunk")
        .and_then(|text| text.parse().ok())
        .unwrap_or(128)
}

/// Runs all jobs on a few threads and returns the results in the order of the jobs.
fn run_all<J: Sync, R: Send>(jobs: &[J], run: impl Fn(&J) -> R + Sync) -> Vec<R> {
    let next = atomic::AtomicUsize::new(0);
    let threads = argument("threads")
        .and_then(|text| text.parse().ok())
        .unwrap_or(4);
    let (sender, receiver) = mpsc::channel();
    std::thread::scope(|scope| {
        for _ in 0..threads {
            let (sender, next, run) = (sender.clone(), &next, &run);
            scope.spawn(move || {
                loop {
                    let index = next.fetch_add(1, atomic::Ordering::Relaxed);
                    let Some(job) = jobs.get(index) else { return };
                    sender.send((index, run(job))).expect("the receiver waits");
                }
            });
        }
        drop(sender);
        let mut results: Vec<(usize, R)> = receiver.iter().collect();
        results.sort_by_key(|(index, _)| *index);
        results.into_iter().map(|(_, result)| result).collect()
    })
}

fn main() {
    let quick = std::env::args().any(|text| text == "quick");
    let seeds: u64 = argument("seeds")
        .and_then(|text| text.parse().ok())
        .unwrap_or(if quick { QUICK_SEEDS } else { 20 });
    let wanted = argument("scenario").unwrap_or_default();
    let capacities: Vec<(Mix, f64)> = Mix::ALL.iter().map(|&mix| (mix, calibrate(mix))).collect();
    println!("capacity in requests a second: {capacities:?}");
    let capacity = |mix: Mix| {
        capacities
            .iter()
            .find(|(held, _)| *held == mix)
            .map_or(0.0, |c| c.1)
    };
    let scenarios: Vec<Scenario> = scenarios()
        .into_iter()
        .filter(|scenario| scenario.name.contains(&wanted))
        .filter(|scenario| {
            let loads = QUICK_LOADS.iter();
            !quick || loads.into_iter().any(|load| scenario.name.ends_with(load))
        })
        .collect();
    let ablation = std::env::args().any(|text| text == "ablation");
    let mut policies = if ablation {
        ablation::variants()
    } else {
        policies()
    };
    if ablation {
        policies.push(("fewest", Policy::Fewest));
        policies.push(("oracle", Policy::Oracle));
    }
    let mut jobs = Vec::new();
    for scenario in &scenarios {
        for (_, policy) in &policies {
            for seed in 0..seeds {
                jobs.push((scenario, policy, seed));
            }
        }
    }
    let outcomes = run_all(&jobs, |(scenario, policy, seed)| {
        run(scenario, policy, *seed, capacity(scenario.mix))
    });
    let mut chunks = outcomes.chunks(seeds as usize);
    for scenario in &scenarios {
        println!("{}", scenario.name);
        println!(
            "  {:12} {:>9} {:>9} {:>9} {:>9} {:>9} {:>7} {:>7} {:>7} {:>8} {:>6} {:>6} {:>5}",
            "",
            "urg p50",
            "urg p99",
            "norm p99",
            "dfr p99",
            "dfr max",
            "preempt",
            "gap99",
            "ugap99",
            "tok/s",
            "ref-u",
            "ref-n",
            "lost"
        );
        for (name, _) in &policies {
            let runs = chunks.next().expect("one chunk each");
            let median =
                |value: &dyn Fn(&Outcome) -> f64| measure::spread(runs.iter().map(value)).median;
            println!(
                "  {name:12} {:9.3} {:9.3} {:9.3} {:9.2} {:9.2} {:7.0} {:7.4} {:7.4} {:8.0} {:6.3} {:6.3} {:5.0}  other u {:.3} n {:.3} roomy {}",
                median(&|run| run.urgent_stall_p50),
                median(&|run| run.urgent_stall_p99),
                median(&|run| run.normal_stall_p99),
                median(&|run| run.deferrable_wait_p99),
                median(&|run| run.deferrable_wait_max),
                median(&|run| run.preemptions as f64),
                median(&|run| run.gap_p99),
                median(&|run| run.urgent_gap_p99),
                median(&|run| run.tokens_per_second),
                median(&|run| run.refused_urgent),
                median(&|run| run.refused_normal),
                median(&|run| run.lost as f64),
                median(&|run| run.other_urgent_p99),
                median(&|run| run.other_normal_p99),
                median(&|run| run.preempted_roomy as f64),
            );
        }
    }
}

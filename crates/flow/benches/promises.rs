//! What the promises cost when something fails, on a paused clock: the figures are of the design,
//! not of the machine, and the same in every run.

#[allow(dead_code, reason = "the tests use the rest")]
#[path = "../tests/plane/callers.rs"]
mod callers;
#[allow(dead_code, reason = "the tests use the rest")]
#[path = "../tests/plane/cluster.rs"]
mod cluster;
#[allow(dead_code, reason = "the tests use the rest")]
#[path = "../tests/plane/links.rs"]
mod links;

use std::{sync, time::Duration};

use base::refusal;
use flow::{plane, suspect};
use stand::engine;
use tokio::{task, time};

fn main() {
    silent_connections();
    frozen_engines();
    crashing_requests();
    dead_entries();
}

async fn stream(
    plane: &sync::Arc<cluster::ClusterPlane>,
    mark: u32,
    tokens: u32,
) -> plane::StreamReply {
    match callers::generate(plane, callers::chat(mark, tokens, true, "")).await {
        Ok(plane::GenerationReply::Stream(reply)) => reply,
        other => panic!("no stream: {other:?}"),
    }
}

/// Time from the silence of a connection to the next token, at several speeds of the engine.
fn silent_connections() {
    println!("from a silent connection to the next token, ms (50 streams each: median, worst)");
    println!(
        "{:>24} {:>16} {:>16}",
        "between tokens, ms", "floor 800 ms", "floor 2,000 ms"
    );
    for slow_factor in [1.0, 4.0, 12.0, 40.0] {
        let mut cells = Vec::new();
        for floor in [Duration::from_millis(800), Duration::from_secs(2)] {
            let mut times: Vec<u128> = (0..50)
                .map(|number| silent_once(number, slow_factor, floor))
                .collect();
            times.sort_unstable();
            cells.push(format!("{}, {}", times[25], times[49]));
        }
        let between = 12.25 * slow_factor;
        println!("{between:>24.0} {:>16} {:>16}", cells[0], cells[1]);
    }
}

fn silent_once(number: u32, slow_factor: f64, floor: Duration) -> u128 {
    let (sender, receiver) = sync::mpsc::channel();
    cluster::run_paused(async move {
        let plan = cluster::ClusterOptions {
            seed: u64::from(number) + 1,
            min_silence_timeout: Some(floor),
            ..cluster::ClusterOptions::default()
        };
        let world = cluster::TestCluster::new(&plan);
        for engine in &world.engines {
            engine.apply(&engine::EngineFault::Slow {
                factor: slow_factor,
            });
        }
        let mut reply = stream(&world.planes[0], 1, 200).await;
        let mut transcript = callers::Transcript::default();
        let before = 5 + number as usize % 7;
        transcript.read(&mut reply.stream, before).await;
        time::sleep(Duration::from_millis(u64::from(number) * 3)).await;
        let reached = transcript.tokens.len();
        for engine in &world.engines {
            engine.apply(&engine::EngineFault::Silence);
        }
        let silent_at = time::Instant::now();
        // Tokens that were on their way before the silence do not count.
        let mut next = reached + 1;
        loop {
            transcript.read(&mut reply.stream, next).await;
            if silent_at.elapsed() > Duration::from_millis(1) {
                break;
            }
            next += 1;
        }
        let _ = sender.send(silent_at.elapsed().as_millis());
    });
    receiver.recv().unwrap()
}

/// What becomes of requests whose engine freezes before their first token.
fn frozen_engines() {
    println!();
    println!("one of 3 engines frozen (takes connections, answers nothing), 60 normal requests");
    println!(
        "{:>34} {:>10} {:>10} {:>22}",
        "", "answered", "refused", "longest to an end, ms"
    );
    for (name, abandon_after) in [
        ("wait for the cancel's answer", None),
        ("abandon after 1 s", Some(Duration::from_secs(1))),
    ] {
        let (sender, receiver) = sync::mpsc::channel();
        cluster::run_paused(async move {
            let plan = cluster::ClusterOptions {
                abandon_after,
                ..cluster::ClusterOptions::default()
            };
            let world = sync::Arc::new(cluster::TestCluster::new(&plan));
            world.engines[0].apply(&engine::EngineFault::Hang { on: true });
            let mut asks = task::JoinSet::new();
            for mark in 0..60 {
                let world = world.clone();
                asks.spawn(async move {
                    time::sleep(Duration::from_millis(u64::from(mark) * 50)).await;
                    let asked_at = time::Instant::now();
                    let body = callers::chat(mark, 20, false, "");
                    let reply = callers::generate(&world.planes[0], body).await;
                    (reply.is_ok(), asked_at.elapsed().as_millis())
                });
            }
            let ends = asks.join_all().await;
            let _ = sender.send(ends);
        });
        let ends = receiver.recv().unwrap();
        let answered = ends.iter().filter(|(answered, _)| *answered).count();
        let longest = ends.iter().map(|(_, took)| *took).max().unwrap_or(0);
        println!(
            "{name:>34} {answered:>10} {:>10} {longest:>22}",
            ends.len() - answered
        );
    }
}

/// Engines lost to one request that crashes each engine that runs it and is sent again.
fn crashing_requests() {
    println!();
    println!("one crashing request sent until refused for good, at most 30 times; 9 engines, dead");
    println!("ones back after 10 s; 72 innocent requests beside it, sent until answered");
    println!(
        "{:>14} {:>14} {:>20} {:>24} {:>26}",
        "",
        "engine deaths",
        "innocents answered",
        "innocent asks, mean",
        "last innocent answered, s"
    );
    for (name, limits) in [
        ("quarantine", suspect::SuspectLimits::default()),
        (
            "none",
            suspect::SuspectLimits {
                suspected_for: Duration::ZERO,
                quarantined_for: Duration::ZERO,
            },
        ),
    ] {
        let (sender, receiver) = sync::mpsc::channel();
        cluster::run_paused(async move {
            let _ = sender.send(crash_once(limits).await);
        });
        let outcome = receiver.recv().unwrap();
        println!(
            "{name:>14} {:>14} {:>20} {:>24.2} {:>26.1}",
            outcome.deaths, outcome.answered, outcome.mean_asks, outcome.last_s
        );
    }
}

struct CrashOutcome {
    deaths: usize,
    answered: usize,
    mean_asks: f64,
    last_s: f64,
}

async fn crash_once(limits: suspect::SuspectLimits) -> CrashOutcome {
    let plan = cluster::ClusterOptions {
        engines: 9,
        max_concurrency: 16,
        suspects: limits,
        ..cluster::ClusterOptions::default()
    };
    let world = sync::Arc::new(cluster::TestCluster::new(&plan));
    let deaths = sync::Arc::new(sync::atomic::AtomicUsize::new(0));
    for engine in world.engines.clone() {
        let deaths = deaths.clone();
        tokio::spawn(async move {
            loop {
                engine.gate().wait_up(false).await;
                deaths.fetch_add(1, sync::atomic::Ordering::Relaxed);
                time::sleep(Duration::from_secs(10)).await;
                engine.restart();
            }
        });
    }
    let began_at = time::Instant::now();
    let mut innocents = task::JoinSet::new();
    for mark in 1..=72 {
        let world = world.clone();
        innocents.spawn(async move {
            let asks = insist(&world, mark, "").await;
            (asks, time::Instant::now())
        });
    }
    time::sleep(Duration::from_millis(100)).await;
    insist(&world, 100, "[[crash]]").await;
    let ends = innocents.join_all().await;
    let asks: Vec<u32> = ends.iter().filter_map(|(asks, _)| *asks).collect();
    let last = ends.iter().map(|(_, at)| *at).max().unwrap_or(began_at);
    CrashOutcome {
        deaths: deaths.load(sync::atomic::Ordering::Relaxed),
        answered: asks.len(),
        mean_asks: f64::from(asks.iter().sum::<u32>()) / asks.len() as f64,
        last_s: last.duration_since(began_at).as_secs_f64(),
    }
}

/// Asks until answered; the number of asks.
async fn insist(world: &cluster::TestCluster, mark: u32, extra: &str) -> Option<u32> {
    for ask in 1..=30 {
        let body = callers::chat(mark, 40, false, extra);
        match callers::generate(&world.planes[0], body).await {
            Ok(plane::GenerationReply::Complete { body, .. }) => {
                let mut transcript = callers::Transcript::default();
                transcript.read_complete(&body);
                transcript.check(mark, 40);
                return Some(ask);
            }
            Ok(other) => panic!("no whole answer: {other:?}"),
            Err(refused) if refused.body.code == refusal::RefusalCode::Quarantined => return None,
            Err(refused) => {
                let delay_ms = refused.body.retry_after_ms.unwrap_or(1_000);
                time::sleep(Duration::from_millis(delay_ms)).await;
            }
        }
    }
    None
}

/// Streams lost when an entry VM dies in the middle of them.
fn dead_entries() {
    println!();
    println!("60 streams of 150 tokens over 3 entry VMs, one of which dies after 0.6 s");
    println!(
        "{:>34} {:>12} {:>14} {:>22}",
        "", "cut streams", "lost answers", "longest gap, ms"
    );
    for (name, continues) in [
        ("callers that continue by token", true),
        ("callers that do not", false),
    ] {
        let (sender, receiver) = sync::mpsc::channel();
        cluster::run_paused(async move {
            let plan = cluster::ClusterOptions {
                entries: 3,
                engines: 9,
                ..cluster::ClusterOptions::default()
            };
            let world = sync::Arc::new(cluster::TestCluster::new(&plan));
            let mut streams = task::JoinSet::new();
            for mark in 0..60 {
                let world = world.clone();
                streams.spawn(async move { follow(&world, mark, continues).await });
            }
            time::sleep(Duration::from_millis(600)).await;
            world.kill_first_entry();
            let _ = sender.send(streams.join_all().await);
        });
        let ends = receiver.recv().unwrap();
        let cut = ends.iter().filter(|end| end.cut).count();
        let lost = ends.iter().filter(|end| !end.whole).count();
        let gap = ends.iter().map(|end| end.gap_ms).max().unwrap_or(0);
        println!("{name:>34} {cut:>12} {lost:>14} {gap:>22}");
    }
}

struct StreamOutcome {
    cut: bool,
    whole: bool,
    gap_ms: u128,
}

async fn follow(world: &cluster::TestCluster, mark: u32, continues: bool) -> StreamOutcome {
    let entry = mark as usize % 3;
    let mut reply = stream(&world.planes[entry], mark, 150).await;
    let mut transcript = callers::Transcript::default();
    let cut = tokio::select! {
        () = transcript.read(&mut reply.stream, usize::MAX) => false,
        () = world.disconnected(entry) => true,
    };
    let cut_at = time::Instant::now();
    let mut gap_ms = 0;
    if cut && continues {
        let from = transcript.tokens.len();
        let goes_on =
            world.planes[1].continue_generation(callers::headers(), &reply.token, from as u32);
        let mut reply = goes_on.await.expect("goes on");
        transcript.read(&mut reply.stream, from + 1).await;
        gap_ms = cut_at.elapsed().as_millis();
        transcript.read(&mut reply.stream, usize::MAX).await;
    }
    transcript.check(mark, 150);
    StreamOutcome {
        cut,
        whole: transcript.done,
        gap_ms,
    }
}

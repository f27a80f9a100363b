//! Recovery times and losses under single faults, on a paused clock: the figures depend on the
//! design and not on the machine, and are the same in every run.

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

/// Prints the time from a connection's silence to the next token, at several engine speeds.
fn silent_connections() {
    println!("from a silent connection to the next token, ms (50 streams each: median, max)");
    println!(
        "{:>24} {:>16} {:>16}",
        "token interval, ms", "floor 800 ms", "floor 2,000 ms"
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
        let interval_ms = 12.25 * slow_factor;
        println!("{interval_ms:>24.0} {:>16} {:>16}", cells[0], cells[1]);
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
        let cluster = cluster::TestCluster::new(&plan);
        for engine in &cluster.engines {
            engine.apply(&engine::EngineFault::Slow {
                factor: slow_factor,
            });
        }
        let mut reply = stream(&cluster.planes[0], 1, 200).await;
        let mut transcript = callers::Transcript::default();
        let before = 5 + number as usize % 7;
        transcript.read(&mut reply.stream, before).await;
        time::sleep(Duration::from_millis(u64::from(number) * 3)).await;
        let reached = transcript.tokens.len();
        for engine in &cluster.engines {
            engine.apply(&engine::EngineFault::Silence);
        }
        let silent_at = time::Instant::now();
        // Tokens that were in flight when the silence began do not count.
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

/// Prints the outcomes of requests whose engine is frozen before their first token.
fn frozen_engines() {
    println!();
    println!("one of 3 engines frozen (accepts connections, answers nothing), 60 normal requests");
    println!(
        "{:>34} {:>10} {:>10} {:>22}",
        "", "answered", "refused", "max time to end, ms"
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
            let cluster = sync::Arc::new(cluster::TestCluster::new(&plan));
            cluster.engines[0].apply(&engine::EngineFault::Hang { on: true });
            let mut requests = task::JoinSet::new();
            for mark in 0..60 {
                let cluster = cluster.clone();
                requests.spawn(async move {
                    time::sleep(Duration::from_millis(u64::from(mark) * 50)).await;
                    let sent_at = time::Instant::now();
                    let body = callers::chat(mark, 20, false, "");
                    let reply = callers::generate(&cluster.planes[0], body).await;
                    (reply.is_ok(), sent_at.elapsed().as_millis())
                });
            }
            let outcomes = requests.join_all().await;
            let _ = sender.send(outcomes);
        });
        let outcomes = receiver.recv().unwrap();
        let answered = outcomes.iter().filter(|(answered, _)| *answered).count();
        let max_ms = outcomes.iter().map(|(_, took)| *took).max().unwrap_or(0);
        println!(
            "{name:>34} {answered:>10} {:>10} {max_ms:>22}",
            outcomes.len() - answered
        );
    }
}

/// Prints how many engines one request crashes that crashes every engine that runs it and that its
/// caller retries.
fn crashing_requests() {
    println!();
    println!("one crashing request retried until refused for good, at most 30 times; 9 engines,");
    println!(
        "restarted 10 s after a crash; 72 innocent requests beside it, retried until answered"
    );
    println!(
        "{:>14} {:>14} {:>20} {:>24} {:>26}",
        "",
        "engine deaths",
        "innocents answered",
        "sends per innocent, mean",
        "last innocent answered, s"
    );
    for (name, limits) in [
        ("quarantine", suspect::SuspectLimits::default()),
        (
            "none",
            suspect::SuspectLimits {
                suspected_for: Duration::ZERO,
                quarantined_for: Duration::ZERO,
                ..suspect::SuspectLimits::default()
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
            outcome.deaths, outcome.answered, outcome.mean_sends, outcome.last_s
        );
    }
}

struct CrashOutcome {
    deaths: usize,
    answered: usize,
    mean_sends: f64,
    last_s: f64,
}

async fn crash_once(limits: suspect::SuspectLimits) -> CrashOutcome {
    let plan = cluster::ClusterOptions {
        engines: 9,
        max_concurrency: 16,
        suspects: limits,
        ..cluster::ClusterOptions::default()
    };
    let cluster = sync::Arc::new(cluster::TestCluster::new(&plan));
    let deaths = sync::Arc::new(sync::atomic::AtomicUsize::new(0));
    for engine in cluster.engines.clone() {
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
        let cluster = cluster.clone();
        innocents.spawn(async move {
            let sends = send_until_answered(&cluster, mark, "").await;
            (sends, time::Instant::now())
        });
    }
    time::sleep(Duration::from_millis(100)).await;
    send_until_answered(&cluster, 100, "[[crash]]").await;
    let outcomes = innocents.join_all().await;
    let sends: Vec<u32> = outcomes.iter().filter_map(|(sends, _)| *sends).collect();
    let last = outcomes.iter().map(|(_, at)| *at).max().unwrap_or(began_at);
    CrashOutcome {
        deaths: deaths.load(sync::atomic::Ordering::Relaxed),
        answered: sends.len(),
        mean_sends: f64::from(sends.iter().sum::<u32>()) / sends.len() as f64,
        last_s: last.duration_since(began_at).as_secs_f64(),
    }
}

/// Sends a request until it is answered and returns the number of sends; `None` if it is refused
/// for good or never answered.
async fn send_until_answered(
    cluster: &cluster::TestCluster,
    mark: u32,
    extra: &str,
) -> Option<u32> {
    for sends in 1..=30 {
        let body = callers::chat(mark, 40, false, extra);
        match callers::generate(&cluster.planes[0], body).await {
            Ok(plane::GenerationReply::Complete { body, .. }) => {
                let mut transcript = callers::Transcript::default();
                transcript.read_complete(&body);
                transcript.check(mark, 40);
                return Some(sends);
            }
            Ok(other) => panic!("no complete answer: {other:?}"),
            Err(refused) if refused.body.code == refusal::RefusalCode::Quarantined => return None,
            Err(refused) => {
                let delay_ms = refused.body.retry_after_ms.unwrap_or(1_000);
                time::sleep(Duration::from_millis(delay_ms)).await;
            }
        }
    }
    None
}

/// Prints how many streams are lost when an entry VM dies in the middle of them.
fn dead_entries() {
    println!();
    println!("60 streams of 150 tokens over 3 entry VMs, one of which dies after 0.6 s");
    println!(
        "{:>34} {:>12} {:>14} {:>22}",
        "", "cut streams", "lost answers", "max gap, ms"
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
            let cluster = sync::Arc::new(cluster::TestCluster::new(&plan));
            let mut streams = task::JoinSet::new();
            for mark in 0..60 {
                let cluster = cluster.clone();
                streams.spawn(async move { follow(&cluster, mark, continues).await });
            }
            time::sleep(Duration::from_millis(600)).await;
            cluster.kill_first_entry();
            let _ = sender.send(streams.join_all().await);
        });
        let outcomes = receiver.recv().unwrap();
        let cut = outcomes.iter().filter(|outcome| outcome.cut).count();
        let lost = outcomes.iter().filter(|outcome| !outcome.complete).count();
        let gap_ms = outcomes
            .iter()
            .map(|outcome| outcome.gap_ms)
            .max()
            .unwrap_or(0);
        println!("{name:>34} {cut:>12} {lost:>14} {gap_ms:>22}");
    }
}

struct StreamOutcome {
    cut: bool,
    complete: bool,
    gap_ms: u128,
}

async fn follow(cluster: &cluster::TestCluster, mark: u32, continues: bool) -> StreamOutcome {
    let entry = mark as usize % 3;
    let mut reply = stream(&cluster.planes[entry], mark, 150).await;
    let mut transcript = callers::Transcript::default();
    let cut = tokio::select! {
        () = transcript.read(&mut reply.stream, usize::MAX) => false,
        () = cluster.disconnected(entry) => true,
    };
    let cut_at = time::Instant::now();
    let mut gap_ms = 0;
    if cut && continues {
        let from = transcript.tokens.len();
        let continued =
            cluster.planes[1].continue_generation(callers::headers(), &reply.token, from as u32);
        let mut reply = continued.await.expect("the stream is continued");
        transcript.read(&mut reply.stream, from + 1).await;
        gap_ms = cut_at.elapsed().as_millis();
        transcript.read(&mut reply.stream, usize::MAX).await;
    }
    transcript.check(mark, 150);
    StreamOutcome {
        cut,
        complete: transcript.done,
        gap_ms,
    }
}

//! What one entry VM costs a stream: tokens a second on one core, added latency, memory.
//!
//! Everything runs in this process on loopback: engines that only send, one entry VM on a runtime
//! with one thread, and the client, which is the same towards the engines and towards the entry
//! VM. What counts are the ratios within one run. `cargo bench -p load --bench relay`.

#[path = "relay/client.rs"]
mod client;
#[path = "relay/engine.rs"]
mod engine;
#[path = "relay/machine.rs"]
mod machine;
#[path = "relay/moment.rs"]
mod moment;

use std::{net, sync::atomic, time::Duration};

use tokio::{runtime, task, time};

/// Threads of the entry VM's runtime are named so.
const ENTRY_THREADS: &str = "bench-entry";
const CLIENT_THREADS: usize = 4;
const ENGINE_THREADS: usize = 4;
const ENGINES: usize = 4;

/// Time over which rates are taken, once all streams are open.
const WINDOW: Duration = Duration::from_secs(4);

fn runtime_of(name: &str, threads: usize) -> runtime::Runtime {
    let mut builder = runtime::Builder::new_multi_thread();
    let builder = builder
        .worker_threads(threads)
        .thread_name(name)
        .enable_all();
    builder.build().expect("a runtime")
}

/// What was seen of one load over the window.
struct WindowRates {
    tokens_per_second: f64,
    /// Cores that the entry VM's threads used.
    entry_cores: f64,
    outcome: client::StreamOutcome,
}

impl WindowRates {
    fn tokens_per_core_second(&self) -> f64 {
        self.tokens_per_second / self.entry_cores
    }
}

/// Opens `streams` streams of one token every `step`, and takes rates while all are open.
async fn run_load(targets: &[client::Target], streams: usize, step: Duration) -> WindowRates {
    let opening = Duration::from_secs(2) + Duration::from_micros(200) * streams as u32;
    let life = opening + WINDOW + Duration::from_secs(2);
    let tokens = life.as_micros() / step.as_micros();
    let load = client::StreamLoad {
        streams,
        step,
        tokens: tokens as u32,
    };
    let targets = targets.to_vec();
    let reading = task::spawn(async move { client::read_streams(&targets, load).await });
    while engine::OPEN.load(atomic::Ordering::Relaxed) < streams {
        assert!(
            !reading.is_finished(),
            "the streams ended before all were open"
        );
        time::sleep(Duration::from_millis(10)).await;
    }
    time::sleep(Duration::from_millis(500)).await;
    client::MEASURING.store(true, atomic::Ordering::Relaxed);
    let (start, cpu) = (time::Instant::now(), machine::cpu_of(ENTRY_THREADS));
    let arrived = client::ARRIVED.load(atomic::Ordering::Relaxed);
    time::sleep(WINDOW).await;
    let arrived = client::ARRIVED.load(atomic::Ordering::Relaxed) - arrived;
    let cpu = machine::cpu_of(ENTRY_THREADS) - cpu;
    let seconds = start.elapsed().as_secs_f64();
    client::MEASURING.store(false, atomic::Ordering::Relaxed);
    let outcome = reading.await.expect("the client does not panic");
    assert_eq!(outcome.broken, 0, "streams ended otherwise than whole");
    WindowRates {
        tokens_per_second: arrived as f64 / seconds,
        entry_cores: cpu.as_secs_f64() / seconds,
        outcome,
    }
}

fn main() {
    let engines = runtime_of("bench-engine", ENGINE_THREADS);
    let clients = runtime_of("bench-client", CLIENT_THREADS);
    let addresses: Vec<net::SocketAddr> = engines.block_on(async {
        let mut addresses = Vec::new();
        for _ in 0..ENGINES {
            addresses.push(engine::serve().await);
        }
        addresses
    });
    let direct: Vec<_> = addresses
        .iter()
        .copied()
        .map(client::Target::Engine)
        .collect();
    for streams in [500, 1000, 2000, 3000] {
        let rates = clients.block_on(run_load(&direct, streams, Duration::from_millis(20)));
        println!(
            "direct {streams}: {:.0} tokens/s, delay p50 {:.3} p99 {:.3} ms",
            rates.tokens_per_second,
            rates.outcome.delay_ms(0.5),
            rates.outcome.delay_ms(0.99)
        );
    }
}

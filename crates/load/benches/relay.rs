//! Measures the cost of relaying a stream through one entry VM: tokens per second on one core,
//! added latency, memory.
//!
//! All components run in this process on loopback: engines that only send tokens, one entry VM on a
//! runtime with one thread, and a client that reads from the engines and from the entry VM in the
//! same way. Only ratios within one run are meaningful. `cargo bench -p load --bench relay`.

#[path = "relay/client.rs"]
mod client;
#[path = "relay/engine.rs"]
mod engine;
#[path = "relay/machine.rs"]
mod machine;
#[path = "relay/moment.rs"]
mod moment;

use std::{net, sync::atomic, time::Duration};

use base::fingerprint;
use conf::{document, inventory};
use load::{env, site};
use tokio::{runtime, task, time};

/// Name of the threads of the entry VM's runtime.
const ENTRY_THREADS: &str = "bench-entry";
const CLIENT_THREADS: usize = 4;
const ENGINE_THREADS: usize = 4;
const ENGINES: usize = 4;

/// Time over which rates are measured, once all streams are open.
const WINDOW: Duration = Duration::from_secs(4);

fn runtime_of(name: &str, threads: usize) -> runtime::Runtime {
    let mut builder = runtime::Builder::new_multi_thread();
    let builder = builder
        .worker_threads(threads)
        .thread_name(name)
        .enable_all();
    builder.build().expect("a runtime")
}

/// Rates measured under one load over the window.
struct WindowRates {
    tokens_per_second: f64,
    /// Average number of cores used by the entry VM's threads.
    entry_cores: f64,
    outcome: client::StreamOutcome,
}

impl WindowRates {
    fn tokens_per_core_second(&self) -> f64 {
        self.tokens_per_second / self.entry_cores
    }
}

/// Opens `streams` streams with one token every `step` and measures rates while all are open.
async fn run_load(targets: &[client::Target], streams: usize, step: Duration) -> WindowRates {
    let opening = Duration::from_secs(2) + Duration::from_micros(200) * streams as u32;
    let stream_duration = opening + WINDOW + Duration::from_secs(2);
    let tokens = stream_duration.as_micros() / step.as_micros();
    let load = client::StreamLoad {
        streams,
        step,
        tokens: tokens as u32,
    };
    let targets = targets.to_vec();
    let reading = task::spawn(async move { client::read_streams(&targets, load).await });
    while open_now() < streams {
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
    assert_eq!(outcome.broken, 0, "some streams ended incomplete");
    WindowRates {
        tokens_per_second: arrived as f64 / seconds,
        entry_cores: cpu.as_secs_f64() / seconds,
        outcome,
    }
}

/// A configuration without limits: one entry VM, one organisation, no backend servers yet.
const INVENTORY: &str = r#"{
    "regions": { "here": { "failure_domains": ["a"] } },
    "entry_vms": { "entry-1": { "failure_domain": "a", "callers": "127.0.0.1:1", "peers": "127.0.0.1:2" } },
    "backend_servers": {},
    "models": { "bench": { "version": "1", "context_tokens": 1000000 } },
    "organisations": { "bench": { "key_hashes": [], "region": "here" } },
}"#;

fn configuration(engines: &[net::SocketAddr]) -> document::Configuration {
    let mut inventory: inventory::Inventory =
        jsonc_parser::parse_to_serde_value(INVENTORY, &jsonc_parser::ParseOptions::default())
            .expect("the inventory is valid");
    let hash = fingerprint::ContentHash::of(client::API_KEY.as_bytes()).to_string();
    let organisations = inventory.organisations.values_mut();
    organisations.for_each(|organisation| organisation.key_hashes.push(hash.clone()));
    for (number, address) in engines.iter().enumerate() {
        let entry = inventory::ServerEntry {
            failure_domain: "a".into(),
            address: *address,
            kind: inventory::ServerKind::ModelEngine(inventory::EngineEntry {
                models: vec!["bench".into()],
                checks_fencing: false,
                kv_blocks: 100_000_000,
                block_tokens: 16,
                max_batch: 100_000,
            }),
        };
        inventory
            .backend_servers
            .insert(format!("engine-{number}"), entry);
    }
    document::Configuration {
        inventory,
        rules: conf::rules::RuleSet::default(),
    }
}

/// State shared by the phases of the benchmark.
struct BenchSetup {
    clients: runtime::Runtime,
    direct: Vec<client::Target>,
    relayed: Vec<client::Target>,
}

impl BenchSetup {
    fn run(&self, targets: &[client::Target], streams: usize) -> WindowRates {
        self.clients.block_on(run_load(targets, streams, STEP))
    }

    /// Measures tokens per second through the entry VM until its single thread is saturated.
    fn measure_throughput(&self) {
        println!("streams  direct tokens/s  relayed tokens/s  entry cores  tokens/s per core");
        for streams in [500, 1_000, 2_000, 3_000, 4_000] {
            let direct = self.run(&self.direct, streams);
            let relayed = self.run(&self.relayed, streams);
            println!(
                "{streams:>7} {:>16.0} {:>17.0} {:>12.2} {:>18.0}",
                direct.tokens_per_second,
                relayed.tokens_per_second,
                relayed.entry_cores,
                relayed.tokens_per_core_second()
            );
            if relayed.entry_cores > SATURATION_CORES {
                return;
            }
        }
    }

    /// Measures the latency that the entry VM adds to a token below saturation.
    fn measure_latency(&self) {
        println!("streams  direct ms p50    p99  relayed ms p50    p99  added ms p50    p99");
        for streams in [100, 400] {
            let direct = self.run(&self.direct, streams).outcome;
            let relayed = self.run(&self.relayed, streams).outcome;
            println!(
                "{streams:>7} {:>14.3} {:>6.3} {:>15.3} {:>6.3} {:>13.3} {:>6.3}",
                direct.delay_ms(0.5),
                direct.delay_ms(0.99),
                relayed.delay_ms(0.5),
                relayed.delay_ms(0.99),
                relayed.delay_ms(0.5) - direct.delay_ms(0.5),
                relayed.delay_ms(0.99) - direct.delay_ms(0.99),
            );
        }
    }

    /// Measures the memory of an open relayed stream beyond that of a direct one, which has the
    /// same client and engine. The direct streams stay open meanwhile, so that no freed memory is
    /// reused.
    fn measure_memory(&self) {
        let (direct, first) = self.open_streams(&self.direct);
        let (relayed, second) = self.open_streams(&self.relayed);
        first.abort();
        second.abort();
        while open_now() > 0 {
            std::thread::sleep(Duration::from_millis(50));
        }
        println!("memory of one open stream: direct {direct:.1} KiB (client and engine)");
        println!(
            "  relayed {relayed:.1} KiB, so the entry VM takes {:.1} KiB",
            relayed - direct
        );
    }

    /// Opens slow streams; returns the resident memory per stream in KiB.
    fn open_streams(
        &self,
        targets: &[client::Target],
    ) -> (f64, task::JoinHandle<client::StreamOutcome>) {
        let load = client::StreamLoad {
            streams: MEMORY_STREAMS,
            step: MEMORY_STEP,
            tokens: 10_000,
        };
        let (open, before) = (open_now(), machine::resident_bytes());
        let targets = targets.to_vec();
        let reading = self
            .clients
            .spawn(async move { client::read_streams(&targets, load).await });
        while open_now() < open + MEMORY_STREAMS {
            assert!(
                !reading.is_finished(),
                "the streams ended before all were open"
            );
            std::thread::sleep(Duration::from_millis(50));
        }
        std::thread::sleep(Duration::from_secs(3));
        let taken = machine::resident_bytes().saturating_sub(before);
        (taken as f64 / MEMORY_STREAMS as f64 / 1_024.0, reading)
    }
}

fn open_now() -> usize {
    engine::OPEN.load(atomic::Ordering::Relaxed)
}

/// Time between two tokens of a stream.
const STEP: Duration = Duration::from_millis(20);

/// Time between two tokens while memory is measured; engines must send data at least every 500 ms.
const MEMORY_STEP: Duration = Duration::from_millis(300);

/// Core usage above which the entry VM counts as saturated.
const SATURATION_CORES: f64 = 0.95;

/// Number of open streams, direct and relayed each, while memory is measured.
const MEMORY_STREAMS: usize = 1_000;

fn main() {
    let engines = runtime_of("bench-engine", ENGINE_THREADS);
    let entries = runtime_of(ENTRY_THREADS, 1);
    let (addresses, site) = engines.block_on(async {
        let mut addresses = Vec::new();
        for _ in 0..ENGINES {
            addresses.push(engine::serve().await);
        }
        let mut site = site::StandSite::start(configuration(&[]))
            .await
            .expect("stand-ins start");
        site.configuration = configuration(&addresses);
        (addresses, site)
    });
    let bounds = entry::settings::BoundSettings::default();
    let env = entries
        .block_on(env::TestEnv::at_site(site, bounds))
        .expect("the entry VM starts");
    let setup = BenchSetup {
        clients: runtime_of("bench-client", CLIENT_THREADS),
        direct: addresses.into_iter().map(client::Target::Engine).collect(),
        relayed: env
            .callers()
            .into_iter()
            .map(client::Target::Entry)
            .collect(),
    };
    let phase = std::env::args().nth(1).unwrap_or_default();
    let is_wanted = |name: &str| phase.is_empty() || phase.starts_with("--") || phase == name;
    // Memory is measured first: the other phases leave freed memory that would be reused.
    if is_wanted("memory") {
        setup.measure_memory();
    }
    if is_wanted("latency") {
        setup.measure_latency();
    }
    if is_wanted("throughput") {
        setup.measure_throughput();
    }
    // Exit without waiting for tasks that are still running.
    std::process::exit(0);
}

//! Latency that an idempotency claim adds to a call, and the appends that it needs, with 410 entry
//! VMs.
//!
//! Everything runs on a paused clock: latencies are those of the modelled log and network and the
//! same in every run. Processor times are measured on the machine that runs the bench.

use std::{collections, sync};

use base::{fingerprint, id};
use ledger::client::LogClient as _;
use ledger::route::LedgerPeers;
use ledger::{claims, client, host, memory, partition, permit, record, route};
use rand::{RngExt as _, SeedableRng as _};
use tokio::{runtime, task, time};

const VM_COUNT: usize = 410;
/// Cap on appends per second of the log.
const MAX_APPENDS_PER_SECOND: u32 = 300;
/// One-way latency between an entry VM and the log.
const LOG_ONE_WAY_LATENCY: time::Duration = time::Duration::from_millis(2);
/// One-way latency between two entry VMs.
const PEER_ONE_WAY_LATENCY: time::Duration = time::Duration::from_millis(1);
/// Time that the service needs for a call.
const SERVICE_TIME: time::Duration = time::Duration::from_millis(20);
const CALL_RATES: [u64; 3] = [1, 50, 300];

type HostMap = collections::BTreeMap<String, sync::Arc<host::LedgerHost<memory::MemoryLog>>>;

#[derive(Clone)]
struct BenchPeers {
    hosts: sync::Arc<HostMap>,
    live: sync::Arc<Vec<String>>,
}

impl LedgerPeers for BenchPeers {
    fn live_vms(&self) -> Vec<String> {
        self.live.to_vec()
    }

    async fn call(
        &self,
        vm: &str,
        request: &host::LedgerRequest,
        limit: time::Duration,
    ) -> Result<host::LedgerReply, route::PeerError> {
        let host = self.hosts.get(vm).ok_or(route::PeerError::NotDelivered)?;
        time::sleep(PEER_ONE_WAY_LATENCY).await;
        let reply = time::timeout(limit, host.handle(request.clone())).await;
        time::sleep(PEER_ONE_WAY_LATENCY).await;
        reply.map_err(|_| route::PeerError::Lost)
    }
}

/// Strategy by which claims reach the log.
#[derive(Clone, Copy, PartialEq)]
enum AppendStrategy {
    /// One append for each claim and each outcome, by the VM that received the call.
    Each,
    /// Group commit by the VM that received the call.
    Own,
    /// Group commit by the VM that ranks first for the key's partition.
    Ranked,
}

struct StrategyReport {
    latencies_ms: Vec<f64>,
    refused: usize,
    appends: f64,
    bytes: f64,
    cpu_us: f64,
}

impl StrategyReport {
    fn percentile_ms(&self, share: f64) -> f64 {
        let last = self.latencies_ms.len().saturating_sub(1);
        let index = (last as f64 * share).round() as usize;
        self.latencies_ms.get(index).copied().unwrap_or(f64::NAN)
    }
}

fn main() {
    println!(
        "claims at {VM_COUNT} entry VMs; log: {MAX_APPENDS_PER_SECOND} appends/s, round trip 4 ms; peers: 2 ms"
    );
    println!("way     calls/s  p50 ms  p99 ms  refused  appends/s  KB/s  processor us/call");
    for rate in CALL_RATES {
        for (strategy, name) in [
            (AppendStrategy::Each, "each"),
            (AppendStrategy::Own, "own"),
            (AppendStrategy::Ranked, "ranked"),
        ] {
            let report = run(strategy, rate);
            let calls = report.latencies_ms.len() + report.refused;
            println!(
                "{name:7} {rate:7}  {:6.1}  {:6.1}  {:6.1}%  {:9.1}  {:4.0}  {:8.0}",
                report.percentile_ms(0.5),
                report.percentile_ms(0.99),
                100.0 * report.refused as f64 / calls.max(1) as f64,
                report.appends,
                report.bytes / 1_000.0,
                report.cpu_us,
            );
        }
    }
    recovery();
}

fn paused_runtime() -> runtime::Runtime {
    runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime")
}

fn log() -> memory::MemoryLog {
    let log = memory::MemoryLog::new(1, 1_000_000);
    log.change_faults(|faults| {
        faults.one_way = LOG_ONE_WAY_LATENCY;
        faults.appends_per_second = Some(MAX_APPENDS_PER_SECOND);
    });
    log
}

fn run(strategy: AppendStrategy, rate: u64) -> StrategyReport {
    // If every VM reads every partition the simulation itself becomes slow, so it runs for less
    // time.
    let seconds = if strategy == AppendStrategy::Own {
        4
    } else {
        20
    };
    let started_at = std::time::Instant::now();
    let mut report = paused_runtime().block_on(simulate(strategy, rate, seconds));
    let calls = (rate * seconds) as f64;
    report.cpu_us = started_at.elapsed().as_micros() as f64 / calls;
    report.latencies_ms.sort_by(f64::total_cmp);
    report
}

fn routers(
    log: &memory::MemoryLog,
    strategy: AppendStrategy,
) -> Vec<route::LedgerRouter<memory::MemoryLog, BenchPeers>> {
    let names: Vec<String> = (0..VM_COUNT).map(|index| format!("vm-{index}")).collect();
    let hosts: HostMap = names
        .iter()
        .map(|name| {
            let host =
                host::LedgerHost::new(log.clone(), name.clone(), host::HostSettings::default());
            (name.clone(), sync::Arc::new(host))
        })
        .collect();
    let hosts = sync::Arc::new(hosts);
    let all_names = sync::Arc::new(names.clone());
    names
        .iter()
        .enumerate()
        .map(|(index, name)| {
            let live = match strategy {
                AppendStrategy::Own => sync::Arc::new(vec![name.clone()]),
                _ => sync::Arc::clone(&all_names),
            };
            let peers = BenchPeers {
                hosts: sync::Arc::clone(&hosts),
                live,
            };
            let mut seed = [7; 32];
            seed[..8].copy_from_slice(&(index as u64).to_le_bytes());
            let host = sync::Arc::clone(&hosts[name]);
            route::LedgerRouter::new(host, peers, route::RouteSettings::default(), seed)
        })
        .collect()
}

async fn simulate(strategy: AppendStrategy, rate: u64, seconds: u64) -> StrategyReport {
    let log = log();
    let routers = routers(&log, strategy);
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(rate);
    let mut calls: Vec<task::JoinHandle<Option<time::Duration>>> = Vec::new();
    let started_at = time::Instant::now();
    let mut at_s = 0.0;
    loop {
        at_s -= (1.0 - rng.random::<f64>()).ln() / rate as f64;
        if at_s > seconds as f64 {
            break;
        }
        time::sleep_until(started_at + time::Duration::from_secs_f64(at_s)).await;
        let key = format!("{}-call-{}", log.now_ms(), calls.len());
        let vm = rng.random_range(0..VM_COUNT);
        calls.push(match strategy {
            AppendStrategy::Each => tokio::spawn(append_each(log.clone(), key)),
            _ => tokio::spawn(claim_call(routers[vm].clone(), key)),
        });
    }
    let mut report = StrategyReport {
        latencies_ms: Vec::new(),
        refused: 0,
        appends: 0.0,
        bytes: 0.0,
        cpu_us: 0.0,
    };
    for call in calls {
        match call.await.expect("a call") {
            Some(wait) => report.latencies_ms.push(wait.as_secs_f64() * 1e3),
            None => report.refused += 1,
        }
    }
    report.appends = log.counts().appended as f64 / seconds as f64;
    report.bytes = log.counts().bytes as f64 / seconds as f64;
    report
}

fn outcome() -> claims::SettledOutcome {
    claims::SettledOutcome::Ran(claims::StoredOutcome {
        status: 201,
        content_type: Some(String::from("application/json")),
        body: Some(claims::StoredBody(bytes::Bytes::from(vec![b'x'; 200]))),
    })
}

async fn claim_call(
    router: route::LedgerRouter<memory::MemoryLog, BenchPeers>,
    key: String,
) -> Option<time::Duration> {
    let started_at = time::Instant::now();
    let call = permit::ClaimCall {
        organisation: String::from("depot-3"),
        content: fingerprint::ContentHash::of(key.as_bytes()),
        key,
    };
    let permit::ClaimAnswer::Granted(permit) = router.claim(call).await else {
        return None;
    };
    let wait = started_at.elapsed();
    time::sleep(SERVICE_TIME).await;
    tokio::spawn(async move { router.settle(permit, outcome()).await });
    Some(wait)
}

/// The simplest strategy: appends the claim, then reads the records before it.
async fn append_each(log: memory::MemoryLog, key: String) -> Option<time::Duration> {
    let started_at = time::Instant::now();
    let stream = partition::claim_stream(partition::of_key("depot-3", &key));
    let entry = record::EncodedEntry::new(id::RecordId(1), 0, &key).expect("an entry");
    let body = record::encode("vm-0", [&entry]);
    let offset = log.append(&stream, body.clone()).await.ok()?;
    let query = client::ReadQuery {
        stream: stream.clone(),
        from: offset.saturating_sub(100),
        max: 100,
        wait_ms: 0,
    };
    log.read(&query).await.ok()?;
    let wait = started_at.elapsed();
    time::sleep(SERVICE_TIME).await;
    tokio::spawn(async move { log.append(&stream, body).await });
    Some(wait)
}

/// Measures the time until an entry VM that becomes the appender gives its first answer.
fn recovery() {
    println!("new appender behind a full window: records read, virtual ms, processor ms");
    for records in [1_000_u64, 24_000] {
        let started_at = std::time::Instant::now();
        let virtual_ms = paused_runtime().block_on(async {
            let log = log();
            log.change_faults(|faults| faults.appends_per_second = None);
            fill(&log, records).await;
            let router = routers(&log, AppendStrategy::Own).remove(0);
            let key = key_of_partition(&log);
            let started_at = time::Instant::now();
            claim_call(router, key).await;
            started_at.elapsed().as_millis() - SERVICE_TIME.as_millis()
        });
        println!(
            "{records:7} {virtual_ms:6} {:6}",
            started_at.elapsed().as_millis()
        );
    }
}

/// Returns a key of partition 0.
fn key_of_partition(log: &memory::MemoryLog) -> String {
    (0..)
        .map(|number| format!("{}-late-{number}", log.now_ms()))
        .find(|key| partition::of_key("depot-3", key).0 == 0)
        .expect("some key")
}

/// Appends records of 15 claims each, as in a partition under load.
async fn fill(log: &memory::MemoryLog, records: u64) {
    let mut number = 0;
    for _ in 0..records {
        let entries: Vec<record::EncodedEntry> = (0..15)
            .map(|_| {
                number += 1;
                let item = claims::ClaimEntry::Claim(claims::ClaimItem {
                    organisation: String::from("depot-3"),
                    key: format!("{}-old-{number}", log.now_ms()),
                    content: fingerprint::ContentHash::of(b"book"),
                    holder: String::from("vm-0"),
                    hold_ms: 5_000,
                    run_ms: 10_000,
                });
                record::EncodedEntry::new(id::RecordId(number), 0, &item).expect("an entry")
            })
            .collect();
        let body = record::encode("vm-0", &entries);
        log.append("calls-0", body).await.expect("an append");
    }
}

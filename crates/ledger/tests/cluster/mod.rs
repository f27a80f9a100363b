//! A test cluster: entry VMs in one process over one in-memory log, with faults in the log and in
//! the network between them.

#![allow(dead_code, reason = "each test file uses a part")]

use std::{collections, sync};

use arbitrary::Unstructured;
use base::fingerprint;
use ledger::client::LogClient;
use ledger::route::LedgerPeers;
use ledger::{claims, client, host, memory, permit, route, signal};
use tokio::time;

pub type TestRouter = route::LedgerRouter<PausableClient, TestPeers>;
type HostMap = collections::BTreeMap<String, sync::Arc<host::LedgerHost<PausableClient>>>;

/// Client of the log for one VM. While the VM is paused it delays both requests and answers.
#[derive(Clone)]
pub struct PausableClient {
    log: memory::MemoryLog,
    paused: sync::Arc<signal::StateSignal<bool>>,
}

impl PausableClient {
    async fn wait_while_paused(&self) {
        self.paused.wait_for(|paused| !*paused).await;
    }
}

impl LogClient for PausableClient {
    async fn append(&self, stream: &str, body: bytes::Bytes) -> Result<u64, client::AppendError> {
        self.wait_while_paused().await;
        let result = self.log.append(stream, body).await;
        self.wait_while_paused().await;
        result
    }

    async fn read(&self, query: &client::ReadQuery) -> Result<client::ReadPage, client::ReadError> {
        self.wait_while_paused().await;
        let result = self.log.read(query).await;
        self.wait_while_paused().await;
        result
    }
}

/// The network between the entry VMs, which share nothing else.
#[derive(Clone)]
pub struct Network {
    shared: sync::Arc<sync::Mutex<NetworkState>>,
}

struct NetworkState {
    hosts: HostMap,
    /// The VMs that each VM believes to be live.
    views: collections::BTreeMap<String, Vec<String>>,
    /// Randomly chosen fates of the next calls: request lost, answer lost, or a delay.
    fates: collections::VecDeque<u8>,
}

#[derive(Clone)]
pub struct TestPeers {
    name: String,
    network: Network,
}

impl LedgerPeers for TestPeers {
    fn live_vms(&self) -> Vec<String> {
        self.network.view_of(&self.name)
    }

    async fn call(
        &self,
        vm: &str,
        request: &host::LedgerRequest,
        limit: time::Duration,
    ) -> Result<host::LedgerReply, route::PeerError> {
        let (host, fate) = {
            let mut state = self.network.lock();
            let fate = state.fates.pop_front().unwrap_or(0);
            (state.hosts.get(vm).cloned(), fate)
        };
        let host = host.ok_or(route::PeerError::NotDelivered)?;
        match fate {
            200.. => {
                time::sleep(limit).await;
                Err(route::PeerError::Lost)
            }
            // The answer is lost, but the other VM still completes the request.
            150..200 => {
                let request = request.clone();
                tokio::spawn(async move { host.handle(request).await });
                time::sleep(limit).await;
                Err(route::PeerError::Lost)
            }
            _ => {
                time::sleep(time::Duration::from_millis(u64::from(fate) / 8)).await;
                time::timeout(limit, host.handle(request.clone()))
                    .await
                    .map_err(|_| route::PeerError::Lost)
            }
        }
    }
}

impl Network {
    pub fn view_of(&self, vm: &str) -> Vec<String> {
        self.lock().views.get(vm).cloned().unwrap_or_default()
    }

    fn lock(&self) -> sync::MutexGuard<'_, NetworkState> {
        self.shared
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// One incarnation of an entry VM.
pub struct TestVm {
    pub router: TestRouter,
    pub host: sync::Arc<host::LedgerHost<PausableClient>>,
    pause: sync::Arc<signal::StateSignal<bool>>,
}

/// The log, the network and the entry VMs.
pub struct TestCluster {
    pub log: memory::MemoryLog,
    pub network: Network,
    pub vms: Vec<TestVm>,
    names: Vec<String>,
    settings: host::HostSettings,
    route: route::RouteSettings,
    incarnations: u64,
}

impl TestCluster {
    pub fn new(
        seed: u64,
        count: usize,
        settings: host::HostSettings,
        route: route::RouteSettings,
    ) -> Self {
        let state = NetworkState {
            hosts: HostMap::new(),
            views: collections::BTreeMap::new(),
            fates: collections::VecDeque::new(),
        };
        let names: Vec<String> = (0..count).map(|index| format!("vm-{index}")).collect();
        let mut cluster = Self {
            log: memory::MemoryLog::new(seed, 1_000_000),
            network: Network {
                shared: sync::Arc::new(sync::Mutex::new(state)),
            },
            vms: Vec::new(),
            names,
            settings,
            route,
            incarnations: seed << 16,
        };
        for index in 0..count {
            let vm = cluster.start_vm(index);
            cluster.vms.push(vm);
        }
        cluster
    }

    fn start_vm(&mut self, index: usize) -> TestVm {
        self.incarnations += 1;
        let name = self.names[index].clone();
        let pause = sync::Arc::new(signal::StateSignal::new(false));
        let paused = pause.clone();
        let log = self.log.clone();
        let client = PausableClient { log, paused };
        let host = host::LedgerHost::new(client, name.clone(), self.settings.clone());
        let host = sync::Arc::new(host);
        let mut state = self.network.lock();
        state.hosts.insert(name.clone(), sync::Arc::clone(&host));
        state.views.insert(name.clone(), self.names.clone());
        drop(state);
        let peers = TestPeers {
            name,
            network: self.network.clone(),
        };
        let mut seed = [0; 32];
        seed[..8].copy_from_slice(&self.incarnations.to_le_bytes());
        let route = self.route.clone();
        let router = route::LedgerRouter::new(sync::Arc::clone(&host), peers, route, seed);
        TestVm {
            router,
            host,
            pause,
        }
    }

    /// Replaces a VM by a new incarnation without any state.
    pub fn replace(&mut self, index: usize) {
        let vm = self.start_vm(index);
        self.vms[index] = vm;
    }

    pub fn pause(&self, index: usize, paused: bool) {
        self.vms[index].pause.replace(paused);
    }

    /// Chooses new random faults of the log and the network and new views of the live VMs.
    pub fn draw_faults(&self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        let down = u.ratio(1, 5)?;
        let lose_answer = f64::from(u.int_in_range(0..=6_u8)?) / 10.0;
        let late = f64::from(u.int_in_range(0..=3_u8)?) / 10.0;
        let late_ms = u64::from(u.int_in_range(1..=60_u8)?) * 100;
        let lose_request = f64::from(u.int_in_range(0..=3_u8)?) / 10.0;
        let fail_read = f64::from(u.int_in_range(0..=5_u8)?) / 10.0;
        let capped = u.ratio(1, 4)?;
        self.log.change_faults(|faults| {
            faults.down = down;
            faults.lose_answer = lose_answer;
            faults.late = late;
            faults.late_ms = late_ms;
            faults.lose_request = lose_request;
            faults.fail_read = fail_read;
            faults.appends_per_second = capped.then_some(5);
        });
        let mut state = self.network.lock();
        state.fates = (0..8)
            .map(|_| u.arbitrary())
            .collect::<arbitrary::Result<_>>()?;
        for name in &self.names {
            let view = self.names.iter().filter(|_| u.ratio(3, 4).unwrap_or(true));
            let view: Vec<String> = view.cloned().collect();
            state.views.insert(name.clone(), view);
        }
        Ok(())
    }

    /// Clears all faults.
    pub fn clear_faults(&self) {
        let retention_ms = self.settings.claims.limits.retention_ms;
        self.log.change_faults(|faults| {
            *faults = memory::LogFaults {
                retention_ms: Some(retention_ms),
                one_way: time::Duration::from_millis(1),
                ..memory::LogFaults::default()
            };
        });
        let mut state = self.network.lock();
        state.fates.clear();
        for name in &self.names {
            state.views.insert(name.clone(), self.names.clone());
        }
        drop(state);
        for index in 0..self.vms.len() {
            self.pause(index, false);
        }
    }
}

/// Runs one history on a paused clock, so that every run of it is the same.
pub fn run_paused<T>(history: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime")
        .block_on(history)
}

/// Returns the number of histories: the default, or `POLLENCHUTE_HISTORIES` if it is set.
pub fn history_count(default_count: u64) -> u64 {
    std::env::var("POLLENCHUTE_HISTORIES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default_count)
}

/// Runs `property` on the histories 0, 1, … and prints the number of the one that failed.
pub fn check_histories(
    default_count: u64,
    entropy_bytes: u64,
    property: impl Fn(&mut Unstructured<'_>, u64) -> arbitrary::Result<()>,
) {
    let only = std::env::var("POLLENCHUTE_HISTORY").ok();
    let only: Option<u64> = only.and_then(|text| text.parse().ok());
    let numbers = only.map_or(0..history_count(default_count), |number| number..number + 1);
    for number in numbers {
        let seed = (number.wrapping_mul(0x9E37_79B9) << 32) | entropy_bytes;
        let ran = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            arbtest::arbtest(|u| property(u, number)).seed(seed).run();
        }));
        if let Err(cause) = ran {
            eprintln!("history {number} failed; run it alone with POLLENCHUTE_HISTORY={number}");
            std::panic::resume_unwind(cause);
        }
    }
}

/// Runs histories twice and checks that the result of a history depends on its seed alone.
pub fn check_repeatable(
    count: u64,
    entropy_bytes: u64,
    run: impl Fn(&mut Unstructured<'_>, u64) -> arbitrary::Result<String>,
) {
    let traces = sync::Mutex::new(collections::BTreeMap::<u64, String>::new());
    for round in 0..2 {
        check_histories(count, entropy_bytes, |u, number| {
            let trace = run(u, number)?;
            let mut traces = traces.lock().expect("traces");
            let first = traces.insert(number, trace.clone());
            assert!(round == 0 || first == Some(trace), "history {number}");
            Ok(())
        });
    }
    let completed = traces.lock().expect("traces").len() as u64;
    assert!(
        completed > count / 2,
        "{completed} histories had enough random input"
    );
}

/// A call that may not run twice.
pub fn booking(key: &str) -> permit::ClaimCall {
    permit::ClaimCall {
        organisation: String::from("depot-3"),
        key: key.to_owned(),
        content: fingerprint::ContentHash::of(b"book"),
    }
}

/// Outcome of such a call.
pub fn booked() -> claims::SettledOutcome {
    claims::SettledOutcome::Ran(claims::StoredOutcome {
        status: 201,
        content_type: None,
        body: Some(claims::StoredBody("booked".into())),
    })
}

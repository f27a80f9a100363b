//! Environment for end-to-end tests: stand-ins and entry daemons in this process.

#![allow(
    dead_code,
    reason = "each test file uses a different part of this module"
)]

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use base::id;
use entry::{daemon, settings};
use load::{env as load_env, site};
use tokio::{runtime, task};

/// An API key of the example deployment.
pub const API_KEY: &str = "pw-key-gate-scanners";

/// An operator key of the example deployment.
pub const OPERATOR_KEY: &str = "pw-key-operator-linh";

/// Stand-ins and running entry daemons.
pub struct TestEnv {
    /// The stand-ins.
    pub site: site::StandSite,
    /// The daemons.
    pub daemons: Vec<daemon::RunningDaemon>,
    /// Runtime of each daemon; dropping it stops all tasks of the daemon, as if its process were
    /// killed.
    runtimes: Vec<runtime::Runtime>,
    /// HTTP client for requests.
    pub client: reqwest::Client,
}

impl TestEnv {
    /// Starts the Pass Works deployment with `entries` entry VMs and waits for its configuration.
    pub async fn start(entries: usize) -> Self {
        Self::start_with_notice(entries, Duration::ZERO).await
    }

    /// Like [`Self::start`]; a stopping daemon accepts requests for another `notice`.
    pub async fn start_with_notice(entries: usize, notice: Duration) -> Self {
        let configuration = site::PASS_WORKS.configuration().unwrap();
        let mut site = site::StandSite::start(configuration).await.unwrap();
        let vms = &mut site.configuration.inventory.entry_vms;
        let names: Vec<String> = vms.keys().take(entries).cloned().collect();
        vms.retain(|name, _| names.contains(name));
        let bounds = settings::BoundSettings {
            notice_ms: notice.as_millis() as u64,
            ..settings::BoundSettings::default()
        };
        let mut daemons = Vec::new();
        let mut runtimes = Vec::new();
        for name in names {
            let runtime = daemon_runtime();
            let settings = load_env::daemon_settings(&site, &name, &bounds);
            let starting = runtime.spawn(daemon::start(settings));
            let running = starting.await.unwrap().unwrap();
            runtimes.push(runtime);
            if let Some(vm) = site.configuration.inventory.entry_vms.get_mut(&name) {
                vm.callers = running.callers();
                vm.peers = running.peers();
            }
            daemons.push(running);
        }
        let env = Self {
            site,
            daemons,
            runtimes,
            client: reqwest::Client::new(),
        };
        load_env::publish(&env.site).await.unwrap();
        env.wait_ready().await;
        env
    }

    async fn wait_ready(&self) {
        for entry in 0..self.daemons.len() {
            self.wait_revision(entry, 1).await;
        }
    }

    /// Stops the daemon `entry` and starts a new one with the same name, addresses and failure
    /// domain.
    pub async fn restart(&mut self, entry: usize) {
        let settings = self.daemons[entry].state().settings.clone();
        let callers = self.daemons[entry].callers();
        let peers = self.daemons[entry].peers();
        let others = self
            .daemons
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != entry);
        let seeds = others.map(|(_, daemon)| seed_of(daemon)).collect();
        let bound = settings::DaemonSettings {
            callers,
            peers,
            seeds,
            ..settings
        };
        self.stop(entry).await;
        let runtime = daemon_runtime();
        let mut restarted = runtime.spawn(daemon::start(bound.clone())).await.unwrap();
        while restarted.is_err() {
            // The port of the stopped daemon may not be free immediately.
            tokio::time::sleep(Duration::from_millis(50)).await;
            restarted = runtime.spawn(daemon::start(bound.clone())).await.unwrap();
        }
        self.daemons.insert(entry, restarted.unwrap());
        self.runtimes.insert(entry, runtime);
    }

    /// Stops a daemon gracefully; the indices of the later daemons decrease by one.
    pub async fn stop(&mut self, entry: usize) {
        self.daemons.remove(entry).stop().await;
        self.runtimes.remove(entry).shutdown_background();
    }

    /// Begins to stop a daemon gracefully; the indices of the later daemons decrease by one.
    pub fn begin_stop(&mut self, entry: usize) -> task::JoinHandle<()> {
        let daemon = self.daemons.remove(entry);
        let runtime = self.runtimes.remove(entry);
        tokio::spawn(async move {
            daemon.stop().await;
            runtime.shutdown_background();
        })
    }

    /// Kills a daemon; the indices of the later daemons decrease by one.
    pub fn kill(&mut self, entry: usize) {
        drop(self.daemons.remove(entry));
        self.runtimes.remove(entry).shutdown_background();
    }

    /// Publishes a change through one entry VM, as an operator.
    pub async fn change(
        &self,
        entry: usize,
        base_revision: u64,
        patch: serde_json::Value,
    ) -> reqwest::Response {
        let record = id::RecordId::draw(&mut rand::rng());
        let url = format!("http://{}/ops/publish", self.daemons[entry].callers());
        let request = serde_json::json!({
            "record": record, "base_revision": base_revision, "change": patch,
        });
        self.client
            .post(url)
            .bearer_auth(OPERATOR_KEY)
            .json(&request)
            .send()
            .await
            .unwrap()
    }

    /// Sends a GET request to the operator API of one entry VM.
    pub async fn operate(&self, entry: usize, path: &str) -> serde_json::Value {
        let url = format!("http://{}{path}", self.daemons[entry].callers());
        let answer = self
            .client
            .get(url)
            .bearer_auth(OPERATOR_KEY)
            .send()
            .await
            .unwrap();
        answer.json().await.unwrap()
    }

    /// Returns the revision in force on one entry VM.
    pub fn revision(&self, entry: usize) -> u64 {
        self.daemons[entry]
            .state()
            .active_config
            .snapshot()
            .revision()
    }

    /// Waits until `revision` is in force on one entry VM.
    pub async fn wait_revision(&self, entry: usize, revision: u64) {
        for _ in 0..400 {
            if self.revision(entry) >= revision {
                return;
            }
            tokio::time::sleep(Duration::from_millis(25)).await;
        }
        panic!("revision {revision} never came into force on entry {entry}");
    }

    /// Builds a POST request to one entry VM with the example's key.
    pub fn request(&self, entry: usize, path: &str) -> reqwest::RequestBuilder {
        let url = format!("http://{}{path}", self.daemons[entry].callers());
        self.client.post(url).bearer_auth(API_KEY)
    }

    /// Posts JSON to one entry VM.
    pub async fn post(
        &self,
        entry: usize,
        path: &str,
        body: &serde_json::Value,
    ) -> reqwest::Response {
        self.request(entry, path).json(body).send().await.unwrap()
    }

    /// Sends a GET request to one entry VM.
    pub async fn get(&self, entry: usize, path: &str) -> reqwest::Response {
        let url = format!("http://{}{path}", self.daemons[entry].callers());
        self.client
            .get(url)
            .bearer_auth(API_KEY)
            .send()
            .await
            .unwrap()
    }
}

impl Drop for TestEnv {
    fn drop(&mut self) {
        // Dropping a runtime blocks, which is not allowed within the test's own runtime.
        for runtime in self.runtimes.drain(..) {
            runtime.shutdown_background();
        }
    }
}

fn daemon_runtime() -> runtime::Runtime {
    runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap()
}

fn seed_of(daemon: &daemon::RunningDaemon) -> settings::SeedSettings {
    let settings = &daemon.state().settings;
    settings::SeedSettings {
        vm: settings.vm.clone(),
        region: settings.region.clone(),
        failure_domain: settings.failure_domain.clone(),
        peers: daemon.peers(),
    }
}

/// Returns an idempotency key with the current time.
pub fn fresh_key(text: &str) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    format!("{}-{text}", now.as_millis())
}

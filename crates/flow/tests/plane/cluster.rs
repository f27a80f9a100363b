//! Test cluster of entry VMs, stand-in model engines and plain service servers in one process.

use std::{collections, net, sync, time::Duration};

use base::{fingerprint, id};
use conf::{document, inventory, rules, snapshot};
use flow::{memory, memory_store, plane, port, settings, suspect, token, view};
use stand::{engine, service};
use tokio::sync::watch;

use crate::links;

/// API key of the organisation of the test callers.
pub const API_KEY: &str = "key-of-troupes";

/// API key of another organisation.
pub const OTHER_API_KEY: &str = "key-of-vendors";

/// Wall clock time at the start of every test, in milliseconds since 1970.
pub const ORIGIN_MS: u64 = 1_800_000_000_000;

/// Ports of one entry VM.
pub struct ClusterPorts {
    pub engines: links::StandEngines,
    pub services: links::StandServices,
    pub schedule: memory::MemorySchedule,
    pub claims: links::SharedClaims,
    pub jobs: links::SharedJobs,
    pub clock: memory::RuntimeClock,
    pub ids: links::CountedIds,
    pub peers: LocalPeers,
}

impl port::PortSet for ClusterPorts {
    type Engines = links::StandEngines;
    type Services = links::StandServices;
    type Schedule = memory::MemorySchedule;
    type Quotas = memory::NoQuotas;
    type Claims = links::SharedClaims;
    type Jobs = links::SharedJobs;
    type Events = memory::NoEvents;
    type Clock = memory::RuntimeClock;
    type Ids = links::CountedIds;
    type Peers = LocalPeers;

    fn engines(&self) -> &links::StandEngines {
        &self.engines
    }
    fn services(&self) -> &links::StandServices {
        &self.services
    }
    fn schedule(&self) -> &memory::MemorySchedule {
        &self.schedule
    }
    fn quotas(&self) -> &memory::NoQuotas {
        &memory::NoQuotas
    }
    fn claims(&self) -> &links::SharedClaims {
        &self.claims
    }
    fn jobs(&self) -> &links::SharedJobs {
        &self.jobs
    }
    fn events(&self) -> &memory::NoEvents {
        &memory::NoEvents
    }
    fn clock(&self) -> &memory::RuntimeClock {
        &self.clock
    }
    fn ids(&self) -> &links::CountedIds {
        &self.ids
    }
    fn peers(&self) -> &LocalPeers {
        &self.peers
    }
}

/// Announces adopted generations between the entry VMs of the test cluster.
#[derive(Clone, Default)]
pub struct LocalPeers {
    planes: sync::Arc<sync::Mutex<collections::BTreeMap<String, sync::Weak<ClusterPlane>>>>,
}

impl port::PeerLink for LocalPeers {
    fn adopted(&self, vm: &str, generation: id::GenerationId) {
        let plane = self
            .planes
            .lock()
            .unwrap()
            .get(vm)
            .and_then(sync::Weak::upgrade);
        if let Some(plane) = plane {
            plane.adopted_elsewhere(generation);
        }
    }
}

pub type ClusterPlane = plane::RequestPlane<ClusterPorts>;

/// All processes of a test cluster, and controls for their faults.
pub struct TestCluster {
    pub planes: Vec<sync::Arc<ClusterPlane>>,
    pub switches: Vec<links::ProcessSwitch>,
    pub engines: Vec<engine::EngineHandle>,
    pub services: Vec<service::ServiceHandle>,
    pub chaos: links::Chaos,
    pub log_down: watch::Sender<bool>,
    pub claim_delay: sync::Arc<sync::Mutex<Duration>>,
    pub views: watch::Sender<sync::Arc<view::PlaneView>>,
    first_entry_dead: watch::Sender<bool>,
}

/// Size and settings of a test cluster.
#[derive(Clone, Debug)]
pub struct ClusterOptions {
    pub engines: usize,
    pub services: usize,
    /// Maximum number of concurrent requests on one server.
    pub max_concurrency: usize,
    pub seed: u64,
    pub fault_permille: u64,
    pub rules: rules::RuleSet,
    pub abandon_after: Option<Duration>,
    pub max_probe_servers: usize,
    pub entries: u128,
    pub suspects: suspect::SuspectLimits,
    pub min_silence_timeout: Option<Duration>,
}

impl Default for ClusterOptions {
    fn default() -> Self {
        Self {
            engines: 3,
            services: 2,
            max_concurrency: 8,
            seed: 1,
            fault_permille: 0,
            rules: rules::RuleSet::default(),
            abandon_after: None,
            max_probe_servers: 1,
            entries: 2,
            suspects: suspect::SuspectLimits::default(),
            min_silence_timeout: None,
        }
    }
}

fn inventory_of(options: &ClusterOptions) -> inventory::Inventory {
    let mut inventory = inventory::Inventory::default();
    let address = net::SocketAddr::from(([127, 0, 0, 1], 1));
    for number in 0..options.engines {
        let kind = inventory::ServerKind::ModelEngine(inventory::EngineEntry {
            models: vec!["review-llm".to_owned()],
            checks_fencing: true,
            kv_blocks: 2048,
            block_tokens: 16,
            max_batch: 32,
        });
        let entry = inventory::ServerEntry {
            failure_domain: "hall-a".to_owned(),
            address,
            kind,
        };
        inventory
            .backend_servers
            .insert(format!("engine-{number}"), entry);
    }
    for number in 0..options.services {
        let kind = inventory::ServerKind::PlainService {
            service: "pass-app".to_owned(),
        };
        let entry = inventory::ServerEntry {
            failure_domain: "hall-a".to_owned(),
            address,
            kind,
        };
        inventory
            .backend_servers
            .insert(format!("plain-{number}"), entry);
    }
    let model = inventory::ModelEntry {
        version: "1".to_owned(),
        context_tokens: 4096,
        ..inventory::ModelEntry::default()
    };
    inventory.models.insert("review-llm".to_owned(), model);
    let service = inventory::ServiceEntry {
        non_idempotent_paths: vec!["charge".to_owned()],
        max_concurrency: 16,
    };
    inventory.services.insert("pass-app".to_owned(), service);
    for (name, key) in [("troupes", API_KEY), ("vendors", OTHER_API_KEY)] {
        let organisation = inventory::OrganisationEntry {
            key_hashes: vec![fingerprint::ContentHash::of(key.as_bytes()).to_string()],
            region: "hcmc".to_owned(),
        };
        inventory
            .organisations
            .insert(name.to_owned(), organisation);
    }
    inventory
}

impl TestCluster {
    pub fn new(options: &ClusterOptions) -> Self {
        let configuration = document::Configuration {
            inventory: inventory_of(options),
            rules: options.rules.clone(),
        };
        let config = snapshot::ConfigSnapshot::default().next(1, 1, sync::Arc::new(configuration));
        let profile = |number: usize| engine::EngineProfile {
            seed: options.seed ^ number as u64,
            ..engine::EngineProfile::default()
        };
        let mut engines = collections::BTreeMap::new();
        for (number, key) in config.servers_of_model("review-llm").iter().enumerate() {
            engines.insert(*key, engine::EngineHandle::spawn(profile(number)));
        }
        let mut services = collections::BTreeMap::new();
        for key in config.servers_of_service("pass-app") {
            let profile = service::ServiceProfile::default();
            services.insert(*key, service::ServiceHandle::new(profile));
        }
        let view = view::PlaneView {
            config: sync::Arc::new(config),
            leaving: sync::Arc::default(),
        };
        let mut cluster = Self {
            planes: Vec::new(),
            switches: Vec::new(),
            engines: engines.values().cloned().collect(),
            services: services.values().cloned().collect(),
            chaos: links::Chaos::new(options.seed, options.fault_permille),
            log_down: watch::Sender::new(false),
            claim_delay: sync::Arc::default(),
            views: watch::Sender::new(sync::Arc::new(view)),
            first_entry_dead: watch::Sender::new(false),
        };
        cluster.add_planes(options, &engines, &services);
        cluster
    }

    fn add_planes(
        &mut self,
        options: &ClusterOptions,
        engines: &collections::BTreeMap<id::ServerKey, engine::EngineHandle>,
        services: &collections::BTreeMap<id::ServerKey, service::ServiceHandle>,
    ) {
        let claims = sync::Arc::new(memory_store::MemoryClaims::default());
        let jobs = sync::Arc::new(memory_store::MemoryJobs::default());
        let peers = LocalPeers::default();
        for entry in 0..options.entries {
            let switch = links::ProcessSwitch::new();
            let vm = format!("entry-{entry}");
            let ports = ClusterPorts {
                engines: links::StandEngines {
                    handles: engines.clone(),
                    chaos: self.chaos.clone(),
                    switch: switch.clone(),
                },
                services: links::StandServices {
                    handles: services.clone(),
                    switch: switch.clone(),
                },
                schedule: memory::MemorySchedule::new(
                    self.views.subscribe(),
                    options.max_concurrency,
                ),
                claims: links::SharedClaims {
                    store: claims.clone(),
                    down: self.log_down.clone(),
                    late: self.claim_delay.clone(),
                    switch: switch.clone(),
                },
                jobs: links::SharedJobs {
                    store: jobs.clone(),
                    down: self.log_down.clone(),
                    switch: switch.clone(),
                },
                clock: memory::RuntimeClock::new(ORIGIN_MS),
                ids: links::CountedIds {
                    entry,
                    next: sync::atomic::AtomicU64::new(0),
                },
                peers: peers.clone(),
            };
            let secret = token::TokenKey {
                id: 1,
                secret: b"shared by all entry VMs".to_vec(),
            };
            let keys = token::TokenKeys::new(secret, None);
            let mut settings = settings::PlaneSettings::new(vm.clone(), keys);
            settings.abandon_after = options.abandon_after;
            settings.max_probe_servers = options.max_probe_servers;
            settings.suspects = options.suspects;
            settings.min_silence_timeout = options
                .min_silence_timeout
                .unwrap_or(settings.min_silence_timeout);
            let plane = plane::RequestPlane::new(ports, settings, self.views.subscribe());
            let plane = sync::Arc::new(plane);
            let weak = sync::Arc::downgrade(&plane);
            peers.planes.lock().unwrap().insert(vm, weak);
            self.planes.push(plane);
            self.switches.push(switch);
        }
    }

    /// Kills the first entry VM: it sends nothing from here on, and its connections are closed.
    pub fn kill_first_entry(&self) {
        self.switches[0].set(false);
        self.first_entry_dead.send_replace(true);
    }

    pub fn is_first_entry_dead(&self) -> bool {
        *self.first_entry_dead.borrow()
    }

    /// Completes when the callers' connections to an entry VM are closed.
    pub async fn disconnected(&self, entry: usize) {
        let mut watcher = self.first_entry_dead.subscribe();
        if entry > 0 || watcher.wait_for(|dead| *dead).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Marks an engine as leaving in the views of all entry VMs.
    pub fn mark_leaving(&self, engine: usize) {
        self.views.send_modify(|view| {
            let mut leaving = collections::BTreeSet::clone(&view.leaving);
            leaving.insert(view.config.servers_of_model("review-llm")[engine]);
            *view = sync::Arc::new(view::PlaneView {
                config: view.config.clone(),
                leaving: sync::Arc::new(leaving),
            });
        });
    }

    /// Number of times that calls with this key ran, summed over all servers.
    pub fn runs_of_key(&self, key: &str) -> u64 {
        let counts = self.services.iter().map(service::ServiceHandle::counts);
        counts
            .map(|counts| counts.by_key.get(key).copied().unwrap_or(0))
            .sum()
    }

    /// Number of times that this request ran, summed over all servers.
    pub fn runs_of_request(&self, request: id::RequestId) -> u64 {
        let request = request.to_string();
        let counts = self.services.iter().map(service::ServiceHandle::counts);
        counts
            .map(|counts| counts.by_request.get(&request).copied().unwrap_or(0))
            .sum()
    }
}

/// Runs a future on a paused clock.
pub fn run_paused<F: Future<Output = ()>>(future: F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(future);
}

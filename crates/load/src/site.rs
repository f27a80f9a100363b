//! In-process stand-ins of the platform and the backend servers of one configuration.

use std::{collections, net};

use conf::{document, fault, inventory, place};
use stand::{engine, http, log, service, vms, weights};

/// Stand-ins that listen on loopback ports; they stop when this value is dropped.
#[derive(Debug)]
pub struct StandSite {
    /// Configuration with the addresses at which the stand-ins listen.
    pub configuration: document::Configuration,
    /// The platform's log.
    pub log: log::LogHandle,
    /// The platform's list of VMs.
    pub vms: vms::VmsHandle,
    /// The platform's weight store.
    pub weights: weights::WeightsHandle,
    /// Model engines by name.
    pub engines: collections::BTreeMap<String, engine::EngineHandle>,
    /// Plain service servers by name.
    pub services: collections::BTreeMap<String, service::ServiceHandle>,
    /// Addresses of the platform's stand-ins.
    pub addresses: PlatformAddresses,
    /// Running servers; dropping them would stop the stand-ins.
    servers: Vec<http::RunningServer>,
}

/// Addresses of the platform's stand-ins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformAddresses {
    /// The log.
    pub log: net::SocketAddr,
    /// The list of VMs.
    pub vms: net::SocketAddr,
    /// The weight store.
    pub weights: net::SocketAddr,
}

/// Loopback address with an automatically assigned port.
pub const ANY_PORT: net::SocketAddr =
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), 0);

/// File contents of one example.
#[derive(Clone, Copy, Debug)]
pub struct ExampleTexts {
    /// Directory of the example below `examples`.
    pub name: &'static str,
    /// The inventory.
    pub inventory: &'static str,
    /// The rules.
    pub rules: &'static str,
    /// The scenario.
    pub scenario: &'static str,
}

/// The deployment of Hoi An Pass Works.
pub const PASS_WORKS: ExampleTexts = ExampleTexts {
    name: "pass-works",
    inventory: include_str!("../../../examples/pass-works/inventory.jsonc"),
    rules: include_str!("../../../examples/pass-works/rules.jsonc"),
    scenario: include_str!("../../../examples/pass-works/scenario.jsonc"),
};

impl ExampleTexts {
    /// Parses the configuration of the example.
    ///
    /// # Errors
    ///
    /// Returns all errors in the files of the example.
    pub fn configuration(&self) -> Result<document::Configuration, fault::FaultList> {
        let inventory = place::SourceText {
            file: "inventory.jsonc",
            text: self.inventory,
        };
        let rules = place::SourceText {
            file: "rules.jsonc",
            text: self.rules,
        };
        document::parse(inventory, rules)
    }
}

impl StandSite {
    /// Starts a stand-in for every component of `configuration` except the entry VMs.
    ///
    /// # Errors
    ///
    /// Returns an error if a stand-in cannot listen.
    pub async fn start(configuration: document::Configuration) -> Result<Self, http::ServeError> {
        let live = configuration.inventory.entry_vms.keys().cloned().collect();
        let log = log::LogHandle::new(log::LogProfile::default());
        let vms = vms::VmsHandle::new(&vms::VmsProfile {
            live,
            ..vms::VmsProfile::default()
        });
        let weights = weights::WeightsHandle::new(weights::WeightsProfile::default());
        let servers = vec![
            log::serve(log.clone(), ANY_PORT).await?,
            vms::serve(vms.clone(), ANY_PORT).await?,
            weights::serve(weights.clone(), ANY_PORT).await?,
        ];
        let addresses = PlatformAddresses {
            log: servers[0].address(),
            vms: servers[1].address(),
            weights: servers[2].address(),
        };
        let mut site = Self {
            configuration,
            log,
            vms,
            weights,
            engines: collections::BTreeMap::new(),
            services: collections::BTreeMap::new(),
            addresses,
            servers,
        };
        site.start_backends().await?;
        Ok(site)
    }

    async fn start_backends(&mut self) -> Result<(), http::ServeError> {
        let entries = self.configuration.inventory.backend_servers.clone();
        for (number, (name, mut entry)) in entries.into_iter().enumerate() {
            let server = match &entry.kind {
                inventory::ServerKind::ModelEngine(engine) => {
                    let profile = self.engine_profile(engine, number);
                    let handle = engine::EngineHandle::spawn(profile);
                    self.engines.insert(name.clone(), handle.clone());
                    engine::serve(handle, ANY_PORT).await?
                }
                inventory::ServerKind::PlainService { .. } => {
                    let handle = service::ServiceHandle::new(service::ServiceProfile {
                        server: name.clone(),
                        ..service::ServiceProfile::default()
                    });
                    self.services.insert(name.clone(), handle.clone());
                    service::serve(handle, ANY_PORT).await?
                }
            };
            entry.address = server.address();
            self.servers.push(server);
            let servers = &mut self.configuration.inventory.backend_servers;
            servers.insert(name, entry);
        }
        Ok(())
    }

    fn engine_profile(
        &self,
        entry: &inventory::EngineEntry,
        number: usize,
    ) -> engine::EngineProfile {
        let models = &self.configuration.inventory.models;
        // An engine starts with the first model that it may serve.
        let name = entry.models.first().cloned().unwrap_or_default();
        let model = models.get(&name).cloned().unwrap_or_default();
        engine::EngineProfile {
            model: name,
            version: model.version,
            adapters: model.adapters,
            checks_fencing: entry.checks_fencing,
            total_blocks: entry.kv_blocks,
            block_tokens: entry.block_tokens,
            max_batch: entry.max_batch,
            context_tokens: model.context_tokens,
            seed: number as u64,
            ..engine::EngineProfile::default()
        }
    }

    /// Returns the number of runs of each idempotency key over all plain service servers.
    #[must_use]
    pub fn runs_by_key(&self) -> collections::BTreeMap<String, u64> {
        let mut runs = collections::BTreeMap::new();
        for handle in self.services.values() {
            for (key, count) in handle.counts().by_key {
                *runs.entry(key).or_default() += count;
            }
        }
        runs
    }

    /// Returns the preemptions of all engines by priority.
    #[must_use]
    pub fn preemptions(&self) -> [u64; 3] {
        let mut sums = [0; 3];
        for handle in self.engines.values() {
            for (sum, count) in sums.iter_mut().zip(handle.preemptions_by_priority()) {
                *sum += count;
            }
        }
        sums
    }

    /// Returns the number of generations that run or wait on all engines.
    #[must_use]
    pub fn live_generations(&self) -> u32 {
        let reports = self.engines.values().map(engine::EngineHandle::report);
        reports.map(|report| report.running + report.waiting).sum()
    }
}

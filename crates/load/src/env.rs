//! Runs the complete system in this process: stand-ins and entry VMs on loopback.

use std::{collections, net, time::Duration};

use base::id;
use conf::{change, document};
use entry::{daemon, settings};
use tokio::time;

use crate::{scenario, site};

/// Log stream that holds the configuration.
const CONFIGURATION: &str = "configuration";

/// Timeout of waiting for an entry VM to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval between two readiness checks of an entry VM.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The environment cannot be started.
#[derive(Debug)]
#[derive(snafu::Snafu)]
pub enum EnvError {
    /// A stand-in does not start.
    #[snafu(transparent)]
    Stand {
        /// Cause of the failure.
        source: stand::http::ServeError,
    },
    /// An entry VM does not start.
    #[snafu(transparent)]
    Daemon {
        /// Cause of the failure.
        source: daemon::StartError,
    },
    /// The log rejects the configuration.
    #[snafu(display("the log rejected the configuration: {reason}; start again"))]
    Publish {
        /// Error from the log.
        reason: String,
    },
    /// An entry VM does not become ready.
    #[snafu(display("entry VM {vm} is not ready after {READY_TIMEOUT:?}: {last}; see its log"))]
    NotReady {
        /// Name of the entry VM.
        vm: String,
        /// Last response or error of the readiness check.
        last: String,
    },
}

/// Stand-ins and entry VMs of one configuration.
#[derive(Debug)]
pub struct TestEnv {
    /// Stand-ins of the platform and the backend servers.
    pub site: site::StandSite,
    /// Running entry VMs by name.
    pub entries: collections::BTreeMap<String, daemon::RunningDaemon>,
}

impl TestEnv {
    /// Starts all components in `configuration`, publishes it and waits until every entry VM is
    /// ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a component does not start.
    pub async fn start(configuration: document::Configuration) -> Result<Self, EnvError> {
        Self::start_bounded(configuration, settings::BoundSettings::default()).await
    }

    /// Like [`Self::start`], with resource bounds for each entry VM.
    ///
    /// # Errors
    ///
    /// Returns an error if a component does not start.
    pub async fn start_bounded(
        configuration: document::Configuration,
        bounds: settings::BoundSettings,
    ) -> Result<Self, EnvError> {
        Self::at_site(site::StandSite::start(configuration).await?, bounds).await
    }

    /// Starts the entry VMs of a site whose stand-ins are already listening.
    ///
    /// # Errors
    ///
    /// Returns an error if a component does not start.
    pub async fn at_site(
        mut site: site::StandSite,
        bounds: settings::BoundSettings,
    ) -> Result<Self, EnvError> {
        let mut entries = collections::BTreeMap::new();
        let names: Vec<String> = site
            .configuration
            .inventory
            .entry_vms
            .keys()
            .cloned()
            .collect();
        for vm in names {
            let running = daemon::start(daemon_settings(&site, &vm, &bounds)).await?;
            // The ports are known only after the start, so the configuration is published later.
            let inventory = &mut site.configuration.inventory;
            if let Some(entry) = inventory.entry_vms.get_mut(&vm) {
                entry.callers = running.callers();
                entry.peers = running.peers();
            }
            entries.insert(vm, running);
        }
        publish(&site).await?;
        let env = Self { site, entries };
        for (vm, running) in &env.entries {
            wait_ready(vm, running.callers()).await?;
        }
        Ok(env)
    }

    /// Returns the addresses for callers, one for each running entry VM.
    #[must_use]
    pub fn callers(&self) -> Vec<net::SocketAddr> {
        let running = self.entries.values();
        running.map(daemon::RunningDaemon::callers).collect()
    }
}

/// Injects `fault` into `site`; faults of entry VMs are ignored here.
pub fn inject_fault(site: &site::StandSite, fault: &scenario::FaultKind) {
    match fault {
        scenario::FaultKind::ServerCrash { server } => {
            if let Some(engine) = site.engines.get(server) {
                engine.crash();
            }
            if let Some(service) = site.services.get(server) {
                service.crash();
            }
        }
        scenario::FaultKind::ServerSilent { server } => {
            if let Some(engine) = site.engines.get(server) {
                engine.gate().silence();
            }
            if let Some(service) = site.services.get(server) {
                service.gate().silence();
            }
        }
        scenario::FaultKind::LogOutage { for_ms } => {
            site.log.apply(&stand::log::LogFault::Outage { on: true });
            let (log, time) = (site.log.clone(), Duration::from_millis(*for_ms));
            tokio::spawn(async move {
                time::sleep(time).await;
                log.apply(&stand::log::LogFault::Outage { on: false });
            });
        }
        scenario::FaultKind::EntryStop { .. } => {}
    }
}

/// Returns the settings of the daemon on `vm`, with free loopback ports.
#[must_use]
pub fn daemon_settings(
    site: &site::StandSite,
    vm: &str,
    bounds: &settings::BoundSettings,
) -> settings::DaemonSettings {
    let inventory = &site.configuration.inventory;
    let entry = &inventory.entry_vms[vm];
    let mut regions = inventory.regions.iter();
    let region = regions.find(|(_, region)| region.failure_domains.contains(&entry.failure_domain));
    settings::DaemonSettings {
        vm: vm.to_owned(),
        region: region.map(|(name, _)| name.clone()).unwrap_or_default(),
        failure_domain: entry.failure_domain.clone(),
        callers: site::ANY_PORT,
        peers: site::ANY_PORT,
        seeds: Vec::new(),
        platform: settings::PlatformSettings {
            log: site.addresses.log,
            weight_store: site.addresses.weights,
            vm_list: site.addresses.vms,
        },
        cluster_keys: vec![settings::ClusterKey {
            id: 1,
            secret: "5e".repeat(settings::CLUSTER_KEY_BYTES),
        }],
        bounds: bounds.clone(),
    }
}

/// Appends the complete configuration as the first change.
///
/// # Errors
///
/// [`EnvError::Publish`] if the log rejects the change.
pub async fn publish(site: &site::StandSite) -> Result<(), EnvError> {
    let refused = |reason: String| EnvError::Publish { reason };
    let value = |configuration: &document::Configuration| {
        serde_json::to_value(configuration).map_err(|error| refused(error.to_string()))
    };
    let empty = value(&document::Configuration::default())?;
    let change = change::ConfigChange {
        id: id::RecordId::draw(&mut rand::rng()),
        base_revision: 0,
        author: "environment".into(),
        comment: "first configuration".into(),
        patch: change::merge_patch(&empty, &value(&site.configuration)?),
    };
    let body = serde_json::to_vec(&change).map_err(|error| refused(error.to_string()))?;
    let appended = site.log.append(CONFIGURATION, body.into()).await;
    appended.map_err(|error| refused(error.to_string()))?;
    Ok(())
}

async fn wait_ready(vm: &str, address: net::SocketAddr) -> Result<(), EnvError> {
    let deadline = time::Instant::now() + READY_TIMEOUT;
    let mut last = String::from("nothing");
    while time::Instant::now() < deadline {
        match reqwest::get(format!("http://{address}/readyz")).await {
            Ok(response) if response.status().is_success() => return Ok(()),
            Ok(response) => last = response.text().await.unwrap_or_default(),
            Err(error) => last = error.to_string(),
        }
        time::sleep(READY_POLL_INTERVAL).await;
    }
    NotReadySnafu { vm, last }.fail()
}

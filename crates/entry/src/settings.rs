//! The daemon's own settings: its addresses, its failure domain, the platform and the keys.
//!
//! Everything else comes from the configuration on the log.

use std::{net, time};

/// Length of a cluster key, in bytes.
pub const CLUSTER_KEY_BYTES: usize = 32;

/// Settings of one entry daemon, read once at start.
#[derive(Clone, Debug)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// Name of this VM, as in the inventory.
    pub vm: String,
    /// Region of this VM.
    pub region: String,
    /// Failure domain of this VM.
    pub failure_domain: String,
    /// Listen address for callers and operators; port 0 selects a free port.
    #[schemars(extend("format" = "socket-address"))]
    pub callers: net::SocketAddr,
    /// Listen address for other entry VMs, TCP and UDP; port 0 selects a free port.
    #[schemars(extend("format" = "socket-address"))]
    pub peers: net::SocketAddr,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Keys shared by all entry VMs, the current one first; two while a key is rotated.
    pub cluster_keys: Vec<ClusterKey>,
    /// Other entry VMs to contact while no configuration is known, so that a new VM finds the
    /// others even while the log is down; a few suffice.
    #[serde(default)]
    pub seeds: Vec<SeedSettings>,
    /// Limits of this daemon.
    #[serde(default)]
    pub bounds: BoundSettings,
}

/// One entry VM to contact while no configuration is known.
#[derive(Clone, Debug)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct SeedSettings {
    /// Its name.
    pub vm: String,
    /// Its region.
    pub region: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Its address for other entry VMs.
    #[schemars(extend("format" = "socket-address"))]
    pub peers: net::SocketAddr,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The append-only log.
    #[schemars(extend("format" = "socket-address"))]
    pub log: net::SocketAddr,
    /// The weight store.
    #[schemars(extend("format" = "socket-address"))]
    pub weight_store: net::SocketAddr,
    /// The list of live and leaving VMs.
    #[schemars(extend("format" = "socket-address"))]
    pub vm_list: net::SocketAddr,
}

/// One key shared by all entry VMs.
#[derive(Clone)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClusterKey {
    /// Number that identifies the key in frames and tokens.
    pub id: u8,
    /// 32 bytes in hexadecimal.
    pub secret: String,
}

impl std::fmt::Debug for ClusterKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("ClusterKey")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

/// Limits of one daemon.
#[derive(Clone, Debug)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct BoundSettings {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Memory that the bodies of all requests may take while they arrive and wait, in bytes. A quarter of it
    /// is only for bodies up to 32 KiB.
    pub body_memory_bytes: u64,
    /// Maximum time in which a request body arrives, in milliseconds.
    pub body_arrival_ms: u64,
    /// Maximum number of events kept for the time line.
    pub timeline_events: usize,
    /// Time for which a stopping daemon still accepts requests after it is no longer advertised to
    /// callers, in milliseconds. Callers that use its address for longer get a refusal that says
    /// so.
    pub notice_ms: u64,
    /// Time for which a stopping daemon then waits for running requests, in milliseconds.
    pub drain_ms: u64,
}

impl BoundSettings {
    /// Maximum time in which a request body arrives.
    #[must_use]
    pub const fn body_arrival(&self) -> time::Duration {
        time::Duration::from_millis(self.body_arrival_ms)
    }

    /// Time for which a stopping daemon still accepts requests.
    #[must_use]
    pub const fn notice(&self) -> time::Duration {
        time::Duration::from_millis(self.notice_ms)
    }

    /// Time for which a stopping daemon then waits for running requests.
    #[must_use]
    pub const fn drain(&self) -> time::Duration {
        time::Duration::from_millis(self.drain_ms)
    }
}

impl Default for BoundSettings {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            body_memory_bytes: 32 << 20,
            body_arrival_ms: 30_000,
            timeline_events: 8192,
            notice_ms: 5_000,
            drain_ms: 30_000,
        }
    }
}

impl conf::settings::CheckedSettings for DaemonSettings {}

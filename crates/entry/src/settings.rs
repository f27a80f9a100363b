//! The daemon's own settings: its addresses, its failure domain, the platform and the keys.
//!
//! Everything else comes from the configuration on the log.

use std::{net, time};

/// Bytes of a cluster key.
pub const CLUSTER_KEY_BYTES: usize = 32;

/// Settings of one entry daemon, read once at start.
#[derive(Clone, Debug)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// Name of this VM; the inventory uses the same.
    pub vm: String,
    /// Region of this VM.
    pub region: String,
    /// Failure domain of this VM.
    pub failure_domain: String,
    /// Where callers and operators connect; port 0 takes a free one.
    #[schemars(extend("format" = "socket-address"))]
    pub callers: net::SocketAddr,
    /// Where the other entry VMs connect, TCP and UDP; port 0 takes a free one.
    #[schemars(extend("format" = "socket-address"))]
    pub peers: net::SocketAddr,
    /// Where the platform's services listen.
    pub platform: PlatformSettings,
    /// Keys shared by all entry VMs, the current one first; two while a key is rotated.
    pub cluster_keys: Vec<ClusterKey>,
    /// Other entry VMs to ask while no configuration is known, so that a fresh VM finds the rest
    /// also while the log is down; a few suffice.
    #[serde(default)]
    pub seeds: Vec<SeedSettings>,
    /// Bounds on what this daemon takes.
    #[serde(default)]
    pub bounds: BoundSettings,
}

/// One entry VM to ask while no configuration is known.
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
    /// Where other entry VMs connect.
    #[schemars(extend("format" = "socket-address"))]
    pub peers: net::SocketAddr,
}

/// Where the platform's services listen.
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
    /// Number that names the key in frames and tokens.
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

/// Bounds on what one daemon takes.
#[derive(Clone, Debug)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct BoundSettings {
    /// Largest request body in bytes.
    pub body_bytes: u64,
    /// Events kept for the time line.
    pub timeline_events: usize,
    /// How long a stopping daemon goes on taking requests after it stopped being named to
    /// callers, in milliseconds; callers that keep its address longer are refused and told so.
    pub notice_ms: u64,
    /// How long a stopping daemon then waits for what runs, in milliseconds.
    pub drain_ms: u64,
}

impl BoundSettings {
    /// How long a stopping daemon goes on taking requests.
    #[must_use]
    pub const fn notice(&self) -> time::Duration {
        time::Duration::from_millis(self.notice_ms)
    }

    /// How long a stopping daemon then waits for what runs.
    #[must_use]
    pub const fn drain(&self) -> time::Duration {
        time::Duration::from_millis(self.drain_ms)
    }
}

impl Default for BoundSettings {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            timeline_events: 8192,
            notice_ms: 5_000,
            drain_ms: 30_000,
        }
    }
}

impl conf::settings::CheckedSettings for DaemonSettings {}

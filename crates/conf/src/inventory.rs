//! The inventory of regions, VMs, servers, models, services and organisations, as exported by
//! operators from the asset register.

use std::{collections, net};

/// Regions, entry VMs, backend servers, models, services, organisations and operators.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Inventory {
    /// Regions by name.
    pub regions: collections::BTreeMap<String, RegionEntry>,
    /// Entry VMs by name.
    pub entry_vms: collections::BTreeMap<String, VmEntry>,
    /// Backend servers by name.
    pub backend_servers: collections::BTreeMap<String, ServerEntry>,
    /// Models by the name that callers use.
    pub models: collections::BTreeMap<String, ModelEntry>,
    /// Plain services by the name that callers use.
    #[serde(default)]
    pub services: collections::BTreeMap<String, ServiceEntry>,
    /// Organisations by name.
    pub organisations: collections::BTreeMap<String, OrganisationEntry>,
    /// Operators by name.
    #[serde(default)]
    pub operators: collections::BTreeMap<String, OperatorEntry>,
}

/// A region.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct RegionEntry {
    /// Names of the region's failure domains; a failure domain belongs to exactly one region.
    pub failure_domains: Vec<String>,
}

/// An entry VM.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct VmEntry {
    /// Failure domain of the VM.
    pub failure_domain: String,
    /// Address that callers and operators connect to.
    #[schemars(extend("format" = "socket-address"))]
    pub callers: net::SocketAddr,
    /// Address that the other entry VMs connect to: TCP for frames and UDP for gossip, on the same
    /// port.
    #[schemars(extend("format" = "socket-address"))]
    pub peers: net::SocketAddr,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServerEntry {
    /// Failure domain of the server.
    pub failure_domain: String,
    /// Address that the server listens on.
    #[schemars(extend("format" = "socket-address"))]
    pub address: net::SocketAddr,
    /// Kind of the server.
    pub kind: ServerKind,
}

/// Kind of a backend server.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ServerKind {
    /// A model engine.
    ModelEngine(EngineEntry),
    /// A server of a plain service.
    PlainService {
        /// Name of the service.
        service: String,
    },
}

/// Properties of a model engine.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct EngineEntry {
    /// Models that the engine may serve; the first one is loaded unless another one is ordered.
    pub models: Vec<String>,
    /// Whether the engine refuses orders with an outdated fencing number.
    pub checks_fencing: bool,
    /// Number of KV cache blocks.
    pub kv_blocks: u32,
    /// Number of tokens per KV cache block.
    pub block_tokens: u32,
    /// Maximum number of concurrent generations.
    pub max_batch: u32,
}

/// A model.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelEntry {
    /// Version that the engines should serve.
    pub version: String,
    /// Adapters that the engines should load in addition to the model.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Minimum number of engines that must serve the model at any time, including during the
    /// rollout of a version.
    #[serde(default)]
    pub min_engines: u32,
    /// Maximum length of prompt and output together, in tokens.
    pub context_tokens: u32,
}

/// A plain service.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// Path prefixes whose calls are not idempotent; such calls require an idempotency key and run
    /// at most once.
    #[serde(default)]
    pub non_idempotent_paths: Vec<String>,
    /// Maximum number of concurrent calls per server.
    pub max_concurrency: u32,
}

/// An organisation.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationEntry {
    /// SHA-256 hash of each API key, in hexadecimal; two keys may be valid while a key is rotated.
    #[schemars(inner(regex(pattern = "^[0-9a-f]{64}$")))]
    pub key_hashes: Vec<String>,
    /// Home region; callers are directed to the entry VMs of this region.
    pub region: String,
}

/// An operator.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorEntry {
    /// SHA-256 hash of each key, in hexadecimal; two keys may be valid while a key is rotated.
    #[schemars(inner(regex(pattern = "^[0-9a-f]{64}$")))]
    pub key_hashes: Vec<String>,
}

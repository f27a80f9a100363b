//! The inventory: what exists, as an operator exports it from the asset register.

use std::{collections, net};

/// Everything that exists.
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
    /// Hashes of operators' keys by operator name.
    #[serde(default)]
    pub operators: collections::BTreeMap<String, OperatorEntry>,
}

/// One region.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct RegionEntry {
    /// Names of its failure domains; a failure domain belongs to one region.
    pub failure_domains: Vec<String>,
}

/// One entry VM.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct VmEntry {
    /// Its failure domain.
    pub failure_domain: String,
    /// Where callers and operators connect.
    #[schemars(extend("format" = "socket-address"))]
    pub callers: net::SocketAddr,
    /// Where the other entry VMs connect: TCP for frames, UDP for gossip, at one number.
    #[schemars(extend("format" = "socket-address"))]
    pub peers: net::SocketAddr,
}

/// One backend server.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServerEntry {
    /// Its failure domain.
    pub failure_domain: String,
    /// Where it listens.
    #[schemars(extend("format" = "socket-address"))]
    pub address: net::SocketAddr,
    /// What it is.
    pub kind: ServerKind,
}

/// What a backend server is.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ServerKind {
    /// A model engine.
    ModelEngine(EngineEntry),
    /// A plain service server.
    PlainService {
        /// The service that it serves.
        service: String,
    },
}

/// What is particular to a model engine.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct EngineEntry {
    /// Models that it may serve; the first is loaded when nothing else is asked of it.
    pub models: Vec<String>,
    /// Whether it refuses an order that carries an old fencing number.
    pub checks_fencing: bool,
    /// KV cache blocks that it has.
    pub kv_blocks: u32,
    /// Tokens in one block.
    pub block_tokens: u32,
    /// Generations that it runs at once at the most.
    pub max_batch: u32,
}

/// One model.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelEntry {
    /// The version that is wanted in force.
    pub version: String,
    /// Adapters that are wanted beside it.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Engines that must serve it at any moment, also while a version is rolled out.
    #[serde(default)]
    pub min_engines: u32,
    /// Longest prompt and output together, in tokens.
    pub context_tokens: u32,
}

/// One plain service.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// Path prefixes whose calls are not idempotent: they need a key and run at most once.
    #[serde(default)]
    pub non_idempotent_paths: Vec<String>,
    /// Calls that one server runs at once.
    pub max_concurrency: u32,
}

/// One organisation.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationEntry {
    /// SHA-256 of each API key, in hexadecimal; two are valid while a key is rotated.
    #[schemars(inner(regex(pattern = "^[0-9a-f]{64}$")))]
    pub key_hashes: Vec<String>,
    /// Home region, whose entry VMs its callers are told.
    pub region: String,
}

/// One operator.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorEntry {
    /// SHA-256 of each key, in hexadecimal.
    #[schemars(inner(regex(pattern = "^[0-9a-f]{64}$")))]
    pub key_hashes: Vec<String>,
}

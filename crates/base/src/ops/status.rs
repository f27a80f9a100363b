//! Status of the system as one entry VM sees it.

use crate::{class, fingerprint, id};

/// Answer of `GET /ops/status`: the system as one VM sees it.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct StatusBody {
    /// The VM that answers.
    pub vm: String,
    /// Its region.
    pub region: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Incarnation of its process.
    pub incarnation: id::Incarnation,
    /// Software version.
    pub version: String,
    /// Its wall clock, milliseconds since 1970.
    pub now_ms: u64,
    /// Whether it takes requests.
    pub readiness: ReadyState,
    /// The configuration in force on this VM.
    pub configuration: ConfigurationStatus,
    /// Streams of the log as last observed.
    #[serde(default)]
    pub log: Vec<LogStatus>,
    /// Entry VMs, itself included.
    #[serde(default)]
    pub members: Vec<MemberStatus>,
    /// Backend servers.
    #[serde(default)]
    pub servers: Vec<ServerStatus>,
    /// Models and where they are ready.
    #[serde(default)]
    pub placement: Vec<PlacementStatus>,
    /// This VM's queues, one for each class.
    #[serde(default)]
    pub queues: Vec<QueueStatus>,
    /// Leases as this VM last read them from the log.
    #[serde(default)]
    pub leases: Vec<LeaseStatus>,
    /// Suspected and refused content.
    #[serde(default)]
    pub quarantine: Vec<QuarantineStatus>,
    /// This process's ring buffer of events.
    #[serde(default)]
    pub journal: JournalStatus,
}

impl StatusBody {
    /// Keeps only the lists that `parts` names, as in `GET /ops/status?only=members,log`.
    ///
    /// The complete body of a large deployment is hundreds of kilobytes; a client that polls for
    /// one part of it would cost the VM more than its budget for control traffic.
    #[must_use]
    pub fn only(mut self, parts: &str) -> Self {
        keep(parts, "log", &mut self.log);
        keep(parts, "members", &mut self.members);
        keep(parts, "servers", &mut self.servers);
        keep(parts, "placement", &mut self.placement);
        keep(parts, "queues", &mut self.queues);
        keep(parts, "leases", &mut self.leases);
        keep(parts, "quarantine", &mut self.quarantine);
        self
    }
}

fn keep<T>(parts: &str, part: &str, list: &mut Vec<T>) {
    if !parts.split(',').any(|kept| kept == part) {
        list.clear();
    }
}

/// Whether an entry VM takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReadyState {
    /// The VM has no accepted configuration yet.
    Starting,
    /// The VM accepts requests.
    Ready,
    /// The VM finishes running requests and accepts no new ones.
    Leaving,
}

/// The configuration in force on one VM.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ConfigurationStatus {
    /// Its revision; 0 when the VM has none.
    pub revision: u64,
    /// Offset up to which the VM applied the stream `configuration`.
    pub offset: u64,
    /// Hash of the complete state; equal on all VMs at one revision.
    #[serde(default)]
    pub state_hash: Option<fingerprint::ContentHash>,
    /// Time since it came into force on this VM, in milliseconds.
    #[serde(default)]
    pub in_force_ms: u64,
    /// Where it came from: `log`, `checkpoint`, or `peer <vm>`.
    #[serde(default)]
    pub source: String,
}

/// One stream of the log as a VM last observed it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct LogStatus {
    /// The stream.
    pub stream: String,
    /// Whether the last call was answered.
    pub reachable: bool,
    /// Time since the last answer, in milliseconds; absent: never answered.
    #[serde(default)]
    pub answered_ms_ago: Option<u64>,
    /// The next offset to read.
    pub next_offset: u64,
}

/// State of an entry VM or backend server as observed by the VM that answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthState {
    /// No report of it has been received yet.
    Unknown,
    /// The VM or backend server answers.
    Up,
    /// The VM or backend server may be dead.
    Suspect,
    /// The VM or backend server is considered dead.
    Dead,
    /// The VM or backend server accepts no new work.
    Leaving,
}

impl HealthState {
    /// The name used in JSON.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Up => "up",
            Self::Suspect => "suspect",
            Self::Dead => "dead",
            Self::Leaving => "leaving",
        }
    }
}

/// One entry VM as observed by another.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct MemberStatus {
    /// Its name.
    pub vm: String,
    /// Its region.
    #[serde(default)]
    pub region: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Where callers and operators reach it, `IP:port`.
    pub address: String,
    /// Its health.
    pub state: HealthState,
    /// Incarnation of its process, when known.
    #[serde(default)]
    pub incarnation: Option<id::Incarnation>,
    /// The newest revision that it said is in force there.
    #[serde(default)]
    pub revision: Option<u64>,
    /// Time since the last message about it was received, in milliseconds.
    #[serde(default)]
    pub heard_ms_ago: Option<u64>,
    /// Version of its program, when known.
    #[serde(default)]
    pub version: Option<String>,
}

/// Role of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerRole {
    /// A model engine.
    ModelEngine,
    /// A plain service server.
    PlainService,
}

/// One backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ServerStatus {
    /// Its name.
    pub server: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Its role.
    pub role: ServerRole,
    /// Its health.
    pub state: HealthState,
    /// Models that it has ready, or the service that it serves.
    #[serde(default)]
    pub serves: Vec<LoadedModel>,
    /// Requests running on it, by its own last report.
    #[serde(default)]
    pub running: u32,
    /// Requests waiting on it, by its own last report.
    #[serde(default)]
    pub waiting: u32,
    /// Free KV blocks by its own last report; 0 for a plain service.
    #[serde(default)]
    pub free_blocks: u32,
    /// Total KV blocks; 0 for a plain service.
    #[serde(default)]
    pub total_blocks: u32,
    /// Generations that it preempted, by its own count.
    #[serde(default)]
    pub preemptions: u64,
    /// Age of the report, in milliseconds; absent when none has arrived yet.
    #[serde(default)]
    pub report_age_ms: Option<u64>,
}

/// A model that an engine has ready, or the service of a plain service server.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct LoadedModel {
    /// The model or service.
    pub name: String,
    /// The version; empty for a service.
    #[serde(default)]
    pub version: String,
    /// Adapters loaded with it.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// Wanted and actual placement of one model.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct PlacementStatus {
    /// The model.
    pub model: String,
    /// The version that the inventory wants.
    pub wanted_version: String,
    /// Engines that must serve it at any moment.
    pub min_engines: u32,
    /// Engines that have the wanted version ready.
    pub ready: Vec<String>,
    /// Engines that still have another version.
    #[serde(default)]
    pub outdated: Vec<String>,
    /// Engines that are loading it.
    #[serde(default)]
    pub loading: Vec<String>,
    /// Reason why the rollout is blocked; absent when it is not.
    #[serde(default)]
    pub blocked: Option<String>,
}

/// The queue of one traffic class in one VM.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct QueueStatus {
    /// The class.
    pub class: class::TrafficClass,
    /// Requests that wait here.
    pub waiting: u32,
    /// Requests of this VM that are running on backend servers.
    pub running: u32,
    /// Waiting time of the oldest request, in milliseconds.
    #[serde(default)]
    pub oldest_ms: u64,
    /// Requests taken since the process started.
    #[serde(default)]
    pub taken: u64,
    /// Requests refused since the process started.
    #[serde(default)]
    pub refused: u64,
}

/// One lease.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct LeaseStatus {
    /// Subject of the lease, for instance a backend server.
    pub subject: String,
    /// The VM that holds it; absent when the lease is free.
    #[serde(default)]
    pub holder: Option<String>,
    /// Its fencing number.
    pub fencing: u64,
    /// Time until it expires, in milliseconds, by the answering VM's clock.
    #[serde(default)]
    pub left_ms: u64,
}

/// Quarantine state of a content fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum QuarantineState {
    /// The content was running on a server that died; it runs alone or not at all.
    Suspect,
    /// The content is refused.
    Quarantined,
}

/// One content fingerprint that is suspected or refused.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct QuarantineStatus {
    /// The fingerprint.
    pub fingerprint: fingerprint::ContentHash,
    /// Its quarantine state.
    pub state: QuarantineState,
    /// Deaths of backend servers on which it was running.
    pub deaths: u32,
    /// Backend servers that died.
    #[serde(default)]
    pub servers: Vec<String>,
    /// Organisation that sent it last.
    #[serde(default)]
    pub organisation: String,
    /// Time until it expires, in milliseconds.
    #[serde(default)]
    pub left_ms: u64,
}

/// Fill level of a process's ring buffer of events.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct JournalStatus {
    /// Events kept.
    pub events: u64,
    /// Bytes kept.
    pub bytes: u64,
    /// Events dropped since the process started.
    pub lost: u64,
}

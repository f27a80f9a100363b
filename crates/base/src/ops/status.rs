//! The whole view of one entry VM.

use crate::{class, fingerprint, id};

/// Answer of `GET /ops/status`: one VM's whole view.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct StatusBody {
    /// The VM that answers.
    pub vm: String,
    /// Its region.
    pub region: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// The life of its process.
    pub incarnation: id::Incarnation,
    /// Version of its program.
    pub version: String,
    /// Its wall clock, milliseconds since 1970.
    pub now_ms: u64,
    /// Whether it takes requests.
    pub readiness: ReadyState,
    /// The configuration that it acts by.
    pub configuration: ConfigurationStatus,
    /// Streams of the log as it last found them.
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
    /// This process's ring of events.
    #[serde(default)]
    pub journal: JournalStatus,
}

impl StatusBody {
    /// The same with only the lists that `parts` names, as in `GET /ops/status?only=members,log`.
    ///
    /// The whole body of a large deployment is hundreds of kilobytes; a client that asks again
    /// and again for one part of it would cost the VM more than its share of control.
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
    /// It has no accepted configuration yet.
    Starting,
    /// It takes requests.
    Ready,
    /// It finishes what runs and takes nothing new.
    Leaving,
}

/// The configuration that one VM acts by.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ConfigurationStatus {
    /// Its revision; 0 when the VM has none.
    pub revision: u64,
    /// Offset up to which the VM applied the stream `configuration`.
    pub offset: u64,
    /// Hash of the whole state; equal on all VMs at one revision.
    #[serde(default)]
    pub state_hash: Option<fingerprint::ContentHash>,
    /// How long it has been in force here, in milliseconds.
    #[serde(default)]
    pub in_force_ms: u64,
    /// Where it came from: `log`, `checkpoint`, or `peer <vm>`.
    #[serde(default)]
    pub source: String,
}

/// One stream of the log as a VM last found it.
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

/// State of an entry VM or backend server in the eyes of the VM that answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthState {
    /// Nothing has been heard of it yet.
    Unknown,
    /// It answers.
    Up,
    /// It may be dead.
    Suspect,
    /// It is taken to be dead.
    Dead,
    /// It takes no new work.
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

/// One entry VM in the eyes of another.
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
    /// How it is.
    pub state: HealthState,
    /// The life of its process, when one was heard of.
    #[serde(default)]
    pub incarnation: Option<id::Incarnation>,
    /// The newest revision that it said is in force there.
    #[serde(default)]
    pub revision: Option<u64>,
    /// Time since it was last heard of, in milliseconds.
    #[serde(default)]
    pub heard_ms_ago: Option<u64>,
    /// Version of its program, when known.
    #[serde(default)]
    pub version: Option<String>,
}

/// What a backend server is.
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
    /// What it is.
    pub role: ServerRole,
    /// How it is.
    pub state: HealthState,
    /// Models that it has ready, or the service that it serves.
    #[serde(default)]
    pub serves: Vec<LoadedModel>,
    /// Requests that run there, by its own last report.
    #[serde(default)]
    pub running: u32,
    /// Requests that wait there, by its own last report.
    #[serde(default)]
    pub waiting: u32,
    /// Free KV blocks by its own last report; 0 for a plain service.
    #[serde(default)]
    pub free_blocks: u32,
    /// All its KV blocks; 0 for a plain service.
    #[serde(default)]
    pub total_blocks: u32,
    /// Generations that it preempted, as it counts them.
    #[serde(default)]
    pub preemptions: u64,
    /// Age of the report, in milliseconds; absent: none came yet.
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
    /// Adapters beside it.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// One model: what is wanted and what there is.
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
    /// What holds the rollout up; absent: nothing.
    #[serde(default)]
    pub blocked: Option<String>,
}

/// One class's queue in one VM.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct QueueStatus {
    /// The class.
    pub class: class::TrafficClass,
    /// Requests that wait here.
    pub waiting: u32,
    /// Requests that run on backend servers on this VM's behalf.
    pub running: u32,
    /// How long the oldest has waited, in milliseconds.
    #[serde(default)]
    pub oldest_ms: u64,
    /// Requests taken since the process began.
    #[serde(default)]
    pub taken: u64,
    /// Requests refused since the process began.
    #[serde(default)]
    pub refused: u64,
}

/// One lease.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct LeaseStatus {
    /// What it is on, for instance a backend server.
    pub subject: String,
    /// The VM that holds it; absent: nobody.
    #[serde(default)]
    pub holder: Option<String>,
    /// Its fencing number.
    pub fencing: u64,
    /// Time until it lapses, in milliseconds, as the answering VM reckons.
    #[serde(default)]
    pub left_ms: u64,
}

/// How far content has come towards being refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum QuarantineState {
    /// It was there at a death; it runs alone or not at all.
    Suspect,
    /// It is refused.
    Quarantined,
}

/// One content fingerprint that is watched or refused.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct QuarantineStatus {
    /// The fingerprint.
    pub fingerprint: fingerprint::ContentHash,
    /// How far it has come.
    pub state: QuarantineState,
    /// Deaths of backend servers at which it was there.
    pub deaths: u32,
    /// Backend servers that died.
    #[serde(default)]
    pub servers: Vec<String>,
    /// Who sent it last.
    #[serde(default)]
    pub organisation: String,
    /// Time until it expires, in milliseconds.
    #[serde(default)]
    pub left_ms: u64,
}

/// How full a process's ring of events is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct JournalStatus {
    /// Events kept.
    pub events: u64,
    /// Bytes kept.
    pub bytes: u64,
    /// Events dropped since the process began.
    pub lost: u64,
}

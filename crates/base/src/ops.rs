//! Bodies of the operators' API (`/ops/...`), which an entry VM serves and `pollenctl` reads.
//!
//! Fields are only ever added, each with a default, so that a client and VMs of neighbouring
//! versions understand one another.

mod change;
mod status;

pub use change::{
    ConfigurationBody, ConflictEntry, HistoryBody, HistoryEntry, PublishAnswer, PublishAsk,
};
pub use status::{
    ConfigurationStatus, HealthState, JournalStatus, LeaseStatus, LoadedModel, LogStatus,
    MemberStatus, PlacementStatus, QuarantineState, QuarantineStatus, QueueStatus, ReadyState,
    ServerRole, ServerStatus, StatusBody,
};

use crate::{fingerprint, id};

/// Answer of `GET /ops/timeline`; `E` is the event (crate `trace`).
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct TimelineBody<E> {
    /// The VM that answers.
    pub vm: String,
    /// Incarnation of its process; events of earlier incarnations are not kept.
    pub incarnation: id::Incarnation,
    /// Events that its ring buffer dropped since the process started.
    pub lost: u64,
    /// Wall-clock time of the newest dropped event, milliseconds since 1970.
    #[serde(default)]
    pub lost_up_to_ms: Option<u64>,
    /// Older matching events left out of this answer by `limit`.
    #[serde(default)]
    pub omitted: u64,
    /// Matching events, oldest first.
    pub events: Vec<E>,
}

/// Body of `POST /ops/drain`: `{"server": "…"}` or `{"vm": "…"}`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainAsk {
    /// A backend server.
    Server(String),
    /// An entry VM.
    Vm(String),
}

/// Answer of `POST /ops/drain`, which is idempotent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct DrainAnswer {
    /// The server or VM that takes no new work from now on.
    pub subject: String,
    /// Whether the subject was leaving already.
    pub already: bool,
    /// Requests still running on the subject, as far as this VM knows.
    #[serde(default)]
    pub running: u32,
}

/// Answer of `GET /ops/quarantine`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct QuarantineBody {
    /// Suspected and refused content.
    pub entries: Vec<QuarantineStatus>,
}

/// Body of `POST /ops/quarantine/lift`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct LiftAsk {
    /// The fingerprint.
    pub fingerprint: fingerprint::ContentHash,
}

/// Answer of `POST /ops/quarantine/lift`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct LiftAnswer {
    /// Whether the fingerprint was in quarantine.
    pub lifted: bool,
}

//! Bodies of the operators' face (`/ops/...`): what an entry VM serves and `pollenctl` reads.
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
    /// The life of its process; what an earlier one recorded is gone.
    pub incarnation: id::Incarnation,
    /// Events that its ring dropped since the process began.
    pub lost: u64,
    /// Wall clock of the newest dropped one, milliseconds since 1970.
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

/// Answer of `POST /ops/drain`. Asking again is harmless.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct DrainAnswer {
    /// What takes no new work now.
    pub subject: String,
    /// Whether it was leaving already.
    pub already: bool,
    /// Requests that still run there, as far as this VM knows.
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
    /// Whether there was something to lift.
    pub lifted: bool,
}

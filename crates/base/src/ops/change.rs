//! Bodies for reading and changing the configuration, and for its history.

use crate::{fingerprint, id};

/// Answer of `GET /ops/configuration`, for the revision in force or, with `?revision=N`, for an
/// older one as far as the VM still knows it (`404` when it does not).
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ConfigurationBody {
    /// The revision.
    pub revision: u64,
    /// Log offset of the record that created the revision.
    pub offset: u64,
    /// Hash of the complete state.
    #[serde(default)]
    pub state_hash: Option<fingerprint::ContentHash>,
    /// `{"inventory": …, "rules": …}` (crate `conf`).
    pub state: serde_json::Value,
}

/// Body of `POST /ops/publish`.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct PublishAsk {
    /// Drawn by the client. The same request sent twice, to one VM or two, takes effect once and
    /// has the same answer: readers of the log apply only the first record with this id.
    pub record: id::RecordId,
    /// The revision that the change was made against.
    pub base_revision: u64,
    /// The difference between the two states as a JSON merge patch (RFC 7396).
    pub change: serde_json::Value,
    /// The operator whom the VM authenticated by their key; a value from the client is ignored.
    #[serde(default)]
    pub author: String,
    /// Reason for the change, for the history.
    #[serde(default)]
    pub comment: String,
}

/// Answer of `POST /ops/publish`: the outcome decided by the order of the log.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(tag = "verdict", rename_all = "snake_case")]
pub enum PublishAnswer {
    /// The change was accepted (`200`).
    Accepted {
        /// The revision that it made.
        revision: u64,
        /// Offset of its record.
        offset: u64,
    },
    /// A concurrent change was accepted first (`409`); this one has no effect.
    Conflict {
        /// The revision that it was made against.
        base_revision: u64,
        /// The revision in force.
        current_revision: u64,
        /// The changes between the two revisions, oldest first, as far as they are retained.
        since: Vec<ConflictEntry>,
        /// Paths that this change and one of `since` both touch; empty when the same change can
        /// be published again on the revision in force.
        #[serde(default)]
        overlapping: Vec<String>,
    },
    /// The resulting state would be invalid (`422`); the change has no effect.
    Invalid {
        /// All validation errors, each with its remedy.
        faults: Vec<String>,
    },
    /// The log did not answer in time (`503`): the change may still take effect. Sending the same
    /// request again is safe and returns the outcome.
    Undecided {
        /// Reason why the outcome is unknown.
        reason: String,
    },
}

impl PublishAnswer {
    /// The HTTP status of the outcome.
    #[must_use]
    pub const fn status(&self) -> u16 {
        match self {
            Self::Accepted { .. } => 200,
            Self::Conflict { .. } => 409,
            Self::Invalid { .. } => 422,
            Self::Undecided { .. } => 503,
        }
    }
}

/// An accepted change that a conflicting change was not based on.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ConflictEntry {
    /// The revision that it made.
    pub revision: u64,
    /// The operator.
    pub author: String,
    /// Why it was made.
    #[serde(default)]
    pub comment: String,
    /// Paths that the change touched, as dot-separated names.
    #[serde(default)]
    pub paths: Vec<String>,
}

/// One configuration change read from the log.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct HistoryEntry {
    /// Offset of its record.
    pub offset: u64,
    /// Time of the append by the log's clock, milliseconds since 1970.
    pub at_ms: u64,
    /// Id of its record.
    pub record: id::RecordId,
    /// The revision that it was made against.
    pub base_revision: u64,
    /// The revision that it created; absent when it was refused.
    #[serde(default)]
    pub revision: Option<u64>,
    /// Why it was refused.
    #[serde(default)]
    pub refused: Option<String>,
    /// The operator.
    pub author: String,
    /// Why it was made.
    #[serde(default)]
    pub comment: String,
    /// Paths that it changes, for instance `rules.organisations.troupe-7.weight`.
    #[serde(default)]
    pub paths: Vec<String>,
}

/// Answer of `GET /ops/history`, oldest first, as far back as the VM retains.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct HistoryBody {
    /// The changes, accepted and refused.
    pub entries: Vec<HistoryEntry>,
}

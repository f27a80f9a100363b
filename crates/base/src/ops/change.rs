//! Configuration: reading it, changing it, what was changed.

use crate::{fingerprint, id};

/// Answer of `GET /ops/configuration`, for the revision in force or, with `?revision=N`, for an
/// older one as far as the VM still knows it (`404` when it does not).
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ConfigurationBody {
    /// The revision.
    pub revision: u64,
    /// Offset of the record that made it.
    pub offset: u64,
    /// Hash of the whole state.
    #[serde(default)]
    pub state_hash: Option<fingerprint::ContentHash>,
    /// `{"inventory": …, "rules": …}` (crate `conf`).
    pub state: serde_json::Value,
}

/// Body of `POST /ops/publish`.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct PublishAsk {
    /// Drawn by the client. The same ask sent twice, to one VM or two, takes effect once and has
    /// the same answer: whoever reads the log applies the first record with this id only.
    pub record: id::RecordId,
    /// The revision that the change was made against.
    pub base_revision: u64,
    /// The difference between the two states as a JSON merge patch (RFC 7396).
    pub change: serde_json::Value,
    /// The operator, as the VM knows them by their key; what the client sends is not believed.
    #[serde(default)]
    pub author: String,
    /// Why, for the history.
    #[serde(default)]
    pub comment: String,
}

/// Answer of `POST /ops/publish`: what the log decided.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(tag = "verdict", rename_all = "snake_case")]
pub enum PublishAnswer {
    /// The change stands (`200`).
    Accepted {
        /// The revision that it made.
        revision: u64,
        /// Offset of its record.
        offset: u64,
    },
    /// Another change was first (`409`); nothing of this one takes effect.
    Conflict {
        /// The revision that it was made against.
        base_revision: u64,
        /// The revision in force.
        current_revision: u64,
        /// The changes in between, oldest first, as far as they are remembered.
        since: Vec<ConflictEntry>,
        /// Paths that this change and one of `since` both touch; empty when the same change can
        /// be published again on the revision in force.
        #[serde(default)]
        overlapping: Vec<String>,
    },
    /// The state that it would make is faulty (`422`); nothing of it takes effect.
    Invalid {
        /// All faults, each with its remedy.
        faults: Vec<String>,
    },
    /// The log did not answer in time (`503`): the change may yet take effect. Sending the same
    /// ask again is safe and tells.
    Undecided {
        /// What happened.
        reason: String,
    },
}

impl PublishAnswer {
    /// The HTTP status that carries it.
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

/// An accepted change that a refused one did not know of.
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
    /// Paths that it touched, names with dots between them.
    #[serde(default)]
    pub paths: Vec<String>,
}

/// One change that was on the log.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct HistoryEntry {
    /// Offset of its record.
    pub offset: u64,
    /// The log's clock at its append, milliseconds since 1970.
    pub at_ms: u64,
    /// Id of its record.
    pub record: id::RecordId,
    /// The revision that it was made against.
    pub base_revision: u64,
    /// The revision that it made; absent: it was refused.
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

/// Answer of `GET /ops/history`, oldest first, as far back as the VM knows.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct HistoryBody {
    /// The changes, accepted and refused.
    pub entries: Vec<HistoryEntry>,
}

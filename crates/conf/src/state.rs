//! The configuration as a pure function of the log's prefix.

use std::{collections, sync};

use base::id;

use crate::{change, document, fault, snapshot};

/// Accepted changes that are remembered, to tell a conflict's cause and to know a repeated id.
const HISTORY_ENTRIES: usize = 256;

/// An accepted change that a refused one did not know of.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ConflictEntry {
    /// The revision that it made.
    pub revision: u64,
    /// Who made it.
    pub author: String,
    /// Why.
    pub comment: String,
    /// What it touched, as names from the root down.
    pub paths: Vec<Vec<String>>,
}

/// Why a change against an older revision was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ConflictReport {
    /// The revision in force where the change lies in the log.
    pub revision: u64,
    /// Accepted changes since the base, oldest first, as far as they are remembered.
    pub since: Vec<ConflictEntry>,
    /// Paths of the refused change that one of `since` touched too; empty when the same change
    /// can be published again on the new revision.
    pub overlapping: Vec<Vec<String>>,
}

/// What became of one record; the same for every reader.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ApplyVerdict {
    /// The change is in force as this revision.
    Accepted {
        /// The new revision.
        revision: u64,
    },
    /// The same change was already decided at an earlier record; this one has no effect.
    Duplicate,
    /// Another change won.
    Conflict(ConflictReport),
    /// The change would make the configuration invalid.
    Invalid(fault::FaultList),
    /// The record is not one that this version understands; it has no effect.
    Malformed {
        /// What is wrong with it.
        reason: String,
    },
    /// The record was already applied; the state stays as it is.
    Stale,
    /// Records before this one are missing; the state stays as it is.
    Gap {
        /// The offset that must come next.
        expected: u64,
    },
}

/// A remembered accepted change.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
struct HistoryEntry {
    id: id::RecordId,
    entry: ConflictEntry,
}

/// The state after some prefix of the log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigState {
    revision: u64,
    /// Offset of the first record that is not part of it.
    offset: u64,
    configuration: sync::Arc<document::Configuration>,
    /// Oldest first; at most [`HISTORY_ENTRIES`].
    history: collections::VecDeque<HistoryEntry>,
}

impl ConfigState {
    /// The empty state before the first record.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the record at `offset`; the state changes only as the verdict says.
    pub fn apply(&mut self, offset: u64, record: &[u8]) -> ApplyVerdict {
        if offset < self.offset {
            return ApplyVerdict::Stale;
        }
        if offset > self.offset {
            return ApplyVerdict::Gap {
                expected: self.offset,
            };
        }
        self.offset += 1;
        match serde_json::from_slice::<change::ConfigChange>(record) {
            Ok(change) => self.decide(change),
            Err(error) => ApplyVerdict::Malformed {
                reason: error.to_string(),
            },
        }
    }

    fn decide(&mut self, change: change::ConfigChange) -> ApplyVerdict {
        if self.history.iter().any(|entry| entry.id == change.id) {
            return ApplyVerdict::Duplicate;
        }
        let paths = change::touched_paths(&change.patch);
        if change.base_revision != self.revision {
            return ApplyVerdict::Conflict(self.conflict(change.base_revision, &paths));
        }
        match self.configuration.patched(&change.patch) {
            Ok(configuration) => {
                self.accept(change, paths, configuration);
                ApplyVerdict::Accepted {
                    revision: self.revision,
                }
            }
            Err(faults) => ApplyVerdict::Invalid(faults),
        }
    }

    fn accept(
        &mut self,
        change: change::ConfigChange,
        paths: Vec<Vec<String>>,
        configuration: document::Configuration,
    ) {
        self.revision += 1;
        self.configuration = sync::Arc::new(configuration);
        self.history.push_back(HistoryEntry {
            id: change.id,
            entry: ConflictEntry {
                revision: self.revision,
                author: change.author,
                comment: change.comment,
                paths,
            },
        });
        if self.history.len() > HISTORY_ENTRIES {
            self.history.pop_front();
        }
    }

    fn conflict(&self, base_revision: u64, paths: &[Vec<String>]) -> ConflictReport {
        let since: Vec<ConflictEntry> = self
            .history
            .iter()
            .filter(|entry| entry.entry.revision > base_revision)
            .map(|entry| entry.entry.clone())
            .collect();
        let overlaps = |path: &&Vec<String>| {
            since
                .iter()
                .flat_map(|entry| &entry.paths)
                .any(|other| change::paths_overlap(path, other))
        };
        ConflictReport {
            revision: self.revision,
            overlapping: paths.iter().filter(overlaps).cloned().collect(),
            since,
        }
    }

    /// Revision number; 0 is the empty configuration before any change.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Offset of the first record that is not part of it.
    #[must_use]
    pub const fn offset(&self) -> u64 {
        self.offset
    }

    /// The configuration in force.
    #[must_use]
    pub const fn configuration(&self) -> &sync::Arc<document::Configuration> {
        &self.configuration
    }

    /// The indexed snapshot of this state; keys of `previous` stay valid in it.
    #[must_use]
    pub fn snapshot(&self, previous: &snapshot::ConfigSnapshot) -> snapshot::ConfigSnapshot {
        previous.next(
            self.revision,
            self.offset,
            sync::Arc::clone(&self.configuration),
        )
    }
}

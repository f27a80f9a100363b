//! The configuration as a pure function of the log's prefix.

use std::sync;

use base::id;

use crate::{
    change, check, document, fault,
    history::{self, ChangeHistory, ChangeSummary},
    offer, part, snapshot,
};

/// Accepted changes that a conflict names, at the most.
const CONFLICT_ENTRIES: usize = 16;
/// Faults that a verdict names, at the most.
const VERDICT_FAULTS: usize = 32;

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

/// Why a change against another revision was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ConflictReport {
    /// The revision in force where the change lies in the log.
    pub revision: u64,
    /// The newest accepted changes since the base, oldest first.
    pub since: Vec<ConflictEntry>,
    /// Whether `since` names every change since the base.
    pub is_complete: bool,
    /// Paths of the refused change that one of `since` touched too. Empty, with a complete list,
    /// when the same change can be published again on the new revision.
    pub overlapping: Vec<Vec<String>>,
}

/// What became of one record; the same for every reader.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
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
    /// A part of a larger change; others are missing still.
    Part,
    /// A part of a checkpoint; it changes no state that has come this far.
    Checkpoint {
        /// Whether it tells another history than this state has: one of the two was not made
        /// from this log.
        is_contradictory: bool,
    },
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

/// Why a state of another entry VM was not adopted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdoptRefusal {
    /// It is not newer.
    Older,
    /// It tells another history: one of the two was not made from this log.
    Contradictory,
}

/// The state after some prefix of the log.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigState {
    revision: u64,
    /// Offset of the first record that is not part of it.
    offset: u64,
    chain: offer::ChainHash,
    #[serde(with = "shared")]
    configuration: sync::Arc<document::Configuration>,
    history: ChangeHistory,
    /// Parts of changes of which others lie further on in the log.
    pending: part::PartTable,
}

impl ConfigState {
    /// The empty state before the first record.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// A state made from files, for when the log dropped all that made the configuration and no
    /// VM has it any more. It goes into the log as a checkpoint; every history begins anew with it.
    ///
    /// `revision` must be higher than any before, and `offset` the one that the next append gets:
    /// else a VM that comes back with the lost state would take it for an older one.
    ///
    /// # Errors
    /// All faults of the configuration.
    pub fn restored(
        configuration: document::Configuration,
        revision: u64,
        offset: u64,
    ) -> Result<Self, fault::FaultList> {
        check::check(&configuration)?;
        let text = serde_json::to_vec(&configuration).unwrap_or_default();
        Ok(Self {
            revision,
            offset,
            chain: offer::ChainHash::default().then(&text),
            configuration: sync::Arc::new(configuration),
            ..Self::default()
        })
    }

    /// Applies the record at `offset`; the state changes only as the verdict says.
    pub fn apply(&mut self, offset: u64, record: &[u8]) -> ApplyVerdict {
        self.apply_named(offset, record).1
    }

    /// Like [`Self::apply`], with the id of the change that the verdict is about.
    pub fn apply_named(
        &mut self,
        offset: u64,
        record: &[u8],
    ) -> (Option<id::RecordId>, ApplyVerdict) {
        if offset < self.offset {
            return (None, ApplyVerdict::Stale);
        }
        if offset > self.offset {
            return (
                None,
                ApplyVerdict::Gap {
                    expected: self.offset,
                },
            );
        }
        self.offset += 1;
        match part::parse(record) {
            None => self.decide(offset, record),
            Some((header, text)) => self.apply_part(offset, &header, text),
        }
    }

    fn apply_part(
        &mut self,
        offset: u64,
        header: &part::PartHeader,
        text: &str,
    ) -> (Option<id::RecordId>, ApplyVerdict) {
        if let part::PartKind::Checkpoint(offer) = header.of {
            let is_contradictory = self.is_contradicted_by(&offer);
            return (None, ApplyVerdict::Checkpoint { is_contradictory });
        }
        if self.history.verdict_of(header.id).is_some() {
            return (Some(header.id), ApplyVerdict::Duplicate);
        }
        match self.pending.add(offset, header, text) {
            part::PartOutcome::Waiting => (Some(header.id), ApplyVerdict::Part),
            part::PartOutcome::Whole { text, .. } => self.decide(offset, text.as_bytes()),
            part::PartOutcome::Refused(reason) => {
                (Some(header.id), ApplyVerdict::Malformed { reason })
            }
        }
    }

    fn decide(&mut self, offset: u64, text: &[u8]) -> (Option<id::RecordId>, ApplyVerdict) {
        let change: change::ConfigChange = match serde_json::from_slice(text) {
            Ok(change) => change,
            Err(error) => {
                let reason = error.to_string();
                return (None, ApplyVerdict::Malformed { reason });
            }
        };
        let id = Some(change.id);
        if self.history.verdict_of(change.id).is_some() {
            return (id, ApplyVerdict::Duplicate);
        }
        let summary = ChangeSummary::new(offset, &change);
        if change.base_revision != self.revision {
            let verdict = ApplyVerdict::Conflict(self.conflict(&summary));
            return (id, self.refuse(summary, verdict));
        }
        // Copies the configuration only when a snapshot still shares it.
        match sync::Arc::make_mut(&mut self.configuration).patch(&change.patch) {
            Ok(reverse) => {
                self.accept(summary, reverse, text);
                (
                    id,
                    ApplyVerdict::Accepted {
                        revision: self.revision,
                    },
                )
            }
            Err(mut faults) => {
                faults.faults.truncate(VERDICT_FAULTS);
                (id, self.refuse(summary, ApplyVerdict::Invalid(faults)))
            }
        }
    }

    fn accept(&mut self, summary: ChangeSummary, reverse: serde_json::Value, text: &[u8]) {
        self.revision += 1;
        self.chain = self.chain.then(text);
        self.history.add_accepted(history::AcceptedEntry {
            summary,
            revision: self.revision,
            chain: self.chain,
            reverse: Some(reverse),
        });
    }

    fn refuse(&mut self, summary: ChangeSummary, verdict: ApplyVerdict) -> ApplyVerdict {
        let entry = history::RefusedEntry {
            summary,
            verdict: verdict.clone(),
        };
        self.history.add_refused(entry);
        verdict
    }

    fn conflict(&self, refused: &ChangeSummary) -> ConflictReport {
        let newer: Vec<&history::AcceptedEntry> = self
            .history
            .accepted()
            .filter(|entry| entry.revision > refused.base_revision)
            .collect();
        let overlaps = |path: &&Vec<String>| {
            newer
                .iter()
                .flat_map(|entry| &entry.summary.paths)
                .any(|other| change::paths_overlap(path, other))
        };
        let named = &newer[newer.len().saturating_sub(CONFLICT_ENTRIES)..];
        let since = named.iter().map(|entry| ConflictEntry {
            revision: entry.revision,
            author: entry.summary.author.clone(),
            comment: entry.summary.comment.clone(),
            paths: entry.summary.paths.clone(),
        });
        ConflictReport {
            revision: self.revision,
            is_complete: refused.base_revision.checked_add(named.len() as u64)
                == Some(self.revision),
            overlapping: refused.paths.iter().filter(overlaps).cloned().collect(),
            since: since.collect(),
        }
    }

    /// Takes the place of this state by a newer one that another entry VM or a checkpoint gave.
    ///
    /// # Errors
    /// The other state is not newer, or was made from another log; this one stays as it is.
    pub fn adopt(&mut self, other: Self) -> Result<(), AdoptRefusal> {
        let (own, offer) = (self.offer(), other.offer());
        let known = other.history.chain_at(self.revision);
        let is_other_history = self.revision > 0 && known.is_some_and(|chain| chain != self.chain);
        if is_other_history || own.contradicts(&offer) {
            return Err(AdoptRefusal::Contradictory);
        }
        if !offer.replaces(&own) {
            return Err(AdoptRefusal::Older);
        }
        *self = other;
        Ok(())
    }

    /// Whether a state of this offer was made from another log, as far as this state remembers.
    #[must_use]
    pub fn is_contradicted_by(&self, offer: &offer::StateOffer) -> bool {
        let known = self.history.chain_at(offer.revision);
        self.offer().contradicts(offer) || known.is_some_and(|chain| chain != offer.hash)
    }

    /// What this state says of itself.
    #[must_use]
    pub const fn offer(&self) -> offer::StateOffer {
        offer::StateOffer {
            revision: self.revision,
            offset: self.offset,
            hash: self.chain,
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

    /// Changes that were decided, as far back as they are remembered.
    #[must_use]
    pub const fn history(&self) -> &ChangeHistory {
        &self.history
    }

    /// The configuration of an earlier revision, as far back as it is remembered.
    #[must_use]
    pub fn configuration_at(&self, revision: u64) -> Option<document::Configuration> {
        if revision == self.revision {
            return Some(document::Configuration::clone(&self.configuration));
        }
        let mut value = serde_json::to_value(&*self.configuration).ok()?;
        for reverse in self.history.way_back(revision)? {
            json_patch::merge(&mut value, reverse);
        }
        serde_json::from_value(value).ok()
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

/// Serializes what stands behind an `Arc` as itself.
mod shared {
    use std::sync;

    use crate::document;

    pub fn serialize<S: serde::Serializer>(
        value: &sync::Arc<document::Configuration>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serde::Serialize::serialize(&**value, serializer)
    }

    pub fn deserialize<'de, D: serde::Deserializer<'de>>(
        deserializer: D,
    ) -> Result<sync::Arc<document::Configuration>, D::Error> {
        serde::Deserialize::deserialize(deserializer).map(sync::Arc::new)
    }
}

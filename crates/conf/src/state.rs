//! The replicated configuration state: a pure function of a prefix of the log.

use std::sync;

use base::id;

use crate::{
    change, check, document, fault,
    history::{self, ChangeHistory, ChangeSummary},
    offer, part, snapshot,
};

/// Maximum number of accepted changes listed in a conflict report.
const MAX_CONFLICT_ENTRIES: usize = 16;
/// Maximum number of faults listed in a verdict.
const MAX_VERDICT_FAULTS: usize = 32;

/// An accepted change that is newer than the base revision of a refused one.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ConflictEntry {
    /// Revision that the change produced.
    pub revision: u64,
    /// Operator who published the change.
    pub author: String,
    /// The author's comment.
    pub comment: String,
    /// Paths that the change set or removed, each as field names from the root.
    pub paths: Vec<Vec<String>>,
}

/// Details of a change that was refused because its base revision was not current.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ConflictReport {
    /// Revision in force at the change's offset in the log.
    pub revision: u64,
    /// The newest changes accepted since the base revision, oldest first.
    pub since: Vec<ConflictEntry>,
    /// Whether `since` contains every change accepted since the base revision.
    pub is_complete: bool,
    /// Paths of the refused change that overlap a change accepted since its base. If this is empty
    /// and `since` is complete, the change can be published again against the current revision.
    pub overlapping: Vec<Vec<String>>,
}

/// Outcome of applying one record; identical for every reader.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum ApplyVerdict {
    /// The change was accepted and produced a new revision.
    Accepted {
        /// The new revision.
        revision: u64,
    },
    /// The same change was already decided at an earlier record; this record has no effect.
    Duplicate,
    /// The change's base revision was not the current one.
    Conflict(ConflictReport),
    /// The change would make the configuration invalid.
    Invalid(fault::FaultList),
    /// A part of a larger change whose other parts have not all been read yet.
    Part,
    /// A part of a checkpoint; it does not change a state that has reached this offset.
    Checkpoint {
        /// Whether the checkpoint's history differs from this state's, which means that one of the
        /// two was not produced from this log.
        is_contradictory: bool,
    },
    /// This version cannot parse the record; the record has no effect.
    Malformed {
        /// Why the record cannot be parsed.
        reason: String,
    },
    /// The record was already applied; the state is unchanged.
    Stale,
    /// Records before this one are missing; the state is unchanged.
    Gap {
        /// Offset of the record that must be applied next.
        expected: u64,
    },
}

/// Why a state from another entry VM or a checkpoint was not adopted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdoptRefusal {
    /// The other state is not newer.
    Older,
    /// The two histories differ, which means that one of the states was not produced from this log.
    Contradictory,
}

/// The configuration state after a prefix of the log.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigState {
    revision: u64,
    /// Offset of the first record that has not been applied.
    offset: u64,
    chain: offer::ChainHash,
    #[serde(with = "shared")]
    configuration: sync::Arc<document::Configuration>,
    history: ChangeHistory,
    /// Parts of changes whose remaining parts have not been read yet.
    pending: part::PartTable,
}

impl ConfigState {
    /// The empty state before the first record.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Builds a state from files, for disaster recovery when the log no longer has the records that
    /// made the configuration and no VM holds it. The state is appended to the log as a checkpoint
    /// and starts a new history.
    ///
    /// `revision` must be higher than every earlier one, and `offset` must be the offset of the
    /// next append. Otherwise a VM that returns with the lost state would treat the restored one
    /// as older.
    ///
    /// # Errors
    /// Returns all faults of the configuration.
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

    /// Applies the record at `offset` and returns the verdict; the state changes only as the
    /// verdict states.
    pub fn apply(&mut self, offset: u64, record: &[u8]) -> ApplyVerdict {
        self.apply_with_id(offset, record).1
    }

    /// Like [`Self::apply`], and also returns the id of the change that the verdict applies to.
    pub fn apply_with_id(
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
            part::PartOutcome::Complete { text, .. } => self.decide(offset, text.as_bytes()),
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
        // Clones the configuration only if a snapshot still shares the `Arc`.
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
                faults.faults.truncate(MAX_VERDICT_FAULTS);
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
        let named = &newer[newer.len().saturating_sub(MAX_CONFLICT_ENTRIES)..];
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

    /// Replaces this state with a newer one from another entry VM or a checkpoint.
    ///
    /// # Errors
    /// Fails if the other state is not newer or was produced from another log; this state is then
    /// unchanged.
    pub fn adopt(&mut self, other: Self) -> Result<(), AdoptRefusal> {
        let (own, offer) = (self.offer(), other.offer());
        let known = other.history.chain_at(self.revision);
        let is_other_log = self.revision > 0 && known.is_some_and(|chain| chain != self.chain);
        if is_other_log || own.contradicts(&offer) {
            return Err(AdoptRefusal::Contradictory);
        }
        if !offer.replaces(&own) {
            return Err(AdoptRefusal::Older);
        }
        *self = other;
        Ok(())
    }

    /// Whether the offered state was produced from another log, as far as the retained history
    /// shows.
    #[must_use]
    pub fn is_contradicted_by(&self, offer: &offer::StateOffer) -> bool {
        let known = self.history.chain_at(offer.revision);
        self.offer().contradicts(offer) || known.is_some_and(|chain| chain != offer.hash)
    }

    /// The revision, offset and chain hash of this state, as announced to other VMs.
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

    /// Offset of the first record that has not been applied.
    #[must_use]
    pub const fn offset(&self) -> u64 {
        self.offset
    }

    /// The configuration in force.
    #[must_use]
    pub const fn configuration(&self) -> &sync::Arc<document::Configuration> {
        &self.configuration
    }

    /// The retained history of decided changes.
    #[must_use]
    pub const fn history(&self) -> &ChangeHistory {
        &self.history
    }

    /// The configuration of an earlier revision; `None` if the retained history does not reach it.
    #[must_use]
    pub fn configuration_at(&self, revision: u64) -> Option<document::Configuration> {
        if revision == self.revision {
            return Some(document::Configuration::clone(&self.configuration));
        }
        let mut value = serde_json::to_value(&*self.configuration).ok()?;
        for reverse in self.history.reverse_patches(revision)? {
            json_patch::merge(&mut value, reverse);
        }
        serde_json::from_value(value).ok()
    }

    /// Builds the indexed snapshot of this state; keys of `previous` stay valid in it.
    #[must_use]
    pub fn snapshot(&self, previous: &snapshot::ConfigSnapshot) -> snapshot::ConfigSnapshot {
        previous.next(
            self.revision,
            self.offset,
            sync::Arc::clone(&self.configuration),
        )
    }
}

/// Serializes the value inside an `Arc` as if it were stored directly.
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

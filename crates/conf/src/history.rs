//! Changes that were decided, as far back as readers remember them.

use std::collections;

use base::id;

use crate::{change, offer, state};

/// Accepted changes that are remembered.
pub const ACCEPTED_ENTRIES: usize = 256;
/// Refused changes that are remembered.
pub const REFUSED_ENTRIES: usize = 64;
/// Paths that are remembered of one change; more are cut to their common beginnings.
const ENTRY_PATHS: usize = 32;
/// Characters that are remembered of an author's name and comment each.
const ENTRY_TEXT: usize = 256;
/// Bytes of a way back that are remembered; a larger change cannot be rolled back by number.
const REVERSE_BYTES: usize = 16 * 1024;

/// Who changed what.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ChangeSummary {
    /// Offset of its record.
    pub offset: u64,
    /// The change.
    pub id: id::RecordId,
    /// Who made it.
    pub author: String,
    /// Why.
    pub comment: String,
    /// The revision that it was made against.
    pub base_revision: u64,
    /// What it touches, as names from the root down; a change of very many places is remembered
    /// by the beginnings of their paths.
    pub paths: Vec<Vec<String>>,
}

impl ChangeSummary {
    /// The summary of a change that lies at `offset`.
    #[must_use]
    pub fn new(offset: u64, change: &change::ConfigChange) -> Self {
        let cut = |text: &str| text.chars().take(ENTRY_TEXT).collect();
        Self {
            offset,
            id: change.id,
            author: cut(&change.author),
            comment: cut(&change.comment),
            base_revision: change.base_revision,
            paths: bounded_paths(change::touched_paths(&change.patch)),
        }
    }
}

/// At most [`ENTRY_PATHS`] paths that cover all of `paths`.
fn bounded_paths(mut paths: Vec<Vec<String>>) -> Vec<Vec<String>> {
    let mut depth = paths.iter().map(Vec::len).max().unwrap_or_default();
    while paths.len() > ENTRY_PATHS && depth > 0 {
        depth -= 1;
        for path in &mut paths {
            path.truncate(depth);
        }
        paths.sort_unstable();
        paths.dedup();
    }
    paths
}

/// An accepted change.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct AcceptedEntry {
    /// Who changed what.
    pub summary: ChangeSummary,
    /// The revision that it made.
    pub revision: u64,
    /// The chain up to it.
    pub chain: offer::ChainHash,
    /// Merge patch that leads back; absent when it is too large to be remembered.
    pub reverse: Option<serde_json::Value>,
}

/// A refused change.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct RefusedEntry {
    /// Who wanted to change what.
    pub summary: ChangeSummary,
    /// Why it was refused.
    pub verdict: state::ApplyVerdict,
}

/// What readers remember of earlier changes; equal on all at equal offset.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ChangeHistory {
    /// Oldest first; at most [`ACCEPTED_ENTRIES`], with consecutive revisions.
    accepted: collections::VecDeque<AcceptedEntry>,
    /// Oldest first; at most [`REFUSED_ENTRIES`].
    refused: collections::VecDeque<RefusedEntry>,
}

impl ChangeHistory {
    /// Accepted changes, oldest first.
    pub fn accepted(&self) -> impl DoubleEndedIterator<Item = &AcceptedEntry> {
        self.accepted.iter()
    }

    /// Refused changes, oldest first.
    pub fn refused(&self) -> impl DoubleEndedIterator<Item = &RefusedEntry> {
        self.refused.iter()
    }

    /// What became of a change, as far as it is remembered.
    #[must_use]
    pub fn verdict_of(&self, id: id::RecordId) -> Option<state::ApplyVerdict> {
        let accepted = self
            .accepted
            .iter()
            .rev()
            .find(|entry| entry.summary.id == id);
        let refused = || {
            self.refused
                .iter()
                .rev()
                .find(|entry| entry.summary.id == id)
        };
        accepted
            .map(|entry| state::ApplyVerdict::Accepted {
                revision: entry.revision,
            })
            .or_else(|| refused().map(|entry| entry.verdict.clone()))
    }

    /// The chain up to `revision`, as far as it is remembered.
    #[must_use]
    pub fn chain_at(&self, revision: u64) -> Option<offer::ChainHash> {
        let first = self.accepted.front()?.revision;
        let index = usize::try_from(revision.checked_sub(first)?).ok()?;
        self.accepted.get(index).map(|entry| entry.chain)
    }

    /// Merge patches that lead back to `revision`, in the order in which they apply; nothing when
    /// it lies further back than is remembered.
    #[must_use]
    pub fn way_back(&self, revision: u64) -> Option<Vec<&serde_json::Value>> {
        let current = self.accepted.back()?.revision;
        let count = usize::try_from(current.checked_sub(revision)?).ok()?;
        if count > self.accepted.len() {
            return None;
        }
        let entries = self.accepted.iter().rev().take(count);
        entries.map(|entry| entry.reverse.as_ref()).collect()
    }

    pub(crate) fn add_accepted(&mut self, mut entry: AcceptedEntry) {
        let reverse_bytes = entry.reverse.as_ref().map(|value| value.to_string().len());
        if reverse_bytes.is_some_and(|bytes| bytes > REVERSE_BYTES) {
            entry.reverse = None;
        }
        self.accepted.push_back(entry);
        if self.accepted.len() > ACCEPTED_ENTRIES {
            self.accepted.pop_front();
        }
    }

    pub(crate) fn add_refused(&mut self, entry: RefusedEntry) {
        self.refused.push_back(entry);
        if self.refused.len() > REFUSED_ENTRIES {
            self.refused.pop_front();
        }
    }
}

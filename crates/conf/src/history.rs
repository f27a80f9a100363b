//! Bounded history of decided changes.

use std::collections;

use base::id;

use crate::{change, offer, state};

/// Maximum number of accepted changes in the history.
pub const MAX_ACCEPTED_ENTRIES: usize = 256;
/// Maximum number of refused changes in the history.
pub const MAX_REFUSED_ENTRIES: usize = 64;
/// Maximum number of paths kept per change; if there are more, they are shortened to common
/// prefixes.
const MAX_ENTRY_PATHS: usize = 32;
/// Maximum number of characters kept of the author and of the comment.
const MAX_ENTRY_TEXT_CHARS: usize = 256;
/// Maximum size of a stored reverse patch; a change with a larger one cannot be rolled back by
/// revision number.
const MAX_REVERSE_BYTES: usize = 16 * 1024;

/// Summary of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ChangeSummary {
    /// Offset of the record that decided the change.
    pub offset: u64,
    /// Id of the change.
    pub id: id::RecordId,
    /// Operator who published the change.
    pub author: String,
    /// The author's comment.
    pub comment: String,
    /// Revision that the change is based on.
    pub base_revision: u64,
    /// Paths that the change sets or removes, each as field names from the root. If there are too
    /// many, they are shortened to common prefixes.
    pub paths: Vec<Vec<String>>,
}

impl ChangeSummary {
    /// Summarizes the change that was decided at `offset`.
    #[must_use]
    pub fn new(offset: u64, change: &change::ConfigChange) -> Self {
        let cut = |text: &str| text.chars().take(MAX_ENTRY_TEXT_CHARS).collect();
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

/// Reduces `paths` to at most [`MAX_ENTRY_PATHS`] prefixes that cover all of them.
fn bounded_paths(mut paths: Vec<Vec<String>>) -> Vec<Vec<String>> {
    let mut depth = paths.iter().map(Vec::len).max().unwrap_or_default();
    while paths.len() > MAX_ENTRY_PATHS && depth > 0 {
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
    /// Summary of the change.
    pub summary: ChangeSummary,
    /// Revision that the change produced.
    pub revision: u64,
    /// Hash chain up to and including this change.
    pub chain: offer::ChainHash,
    /// Merge patch that reverts the change; `None` if it is too large to store.
    pub reverse: Option<serde_json::Value>,
}

/// A refused change.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct RefusedEntry {
    /// Summary of the change.
    pub summary: ChangeSummary,
    /// Reason for the refusal.
    pub verdict: state::ApplyVerdict,
}

/// History of decided changes; identical on every reader at the same offset.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ChangeHistory {
    /// Oldest first; at most [`MAX_ACCEPTED_ENTRIES`], with consecutive revisions.
    accepted: collections::VecDeque<AcceptedEntry>,
    /// Oldest first; at most [`MAX_REFUSED_ENTRIES`].
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

    /// The verdict on a change; `None` if it is not in the history.
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

    /// The hash chain up to `revision`; `None` if the revision is not in the history.
    #[must_use]
    pub fn chain_at(&self, revision: u64) -> Option<offer::ChainHash> {
        let first = self.accepted.front()?.revision;
        let index = usize::try_from(revision.checked_sub(first)?).ok()?;
        self.accepted.get(index).map(|entry| entry.chain)
    }

    /// Merge patches that revert to `revision`, in the order in which they apply; `None` if the
    /// history does not reach back that far or lacks one of the patches.
    #[must_use]
    pub fn reverse_patches(&self, revision: u64) -> Option<Vec<&serde_json::Value>> {
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
        if reverse_bytes.is_some_and(|bytes| bytes > MAX_REVERSE_BYTES) {
            entry.reverse = None;
        }
        self.accepted.push_back(entry);
        if self.accepted.len() > MAX_ACCEPTED_ENTRIES {
            self.accepted.pop_front();
        }
    }

    pub(crate) fn add_refused(&mut self, entry: RefusedEntry) {
        self.refused.push_back(entry);
        if self.refused.len() > MAX_REFUSED_ENTRIES {
            self.refused.pop_front();
        }
    }
}

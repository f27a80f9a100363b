//! The configuration in force in this process, shared by its readers.

use std::sync;

use base::{id, ops};
use conf::{event, history, offer, snapshot, state, transfer};
use tokio::sync::watch;

use crate::clock;

/// Stream of the log that carries the configuration.
pub const STREAM: &str = "configuration";

/// Outcome of one change, as decided by the order of the log.
#[derive(Clone, Debug)]
pub struct DecidedChange {
    /// Offset of the record that decided it.
    pub offset: u64,
    /// Whether the change was accepted, or why not.
    pub verdict: state::ApplyVerdict,
}

/// Reachability of the stream as last observed.
#[derive(Clone, Copy, Debug, Default)]
struct LogView {
    reachable: bool,
    answered_ms: Option<u64>,
    down_since_ms: Option<u64>,
}

#[derive(Debug, Default)]
struct ActiveState {
    /// The state in force; absent until one is proved to be the newest.
    state: Option<state::ConfigState>,
    /// The encoded form of the state that other entry VMs fetch.
    transfer: Option<sync::Arc<transfer::StateTransfer>>,
    ready: Option<event::ReadyState>,
    in_force_since_ms: u64,
    /// Where the revision in force came from.
    source: String,
    log: LogView,
}

/// The configuration in force in this process, with its history and source.
#[derive(Debug)]
pub struct ActiveConfig {
    state: sync::Mutex<ActiveState>,
    /// Revision 0 until a state is in force.
    snapshot: watch::Sender<sync::Arc<snapshot::ConfigSnapshot>>,
    /// Number of decisions, so that publishers also observe those that change no revision.
    decisions: watch::Sender<u64>,
}

impl Default for ActiveConfig {
    fn default() -> Self {
        Self {
            state: sync::Mutex::default(),
            snapshot: watch::Sender::new(sync::Arc::default()),
            decisions: watch::Sender::new(0),
        }
    }
}

impl ActiveConfig {
    /// The snapshot in force; revision 0 means none.
    #[must_use]
    pub fn snapshot(&self) -> sync::Arc<snapshot::ConfigSnapshot> {
        self.snapshot.borrow().clone()
    }

    /// Subscribes to the snapshots that come into force.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<sync::Arc<snapshot::ConfigSnapshot>> {
        self.snapshot.subscribe()
    }

    /// Subscribes to the number of decisions.
    #[must_use]
    pub fn decisions(&self) -> watch::Receiver<u64> {
        self.decisions.subscribe()
    }

    /// Returns the outcome of the change with this id, if it is still retained.
    #[must_use]
    pub fn decided(&self, change: id::RecordId) -> Option<DecidedChange> {
        let active = self.lock();
        let history = active.state.as_ref()?.history();
        let verdict = history.verdict_of(change)?;
        let accepted = history.accepted().map(|entry| &entry.summary);
        let refused = history.refused().map(|entry| &entry.summary);
        let offset = accepted
            .chain(refused)
            .find(|summary| summary.id == change)?
            .offset;
        Some(DecidedChange { offset, verdict })
    }

    /// Returns all retained changes that were decided, in the order of the log.
    #[must_use]
    pub fn history(&self) -> ops::HistoryBody {
        let active = self.lock();
        let Some(state) = &active.state else {
            return ops::HistoryBody::default();
        };
        let accepted = state
            .history()
            .accepted()
            .map(|entry| history_entry(&entry.summary, Some(entry.revision), None));
        let refused = state
            .history()
            .refused()
            .map(|entry| history_entry(&entry.summary, None, Some(describe(&entry.verdict))));
        let mut entries: Vec<ops::HistoryEntry> = accepted.chain(refused).collect();
        entries.sort_by_key(|entry| entry.offset);
        ops::HistoryBody { entries }
    }

    /// Returns the complete configuration of a revision, if it is still retained.
    #[must_use]
    pub fn configuration(&self, revision: u64) -> Option<ops::ConfigurationBody> {
        let active = self.lock();
        let state = active.state.as_ref()?;
        let configuration = state.configuration_at(revision)?;
        let state_hash = state.history().chain_at(revision).map(|chain| chain.0);
        let offset = state.offset();
        drop(active);
        let state = serde_json::to_value(configuration).ok()?;
        Some(ops::ConfigurationBody {
            revision,
            offset,
            state_hash,
            state,
        })
    }

    /// Status of the configuration in force for the operators' API.
    #[must_use]
    pub fn status(&self, now_ms: u64) -> ops::ConfigurationStatus {
        let active = self.lock();
        let offer = active.state.as_ref().map(state::ConfigState::offer);
        ops::ConfigurationStatus {
            revision: offer.map_or(0, |offer| offer.revision),
            offset: offer.map_or(0, |offer| offer.offset),
            state_hash: offer.map(|offer| offer.hash.0),
            in_force_ms: now_ms.saturating_sub(active.in_force_since_ms),
            source: active.source.clone(),
        }
    }

    /// Status of the stream for the operators' API.
    #[must_use]
    pub fn log_status(&self, now_ms: u64) -> ops::LogStatus {
        let active = self.lock();
        ops::LogStatus {
            stream: STREAM.to_owned(),
            reachable: active.log.reachable,
            answered_ms_ago: active
                .log
                .answered_ms
                .map(|at_ms| now_ms.saturating_sub(at_ms)),
            next_offset: active.state.as_ref().map_or(0, state::ConfigState::offset),
        }
    }

    /// The state that other entry VMs fetch, as it was last encoded.
    #[must_use]
    pub fn transfer(&self) -> Option<sync::Arc<transfer::StateTransfer>> {
        self.lock().transfer.clone()
    }

    /// The state that other entry VMs fetch, refreshed if the log has advanced since it was
    /// encoded.
    ///
    /// Without the refresh, a VM that was disconnected until the log dropped the records that it
    /// lacks would receive a state as old as the last change, from whose offset it cannot read on,
    /// and would fetch it repeatedly.
    #[must_use]
    pub fn renewed_transfer(&self) -> Option<sync::Arc<transfer::StateTransfer>> {
        let mut active = self.lock();
        let old = active.transfer.clone()?;
        let state = active.state.as_ref()?;
        if state.offset() <= old.offer.offset {
            return Some(old);
        }
        let renewed = sync::Arc::new(transfer::StateTransfer::new(state, old.cover));
        active.transfer = Some(sync::Arc::clone(&renewed));
        Some(renewed)
    }

    /// Revision, offset and hash of the state in force, as announced to other entry VMs.
    #[must_use]
    pub fn offer(&self) -> Option<offer::StateOffer> {
        self.lock().state.as_ref().map(state::ConfigState::offer)
    }

    /// Whether a state is in force, and if not, why not.
    #[must_use]
    pub fn ready(&self) -> event::ReadyState {
        self.lock().ready.unwrap_or(event::ReadyState::NoState)
    }

    fn lock(&self) -> sync::MutexGuard<'_, ActiveState> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Puts a state in force.
    pub(crate) fn put_in_force(
        &self,
        state: &state::ConfigState,
        transfer: Option<transfer::StateTransfer>,
        source: &str,
    ) {
        let mut active = self.lock();
        active.in_force_since_ms = clock::unix_ms();
        source.clone_into(&mut active.source);
        active.transfer = transfer.map(sync::Arc::new);
        let next = state.snapshot(&self.snapshot.borrow());
        active.state = Some(state.clone());
        drop(active);
        metrics::gauge!("pollenchute_entry_configuration_revision_number")
            .set(next.revision() as f64);
        self.snapshot.send_replace(sync::Arc::new(next));
    }

    /// Applies records after the state in force that change no revision: refused changes and
    /// checkpoints.
    pub(crate) fn advance(&self, state: &state::ConfigState, ready: event::ReadyState) {
        let mut active = self.lock();
        active.ready = Some(ready);
        if active
            .state
            .as_ref()
            .is_some_and(|known| known.offset() != state.offset())
        {
            active.state = Some(state.clone());
        }
    }

    /// Wakes the publishers that wait for a decision.
    pub(crate) fn note_decision(&self) {
        self.decisions.send_modify(|count| *count += 1);
    }

    /// Records an answer of the log; returns the duration of the outage that it ended, in
    /// milliseconds.
    pub(crate) fn note_answer(&self) -> Option<u64> {
        let now_ms = clock::unix_ms();
        let mut active = self.lock();
        active.log.reachable = true;
        active.log.answered_ms = Some(now_ms);
        active
            .log
            .down_since_ms
            .take()
            .map(|since_ms| now_ms.saturating_sub(since_ms))
    }

    /// Records that the log does not answer; returns whether the outage has just started.
    pub(crate) fn note_outage(&self) -> bool {
        let mut active = self.lock();
        active.log.reachable = false;
        let is_new = active.log.down_since_ms.is_none();
        active.log.down_since_ms.get_or_insert_with(clock::unix_ms);
        is_new
    }
}

fn history_entry(
    summary: &history::ChangeSummary,
    revision: Option<u64>,
    refused: Option<String>,
) -> ops::HistoryEntry {
    ops::HistoryEntry {
        offset: summary.offset,
        at_ms: 0,
        record: summary.id,
        base_revision: summary.base_revision,
        revision,
        refused,
        author: summary.author.clone(),
        comment: summary.comment.clone(),
        paths: summary.paths.iter().map(|path| path.join(".")).collect(),
    }
}

/// Describes a verdict for operators.
#[must_use]
pub fn describe(verdict: &state::ApplyVerdict) -> String {
    match verdict {
        state::ApplyVerdict::Accepted { revision } => format!("accepted as revision {revision}"),
        state::ApplyVerdict::Duplicate => "decided at an earlier record".to_owned(),
        state::ApplyVerdict::Conflict(report) => {
            format!(
                "revision {} was first; make the change against it",
                report.revision
            )
        }
        state::ApplyVerdict::Invalid(faults) => faults.to_string(),
        other => format!("{other:?}"),
    }
}

#[cfg(test)]
mod tests;

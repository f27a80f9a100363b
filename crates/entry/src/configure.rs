//! The configuration controller: follows the stream `configuration` and puts each accepted
//! revision in force.

use std::{collections, sync};

use base::{id, ops};
use conf::{change, document, snapshot, state};
use ledger::{client, client::LogClient, tail};
use tokio::sync::watch;

use crate::{chronicle, wall};

/// Stream of the log that carries the configuration.
pub const STREAM: &str = "configuration";
/// Decided changes that are remembered for `GET /ops/history` and for publishers that wait.
const REMEMBERED_CHANGES: usize = 512;
/// Revisions that are remembered whole, for comparison and rollback.
const REMEMBERED_REVISIONS: usize = 16;

/// One decided change.
#[derive(Clone, Debug)]
pub struct DecidedChange {
    /// What the operators' face shows of it.
    pub entry: ops::HistoryEntry,
    /// What the log decided.
    pub verdict: state::ApplyVerdict,
}

/// One accepted revision.
#[derive(Clone, Debug)]
struct KnownRevision {
    revision: u64,
    offset: u64,
    configuration: sync::Arc<document::Configuration>,
}

/// What the controller knows.
#[derive(Debug, Default)]
struct BookState {
    state: state::ConfigState,
    /// Oldest first; at most [`REMEMBERED_CHANGES`].
    decided: collections::VecDeque<DecidedChange>,
    /// Accepted revisions, oldest first; at most [`REMEMBERED_REVISIONS`].
    revisions: collections::VecDeque<KnownRevision>,
    in_force_since_ms: u64,
    /// Where the revision in force came from.
    source: String,
    log: LogView,
}

/// The stream as it was last found.
#[derive(Clone, Copy, Debug, Default)]
struct LogView {
    reachable: bool,
    answered_ms: Option<u64>,
    down_since_ms: Option<u64>,
}

/// The configuration in force in this process, and how it came to be.
#[derive(Debug)]
pub struct ConfigBook {
    state: sync::Mutex<BookState>,
    /// Revision 0 until the first accepted change was read.
    snapshot: watch::Sender<sync::Arc<snapshot::ConfigSnapshot>>,
    /// Grows with each record, so that publishers notice decisions that change no revision.
    applied: watch::Sender<u64>,
}

impl Default for ConfigBook {
    fn default() -> Self {
        Self {
            state: sync::Mutex::default(),
            snapshot: watch::Sender::new(sync::Arc::default()),
            applied: watch::Sender::new(0),
        }
    }
}

impl ConfigBook {
    /// The snapshot in force; revision 0 means none.
    #[must_use]
    pub fn snapshot(&self) -> sync::Arc<snapshot::ConfigSnapshot> {
        self.snapshot.borrow().clone()
    }

    /// Follows the snapshots that come into force.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<sync::Arc<snapshot::ConfigSnapshot>> {
        self.snapshot.subscribe()
    }

    /// Follows the number of records applied.
    #[must_use]
    pub fn applied(&self) -> watch::Receiver<u64> {
        self.applied.subscribe()
    }

    /// What the log decided of the change with this record id, as far as it is remembered.
    #[must_use]
    pub fn decided(&self, record: id::RecordId) -> Option<DecidedChange> {
        self.lock()
            .decided
            .iter()
            .find(|change| change.entry.record == record)
            .cloned()
    }

    /// All decided changes that are remembered, oldest first.
    #[must_use]
    pub fn history(&self) -> ops::HistoryBody {
        let entries = self
            .lock()
            .decided
            .iter()
            .map(|change| change.entry.clone())
            .collect();
        ops::HistoryBody { entries }
    }

    /// A revision whole, as far as it is remembered.
    #[must_use]
    pub fn configuration(&self, revision: u64) -> Option<ops::ConfigurationBody> {
        let book = self.lock();
        let known = book
            .revisions
            .iter()
            .find(|known| known.revision == revision)?;
        let (offset, configuration) = (known.offset, sync::Arc::clone(&known.configuration));
        drop(book);
        let state = serde_json::to_value(&*configuration).ok()?;
        Some(ops::ConfigurationBody {
            revision,
            offset,
            state_hash: None,
            state,
        })
    }

    /// The configuration in force for the operators' face.
    #[must_use]
    pub fn status(&self, now_ms: u64) -> ops::ConfigurationStatus {
        let book = self.lock();
        ops::ConfigurationStatus {
            revision: book.state.revision(),
            offset: book.state.offset(),
            state_hash: None,
            in_force_ms: now_ms.saturating_sub(book.in_force_since_ms),
            source: book.source.clone(),
        }
    }

    /// The stream for the operators' face.
    #[must_use]
    pub fn log_status(&self, now_ms: u64) -> ops::LogStatus {
        let book = self.lock();
        ops::LogStatus {
            stream: STREAM.to_owned(),
            reachable: book.log.reachable,
            answered_ms_ago: book
                .log
                .answered_ms
                .map(|at_ms| now_ms.saturating_sub(at_ms)),
            next_offset: book.state.offset(),
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, BookState> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Applies one record of the stream.
    fn apply(&self, record: &client::LogRecord, chronicle: &chronicle::Chronicle) {
        let mut book = self.lock();
        let verdict = book.state.apply(record.offset, &record.body);
        let change = serde_json::from_slice::<change::ConfigChange>(&record.body).ok();
        if let Some(change) = change {
            let decided = decided_change(record, change, verdict);
            chronicle.record(change_event(&decided));
            if let state::ApplyVerdict::Accepted { revision } = decided.verdict {
                log::info!(revision = revision, offset = record.offset; "configuration in force");
                book.in_force_since_ms = wall::unix_ms();
                "log".clone_into(&mut book.source);
                let configuration = sync::Arc::clone(book.state.configuration());
                let offset = record.offset;
                book.revisions.push_back(KnownRevision {
                    revision,
                    offset,
                    configuration,
                });
                if book.revisions.len() > REMEMBERED_REVISIONS {
                    book.revisions.pop_front();
                }
                let next = book.state.snapshot(&self.snapshot.borrow());
                self.snapshot.send_replace(sync::Arc::new(next));
                metrics::gauge!("pollenchute_configuration_revision_number").set(revision as f64);
            }
            if !matches!(decided.verdict, state::ApplyVerdict::Duplicate) {
                book.decided.push_back(decided);
            }
            if book.decided.len() > REMEMBERED_CHANGES {
                book.decided.pop_front();
            }
        }
        drop(book);
        self.applied.send_modify(|count| *count += 1);
    }

    fn note_answer(&self, chronicle: &chronicle::Chronicle) {
        let now_ms = wall::unix_ms();
        let mut book = self.lock();
        book.log.reachable = true;
        book.log.answered_ms = Some(now_ms);
        let Some(since_ms) = book.log.down_since_ms.take() else {
            return;
        };
        drop(book);
        let down_ms = now_ms.saturating_sub(since_ms);
        chronicle.record(trace::kind::EventKind::LogUp {
            stream: STREAM.to_owned(),
            down_ms,
        });
    }

    fn note_outage(&self, cause: String, chronicle: &chronicle::Chronicle) {
        let mut book = self.lock();
        book.log.reachable = false;
        if book.log.down_since_ms.is_some() {
            return;
        }
        book.log.down_since_ms = Some(wall::unix_ms());
        drop(book);
        chronicle.record(trace::kind::EventKind::LogDown {
            stream: STREAM.to_owned(),
            reason: cause,
        });
    }
}

fn decided_change(
    record: &client::LogRecord,
    change: change::ConfigChange,
    verdict: state::ApplyVerdict,
) -> DecidedChange {
    let (revision, refused) = match &verdict {
        state::ApplyVerdict::Accepted { revision } => (Some(*revision), None),
        state::ApplyVerdict::Conflict(report) => (
            None,
            Some(format!("revision {} was first", report.revision)),
        ),
        state::ApplyVerdict::Invalid(faults) => (None, Some(faults.to_string())),
        other => (None, Some(format!("{other:?}"))),
    };
    let paths = change::touched_paths(&change.patch)
        .iter()
        .map(|path| path.join("."))
        .collect();
    let entry = ops::HistoryEntry {
        offset: record.offset,
        at_ms: record.at_ms,
        record: change.id,
        base_revision: change.base_revision,
        revision,
        refused,
        author: change.author,
        comment: change.comment,
        paths,
    };
    DecidedChange { entry, verdict }
}

fn change_event(decided: &DecidedChange) -> trace::kind::EventKind {
    let entry = &decided.entry;
    match entry.revision {
        Some(revision) => trace::kind::EventKind::ConfigurationAccepted {
            revision,
            offset: entry.offset,
            author: entry.author.clone(),
        },
        None => trace::kind::EventKind::ConfigurationRefused {
            base_revision: entry.base_revision,
            offset: entry.offset,
            author: entry.author.clone(),
            reason: entry.refused.clone().unwrap_or_default(),
        },
    }
}

/// Follows the stream for ever.
pub async fn follow<C: LogClient>(
    log: C,
    book: sync::Arc<ConfigBook>,
    chronicle: chronicle::Chronicle,
) {
    let mut reader = tail::TailReader::new(log, STREAM, 0).wait_ms(1_000);
    loop {
        match reader.next_event().await {
            tail::TailEvent::Records(records) => {
                book.note_answer(&chronicle);
                for record in &records {
                    book.apply(record, &chronicle);
                }
            }
            tail::TailEvent::Quiet { .. } | tail::TailEvent::Gap { .. } => {
                book.note_answer(&chronicle);
            }
            tail::TailEvent::Outage { cause } => book.note_outage(cause, &chronicle),
        }
    }
}

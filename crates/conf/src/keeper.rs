//! Keeps a usable checkpoint in the log: decides when one is due and which VM appends it.

use std::{collections, mem};

use base::rendezvous;
use tokio::time;

use crate::{checkpoint, pace::KeeperSettings, part, state};

/// Monotonic and wall-clock time read at the same moment.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// Monotonic clock of this process, used for all timeouts.
    pub now: time::Instant,
    /// Wall clock in Unix milliseconds. It only estimates the age of records written before this
    /// process started; no safety property depends on it.
    pub unix_ms: u64,
}

/// Ranks are capped at this value, which bounds how long a VM waits before it appends.
const MAX_RANK: u32 = 30;

/// A complete checkpoint in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct SeenCheckpoint {
    /// Offset of the first record that the checkpoint does not include.
    pub offset: u64,
    /// Offset of the checkpoint's first part.
    pub first_part: u64,
    /// When the checkpoint's last part was appended, by the log's clock.
    pub at_ms: u64,
}

/// Knowledge of one VM about the records that a fresh VM could start from.
///
/// The cover is sent along with the state, because a VM that received its state from another one
/// has not read the older part of the log and would otherwise append an unnecessary checkpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct LogCover {
    /// The newest complete checkpoint.
    pub newest: Option<SeenCheckpoint>,
    /// When record 0 was appended, if it was read.
    pub start_ms: Option<u64>,
    /// Number of records after the newest checkpoint that are not parts of checkpoints or of large
    /// changes.
    pub records_since: u64,
}

/// Checkpoint keeper of one VM.
#[derive(Clone, Debug)]
pub struct CheckpointKeeper {
    settings: KeeperSettings,
    search: checkpoint::CheckpointSearch,
    cover: LogCover,
    /// Offset of the oldest record that the log still has.
    log_first: u64,
    due_since: Option<time::Instant>,
    /// Whether a part of a newer checkpoint was read since the last decision.
    has_newer_parts: bool,
    /// Remaining records of the checkpoint that is being appended, in order.
    queue: collections::VecDeque<Vec<u8>>,
    is_appending: bool,
    paused_until: Option<time::Instant>,
}

impl CheckpointKeeper {
    /// Creates a keeper that has read no records.
    #[must_use]
    pub fn new(settings: KeeperSettings) -> Self {
        Self {
            settings,
            search: checkpoint::CheckpointSearch::default(),
            cover: LogCover::default(),
            log_first: 0,
            due_since: None,
            has_newer_parts: false,
            queue: collections::VecDeque::new(),
            is_appending: false,
            paused_until: None,
        }
    }

    /// Processes a record and returns the checkpoint that it completes. `own` is the state of this
    /// VM; a checkpoint that contradicts it is not counted as usable.
    ///
    /// # Errors
    /// Fails if the record is damaged or completes an invalid checkpoint; such a checkpoint is not
    /// counted as usable.
    pub fn observe(
        &mut self,
        offset: u64,
        at_ms: u64,
        record: &[u8],
        own: Option<&state::ConfigState>,
    ) -> Result<Option<checkpoint::FoundCheckpoint>, checkpoint::CheckpointError> {
        if offset == 0 {
            self.cover.start_ms = Some(at_ms);
        }
        let part = part::parse(record).map(|(header, _)| header.of);
        self.cover.records_since += u64::from(part.is_none());
        if let Some(part::PartKind::Checkpoint(offer)) = part {
            self.has_newer_parts |= self.is_newer(offer.offset);
        }
        let Some(found) = self.search.add(offset, record)? else {
            return Ok(None);
        };
        let offer = found.state.offer();
        let seen = SeenCheckpoint {
            offset: offer.offset,
            first_part: found.first_part,
            at_ms,
        };
        let is_other_log = own.is_some_and(|own| own.is_contradicted_by(&offer));
        let is_older = self
            .cover
            .newest
            .is_some_and(|newest| newest.offset > seen.offset);
        if !is_other_log && !is_older {
            self.cover.newest = Some(seen);
            self.cover.records_since = 0;
            self.queue.clear();
        }
        Ok(Some(found))
    }

    fn is_newer(&self, offset: u64) -> bool {
        self.cover
            .newest
            .is_none_or(|newest| newest.offset <= offset)
    }

    /// Discards the collected parts before a new pass over the log.
    pub fn restart_search(&mut self) {
        self.search = checkpoint::CheckpointSearch::default();
    }

    /// Returns the knowledge of this VM about the records that a fresh VM could start from.
    #[must_use]
    pub const fn cover(&self) -> LogCover {
        self.cover
    }

    /// Sets the coverage received from another VM along with its state.
    pub const fn set_cover(&mut self, cover: LogCover) {
        self.cover = cover;
    }

    /// Records the offset of the oldest record that the log still has.
    pub fn observe_first(&mut self, first: u64) {
        self.log_first = self.log_first.max(first);
    }

    /// The next checkpoint record to append if it is this VM's turn; one append at a time.
    pub fn next_record(
        &mut self,
        vm: &str,
        state: &state::ConfigState,
        clock: ClockReading,
    ) -> Option<Vec<u8>> {
        let is_paused = self.paused_until.is_some_and(|until| clock.now < until);
        if self.is_appending || is_paused {
            return None;
        }
        if self.queue.is_empty() {
            self.queue_if_due(vm, state, clock);
        }
        let record = self.queue.front().cloned();
        self.is_appending = record.is_some();
        record
    }

    fn queue_if_due(&mut self, vm: &str, state: &state::ConfigState, clock: ClockReading) {
        if !self.is_due(state, clock) {
            self.due_since = None;
            return;
        }
        // Wait while another VM appends: if hundreds of VMs appended checkpoints concurrently, none
        // of the many partial checkpoints would ever be completed.
        if mem::take(&mut self.has_newer_parts) {
            self.due_since = Some(clock.now);
        }
        let due_since = *self.due_since.get_or_insert(clock.now);
        let wait = self.settings.rank_step * (1 + rank(vm, state));
        if clock.now >= due_since + wait {
            self.queue = checkpoint::records(state, self.settings.part_bytes).into();
            self.due_since = None;
        }
    }

    /// Whether a new checkpoint is needed so that a fresh VM can still start from the log.
    fn is_due(&self, state: &state::ConfigState, clock: ClockReading) -> bool {
        if state.revision() == 0 || self.cover.records_since >= self.settings.records {
            return state.revision() > 0;
        }
        let Some(newest) = self.cover.newest else {
            // Without a checkpoint a fresh VM can replay the log from record 0 until retention is
            // about to drop that record.
            let start_ms = self.cover.start_ms.filter(|_| self.log_first == 0);
            return start_ms.is_none_or(|at_ms| self.is_old(at_ms, clock));
        };
        let is_truncated = self.log_first > newest.offset.min(newest.first_part);
        is_truncated || self.is_old(newest.at_ms, clock)
    }

    fn is_old(&self, at_ms: u64, clock: ClockReading) -> bool {
        u128::from(clock.unix_ms.saturating_sub(at_ms)) >= self.settings.age.as_millis()
    }

    /// Handles a successful append.
    pub fn append_succeeded(&mut self, clock: ClockReading) {
        self.is_appending = false;
        self.queue.pop_front();
        if self.queue.is_empty() {
            self.paused_until = Some(clock.now + self.settings.retry_after);
        }
    }

    /// Handles a failed append or a lost response. In the latter case the record may be in the log;
    /// appending it again is harmless because identical parts are counted once.
    pub fn append_failed(&mut self, clock: ClockReading) {
        self.is_appending = false;
        self.paused_until = Some(clock.now + self.settings.retry_after);
    }
}

/// Rendezvous-hash rank of this VM for the checkpoint that is due. Ranks stagger the VMs; otherwise
/// hundreds of them would append the same checkpoint at once.
fn rank(vm: &str, state: &state::ConfigState) -> u32 {
    let subject = format!("checkpoint-{}", state.revision());
    let own = (rendezvous::score(&subject, vm), vm);
    let vms = state.configuration().inventory.entry_vms.keys();
    let better = vms.filter(|other| (rendezvous::score(&subject, other), other.as_str()) > own);
    u32::try_from(better.count())
        .unwrap_or(MAX_RANK)
        .min(MAX_RANK)
}

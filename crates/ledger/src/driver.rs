//! Runs a pure fold over one stream: reads records, appends entries and returns each entry's
//! verdict to its submitter.

use std::{collections, sync};

use base::{fingerprint, id};
use tokio::{sync as tokio_sync, task, time};

use crate::client::LogClient;
use crate::{appender, client, recent, record, seek, signal, tail};

/// A pure function of the records of one stream.
///
/// A fold must not read a clock or use random numbers: two folds that start at the same offset and
/// apply the same records must be equal.
pub trait LogFold: Send + 'static {
    /// Type of the entries.
    type Entry: serde::Serialize + serde::de::DeserializeOwned + Send;
    /// Type of the fold's decision on one entry.
    type Verdict: Send + 'static;

    /// Applies one record and returns a verdict for each entry whose submitter may wait for one.
    /// An entry that was applied before changes nothing; its verdict reflects the current state.
    fn apply(
        &mut self,
        place: record::RecordPlace,
        batch: record::BatchRecord<Self::Entry>,
    ) -> Vec<EntryVerdict<Self::Verdict>>;

    /// Resets the fold to an empty state, because records below `first` can no longer be read.
    fn restart(&mut self, first: u64);

    /// Returns how far before the end of the stream the fold starts to read, or `None` to start at
    /// the first retained record.
    fn lookback_ms(&self) -> Option<u64> {
        None
    }
}

/// The decision of a fold on one entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryVerdict<V> {
    /// Id of the entry.
    pub id: id::RecordId,
    /// The decision.
    pub verdict: V,
}

/// The reason why a submitted entry has no verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitError {
    /// The entry is not on the log and never will be.
    NotAppended(appender::NotAppended),
    /// The entry may be on the log, or may still reach it.
    Unsettled,
}

/// An estimate of the log's clock from the timestamps of records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogClock {
    at_ms: u64,
    seen: time::Instant,
}

impl LogClock {
    /// Returns the estimate of the log's clock at `now`. It lags by the time that records take to
    /// arrive.
    #[must_use]
    pub fn now_ms(&self, now: time::Instant) -> u64 {
        let passed = now.saturating_duration_since(self.seen).as_millis();
        self.at_ms
            .saturating_add(u64::try_from(passed).unwrap_or(u64::MAX))
    }
}

/// The state of a stream after the records read so far.
#[derive(Debug)]
pub struct StreamState<F: LogFold> {
    /// The fold of all records read so far.
    pub fold: F,
    /// Offset of the next record to apply.
    pub position: u64,
    /// The log's clock; `None` until a record arrives after the stream was read to its end.
    pub clock: Option<LogClock>,
    waiters: collections::BTreeMap<id::RecordId, tokio_sync::oneshot::Sender<F::Verdict>>,
    recent: recent::RecentRecords,
    /// Set after the log came back from an older copy, until its state is complete again.
    restore: Option<LogRestore>,
}

/// Progress after the log came back from an older copy.
#[derive(Clone, Copy, Debug)]
struct LogRestore {
    /// Whether the restored log was read to its end.
    read_to_end: bool,
    /// When records that the log lacks are appended again, unless another process did so.
    rewrite_at: time::Instant,
    /// When other processes have had the time to append what only they have read. Until then no
    /// entry is accepted: a claim of the earlier era could be granted a second time.
    settles_at: time::Instant,
}

impl<F: LogFold> StreamState<F> {
    /// Updates the estimate of the log's clock. Records that are read late, after an outage, have
    /// old timestamps; the estimate never goes back.
    fn update_clock(&mut self, at_ms: u64, seen: time::Instant) {
        let known_ms = self.clock.map_or(0, |clock| clock.now_ms(seen));
        let at_ms = at_ms.max(known_ms);
        self.clock = Some(LogClock { at_ms, seen });
    }
}

/// Progress and health of reading the stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ReadState {
    /// The stream was read up to its end at least once.
    loaded: bool,
    /// The most recent reads failed.
    outage: bool,
}

struct SharedState<F: LogFold> {
    state: sync::Mutex<StreamState<F>>,
    read_state: signal::StateSignal<ReadState>,
}

impl<F: LogFold> SharedState<F> {
    fn lock(&self) -> sync::MutexGuard<'_, StreamState<F>> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Reader, fold and group commit of one stream. Dropping the driver stops its tasks.
pub struct FoldDriver<C, F: LogFold> {
    client: C,
    stream: String,
    shared: sync::Arc<SharedState<F>>,
    mark: appender::PositionMark,
    appender: appender::GroupAppender,
    tasks: [task::AbortHandle; 2],
}

impl<C, F: LogFold> Drop for FoldDriver<C, F> {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl<C: LogClient, F: LogFold> FoldDriver<C, F> {
    /// Starts reading `stream` from offset 0 or the first record that the log still retains, or
    /// from where the fold's `lookback_ms` begins.
    pub fn start(
        client: C,
        stream: &str,
        writer: &str,
        fold: F,
        limits: appender::AppendLimits,
    ) -> Self {
        let mark = appender::PositionMark::default();
        let state = StreamState {
            fold,
            position: 0,
            clock: None,
            waiters: collections::BTreeMap::new(),
            recent: recent::RecentRecords::default(),
            restore: None,
        };
        let shared = sync::Arc::new(SharedState {
            state: sync::Mutex::new(state),
            read_state: signal::StateSignal::new(ReadState::default()),
        });
        let reading = FollowTask {
            client: client.clone(),
            stream: stream.to_owned(),
            shared: sync::Arc::clone(&shared),
            mark: mark.clone(),
            rewrite_delay: rewrite_delay(writer),
        };
        let reading = tokio::spawn(reading.run());
        let (appender, appending) =
            appender::GroupAppender::start(client.clone(), stream, writer, mark.clone(), limits);
        Self {
            client,
            stream: stream.to_owned(),
            shared,
            mark,
            appender,
            tasks: [reading.abort_handle(), appending.abort_handle()],
        }
    }

    /// Calls `inspect` with the state of the stream.
    pub fn view<T>(&self, inspect: impl FnOnce(&StreamState<F>) -> T) -> T {
        inspect(&self.shared.lock())
    }

    /// Whether the stream was read up to its end at least once.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        self.shared.read_state.get().loaded
    }

    /// Returns the offset of the next record to apply.
    #[must_use]
    pub fn position(&self) -> u64 {
        self.shared.lock().position
    }

    /// Returns the position once the stream was read up to its end, or `None` while the log cannot
    /// be read.
    ///
    /// An entry that is based on an older position may be refused by processes that start reading
    /// later; what one process accepted would then be lost when that process ends.
    pub async fn loaded_position(&self, deadline: time::Instant) -> Option<u64> {
        let loaded = self.wait_loaded(deadline).await;
        loaded.then(|| self.position())
    }

    /// Whether the most recent reads failed.
    #[must_use]
    pub fn is_unreadable(&self) -> bool {
        self.shared.read_state.get().outage
    }

    /// Waits until the stream was read up to its end. Returns false if the log cannot be read or
    /// `deadline` passes first.
    pub async fn wait_loaded(&self, deadline: time::Instant) -> bool {
        let ended = |state: &ReadState| state.loaded || state.outage;
        let waiting = self.shared.read_state.wait_for(ended);
        let waited = time::timeout_at(deadline, waiting).await;
        waited.is_ok_and(|state| state.loaded && !state.outage)
    }

    /// Waits until the fold has applied every record that was on the log at the time of the call.
    /// Returns false if the log cannot be read or `deadline` passes first.
    pub async fn catch_up(&self, deadline: time::Instant) -> bool {
        loop {
            if !self.wait_loaded(deadline).await {
                return false;
            }
            let query = client::ReadQuery {
                stream: self.stream.clone(),
                from: self.mark.get(),
                max: 1,
                wait_ms: 0,
            };
            let reading = time::timeout_at(deadline, self.client.read(&query));
            match reading.await {
                Ok(Ok(page)) if page.records.is_empty() => return true,
                Ok(Ok(_)) => time::sleep(CATCH_UP_INTERVAL).await,
                _ => return false,
            }
        }
    }

    /// Appends an entry and waits for the fold's verdict on it. `seen` is the position of the state
    /// on which the entry is based.
    ///
    /// The verdict comes from the reader, never from the answer to the append, so a lost answer
    /// only causes a delay.
    ///
    /// # Errors
    /// Returns an error if there is no verdict by `deadline`; it says whether the entry may be on
    /// the log.
    pub async fn submit(
        &self,
        id: id::RecordId,
        entry: &F::Entry,
        seen: u64,
        deadline: time::Instant,
    ) -> Result<F::Verdict, SubmitError> {
        // Verdicts need reads: the entry is refused now instead of at the deadline.
        if !self.wait_loaded(deadline).await {
            let cause = if self.is_unreadable() {
                appender::NotAppended::Down
            } else {
                appender::NotAppended::NotLoaded
            };
            return Err(SubmitError::NotAppended(cause));
        }
        let encoded = record::EncodedEntry::new(id, seen, entry)
            .map_err(|_| SubmitError::NotAppended(appender::NotAppended::Refused))?;
        let (sender, verdict) = tokio_sync::oneshot::channel();
        self.shared.lock().waiters.insert(id, sender);
        let _guard = WaiterGuard {
            shared: &self.shared,
            id,
        };
        self.await_verdict(encoded, verdict, deadline).await
    }

    async fn await_verdict(
        &self,
        encoded: record::EncodedEntry,
        mut verdict: tokio_sync::oneshot::Receiver<F::Verdict>,
        deadline: time::Instant,
    ) -> Result<F::Verdict, SubmitError> {
        let appended = self
            .appender
            .push(encoded, deadline)
            .map_err(SubmitError::NotAppended)?;
        tokio::select! {
            biased;
            found = &mut verdict => return found.map_err(|_| SubmitError::Unsettled),
            answer = appended => {
                if let Ok(appender::AppendOutcome::NotAppended(cause)) = answer {
                    return Err(SubmitError::NotAppended(cause));
                }
            }
        }
        match time::timeout_at(deadline, verdict).await {
            Ok(Ok(found)) => Ok(found),
            _ => Err(SubmitError::Unsettled),
        }
    }
}

/// Removes the waiter of an entry when its submitter returns or is cancelled.
struct WaiterGuard<'a, F: LogFold> {
    shared: &'a SharedState<F>,
    id: id::RecordId,
}

impl<F: LogFold> Drop for WaiterGuard<'_, F> {
    fn drop(&mut self) {
        self.shared.lock().waiters.remove(&self.id);
    }
}

/// Reads the stream and applies its records to the fold.
struct FollowTask<C, F: LogFold> {
    client: C,
    stream: String,
    shared: sync::Arc<SharedState<F>>,
    mark: appender::PositionMark,
    rewrite_delay: time::Duration,
}

/// Delay after which a process appends again what a restored log lacks. It differs between
/// processes, so that few of them append the same record.
fn rewrite_delay(writer: &str) -> time::Duration {
    let hash = fingerprint::ContentHash::of(writer.as_bytes());
    MAX_REWRITE_DELAY.mul_f64(f64::from(hash.0[0]) / 256.0)
}

impl<C: LogClient, F: LogFold> FollowTask<C, F> {
    async fn run(self) {
        let lookback_ms = self.shared.lock().fold.lookback_ms();
        let start = self.find_start(lookback_ms).await;
        if start > 0 {
            self.shared.restart(start);
            self.mark.advance(start);
        }
        let reader = tail::TailReader::new(self.client.clone(), self.stream.clone(), start);
        let mut reader = reader.wait_ms(0);
        loop {
            let event = reader.next_event().await;
            if let tail::TailEvent::Restored { .. } = event {
                let start = self.find_start(Some(RESTORE_LOOKBACK_MS)).await;
                self.shared.begin_restore(start, self.rewrite_delay);
                reader.restart(start);
                reader = reader.wait_ms(RESTORE_POLL_MS);
                self.mark.reset(start);
                continue;
            }
            self.rewrite_lost().await;
            if self.shared.handle_event(event, reader.failures()) {
                reader = reader.wait_ms(LONG_POLL_TIMEOUT_MS);
            }
            self.mark.advance(reader.position());
        }
    }

    /// Appends the records that the restored log lacks and that no other process has appended.
    async fn rewrite_lost(&self) {
        for body in self.shared.take_lost() {
            let _ = self.client.append(&self.stream, body).await;
        }
    }

    async fn find_start(&self, lookback_ms: Option<u64>) -> u64 {
        let Some(lookback_ms) = lookback_ms else {
            return 0;
        };
        loop {
            match seek::find_start(&self.client, &self.stream, lookback_ms).await {
                Ok(start) => return start,
                Err(_) => {
                    self.shared.set_outage(true);
                    time::sleep(SEEK_RETRY_INTERVAL).await;
                }
            }
        }
    }
}

/// Interval between two attempts to find the start position.
const SEEK_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Interval between two checks whether the reader has caught up.
const CATCH_UP_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// Time that one read waits at the log for the next record.
const LONG_POLL_TIMEOUT_MS: u64 = 2_000;

/// How far before the end of a restored log reading starts again.
const RESTORE_LOOKBACK_MS: u64 = 60_000;

/// Time that one read waits at the log until a restore is complete.
const RESTORE_POLL_MS: u64 = 50;

/// Maximum delay before a process appends again what a restored log lacks.
const MAX_REWRITE_DELAY: time::Duration = time::Duration::from_millis(800);

/// Interval between two attempts to append it.
const REWRITE_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(300);

/// Time in which all running processes notice a restore and append what the log lacks.
const RESTORE_SETTLE_TIME: time::Duration = time::Duration::from_millis(2_500);

/// Number of consecutive failed reads after which the log counts as unreadable.
const MIN_OUTAGE_FAILURES: u32 = 2;

impl<F: LogFold> SharedState<F> {
    fn set_outage(&self, outage: bool) {
        let loaded = self.read_state.get().loaded;
        self.read_state.replace(ReadState { loaded, outage });
    }

    /// Handles an event of the reader. Returns true if the stream was read up to its end for the
    /// first time.
    fn handle_event(&self, event: tail::TailEvent, failures: u32) -> bool {
        match event {
            tail::TailEvent::Records(records) => {
                self.set_outage(false);
                for found in records {
                    self.apply_record(&found);
                }
            }
            tail::TailEvent::AtEnd { .. } => {
                if !self.end_restore() {
                    self.set_outage(false);
                    return false;
                }
                let current = ReadState {
                    loaded: true,
                    outage: false,
                };
                return !self.read_state.replace(current).loaded;
            }
            tail::TailEvent::Gap { first } => self.restart(first),
            tail::TailEvent::Restored { .. } => {}
            tail::TailEvent::Outage { .. } => self.set_outage(failures >= MIN_OUTAGE_FAILURES),
        }
        false
    }

    /// Starts to read a restored log at `start`. The fold keeps what it knows.
    fn begin_restore(&self, start: u64, rewrite_delay: time::Duration) {
        let now = time::Instant::now();
        let mut state = self.lock();
        state.position = start;
        state.waiters.clear();
        state.recent.begin_restore();
        state.restore = Some(LogRestore {
            read_to_end: false,
            rewrite_at: now + rewrite_delay,
            settles_at: now + RESTORE_SETTLE_TIME,
        });
        drop(state);
        let outage = self.read_state.get().outage;
        self.read_state.replace(ReadState {
            loaded: false,
            outage,
        });
    }

    /// Records to append again now.
    fn take_lost(&self) -> Vec<bytes::Bytes> {
        let now = time::Instant::now();
        let mut state = self.lock();
        match &mut state.restore {
            Some(restore) if restore.read_to_end && restore.rewrite_at <= now => {
                restore.rewrite_at = now + REWRITE_RETRY_INTERVAL;
                state.recent.missing()
            }
            _ => Vec::new(),
        }
    }

    /// Whether no restore is in progress, at the end of the stream.
    fn end_restore(&self) -> bool {
        let now = time::Instant::now();
        let mut state = self.lock();
        let Some(restore) = &mut state.restore else {
            return true;
        };
        restore.read_to_end = true;
        if restore.settles_at > now || !state.recent.missing().is_empty() {
            return false;
        }
        state.restore = None;
        true
    }

    fn restart(&self, first: u64) {
        let mut state = self.lock();
        state.fold.restart(first);
        state.position = first;
    }

    fn apply_record(&self, found: &client::LogRecord) {
        let loaded = self.read_state.get().loaded;
        let place = record::RecordPlace {
            offset: found.offset,
            at_ms: found.at_ms,
        };
        let mut state = self.lock();
        state.position = found.offset + 1;
        if loaded {
            state.update_clock(found.at_ms, time::Instant::now());
        }
        if state.restore.is_some() && state.recent.take(&found.body) {
            return;
        }
        state.recent.add(found.at_ms, found.body.clone());
        let batch = match record::decode(&found.body) {
            Ok(batch) => batch,
            Err(error) => {
                metrics::counter!("pollenchute_ledger_malformed_records_total").increment(1);
                log::warn!(offset = found.offset, error:% = error; "malformed record skipped");
                return;
            }
        };
        for decided in state.fold.apply(place, batch) {
            let waiter = state.waiters.remove(&decided.id);
            // Until the restored log is complete, an entry that it has lost may come first.
            if let Some(waiter) = waiter.filter(|_| state.restore.is_none()) {
                let _ = waiter.send(decided.verdict);
            }
        }
    }
}

//! Runs a pure fold over one stream: reads, appends and hands each entry's verdict to its asker.

use std::{collections, sync};

use base::id;
use tokio::{sync as tokio_sync, task, time};

use crate::client::LogClient;
use crate::{appender, client, record, seek, signal, tail};

/// A pure function of the records of one stream.
///
/// It reads no clock and draws nothing at random: two folds that start at the same offset and are
/// given the same records are equal.
pub trait LogFold: Send + 'static {
    /// What the entries say.
    type Entry: serde::Serialize + serde::de::DeserializeOwned + Send;
    /// What the fold decides about one entry.
    type Verdict: Send + 'static;

    /// Takes one record. Returns a verdict for each entry that somebody may wait for. An entry
    /// that was met before changes nothing; its verdict says how things stand now.
    fn apply(
        &mut self,
        place: record::RecordPlace,
        batch: record::BatchRecord<Self::Entry>,
    ) -> Vec<EntryVerdict<Self::Verdict>>;

    /// Starts again without memory: records below `first` can no longer be read.
    fn restart(&mut self, first: u64);

    /// How far before the end of the stream the fold begins to read; `None`: at the first record
    /// kept.
    fn lookback_ms(&self) -> Option<u64> {
        None
    }
}

/// What a fold decided about one entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryVerdict<V> {
    /// The entry.
    pub id: id::RecordId,
    /// The decision.
    pub verdict: V,
}

/// Why an entry has no verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitFault {
    /// It is not on the log and never will be.
    NotAppended(appender::NotAppended),
    /// It may be on the log, or may yet come to be.
    Unsettled,
}

/// The log's clock as records showed it to this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogClock {
    at_ms: u64,
    seen: time::Instant,
}

impl LogClock {
    /// An estimate of the log's clock at `now`; late by the time that records take to arrive.
    #[must_use]
    pub fn now_ms(&self, now: time::Instant) -> u64 {
        let passed = now.saturating_duration_since(self.seen).as_millis();
        self.at_ms
            .saturating_add(u64::try_from(passed).unwrap_or(u64::MAX))
    }
}

/// The state of a stream as this process has read it.
#[derive(Debug)]
pub struct StreamState<F: LogFold> {
    /// The fold of all records read so far.
    pub fold: F,
    /// Offset of the next record that the fold takes.
    pub position: u64,
    /// The log's clock; absent until a record arrived after the stream had been read to its end.
    pub clock: Option<LogClock>,
    waiters: collections::BTreeMap<id::RecordId, tokio_sync::oneshot::Sender<F::Verdict>>,
}

impl<F: LogFold> StreamState<F> {
    /// Records read late, after an outage, show an old time; the estimate does not go back to it.
    fn note_time(&mut self, at_ms: u64, seen: time::Instant) {
        let known_ms = self.clock.map_or(0, |clock| clock.now_ms(seen));
        let at_ms = at_ms.max(known_ms);
        self.clock = Some(LogClock { at_ms, seen });
    }
}

/// How well the stream can be read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ReadState {
    /// It was read up to its end at least once.
    loaded: bool,
    /// The last reads failed.
    outage: bool,
}

struct SharedState<F: LogFold> {
    state: sync::Mutex<StreamState<F>>,
    reading: signal::StateSignal<ReadState>,
}

impl<F: LogFold> SharedState<F> {
    fn lock(&self) -> sync::MutexGuard<'_, StreamState<F>> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Reader, fold and group commit of one stream. Its tasks end with it.
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
    /// Starts to read `stream` from offset 0, or from the first record that the log still keeps.
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
        };
        let shared = sync::Arc::new(SharedState {
            state: sync::Mutex::new(state),
            reading: signal::StateSignal::new(ReadState::default()),
        });
        let reading = FollowTask {
            client: client.clone(),
            stream: stream.to_owned(),
            shared: sync::Arc::clone(&shared),
            mark: mark.clone(),
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

    /// Looks at the state of the stream.
    pub fn view<T>(&self, look: impl FnOnce(&StreamState<F>) -> T) -> T {
        look(&self.shared.lock())
    }

    /// Whether the stream was read up to its end at least once.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        self.shared.reading.get().loaded
    }

    /// Offset of the next record that the fold takes.
    #[must_use]
    pub fn position(&self) -> u64 {
        self.shared.lock().position
    }

    /// The position once the stream was read up to its end; `None` while the log cannot be read.
    ///
    /// An entry that is decided on an older position may be refused by processes that start to
    /// read later, so that what one process accepted would be lost with it.
    pub async fn fresh_position(&self, deadline: time::Instant) -> Option<u64> {
        let loaded = self.wait_loaded(deadline).await;
        loaded.then(|| self.position())
    }

    /// Whether the last reads failed.
    #[must_use]
    pub fn is_unreadable(&self) -> bool {
        self.shared.reading.get().outage
    }

    /// Waits until the stream was read up to its end; false when the log cannot be read, or
    /// `deadline` came first.
    pub async fn wait_loaded(&self, deadline: time::Instant) -> bool {
        let ended = |state: &ReadState| state.loaded || state.outage;
        let waiting = self.shared.reading.wait_for(ended);
        let waited = time::timeout_at(deadline, waiting).await;
        waited.is_ok_and(|state| state.loaded && !state.outage)
    }

    /// Waits until the fold holds everything that was on the log when this was called; false when
    /// the log cannot be read or `deadline` came first.
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
                Ok(Ok(_)) => time::sleep(CATCH_UP_PAUSE).await,
                _ => return false,
            }
        }
    }

    /// Appends an entry and waits for the fold's verdict about it. `seen` is the position of the
    /// state on which the entry was decided.
    ///
    /// The verdict comes from the reader, never from the append's answer, so a lost answer costs
    /// nothing but time.
    ///
    /// # Errors
    /// When there is no verdict by `deadline`, with what is known about the entry.
    pub async fn submit(
        &self,
        id: id::RecordId,
        entry: &F::Entry,
        seen: u64,
        deadline: time::Instant,
    ) -> Result<F::Verdict, SubmitFault> {
        // Without reads there is no verdict: refused now instead of when the time is up.
        if !self.wait_loaded(deadline).await {
            let cause = if self.is_unreadable() {
                appender::NotAppended::Down
            } else {
                appender::NotAppended::NotLoaded
            };
            return Err(SubmitFault::NotAppended(cause));
        }
        let encoded = record::EncodedEntry::new(id, seen, entry)
            .map_err(|_| SubmitFault::NotAppended(appender::NotAppended::Refused))?;
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
    ) -> Result<F::Verdict, SubmitFault> {
        let appended = self
            .appender
            .push(encoded, deadline)
            .map_err(SubmitFault::NotAppended)?;
        tokio::select! {
            biased;
            found = &mut verdict => return found.map_err(|_| SubmitFault::Unsettled),
            answer = appended => {
                if let Ok(appender::AppendAnswer::NotAppended(cause)) = answer {
                    return Err(SubmitFault::NotAppended(cause));
                }
            }
        }
        match time::timeout_at(deadline, verdict).await {
            Ok(Ok(found)) => Ok(found),
            _ => Err(SubmitFault::Unsettled),
        }
    }
}

/// Takes the waiter out again when its asker is done, or was cancelled.
struct WaiterGuard<'a, F: LogFold> {
    shared: &'a SharedState<F>,
    id: id::RecordId,
}

impl<F: LogFold> Drop for WaiterGuard<'_, F> {
    fn drop(&mut self) {
        self.shared.lock().waiters.remove(&self.id);
    }
}

/// Reads the stream and feeds the fold.
struct FollowTask<C, F: LogFold> {
    client: C,
    stream: String,
    shared: sync::Arc<SharedState<F>>,
    mark: appender::PositionMark,
}

impl<C: LogClient, F: LogFold> FollowTask<C, F> {
    async fn run(self) {
        let start = self.find_start().await;
        if start > 0 {
            self.shared.restart(start);
            self.mark.advance(start);
        }
        let reader = tail::TailReader::new(self.client.clone(), self.stream.clone(), start);
        let mut reader = reader.wait_ms(0);
        loop {
            let event = reader.next_event().await;
            if self.shared.take_event(event, reader.failures()) {
                reader = reader.wait_ms(LONG_POLL_MS);
            }
            self.mark.advance(reader.position());
        }
    }

    async fn find_start(&self) -> u64 {
        let Some(lookback_ms) = self.shared.lock().fold.lookback_ms() else {
            return 0;
        };
        loop {
            match seek::find_start(&self.client, &self.stream, lookback_ms).await {
                Ok(start) => return start,
                Err(_) => {
                    self.shared.note_outage(true);
                    time::sleep(SEEK_PAUSE).await;
                }
            }
        }
    }
}

/// Pause between two tries to find where to begin.
const SEEK_PAUSE: time::Duration = time::Duration::from_millis(200);

/// Pause between two looks whether the reader has caught up.
const CATCH_UP_PAUSE: time::Duration = time::Duration::from_millis(5);

/// How long one read waits at the log for the next record.
const LONG_POLL_MS: u64 = 2_000;

/// Failed reads in a row after which the log counts as not readable.
const OUTAGE_FAILURES: u32 = 2;

impl<F: LogFold> SharedState<F> {
    fn note_outage(&self, outage: bool) {
        let loaded = self.reading.get().loaded;
        self.reading.replace(ReadState { loaded, outage });
    }

    /// Takes what reading brought; true when the stream has just been read up to its end for the
    /// first time.
    fn take_event(&self, event: tail::TailEvent, failures: u32) -> bool {
        match event {
            tail::TailEvent::Records(records) => {
                self.note_outage(false);
                for found in records {
                    self.take(&found);
                }
            }
            tail::TailEvent::Quiet { .. } => {
                let current = ReadState {
                    loaded: true,
                    outage: false,
                };
                return !self.reading.replace(current).loaded;
            }
            tail::TailEvent::Gap { first } => self.restart(first),
            tail::TailEvent::Outage { .. } => self.note_outage(failures >= OUTAGE_FAILURES),
        }
        false
    }

    fn restart(&self, first: u64) {
        let mut state = self.lock();
        state.fold.restart(first);
        state.position = first;
    }

    fn take(&self, found: &client::LogRecord) {
        let loaded = self.reading.get().loaded;
        let place = record::RecordPlace {
            offset: found.offset,
            at_ms: found.at_ms,
        };
        let mut state = self.lock();
        state.position = found.offset + 1;
        if loaded {
            state.note_time(found.at_ms, time::Instant::now());
        }
        let batch = match record::decode(&found.body) {
            Ok(batch) => batch,
            Err(error) => {
                metrics::counter!("pollenchute_ledger_malformed_records_total").increment(1);
                log::warn!(offset = found.offset, error:% = error; "malformed record skipped");
                return;
            }
        };
        for decided in state.fold.apply(place, batch) {
            if let Some(waiter) = state.waiters.remove(&decided.id) {
                let _ = waiter.send(decided.verdict);
            }
        }
    }
}

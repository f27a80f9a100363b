//! Group commit: combines many small entries into one record, to stay within the log's cap on
//! appends.

use std::{mem, sync};

use base::id;
use snafu::Snafu;
use sync::atomic;
use tokio::{sync as tokio_sync, task, time};

use crate::client::LogClient;
use crate::{client, record};

/// Limits of a [`GroupAppender`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppendLimits {
    /// Maximum size of a record's entries, in bytes; also the maximum size of one entry.
    pub max_batch_bytes: usize,
    /// Maximum number of entries in a record.
    pub max_batch_entries: usize,
    /// Minimum time between the starts of two appends; its inverse is the maximum number of appends
    /// per second. An appender that was idle for this long appends an entry at once.
    pub min_interval: time::Duration,
    /// Maximum number of queued entries; further entries are refused at once.
    pub max_queue: usize,
    /// Time after which an entry that the log refused is no longer retried.
    pub retry_timeout: time::Duration,
    /// Interval between two lookups of an append whose answer was lost, and delay before a refused
    /// batch is appended again.
    pub retry_interval: time::Duration,
    /// Number of lookups without a result after which such entries are appended again.
    pub max_lookups: u32,
}

impl Default for AppendLimits {
    fn default() -> Self {
        Self {
            max_batch_bytes: 256 * 1024,
            max_batch_entries: 512,
            min_interval: time::Duration::from_millis(25),
            max_queue: 4_096,
            retry_timeout: time::Duration::from_millis(300),
            retry_interval: time::Duration::from_millis(50),
            max_lookups: 4,
        }
    }
}

/// The reason why an entry is certainly not on the log and never will be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NotAppended {
    /// Too many entries are queued.
    #[snafu(display("too many entries are queued for the log; nothing was appended, retry later"))]
    QueueFull,
    /// The log is over its cap on appends.
    #[snafu(display("the log is over its cap on appends; nothing was appended, retry later"))]
    OverCap,
    /// The log cannot be reached.
    #[snafu(display("the log cannot be reached; nothing was appended, retry later"))]
    Down,
    /// The log refuses the record regardless of its load.
    #[snafu(display("the log refused the record; nothing was appended, check the stream's name"))]
    Refused,
    /// The entry is larger than a record may be.
    #[snafu(display("the entry is larger than a record may be; nothing was appended, split it"))]
    TooLarge,
    /// The stream has not been read up to its end yet.
    #[snafu(display(
        "the stream is not read up to its end yet; nothing was appended, retry later"
    ))]
    NotLoaded,
    /// The deadline passed before the entry was sent.
    #[snafu(display("the deadline passed; nothing was appended, allow more time"))]
    TimedOut,
    /// The appender was stopped.
    #[snafu(display("this process is stopping; nothing was appended, use another entry VM"))]
    Stopped,
}

/// Outcome of appending an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The entry is on the log.
    Appended {
        /// Offset of its record.
        offset: u64,
    },
    /// The entry is not on the log and never will be.
    NotAppended(NotAppended),
    /// The entry may be on the log, or may still reach it.
    Unsettled,
}

/// Position up to which a stream was read, shared between its reader and its appender.
#[derive(Clone, Debug, Default)]
pub struct PositionMark(sync::Arc<atomic::AtomicU64>);

impl PositionMark {
    /// Returns the offset of the next record to read.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.0.load(atomic::Ordering::Acquire)
    }

    /// Moves the mark back or forward, after the log came back from an older copy.
    pub fn reset(&self, position: u64) {
        self.0.store(position, atomic::Ordering::Release);
    }

    /// Moves the mark forward; a lower position has no effect.
    pub fn advance(&self, position: u64) {
        self.0.fetch_max(position, atomic::Ordering::AcqRel);
    }
}

#[derive(Debug)]
struct QueuedEntry {
    entry: record::EncodedEntry,
    arrived: time::Instant,
    deadline: time::Instant,
    reply: tokio_sync::oneshot::Sender<AppendOutcome>,
}

impl QueuedEntry {
    /// Sends the outcome to the requester, which may have stopped waiting.
    fn complete(self, outcome: AppendOutcome) {
        let _ = self.reply.send(outcome);
    }
}

/// Handle to the group commit of one stream; clones share it.
#[derive(Clone, Debug)]
pub struct GroupAppender {
    sender: tokio_sync::mpsc::Sender<QueuedEntry>,
    max_entry_bytes: usize,
}

impl GroupAppender {
    /// Starts the group commit of `stream`. It ends when all handles are dropped or the task is
    /// aborted.
    pub fn start<C: LogClient>(
        client: C,
        stream: impl Into<String>,
        writer: impl Into<String>,
        mark: PositionMark,
        limits: AppendLimits,
    ) -> (Self, task::JoinHandle<()>) {
        let (sender, receiver) = tokio_sync::mpsc::channel(limits.max_queue);
        let max_entry_bytes = limits.max_batch_bytes;
        let commit_loop = CommitLoop {
            client,
            stream: stream.into(),
            writer: writer.into(),
            mark,
            known_end: 0,
            limits,
            receiver,
            batch: Vec::new(),
            overflow: None,
        };
        let handle = tokio::spawn(commit_loop.run());
        let appender = Self {
            sender,
            max_entry_bytes,
        };
        (appender, handle)
    }

    /// Queues an entry. The receiver gets the outcome, at the latest shortly after `deadline`.
    ///
    /// # Errors
    /// Returns an error if the entry is refused at once.
    pub fn push(
        &self,
        entry: record::EncodedEntry,
        deadline: time::Instant,
    ) -> Result<tokio_sync::oneshot::Receiver<AppendOutcome>, NotAppended> {
        if entry.size() > self.max_entry_bytes {
            return Err(NotAppended::TooLarge);
        }
        let (reply, receiver) = tokio_sync::oneshot::channel();
        let queued = QueuedEntry {
            entry,
            arrived: time::Instant::now(),
            deadline,
            reply,
        };
        match self.sender.try_send(queued) {
            Ok(()) => Ok(receiver),
            Err(tokio_sync::mpsc::error::TrySendError::Full(_)) => {
                metrics::counter!("pollenchute_ledger_entries_refused_total").increment(1);
                Err(NotAppended::QueueFull)
            }
            Err(tokio_sync::mpsc::error::TrySendError::Closed(_)) => Err(NotAppended::Stopped),
        }
    }

    /// Appends an entry and waits for the outcome.
    pub async fn append(
        &self,
        entry: record::EncodedEntry,
        deadline: time::Instant,
    ) -> AppendOutcome {
        match self.push(entry, deadline) {
            Err(cause) => AppendOutcome::NotAppended(cause),
            // The reply channel is dropped only if the loop's task was aborted, possibly during an
            // append.
            Ok(receiver) => receiver.await.unwrap_or(AppendOutcome::Unsettled),
        }
    }
}

/// Result of looking up a batch in the stream after the answer to its append was lost.
enum LookupResult {
    Found,
    NotFound,
    Unreadable,
}

struct CommitLoop<C> {
    client: C,
    stream: String,
    writer: String,
    mark: PositionMark,
    /// Offset after the last record that is known to have been appended by this loop.
    known_end: u64,
    limits: AppendLimits,
    receiver: tokio_sync::mpsc::Receiver<QueuedEntry>,
    /// Entries of the next append.
    batch: Vec<QueuedEntry>,
    /// An entry that did not fit into the batch.
    overflow: Option<QueuedEntry>,
}

impl<C: LogClient> CommitLoop<C> {
    async fn run(mut self) {
        while self.wait_for_entry().await {
            let started = time::Instant::now();
            self.fill();
            self.drop_expired();
            if self.batch.is_empty() {
                continue;
            }
            self.commit().await;
            time::sleep_until(started + self.limits.min_interval).await;
        }
    }

    async fn wait_for_entry(&mut self) -> bool {
        if !self.batch.is_empty() || self.overflow.is_some() {
            return true;
        }
        let Some(queued) = self.receiver.recv().await else {
            return false;
        };
        self.batch.push(queued);
        true
    }

    fn fill(&mut self) {
        let mut bytes: usize = self.batch.iter().map(|queued| queued.entry.size()).sum();
        while self.batch.len() < self.limits.max_batch_entries {
            let next = self
                .overflow
                .take()
                .or_else(|| self.receiver.try_recv().ok());
            let Some(queued) = next else {
                return;
            };
            bytes += queued.entry.size();
            if bytes > self.limits.max_batch_bytes && !self.batch.is_empty() {
                self.overflow = Some(queued);
                return;
            }
            self.batch.push(queued);
        }
    }

    fn drop_expired(&mut self) {
        let now = time::Instant::now();
        let expired = self.batch.extract_if(.., |queued| queued.deadline <= now);
        for queued in expired {
            queued.complete(AppendOutcome::NotAppended(NotAppended::TimedOut));
        }
    }

    fn encode(&self) -> bytes::Bytes {
        let entries = self.batch.iter().map(|queued| &queued.entry);
        record::encode(&self.writer, entries)
    }

    async fn commit(&mut self) {
        let from = self.mark.get().max(self.known_end);
        let body = self.encode();
        metrics::counter!("pollenchute_ledger_appends_total").increment(1);
        metrics::histogram!("pollenchute_ledger_batch_entries").record(self.batch.len() as f64);
        match self.client.append(&self.stream, body).await {
            Ok(offset) => self.complete_all(offset),
            Err(client::AppendError::Unknown { .. }) => self.resolve(from).await,
            Err(error) => self.handle_refusal(&error).await,
        }
    }

    /// Handles an append that the log certainly did not execute. Entries within their retry timeout
    /// stay in the batch for the next append.
    async fn handle_refusal(&mut self, error: &client::AppendError) {
        let cause = match error {
            client::AppendError::OverCap { .. } => NotAppended::OverCap,
            client::AppendError::Down { .. } => NotAppended::Down,
            _ => NotAppended::Refused,
        };
        metrics::counter!("pollenchute_ledger_append_failures_total").increment(1);
        let now = time::Instant::now();
        let retry_timeout = self.limits.retry_timeout;
        let given_up = self.batch.extract_if(.., |queued| {
            cause == NotAppended::Refused
                || queued.arrived + retry_timeout <= now
                || queued.deadline <= now
        });
        for queued in given_up {
            queued.complete(AppendOutcome::NotAppended(cause));
        }
        if !self.batch.is_empty() {
            time::sleep(self.limits.retry_interval).await;
        }
    }

    /// Determines the outcome of an append whose answer was lost.
    ///
    /// Appending again at once would put most entries on the log twice; giving up would leave
    /// claims unresolved that did take effect. The stream is therefore searched for the entries'
    /// ids first. A search without a result proves nothing, because the append may still be in
    /// flight. After several such searches the entries are appended again *with the same ids*;
    /// folds ignore ids that they have already processed.
    async fn resolve(&mut self, from: u64) {
        metrics::counter!("pollenchute_ledger_lost_answers_total").increment(1);
        let mut failed_lookups = 0;
        loop {
            self.expire_unsettled();
            if self.batch.is_empty() {
                return;
            }
            match self.find_batch(from).await {
                LookupResult::Found => continue,
                LookupResult::NotFound => failed_lookups += 1,
                LookupResult::Unreadable => {}
            }
            if failed_lookups >= self.limits.max_lookups {
                failed_lookups = 0;
                self.resend().await;
                continue;
            }
            time::sleep(self.limits.retry_interval).await;
        }
    }

    fn expire_unsettled(&mut self) {
        let now = time::Instant::now();
        for queued in self.batch.extract_if(.., |queued| queued.deadline <= now) {
            queued.complete(AppendOutcome::Unsettled);
        }
    }

    async fn resend(&mut self) {
        metrics::counter!("pollenchute_ledger_repeated_appends_total").increment(1);
        let body = self.encode();
        if let Ok(offset) = self.client.append(&self.stream, body).await {
            self.complete_all(offset);
        }
    }

    /// Reads from `from` to the end of the stream and completes the entries that are found there.
    async fn find_batch(&mut self, from: u64) -> LookupResult {
        let mut position = from;
        let waiting = self.batch.len();
        loop {
            let query = client::ReadQuery {
                stream: self.stream.clone(),
                from: position,
                max: 256,
                wait_ms: 0,
            };
            let page = match self.client.read(&query).await {
                Ok(page) => page,
                Err(client::ReadError::Dropped { first, .. }) if first > position => {
                    position = first;
                    continue;
                }
                Err(_) => return LookupResult::Unreadable,
            };
            let Some(last) = page.records.last() else {
                break;
            };
            position = last.offset + 1;
            for found in &page.records {
                self.complete_found(found);
            }
        }
        if self.batch.len() < waiting {
            LookupResult::Found
        } else {
            LookupResult::NotFound
        }
    }

    fn complete_found(&mut self, found: &client::LogRecord) {
        let ids: Vec<id::RecordId> = record::entry_ids(&found.body);
        let offset = found.offset;
        let appended = self
            .batch
            .extract_if(.., |queued| ids.contains(&queued.entry.id));
        for queued in appended {
            queued.complete(AppendOutcome::Appended { offset });
        }
    }

    fn complete_all(&mut self, offset: u64) {
        self.known_end = self.known_end.max(offset + 1);
        for queued in mem::take(&mut self.batch) {
            queued.complete(AppendOutcome::Appended { offset });
        }
    }
}

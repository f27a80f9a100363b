//! Group commit: many small entries become one record, within the log's cap on appends.

use std::{mem, sync};

use base::id;
use snafu::Snafu;
use sync::atomic;
use tokio::{sync as tokio_sync, task, time};

use crate::client::LogClient;
use crate::{client, record};

/// Bounds of a [`GroupAppender`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppendLimits {
    /// Bytes of a record's entries at the most; one entry may not be larger.
    pub max_batch_bytes: usize,
    /// Entries of a record at the most.
    pub max_batch_entries: usize,
    /// Time between the starts of two appends: its inverse is the most appends a second. An entry
    /// that finds the appender idle for this long leaves at once.
    pub min_gap: time::Duration,
    /// Entries that wait at the most; more are refused at once.
    pub max_queue: usize,
    /// An entry that the log has refused is answered after this instead of tried again.
    pub patience: time::Duration,
    /// Pause between two looks for an append whose answer was lost.
    pub settle_pause: time::Duration,
    /// Looks without a find after which such entries are appended again.
    pub settle_reads: u32,
}

impl Default for AppendLimits {
    fn default() -> Self {
        Self {
            max_batch_bytes: 256 * 1024,
            max_batch_entries: 512,
            min_gap: time::Duration::from_millis(25),
            max_queue: 4_096,
            patience: time::Duration::from_millis(300),
            settle_pause: time::Duration::from_millis(50),
            settle_reads: 4,
        }
    }
}

/// Why an entry is surely not on the log, and never will be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NotAppended {
    /// Too many entries wait.
    #[snafu(display("too many entries wait for the log; nothing was appended, ask again later"))]
    QueueFull,
    /// The log is over its cap on appends.
    #[snafu(display("the log is over its cap on appends; nothing was appended, ask again later"))]
    OverCap,
    /// The log cannot be reached.
    #[snafu(display("the log cannot be reached; nothing was appended, ask again later"))]
    Down,
    /// The log refuses such a record.
    #[snafu(display("the log refused the record; nothing was appended, check the stream's name"))]
    Refused,
    /// The entry is larger than a record may be.
    #[snafu(display("the entry is larger than a record may be; nothing was appended, split it"))]
    TooLarge,
    /// The stream has not been read up to its end yet.
    #[snafu(display("the stream is not read up to its end yet; nothing was appended, ask again"))]
    NotLoaded,
    /// The time allowed ran out before the entry was sent.
    #[snafu(display("the time allowed ran out; nothing was appended, allow more time"))]
    TimedOut,
    /// The appender was stopped.
    #[snafu(display("this process is stopping; nothing was appended, ask another entry VM"))]
    Stopped,
}

/// What became of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendAnswer {
    /// It is on the log.
    Appended {
        /// Offset of its record.
        offset: u64,
    },
    /// It is not on the log and never will be.
    NotAppended(NotAppended),
    /// It may be on the log, or may yet come to be.
    Unsettled,
}

/// How far a stream was read, shared between its reader and its appender.
#[derive(Clone, Debug, Default)]
pub struct PositionMark(sync::Arc<atomic::AtomicU64>);

impl PositionMark {
    /// Offset of the next record to read.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.0.load(atomic::Ordering::Acquire)
    }

    /// Moves the mark forward; it never moves back.
    pub fn advance(&self, position: u64) {
        self.0.fetch_max(position, atomic::Ordering::AcqRel);
    }
}

#[derive(Debug)]
struct QueuedEntry {
    entry: record::EncodedEntry,
    arrived: time::Instant,
    deadline: time::Instant,
    reply: tokio_sync::oneshot::Sender<AppendAnswer>,
}

impl QueuedEntry {
    /// Sends the answer; the asker may have gone, which is its own affair.
    fn answer(self, answer: AppendAnswer) {
        let _ = self.reply.send(answer);
    }
}

/// The entrance to one stream's group commit; clones share it.
#[derive(Clone, Debug)]
pub struct GroupAppender {
    sender: tokio_sync::mpsc::Sender<QueuedEntry>,
    max_entry_bytes: usize,
}

impl GroupAppender {
    /// Starts the group commit of `stream`. It ends when every handle is dropped, or when the
    /// task is aborted.
    pub fn start<C: LogClient>(
        client: C,
        stream: impl Into<String>,
        writer: impl Into<String>,
        mark: PositionMark,
        limits: AppendLimits,
    ) -> (Self, task::JoinHandle<()>) {
        let (sender, receiver) = tokio_sync::mpsc::channel(limits.max_queue);
        let max_entry_bytes = limits.max_batch_bytes;
        let loop_state = CommitLoop {
            client,
            stream: stream.into(),
            writer: writer.into(),
            mark,
            low: 0,
            limits,
            receiver,
            batch: Vec::new(),
            overflow: None,
        };
        let handle = tokio::spawn(loop_state.run());
        let appender = Self {
            sender,
            max_entry_bytes,
        };
        (appender, handle)
    }

    /// Puts an entry in the queue; the receiver gets its answer, at the latest soon after
    /// `deadline`.
    ///
    /// # Errors
    /// When the entry is refused at once.
    pub fn push(
        &self,
        entry: record::EncodedEntry,
        deadline: time::Instant,
    ) -> Result<tokio_sync::oneshot::Receiver<AppendAnswer>, NotAppended> {
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

    /// Appends an entry and waits for its answer.
    pub async fn append(
        &self,
        entry: record::EncodedEntry,
        deadline: time::Instant,
    ) -> AppendAnswer {
        match self.push(entry, deadline) {
            Err(cause) => AppendAnswer::NotAppended(cause),
            // The loop drops a reply only when its task was aborted, possibly in an append.
            Ok(receiver) => receiver.await.unwrap_or(AppendAnswer::Unsettled),
        }
    }
}

/// Whether a look at the stream found what was lost.
enum LookResult {
    Found,
    Absent,
    Unreadable,
}

struct CommitLoop<C> {
    client: C,
    stream: String,
    writer: String,
    mark: PositionMark,
    /// Offset after the last record that this loop knows it appended.
    low: u64,
    limits: AppendLimits,
    receiver: tokio_sync::mpsc::Receiver<QueuedEntry>,
    /// What the next append carries.
    batch: Vec<QueuedEntry>,
    /// An entry that did not fit into the batch any more.
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
            time::sleep_until(started + self.limits.min_gap).await;
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
            queued.answer(AppendAnswer::NotAppended(NotAppended::TimedOut));
        }
    }

    fn encode(&self) -> bytes::Bytes {
        let entries = self.batch.iter().map(|queued| &queued.entry);
        record::encode(&self.writer, entries)
    }

    async fn commit(&mut self) {
        let from = self.mark.get().max(self.low);
        let body = self.encode();
        metrics::counter!("pollenchute_ledger_appends_total").increment(1);
        metrics::histogram!("pollenchute_ledger_batch_entries").record(self.batch.len() as f64);
        match self.client.append(&self.stream, body).await {
            Ok(offset) => self.answer_all(offset),
            Err(client::AppendError::Unknown { .. }) => self.settle(from).await,
            Err(error) => self.take_refusal(&error).await,
        }
    }

    /// The log surely holds nothing of this batch: entries with patience left stay for the next
    /// append.
    async fn take_refusal(&mut self, error: &client::AppendError) {
        let cause = match error {
            client::AppendError::OverCap { .. } => NotAppended::OverCap,
            client::AppendError::Down { .. } => NotAppended::Down,
            _ => NotAppended::Refused,
        };
        metrics::counter!("pollenchute_ledger_append_failures_total").increment(1);
        let now = time::Instant::now();
        let patience = self.limits.patience;
        let given_up = self.batch.extract_if(.., |queued| {
            cause == NotAppended::Refused
                || queued.arrived + patience <= now
                || queued.deadline <= now
        });
        for queued in given_up {
            queued.answer(AppendAnswer::NotAppended(cause));
        }
        if !self.batch.is_empty() {
            time::sleep(self.limits.settle_pause).await;
        }
    }

    /// Settles an append whose answer was lost.
    ///
    /// Appending again at once would put most entries on the log twice; not looking would leave
    /// claims open that were taken. So the stream is read for the entries' ids first. Absence
    /// proves nothing, for the append may still be under way; so after some looks the entries are
    /// appended again *with the same ids*, and every fold ignores an id that it has met.
    async fn settle(&mut self, from: u64) {
        metrics::counter!("pollenchute_ledger_lost_answers_total").increment(1);
        let mut absent_looks = 0;
        loop {
            self.give_up_unsettled();
            if self.batch.is_empty() {
                return;
            }
            match self.look(from).await {
                LookResult::Found => continue,
                LookResult::Absent => absent_looks += 1,
                LookResult::Unreadable => {}
            }
            if absent_looks >= self.limits.settle_reads {
                absent_looks = 0;
                self.append_again().await;
                continue;
            }
            time::sleep(self.limits.settle_pause).await;
        }
    }

    fn give_up_unsettled(&mut self) {
        let now = time::Instant::now();
        for queued in self.batch.extract_if(.., |queued| queued.deadline <= now) {
            queued.answer(AppendAnswer::Unsettled);
        }
    }

    async fn append_again(&mut self) {
        metrics::counter!("pollenchute_ledger_repeated_appends_total").increment(1);
        let body = self.encode();
        if let Ok(offset) = self.client.append(&self.stream, body).await {
            self.answer_all(offset);
        }
    }

    /// Reads from `from` to the end of the stream and answers the entries that are there.
    async fn look(&mut self, from: u64) -> LookResult {
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
                Err(_) => return LookResult::Unreadable,
            };
            let Some(last) = page.records.last() else {
                break;
            };
            position = last.offset + 1;
            for found in &page.records {
                self.answer_found(found);
            }
        }
        if self.batch.len() < waiting {
            LookResult::Found
        } else {
            LookResult::Absent
        }
    }

    fn answer_found(&mut self, found: &client::LogRecord) {
        let ids: Vec<id::RecordId> = record::entry_ids(&found.body);
        let offset = found.offset;
        let landed = self
            .batch
            .extract_if(.., |queued| ids.contains(&queued.entry.id));
        for queued in landed {
            queued.answer(AppendAnswer::Appended { offset });
        }
    }

    fn answer_all(&mut self, offset: u64) {
        self.low = self.low.max(offset + 1);
        for queued in mem::take(&mut self.batch) {
            queued.answer(AppendAnswer::Appended { offset });
        }
    }
}

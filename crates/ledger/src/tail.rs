//! Follows one stream in order through outages and retention.

use tokio::time;

use crate::client;
use crate::client::LogClient;

/// Pause after the first failed read; it doubles with each further one.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(50);
/// Longest pause between two tries of a read.
const LONGEST_PAUSE: time::Duration = time::Duration::from_millis(1_000);
/// Records asked for in one read.
const PAGE_RECORDS: u32 = 256;

/// What following a stream brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TailEvent {
    /// Records in order, the first right after the last one before.
    Records(Vec<client::LogRecord>),
    /// There was nothing to read up to `next` when the log answered.
    Quiet {
        /// Offset that the next record will have at the least.
        next: u64,
    },
    /// Retention dropped records before they were read: whoever folds them starts again from a
    /// checkpoint at or after `first`. Reading goes on at `first`.
    Gap {
        /// Lowest offset that the log still keeps.
        first: u64,
    },
    /// The log cannot be read; the next call tries again after a growing pause.
    Outage {
        /// What the connection reported.
        cause: String,
    },
}

/// A reader of one stream; its position only grows.
#[derive(Clone, Debug)]
pub struct TailReader<C> {
    client: C,
    stream: String,
    /// Offset of the next record that is handed out.
    position: u64,
    wait_ms: u64,
    /// Failed reads since the last good one.
    failures: u32,
}

impl<C: LogClient> TailReader<C> {
    /// A reader that hands out the record at `from` first.
    pub fn new(client: C, stream: impl Into<String>, from: u64) -> Self {
        Self {
            client,
            stream: stream.into(),
            position: from,
            wait_ms: 10_000,
            failures: 0,
        }
    }

    /// The same reader with another time that one read waits at the log for a record.
    #[must_use]
    pub const fn wait_ms(mut self, wait_ms: u64) -> Self {
        self.wait_ms = wait_ms;
        self
    }

    /// Offset of the next record that is handed out.
    #[must_use]
    pub const fn position(&self) -> u64 {
        self.position
    }

    /// Failed reads since the last good one.
    #[must_use]
    pub const fn failures(&self) -> u32 {
        self.failures
    }

    /// Waits for the next event. Dropping the future loses nothing.
    pub async fn next_event(&mut self) -> TailEvent {
        if self.failures > 0 {
            time::sleep(self.pause()).await;
        }
        // The first read after a failure does not wait for a record: its answer tells at once that
        // the log is back, which others wait for.
        let wait_ms = if self.failures == 0 { self.wait_ms } else { 0 };
        let query = client::ReadQuery {
            stream: self.stream.clone(),
            from: self.position,
            max: PAGE_RECORDS,
            wait_ms,
        };
        match self.client.read(&query).await {
            Ok(page) => {
                self.failures = 0;
                self.take_page(page)
            }
            Err(client::ReadError::Dropped { first, .. }) => {
                self.failures = 0;
                self.skip_to(first)
            }
            Err(client::ReadError::Fault { cause, .. }) => self.note_outage(cause),
        }
    }

    /// Hands out only what follows without a hole. A page that starts later, or goes backwards,
    /// would let a fold miss a record unnoticed, which shows as two processes that decide
    /// differently.
    fn take_page(&mut self, page: client::ReadPage) -> TailEvent {
        if page.first > self.position {
            return self.skip_to(page.first);
        }
        let mut records = Vec::with_capacity(page.records.len());
        for record in page.records {
            if record.offset < self.position {
                continue;
            }
            if record.offset > self.position {
                break;
            }
            self.position += 1;
            records.push(record);
        }
        if records.is_empty() {
            return TailEvent::Quiet {
                next: self.position,
            };
        }
        TailEvent::Records(records)
    }

    /// A `410` without progress would otherwise be asked for without a pause, for ever.
    fn skip_to(&mut self, first: u64) -> TailEvent {
        if first <= self.position {
            let cause = format!("the log reports {first} as dropped, which it is not");
            return self.note_outage(cause);
        }
        metrics::counter!("pollenchute_ledger_gaps_total").increment(1);
        log::warn!(stream = self.stream.as_str(), position = self.position, first = first; "records were dropped before they were read");
        self.position = first;
        TailEvent::Gap { first }
    }

    fn note_outage(&mut self, cause: String) -> TailEvent {
        if self.failures == 0 {
            log::warn!(stream = self.stream.as_str(), cause = cause.as_str(); "log cannot be read");
        }
        self.failures = self.failures.saturating_add(1);
        metrics::counter!("pollenchute_ledger_read_failures_total").increment(1);
        TailEvent::Outage { cause }
    }

    fn pause(&self) -> time::Duration {
        let doublings = self.failures.saturating_sub(1).min(8);
        (FIRST_PAUSE * 2_u32.pow(doublings)).min(LONGEST_PAUSE)
    }
}

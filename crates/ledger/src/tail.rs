//! Reads one stream in order, across outages and records dropped by retention.

use tokio::time;

use crate::client;
use crate::client::LogClient;

/// Delay after the first failed read; it doubles with each further failure.
const MIN_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);
/// Maximum delay between two attempts of a read.
const MAX_RETRY_DELAY: time::Duration = time::Duration::from_millis(1_000);
/// Maximum number of records in one read.
const MAX_PAGE_RECORDS: u32 = 256;

/// An event of reading a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TailEvent {
    /// Records in order; the first one follows directly after the last record returned before.
    Records(Vec<client::LogRecord>),
    /// The reader is at the end of the stream as of the log's answer.
    AtEnd {
        /// Minimum offset of the next record.
        next: u64,
    },
    /// Retention dropped records before they were read. Folds must restart from a checkpoint at or
    /// after `first`; reading continues at `first`.
    Gap {
        /// Lowest offset that the log still retains.
        first: u64,
    },
    /// The log came back from an older copy of itself: records may be lost, and offsets are given
    /// out again. Reading continues after [`TailReader::restart`].
    Restored {
        /// The later era of the log.
        era: u64,
    },
    /// The log cannot be read; the next call retries after an increasing delay.
    Outage {
        /// Cause that the connection reported.
        cause: String,
    },
}

/// A reader of one stream; its position decreases only at a restart.
#[derive(Clone, Debug)]
pub struct TailReader<C> {
    client: C,
    stream: String,
    /// Offset of the next record to return.
    position: u64,
    /// Era of the log to which the position belongs; `None` before the first answer.
    era: Option<u64>,
    wait_ms: u64,
    /// Number of failed reads since the last successful one.
    failures: u32,
}

impl<C: LogClient> TailReader<C> {
    /// Creates a reader that starts at the record `from`.
    pub fn new(client: C, stream: impl Into<String>, from: u64) -> Self {
        Self {
            client,
            stream: stream.into(),
            position: from,
            era: None,
            wait_ms: 10_000,
            failures: 0,
        }
    }

    /// Sets the time that one read waits at the log for a record.
    #[must_use]
    pub const fn wait_ms(mut self, wait_ms: u64) -> Self {
        self.wait_ms = wait_ms;
        self
    }

    /// Returns the offset of the next record to return.
    #[must_use]
    pub const fn position(&self) -> u64 {
        self.position
    }

    /// Continues at `position`, after the log came back from an older copy.
    pub const fn restart(&mut self, position: u64) {
        self.position = position;
    }

    /// Whether an answer comes from a later era than the answers before.
    fn is_restored(&mut self, era: u64) -> bool {
        let known = self.era.replace(era);
        if known.is_none_or(|known| known == era) {
            return false;
        }
        log::warn!(stream = self.stream.as_str(), era = era, position = self.position; "the log came back from an older copy");
        metrics::counter!("pollenchute_ledger_restores_total").increment(1);
        true
    }

    /// Returns the number of failed reads since the last successful one.
    #[must_use]
    pub const fn failures(&self) -> u32 {
        self.failures
    }

    /// Waits for the next event. Dropping the future loses no records.
    pub async fn next_event(&mut self) -> TailEvent {
        if self.failures > 0 {
            time::sleep(self.retry_delay()).await;
        }
        // The first read after a failure does not wait for a record: its answer shows at once that
        // the log is available again, which other tasks wait for.
        let wait_ms = if self.failures == 0 { self.wait_ms } else { 0 };
        let query = client::ReadQuery {
            stream: self.stream.clone(),
            from: self.position,
            max: MAX_PAGE_RECORDS,
            wait_ms,
        };
        match self.client.read(&query).await {
            Ok(client::ReadPage { era, .. }) | Err(client::ReadError::Dropped { era, .. })
                if self.is_restored(era) =>
            {
                self.failures = 0;
                TailEvent::Restored { era }
            }
            Ok(page) => {
                self.failures = 0;
                self.accept_page(page)
            }
            Err(client::ReadError::Dropped { first, .. }) => {
                self.failures = 0;
                self.skip_to(first)
            }
            Err(client::ReadError::Failed { cause, .. }) => self.record_outage(cause),
        }
    }

    /// Returns only records that follow without a gap. A page that starts later or goes backwards
    /// could make a fold miss a record unnoticed, so that two processes would decide differently.
    fn accept_page(&mut self, page: client::ReadPage) -> TailEvent {
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
            return TailEvent::AtEnd {
                next: self.position,
            };
        }
        TailEvent::Records(records)
    }

    /// Continues at the first retained record. A `410` answer that does not move the position
    /// forward counts as a failed read; the reader would otherwise repeat that read forever without
    /// a delay.
    fn skip_to(&mut self, first: u64) -> TailEvent {
        if first <= self.position {
            let cause =
                format!("the log reports records below {first} as dropped, but none are missing");
            return self.record_outage(cause);
        }
        metrics::counter!("pollenchute_ledger_gaps_total").increment(1);
        log::warn!(stream = self.stream.as_str(), position = self.position, first = first; "records were dropped before they were read");
        self.position = first;
        TailEvent::Gap { first }
    }

    fn record_outage(&mut self, cause: String) -> TailEvent {
        if self.failures == 0 {
            log::warn!(stream = self.stream.as_str(), cause = cause.as_str(); "log cannot be read");
        }
        self.failures = self.failures.saturating_add(1);
        metrics::counter!("pollenchute_ledger_read_failures_total").increment(1);
        TailEvent::Outage { cause }
    }

    fn retry_delay(&self) -> time::Duration {
        let doublings = self.failures.saturating_sub(1).min(8);
        (MIN_RETRY_DELAY * 2_u32.pow(doublings)).min(MAX_RETRY_DELAY)
    }
}

//! Stand-in for the platform's append-only log with offsets.

use std::{collections, time};

use crate::bucket;

pub mod front;
pub mod handle;

pub use self::{
    front::serve,
    handle::{LogFault, LogHandle},
};

/// Capacity and behaviour of the log.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogProfile {
    /// Appends per second over all streams.
    pub appends_per_second: f64,
    /// Burst of appends after a pause.
    pub burst: f64,
    /// Records older than this are dropped.
    pub retention_ms: u64,
    /// Maximum size of a record, in bytes.
    pub max_record_bytes: usize,
    /// Maximum number of records in one answer.
    pub max_page: usize,
    /// Duration of an append.
    pub append_ms: u64,
    /// Duration of a read, not counting the wait for records.
    pub read_ms: u64,
    /// The log's own clock at its start, in Unix milliseconds; absent: this machine's clock.
    pub clock_ms: Option<u64>,
}

impl Default for LogProfile {
    fn default() -> Self {
        Self {
            appends_per_second: 400.0,
            burst: 40.0,
            retention_ms: 3_600_000,
            max_record_bytes: 1 << 20,
            max_page: 1_000,
            append_ms: 3,
            read_ms: 1,
            clock_ms: None,
        }
    }
}

/// Error of a log call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(snafu::Snafu)]
pub enum LogError {
    /// The append rate limit is exceeded; the call had no effect.
    #[snafu(display("the cap on appends is reached; append again in {retry_after_ms} ms"))]
    OverCap {
        /// Time after which to retry.
        retry_after_ms: u64,
    },
    /// The record is too large; the call had no effect.
    #[snafu(display("the record has {bytes} bytes and {limit} are taken; split it"))]
    TooLarge {
        /// Size of the record.
        bytes: usize,
        /// Maximum size.
        limit: usize,
    },
    /// Retention has dropped the requested offset.
    #[snafu(display("records below offset {first} are dropped; start there, from a checkpoint"))]
    Dropped {
        /// First retained offset.
        first: u64,
    },
    /// The log is down; the call had no effect, but a caller can't know that.
    #[snafu(display("the log is down; try again later, and read before appending again"))]
    Outage,
    /// The answer was lost; the caller can't know whether the call took effect.
    #[snafu(display("the answer was lost; read back whether the append took effect"))]
    AnswerLost,
}

/// One record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    /// Position in the stream: 0, 1, 2 and so on.
    pub offset: u64,
    /// Time of the append on the log's own clock.
    pub at_ms: u64,
    /// Content of the record.
    pub body: bytes::Bytes,
}

/// Answer to a read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadPage {
    /// First retained offset.
    pub first: u64,
    /// Offset of the next read.
    pub next: u64,
    /// Records from the requested offset, without gaps.
    pub records: Vec<LogRecord>,
}

/// Result of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppendOutcome {
    /// Offset of the stored record.
    pub offset: u64,
    /// Whether the answer to the writer is lost.
    pub answer_lost: bool,
}

/// One stream. Offsets `first..first + records.len()` are retained, without gaps.
#[derive(Clone, Debug, Default)]
struct LogStream {
    first: u64,
    records: collections::VecDeque<LogRecord>,
}

impl LogStream {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn drop_before(&mut self, at_ms: u64) {
        while self
            .records
            .pop_front_if(|record| record.at_ms < at_ms)
            .is_some()
        {
            self.first += 1;
        }
    }
}

/// Log state machine without I/O or clock: `now` is the time since any fixed moment and is
/// monotonic.
#[derive(Clone, Debug)]
pub struct LogCore {
    /// Rises by one with each restore from an older copy.
    era: u64,
    profile: LogProfile,
    /// Log clock at `now` zero.
    clock_ms: u64,
    streams: collections::BTreeMap<String, LogStream>,
    /// Rate limit of appends.
    bucket: bucket::TokenBucket,
    outage: bool,
    lose_answers: u32,
    clock_shift_ms: i64,
}

impl LogCore {
    /// Creates an empty log whose clock shows `clock_ms` at `now` zero.
    #[must_use]
    pub fn new(profile: LogProfile, clock_ms: u64) -> Self {
        Self {
            era: 1,
            clock_ms,
            streams: collections::BTreeMap::new(),
            bucket: bucket::TokenBucket::new(profile.appends_per_second, profile.burst.max(1.0)),
            outage: false,
            lose_answers: 0,
            clock_shift_ms: 0,
            profile,
        }
    }

    /// Appends one record.
    ///
    /// # Errors
    ///
    /// Returns the reason if the append had no effect.
    pub fn append(
        &mut self,
        now: time::Duration,
        stream: &str,
        body: bytes::Bytes,
    ) -> Result<AppendOutcome, LogError> {
        if self.outage {
            return Err(LogError::Outage);
        }
        if body.len() > self.profile.max_record_bytes {
            return Err(LogError::TooLarge {
                bytes: body.len(),
                limit: self.profile.max_record_bytes,
            });
        }
        let taken = self.bucket.take(now, 1.0);
        taken.map_err(|wait| LogError::OverCap {
            retry_after_ms: wait.as_millis() as u64 + 1,
        })?;
        self.expire(now);
        let at_ms = self.at_ms(now);
        let stream = self.streams.entry(String::from(stream)).or_default();
        let offset = stream.end();
        stream.records.push_back(LogRecord {
            offset,
            at_ms,
            body,
        });
        let answer_lost = self.lose_answers > 0;
        self.lose_answers = self.lose_answers.saturating_sub(1);
        Ok(AppendOutcome {
            offset,
            answer_lost,
        })
    }

    /// Returns at most `max` records of a stream from offset `from`; empty if there are none yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the log is down or has dropped the requested offset.
    pub fn read(
        &mut self,
        now: time::Duration,
        stream: &str,
        from: u64,
        max: usize,
    ) -> Result<ReadPage, LogError> {
        if self.outage {
            return Err(LogError::Outage);
        }
        self.expire(now);
        let Some(stream) = self.streams.get(stream) else {
            return Ok(ReadPage {
                next: from,
                ..ReadPage::default()
            });
        };
        let first = stream.first;
        if from < first {
            return Err(LogError::Dropped { first });
        }
        let skip = (from - first).min(stream.records.len() as u64) as usize;
        let records = stream.records.range(skip..);
        let records: Vec<LogRecord> = records
            .take(max.min(self.profile.max_page))
            .cloned()
            .collect();
        let next = from + records.len() as u64;
        Ok(ReadPage {
            first,
            next,
            records,
        })
    }

    /// Starts or ends an outage.
    pub fn set_outage(&mut self, outage: bool) {
        self.outage = outage;
    }

    /// Drops the answers of the next `count` appends, which still take effect.
    pub fn lose_answers(&mut self, count: u32) {
        self.lose_answers = count;
    }

    /// Replaces the log by a copy of this age: records appended since are lost, and their offsets
    /// are given out again.
    pub fn restore(&mut self, now: time::Duration, age: time::Duration) {
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let copied_at_ms = self.at_ms(now).saturating_sub(age_ms);
        for stream in self.streams.values_mut() {
            while stream
                .records
                .pop_back_if(|record| record.at_ms > copied_at_ms)
                .is_some()
            {}
        }
        self.era += 1;
    }

    /// Returns the era of the log.
    #[must_use]
    pub const fn era(&self) -> u64 {
        self.era
    }

    /// Shifts the log's own clock, which need not be accurate.
    pub fn shift_clock(&mut self, shift_ms: i64) {
        self.clock_shift_ms = shift_ms;
    }

    /// Drops all records of `stream` below offset `first`, as retention would.
    pub fn drop_below(&mut self, stream: &str, first: u64) {
        if let Some(stream) = self.streams.get_mut(stream) {
            while stream.first < first && stream.records.pop_front().is_some() {
                stream.first += 1;
            }
        }
    }

    /// Returns all retained records of a stream, for checkers.
    pub fn records(&self, stream: &str) -> impl Iterator<Item = &LogRecord> {
        self.streams
            .get(stream)
            .into_iter()
            .flat_map(|stream| &stream.records)
    }

    /// Returns the time of the log's own clock.
    #[must_use]
    pub fn at_ms(&self, now: time::Duration) -> u64 {
        let clock_ms = self.clock_ms + now.as_millis() as u64;
        clock_ms.saturating_add_signed(self.clock_shift_ms)
    }

    /// Returns the profile.
    #[must_use]
    pub const fn profile(&self) -> &LogProfile {
        &self.profile
    }

    fn expire(&mut self, now: time::Duration) {
        let before_ms = self.at_ms(now).saturating_sub(self.profile.retention_ms);
        for stream in self.streams.values_mut() {
            stream.drop_before(before_ms);
        }
    }
}

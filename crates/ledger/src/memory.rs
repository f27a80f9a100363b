//! An in-memory log with fault injection, for tests and benches.

use std::{collections, sync};

use rand::{Rng as _, RngExt as _, SeedableRng as _};
use tokio::{sync as tokio_sync, time};

use crate::client;
use crate::client::LogClient;

/// Injected faults, latency and limits of a [`MemoryLog`]; they may be changed at any time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogFaults {
    /// All appends and reads fail.
    pub down: bool,
    /// Probability that an append takes effect but its answer is lost.
    pub lose_answer: f64,
    /// Probability that an append gets no answer and takes effect up to `late_ms` later.
    pub late: f64,
    /// Maximum delay of a late append, in milliseconds.
    pub late_ms: u64,
    /// Probability that an append gets no answer and never takes effect.
    pub lose_request: f64,
    /// Probability that a read fails.
    pub fail_read: f64,
    /// Latency from sending a request to its effect, and again from its effect to its answer.
    pub one_way: time::Duration,
    /// Cap on appends per second over all streams; `None` for no cap.
    pub appends_per_second: Option<u32>,
    /// Age after which records are dropped, in milliseconds; `None` to keep all records.
    pub retention_ms: Option<u64>,
}

/// Counters of a [`MemoryLog`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogCounts {
    /// Number of appends that took effect.
    pub appended: u64,
    /// Number of appends refused because of the cap.
    pub over_cap: u64,
    /// Number of reads answered with a page.
    pub reads: u64,
    /// Total size of the appended records, in bytes.
    pub bytes: u64,
}

/// An in-memory log; clones share its state.
#[derive(Clone, Debug)]
pub struct MemoryLog {
    shared: sync::Arc<SharedLog>,
}

#[derive(Debug)]
struct SharedLog {
    state: sync::Mutex<LogState>,
    appended: tokio_sync::Notify,
    started_at: time::Instant,
    /// Start value of the log's clock.
    epoch_ms: u64,
}

/// Contents of a [`MemoryLog`] at one moment.
#[derive(Clone, Debug)]
pub struct LogCopy(collections::BTreeMap<String, StreamState>);

#[derive(Debug)]
struct LogState {
    /// Number of restores.
    era: u64,
    streams: collections::BTreeMap<String, StreamState>,
    faults: LogFaults,
    counts: LogCounts,
    rng: rand_chacha::ChaCha8Rng,
    /// The second of the log's clock to which `appends_in_second` refers.
    second: u64,
    appends_in_second: u32,
}

#[derive(Clone, Debug, Default)]
struct StreamState {
    /// Offset of the first retained record.
    first: u64,
    records: collections::VecDeque<client::LogRecord>,
}

impl StreamState {
    fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn drop_older(&mut self, oldest_ms: u64) {
        while self
            .records
            .front()
            .is_some_and(|record| record.at_ms < oldest_ms)
        {
            self.records.pop_front();
            self.first += 1;
        }
    }
}

enum AppendFate {
    Answered,
    AnswerLost,
    Late(time::Duration),
    RequestLost,
}

impl MemoryLog {
    /// Creates an empty log whose clock starts at `epoch_ms`. Faults are drawn from a random number
    /// generator with the seed `seed`.
    #[must_use]
    pub fn new(seed: u64, epoch_ms: u64) -> Self {
        let state = LogState {
            era: 0,
            streams: collections::BTreeMap::new(),
            faults: LogFaults::default(),
            counts: LogCounts::default(),
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            second: 0,
            appends_in_second: 0,
        };
        Self {
            shared: sync::Arc::new(SharedLog {
                state: sync::Mutex::new(state),
                appended: tokio_sync::Notify::new(),
                started_at: time::Instant::now(),
                epoch_ms,
            }),
        }
    }

    /// Changes the injected faults.
    pub fn change_faults(&self, change: impl FnOnce(&mut LogFaults)) {
        change(&mut self.state().faults);
        self.shared.appended.notify_waiters();
    }

    /// Returns the current counters.
    #[must_use]
    pub fn counts(&self) -> LogCounts {
        self.state().counts
    }

    /// Returns the time on the log's clock.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        let passed = self.shared.started_at.elapsed().as_millis();
        self.shared.epoch_ms + u64::try_from(passed).unwrap_or(u64::MAX)
    }

    /// Copies the log.
    #[must_use]
    pub fn copy(&self) -> LogCopy {
        LogCopy(self.state().streams.clone())
    }

    /// Replaces the log by an older copy of itself: records appended since are lost, and their
    /// offsets are given out again.
    pub fn restore(&self, copy: LogCopy) {
        let mut state = self.state();
        state.streams = copy.0;
        state.era += 1;
        drop(state);
        self.shared.appended.notify_waiters();
    }

    /// Returns all records that a stream still retains.
    #[must_use]
    pub fn records(&self, stream: &str) -> Vec<client::LogRecord> {
        let state = self.state();
        state
            .streams
            .get(stream)
            .map(|found| found.records.iter().cloned().collect())
            .unwrap_or_default()
    }

    fn state(&self) -> sync::MutexGuard<'_, LogState> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn write(&self, stream: &str, body: bytes::Bytes) -> u64 {
        let at_ms = self.now_ms();
        let mut state = self.state();
        state.counts.appended += 1;
        state.counts.bytes += body.len() as u64;
        let found = state.streams.entry(stream.to_owned()).or_default();
        let offset = found.next();
        found.records.push_back(client::LogRecord {
            offset,
            at_ms,
            body,
        });
        drop(state);
        self.shared.appended.notify_waiters();
        offset
    }

    fn admit(&self, stream: &str) -> Result<AppendFate, client::AppendError> {
        let second = self.now_ms() / 1_000;
        let mut state = self.state();
        if state.faults.down {
            let cause = "no connection";
            return client::DownSnafu { stream, cause }.fail();
        }
        if state.second != second {
            state.second = second;
            state.appends_in_second = 0;
        }
        let is_over_cap = state
            .faults
            .appends_per_second
            .is_some_and(|cap| state.appends_in_second >= cap);
        if is_over_cap {
            state.counts.over_cap += 1;
            return client::OverCapSnafu { stream }.fail();
        }
        state.appends_in_second += 1;
        Ok(state.draw_fate())
    }

    fn page(&self, query: &client::ReadQuery) -> Result<client::ReadPage, client::ReadError> {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let chance = state.faults.fail_read;
        if state.faults.down || state.draw(chance) {
            let cause = "no connection";
            let stream = &query.stream;
            return client::FailedSnafu { stream, cause }.fail();
        }
        let retention_ms = state.faults.retention_ms;
        let era = state.era;
        let found = state.streams.entry(query.stream.clone()).or_default();
        if let Some(kept_ms) = retention_ms {
            found.drop_older(now_ms.saturating_sub(kept_ms));
        }
        if query.from < found.first {
            return client::DroppedSnafu {
                stream: &query.stream,
                era,
                first: found.first,
            }
            .fail();
        }
        let skipped = usize::try_from(query.from - found.first).unwrap_or(usize::MAX);
        let records: Vec<client::LogRecord> = found
            .records
            .iter()
            .skip(skipped)
            .take(query.max as usize)
            .cloned()
            .collect();
        let next = records.last().map_or(query.from, |last| last.offset + 1);
        let first = found.first;
        state.counts.reads += 1;
        Ok(client::ReadPage {
            era,
            first,
            next,
            records,
        })
    }
}

impl LogState {
    fn draw(&mut self, chance: f64) -> bool {
        chance > 0.0 && self.rng.random_bool(chance.min(1.0))
    }

    fn draw_fate(&mut self) -> AppendFate {
        let faults = self.faults.clone();
        if self.draw(faults.lose_request) {
            AppendFate::RequestLost
        } else if self.draw(faults.late) {
            let spread_ms = self.rng.next_u64() % faults.late_ms.max(1);
            AppendFate::Late(time::Duration::from_millis(spread_ms))
        } else if self.draw(faults.lose_answer) {
            AppendFate::AnswerLost
        } else {
            AppendFate::Answered
        }
    }
}

impl LogClient for MemoryLog {
    async fn append(&self, stream: &str, body: bytes::Bytes) -> Result<u64, client::AppendError> {
        let one_way = self.state().faults.one_way;
        time::sleep(one_way).await;
        let fate = self.admit(stream)?;
        let lost = client::UnknownSnafu {
            stream,
            cause: "timed out",
        };
        match fate {
            AppendFate::RequestLost => lost.fail(),
            AppendFate::Late(delay) => {
                let log = self.clone();
                let name = stream.to_owned();
                tokio::spawn(async move {
                    time::sleep(delay).await;
                    log.write(&name, body);
                });
                lost.fail()
            }
            AppendFate::AnswerLost => {
                self.write(stream, body);
                lost.fail()
            }
            AppendFate::Answered => {
                let offset = self.write(stream, body);
                time::sleep(one_way).await;
                Ok(offset)
            }
        }
    }

    async fn read(&self, query: &client::ReadQuery) -> Result<client::ReadPage, client::ReadError> {
        let one_way = self.state().faults.one_way;
        time::sleep(one_way).await;
        let until = time::Instant::now() + time::Duration::from_millis(query.wait_ms);
        loop {
            let appended = self.shared.appended.notified();
            let page = self.page(query)?;
            let waited = time::Instant::now() >= until;
            if !page.records.is_empty() || waited {
                time::sleep(one_way).await;
                return Ok(page);
            }
            let _ = time::timeout_at(until, appended).await;
        }
    }
}

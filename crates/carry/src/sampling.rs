//! Samples log lines when there are more than a reader can keep up with.
//!
//! Under low load every line is written immediately. Under high load each line costs processor
//! time that requests need, and a flood hides the important lines. So there is a budget per second,
//! spent in this order:
//!
//! - lines about the process and its view of the system,
//! - failed requests, each with all its lines, also those from before the failure,
//! - a share of the requests that succeeded, sampled by id, each with all its lines or none.
//!
//! Lines of a request outside the share are buffered until it ends: dropped when it succeeded,
//! written when it failed. Omitted lines are counted, and the counts are logged once a second.

use std::{
    hash::{self, Hash as _, Hasher as _},
    num, time,
};

/// Budget of lines per second. At the target size a VM has 5 requests a second with two to six
/// lines each: the budget allows more than ten times that, and is small beside request traffic.
const LINES_PER_SECOND: f64 = 400.0;
/// Budget of bytes per second: 200 for each line, doubled to allow for long ones.
const BYTES_PER_SECOND: f64 = 160_000.0;
/// Fraction of the budget reserved for lines about the process and for failed requests.
const PRIORITY_FRACTION: f64 = 0.5;
/// Maximum number of requests whose lines are buffered, and of those being written. With 8 lines of
/// 200 bytes each the buffers hold 3 MB.
const MAX_REQUESTS: num::NonZeroUsize = num::NonZeroUsize::new(2_048).unwrap();
/// Maximum buffered lines of one request; a stream that moves five times writes twenty.
const MAX_REQUEST_LINES: usize = 32;
/// Number of recently failed requests that are remembered so that their late lines are written
/// too: the line about the head of a stream may follow the line about its end.
const MAX_FAILED_REQUESTS: num::NonZeroUsize = num::NonZeroUsize::new(64).unwrap();
/// Interval over which demand is measured and after which the omissions are logged.
const PERIOD: time::Duration = time::Duration::from_secs(1);

/// Whether and how the request of a line has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The request is still in progress.
    Open,
    /// The caller received the complete answer, or disconnected.
    Succeeded,
    /// The request was refused, cut off or answered with an error.
    Failed,
}

/// The subject of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineSubject<'line> {
    /// The process itself, or its view of the system.
    Process,
    /// A request, by its id.
    Request(&'line str, RequestEnd),
}

/// Numbers of requests and lines left out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeftOut {
    /// Requests that succeeded and were not written.
    pub succeeded: u64,
    /// Failed requests with lines missing.
    pub failed: u64,
    /// Lines about the process, and of requests with earlier lines written.
    pub lines: u64,
}

/// Token buckets of the lines and bytes that may be written now.
#[derive(Clone, Copy, Debug)]
struct LineBudget {
    /// Between 0 and [`LINES_PER_SECOND`].
    lines: f64,
    /// Between 0 and [`BYTES_PER_SECOND`].
    bytes: f64,
    filled: time::Instant,
}

impl LineBudget {
    const fn new(now: time::Instant) -> Self {
        Self {
            lines: LINES_PER_SECOND,
            bytes: BYTES_PER_SECOND,
            filled: now,
        }
    }

    fn fill(&mut self, now: time::Instant) {
        let passed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.filled = now.max(self.filled);
        self.lines = (self.lines + passed * LINES_PER_SECOND).min(LINES_PER_SECOND);
        self.bytes = (self.bytes + passed * BYTES_PER_SECOND).min(BYTES_PER_SECOND);
    }

    /// Takes lines out if at least the fraction `left` of a second's budget remains afterwards.
    fn take(&mut self, lines: usize, bytes: usize, left: f64) -> bool {
        let (lines, bytes) = (self.lines - lines as f64, self.bytes - bytes as f64);
        let enough = lines >= left * LINES_PER_SECOND && bytes >= left * BYTES_PER_SECOND;
        if enough {
            (self.lines, self.bytes) = (lines, bytes);
        }
        enough
    }
}

/// Buffered lines of a request that is outside the share.
#[derive(Debug, Default)]
struct BufferedRequest {
    lines: Vec<Vec<u8>>,
    /// Lines beyond [`MAX_REQUEST_LINES`].
    missing: u64,
}

/// Chooses the lines to write. Reads no clock: the caller passes the current time.
#[derive(Debug)]
pub struct LineSampler {
    budget: LineBudget,
    /// Open requests whose lines are written immediately.
    written: lru::LruCache<String, ()>,
    /// Open requests whose lines are buffered.
    buffered: lru::LruCache<String, BufferedRequest>,
    /// Recently failed requests.
    failed: lru::LruCache<String, ()>,
    /// Fraction of all requests that is written: those whose hash is below it.
    share: f64,
    /// Lines of requests in this period.
    demand: f64,
    period: time::Instant,
    left_out: LeftOut,
}

impl LineSampler {
    /// Starts with a full budget and every request written.
    #[must_use]
    pub fn new(now: time::Instant) -> Self {
        Self {
            budget: LineBudget::new(now),
            written: lru::LruCache::new(MAX_REQUESTS),
            buffered: lru::LruCache::new(MAX_REQUESTS),
            failed: lru::LruCache::new(MAX_FAILED_REQUESTS),
            share: 1.0,
            demand: 0.0,
            period: now,
            left_out: LeftOut::default(),
        }
    }

    /// Current fraction of the successful requests that is written.
    #[must_use]
    pub const fn share(&self) -> f64 {
        self.share
    }

    /// Takes one line; returns the lines to write now, in order.
    pub fn take(
        &mut self,
        line: Vec<u8>,
        subject: LineSubject<'_>,
        now: time::Instant,
    ) -> Vec<Vec<u8>> {
        self.budget.fill(now);
        match subject {
            LineSubject::Process => self.write(line),
            LineSubject::Request(id, end) => {
                self.demand += 1.0;
                self.take_request_line(line, id, end)
            }
        }
    }

    /// Ends a period that is over and starts the next; returns what was left out in it, if
    /// anything.
    pub fn end_period(&mut self, now: time::Instant) -> Option<LeftOut> {
        let passed = now.saturating_duration_since(self.period);
        if passed < PERIOD {
            return None;
        }
        let lines_per_second = self.demand / passed.as_secs_f64();
        let for_requests = LINES_PER_SECOND * (1.0 - PRIORITY_FRACTION);
        self.share = (for_requests / lines_per_second.max(1.0)).min(1.0);
        self.demand = 0.0;
        self.period = now;
        let left_out = std::mem::take(&mut self.left_out);
        (left_out != LeftOut::default()).then_some(left_out)
    }

    /// Writes a line without buffering, or drops it when the budget is used up.
    fn write(&mut self, line: Vec<u8>) -> Vec<Vec<u8>> {
        if self.budget.take(1, line.len(), 0.0) {
            return vec![line];
        }
        self.left_out.lines += 1;
        Vec::new()
    }

    fn take_request_line(&mut self, line: Vec<u8>, id: &str, end: RequestEnd) -> Vec<Vec<u8>> {
        if self.failed.contains(id) {
            return self.write(line);
        }
        if self.written.contains(id) || self.starts_written(id, line.len()) {
            self.record_written(id, end);
            return self.write(line);
        }
        self.buffer(id, line);
        match end {
            RequestEnd::Open => Vec::new(),
            RequestEnd::Succeeded => {
                self.buffered.pop(id);
                self.left_out.succeeded += 1;
                Vec::new()
            }
            RequestEnd::Failed => self.flush_failed(id),
        }
    }

    /// Whether the lines of a new request are written immediately.
    fn starts_written(&self, id: &str, bytes: usize) -> bool {
        let mut budget = self.budget;
        !self.buffered.contains(id)
            && hash_fraction(id) < self.share
            && budget.take(1, bytes, PRIORITY_FRACTION)
    }

    fn record_written(&mut self, id: &str, end: RequestEnd) {
        match end {
            RequestEnd::Open => {
                self.written.put(id.to_owned(), ());
            }
            RequestEnd::Succeeded => {
                self.written.pop(id);
            }
            RequestEnd::Failed => {
                self.written.pop(id);
                self.failed.put(id.to_owned(), ());
            }
        }
    }

    fn buffer(&mut self, id: &str, line: Vec<u8>) {
        if !self.buffered.contains(id) {
            let evicted = self
                .buffered
                .push(id.to_owned(), BufferedRequest::default());
            self.left_out.succeeded += u64::from(evicted.is_some());
        }
        if let Some(buffered) = self.buffered.get_mut(id) {
            if buffered.lines.len() < MAX_REQUEST_LINES {
                buffered.lines.push(line);
            } else {
                buffered.missing += 1;
            }
        }
    }

    /// Returns all buffered lines of a failed request, or none if the budget does not suffice.
    fn flush_failed(&mut self, id: &str) -> Vec<Vec<u8>> {
        self.failed.put(id.to_owned(), ());
        let buffered = self.buffered.pop(id).unwrap_or_default();
        let bytes = buffered.lines.iter().map(Vec::len).sum();
        let written = self.budget.take(buffered.lines.len(), bytes, 0.0);
        if !written || buffered.missing > 0 {
            self.left_out.failed += 1;
        }
        if written { buffered.lines } else { Vec::new() }
    }
}

/// Hashes an id to a value between 0 and 1 that is the same on every VM.
fn hash_fraction(id: &str) -> f64 {
    let mut hasher = hash::DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish() as f64 / u64::MAX as f64
}

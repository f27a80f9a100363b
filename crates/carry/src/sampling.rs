//! Which log lines are written when there are more than a reader can keep up with.
//!
//! A calm process writes every line at once. Under load each line costs processor time that
//! requests need, and a flood buries the lines that matter. So there is a budget a second:
//!
//! - what the process believes or found out about others comes first,
//! - then requests that failed, each with all its lines, also those from before it failed,
//! - then a share of the requests that ended well, chosen by id, each whole or not at all.
//!
//! Lines of a request that is not in the share are kept until it ends: thrown away when it ended
//! well, written when it did not. What was left out is counted, and said once a second.

use std::{
    hash::{self, Hash as _, Hasher as _},
    num, time,
};

/// Lines a second. At the size of the brief a VM has 5 requests a second, with two to six lines
/// each: room for more than ten times that, and little beside what requests carry.
const LINES_A_SECOND: f64 = 400.0;
/// Bytes a second: 200 for a line, and as much again for long ones.
const BYTES_A_SECOND: f64 = 160_000.0;
/// Part of the budget that requests which end well leave to beliefs and failures.
const FIRST_PART: f64 = 0.5;
/// Requests whose lines are kept back, and as many that are being written; 8 lines of 200 bytes
/// each make 3 MB of them.
const MOST_REQUESTS: num::NonZeroUsize = num::NonZeroUsize::new(2_048).unwrap();
/// Lines of one request that are kept back; a stream that moves five times writes twenty.
const MOST_LINES: usize = 32;
/// Requests that failed lately, whose late lines are written too: the head of a stream may be
/// told after its end.
const MOST_FAILED: num::NonZeroUsize = num::NonZeroUsize::new(64).unwrap();
/// Time over which demand is measured and after which what was left out is said.
const PERIOD: time::Duration = time::Duration::from_secs(1);

/// How the request that a line is about has ended, if it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// It goes on.
    Open,
    /// Its caller had all of it, or left.
    Well,
    /// It was refused, cut or answered with a fault.
    Badly,
}

/// What a line is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineSubject<'line> {
    /// What the process believes, or itself.
    Belief,
    /// A request, by its id.
    Request(&'line str, RequestEnd),
}

/// What was left out in a period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeftOut {
    /// Requests that ended well and were not written.
    pub succeeded: u64,
    /// Requests that failed, of which lines are missing.
    pub failed: u64,
    /// Lines on beliefs, and of requests that had begun to be written.
    pub lines: u64,
}

/// Lines and bytes that may be written now.
#[derive(Clone, Copy, Debug)]
struct LineBudget {
    /// Between 0 and [`LINES_A_SECOND`].
    lines: f64,
    /// Between 0 and [`BYTES_A_SECOND`].
    bytes: f64,
    filled: time::Instant,
}

impl LineBudget {
    const fn new(now: time::Instant) -> Self {
        Self {
            lines: LINES_A_SECOND,
            bytes: BYTES_A_SECOND,
            filled: now,
        }
    }

    fn fill(&mut self, now: time::Instant) {
        let passed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.filled = now.max(self.filled);
        self.lines = (self.lines + passed * LINES_A_SECOND).min(LINES_A_SECOND);
        self.bytes = (self.bytes + passed * BYTES_A_SECOND).min(BYTES_A_SECOND);
    }

    /// Takes lines out, if so much stays that `left` of a second's budget is there afterwards.
    fn take(&mut self, lines: usize, bytes: usize, left: f64) -> bool {
        let (lines, bytes) = (self.lines - lines as f64, self.bytes - bytes as f64);
        let enough = lines >= left * LINES_A_SECOND && bytes >= left * BYTES_A_SECOND;
        if enough {
            (self.lines, self.bytes) = (lines, bytes);
        }
        enough
    }
}

/// A request that is not written, or not yet.
#[derive(Debug, Default)]
struct KeptRequest {
    lines: Vec<Vec<u8>>,
    /// Lines beyond [`MOST_LINES`].
    missing: u64,
}

/// Chooses lines. Holds no clock: each call says what time it is.
#[derive(Debug)]
pub struct LineSampler {
    budget: LineBudget,
    /// Open requests whose lines are written as they come.
    written: lru::LruCache<String, ()>,
    /// Open requests whose lines are kept back.
    kept: lru::LruCache<String, KeptRequest>,
    /// Requests that failed lately.
    failed: lru::LruCache<String, ()>,
    /// Part of all requests that is written: those whose hash is below it.
    share: f64,
    /// Lines on requests in this period.
    demand: f64,
    period: time::Instant,
    left_out: LeftOut,
}

impl LineSampler {
    /// Begins with a whole budget and every request written.
    #[must_use]
    pub fn new(now: time::Instant) -> Self {
        Self {
            budget: LineBudget::new(now),
            written: lru::LruCache::new(MOST_REQUESTS),
            kept: lru::LruCache::new(MOST_REQUESTS),
            failed: lru::LruCache::new(MOST_FAILED),
            share: 1.0,
            demand: 0.0,
            period: now,
            left_out: LeftOut::default(),
        }
    }

    /// Part of the requests that end well which is written now.
    #[must_use]
    pub const fn share(&self) -> f64 {
        self.share
    }

    /// Takes one line; gives what is to be written now, in order.
    pub fn take(
        &mut self,
        line: Vec<u8>,
        subject: LineSubject<'_>,
        now: time::Instant,
    ) -> Vec<Vec<u8>> {
        self.budget.fill(now);
        match subject {
            LineSubject::Belief => self.write(line),
            LineSubject::Request(id, end) => {
                self.demand += 1.0;
                self.take_of_request(line, id, end)
            }
        }
    }

    /// What was left out in a period that is over, once.
    pub fn end_period(&mut self, now: time::Instant) -> Option<LeftOut> {
        let passed = now.saturating_duration_since(self.period);
        if passed < PERIOD {
            return None;
        }
        let a_second = self.demand / passed.as_secs_f64();
        let for_requests = LINES_A_SECOND * (1.0 - FIRST_PART);
        self.share = (for_requests / a_second.max(1.0)).min(1.0);
        self.demand = 0.0;
        self.period = now;
        let left_out = std::mem::take(&mut self.left_out);
        (left_out != LeftOut::default()).then_some(left_out)
    }

    /// A line that is not kept back: written, or lost when there is no budget at all.
    fn write(&mut self, line: Vec<u8>) -> Vec<Vec<u8>> {
        if self.budget.take(1, line.len(), 0.0) {
            return vec![line];
        }
        self.left_out.lines += 1;
        Vec::new()
    }

    fn take_of_request(&mut self, line: Vec<u8>, id: &str, end: RequestEnd) -> Vec<Vec<u8>> {
        if self.failed.contains(id) {
            return self.write(line);
        }
        if self.written.contains(id) || self.begins_written(id, line.len()) {
            self.note_written(id, end);
            return self.write(line);
        }
        self.keep(id, line);
        match end {
            RequestEnd::Open => Vec::new(),
            RequestEnd::Well => {
                self.kept.pop(id);
                self.left_out.succeeded += 1;
                Vec::new()
            }
            RequestEnd::Badly => self.tell_failed(id),
        }
    }

    /// Whether a request of which nothing is known is written as it goes on.
    fn begins_written(&self, id: &str, bytes: usize) -> bool {
        let mut budget = self.budget;
        !self.kept.contains(id) && part_of(id) < self.share && budget.take(1, bytes, FIRST_PART)
    }

    fn note_written(&mut self, id: &str, end: RequestEnd) {
        match end {
            RequestEnd::Open => {
                self.written.put(id.to_owned(), ());
            }
            RequestEnd::Well => {
                self.written.pop(id);
            }
            RequestEnd::Badly => {
                self.written.pop(id);
                self.failed.put(id.to_owned(), ());
            }
        }
    }

    fn keep(&mut self, id: &str, line: Vec<u8>) {
        if !self.kept.contains(id) {
            let evicted = self.kept.push(id.to_owned(), KeptRequest::default());
            self.left_out.succeeded += u64::from(evicted.is_some());
        }
        if let Some(kept) = self.kept.get_mut(id) {
            if kept.lines.len() < MOST_LINES {
                kept.lines.push(line);
            } else {
                kept.missing += 1;
            }
        }
    }

    /// All lines of a request that failed, or none.
    fn tell_failed(&mut self, id: &str) -> Vec<Vec<u8>> {
        self.failed.put(id.to_owned(), ());
        let kept = self.kept.pop(id).unwrap_or_default();
        let bytes = kept.lines.iter().map(Vec::len).sum();
        let told = self.budget.take(kept.lines.len(), bytes, 0.0);
        if !told || kept.missing > 0 {
            self.left_out.failed += 1;
        }
        if told { kept.lines } else { Vec::new() }
    }
}

/// Where an id stands between 0 and 1; the same on every VM.
fn part_of(id: &str) -> f64 {
    let mut hasher = hash::DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish() as f64 / u64::MAX as f64
}

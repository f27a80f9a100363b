//! Queue of the requests that wait on this VM for a server.
//!
//! Load pattern: a burst needs more engine memory than there is. A request in an engine's own queue
//! is bound to that engine, is lost with it and can't be overtaken. Requests therefore wait on the
//! VM, ordered by rank and age, and are bound to a server only when one has capacity. A request
//! that can't be served in time is refused on arrival, with a randomised retry delay that spreads
//! the retries.

use std::collections;

use tokio::time;

use crate::{forecast, request};

slotmap::new_key_type! {
    /// Key of one waiting request.
    pub struct WaitKey;
}

/// Delay of the check after a request becomes late: its rank is worse, and its memory demand
/// higher, from then on.
const LATE_CHECK_DELAY: time::Duration = time::Duration::from_millis(2);
/// Interval between checks whether a late request can still start.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Max waiting requests of one service on one VM; each takes about 200 bytes besides its body.
const MAX_WAITING: usize = 64;
/// Window over which the start rate is measured.
const START_RATE_WINDOW: time::Duration = time::Duration::from_secs(4);
/// Fraction of the remaining time that a request may wait; the rest is for running it.
const MAX_WAIT_FRACTION: f64 = 0.5;
/// Max wait of an idempotent or single call, as a multiple of its target latency.
const MAX_CALL_WAIT_FACTOR: f64 = 5.0;
/// Max wait of a stream, as a multiple of its target latency: callers leave after four. A stream
/// that is refused sooner is retried only to wait again.
const MAX_STREAM_WAIT_FACTOR: f64 = 3.3;
/// Min retry delay sent to a refused caller.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(500);
/// Max retry delay sent to a refused caller: callers honour a delay of up to a third of their
/// remaining time, and no time limit is longer than 39 s.
pub const MAX_RETRY_AFTER: time::Duration = time::Duration::from_secs(13);

/// Number of cost steps; two steps are a factor of two.
const COST_STEPS: usize = 8;
/// Cost, in thousands of token seconds, below which all generations count as equally cheap: a
/// prompt of 2,500 tokens with an output of 150.
const CHEAP_COST_KTOKEN_S: f64 = 4.0;
/// Highest rank that may use the last free memory: short generations, and the shortest of the long
/// ones.
const RESERVE_FROM_RANK: usize = 2;
/// Fraction of the total memory that each rank above [`RESERVE_FROM_RANK`] leaves free. Memory is
/// freed in bursts, as engines start; if whatever waits took all of it, all requests of the three
/// seconds until the next burst would be late.
const RESERVE_FRACTION_STEP: f64 = 0.03;
/// Number of ranks of waiting requests.
pub const RANKS: usize = 2 * COST_STEPS;

/// Rank of a waiting request; lower ranks start first.
///
/// Load pattern: for as long as an overload lasts, callers need a tenth more memory than engines
/// have. In order of arrival all of them wait and most responses are late, while the longest fifth
/// takes half of the memory. Starting the cheapest requests first, weighted by priority, lets the
/// same memory serve three to six times as many on time, and the refused requests are the ones that
/// cost most to serve.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitRank {
    /// Place in the order; less than [`RANKS`].
    index: u8,
    /// Steps of `index` that are due to the organisation's demand; at most `index`.
    penalty: u8,
}

impl WaitRank {
    /// Rank of a request with this cost step.
    #[must_use]
    pub const fn new(late: bool, step: u8) -> Self {
        Self {
            index: if late { COST_STEPS as u8 } else { 0 } + step,
            penalty: 0,
        }
    }

    /// The rank that is worse by `steps`, within the ranks of requests that are as late.
    #[must_use]
    pub const fn with_penalty(self, steps: u8) -> Self {
        let worst = self.index | (COST_STEPS as u8 - 1);
        let room = worst - self.index;
        let penalty = if steps < room { steps } else { room };
        Self {
            index: self.index + penalty,
            penalty,
        }
    }

    /// Fraction of the total memory that a request of this rank must leave free. A penalty does not
    /// count: where only organisations above their share wait, more memory would stay free, and a
    /// sixth fewer generations be served.
    #[must_use]
    pub fn reserve_fraction(self) -> f64 {
        let index = self.index().saturating_sub(self.penalty as usize);
        let above = index.saturating_sub(RESERVE_FROM_RANK) as f64;
        above * RESERVE_FRACTION_STEP
    }

    /// Index into a table with [`RANKS`] entries.
    #[must_use]
    pub const fn index(self) -> usize {
        self.index as usize
    }
}

/// Cost step of a request. For a generation it follows from the expected memory and run time,
/// doubled for each priority level; for a call it is the priority.
#[must_use]
pub fn cost_step(priority: u8, size: Option<&request::GenerationSize>) -> u8 {
    let last = COST_STEPS as u8 - 1;
    let Some(size) = size else {
        return priority.min(last);
    };
    let cost = forecast::expected_cost(size) * 2.0_f64.powi(i32::from(priority));
    let step = 2.0 * (cost / CHEAP_COST_KTOKEN_S).max(1.0).log2();
    (step as u8).min(last)
}

/// Values that determine the rank of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RankBasis {
    /// Cost step: see [`cost_step`].
    pub step: u8,
    /// Steps by which the rank is worse because the organisation is above its share: see
    /// [`crate::fair`].
    pub penalty: u8,
    /// Latest start for a response on time; `None` if the response is late in any case.
    pub on_time_until: Option<time::Instant>,
}

impl RankBasis {
    /// Rank at `now`.
    #[must_use]
    pub fn rank(&self, now: time::Instant) -> WaitRank {
        let late = self.on_time_until.is_none_or(|until| until < now);
        WaitRank::new(late, self.step).with_penalty(self.penalty)
    }

    /// The same values without the penalty.
    #[must_use]
    pub const fn without_penalty(mut self) -> Self {
        self.penalty = 0;
        self
    }
}

/// One waiting request.
#[derive(Clone, Copy, Debug)]
pub struct WaitRecord {
    /// Priority of the route; 0 goes first.
    pub priority: u8,
    /// Values that determine the rank.
    pub basis: RankBasis,
    /// Order of arrival on this VM.
    pub order: u64,
    /// When the wait times out.
    pub until: time::Instant,
    /// Planned memory; 0 for calls.
    pub tokens: u64,
}

impl WaitRecord {
    /// Time of the next check whether the request can still start: once when it becomes late, and
    /// every `CHECK_INTERVAL` from then on.
    #[must_use]
    pub fn next_check(&self, now: time::Instant) -> time::Instant {
        let late_at = self
            .basis
            .on_time_until
            .map(|until| until + LATE_CHECK_DELAY);
        match late_at {
            Some(late_at) if now < late_at => late_at.min(self.until),
            _ => (now + CHECK_INTERVAL).min(self.until),
        }
    }
}

/// Requests of one service that wait on this VM.
#[derive(Debug, Default)]
pub struct WaitQueue {
    waiting: slotmap::SlotMap<WaitKey, WaitRecord>,
    next_order: u64,
    /// Waiting requests that would have gone before one that has started, without their penalty.
    overtaken: slotmap::SecondaryMap<WaitKey, ()>,
    /// Start times of requests of this service, oldest first.
    starts: collections::VecDeque<time::Instant>,
}

impl WaitQueue {
    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns a waiting request.
    #[must_use]
    pub fn get(&self, key: WaitKey) -> Option<&WaitRecord> {
        self.waiting.get(key)
    }

    /// Planned memory of the waiting requests, by rank.
    #[must_use]
    pub fn waiting_tokens(&self, now: time::Instant) -> [u64; RANKS] {
        let mut tokens = [0; RANKS];
        for record in self.waiting.values() {
            tokens[record.basis.rank(now).index()] += record.tokens;
        }
        tokens
    }

    /// Number of waiting requests that go before a new one of `rank`.
    #[must_use]
    pub fn ahead(&self, rank: WaitRank, now: time::Instant) -> usize {
        self.waiting
            .values()
            .filter(|record| record.basis.rank(now) <= rank)
            .count()
    }

    /// Records the start of a request, for the start rate.
    pub fn record_start(&mut self, now: time::Instant) {
        self.starts.push_back(now);
        while self
            .starts
            .front()
            .is_some_and(|&at| now.saturating_duration_since(at) > START_RATE_WINDOW)
        {
            self.starts.pop_front();
        }
    }

    /// Expected wait of a new request, from the number of requests ahead of it and the start rate.
    #[must_use]
    pub fn expected_wait(&self, rank: WaitRank, now: time::Instant) -> time::Duration {
        let recent = self
            .starts
            .iter()
            .filter(|&&at| now.saturating_duration_since(at) <= START_RATE_WINDOW)
            .count();
        let rate = (recent as f64).max(1.0) / START_RATE_WINDOW.as_secs_f64();
        time::Duration::from_secs_f64((self.ahead(rank, now) as f64 + 0.5) / rate)
    }

    /// Returns whether a new request should be refused at once: the queue is full, or the expected
    /// wait exceeds `max_wait`.
    #[must_use]
    pub fn should_refuse(
        &self,
        rank: WaitRank,
        max_wait: time::Duration,
        now: time::Instant,
    ) -> bool {
        let late = self.expected_wait(rank, now) > max_wait;
        self.waiting.len() >= MAX_WAITING || (late && self.ahead(rank, now) > 0)
    }

    /// Returns the arrival number of a new request.
    pub fn next_order(&mut self) -> u64 {
        self.next_order += 1;
        self.next_order
    }

    /// Adds a waiting request.
    pub fn insert(&mut self, record: WaitRecord) -> WaitKey {
        self.waiting.insert(record)
    }

    /// Removes a request, whether it was placed, refused or cancelled.
    pub fn remove(&mut self, key: WaitKey) {
        self.waiting.remove(key);
        self.overtaken.remove(key);
    }

    /// Removes a request that starts.
    pub fn start(&mut self, key: WaitKey, now: time::Instant) {
        if let Some(record) = self.waiting.get(key).copied() {
            self.remove(key);
            self.note_start(record.basis.rank(now), record.priority, record.order, now);
        }
    }

    /// Notes that a request starts as it arrives.
    pub fn start_at_once(&mut self, rank: WaitRank, priority: u8, now: time::Instant) {
        if !self.waiting.is_empty() {
            let order = self.next_order();
            self.note_start(rank, priority, order, now);
        }
    }

    fn note_start(&mut self, rank: WaitRank, priority: u8, order: u64, now: time::Instant) {
        let started = (rank, priority, order);
        for (key, record) in &self.waiting {
            let place = |basis: RankBasis| (basis.rank(now), record.priority, record.order);
            if place(record.basis.without_penalty()) < started && started < place(record.basis) {
                self.overtaken.insert(key, ());
            }
        }
    }

    /// Returns whether a waiting request was overtaken only because of its penalty.
    #[must_use]
    pub fn was_overtaken(&self, key: WaitKey) -> bool {
        self.overtaken.contains_key(key)
    }

    /// Waiting requests in start order: requests that can still be on time first, and among them
    /// the cheapest. In a lasting overload a FIFO queue would make every response late.
    #[must_use]
    pub fn start_order(&self, now: time::Instant) -> Vec<WaitKey> {
        let rank = |record: &WaitRecord| (record.basis.rank(now), record.priority, record.order);
        let mut keys: Vec<_> = self
            .waiting
            .iter()
            .map(|(key, record)| (rank(record), key))
            .collect();
        keys.sort_unstable();
        keys.into_iter().map(|(_, key)| key).collect()
    }
}

/// Max time that a request may wait for a server. Callers abandon a stream whose first event does
/// not come within a few multiples of the target latency, whatever their deadline: a stream held
/// that long is lost, while one refused earlier is retried.
#[must_use]
pub fn max_wait(
    left: time::Duration,
    target_latency: time::Duration,
    stream: bool,
) -> time::Duration {
    let factor = if stream {
        MAX_STREAM_WAIT_FACTOR
    } else {
        MAX_CALL_WAIT_FACTOR
    };
    left.mul_f64(MAX_WAIT_FRACTION)
        .min(target_latency.mul_f64(factor))
}

/// Retry delay for a refused caller: the time until the queue has moved on, spread evenly so that
/// the retries don't form a burst. `draw` is a random number from 0 to 1.
#[must_use]
pub fn retry_after(wait: time::Duration, left: time::Duration, draw: f64) -> time::Duration {
    let min = MIN_RETRY_AFTER.as_secs_f64();
    let max = MAX_RETRY_AFTER.as_secs_f64();
    // Callers honour a delay of up to a third of their remaining time, and retry at any time if it
    // is longer.
    let max = max.min(left.as_secs_f64() * 0.3).max(0.1);
    // Half of the spread lies above the middle: capping it there would make half of the retries one
    // burst.
    let max_middle = max / (RETRY_SPREAD.0 + RETRY_SPREAD.1);
    let middle = wait.as_secs_f64().clamp(min.min(max_middle), max_middle);
    time::Duration::from_secs_f64(middle * (RETRY_SPREAD.0 + RETRY_SPREAD.1 * draw))
}

/// Smallest factor on the middle of the retry delay, and the width of the random spread above it.
const RETRY_SPREAD: (f64, f64) = (0.7, 0.6);
/// Fraction of the target latency that a generation needs between its start and its first event: at
/// targets of 1.5 and 1.8 s half of them take 0.44 and 0.57 s, and a quarter more than 0.67 and
/// 0.89 s.
const START_TO_FIRST_EVENT_FRACTION: f64 = 0.55;

/// Max delay between arrival and start for a response on time.
#[must_use]
pub fn max_start_delay(target_latency: time::Duration) -> time::Duration {
    target_latency.mul_f64(1.0 - START_TO_FIRST_EVENT_FRACTION)
}

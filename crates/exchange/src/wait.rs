//! What waits here for a place.
//!
//! Load pattern: a burst asks for more engine memory than there is. What waits in an engine's own
//! queue is bound to it, dies with it and can't be overtaken; so it waits here, by rank and age,
//! and is bound to a server only when one has room. What can't be served in time is refused when it
//! comes, with a time to come back that spreads the returns.

use std::collections;

use tokio::time;

use crate::{ask, forecast};

slotmap::new_key_type! {
    /// Key of one waiting request.
    pub struct WaitKey;
}

/// How long after a request turned late it is looked at again: what it needs is more from then on.
const LATE_LOOK: time::Duration = time::Duration::from_millis(2);
/// Time between two looks whether a late request still has a chance.
const LOOK_GAP: time::Duration = time::Duration::from_millis(500);
/// Requests of one service that may wait on one VM; about 200 bytes each beside their bodies.
const MOST_WAITING: usize = 64;
/// Span over which the pace of starts is measured.
const PACE_SPAN: time::Duration = time::Duration::from_secs(4);
/// Part of the time left that a request may wait: the rest is for running it.
const PATIENCE_PART: f64 = 0.5;
/// Longest wait for an idempotent or single call, as a multiple of its aim.
const AIMS_WAITED: f64 = 5.0;
/// Longest wait for a stream, as a multiple of its aim: callers leave after four. One that is refused
/// sooner comes back only to wait again.
const STREAM_AIMS_WAITED: f64 = 3.3;
/// Least that a refused caller is told to stay away.
const RETRY_AFTER_LEAST: time::Duration = time::Duration::from_millis(500);
/// Most that one is told: callers honour a third of what they have left, and the longest have 39 s.
pub const RETRY_AFTER_MOST: time::Duration = time::Duration::from_secs(13);

/// Steps of the cost of what waits, each half a doubling.
const COST_STEPS: usize = 8;
/// Cost, in thousands of tokens times seconds, below which all generations are equally cheap: a
/// prompt of 2,500 tokens and an answer of 150.
const CHEAP_COST: f64 = 4.0;
/// Highest rank that may take the last room: short answers, and the shortest of the long ones.
const KEPT_FROM: usize = 2;
/// Part of all memory that each rank above leaves free. Room comes up in bursts, as engines start;
/// were it taken by whatever waits, those that come in the three seconds until the next burst would
/// all be late. Worth summed over four days at 59 and 78 VMs: 1.513 with 0.02, 1.628 with 0.03 and
/// longer patience, 1.483 with 0.04; later 2.025 with 0.03, 1.970 with 0.04.
const KEPT_STEP: f64 = 0.03;
/// Ranks that a waiting request may have.
pub const RANKS: usize = 2 * COST_STEPS;

/// How soon a waiting request should start; lower goes first.
///
/// Load pattern: callers ask for a tenth more memory than engines have, for as long as the overload
/// lasts. In the order of arrival all of them wait, and most answers are late; the longest fifth
/// takes half of the memory. With the cheapest first, weighed by priority, the same memory answers
/// three to six times as many on time (replay of a minute at 12 engines, five seeds), and what is
/// refused is what costs most to serve.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitRank(u8);

impl WaitRank {
    /// The rank of a request of this step of cost.
    #[must_use]
    pub const fn new(late: bool, step: u8) -> Self {
        Self(if late { COST_STEPS as u8 } else { 0 } + step)
    }

    /// Part of all memory that one of this rank must leave free.
    #[must_use]
    pub fn kept_part(self) -> f64 {
        let above = self.index().saturating_sub(KEPT_FROM) as f64;
        above * KEPT_STEP
    }

    /// Position in a table of [`RANKS`].
    #[must_use]
    pub const fn index(self) -> usize {
        self.0 as usize
    }
}

/// Step of cost of a request: of a generation its expected memory and time, doubled for each step
/// of priority; of a call its priority alone.
#[must_use]
pub fn cost_step(priority: u8, size: Option<&ask::GenerationSize>) -> u8 {
    let last = COST_STEPS as u8 - 1;
    let Some(size) = size else {
        return priority.min(last);
    };
    let cost = forecast::expected_cost(size) * 2.0_f64.powi(i32::from(priority));
    let step = 2.0 * (cost / CHEAP_COST).max(1.0).log2();
    (step as u8).min(last)
}

/// What a request's rank follows from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitClaim {
    /// Step of its cost: see [`cost_step`].
    pub step: u8,
    /// Started later, its answer is late; absent when it is late already.
    pub on_time_until: Option<time::Instant>,
}

impl WaitClaim {
    /// How soon it should start.
    #[must_use]
    pub fn rank(&self, now: time::Instant) -> WaitRank {
        let late = self.on_time_until.is_none_or(|until| until < now);
        WaitRank::new(late, self.step)
    }
}

/// One waiting request.
#[derive(Clone, Copy, Debug)]
pub struct WaitRecord {
    /// Rank of its route; 0 goes first.
    pub priority: u8,
    /// What its own rank follows from.
    pub claim: WaitClaim,
    /// Order of arrival on this VM.
    pub order: u64,
    /// When it is given up.
    pub until: time::Instant,
    /// Memory that is planned for it; 0 for calls.
    pub tokens: u64,
}

impl WaitRecord {
    /// When to look next whether it still has a chance: as it turns late, and then now and then.
    #[must_use]
    pub fn next_look(&self, now: time::Instant) -> time::Instant {
        let late_at = self.claim.on_time_until.map(|until| until + LATE_LOOK);
        match late_at {
            Some(late_at) if now < late_at => late_at.min(self.until),
            _ => (now + LOOK_GAP).min(self.until),
        }
    }
}

/// Requests of one service that wait on this VM.
#[derive(Debug, Default)]
pub struct WaitQueue {
    waiting: slotmap::SlotMap<WaitKey, WaitRecord>,
    next_order: u64,
    /// Times at which requests of this service started, oldest first.
    starts: collections::VecDeque<time::Instant>,
}

impl WaitQueue {
    /// Requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// One that waits.
    #[must_use]
    pub fn get(&self, key: WaitKey) -> Option<&WaitRecord> {
        self.waiting.get(key)
    }

    /// Memory planned for those that wait, by rank.
    #[must_use]
    pub fn waiting_tokens(&self, now: time::Instant) -> [u64; RANKS] {
        let mut tokens = [0; RANKS];
        for record in self.waiting.values() {
            tokens[record.claim.rank(now).index()] += record.tokens;
        }
        tokens
    }

    /// Requests that wait and go before one of `rank` that comes now.
    #[must_use]
    pub fn ahead(&self, rank: WaitRank, now: time::Instant) -> usize {
        self.waiting
            .values()
            .filter(|record| record.claim.rank(now) <= rank)
            .count()
    }

    /// A request of this service started to run.
    pub fn started(&mut self, now: time::Instant) {
        self.starts.push_back(now);
        while self
            .starts
            .front()
            .is_some_and(|&at| now.saturating_duration_since(at) > PACE_SPAN)
        {
            self.starts.pop_front();
        }
    }

    /// Expected wait of a request that comes now, from how many are ahead and how fast they start.
    #[must_use]
    pub fn expected_wait(&self, rank: WaitRank, now: time::Instant) -> time::Duration {
        let recent = self
            .starts
            .iter()
            .filter(|&&at| now.saturating_duration_since(at) <= PACE_SPAN)
            .count();
        let pace = (recent as f64).max(1.0) / PACE_SPAN.as_secs_f64();
        time::Duration::from_secs_f64((self.ahead(rank, now) as f64 + 0.5) / pace)
    }

    /// Whether a request that comes now should be refused at once.
    #[must_use]
    pub fn is_hopeless(
        &self,
        rank: WaitRank,
        patience: time::Duration,
        now: time::Instant,
    ) -> bool {
        let late = self.expected_wait(rank, now) > patience;
        self.waiting.len() >= MOST_WAITING || (late && self.ahead(rank, now) > 0)
    }

    /// The place in the order of a request that comes now.
    pub fn next_order(&mut self) -> u64 {
        self.next_order += 1;
        self.next_order
    }

    /// Lets a request wait.
    pub fn enter(&mut self, record: WaitRecord) -> WaitKey {
        self.waiting.insert(record)
    }

    /// It waits no longer, whatever the reason.
    pub fn leave(&mut self, key: WaitKey) {
        self.waiting.remove(key);
    }

    /// Those that wait, in the order in which they should start: first those that can still be on
    /// time, of them the cheapest. In lasting overload a plain queue would make every answer late.
    #[must_use]
    pub fn in_order(&self, now: time::Instant) -> Vec<WaitKey> {
        let rank = |record: &WaitRecord| (record.claim.rank(now), record.priority, record.order);
        let mut keys: Vec<_> = self
            .waiting
            .iter()
            .map(|(key, record)| (rank(record), key))
            .collect();
        keys.sort_unstable();
        keys.into_iter().map(|(_, key)| key).collect()
    }
}

/// How long a request may wait for a place. Callers leave a stream whose first event does not come
/// within a few aims, whatever their deadline: one held for so long is lost, while one that is
/// refused before comes back.
#[must_use]
pub fn patience(left: time::Duration, aim: time::Duration, stream: bool) -> time::Duration {
    let aims = if stream {
        STREAM_AIMS_WAITED
    } else {
        AIMS_WAITED
    };
    left.mul_f64(PATIENCE_PART).min(aim.mul_f64(aims))
}

/// When a refused caller is told to come back: when the queue will have moved on, spread evenly so
/// that the returns don't come as one burst. `draw` is a random number from 0 to 1.
#[must_use]
pub fn retry_after(wait: time::Duration, left: time::Duration, draw: f64) -> time::Duration {
    let least = RETRY_AFTER_LEAST.as_secs_f64();
    let most = RETRY_AFTER_MOST.as_secs_f64();
    // Callers honour up to a third of what they have left; beyond it they come when they like.
    let most = most.min(left.as_secs_f64() * 0.3).max(0.1);
    // Half of the spread lies above the middle: were it cut off, half of the returns would be one burst.
    let middle_most = most / (SPREAD.0 + SPREAD.1);
    let middle = wait
        .as_secs_f64()
        .clamp(least.min(middle_most), middle_most);
    time::Duration::from_secs_f64(middle * (SPREAD.0 + SPREAD.1 * draw))
}

/// Least part of the middle that a caller is told, and by how much the latest are told more.
const SPREAD: (f64, f64) = (0.7, 0.6);
/// Part of an aim that a generation needs between its start and its first event: at aims of 1.5 and
/// 1.8 s half of them take 0.44 and 0.57 s, a quarter over 0.67 and 0.89 s (1,700 streams of a day at
/// 59 VMs). Worth summed over four days with 0.3, 0.45 and 0.55: 1.906, 1.977, 2.025.
const START_PART: f64 = 0.55;

/// How long after its arrival a request can start and still be on time.
#[must_use]
pub fn time_to_start(aim: time::Duration) -> time::Duration {
    aim.mul_f64(1.0 - START_PART)
}

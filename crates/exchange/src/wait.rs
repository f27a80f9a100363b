//! What waits here for a place.
//!
//! Load pattern: a burst asks for more engine memory than there is. What waits in an engine's own
//! queue is bound to it, dies with it and can't be overtaken; so it waits here, by rank and age,
//! and is bound to a server only when one has room. What can't be served in time is refused when it
//! comes, with a time to come back that spreads the returns.

use std::collections;

use tokio::time;

slotmap::new_key_type! {
    /// Key of one waiting request.
    pub struct WaitKey;
}

/// Requests of one service that may wait on one VM; about 200 bytes each beside their bodies.
const MOST_WAITING: usize = 64;
/// Span over which the pace of starts is measured.
const PACE_SPAN: time::Duration = time::Duration::from_secs(4);
/// Part of the time left that a request may wait: the rest is for running it.
const PATIENCE_PART: f64 = 0.5;
/// Longest wait for an idempotent or single call, as a multiple of its aim.
const AIMS_WAITED: f64 = 5.0;
/// Longest wait for a stream, as a multiple of its aim: callers leave after four.
const STREAM_AIMS_WAITED: f64 = 2.4;
/// Least and most that a refused caller is told to stay away.
const RETRY_AFTER_S: (f64, f64) = (0.5, 6.0);

/// One waiting request.
#[derive(Clone, Copy, Debug)]
pub struct WaitRecord {
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Order of arrival on this VM.
    pub order: u64,
    /// When it is given up.
    pub until: time::Instant,
    /// Started later, its answer is late.
    pub on_time_until: time::Instant,
    /// Memory that is planned for it; 0 for calls.
    pub tokens: u64,
}

impl WaitRecord {
    /// Whether it can still be on time.
    #[must_use]
    pub fn is_on_time(&self, now: time::Instant) -> bool {
        now <= self.on_time_until
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

    /// Memory planned for those that wait and can still be on time.
    #[must_use]
    pub fn waiting_tokens(&self, now: time::Instant) -> u64 {
        let on_time = self
            .waiting
            .values()
            .filter(|record| record.is_on_time(now));
        on_time.map(|record| record.tokens).sum()
    }

    /// Requests that wait and go before one of rank `priority` that comes now.
    #[must_use]
    pub fn ahead(&self, priority: u8) -> usize {
        self.waiting
            .values()
            .filter(|record| record.priority <= priority)
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
    pub fn expected_wait(&self, priority: u8, now: time::Instant) -> time::Duration {
        let recent = self
            .starts
            .iter()
            .filter(|&&at| now.saturating_duration_since(at) <= PACE_SPAN)
            .count();
        let pace = (recent as f64).max(1.0) / PACE_SPAN.as_secs_f64();
        time::Duration::from_secs_f64((self.ahead(priority) as f64 + 0.5) / pace)
    }

    /// Whether a request that comes now should be refused at once.
    #[must_use]
    pub fn is_hopeless(&self, priority: u8, patience: time::Duration, now: time::Instant) -> bool {
        let late = self.expected_wait(priority, now) > patience;
        self.waiting.len() >= MOST_WAITING || (late && self.ahead(priority) > 0)
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
    /// time. In lasting overload a plain queue would make every answer late.
    #[must_use]
    pub fn in_order(&self, now: time::Instant) -> Vec<WaitKey> {
        let rank = |record: &WaitRecord| (!record.is_on_time(now), record.priority, record.order);
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
    let (least, most) = RETRY_AFTER_S;
    // Callers honour up to a third of what they have left; beyond it they come when they like.
    let most = most.min(left.as_secs_f64() * 0.3).max(0.1);
    let middle = wait.as_secs_f64().clamp(least.min(most), most);
    time::Duration::from_secs_f64((middle * (0.7 + 0.6 * draw)).min(most))
}

/// Part of an aim that a generation needs between its start and its first event.
const START_PART: f64 = 0.3;

/// How long after its arrival a request can start and still be on time.
#[must_use]
pub fn time_to_start(aim: time::Duration) -> time::Duration {
    aim.mul_f64(1.0 - START_PART)
}

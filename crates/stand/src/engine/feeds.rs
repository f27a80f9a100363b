//! Load reports and cache events of an engine, delivered late and with losses.

use std::{collections, time};

use super::{call, pool, profile};
use crate::draw;

/// Maximum number of cache events kept for readers; readers see older ones as a gap.
const MAX_CACHE_EVENTS: usize = 20_000;

/// Load reports recorded at a fixed interval and published after a lag.
#[derive(Clone, Debug)]
pub struct LoadHistory {
    every: time::Duration,
    lag: time::Duration,
    next_at: time::Duration,
    /// Reports, oldest first; never empty after the first `observe`. The first one is the newest
    /// report old enough to be published, or no report is old enough yet.
    reports: collections::VecDeque<(time::Duration, call::LoadReport)>,
}

impl LoadHistory {
    /// Creates a history whose first report is due at `now`.
    #[must_use]
    pub fn new(profile: &profile::EngineProfile, now: time::Duration) -> Self {
        let every = time::Duration::from_millis(profile.load_every_ms.max(1));
        Self {
            every,
            lag: time::Duration::from_millis(profile.load_lag_ms),
            next_at: now,
            reports: collections::VecDeque::new(),
        }
    }

    /// Returns whether a report is due.
    #[must_use]
    pub fn is_due(&self, now: time::Duration) -> bool {
        now >= self.next_at
    }

    /// Records the reports due up to `now`; `report` is the state since the last one.
    pub fn observe(&mut self, now: time::Duration, report: call::LoadReport) {
        let periods = now.saturating_sub(self.next_at).as_nanos() / self.every.as_nanos();
        let last_at = self.next_at + self.every * periods as u32;
        self.reports.push_back((self.next_at, report.clone()));
        if last_at > self.next_at {
            self.reports.push_back((last_at, report));
        }
        self.next_at = last_at + self.every;
        while self.reports.len() > 1 && self.reports[1].0 + self.lag <= now {
            self.reports.pop_front();
        }
    }

    /// Returns the newest report that is at least as old as the lag, with its age.
    #[must_use]
    pub fn newest(&self, now: time::Duration) -> call::LoadReport {
        let old_enough = now.saturating_sub(self.lag);
        let later = self.reports.partition_point(|entry| entry.0 <= old_enough);
        let found = later.saturating_sub(1);
        let &(mut at, ref report) = &self.reports[found];
        if let Some((next_at, _)) = self.reports.get(found + 1) {
            // Reports omitted between two stored ones are equal to the earlier one.
            let newest = old_enough.min(*next_at - self.every).saturating_sub(at);
            let periods = newest.as_nanos() / self.every.as_nanos();
            at += self.every * periods as u32;
        }
        call::LoadReport {
            taken_ms_ago: now.saturating_sub(at).as_millis() as u64,
            ..report.clone()
        }
    }
}

/// Kind of a cache event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The prefix was added to the cache.
    Stored,
    /// The prefix was evicted from the cache.
    Evicted,
}

/// One event of `GET /v1/cache-events`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct CacheEvent {
    /// Sequence number, from 1; a missing number means a lost event.
    pub seq: u64,
    /// Time of the event on the engine's clock.
    pub at_ms: u64,
    /// Kind of the event.
    pub kind: CacheEventKind,
    /// Hash of the prefix, see `base::prefix`.
    pub prefix_hash: u64,
    /// Tokens that the prefix covers.
    pub tokens: u32,
}

/// Answer of `GET /v1/cache-events`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct CachePage {
    /// Events with numbers above the requested one.
    pub events: Vec<CacheEvent>,
    /// Number to pass in the next request.
    pub next: u64,
}

/// Cache events that readers can fetch after a lag.
#[derive(Clone, Debug)]
pub struct CacheFeed {
    lag: time::Duration,
    gap_chance: f64,
    seed: u64,
    block_tokens: u32,
    last_seq: u64,
    events: collections::VecDeque<CacheEvent>,
}

impl CacheFeed {
    /// Creates an empty feed.
    #[must_use]
    pub fn new(profile: &profile::EngineProfile) -> Self {
        Self {
            lag: time::Duration::from_millis(profile.cache_lag_ms),
            gap_chance: profile.cache_gap_chance,
            seed: draw::bits(profile.seed, 1),
            block_tokens: profile.block_tokens,
            last_seq: 0,
            events: collections::VecDeque::new(),
        }
    }

    /// Records the changes at `now`; drops some of them at random.
    pub fn push(&mut self, now: time::Duration, changes: Vec<pool::PoolChange>) {
        for change in changes {
            self.last_seq += 1;
            if draw::unit(self.seed, self.last_seq) < self.gap_chance {
                continue;
            }
            let kind = if change.stored {
                CacheEventKind::Stored
            } else {
                CacheEventKind::Evicted
            };
            self.events.push_back(CacheEvent {
                seq: self.last_seq,
                at_ms: now.as_millis() as u64,
                kind,
                prefix_hash: change.hash,
                tokens: change.depth * self.block_tokens,
            });
            if self.events.len() > MAX_CACHE_EVENTS {
                self.events.pop_front();
            }
        }
    }

    /// Returns at most `max` events above `after` that are at least as old as the lag.
    #[must_use]
    pub fn page(&self, now: time::Duration, after: u64, max: usize) -> CachePage {
        let visible_ms = now.saturating_sub(self.lag).as_millis() as u64;
        let old_enough = |event: &&CacheEvent| event.at_ms <= visible_ms;
        let start = self.events.partition_point(|event| event.seq <= after);
        let newer = self.events.range(start..);
        let events: Vec<CacheEvent> = newer.take_while(old_enough).take(max).cloned().collect();
        let next = events.last().map_or(after, |event| event.seq);
        CachePage { events, next }
    }
}

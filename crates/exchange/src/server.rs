//! One backend server as this VM believes it to be.

use std::net;

use tokio::time;

use crate::update;

/// Half-life of what failures say against a server: grey and dark servers are tried again after
/// about three of these.
const FAILURE_HALF_LIFE_S: f64 = 2.5;
/// What one outcome moves a server's failure rate by.
const FAILURE_WEIGHT: f64 = 0.25;
/// What a generation that broke off before its first byte moves it by. It may have run, so nobody
/// may send it again: one such loss is enough to look elsewhere.
const BROKEN_WEIGHT: f64 = 0.5;
/// Failure rate below which a server is as good as any other.
const DOUBT_LEAST: f64 = 0.01;
/// Failure rate from which on a server gets no generations.
const FAILING_RATE: f64 = 0.4;
/// What one answer moves a server's believed latency by.
const LATENCY_WEIGHT: f64 = 0.15;
/// How long a connection may carry a call that can't be repeated: see [`crate::port::ReuseRule::FRESH`].
const WARM_FOR: time::Duration = time::Duration::from_millis(1_300);

/// Whether a server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerStanding {
    /// It does.
    Ready,
    /// It finishes what it has, and then goes.
    Leaving,
    /// Its entry is gone; it may serve what it has for a while.
    Gone,
}

/// One incarnation of a backend server.
#[derive(Clone, Debug)]
pub struct ServerRecord {
    /// Name of the server; a later incarnation may have the same.
    pub id: String,
    /// Which incarnation it is.
    pub born: update::StartTime,
    /// Whether a later incarnation has its name: whatever was kept there is gone.
    pub superseded: bool,
    /// Service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Whether it takes new work.
    pub standing: ServerStanding,
    /// Since when it has this standing.
    pub since: time::Instant,
    /// Slow until then.
    pub cold_until: time::Instant,
    /// Position of the newest news that made this record.
    pub offset: u64,
    /// When this VM first heard of it: nothing that it has from it is older.
    pub known_since: time::Instant,
    /// Position of the newest word that its name has no entry, whichever incarnation had it; 0: none.
    pub(crate) ended_offset: u64,
    /// Whether any word of this incarnation said that it leaves.
    pub(crate) told_leaving: bool,
    /// Present while its entry's lapse may be the store's doing.
    pub spared_until: Option<time::Instant>,
    /// Part of recent tries that failed, at `judged_at`.
    failure_rate: f64,
    /// It said that it has no room; not asked again until then.
    full_until: Option<time::Instant>,
    /// When this VM last sent something there.
    used_at: Option<time::Instant>,
    /// When `failure_rate` was last worked out.
    judged_at: time::Instant,
    /// Believed latency of a call in milliseconds; zero: nothing known.
    latency_ms: f64,
}

impl ServerRecord {
    /// A server that was not known before.
    #[must_use]
    pub fn new(id: &str, offset: u64, entry: &update::ServerEntry, now: time::Instant) -> Self {
        let standing = if entry.leaving {
            ServerStanding::Leaving
        } else {
            ServerStanding::Ready
        };
        Self {
            id: id.to_owned(),
            born: entry.started_at,
            superseded: false,
            service: entry.service.clone(),
            address: entry.address,
            domain: entry.domain.clone(),
            slots: entry.slots,
            standing,
            since: now,
            cold_until: now + entry.cold,
            offset,
            known_since: now,
            ended_offset: 0,
            told_leaving: entry.leaving,
            spared_until: None,
            failure_rate: 0.0,
            full_until: None,
            used_at: None,
            judged_at: now,
            latency_ms: 0.0,
        }
    }

    /// Takes a word on this incarnation, or that its name has no entry. Says how it stands then.
    ///
    /// Which of two words is newer is the store's order. That an incarnation leaves is never unlearnt,
    /// however its words overtake each other: a heartbeat from before it may be written seconds late.
    pub(crate) fn take_word(&mut self, news: &update::ServerUpdate) -> ServerStanding {
        let leaving = news.entry.as_ref().is_some_and(|entry| entry.leaving);
        self.told_leaving |= leaving && self.born.is_known();
        if news.entry.is_none() {
            self.ended_offset = self.ended_offset.max(news.offset);
        }
        if news.offset <= self.offset {
            return match self.standing {
                ServerStanding::Ready if self.told_leaving => ServerStanding::Leaving,
                standing => standing,
            };
        }
        self.offset = news.offset;
        let Some(entry) = &news.entry else {
            return ServerStanding::Gone;
        };
        self.slots = entry.slots;
        self.address = entry.address;
        // A name without incarnations may be used again once its entry was gone.
        let left = if self.born.is_known() {
            self.told_leaving
        } else {
            leaving || self.standing == ServerStanding::Leaving
        };
        if left {
            ServerStanding::Leaving
        } else {
            ServerStanding::Ready
        }
    }

    /// Its name was already known to have had no entry at `offset`.
    pub(crate) const fn end_at(&mut self, offset: u64) {
        self.ended_offset = offset;
        if offset > self.offset {
            self.offset = offset;
            self.standing = ServerStanding::Gone;
        }
    }

    /// Hash by which other VMs name this incarnation.
    #[must_use]
    pub fn name_hash(&self) -> u32 {
        self.incarnation_hash() as u32
    }

    /// Hash of the incarnation.
    #[must_use]
    pub fn incarnation_hash(&self) -> u64 {
        incarnation_hash(&self.id, self.born)
    }

    /// This VM sent something there.
    pub const fn note_used(&mut self, at: time::Instant) {
        self.used_at = Some(at);
    }

    /// It said that it has no room, and is not asked again until then.
    pub const fn note_full(&mut self, until: time::Instant) {
        self.full_until = Some(until);
    }

    /// What is learnt from how a try ended there.
    pub fn judge(&mut self, verdict: ServerVerdict, now: time::Instant) {
        let weight = match verdict {
            ServerVerdict::BrokeOff => BROKEN_WEIGHT,
            _ => FAILURE_WEIGHT,
        };
        let rate = self.failure_rate(now);
        self.failure_rate = rate + (verdict.sample() - rate) * weight;
        self.judged_at = now;
        if let ServerVerdict::Good(latency) = verdict {
            let latency = latency.as_secs_f64() * 1_000.0;
            self.latency_ms = if self.latency_ms == 0.0 {
                latency
            } else {
                self.latency_ms + (latency - self.latency_ms) * LATENCY_WEIGHT
            };
        }
    }

    /// Whether new work may go there.
    #[must_use]
    pub fn takes_work(&self, now: time::Instant) -> bool {
        match self.standing {
            ServerStanding::Ready => true,
            ServerStanding::Leaving => false,
            ServerStanding::Gone => self.spared_until.is_some_and(|until| now < until),
        }
    }

    /// Whether the store has an entry of it, as far as is known.
    #[must_use]
    pub fn is_listed(&self) -> bool {
        self.standing != ServerStanding::Gone
    }

    /// Whether this VM probably has a connection there that may still be used.
    #[must_use]
    pub fn is_warm(&self, now: time::Instant) -> bool {
        self.used_at
            .is_some_and(|at| now.saturating_duration_since(at) < WARM_FOR)
    }

    /// Whether it said a moment ago that it has no room.
    #[must_use]
    pub fn is_full(&self, now: time::Instant) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }

    /// Part of recent tries that failed, fading with time.
    #[must_use]
    pub fn failure_rate(&self, now: time::Instant) -> f64 {
        let age = now.saturating_duration_since(self.judged_at).as_secs_f64();
        self.failure_rate * 0.5_f64.powf(age / FAILURE_HALF_LIFE_S)
    }

    /// Whether what failed there still counts for anything.
    #[must_use]
    pub fn is_doubted(&self, now: time::Instant) -> bool {
        self.failure_rate(now) > DOUBT_LEAST
    }

    /// Whether this VM alone would send no generations there.
    #[must_use]
    pub fn fails_here(&self, now: time::Instant) -> bool {
        self.failure_rate(now) >= FAILING_RATE
    }

    /// The newest word on it, for other VMs.
    #[must_use]
    pub fn news(&self) -> update::ServerUpdate {
        let entry = update::ServerEntry {
            started_at: self.born,
            service: self.service.clone(),
            address: self.address,
            domain: self.domain.clone(),
            slots: self.slots,
            leaving: self.standing == ServerStanding::Leaving,
            cold: time::Duration::ZERO,
        };
        let gone = self.standing == ServerStanding::Gone;
        update::ServerUpdate {
            id: self.id.clone(),
            offset: self.offset,
            entry: (!gone).then_some(entry),
        }
    }

    /// Believed latency of a call there.
    #[must_use]
    pub const fn latency_ms(&self) -> f64 {
        self.latency_ms
    }
}

/// Hash of an incarnation of a server.
#[must_use]
pub fn incarnation_hash(id: &str, born: update::StartTime) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(id.as_bytes(), born.millis())
}

/// How a try ended, as far as it speaks of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerVerdict {
    /// It answered.
    Good(time::Duration),
    /// It answered with an error of its own.
    Erred,
    /// It turned the try away.
    Refused,
    /// It broke off, stayed silent or sent garbage.
    Failed,
    /// It broke off a generation of which nothing had come yet.
    BrokeOff,
}

impl ServerVerdict {
    /// What it says of the server, from 0 for good to 1 for bad.
    const fn sample(self) -> f64 {
        match self {
            Self::Good(_) => 0.0,
            Self::Erred => 0.5,
            Self::Refused | Self::Failed | Self::BrokeOff => 1.0,
        }
    }

    /// Whether it speaks against the server.
    #[must_use]
    pub const fn is_bad(self) -> bool {
        !matches!(self, Self::Good(_))
    }
}

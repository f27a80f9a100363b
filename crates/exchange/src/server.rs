//! State of one backend server as known to this VM.

use std::net;

use tokio::time;

use crate::{cold, limits, position, update};

/// Half-life of a server's failure rate: a server that failed or stopped responding gets attempts
/// again after about three half-lives.
const FAILURE_HALF_LIFE_S: f64 = 2.5;
/// Weight of one outcome in a server's failure rate.
const FAILURE_WEIGHT: f64 = 0.25;
/// Weight of a generation that broke off before its first byte. It may have run, so nobody may send
/// it again: a single such loss is enough to avoid the server.
const BROKE_OFF_WEIGHT: f64 = 0.5;
/// Failure rate below which a server counts as healthy.
const HEALTHY_FAILURE_RATE: f64 = 0.01;
/// Failure rate from which a server gets no generations.
const MIN_FAILING_RATE: f64 = 0.4;
/// Weight of one response in a server's latency estimate.
const LATENCY_WEIGHT: f64 = 0.15;
/// How long a connection may carry a call that must not be repeated: see
/// [`crate::port::ReuseRule::FRESH`].
const WARM_TIMEOUT: time::Duration = time::Duration::from_millis(1_300);

/// Longest rest that a server is granted: a longer one is more likely a wrong value, and the next
/// answer states it again.
const MAX_REST: time::Duration = time::Duration::from_secs(300);

/// Shortest and longest pause after a brittle server has turned this VM away.
const MIN_TURNED_AWAY_PAUSE: time::Duration = time::Duration::from_secs(1);
const MAX_TURNED_AWAY_PAUSE: time::Duration = time::Duration::from_secs(30);

/// Number of earlier eras of the store of which a position is kept.
const MAX_EARLIER_ERAS: usize = 4;

/// Whether a server accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerStanding {
    /// The server accepts new work.
    Ready,
    /// The server finishes its running work and then stops.
    Leaving,
    /// The entry of the server was removed; it may finish running work for a while.
    Gone,
}

/// One incarnation of a backend server.
#[derive(Clone, Debug)]
pub struct ServerRecord {
    /// Name of the server; incarnations of a server share it.
    pub id: String,
    /// Start time, which identifies the incarnation.
    pub started_at: update::StartTime,
    /// Whether a later incarnation uses the name; copies kept by this one are lost.
    pub superseded: bool,
    /// Service that the server belongs to.
    pub service: String,
    /// Address that the server listens on.
    pub address: net::SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Max concurrent requests.
    pub slots: u32,
    /// Whether the server accepts new work.
    pub standing: ServerStanding,
    /// When `standing` last changed.
    pub since: time::Instant,
    /// End of the warm-up.
    pub cold_until: time::Instant,
    /// Share of this VM until then.
    pub cold: cold::ColdState,
    /// Log position of the newest update applied to this record.
    pub position: position::StorePosition,
    /// When this VM first learnt of the incarnation; connections to it are never older.
    pub known_since: time::Instant,
    /// Log position of the newest removal of the name, for any incarnation; the first one if there
    /// was none.
    pub(crate) removed_at: position::StorePosition,
    /// Newest position known in each of the last earlier eras of the store, oldest first.
    earlier: Vec<position::StorePosition>,
    /// Until then the server gets no work, though the store lists it again: this VM knows of a
    /// removal that the store has lost. If the entry is still listed then, the server runs.
    pub(crate) distrusted_until: Option<time::Instant>,
    /// Whether any update of this incarnation announced that it leaves.
    pub(crate) announced_leaving: bool,
    /// End of the grace period while the entry's expiry may be due to an outage of the store.
    pub lapse_grace_until: Option<time::Instant>,
    /// Fraction of recent attempts that failed, as of `failure_rate_at`.
    failure_rate: f64,
    /// The server reported that it is full, and gets no requests until then.
    full_until: Option<time::Instant>,
    /// Whether the server itself has said that this incarnation leaves.
    pub(crate) said_leaving: bool,
    /// The server asked this VM to send nothing until then.
    rest_until: Option<time::Instant>,
    /// Limit on requests that the server states.
    pub limit: limits::ServerLimit,
    /// Number of requests that the server can turn away for want of room without falling over.
    pub brittle: limits::ServerLimit,
    /// When this VM last sent an attempt to the server.
    used_at: Option<time::Instant>,
    /// When `failure_rate` was last updated.
    failure_rate_at: time::Instant,
    /// Estimated latency of a call in milliseconds; zero while unknown.
    latency_ms: f64,
}

impl ServerRecord {
    /// Creates the record of a newly discovered server.
    #[must_use]
    pub fn new(
        id: &str,
        position: position::StorePosition,
        entry: &update::ServerEntry,
        now: time::Instant,
    ) -> Self {
        let standing = if entry.leaving || entry.said_leaving {
            ServerStanding::Leaving
        } else {
            ServerStanding::Ready
        };
        Self {
            id: id.to_owned(),
            started_at: entry.started_at,
            superseded: false,
            service: entry.service.clone(),
            address: entry.address,
            domain: entry.domain.clone(),
            slots: entry.slots,
            standing,
            since: now,
            cold_until: now + entry.cold.min(cold::MAX_COLD),
            cold: cold::ColdState::default(),
            position,
            known_since: now,
            removed_at: position::StorePosition::default(),
            earlier: Vec::new(),
            distrusted_until: None,
            announced_leaving: entry.leaving,
            lapse_grace_until: None,
            failure_rate: 0.0,
            full_until: None,
            said_leaving: entry.said_leaving,
            rest_until: None,
            limit: limits::ServerLimit::default(),
            brittle: limits::ServerLimit::default(),
            used_at: None,
            failure_rate_at: now,
            latency_ms: 0.0,
        }
    }

    /// Applies an update of this incarnation, or the removal of its name. Returns the resulting
    /// standing.
    ///
    /// The store's order decides which of two updates is newer. The announcement that an
    /// incarnation leaves is never undone, in whatever order updates arrive: a heartbeat sent
    /// before it may be written seconds later. The same holds for what the server itself said, also
    /// where its entry expires and comes back without a start time.
    ///
    /// `settles_at` is set while entries may come from an older copy of the store.
    pub(crate) fn apply_update(
        &mut self,
        update: &update::ServerUpdate,
        settles_at: Option<time::Instant>,
    ) -> ServerStanding {
        let leaving = update.entry.as_ref().is_some_and(|entry| entry.leaving);
        let said = update
            .entry
            .as_ref()
            .is_some_and(|entry| entry.said_leaving);
        self.said_leaving |= said;
        self.announced_leaving |= leaving && self.started_at.is_known();
        if update.entry.is_none() {
            self.removed_at = self.removed_at.max(update.position);
        }
        let later_era = update.position.era > self.position.era;
        if update.position.era < self.position.era {
            return self.apply_earlier_era(update, settles_at);
        }
        if update.position <= self.position {
            // Another VM may know that the server of an entry in the copy leaves.
            return self.standing_unless_leaving(leaving && update.position == self.position);
        }
        if later_era {
            self.remember(self.position);
        }
        self.position = update.position;
        let Some(entry) = &update.entry else {
            self.distrusted_until = None;
            return ServerStanding::Gone;
        };
        self.slots = entry.slots;
        self.address = entry.address;
        let removed = self.standing == ServerStanding::Gone
            && self.lapse_grace_until.is_none()
            && !self.removed_at.is_era_start();
        if removed && later_era && settles_at.is_some() {
            self.distrusted_until = settles_at;
        }
        if self.distrusted_until.is_some() {
            return ServerStanding::Gone;
        }
        // A name without incarnations may be used again after its entry was removed.
        let left = if self.started_at.is_known() {
            self.announced_leaving
        } else {
            leaving || self.standing == ServerStanding::Leaving
        };
        if left || self.said_leaving {
            ServerStanding::Leaving
        } else {
            ServerStanding::Ready
        }
    }

    /// Applies an update of an earlier era than the entry. While the entry may come from an older
    /// copy, what this VM did not know of the earlier era is newer.
    fn apply_earlier_era(
        &mut self,
        update: &update::ServerUpdate,
        settles_at: Option<time::Instant>,
    ) -> ServerStanding {
        let mut known = self.earlier.iter();
        let known = known.find(|known| known.era == update.position.era);
        let is_news = known.is_none_or(|known| *known < update.position);
        if settles_at.is_none() || !is_news {
            return self.standing_unless_leaving(false);
        }
        self.remember(update.position);
        match &update.entry {
            Some(entry) => self.standing_unless_leaving(entry.leaving),
            None => {
                if self.standing != ServerStanding::Gone {
                    self.distrusted_until = settles_at;
                }
                ServerStanding::Gone
            }
        }
    }

    /// The standing, unless the server is ready and known to leave.
    const fn standing_unless_leaving(&self, leaving: bool) -> ServerStanding {
        match self.standing {
            ServerStanding::Ready if leaving || self.announced_leaving || self.said_leaving => {
                ServerStanding::Leaving
            }
            standing => standing,
        }
    }

    /// Remembers the newest position in an earlier era.
    fn remember(&mut self, position: position::StorePosition) {
        self.earlier.retain(|known| known.era != position.era);
        if self.earlier.len() >= MAX_EARLIER_ERAS {
            self.earlier.remove(0);
        }
        self.earlier.push(position);
        self.earlier.sort_unstable();
    }

    /// Standing of a server that the store still lists once it has settled.
    pub(crate) const fn standing_when_settled(&self) -> ServerStanding {
        if self.announced_leaving || self.said_leaving {
            ServerStanding::Leaving
        } else {
            ServerStanding::Ready
        }
    }

    /// Records that the name is already known to have had no entry at a position.
    pub(crate) fn record_removal(&mut self, removed_at: position::StorePosition) {
        self.removed_at = removed_at;
        if removed_at > self.position {
            self.position = removed_at;
            self.standing = ServerStanding::Gone;
        }
    }

    /// Short hash that identifies this incarnation in messages between VMs.
    #[must_use]
    pub fn name_hash(&self) -> u32 {
        self.incarnation_hash() as u32
    }

    /// Hash of name and start time.
    #[must_use]
    pub fn incarnation_hash(&self) -> u64 {
        incarnation_hash(&self.id, self.started_at)
    }

    /// Records that this VM sent an attempt to the server.
    pub const fn mark_used(&mut self, at: time::Instant) {
        self.used_at = Some(at);
    }

    /// Records that the server is full; it gets no requests before `until`.
    pub const fn mark_full(&mut self, until: time::Instant) {
        self.full_until = Some(until);
    }

    /// Records that the server asked this VM to send nothing for a while. A rest that ends later
    /// stays.
    pub fn rest(&mut self, rest: time::Duration, now: time::Instant) {
        let until = now + rest.min(MAX_REST);
        self.rest_until = self.rest_until.max(Some(until));
    }

    /// Updates failure rate and latency with the outcome of an attempt.
    pub fn record_outcome(&mut self, verdict: ServerVerdict, now: time::Instant) {
        let weight = match verdict {
            ServerVerdict::BrokeOff => BROKE_OFF_WEIGHT,
            _ => FAILURE_WEIGHT,
        };
        let rate = self.failure_rate(now);
        self.failure_rate = rate + (verdict.sample() - rate) * weight;
        self.failure_rate_at = now;
        if let ServerVerdict::Good(latency) = verdict {
            let latency = latency.as_secs_f64() * 1_000.0;
            self.latency_ms = if self.latency_ms == 0.0 {
                latency
            } else {
                self.latency_ms + (latency - self.latency_ms) * LATENCY_WEIGHT
            };
        }
    }

    /// Returns whether the server has an entry, or accepts new work without one.
    #[must_use]
    pub fn is_in_use(&self, now: time::Instant) -> bool {
        self.is_listed() || self.takes_work(now)
    }

    /// Returns whether the server accepts new work.
    #[must_use]
    pub fn takes_work(&self, now: time::Instant) -> bool {
        if self.said_leaving {
            return false;
        }
        match self.standing {
            ServerStanding::Ready => true,
            ServerStanding::Leaving => false,
            ServerStanding::Gone => self.lapse_grace_until.is_some_and(|until| now < until),
        }
    }

    /// Returns whether the store has an entry of the server, as far as this VM knows.
    #[must_use]
    pub fn is_listed(&self) -> bool {
        self.standing != ServerStanding::Gone
    }

    /// Returns whether this VM probably has an open connection to the server.
    #[must_use]
    pub fn is_warm(&self, now: time::Instant) -> bool {
        self.used_at
            .is_some_and(|at| now.saturating_duration_since(at) < WARM_TIMEOUT)
    }

    /// When this VM may send the next request of any kind: after the rest that the server asked for,
    /// within its limit, and not more than it tolerates while it is cold. `None` if this VM has no
    /// share of the limit.
    #[must_use]
    pub fn next_request(&self, now: time::Instant) -> Option<time::Instant> {
        let at = self.limit.next_request(now)?.max(self.next_when_cold(now));
        Some(self.rest_until.map_or(at, |until| until.max(at)))
    }

    /// Time between two requests of this VM; `None` if the server takes any number.
    #[must_use]
    pub fn request_interval(&self, now: time::Instant) -> Option<time::Duration> {
        self.limit.interval(now).max(self.cold_interval(now))
    }

    /// When the server takes any number of requests, since its warm-up is over; `None` if it states a
    /// limit, wants none, or is not cold.
    #[must_use]
    pub fn unlimited_from(&self, now: time::Instant) -> Option<time::Instant> {
        let rests = self.rest_until.is_some_and(|until| now < until);
        let is_known = self.is_cold_limited(now) && self.limit.per_second(now).is_none() && !rests;
        is_known.then_some(self.cold_until)
    }

    /// Returns whether this VM may send a request of any kind now.
    #[must_use]
    pub fn allows_request(&self, now: time::Instant) -> bool {
        self.next_request(now).is_some_and(|at| at <= now)
    }

    /// Returns whether the server limits requests or wants none, so that requests which serve only
    /// to plan ahead or to clean up are left out.
    #[must_use]
    pub fn is_restricted(&self, now: time::Instant) -> bool {
        let rests = self.rest_until.is_some_and(|until| now < until);
        rests || self.is_limited(now)
    }

    /// Returns whether the server states a limit on requests, or gets a limited number while it is
    /// cold.
    #[must_use]
    pub fn is_limited(&self, now: time::Instant) -> bool {
        self.limit.per_second(now).is_some() || self.is_cold_limited(now)
    }

    /// Returns whether the server falls over if it has to turn too many requests away.
    #[must_use]
    pub fn is_brittle(&self, now: time::Instant) -> bool {
        self.brittle.per_second(now).is_some()
    }

    /// How long this VM must not send to a brittle server that turned it away, so that all of `vms`
    /// together are not turned away more often than the server can bear; `None` for other servers.
    #[must_use]
    pub fn turned_away_pause(&self, vms: usize, now: time::Instant) -> Option<time::Duration> {
        let per_second = self.brittle.per_second(now)?;
        let pause = time::Duration::try_from_secs_f64(vms as f64 / per_second);
        let pause = pause.unwrap_or(MAX_TURNED_AWAY_PAUSE);
        Some(pause.clamp(MIN_TURNED_AWAY_PAUSE, MAX_TURNED_AWAY_PAUSE))
    }

    /// Returns whether the server recently reported that it is full.
    #[must_use]
    pub fn is_full(&self, now: time::Instant) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }

    /// Fraction of recent attempts that failed, decaying over time.
    #[must_use]
    pub fn failure_rate(&self, now: time::Instant) -> f64 {
        let age = now
            .saturating_duration_since(self.failure_rate_at)
            .as_secs_f64();
        self.failure_rate * 0.5_f64.powf(age / FAILURE_HALF_LIFE_S)
    }

    /// Returns whether past failures still count against the server.
    #[must_use]
    pub fn has_recent_failures(&self, now: time::Instant) -> bool {
        self.failure_rate(now) > HEALTHY_FAILURE_RATE
    }

    /// Returns whether this VM's own attempts show that the server fails.
    #[must_use]
    pub fn is_failing_locally(&self, now: time::Instant) -> bool {
        self.failure_rate(now) >= MIN_FAILING_RATE
    }

    /// The newest update on the server, for other VMs.
    #[must_use]
    pub fn update(&self) -> update::ServerUpdate {
        let entry = update::ServerEntry {
            started_at: self.started_at,
            service: self.service.clone(),
            address: self.address,
            domain: self.domain.clone(),
            slots: self.slots,
            leaving: self.standing == ServerStanding::Leaving,
            said_leaving: self.said_leaving,
            cold: time::Duration::ZERO,
        };
        let gone = self.standing == ServerStanding::Gone;
        let position = if self.distrusted_until.is_some() {
            self.removed_at
        } else {
            self.position
        };
        update::ServerUpdate {
            id: self.id.clone(),
            position,
            entry: (!gone).then_some(entry),
        }
    }

    /// Estimated latency of a call in milliseconds; zero while unknown.
    #[must_use]
    pub const fn latency_ms(&self) -> f64 {
        self.latency_ms
    }
}

/// Hash of the name and the start time of an incarnation.
#[must_use]
pub fn incarnation_hash(id: &str, started_at: update::StartTime) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(id.as_bytes(), started_at.millis())
}

/// Outcome of an attempt as it counts for its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerVerdict {
    /// The server responded after this time.
    Good(time::Duration),
    /// The server responded with an error status.
    Erred,
    /// The server rejected the attempt.
    Refused,
    /// The server broke off, did not respond in time or sent an invalid response.
    Failed,
    /// The server broke off a generation before its first byte.
    BrokeOff,
}

impl ServerVerdict {
    /// Sample for the failure rate, from 0 for success to 1 for failure.
    const fn sample(self) -> f64 {
        match self {
            Self::Good(_) => 0.0,
            Self::Erred => 0.5,
            Self::Refused | Self::Failed | Self::BrokeOff => 1.0,
        }
    }

    /// Returns whether the outcome counts against the server.
    #[must_use]
    pub const fn is_bad(self) -> bool {
        !matches!(self, Self::Good(_))
    }
}

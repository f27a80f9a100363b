//! Limits on requests to cold engines.
//!
//! Load pattern: an engine that has just started, or whose memory was cleared, tolerates a few dozen
//! requests per second from all VMs together and crashes well above that. Being empty, it is the
//! cheapest choice of all VMs at the same moment. Its requests per second are therefore dealt out to
//! the VMs like those of a limit that a server states: see [`limits`].
//!
//! Each VM keeps to its share from the moment at which it knows of the engine, whatever the others
//! know. Engines state in answers that they are cold, and only one VM gets each answer, so VMs tell
//! each other. What they heard from another VM they do not pass on: the time left would otherwise
//! grow by the delay of each datagram, and an engine would stay cold for as long as VMs repeat it.

use std::collections;

use tokio::time;

use crate::{fleet, limits, message, server, state, update};

/// Window in which the requests of one second are sent. It is longer than the second, because
/// requests that are sent a second apart may arrive closer together.
const WINDOW: time::Duration = time::Duration::from_millis(1_100);
/// Longest time for which a statement is believed: engines warm up within seconds, and the next
/// answer or entry states it again.
pub const MAX_COLD: time::Duration = time::Duration::from_secs(60);
/// Difference up to which two statements mean the same end: they were made at different times and
/// took different paths.
const TOLERANCE: time::Duration = time::Duration::from_millis(250);
/// Time for which a change is repeated to other VMs.
const REPEAT_TIME: time::Duration = time::Duration::from_secs(3);
/// Maximum number of cold engines in one datagram, of up to 16 bytes each.
pub const MAX_ITEMS_PER_DATAGRAM: usize = 16;

/// Requests per second that cold engines may get from all VMs together, relative to what they
/// tolerate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRule {
    /// Factor on the rate that the service tolerates.
    pub overshoot: f64,
    /// Number of requests in any second beyond that.
    pub slack: f64,
}

impl Default for ColdRule {
    fn default() -> Self {
        Self {
            overshoot: 1.0,
            slack: 0.0,
        }
    }
}

impl ColdRule {
    /// Requests per second that the VMs plan for an engine which tolerates `per_second`. What the
    /// bound allows beyond that is left for requests that cross the news that the engine is cold.
    #[must_use]
    pub fn allowance(&self, per_second: f64) -> f64 {
        per_second.min(per_second * self.overshoot + self.slack)
    }
}

/// Where a statement that an engine is cold comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdSource {
    /// An answer of the engine to a request that was sent at this time.
    Answer(time::Instant),
    /// The entry of the engine, as this VM read it from the store.
    Entry,
    /// Another VM.
    Peer,
}

impl ColdSource {
    /// The name used in logs.
    const fn name(self) -> &'static str {
        match self {
            Self::Answer(_) => "answer",
            Self::Entry => "entry",
            Self::Peer => "peer",
        }
    }
}

/// What this VM knows of the warm-up of one engine, besides its end, and its share meanwhile.
#[derive(Clone, Debug, Default)]
pub struct ColdState {
    /// When the newest answer that states the end was received.
    answered_at: Option<time::Instant>,
    /// When this VM learnt of the last change from the engine or its entry.
    changed_at: Option<time::Instant>,
    /// Share of this VM; `None` if there is no limit.
    share: Option<limits::LimitShare>,
    /// This VM counts as having spent its share until then.
    spent_until: Option<time::Instant>,
}

impl server::ServerRecord {
    /// Returns whether the engine is cold.
    #[must_use]
    pub fn is_cold(&self, now: time::Instant) -> bool {
        now < self.cold_until
    }

    /// Returns whether requests to the engine are limited because it is cold.
    #[must_use]
    pub fn is_cold_limited(&self, now: time::Instant) -> bool {
        self.is_cold(now) && self.cold.share.is_some()
    }

    /// When this VM may send the next request as far as the warm-up is concerned.
    #[must_use]
    pub fn next_when_cold(&self, now: time::Instant) -> time::Instant {
        let Some(share) = self.cold.share.filter(|_| self.is_cold(now)) else {
            return now;
        };
        let next = share.next(self.limit.sent(), 0, self.cold.spent_until, now);
        next.map_or(self.cold_until, |at| at.min(self.cold_until))
    }

    /// Time between two requests of this VM while the engine is cold; `None` if they are not
    /// limited.
    #[must_use]
    pub fn cold_interval(&self, now: time::Instant) -> Option<time::Duration> {
        let share = self.cold.share.filter(|_| self.is_cold(now));
        share.map(|share| share.interval())
    }

    /// Takes a statement that the engine is cold for `left`. Returns whether the end changed by more
    /// than the tolerance. Only a later answer of the engine itself brings the end forward: entries
    /// and datagrams may have been overtaken.
    fn take_cold(
        &mut self,
        left: time::Duration,
        source: ColdSource,
        started_at: time::Instant,
        now: time::Instant,
    ) -> bool {
        let until = now + left;
        let before = self.cold_until.max(now);
        let later = until > before + TOLERANCE;
        let answer_is_newer = match source {
            ColdSource::Answer(sent_at) => self.cold.answered_at.is_none_or(|at| at <= sent_at),
            _ => false,
        };
        let earlier = answer_is_newer && until + TOLERANCE < before;
        if let ColdSource::Answer(_) = source {
            self.cold.answered_at = Some(now);
        }
        if !later && !earlier {
            return false;
        }
        if !self.is_cold(now) {
            self.begin_cold(started_at, now);
        }
        self.cold_until = until;
        true
    }

    /// Begins a warm-up. What the process before this one sent counts until a window after the start
    /// of this VM.
    fn begin_cold(&mut self, started_at: time::Instant, now: time::Instant) {
        self.cold.spent_until = Some(now.max(started_at + WINDOW));
    }
}

/// Engines that may be cold.
#[derive(Clone, Debug, Default)]
pub struct ColdServers(collections::BTreeSet<fleet::ServerKey>);

impl ColdServers {
    /// Returns whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Removes an engine.
    pub fn remove(&mut self, key: fleet::ServerKey) {
        self.0.remove(&key);
    }
}

impl state::PlaneState {
    /// Applies an update of a server, and takes what its entry states of its warm-up.
    pub(crate) fn apply_with_warm_up(
        &mut self,
        update: &update::ServerUpdate,
        from_store: bool,
        grace_until: Option<time::Instant>,
        now: time::Instant,
    ) -> fleet::FleetChange {
        let before = self.fleet.find(&update.id);
        let position = before
            .and_then(|key| self.fleet.server(key))
            .map(|record| record.position);
        let change = self.fleet.apply_update(update, grace_until, now);
        let entry = update.entry.as_ref();
        let (Some(key), Some(entry)) = (self.fleet.find(&update.id), entry) else {
            return change;
        };
        let is_new = before != Some(key);
        let is_newer = position.is_some_and(|position| position < update.position);
        let started_at = self.fleet.server(key).map(|record| record.started_at);
        if entry.cold.is_zero() || started_at != Some(entry.started_at) || !is_new && !is_newer {
            return change;
        }
        let source = match from_store {
            true => ColdSource::Entry,
            false => ColdSource::Peer,
        };
        if is_new {
            count_if_long(entry.cold);
            self.note_cold(key, entry.cold, source, now);
        } else {
            self.learn_cold(key, entry.cold, source, now);
        }
        change
    }

    /// Takes what an engine states of its warm-up in the answer to a request that was sent at
    /// `sent_at`. Returns whether that changed anything.
    pub fn take_cold_signal(
        &mut self,
        key: fleet::ServerKey,
        left: time::Duration,
        sent_at: time::Instant,
        now: time::Instant,
    ) -> bool {
        self.learn_cold(key, left, ColdSource::Answer(sent_at), now)
    }

    /// Takes what another VM was told of an engine.
    pub fn take_cold_item(&mut self, item: &message::ColdItem, now: time::Instant) {
        let left = time::Duration::from_millis(u64::from(item.left_ms));
        if left.is_zero() {
            count_implausible("zero");
        } else if let Some(key) = self.fleet.find_incarnation(item.server) {
            self.learn_cold(key, left, ColdSource::Peer, now);
        }
    }

    /// Cold engines for other VMs: those that this VM learnt of lately from an engine or its entry,
    /// the latest first. `all` includes those that are no longer repeated.
    #[must_use]
    pub fn cold_items(&self, all: bool, now: time::Instant) -> Vec<message::ColdItem> {
        let keys = self.fleet.limited.cold.0.iter();
        let records = keys.filter_map(|&key| self.fleet.server(key));
        let mut told: Vec<_> = records
            .filter(|record| record.is_cold_limited(now))
            .filter_map(|record| Some((record.cold.changed_at?, record)))
            .filter(|(at, _)| all || now.saturating_duration_since(*at) < REPEAT_TIME)
            .collect();
        told.sort_by_key(|&(at, _)| std::cmp::Reverse(at));
        let items = told.into_iter().take(MAX_ITEMS_PER_DATAGRAM);
        let items = items.map(|(_, record)| message::ColdItem {
            server: record.incarnation_hash(),
            left_ms: millis(record.cold_until.saturating_duration_since(now)),
        });
        items.filter(|item| item.left_ms > 0).collect()
    }

    /// Computes this VM's shares of cold engines anew, and forgets those that are no longer cold.
    pub(crate) fn update_cold_shares(&mut self, view: &limits::SenderView, now: time::Instant) {
        let keys: Vec<_> = self.fleet.limited.cold.0.iter().copied().collect();
        for key in keys {
            self.update_cold_share(key, view, now);
            let record = self.fleet.server(key);
            if !record.is_some_and(|record| record.is_cold(now)) {
                self.fleet.limited.cold.remove(key);
            }
        }
    }

    /// Sets the gauge of cold engines.
    pub(crate) fn record_cold(&self, now: time::Instant) {
        let keys = self.fleet.limited.cold.0.iter();
        let records = keys.filter_map(|&key| self.fleet.server(key));
        let limited = records.filter(|record| record.is_cold_limited(now)).count();
        metrics::gauge!("pollenchute_exchange_cold_servers").set(limited as f64);
    }

    /// Takes a statement on an engine that is known already; without an effect where requests to
    /// cold engines are not limited.
    fn learn_cold(
        &mut self,
        key: fleet::ServerKey,
        left: time::Duration,
        source: ColdSource,
        now: time::Instant,
    ) -> bool {
        if self.cold_allowance(key).is_none() {
            return false;
        }
        count_if_long(left);
        let started_at = self.started_at;
        let record = self.fleet.server_mut(key);
        let changed = record
            .is_some_and(|record| record.take_cold(left.min(MAX_COLD), source, started_at, now));
        if changed {
            self.note_cold(key, left, source, now);
        }
        changed
    }

    /// Notes that an engine is cold, and computes the share of this VM.
    fn note_cold(
        &mut self,
        key: fleet::ServerKey,
        left: time::Duration,
        source: ColdSource,
        now: time::Instant,
    ) {
        let started_at = self.started_at;
        let Some(record) = self.fleet.server_mut(key) else {
            return;
        };
        if source != ColdSource::Peer {
            record.cold.changed_at = Some(now);
        }
        if record.cold.spent_until.is_none() {
            record.begin_cold(started_at, now);
        }
        self.fleet.limited.cold.0.insert(key);
        let view = self.sender_view(now);
        self.update_cold_share(key, &view, now);
        let record = self.fleet.server(key);
        if let Some(record) = record.filter(|record| record.cold.share.is_some()) {
            log::info!(
                server:% = record.id, left_ms = millis(left.min(MAX_COLD)), source:% = source.name(),
                requests:? = record.cold.share.map(|share| share.requests);
                "server is cold"
            );
        }
    }

    fn update_cold_share(
        &mut self,
        key: fleet::ServerKey,
        view: &limits::SenderView,
        now: time::Instant,
    ) {
        let allowance = self.cold_allowance(key);
        let Some(record) = self.fleet.server_mut(key) else {
            return;
        };
        let allowance = allowance.filter(|_| record.is_cold(now));
        let hash = record.incarnation_hash();
        record.cold.share =
            allowance.map(|allowance| limits::LimitShare::in_window(allowance, WINDOW, hash, view));
    }

    /// Requests per second that all VMs together plan for an engine while it is cold; `None` if they
    /// are not limited.
    fn cold_allowance(&self, key: fleet::ServerKey) -> Option<f64> {
        let record = self.fleet.server(key)?;
        let rule = self.catalog.as_ref()?.services.get(&record.service)?;
        let per_second = rule
            .cold_per_s
            .filter(|rate| rate.is_finite() && *rate > 0.0)?;
        Some(self.settings.cold.allowance(per_second))
    }
}

fn count_if_long(left: time::Duration) {
    if left > MAX_COLD {
        count_implausible("long");
    }
}

fn count_implausible(kind: &'static str) {
    metrics::counter!("pollenchute_exchange_cold_reports_implausible_total", "kind" => kind)
        .increment(1);
}

fn millis(duration: time::Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

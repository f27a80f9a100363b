//! Limits on requests that servers state in their answers.
//!
//! Load pattern: an overloaded server states how many requests per second it takes from all VMs
//! together. Each of them has sent it as much as it could, and none knows how much the others will
//! send. The requests that the server takes in one window are therefore dealt out to the VMs that
//! may send, in an order that all of them derive from the same names: the sum of all shares is the
//! limit, whether there are fewer VMs than requests or more. VMs that fell silent without
//! announcing a stop keep their share, because they may be cut off and still send.
//!
//! Each VM spends its share evenly: only an answer tells that a limit has ended, and VMs that have
//! used their shares up at once would get none until the window is over.

use std::collections;

use tokio::time;

use crate::{cold, fleet, message, port, state};

/// Window over which a limit is kept: the users sum requests over 4 s.
const WINDOW: time::Duration = time::Duration::from_secs(4);
/// Longest window, for limits of less than one request in [`WINDOW`]. A limit of zero is treated
/// like this, because only an answer can tell that it has ended.
const MAX_WINDOW: time::Duration = time::Duration::from_secs(30);
/// Change of a limit, as a fraction, up to which other VMs learn of it with the next datagrams only.
/// A server that adapts its limit would otherwise cause a datagram to each VM with each answer.
const MIN_CHANGE: f64 = 0.1;
/// Time for which a statement is repeated to other VMs.
const REPEAT_TIME: time::Duration = time::Duration::from_secs(3);
/// A limit that no VM has confirmed for this long counts as ended; the next answer tells.
const RETENTION: time::Duration = time::Duration::from_secs(60);
/// Interval between two computations of the shares while VMs come and go.
const SHARE_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Number of VMs that a VM assumes while it does not know whether there are others.
pub const MANY_VMS: usize = 100_000;
/// Time from its start after which a VM that has heard of no other counts as the only one.
const ALONE_TIME: time::Duration = time::Duration::from_secs(5);
/// Maximum number of limits in one datagram, of up to 24 bytes each.
pub const MAX_LIMITS_PER_DATAGRAM: usize = 16;

/// Newest known statement of a server about its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    /// Requests per second from all VMs together; `None` if the limit has ended.
    pub per_second: Option<f64>,
    /// When the answer with the statement was received, by this VM or another one.
    pub said_at: time::Instant,
}

/// VMs among which the limits of servers are divided, as far as this VM knows.
#[derive(Clone, Debug, Default)]
pub struct SenderView {
    /// Hash of this VM's name.
    pub own: u64,
    /// Hashes of the names of the other VMs that may send.
    pub others: Vec<u64>,
    /// Greatest number of VMs that another VM knows of; this VM may have started a moment ago.
    pub vms: usize,
}

/// Requests that one VM may send to a server in each window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitShare {
    /// Number of requests.
    pub requests: usize,
    /// Length of the window.
    pub window: time::Duration,
    /// Delay of the first request of a VM that counts as having spent its share until then. VMs
    /// that start together have different ones, so that their answers are spread evenly.
    pub first_after: time::Duration,
}

impl LimitShare {
    /// Share of one VM in the limit of a server with this incarnation hash. Over all VMs the shares
    /// add up to at most the limit. A VM that knows only some of the others assumes that those it
    /// does not know are spread evenly over the order.
    #[must_use]
    pub fn new(per_second: f64, server: u64, view: &SenderView) -> Self {
        Self::in_window(per_second * WINDOW.as_secs_f64(), WINDOW, server, view)
    }

    /// Share of one VM in a number of requests in each window, which is longer if the number is
    /// below 1. See [`Self::new`].
    #[must_use]
    pub fn in_window(
        requests: f64,
        window: time::Duration,
        server: u64,
        view: &SenderView,
    ) -> Self {
        let total = requests as usize;
        let (total, window) = if total == 0 {
            let window = time::Duration::try_from_secs_f64(window.as_secs_f64() / requests);
            (
                1,
                window.map_or(MAX_WINDOW, |window| window.min(MAX_WINDOW)),
            )
        } else {
            (total, window)
        };
        let part = deal(total, server, view);
        Self {
            requests: part.requests,
            window,
            first_after: window.mul_f64(part.phase),
        }
    }

    /// Time between two requests.
    #[must_use]
    pub fn interval(&self) -> time::Duration {
        let requests = u32::try_from(self.requests.max(1)).unwrap_or(u32::MAX);
        self.window / requests
    }

    /// When the next request may be sent after those in `sent` from `counted_from` on; `None` if the
    /// VM has no share. It counts as having spent its share until `spent_until`.
    #[must_use]
    pub fn next(
        &self,
        sent: &collections::VecDeque<time::Instant>,
        counted_from: usize,
        spent_until: Option<time::Instant>,
        now: time::Instant,
    ) -> Option<time::Instant> {
        let sent_back = |number: usize| {
            let index = sent.len().checked_sub(number);
            let index = index.filter(|&index| index >= counted_from);
            index.and_then(|index| sent.get(index).copied())
        };
        if self.requests == 0 {
            return None;
        }
        let spaced = sent_back(1).map(|at| at + self.interval());
        // Requests sent before the limit was known were not spaced.
        let counted = sent_back(self.requests).map(|at| at + self.window);
        let first = spent_until.map(|at| at + self.first_after);
        let bounds = [spaced, counted, first].into_iter().flatten();
        Some(bounds.fold(now, time::Instant::max))
    }
}

/// Part of one VM in the requests or slots of a server.
struct DealtPart {
    requests: usize,
    /// Delay of the first request of this VM as a fraction of the window: one VM after the other, at
    /// the rate of all requests, from an offset that differs between servers.
    phase: f64,
}

/// Part of one VM in `total` requests to a server with this incarnation hash.
fn deal(total: usize, server: u64, view: &SenderView) -> DealtPart {
    let known = view.others.len() + 1;
    let vms = view.vms.max(known);
    let place = |vm: u64| xxhash_rust::xxh3::xxh3_64_with_seed(&vm.to_le_bytes(), server);
    let own = place(view.own);
    let ahead = view.others.iter().filter(|&&vm| place(vm) < own).count();
    let remainder = (total % vms).saturating_mul(known);
    // Servers of a service are often limited at the same time; one of them is enough for calls.
    let offset = (server >> 32) as f64 / f64::from(u32::MAX);
    let turn = (ahead as f64 + offset) / known as f64;
    DealtPart {
        requests: total / vms + usize::from((ahead + 1) * vms <= remainder),
        phase: (turn * vms as f64 / total as f64).min(1.0),
    }
}

/// Limit of one server, and the requests that this VM sent to it.
#[derive(Clone, Debug, Default)]
pub struct ServerLimit {
    report: Option<LimitReport>,
    /// Share of this VM; meaningful while there is a limit.
    share: LimitShare,
    /// Part of this VM in the slots of a brittle server.
    slots: u32,
    /// Times of requests of any kind, oldest first. Kept without a limit too: those sent before the
    /// limit was stated count in its first window.
    sent: collections::VecDeque<time::Instant>,
    /// Statement with which the limit began, until [`Self::count_as_spent`] has seen it.
    begun_at: Option<time::Instant>,
    /// This VM counts as having spent its share until then.
    spent_until: Option<time::Instant>,
}

impl ServerLimit {
    /// Applies the statement of an answer to a request that was sent at `sent_at`. Returns as
    /// [`Self::take_report`].
    pub fn take_signal(
        &mut self,
        signal: port::LimitSignal,
        sent_at: time::Instant,
        now: time::Instant,
    ) -> bool {
        let per_second = match signal {
            port::LimitSignal::PerSecond(rate) => Some(rate),
            port::LimitSignal::Unlimited if !self.may_end(sent_at) => return false,
            port::LimitSignal::Unlimited => None,
        };
        self.take_report(LimitReport {
            per_second,
            said_at: now,
        })
    }

    /// Returns whether the response to a request that was sent at `sent_at` can end the limit. One
    /// to a request that crossed the statement may have been made before it.
    fn may_end(&self, sent_at: time::Instant) -> bool {
        self.report
            .is_some_and(|report| report.per_second.is_some() && report.said_at < sent_at)
    }

    /// Applies a statement that this VM or another one received. Returns whether the limit began,
    /// ended or changed by more than a tenth.
    pub fn take_report(&mut self, report: LimitReport) -> bool {
        let known = self.report;
        if known.is_some_and(|known| report.said_at <= known.said_at) {
            return false;
        }
        self.report = Some(report);
        let before = known.and_then(|known| known.per_second);
        if before.is_none() {
            self.begun_at = report.per_second.map(|_| report.said_at);
        }
        match (before, report.per_second) {
            (None, None) => false,
            (Some(before), Some(after)) => (after - before).abs() > before * MIN_CHANGE,
            _ => true,
        }
    }

    /// Takes the start of this VM into account when it has just learnt of a limit. Within a window
    /// of its start it can't tell for how long the limit has been in force and what it sent before,
    /// so it counts as having spent its share until now, and what it sent since is part of that.
    pub fn count_as_spent(&mut self, started_at: time::Instant) {
        let Some(begun_at) = self.begun_at.take() else {
            return;
        };
        if begun_at.saturating_duration_since(started_at) < WINDOW {
            let last = self.sent.back().copied();
            self.spent_until = last.max(Some(begun_at.max(started_at)));
        }
    }

    /// The newest statement, if it is still believed.
    #[must_use]
    pub fn report(&self, now: time::Instant) -> Option<LimitReport> {
        self.report
            .filter(|report| now.saturating_duration_since(report.said_at) < RETENTION)
    }

    /// Requests per second that the server takes from all VMs together; `None` if there is no
    /// limit.
    #[must_use]
    pub fn per_second(&self, now: time::Instant) -> Option<f64> {
        self.report(now)?.per_second
    }

    /// Computes the share of this VM anew.
    pub fn update_share(&mut self, server: u64, view: &SenderView, now: time::Instant) {
        if let Some(per_second) = self.per_second(now) {
            self.share = LimitShare::new(per_second, server, view);
        }
    }

    /// Computes the part of this VM in the slots of a brittle server anew.
    pub fn update_slots(&mut self, slots: u32, server: u64, view: &SenderView) {
        let part = deal(slots as usize, server, view);
        self.slots = u32::try_from(part.requests).unwrap_or(u32::MAX);
    }

    /// Slots of a brittle server that this VM may use.
    #[must_use]
    pub const fn slots(&self) -> u32 {
        self.slots
    }

    /// Counts a request of this VM.
    pub fn count_request(&mut self, now: time::Instant) {
        let kept = self.share.window.max(WINDOW);
        while self
            .sent
            .front()
            .is_some_and(|&at| now.saturating_duration_since(at) > kept)
        {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }

    /// When this VM may send the next request; `None` if it has no share.
    #[must_use]
    pub fn next_request(&self, now: time::Instant) -> Option<time::Instant> {
        if self.per_second(now).is_none() {
            return Some(now);
        }
        let spent = |at: &time::Instant| Some(*at) <= self.spent_until;
        let counted_from = self.sent.partition_point(spent);
        self.share
            .next(&self.sent, counted_from, self.spent_until, now)
    }

    /// Time between two requests of this VM; `None` if there is no limit.
    #[must_use]
    pub fn interval(&self, now: time::Instant) -> Option<time::Duration> {
        self.per_second(now).map(|_| self.share.interval())
    }

    /// Times of the last requests of any kind, oldest first.
    #[must_use]
    pub const fn sent(&self) -> &collections::VecDeque<time::Instant> {
        &self.sent
    }

    /// Returns whether this VM may send a request now.
    #[must_use]
    pub fn allows(&self, now: time::Instant) -> bool {
        self.next_request(now).is_some_and(|at| at <= now)
    }
}

/// Servers that stated a limit, and when the shares were computed.
#[derive(Clone, Debug, Default)]
pub struct LimitedServers {
    servers: collections::BTreeSet<fleet::ServerKey>,
    /// Engines that may be cold, whose requests are limited too.
    pub(crate) cold: cold::ColdServers,
    updated_at: Option<time::Instant>,
}

impl LimitedServers {
    /// Adds a server whose limit changed; all shares are then due.
    pub fn add(&mut self, key: fleet::ServerKey) {
        self.servers.insert(key);
        self.updated_at = None;
    }

    /// Removes a server.
    pub fn remove(&mut self, key: fleet::ServerKey) {
        self.servers.remove(&key);
        self.cold.remove(key);
    }

    /// Servers that stated a limit, ended ones included.
    pub fn keys(&self) -> impl Iterator<Item = fleet::ServerKey> {
        self.servers.iter().copied()
    }

    /// Returns whether the shares are due, and notes that they are computed now.
    pub fn take_due(&mut self, now: time::Instant) -> bool {
        let due = self
            .updated_at
            .is_none_or(|at| now.saturating_duration_since(at) >= SHARE_INTERVAL);
        let due = due && !(self.servers.is_empty() && self.cold.is_empty());
        if due {
            self.updated_at = Some(now);
        }
        due
    }
}

impl state::PlaneState {
    /// VMs that may send to servers, as far as this VM knows.
    #[must_use]
    pub fn sender_view(&self, now: time::Instant) -> SenderView {
        let hash = |name: &str| xxhash_rust::xxh3::xxh3_64(name.as_bytes());
        let others: Vec<_> = self
            .peers
            .senders(now)
            .map(|(name, _)| hash(name))
            .collect();
        let started = now.saturating_duration_since(self.started_at);
        let vms = if others.is_empty() && started < ALONE_TIME {
            MANY_VMS
        } else {
            self.peers.reported_senders(now)
        };
        SenderView {
            own: hash(&self.settings.name),
            others,
            vms,
        }
    }

    /// Takes the start of this VM into account for a server whose limit changed: see
    /// [`ServerLimit::count_as_spent`].
    pub(crate) fn count_as_spent(&mut self, key: fleet::ServerKey) {
        let started_at = self.started_at;
        if let Some(server) = self.fleet.server_mut(key) {
            server.limit.count_as_spent(started_at);
        }
    }
}

/// Statement for other VMs about a limit of the server with this incarnation hash. `all` includes
/// those that are no longer repeated.
#[must_use]
pub fn limit_item(
    server: u64,
    limit: &ServerLimit,
    all: bool,
    now: time::Instant,
) -> Option<message::LimitItem> {
    let report = limit.report(now)?;
    let age = now.saturating_duration_since(report.said_at);
    let due = age < REPEAT_TIME || all && report.per_second.is_some();
    due.then(|| message::LimitItem {
        server,
        per_second: report.per_second,
        age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
    })
}

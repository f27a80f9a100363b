//! Times at which servers that limit requests, or want none for a while, take requests of this VM.
//!
//! A request waits only if a server takes it before its max wait ends, those counted that wait ahead
//! of it: with one request of a VM each half second, most requests of a burst have none.

use tokio::time;

use crate::{fleet, server};

/// Requests that a server takes from this VM.
#[derive(Clone, Copy, Debug)]
struct ServerTurns {
    /// When it takes the next one.
    next: time::Instant,
    /// Time between two requests; `None` if it takes any number from then on.
    interval: Option<time::Duration>,
    /// When it takes any number, since its warm-up is over; `None` if that is not known.
    unlimited_from: Option<time::Instant>,
}

impl ServerTurns {
    fn of(server: &server::ServerRecord, now: time::Instant) -> Option<Self> {
        Some(Self {
            next: server.next_request(now)?,
            interval: server.request_interval(now),
            unlimited_from: server.unlimited_from(now),
        })
    }

    /// Number of requests until `until`; `None` if there is no bound.
    fn count(&self, until: time::Instant) -> Option<usize> {
        if until < self.next {
            return Some(0);
        }
        if self.unlimited_from.is_some_and(|from| from <= until) {
            return None;
        }
        let later = (until - self.next).as_nanos() / self.interval?.as_nanos().max(1);
        Some(
            usize::try_from(later)
                .unwrap_or(usize::MAX)
                .saturating_add(1),
        )
    }
}

impl fleet::ServerFleet {
    fn turns(
        &self,
        service: &str,
        avoid: &[fleet::ServerKey],
        now: time::Instant,
    ) -> impl Iterator<Item = ServerTurns> {
        let servers = self.ready(service, now);
        let servers = servers.filter(|(key, _)| !avoid.contains(key));
        servers.filter_map(move |(_, record)| ServerTurns::of(record, now))
    }

    /// When any server of a service may get a request of this VM that has so many ahead of it;
    /// `None` if none may.
    #[must_use]
    pub fn next_request(
        &self,
        service: &str,
        ahead: usize,
        now: time::Instant,
    ) -> Option<time::Instant> {
        let mut turns: Vec<_> = self.turns(service, &[], now).collect();
        for _ in 0..ahead {
            let first = turns.iter_mut().min_by_key(|turns| turns.next)?;
            let Some(interval) = first.interval else {
                break;
            };
            first.next += interval;
            if let Some(from) = first.unlimited_from.filter(|from| *from <= first.next) {
                first.next = from;
                first.interval = None;
            }
        }
        turns.iter().map(|turns| turns.next).min()
    }

    /// Number of servers of a service that take no request of this VM now because they are cold.
    #[must_use]
    pub fn cold_count(&self, service: &str, now: time::Instant) -> usize {
        let servers = self.ready(service, now);
        let withheld = servers.filter(|(_, record)| record.next_when_cold(now) > now);
        withheld.count()
    }

    /// Returns whether all servers that could get a request of this VM take none before `until`
    /// beyond the `ahead` ones that go first.
    #[must_use]
    pub fn is_withheld(
        &self,
        service: &str,
        avoid: &[fleet::ServerKey],
        ahead: usize,
        until: time::Instant,
        now: time::Instant,
    ) -> bool {
        let servers = self.ready(service, now);
        let any = servers.filter(|(key, _)| !avoid.contains(key)).count() > 0;
        let turns = self.turns(service, avoid, now);
        let mut counts = turns.map(|turns| turns.count(until));
        let total = counts.try_fold(0_usize, |total, count| Some(total.saturating_add(count?)));
        any && total.is_some_and(|total| total <= ahead)
    }
}

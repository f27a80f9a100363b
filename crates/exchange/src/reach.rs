//! Which services this VM reaches.
//!
//! Load pattern: a VM loses its links to all servers of a service, while callers, the store and the
//! other VMs still reach it. Each request would fail here and succeed at another VM. One server that
//! is not reached proves nothing: it may have crashed. So failed attempts only raise a suspicion,
//! and connections to all servers, opened for this purpose, confirm it.

use std::collections;

use tokio::time;

use crate::fleet;

/// Number of servers of a service that must not be reached, one after the other, for a suspicion.
const MIN_SUSPECT_SERVERS: usize = 2;

/// What this VM knows of its links to the servers of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReachStage {
    /// Servers are reached, or none was tried.
    #[default]
    Reached,
    /// Several servers were not reached; connections to all of them are being tried.
    Suspect,
    /// No server of the service is reached.
    Cut,
}

/// Links to the servers of one service.
#[derive(Clone, Debug, Default)]
struct ServiceReach {
    stage: ReachStage,
    /// When a server of the service was last reached.
    reached_at: Option<time::Instant>,
    /// Servers that were not reached since.
    unreached: collections::BTreeSet<fleet::ServerKey>,
}

/// Links to the servers of all services.
#[derive(Clone, Debug, Default)]
pub struct ReachTable {
    services: collections::BTreeMap<String, ServiceReach>,
}

impl ReachTable {
    /// Records that a server of a service was reached. Returns whether the service was cut.
    pub fn record_reached(&mut self, service: &str, now: time::Instant) -> bool {
        let Some(reach) = self.services.get_mut(service) else {
            let reach = ServiceReach {
                reached_at: Some(now),
                ..ServiceReach::default()
            };
            self.services.insert(service.to_owned(), reach);
            return false;
        };
        let was_cut = reach.stage == ReachStage::Cut;
        reach.stage = ReachStage::Reached;
        reach.reached_at = Some(now);
        reach.unreached.clear();
        was_cut
    }

    /// Records that one of `known` servers of a service was not reached by an attempt that was sent
    /// at `sent_at`. Returns whether that raises the suspicion that none is.
    pub fn record_unreached(
        &mut self,
        service: &str,
        server: fleet::ServerKey,
        known: usize,
        sent_at: time::Instant,
    ) -> bool {
        let reach = self.services.entry(service.to_owned()).or_default();
        // An attempt that waited in vain says nothing about a link that has worked since.
        if reach.reached_at.is_some_and(|at| at > sent_at) {
            return false;
        }
        reach.unreached.insert(server);
        let suspect = reach.unreached.len() >= MIN_SUSPECT_SERVERS.min(known);
        let raised = suspect && reach.stage == ReachStage::Reached;
        if raised {
            reach.stage = ReachStage::Suspect;
        }
        raised
    }

    /// Records that connections to all servers of a service were tried in vain. Returns whether the
    /// service was not known to be cut.
    pub fn confirm_cut(&mut self, service: &str) -> bool {
        let reach = self.services.get_mut(service);
        let suspect = reach.filter(|reach| reach.stage == ReachStage::Suspect);
        let confirmed = suspect.is_some();
        if let Some(reach) = suspect {
            reach.stage = ReachStage::Cut;
        }
        confirmed
    }

    /// What this VM knows of its links to a service.
    #[must_use]
    pub fn stage(&self, service: &str) -> ReachStage {
        let reach = self.services.get(service);
        reach.map_or(ReachStage::Reached, |reach| reach.stage)
    }

    /// Services of which no server is reached.
    pub fn cut_services(&self) -> impl Iterator<Item = &str> {
        let cut = self.services.iter();
        let cut = cut.filter(|(_, reach)| reach.stage == ReachStage::Cut);
        cut.map(|(service, _)| service.as_str())
    }

    /// Whether this VM reaches no server at all: a service is cut, and none that it has used is
    /// reached.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        let is_cut = |reach: &ServiceReach| reach.stage == ReachStage::Cut;
        let mut cut = self.services.values().filter(|reach| is_cut(reach));
        let Some(last) = cut.next() else {
            return false;
        };
        // A service that was not used since the links were lost may be cut as well.
        let lost_at = cut
            .map(|reach| reach.reached_at)
            .fold(last.reached_at, Ord::max);
        let others = self.services.values().filter(|reach| !is_cut(reach));
        others
            .map(|reach| reach.reached_at)
            .all(|reached_at| reached_at <= lost_at)
    }
}

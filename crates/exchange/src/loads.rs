//! Loads of servers as reported by other VMs.
//!
//! Load pattern: with 400 VMs and 4,000 servers, hundreds of datagrams a second each replace the
//! loads of one VM on a dozen servers. The loads are therefore also indexed by VM: the cost of a
//! datagram depends on the servers that it names, not on the total number of servers.

use std::collections;

use tokio::time;

use crate::{fleet, runs};

/// Age after which the report of a peer is ignored: the peer is down or partitioned.
const PEER_REPORT_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// Number of other VMs that must report a server as failing. A single one may be partitioned
/// itself.
const MIN_FAILING_PEERS: usize = 2;

/// Load that one VM puts on a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerLoad {
    /// Attempts there.
    pub runs: u32,
    /// Expected memory of the attempts and copies there.
    pub tokens: u64,
    /// Prompt tokens of generations without a first event.
    pub backlog: u64,
    /// Whether generations failed there recently.
    pub failing: bool,
    /// Steady streams there, see [`runs::RunRecord::is_steady`]; never more than `runs`.
    pub steady: u32,
}

impl PeerLoad {
    /// Adds an attempt with its planned memory.
    pub fn add_run(&mut self, run: &runs::RunRecord, planned_tokens: u64) {
        self.runs += 1;
        self.tokens += planned_tokens;
        self.backlog += run.backlog();
        self.steady += u32::from(run.is_steady());
    }
}

/// Load of a server, summed over all VMs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerLoad {
    /// Attempts there.
    pub runs: u32,
    /// Expected memory of the attempts and copies there.
    pub tokens: u64,
    /// Prompt tokens of generations without a first event.
    pub backlog: u64,
    /// Attempts of this VM alone.
    pub own_runs: u32,
    /// Steady streams there, see [`runs::RunRecord::is_steady`].
    pub steady: u32,
}

impl ServerLoad {
    /// Starts the sum with the load of this VM.
    #[must_use]
    pub const fn of_own(own: PeerLoad) -> Self {
        Self {
            runs: own.runs,
            tokens: own.tokens,
            backlog: own.backlog,
            own_runs: own.runs,
            steady: own.steady,
        }
    }

    const fn add(&mut self, peer: &PeerLoad) {
        self.runs += peer.runs;
        self.tokens += peer.tokens;
        self.backlog += peer.backlog;
        self.steady += peer.steady;
    }
}

/// Report of one VM on one server.
#[derive(Clone, Copy, Debug)]
struct PeerReport {
    load: PeerLoad,
    received_at: time::Instant,
}

impl PeerReport {
    fn is_current(&self, now: time::Instant) -> bool {
        now.saturating_duration_since(self.received_at) <= PEER_REPORT_TIMEOUT
    }
}

/// Reports of all other VMs.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads {
    /// Reports by server, then by VM.
    reports: slotmap::SecondaryMap<fleet::ServerKey, collections::HashMap<u64, PeerReport>>,
    /// Servers named in the last report of each VM.
    named: collections::HashMap<u64, Vec<fleet::ServerKey>>,
    /// When another VM last had a prompt waiting for prefill on a server.
    backlogged_at: slotmap::SparseSecondaryMap<fleet::ServerKey, time::Instant>,
}

impl PeerLoads {
    /// Replaces all reports of a VM: it has no load on servers that are not named.
    pub fn replace(
        &mut self,
        vm: u64,
        loads: impl Iterator<Item = (fleet::ServerKey, PeerLoad)>,
        now: time::Instant,
    ) {
        let mut named = self.named.remove(&vm).unwrap_or_default();
        for key in named.drain(..) {
            if let Some(reports) = self.reports.get_mut(key)
                && let Some(report) = reports.remove(&vm)
                && report.load.backlog > 0
            {
                self.backlogged_at.insert(key, now);
            }
        }
        for (key, load) in loads {
            let report = PeerReport {
                load,
                received_at: now,
            };
            if let Some(reports) = self.reports.entry(key) {
                reports.or_default().insert(vm, report);
                named.push(key);
            }
        }
        if !named.is_empty() {
            self.named.insert(vm, named);
        }
    }

    /// Adds the loads that other VMs reported for a server.
    pub fn add_to(&self, load: &mut ServerLoad, key: fleet::ServerKey, now: time::Instant) {
        for report in self.reports_on(key, now) {
            load.add(&report.load);
        }
    }

    /// Returns whether enough other VMs report that a server fails.
    #[must_use]
    pub fn is_reported_failing(&self, key: fleet::ServerKey, now: time::Instant) -> bool {
        let failing = self
            .reports_on(key, now)
            .filter(|report| report.load.failing);
        failing.count() >= MIN_FAILING_PEERS
    }

    /// When another VM last had a prompt waiting for prefill on a server, as far as this VM knows.
    #[must_use]
    pub fn backlogged_at(
        &self,
        key: fleet::ServerKey,
        now: time::Instant,
    ) -> Option<time::Instant> {
        let mut reports = self.reports_on(key, now);
        let waits = reports.any(|report| report.load.backlog > 0);
        let ended_at = self.backlogged_at.get(key).copied();
        if waits { Some(now) } else { ended_at }
    }

    /// Removes the reports on a server.
    pub fn forget(&mut self, key: fleet::ServerKey) {
        self.reports.remove(key);
        self.backlogged_at.remove(key);
    }

    fn reports_on(
        &self,
        key: fleet::ServerKey,
        now: time::Instant,
    ) -> impl Iterator<Item = &PeerReport> {
        let reports = self.reports.get(key).into_iter();
        reports
            .flat_map(collections::HashMap::values)
            .filter(move |report| report.is_current(now))
    }
}

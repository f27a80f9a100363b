//! Fair shares among organisations while engine memory is short.
//!
//! Load pattern: a few of 24 organisations ask for most of a service that has too little memory for
//! all. Whoever asks for most then gets most. While requests wait for the service on any VM, a
//! request of an organisation above its share gets a worse rank, by one step for each doubling above
//! the share that is begun, three at most. The order of ranks over VMs is the existing one.
//!
//! The share follows from the demand that this VM and its peers report, each in the same form
//! ([`message::DemandItem`]), so that VMs with the same reports derive the same ranks:
//!
//! - The demand of an organisation is what the reports list for it. Tokens that no report lists are
//!   spread evenly over the organisations that some report does not list, each weighted by the
//!   fraction of the reports that do not list it.
//! - The share is the level at which the sum of all demands, none counted above the level, is what
//!   was served (max-min fairness). There is none if nothing was served or all was.
//! - An organisation that no report lists counts as small.

use std::collections;

use tokio::time;

use crate::{demand, forecast, message, plane, reply, request, state, wait};

/// Maximum number of steps by which a rank gets worse.
pub const MAX_STEPS: u8 = 3;
/// Ratio of demand and share up to which an organisation counts as within its share. What waits is
/// asked for but not served yet, so demand is above what is served also where nobody is refused.
const SHARE_TOLERANCE: f64 = 1.1;
/// Age from which a report of another VM no longer counts.
const REPORT_RETENTION: time::Duration = time::Duration::from_secs(3);
/// Interval between two reports in datagrams that go to all VMs, the longest announce interval.
/// Changes of loads are sent up to 60 times a second; the demand of ten seconds changes little
/// meanwhile.
const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(600);
/// Number of VMs that report. Shares depend on ratios of demand only, and callers choose any VM, so a
/// part of many VMs is enough; if all of 410 did, each would receive 40 KB/s of reports.
const MAX_REPORTERS: usize = 32;
/// Maximum number of VMs of which reports are kept, and of services of each: bounds of the memory.
/// VMs that know of different others elect different reporters.
const MAX_REPORTING_VMS: usize = 128;
const MAX_SERVICES: usize = 16;
/// Largest demand of a service that a report may name, in tokens: a thousand times what 2,000
/// generations a second of 10,000 tokens amount to in ten seconds.
const MAX_TOKENS: u64 = 200_000_000_000;
/// Minimum time between two log lines on reports that are dropped.
const DROP_LOG_INTERVAL: time::Duration = time::Duration::from_secs(60);

/// Max-min level: the sum of all demands, none counted above the level, is `served`. Each demand
/// comes with the number of organisations that have it. `None` if all demand is served.
#[must_use]
pub fn max_min_level(mut demands: Vec<(f64, f64)>, served: f64) -> Option<f64> {
    demands.sort_by(|(one, _), (other, _)| one.total_cmp(other));
    let mut left = served;
    let mut organisations: f64 = demands.iter().map(|(_, count)| count).sum();
    for (demand, count) in demands {
        if demand * organisations > left {
            return Some(left / organisations);
        }
        left -= demand * count;
        organisations -= count;
    }
    None
}

/// Steps by which the rank of an organisation with this demand gets worse.
#[must_use]
pub fn steps(demand: f64, share: f64) -> u8 {
    let ratio = demand / share;
    if ratio > SHARE_TOLERANCE {
        ratio.log2().ceil().clamp(1.0, f64::from(MAX_STEPS)) as u8
    } else {
        0
    }
}

/// Demand and share of an organisation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareStanding {
    /// Tokens that the organisation asked for in the window.
    pub demand: f64,
    /// Its share of what was served, in tokens.
    pub share: f64,
    /// Number of VMs that the figures come from.
    pub vms: usize,
}

impl ShareStanding {
    /// Steps by which the rank of the organisation's requests gets worse.
    #[must_use]
    pub fn steps(&self) -> u8 {
        steps(self.demand, self.share)
    }
}

/// Shares of a service's organisations.
#[derive(Clone, Debug, PartialEq)]
pub struct FairShares {
    /// Max-min level; greater than 0.
    share: f64,
    /// Demand of the organisations that are listed in some report.
    demands: collections::BTreeMap<u32, f64>,
    /// Number of reports.
    vms: usize,
}

impl FairShares {
    /// Derives the shares from the reports of all VMs on one service; `None` if no demand exceeds a
    /// share.
    #[must_use]
    pub fn derive(reports: &[message::DemandItem]) -> Option<Self> {
        let total: f64 = reports.iter().map(|report| report.total as f64).sum();
        let served: f64 = reports.iter().map(|report| report.served as f64).sum();
        if served <= 0.0 || served >= total {
            return None;
        }
        let mut listed = collections::BTreeMap::<u32, (f64, f64)>::new();
        for item in reports.iter().flat_map(|report| &report.heavy) {
            let (tokens, lists) = listed.entry(item.organisation).or_default();
            *tokens += item.tokens as f64;
            *lists += 1.0;
        }
        let vms = reports.len();
        let unlisted = |lists: f64| (vms as f64 - lists).max(0.0) / vms as f64;
        let organisations = reports.iter().map(|report| f64::from(report.organisations));
        let others = organisations.fold(0.0, f64::max) - listed.len() as f64;
        let others = others.max(0.0);
        let rest = total - listed.values().map(|(tokens, _)| tokens).sum::<f64>();
        let weight = listed.values().map(|(_, lists)| unlisted(*lists));
        let weight = weight.sum::<f64>() + others;
        let each = if weight > 0.0 {
            rest.max(0.0) / weight
        } else {
            0.0
        };
        let demands = listed
            .into_iter()
            .map(|(organisation, (tokens, lists))| (organisation, tokens + each * unlisted(lists)));
        let demands: collections::BTreeMap<_, _> = demands.collect();
        let counted = demands.values().map(|&demand| (demand, 1.0));
        let counted = counted.chain([(each, others)]).collect();
        let share = max_min_level(counted, served)?;
        Some(Self {
            share,
            demands,
            vms,
        })
    }

    /// Demand and share of an organisation; `None` if no report lists it.
    #[must_use]
    pub fn standing(&self, organisation: u32) -> Option<ShareStanding> {
        let demand = *self.demands.get(&organisation)?;
        Some(ShareStanding {
            demand,
            share: self.share,
            vms: self.vms,
        })
    }
}

/// Hash that identifies an organisation in messages between VMs.
#[must_use]
pub fn organisation_hash(organisation: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(organisation.as_bytes()) as u32
}

/// Returns whether a report is plausible.
fn is_valid(report: &message::DemandItem) -> bool {
    let listed: u64 = report
        .heavy
        .iter()
        .map(|item| item.tokens.min(MAX_TOKENS))
        .sum();
    let organisations: collections::BTreeSet<_> =
        report.heavy.iter().map(|item| item.organisation).collect();
    report.total <= MAX_TOKENS
        && report.served <= MAX_TOKENS
        && report.heavy.len() <= demand::MAX_HEAVY
        && organisations.len() == report.heavy.len()
        && report.organisations as usize >= report.heavy.len()
        && report.heavy.iter().all(|item| item.tokens > 0)
        && listed <= report.total
}

/// Latest reports of another VM.
#[derive(Clone, Debug)]
struct PeerReports {
    received_at: time::Instant,
    items: Vec<message::DemandItem>,
}

/// Demand that this VM counted, and that others reported.
#[derive(Clone, Debug, Default)]
pub struct FairTable {
    /// Own demand by the hash of the service.
    own: collections::HashMap<u32, demand::ServiceDemand>,
    /// Reports of other VMs by the hash of the sender.
    reports: collections::HashMap<u64, PeerReports>,
    reported_at: Option<time::Instant>,
    drop_logged_at: Option<time::Instant>,
}

impl FairTable {
    /// Demand for a service that this VM counted; services without recent demand are removed.
    pub fn own(&mut self, service: u32, now: time::Instant) -> &mut demand::ServiceDemand {
        if !self.own.contains_key(&service) {
            self.own.retain(|_, demand| !demand.is_idle(now));
        }
        self.own.entry(service).or_default()
    }

    /// Takes the reports of another VM; returns how many of them are dropped.
    pub fn take_reports(
        &mut self,
        sender: u64,
        items: &[message::DemandItem],
        now: time::Instant,
    ) -> usize {
        if self.reports.len() >= MAX_REPORTING_VMS && !self.reports.contains_key(&sender) {
            self.reports.retain(|_, reports| reports.is_fresh(now));
            if self.reports.len() >= MAX_REPORTING_VMS {
                return items.len();
            }
        }
        let valid = items.iter().filter(|item| is_valid(item)).cloned();
        let valid: Vec<_> = valid.take(MAX_SERVICES).collect();
        let dropped = items.len() - valid.len();
        let reports = PeerReports {
            received_at: now,
            items: valid,
        };
        self.reports.insert(sender, reports);
        dropped
    }

    /// Reports on a service that count, this VM's own first.
    #[must_use]
    pub fn reports(&self, service: u32, now: time::Instant) -> Vec<message::DemandItem> {
        let own = self.own.get(&service);
        let own = own.and_then(|demand| demand.report(service, now));
        let fresh = self
            .reports
            .values()
            .filter(|reports| reports.is_fresh(now));
        let others = fresh.flat_map(|reports| &reports.items);
        let others = others.filter(|item| item.service == service).cloned();
        own.into_iter().chain(others).collect()
    }
}

impl PeerReports {
    fn is_fresh(&self, now: time::Instant) -> bool {
        now.saturating_duration_since(self.received_at) < REPORT_RETENTION
    }
}

impl state::PlaneState {
    /// Values that determine the rank of a request that arrives now.
    #[must_use]
    pub fn rank_basis(
        &self,
        request: &request::ExchangeRequest,
        now: time::Instant,
    ) -> wait::RankBasis {
        let first = wait::RankBasis {
            step: wait::cost_step(request.priority, request.size.as_ref()),
            penalty: self.share_penalty(request, now),
            on_time_until: Some(request.arrived + wait::max_start_delay(request.target_latency)),
        };
        self.returning.rank_basis(request.fingerprint, first, now)
    }

    /// Steps by which the rank of a request gets worse; 0 while no request waits for its service on
    /// any VM.
    fn share_penalty(&self, request: &request::ExchangeRequest, now: time::Instant) -> u8 {
        let service = state::service_hash(&request.service);
        let waits = self.waits_here(&request.service) || self.peers.is_waited_for(service, now);
        if request.priority == 0 || !waits {
            return 0;
        }
        let standing = self.share_standing(request, now);
        standing.map_or(0, |standing| standing.steps())
    }

    /// Demand and share of the organisation of a generation; `None` if it counts as small.
    #[must_use]
    pub fn share_standing(
        &self,
        request: &request::ExchangeRequest,
        now: time::Instant,
    ) -> Option<ShareStanding> {
        request.size.as_ref()?;
        let organisation = organisation_hash(request.organisation.as_ref()?);
        let service = state::service_hash(&request.service);
        FairShares::derive(&self.fair.reports(service, now))?.standing(organisation)
    }

    /// Counts the demand of a request that arrived at this VM. The expected retry of a refused
    /// request was counted before.
    pub fn record_demand(&mut self, request: &request::ExchangeRequest, now: time::Instant) {
        if let (Some(size), Some(organisation)) = (&request.size, &request.organisation)
            && !self.returning.is_expected(request.fingerprint, now)
        {
            let tokens = forecast::planned_tokens(size);
            let service = state::service_hash(&request.service);
            let demand = self.fair.own(service, now);
            demand.record_asked(organisation_hash(organisation), tokens, now);
        }
    }

    /// Counts a generation that an engine answered.
    pub fn record_served(&mut self, request: &request::ExchangeRequest, now: time::Instant) {
        if let (Some(size), Some(_)) = (&request.size, &request.organisation) {
            let tokens = forecast::planned_tokens(size);
            let service = state::service_hash(&request.service);
            self.fair.own(service, now).record_served(tokens, now);
        }
    }

    /// Reports of this VM for a datagram, on services that requests wait for on any VM. Where not
    /// all datagrams go to all VMs, only the `regular` ones carry reports.
    pub fn demand_items(
        &mut self,
        regular: bool,
        large: bool,
        now: time::Instant,
    ) -> Vec<message::DemandItem> {
        let reported_at = self.fair.reported_at;
        let is_due =
            reported_at.is_none_or(|at| now.saturating_duration_since(at) >= REPORT_INTERVAL);
        let carries = if large { regular } else { is_due };
        if !carries || !self.is_reporter(now) {
            return Vec::new();
        }
        let own = self.waiting(now);
        let services = self.fair.own.iter().filter(|(service, _)| {
            let waits_here = own.iter().any(|item| item.service == **service);
            waits_here || self.peers.is_waited_for(**service, now)
        });
        let items = services.filter_map(|(&service, demand)| demand.report(service, now));
        let items: Vec<_> = items.take(MAX_SERVICES).collect();
        if !items.is_empty() {
            self.fair.reported_at = Some(now);
        }
        items
    }

    /// Returns whether this VM is one of those that report to the others.
    fn is_reporter(&self, now: time::Instant) -> bool {
        self.vms_ahead(now, |_| true) < MAX_REPORTERS
    }

    /// Takes the reports in a datagram of another VM. Those of its last datagram with reports count
    /// until they are too old.
    pub(crate) fn take_demand(&mut self, datagram: &message::PeerDatagram, now: time::Instant) {
        if datagram.demand.is_empty() {
            return;
        }
        let dropped = self
            .fair
            .take_reports(datagram.sender, &datagram.demand, now);
        if dropped == 0 {
            return;
        }
        metrics::counter!("pollenchute_exchange_demand_reports_dropped_total")
            .increment(dropped as u64);
        let logged_at = self.fair.drop_logged_at;
        if logged_at.is_none_or(|at| now.saturating_duration_since(at) >= DROP_LOG_INTERVAL) {
            self.fair.drop_logged_at = Some(now);
            log::warn!(
                sender = datagram.sender, dropped;
                "reports on the demand of organisations are implausible, and dropped"
            );
        }
    }
}

impl<P> plane::ExchangePlane<P> {
    /// Cause of a refusal of a request that waited: `cause`, unless it would have started or would
    /// still wait without its penalty.
    pub(crate) fn refusal_cause(
        &self,
        request: &request::ExchangeRequest,
        record: &wait::WaitRecord,
        key: wait::WaitKey,
        cause: reply::RefusalCause,
    ) -> reply::RefusalCause {
        if record.basis.penalty == 0 {
            return cause;
        }
        let now = time::Instant::now();
        let mut state = self.state();
        let overtaken = state.queue(&request.service).was_overtaken(key);
        let plain = record.basis.without_penalty().rank(now);
        let would_fit = match cause {
            reply::RefusalCause::Overload => !state.is_unlikely_to_start(request, plain, now),
            _ => {
                let full_for = state.exhausted_for(request, plain, now);
                let waited = now.saturating_duration_since(request.arrived);
                let own = record.basis.rank(now);
                full_for < waited && full_for < state.exhausted_for(request, own, now)
            }
        };
        if overtaken || would_fit {
            reply::RefusalCause::OverShare
        } else {
            cause
        }
    }

    /// Logs and counts the refusal of a request whose organisation is above its share.
    pub(crate) fn note_over_share(
        &self,
        request: &request::ExchangeRequest,
        cause: reply::RefusalCause,
    ) {
        if cause != reply::RefusalCause::OverShare {
            return;
        }
        let standing = self.state().share_standing(request, time::Instant::now());
        log::info!(
            request:% = request.id, service:% = request.service,
            organisation:% = request.organisation.as_deref().unwrap_or_default(),
            demand_tokens = standing.map(|standing| standing.demand as u64),
            share_tokens = standing.map(|standing| standing.share as u64),
            vms = standing.map(|standing| standing.vms);
            "organisation is above its share"
        );
        count_over_share("refused");
    }
}

/// Counts a request whose rank got worse, by what happened to it.
pub(crate) fn count_over_share(outcome: &'static str) {
    metrics::counter!("pollenchute_exchange_over_share_total", "outcome" => outcome).increment(1);
}

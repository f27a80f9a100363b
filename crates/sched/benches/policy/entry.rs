//! Policies of an entry VM in the bench: a trait implemented by the core, the baselines and the
//! oracle.

use std::time::Duration;

use base::{class::TrafficClass, id, prefix};
use rand::{SeedableRng as _, rngs};
use sched::{core, explain::Decision, request, settings, share, view};
use stand::engine::{
    EngineProfile,
    feeds::{CacheEvent, CacheEventKind},
};
use tokio::time::Instant;

use crate::{cluster, engine, mix};

/// Action requested by an entry VM.
#[derive(Clone, Copy, Debug)]
pub enum Action {
    Start {
        request: usize,
        engine: usize,
        priority: u8,
    },
    Refuse {
        request: usize,
    },
    Stop {
        request: usize,
        engine: usize,
    },
}

/// Load report of an engine as received by an entry VM.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    pub taken_at: f64,
    pub free_blocks: u32,
    pub running: u32,
    pub waiting: u32,
    pub preemptions: u64,
}

/// True state of the test cluster; only the oracle uses it.
pub struct Truth<'a> {
    pub engines: &'a [engine::Engine],
    pub requests: &'a [mix::Arrival],
    pub states: &'a [cluster::RequestState],
}

/// Policy of one entry VM.
pub trait Entry {
    fn submit(&mut self, request: usize, arrival: &mix::Arrival, retry: Retry, now: f64);
    fn poll(&mut self, now: f64, truth: &Truth<'_>, actions: &mut Vec<Action>);
    fn wake(&self, now: f64) -> Option<f64>;
    fn token(&mut self, request: usize, now: f64);
    fn finished(&mut self, request: usize, produced: u32, cached: u32, now: f64);
    fn failed(&mut self, request: usize, now: f64);
    fn requeued(&mut self, request: usize, now: f64);
    fn report(&mut self, engine: usize, report: Report);
    fn prefix(&mut self, _engine: usize, _event: &CacheEvent, _at: f64) {}
    fn digest(&mut self, _now: f64) -> Option<share::EntryDigest> {
        None
    }
    fn take_digest(&mut self, _entry: usize, _digest: share::EntryDigest, _taken_at: f64) {}
}

/// Earlier attempts of a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Retry {
    pub attempts: u32,
    /// Engine used by the last attempt.
    pub avoid: Option<usize>,
}

/// Returns `count` keys of one arena in ascending order.
fn keys<K: slotmap::Key>(count: usize) -> Vec<K> {
    let mut arena = slotmap::SlotMap::<K, ()>::with_key();
    (0..count).map(|_| arena.insert(())).collect()
}

/// Seconds after which a waiting urgent request is refused, as in the default rules.
pub const URGENT_DEADLINE: f64 = 5.0;

/// Seconds after which a waiting normal request is refused, as in the default rules.
pub const NORMAL_DEADLINE: f64 = 30.0;

/// The scheduling core as used by the daemon.
pub struct CoreEntry {
    core: core::DispatchCore,
    epoch: Instant,
    servers: Vec<id::ServerKey>,
    organisations: Vec<id::OrganisationKey>,
    vms: Vec<id::VmKey>,
    model: id::ModelKey,
    tickets: slotmap::SecondaryMap<request::TicketKey, usize>,
    requests: std::collections::HashMap<usize, request::TicketKey>,
    decisions: Vec<Decision>,
    profile: EngineProfile,
}

impl CoreEntry {
    pub fn new(
        settings: settings::PolicySettings,
        engines: usize,
        profile: EngineProfile,
        seed: u64,
        epoch: Instant,
    ) -> Self {
        let servers = keys::<id::ServerKey>(engines);
        let organisations = keys::<id::OrganisationKey>(mix::ORGANISATIONS);
        let model = keys::<id::ModelKey>(1)[0];
        let vms = keys::<id::VmKey>(settings.entries as usize);
        let mut core = core::DispatchCore::new(settings, rngs::StdRng::seed_from_u64(seed));
        for &server in &servers {
            let spec = view::EngineSpec {
                identity: mixed(slotmap::Key::data(&server).as_ffi()),
                location: view::ServerLocation::default(),
                models: vec![model],
                total_blocks: profile.total_blocks,
                block_tokens: profile.block_tokens,
                max_batch: profile.max_batch,
            };
            core.server_added(server, spec, epoch);
        }
        for &organisation in &organisations {
            core.organisation_set(organisation, settings::OrganisationPlan::default());
        }
        Self {
            core,
            epoch,
            servers,
            organisations,
            vms,
            model,
            tickets: slotmap::SecondaryMap::new(),
            requests: std::collections::HashMap::new(),
            decisions: Vec::new(),
            profile,
        }
    }

    fn at(&self, now: f64) -> Instant {
        self.epoch + Duration::from_secs_f64(now)
    }
}

impl Entry for CoreEntry {
    fn submit(&mut self, request: usize, arrival: &mix::Arrival, retry: Retry, now: f64) {
        let organisation = self.organisations[arrival.organisation];
        let mut generation = request::GenerationRequest::new(
            organisation,
            arrival.class,
            self.model,
            arrival.prompt,
            arrival.max_tokens,
        );
        let patience = match arrival.class {
            TrafficClass::Urgent => Some(URGENT_DEADLINE),
            TrafficClass::Normal => Some(NORMAL_DEADLINE),
            TrafficClass::Deferrable => None,
        };
        generation.deadline = patience.map(|patience| self.at(arrival.at + patience));
        generation.buffered = arrival.buffered;
        generation.retry = retry.attempts > 0;
        if let Some(engine) = retry.avoid {
            generation.avoid.push(self.servers[engine]);
        }
        let prompt = engine::prompt(request, arrival);
        let chain = prefix::chain(
            &self.profile.model,
            None,
            &prompt,
            self.profile.block_tokens,
        );
        generation.prefix = request::PrefixChain::sample(&chain, self.profile.block_tokens);
        let ticket = self.core.submit(generation, self.at(now));
        self.tickets.insert(ticket, request);
        self.requests.insert(request, ticket);
    }

    fn poll(&mut self, now: f64, _truth: &Truth<'_>, actions: &mut Vec<Action>) {
        let at = self.at(now);
        let mut decisions = std::mem::take(&mut self.decisions);
        self.core.poll(at, &mut decisions);
        let number = |servers: &[id::ServerKey], key: id::ServerKey| {
            servers
                .iter()
                .position(|held| *held == key)
                .expect("a known server")
        };
        for decision in decisions.drain(..) {
            actions.push(match decision {
                Decision::Dispatch {
                    ticket,
                    server,
                    priority,
                    ..
                } => {
                    let engine = number(&self.servers, server);
                    Action::Start {
                        request: self.tickets[ticket],
                        engine,
                        priority,
                    }
                }
                Decision::Refuse { ticket, .. } => {
                    let request = self.tickets[ticket];
                    self.requests.remove(&request);
                    Action::Refuse { request }
                }
                Decision::Preempt { ticket, server, .. } => {
                    let engine = number(&self.servers, server);
                    Action::Stop {
                        request: self.tickets[ticket],
                        engine,
                    }
                }
            });
        }
        self.decisions = decisions;
    }

    fn wake(&self, now: f64) -> Option<f64> {
        let wake = self.core.next_wake(self.at(now))?;
        Some(wake.duration_since(self.epoch).as_secs_f64())
    }

    fn token(&mut self, request: usize, now: f64) {
        let at = self.at(now);
        if let Some(&ticket) = self.requests.get(&request) {
            self.core.tokens(ticket, 1, at);
        }
    }

    fn finished(&mut self, request: usize, produced: u32, cached: u32, now: f64) {
        let at = self.at(now);
        if let Some(ticket) = self.requests.remove(&request) {
            self.core.cached(ticket, cached);
            self.core.finished(ticket, produced, at);
        }
    }

    fn failed(&mut self, request: usize, now: f64) {
        let at = self.at(now);
        if let Some(ticket) = self.requests.remove(&request) {
            self.core.failed(ticket, request::FailureKind::Broken, at);
        }
    }

    fn requeued(&mut self, request: usize, now: f64) {
        let at = self.at(now);
        if let Some(&ticket) = self.requests.get(&request) {
            self.core.requeued(ticket, at);
        }
    }

    fn report(&mut self, engine: usize, report: Report) {
        let report = view::LoadReport {
            taken_at: self.at(report.taken_at),
            total_blocks: self.profile.total_blocks,
            free_blocks: report.free_blocks,
            running: report.running,
            waiting: report.waiting,
            preemptions: report.preemptions,
            leaving: false,
        };
        self.core.server_reported(self.servers[engine], report);
    }

    fn prefix(&mut self, engine: usize, event: &CacheEvent, at: f64) {
        let prefix = request::PrefixHash {
            hash: event.prefix_hash,
            tokens: event.tokens,
        };
        let cached = event.kind == CacheEventKind::Stored;
        let at = self.at(at);
        self.core
            .prefix_reported(self.servers[engine], prefix, cached, at);
    }

    fn digest(&mut self, now: f64) -> Option<share::EntryDigest> {
        let _ = now;
        self.core.entry_digests().next().map(|(_, digest)| digest)
    }

    fn take_digest(&mut self, entry: usize, digest: share::EntryDigest, taken_at: f64) {
        let at = self.at(taken_at);
        self.core
            .entry_reported(self.vms[entry], self.model, digest, at);
    }
}

/// Mixes the bits of `value`. Different values give different results.
pub fn mixed(value: u64) -> u64 {
    value.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

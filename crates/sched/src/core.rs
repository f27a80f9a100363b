//! The decision core: events in, decisions out, no I/O.

use std::{collections, time::Duration};

use base::id;
use rand::{Rng as _, rngs};
use tokio::time;

use crate::{
    ask::{self, TicketKey},
    explain::{self, Decision},
    settings, view,
};

/// What the core knows of one ticket.
#[derive(Clone, Debug)]
struct TicketState {
    ask: ask::Ask,
    submitted_at: time::Instant,
    /// Absent while it waits.
    server: Option<id::ServerKey>,
    produced: u32,
}

/// What the core knows of one server.
#[derive(Clone, Debug)]
struct ServerState {
    spec: view::EngineSpec,
    leaving: bool,
    suspected: bool,
    own_running: u32,
    report: Option<view::LoadReport>,
}

/// Decides where and when each generation runs.
///
/// Every call takes the current time; nothing happens between calls. The caller owns the arenas
/// that organisation, server and model keys come from.
#[derive(Debug)]
pub struct DispatchCore {
    settings: settings::PolicySettings,
    rng: rngs::StdRng,
    servers: slotmap::SecondaryMap<id::ServerKey, ServerState>,
    organisations: slotmap::SecondaryMap<id::OrganisationKey, settings::OrganisationPlan>,
    tickets: slotmap::SlotMap<TicketKey, TicketState>,
    queues: [collections::VecDeque<TicketKey>; 3],
}

impl DispatchCore {
    /// A core that knows no server and no organisation.
    #[must_use]
    pub fn new(settings: settings::PolicySettings, rng: rngs::StdRng) -> Self {
        Self {
            settings,
            rng,
            servers: slotmap::SecondaryMap::new(),
            organisations: slotmap::SecondaryMap::new(),
            tickets: slotmap::SlotMap::with_key(),
            queues: Default::default(),
        }
    }

    /// Replaces the settings; what runs keeps running.
    pub fn settings_changed(&mut self, settings: settings::PolicySettings) {
        self.settings = settings;
    }

    /// A server came into being, or its inventory entry or models changed.
    pub fn server_added(&mut self, server: id::ServerKey, spec: view::EngineSpec) {
        if let Some(state) = self.servers.get_mut(server) {
            state.spec = spec;
            return;
        }
        let state = ServerState {
            spec,
            leaving: false,
            suspected: false,
            own_running: 0,
            report: None,
        };
        self.servers.insert(server, state);
    }

    /// A server is gone. What ran there is still to be ended by its holders.
    pub fn server_removed(&mut self, server: id::ServerKey) {
        self.servers.remove(server);
    }

    /// A server is leaving: it gets no new work; what runs there goes on.
    pub fn server_leaving(&mut self, server: id::ServerKey) {
        if let Some(state) = self.servers.get_mut(server) {
            state.leaving = true;
        }
    }

    /// Membership suspects a server of having failed, or no longer does.
    pub fn server_suspected(&mut self, server: id::ServerKey, suspected: bool) {
        if let Some(state) = self.servers.get_mut(server) {
            state.suspected = suspected;
        }
    }

    /// A load report arrived; one older than the newest is ignored.
    pub fn server_reported(&mut self, server: id::ServerKey, report: view::LoadReport) {
        if let Some(state) = self.servers.get_mut(server) {
            let newer = state
                .report
                .is_none_or(|held| held.taken_at < report.taken_at);
            if newer {
                state.leaving |= report.leaving;
                state.report = Some(report);
            }
        }
    }

    /// An organisation came into being, or its plan changed.
    pub fn organisation_set(
        &mut self,
        organisation: id::OrganisationKey,
        plan: settings::OrganisationPlan,
    ) {
        self.organisations.insert(organisation, plan);
    }

    /// An organisation is gone.
    pub fn organisation_removed(&mut self, organisation: id::OrganisationKey) {
        self.organisations.remove(organisation);
    }

    /// A generation wants a place. The answer comes from [`Self::poll`].
    pub fn submit(&mut self, ask: ask::Ask, now: time::Instant) -> TicketKey {
        let state = TicketState {
            ask,
            submitted_at: now,
            server: None,
            produced: 0,
        };
        let ticket = self.tickets.insert(state);
        self.queues[ask.class.index()].push_back(ticket);
        ticket
    }

    /// Its first token arrived.
    pub fn first_token(&mut self, ticket: TicketKey, now: time::Instant) {
        self.tokens(ticket, 1, now);
    }

    /// `count` further tokens arrived.
    pub fn tokens(&mut self, ticket: TicketKey, count: u32, _now: time::Instant) {
        if let Some(state) = self.tickets.get_mut(ticket) {
            state.produced += count;
        }
    }

    /// It ended by itself, with `produced` tokens in all.
    pub fn finished(&mut self, ticket: TicketKey, _produced: u32, _now: time::Instant) {
        self.release(ticket);
    }

    /// It failed where it ran; the ticket is gone.
    pub fn failed(&mut self, ticket: TicketKey, _failure: ask::FailureKind, _now: time::Instant) {
        self.release(ticket);
    }

    /// Its caller gave it up; the ticket is gone.
    pub fn withdrawn(&mut self, ticket: TicketKey, _now: time::Instant) {
        self.release(ticket);
    }

    /// A stopped generation waits again, ahead of its organisation's others.
    pub fn requeued(&mut self, ticket: TicketKey, _now: time::Instant) {
        self.leave_server(ticket);
        if let Some(state) = self.tickets.get_mut(ticket) {
            state.produced = 0;
            self.queues[state.ask.class.index()].push_front(ticket);
        }
    }

    /// When [`Self::poll`] is due if nothing else happens; absent when nothing waits.
    #[must_use]
    pub fn next_wake(&self, now: time::Instant) -> Option<time::Instant> {
        let waits = self.queues.iter().any(|queue| !queue.is_empty());
        waits.then(|| now + self.settings.poll_interval)
    }

    /// Appends what is to be done now.
    pub fn poll(&mut self, now: time::Instant, decisions: &mut Vec<Decision>) {
        for class in base::class::TrafficClass::ALL {
            while let Some(ticket) = self.queues[class.index()].front().copied() {
                let Some(decision) = self.decide(ticket, now) else {
                    break;
                };
                self.queues[class.index()].pop_front();
                decisions.extend(decision);
            }
        }
    }

    /// Nothing: it waits on. Some of nothing: it is gone.
    fn decide(&mut self, ticket: TicketKey, now: time::Instant) -> Option<Option<Decision>> {
        let Some(state) = self.tickets.get(ticket) else {
            return Some(None);
        };
        if state.ask.deadline.is_some_and(|deadline| deadline <= now) {
            self.tickets.remove(ticket);
            return Some(Some(Decision::Refuse {
                ticket,
                reason: explain::RefusalReason::Deadline,
                retry_after: Some(Duration::from_secs(1)),
            }));
        }
        let (ask, submitted_at) = (state.ask, state.submitted_at);
        let server = self.roomiest(&ask)?;
        let why = explain::DispatchReason {
            cause: explain::ChoiceCause::Soonest,
            wait: explain::WaitCause::None,
            waited: now.duration_since(submitted_at),
            candidates: 1,
            overflow_permille: 0,
            first_token: Duration::ZERO,
            cached_tokens: 0,
            report_age: Duration::ZERO,
        };
        let priority = ask.class.index() as u8;
        self.tickets[ticket].server = Some(server);
        self.servers[server].own_running += 1;
        Some(Some(Decision::Dispatch {
            ticket,
            server,
            priority,
            why,
        }))
    }

    fn roomiest(&mut self, ask: &ask::Ask) -> Option<id::ServerKey> {
        let rng = &mut self.rng;
        self.servers
            .iter()
            .filter(|(key, state)| {
                !state.leaving
                    && !state.suspected
                    && !ask.avoid.contains(*key)
                    && state.spec.models.contains(&ask.model)
                    && state.own_running < state.spec.max_batch
            })
            .min_by_key(|(_, state)| (state.own_running, rng.next_u32()))
            .map(|(key, _)| key)
    }

    fn leave_server(&mut self, ticket: TicketKey) {
        let server = self
            .tickets
            .get_mut(ticket)
            .and_then(|state| state.server.take());
        if let Some(state) = server.and_then(|server| self.servers.get_mut(server)) {
            state.own_running -= 1;
        }
    }

    fn release(&mut self, ticket: TicketKey) {
        self.leave_server(ticket);
        self.tickets.remove(ticket);
    }
}

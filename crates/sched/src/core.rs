//! The decision core: events in, decisions out, no I/O.
//!
//! This file takes events; `dispatch` decides, `upkeep` keeps derived state up to date.

use std::{cmp, collections};

use base::{class, id};
use rand::rngs;
use tokio::time;

use crate::{
    affinity,
    explain::{Decision, RefusalReason, WaitCause},
    fleet, length, limit, organisation, queue,
    request::{self, TicketKey},
    risk, settings, share, ticket, view,
};

/// Tokens after which a running generation's memory is worked out anew.
const LOAD_REFRESH_TOKENS: u32 = 16;

/// What one first token moves the learnt rate of prefill by.
const PREFILL_RATE_WEIGHT: f32 = 0.05;

/// Decides where and when each generation runs.
///
/// Every call takes the current time; nothing happens between calls. The caller owns the arenas
/// that organisation, server, model and VM keys come from.
#[derive(Debug)]
pub struct DispatchCore {
    pub(crate) settings: settings::PolicySettings,
    pub(crate) rng: rngs::StdRng,
    pub(crate) servers: slotmap::SecondaryMap<id::ServerKey, view::ServerView>,
    pub(crate) models: slotmap::SecondaryMap<id::ModelKey, fleet::ModelFleet>,
    pub(crate) organisations: organisation::OrganisationTable,
    pub(crate) tickets: slotmap::SlotMap<TicketKey, ticket::TicketState>,
    pub(crate) lengths: length::LengthTable,
    pub(crate) affinity: affinity::AffinityTable,
    pub(crate) prefill_rate: f32,
    /// Deadlines of waiting tickets, earliest first; tickets that no longer wait are skipped.
    pub(crate) deadlines: collections::BinaryHeap<cmp::Reverse<(time::Instant, TicketKey)>>,
    /// Decided at submission, refused by the next poll.
    pub(crate) refusals: Vec<Decision>,
    /// Servers with a report since victims were last looked for.
    pub(crate) reported: Vec<id::ServerKey>,
    pub(crate) maintained_at: Option<time::Instant>,
    pub(crate) swept_at: Option<time::Instant>,
    /// Whether deadlines, rooms or queues may have changed since the last poll.
    pub(crate) waiting: usize,
}

/// What waits and runs of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassLoad {
    /// Requests that wait for a place.
    pub waiting: u32,
    /// Requests that run.
    pub running: u32,
    /// Longest that one of the waiting has waited.
    pub oldest: time::Duration,
}

impl DispatchCore {
    /// A core that knows no server and no organisation.
    #[must_use]
    pub fn new(settings: settings::PolicySettings, rng: rngs::StdRng) -> Self {
        Self {
            rng,
            servers: slotmap::SecondaryMap::new(),
            models: slotmap::SecondaryMap::new(),
            organisations: organisation::OrganisationTable::new(settings.organisation_entries),
            tickets: slotmap::SlotMap::with_key(),
            lengths: length::LengthTable::new(settings.histograms),
            affinity: affinity::AffinityTable::new(settings.prefix_half_life),
            prefill_rate: settings.prefill_rate,
            deadlines: collections::BinaryHeap::new(),
            refusals: Vec::new(),
            reported: Vec::new(),
            maintained_at: None,
            swept_at: None,
            waiting: 0,
            settings,
        }
    }

    /// Replaces the settings; what runs keeps running.
    pub fn settings_changed(&mut self, settings: settings::PolicySettings) {
        self.organisations
            .set_entries(settings.organisation_entries);
        self.affinity.set_half_life(settings.prefix_half_life);
        self.settings = settings;
        self.rank_candidates();
    }

    /// A server came into being, or its inventory entry or models changed.
    pub fn server_added(
        &mut self,
        server: id::ServerKey,
        spec: view::EngineSpec,
        now: time::Instant,
    ) {
        for &model in &spec.models {
            self.fleet(model);
        }
        if let Some(view) = self.servers.get_mut(server) {
            view.spec = spec;
        } else {
            self.servers
                .insert(server, view::ServerView::new(spec, now));
        }
        self.rank_candidates();
    }

    /// A server is gone. What ran there is still to be ended by its holders.
    pub fn server_removed(&mut self, server: id::ServerKey) {
        self.servers.remove(server);
        self.affinity.clear(server);
        self.rank_candidates();
    }

    /// A server is leaving: it gets no new work; what runs there goes on.
    pub fn server_leaving(&mut self, server: id::ServerKey) {
        if let Some(view) = self.servers.get_mut(server) {
            view.leaving = true;
        }
    }

    /// Membership suspects a server of having failed, or no longer does.
    pub fn server_suspected(&mut self, server: id::ServerKey, suspected: bool) {
        if let Some(view) = self.servers.get_mut(server) {
            view.suspected = suspected;
        }
    }

    /// A server restarted: nothing that was known of its memory, cache or leaving holds.
    pub fn server_restarted(&mut self, server: id::ServerKey, now: time::Instant) {
        self.affinity.clear(server);
        if let Some(view) = self.servers.get_mut(server) {
            view.restart(now);
        }
    }

    /// Another entry VM refused of its work for a model.
    pub fn entry_reported(
        &mut self,
        vm: id::VmKey,
        model: id::ModelKey,
        digest: share::EntryDigest,
        taken_at: time::Instant,
    ) {
        self.fleet(model).shares.record(vm, digest, taken_at);
    }

    /// Another entry VM is gone.
    pub fn entry_removed(&mut self, vm: id::VmKey) {
        for (_, fleet) in &mut self.models {
            fleet.shares.remove(vm);
        }
    }

    /// What to tell the other entry VMs of this one's work, about once a second: one digest for
    /// each model, also while there is no work for it.
    pub fn entry_digests(&self) -> impl Iterator<Item = (id::ModelKey, share::EntryDigest)> + '_ {
        let weight = self.organisations.busy_weight() as f32;
        let identity = self.settings.identity;
        self.models
            .iter()
            .map(move |(model, fleet)| (model, fleet.digest(identity, weight)))
    }

    /// An engine stored (`cached`) or evicted a prefix, as of `at`. Only the lengths at which
    /// prompts are compared are kept.
    pub fn prefix_reported(
        &mut self,
        server: id::ServerKey,
        prefix: request::PrefixHash,
        cached: bool,
        at: time::Instant,
    ) {
        let Some(view) = self.servers.get(server) else {
            return;
        };
        let sampled = request::is_sampled(prefix.tokens, view.spec.block_tokens);
        if self.settings.prefix_half_life.is_zero() || !sampled {
            return;
        }
        if cached {
            self.affinity.insert(prefix.hash, server, at);
        } else {
            self.affinity.remove(prefix.hash, server, at);
        }
    }

    /// An organisation came into being, or its plan changed.
    pub fn organisation_set(
        &mut self,
        organisation: id::OrganisationKey,
        plan: settings::OrganisationPlan,
    ) {
        self.organisations.set(organisation, plan);
    }

    /// An organisation is gone.
    pub fn organisation_removed(&mut self, organisation: id::OrganisationKey) {
        self.organisations.remove(organisation);
    }

    /// Another of an organisation's entry VMs refused what it is asked for.
    pub fn demand_reported(
        &mut self,
        organisation: id::OrganisationKey,
        vm: id::VmKey,
        demand: limit::LimitDemand,
        taken_at: time::Instant,
        now: time::Instant,
    ) {
        if self.organisations.limited(organisation) {
            self.organisations
                .with_account(organisation, now, |account, _| {
                    account.record_peer(vm, demand, taken_at);
                });
        }
    }

    /// What to tell an organisation's other entry VMs, about once a second.
    pub fn demands(&self) -> impl Iterator<Item = (id::OrganisationKey, limit::LimitDemand)> + '_ {
        self.organisations.demands()
    }

    /// The organisation's limit that would hold back one more request, with the time to wait.
    ///
    /// To be asked before deferrable work is accepted: [`Self::submit`] lets that wait for its
    /// limit, since it may no longer be refused.
    pub fn over_limit(
        &mut self,
        organisation: id::OrganisationKey,
        now: time::Instant,
    ) -> Option<(limit::LimitKind, time::Duration)> {
        if !self.organisations.limited(organisation) {
            return None;
        }
        self.organisations
            .with_account(organisation, now, |account, plan| account.refusal(plan))
    }

    /// A generation wants a place. The answer comes from [`Self::poll`].
    pub fn submit(&mut self, request: request::GenerationRequest, now: time::Instant) -> TicketKey {
        let source = length::LengthSource {
            organisation: request.organisation,
            model: request.model,
            class: request.class,
        };
        let histogram = self.lengths.find(source);
        let expected = self
            .lengths
            .curve(source, histogram, request.max_tokens)
            .expected_remaining(0.0);
        let state = ticket::TicketState {
            request,
            histogram,
            submitted_at: now,
            blocked_at: None,
            wait: WaitCause::None,
            expected,
            run: None,
        };
        let ticket = self.tickets.insert(state);
        match self.refusal(ticket, now) {
            Some((reason, retry_after)) => {
                self.tickets.remove(ticket);
                self.refusals.push(Decision::Refuse {
                    ticket,
                    reason,
                    retry_after,
                });
            }
            None => self.enqueue(ticket, request.retry, now),
        }
        ticket
    }

    /// Its first token arrived.
    pub fn first_token(&mut self, ticket: TicketKey, now: time::Instant) {
        self.tokens(ticket, 1, now);
    }

    /// `count` further tokens arrived, the first included.
    pub fn tokens(&mut self, ticket: TicketKey, count: u32, now: time::Instant) {
        let Some(state) = self.tickets.get_mut(ticket) else {
            return;
        };
        let Some(run) = &mut state.run else { return };
        let first = run.produced == 0;
        run.produced += count;
        let interval = now
            .saturating_duration_since(run.last_token_at)
            .as_secs_f32();
        run.last_token_at = now;
        let (run, server) = (*run, run.server);
        if let Some(server) = self.servers.get_mut(server) {
            if first {
                server.first_token(run.prefill, now);
            } else {
                server.record_step(interval / count.max(1) as f32, now);
            }
        }
        if first {
            self.update_prefill_rate(&run, interval);
        }
        if run.produced - run.load_produced >= LOAD_REFRESH_TOKENS {
            self.refresh_load(ticket);
        }
    }

    /// The engine showed that the generation lives, without a token.
    pub fn alive(&mut self, ticket: TicketKey, now: time::Instant) {
        let run = self.tickets.get(ticket).and_then(|state| state.run);
        if let Some(server) = run.and_then(|run| self.servers.get_mut(run.server)) {
            server.active_at = now;
        }
    }

    /// An engine refused at a generation's end how many of its prompt's tokens were cached.
    pub fn cached(&mut self, ticket: TicketKey, tokens: u32) {
        if let Some(run) = self.tickets.get(ticket).and_then(|state| state.run) {
            self.affinity.record_hit(run.predicted_cached, tokens);
        }
    }

    /// It ended by itself, with `produced` tokens in all.
    ///
    /// The end of a generation may cross the order to stop it: then the ticket waits again by the
    /// time its end is refused, and leaves its queue. Were it only forgotten, its queue would still
    /// name it.
    pub fn finished(&mut self, ticket: TicketKey, produced: u32, now: time::Instant) {
        let Some(state) = self.tickets.get(ticket) else {
            return;
        };
        let (source, runs) = (state.source(), state.run.is_some());
        if source.class == class::TrafficClass::Urgent {
            let tokens = state.request.prompt_tokens + produced;
            if let Some(fleet) = self.models.get_mut(source.model) {
                fleet.headroom.learn(tokens as f32);
            }
        }
        self.lengths.learn(source, produced);
        if runs {
            self.close(ticket, produced, now);
        } else {
            self.withdrawn(ticket, now);
        }
    }

    /// It failed where it ran; the ticket is gone.
    pub fn failed(&mut self, ticket: TicketKey, failure: request::FailureKind, now: time::Instant) {
        let Some(state) = self.tickets.get(ticket) else {
            return;
        };
        let Some(run) = state.run else {
            return self.withdrawn(ticket, now);
        };
        if let Some(server) = self.servers.get_mut(run.server) {
            server.fail(failure.weight(), now);
        }
        self.close(ticket, run.produced, now);
    }

    /// Its caller gave it up; the ticket is gone.
    pub fn withdrawn(&mut self, ticket: TicketKey, now: time::Instant) {
        let Some(state) = self.tickets.get(ticket) else {
            return;
        };
        if let Some(run) = state.run {
            return self.close(ticket, run.produced, now);
        }
        let request = state.request;
        if let Some(fleet) = self.models.get_mut(request.model)
            && fleet
                .queue(request.class)
                .remove(request.organisation, ticket)
        {
            self.waiting -= 1;
        }
        self.tickets.remove(ticket);
        self.organisations
            .with_account(request.organisation, now, |account, _| {
                account.waiting = account.waiting.saturating_sub(1);
            });
    }

    /// A stopped generation waits again, ahead of its organisation's others.
    pub fn requeued(&mut self, ticket: TicketKey, now: time::Instant) {
        let produced = self
            .tickets
            .get(ticket)
            .and_then(|state| state.run)
            .map(|run| run.produced);
        if let Some(produced) = produced {
            self.release_server(ticket, produced, now);
            self.enqueue(ticket, true, now);
        }
    }

    /// When [`Self::poll`] is due if nothing else happens; absent when nothing waits.
    #[must_use]
    pub fn next_wake(&self, now: time::Instant) -> Option<time::Instant> {
        let refused = !self.refusals.is_empty();
        let interval = if refused {
            time::Duration::ZERO
        } else {
            self.settings.poll_interval
        };
        let due = refused || self.waiting > 0 || !self.reported.is_empty();
        due.then(|| now + interval)
    }

    /// Requests that wait for a place.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// What waits and runs of each class; looks at every ticket, so not for each decision.
    #[must_use]
    pub fn class_loads(&self, now: time::Instant) -> [ClassLoad; class::TrafficClass::ALL.len()] {
        let mut loads = [ClassLoad::default(); class::TrafficClass::ALL.len()];
        for ticket in self.tickets.values() {
            let load = &mut loads[ticket.request.class.index()];
            if ticket.run.is_some() {
                load.running += 1;
            } else {
                load.waiting += 1;
                let waited = now.saturating_duration_since(ticket.submitted_at);
                load.oldest = load.oldest.max(waited);
            }
        }
        loads
    }

    /// Requests that wait, with those that run.
    #[must_use]
    pub fn tickets(&self) -> usize {
        self.tickets.len()
    }

    /// What is known of a server.
    #[must_use]
    pub fn server(&self, server: id::ServerKey) -> Option<&view::ServerView> {
        self.servers.get(server)
    }

    /// What a waiting request last waited for.
    #[must_use]
    pub fn wait_cause(&self, ticket: TicketKey) -> Option<WaitCause> {
        let state = self.tickets.get(ticket)?;
        state.run.is_none().then_some(state.wait)
    }

    fn update_prefill_rate(&mut self, run: &ticket::RunState, delay: f32) {
        let Some(server) = self.servers.get(run.server) else {
            return;
        };
        let time = delay - server.step;
        // Where others' work was in the way, or the prompt is small, the delay tells little.
        if run.prefill >= 128.0 && time > 1e-3 {
            let rate = (run.prefill / time).clamp(200.0, 200_000.0);
            self.prefill_rate += PREFILL_RATE_WEIGHT * (rate - self.prefill_rate);
        }
    }

    /// Works out anew what a running generation holds and will hold.
    fn refresh_load(&mut self, ticket: TicketKey) {
        let state = &self.tickets[ticket];
        let Some(run) = state.run else { return };
        let curve = self
            .lengths
            .curve(state.source(), state.histogram, state.request.max_tokens);
        let context = (state.request.prompt_tokens + run.produced) as f32;
        let deferrable = state.request.class == class::TrafficClass::Deferrable;
        if let Some(server) = self.servers.get_mut(run.server) {
            let load = risk::MemoryLoad::of_generation(
                &curve,
                context + server.rounding(),
                run.produced as f32,
            );
            server.refresh_load(&run.load, &load, run.started_at, deferrable);
            if let Some(run) = &mut self.tickets[ticket].run {
                run.load = load;
                run.load_produced = run.produced;
            }
        }
    }

    /// Puts a ticket that does not run into its queue.
    fn enqueue(&mut self, ticket: TicketKey, in_front: bool, now: time::Instant) {
        let state = &self.tickets[ticket];
        let (request, cost) = (state.request, state.cost());
        let weight = self.organisations.weight(request.organisation);
        let queued = queue::QueuedTicket { ticket, cost };
        self.fleet(request.model).queue(request.class).push(
            request.organisation,
            weight,
            queued,
            in_front,
        );
        self.waiting += 1;
        if let Some(deadline) = request.deadline {
            self.deadlines.push(cmp::Reverse((deadline, ticket)));
        }
        self.organisations
            .with_account(request.organisation, now, |account, _| {
                if in_front {
                    account.waiting += 1;
                } else {
                    account.accept();
                }
            });
    }

    fn close(&mut self, ticket: TicketKey, produced: u32, now: time::Instant) {
        self.release_server(ticket, produced, now);
        self.tickets.remove(ticket);
    }

    /// Takes a running ticket off its server, after `produced` tokens.
    fn release_server(&mut self, ticket: TicketKey, produced: u32, now: time::Instant) {
        let Some(state) = self.tickets.get_mut(ticket) else {
            return;
        };
        let Some(run) = state.run.take() else { return };
        let (request, excess) = (
            state.request,
            f64::from(produced) - f64::from(state.expected),
        );
        let urgent = request.class == class::TrafficClass::Urgent;
        if let Some(server) = self.servers.get_mut(run.server) {
            let deferrable = request.class == class::TrafficClass::Deferrable;
            server.end(&run, deferrable, now);
            if let Some(&moved) = server.tickets.get(run.index)
                && let Some(moved) = self
                    .tickets
                    .get_mut(moved)
                    .and_then(|state| state.run.as_mut())
            {
                moved.index = run.index;
            }
        }
        if let Some(fleet) = self.models.get_mut(request.model) {
            fleet
                .queue(request.class)
                .correct(request.organisation, excess);
            if urgent {
                fleet.headroom.change(-1.0, now);
            }
        }
        self.organisations
            .with_account(request.organisation, now, |account, _| account.end(excess));
    }

    pub(crate) fn fleet(&mut self, model: id::ModelKey) -> &mut fleet::ModelFleet {
        if !self.models.contains_key(model) {
            let residual = self.lengths.residual(model);
            self.models.insert(model, fleet::ModelFleet::new(residual));
        }
        &mut self.models[model]
    }

    /// Why `ticket` is refused at its submission, with when to come back.
    fn refusal(
        &mut self,
        ticket: TicketKey,
        now: time::Instant,
    ) -> Option<(RefusalReason, Option<time::Duration>)> {
        let state = &self.tickets[ticket];
        let (request, expected) = (state.request, f64::from(state.expected));
        let limited = !request.retry && self.organisations.limited(request.organisation);
        if limited {
            let refusal =
                self.organisations
                    .with_account(request.organisation, now, |account, plan| {
                        account.record_request(expected);
                        account.refusal(plan)
                    });
            if let Some((kind, delay)) = refusal
                && request.class != class::TrafficClass::Deferrable
            {
                return Some((kind.reason(), Some(delay)));
            }
        }
        self.early_refusal(&request, now)
    }
}

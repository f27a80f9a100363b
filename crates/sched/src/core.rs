//! Scheduling decisions without I/O: the core takes events and returns decisions.
//!
//! This module holds the state and the event handlers. `dispatch` makes the decisions and
//! `maintenance` refreshes derived state.

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

/// Number of produced tokens after which the memory prediction of a running generation is
/// recomputed.
const LOAD_REFRESH_TOKENS: u32 = 16;

/// Weight of one measured first-token delay in the moving average of the prefill rate.
const PREFILL_RATE_WEIGHT: f32 = 0.05;

/// Decides when each generation starts and on which server.
///
/// Every method takes the current time, and state changes only inside calls. The caller owns the
/// arenas of the organisation, server, model and VM keys.
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
    /// Deadlines of waiting tickets, earliest first. Entries of tickets that no longer wait are
    /// skipped.
    pub(crate) deadlines: collections::BinaryHeap<cmp::Reverse<(time::Instant, TicketKey)>>,
    /// Refusals decided by [`Self::submit`] and returned by the next [`Self::poll`].
    pub(crate) refusals: Vec<Decision>,
    /// Servers that sent a load report since the last search for generations to preempt.
    pub(crate) reported: Vec<id::ServerKey>,
    pub(crate) maintained_at: Option<time::Instant>,
    pub(crate) swept_at: Option<time::Instant>,
    /// Number of waiting tickets in all queues.
    pub(crate) waiting: usize,
}

/// Number of waiting and running requests of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassLoad {
    /// Requests waiting in a queue.
    pub waiting: u32,
    /// Requests running on a server.
    pub running: u32,
    /// Wait time of the request that has waited the longest.
    pub max_wait: time::Duration,
}

impl DispatchCore {
    /// Creates a core without servers and organisations.
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

    /// Replaces the settings. Running generations are not affected.
    pub fn settings_changed(&mut self, settings: settings::PolicySettings) {
        self.organisations
            .set_entries(settings.organisation_entries);
        self.affinity.set_half_life(settings.prefix_half_life);
        self.settings = settings;
        self.rank_candidates();
    }

    /// Handles a new server, or a change of a server's inventory entry or models.
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

    /// Handles the removal of a server. The holders of the tickets that ran there still have to end
    /// them.
    pub fn server_removed(&mut self, server: id::ServerKey) {
        self.servers.remove(server);
        self.affinity.clear(server);
        self.rank_candidates();
    }

    /// Handles a server that is leaving: it gets no new work, and generations running there
    /// continue.
    pub fn server_leaving(&mut self, server: id::ServerKey) {
        if let Some(view) = self.servers.get_mut(server) {
            view.leaving = true;
        }
    }

    /// Handles a change of the membership's suspicion that a server has failed.
    pub fn server_suspected(&mut self, server: id::ServerKey, suspected: bool) {
        if let Some(view) = self.servers.get_mut(server) {
            view.suspected = suspected;
        }
    }

    /// Handles a restart of a server, which invalidates what was known of its memory, its cache and
    /// whether it is leaving.
    pub fn server_restarted(&mut self, server: id::ServerKey, now: time::Instant) {
        self.affinity.clear(server);
        if let Some(view) = self.servers.get_mut(server) {
            view.restart(now);
        }
    }

    /// Handles a digest of another entry VM's work for a model.
    pub fn entry_reported(
        &mut self,
        vm: id::VmKey,
        model: id::ModelKey,
        digest: share::EntryDigest,
        taken_at: time::Instant,
    ) {
        self.fleet(model).shares.record(vm, digest, taken_at);
    }

    /// Handles the departure of another entry VM.
    pub fn entry_removed(&mut self, vm: id::VmKey) {
        for (_, fleet) in &mut self.models {
            fleet.shares.remove(vm);
        }
    }

    /// Returns one digest of this VM's work for each model, to be sent to the other entry VMs about
    /// once a second, also for models without work.
    pub fn entry_digests(&self) -> impl Iterator<Item = (id::ModelKey, share::EntryDigest)> + '_ {
        let weight = self.organisations.busy_weight() as f32;
        let identity = self.settings.identity;
        self.models
            .iter()
            .map(move |(model, fleet)| (model, fleet.digest(identity, weight)))
    }

    /// Handles an engine's report that it stored (`cached`) or evicted a prefix at `at`. Prefixes
    /// of other lengths than those at which prompts are compared are ignored.
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

    /// Handles a new organisation or a change of its plan.
    pub fn organisation_set(
        &mut self,
        organisation: id::OrganisationKey,
        plan: settings::OrganisationPlan,
    ) {
        self.organisations.set(organisation, plan);
    }

    /// Handles the removal of an organisation.
    pub fn organisation_removed(&mut self, organisation: id::OrganisationKey) {
        self.organisations.remove(organisation);
    }

    /// Handles the demand for an organisation that another of its entry VMs reported.
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

    /// Returns the demand of each limited organisation, to be sent to its other entry VMs about
    /// once a second.
    pub fn demands(&self) -> impl Iterator<Item = (id::OrganisationKey, limit::LimitDemand)> + '_ {
        self.organisations.demands()
    }

    /// Returns the organisation's limit that would delay one more request, and the time until that
    /// request would be within the limit.
    ///
    /// Callers check this before they accept deferrable work. [`Self::submit`] queues deferrable
    /// work that is over its limit, because accepted work may no longer be refused.
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

    /// Submits a generation. The decision comes from [`Self::poll`].
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
            wait_cause: WaitCause::None,
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

    /// Handles the first token of a generation.
    pub fn first_token(&mut self, ticket: TicketKey, now: time::Instant) {
        self.tokens(ticket, 1, now);
    }

    /// Handles the arrival of `count` further tokens; the first token counts too.
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

    /// Handles a sign of life from the engine for a generation, without a token.
    pub fn alive(&mut self, ticket: TicketKey, now: time::Instant) {
        let run = self.tickets.get(ticket).and_then(|state| state.run);
        if let Some(server) = run.and_then(|run| self.servers.get_mut(run.server)) {
            server.active_at = now;
        }
    }

    /// Handles the number of cached prompt tokens that an engine reports at the end of a
    /// generation.
    pub fn cached(&mut self, ticket: TicketKey, tokens: u32) {
        if let Some(run) = self.tickets.get(ticket).and_then(|state| state.run) {
            self.affinity.record_hit(run.predicted_cached, tokens);
        }
    }

    /// Ends the ticket of a generation that completed with `produced` tokens in total.
    ///
    /// The completion may cross the request to stop the generation. The ticket is then waiting
    /// again and has to be removed from its queue too, or the queue would keep a dangling entry.
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

    /// Ends the ticket of a generation that failed on its server.
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

    /// Ends the ticket of a request that its caller withdrew.
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

    /// Queues a stopped generation again, ahead of its organisation's other requests.
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

    /// Returns when [`Self::poll`] is due if no other event occurs, or `None` if nothing is
    /// pending.
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

    /// Returns the number of requests waiting in a queue.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the load of each class. Iterates over all tickets, so it is too slow to call for
    /// each decision.
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
                load.max_wait = load.max_wait.max(waited);
            }
        }
        loads
    }

    /// Returns the number of waiting and running requests.
    #[must_use]
    pub fn tickets(&self) -> usize {
        self.tickets.len()
    }

    /// Returns the state of a server.
    #[must_use]
    pub fn server(&self, server: id::ServerKey) -> Option<&view::ServerView> {
        self.servers.get(server)
    }

    /// Returns what a waiting request last waited for.
    #[must_use]
    pub fn wait_cause(&self, ticket: TicketKey) -> Option<WaitCause> {
        let state = self.tickets.get(ticket)?;
        state.run.is_none().then_some(state.wait_cause)
    }

    fn update_prefill_rate(&mut self, run: &ticket::RunState, delay: f32) {
        let Some(server) = self.servers.get(run.server) else {
            return;
        };
        let time = delay - server.step;
        // The delay says little about the rate if other work came first or the prompt is small.
        if run.prefill >= 128.0 && time > 1e-3 {
            let rate = (run.prefill / time).clamp(200.0, 200_000.0);
            self.prefill_rate += PREFILL_RATE_WEIGHT * (rate - self.prefill_rate);
        }
    }

    /// Recomputes the current and future memory of a running generation.
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

    /// Puts a ticket that is not running into its queue.
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

    /// Removes a running ticket from its server after `produced` tokens.
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

    /// Returns the reason to refuse `ticket` at submission, if there is one, and the retry delay.
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

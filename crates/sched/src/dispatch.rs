//! Serves the queues: selects the next request, checks free capacity and chooses a server.

use std::cmp;

use base::{class, id};
use tokio::time;

use crate::{
    admission,
    core::DispatchCore,
    explain::{self, Decision, WaitCause},
    fleet::ServerReservation,
    queue,
    request::TicketKey,
    risk, route, ticket, victim, view,
};

/// Number of memory horizons checked for preemption. Memory that would run out at a later horizon
/// may still be freed before.
const PREEMPTION_HORIZONS: usize = 2;

/// Result of serving a queue once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServeOutcome {
    /// A request was dispatched; the value is its cost in whole tokens.
    Served(u64),
    /// A flow was parked; the queue has to be served again.
    Skipped,
    /// No server has capacity for any of the requests considered.
    Blocked,
    /// The queue is empty.
    Empty,
}

impl DispatchCore {
    /// Appends the decisions that are due now to `decisions`.
    pub fn poll(&mut self, now: time::Instant, decisions: &mut Vec<Decision>) {
        self.maintain(now);
        decisions.append(&mut self.refusals);
        self.expire(now, decisions);
        self.find_victims(now, decisions);
        if self.waiting == 0 {
            return;
        }
        // Collecting the keys would allocate on each poll; checking a model without waiting
        // requests is cheap.
        let mut next = self.models.keys().next();
        while let Some(model) = next {
            self.serve_model(model, now, decisions);
            next = self.models.keys().skip_while(|key| *key != model).nth(1);
        }
    }

    /// Refuses waiting requests whose deadline has passed.
    fn expire(&mut self, now: time::Instant, decisions: &mut Vec<Decision>) {
        while let Some(&cmp::Reverse((deadline, ticket))) = self.deadlines.peek() {
            let waits = self
                .tickets
                .get(ticket)
                .is_some_and(|state| state.run.is_none());
            if waits && deadline > now {
                return;
            }
            self.deadlines.pop();
            if !waits {
                continue;
            }
            let state = &self.tickets[ticket];
            let (request, wait) = (state.request, state.wait_cause);
            let predicted = self.predicted_wait(&request);
            self.withdrawn(ticket, now);
            let reason = match wait {
                WaitCause::Limit => explain::RefusalReason::Concurrency,
                WaitCause::Server => explain::RefusalReason::NoServer,
                _ => explain::RefusalReason::Deadline,
            };
            let retry_after = Some(Self::retry_after(predicted, 0.0));
            decisions.push(Decision::Refuse {
                ticket,
                reason,
                retry_after,
            });
        }
    }

    fn serve_model(
        &mut self,
        model: id::ModelKey,
        now: time::Instant,
        decisions: &mut Vec<Decision>,
    ) {
        use class::TrafficClass::{Deferrable, Normal, Urgent};
        if self.models[model]
            .queues
            .iter()
            .all(queue::FairQueue::is_empty)
        {
            return;
        }
        self.unpark(model, now);
        while let ServeOutcome::Served(_) | ServeOutcome::Skipped =
            self.serve(model, Urgent, now, decisions)
        {}
        loop {
            let due = self.deferrable_due(model);
            let first = if due { Deferrable } else { Normal };
            let second = if due { Normal } else { Deferrable };
            let mut outcome = self.serve(model, first, now, decisions);
            let mut class = first;
            if matches!(outcome, ServeOutcome::Blocked | ServeOutcome::Empty) {
                outcome = self.serve(model, second, now, decisions);
                class = second;
            }
            match outcome {
                ServeOutcome::Served(cost) => self.update_credit(model, class, cost as f64),
                ServeOutcome::Skipped => {}
                ServeOutcome::Blocked | ServeOutcome::Empty => return,
            }
        }
    }

    /// Whether deferrable work has earned enough credit to be served before normal work.
    fn deferrable_due(&self, model: id::ModelKey) -> bool {
        let fleet = &self.models[model];
        let front = fleet.queues[class::TrafficClass::Deferrable.index()].front();
        front.is_some_and(|front| fleet.credit >= front.cost)
    }

    fn update_credit(&mut self, model: id::ModelKey, class: class::TrafficClass, cost: f64) {
        let floor = self.settings.deferrable_floor;
        let fleet = &mut self.models[model];
        let queue = &fleet.queues[class::TrafficClass::Deferrable.index()];
        let Some(front) = queue.front() else {
            fleet.credit = 0.0;
            return;
        };
        match class {
            class::TrafficClass::Deferrable => fleet.credit = (fleet.credit - cost).max(0.0),
            _ => {
                let earned = cost * floor / (1.0 - floor).max(1e-3);
                fleet.credit = (fleet.credit + earned).min(2.0 * front.cost);
            }
        }
    }

    fn unpark(&mut self, model: id::ModelKey, now: time::Instant) {
        let organisations = &mut self.organisations;
        for queue in &mut self.models[model].queues {
            queue.unpark(|organisation| organisations.may_start(organisation, now));
        }
    }

    /// Serves one request among the first few of a queue.
    fn serve(
        &mut self,
        model: id::ModelKey,
        class: class::TrafficClass,
        now: time::Instant,
        decisions: &mut Vec<Decision>,
    ) -> ServeOutcome {
        let mut fronts = [queue::QueuedTicket::default(); queue::MAX_FRONTS];
        let count = self.models[model].queue(class).fronts(&mut fronts);
        let due = self.deferrable_due(model);
        for (index, front) in fronts[..count].iter().enumerate() {
            let organisation = self.tickets[front.ticket].request.organisation;
            if !self.organisations.may_start(organisation, now) {
                self.tickets[front.ticket].wait_cause = WaitCause::Limit;
                self.models[model].queue(class).park(organisation);
                return ServeOutcome::Skipped;
            }
            match self.find_server(front.ticket, now) {
                Ok((choice, load, chance)) => {
                    self.models[model].queue(class).pop(organisation);
                    self.models[model].drains[class.index()].serve(front.cost);
                    decisions.push(self.start(front.ticket, &choice, &load, chance, now));
                    return ServeOutcome::Served(front.cost as u64);
                }
                Err(wait) => {
                    let state = &mut self.tickets[front.ticket];
                    state.wait_cause = wait;
                    if index == 0 && (class != class::TrafficClass::Deferrable || due) {
                        self.reserve_server(front.ticket, now);
                    }
                }
            }
        }
        if count == 0 {
            ServeOutcome::Empty
        } else {
            ServeOutcome::Blocked
        }
    }

    /// Reserves an engine for the request at the front of a queue if it has been blocked for
    /// `reserve_after`. Otherwise smaller requests behind it would take all capacity that becomes
    /// free, and it would starve.
    fn reserve_server(&mut self, ticket: TicketKey, now: time::Instant) {
        let state = &mut self.tickets[ticket];
        let since = *state.blocked_at.get_or_insert(now);
        let request = state.request;
        let waited = now.saturating_duration_since(since) >= self.settings.reserve_after;
        let fleet = &mut self.models[request.model];
        let taken = fleet
            .reservation
            .is_some_and(|reserved| self.tickets.contains_key(reserved.ticket));
        if !waited || taken || request.class == class::TrafficClass::Urgent {
            return;
        }
        let servers = &self.servers;
        let fullness = |key: &id::ServerKey| {
            let server = servers
                .get(*key)
                .filter(|server| route::healthy(server, now))?;
            Some(server.total_memory(now).mean[2] / server.capacity())
        };
        let emptiest = fleet
            .local
            .iter()
            .filter_map(|key| fullness(key).map(|full| (full, *key)))
            .min_by(|left, right| left.0.total_cmp(&right.0));
        fleet.reservation = emptiest.map(|(_, server)| ServerReservation { ticket, server });
    }

    /// Chooses a server for a waiting ticket. Returns the choice, the memory load that the ticket
    /// adds there and the chance that the server then runs out of memory.
    fn find_server(
        &mut self,
        ticket: TicketKey,
        now: time::Instant,
    ) -> Result<(route::RouteChoice, risk::MemoryLoad, f32), WaitCause> {
        let state = &self.tickets[ticket];
        let (request, submitted_at) = (state.request, state.submitted_at);
        let fleet = &self.models[request.model];
        let first = fleet.local.first().or(fleet.remote.first());
        let rounding = first
            .and_then(|key| self.servers.get(*key))
            .map_or(0.0, |server| server.rounding());
        let histogram = self.lengths.find(state.source());
        let curve = self
            .lengths
            .curve(state.source(), histogram, request.max_tokens);
        let load =
            risk::MemoryLoad::of_generation(&curve, request.prompt_tokens as f32 + rounding, 0.0);
        let bounds = self.admission_bounds(&request, fleet);
        let reserved = fleet
            .reservation
            .filter(|reserved| reserved.ticket != ticket)
            .map(|reserved| reserved.server);
        let urgent = request.class == class::TrafficClass::Urgent;
        let query = route::RouteQuery {
            request: &request,
            load: &load,
            bounds: &bounds,
            reserved: reserved.filter(|_| !urgent),
            prefill_rate: self.prefill_rate,
        };
        let estimates = self.affinity.estimates(&request.prefix, now);
        let context = route::RouteContext {
            servers: &self.servers,
            estimates: &estimates,
            shares: &fleet.shares,
            settings: &self.settings,
            now,
        };
        let mut found = context.choose(&fleet.local, &query, &mut self.rng);
        let waited = now.saturating_duration_since(submitted_at);
        let may_spill = urgent || waited >= self.settings.spill_after;
        if found.is_err() && may_spill && !fleet.remote.is_empty() {
            let spilled = context.choose(&fleet.remote, &query, &mut self.rng);
            found = spilled
                .map(|choice| route::RouteChoice {
                    cause: explain::ChoiceCause::RegionSpill,
                    ..choice
                })
                .or(found);
        }
        let choice = found?;
        let server = &self.servers[choice.server];
        let mut total = server.total_memory(now);
        total.add(&load);
        let chance = risk::overflow_chance(&total, server.capacity());
        self.tickets[ticket].histogram = histogram;
        Ok((choice, load, chance))
    }

    /// Computes the bounds on the admission of `request`.
    fn admission_bounds(
        &self,
        request: &crate::request::GenerationRequest,
        fleet: &crate::fleet::ModelFleet,
    ) -> admission::AdmissionBounds {
        let deviations = risk::deviations(self.settings.overflow_chance(request.class));
        let urgent = request.class == class::TrafficClass::Urgent;
        let (mut slots, mut tokens) = (0.0, 0.0);
        if !urgent {
            let demand = fleet.headroom.demand() + fleet.shares.others_urgent();
            let spread = self.settings.headroom_deviations * demand.sqrt();
            // Running urgent work is already part of the loads, so only the idle part of this VM's
            // own demand is reserved.
            let engines = fleet.ring.len().max(1) as f32;
            slots = (fleet.headroom.idle() + spread) / engines;
            tokens = slots * fleet.headroom.tokens();
        }
        admission::AdmissionBounds {
            deviations,
            slot_uncertainty: self.settings.slot_uncertainty,
            reserved_tokens: tokens,
            reserved_slots: slots,
            shared: self.settings.enforce_share && !urgent,
        }
    }

    fn start(
        &mut self,
        ticket: TicketKey,
        choice: &route::RouteChoice,
        load: &risk::MemoryLoad,
        chance: f32,
        now: time::Instant,
    ) -> Decision {
        self.waiting -= 1;
        let state = &mut self.tickets[ticket];
        let (request, expected) = (state.request, f64::from(state.expected));
        let urgent = request.class == class::TrafficClass::Urgent;
        let deferrable = request.class == class::TrafficClass::Deferrable;
        let server = &mut self.servers[choice.server];
        let index = server.start(ticket, load, choice.prefill, deferrable, now);
        state.run = Some(ticket::RunState {
            server: choice.server,
            index,
            started_at: now,
            load: *load,
            produced: 0,
            load_produced: 0,
            last_token_at: now,
            predicted_cached: choice.cached,
            prefill: choice.prefill,
            stopping: false,
        });
        let reason = explain::DispatchReason {
            cause: choice.cause,
            wait_cause: state.wait_cause,
            waited: now.saturating_duration_since(state.submitted_at),
            candidates: choice.candidates,
            overflow_permille: (chance * 1_000.0) as u16,
            first_token: time::Duration::from_secs_f32(choice.first_token.max(0.0)),
            cached_tokens: choice.cached,
            report_age: server.report_age(now).unwrap_or_default(),
        };
        let fleet = &mut self.models[request.model];
        if fleet
            .reservation
            .is_some_and(|reserved| reserved.ticket == ticket)
        {
            fleet.reservation = None;
        }
        if urgent {
            fleet.headroom.change(1.0, now);
        }
        if !self.settings.prefix_half_life.is_zero() {
            for prefix in request.prefix.hashes() {
                self.affinity.insert(prefix.hash, choice.server, now);
            }
        }
        self.organisations
            .with_account(request.organisation, now, |account, _| {
                account.start(expected)
            });
        let (server, priority) = (choice.server, view::ServerView::priority(request.class));
        Decision::Dispatch {
            ticket,
            server,
            priority,
            reason,
        }
    }

    /// Preempts a generation on each server whose latest report shows that it is about to run out
    /// of memory.
    fn find_victims(&mut self, now: time::Instant, decisions: &mut Vec<Decision>) {
        while let Some(key) = self.reported.pop() {
            let Some(server) = self.servers.get(key) else {
                continue;
            };
            let total = server.total_memory(now);
            let capacity = server.capacity();
            let mut chance = 0.0f32;
            for index in 0..PREEMPTION_HORIZONS {
                let deviation = total.variance[index].sqrt().max(1.0);
                let free = capacity - total.mean[index];
                chance = chance.max(risk::tail_chance(free / deviation));
            }
            if chance < self.settings.victim_chance {
                continue;
            }
            let own = server.tickets.iter();
            let running = own.filter_map(|ticket| Some((*ticket, self.tickets.get(*ticket)?)));
            let Some((ticket, lost_tokens)) = victim::choose(running) else {
                continue;
            };
            if lost_tokens > self.settings.victim_tokens {
                continue;
            }
            if let Some(run) = &mut self.tickets[ticket].run {
                run.stopping = true;
            }
            let overflow_permille = (chance * 1_000.0) as u16;
            let reason = explain::PreemptReason {
                overflow_permille,
                lost_tokens,
            };
            decisions.push(Decision::Preempt {
                ticket,
                server: key,
                reason,
            });
        }
    }
}

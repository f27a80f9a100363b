//! Exhaustive enumeration of the states of two holders and one server, with the real fold, holder
//! and checks.
//!
//! A state contains everything that later steps depend on. From each state, every action of every
//! party is taken: a holder requests a lease, pauses (takes no action), gives up on an answer,
//! reads a verdict late or releases; the log executes an append at once, late or never; an order is
//! sent and takes effect at once, late or never; time passes. Clocks run at different rates within
//! the drift limit.
//!
//! In the model an order is in flight from the moment of its check, and the server accepts its
//! connection at that moment. A pause between check and sending and a delay in the network are
//! both part of the time until the order arrives. If the server accepted the connection earlier,
//! it would refuse more orders.

use std::{collections, iter};

use base::id;
use lease::{fold, holder, limits};
use ledger::driver::LogFold as _;
use ledger::record;
use tokio::time;

const SERVER: &str = "engine-1";
/// Time that passes before the first step.
const START_MS: u64 = 100;
const LIMITS: limits::LeaseLimits = limits::LeaseLimits {
    hold_ms: 30,
    renew_ms: 10,
    order_ms: 10,
    drift_ppm: 100_000,
    holders_per_region: 2,
};

/// Milliseconds that each clock advances in one step of true time (10 ms).
#[derive(Clone, Copy, Debug)]
struct ClockRates {
    holders: [u64; 2],
    server: u64,
    /// May be any rate: the guarantees must not depend on the log's clock.
    log: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum ServerRule {
    ChecksFencing,
    IgnoresFencing,
}

impl ServerRule {
    /// Maximum number of records that a process requests. The first holder takes the lease, then
    /// renews, releases or takes it again. The second takes the lease over and must renew it to
    /// still hold it after its wait for earlier orders.
    const fn requests(self, who: usize) -> u8 {
        match (self, who) {
            (Self::ChecksFencing, 1) => 1,
            _ => 2,
        }
    }

    /// Number of steps of true time. If the second holder must wait, its first order is sent at
    /// step 5 at the earliest, or at step 7 if the first holder has renewed; otherwise at once or
    /// at step 1 or 4.
    const fn max_steps(self) -> u8 {
        match self {
            Self::ChecksFencing => 5,
            Self::IgnoresFencing => 8,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Append {
    item: fold::HoldItem,
    requested_at: time::Instant,
    /// `None` until the append takes effect.
    verdict: Option<fold::LeaseVerdict>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    holder: holder::LeaseHolder,
    requests: u8,
    waiting: Option<Append>,
    /// An append that the process has abandoned and that may still take effect.
    abandoned: Option<fold::HoldItem>,
    order: Option<InFlightOrder>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct InFlightOrder {
    fencing: u64,
    accepted_step: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ModelState {
    step: u8,
    offset: u64,
    fold: fold::LeaseFold,
    processes: [Process; 2],
    /// The newest order in effect: its fencing number and its sender.
    in_effect: Option<(u64, usize)>,
}

struct Model {
    rates: ClockRates,
    rule: ServerRule,
    origin: time::Instant,
    /// Number of orders of a newer holder that took effect after those of an older holder.
    takeovers: u64,
    effective: u64,
    refused: u64,
}

impl Model {
    fn now(&self, state: &ModelState, who: usize) -> time::Instant {
        let passed_ms = START_MS + u64::from(state.step) * self.rates.holders[who];
        self.origin + time::Duration::from_millis(passed_ms)
    }

    fn log_ms(&self, state: &ModelState) -> u64 {
        START_MS + u64::from(state.step) * self.rates.log
    }

    fn successors(&mut self, state: &ModelState) -> Vec<ModelState> {
        let mut found = Vec::new();
        for who in 0..2 {
            self.process_actions(state, who, &mut found);
            self.log_actions(state, who, &mut found);
            self.server_actions(state, who, &mut found);
        }
        if state.step < self.rule.max_steps() {
            let mut next = state.clone();
            next.step += 1;
            found.push(next);
        }
        found
    }

    /// Removes data that no later step depends on, so that equivalent states are equal.
    fn normalise(&mut self, state: &mut ModelState) {
        for who in 0..2 {
            let now = self.now(state, who);
            let process = &mut state.processes[who];
            let is_exhausted =
                process.requests == self.rule.requests(who) && process.waiting.is_none();
            if is_exhausted && process.holder.permit(SERVER, now).is_err() {
                process.holder = new_holder(who);
            }
            let Some(order) = &mut process.order else {
                continue;
            };
            match self.rule {
                ServerRule::ChecksFencing => order.accepted_step = 0,
                ServerRule::IgnoresFencing => {
                    let age_ms = u64::from(state.step - order.accepted_step) * self.rates.server;
                    if age_ms > LIMITS.order_ms {
                        self.refused += 1;
                        process.order = None;
                    }
                }
            }
        }
    }

    /// Whether an order may still take effect.
    fn can_take_effect(&self, state: &ModelState) -> bool {
        (0..2).any(|who| {
            let process = &state.processes[who];
            let idle = process.holder == new_holder(who);
            let is_exhausted =
                process.requests == self.rule.requests(who) && process.waiting.is_none();
            !(idle && is_exhausted && process.order.is_none())
        })
    }

    fn process_actions(&self, state: &ModelState, who: usize, found: &mut Vec<ModelState>) {
        let process = &state.processes[who];
        let now = self.now(state, who);
        if process.waiting.is_none() && process.requests < self.rule.requests(who) {
            let wanted = collections::BTreeSet::from([SERVER.to_owned()]);
            // Only the first holder releases its lease; a release by the second has no successor.
            let leaving = (who == 0).then(collections::BTreeSet::new);
            for assigned in iter::once(wanted).chain(leaving) {
                let log_ms = Some(self.log_ms(state));
                if let Some(item) = process.holder.plan(&assigned, &state.fold, log_ms) {
                    let mut next = state.clone();
                    let process = &mut next.processes[who];
                    process.holder.begin_request(&item);
                    process.requests += 1;
                    process.waiting = Some(Append {
                        item,
                        requested_at: now,
                        verdict: None,
                    });
                    found.push(next);
                }
            }
        }
        if let Some(append) = &process.waiting {
            let mut next = state.clone();
            let process = &mut next.processes[who];
            process.waiting = None;
            if let Some(verdict) = &append.verdict {
                process
                    .holder
                    .apply_verdict(&append.item, verdict, append.requested_at, now);
                found.push(next.clone());
            } else if who == 0 && process.abandoned.is_none() {
                // Both holders have pauses and late answers; only the first also has lost requests.
                process.abandoned = Some(append.item.clone());
                found.push(next.clone());
            }
            if append.verdict.is_some() {
                // The process gives up before it has read the verdict.
                next.processes[who].holder = state.processes[who].holder.clone();
                found.push(next);
            }
        }
        if let Ok(permit) = process.holder.permit(SERVER, now) {
            let checked = match self.rule {
                ServerRule::ChecksFencing => permit.check_fenced(now),
                ServerRule::IgnoresFencing => permit.check_unfenced(now),
            };
            if checked.is_ok() {
                let mut next = state.clone();
                next.processes[who].order = Some(InFlightOrder {
                    fencing: permit.fencing(),
                    accepted_step: state.step,
                });
                found.push(next);
            }
        }
    }

    fn log_actions(&self, state: &ModelState, who: usize, found: &mut Vec<ModelState>) {
        let process = &state.processes[who];
        if let Some(append) = &process.waiting
            && append.verdict.is_none()
        {
            let mut next = state.clone();
            let verdict = self.append(&mut next, &append.item);
            if let Some(append) = &mut next.processes[who].waiting {
                append.verdict = Some(verdict);
            }
            found.push(next);
        }
        if let Some(item) = &process.abandoned {
            let mut next = state.clone();
            next.processes[who].abandoned = None;
            self.append(&mut next, item);
            found.push(next);
        }
    }

    fn append(&self, state: &mut ModelState, item: &fold::HoldItem) -> fold::LeaseVerdict {
        let at_ms = self.log_ms(state);
        Self::append_at(state, item, at_ms)
    }

    fn append_at(state: &mut ModelState, item: &fold::HoldItem, at_ms: u64) -> fold::LeaseVerdict {
        let place = record::RecordPlace {
            offset: state.offset,
            at_ms,
        };
        state.offset += 1;
        let entry = record::BatchEntry {
            id: id::RecordId(u128::from(place.offset)),
            seen: 0,
            item: fold::LeaseEntry::Hold(item.clone()),
        };
        let batch = record::BatchRecord {
            writer: item.holder.vm.clone(),
            entries: vec![entry],
        };
        let mut verdicts = state.fold.apply(place, batch);
        verdicts.remove(0).verdict
    }

    fn server_actions(&mut self, state: &ModelState, who: usize, found: &mut Vec<ModelState>) {
        let Some(order) = state.processes[who].order else {
            return;
        };
        let mut next = state.clone();
        next.processes[who].order = None;
        let newest = state.in_effect.map(|(fencing, _)| fencing);
        let old = newest.is_some_and(|newest| newest > order.fencing);
        match self.rule {
            // The model assumes that such a server does not refuse late orders.
            ServerRule::ChecksFencing if old => {
                self.refused += 1;
                next.processes[who].holder.mark_lost(SERVER, order.fencing);
            }
            ServerRule::ChecksFencing => self.take_effect(&mut next, who, order),
            // Orders past their time limit were already removed.
            ServerRule::IgnoresFencing => self.take_effect(&mut next, who, order),
        }
        found.push(next);
    }

    fn take_effect(&mut self, state: &mut ModelState, who: usize, order: InFlightOrder) {
        if let Some((newest, sender)) = state.in_effect {
            assert!(
                order.fencing >= newest,
                "an old holder's order took effect after a new holder's: {self:?} {state:#?}"
            );
            assert!(
                order.fencing > newest || sender == who,
                "two holders sent orders under one fencing number: {self:?} {state:#?}"
            );
            self.takeovers += u64::from(order.fencing > newest);
        }
        self.effective += 1;
        state.in_effect = Some((order.fencing, who));
    }
}

impl std::fmt::Debug for Model {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:?} {:?}", self.rule, self.rates)
    }
}

fn new_holder(who: usize) -> holder::LeaseHolder {
    let id = fold::HolderId {
        vm: format!("vm-{who}"),
        incarnation: id::Incarnation(who as u128),
    };
    holder::LeaseHolder::new(id, LIMITS)
}

/// Returns the initial state: the first process held the lease, which has lapsed, and has just
/// requested a renewal. The second process may therefore take the lease at once or later.
fn initial_state(model: &Model) -> ModelState {
    let process = |who| Process {
        holder: new_holder(who),
        requests: 0,
        waiting: None,
        abandoned: None,
        order: None,
    };
    let mut state = ModelState {
        step: 0,
        offset: 0,
        fold: fold::LeaseFold::default(),
        processes: [process(0), process(1)],
        in_effect: None,
    };
    let long_ago = model.origin;
    let mut holder = new_holder(0);
    let first_item = planned(&holder, &state.fold);
    let verdict = Model::append_at(&mut state, &first_item, 0);
    holder.apply_verdict(&first_item, &verdict, long_ago, long_ago);
    let item = planned(&holder, &state.fold);
    let requested_at = model.now(&state, 0);
    let first = &mut state.processes[0];
    first.holder = holder;
    first.requests = 1;
    first.waiting = Some(Append {
        item,
        requested_at,
        verdict: None,
    });
    state
}

fn planned(holder: &holder::LeaseHolder, leases: &fold::LeaseFold) -> fold::HoldItem {
    let assigned = collections::BTreeSet::from([SERVER.to_owned()]);
    holder
        .plan(&assigned, leases, Some(0))
        .expect("a free lease or an own one")
}

/// Visits every state. States of one step lead only to states of the same and the next step, so
/// only the states of one step are kept at a time.
fn enumerate(rule: ServerRule, rates: ClockRates) -> (usize, u64) {
    let mut model = Model {
        rates,
        rule,
        origin: time::Instant::now(),
        takeovers: 0,
        effective: 0,
        refused: 0,
    };
    let mut states = 0;
    let mut closed = 0_u64;
    let mut step = collections::HashSet::from([initial_state(&model)]);
    while !step.is_empty() {
        let mut next_step = collections::HashSet::new();
        let mut open: Vec<ModelState> = step.iter().cloned().collect();
        while let Some(state) = open.pop() {
            for mut next in model.successors(&state) {
                model.normalise(&mut next);
                if !model.can_take_effect(&next) {
                    closed += 1;
                    continue;
                }
                if next.step > state.step {
                    next_step.insert(next);
                } else if step.insert(next.clone()) {
                    open.push(next);
                }
            }
        }
        states += step.len();
        step = next_step;
    }
    println!(
        "{model:?}: {states} states, {closed} ends, {} orders in effect, {} refusals, {} takeovers",
        model.effective, model.refused, model.takeovers
    );
    assert!(
        model.takeovers > 0,
        "no successor ever sent an order: {model:?}"
    );
    (states, model.refused)
}

/// Clock rates of the two holders, in both orders, and of the server. The log's clock runs five
/// times too fast, so that a lease changes hands while its holder still has most of its time left.
const CLOCK_RATES: [([u64; 2], u64); 3] = [([10, 10], 10), ([9, 11], 9), ([11, 9], 9)];

fn enumerate_all(rule: ServerRule) {
    let mut states = 0;
    let mut refusals = 0;
    for (holders, server) in CLOCK_RATES {
        let rates = ClockRates {
            holders,
            server,
            log: 50,
        };
        let (found, refused) = enumerate(rule, rates);
        states += found;
        refusals += refused;
    }
    println!("{rule:?}: {states} states in all");
    assert!(
        refusals > 0,
        "no order was ever refused, so the model does not cover outdated orders"
    );
}

/// Guards against orders without a fencing number, or two holders with the same number: the holder
/// is paused until its lease has lapsed, another VM takes over, and the old order arrives. The
/// engine would accept orders of a VM that lost the lease.
#[test]
fn servers_that_check_fencing_obey_one_holder() {
    enumerate_all(ServerRule::ChecksFencing);
}

/// Guards against a successor that does not wait until the old lease is over, and against deadlines
/// that are counted from too late: the holder checks its lease and is paused, a successor sends its
/// first order, and then the old order arrives. An engine that ignores fencing numbers would be
/// returned to an old version.
#[test]
fn servers_that_ignore_fencing_obey_one_holder() {
    enumerate_all(ServerRule::IgnoresFencing);
}

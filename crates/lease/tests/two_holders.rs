//! Exhaustive enumeration of two holders and one server, with the real fold, holder and checks.
//!
//! One state is everything that the future depends on. From each state every action of every
//! party is taken: a holder asks, is paused (takes no action), gives up on an answer, reads a
//! verdict late, releases; the log takes an append at once, late or never; an order leaves and
//! lands at once, late or never; time passes. Clocks run at different rates within the bound.
//!
//! An order in the model is put in flight at the moment of its check, and its connection is seen
//! by the server at that moment: a pause between check and sending, and a delay in the network,
//! are both the time until it lands. An earlier sight of the connection lets less through.

use std::{collections, iter};

use base::id;
use lease::{fold, holder, limits};
use ledger::driver::LogFold as _;
use ledger::record;
use tokio::time;

const SERVER: &str = "engine-1";
/// Time that passed before the first step.
const LONG_MS: u64 = 100;
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
    /// Any rate: nothing may rest on the log's clock.
    log: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum ServerRule {
    ChecksFencing,
    IgnoresFencing,
}

impl ServerRule {
    /// Records that a process asks for at the most. The first holder takes, and renews, releases
    /// or takes back. The second takes over, and must renew to outlast its own waiting.
    const fn asks(self, who: usize) -> u8 {
        match (self, who) {
            (Self::ChecksFencing, 1) => 1,
            _ => 2,
        }
    }

    /// Steps of true time. Where it must wait, the second holder's first order comes at step 5 at
    /// the earliest and at step 7 when the first had renewed; else at once, or at step 1 or 4.
    const fn horizon(self) -> u8 {
        match self {
            Self::ChecksFencing => 5,
            Self::IgnoresFencing => 8,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Append {
    item: fold::HoldItem,
    asked: time::Instant,
    /// Absent: it has not taken effect.
    verdict: Option<fold::LeaseVerdict>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    holder: holder::LeaseHolder,
    asks: u8,
    waiting: Option<Append>,
    /// An append given up by the process that may still take effect.
    stray: Option<fold::HoldItem>,
    order: Option<FlyingOrder>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct FlyingOrder {
    fencing: u64,
    seen_step: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    step: u8,
    offset: u64,
    fold: fold::LeaseFold,
    processes: [Process; 2],
    /// The newest order in effect: its number and its giver.
    in_effect: Option<(u64, usize)>,
}

struct Model {
    rates: ClockRates,
    rule: ServerRule,
    origin: time::Instant,
    /// Orders of a newer holder that came into effect after an older holder's.
    takeovers: u64,
    landed: u64,
    refused: u64,
}

impl Model {
    fn now(&self, world: &World, who: usize) -> time::Instant {
        let passed_ms = LONG_MS + u64::from(world.step) * self.rates.holders[who];
        self.origin + time::Duration::from_millis(passed_ms)
    }

    fn log_ms(&self, world: &World) -> u64 {
        LONG_MS + u64::from(world.step) * self.rates.log
    }

    fn successors(&mut self, world: &World) -> Vec<World> {
        let mut found = Vec::new();
        for who in 0..2 {
            self.process_actions(world, who, &mut found);
            self.log_actions(world, who, &mut found);
            self.server_actions(world, who, &mut found);
        }
        if world.step < self.rule.horizon() {
            let mut next = world.clone();
            next.step += 1;
            found.push(next);
        }
        found
    }

    /// Takes out what no future depends on, so that equal futures are one state.
    fn settle(&mut self, world: &mut World) {
        for who in 0..2 {
            let now = self.now(world, who);
            let process = &mut world.processes[who];
            let spent = process.asks == self.rule.asks(who) && process.waiting.is_none();
            if spent && process.holder.permit(SERVER, now).is_err() {
                process.holder = new_holder(who);
            }
            let Some(order) = &mut process.order else {
                continue;
            };
            match self.rule {
                ServerRule::ChecksFencing => order.seen_step = 0,
                ServerRule::IgnoresFencing => {
                    let age_ms = u64::from(world.step - order.seen_step) * self.rates.server;
                    if age_ms > LIMITS.order_ms {
                        self.refused += 1;
                        process.order = None;
                    }
                }
            }
        }
    }

    /// Whether an order may still land.
    fn is_open(&self, world: &World) -> bool {
        (0..2).any(|who| {
            let process = &world.processes[who];
            let idle = process.holder == new_holder(who);
            let spent = process.asks == self.rule.asks(who) && process.waiting.is_none();
            !(idle && spent && process.order.is_none())
        })
    }

    fn process_actions(&self, world: &World, who: usize, found: &mut Vec<World>) {
        let process = &world.processes[who];
        let now = self.now(world, who);
        if process.waiting.is_none() && process.asks < self.rule.asks(who) {
            let wanted = collections::BTreeSet::from([SERVER.to_owned()]);
            // Only the first holder leaves of its own accord; the second may, with nobody after it.
            let leaving = (who == 0).then(collections::BTreeSet::new);
            for assigned in iter::once(wanted).chain(leaving) {
                let log_ms = Some(self.log_ms(world));
                if let Some(item) = process.holder.plan(&assigned, &world.fold, log_ms) {
                    let mut next = world.clone();
                    let process = &mut next.processes[who];
                    process.holder.begin_request(&item);
                    process.asks += 1;
                    process.waiting = Some(Append {
                        item,
                        asked: now,
                        verdict: None,
                    });
                    found.push(next);
                }
            }
        }
        if let Some(append) = &process.waiting {
            let mut next = world.clone();
            let process = &mut next.processes[who];
            process.waiting = None;
            if let Some(verdict) = &append.verdict {
                process
                    .holder
                    .apply_verdict(&append.item, verdict, append.asked, now);
                found.push(next.clone());
            } else if who == 0 && process.stray.is_none() {
                // Both holders meet pauses and late answers; the first also lost requests.
                process.stray = Some(append.item.clone());
                found.push(next.clone());
            }
            if append.verdict.is_some() {
                // The process gives up before it has read the verdict.
                next.processes[who].holder = world.processes[who].holder.clone();
                found.push(next);
            }
        }
        if let Ok(permit) = process.holder.permit(SERVER, now) {
            let checked = match self.rule {
                ServerRule::ChecksFencing => permit.check_fenced(now),
                ServerRule::IgnoresFencing => permit.check_unfenced(now),
            };
            if checked.is_ok() {
                let mut next = world.clone();
                next.processes[who].order = Some(FlyingOrder {
                    fencing: permit.fencing(),
                    seen_step: world.step,
                });
                found.push(next);
            }
        }
    }

    fn log_actions(&self, world: &World, who: usize, found: &mut Vec<World>) {
        let process = &world.processes[who];
        if let Some(append) = &process.waiting
            && append.verdict.is_none()
        {
            let mut next = world.clone();
            let verdict = self.append(&mut next, &append.item);
            if let Some(append) = &mut next.processes[who].waiting {
                append.verdict = Some(verdict);
            }
            found.push(next);
        }
        if let Some(item) = &process.stray {
            let mut next = world.clone();
            next.processes[who].stray = None;
            self.append(&mut next, item);
            found.push(next);
        }
    }

    fn append(&self, world: &mut World, item: &fold::HoldItem) -> fold::LeaseVerdict {
        let at_ms = self.log_ms(world);
        Self::append_at(world, item, at_ms)
    }

    fn append_at(world: &mut World, item: &fold::HoldItem, at_ms: u64) -> fold::LeaseVerdict {
        let place = record::RecordPlace {
            offset: world.offset,
            at_ms,
        };
        world.offset += 1;
        let entry = record::BatchEntry {
            id: id::RecordId(u128::from(place.offset)),
            seen: 0,
            item: fold::LeaseEntry::Hold(item.clone()),
        };
        let batch = record::BatchRecord {
            writer: item.holder.vm.clone(),
            entries: vec![entry],
        };
        let mut verdicts = world.fold.apply(place, batch);
        verdicts.remove(0).verdict
    }

    fn server_actions(&mut self, world: &World, who: usize, found: &mut Vec<World>) {
        let Some(order) = world.processes[who].order else {
            return;
        };
        let mut next = world.clone();
        next.processes[who].order = None;
        let newest = world.in_effect.map(|(fencing, _)| fencing);
        let old = newest.is_some_and(|newest| newest > order.fencing);
        match self.rule {
            // Such a server is not even trusted to refuse late orders.
            ServerRule::ChecksFencing if old => {
                self.refused += 1;
                next.processes[who].holder.mark_lost(SERVER, order.fencing);
            }
            ServerRule::ChecksFencing => self.land(&mut next, who, order),
            // One that is too late by now was taken out.
            ServerRule::IgnoresFencing => self.land(&mut next, who, order),
        }
        found.push(next);
    }

    fn land(&mut self, world: &mut World, who: usize, order: FlyingOrder) {
        if let Some((newest, giver)) = world.in_effect {
            assert!(
                order.fencing >= newest,
                "an old holder's order landed after a new holder's first: {self:?} {world:#?}"
            );
            assert!(
                order.fencing > newest || giver == who,
                "two holders gave orders under one number: {self:?} {world:#?}"
            );
            self.takeovers += u64::from(order.fencing > newest);
        }
        self.landed += 1;
        world.in_effect = Some((order.fencing, who));
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

/// The first process has held the lease for long, its time is over, and it has just asked to renew
/// it; so the second may take it at once, or later.
fn first_world(model: &Model) -> World {
    let process = |who| Process {
        holder: new_holder(who),
        asks: 0,
        waiting: None,
        stray: None,
        order: None,
    };
    let mut world = World {
        step: 0,
        offset: 0,
        fold: fold::LeaseFold::default(),
        processes: [process(0), process(1)],
        in_effect: None,
    };
    let long_ago = model.origin;
    let mut holder = new_holder(0);
    let taking = planned(&holder, &world.fold);
    let verdict = Model::append_at(&mut world, &taking, 0);
    holder.apply_verdict(&taking, &verdict, long_ago, long_ago);
    let item = planned(&holder, &world.fold);
    let asked = model.now(&world, 0);
    let first = &mut world.processes[0];
    first.holder = holder;
    first.asks = 1;
    first.waiting = Some(Append {
        item,
        asked,
        verdict: None,
    });
    world
}

fn planned(holder: &holder::LeaseHolder, leases: &fold::LeaseFold) -> fold::HoldItem {
    let assigned = collections::BTreeSet::from([SERVER.to_owned()]);
    holder
        .plan(&assigned, leases, Some(0))
        .expect("a free lease or an own one")
}

/// Visits every state. States of one step lead only to one another and to the next step, so only
/// one step's are remembered at a time.
fn enumerate(rule: ServerRule, rates: ClockRates) -> (usize, u64) {
    let mut model = Model {
        rates,
        rule,
        origin: time::Instant::now(),
        takeovers: 0,
        landed: 0,
        refused: 0,
    };
    let mut states = 0;
    let mut closed = 0_u64;
    let mut step = collections::HashSet::from([first_world(&model)]);
    while !step.is_empty() {
        let mut next_step = collections::HashSet::new();
        let mut open: Vec<World> = step.iter().cloned().collect();
        while let Some(world) = open.pop() {
            for mut next in model.successors(&world) {
                model.settle(&mut next);
                if !model.is_open(&next) {
                    closed += 1;
                    continue;
                }
                if next.step > world.step {
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
        "{model:?}: {states} states, {closed} ends, {} landings, {} refusals, {} takeovers",
        model.landed, model.refused, model.takeovers
    );
    assert!(
        model.takeovers > 0,
        "no successor ever gave an order: {model:?}"
    );
    (states, model.refused)
}

/// Both ways round, with the log's clock five times too fast: then a lease changes hands while
/// its holder has most of its time left.
const HURRIED: [([u64; 2], u64); 3] = [([10, 10], 10), ([9, 11], 9), ([11, 9], 9)];

fn enumerate_all(rule: ServerRule) {
    let mut states = 0;
    let mut refusals = 0;
    for (holders, server) in HURRIED {
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
        "no order was ever refused, so the model is too tame"
    );
}

/// Symptom: an engine follows a VM that lost the lease on it.
/// Sequence: the holder is paused past its lease, another VM takes over, the old order arrives.
/// Cause: the order carries no proof of its age, or two holders share one number.
#[test]
fn servers_that_check_numbers_obey_one_holder() {
    enumerate_all(ServerRule::ChecksFencing);
}

/// Symptom: an engine that ignores fencing numbers is turned back to an old version.
/// Sequence: the holder checks its lease, is paused, a successor gives its first order, the old
/// order lands.
/// Cause: the successor did not wait out the old lease, or the deadline was counted too late.
#[test]
fn servers_that_ignore_numbers_obey_one_holder() {
    enumerate_all(ServerRule::IgnoresFencing);
}

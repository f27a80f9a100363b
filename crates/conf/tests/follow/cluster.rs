//! A small world for followers: a log with faults, VMs that come and go, operators that race, and
//! an oracle that applies every change in the plainest way.

use std::{collections, time::Duration};

use base::id;
use conf::{
    change, check, checkpoint, document,
    event::{FollowAction, FollowEvent, TailRecord},
    follow, keeper, offer, pace, part, sample, state,
};
use rand_chacha::rand_core::{Rng as _, SeedableRng as _};
use serde_json::{Value, json};
use tokio::time;

pub const RETENTION_MS: u64 = 60_000;
/// Small, so that checkpoints and large changes need several records.
pub const PART_BYTES: usize = 1_200;
const LONGEST_OUTAGE_MS: u64 = 20_000;

pub const SIZE: sample::SampleSize = sample::SampleSize {
    regions: 1,
    domains: 3,
    entry_vms: 4,
    engines: 1,
    service_servers: 1,
    models: 1,
    organisations: 3,
};

/// Applies changes as plain JSON; knows the outcome of every change and every revision.
#[derive(Default)]
pub struct PlainOracle {
    /// Configuration of each revision.
    pub revisions: Vec<Value>,
    /// Revision after each record.
    pub after: Vec<u64>,
    /// Accepted revision, or nothing for a refused one, by change.
    pub decided: collections::BTreeMap<id::RecordId, Option<u64>>,
    parts: collections::BTreeMap<id::RecordId, collections::BTreeMap<u32, String>>,
}

impl PlainOracle {
    fn new() -> Self {
        let empty = serde_json::to_value(document::Configuration::default()).expect("serializable");
        Self {
            revisions: vec![empty],
            ..Self::default()
        }
    }

    pub fn revision(&self) -> u64 {
        self.revisions.len() as u64 - 1
    }

    fn add(&mut self, record: &[u8]) {
        match part::parse(record) {
            None => self.decide(record),
            Some((header, text)) if header.of == part::PartKind::Change => {
                let parts = self.parts.entry(header.id).or_default();
                parts.insert(header.index, text.to_owned());
                if parts.len() == header.count as usize {
                    let whole: String = parts.values().map(String::as_str).collect();
                    self.decide(whole.as_bytes());
                }
            }
            Some(_) => {}
        }
        self.after.push(self.revision());
    }

    fn decide(&mut self, text: &[u8]) {
        let Ok(change) = serde_json::from_slice::<change::ConfigChange>(text) else {
            return;
        };
        if self.decided.contains_key(&change.id) {
            return;
        }
        let outcome = (change.base_revision == self.revision()).then(|| self.merged(&change.patch));
        if let Some(next) = outcome.flatten() {
            self.revisions.push(next);
            self.decided.insert(change.id, Some(self.revision()));
        } else {
            self.decided.insert(change.id, None);
        }
    }

    fn merged(&self, patch: &Value) -> Option<Value> {
        let mut value = self.revisions.last().cloned()?;
        json_patch::merge(&mut value, patch);
        let configuration: document::Configuration = serde_json::from_value(value).ok()?;
        check::check(&configuration).ok()?;
        serde_json::to_value(configuration).ok()
    }
}

/// One VM of the world.
pub struct VmWorld {
    pub name: String,
    pub follower: follow::ConfigFollower,
    /// Answers on their way, by the time when the work is done.
    queue: Vec<(u64, FollowAction)>,
    /// Neither log nor peers reach it.
    pub is_cut: bool,
    /// No peer reaches it, the log does.
    is_alone: bool,
    highest: Option<offer::StateOffer>,
    /// Records in the log when this life began.
    born_at: u64,
    was_ready: bool,
    /// Whether another VM ever gave it its state.
    was_given: bool,
}

pub struct World {
    pub rng: rand_chacha::ChaCha8Rng,
    start: time::Instant,
    pub now_ms: u64,
    pub log: Vec<(u64, Vec<u8>)>,
    pub first: u64,
    pub is_log_up: bool,
    log_down_ms: u64,
    pub loses_answers: bool,
    pub vms: Vec<VmWorld>,
    pub oracle: PlainOracle,
    /// Records whose answer was lost, or checkpoints of long ago; they may come again.
    pub echoes: Vec<Vec<u8>>,
    drawn: u128,
    /// Changes of which only some parts were appended.
    abandoned: usize,
}

impl World {
    pub fn new(seed: u64) -> Self {
        let mut world = Self {
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            start: time::Instant::now(),
            now_ms: 1_000_000,
            log: Vec::new(),
            first: 0,
            is_log_up: true,
            log_down_ms: 0,
            loses_answers: false,
            vms: Vec::new(),
            oracle: PlainOracle::new(),
            echoes: Vec::new(),
            drawn: 0,
            abandoned: 0,
        };
        for vm in 0..SIZE.entry_vms {
            let fresh = world.fresh(vm);
            world.vms.push(fresh);
        }
        world
    }

    pub fn pace() -> pace::FollowSettings {
        pace::FollowSettings {
            page_records: 40,
            lookback_records: 16,
            keeper: pace::KeeperSettings {
                records: 24,
                age: Duration::from_millis(RETENTION_MS / 3),
                part_bytes: PART_BYTES,
                ..pace::KeeperSettings::default()
            },
            ..pace::FollowSettings::default()
        }
    }

    fn fresh(&self, vm: usize) -> VmWorld {
        let name = format!("entry-{vm:03}");
        VmWorld {
            follower: follow::ConfigFollower::new(name.clone(), Self::pace()),
            name,
            queue: Vec::new(),
            is_cut: false,
            is_alone: false,
            highest: None,
            born_at: self.log.len() as u64,
            was_ready: false,
            was_given: false,
        }
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound
    }

    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    fn clock(&self) -> keeper::ClockReading {
        let now = self.start + Duration::from_millis(self.now_ms - 1_000_000);
        keeper::ClockReading {
            now,
            unix_ms: self.now_ms,
        }
    }

    /// The whole of a deployment as the first change.
    pub fn publish_first(&mut self) {
        let empty = document::Configuration::default();
        let patch = change::difference(&empty, &sample::configuration(SIZE));
        self.publish(0, patch);
    }

    pub fn publish(&mut self, base_revision: u64, patch: Value) -> id::RecordId {
        self.drawn += 1;
        let id = id::RecordId(self.drawn);
        let author = format!("operator-{}", self.drawn % 3);
        let change = change::ConfigChange {
            id,
            base_revision,
            author,
            comment: String::new(),
            patch,
        };
        let mut records = change.records();
        if records[0].len() > PART_BYTES {
            let text = serde_json::to_string(&change).expect("serializable");
            records = part::split(part::PartKind::Change, id, &text, PART_BYTES);
            // The operator dies in the middle of a large change; another may go on with it.
            if self.drawn > 1 && self.abandoned < 3 && self.chance(30) {
                self.abandoned += 1;
                let kept = 1 + self.below(records.len() as u64 - 1) as usize;
                self.echoes.extend(records.drain(kept..));
            }
        }
        for record in records {
            if self.is_log_up {
                self.append(record.clone());
            }
            if !self.is_log_up || self.chance(20) {
                self.echoes.push(record);
            }
        }
        id
    }

    pub fn append(&mut self, record: Vec<u8>) {
        self.oracle.add(&record);
        self.log.push((self.now_ms, record));
    }

    /// A change that an operator could make who last saw `base`; some are invalid.
    pub fn draw_patch(&mut self) -> Value {
        let name = format!("organisation-{:05}", self.below(6));
        let hash = format!("{:064x}", self.below(5));
        match self.below(9) {
            0 | 1 => {
                json!({"inventory": {"organisations": {name: {"key_hashes": [hash], "region": "region-0"}}}})
            }
            2 => json!({"inventory": {"organisations": {name: null}}}),
            3 => json!({"rules": {"organisations": {name: {"weight": self.below(4) as f64}}}}),
            4 => json!({"rules": {"organisations": {name: null}}}),
            5 => json!({"rules": {"time_limits": {"silent_connection_ms": 800 + self.below(500)}}}),
            6 => json!({"inventory": {"models": {"model-0": {"min_engines": self.below(3)}}}}),
            7 => json!({"inventory": {"operators": {name: {"key_hashes": [hash]}}}}),
            _ => {
                let many = (0..20).map(|it| {
                    (
                        format!("r-{it}"),
                        json!({"failure_domains": [format!("d-{it}-{}", &hash[63..])]}),
                    )
                });
                json!({"inventory": {"regions": Value::Object(many.collect())}})
            }
        }
    }

    /// Lets time pass: retention, offers, ticks, answers.
    pub fn pass(&mut self, step_ms: u64) {
        self.now_ms += step_ms;
        self.log_down_ms = if self.is_log_up {
            0
        } else {
            self.log_down_ms + step_ms
        };
        if self.log_down_ms > LONGEST_OUTAGE_MS {
            self.is_log_up = true;
        }
        let kept = self
            .log
            .iter()
            .position(|(at_ms, _)| at_ms + RETENTION_MS > self.now_ms);
        self.first = self.first.max(kept.unwrap_or(self.log.len()) as u64);
        for vm in 0..self.vms.len() {
            self.gossip(vm);
            self.give(vm, FollowEvent::Tick);
            self.finish_work(vm);
        }
    }

    fn gossip(&mut self, vm: usize) {
        let peer = self.below(self.vms.len() as u64) as usize;
        let is_lone = |vm: &VmWorld| vm.is_cut || vm.is_alone;
        if peer == vm || is_lone(&self.vms[vm]) || is_lone(&self.vms[peer]) {
            return;
        }
        let name = self.vms[peer].name.clone();
        // A lost datagram shows nothing; a late one shows what was in force before.
        if let Some(offer) = self.vms[peer].follower.in_force() {
            self.give(vm, FollowEvent::Offer { peer: name, offer });
        } else {
            self.give(vm, FollowEvent::PeerDeparted { peer: name });
        }
    }

    fn finish_work(&mut self, vm: usize) {
        let now_ms = self.now_ms;
        let queue = std::mem::take(&mut self.vms[vm].queue);
        let (done, waiting) = queue.into_iter().partition(|(due_ms, _)| *due_ms <= now_ms);
        self.vms[vm].queue = waiting;
        let done: Vec<(u64, FollowAction)> = done;
        for (_, action) in done {
            if let Some(event) = self.perform(vm, action) {
                self.give(vm, event);
            }
        }
    }

    fn perform(&mut self, vm: usize, action: FollowAction) -> Option<FollowEvent> {
        let is_reached = self.is_log_up && !self.vms[vm].is_cut;
        Some(match action {
            FollowAction::Read { .. } if !is_reached => FollowEvent::ReadFailed,
            FollowAction::Read { from, .. } if from < self.first => {
                FollowEvent::Dropped { first: self.first }
            }
            FollowAction::Read { from, max, .. } => {
                let records = self
                    .log
                    .iter()
                    .enumerate()
                    .skip(from as usize)
                    .take(max as usize);
                let record = |(offset, (at_ms, body)): (usize, &(u64, Vec<u8>))| TailRecord {
                    offset: offset as u64,
                    at_ms: *at_ms,
                    body: body.clone(),
                };
                let records = records.map(record).collect();
                FollowEvent::Page {
                    first: self.first,
                    next: self.log.len() as u64,
                    records,
                }
            }
            FollowAction::Append { record } => {
                if !is_reached {
                    return Some(FollowEvent::AppendFailed);
                }
                if self.chance(10) {
                    self.echoes.push(record.clone());
                }
                self.append(record);
                if self.loses_answers && self.chance(50) {
                    FollowEvent::AppendFailed
                } else {
                    FollowEvent::Appended
                }
            }
            FollowAction::Fetch { peer } => self.fetch(vm, peer),
            _ => return None,
        })
    }

    fn fetch(&mut self, vm: usize, peer: String) -> FollowEvent {
        let giver = self.vms.iter().find(|it| it.name == peer && !it.is_cut);
        let transfer = giver.and_then(|giver| giver.follower.transfer());
        let is_lost = self.vms[vm].is_cut || self.chance(10);
        match transfer.filter(|_| !is_lost) {
            None => FollowEvent::FetchFailed { peer },
            Some(mut transfer) => {
                if self.chance(5) {
                    transfer.text.push(' ');
                }
                FollowEvent::State {
                    peer,
                    transfer: Box::new(transfer),
                }
            }
        }
    }

    fn give(&mut self, vm: usize, event: FollowEvent) {
        let clock = self.clock();
        let is_given = matches!(event, FollowEvent::State { .. });
        let actions = self.vms[vm].follower.handle(event, clock);
        self.vms[vm].was_given |= is_given;
        for action in actions {
            if let FollowAction::Decided { id, verdict, .. } = &action {
                self.assert_verdict(*id, verdict);
            }
            let due_ms = self.now_ms + self.below(400);
            self.vms[vm].queue.push((due_ms, action));
        }
        self.assert_vm(vm);
    }

    fn assert_verdict(&self, id: id::RecordId, verdict: &state::ApplyVerdict) {
        let accepted = match verdict {
            state::ApplyVerdict::Accepted { revision } => Some(*revision),
            _ => None,
        };
        assert_eq!(
            self.oracle.decided.get(&id),
            Some(&accepted),
            "verdict on {id}"
        );
    }

    /// What must hold of a VM at any moment.
    fn assert_vm(&mut self, vm: usize) {
        let (after, revisions) = (&self.oracle.after, &self.oracle.revisions);
        let vm = &mut self.vms[vm];
        let Some(state) = vm.follower.state() else {
            return;
        };
        let index = state.offset().checked_sub(1).map(|last| last as usize);
        let revision = index.map_or(0, |last| after[last]);
        assert_eq!(
            state.revision(),
            revision,
            "revision at offset {}",
            state.offset()
        );
        let Some(offer) = vm.follower.in_force() else {
            assert_eq!(vm.highest, None, "{} lost what was in force", vm.name);
            return;
        };
        if vm
            .highest
            .is_none_or(|highest| highest.revision != offer.revision)
        {
            let value = serde_json::to_value(&**state.configuration()).expect("serializable");
            assert_eq!(value, revisions[revision as usize], "revision {revision}");
        }
        if let Some(highest) = vm.highest {
            assert!(offer.offset >= highest.offset, "{} went back", vm.name);
            assert!(offer.revision >= highest.revision, "{} reverted", vm.name);
        }
        if !vm.was_ready && !vm.was_given {
            assert!(
                offer.offset >= vm.born_at,
                "{} serves an old prefix",
                vm.name
            );
        }
        vm.was_ready = true;
        vm.highest = Some(offer);
    }

    /// A new machine in the place of an old one.
    pub fn replace(&mut self, vm: usize) {
        self.vms[vm] = self.fresh(vm);
    }

    /// A machine that has never been there, for which no peer answers.
    pub fn add_stranger(&mut self) {
        let mut fresh = self.fresh(self.vms.len());
        fresh.is_alone = true;
        self.vms.push(fresh);
    }

    /// Whether a fresh VM can start from the log alone, with some time to read it. Where outages
    /// leave no time to write a checkpoint within retention it cannot, and the last VM with the
    /// state must stay.
    pub fn is_log_enough(&self) -> bool {
        let young_ms = self.now_ms.saturating_sub(RETENTION_MS * 2 / 3);
        let young = self.log.iter().position(|(at_ms, _)| *at_ms > young_ms);
        let young = young.unwrap_or(self.log.len()) as u64;
        let mut search = checkpoint::CheckpointSearch::default();
        let mut records = self.log.iter().enumerate().skip(young as usize);
        let mut is_usable = |(offset, (_, body)): (usize, &(u64, Vec<u8>))| {
            let found = search.add(offset as u64, body).ok().flatten();
            found.is_some_and(|found| found.state.offset() >= young)
        };
        young == 0 || records.any(&mut is_usable)
    }
}

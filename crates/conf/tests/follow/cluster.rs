//! A small test cluster: a log with injected faults, VMs that are replaced, operators that publish
//! concurrently, and an oracle that applies every change as plain JSON.

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
/// Small enough that checkpoints and large changes need several records.
pub const PART_BYTES: usize = 1_200;
const MAX_OUTAGE_MS: u64 = 20_000;

pub const SIZE: sample::SampleSize = sample::SampleSize {
    regions: 1,
    domains: 3,
    entry_vms: 4,
    engines: 1,
    service_servers: 1,
    models: 1,
    organisations: 3,
};

/// Reference implementation: applies changes as plain JSON and records every outcome and revision.
#[derive(Default)]
pub struct PlainOracle {
    /// Configuration of each revision.
    pub revisions: Vec<Value>,
    /// Revision after each record.
    pub after: Vec<u64>,
    /// Revision that each accepted change produced, or `None` for a refused change.
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
                    let text: String = parts.values().map(String::as_str).collect();
                    self.decide(text.as_bytes());
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

/// A VM of the test cluster.
pub struct TestVm {
    pub name: String,
    pub follower: follow::ConfigFollower,
    /// Actions in progress, with the times at which they complete.
    queue: Vec<(u64, FollowAction)>,
    /// Whether the VM is cut off from both the log and its peers.
    pub is_partitioned: bool,
    /// Whether the VM is cut off from its peers only.
    is_unreachable_by_peers: bool,
    highest: Option<offer::StateOffer>,
    /// Number of records in the log when this incarnation started.
    started_at_offset: u64,
    was_ready: bool,
    /// Whether the VM ever received a state from another VM.
    received_state: bool,
}

pub struct TestCluster {
    pub rng: rand_chacha::ChaCha8Rng,
    start: time::Instant,
    pub now_ms: u64,
    pub log: Vec<(u64, Vec<u8>)>,
    pub first: u64,
    pub is_log_up: bool,
    log_down_ms: u64,
    pub loses_answers: bool,
    pub vms: Vec<TestVm>,
    pub oracle: PlainOracle,
    /// Records that may be appended later: repeats after a lost response, records that could not be
    /// appended, and old checkpoints.
    pub repeats: Vec<Vec<u8>>,
    last_id: u128,
    /// Number of changes of which only some parts were appended at first.
    abandoned: usize,
}

impl TestCluster {
    pub fn new(seed: u64) -> Self {
        let mut cluster = Self {
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
            repeats: Vec::new(),
            last_id: 0,
            abandoned: 0,
        };
        for vm in 0..SIZE.entry_vms {
            let fresh = cluster.fresh(vm);
            cluster.vms.push(fresh);
        }
        cluster
    }

    pub fn follow_settings() -> pace::FollowSettings {
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

    fn fresh(&self, vm: usize) -> TestVm {
        let name = format!("entry-{vm:03}");
        TestVm {
            follower: follow::ConfigFollower::new(name.clone(), Self::follow_settings()),
            name,
            queue: Vec::new(),
            is_partitioned: false,
            is_unreachable_by_peers: false,
            highest: None,
            started_at_offset: self.log.len() as u64,
            was_ready: false,
            received_state: false,
        }
    }

    pub fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound
    }

    pub fn chance(&mut self, percent: u64) -> bool {
        self.random_below(100) < percent
    }

    fn clock(&self) -> keeper::ClockReading {
        let now = self.start + Duration::from_millis(self.now_ms - 1_000_000);
        keeper::ClockReading {
            now,
            unix_ms: self.now_ms,
        }
    }

    /// Publishes a complete deployment as the first change.
    pub fn publish_initial(&mut self) {
        let empty = document::Configuration::default();
        let patch = change::difference(&empty, &sample::configuration(SIZE));
        self.publish(0, patch);
    }

    pub fn publish(&mut self, base_revision: u64, patch: Value) -> id::RecordId {
        self.last_id += 1;
        let id = id::RecordId(self.last_id);
        let author = format!("operator-{}", self.last_id % 3);
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
            // The operator fails in the middle of a large change; the remaining parts may be
            // appended later.
            if self.last_id > 1 && self.abandoned < 3 && self.chance(30) {
                self.abandoned += 1;
                let kept = 1 + self.random_below(records.len() as u64 - 1) as usize;
                self.repeats.extend(records.drain(kept..));
            }
        }
        for record in records {
            if self.is_log_up {
                self.append(record.clone());
            }
            if !self.is_log_up || self.chance(20) {
                self.repeats.push(record);
            }
        }
        id
    }

    pub fn append(&mut self, record: Vec<u8>) {
        self.oracle.add(&record);
        self.log.push((self.now_ms, record));
    }

    /// A random change that an operator could make; some are invalid.
    pub fn random_patch(&mut self) -> Value {
        let name = format!("organisation-{:05}", self.random_below(6));
        let hash = format!("{:064x}", self.random_below(5));
        match self.random_below(9) {
            0 | 1 => {
                json!({"inventory": {"organisations": {name: {"key_hashes": [hash], "region": "region-0"}}}})
            }
            2 => json!({"inventory": {"organisations": {name: null}}}),
            3 => {
                json!({"rules": {"organisations": {name: {"weight": self.random_below(4) as f64}}}})
            }
            4 => json!({"rules": {"organisations": {name: null}}}),
            5 => {
                json!({"rules": {"time_limits": {"silent_connection_ms": 800 + self.random_below(500)}}})
            }
            6 => {
                json!({"inventory": {"models": {"model-0": {"min_engines": self.random_below(3)}}}})
            }
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

    /// Advances the time and applies retention, offers, ticks and completed actions.
    pub fn advance(&mut self, step_ms: u64) {
        self.now_ms += step_ms;
        self.log_down_ms = if self.is_log_up {
            0
        } else {
            self.log_down_ms + step_ms
        };
        if self.log_down_ms > MAX_OUTAGE_MS {
            self.is_log_up = true;
        }
        let kept = self
            .log
            .iter()
            .position(|(at_ms, _)| at_ms + RETENTION_MS > self.now_ms);
        self.first = self.first.max(kept.unwrap_or(self.log.len()) as u64);
        for vm in 0..self.vms.len() {
            self.receive_offer(vm);
            self.deliver(vm, FollowEvent::Tick);
            self.finish_work(vm);
        }
    }

    fn receive_offer(&mut self, vm: usize) {
        let peer = self.random_below(self.vms.len() as u64) as usize;
        let is_cut_off = |vm: &TestVm| vm.is_partitioned || vm.is_unreachable_by_peers;
        if peer == vm || is_cut_off(&self.vms[vm]) || is_cut_off(&self.vms[peer]) {
            return;
        }
        let name = self.vms[peer].name.clone();
        // Only one random peer is received from per step, so the last offer of the others stays in
        // place, as after a lost or late datagram.
        if let Some(offer) = self.vms[peer].follower.in_force() {
            self.deliver(vm, FollowEvent::Offer { peer: name, offer });
        } else {
            self.deliver(vm, FollowEvent::PeerDeparted { peer: name });
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
                self.deliver(vm, event);
            }
        }
    }

    fn perform(&mut self, vm: usize, action: FollowAction) -> Option<FollowEvent> {
        let is_reached = self.is_log_up && !self.vms[vm].is_partitioned;
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
                    self.repeats.push(record.clone());
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
        let sender = self
            .vms
            .iter()
            .find(|it| it.name == peer && !it.is_partitioned);
        let transfer = sender.and_then(|sender| sender.follower.transfer());
        let is_lost = self.vms[vm].is_partitioned || self.chance(10);
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

    fn deliver(&mut self, vm: usize, event: FollowEvent) {
        let clock = self.clock();
        let is_state = matches!(event, FollowEvent::State { .. });
        let actions = self.vms[vm].follower.handle(event, clock);
        self.vms[vm].received_state |= is_state;
        for action in actions {
            if let FollowAction::Decided { id, verdict, .. } = &action {
                self.assert_verdict(*id, verdict);
            }
            let due_ms = self.now_ms + self.random_below(400);
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

    /// Asserts the invariants of a VM.
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
            assert_eq!(
                vm.highest, None,
                "{} lost its configuration in force",
                vm.name
            );
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
            assert!(
                offer.offset >= highest.offset,
                "the offset of {} decreased",
                vm.name
            );
            assert!(
                offer.revision >= highest.revision,
                "the revision of {} decreased",
                vm.name
            );
        }
        if !vm.was_ready && !vm.received_state {
            assert!(
                offer.offset >= vm.started_at_offset,
                "{} serves an old prefix of the log",
                vm.name
            );
        }
        vm.was_ready = true;
        vm.highest = Some(offer);
    }

    /// Replaces a VM with a fresh one of the same name.
    pub fn replace(&mut self, vm: usize) {
        self.vms[vm] = self.fresh(vm);
    }

    /// Adds a fresh VM that cannot reach its peers.
    pub fn add_vm_without_peers(&mut self) {
        let mut fresh = self.fresh(self.vms.len());
        fresh.is_unreachable_by_peers = true;
        self.vms.push(fresh);
    }

    /// Whether a fresh VM can start from the log alone and has some time to read it. It cannot if
    /// outages left no time to write a checkpoint within the retention period; the last VM with the
    /// state must then not be replaced.
    pub fn can_start_from_log(&self) -> bool {
        let oldest_ms = self.now_ms.saturating_sub(RETENTION_MS * 2 / 3);
        let retained_from = self.log.iter().position(|(at_ms, _)| *at_ms > oldest_ms);
        let retained_from = retained_from.unwrap_or(self.log.len()) as u64;
        let mut search = checkpoint::CheckpointSearch::default();
        let mut records = self.log.iter().enumerate().skip(retained_from as usize);
        let mut is_usable = |(offset, (_, body)): (usize, &(u64, Vec<u8>))| {
            let found = search.add(offset as u64, body).ok().flatten();
            found.is_some_and(|found| found.state.offset() >= retained_from)
        };
        retained_from == 0 || records.any(&mut is_usable)
    }
}

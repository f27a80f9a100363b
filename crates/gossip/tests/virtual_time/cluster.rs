//! Simulated cluster: many cores on virtual time, and the network between them.

use std::{cmp, collections, net, time};

use base::id;
use gossip::{claim, core, event, in_force, item, settings};
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng as _, SeedableRng as _},
};
use wire::{datagram, identity};

pub type TestCore = core::MemberCore<ChaCha8Rng>;

/// Faults that the network injects.
#[derive(Clone, Copy, Debug)]
pub struct NetworkFaults {
    /// Probability of loss, in 1/256.
    pub loss: u32,
    /// Probability of duplicate delivery, in 1/256.
    pub duplication: u32,
    /// Maximum delay; each datagram draws its own, so datagrams are reordered.
    pub delay_ms: u32,
}

/// A simulated VM and its running core, if any.
pub struct SimulatedVm {
    pub name: String,
    pub place: claim::MemberPlace,
    pub core: Option<TestCore>,
    pub identity: identity::ProcessIdentity,
    /// Offset of the VM's wall clock.
    pub skew_ms: i64,
    /// Whether the process is paused; received datagrams are queued.
    pub paused: bool,
    /// VMs in different network partitions cannot reach each other.
    pub partition: u32,
    /// Datagrams received during the pause.
    pub backlog: Vec<DatagramInFlight>,
    /// Start time of the newest incarnation.
    pub started_at: time::Duration,
    /// Item versions that this incarnation has held; they must never decrease.
    held: collections::BTreeMap<item::ItemKey, u64>,
    in_force: collections::BTreeMap<id::Incarnation, in_force::StateKey>,
    claims: collections::BTreeMap<String, claim::ClaimVersion>,
}

/// A datagram in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DatagramInFlight {
    pub at: time::Duration,
    order: u64,
    from: usize,
    to: usize,
    sender: identity::ProcessIdentity,
    receiver: Option<identity::ProcessIdentity>,
    payload: Vec<u8>,
}

impl Ord for DatagramInFlight {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

impl PartialOrd for DatagramInFlight {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// Simulated VMs and the network between them.
pub struct SimulatedCluster {
    pub now: time::Duration,
    pub vms: Vec<SimulatedVm>,
    pub faults: NetworkFaults,
    pub rng: ChaCha8Rng,
    pub timing: settings::TimingSettings,
    /// All events, newest last, with the VM that emitted them.
    pub events: Vec<(time::Duration, usize, event::GossipEvent)>,
    /// Datagrams and bytes sent by each VM, including UDP and IP headers.
    pub sent: Vec<(u64, u64)>,
    /// Bytes received by each VM.
    pub received: Vec<u64>,
    /// VMs that sent to another region.
    pub cross_region_senders: collections::BTreeSet<usize>,
    in_flight: collections::BinaryHeap<DatagramInFlight>,
    /// Next tick of each VM; each has its own phase.
    ticks: collections::BinaryHeap<cmp::Reverse<(time::Duration, usize)>>,
    addresses: collections::BTreeMap<net::SocketAddr, usize>,
    order: u64,
}

/// Bytes of a datagram without the payload and the sender's name: IP and UDP headers, own header,
/// and the rest of the envelope.
const DATAGRAM_OVERHEAD_BYTES: u64 = 28 + 18 + 27;

/// Wall clock at virtual time zero.
pub const EPOCH_MS: u64 = 1_700_000_000_000;

impl SimulatedCluster {
    /// Creates VMs that are all stopped; `places` lists region and failure domain of each.
    pub fn new(seed: u64, places: &[(String, String)], timing: settings::TimingSettings) -> Self {
        let mut cluster = Self {
            now: time::Duration::from_secs(1),
            vms: Vec::new(),
            faults: NetworkFaults {
                loss: 0,
                duplication: 0,
                delay_ms: 2,
            },
            rng: ChaCha8Rng::seed_from_u64(seed),
            timing,
            events: Vec::new(),
            sent: vec![(0, 0); places.len()],
            received: vec![0; places.len()],
            cross_region_senders: collections::BTreeSet::new(),
            in_flight: collections::BinaryHeap::new(),
            ticks: collections::BinaryHeap::new(),
            addresses: collections::BTreeMap::new(),
            order: 0,
        };
        for (index, (region, failure_domain)) in places.iter().enumerate() {
            let tick_ms =
                u32::try_from(cluster.timing.tick.as_millis()).expect("a tick fits 32 bits");
            let phase = time::Duration::from_millis((cluster.rng.next_u32() % tick_ms).into());
            cluster
                .ticks
                .push(cmp::Reverse((cluster.now + phase, index)));
            let number = u16::try_from(index).expect("few VMs");
            let [high, low] = number.to_be_bytes();
            let address = net::SocketAddr::from(([10, 0, high, low], 7000));
            cluster.addresses.insert(address, index);
            let name = format!("{failure_domain}-vm-{index}");
            cluster.vms.push(SimulatedVm {
                identity: identity::ProcessIdentity {
                    name: name.clone(),
                    incarnation: id::Incarnation(0),
                },
                name,
                place: claim::MemberPlace {
                    address,
                    failure_domain: failure_domain.clone(),
                    region: region.clone(),
                },
                core: None,
                skew_ms: 0,
                paused: false,
                partition: 0,
                backlog: Vec::new(),
                started_at: time::Duration::ZERO,
                held: collections::BTreeMap::new(),
                in_force: collections::BTreeMap::new(),
                claims: collections::BTreeMap::new(),
            });
        }
        cluster
    }

    /// Starts a new incarnation on a VM; the previous one ends without announcing its departure.
    pub fn start(&mut self, index: usize) {
        let seeds = self.vms.iter().map(|vm| settings::SeedEntry {
            name: vm.name.clone(),
            place: vm.place.clone(),
        });
        let seeds = seeds.collect();
        let wall_ms =
            EPOCH_MS + u64::try_from(self.now.as_millis()).expect("virtual time fits 64 bits");
        let incarnation = id::Incarnation::draw(&mut self.rng);
        let rng = ChaCha8Rng::seed_from_u64(self.rng.next_u64());
        let vm = &mut self.vms[index];
        vm.identity.incarnation = incarnation;
        let own = settings::OwnSettings {
            identity: vm.identity.clone(),
            started_at_ms: wall_ms.saturating_add_signed(vm.skew_ms),
            place: vm.place.clone(),
        };
        let timing = self.timing.clone();
        vm.core = Some(core::MemberCore::new(own, timing, seeds, rng, self.now));
        vm.paused = false;
        vm.started_at = self.now;
        vm.backlog.clear();
        vm.held.clear();
        vm.in_force.clear();
        vm.claims.clear();
    }

    /// Stops the core of a VM without announcing its departure.
    pub fn kill(&mut self, index: usize) {
        self.vms[index].core = None;
        self.vms[index].paused = false;
    }

    /// VMs whose core is running and not paused.
    pub fn running(&self) -> Vec<usize> {
        let indices = 0..self.vms.len();
        indices
            .filter(|index| self.vms[*index].core.is_some() && !self.vms[*index].paused)
            .collect()
    }

    /// Calls the core of a VM and performs the actions that it returns.
    pub fn act<F>(&mut self, index: usize, act: F)
    where
        F: FnOnce(&mut TestCore, time::Duration) -> Vec<event::CoreAction>,
    {
        let now = self.now;
        let Some(core) = &mut self.vms[index].core else {
            return;
        };
        for action in act(core, now) {
            match action {
                event::CoreAction::Send(outgoing) => self.send(index, outgoing),
                event::CoreAction::Notify(event) => self.events.push((now, index, event)),
            }
        }
    }

    /// Resumes a paused VM. It first runs a tick, then receives the queued datagrams.
    pub fn resume(&mut self, index: usize) {
        if std::mem::take(&mut self.vms[index].paused) {
            self.act(index, TestCore::on_tick);
        }
        let backlog = std::mem::take(&mut self.vms[index].backlog);
        backlog
            .into_iter()
            .for_each(|datagram| self.deliver(datagram));
    }

    /// Advances virtual time.
    pub fn advance(&mut self, span: time::Duration) {
        let end = self.now + span;
        loop {
            let delivery_at = self
                .in_flight
                .peek()
                .map_or(time::Duration::MAX, |datagram| datagram.at);
            let cmp::Reverse((tick_at, index)) = *self.ticks.peek().expect("one for each VM");
            let next = delivery_at.min(tick_at);
            if next > end {
                break;
            }
            self.now = self.now.max(next);
            if delivery_at <= tick_at {
                let datagram = self.in_flight.pop().expect("peeked above");
                self.deliver(datagram);
                continue;
            }
            self.ticks.pop();
            self.ticks
                .push(cmp::Reverse((tick_at + self.timing.tick, index)));
            if !self.vms[index].paused {
                self.act(index, TestCore::on_tick);
            }
        }
        self.now = end;
    }

    fn chance(&mut self, of_256: u32) -> bool {
        self.rng.next_u32() % 256 < of_256
    }

    fn send(&mut self, from: usize, outgoing: event::OutgoingDatagram) {
        assert!(
            outgoing.payload.len() <= datagram::MAX_PAYLOAD_BYTES,
            "datagram too long"
        );
        let bytes =
            DATAGRAM_OVERHEAD_BYTES + (outgoing.payload.len() + self.vms[from].name.len()) as u64;
        self.sent[from].0 += 1;
        self.sent[from].1 += bytes;
        let Some(&to) = self.addresses.get(&outgoing.address) else {
            return;
        };
        if self.vms[to].place.region != self.vms[from].place.region {
            self.cross_region_senders.insert(from);
        }
        let copies = if self.chance(self.faults.duplication) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let delay_us = 300 + self.rng.next_u32() % (self.faults.delay_ms * 1000);
            let lost =
                self.chance(self.faults.loss) || self.vms[from].partition != self.vms[to].partition;
            if lost {
                continue;
            }
            self.received[to] += bytes;
            self.order += 1;
            self.in_flight.push(DatagramInFlight {
                at: self.now + time::Duration::from_micros(delay_us.into()),
                order: self.order,
                from,
                to,
                sender: self.vms[from].identity.clone(),
                receiver: outgoing.receiver.clone(),
                payload: outgoing.payload.clone(),
            });
        }
    }

    /// Delivers a datagram as crate `wire` would: only if bound to this incarnation, or unbound.
    fn deliver(&mut self, datagram: DatagramInFlight) {
        let vm = &mut self.vms[datagram.to];
        if vm.paused {
            vm.backlog.push(datagram);
            return;
        }
        let bound = datagram.receiver.is_some();
        if datagram
            .receiver
            .as_ref()
            .is_some_and(|receiver| *receiver != vm.identity)
        {
            return;
        }
        let address = self.vms[datagram.from].place.address;
        self.act(datagram.to, |core, now| {
            core.on_datagram(now, address, &datagram.sender, bound, &datagram.payload)
        });
    }

    /// Checks the invariants: no version decreases, and no leaving mark is removed.
    pub fn check_monotone(&mut self) {
        for vm in &mut self.vms {
            let Some(core) = &vm.core else {
                continue;
            };
            for (_, record) in core.members().iter() {
                let version = record.claim.version;
                let before = vm.claims.insert(record.claim.name.clone(), version);
                assert!(
                    before.is_none_or(|before| before <= version),
                    "a claim version decreased on {}",
                    vm.name
                );
            }
            let states = core.members().iter().filter_map(|(_, record)| {
                let incarnation = record.claim.version.incarnation.id;
                record.in_force.map(|state| (incarnation, state))
            });
            for (incarnation, state) in states {
                let before = vm.in_force.insert(incarnation, state);
                assert!(
                    before.is_none_or(|before| before <= state),
                    "the configuration in force reverted on {}",
                    vm.name
                );
            }
            for (key, before) in &mut vm.held {
                let now = core.items().get(key).map(|item| item.version);
                let removed = now.is_none() && key.kind == item::ItemKind::Leaving;
                assert!(!removed, "{} removed {key:?}", vm.name);
                assert!(
                    now.is_none_or(|now| *before <= now),
                    "the version of {key:?} decreased on {}",
                    vm.name
                );
            }
            vm.held.extend(
                core.items()
                    .iter()
                    .map(|item| (item.key.clone(), item.version)),
            );
        }
    }
}

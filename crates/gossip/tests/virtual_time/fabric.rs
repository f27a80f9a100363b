//! Many cores on virtual time, and the network that moves datagrams between them.

use std::{cmp, collections, net, time};

use base::id;
use gossip::{claim, core, event, in_force, item, settings};
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng as _, SeedableRng as _},
};
use wire::{datagram, identity};

pub type TestCore = core::MemberCore<ChaCha8Rng>;

/// What the network does to datagrams.
#[derive(Clone, Copy, Debug)]
pub struct NetworkFaults {
    /// Chance of loss in 256.
    pub loss: u32,
    /// Chance of a second delivery in 256.
    pub twice: u32,
    /// Longest delay; each datagram draws its own, so they overtake each other.
    pub delay_ms: u32,
}

/// One VM and the life that runs on it, if any.
pub struct FabricVm {
    pub name: String,
    pub place: claim::MemberPlace,
    pub core: Option<TestCore>,
    pub identity: identity::ProcessIdentity,
    /// How far its wall clock is off.
    pub skew_ms: i64,
    /// Stopped for now; what arrives waits.
    pub paused: bool,
    /// VMs with different sides cannot reach each other.
    pub side: u32,
    /// What arrived during the pause.
    pub backlog: Vec<Flight>,
    /// Since when the newest life runs.
    pub born_at: time::Duration,
    /// Versions that this life has held; they must never fall.
    held: collections::BTreeMap<item::ItemKey, u64>,
    in_force: collections::BTreeMap<id::Incarnation, in_force::StateKey>,
    claims: collections::BTreeMap<String, claim::ClaimVersion>,
}

/// A datagram on its way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Flight {
    pub at: time::Duration,
    order: u64,
    from: usize,
    to: usize,
    sender: identity::ProcessIdentity,
    receiver: Option<identity::ProcessIdentity>,
    payload: Vec<u8>,
}

impl Ord for Flight {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

impl PartialOrd for Flight {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// All VMs and the network.
pub struct Fabric {
    pub now: time::Duration,
    pub vms: Vec<FabricVm>,
    pub faults: NetworkFaults,
    pub rng: ChaCha8Rng,
    pub timing: settings::TimingSettings,
    /// Everything that was told, newest last, with the VM that told it.
    pub told: Vec<(time::Duration, usize, event::GossipEvent)>,
    /// Datagrams and bytes sent, headers of UDP and IP counted, by VM.
    pub sent: Vec<(u64, u64)>,
    /// Bytes received by VM.
    pub received: Vec<u64>,
    /// VMs that sent to another region.
    pub crossing: collections::BTreeSet<usize>,
    flights: collections::BinaryHeap<Flight>,
    /// When each VM ticks next; each has its own phase.
    ticks: collections::BinaryHeap<cmp::Reverse<(time::Duration, usize)>>,
    addresses: collections::BTreeMap<net::SocketAddr, usize>,
    order: u64,
}

/// Bytes of a datagram beside payload and sender's name: IP, UDP, header, and the rest of the
/// envelope.
const AROUND_PAYLOAD: u64 = 28 + 18 + 27;

/// Wall clock at the virtual beginning.
pub const EPOCH_MS: u64 = 1_700_000_000_000;

impl Fabric {
    /// VMs that are all down; `places` gives region and failure domain of each.
    pub fn new(seed: u64, places: &[(String, String)], timing: settings::TimingSettings) -> Self {
        let mut fabric = Self {
            now: time::Duration::from_secs(1),
            vms: Vec::new(),
            faults: NetworkFaults {
                loss: 0,
                twice: 0,
                delay_ms: 2,
            },
            rng: ChaCha8Rng::seed_from_u64(seed),
            timing,
            told: Vec::new(),
            sent: vec![(0, 0); places.len()],
            received: vec![0; places.len()],
            crossing: collections::BTreeSet::new(),
            flights: collections::BinaryHeap::new(),
            ticks: collections::BinaryHeap::new(),
            addresses: collections::BTreeMap::new(),
            order: 0,
        };
        for (index, (region, failure_domain)) in places.iter().enumerate() {
            let tick_ms = u32::try_from(fabric.timing.tick.as_millis()).expect("short");
            let phase = time::Duration::from_millis((fabric.rng.next_u32() % tick_ms).into());
            fabric.ticks.push(cmp::Reverse((fabric.now + phase, index)));
            let number = u16::try_from(index).expect("few VMs");
            let [high, low] = number.to_be_bytes();
            let address = net::SocketAddr::from(([10, 0, high, low], 7000));
            fabric.addresses.insert(address, index);
            let name = format!("{failure_domain}-vm-{index}");
            fabric.vms.push(FabricVm {
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
                side: 0,
                backlog: Vec::new(),
                born_at: time::Duration::ZERO,
                held: collections::BTreeMap::new(),
                in_force: collections::BTreeMap::new(),
                claims: collections::BTreeMap::new(),
            });
        }
        fabric
    }

    /// Begins a new life on a VM, ending the one before without a word.
    pub fn start(&mut self, index: usize) {
        let seeds = self.vms.iter().map(|vm| settings::SeedEntry {
            name: vm.name.clone(),
            place: vm.place.clone(),
        });
        let seeds = seeds.collect();
        let wall_ms = EPOCH_MS + u64::try_from(self.now.as_millis()).expect("short");
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
        vm.born_at = self.now;
        vm.backlog.clear();
        vm.held.clear();
        vm.in_force.clear();
        vm.claims.clear();
    }

    /// Ends the life on a VM without a word.
    pub fn kill(&mut self, index: usize) {
        self.vms[index].core = None;
        self.vms[index].paused = false;
    }

    /// VMs on which a life runs that is not paused.
    pub fn running(&self) -> Vec<usize> {
        let indices = 0..self.vms.len();
        indices
            .filter(|index| self.vms[*index].core.is_some() && !self.vms[*index].paused)
            .collect()
    }

    /// Lets the core of a VM do something and performs what it wants.
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
                event::CoreAction::Notify(event) => self.told.push((now, index, event)),
            }
        }
    }

    /// Lets a paused life go on. It may notice the time first and what had arrived after that.
    pub fn resume(&mut self, index: usize) {
        if std::mem::take(&mut self.vms[index].paused) {
            self.act(index, TestCore::on_tick);
        }
        let backlog = std::mem::take(&mut self.vms[index].backlog);
        backlog.into_iter().for_each(|flight| self.deliver(flight));
    }

    /// Lets virtual time pass.
    pub fn advance(&mut self, span: time::Duration) {
        let end = self.now + span;
        loop {
            let flight_at = self
                .flights
                .peek()
                .map_or(time::Duration::MAX, |flight| flight.at);
            let cmp::Reverse((tick_at, index)) = *self.ticks.peek().expect("one for each VM");
            let next = flight_at.min(tick_at);
            if next > end {
                break;
            }
            self.now = self.now.max(next);
            if flight_at <= tick_at {
                let flight = self.flights.pop().expect("just seen");
                self.deliver(flight);
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
        let bytes = AROUND_PAYLOAD + (outgoing.payload.len() + self.vms[from].name.len()) as u64;
        self.sent[from].0 += 1;
        self.sent[from].1 += bytes;
        let Some(&to) = self.addresses.get(&outgoing.address) else {
            return;
        };
        if self.vms[to].place.region != self.vms[from].place.region {
            self.crossing.insert(from);
        }
        let copies = if self.chance(self.faults.twice) { 2 } else { 1 };
        for _ in 0..copies {
            let delay_us = 300 + self.rng.next_u32() % (self.faults.delay_ms * 1000);
            let lost = self.chance(self.faults.loss) || self.vms[from].side != self.vms[to].side;
            if lost {
                continue;
            }
            self.received[to] += bytes;
            self.order += 1;
            self.flights.push(Flight {
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

    /// Hands a datagram over as crate `wire` would: only if bound to this very life, or to none.
    fn deliver(&mut self, flight: Flight) {
        let vm = &mut self.vms[flight.to];
        if vm.paused {
            vm.backlog.push(flight);
            return;
        }
        let bound = flight.receiver.is_some();
        if flight
            .receiver
            .as_ref()
            .is_some_and(|receiver| *receiver != vm.identity)
        {
            return;
        }
        let address = self.vms[flight.from].place.address;
        self.act(flight.to, |core, now| {
            core.on_datagram(now, address, &flight.sender, bound, &flight.payload)
        });
    }

    /// Checks what must hold at every moment: no version falls, no mark of leaving is unlearnt.
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
                    "{} fell",
                    vm.name
                );
            }
            let lives = core.members().iter().filter_map(|(_, record)| {
                let life = record.claim.version.incarnation.id;
                record.in_force.map(|state| (life, state))
            });
            for (life, state) in lives {
                let before = vm.in_force.insert(life, state);
                assert!(
                    before.is_none_or(|before| before <= state),
                    "{} reverted",
                    vm.name
                );
            }
            for (key, before) in &mut vm.held {
                let now = core.items().get(key).map(|item| item.version);
                let gone = now.is_none() && key.kind == item::ItemKind::Leaving;
                assert!(!gone, "{} unlearnt {key:?}", vm.name);
                assert!(
                    now.is_none_or(|now| *before <= now),
                    "{} fell at {key:?}",
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

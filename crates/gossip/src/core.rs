//! The decisions of membership, without I/O, clock or random source of their own.

use std::{collections, net, time};

use base::id;
use prost::Message as _;
use rand::seq::IndexedRandom as _;
use wire::{identity, proto::gossip as proto};

use crate::{claim, event, item, member, news, packet, probe, settings, spread};
use event::CoreAction;
use proto::message::Kind;

/// Greetings in answer to strangers in one tick at the most.
const MAX_GREETINGS: u32 = 8;

/// Greetings in one round while nobody is known.
const JOIN_GREETINGS: usize = 5;

/// A tick that comes this many ticks late means that this process was paused.
const PAUSE_TICKS: u32 = 10;

/// What one VM knows of all others, and what it does next.
///
/// `now` is the time since any fixed moment on this VM's monotonic clock; it never goes back.
#[derive(Debug)]
pub struct MemberCore<R> {
    pub(crate) timing: settings::TimingSettings,
    /// The own identity; constant.
    pub(crate) identity: identity::ProcessIdentity,
    /// The own claim; also in `table`, always equal there.
    pub(crate) own: claim::MemberClaim,
    pub(crate) rng: R,
    pub(crate) table: member::MemberTable,
    pub(crate) items: item::ItemStore,
    pub(crate) queue: spread::SpreadQueue,
    pub(crate) schedule: probe::ProbeSchedule,
    pub(crate) seeds: collections::BTreeMap<String, claim::MemberPlace>,
    pub(crate) actions: Vec<CoreAction>,
    pub(crate) dues: DueTimes,
    /// Greetings that strangers may still cause before the next tick.
    greetings_left: u32,
    last_tick: time::Duration,
}

/// When each recurring duty is due next.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DueTimes {
    pub probe: time::Duration,
    pub slow_round: time::Duration,
    pub sync: time::Duration,
    pub greeting: time::Duration,
}

impl<R: rand::Rng> MemberCore<R> {
    /// A core that knows itself and the seeds.
    pub fn new(
        own: settings::OwnSettings,
        timing: settings::TimingSettings,
        seeds: Vec<settings::SeedEntry>,
        rng: R,
        now: time::Duration,
    ) -> Self {
        let claim = claim::MemberClaim {
            name: own.identity.name.clone(),
            version: claim::ClaimVersion {
                life: claim::LifeStamp {
                    birth_ms: own.birth_ms,
                    incarnation: own.identity.incarnation,
                },
                refutation: 0,
                state: claim::MemberState::Alive,
            },
            place: own.place,
        };
        let mut table = member::MemberTable::default();
        table.merge(&claim, now, now);
        let mut core = Self {
            dues: DueTimes {
                probe: now,
                slow_round: now,
                sync: now + timing.sync_interval,
                greeting: now,
            },
            timing,
            identity: own.identity,
            own: claim,
            rng,
            table,
            items: item::ItemStore::default(),
            queue: spread::SpreadQueue::default(),
            schedule: probe::ProbeSchedule::default(),
            seeds: collections::BTreeMap::new(),
            actions: Vec::new(),
            greetings_left: MAX_GREETINGS,
            last_tick: now,
        };
        core.set_seeds(seeds);
        core
    }

    /// Replaces the entry VMs of the inventory.
    pub fn set_seeds(&mut self, seeds: Vec<settings::SeedEntry>) {
        let own = &self.identity.name;
        let others = seeds.into_iter().filter(|seed| seed.name != *own);
        self.seeds = others.map(|seed| (seed.name, seed.place)).collect();
    }

    /// All members that are known, the own VM among them.
    #[must_use]
    pub const fn members(&self) -> &member::MemberTable {
        &self.table
    }

    /// All items that are known.
    #[must_use]
    pub const fn items(&self) -> &item::ItemStore {
        &self.items
    }

    /// Takes a datagram that passed every check of crate `wire`.
    pub fn on_datagram(
        &mut self,
        now: time::Duration,
        from: net::SocketAddr,
        sender: &identity::ProcessIdentity,
        bound: bool,
        payload: &[u8],
    ) -> Vec<CoreAction> {
        let message = proto::Message::decode(payload).unwrap_or_default();
        match message.kind {
            None => metrics::counter!("pollenchute_gossip_malformed_total").increment(1),
            // Whoever has recorded a greeting may send it again to anybody, at any time. So nothing
            // in it is believed; it only causes one answer, which only the asking life can open.
            Some(Kind::Hello(_)) if !bound => self.answer_greeting(from, sender),
            Some(_) if !bound => {
                metrics::counter!("pollenchute_gossip_unbound_total").increment(1);
            }
            Some(kind) => {
                self.take_claims(now, message.claims);
                self.take_items(now, message.items);
                self.take_kind(now, from, sender, kind);
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Does what is due; call it every [`settings::TimingSettings::tick`].
    pub fn on_tick(&mut self, now: time::Duration) -> Vec<CoreAction> {
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if gap > self.timing.tick * PAUSE_TICKS {
            self.resume(now, gap);
        }
        self.greetings_left = MAX_GREETINGS;
        if self.own.version.state != claim::MemberState::Left {
            self.expire_suspicions(now);
            self.probe_round(now);
            self.greet_round(now);
            self.sync_round(now);
        }
        self.spread_round(now);
        std::mem::take(&mut self.actions)
    }

    /// Publishes an item; an equal one that holds already is left alone.
    pub fn publish(&mut self, now: time::Duration, news: &news::NewsItem) -> Vec<CoreAction> {
        let key = news.key();
        let known = self.items.get(&key);
        let own_life = matches!(news, news::NewsItem::Configuration(_));
        let epoch = if own_life {
            self.own.version.life.birth_ms
        } else {
            0
        };
        let known_version = known.map(|item| item.version).unwrap_or_default();
        let sequence = if known_version.epoch >= epoch {
            known_version.sequence + 1
        } else {
            1
        };
        let item = item::Item {
            key,
            version: item::ItemVersion {
                epoch: epoch.max(known_version.epoch),
                sequence,
            },
            body: news.body(),
            expires_at: news.lasts().map(|lasts| now + lasts),
        };
        self.take_item(now, item);
        std::mem::take(&mut self.actions)
    }

    /// Marks this life of this VM as leaving: it takes no new work, but stays a member.
    pub fn leave(&mut self, now: time::Duration) -> Vec<CoreAction> {
        let subject = news::LeavingSubject::Vm {
            name: self.identity.name.clone(),
            incarnation: self.identity.incarnation,
        };
        self.publish(now, &news::NewsItem::Leaving(subject))
    }

    /// Says goodbye; the ticks that follow spread it and do nothing else.
    pub fn depart(&mut self, now: time::Duration) -> Vec<CoreAction> {
        self.own.version.refutation += 1;
        self.own.version.state = claim::MemberState::Left;
        self.tell_own(now);
        std::mem::take(&mut self.actions)
    }

    fn take_kind(
        &mut self,
        now: time::Duration,
        from: net::SocketAddr,
        sender: &identity::ProcessIdentity,
        kind: Kind,
    ) {
        match kind {
            Kind::Ping(ping) => {
                let ack = Kind::Ack(proto::Ack {
                    number: ping.number,
                });
                self.send(now, from, sender, ack);
            }
            Kind::Ack(ack) => self.take_ack(now, ack.number),
            Kind::PingRequest(request) => self.relay_probe(now, from, sender, &request),
            Kind::Hello(_) => self.answer_greeting(from, sender),
            Kind::HelloAnswer(_) => {
                self.introduce(now, from, sender);
                return;
            }
            Kind::SyncSummary(summary) => self.take_summary(now, from, sender, &summary),
            Kind::Push(push) => self.take_push(now, push),
        }
        self.meet(from, sender);
    }

    /// Greets a sender of whose life nothing is known.
    fn meet(&mut self, from: net::SocketAddr, sender: &identity::ProcessIdentity) {
        let record = self.table.named(&sender.name);
        let known = record
            .is_some_and(|record| record.claim.version.life.incarnation == sender.incarnation);
        if !known && self.greetings_left > 0 {
            self.greetings_left -= 1;
            let packet = packet::PacketBuilder::new(Kind::Hello(proto::Hello {}));
            self.send_packet(from, sender.clone(), packet);
        }
    }

    fn answer_greeting(&mut self, from: net::SocketAddr, sender: &identity::ProcessIdentity) {
        let mut packet = packet::PacketBuilder::new(Kind::HelloAnswer(proto::HelloAnswer {}));
        packet.add_claim(self.own.to_wire());
        self.add_word_about(sender, &mut packet);
        self.send_packet(from, sender.clone(), packet);
    }

    fn take_claims(&mut self, now: time::Duration, claims: Vec<proto::MemberClaim>) {
        for claim in claims.into_iter().filter_map(claim::MemberClaim::from_wire) {
            if claim.name == self.identity.name {
                self.take_own_claim(now, &claim);
            } else {
                self.take_claim(now, &claim);
            }
        }
    }

    /// Takes a claim about another member, passes it on and tells it when it is news.
    pub(crate) fn take_claim(&mut self, now: time::Duration, claim: &claim::MemberClaim) {
        let dead_at = now + self.timing.suspicion;
        if let member::MergeOutcome::Taken(key) = self.table.merge(claim, now, dead_at) {
            // Everybody who heard of a suspicion finds the death without being told.
            let dead = claim.version.state == claim::MemberState::Dead;
            let copies = if dead {
                self.timing.slow_copies
            } else {
                self.timing.urgent_copies
            };
            self.queue
                .add(spread::SpreadKey::Member(key), !dead, copies);
            self.actions
                .push(CoreAction::Notify(event::GossipEvent::Member(
                    claim.clone(),
                )));
        }
    }

    /// Answers what others say of this VM.
    fn take_own_claim(&mut self, now: time::Duration, claim: &claim::MemberClaim) {
        let own = self.own.version;
        if claim.version <= own || own.state == claim::MemberState::Left {
            return;
        }
        if claim.version.life.incarnation == self.identity.incarnation {
            self.own.version.life = own.life.max(claim.version.life);
            self.own.version.refutation = claim.version.refutation + 1;
        } else if claim.version.state.is_present() {
            // Two processes with one name, or an earlier life whose clock was ahead. The earlier
            // life does not answer and will be found dead; then this one may go beyond it.
            metrics::counter!("pollenchute_gossip_name_conflicts_total").increment(1);
            let conflict = event::GossipEvent::NameConflict(claim.clone());
            self.actions.push(CoreAction::Notify(conflict));
            return;
        } else {
            self.own.version.life.birth_ms = claim.version.life.birth_ms + 1;
        }
        self.tell_own(now);
    }

    /// Passes the own claim on after it changed.
    fn tell_own(&mut self, now: time::Duration) {
        let own = self.own.clone();
        self.take_claim(now, &own);
    }

    fn take_items(&mut self, now: time::Duration, items: Vec<proto::Item>) {
        for item in items
            .into_iter()
            .filter_map(|item| item::Item::from_wire(item, now))
        {
            self.take_item(now, item);
        }
    }

    fn take_item(&mut self, now: time::Duration, item: item::Item) {
        let Some(news) = news::NewsItem::from_item(&item, now) else {
            metrics::counter!("pollenchute_gossip_malformed_total").increment(1);
            return;
        };
        let (key, urgent) = (item.key.clone(), item.key.kind.is_urgent());
        if self.items.merge(item) {
            let timing = &self.timing;
            let copies = if urgent {
                timing.urgent_copies
            } else {
                timing.slow_copies
            };
            self.queue.add(spread::SpreadKey::Item(key), urgent, copies);
            self.actions
                .push(CoreAction::Notify(event::GossipEvent::News(news)));
        }
    }

    fn expire_suspicions(&mut self, now: time::Duration) {
        let is_over = |record: &member::MemberRecord| record.dead_at.is_some_and(|at| at <= now);
        let over = self.table.iter().filter(|(_, record)| is_over(record));
        let claims: Vec<claim::MemberClaim> =
            over.map(|(_, record)| record.claim.clone()).collect();
        for mut claim in claims {
            claim.version.state = claim::MemberState::Dead;
            self.take_claim(now, &claim);
        }
    }

    /// Makes nothing of the silence while this process itself was paused.
    fn resume(&mut self, now: time::Duration, gap: time::Duration) {
        self.schedule.current = None;
        self.table.postpone_deaths(gap);
        self.dues.probe = now + self.timing.probe_interval;
    }

    /// Keys of the present members of the own region, without this VM.
    pub(crate) fn neighbours(&self) -> Vec<id::VmKey> {
        let others = self.table.iter().filter(|(_, record)| {
            record.state().is_present()
                && record.claim.place.region == self.own.place.region
                && record.claim.name != self.identity.name
        });
        others.map(|(key, _)| key).collect()
    }

    /// Sends to members picked at random what still has to be passed on.
    fn spread_round(&mut self, now: time::Duration) {
        let slow = now >= self.dues.slow_round;
        if slow {
            self.dues.slow_round = now + self.timing.slow_interval;
        }
        if !(self.queue.has_urgent() || slow && !self.queue.is_empty()) {
            return;
        }
        let neighbours = self.neighbours();
        let targets: Vec<id::VmKey> = neighbours
            .sample(&mut self.rng, self.timing.fanout)
            .copied()
            .collect();
        for target in targets {
            self.send_to(now, target, Kind::Push(proto::Push::default()));
        }
    }

    /// Sends to a member that is known, filled up with what has to be passed on.
    pub(crate) fn send_to(&mut self, now: time::Duration, target: id::VmKey, kind: Kind) {
        if let Some(record) = self.table.get(target) {
            let (address, receiver) = (record.claim.place.address, record.identity());
            self.send(now, address, &receiver, kind);
        }
    }

    /// Sends to one life, filled up with what has to be passed on.
    pub(crate) fn send(
        &mut self,
        now: time::Duration,
        address: net::SocketAddr,
        receiver: &identity::ProcessIdentity,
        kind: Kind,
    ) {
        let mut packet = packet::PacketBuilder::new(kind);
        self.add_word_about(receiver, &mut packet);
        let (table, items) = (&self.table, &self.items);
        self.queue.offer(|key| match key {
            spread::SpreadKey::Member(key) => table
                .get(*key)
                .is_some_and(|record| packet.add_claim(record.claim.to_wire())),
            spread::SpreadKey::Item(key) => items
                .get(key)
                .and_then(|item| item.to_wire(now))
                .is_some_and(|item| packet.add_item(item)),
        });
        self.send_packet(address, receiver.clone(), packet);
    }

    /// Attaches what is held against the receiver, so that it can refute it.
    fn add_word_about(
        &self,
        receiver: &identity::ProcessIdentity,
        packet: &mut packet::PacketBuilder,
    ) {
        let Some(record) = self.table.named(&receiver.name) else {
            return;
        };
        let same_life = record.claim.version.life.incarnation == receiver.incarnation;
        if !same_life || record.state() != claim::MemberState::Alive {
            packet.add_claim(record.claim.to_wire());
        }
    }

    pub(crate) fn send_packet(
        &mut self,
        address: net::SocketAddr,
        receiver: identity::ProcessIdentity,
        packet: packet::PacketBuilder,
    ) {
        self.actions.push(CoreAction::Send(event::OutgoingDatagram {
            address,
            receiver: Some(receiver),
            payload: packet.finish(),
        }));
    }

    /// Greets somebody of whose life nothing is known.
    pub(crate) fn greet(&mut self, address: net::SocketAddr) {
        let packet = packet::PacketBuilder::new(Kind::Hello(proto::Hello {}));
        self.actions.push(CoreAction::Send(event::OutgoingDatagram {
            address,
            receiver: None,
            payload: packet.finish(),
        }));
    }

    /// Greets seeds: many while alone, else now and then one that is absent.
    fn greet_round(&mut self, now: time::Duration) {
        if now < self.dues.greeting {
            return;
        }
        let alone = self.neighbours().is_empty();
        let timing = &self.timing;
        let (interval, count) = if alone {
            (timing.join_interval, JOIN_GREETINGS)
        } else {
            (timing.reach_interval, 1)
        };
        self.dues.greeting = now + interval;
        let absent = self.absent_addresses();
        let picked: Vec<net::SocketAddr> = absent.sample(&mut self.rng, count).copied().collect();
        for address in picked {
            self.greet(address);
        }
    }

    /// Where somebody might be of whom nothing is heard: seeds and members that are gone.
    fn absent_addresses(&self) -> Vec<net::SocketAddr> {
        let is_present = |name: &str| {
            self.table
                .named(name)
                .is_some_and(|record| record.state().is_present())
        };
        let seeds = self.seeds.iter().filter(|(name, _)| !is_present(name));
        let gone = self.table.iter().filter(|(_, record)| {
            record.state() == claim::MemberState::Dead
                && !self.seeds.contains_key(&record.claim.name)
        });
        seeds
            .map(|(_, place)| place.address)
            .chain(gone.map(|(_, record)| record.claim.place.address))
            .collect()
    }
}

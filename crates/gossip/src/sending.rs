//! Building of datagrams, filled up with queued updates.

use std::{net, time};

use base::id;
use rand::seq::IndexedRandom as _;
use wire::{identity, proto::gossip as proto};

use crate::{claim, core, event, item, packet, spread};
use proto::message::Kind;

impl<R: rand::Rng> core::MemberCore<R> {
    /// Sends the queued updates to randomly chosen members.
    pub(crate) fn spread_round(&mut self, now: time::Duration) {
        let slow = now >= self.due_times.slow_round;
        if slow {
            self.due_times.slow_round = now + self.timing.slow_interval;
        }
        if !(self.queue.has_urgent() || slow && !self.queue.is_empty()) {
            return;
        }
        let neighbours = self.neighbours();
        let mut targets: Vec<id::VmKey> = neighbours
            .sample(&mut self.rng, self.timing.fanout)
            .copied()
            .collect();
        targets.extend(self.link_targets());
        for target in targets {
            if !self.queue.is_empty() {
                self.send_to(now, target, Kind::Push(proto::Push::default()));
            }
        }
    }

    /// Sends a message to a known member, filled up with queued updates.
    pub(crate) fn send_to(&mut self, now: time::Duration, target: id::VmKey, kind: Kind) {
        if let Some(record) = self.table.get(target) {
            let (address, receiver) = (record.claim.place.address, record.identity());
            self.send(now, address, &receiver, kind);
        }
    }

    /// Sends a message to one incarnation, filled up with queued updates.
    pub(crate) fn send(
        &mut self,
        now: time::Duration,
        address: net::SocketAddr,
        receiver: &identity::ProcessIdentity,
        kind: Kind,
    ) {
        let mut packet = packet::PacketBuilder::new(kind);
        self.add_claim_about(receiver, &mut packet);
        let (table, items) = (&self.table, &self.items);
        let region = table
            .named(&receiver.name)
            .map(|record| &record.claim.place.region);
        let to_other_region = region.is_some_and(|region| *region != self.own.place.region);
        self.queue.offer(|key| match key {
            spread::SpreadKey::Member(key) => table
                .get(*key)
                .is_some_and(|record| packet.add_claim(record.claim.to_update())),
            spread::SpreadKey::InForce(key) => table
                .get(*key)
                .is_some_and(|record| record.add_in_force(&mut packet)),
            spread::SpreadKey::Item(key) if to_other_region && key.kind == item::ItemKind::Link => {
                false
            }
            spread::SpreadKey::Item(key) => items
                .get(key)
                .and_then(|item| item.to_wire(now))
                .is_some_and(|item| packet.add_item(item)),
        });
        self.send_packet(address, receiver.clone(), packet);
    }

    /// Attaches the claim about the receiver if it is suspect, dead or of another incarnation, so
    /// that the receiver can refute it.
    pub(crate) fn add_claim_about(
        &self,
        receiver: &identity::ProcessIdentity,
        packet: &mut packet::PacketBuilder,
    ) {
        let Some(record) = self.table.named(&receiver.name) else {
            return;
        };
        let same_incarnation = record.claim.version.incarnation.id == receiver.incarnation;
        if !same_incarnation || record.state() != claim::MemberState::Alive {
            packet.add_claim(record.claim.to_update());
        }
    }

    /// Sends a message to one incarnation.
    pub(crate) fn send_packet(
        &mut self,
        address: net::SocketAddr,
        receiver: identity::ProcessIdentity,
        packet: packet::PacketBuilder,
    ) {
        self.actions
            .push(event::CoreAction::Send(event::OutgoingDatagram {
                address,
                receiver: Some(receiver),
                payload: packet.finish(),
            }));
    }

    /// Sends a `Hello` to an address whose incarnation is unknown.
    pub(crate) fn send_hello(&mut self, address: net::SocketAddr) {
        let packet = packet::PacketBuilder::new(Kind::Hello(proto::Hello {}));
        self.actions
            .push(event::CoreAction::Send(event::OutgoingDatagram {
                address,
                receiver: None,
                payload: packet.finish(),
            }));
    }
}

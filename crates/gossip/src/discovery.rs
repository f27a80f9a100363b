//! Discovery of members: at startup, after a restart, and after a partition.

use std::{collections, net, time};

use rand::seq::IndexedRandom as _;
use wire::{identity, proto::gossip as proto};

use crate::{claim, core, packet};
use proto::message::Kind;

/// `Hello` messages in one round while no other member of the region is known.
const JOIN_HELLOS: usize = 5;

/// While no VM answers, the interval between rounds grows to at most this many join intervals.
const MAX_BACKOFF: u32 = 8;

impl<R: rand::Rng> core::MemberCore<R> {
    /// Sends a `Hello` to a sender whose incarnation is not the one known here.
    pub(crate) fn contact_unknown(
        &mut self,
        from: net::SocketAddr,
        sender: &identity::ProcessIdentity,
    ) {
        if !self.is_known_incarnation(sender) && self.hellos_left > 0 {
            self.hellos_left -= 1;
            let packet = packet::PacketBuilder::new(Kind::Hello(proto::Hello {}));
            self.send_packet(from, sender.clone(), packet);
        }
    }

    /// Answers a `Hello` with the claim about this VM, and with any claim that the sender may have
    /// to refute.
    pub(crate) fn answer_hello(
        &mut self,
        from: net::SocketAddr,
        sender: &identity::ProcessIdentity,
    ) {
        let mut packet = packet::PacketBuilder::new(Kind::HelloAnswer(proto::HelloAnswer {}));
        packet.add_claim(self.own.to_wire());
        self.add_claim_about(sender, &mut packet);
        self.send_packet(from, sender.clone(), packet);
    }

    /// Sends `Hello` messages to absent members and seeds: several per round while no member of the
    /// region is known, otherwise one now and then. Without this, two sides of a partition that
    /// declared each other dead would never reconnect.
    pub(crate) fn hello_round(&mut self, now: time::Duration) {
        if now < self.due_times.hello {
            return;
        }
        let alone = self.neighbours().is_empty();
        let (interval, count) = if alone {
            self.isolated_rounds = self.isolated_rounds.saturating_add(1);
            let backoff = (self.isolated_rounds / 4).clamp(1, MAX_BACKOFF);
            (self.timing.join_interval * backoff, JOIN_HELLOS)
        } else {
            self.isolated_rounds = 0;
            (self.timing.reconnect_interval, 1)
        };
        self.due_times.hello = now + interval;
        let absent = self.absent_addresses();
        let picked: Vec<net::SocketAddr> = absent.sample(&mut self.rng, count).copied().collect();
        for address in picked {
            self.send_hello(address);
        }
    }

    /// Addresses of seeds and dead members of the region that are not present; only those that the
    /// platform's list reports as live, if there are any.
    fn absent_addresses(&self) -> Vec<net::SocketAddr> {
        let seeds = self
            .seeds
            .iter()
            .map(|(name, place)| (name.as_str(), place));
        let dead = self
            .table
            .iter()
            .filter(|(_, record)| record.state() == claim::MemberState::Dead);
        let dead = dead.map(|(_, record)| (record.claim.name.as_str(), &record.claim.place));
        let absent: collections::BTreeMap<&str, &claim::MemberPlace> = seeds
            .chain(dead)
            .filter(|(name, place)| place.region == self.own.place.region && !self.is_present(name))
            .collect();
        let listed = absent
            .iter()
            .filter(|(name, _)| self.list.live.contains(**name));
        let listed: Vec<net::SocketAddr> = listed.map(|(_, place)| place.address).collect();
        if listed.is_empty() {
            absent.values().map(|place| place.address).collect()
        } else {
            listed
        }
    }
}

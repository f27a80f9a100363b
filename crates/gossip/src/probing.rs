//! Failure detection by probing the neighbours.

use std::{net, time};

use base::id;
use rand::seq::IndexedRandom as _;
use wire::{identity, proto::gossip as proto};

use crate::{claim, core, probe};
use proto::message::Kind;

impl<R: rand::Rng> core::MemberCore<R> {
    /// Continues the probe under way, or starts the next one.
    pub(crate) fn probe_round(&mut self, now: time::Duration) {
        self.schedule.remove_expired(now);
        if let Some(round) = self.schedule.current
            && !round.indirect
            && now >= round.started_at + self.timing.ack_timeout
        {
            self.request_indirect_probes(now, round);
        }
        if now < self.due_times.probe {
            return;
        }
        self.due_times.probe = now + self.timing.probe_interval;
        if let Some(round) = self.schedule.current.take() {
            self.suspect(now, round);
        }
        let neighbours = self.neighbours();
        let Some(target) = self.schedule.next_target(&neighbours, &mut self.rng) else {
            return;
        };
        self.start_probe(now, target);
    }

    fn start_probe(&mut self, now: time::Duration, target: id::VmKey) {
        let Some(record) = self.table.get(target) else {
            return;
        };
        let incarnation = record.claim.version.incarnation.id;
        let number = self.schedule.next_number();
        self.schedule.current = Some(probe::ProbeRound {
            target,
            incarnation,
            number,
            started_at: now,
            indirect: false,
        });
        self.send_to(now, target, Kind::Ping(proto::Ping { number }));
    }

    fn request_indirect_probes(&mut self, now: time::Duration, round: probe::ProbeRound) {
        self.schedule.current = Some(probe::ProbeRound {
            indirect: true,
            ..round
        });
        let Some(record) = self.table.get(round.target) else {
            return;
        };
        let name = record.claim.name.clone();
        let mut neighbours = self.neighbours().to_vec();
        neighbours.retain(|key| *key != round.target);
        let count = self.timing.indirect_probes;
        let helpers: Vec<id::VmKey> = neighbours.sample(&mut self.rng, count).copied().collect();
        for helper in helpers {
            let request = proto::PingRequest {
                number: round.number,
                target: name.clone(),
            };
            self.send_to(now, helper, Kind::PingRequest(request));
        }
    }

    /// Suspects a member that did not answer, unless it has restarted since.
    fn suspect(&mut self, now: time::Duration, round: probe::ProbeRound) {
        let Some(record) = self.table.get(round.target) else {
            return;
        };
        let mut claim = record.claim.clone();
        let same_incarnation = claim.version.incarnation.id == round.incarnation;
        if same_incarnation && claim.version.state == claim::MemberState::Alive {
            claim.version.state = claim::MemberState::Suspect;
            self.apply_claim(now, &claim);
        }
    }

    /// Probes a member on behalf of another one.
    pub(crate) fn relay_probe(
        &mut self,
        now: time::Duration,
        from: net::SocketAddr,
        sender: &identity::ProcessIdentity,
        request: &proto::PingRequest,
    ) {
        let Some(target) = self.table.key(&request.target) else {
            return;
        };
        let relayed = probe::RelayedProbe {
            requester: sender.clone(),
            address: from,
            number: request.number,
            expires_at: now + self.timing.probe_interval,
        };
        if let Some(number) = self.schedule.relay(relayed) {
            self.send_to(now, target, Kind::Ping(proto::Ping { number }));
        }
    }

    /// Handles an acknowledgement, and forwards it if the probe was relayed for another member.
    pub(crate) fn handle_ack(&mut self, now: time::Duration, number: u32) {
        if let Some(relayed) = self.schedule.acknowledge(number) {
            let ack = Kind::Ack(proto::Ack {
                number: relayed.number,
            });
            self.send(now, relayed.address, &relayed.requester, ack);
        }
    }
}

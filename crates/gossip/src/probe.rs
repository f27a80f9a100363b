//! Probe schedule: the next target, the probe under way, and probes relayed for other members.

use std::{collections, time};

use base::id;
use rand::seq::SliceRandom as _;
use wire::identity;

/// Maximum number of relayed probes under way.
const MAX_RELAYS: usize = 256;

/// A probe under way.
#[derive(Clone, Copy, Debug)]
pub struct ProbeRound {
    /// The member being probed.
    pub target: id::VmKey,
    /// The incarnation being probed.
    pub incarnation: id::Incarnation,
    /// The number that an acknowledgement carries.
    pub number: u32,
    /// When the probe was sent.
    pub started_at: time::Duration,
    /// Whether indirect probes were requested.
    pub indirect: bool,
}

/// A probe relayed for another member.
#[derive(Clone, Debug)]
pub struct RelayedProbe {
    /// The member that requested the probe.
    pub requester: identity::ProcessIdentity,
    /// Address of the requester.
    pub address: std::net::SocketAddr,
    /// The requester's number of the probe.
    pub number: u32,
    /// When the requester stops waiting.
    pub expires_at: time::Duration,
}

/// Order in which members are probed, and the probes under way.
#[derive(Clone, Debug, Default)]
pub struct ProbeSchedule {
    /// Members not yet probed in this cycle; each is probed once before any is probed twice, so
    /// that a failure is detected within one cycle.
    cycle: Vec<id::VmKey>,
    /// The probe under way.
    pub current: Option<ProbeRound>,
    /// Relayed probes, by their number on this VM.
    relays: collections::BTreeMap<u32, RelayedProbe>,
    last_number: u32,
}

impl ProbeSchedule {
    /// A number not used by any probe under way.
    pub const fn next_number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }

    /// The member of `present` to probe next, in an order shuffled for each cycle.
    pub fn next_target<R: rand::Rng>(
        &mut self,
        present: &[id::VmKey],
        rng: &mut R,
    ) -> Option<id::VmKey> {
        if self.cycle.is_empty() {
            self.cycle.extend_from_slice(present);
            self.cycle.shuffle(rng);
        }
        while let Some(key) = self.cycle.pop() {
            if present.contains(&key) {
                return Some(key);
            }
        }
        None
    }

    /// Records a relayed probe under a new number, unless too many are under way.
    pub fn relay(&mut self, probe: RelayedProbe) -> Option<u32> {
        if self.relays.len() >= MAX_RELAYS {
            return None;
        }
        let number = self.next_number();
        self.relays.insert(number, probe);
        Some(number)
    }

    /// Handles an acknowledgement and returns the relayed probe that it belongs to, if any.
    pub fn acknowledge(&mut self, number: u32) -> Option<RelayedProbe> {
        if self.current.is_some_and(|round| round.number == number) {
            self.current = None;
        }
        self.relays.remove(&number)
    }

    /// Removes relayed probes whose requesters no longer wait.
    pub fn remove_expired(&mut self, now: time::Duration) {
        self.relays.retain(|_, probe| probe.expires_at > now);
    }
}

//! Probing: whom to ask next, and who did not answer.

use std::{collections, time};

use base::id;
use rand::seq::SliceRandom as _;
use wire::identity;

/// Probes for others that are under way at the most.
const MAX_RELAYS: usize = 256;

/// A probe under way.
#[derive(Clone, Copy, Debug)]
pub struct ProbeRound {
    /// Who is asked.
    pub target: id::VmKey,
    /// The life that is asked.
    pub incarnation: id::Incarnation,
    /// The number that an answer carries.
    pub number: u32,
    /// When it began.
    pub started_at: time::Duration,
    /// Whether others were asked to probe, too.
    pub indirect: bool,
}

/// A probe made for another member.
#[derive(Clone, Debug)]
pub struct RelayedProbe {
    /// Who wants to know.
    pub requester: identity::ProcessIdentity,
    /// Where it is.
    pub address: std::net::SocketAddr,
    /// The number that it gave.
    pub number: u32,
    /// When it no longer waits.
    pub over_at: time::Duration,
}

/// Whom to ask next, and who has been asked.
#[derive(Clone, Debug, Default)]
pub struct ProbeSchedule {
    /// Members not yet asked in this turn; each is asked once before any is asked twice, so that
    /// no death stays unnoticed for longer than one turn.
    turn: Vec<id::VmKey>,
    /// The probe under way.
    pub current: Option<ProbeRound>,
    /// Probes made for others, by their number here.
    relays: collections::BTreeMap<u32, RelayedProbe>,
    last_number: u32,
}

impl ProbeSchedule {
    /// A number that no probe under way has.
    pub const fn next_number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }

    /// The member to ask next among `present`, in an order drawn anew for each turn.
    pub fn next_target<R: rand::Rng>(
        &mut self,
        present: &[id::VmKey],
        rng: &mut R,
    ) -> Option<id::VmKey> {
        if self.turn.is_empty() {
            self.turn.extend_from_slice(present);
            self.turn.shuffle(rng);
        }
        while let Some(key) = self.turn.pop() {
            if present.contains(&key) {
                return Some(key);
            }
        }
        None
    }

    /// Remembers a probe for another member under a number of its own, if there is room.
    pub fn relay(&mut self, probe: RelayedProbe) -> Option<u32> {
        if self.relays.len() >= MAX_RELAYS {
            return None;
        }
        let number = self.next_number();
        self.relays.insert(number, probe);
        Some(number)
    }

    /// Takes an answer: the relayed probe that it belongs to, if any.
    pub fn answered(&mut self, number: u32) -> Option<RelayedProbe> {
        if self.current.is_some_and(|round| round.number == number) {
            self.current = None;
        }
        self.relays.remove(&number)
    }

    /// Forgets probes for others that no longer wait.
    pub fn forget_over(&mut self, now: time::Duration) {
        self.relays.retain(|_, probe| probe.over_at > now);
    }
}

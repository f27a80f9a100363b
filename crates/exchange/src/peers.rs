//! The other entry VMs, as this one hears them.

use std::{collections, net};

use tokio::time;

use crate::{audience, message, wait};

/// A VM that was not heard for this long is not named to callers any more; the users' bound for a
/// stopped or frozen VM is two seconds.
const HEARD_LEAST: time::Duration = time::Duration::from_millis(1_000);
/// Times between two datagrams of a VM after which it is taken to be silent: two may be lost.
const HEARD_GAPS: u32 = 3;
/// Time between two datagrams of a VM that has nothing new to say.
const SPEAK_GAP: time::Duration = time::Duration::from_millis(150);
/// Added to it for each VM that is told each time, so that what one VM receives stays bounded.
const SPEAK_GAP_EACH: time::Duration = time::Duration::from_millis(6);
/// Longest time between two of them: three, after which a VM counts as silent, are within the
/// users' two seconds.
const SPEAK_GAP_MOST: time::Duration = time::Duration::from_millis(600);
/// A VM that was not heard for this long counts for nothing in limits that VMs share. Longer than
/// the window of the retry budget: what it spent may still count.
const COUNTED: time::Duration = time::Duration::from_secs(12);
/// A VM that was not heard for this long is forgotten.
const KEPT: time::Duration = time::Duration::from_secs(180);

/// Another VM.
#[derive(Clone, Debug)]
pub struct PeerRecord {
    /// Failure domain.
    pub domain: String,
    /// Later processes have greater ones.
    pub incarnation: u64,
    /// Newest datagram of that process.
    pub sequence: u64,
    /// What it does.
    pub stage: message::VmStage,
    /// Where callers reach it.
    pub entry_address: net::SocketAddr,
    /// Where other VMs reach it.
    pub link_address: net::SocketAddr,
    /// Configuration in force there.
    pub catalog_version: u64,
    /// Whether the store does not answer it.
    pub store_away: bool,
    /// Hash of which servers stand how, as far as it knows.
    pub standing_hash: u64,
    /// Whether it never knew the list of servers to its end.
    pub partial: bool,
    /// Memory planned for generations that wait there.
    pub waiting: Vec<message::WaitingItem>,
    /// When it was last heard.
    pub heard_at: time::Instant,
    /// Until when it counts as heard.
    heard_until: time::Instant,
}

/// What does not change of a VM's process.
struct PeerIdentity {
    domain: String,
    incarnation: u64,
    entry_address: net::SocketAddr,
    link_address: net::SocketAddr,
}

impl PeerRecord {
    fn identity(&self) -> PeerIdentity {
        PeerIdentity {
            domain: self.domain.clone(),
            incarnation: self.incarnation,
            entry_address: self.entry_address,
            link_address: self.link_address,
        }
    }

    /// Whether callers may be sent there.
    #[must_use]
    pub fn serves(&self, now: time::Instant) -> bool {
        self.stage == message::VmStage::Serving && self.is_heard(now)
    }

    /// Whether it is alive, as far as can be heard.
    #[must_use]
    pub fn is_heard(&self, now: time::Instant) -> bool {
        now < self.heard_until
    }
}

/// What a datagram says of its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerChange {
    /// Older than what is known.
    Stale,
    /// Nothing new but that it lives.
    Same,
    /// It came, or its stage changed.
    Changed,
}

/// All other VMs.
#[derive(Debug, Default)]
pub struct PeerTable {
    /// Failure domain of this VM.
    own_domain: String,
    peers: collections::BTreeMap<String, PeerRecord>,
    /// Names by the hash that most datagrams carry in their place.
    senders: collections::HashMap<u64, String>,
    /// Addresses that were told but not heard from, with the time of the last greeting.
    told: collections::BTreeMap<net::SocketAddr, Option<time::Instant>>,
}

/// Time between two greetings of an address that does not answer.
const GREETING_GAP: time::Duration = time::Duration::from_secs(1);
/// Addresses that are greeted without an answer; more are dropped.
const MOST_TOLD: usize = 512;

impl PeerTable {
    /// Knows nobody yet.
    #[must_use]
    pub fn new(own_domain: &str) -> Self {
        Self {
            own_domain: own_domain.to_owned(),
            ..Self::default()
        }
    }

    /// Takes the part of a datagram that speaks of its sender.
    pub fn take(&mut self, datagram: &message::PeerDatagram, now: time::Instant) -> PeerChange {
        let Some((name, identity)) = self.identity(datagram) else {
            return PeerChange::Stale;
        };
        let PeerIdentity {
            domain,
            incarnation,
            entry_address,
            link_address,
        } = identity;
        let known = self.peers.get(&name);
        if known.is_some_and(|peer| {
            (peer.incarnation, peer.sequence) >= (incarnation, datagram.sequence)
        }) {
            return PeerChange::Stale;
        }
        let gap = if audience::is_large(self.len()) && domain != self.own_domain {
            self.speak_gap() * u32::try_from(audience::FAR_TURNS).unwrap_or(u32::MAX)
        } else {
            self.speak_gap()
        };
        let record = PeerRecord {
            domain,
            incarnation,
            sequence: datagram.sequence,
            stage: datagram.stage(),
            entry_address,
            link_address,
            catalog_version: datagram.catalog_version,
            store_away: datagram.store_away,
            standing_hash: datagram.standing_hash,
            partial: datagram.partial,
            waiting: datagram.waiting.clone(),
            heard_at: now,
            heard_until: now + HEARD_LEAST.max(gap * HEARD_GAPS),
        };
        let same = known.is_some_and(|peer| peer.stage == record.stage && peer.is_heard(now));
        self.told.remove(&link_address);
        self.senders.insert(datagram.sender, name.clone());
        self.peers.insert(name, record);
        if same {
            PeerChange::Same
        } else {
            PeerChange::Changed
        }
    }

    /// Who sent a datagram; absent when it does not say and is not known yet.
    fn identity(&self, datagram: &message::PeerDatagram) -> Option<(String, PeerIdentity)> {
        if datagram.name.is_empty() {
            let name = self.senders.get(&datagram.sender)?;
            let peer = self.peers.get(name)?;
            return Some((name.clone(), peer.identity()));
        }
        let identity = PeerIdentity {
            domain: datagram.domain.clone(),
            incarnation: datagram.incarnation,
            entry_address: datagram.entry_address.parse().ok()?,
            link_address: datagram.link_address.parse().ok()?,
        };
        Some((datagram.name.clone(), identity))
    }

    /// An address of another VM, from settings, the store or another VM.
    pub fn tell(&mut self, address: net::SocketAddr) {
        let known = self.peers.values().any(|peer| peer.link_address == address);
        if !known && self.told.len() < MOST_TOLD {
            self.told.entry(address).or_default();
        }
    }

    /// Addresses that should be greeted now.
    pub fn greetings(&mut self, now: time::Instant) -> Vec<net::SocketAddr> {
        let due = |last: &Option<time::Instant>| {
            last.is_none_or(|at| now.saturating_duration_since(at) >= GREETING_GAP)
        };
        let mut greeted = Vec::new();
        for (address, last) in &mut self.told {
            if due(last) {
                *last = Some(now);
                greeted.push(*address);
            }
        }
        greeted
    }

    /// Time between two datagrams of a VM that has nothing new to say.
    #[must_use]
    pub fn speak_gap(&self) -> time::Duration {
        let told = if audience::is_large(self.len()) {
            let near = self.near();
            near + (self.len() - near) / audience::FAR_TURNS as usize
        } else {
            self.len()
        };
        let gap = SPEAK_GAP + SPEAK_GAP_EACH * u32::try_from(told).unwrap_or(u32::MAX);
        gap.min(SPEAK_GAP_MOST)
    }

    /// Other VMs that are known, heard or not.
    #[must_use]
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Other VMs of this one's failure domain that are known.
    #[must_use]
    pub fn near(&self) -> usize {
        let near = self.peers.values();
        near.filter(|peer| peer.domain == self.own_domain).count()
    }

    /// Where the VM that sends with this hash is reached.
    #[must_use]
    pub fn address_of(&self, sender: u64) -> Option<net::SocketAddr> {
        let name = self.senders.get(&sender)?;
        self.peers.get(name).map(|peer| peer.link_address)
    }

    /// Whether no other VM is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Failure domain of this VM.
    #[must_use]
    pub fn own_domain(&self) -> &str {
        &self.own_domain
    }

    /// Forgets VMs that are gone for long.
    pub fn sweep(&mut self, now: time::Instant) {
        self.peers
            .retain(|_, peer| now.saturating_duration_since(peer.heard_at) < KEPT);
        let peers = &self.peers;
        self.senders.retain(|_, name| peers.contains_key(name));
    }

    /// All known VMs but this one.
    pub fn all(&self) -> impl Iterator<Item = (&String, &PeerRecord)> {
        self.peers.iter()
    }

    /// VMs that share limits, this one included.
    #[must_use]
    pub fn counted(&self, now: time::Instant) -> u32 {
        let others = self
            .peers
            .values()
            .filter(|peer| now.saturating_duration_since(peer.heard_at) < COUNTED)
            .count();
        u32::try_from(others).unwrap_or(u32::MAX).saturating_add(1)
    }

    /// Memory planned for generations of a service that wait at other VMs and go before one of `rank`.
    #[must_use]
    pub fn waiting_before(&self, service: u32, rank: wait::WaitRank, now: time::Instant) -> u64 {
        let heard = self.peers.values().filter(|peer| peer.is_heard(now));
        heard
            .flat_map(|peer| &peer.waiting)
            .filter(|item| item.service == service)
            .map(|item| item.before(rank))
            .sum()
    }

    /// VMs that are heard, this one included.
    #[must_use]
    pub fn heard(&self, now: time::Instant) -> u32 {
        let others = self
            .peers
            .values()
            .filter(|peer| peer.is_heard(now))
            .count();
        u32::try_from(others).unwrap_or(u32::MAX).saturating_add(1)
    }
}

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
    /// Whether that is this VM's domain, too.
    pub near: bool,
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
    /// Hash by which that process names itself.
    sender: u64,
}

impl PeerRecord {
    /// A VM that introduces itself; absent if its addresses are none.
    fn introduced(
        datagram: &message::PeerDatagram,
        own_domain: &str,
        now: time::Instant,
    ) -> Option<Self> {
        Some(Self {
            domain: datagram.domain.clone(),
            near: datagram.domain == own_domain,
            incarnation: datagram.incarnation,
            sequence: 0,
            stage: datagram.stage(),
            entry_address: datagram.entry_address.parse().ok()?,
            link_address: datagram.link_address.parse().ok()?,
            catalog_version: 0,
            store_away: false,
            standing_hash: 0,
            partial: false,
            waiting: Vec::new(),
            heard_at: now,
            heard_until: now,
            sender: datagram.sender,
        })
    }

    /// Takes what its process says of itself; says whether that is news to others.
    fn take(
        &mut self,
        datagram: &message::PeerDatagram,
        heard_for: time::Duration,
        now: time::Instant,
    ) -> PeerChange {
        let same = self.stage == datagram.stage() && self.is_heard(now);
        self.sequence = datagram.sequence;
        self.stage = datagram.stage();
        self.catalog_version = datagram.catalog_version;
        self.store_away = datagram.store_away;
        self.standing_hash = datagram.standing_hash;
        self.partial = datagram.partial;
        self.waiting.clone_from(&datagram.waiting);
        self.heard_at = now;
        self.heard_until = now + heard_for;
        if same {
            PeerChange::Same
        } else {
            PeerChange::Changed
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
    /// How many of them are near.
    near: usize,
    /// Where they are reached.
    addresses: collections::HashSet<net::SocketAddr>,
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
        if datagram.name.is_empty() {
            self.take_known(datagram, now)
        } else {
            self.take_introduced(datagram, now)
        }
    }

    /// Takes a datagram of a VM that is known, by its hash.
    fn take_known(&mut self, datagram: &message::PeerDatagram, now: time::Instant) -> PeerChange {
        let (near, far) = self.heard_for();
        let name = self.senders.get(&datagram.sender);
        let known = name.and_then(|name| self.peers.get_mut(name));
        match known {
            Some(peer) if peer.sequence < datagram.sequence => {
                let heard_for = if peer.near { near } else { far };
                peer.take(datagram, heard_for, now)
            }
            _ => PeerChange::Stale,
        }
    }

    /// Takes a datagram that says who sent it.
    fn take_introduced(
        &mut self,
        datagram: &message::PeerDatagram,
        now: time::Instant,
    ) -> PeerChange {
        let Some(mut record) = PeerRecord::introduced(datagram, &self.own_domain, now) else {
            return PeerChange::Stale;
        };
        if let Some(known) = self.peers.get(&datagram.name) {
            let newest = (known.incarnation, known.sequence);
            if newest >= (datagram.incarnation, datagram.sequence) {
                return PeerChange::Stale;
            }
            record.stage = known.stage;
            record.heard_until = known.heard_until;
            // What a process before sent late would else count as of this one, whose numbers begin anew.
            self.senders.remove(&known.sender);
        }
        let (near, far) = self.heard_for();
        let heard_for = if record.near { near } else { far };
        let change = record.take(datagram, heard_for, now);
        let address = record.link_address;
        self.told.remove(&address);
        self.senders.insert(datagram.sender, datagram.name.clone());
        let before = self.peers.insert(datagram.name.clone(), record);
        self.near += usize::from(datagram.domain == self.own_domain);
        self.near -= usize::from(before.as_ref().is_some_and(|before| before.near));
        if before.is_some_and(|before| before.link_address != address) {
            self.collect_addresses();
        } else {
            self.addresses.insert(address);
        }
        change
    }

    /// How long a VM of this failure domain and one of another count as heard after a datagram.
    fn heard_for(&self) -> (time::Duration, time::Duration) {
        let near = self.speak_gap();
        let far = if audience::is_large(self.len()) {
            near * u32::try_from(audience::FAR_TURNS).unwrap_or(u32::MAX)
        } else {
            near
        };
        (
            HEARD_LEAST.max(near * HEARD_GAPS),
            HEARD_LEAST.max(far * HEARD_GAPS),
        )
    }

    fn collect_addresses(&mut self) {
        let addresses = self.peers.values().map(|peer| peer.link_address);
        self.addresses = addresses.collect();
    }

    /// An address of another VM, from settings, the store or another VM.
    pub fn tell(&mut self, address: net::SocketAddr) {
        if !self.addresses.contains(&address) && self.told.len() < MOST_TOLD {
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
            self.near + (self.len() - self.near) / audience::FAR_TURNS as usize
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
    pub const fn near(&self) -> usize {
        self.near
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
        self.near = self.peers.values().filter(|peer| peer.near).count();
        self.collect_addresses();
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

//! Table of the other entry VMs, built from the datagrams that this VM receives.

use std::{collections, net};

use tokio::time;

use crate::{message, recipients, wait};

/// Shortest time for which a VM counts as alive after its last datagram. A VM that does not count
/// as alive is not offered to callers; the users' bound for a stopped or frozen VM is two seconds.
const MIN_ALIVE_TIME: time::Duration = time::Duration::from_millis(1_000);
/// A VM counts as silent after this many announce intervals without a datagram, so two datagrams
/// may be lost.
const ALIVE_INTERVALS: u32 = 3;
/// Base interval between two datagrams of a VM that has nothing new to send.
const ANNOUNCE_INTERVAL: time::Duration = time::Duration::from_millis(150);
/// Added to the base interval for each recipient, so that the traffic each VM receives stays
/// bounded.
const ANNOUNCE_INTERVAL_PER_VM: time::Duration = time::Duration::from_millis(6);
/// Upper bound of the interval. A VM counts as silent after three intervals, which stay within the
/// users' bound of two seconds.
const MAX_ANNOUNCE_INTERVAL: time::Duration = time::Duration::from_millis(600);
/// A VM that counts as alive no more for this long may be cut off. Without it, one of 87 VMs missed
/// another for a moment in most seconds.
const SILENCE_MARGIN: time::Duration = time::Duration::from_secs(1);
/// A VM that announced its stop and sent nothing for this long no longer counts in limits that VMs
/// share. Longer than the window of the retry budget, because what the VM spent before may still
/// count.
const LIMIT_SHARE_TIME: time::Duration = time::Duration::from_secs(12);
/// A VM that sent nothing for this long is removed from the table.
const PEER_RETENTION: time::Duration = time::Duration::from_secs(180);
/// A VM that sent nothing for this long, and did not announce a stop, no longer has a part of the
/// allowance of repeats.
const CUT_OFF_RETENTION: time::Duration = time::Duration::from_secs(3_600);

/// Another entry VM.
#[derive(Clone, Debug)]
pub struct PeerRecord {
    /// Failure domain.
    pub domain: String,
    /// Whether the VM is in this VM's failure domain.
    pub near: bool,
    /// Incarnation of the VM's process; later processes have greater ones.
    pub incarnation: u64,
    /// Sequence number of the newest datagram received from that process.
    pub sequence: u64,
    /// Stage of the VM.
    pub stage: message::VmStage,
    /// Address for callers.
    pub entry_address: net::SocketAddr,
    /// Address for other VMs.
    pub link_address: net::SocketAddr,
    /// Address at which that VM takes over requests; absent if it takes none.
    pub handover_address: Option<net::SocketAddr>,
    /// Hashes of the names of services of which that VM reaches no server.
    pub cut_services: Vec<u32>,
    /// Whether that VM reaches no server at all.
    pub cut_off: bool,
    /// Version of the configuration in force at that VM.
    pub catalog_version: u64,
    /// Whether the store does not answer that VM.
    pub store_unavailable: bool,
    /// When that VM last reported that the store had stopped answering it.
    pub outage_reported_at: Option<time::Instant>,
    /// Hash of the standing of all servers, as far as that VM knows.
    pub standing_hash: u64,
    /// Whether that VM has not yet received the complete list of servers.
    pub partial: bool,
    /// Number of VMs that may send to servers, as far as that VM knows.
    pub senders: u32,
    /// Whether that VM knows of others that it does not hear.
    pub misses_vms: bool,
    /// Memory planned for generations that wait at that VM.
    pub waiting: Vec<message::WaitingItem>,
    /// When the last datagram was received.
    pub received_at: time::Instant,
    /// Time until which the VM counts as alive.
    alive_until: time::Instant,
    /// Sender hash of that process, as its datagrams carry it.
    sender: u64,
}

impl PeerRecord {
    /// Creates the record of a VM that introduces itself; `None` if one of its addresses does not
    /// parse.
    fn from_introduction(
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
            handover_address: datagram.handover_address.parse().ok(),
            cut_services: Vec::new(),
            cut_off: false,
            catalog_version: 0,
            store_unavailable: false,
            outage_reported_at: None,
            standing_hash: 0,
            partial: false,
            senders: 0,
            misses_vms: false,
            waiting: Vec::new(),
            received_at: now,
            alive_until: now,
            sender: datagram.sender,
        })
    }

    /// Updates the record from a datagram of the VM and returns whether that changes what callers
    /// see.
    fn take(
        &mut self,
        datagram: &message::PeerDatagram,
        alive_time: time::Duration,
        now: time::Instant,
    ) -> PeerChange {
        let same = self.stage == datagram.stage() && self.is_alive(now);
        self.sequence = datagram.sequence;
        self.stage = datagram.stage();
        self.catalog_version = datagram.catalog_version;
        if datagram.store_unavailable && !self.store_unavailable {
            self.outage_reported_at = Some(now);
        }
        self.store_unavailable = datagram.store_unavailable;
        self.standing_hash = datagram.standing_hash;
        self.partial = datagram.partial;
        self.senders = datagram.senders;
        self.misses_vms = datagram.misses_vms;
        self.cut_services.clone_from(&datagram.cut_services);
        self.cut_off = datagram.cut_off;
        self.waiting.clone_from(&datagram.waiting);
        self.received_at = now;
        self.alive_until = now + alive_time;
        if same {
            PeerChange::Same
        } else {
            PeerChange::Changed
        }
    }

    /// Whether callers may be sent to this VM.
    #[must_use]
    pub fn serves(&self, now: time::Instant) -> bool {
        self.stage == message::VmStage::Serving && self.is_alive(now)
    }

    /// Whether a datagram was received recently enough for the VM to count as alive.
    #[must_use]
    pub fn is_alive(&self, now: time::Instant) -> bool {
        now < self.alive_until
    }
}

/// Result of a datagram for the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerChange {
    /// Nothing: the datagram is older than what is known.
    Stale,
    /// Only the time of the last datagram.
    Same,
    /// The VM is new or back after a silence, or its stage changed.
    Changed,
}

/// All other known VMs.
#[derive(Debug, Default)]
pub struct PeerTable {
    /// Failure domain of this VM.
    own_domain: String,
    peers: collections::BTreeMap<String, PeerRecord>,
    /// Number of peers in this VM's failure domain.
    near: usize,
    /// Addresses of all peers for VM-to-VM traffic.
    addresses: collections::HashSet<net::SocketAddr>,
    /// Names of peers by the sender hash, which most datagrams carry instead of the name.
    senders: collections::HashMap<u64, String>,
    /// VMs that fell silent without announcing a stop and were removed, with the time of their last
    /// datagram. They may be cut off from this VM and still send to servers.
    cut_off: collections::BTreeMap<String, time::Instant>,
    /// Addresses that were reported but have not answered, with the time of the last greeting.
    unanswered: collections::BTreeMap<net::SocketAddr, Option<time::Instant>>,
    /// Whether it was last logged that VMs are not heard.
    misses_vms: bool,
}

/// Interval between two greetings of an address that does not answer.
const GREETING_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Maximum number of addresses to greet that have not answered; further ones are dropped.
const MAX_UNANSWERED: usize = 512;

impl PeerTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(own_domain: &str) -> Self {
        Self {
            own_domain: own_domain.to_owned(),
            ..Self::default()
        }
    }

    /// Updates the table from the fields of a datagram that describe its sender.
    pub fn take(&mut self, datagram: &message::PeerDatagram, now: time::Instant) -> PeerChange {
        if datagram.name.is_empty() {
            self.take_known(datagram, now)
        } else {
            self.take_introduced(datagram, now)
        }
    }

    /// Handles a datagram that identifies a known VM by its sender hash.
    fn take_known(&mut self, datagram: &message::PeerDatagram, now: time::Instant) -> PeerChange {
        let (near, far) = self.alive_time();
        let name = self.senders.get(&datagram.sender);
        let known = name.and_then(|name| self.peers.get_mut(name));
        match known {
            Some(peer) if peer.sequence < datagram.sequence => {
                let alive_time = if peer.near { near } else { far };
                peer.take(datagram, alive_time, now)
            }
            _ => PeerChange::Stale,
        }
    }

    /// Handles a datagram that carries the sender's name and addresses.
    fn take_introduced(
        &mut self,
        datagram: &message::PeerDatagram,
        now: time::Instant,
    ) -> PeerChange {
        let Some(mut record) = PeerRecord::from_introduction(datagram, &self.own_domain, now)
        else {
            return PeerChange::Stale;
        };
        if let Some(known) = self.peers.get(&datagram.name) {
            let newest = (known.incarnation, known.sequence);
            if newest >= (datagram.incarnation, datagram.sequence) {
                return PeerChange::Stale;
            }
            record.stage = known.stage;
            record.store_unavailable = known.store_unavailable;
            record.outage_reported_at = known.outage_reported_at;
            record.alive_until = known.alive_until;
            // Late datagrams of an earlier process would otherwise count for the current one, whose
            // sequence numbers start again.
            self.senders.remove(&known.sender);
        }
        let (near, far) = self.alive_time();
        let alive_time = if record.near { near } else { far };
        let change = record.take(datagram, alive_time, now);
        let address = record.link_address;
        self.cut_off.remove(&datagram.name);
        self.unanswered.remove(&address);
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

    /// Returns how long a VM of this failure domain and one of another domain count as alive after
    /// a datagram.
    fn alive_time(&self) -> (time::Duration, time::Duration) {
        let near = self.announce_interval();
        let far = if recipients::is_large(self.len()) {
            near * u32::try_from(recipients::FAR_TURNS).unwrap_or(u32::MAX)
        } else {
            near
        };
        (
            MIN_ALIVE_TIME.max(near * ALIVE_INTERVALS),
            MIN_ALIVE_TIME.max(far * ALIVE_INTERVALS),
        )
    }

    fn collect_addresses(&mut self) {
        let addresses = self.peers.values().map(|peer| peer.link_address);
        self.addresses = addresses.collect();
    }

    /// Adds an address of another VM, from the settings, the store or another VM.
    pub fn add_address(&mut self, address: net::SocketAddr) {
        if !self.addresses.contains(&address) && self.unanswered.len() < MAX_UNANSWERED {
            self.unanswered.entry(address).or_default();
        }
    }

    /// Returns the addresses that are due for a greeting and notes the time.
    pub fn greetings(&mut self, now: time::Instant) -> Vec<net::SocketAddr> {
        let due = |last: &Option<time::Instant>| {
            last.is_none_or(|at| now.saturating_duration_since(at) >= GREETING_INTERVAL)
        };
        let mut greeted = Vec::new();
        for (address, last) in &mut self.unanswered {
            if due(last) {
                *last = Some(now);
                greeted.push(*address);
            }
        }
        greeted
    }

    /// Interval between two datagrams of a VM that has nothing new to send.
    #[must_use]
    pub fn announce_interval(&self) -> time::Duration {
        let recipient_count = if recipients::is_large(self.len()) {
            self.near + (self.len() - self.near) / recipients::FAR_TURNS as usize
        } else {
            self.len()
        };
        let interval = ANNOUNCE_INTERVAL
            + ANNOUNCE_INTERVAL_PER_VM * u32::try_from(recipient_count).unwrap_or(u32::MAX);
        interval.min(MAX_ANNOUNCE_INTERVAL)
    }

    /// When a VM last reported that the store had stopped answering it.
    #[must_use]
    pub fn last_outage_report(&self) -> Option<time::Instant> {
        let reports = self.peers.values().map(|peer| peer.outage_reported_at);
        reports.max().flatten()
    }

    /// Number of known VMs, alive or not.
    #[must_use]
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Number of known VMs in this VM's failure domain.
    #[must_use]
    pub const fn near_count(&self) -> usize {
        self.near
    }

    /// Address of the VM that sends with this hash.
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

    /// Removes VMs that have been silent for longer than `PEER_RETENTION`.
    pub fn sweep(&mut self, now: time::Instant) {
        let silent_for = |at: time::Instant| now.saturating_duration_since(at);
        let removed = self
            .peers
            .extract_if(.., |_, peer| silent_for(peer.received_at) >= PEER_RETENTION);
        let cut_off = removed.filter(|(_, peer)| peer.stage != message::VmStage::Stopping);
        self.cut_off
            .extend(cut_off.map(|(name, peer)| (name, peer.received_at)));
        self.cut_off
            .retain(|_, at| silent_for(*at) < CUT_OFF_RETENTION);
        self.near = self.peers.values().filter(|peer| peer.near).count();
        self.collect_addresses();
        let peers = &self.peers;
        self.senders.retain(|_, name| peers.contains_key(name));
    }

    /// All known VMs except this one.
    pub fn all(&self) -> impl Iterator<Item = (&String, &PeerRecord)> {
        self.peers.iter()
    }

    /// Number of VMs that share the allowance of repeats, including this one and those that may be
    /// cut off from it. `None` if there are others of which this VM has heard none.
    #[must_use]
    pub fn repeat_share_count(&self, now: time::Instant) -> Option<usize> {
        let known = self.senders(now).count() + self.cut_off.len();
        if known == 0 && !self.unanswered.is_empty() {
            return None;
        }
        Some((known + 1).max(self.reported_senders(now)))
    }

    /// Other VMs that may send to servers. One that fell silent without announcing a stop may be cut
    /// off from this VM and still send.
    pub fn senders(&self, now: time::Instant) -> impl Iterator<Item = (&String, &PeerRecord)> {
        self.peers.iter().filter(move |(_, peer)| {
            let silence = now.saturating_duration_since(peer.received_at);
            let retention = match peer.stage {
                message::VmStage::Stopping => LIMIT_SHARE_TIME,
                _ => PEER_RETENTION,
            };
            silence < retention
        })
    }

    /// Greatest number of senders that another VM has reported recently.
    #[must_use]
    pub fn reported_senders(&self, now: time::Instant) -> usize {
        let recent = self.peers.values().filter(|peer| peer.is_alive(now));
        let senders = recent.map(|peer| peer.senders).max();
        usize::try_from(senders.unwrap_or_default()).unwrap_or(usize::MAX)
    }

    /// Memory in tokens planned for generations of a service that wait at other VMs and go before
    /// one of `rank`.
    #[must_use]
    pub fn ahead_tokens(&self, service: u32, rank: wait::WaitRank, now: time::Instant) -> u64 {
        let alive = self.peers.values().filter(|peer| peer.is_alive(now));
        alive
            .flat_map(|peer| &peer.waiting)
            .filter(|item| item.service == service)
            .map(|item| item.before(rank))
            .sum()
    }

    /// Returns whether generations of a service wait at other VMs.
    #[must_use]
    pub fn is_waited_for(&self, service: u32, now: time::Instant) -> bool {
        let alive = self.peers.values().filter(|peer| peer.is_alive(now));
        let mut waiting = alive.flat_map(|peer| &peer.waiting);
        waiting.any(|item| item.service == service)
    }

    /// Number of VMs and addresses of VMs that this VM knows of and does not hear, without those that
    /// announced a stop. They may be cut off from it and still serve.
    #[must_use]
    pub fn silent_count(&self, now: time::Instant) -> usize {
        let peers = self.peers.values();
        let silent = peers.filter(|peer| {
            peer.stage != message::VmStage::Stopping && now >= peer.alive_until + SILENCE_MARGIN
        });
        silent.count() + self.cut_off.len() + self.unanswered.len()
    }

    /// Logs whether all known VMs are heard, when that changes, and sets the gauge of those that are not.
    pub fn record_silence(&mut self, now: time::Instant) {
        let silent = self.silent_count(now);
        metrics::gauge!("pollenchute_exchange_silent_vms").set(silent as f64);
        let missed_vms = std::mem::replace(&mut self.misses_vms, silent > 0);
        if self.misses_vms && !missed_vms {
            let heard = self.alive_count(now) - 1;
            log::info!(silent, heard; "VMs are not heard");
        } else if !self.misses_vms && missed_vms {
            log::info!("all known VMs are heard");
        }
    }

    /// Whether there may be VMs that do not hear each other, as far as this VM and those that it hears
    /// know.
    #[must_use]
    pub fn is_split(&self, now: time::Instant) -> bool {
        let mut heard = self.peers.values().filter(|peer| peer.is_alive(now));
        self.silent_count(now) > 0 || heard.any(|peer| peer.misses_vms)
    }

    /// Number of VMs that count as alive, including this one.
    #[must_use]
    pub fn alive_count(&self, now: time::Instant) -> u32 {
        let others = self
            .peers
            .values()
            .filter(|peer| peer.is_alive(now))
            .count();
        u32::try_from(others).unwrap_or(u32::MAX).saturating_add(1)
    }
}

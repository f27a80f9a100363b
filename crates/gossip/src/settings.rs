//! Settings of membership and dissemination.

use std::{net, time};

use wire::identity;

use crate::{claim, watching};

/// Identity and location of this VM.
#[derive(Clone, Debug)]
pub struct OwnSettings {
    /// Name of the VM and incarnation of its process.
    pub identity: identity::ProcessIdentity,
    /// Start time of this incarnation in milliseconds since the Unix epoch. A clock that was set
    /// back only delays the join until the older incarnation is declared dead.
    pub started_at_ms: u64,
    /// Location of the VM; other VMs send to this address.
    pub place: claim::MemberPlace,
}

/// One entry VM of the inventory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeedEntry {
    /// Name of the VM.
    pub name: String,
    /// Location of the VM.
    pub place: claim::MemberPlace,
}

/// Intervals and limits.
#[derive(Clone, Debug)]
pub struct TimingSettings {
    /// Time between two ticks of the core.
    pub tick: time::Duration,
    /// Interval at which each member probes one other member of its region.
    pub probe_interval: time::Duration,
    /// Time without an acknowledgement after which indirect probes are requested.
    pub ack_timeout: time::Duration,
    /// Number of members that are requested to probe indirectly.
    pub indirect_probes: usize,
    /// Time after which a member whose suspicion is not refuted is declared dead.
    pub suspicion_timeout: time::Duration,
    /// Number of members that a dissemination round sends to.
    pub fanout: usize,
    /// Number of datagrams in which each member that learns an urgent update forwards it.
    pub urgent_copies: u32,
    /// Number of datagrams in which each member forwards an update that may take a few seconds.
    pub slow_copies: u32,
    /// Time between two rounds for updates that are not urgent.
    pub slow_interval: time::Duration,
    /// Interval at which each member runs anti-entropy with one other member.
    pub sync_interval: time::Duration,
    /// Maximum number of datagrams that answer one state summary.
    pub sync_datagrams: usize,
    /// Interval between rounds of `Hello` messages while no member of the region is known.
    pub join_interval: time::Duration,
    /// Interval between `Hello` messages to absent members, so that partitions heal.
    pub reconnect_interval: time::Duration,
    /// How long members that are dead or have left are remembered.
    pub departed_retention: time::Duration,
    /// Bandwidth of digests in bytes per second, including headers.
    pub digest_bytes_per_second: u32,
    /// Rules by which watchers are assigned.
    pub watching: watching::WatchRules,
}

impl Default for TimingSettings {
    fn default() -> Self {
        Self {
            tick: time::Duration::from_millis(100),
            probe_interval: time::Duration::from_secs(1),
            ack_timeout: time::Duration::from_millis(400),
            indirect_probes: 3,
            suspicion_timeout: time::Duration::from_secs(3),
            fanout: 3,
            urgent_copies: 12,
            slow_copies: 4,
            slow_interval: time::Duration::from_millis(300),
            sync_interval: time::Duration::from_secs(5),
            sync_datagrams: 4,
            join_interval: time::Duration::from_millis(500),
            reconnect_interval: time::Duration::from_secs(5),
            departed_retention: time::Duration::from_secs(3600),
            digest_bytes_per_second: 3000,
            watching: watching::WatchRules::default(),
        }
    }
}

/// Settings of [`crate::start`].
#[derive(Clone, Debug)]
pub struct GossipSettings {
    /// Identity and location of this VM.
    pub own: OwnSettings,
    /// Address to bind; usually the address in `own`, or the same port on any address.
    pub bind: net::SocketAddr,
    /// The entry VMs of the inventory as known at startup.
    pub seeds: Vec<SeedEntry>,
    /// Intervals and bounds.
    pub timing: TimingSettings,
}

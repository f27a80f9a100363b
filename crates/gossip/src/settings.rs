//! Settings of membership and what spreads with it.

use std::{net, time};

use wire::identity;

use crate::{claim, watching};

/// Who this VM is.
#[derive(Clone, Debug)]
pub struct OwnSettings {
    /// Name of the VM and this life of its process.
    pub identity: identity::ProcessIdentity,
    /// Start of this life in milliseconds of the Unix epoch. A clock that was set back costs a
    /// delay, until the older life is taken for dead; nothing else.
    pub birth_ms: u64,
    /// Where the VM is; other VMs send to this address.
    pub place: claim::MemberPlace,
}

/// One entry VM of the inventory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeedEntry {
    /// Its name.
    pub name: String,
    /// Where it is.
    pub place: claim::MemberPlace,
}

/// Intervals and bounds. The defaults are those that the design notes work out and measure.
#[derive(Clone, Debug)]
pub struct TimingSettings {
    /// Time between two ticks of the core.
    pub tick: time::Duration,
    /// Each member probes one other member of its region this often.
    pub probe_interval: time::Duration,
    /// After this long without an answer other members are asked to probe, too.
    pub ack_timeout: time::Duration,
    /// Members asked to probe.
    pub indirect_probes: usize,
    /// A suspicion that is not refuted turns into death after this.
    pub suspicion: time::Duration,
    /// Members that a round of spreading sends to.
    pub fanout: usize,
    /// Datagrams that carry an urgent piece of news, from each member that learns it.
    pub urgent_copies: u32,
    /// The same for news that may take a few seconds.
    pub slow_copies: u32,
    /// Time between two rounds for news that is not urgent.
    pub slow_interval: time::Duration,
    /// Each member compares notes with one other this often.
    pub sync_interval: time::Duration,
    /// Datagrams that answer one comparison at the most.
    pub sync_datagrams: usize,
    /// Greetings this often while nobody of the region is known.
    pub join_interval: time::Duration,
    /// Greetings to somebody absent this often, so that partitions heal.
    pub reach_interval: time::Duration,
    /// Gone members are remembered for this long.
    pub gone_memory: time::Duration,
    /// Bytes a second for load and demand digests, headers counted.
    pub digest_bytes_per_second: u32,
    /// How watching is divided.
    pub watching: watching::WatchRules,
}

impl Default for TimingSettings {
    fn default() -> Self {
        Self {
            tick: time::Duration::from_millis(100),
            probe_interval: time::Duration::from_secs(1),
            ack_timeout: time::Duration::from_millis(400),
            indirect_probes: 3,
            suspicion: time::Duration::from_secs(3),
            fanout: 3,
            urgent_copies: 12,
            slow_copies: 4,
            slow_interval: time::Duration::from_millis(300),
            sync_interval: time::Duration::from_secs(5),
            sync_datagrams: 4,
            join_interval: time::Duration::from_millis(500),
            reach_interval: time::Duration::from_secs(5),
            gone_memory: time::Duration::from_secs(3600),
            digest_bytes_per_second: 3000,
            watching: watching::WatchRules::default(),
        }
    }
}

/// Everything that `start` needs.
#[derive(Clone, Debug)]
pub struct GossipSettings {
    /// Who this VM is.
    pub own: OwnSettings,
    /// Where its datagrams arrive; usually the address in `own`, or the same port on any address.
    pub bind: net::SocketAddr,
    /// The entry VMs of the inventory as far as known at the start.
    pub seeds: Vec<SeedEntry>,
    /// Intervals and bounds.
    pub timing: TimingSettings,
}

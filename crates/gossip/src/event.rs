//! What the core asks for and tells.

use std::{net, time};

use wire::identity;

use crate::{claim, digest, news};

/// What the core wants done.
#[derive(Clone, Debug)]
pub enum CoreAction {
    /// Send a datagram.
    Send(OutgoingDatagram),
    /// Tell those who listen.
    Notify(GossipEvent),
}

/// A datagram to be sealed and sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// Where to.
    pub address: net::SocketAddr,
    /// The life that it is bound to; `None` for a greeting.
    pub receiver: Option<identity::ProcessIdentity>,
    /// The message, at most [`wire::datagram::MAX_PAYLOAD_BYTES`].
    pub payload: Vec<u8>,
}

/// What changed, for those who listen.
#[derive(Clone, Debug, PartialEq)]
pub enum GossipEvent {
    /// The word that holds about a member changed.
    Member(claim::MemberClaim),
    /// An item was taken.
    News(news::NewsItem),
    /// A watcher's word about a model engine of the own region.
    Load(LoadNews),
    /// Another VM's word about an organisation's demand there.
    Demand(DemandNews),
    /// Another VM's word about its work.
    Work(WorkNews),
    /// A region was lost or found again.
    Region(RegionNews),
    /// Watching is divided anew; see [`crate::view::MemberSnapshot::plan`].
    Plan,
    /// Another process claims this VM's name and is still heard of.
    NameConflict(claim::HeardClaim),
}

/// A watcher's word about a model engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadNews {
    /// The engine.
    pub server: String,
    /// Its load.
    pub load: digest::EngineLoad,
    /// How old that was on arrival, the way here not counted.
    pub age: time::Duration,
}

/// Another VM's word about an organisation's demand there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DemandNews {
    /// The VM that was asked.
    pub vm: String,
    /// [`digest::subject_hash`] of the organisation's name.
    pub organisation_hash: u64,
    /// What was asked of it.
    pub demand: digest::OrganisationDemand,
    /// How old that was on arrival, the way here not counted.
    pub age: time::Duration,
}

/// Another VM's word about its work.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkNews {
    /// That VM.
    pub vm: String,
    /// Its work.
    pub work: digest::EntryWork,
    /// How old that was on arrival, the way here not counted.
    pub age: time::Duration,
}

/// A region was lost or found again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegionNews {
    /// The region.
    pub region: String,
    /// Whether anybody of the own region hears from it.
    pub reachable: bool,
}

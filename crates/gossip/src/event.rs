//! Actions and events that the core emits.

use std::{net, time};

use wire::identity;

use crate::{claim, digest, update};

/// An action requested by the core.
#[derive(Clone, Debug)]
pub enum CoreAction {
    /// Send a datagram.
    Send(OutgoingDatagram),
    /// Notify the subscribers.
    Notify(GossipEvent),
}

/// A datagram to be sealed and sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// Destination address.
    pub address: net::SocketAddr,
    /// The incarnation that the datagram is bound to; `None` for a `Hello`.
    pub receiver: Option<identity::ProcessIdentity>,
    /// The message, at most [`wire::datagram::MAX_PAYLOAD_BYTES`].
    pub payload: Vec<u8>,
}

/// A change, for subscribers.
#[derive(Clone, Debug, PartialEq)]
pub enum GossipEvent {
    /// The claim in force about a member changed.
    Member(claim::MemberClaim),
    /// An item was accepted.
    Item(update::ItemUpdate),
    /// Load of a model engine of this region, sent by its watcher.
    Load(LoadUpdate),
    /// Demand of an organisation on another VM, sent by that VM.
    Demand(DemandUpdate),
    /// Work of another VM, sent by that VM.
    Work(WorkUpdate),
    /// A region became unreachable or reachable again.
    Region(RegionUpdate),
    /// The watch plan changed; see [`crate::view::MemberSnapshot::plan`].
    Plan,
    /// Another process claims this VM's name and is still present.
    NameConflict(claim::ReceivedClaim),
}

/// Load of a model engine, sent by its watcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadUpdate {
    /// The engine.
    pub server: String,
    /// Load of the engine.
    pub load: digest::EngineLoad,
    /// Age of the digest when it was sent; the network delay is not included.
    pub age: time::Duration,
}

/// Demand of an organisation on another VM, sent by that VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DemandUpdate {
    /// The VM that measured the demand.
    pub vm: String,
    /// [`digest::subject_hash`] of the organisation's name.
    pub organisation_hash: u64,
    /// Recent demand on that VM.
    pub demand: digest::OrganisationDemand,
    /// Age of the digest when it was sent; the network delay is not included.
    pub age: time::Duration,
}

/// Work of another VM, sent by that VM.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkUpdate {
    /// The VM that sent the digest.
    pub vm: String,
    /// Work of the VM.
    pub work: digest::EntryWork,
    /// Age of the digest when it was sent; the network delay is not included.
    pub age: time::Duration,
}

/// A region became unreachable or reachable again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegionUpdate {
    /// The region.
    pub region: String,
    /// Whether any member of this VM's region receives datagrams from it.
    pub reachable: bool,
}

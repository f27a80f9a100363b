//! What the core asks for and tells.

use std::net;

use wire::identity;

use crate::{claim, news};

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
    /// Another process claims this VM's name and is still heard of.
    NameConflict(claim::MemberClaim),
}

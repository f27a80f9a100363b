//! Which system a VM belongs to.
//!
//! Addresses are given out again: where a VM of this system was, a VM of another one may listen, and
//! hear the others go on speaking to it. Taken for a peer, it would bring its configuration, its
//! servers and its VMs in here: callers would be refused what is configured, and their calls would
//! run at servers of a system that nobody sent them to. So each system has a number, which its first
//! VM writes into the store, and VMs speak only with those that have the same.

use std::{num, rc};

use snafu::Snafu;
use tokio::time;

use crate::{follow, message, plane, state};

/// Names a system: a random number that is not 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SystemId(num::NonZeroU64);

impl SystemId {
    /// The system with a number; absent for 0, which names none.
    #[must_use]
    pub fn from_number(number: u64) -> Option<Self> {
        num::NonZeroU64::new(number).map(Self)
    }

    /// Its number.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0.get()
    }
}

/// What a VM knows of its own system.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SystemBelief {
    /// Nothing yet; the store has not been asked to the end.
    #[default]
    Unasked,
    /// Nothing, and the store does not answer: it joins the first VM that it hears. Without that, a
    /// VM that is started while the store is away would serve nobody.
    Unanswered,
    /// What that VM said. The store has the last word once it answers.
    Told(SystemId),
    /// What the store said.
    Known(SystemId),
}

/// How the sender of a datagram stands to this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SenderStanding {
    /// It is of the same system.
    Peer,
    /// It does not know its own system yet.
    Undecided,
    /// It is of another system, or this VM does not know its own one yet.
    Stranger,
}

impl SystemBelief {
    /// The system, as other VMs are told of it.
    #[must_use]
    pub const fn id(self) -> Option<SystemId> {
        match self {
            Self::Told(id) | Self::Known(id) => Some(id),
            Self::Unasked | Self::Unanswered => None,
        }
    }

    /// The number that stands in messages; 0 when there is none.
    #[must_use]
    pub fn number(self) -> u64 {
        self.id().map_or(0, SystemId::number)
    }

    /// Takes the number that a VM says of itself; says how that VM stands to this one.
    pub fn meet(&mut self, number: u64) -> SenderStanding {
        let theirs = SystemId::from_number(number);
        if let (Self::Unanswered, Some(id)) = (*self, theirs) {
            *self = Self::Told(id);
        }
        match (self.id(), theirs) {
            (Some(own), Some(theirs)) if own == theirs => SenderStanding::Peer,
            (Some(_), None) => SenderStanding::Undecided,
            _ => SenderStanding::Stranger,
        }
    }

    /// Whether what a VM with this number answered may be used.
    #[must_use]
    pub fn is_own(self, number: u64) -> bool {
        number != 0 && number == self.number()
    }
}

/// The store says that this VM has joined another system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display(
    "this VM joined system {told} while the store was away, and the store is that of system {known}; \
     start it again: it then joins its own"
))]
pub struct JoinedOther {
    /// What it was told.
    told: u64,
    /// What the store says.
    known: u64,
}

/// Time that the store has to say which system this is before other VMs are believed.
const STORE_FIRST: time::Duration = time::Duration::from_millis(500);
/// Time between two questions of the store while it is away.
const ASK_GAP: time::Duration = time::Duration::from_millis(400);

/// Learns from the store which system this VM belongs to.
///
/// # Errors
///
/// When it has joined another one: all that it believes may be wrong.
pub async fn identify<P, S: follow::StorePort>(
    plane: &plane::ExchangePlane<P>,
    store: rc::Rc<S>,
) -> Result<(), JoinedOther> {
    let proposed = plane.state().draw_system();
    let asking = async {
        loop {
            match store.system(proposed).await {
                Ok(id) => return id,
                Err(_) => time::sleep(ASK_GAP).await,
            }
        }
    };
    tokio::pin!(asking);
    let known = match time::timeout(STORE_FIRST, &mut asking).await {
        Ok(id) => id,
        Err(_) => {
            plane.state().system = SystemBelief::Unanswered;
            log::warn!(
                "the store does not say which system this is; the first VM heard is believed"
            );
            plane.identified.notify_one();
            asking.await
        }
    };
    let before = plane.state().system;
    plane.state().system = SystemBelief::Known(known);
    plane.identified.notify_one();
    log::info!(system = known.number(), before:? = before; "system known");
    match before {
        SystemBelief::Told(told) if told != known => Err(JoinedOther {
            told: told.number(),
            known: known.number(),
        }),
        _ => Ok(()),
    }
}

/// How whoever sent a datagram stands to this VM. Most datagrams don't name their sender, who is known
/// by its hash from one that did.
pub(crate) fn sender_standing(
    state: &mut state::PlaneState,
    datagram: &message::PeerDatagram,
) -> SenderStanding {
    if !datagram.name.is_empty() {
        return state.system.meet(datagram.system);
    }
    match state.peers.address_of(datagram.sender) {
        Some(_) => SenderStanding::Peer,
        None => SenderStanding::Stranger,
    }
}

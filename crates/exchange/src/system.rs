//! Identity of the system that a VM belongs to.
//!
//! Addresses are reused: where a VM of this system ran, a VM of another system may listen later,
//! and receive the datagrams that the others still send there. If it were accepted as a peer, it
//! would bring its configuration, its servers and its VMs into this system: callers would be
//! refused what is configured, and their calls would run at servers of a system that nobody sent
//! them to. So each system has a number, which its first VM writes into the store, and VMs only
//! exchange messages with VMs that have the same number.

use std::{num, rc};

use snafu::Snafu;
use tokio::time;

use crate::{follow, message, plane, state};

/// Identifier of a system: a random number other than 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SystemId(num::NonZeroU64);

impl SystemId {
    /// The system with a number; `None` for 0, which identifies no system.
    #[must_use]
    pub fn from_number(number: u64) -> Option<Self> {
        num::NonZeroU64::new(number).map(Self)
    }

    /// The number of the system.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0.get()
    }
}

/// State of a VM's knowledge of its own system.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SystemBelief {
    /// Nothing yet; the store may still answer.
    #[default]
    Unasked,
    /// Nothing, and the store does not answer. The VM joins the system of the first VM that it
    /// receives a datagram from; otherwise a VM that is started while the store is unavailable
    /// would serve nobody.
    Unanswered,
    /// The system of the first VM it received a datagram from. The store overrides it once it
    /// answers.
    Told(SystemId),
    /// The system according to the store.
    Known(SystemId),
}

/// Relation of a datagram's sender to this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SenderStanding {
    /// The sender belongs to the same system.
    Peer,
    /// The sender does not know its own system yet.
    Undecided,
    /// The sender belongs to another system, or this VM does not know its own system yet.
    Foreign,
}

impl SystemBelief {
    /// The system that this VM announces to other VMs.
    #[must_use]
    pub const fn id(self) -> Option<SystemId> {
        match self {
            Self::Told(id) | Self::Known(id) => Some(id),
            Self::Unasked | Self::Unanswered => None,
        }
    }

    /// The number for messages; 0 if the system is not known.
    #[must_use]
    pub fn number(self) -> u64 {
        self.id().map_or(0, SystemId::number)
    }

    /// Classifies a sender by the system number in its datagram. Joins that system if the store
    /// does not answer and this VM has none yet.
    pub fn classify(&mut self, number: u64) -> SenderStanding {
        let theirs = SystemId::from_number(number);
        if let (Self::Unanswered, Some(id)) = (*self, theirs) {
            *self = Self::Told(id);
        }
        match (self.id(), theirs) {
            (Some(own), Some(theirs)) if own == theirs => SenderStanding::Peer,
            (Some(_), None) => SenderStanding::Undecided,
            _ => SenderStanding::Foreign,
        }
    }

    /// Whether a reply of a VM with this number may be used.
    #[must_use]
    pub fn is_own(self, number: u64) -> bool {
        number != 0 && number == self.number()
    }
}

/// This VM joined another system than the store says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display(
    "this VM joined system {joined} while the store was unavailable, but the store belongs to system {known}; \
     restart it so that it joins its own system"
))]
pub struct JoinedOther {
    /// Number of the system that the VM joined.
    joined: u64,
    /// Number of the system according to the store.
    known: u64,
}

/// Time for the store to identify this system before the system named by other VMs is accepted.
const STORE_GRACE: time::Duration = time::Duration::from_millis(500);

/// Interval between two checks whether the store came back from an older copy.
const RESTORE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Maximum random delay before a VM that does not read the store for all checks the number there:
/// those that do write it first.
const MAX_RESTORE_JITTER: time::Duration = time::Duration::from_secs(2);

/// Reads from the store which system this VM belongs to.
///
/// # Errors
///
/// When the VM has joined another system: all its state may be wrong.
pub async fn identify<P, S: follow::StorePort>(
    plane: &plane::ExchangePlane<P>,
    store: rc::Rc<S>,
) -> Result<(), JoinedOther> {
    let drawn = plane.state().draw_system();
    let reading = async {
        loop {
            // A restored store may have lost the number of the system that this VM has joined.
            let proposed = plane.state().system.id().unwrap_or(drawn);
            let called_at = time::Instant::now();
            match store.system(proposed).await {
                Ok(id) => return id,
                Err(_) => follow::pause_after_failure(called_at).await,
            }
        }
    };
    tokio::pin!(reading);
    let known = match time::timeout(STORE_GRACE, &mut reading).await {
        Ok(id) => id,
        Err(_) => {
            plane.state().system = SystemBelief::Unanswered;
            log::warn!(
                "the store does not say which system this is; joining the one of the first VM that sends a datagram"
            );
            plane.identified.notify_one();
            reading.await
        }
    };
    let before = plane.state().system;
    plane.state().system = SystemBelief::Known(known);
    plane.identified.notify_one();
    log::info!(system = known.number(), before:? = before; "system known");
    match before {
        SystemBelief::Told(joined) if joined != known => Err(JoinedOther {
            joined: joined.number(),
            known: known.number(),
        }),
        _ => Ok(()),
    }
}

/// Writes this system's number again after each restore of the store, which may have lost it. If a
/// VM that started meanwhile has written another number, that one counts: all VMs that use the
/// store belong to one system. Never ends.
pub async fn follow_restores<P, S: follow::StorePort>(
    plane: rc::Rc<plane::ExchangePlane<P>>,
    store: rc::Rc<S>,
) {
    let mut checked = plane.state().restores();
    loop {
        time::sleep(RESTORE_CHECK_INTERVAL).await;
        let restores = plane.state().restores();
        let SystemBelief::Known(own) = plane.state().system else {
            continue;
        };
        if restores == checked {
            continue;
        }
        if !plane.state().reads_store(time::Instant::now()) {
            let draw = plane.state().draw();
            time::sleep(MAX_RESTORE_JITTER.mul_f64(draw)).await;
        }
        let Ok(known) = store.system(own).await else {
            continue;
        };
        checked = restores;
        if known != own {
            plane.state().system = SystemBelief::Known(known);
            plane.announce();
            log::warn!(
                system = known.number(), before = own.number();
                "the restored store names this system otherwise"
            );
        }
    }
}

/// Classifies the sender of a datagram. Most datagrams don't name their sender; it is then
/// identified by the hash from an earlier datagram that did.
pub(crate) fn classify_sender(
    state: &mut state::PlaneState,
    datagram: &message::PeerDatagram,
) -> SenderStanding {
    if !datagram.name.is_empty() {
        return state.system.classify(datagram.system);
    }
    match state.peers.address_of(datagram.sender) {
        Some(_) => SenderStanding::Peer,
        None => SenderStanding::Foreign,
    }
}

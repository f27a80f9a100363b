//! Claims about a member's state, and their order of precedence.

use std::net;

use base::id;
use wire::{identity, proto::gossip as proto};

/// Maximum length of the name of a region or a failure domain.
const MAX_PLACE_BYTES: usize = 64;

/// Identifies one incarnation of a member; a later incarnation compares greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberIncarnation {
    /// Start time by the member's own clock, in milliseconds since the Unix epoch, or one more
    /// than the start time claimed by an older incarnation of the same name.
    pub started_at_ms: u64,
    /// The incarnation itself; breaks ties between equal start times.
    pub id: id::Incarnation,
}

/// Claimed state of a member, in order of precedence at equal refutation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// The member did not answer a probe; it may still refute the suspicion.
    Suspect,
    /// The member neither answered nor refuted the suspicion in time. Still only a hint.
    Dead,
    /// The member announced its departure.
    Left,
}

impl MemberState {
    /// Whether the member counts as present.
    #[must_use]
    pub const fn is_present(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// Version of a claim: of two claims about one member the greater version wins, whatever the order
/// of arrival. A later incarnation precedes, then a higher refutation, then the graver state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimVersion {
    /// The incarnation that the claim is about.
    pub incarnation: MemberIncarnation,
    /// Incremented only by the member itself.
    pub refutation: u32,
    /// The claimed state.
    pub state: MemberState,
}

/// Location of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberPlace {
    /// Address at which the member receives datagrams and frames.
    pub address: net::SocketAddr,
    /// Failure domain of the member.
    pub failure_domain: String,
    /// Region of the member.
    pub region: String,
}

/// Claim about one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberClaim {
    /// Name of the VM.
    pub name: String,
    /// The claimed state, and the incarnation it applies to.
    pub version: ClaimVersion,
    /// Location of the member.
    pub place: MemberPlace,
}

/// A claim as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedClaim {
    /// Name of the VM.
    pub name: String,
    /// The claimed state, and the incarnation it applies to.
    pub version: ClaimVersion,
    /// Location of the member; omitted when every VM that knows the member knows it already.
    pub place: Option<MemberPlace>,
}

impl ReceivedClaim {
    /// Decodes a claim; `None` when any part of it is invalid.
    #[must_use]
    pub fn from_wire(claim: proto::MemberClaim) -> Option<Self> {
        let state = state_from_wire(proto::MemberState::try_from(claim.state).ok()?);
        let member = identity::ProcessIdentity::from_wire(claim.name, &claim.incarnation)?;
        let place = if claim.address.is_empty() {
            None
        } else {
            Some(MemberPlace::from_wire(
                &claim.address,
                claim.failure_domain,
                claim.region,
            )?)
        };
        Some(Self {
            name: member.name,
            version: ClaimVersion {
                incarnation: MemberIncarnation {
                    started_at_ms: claim.birth_ms,
                    id: member.incarnation,
                },
                refutation: claim.refutation,
                state,
            },
            place,
        })
    }
}

impl MemberPlace {
    fn from_wire(address: &str, failure_domain: String, region: String) -> Option<Self> {
        let is_valid = |text: &String| (1..=MAX_PLACE_BYTES).contains(&text.len());
        let names_valid = is_valid(&failure_domain) && is_valid(&region);
        let address = address.parse().ok()?;
        names_valid.then_some(Self {
            address,
            failure_domain,
            region,
        })
    }
}

impl MemberClaim {
    /// The complete claim in its wire form.
    #[must_use]
    pub fn to_wire(&self) -> proto::MemberClaim {
        proto::MemberClaim {
            address: self.place.address.to_string(),
            failure_domain: self.place.failure_domain.clone(),
            region: self.place.region.clone(),
            ..self.without_place()
        }
    }

    /// The claim as it is disseminated: the first claim about an incarnation carries the location,
    /// later ones omit it, which halves their size.
    #[must_use]
    pub fn to_update(&self) -> proto::MemberClaim {
        if self.version.state == MemberState::Alive {
            self.to_wire()
        } else {
            self.without_place()
        }
    }

    fn without_place(&self) -> proto::MemberClaim {
        let incarnation = self.version.incarnation;
        proto::MemberClaim {
            name: self.name.clone(),
            birth_ms: incarnation.started_at_ms,
            incarnation: identity::incarnation_to_wire(incarnation.id).to_vec(),
            refutation: self.version.refutation,
            state: state_to_wire(self.version.state).into(),
            ..proto::MemberClaim::default()
        }
    }
}

const fn state_from_wire(state: proto::MemberState) -> MemberState {
    match state {
        proto::MemberState::Alive => MemberState::Alive,
        proto::MemberState::Suspect => MemberState::Suspect,
        proto::MemberState::Dead => MemberState::Dead,
        proto::MemberState::Left => MemberState::Left,
    }
}

const fn state_to_wire(state: MemberState) -> proto::MemberState {
    match state {
        MemberState::Alive => proto::MemberState::Alive,
        MemberState::Suspect => proto::MemberState::Suspect,
        MemberState::Dead => proto::MemberState::Dead,
        MemberState::Left => proto::MemberState::Left,
    }
}

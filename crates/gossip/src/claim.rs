//! What may be said of a member, and which word beats which.

use std::net;

use base::id;
use wire::{identity, proto::gossip as proto};

/// Longest name of a region or a failure domain.
const MAX_PLACE_BYTES: usize = 64;

/// One life of a member; a later life is greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LifeStamp {
    /// When it began by the member's own clock, in milliseconds of the Unix epoch, or one more
    /// than what an older life of the same name claimed.
    pub birth_ms: u64,
    /// The life itself; decides between equal births.
    pub incarnation: id::Incarnation,
}

/// What is said of a member, in order of precedence at equal refutation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not answer; it may refute that.
    Suspect,
    /// It neither answered nor refuted the suspicion in time. Still only a hint.
    Dead,
    /// It said goodbye.
    Left,
}

impl MemberState {
    /// Whether the member counts as there.
    #[must_use]
    pub const fn is_present(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// Of two claims about one member the one with the greater version holds, in whatever order they
/// arrive: a later life beats an earlier one, then a higher refutation, then the graver state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimVersion {
    /// The life that is spoken of.
    pub life: LifeStamp,
    /// Raised by nobody but the member itself.
    pub refutation: u32,
    /// What is said.
    pub state: MemberState,
}

/// Where a member is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberPlace {
    /// Where it takes datagrams and frames.
    pub address: net::SocketAddr,
    /// Its failure domain.
    pub failure_domain: String,
    /// Its region.
    pub region: String,
}

/// Word about one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberClaim {
    /// Name of the VM.
    pub name: String,
    /// What is said, and of which life.
    pub version: ClaimVersion,
    /// Where it is.
    pub place: MemberPlace,
}

impl MemberClaim {
    /// Reads a claim; `None` when any part of it makes no sense.
    #[must_use]
    pub fn from_wire(claim: proto::MemberClaim) -> Option<Self> {
        let state = state_from_wire(proto::MemberState::try_from(claim.state).ok()?);
        let member = identity::ProcessIdentity::from_wire(claim.name, &claim.incarnation)?;
        let address = claim.address.parse().ok()?;
        let named = |text: &String| (1..=MAX_PLACE_BYTES).contains(&text.len());
        if !named(&claim.failure_domain) || !named(&claim.region) {
            return None;
        }
        Some(Self {
            name: member.name,
            version: ClaimVersion {
                life: LifeStamp {
                    birth_ms: claim.birth_ms,
                    incarnation: member.incarnation,
                },
                refutation: claim.refutation,
                state,
            },
            place: MemberPlace {
                address,
                failure_domain: claim.failure_domain,
                region: claim.region,
            },
        })
    }

    /// The claim as it travels.
    #[must_use]
    pub fn to_wire(&self) -> proto::MemberClaim {
        let life = self.version.life;
        proto::MemberClaim {
            name: self.name.clone(),
            birth_ms: life.birth_ms,
            incarnation: identity::incarnation_to_wire(life.incarnation).to_vec(),
            refutation: self.version.refutation,
            state: state_to_wire(self.version.state).into(),
            address: self.place.address.to_string(),
            failure_domain: self.place.failure_domain.clone(),
            region: self.place.region.clone(),
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

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

/// A claim as it arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeardClaim {
    /// Name of the VM.
    pub name: String,
    /// What is said, and of which life.
    pub version: ClaimVersion,
    /// Where it is; left out when those who know the member know that, too.
    pub place: Option<MemberPlace>,
}

impl HeardClaim {
    /// Reads a claim; `None` when any part of it makes no sense.
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
                life: LifeStamp {
                    birth_ms: claim.birth_ms,
                    incarnation: member.incarnation,
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
        let named = |text: &String| (1..=MAX_PLACE_BYTES).contains(&text.len());
        let named = named(&failure_domain) && named(&region);
        let address = address.parse().ok()?;
        named.then_some(Self {
            address,
            failure_domain,
            region,
        })
    }
}

impl MemberClaim {
    /// The whole claim as it travels.
    #[must_use]
    pub fn to_wire(&self) -> proto::MemberClaim {
        proto::MemberClaim {
            address: self.place.address.to_string(),
            failure_domain: self.place.failure_domain.clone(),
            region: self.place.region.clone(),
            ..self.without_place()
        }
    }

    /// The claim as it is passed on as news: a member is introduced with its place, and all
    /// further word of that life does without, which halves it.
    #[must_use]
    pub fn to_news(&self) -> proto::MemberClaim {
        if self.version.state == MemberState::Alive {
            self.to_wire()
        } else {
            self.without_place()
        }
    }

    fn without_place(&self) -> proto::MemberClaim {
        let life = self.version.life;
        proto::MemberClaim {
            name: self.name.clone(),
            birth_ms: life.birth_ms,
            incarnation: identity::incarnation_to_wire(life.incarnation).to_vec(),
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

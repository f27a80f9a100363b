//! What an entry VM says of the state that it has, and which of two states is the newer.

use base::fingerprint;

/// A state, told in a few bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct StateOffer {
    /// Its revision.
    pub revision: u64,
    /// Offset of the first log record that is not part of it.
    pub offset: u64,
    /// Hash of the chain of changes that led to it; equal at equal offset on every VM.
    pub hash: ChainHash,
}

impl StateOffer {
    /// Whether a state of this offer may replace one of `own`.
    ///
    /// Only a longer prefix of the log replaces a shorter one, and revisions never fall with
    /// it. A VM that was cut off for long comes back with a lower offset, and its state is
    /// nobody's choice.
    #[must_use]
    pub const fn replaces(&self, own: &Self) -> bool {
        self.offset > own.offset && self.revision >= own.revision
    }

    /// Whether the two states cannot be prefixes of one log.
    #[must_use]
    pub fn contradicts(&self, other: &Self) -> bool {
        let same_revision = self.revision == other.revision;
        let order = self.offset.cmp(&other.offset);
        same_revision != (self.hash == other.hash)
            || (order.is_gt() && self.revision < other.revision)
            || (order.is_lt() && self.revision > other.revision)
            || (order.is_eq() && !same_revision)
    }
}

/// Hash over every accepted change from the first to one revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ChainHash(pub fingerprint::ContentHash);

impl Default for ChainHash {
    fn default() -> Self {
        Self(fingerprint::ContentHash([0; 32]))
    }
}

impl ChainHash {
    /// The hash after one more accepted change.
    #[must_use]
    pub fn then(&self, change: &[u8]) -> Self {
        Self(fingerprint::ContentHash::of_parts(&[&self.0.0, change]))
    }
}

/// The best of several offers: the highest offset, the first of equals.
pub fn best<'a, I>(offers: I) -> Option<(&'a str, StateOffer)>
where
    I: IntoIterator<Item = (&'a str, StateOffer)>,
{
    let mut best: Option<(&str, StateOffer)> = None;
    for (name, offer) in offers {
        if best.is_none_or(|(_, other)| offer.replaces(&other)) {
            best = Some((name, offer));
        }
    }
    best
}

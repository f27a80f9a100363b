//! Offers by which entry VMs announce their states, and the order of two states.

use base::fingerprint;

/// Compact description of a state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct StateOffer {
    /// Revision of the state.
    pub revision: u64,
    /// Offset of the first log record that the state does not include.
    pub offset: u64,
    /// Hash chain over the accepted changes; equal on every VM at the same offset.
    pub hash: ChainHash,
}

impl StateOffer {
    /// Whether the offered state may replace the state described by `own`.
    ///
    /// Only a longer prefix of the log replaces a shorter one, and the revision must not decrease.
    /// A VM that returns after a long network partition has a lower offset, so no other VM adopts
    /// its outdated state.
    #[must_use]
    pub const fn replaces(&self, own: &Self) -> bool {
        self.offset > own.offset && self.revision >= own.revision
    }

    /// Whether the two states cannot result from prefixes of the same log.
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

/// Hash chain over all accepted changes up to a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ChainHash(pub fingerprint::ContentHash);

impl Default for ChainHash {
    fn default() -> Self {
        Self(fingerprint::ContentHash([0; 32]))
    }
}

impl ChainHash {
    /// Extends the chain by one accepted change.
    #[must_use]
    pub fn then(&self, change: &[u8]) -> Self {
        Self(fingerprint::ContentHash::of_parts(&[&self.0.0, change]))
    }
}

/// Selects the offer with the highest offset; the first one wins a tie.
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

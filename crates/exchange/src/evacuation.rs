//! Failure domains that the operator evacuates: their servers get no new work, what runs there ends
//! there.
//!
//! The operator's records are an ordered log, and each VM may read it to another position. What is
//! known as of a later position wins, whether it came from the store or from another VM, so that an
//! evacuation that was taken back does not return with a delayed datagram.

use std::collections;

/// One record of the operator on a failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationRecord {
    /// The failure domain.
    pub domain: String,
    /// Position of the record.
    pub offset: u64,
    /// Whether it is evacuated from then on, or takes work again.
    pub evacuated: bool,
}

/// Failure domains that are evacuated, as of one position of the operator's records.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationSet {
    /// Records before it are taken into account; never falls.
    pub position: u64,
    /// Their servers get no new work.
    pub domains: collections::BTreeSet<String>,
}

impl EvacuationSet {
    /// What all records that stand now make together; `end` is the position up to which they were
    /// read.
    #[must_use]
    pub fn of_all(records: &[EvacuationRecord], end: u64) -> Self {
        let evacuated = records.iter().filter(|record| record.evacuated);
        Self {
            position: end,
            domains: evacuated.map(|record| record.domain.clone()).collect(),
        }
    }

    /// What comes of records that follow, in order, up to `end`. Those that are known already change
    /// nothing.
    #[must_use]
    pub fn followed_by(&self, records: &[EvacuationRecord], end: u64) -> Self {
        let mut next = self.clone();
        for record in records
            .iter()
            .filter(|record| record.offset >= self.position)
        {
            if record.evacuated {
                next.domains.insert(record.domain.clone());
            } else {
                next.domains.remove(&record.domain);
            }
        }
        next.position = next.position.max(end);
        next
    }

    /// Takes what is known as of a later position; says whether other domains are evacuated then.
    pub fn take(&mut self, other: Self) -> bool {
        if other.position <= self.position {
            return false;
        }
        let changed = other.domains != self.domains;
        *self = other;
        changed
    }
}

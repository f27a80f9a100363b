//! Failure domains that the operator evacuates: their servers get no new work, and what runs there
//! finishes there.
//!
//! The operator's records are an ordered log, and each VM may have read it up to a different
//! position. The state as of the later position wins, whether it came from the store or from
//! another VM, so that an evacuation that was revoked does not return with a delayed datagram.

use std::collections;

use crate::position;

/// One record of the operator on a failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationRecord {
    /// The failure domain.
    pub domain: String,
    /// Position of the record.
    pub position: position::StorePosition,
    /// Whether the domain is evacuated from then on, or takes work again.
    pub evacuated: bool,
}

/// Failure domains that are evacuated, as of one position of the operator's records.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationSet {
    /// Records before this position are taken into account; never decreases.
    pub position: position::StorePosition,
    /// Evacuated domains, whose servers get no new work.
    pub domains: collections::BTreeSet<String>,
}

impl EvacuationSet {
    /// The set that results from all current records; `end` is the position up to which they were
    /// read.
    #[must_use]
    pub fn of_all(records: &[EvacuationRecord], end: position::StorePosition) -> Self {
        let evacuated = records.iter().filter(|record| record.evacuated);
        Self {
            position: end,
            domains: evacuated.map(|record| record.domain.clone()).collect(),
        }
    }

    /// The set after the records that follow, in order, up to `end`. Records that are already taken
    /// into account change nothing.
    #[must_use]
    pub fn followed_by(&self, records: &[EvacuationRecord], end: position::StorePosition) -> Self {
        let mut next = self.clone();
        for record in records
            .iter()
            .filter(|record| record.position >= self.position)
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

    /// Returns whether a failure domain is evacuated.
    #[must_use]
    pub fn contains(&self, domain: &str) -> bool {
        self.domains.contains(domain)
    }

    /// The evacuated domains, in order.
    #[must_use]
    pub fn all(&self) -> Vec<String> {
        self.domains.iter().cloned().collect()
    }

    /// Replaces the set by one as of a later position; returns whether the evacuated domains
    /// changed.
    pub fn take(&mut self, other: Self) -> bool {
        if other.position <= self.position {
            return false;
        }
        let changed = other.domains != self.domains;
        *self = other;
        changed
    }
}

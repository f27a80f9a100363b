//! Failure domains that the operator evacuates: their servers get no new work, and what runs there
//! finishes there.
//!
//! The operator's records are an ordered log, and each VM may have read it up to a different
//! position. The state as of the later position wins, whether it came from the store or from
//! another VM, so that an evacuation that was revoked does not return with a delayed datagram.
//!
//! After the store came back from an older copy, domains that were evacuated before stay so until
//! the operator has had the time to write that again, unless it revokes them.

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
    /// Domains that are evacuated according to the records.
    pub domains: collections::BTreeSet<String>,
    /// Domains that were evacuated before the store came back from an older copy.
    pub carried: collections::BTreeSet<String>,
    /// Domains that were revoked since.
    pub revoked: collections::BTreeSet<String>,
    /// Newest position of an earlier era that is taken into account.
    pub earlier: position::StorePosition,
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
            ..Self::default()
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
                next.revoked.insert(record.domain.clone());
            }
        }
        next.position = next.position.max(end);
        next
    }

    /// Returns whether a failure domain is evacuated.
    #[must_use]
    pub fn contains(&self, domain: &str) -> bool {
        self.domains.contains(domain) || self.is_carried(domain)
    }

    fn is_carried(&self, domain: &str) -> bool {
        self.carried.contains(domain) && !self.revoked.contains(domain)
    }

    /// The evacuated domains, in order.
    #[must_use]
    pub fn all(&self) -> Vec<String> {
        let domains = self.domains.union(&self.carried);
        let evacuated = domains.filter(|domain| self.contains(domain));
        evacuated.cloned().collect()
    }

    /// Replaces the set by one as of a later position; returns whether the evacuated domains
    /// changed.
    pub fn take(&mut self, other: Self) -> bool {
        let before = self.all();
        if other.position.era == self.position.era {
            self.take_same_era(other);
        } else if other.position > self.position {
            self.take_later_era(other);
        } else if other.position > self.earlier {
            self.earlier = other.position;
            self.carried.extend(other.all());
        }
        self.all() != before
    }

    fn take_same_era(&mut self, other: Self) {
        self.carried.extend(other.carried);
        if other.position > self.position {
            self.position = other.position;
            self.domains = other.domains;
            self.revoked.extend(other.revoked);
        }
    }

    fn take_later_era(&mut self, other: Self) {
        let carried = self.all();
        self.earlier = self.position.max(other.earlier);
        self.position = other.position;
        self.domains = other.domains;
        self.revoked = other.revoked;
        self.carried = other.carried;
        self.carried.extend(carried);
    }

    /// Goes by the records alone; returns whether the evacuated domains changed.
    pub fn settle(&mut self) -> bool {
        if self.carried.is_empty() && self.revoked.is_empty() {
            return false;
        }
        let before = self.all();
        self.carried.clear();
        self.revoked.clear();
        self.all() != before
    }
}

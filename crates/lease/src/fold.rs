//! Determines who holds which lease, as a pure fold over the stream `leases`.
//!
//! One record takes or renews all leases of one holder. The offset of the record that takes a
//! lease is its fencing number; a renewal keeps the number. A lease that was not renewed in time,
//! by the timestamps that the log gives to records, goes to the next VM that requests it, with a
//! higher number. The log's clock determines only when a lease may change hands: a jump of that
//! clock can cause a change of holder, but never lets the orders of two holders take effect.

use std::{cmp, collections};

use base::id;
use ledger::{driver, record};

/// Name of the stream that records leases.
pub const STREAM: &str = "leases";

/// One incarnation of an entry VM. A restarted VM counts as a different holder, because orders of
/// its previous incarnation may still be in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct HolderId {
    /// Name of the VM.
    pub vm: String,
    /// Incarnation of the VM's process.
    pub incarnation: id::Incarnation,
}

/// An entry of the stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum LeaseEntry {
    /// Takes and renews leases.
    Hold(HoldItem),
    /// An entry of a later version.
    #[serde(other)]
    Other,
}

/// Takes, renews and releases leases of one holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct HoldItem {
    /// The holder that makes the request.
    pub holder: HolderId,
    /// The leases lapse this long after the record, in milliseconds.
    pub hold_ms: u64,
    /// Time limit of the holder's orders, in milliseconds.
    pub order_ms: u64,
    /// Leases to renew, with their fencing numbers.
    #[serde(default)]
    pub held: collections::BTreeMap<String, u64>,
    /// Leases to take.
    #[serde(default)]
    pub wanted: collections::BTreeSet<String>,
    /// Leases to release before they lapse, with their fencing numbers.
    #[serde(default)]
    pub released: collections::BTreeMap<String, u64>,
}

/// The leases that the writer of a record holds once the record is applied, out of those that the
/// record requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseVerdict {
    /// Leases by subject.
    pub held: collections::BTreeMap<String, HeldLease>,
}

/// One lease that the writer of a record holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HeldLease {
    /// The fencing number.
    pub fencing: u64,
    /// Maximum time that an earlier holder's lease and order may last together, in milliseconds.
    pub wait_ms: u64,
}

/// State of one lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseState {
    /// The holder; `None` if the lease was released.
    pub holder: Option<HolderId>,
    /// Offset of the record that took the lease.
    pub fencing: u64,
    /// Time on the log's clock at which the lease lapses.
    pub until_ms: u64,
    /// Maximum over all earlier holders of lease time plus order time, in milliseconds.
    pub wait_ms: u64,
    /// Like `wait_ms`, but including the current holder.
    max_wait_ms: u64,
    /// The lease was requested while the fold was warming, so other folds may have refused it. It
    /// is granted to nobody, and blocks other requests until it lapses or a renewal confirms its
    /// number.
    tentative: bool,
}

/// State of all leases after the records read so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseFold {
    leases: collections::BTreeMap<String, LeaseState>,
    /// Set while the fold does not know every lease that is in force.
    warming: Option<WarmingState>,
    /// Lower fencing numbers may belong to records that the fold could not decide on.
    trusted_from: u64,
    restarts: u64,
}

/// State of a fold that started in the middle of the stream. Such a fold knows every holder once
/// the maximum lease time has passed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct WarmingState {
    until_ms: Option<u64>,
}

/// Maximum lease time. A fold that starts in the middle of the stream grants nothing for this long.
pub const MAX_HOLD_MS: u64 = 60_000;

impl LeaseFold {
    /// Returns the lease on `subject`, or `None` if no holder is known.
    #[must_use]
    pub fn find(&self, subject: &str) -> Option<&LeaseState> {
        self.leases.get(subject)
    }

    /// All leases by subject.
    pub fn leases(&self) -> impl Iterator<Item = (&str, &LeaseState)> {
        self.leases
            .iter()
            .map(|(subject, lease)| (subject.as_str(), lease))
    }

    /// Whether the fold started in the middle of the stream and may not know all holders yet. No
    /// leases are requested on the basis of such a fold.
    #[must_use]
    pub const fn is_warming(&self) -> bool {
        self.warming.is_some()
    }

    /// Number of times that records were dropped before they were read. A holder then continues
    /// under a new incarnation, because the missed records may have given its leases to others.
    #[must_use]
    pub const fn restarts(&self) -> u64 {
        self.restarts
    }

    /// Whether the lease on `subject` can be taken at `at_ms` on the log's clock.
    #[must_use]
    pub fn is_free(&self, subject: &str, at_ms: u64) -> bool {
        let lease = self.leases.get(subject);
        lease.is_none_or(|lease| lease.holder.is_none() || at_ms > lease.until_ms)
    }

    fn hold(&mut self, place: record::RecordPlace, item: &HoldItem) -> LeaseVerdict {
        for (subject, fencing) in &item.released {
            self.release(subject, *fencing, &item.holder);
        }
        let mut verdict = LeaseVerdict::default();
        let renewed = item
            .held
            .iter()
            .map(|(subject, number)| (subject, Some(*number)));
        let wanted = item.wanted.iter().map(|subject| (subject, None));
        for (subject, number) in renewed.chain(wanted) {
            let held = match number {
                Some(number) => self.renew(place, item, subject, number),
                None => self.take(place, item, subject),
            };
            if let Some(held) = held {
                verdict.held.insert(subject.clone(), held);
            }
        }
        verdict
    }

    /// Releases a lease. A release that does not match the current holder and fencing number is
    /// outdated and changes nothing.
    fn release(&mut self, subject: &str, fencing: u64, holder: &HolderId) {
        if let Some(lease) = self.leases.get_mut(subject)
            && lease.fencing == fencing
            && lease.holder.as_ref() == Some(holder)
        {
            lease.holder = None;
        }
    }

    /// Renews a lease that the writer still holds, even a lapsed one as long as nobody else took
    /// it.
    fn renew(
        &mut self,
        place: record::RecordPlace,
        item: &HoldItem,
        subject: &str,
        fencing: u64,
    ) -> Option<HeldLease> {
        if self.is_undecided(subject, fencing) {
            // The record that took the lease precedes the records that this fold has read.
            let known_ms = self.leases.get(subject).map_or(0, |lease| lease.until_ms);
            let lease = LeaseState {
                holder: Some(item.holder.clone()),
                fencing,
                until_ms: known_ms,
                wait_ms: 2 * MAX_HOLD_MS,
                max_wait_ms: 2 * MAX_HOLD_MS,
                tentative: false,
            };
            self.leases.insert(subject.to_owned(), lease);
        }
        let lease = self.leases.get_mut(subject)?;
        if lease.holder.as_ref() != Some(&item.holder) || lease.fencing != fencing {
            return None;
        }
        Some(lease.extend(place.at_ms, item))
    }

    fn is_undecided(&self, subject: &str, fencing: u64) -> bool {
        let known = self.leases.get(subject);
        fencing < self.trusted_from
            && known.is_none_or(|known| known.tentative || known.fencing < fencing)
    }

    fn take(
        &mut self,
        place: record::RecordPlace,
        item: &HoldItem,
        subject: &str,
    ) -> Option<HeldLease> {
        let warming = self.warming.is_some();
        if let Some(lease) = self.leases.get_mut(subject) {
            let own = lease.holder.as_ref() == Some(&item.holder);
            if own || (warming && lease.tentative) {
                // The answer to the record that took the lease was lost, or a record was appended
                // twice.
                let held = lease.extend(place.at_ms, item);
                return (own && !lease.tentative).then_some(held);
            }
        }
        if !self.is_free(subject, place.at_ms) {
            return None;
        }
        let wait_ms = self
            .leases
            .get(subject)
            .map_or(0, |lease| lease.max_wait_ms);
        let mut lease = LeaseState {
            holder: Some(item.holder.clone()),
            fencing: place.offset,
            until_ms: 0,
            wait_ms,
            max_wait_ms: wait_ms,
            tentative: warming,
        };
        let held = lease.extend(place.at_ms, item);
        self.leases.insert(subject.to_owned(), lease);
        (!warming).then_some(held)
    }

    fn warm(&mut self, place: record::RecordPlace) {
        let Some(warming) = &mut self.warming else {
            return;
        };
        let until_ms = *warming.until_ms.get_or_insert(place.at_ms + MAX_HOLD_MS);
        if place.at_ms > until_ms {
            self.warming = None;
        } else {
            self.trusted_from = place.offset + 1;
        }
    }
}

impl LeaseState {
    fn extend(&mut self, at_ms: u64, item: &HoldItem) -> HeldLease {
        let until_ms = at_ms.saturating_add(item.hold_ms);
        self.until_ms = cmp::max(self.until_ms, until_ms);
        let total_ms = item.hold_ms.saturating_add(item.order_ms);
        self.max_wait_ms = cmp::max(self.max_wait_ms, total_ms);
        HeldLease {
            fencing: self.fencing,
            wait_ms: self.wait_ms,
        }
    }
}

impl driver::LogFold for LeaseFold {
    type Entry = LeaseEntry;
    type Verdict = LeaseVerdict;

    fn apply(
        &mut self,
        place: record::RecordPlace,
        batch: record::BatchRecord<LeaseEntry>,
    ) -> Vec<driver::EntryVerdict<LeaseVerdict>> {
        self.warm(place);
        let mut verdicts = Vec::with_capacity(batch.entries.len());
        for entry in batch.entries {
            // Leases beyond the maximum are ignored: a fold that starts in the middle of the stream
            // does not wait long enough for them.
            if let LeaseEntry::Hold(item) = entry.item
                && item.hold_ms <= MAX_HOLD_MS
                && item.order_ms <= MAX_HOLD_MS
            {
                let verdict = self.hold(place, &item);
                let id = entry.id;
                verdicts.push(driver::EntryVerdict { id, verdict });
            }
        }
        verdicts
    }

    /// Leases are renewed more often than records are dropped, so every lease in force appears
    /// again within the maximum lease time. Until then the fold grants nothing.
    fn restart(&mut self, first: u64) {
        *self = Self {
            leases: collections::BTreeMap::new(),
            warming: Some(WarmingState::default()),
            trusted_from: first,
            restarts: self.restarts + 1,
        };
    }
}

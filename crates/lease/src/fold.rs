//! Who holds which lease: a pure fold over the stream `leases`.
//!
//! One record takes or renews all leases of one holder. The offset of the record that takes a
//! lease is its fencing number; a renewal keeps the number. A lease whose holder has not renewed
//! it within its time, by the times that the log gave the records, goes to the next who asks, and
//! gets a higher number. The log's clock decides only when a lease may change hands, so a log
//! whose clock jumps costs a change of holder, never two orders in effect.

use std::{cmp, collections};

use base::id;
use ledger::{driver, record};

/// Name of the stream.
pub const STREAM: &str = "leases";

/// One life of one entry VM. A restarted VM is another holder: its earlier life's orders may
/// still be under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct HolderId {
    /// Name of the VM.
    pub vm: String,
    /// The life of its process.
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
    /// Who asks.
    pub holder: HolderId,
    /// The leases lapse this long after the record, in milliseconds.
    pub hold_ms: u64,
    /// Time limit of the holder's orders, in milliseconds.
    pub order_ms: u64,
    /// Leases that the holder has, with their fencing numbers.
    #[serde(default)]
    pub held: collections::BTreeMap<String, u64>,
    /// Leases that it wants besides.
    #[serde(default)]
    pub wanted: collections::BTreeSet<String>,
    /// Leases that it gives up before their time.
    #[serde(default)]
    pub released: collections::BTreeMap<String, u64>,
}

/// What the asker of a record holds once the record is applied, out of what it asked for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseVerdict {
    /// Leases by subject.
    pub held: collections::BTreeMap<String, HeldLease>,
}

/// One lease in the hands of the asker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HeldLease {
    /// The fencing number.
    pub fencing: u64,
    /// The longest that an earlier holder's lease and order may last together, in milliseconds.
    pub wait_ms: u64,
}

/// One lease as the records tell it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseState {
    /// Who holds it; absent: it was released.
    pub holder: Option<HolderId>,
    /// Offset of the record that took it.
    pub fencing: u64,
    /// When it lapses, on the log's clock.
    pub until_ms: u64,
    /// The longest lease and order together of all holders before this one, in milliseconds.
    pub wait_ms: u64,
    /// The same with this holder's.
    longest_ms: u64,
    /// It was asked for while the fold was warming: it may have been refused, so it is granted to
    /// nobody here, and it keeps others out until it lapses or a renewal settles its number.
    tentative: bool,
}

/// The leases as the records of the stream tell them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseFold {
    leases: collections::BTreeMap<String, LeaseState>,
    /// Set while the fold does not know every lease that is in force.
    warming: Option<WarmingState>,
    /// Fencing numbers below this may be of takings that the fold has not judged.
    trusted_from: u64,
    restarts: u64,
}

/// A fold that starts amid the stream knows every holder once the longest lease has passed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct WarmingState {
    until_ms: Option<u64>,
}

/// No lease is longer: a fold that starts amid the stream grants nothing for so long.
pub const MAX_HOLD_MS: u64 = 60_000;

impl LeaseFold {
    /// The lease on `subject`; `None` when nobody is known to have held it.
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

    /// Whether the fold started amid the stream and may not know all holders yet. Nobody asks for
    /// leases on the word of such a fold.
    #[must_use]
    pub const fn is_warming(&self) -> bool {
        self.warming.is_some()
    }

    /// Times that records were dropped unread. A holder goes on as another one after that: what
    /// it knew of its leases may have been overtaken in the records that it missed.
    #[must_use]
    pub const fn restarts(&self) -> u64 {
        self.restarts
    }

    /// Whether `subject` is free to take at `at_ms` on the log's clock.
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

    /// A release by anybody but the holder of exactly this number changes nothing: it is late.
    fn release(&mut self, subject: &str, fencing: u64, holder: &HolderId) {
        if let Some(lease) = self.leases.get_mut(subject)
            && lease.fencing == fencing
            && lease.holder.as_ref() == Some(holder)
        {
            lease.holder = None;
        }
    }

    /// Renews a lease that the asker still holds, also past its time as long as nobody took it.
    fn renew(
        &mut self,
        place: record::RecordPlace,
        item: &HoldItem,
        subject: &str,
        fencing: u64,
    ) -> Option<HeldLease> {
        if self.is_unjudged(subject, fencing) {
            // The record that took it is older than what this fold has read.
            let known_ms = self.leases.get(subject).map_or(0, |lease| lease.until_ms);
            let lease = LeaseState {
                holder: Some(item.holder.clone()),
                fencing,
                until_ms: known_ms,
                wait_ms: 2 * MAX_HOLD_MS,
                longest_ms: 2 * MAX_HOLD_MS,
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

    fn is_unjudged(&self, subject: &str, fencing: u64) -> bool {
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
                // The answer to the record that took it was lost, or a record came twice.
                let held = lease.extend(place.at_ms, item);
                return (own && !lease.tentative).then_some(held);
            }
        }
        if !self.is_free(subject, place.at_ms) {
            return None;
        }
        let wait_ms = self.leases.get(subject).map_or(0, |lease| lease.longest_ms);
        let mut lease = LeaseState {
            holder: Some(item.holder.clone()),
            fencing: place.offset,
            until_ms: 0,
            wait_ms,
            longest_ms: wait_ms,
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
        let whole_ms = item.hold_ms.saturating_add(item.order_ms);
        self.longest_ms = cmp::max(self.longest_ms, whole_ms);
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
            // A lease longer than a fold that starts amid the stream allows for is no lease.
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

    /// Leases are renewed more often than records are dropped, so all that are in force come up
    /// again within the longest lease; until then nothing is granted here.
    fn restart(&mut self, first: u64) {
        *self = Self {
            leases: collections::BTreeMap::new(),
            warming: Some(WarmingState::default()),
            trusted_from: first,
            restarts: self.restarts + 1,
        };
    }
}

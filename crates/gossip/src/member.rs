//! All members that are known, and the word that holds about each.

use std::{collections, time};

use base::id;
use wire::identity;

use crate::{claim, in_force};

/// Members kept at the most. Only holders of a key can add one; the largest site has 410.
const MAX_MEMBERS: usize = 4096;

/// One member.
#[derive(Clone, Debug)]
pub struct MemberRecord {
    /// The claim that holds; its version never falls.
    pub claim: claim::MemberClaim,
    /// When the state changed last, by this VM's clock.
    pub changed_at: time::Duration,
    /// When a suspicion turns into death here; set exactly while the state is suspect.
    pub dead_at: Option<time::Duration>,
    /// State of the configuration in force there, as last heard; never falls within one life.
    pub in_force: Option<in_force::StateKey>,
}

impl MemberRecord {
    /// The receiver to which datagrams for this member are bound.
    #[must_use]
    pub fn identity(&self) -> identity::ProcessIdentity {
        identity::ProcessIdentity {
            name: self.claim.name.clone(),
            incarnation: self.claim.version.life.incarnation,
        }
    }

    /// The state that holds.
    #[must_use]
    pub const fn state(&self) -> claim::MemberState {
        self.claim.version.state
    }
}

/// What a claim changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// Nothing: the same or better was known.
    Old,
    /// The claim holds now.
    Taken(id::VmKey),
}

/// All members that are known, the own VM among them.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    records: slotmap::SlotMap<id::VmKey, MemberRecord>,
    /// Exactly the names in `records`.
    names: collections::BTreeMap<String, id::VmKey>,
    /// Exactly the holder hashes of the lives in `records`.
    holders: collections::BTreeMap<u64, id::VmKey>,
}

impl MemberTable {
    /// Takes `claim` when it is newer than what holds.
    ///
    /// `dead_at` is when the member is dead here if the claim is a suspicion.
    pub fn merge(
        &mut self,
        claim: &claim::MemberClaim,
        now: time::Duration,
        dead_at: time::Duration,
    ) -> MergeOutcome {
        let suspect = claim.version.state == claim::MemberState::Suspect;
        let mut record = MemberRecord {
            claim: claim.clone(),
            changed_at: now,
            dead_at: suspect.then_some(dead_at),
            in_force: None,
        };
        let Some(&key) = self.names.get(&claim.name) else {
            return self.add(record);
        };
        if claim.version <= self.records[key].claim.version {
            return MergeOutcome::Old;
        }
        let before = self.records[key].identity();
        if before.incarnation == claim.version.life.incarnation {
            record.in_force = self.records[key].in_force;
        } else {
            self.holders.remove(&in_force::holder_hash(&before));
            self.holders
                .insert(in_force::holder_hash(&record.identity()), key);
        }
        self.records[key] = record;
        MergeOutcome::Taken(key)
    }

    /// Adds a member that was not known, unless there is nothing to be gained from it.
    fn add(&mut self, record: MemberRecord) -> MergeOutcome {
        if !record.state().is_present() || self.records.len() >= MAX_MEMBERS {
            return MergeOutcome::Old;
        }
        let name = record.claim.name.clone();
        let holder = in_force::holder_hash(&record.identity());
        let key = self.records.insert(record);
        self.names.insert(name, key);
        self.holders.insert(holder, key);
        MergeOutcome::Taken(key)
    }

    /// The key of a name.
    #[must_use]
    pub fn key(&self, name: &str) -> Option<id::VmKey> {
        self.names.get(name).copied()
    }

    /// The member whose life has that hash.
    #[must_use]
    pub fn holder(&self, hash: u64) -> Option<id::VmKey> {
        self.holders.get(&hash).copied()
    }

    /// Notes what is in force on a member; tells whether that is news.
    pub fn set_in_force(&mut self, key: id::VmKey, state: in_force::StateKey) -> bool {
        let Some(record) = self.records.get_mut(key) else {
            return false;
        };
        let newer = record.in_force.is_none_or(|held| held < state);
        if newer {
            record.in_force = Some(state);
        }
        newer
    }

    /// The member of that name.
    #[must_use]
    pub fn named(&self, name: &str) -> Option<&MemberRecord> {
        self.get(self.key(name)?)
    }

    /// The member with that key.
    #[must_use]
    pub fn get(&self, key: id::VmKey) -> Option<&MemberRecord> {
        self.records.get(key)
    }

    /// All members in the order of their names, so that every run sees them alike.
    pub fn iter(&self) -> impl Iterator<Item = (id::VmKey, &MemberRecord)> {
        self.names.values().map(|key| (*key, &self.records[*key]))
    }

    /// Puts every death that is due off by `gap`, during which this process heard nothing.
    pub fn postpone_deaths(&mut self, gap: time::Duration) {
        for record in self.records.values_mut() {
            record.dead_at = record.dead_at.map(|dead_at| dead_at + gap);
        }
    }

    /// Forgets members that have been gone since before `cutoff`.
    pub fn forget_gone(&mut self, cutoff: time::Duration) {
        let (records, holders) = (&mut self.records, &mut self.holders);
        self.names.retain(|_, key| {
            let record = &records[*key];
            let kept = record.state().is_present() || record.changed_at >= cutoff;
            if !kept {
                holders.remove(&in_force::holder_hash(&record.identity()));
                records.remove(*key);
            }
            kept
        });
    }
}

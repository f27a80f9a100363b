//! Table of known members, with the claim in force about each.

use std::{collections, time};

use base::id;
use wire::identity;

use crate::{claim, in_force};

/// Maximum number of members. Only holders of a key can add one; the largest site has 410.
const MAX_MEMBERS: usize = 4096;

/// One member.
#[derive(Clone, Debug)]
pub struct MemberRecord {
    /// The claim in force; its version never decreases.
    pub claim: claim::MemberClaim,
    /// When the claim last changed, by this VM's clock.
    pub changed_at: time::Duration,
    /// When a suspicion expires and the member is declared dead; set exactly while the state is
    /// suspect.
    pub dead_at: Option<time::Duration>,
    /// State of the configuration in force there, as last received; never decreases within one
    /// incarnation.
    pub in_force: Option<in_force::StateKey>,
}

impl MemberRecord {
    /// The identity to which datagrams for this member are bound.
    #[must_use]
    pub fn identity(&self) -> identity::ProcessIdentity {
        identity::ProcessIdentity {
            name: self.claim.name.clone(),
            incarnation: self.claim.version.incarnation.id,
        }
    }

    /// The state in force.
    #[must_use]
    pub const fn state(&self) -> claim::MemberState {
        self.claim.version.state
    }
}

/// Result of merging a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The claim was discarded: an equal or newer one is known, or it may not add a member.
    Discarded,
    /// The claim is in force now.
    Applied(id::VmKey),
}

/// All known members, including this VM.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    records: slotmap::SlotMap<id::VmKey, MemberRecord>,
    /// Exactly the names in `records`.
    names: collections::BTreeMap<String, id::VmKey>,
    /// Exactly the holder hashes of the incarnations in `records`.
    holders: collections::BTreeMap<u64, id::VmKey>,
}

impl MemberTable {
    /// Applies `claim` if it is newer than the one in force.
    ///
    /// `dead_at` is when the member is declared dead here if the claim is a suspicion.
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
            return MergeOutcome::Discarded;
        }
        let before = self.records[key].identity();
        if before.incarnation == claim.version.incarnation.id {
            record.in_force = self.records[key].in_force;
        } else {
            self.holders.remove(&in_force::holder_hash(&before));
            self.holders
                .insert(in_force::holder_hash(&record.identity()), key);
        }
        self.records[key] = record;
        MergeOutcome::Applied(key)
    }

    /// Adds an unknown member, unless it is not present or the table is full.
    fn add(&mut self, record: MemberRecord) -> MergeOutcome {
        if !record.state().is_present() || self.records.len() >= MAX_MEMBERS {
            return MergeOutcome::Discarded;
        }
        let name = record.claim.name.clone();
        let holder = in_force::holder_hash(&record.identity());
        let key = self.records.insert(record);
        self.names.insert(name, key);
        self.holders.insert(holder, key);
        MergeOutcome::Applied(key)
    }

    /// The key of a name.
    #[must_use]
    pub fn key(&self, name: &str) -> Option<id::VmKey> {
        self.names.get(name).copied()
    }

    /// The member whose incarnation has that hash.
    #[must_use]
    pub fn holder(&self, hash: u64) -> Option<id::VmKey> {
        self.holders.get(&hash).copied()
    }

    /// Records the state in force on a member; returns whether it is newer than the known one.
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

    /// All members in name order, so that iteration is deterministic.
    pub fn iter(&self) -> impl Iterator<Item = (id::VmKey, &MemberRecord)> {
        self.names.values().map(|key| (*key, &self.records[*key]))
    }

    /// Postpones the expiry of every suspicion by `pause`, during which this process received
    /// nothing.
    pub fn postpone_deaths(&mut self, pause: time::Duration) {
        for record in self.records.values_mut() {
            record.dead_at = record.dead_at.map(|dead_at| dead_at + pause);
        }
    }

    /// Removes members that have not been present since before `cutoff`.
    pub fn remove_departed(&mut self, cutoff: time::Duration) {
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

//! Dissemination of the configuration in force on each VM.
//!
//! The configuration is nearly always the same on all VMs. So the state itself is disseminated
//! once, as an item, and each VM adds only the eight bytes that identify its incarnation.

use std::{fmt, time};

use prost::Message as _;
use wire::{identity, proto::gossip as proto};
use xxhash_rust::xxh3;

use crate::{core, event, item, member, packet, spread, update};

/// Number of datagrams in which each member that learns a VM's state forwards it.
const IN_FORCE_COPIES: u32 = 12;

/// Identifies one state of the configuration. Within one incarnation of a VM it only increases,
/// since accepted configuration never reverts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StateKey {
    /// Offset after the last record applied.
    pub offset: u64,
    /// Hash of revision and chain.
    pub digest: u32,
}

impl StateKey {
    /// The key of the configuration in force on a VM.
    #[must_use]
    pub fn of(update: &update::ConfigurationUpdate) -> Self {
        let hash = xxh3::xxh3_64_with_seed(&update.chain_hash.0, update.revision);
        Self {
            offset: update.offset,
            digest: (hash >> 32) as u32,
        }
    }

    /// The key of the item that holds the state.
    #[must_use]
    pub fn item_key(self) -> item::ItemKey {
        item::ItemKey {
            kind: item::ItemKind::Configuration,
            subject: self.to_string(),
        }
    }
}

impl fmt::Display for StateKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{:08x}", self.offset, self.digest)
    }
}

/// Hash that identifies a VM's incarnation in reports of the configuration in force.
#[must_use]
pub fn holder_hash(member: &identity::ProcessIdentity) -> u64 {
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(&identity::incarnation_to_wire(member.incarnation));
    hasher.update(member.name.as_bytes());
    hasher.digest()
}

impl<R: rand::Rng> core::MemberCore<R> {
    /// Announces the configuration in force on this VM.
    pub(crate) fn publish_state(
        &mut self,
        now: time::Duration,
        update: &update::ConfigurationUpdate,
    ) {
        self.add_update(now, &update::ItemUpdate::Configuration(update.clone()));
        if let Some(key) = self.table.key(&self.identity.name) {
            self.set_in_force(key, StateKey::of(update));
        }
    }

    pub(crate) fn apply_in_force(&mut self, reports: &[proto::InForce]) {
        for report in reports {
            let state = StateKey {
                offset: report.offset,
                digest: report.digest,
            };
            for holder in &report.holders {
                // A report on an incarnation that is not known yet is received again by
                // anti-entropy.
                if let Some(key) = self.table.holder(*holder) {
                    self.set_in_force(key, state);
                }
            }
        }
    }

    fn set_in_force(&mut self, key: base::id::VmKey, state: StateKey) {
        if self.table.set_in_force(key, state) {
            self.forward(spread::SpreadKey::InForce(key), false, IN_FORCE_COPIES);
            let update = self
                .table
                .get(key)
                .and_then(|record| self.configuration_of(record));
            self.notify_configuration(update);
        }
    }

    /// Notifies of the configuration of each VM whose state was reported before its item arrived.
    pub(crate) fn notify_state_known(&mut self, state: &item::ItemKey) {
        let records = self.table.iter().map(|(_, record)| record);
        let waiting = records.filter(|record| {
            record
                .in_force
                .is_some_and(|in_force| in_force.item_key() == *state)
        });
        let update: Vec<Option<update::ConfigurationUpdate>> = waiting
            .map(|record| self.configuration_of(record))
            .collect();
        for update in update {
            self.notify_configuration(update);
        }
    }

    /// Configuration in force on a member, as last received.
    pub(crate) fn configuration_of(
        &self,
        record: &member::MemberRecord,
    ) -> Option<update::ConfigurationUpdate> {
        let item = self.items.get(&record.in_force?.item_key())?;
        update::ConfigurationUpdate::from_body(record.claim.name.clone(), &item.body)
    }

    fn notify_configuration(&mut self, update: Option<update::ConfigurationUpdate>) {
        if let Some(update) = update {
            let update = event::GossipEvent::Item(update::ItemUpdate::Configuration(update));
            self.actions.push(event::CoreAction::Notify(update));
        }
    }
}

impl member::MemberRecord {
    /// Attaches the state in force on the member, if it is known and fits.
    pub(crate) fn add_in_force(&self, packet: &mut packet::PacketBuilder) -> bool {
        let holder = holder_hash(&self.identity());
        self.in_force
            .is_some_and(|state| packet.add_in_force(holder, state))
    }
}

impl update::ConfigurationUpdate {
    /// Decodes the body of a configuration item that is in force on `vm`.
    #[must_use]
    pub fn from_body(vm: String, body: &[u8]) -> Option<Self> {
        let body = proto::ConfigurationBody::decode(body).ok()?;
        Some(Self {
            vm,
            revision: body.revision,
            offset: body.offset,
            chain_hash: base::fingerprint::ContentHash(body.chain_hash.try_into().ok()?),
        })
    }
}

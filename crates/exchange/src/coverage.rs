//! How far this VM's list of servers is complete, and what other VMs' lists are worth beside it.
//!
//! The store numbers its records. A VM that has read the whole list, and all records since, knows
//! every server up to a position: a server that it doesn't know there has no entry, whoever names
//! one that is older. A VM learns of servers from the store, from updates and notices of other VMs
//! and from their lists, at any age; the position tells which of them is newer.

use std::collections;

use tokio::time;

use crate::{fleet, message, position, server, state, update};

impl fleet::ServerFleet {
    /// Removals of the servers that a complete read of the store did not list. `end` is the log
    /// position up to which the list is complete.
    #[must_use]
    pub fn unlisted(
        &self,
        listed: &collections::HashSet<String>,
        end: position::StorePosition,
    ) -> Vec<update::ServerUpdate> {
        let records = self.servers().map(|(_, record)| record);
        let unlisted = records.filter(|record| !listed.contains(&record.id));
        let removals = unlisted.filter_map(|record| removal_before(record, end));
        removals.collect()
    }

    /// Removals of the servers that a VM with a complete list does not know.
    #[must_use]
    pub fn removals_of(&self, reply: &message::StateReply) -> Vec<update::ServerUpdate> {
        let keys = reply.unlisted.iter();
        let keys = keys.filter_map(|&hash| self.find_by_hash(hash));
        let records = keys.filter_map(|key| self.server(key));
        let records = records.filter(|record| !record.superseded);
        let removals = records.filter_map(|record| removal_before(record, reply.complete_until()));
        removals.collect()
    }

    /// Whether an update names a server, or an incarnation of one, that the complete list no longer
    /// has.
    #[must_use]
    pub fn is_outdated(&self, update: &update::ServerUpdate) -> bool {
        let Some(entry) = &update.entry else {
            return false;
        };
        if update.position >= self.complete_until {
            return false;
        }
        let known = self.find(&update.id).and_then(|key| self.server(key));
        known.is_none_or(|known| {
            known.started_at.is_known()
                && known.started_at < entry.started_at
                && known.position < self.complete_until
        })
    }
}

/// The removal of a server that has no entry at the end of the records; `None` if its newest record
/// is later, or if it is already removed.
fn removal_before(
    record: &server::ServerRecord,
    end: position::StorePosition,
) -> Option<update::ServerUpdate> {
    if record.position >= end || record.standing == server::ServerStanding::Gone {
        return None;
    }
    let position = if record.position.era < end.era {
        position::StorePosition::era_start(end.era)
    } else {
        record.position.next()
    };
    Some(update::ServerUpdate {
        id: record.id.clone(),
        position,
        entry: None,
    })
}

impl state::PlaneState {
    /// Applies an update of a server that another VM tells of, unless this VM's own list shows that
    /// it is outdated.
    pub fn take_peer_update(
        &mut self,
        update: update::ServerUpdate,
        source: &str,
        now: time::Instant,
    ) -> fleet::FleetChange {
        if !self.fleet.is_outdated(&update) {
            return self.apply_update(update, false, now);
        }
        metrics::counter!("pollenchute_exchange_updates_outdated_total").increment(1);
        let end = self.fleet.complete_until;
        log::debug!(
            server:% = update.id, offset = update.position.offset, era = update.position.era,
            complete_offset = end.offset, complete_era = end.era, source:%;
            "update is outdated: the complete list does not have the server"
        );
        fleet::FleetChange::Nothing
    }

    /// End of the records up to which this VM vouches for its list of servers; the first position
    /// while entries may be missing because of an outage or of a restore of the store.
    #[must_use]
    pub fn vouched_until(&self, now: time::Instant) -> position::StorePosition {
        let settles = self.fleet.settles_at.is_some_and(|at| now < at);
        if settles || self.contact.lapse_grace_until(now).is_some() {
            return position::StorePosition::default();
        }
        self.fleet.complete_until
    }
}

//! Periodic maintenance of the core: expiry of suspicions, members and items, and renewals.

use std::time;

use crate::{claim, core, item, member, update};

/// Interval between two maintenance rounds.
const MAINTENANCE_INTERVAL: time::Duration = time::Duration::from_secs(1);

impl<R: rand::Rng> core::MemberCore<R> {
    /// Declares members of this region dead that did not refute a suspicion in time. Members of
    /// other regions are declared dead by their own region: a link that fails just after a
    /// suspicion has crossed it must not make them dead here.
    pub(crate) fn expire_suspicions(&mut self, now: time::Duration) {
        let is_expired = |record: &member::MemberRecord| {
            record.dead_at.is_some_and(|at| at <= now)
                && record.claim.place.region == self.own.place.region
        };
        let expired = self.table.iter().filter(|(_, record)| is_expired(record));
        let claims: Vec<claim::MemberClaim> =
            expired.map(|(_, record)| record.claim.clone()).collect();
        for mut claim in claims {
            claim.version.state = claim::MemberState::Dead;
            self.apply_claim(now, &claim);
        }
    }

    /// Discards the probe under way and extends suspicions after this process was paused, since the
    /// missing answers are due to the pause.
    pub(crate) fn resume(&mut self, now: time::Duration, pause: time::Duration) {
        metrics::counter!("pollenchute_gossip_pauses_total").increment(1);
        self.schedule.current = None;
        self.table.postpone_deaths(pause);
        self.due_times.probe = now + self.timing.probe_interval;
    }

    /// Removes expired members, digests and items, and renews the items that this VM publishes.
    pub(crate) fn maintenance_round(&mut self, now: time::Duration) {
        if now < self.due_times.maintenance {
            return;
        }
        self.due_times.maintenance = now + MAINTENANCE_INTERVAL;
        self.table
            .remove_departed(now.saturating_sub(self.timing.departed_retention));
        self.digests.outbox.remove_old(now);
        self.digests.table.remove_old(now);
        self.remove_expired_items(now);
        if let Some(update) = self.configuration.clone() {
            self.add_update(now, &update::ItemUpdate::Configuration(update));
        }
        if self.leaving {
            self.add_update(
                now,
                &update::ItemUpdate::Leaving(update::LeavingSubject::of_vm(&self.own)),
            );
        }
    }

    fn remove_expired_items(&mut self, now: time::Duration) {
        let table = &self.table;
        self.items.retain(|item| {
            // A leaving mark is kept past its expiry while that incarnation is present.
            !item.is_expired(now) || marks_present_member(table, item, now)
        });
    }
}

fn marks_present_member(
    table: &member::MemberTable,
    item: &item::Item,
    now: time::Duration,
) -> bool {
    let update = update::ItemUpdate::from_item(item, now);
    let Some(update::ItemUpdate::Leaving(update::LeavingSubject::Vm { name, incarnation })) =
        update
    else {
        return false;
    };
    table.named(&name).is_some_and(|record| {
        record.state().is_present() && record.claim.version.incarnation.id == incarnation
    })
}

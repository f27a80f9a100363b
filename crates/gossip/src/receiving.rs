//! Applies received and local updates, and forwards those that are new.

use std::time;

use wire::proto::gossip as proto;

use crate::{claim, core, event, item, member, spread, sync, update};
use event::CoreAction;
use proto::message::Kind;

impl<R: rand::Rng> core::MemberCore<R> {
    /// Suppresses forwarding of updates that a newly started VM learns from answers to its
    /// summaries: the answering VMs know them. Forwarding claims about 410 members would take half
    /// a minute.
    pub(crate) fn suppress_forwarding(&mut self, now: time::Duration, kind: &Kind) {
        let answer = matches!(kind, Kind::Push(push) if push.sync);
        self.forwarding_suppressed =
            answer && now.saturating_sub(self.started_at) < sync::CATCH_UP_PERIOD;
    }

    /// Queues an update for `copies` datagrams, unless forwarding is suppressed.
    pub(crate) fn forward(&mut self, key: spread::SpreadKey, urgent: bool, copies: u32) {
        if !self.forwarding_suppressed {
            self.queue.add(key, urgent, copies);
        }
    }

    /// Applies an item that this VM creates, with a version above the known one.
    pub(crate) fn add_update(&mut self, now: time::Duration, update: &update::ItemUpdate) {
        let (key, body, ttl) = (update.key(), update.body(), update.ttl());
        let known = self.items.get(&key);
        let same = known.is_some_and(|item| {
            let half = now.saturating_add(ttl / 2);
            item.body == body && item.expires_at.is_none_or(|expires_at| expires_at >= half)
        });
        if same {
            return;
        }
        let known_version = known.map(|item| item.version).unwrap_or_default();
        let item = item::Item {
            key,
            version: known_version.saturating_add(1),
            body,
            expires_at: Some(now.saturating_add(ttl)),
            added_at: now,
        };
        self.apply_item(now, item);
    }

    pub(crate) fn apply_claims(&mut self, now: time::Duration, claims: Vec<proto::MemberClaim>) {
        for received in claims
            .into_iter()
            .filter_map(claim::ReceivedClaim::from_wire)
        {
            if received.name == self.identity.name {
                self.apply_own_claim(now, &received);
            } else if let Some(claim) = self.complete_claim(received) {
                self.apply_claim(now, &claim);
            }
        }
    }

    /// Adds the omitted location; `None` when that incarnation is not known here.
    fn complete_claim(&self, received: claim::ReceivedClaim) -> Option<claim::MemberClaim> {
        let claim::ReceivedClaim {
            name,
            version,
            place,
        } = received;
        let known = || {
            let record = self.table.named(&name)?;
            let same_incarnation = record.claim.version.incarnation.id == version.incarnation.id;
            same_incarnation.then(|| record.claim.place.clone())
        };
        let place = place.or_else(known)?;
        Some(claim::MemberClaim {
            name,
            version,
            place,
        })
    }

    /// Applies a claim about a member; if it is new, forwards it and notifies the subscribers.
    pub(crate) fn apply_claim(&mut self, now: time::Duration, claim: &claim::MemberClaim) {
        let dead_at = now + self.timing.suspicion_timeout;
        if let member::MergeOutcome::Applied(key) = self.table.merge(claim, now, dead_at) {
            let copies = self.timing.urgent_copies;
            self.forward(spread::SpreadKey::Member(key), true, copies);
            self.roster.stale = true;
            self.digests.stale = true;
            self.actions
                .push(CoreAction::Notify(event::GossipEvent::Member(
                    claim.clone(),
                )));
        }
    }

    /// Refutes a claim of others about this VM, or reports a name conflict.
    fn apply_own_claim(&mut self, now: time::Duration, claim: &claim::ReceivedClaim) {
        let own = self.own.version;
        if claim.version <= own || own.state == claim::MemberState::Left {
            return;
        }
        let address = claim.place.as_ref().map(|place| place.address);
        let same_address = address == Some(self.own.place.address);
        if claim.version.incarnation.id == self.identity.incarnation {
            self.own.version.incarnation = own.incarnation.max(claim.version.incarnation);
            self.own.version.refutation = claim.version.refutation.saturating_add(1);
        } else if claim.version.state.is_present() && !same_address {
            // Two processes with one name, or an earlier incarnation at another address whose clock
            // was ahead. The latter does not answer and will be declared dead; then this one
            // supersedes it.
            metrics::counter!("pollenchute_gossip_name_conflicts_total").increment(1);
            let other = Some(claim.version.incarnation.id);
            if std::mem::replace(&mut self.conflict, other) != other {
                let conflict = event::GossipEvent::NameConflict(claim.clone());
                self.actions.push(CoreAction::Notify(conflict));
            }
            return;
        } else {
            // An earlier incarnation whose clock was ahead: it is not present, or it listened at
            // this address, as this one does now. In a region of one VM no other would detect its
            // end.
            self.own.version.incarnation.started_at_ms =
                claim.version.incarnation.started_at_ms.saturating_add(1);
        }
        self.announce_own(now);
    }

    /// Announces the claim about this VM after it changed.
    pub(crate) fn announce_own(&mut self, now: time::Duration) {
        let own = self.own.clone();
        self.forwarding_suppressed = false;
        self.apply_claim(now, &own);
    }

    pub(crate) fn apply_items(&mut self, now: time::Duration, items: Vec<proto::Item>) {
        for item in items
            .into_iter()
            .filter_map(|item| item::Item::from_wire(item, now))
        {
            self.apply_item(now, item);
        }
    }

    pub(crate) fn apply_item(&mut self, now: time::Duration, item: item::Item) {
        let (key, update) = (item.key.clone(), update::ItemUpdate::from_item(&item, now));
        let for_core = matches!(
            key.kind,
            item::ItemKind::Link | item::ItemKind::Configuration
        );
        if update.is_none() && !for_core {
            metrics::counter!("pollenchute_gossip_malformed_total").increment(1);
            return;
        }
        if !self.items.merge(item) {
            return;
        }
        let (urgent, timing) = (key.kind.is_urgent(), &self.timing);
        let copies = if urgent {
            timing.urgent_copies
        } else {
            timing.slow_copies
        };
        self.forward(spread::SpreadKey::Item(key.clone()), urgent, copies);
        match update {
            None if key.kind == item::ItemKind::Link => self.record_beacon(now, &key.subject),
            None => self.notify_state_known(&key),
            Some(update) => {
                self.digests.stale |= key.kind == item::ItemKind::Leaving;
                self.actions
                    .push(CoreAction::Notify(event::GossipEvent::Item(update)));
            }
        }
    }
}

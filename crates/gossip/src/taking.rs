//! How the core takes what it hears and what it makes itself, and passes on what is news.

use std::time;

use wire::proto::gossip as proto;

use crate::{claim, core, event, item, member, news, spread, sync};
use event::CoreAction;
use proto::message::Kind;

impl<R: rand::Rng> core::MemberCore<R> {
    /// Has nothing passed on that a fresh VM learns from an answer to its comparisons: those who
    /// answered knew it. Passing on word of 410 members would take it half a minute.
    pub(crate) fn mute(&mut self, now: time::Duration, kind: &Kind) {
        let answer = matches!(kind, Kind::Push(push) if push.sync);
        self.muted = answer && now.saturating_sub(self.began_at) < sync::CATCHING_UP;
    }

    /// Has `copies` datagrams carry what is news.
    pub(crate) fn pass_on(&mut self, key: spread::SpreadKey, urgent: bool, copies: u32) {
        if !self.muted {
            self.queue.add(key, urgent, copies);
        }
    }

    /// Takes an item that this VM makes itself, with a version above all that is known.
    pub(crate) fn add_news(&mut self, now: time::Duration, news: &news::NewsItem) {
        let (key, body, lasts) = (news.key(), news.body(), news.lasts());
        let known = self.items.get(&key);
        let same = known.is_some_and(|item| {
            let half = now.saturating_add(lasts / 2);
            item.body == body && item.expires_at.is_none_or(|expires_at| expires_at >= half)
        });
        if same {
            return;
        }
        let above = known.map(|item| item.version).unwrap_or_default();
        let item = item::Item {
            key,
            version: above.saturating_add(1),
            body,
            expires_at: Some(now.saturating_add(lasts)),
            taken_at: now,
        };
        self.take_item(now, item);
    }

    pub(crate) fn take_claims(&mut self, now: time::Duration, claims: Vec<proto::MemberClaim>) {
        for heard in claims.into_iter().filter_map(claim::HeardClaim::from_wire) {
            if heard.name == self.identity.name {
                self.take_own_claim(now, &heard);
            } else if let Some(claim) = self.complete(heard) {
                self.take_claim(now, &claim);
            }
        }
    }

    /// Adds the place that was left out; `None` when that life is not known here.
    fn complete(&self, heard: claim::HeardClaim) -> Option<claim::MemberClaim> {
        let claim::HeardClaim {
            name,
            version,
            place,
        } = heard;
        let known = || {
            let record = self.table.named(&name)?;
            let same_life = record.claim.version.life.incarnation == version.life.incarnation;
            same_life.then(|| record.claim.place.clone())
        };
        let place = place.or_else(known)?;
        Some(claim::MemberClaim {
            name,
            version,
            place,
        })
    }

    /// Takes a claim about another member, passes it on and tells it when it is news.
    pub(crate) fn take_claim(&mut self, now: time::Duration, claim: &claim::MemberClaim) {
        let dead_at = now + self.timing.suspicion;
        if let member::MergeOutcome::Taken(key) = self.table.merge(claim, now, dead_at) {
            let copies = self.timing.urgent_copies;
            self.pass_on(spread::SpreadKey::Member(key), true, copies);
            self.roster.stale = true;
            self.digests.stale = true;
            self.actions
                .push(CoreAction::Notify(event::GossipEvent::Member(
                    claim.clone(),
                )));
        }
    }

    /// Answers what others say of this VM.
    fn take_own_claim(&mut self, now: time::Duration, claim: &claim::HeardClaim) {
        let own = self.own.version;
        if claim.version <= own || own.state == claim::MemberState::Left {
            return;
        }
        let address = claim.place.as_ref().map(|place| place.address);
        let here = address == Some(self.own.place.address);
        if claim.version.life.incarnation == self.identity.incarnation {
            self.own.version.life = own.life.max(claim.version.life);
            self.own.version.refutation = claim.version.refutation.saturating_add(1);
        } else if claim.version.state.is_present() && !here {
            // Two processes with one name, or an earlier life elsewhere whose clock was ahead. The
            // earlier life does not answer and will be found dead; then this one goes beyond it.
            metrics::counter!("pollenchute_gossip_name_conflicts_total").increment(1);
            let other = Some(claim.version.life.incarnation);
            if std::mem::replace(&mut self.conflict, other) != other {
                let conflict = event::GossipEvent::NameConflict(claim.clone());
                self.actions.push(CoreAction::Notify(conflict));
            }
            return;
        } else {
            // An earlier life whose clock was ahead: it is gone, or it listened at this address,
            // where this life does now. In a region of one VM nobody else would ever find out.
            self.own.version.life.birth_ms = claim.version.life.birth_ms.saturating_add(1);
        }
        self.tell_own(now);
    }

    /// Passes the own claim on after it changed.
    pub(crate) fn tell_own(&mut self, now: time::Duration) {
        let own = self.own.clone();
        self.muted = false;
        self.take_claim(now, &own);
    }

    pub(crate) fn take_items(&mut self, now: time::Duration, items: Vec<proto::Item>) {
        for item in items
            .into_iter()
            .filter_map(|item| item::Item::from_wire(item, now))
        {
            self.take_item(now, item);
        }
    }

    pub(crate) fn take_item(&mut self, now: time::Duration, item: item::Item) {
        let (key, news) = (item.key.clone(), news::NewsItem::from_item(&item, now));
        let for_core = matches!(
            key.kind,
            item::ItemKind::Link | item::ItemKind::Configuration
        );
        if news.is_none() && !for_core {
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
        self.pass_on(spread::SpreadKey::Item(key.clone()), urgent, copies);
        match news {
            None if key.kind == item::ItemKind::Link => self.take_beacon(now, &key.subject),
            None => self.take_state(&key),
            Some(news) => {
                self.digests.stale |= key.kind == item::ItemKind::Leaving;
                self.actions
                    .push(CoreAction::Notify(event::GossipEvent::News(news)));
            }
        }
    }
}

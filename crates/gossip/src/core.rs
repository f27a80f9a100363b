//! The decisions of membership, without I/O, clock or random source of their own.

use std::{collections, net, time};

use base::id;
use prost::Message as _;
use wire::{identity, proto::gossip as proto};

use crate::{
    claim, event, item, linking, list, loads, member, news, probe, roster, settings, spread,
};
use event::CoreAction;
use proto::message::Kind;

/// Greetings in answer to strangers in one tick at the most.
const MAX_GREETINGS: u32 = 8;

/// A tick that comes this many ticks late means that this process was paused.
const PAUSE_TICKS: u32 = 10;

/// What one VM knows of all others, and what it does next.
///
/// `now` is the time since any fixed moment on this VM's monotonic clock; it never goes back.
#[derive(Debug)]
pub struct MemberCore<R> {
    pub(crate) timing: settings::TimingSettings,
    /// The own identity; constant.
    pub(crate) identity: identity::ProcessIdentity,
    /// The own claim; also in `table`, always equal there.
    pub(crate) own: claim::MemberClaim,
    pub(crate) rng: R,
    pub(crate) table: member::MemberTable,
    pub(crate) items: item::ItemStore,
    pub(crate) queue: spread::SpreadQueue,
    pub(crate) schedule: probe::ProbeSchedule,
    pub(crate) seeds: collections::BTreeMap<String, claim::MemberPlace>,
    pub(crate) roster: roster::RosterCache,
    pub(crate) list: list::VmListReport,
    pub(crate) links: linking::LinkState,
    pub(crate) digests: loads::DigestState,
    /// What is to be done; handed out at the end of each call.
    pub(crate) actions: Vec<CoreAction>,
    pub(crate) dues: DueTimes,
    /// Whether this life takes no new work; never unset.
    pub(crate) leaving: bool,
    /// Configuration in force here, as last published.
    pub(crate) configuration: Option<news::ConfigurationNews>,
    /// The other life that claimed the own name last; told once.
    conflict: Option<id::Incarnation>,
    /// Greetings that strangers may still cause before the next tick.
    pub(crate) greetings_left: u32,
    /// Rounds of greetings since somebody of the region was known.
    pub(crate) lonely_rounds: u32,
    last_tick: time::Duration,
    /// When this core began.
    pub(crate) began_at: time::Duration,
}

/// When each recurring duty is due next.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DueTimes {
    pub probe: time::Duration,
    pub slow_round: time::Duration,
    pub sync: time::Duration,
    pub greeting: time::Duration,
    pub keeping: time::Duration,
    pub plan: time::Duration,
}

impl<R: rand::Rng> MemberCore<R> {
    /// A core that knows itself and the seeds.
    pub fn new(
        own: settings::OwnSettings,
        timing: settings::TimingSettings,
        seeds: Vec<settings::SeedEntry>,
        rng: R,
        now: time::Duration,
    ) -> Self {
        let claim = claim::MemberClaim {
            name: own.identity.name.clone(),
            version: claim::ClaimVersion {
                life: claim::LifeStamp {
                    birth_ms: own.birth_ms,
                    incarnation: own.identity.incarnation,
                },
                refutation: 0,
                state: claim::MemberState::Alive,
            },
            place: own.place,
        };
        let mut table = member::MemberTable::default();
        table.merge(&claim, now, now);
        let mut core = Self {
            dues: DueTimes {
                probe: now,
                slow_round: now,
                sync: now + timing.sync_interval,
                greeting: now,
                keeping: now,
                plan: now,
            },
            digests: loads::DigestState::new(timing.digest_bytes_per_second, timing.watching, now),
            timing,
            identity: own.identity,
            own: claim,
            rng,
            table,
            items: item::ItemStore::default(),
            queue: spread::SpreadQueue::default(),
            schedule: probe::ProbeSchedule::default(),
            seeds: collections::BTreeMap::new(),
            roster: roster::RosterCache::default(),
            list: list::VmListReport::default(),
            links: linking::LinkState::default(),
            actions: Vec::new(),
            leaving: false,
            configuration: None,
            conflict: None,
            greetings_left: MAX_GREETINGS,
            lonely_rounds: 0,
            last_tick: now,
            began_at: now,
        };
        core.set_seeds(seeds);
        core
    }

    /// Replaces the entry VMs of the inventory.
    pub fn set_seeds(&mut self, seeds: Vec<settings::SeedEntry>) {
        let own = &self.identity.name;
        let others = seeds.into_iter().filter(|seed| seed.name != *own);
        self.seeds = others.map(|seed| (seed.name, seed.place)).collect();
        self.roster.stale = true;
    }

    /// All members that are known, the own VM among them.
    #[must_use]
    pub const fn members(&self) -> &member::MemberTable {
        &self.table
    }

    /// All items that are known.
    #[must_use]
    pub const fn items(&self) -> &item::ItemStore {
        &self.items
    }

    /// Takes a datagram that passed every check of crate `wire`.
    pub fn on_datagram(
        &mut self,
        now: time::Duration,
        from: net::SocketAddr,
        sender: &identity::ProcessIdentity,
        bound: bool,
        payload: &[u8],
    ) -> Vec<CoreAction> {
        let message = proto::Message::decode(payload).unwrap_or_default();
        match message.kind {
            None => metrics::counter!("pollenchute_gossip_malformed_total").increment(1),
            // Whoever has recorded a greeting may send it again to anybody, at any time. So nothing
            // in it is believed; it only causes one answer, which only the asking life can open.
            Some(Kind::Hello(_)) if !bound => self.answer_greeting(from, sender),
            Some(_) if !bound => {
                metrics::counter!("pollenchute_gossip_unbound_total").increment(1);
            }
            Some(kind) => {
                self.take_claims(now, message.claims);
                self.take_items(now, message.items);
                self.take_digests(now, sender, message.digests);
                self.take_in_force(&message.in_force);
                self.note_heard(now, &sender.name);
                self.take_kind(now, from, sender, kind);
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Does what is due; call it every [`settings::TimingSettings::tick`].
    pub fn on_tick(&mut self, now: time::Duration) -> Vec<CoreAction> {
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if gap > self.timing.tick * PAUSE_TICKS {
            self.resume(now, gap);
        }
        self.greetings_left = MAX_GREETINGS;
        if self.own.version.state != claim::MemberState::Left {
            self.expire_suspicions(now);
            self.probe_round(now);
            self.greet_round(now);
            self.sync_round(now);
            self.link_round(now);
            self.plan_round(now);
            self.digest_round(now);
            self.keeping_round(now);
        }
        self.spread_round(now);
        std::mem::take(&mut self.actions)
    }

    /// Publishes an item; one that says the same and still lasts is left alone.
    pub fn publish(&mut self, now: time::Duration, news: &news::NewsItem) -> Vec<CoreAction> {
        match news {
            news::NewsItem::Configuration(news) if news.vm != self.identity.name => {}
            news::NewsItem::Configuration(news) => {
                self.configuration = Some(news.clone());
                self.publish_state(now, news);
            }
            news => self.add_news(now, news),
        }
        std::mem::take(&mut self.actions)
    }

    /// Marks this life of this VM as leaving: it takes no new work, but stays a member.
    pub fn leave(&mut self, now: time::Duration) -> Vec<CoreAction> {
        self.leaving = true;
        let subject = news::LeavingSubject::of_vm(&self.own);
        self.publish(now, &news::NewsItem::Leaving(subject))
    }

    /// Says goodbye; the ticks that follow spread it and do nothing else.
    pub fn depart(&mut self, now: time::Duration) -> Vec<CoreAction> {
        self.own.version.refutation += 1;
        self.own.version.state = claim::MemberState::Left;
        self.tell_own(now);
        std::mem::take(&mut self.actions)
    }

    /// Whether somebody of that name is there.
    pub(crate) fn is_present(&self, name: &str) -> bool {
        self.table
            .named(name)
            .is_some_and(|record| record.state().is_present())
    }

    /// Whether the life that the claim speaks of is marked as leaving.
    pub(crate) fn is_leaving(&self, claim: &claim::MemberClaim) -> bool {
        let subject = news::LeavingSubject::of_vm(claim);
        self.items
            .get(&news::NewsItem::Leaving(subject).key())
            .is_some()
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

    fn take_kind(
        &mut self,
        now: time::Duration,
        from: net::SocketAddr,
        sender: &identity::ProcessIdentity,
        kind: Kind,
    ) {
        match kind {
            Kind::Ping(ping) => {
                let ack = Kind::Ack(proto::Ack {
                    number: ping.number,
                });
                self.send(now, from, sender, ack);
            }
            Kind::Ack(ack) => self.take_ack(now, ack.number),
            Kind::PingRequest(request) => self.relay_probe(now, from, sender, &request),
            Kind::Hello(_) => self.answer_greeting(from, sender),
            Kind::HelloAnswer(_) => {
                self.introduce(now, from, sender);
                return;
            }
            Kind::SyncSummary(summary) => self.take_summary(now, from, sender, &summary),
            Kind::Push(push) => self.take_push(now, push),
        }
        self.meet(from, sender);
    }

    fn take_claims(&mut self, now: time::Duration, claims: Vec<proto::MemberClaim>) {
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
            self.queue.add(
                spread::SpreadKey::Member(key),
                true,
                self.timing.urgent_copies,
            );
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
    fn tell_own(&mut self, now: time::Duration) {
        let own = self.own.clone();
        self.take_claim(now, &own);
    }

    fn take_items(&mut self, now: time::Duration, items: Vec<proto::Item>) {
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
        self.queue
            .add(spread::SpreadKey::Item(key.clone()), urgent, copies);
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

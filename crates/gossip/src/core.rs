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
    pub(crate) conflict: Option<id::Incarnation>,
    /// Greetings that strangers may still cause before the next tick.
    pub(crate) greetings_left: u32,
    /// Rounds of greetings since somebody of the region was known.
    pub(crate) lonely_rounds: u32,
    last_tick: time::Duration,
    /// Whether what is learnt now is old news that need not be passed on.
    pub(crate) muted: bool,
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
            muted: false,
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
                self.mute(now, &kind);
                self.take_claims(now, message.claims);
                self.take_items(now, message.items);
                self.take_digests(now, sender, message.digests);
                self.take_in_force(&message.in_force);
                self.muted = false;
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

    /// Whether the sender is the life that holds its name here.
    pub(crate) fn is_newest_life(&self, sender: &identity::ProcessIdentity) -> bool {
        self.table
            .named(&sender.name)
            .is_some_and(|record| record.claim.version.life.incarnation == sender.incarnation)
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
                // An earlier life, or another process of that name, would be met for ever.
                if self.is_newest_life(sender) {
                    self.introduce(now, from, sender);
                }
                return;
            }
            Kind::SyncSummary(summary) => self.take_summary(now, from, sender, &summary),
            Kind::Push(push) => self.take_push(now, push),
        }
        self.meet(from, sender);
    }
}

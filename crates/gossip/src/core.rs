//! The membership state machine, without I/O, clock or random source of its own.

use std::{collections, net, time};

use base::id;
use prost::Message as _;
use wire::{identity, proto::gossip as proto};

use crate::{
    claim, digest_state, event, item, linking, list, member, probe, roster, settings, spread,
    update,
};
use event::CoreAction;
use proto::message::Kind;

/// Maximum number of `Hello` messages sent to unknown senders in one tick.
const MAX_HELLOS_PER_TICK: u32 = 8;

/// A tick delayed by this many tick intervals means that this process was paused.
const PAUSE_TICKS: u32 = 10;

/// One VM's view of all members, and the actions it takes next.
///
/// `now` is the time since a fixed moment on this VM's monotonic clock; it never decreases.
#[derive(Debug)]
pub struct MemberCore<R> {
    pub(crate) timing: settings::TimingSettings,
    /// Identity of this process; constant.
    pub(crate) identity: identity::ProcessIdentity,
    /// Claim about this VM; `table` always holds an equal copy.
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
    pub(crate) digests: digest_state::DigestState,
    /// Actions to be performed; returned at the end of each call.
    pub(crate) actions: Vec<CoreAction>,
    pub(crate) due_times: DueTimes,
    /// Whether this incarnation accepts no new work; never unset.
    pub(crate) leaving: bool,
    /// Configuration in force on this VM, as last published.
    pub(crate) configuration: Option<update::ConfigurationUpdate>,
    /// The other incarnation that last claimed this VM's name; reported once.
    pub(crate) conflict: Option<id::Incarnation>,
    /// `Hello` messages that may still be sent to unknown senders before the next tick.
    pub(crate) hellos_left: u32,
    /// Rounds of `Hello` messages sent since a member of the region was last known.
    pub(crate) isolated_rounds: u32,
    last_tick: time::Duration,
    /// Whether updates received now are already known elsewhere and are not forwarded.
    pub(crate) forwarding_suppressed: bool,
    /// When this core was created.
    pub(crate) started_at: time::Duration,
}

/// When each periodic task is due next.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DueTimes {
    pub probe: time::Duration,
    pub slow_round: time::Duration,
    pub sync: time::Duration,
    pub hello: time::Duration,
    pub maintenance: time::Duration,
    pub plan: time::Duration,
}

impl<R: rand::Rng> MemberCore<R> {
    /// Creates a core that knows only this VM and the seeds.
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
                incarnation: claim::MemberIncarnation {
                    started_at_ms: own.started_at_ms,
                    id: own.identity.incarnation,
                },
                refutation: 0,
                state: claim::MemberState::Alive,
            },
            place: own.place,
        };
        let mut table = member::MemberTable::default();
        table.merge(&claim, now, now);
        let mut core = Self {
            due_times: DueTimes {
                probe: now,
                slow_round: now,
                sync: now + timing.sync_interval,
                hello: now,
                maintenance: now,
                plan: now,
            },
            digests: digest_state::DigestState::new(
                timing.digest_bytes_per_second,
                timing.watching,
                now,
            ),
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
            hellos_left: MAX_HELLOS_PER_TICK,
            isolated_rounds: 0,
            last_tick: now,
            forwarding_suppressed: false,
            started_at: now,
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

    /// All known members, including this VM.
    #[must_use]
    pub const fn members(&self) -> &member::MemberTable {
        &self.table
    }

    /// All known items.
    #[must_use]
    pub const fn items(&self) -> &item::ItemStore {
        &self.items
    }

    /// Handles a datagram that passed every check of crate `wire`.
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
            // A recorded `Hello` can be replayed to any VM at any time. So its content is ignored;
            // it causes only one answer, which only the requesting incarnation can open.
            Some(Kind::Hello(_)) if !bound => self.answer_hello(from, sender),
            Some(_) if !bound => {
                metrics::counter!("pollenchute_gossip_unbound_total").increment(1);
            }
            Some(kind) => {
                self.suppress_forwarding(now, &kind);
                self.apply_claims(now, message.claims);
                self.apply_items(now, message.items);
                self.apply_digests(now, sender, message.digests);
                self.apply_in_force(&message.in_force);
                self.forwarding_suppressed = false;
                self.record_received(now, &sender.name);
                self.handle_kind(now, from, sender, kind);
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Runs the tasks that are due; call it every [`settings::TimingSettings::tick`].
    pub fn on_tick(&mut self, now: time::Duration) -> Vec<CoreAction> {
        let pause = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if pause > self.timing.tick * PAUSE_TICKS {
            self.resume(now, pause);
        }
        self.hellos_left = MAX_HELLOS_PER_TICK;
        if self.own.version.state != claim::MemberState::Left {
            self.expire_suspicions(now);
            self.probe_round(now);
            self.hello_round(now);
            self.sync_round(now);
            self.link_round(now);
            self.plan_round(now);
            self.digest_round(now);
            self.maintenance_round(now);
        }
        self.spread_round(now);
        std::mem::take(&mut self.actions)
    }

    /// Publishes an item; does nothing when an equal one has at least half of its lifetime left.
    pub fn publish(&mut self, now: time::Duration, update: &update::ItemUpdate) -> Vec<CoreAction> {
        match update {
            update::ItemUpdate::Configuration(update) if update.vm != self.identity.name => {}
            update::ItemUpdate::Configuration(update) => {
                self.configuration = Some(update.clone());
                self.publish_state(now, update);
            }
            update => self.add_update(now, update),
        }
        std::mem::take(&mut self.actions)
    }

    /// Marks this incarnation of the VM as leaving: it accepts no new work, but stays a member.
    pub fn leave(&mut self, now: time::Duration) -> Vec<CoreAction> {
        self.leaving = true;
        let subject = update::LeavingSubject::of_vm(&self.own);
        self.publish(now, &update::ItemUpdate::Leaving(subject))
    }

    /// Announces the departure of this VM; the ticks that follow only disseminate it.
    pub fn depart(&mut self, now: time::Duration) -> Vec<CoreAction> {
        self.own.version.refutation += 1;
        self.own.version.state = claim::MemberState::Left;
        self.announce_own(now);
        std::mem::take(&mut self.actions)
    }

    /// Whether the sender is the incarnation known here under its name.
    pub(crate) fn is_known_incarnation(&self, sender: &identity::ProcessIdentity) -> bool {
        self.table
            .named(&sender.name)
            .is_some_and(|record| record.claim.version.incarnation.id == sender.incarnation)
    }

    /// Whether a member of that name is present.
    pub(crate) fn is_present(&self, name: &str) -> bool {
        self.table
            .named(name)
            .is_some_and(|record| record.state().is_present())
    }

    /// Whether the incarnation that the claim is about is marked as leaving.
    pub(crate) fn is_leaving(&self, claim: &claim::MemberClaim) -> bool {
        let subject = update::LeavingSubject::of_vm(claim);
        self.items
            .get(&update::ItemUpdate::Leaving(subject).key())
            .is_some()
    }

    fn handle_kind(
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
            Kind::Ack(ack) => self.handle_ack(now, ack.number),
            Kind::PingRequest(request) => self.relay_probe(now, from, sender, &request),
            Kind::Hello(_) => self.answer_hello(from, sender),
            Kind::HelloAnswer(_) => {
                // An earlier incarnation or another process of that name would be contacted
                // forever.
                if self.is_known_incarnation(sender) {
                    self.start_sync(now, from, sender);
                }
                return;
            }
            Kind::SyncSummary(summary) => self.handle_summary(now, from, sender, &summary),
            Kind::Push(push) => self.handle_push(now, push),
        }
        self.contact_unknown(from, sender);
    }
}

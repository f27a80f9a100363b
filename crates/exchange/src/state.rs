//! All that one entry VM believes and has under way.

use std::{collections, net, rc};

use bytes::Bytes;
use carry::transfer;
use rand::rngs;
use tokio::time;

use crate::{
    ask, budget, catalog, comeback, delta, directory, evacuation, fleet, forecast, message,
    notices, peers, place, relocate, room, runs, suspect, system, update, wait,
};

/// What the plane is told at its start.
#[derive(Clone, Debug)]
pub struct PlaneSettings {
    /// Name of this VM.
    pub name: String,
    /// Failure domain of this VM.
    pub domain: String,
    /// Where callers reach it.
    pub entry_address: net::SocketAddr,
    /// Where other VMs reach it.
    pub link_address: net::SocketAddr,
    /// Where other VMs may be, at the start.
    pub seeds: Vec<net::SocketAddr>,
    /// Wall clock at the start, in milliseconds; a later process of this VM has a greater one.
    pub incarnation: u64,
    /// Bound on further tries, over all VMs.
    pub retries: budget::BudgetRule,
    /// Whether engines are asked to keep copies of running generations.
    pub backups: bool,
    /// Whether generations are moved off leaving engines.
    pub moves: bool,
}

/// All that one entry VM believes and has under way.
#[derive(Debug)]
pub struct PlaneState {
    /// As told at the start.
    pub settings: PlaneSettings,
    /// Configuration in force; its version never falls.
    pub catalog: Option<rc::Rc<catalog::RouteCatalog>>,
    /// The document that `catalog` was read from, for other VMs.
    pub document: rc::Rc<delta::ChunkedDocument>,
    /// Whether the last delta of a document gave none: the next one is asked for whole.
    pub delta_failed: bool,
    /// Servers and tries.
    pub fleet: fleet::ServerFleet,
    /// Which system this VM belongs to.
    pub system: system::SystemBelief,
    /// Other VMs, all of the same system.
    pub peers: peers::PeerTable,
    /// Requests that crash servers.
    pub suspects: suspect::SuspectTable,
    /// Callers that are expected to come back.
    pub comebacks: comeback::ComebackTable,
    /// News that the other VMs have not been told yet.
    pub untold: Vec<update::ServerUpdate>,
    /// Servers that leave, to be repeated to the other VMs.
    pub notices: notices::LeavingNotices,
    /// News that this VM was asked to tell on.
    pub told_on: Vec<message::UpdateItem>,
    /// Of the newest datagram; grows with each.
    pub sequence: u64,
    /// What this VM does.
    pub stage: message::VmStage,
    /// Since when it stops.
    pub stopping_since: Option<time::Instant>,
    /// When the store last answered again after it had not.
    pub store_back_at: Option<time::Instant>,
    /// Whether the store's last answer was none.
    pub store_away: bool,
    /// Whether the list of servers was known to its end once: read from the store, or told by a VM
    /// for which that holds.
    pub servers_whole: bool,
    /// When other failure domains than before came to be evacuated.
    pub evacuated_at: Option<time::Instant>,
    /// Since when a VM that is heard has a newer configuration.
    pub behind_since: Option<time::Instant>,
    /// When a VM was last asked while one that is heard had a newer configuration.
    pub peers_asked_at: Option<time::Instant>,
    /// What comes of a configuration from the store. While it moves, no VM is asked for one: over a slow
    /// link each would take twice as long.
    pub from_store: transfer::TransferMeter,
    /// What comes of state from another VM. While it moves, the store is not asked for a configuration.
    pub from_peers: transfer::TransferMeter,
    /// Since when most VMs that are heard know other news of servers than this one.
    pub differs_since: Option<time::Instant>,
    queues: collections::HashMap<String, wait::WaitQueue>,
    trends: collections::HashMap<String, room::RoomTrend>,
    budgets: collections::HashMap<String, budget::RetryBudget>,
    rng: rngs::StdRng,
}

impl PlaneState {
    /// A VM that knows nothing yet.
    #[must_use]
    pub fn new(settings: PlaneSettings, rng: rngs::StdRng) -> Self {
        let mut peers = peers::PeerTable::new(&settings.domain);
        for &seed in &settings.seeds {
            if seed != settings.link_address {
                peers.add_address(seed);
            }
        }
        Self {
            settings,
            catalog: None,
            document: rc::Rc::default(),
            delta_failed: false,
            fleet: fleet::ServerFleet::default(),
            system: system::SystemBelief::default(),
            peers,
            suspects: suspect::SuspectTable::default(),
            comebacks: comeback::ComebackTable::default(),
            untold: Vec::new(),
            notices: notices::LeavingNotices::default(),
            told_on: Vec::new(),
            sequence: 0,
            stage: message::VmStage::Starting,
            stopping_since: None,
            store_back_at: None,
            store_away: false,
            servers_whole: false,
            evacuated_at: None,
            behind_since: None,
            peers_asked_at: None,
            from_store: transfer::TransferMeter::default(),
            from_peers: transfer::TransferMeter::default(),
            differs_since: None,
            queues: collections::HashMap::new(),
            trends: collections::HashMap::new(),
            budgets: collections::HashMap::new(),
            rng,
        }
    }

    /// Takes a configuration if it is newer than the one in force. Says whether it was.
    pub fn take_catalog(&mut self, catalog: catalog::RouteCatalog, document: Bytes) -> bool {
        if self
            .catalog
            .as_ref()
            .is_some_and(|known| known.version >= catalog.version)
        {
            return false;
        }
        self.catalog = Some(rc::Rc::new(catalog));
        self.document = rc::Rc::new(document.into());
        self.delta_failed = false;
        if self.stage == message::VmStage::Starting {
            self.stage = message::VmStage::Serving;
        }
        true
    }

    /// Takes evacuations as of a later position; says whether other domains are evacuated then.
    pub fn take_evacuations(
        &mut self,
        evacuations: evacuation::EvacuationSet,
        now: time::Instant,
    ) -> bool {
        let changed = self.fleet.take_evacuations(evacuations);
        if changed {
            self.evacuated_at = Some(now);
        }
        changed
    }

    /// Version of the configuration in force; 0: none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.catalog.as_ref().map_or(0, |catalog| catalog.version)
    }

    /// Takes news of a server from the store or from another VM.
    pub fn take_news(
        &mut self,
        news: update::ServerUpdate,
        from_store: bool,
        now: time::Instant,
    ) -> fleet::FleetChange {
        let spared = self.spared();
        let change = self.fleet.take_news(&news, spared, now);
        if let fleet::FleetChange::Leaves(key) = change
            && let Some(record) = self.fleet.server(key)
        {
            let notice = message::NoticeItem {
                server: record.incarnation_hash(),
                offset: news.offset,
                removed: news.entry.is_none(),
            };
            self.notices.add(notice, now);
        }
        if from_store && change != fleet::FleetChange::Nothing {
            self.untold.push(news);
        }
        change
    }

    /// Until when an entry that lapses now counts as alive; absent unless the store was away.
    #[must_use]
    pub fn spared(&self) -> Option<time::Instant> {
        self.store_back_at.map(|at| at + fleet::LAPSE_GRACE)
    }

    /// The store answered, or did not. Says whether that changed.
    pub fn note_store(&mut self, answered: bool, now: time::Instant) -> bool {
        if answered != self.store_away {
            return false;
        }
        self.store_away = !answered;
        if answered {
            self.store_back_at = Some(now);
        }
        true
    }

    /// Whether this VM reads the store for all: one of a few among those that the store answers.
    #[must_use]
    pub fn reads_store(&self, now: time::Instant) -> bool {
        let rank = |name: &str| xxhash_rust::xxh3::xxh3_64(name.as_bytes());
        let own = rank(&self.settings.name);
        // VMs that the store turns away look among themselves too: else none would see it return.
        let ahead = self
            .peers
            .all()
            .filter(|(_, peer)| peer.is_alive(now) && peer.store_away == self.store_away)
            .filter(|(name, _)| rank(name) < own)
            .count();
        ahead
            < if self.store_away {
                AWAY_READERS
            } else {
                READERS
            }
    }

    /// The rule of a service, if it is configured.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&catalog::ServiceRule> {
        self.catalog.as_ref()?.services.get(name)
    }

    /// The queue of a service.
    pub fn queue(&mut self, service: &str) -> &mut wait::WaitQueue {
        of_service(&mut self.queues, service)
    }

    /// What the rank of a request that comes now follows from.
    #[must_use]
    pub fn claim(&self, ask: &ask::ExchangeAsk, now: time::Instant) -> wait::WaitClaim {
        let first = wait::WaitClaim {
            step: wait::cost_step(ask.priority, ask.size.as_ref()),
            on_time_until: Some(ask.arrived + wait::time_to_start(ask.aim)),
        };
        self.comebacks.claim(ask.fingerprint, first, now)
    }

    /// Memory planned for generations that wait here, for each service for which some do.
    #[must_use]
    pub fn waiting(&self, now: time::Instant) -> Vec<message::WaitingItem> {
        let items = self.queues.iter().map(|(service, queue)| {
            let tokens = queue.waiting_tokens(now);
            let used = tokens.iter().rposition(|&tokens| tokens > 0);
            message::WaitingItem {
                service: service_hash(service),
                tokens: tokens[..used.map_or(0, |last| last + 1)].to_vec(),
            }
        });
        items.filter(|item| !item.tokens.is_empty()).collect()
    }

    /// Services for which something waits.
    #[must_use]
    pub fn waiting_services(&self) -> Vec<String> {
        self.queues
            .iter()
            .filter(|(_, queue)| !queue.is_empty())
            .map(|(service, _)| service.clone())
            .collect()
    }

    /// Notes how much room the engines of each service have, now and then.
    pub fn note_room(&mut self, now: time::Instant) {
        let Some(catalog) = self.catalog.clone() else {
            return;
        };
        for (service, rule) in &catalog.services {
            let Some(engine) = &rule.engine else { continue };
            if !of_service(&mut self.trends, service).is_due(now) {
                continue;
            }
            let loads = self.fleet.loads(service, now);
            let room = room::MemoryRoom::measure(&self.fleet, service, engine, &loads, now);
            of_service(&mut self.trends, service).note(room, now);
        }
    }

    /// What a generation of this rank needs of its engines' memory; absent for calls.
    fn need(
        &self,
        ask: &ask::ExchangeAsk,
        rank: wait::WaitRank,
        now: time::Instant,
    ) -> Option<room::RoomNeed> {
        let size = ask.size.as_ref()?;
        let service = service_hash(&ask.service);
        Some(room::RoomNeed {
            tokens: forecast::planned_tokens(size) as f64,
            yielded: self.peers.waiting_before(service, rank, now) as f64,
            kept_part: rank.kept_part(),
        })
    }

    /// Whether a generation of this rank will hardly find room before its caller leaves.
    #[must_use]
    pub fn is_hopeless(
        &self,
        ask: &ask::ExchangeAsk,
        rank: wait::WaitRank,
        now: time::Instant,
    ) -> bool {
        let need = self.need(ask, rank, now);
        let trend = self.trends.get(&ask.service);
        need.zip(trend)
            .is_some_and(|(need, trend)| trend.is_hopeless(&need, now))
    }

    /// For how long there has been no room for a generation of this rank.
    #[must_use]
    pub fn closed_for(
        &self,
        ask: &ask::ExchangeAsk,
        rank: wait::WaitRank,
        now: time::Instant,
    ) -> time::Duration {
        let need = self.need(ask, rank, now);
        let trend = self.trends.get(&ask.service);
        need.zip(trend)
            .map_or(time::Duration::ZERO, |(need, trend)| {
                trend.closed_for(&need, now)
            })
    }

    /// Chooses a server for a request and counts it there.
    pub fn place(
        &mut self,
        ask: &ask::ExchangeAsk,
        avoid: &[fleet::ServerKey],
        rank: wait::WaitRank,
        now: time::Instant,
    ) -> Result<(fleet::RunKey, fleet::ServerKey), place::PlaceOutcome> {
        let entries = self.peers.alive_count(now);
        let yielded_tokens = self
            .peers
            .waiting_before(service_hash(&ask.service), rank, now);
        let rule = self
            .catalog
            .as_ref()
            .and_then(|catalog| catalog.services.get(&ask.service));
        let wanted = place::PlaceAsk {
            service: &ask.service,
            size: ask.size.as_ref(),
            avoid,
            domain: &self.settings.domain,
            entries,
            yielded_tokens,
            kept_part: rank.kept_part(),
        };
        let outcome = place::choose(&self.fleet, rule, &wanted, now, &mut self.rng);
        let place::PlaceOutcome::Server(server) = outcome else {
            return Err(outcome);
        };
        let engine = rule.and_then(|rule| rule.engine);
        let backup = engine.and_then(|engine| self.backup_for(ask, server, &engine, now));
        let run = self.fleet.start(runs::RunRecord {
            server,
            backup,
            moving_to: None,
            move_after: None,
            size: ask.size.clone(),
            produced: 0,
            started: now,
            first_at: None,
        });
        self.queue(&ask.service).started(now);
        Ok((run, server))
    }

    /// Where a copy of a generation is kept while it runs; absent where that is not worth its
    /// memory.
    pub fn backup_for(
        &mut self,
        ask: &ask::ExchangeAsk,
        server: fleet::ServerKey,
        engine: &catalog::EngineRule,
        now: time::Instant,
    ) -> Option<fleet::ServerKey> {
        let size = ask.size.as_ref()?;
        if !self.settings.backups || !engine.backups {
            return None;
        }
        let output = forecast::expected_output(size, 0);
        if output < BACKUP_OUTPUT {
            return None;
        }
        let wanted = place::CopyAsk {
            source: server,
            tokens: forecast::planned_tokens(size),
            beforehand: true,
            service: &ask.service,
        };
        place::choose_copy(&self.fleet, engine, &wanted, now, &mut self.rng)
    }

    /// Orders for runs on servers that leave.
    pub fn relocations(
        &mut self,
        now: time::Instant,
    ) -> Vec<(fleet::RunKey, relocate::RelocationOrder)> {
        let Some(catalog) = self.catalog.clone() else {
            return Vec::new();
        };
        let mut orders = Vec::new();
        if !self.settings.moves {
            return orders;
        }
        for (service, rule) in &catalog.services {
            if let Some(engine) = &rule.engine {
                let fleet = &mut self.fleet;
                orders.extend(relocate::plan(fleet, service, engine, now, &mut self.rng));
            }
        }
        orders
    }

    /// A request of a service came.
    pub fn count_first(&mut self, service: &str, now: time::Instant) {
        let rule = self.settings.retries;
        self.budget(service).count_first(&rule, now);
    }

    /// Takes one further try of a service, if this VM has one left.
    pub fn take_retry(&mut self, service: &str, now: time::Instant) -> bool {
        let rule = self.settings.retries;
        let entries = self.peers.limit_share_count(now);
        self.budget(service).take(&rule, entries, now)
    }

    /// Counts a further try that is made whatever is left.
    pub fn force_retry(&mut self, service: &str, now: time::Instant) {
        let rule = self.settings.retries;
        self.budget(service).force(&rule, now);
    }

    /// Further tries of a service that this VM has left.
    pub fn retries_left(&mut self, service: &str, now: time::Instant) -> f64 {
        let rule = self.settings.retries;
        let entries = self.peers.limit_share_count(now);
        self.budget(service).left(&rule, entries, now)
    }

    fn budget(&mut self, service: &str) -> &mut budget::RetryBudget {
        of_service(&mut self.budgets, service)
    }

    /// A random number from 0 to 1.
    pub fn draw(&mut self) -> f64 {
        rand::RngExt::random(&mut self.rng)
    }

    /// A number for a system that has none yet.
    pub fn draw_system(&mut self) -> system::SystemId {
        loop {
            let number = rand::RngExt::random(&mut self.rng);
            if let Some(id) = system::SystemId::from_number(number) {
                return id;
            }
        }
    }

    /// Hash of this VM's name and incarnation, by which other VMs know it.
    #[must_use]
    pub fn sender(&self) -> u64 {
        let name = self.settings.name.as_bytes();
        xxhash_rust::xxh3::xxh3_64_with_seed(name, self.settings.incarnation)
    }

    /// Number of the next datagram.
    pub const fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// This VM, as callers are told of it.
    #[must_use]
    pub fn own_entry(&self) -> directory::OwnEntry {
        directory::OwnEntry {
            domain: self.settings.domain.clone(),
            stage: self.stage,
            address: self.settings.entry_address,
        }
    }
}

/// Hash by which VMs name a service to each other.
#[must_use]
pub fn service_hash(service: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(service.as_bytes()) as u32
}

/// What is kept of a service; its name is copied only when it is new.
fn of_service<'a, T: Default>(
    table: &'a mut collections::HashMap<String, T>,
    service: &str,
) -> &'a mut T {
    if !table.contains_key(service) {
        table.insert(service.to_owned(), T::default());
    }
    table.get_mut(service).expect("just inserted")
}

/// Tokens that a generation must be expected to produce for a copy to be kept: what is shorter ends
/// before its engine does.
const BACKUP_OUTPUT: f64 = 64.0;

/// VMs that read the store for all: enough that some remain when a third of them is cut off, few
/// enough that reading costs the same at 60 VMs as at 6.
pub const READERS: usize = 6;
/// VMs that look whether the store is back, of those that it does not answer.
const AWAY_READERS: usize = 3;

//! State of one entry VM: what it knows of the others, and its running requests.

use std::{collections, net, rc};

use bytes::Bytes;
use carry::transfer;
use rand::rngs;
use tokio::time;

use crate::{
    budget, capacity, catalog, cold, contact, crashes, delta, directory, era, evacuation, fair,
    fleet, forecast, limits, loans, message, notices, peers, place, port, reach, relocate, repeats,
    request, returning, runs, server, stopping, system, update, wait,
};

/// Settings of the plane, fixed at its start.
#[derive(Clone, Debug)]
pub struct PlaneSettings {
    /// Name of this VM.
    pub name: String,
    /// Failure domain of this VM.
    pub domain: String,
    /// Address for callers.
    pub entry_address: net::SocketAddr,
    /// Address for other VMs.
    pub link_address: net::SocketAddr,
    /// Address at which other VMs hand requests over; absent if this VM takes none.
    pub handover_address: Option<net::SocketAddr>,
    /// Addresses at which other VMs may be found at the start.
    pub seeds: Vec<net::SocketAddr>,
    /// Wall clock at the start in milliseconds, greater for each later process of this VM.
    pub incarnation: u64,
    /// Limit on retries, over all VMs.
    pub retries: budget::BudgetRule,
    /// Whether engines are asked to keep copies of running generations.
    pub backups: bool,
    /// Whether generations are moved off leaving engines.
    pub moves: bool,
    /// Time from the signal to stop until the process is killed.
    pub grace: time::Duration,
    /// Interval at which servers write their entries; an entry expires after three.
    pub server_heartbeat: time::Duration,
    /// Time after the end of a disruption of the store within which this VM must know of changes.
    pub contact: time::Duration,
    /// Limit on requests to cold engines, over all VMs.
    pub cold: cold::ColdRule,
}

/// State of one entry VM.
#[derive(Debug)]
pub struct PlaneState {
    /// Settings given at the start.
    pub settings: PlaneSettings,
    /// Configuration in force; its version never decreases.
    pub catalog: Option<rc::Rc<catalog::RouteCatalog>>,
    /// Document that `catalog` was parsed from, for other VMs.
    pub document: rc::Rc<delta::ChunkedDocument>,
    /// Whether the last delta could not be applied; the next document is then fetched completely.
    pub delta_failed: bool,
    /// Servers and running attempts.
    pub fleet: fleet::ServerFleet,
    /// System that this VM belongs to.
    pub system: system::SystemBelief,
    /// Other VMs, all of the same system.
    pub peers: peers::PeerTable,
    /// Crashes of servers and their causes.
    pub crashes: crashes::CrashEvidence,
    /// Refused requests whose retry is expected.
    pub returning: returning::ReturningRequests,
    /// Demand of organisations.
    pub fair: fair::FairTable,
    /// Server updates that have not been announced to the other VMs yet.
    pub unannounced: Vec<update::ServerUpdate>,
    /// Notices of leaving servers, sent repeatedly to the other VMs.
    pub notices: notices::LeavingNotices,
    /// Server updates that another VM asked this one to forward.
    pub forwarded_updates: Vec<message::UpdateItem>,
    /// When this VM started.
    pub started_at: time::Instant,
    /// Sequence number of the last datagram.
    pub sequence: u64,
    /// Stage of this VM.
    pub stage: message::VmStage,
    /// Times of the stop of this VM, once it has begun.
    pub stop: Option<stopping::StopTimes>,
    /// Answers of the store to this VM.
    pub contact: contact::StoreContact,
    /// Latest era of the store.
    era: era::EraBelief,
    /// When this VM last learnt that the store came back from an older copy.
    store_restored_at: Option<time::Instant>,
    /// Whether the list of servers was complete once: read from the store, or received from a VM
    /// that has it complete.
    pub servers_complete: bool,
    /// When the set of evacuated failure domains last changed.
    pub evacuated_at: Option<time::Instant>,
    /// Since when a reachable VM has had a newer configuration.
    pub behind_since: Option<time::Instant>,
    /// When a VM was last asked for a configuration while a reachable one had a newer one.
    pub peers_requested_at: Option<time::Instant>,
    /// Progress of a configuration transfer from the store. While it advances, no VM is asked for
    /// the configuration: over a slow link each transfer would take twice as long.
    pub from_store: transfer::TransferMeter,
    /// Progress of a state transfer from another VM. While it advances, the store is not asked for
    /// a configuration.
    pub from_peers: transfer::TransferMeter,
    /// Since when most reachable VMs have had a different list of servers from this one.
    pub differs_since: Option<time::Instant>,
    queues: collections::HashMap<String, wait::WaitQueue>,
    trends: collections::HashMap<String, capacity::CapacityTrend>,
    /// Repeats of requests that this VM sent.
    pub repeats: repeats::RepeatLedger,
    /// Repeats that VMs lend each other.
    pub loans: loans::RepeatLoans,
    /// Links of this VM to the servers of each service.
    pub reach: reach::ReachTable,
    rng: rngs::StdRng,
}

impl PlaneState {
    /// Creates the state of a VM that has just started.
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
            crashes: crashes::CrashEvidence::default(),
            returning: returning::ReturningRequests::default(),
            fair: fair::FairTable::default(),
            unannounced: Vec::new(),
            notices: notices::LeavingNotices::default(),
            forwarded_updates: Vec::new(),
            started_at: time::Instant::now(),
            sequence: 0,
            stage: message::VmStage::Starting,
            stop: None,
            contact: contact::StoreContact::default(),
            era: era::EraBelief::default(),
            store_restored_at: None,
            servers_complete: false,
            evacuated_at: None,
            behind_since: None,
            peers_requested_at: None,
            from_store: transfer::TransferMeter::default(),
            from_peers: transfer::TransferMeter::default(),
            differs_since: None,
            queues: collections::HashMap::new(),
            trends: collections::HashMap::new(),
            repeats: repeats::RepeatLedger::default(),
            loans: loans::RepeatLoans::default(),
            reach: reach::ReachTable::default(),
            rng,
        }
    }

    /// Applies a configuration if it is newer than the one in force. Returns whether it was.
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

    /// Applies evacuations as of a later log position; returns whether the set of evacuated domains
    /// changed.
    pub fn apply_evacuations(
        &mut self,
        evacuations: evacuation::EvacuationSet,
        now: time::Instant,
    ) -> bool {
        let changed = self.fleet.apply_evacuations(evacuations, now);
        if changed {
            self.evacuated_at = Some(now);
        }
        changed
    }

    /// Version of the configuration in force; 0 if there is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.catalog.as_ref().map_or(0, |catalog| catalog.version)
    }

    /// Applies an update of a server from the store or from another VM. Only a removal that this VM
    /// read itself is deferred; other VMs tell of removals that are final.
    pub fn apply_update(
        &mut self,
        update: update::ServerUpdate,
        from_store: bool,
        now: time::Instant,
    ) -> fleet::FleetChange {
        let grace_until = self.contact.lapse_grace_until(now);
        let grace_until = grace_until.filter(|_| from_store);
        self.apply_with_grace(update, from_store, grace_until, now)
    }

    /// Removes a server that the complete list does not name. A list that comes from an older copy
    /// may lack servers that registered lately; they write their entries again.
    pub fn remove_unlisted(
        &mut self,
        removal: update::ServerUpdate,
        now: time::Instant,
    ) -> fleet::FleetChange {
        let server = self.fleet.find(&removal.id);
        let server = server.and_then(|key| self.fleet.server(key));
        let is_new = server
            .is_some_and(|server| now.saturating_duration_since(server.known_since) < MAX_COPY_AGE);
        let restored_at = self.store_restored_at.filter(|_| is_new);
        let until = restored_at.map(|at| at + fleet::LAPSE_GRACE);
        let restore_grace = until.filter(|until| now < *until);
        let grace_until = restore_grace.max(self.contact.lapse_grace_until(now));
        self.apply_with_grace(removal, true, grace_until, now)
    }

    fn apply_with_grace(
        &mut self,
        update: update::ServerUpdate,
        from_store: bool,
        grace_until: Option<time::Instant>,
        now: time::Instant,
    ) -> fleet::FleetChange {
        let change = self.apply_with_warm_up(&update, from_store, grace_until, now);
        if let fleet::FleetChange::Leaves(key) = change {
            self.add_notice(key, &update, now);
        }
        match change {
            fleet::FleetChange::Arrived(_) | fleet::FleetChange::Leaves(_) if from_store => {
                self.unannounced.push(update);
            }
            fleet::FleetChange::Outdated(key) if from_store => {
                if let Some(update) = self.fleet.server(key).map(server::ServerRecord::update) {
                    self.add_notice(key, &update, now);
                }
            }
            _ => {}
        }
        change
    }

    /// Adds the notice that stands for an update after which a server takes no new work.
    fn add_notice(
        &mut self,
        key: fleet::ServerKey,
        update: &update::ServerUpdate,
        now: time::Instant,
    ) {
        let Some(record) = self.fleet.server(key) else {
            return;
        };
        let notice = message::NoticeItem {
            server: record.incarnation_hash(),
            offset: update.position.offset,
            era: update.position.era,
            removed: update.entry.is_none(),
            said: record.said_leaving,
        };
        self.notices.add(notice, now);
    }

    /// Ends the grace periods that are over. Returns the servers whose removal is final now; it is
    /// due for all VMs, as they have not been told of it.
    pub fn end_lapse_grace(&mut self, now: time::Instant) -> Vec<fleet::ServerKey> {
        let ended = self.fleet.end_lapse_grace(now);
        for &key in &ended {
            if let Some(update) = self.fleet.server(key).map(server::ServerRecord::update) {
                self.add_notice(key, &update, now);
                self.unannounced.push(update);
            }
        }
        if !ended.is_empty() {
            self.notices.make_due(now);
        }
        ended
    }

    /// Returns the servers that get work again after this VM has read the changes of the list: the
    /// store still lists them, and entries of an older copy have expired.
    pub fn end_distrust(&mut self, now: time::Instant) -> Vec<fleet::ServerKey> {
        let revived = self.fleet.end_distrust(true, now);
        let records = revived.iter().filter_map(|&key| self.fleet.server(key));
        let updates = records.map(server::ServerRecord::update);
        self.unannounced.extend(updates);
        revived
    }

    /// Takes the statement of a server, in an answer to this VM, that it leaves. Returns whether it
    /// still took work; its notice is then due for all VMs, because the store may not have it.
    pub fn take_leaving_signal(&mut self, key: fleet::ServerKey, now: time::Instant) -> bool {
        let change = self.fleet.record_said_leaving(key, now);
        let leaves = change == fleet::FleetChange::Leaves(key);
        if let Some(record) = self.fleet.server(key).filter(|_| leaves) {
            let notice = message::NoticeItem {
                server: record.incarnation_hash(),
                offset: record.position.offset,
                era: record.position.era,
                removed: false,
                said: true,
            };
            self.notices.add(notice, now);
            self.notices.make_due(now);
        }
        leaves
    }

    /// Takes the statement of a server that it wants nothing from this VM for a while.
    pub fn take_rest_signal(
        &mut self,
        key: fleet::ServerKey,
        rest: time::Duration,
        now: time::Instant,
    ) {
        if let Some(server) = self.fleet.server_mut(key) {
            server.rest(rest, now);
        }
    }

    /// Records whether a call to the store succeeded. Returns whether its availability changed.
    ///
    /// A VM that made no call during an outage knows of it from others: several VMs take the place
    /// of those that the store does not answer, and the last one may make its first call after the
    /// outage.
    pub fn note_store(&mut self, answered: bool, now: time::Instant) -> bool {
        if !answered {
            return self.contact.note_failure();
        }
        let reported_at = self.peers.last_outage_report();
        let heartbeat = self.settings.server_heartbeat;
        let outage = self.contact.note_answer(reported_at, heartbeat, now);
        if let Some(outage) = outage {
            let gap_ms = outage.gap.map(|gap| gap.as_millis());
            log::info!(
                gap_ms:?, noticed = outage.noticed, grace = outage.may_cost_entries;
                "outage of the store is over"
            );
        }
        outage.is_some_and(|outage| outage.noticed)
    }

    /// Latest era of the store that this VM knows; 0 if it knows none.
    #[must_use]
    pub fn era(&self) -> u64 {
        self.era.newest()
    }

    /// Number of restores of the store from an older copy that this VM has learnt of.
    #[must_use]
    pub const fn restores(&self) -> u64 {
        self.era.restores()
    }

    /// Takes the era that an answer of the store or a message of another VM names.
    pub fn note_era(&mut self, era: u64, source: &str, now: time::Instant) {
        let change = self.era.take(era);
        if change != era::EraChange::Nothing {
            // Entries of servers that no longer run expire, and running servers write theirs again.
            let heartbeat = self.settings.server_heartbeat.min(MAX_HEARTBEAT);
            let expired = now + heartbeat * HEARTBEATS_UNTIL_EXPIRY;
            self.fleet.settles_at = Some(expired + fleet::LAPSE_GRACE);
        }
        if let era::EraChange::Restored(before) = change {
            metrics::counter!("pollenchute_exchange_store_restores_total").increment(1);
            log::warn!(era, before, source:% = source; "the store came back from an older copy");
            self.store_restored_at = Some(now);
            self.fleet.prolong_lapse_grace(now + fleet::LAPSE_GRACE);
        }
    }

    /// Returns the rule of a service, if it is configured.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&catalog::ServiceRule> {
        self.catalog.as_ref()?.services.get(name)
    }

    /// Returns the queue of a service.
    pub fn queue(&mut self, service: &str) -> &mut wait::WaitQueue {
        entry_of(&mut self.queues, service)
    }

    /// Returns whether requests of a service wait on this VM.
    #[must_use]
    pub fn waits_here(&self, service: &str) -> bool {
        self.queues
            .get(service)
            .is_some_and(|queue| !queue.is_empty())
    }

    /// Memory planned for the generations that wait on this VM, by service.
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

    /// Services with waiting requests.
    #[must_use]
    pub fn waiting_services(&self) -> Vec<String> {
        self.queues
            .iter()
            .filter(|(_, queue)| !queue.is_empty())
            .map(|(service, _)| service.clone())
            .collect()
    }

    /// Samples the free memory of the engines of each service, if a sample is due.
    pub fn sample_capacity(&mut self, now: time::Instant) {
        let Some(catalog) = self.catalog.clone() else {
            return;
        };
        for (service, rule) in &catalog.services {
            let Some(engine) = &rule.engine else { continue };
            if !entry_of(&mut self.trends, service).is_due(now) {
                continue;
            }
            let loads = self.fleet.loads(service, now);
            let capacity =
                capacity::MemoryCapacity::measure(&self.fleet, service, engine, &loads, now);
            entry_of(&mut self.trends, service).add_sample(capacity, now);
        }
    }

    /// Memory demand of a generation of this rank; `None` for calls.
    fn demand(
        &self,
        request: &request::ExchangeRequest,
        rank: wait::WaitRank,
        now: time::Instant,
    ) -> Option<capacity::MemoryDemand> {
        let size = request.size.as_ref()?;
        let service = service_hash(&request.service);
        Some(capacity::MemoryDemand {
            tokens: forecast::planned_tokens(size) as f64,
            ahead_tokens: self.peers.ahead_tokens(service, rank, now) as f64,
            reserve_fraction: rank.reserve_fraction(),
        })
    }

    /// Returns whether a generation of this rank is unlikely to start before its caller leaves.
    #[must_use]
    pub fn is_unlikely_to_start(
        &self,
        request: &request::ExchangeRequest,
        rank: wait::WaitRank,
        now: time::Instant,
    ) -> bool {
        let demand = self.demand(request, rank, now);
        let trend = self.trends.get(&request.service);
        demand
            .zip(trend)
            .is_some_and(|(demand, trend)| trend.is_exhausted(&demand, now))
    }

    /// How long there has been no memory for a generation of this rank.
    #[must_use]
    pub fn exhausted_for(
        &self,
        request: &request::ExchangeRequest,
        rank: wait::WaitRank,
        now: time::Instant,
    ) -> time::Duration {
        let demand = self.demand(request, rank, now);
        let trend = self.trends.get(&request.service);
        demand
            .zip(trend)
            .map_or(time::Duration::ZERO, |(demand, trend)| {
                trend.exhausted_for(&demand, now)
            })
    }

    /// Chooses a server for a request and records the attempt there.
    pub fn place(
        &mut self,
        request: &request::ExchangeRequest,
        avoid: &[fleet::ServerKey],
        rank: wait::WaitRank,
        now: time::Instant,
    ) -> Result<(fleet::RunKey, fleet::ServerKey), place::PlacementOutcome> {
        self.update_limit_shares(now);
        let entries = self.peers.alive_count(now);
        let ahead_tokens = self
            .peers
            .ahead_tokens(service_hash(&request.service), rank, now);
        let rule = self
            .catalog
            .as_ref()
            .and_then(|catalog| catalog.services.get(&request.service));
        let wanted = place::PlacementRequest {
            service: &request.service,
            size: request.size.as_ref(),
            avoid,
            domain: &self.settings.domain,
            max_pause: request.max_pause,
            entries,
            ahead_tokens,
            reserve_fraction: rank.reserve_fraction(),
        };
        let (outcome, expected) =
            place::choose_expecting(&self.fleet, rule, &wanted, now, &mut self.rng);
        let place::PlacementOutcome::Server(server) = outcome else {
            return Err(outcome);
        };
        let engine = rule.and_then(|rule| rule.engine);
        let backup = engine.and_then(|engine| self.backup_for(request, server, &engine, now));
        let run = self.fleet.start(runs::RunRecord {
            server,
            backup,
            moving_to: None,
            move_after: None,
            size: request.size.clone(),
            produced: 0,
            started: now,
            first_at: None,
            max_pause: request.max_pause,
            steady: false,
            expected,
        });
        self.queue(&request.service).record_start(now);
        Ok((run, server))
    }

    /// Relocation orders for runs on leaving servers.
    pub fn relocations(
        &mut self,
        now: time::Instant,
    ) -> Vec<(fleet::RunKey, relocate::RelocationOrder)> {
        let Some(catalog) = self.catalog.clone() else {
            return Vec::new();
        };
        self.update_limit_shares(now);
        let mut orders = Vec::new();
        if !self.settings.moves {
            return orders;
        }
        for (service, rule) in &catalog.services {
            let Some(engine) = &rule.engine else { continue };
            let due = relocate::due_runs(&self.fleet, service, now);
            if due.is_empty() {
                continue;
            }
            let moving = self.fleet.streams(service);
            let moving = moving.filter(|run| run.moving_to.is_some()).count();
            let left = self.resumes_left(service, now).saturating_sub(moving);
            if left < due.len() && !self.loans.has_asked(service_hash(service), now) {
                self.borrow_repeats(service, due.len() - left, now);
            }
            let (fleet, rng) = (&mut self.fleet, &mut self.rng);
            let planned = relocate::plan(fleet, due, service, engine, now, rng, left);
            orders.extend(planned);
        }
        orders
    }

    /// Takes what a server states about its limit in the answer to a request that was sent at
    /// `sent_at`. Returns whether the limit changed.
    pub fn take_limit_signal(
        &mut self,
        key: fleet::ServerKey,
        signal: port::LimitSignal,
        sent_at: time::Instant,
        now: time::Instant,
    ) -> bool {
        let server = self.fleet.server_mut(key);
        let changed = server.is_some_and(|server| server.limit.take_signal(signal, sent_at, now));
        if changed {
            self.note_limit(key, "server", now);
        }
        changed
    }

    /// Takes what a server stated about its limit to another VM. Returns whether the limit changed.
    pub fn take_limit_item(&mut self, item: &message::LimitItem, now: time::Instant) -> bool {
        let changed = self.take_statement(item, |server| &mut server.limit, now);
        if let Some(key) = changed {
            self.note_limit(key, "peer", now);
        }
        changed.is_some()
    }

    /// Takes what a server stated to another VM about the requests that it can turn away. Returns
    /// whether that changed.
    pub fn take_brittle_item(&mut self, item: &message::LimitItem, now: time::Instant) -> bool {
        let changed = self.take_statement(item, |server| &mut server.brittle, now);
        if let Some(key) = changed {
            self.note_brittle(key, "peer", now);
        }
        changed.is_some()
    }

    /// Takes a statement of a server to another VM. Returns the server if that changed anything.
    fn take_statement(
        &mut self,
        item: &message::LimitItem,
        limit_of: impl Fn(&mut server::ServerRecord) -> &mut limits::ServerLimit,
        now: time::Instant,
    ) -> Option<fleet::ServerKey> {
        let key = self.fleet.find_incarnation(item.server)?;
        let age = time::Duration::from_millis(u64::from(item.age_ms));
        let said_at = now.checked_sub(age)?;
        let report = limits::LimitReport {
            per_second: item.per_second,
            said_at,
        };
        let server = self.fleet.server_mut(key)?;
        limit_of(server).take_report(report).then_some(key)
    }

    /// Takes what a server states about the requests that it can turn away, in the answer to a
    /// request that was sent at `sent_at`. Returns whether that changed.
    pub fn take_brittle_signal(
        &mut self,
        key: fleet::ServerKey,
        signal: port::LimitSignal,
        sent_at: time::Instant,
        now: time::Instant,
    ) -> bool {
        let server = self.fleet.server_mut(key);
        let changed = server.is_some_and(|server| server.brittle.take_signal(signal, sent_at, now));
        if changed {
            self.note_brittle(key, "server", now);
        }
        changed
    }

    fn note_brittle(&mut self, key: fleet::ServerKey, source: &str, now: time::Instant) {
        if let Some(server) = self.fleet.server(key) {
            log::info!(
                server:% = server.id, per_second:? = server.brittle.per_second(now), source:%;
                "server changed how many requests it can turn away"
            );
        }
        self.fleet.limited.add(key);
    }

    /// Notes that a brittle server turned a request of this VM away. Returns whether it is one.
    pub fn note_turned_away(&mut self, key: fleet::ServerKey, now: time::Instant) -> bool {
        let vms = self.peers.senders(now).count() + 1;
        let vms = vms.max(self.peers.reported_senders(now));
        let record = self.fleet.server(key);
        let pause = record.and_then(|record| record.turned_away_pause(vms, now));
        if let Some(pause) = pause {
            // VMs that were turned away at the same moment return one after the other.
            let spread = 1.0 + self.draw();
            self.fleet.mark_full(key, now + pause.mul_f64(spread));
        }
        pause.is_some()
    }

    fn note_limit(&mut self, key: fleet::ServerKey, source: &str, now: time::Instant) {
        if let Some(server) = self.fleet.server(key) {
            log::info!(
                server:% = server.id, per_second:? = server.limit.per_second(now), source:%;
                "server changed its limit"
            );
        }
        self.count_as_spent(key);
        self.fleet.limited.add(key);
        self.update_limit_shares(now);
    }

    /// Computes this VM's shares in the limits of servers, if that is due.
    pub fn update_limit_shares(&mut self, now: time::Instant) {
        if self.fleet.limited.take_due(now) {
            let view = self.sender_view(now);
            self.fleet.update_limit_shares(&view, now);
            self.update_cold_shares(&view, now);
        }
    }

    /// Statements about limits for other VMs; `all` includes those that are no longer repeated.
    #[must_use]
    pub fn limit_items(&self, all: bool, now: time::Instant) -> Vec<message::LimitItem> {
        self.statements(|server| &server.limit, all, now)
    }

    /// Statements for other VMs about the requests that servers can turn away; see
    /// [`Self::limit_items`].
    #[must_use]
    pub fn brittle_items(&self, all: bool, now: time::Instant) -> Vec<message::LimitItem> {
        self.statements(|server| &server.brittle, all, now)
    }

    fn statements(
        &self,
        limit_of: impl Fn(&server::ServerRecord) -> &limits::ServerLimit,
        all: bool,
        now: time::Instant,
    ) -> Vec<message::LimitItem> {
        let servers = self.fleet.limited.keys();
        let servers = servers.filter_map(|key| self.fleet.server(key));
        let items = servers.filter_map(|server| {
            limits::limit_item(server.incarnation_hash(), limit_of(server), all, now)
        });
        items.take(limits::MAX_LIMITS_PER_DATAGRAM).collect()
    }

    /// Servers and random source, for a decision.
    pub(crate) const fn fleet_and_rng(&mut self) -> (&fleet::ServerFleet, &mut rngs::StdRng) {
        (&self.fleet, &mut self.rng)
    }

    /// Random source of decisions.
    pub(crate) const fn rng(&mut self) -> &mut rngs::StdRng {
        &mut self.rng
    }

    /// A random number from 0 to 1.
    pub fn draw(&mut self) -> f64 {
        rand::RngExt::random(&mut self.rng)
    }

    /// Draws an id for a system that has none yet.
    pub fn draw_system(&mut self) -> system::SystemId {
        loop {
            let number = rand::RngExt::random(&mut self.rng);
            if let Some(id) = system::SystemId::from_number(number) {
                return id;
            }
        }
    }

    /// Hash of this VM's name and incarnation, which identifies it to other VMs.
    #[must_use]
    pub fn sender(&self) -> u64 {
        let name = self.settings.name.as_bytes();
        xxhash_rust::xxh3::xxh3_64_with_seed(name, self.settings.incarnation)
    }

    /// Returns the sequence number of the next datagram.
    pub const fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Directory entry of this VM, for callers.
    #[must_use]
    pub fn own_entry(&self) -> directory::OwnEntry {
        directory::OwnEntry {
            domain: self.settings.domain.clone(),
            stage: self.stage,
            address: self.settings.entry_address,
            cut_off: self.reach.is_cut_off(),
        }
    }
}

/// Hash that identifies a service in messages between VMs.
#[must_use]
pub fn service_hash(service: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(service.as_bytes()) as u32
}

/// Returns the table's value for a service; the name is cloned only for a new entry.
fn entry_of<'a, T: Default>(
    table: &'a mut collections::HashMap<String, T>,
    service: &str,
) -> &'a mut T {
    if !table.contains_key(service) {
        table.insert(service.to_owned(), T::default());
    }
    table.get_mut(service).expect("just inserted")
}

/// Number of intervals without a heartbeat after which the store removes an entry.
const HEARTBEATS_UNTIL_EXPIRY: u32 = 3;
/// Longest interval between heartbeats that is taken into account.
const MAX_HEARTBEAT: time::Duration = time::Duration::from_secs(30);
/// Age up to which a copy may be from which the store comes back: some seconds, and a margin.
const MAX_COPY_AGE: time::Duration = time::Duration::from_secs(30);

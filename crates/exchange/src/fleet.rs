//! Backend servers as known to this VM, and the attempts that run on them.

use std::collections;

use tokio::time;

use crate::{evacuation, limits, loads, paces, position, runs, server, update};

slotmap::new_key_type! {
    /// Key of one incarnation of a backend server.
    pub struct ServerKey;
    /// Key of one attempt that this VM has running on a server.
    pub struct RunKey;
}

/// How long records of removed servers are kept, so that a late update does not add them again.
const GONE_RETENTION: time::Duration = time::Duration::from_secs(120);
/// Grace period for entries that expired during an outage of the store, counted from its recovery:
/// running servers register again within about two seconds.
pub const LAPSE_GRACE: time::Duration = time::Duration::from_millis(2_200);

/// Load of each server of a service, summed over all VMs.
pub type LoadTable = slotmap::SecondaryMap<ServerKey, loads::ServerLoad>;

/// Effect of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetChange {
    /// No change: the update is outdated or already known.
    Nothing,
    /// A server was added, or accepts work again.
    Arrived(ServerKey),
    /// A server leaves or was removed; its runs should move.
    Leaves(ServerKey),
    /// The entry of a server was removed, but it may have expired in an outage of the store: the
    /// server keeps its work for the grace period.
    Deferred(ServerKey),
    /// The store, which came back from an older copy, lists a server that is known to leave or to be
    /// gone. VMs that have started since may not know.
    Outdated(ServerKey),
}

/// All servers, and all running attempts of this VM.
#[derive(Clone, Debug, Default)]
pub struct ServerFleet {
    servers: slotmap::SlotMap<ServerKey, server::ServerRecord>,
    by_id: collections::HashMap<String, ServerKey>,
    /// Servers by [`server::ServerRecord::name_hash`]. On a collision the later server wins and
    /// gets the loads of both; with 600 servers, one pair in 10,000 collides.
    by_hash: collections::HashMap<u32, ServerKey>,
    /// Servers by service, so that the cost of a choice does not depend on the number of servers of
    /// other services.
    by_service: collections::HashMap<String, Vec<ServerKey>>,
    /// Servers that may be in the grace period after their entry expired.
    in_lapse_grace: Vec<ServerKey>,
    /// Servers that the store may list only because it came back from an older copy.
    distrusted: collections::HashSet<ServerKey>,
    /// End of the store's records up to which this VM knows all servers; the first position if it
    /// knows none for certain.
    pub(crate) complete_until: position::StorePosition,
    /// Until then entries may come from an older copy of the store.
    pub(crate) settles_at: Option<time::Instant>,
    /// Servers with failed attempts since the last sweep.
    recently_failed: collections::HashSet<ServerKey>,
    /// Hash over the standing of all servers; each whose standing is not `Gone` contributes.
    standing_hash: u64,
    /// Servers that stated a limit on requests.
    pub limited: limits::LimitedServers,
    /// Pace of the engines.
    pub paces: paces::PaceTable,
    /// Failure domains whose servers get no new work.
    evacuations: evacuation::EvacuationSet,
    /// Loads reported by other VMs.
    pub(crate) peers: loads::PeerLoads,
    runs: slotmap::SlotMap<RunKey, runs::RunRecord>,
}

impl ServerFleet {
    /// Generations of this VM that run on servers of a service.
    pub fn streams(&self, service: &str) -> impl Iterator<Item = &runs::RunRecord> {
        self.runs.values().filter(move |run| {
            let server = self.servers.get(run.server);
            run.size.is_some() && server.is_some_and(|server| server.service == service)
        })
    }

    /// Applies an update from the store or a peer. An update older than the one behind the record
    /// changes nothing, whichever way it arrives: a server that leaves never becomes ready again
    /// because of an older update that arrives later.
    ///
    /// `grace_until` is set if the store may have been unavailable when the entry expired: see
    /// [`LAPSE_GRACE`]. A removal without it is final and ends the grace period.
    pub fn apply_update(
        &mut self,
        update: &update::ServerUpdate,
        grace_until: Option<time::Instant>,
        now: time::Instant,
    ) -> FleetChange {
        let Some(&key) = self.by_id.get(&update.id) else {
            return self.insert_new(update, now);
        };
        let known = self.servers[key].started_at;
        match &update.entry {
            // A late update of a previous incarnation, or of a writer that does not know
            // incarnations.
            Some(entry) if entry.started_at < known => return FleetChange::Nothing,
            Some(entry) if entry.started_at > known && known.is_known() => {
                return self.replace_incarnation(key, update, entry, now);
            }
            Some(entry) if entry.started_at > known => self.set_start(key, entry.started_at),
            _ => {}
        }
        let settles_at = self.settles_at.filter(|at| now < *at);
        let record = &mut self.servers[key];
        let before = record.standing;
        let later_era = update.position.era > record.position.era;
        let after = record.apply_update(update, settles_at);
        if record.distrusted_until.is_some() {
            self.distrusted.insert(key);
        }
        if after == before {
            let ready = update.entry.as_ref().is_some_and(|entry| !entry.leaving);
            if later_era && ready && after != server::ServerStanding::Ready {
                return FleetChange::Outdated(key);
            }
            let is_final = grace_until.is_none()
                && update.entry.is_none()
                && update.position >= record.position;
            if is_final && record.lapse_grace_until.take().is_some() {
                return FleetChange::Leaves(key);
            }
            return FleetChange::Nothing;
        }
        self.set_standing(key, after, now);
        let record = &mut self.servers[key];
        record.lapse_grace_until = match (before, after) {
            (server::ServerStanding::Ready, server::ServerStanding::Gone) => grace_until,
            _ => None,
        };
        if record.lapse_grace_until.is_some() {
            self.in_lapse_grace.push(key);
        }
        match after {
            server::ServerStanding::Ready => FleetChange::Arrived(key),
            server::ServerStanding::Gone if record.lapse_grace_until.is_some() => {
                FleetChange::Deferred(key)
            }
            _ => FleetChange::Leaves(key),
        }
    }

    /// Records that a server said that it leaves. Returns `Leaves` if it still took work.
    pub fn record_said_leaving(&mut self, key: ServerKey, now: time::Instant) -> FleetChange {
        let Some(record) = self.servers.get_mut(key) else {
            return FleetChange::Nothing;
        };
        let took_work = record.takes_work(now);
        record.said_leaving = true;
        if record.standing == server::ServerStanding::Ready {
            self.set_standing(key, server::ServerStanding::Leaving, now);
        }
        if took_work {
            FleetChange::Leaves(key)
        } else {
            FleetChange::Nothing
        }
    }

    fn insert_new(&mut self, update: &update::ServerUpdate, now: time::Instant) -> FleetChange {
        let Some(entry) = &update.entry else {
            return FleetChange::Nothing;
        };
        let record = server::ServerRecord::new(&update.id, update.position, entry, now);
        FleetChange::Arrived(self.insert(record))
    }

    /// Adds a new incarnation of a server, which has no state of the previous one. The old record
    /// keeps the outcomes, runs and copies of its incarnation and accepts no work. With a shared
    /// record, a server that left before it crashed would never get work again, and a copy made
    /// before the crash would be requested under a name that may now belong to another run.
    fn replace_incarnation(
        &mut self,
        before: ServerKey,
        update: &update::ServerUpdate,
        entry: &update::ServerEntry,
        now: time::Instant,
    ) -> FleetChange {
        self.set_standing(before, server::ServerStanding::Gone, now);
        let old = &mut self.servers[before];
        old.superseded = true;
        old.lapse_grace_until = None;
        let mut record = server::ServerRecord::new(&update.id, update.position, entry, now);
        record.record_removal(old.removed_at);
        let gone = record.standing == server::ServerStanding::Gone;
        let key = self.insert(record);
        if gone {
            FleetChange::Leaves(before)
        } else {
            FleetChange::Arrived(key)
        }
    }

    /// Sets the start time of an incarnation that was known without one.
    fn set_start(&mut self, key: ServerKey, started_at: update::StartTime) {
        let record = &mut self.servers[key];
        self.standing_hash ^= standing_hash_of(record);
        record.started_at = started_at;
        self.standing_hash ^= standing_hash_of(record);
        self.by_hash.insert(record.name_hash(), key);
    }

    fn set_standing(
        &mut self,
        key: ServerKey,
        standing: server::ServerStanding,
        now: time::Instant,
    ) {
        let record = &mut self.servers[key];
        self.standing_hash ^= standing_hash_of(record);
        if record.standing != standing {
            record.since = now;
        }
        record.standing = standing;
        self.standing_hash ^= standing_hash_of(record);
    }

    fn insert(&mut self, record: server::ServerRecord) -> ServerKey {
        self.standing_hash ^= standing_hash_of(&record);
        let (id, hash) = (record.id.clone(), record.name_hash());
        let service = record.service.clone();
        let key = self.servers.insert(record);
        self.paces.add(key, &service);
        self.by_service.entry(service).or_default().push(key);
        self.by_id.insert(id, key);
        self.by_hash.insert(hash, key);
        key
    }

    /// Returns whether a store update lacks the incarnation although the server is known with one.
    /// Such an update was written by a foreign process and applies to no server.
    #[must_use]
    pub fn lacks_incarnation(&self, update: &update::ServerUpdate) -> bool {
        let known = self.by_id.get(&update.id);
        let known = known.is_some_and(|&key| self.servers[key].started_at.is_known());
        let entry = update.entry.as_ref();
        known && entry.is_some_and(|entry| !entry.started_at.is_known())
    }

    /// Ends expired grace periods, and returns the servers that are removed for good.
    pub fn end_lapse_grace(&mut self, now: time::Instant) -> Vec<ServerKey> {
        let mut ended = Vec::new();
        let servers = &mut self.servers;
        self.in_lapse_grace.retain(|&key| {
            let Some(record) = servers.get_mut(key) else {
                return false;
            };
            let over = record.lapse_grace_until.is_some_and(|until| until <= now);
            if over {
                record.lapse_grace_until = None;
                ended.push(key);
            }
            record.lapse_grace_until.is_some()
        });
        ended
    }

    /// Ends the distrust of servers whose entries would have expired by now if the servers did not
    /// run. Returns those that get work again: all if this VM has just read that the store lists
    /// them, otherwise none, until another VM tells of their entries.
    pub fn end_distrust(&mut self, listed: bool, now: time::Instant) -> Vec<ServerKey> {
        let servers = &self.servers;
        let ended = self.distrusted.extract_if(|key| {
            let record = servers.get(*key);
            let until = record.and_then(|record| record.distrusted_until);
            until.is_none_or(|until| until <= now)
        });
        let ended: Vec<_> = ended.collect();
        let mut revived = Vec::new();
        for key in ended {
            let Some(record) = self.servers.get_mut(key) else {
                continue;
            };
            if record.distrusted_until.take().is_none() {
                continue;
            }
            if listed {
                let standing = record.standing_when_settled();
                self.set_standing(key, standing, now);
                revived.push(key);
            } else {
                record.position = record.removed_at;
            }
        }
        revived
    }

    /// Prolongs the grace periods after a restore of the store, until servers have had the time to
    /// write their entries again.
    pub fn prolong_lapse_grace(&mut self, until: time::Instant) {
        for &key in &self.in_lapse_grace {
            if let Some(record) = self.servers.get_mut(key)
                && record.lapse_grace_until.is_some()
            {
                record.lapse_grace_until = Some(until);
            }
        }
    }

    /// When the next grace period ends, if there is one.
    #[must_use]
    pub fn next_lapse_end(&self) -> Option<time::Instant> {
        let records = self.in_lapse_grace.iter();
        let records = records.filter_map(|&key| self.servers.get(key));
        records.filter_map(|record| record.lapse_grace_until).min()
    }

    /// Drops the records of servers that were removed long ago and run nothing.
    pub fn sweep(&mut self, now: time::Instant) {
        let used: collections::HashSet<_> = self.runs.values().map(|run| run.server).collect();
        let old = self.servers.iter().filter(|(key, record)| {
            record.standing == server::ServerStanding::Gone
                && record.distrusted_until.is_none()
                && now.saturating_duration_since(record.since) > GONE_RETENTION
                && !used.contains(key)
        });
        for key in old.map(|(key, _)| key).collect::<Vec<_>>() {
            self.forget(key);
        }
        let servers = &self.servers;
        self.recently_failed.retain(|key| {
            servers
                .get(*key)
                .is_some_and(|server| server.has_recent_failures(now))
        });
    }

    fn forget(&mut self, key: ServerKey) {
        let Some(record) = self.servers.remove(key) else {
            return;
        };
        if self.by_id.get(&record.id) == Some(&key) {
            self.by_id.remove(&record.id);
        }
        self.by_hash.retain(|_, known| *known != key);
        if let Some(keys) = self.by_service.get_mut(&record.service) {
            keys.retain(|known| *known != key);
        }
        self.recently_failed.remove(&key);
        self.limited.remove(key);
        self.paces.forget(key);
        self.peers.forget(key);
    }

    /// Returns a server.
    #[must_use]
    pub fn server(&self, key: ServerKey) -> Option<&server::ServerRecord> {
        self.servers.get(key)
    }

    /// Returns a server by its [`server::ServerRecord::name_hash`], which VMs use in load reports.
    #[must_use]
    pub fn find_by_hash(&self, hash: u32) -> Option<ServerKey> {
        self.by_hash.get(&hash).copied()
    }

    /// Returns a server by its [`server::ServerRecord::incarnation_hash`].
    #[must_use]
    pub fn find_incarnation(&self, hash: u64) -> Option<ServerKey> {
        let key = self.find_by_hash(hash as u32)?;
        let record = self.servers.get(key)?;
        (record.incarnation_hash() == hash).then_some(key)
    }

    /// Returns the newest incarnation of a server.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<ServerKey> {
        self.by_id.get(id).copied()
    }

    /// All servers.
    pub fn servers(&self) -> impl Iterator<Item = (ServerKey, &server::ServerRecord)> {
        self.servers.iter()
    }

    /// Servers of a service in any standing.
    pub fn of_service(
        &self,
        service: &str,
    ) -> impl Iterator<Item = (ServerKey, &server::ServerRecord)> {
        let keys = self.by_service.get(service).into_iter().flatten();
        keys.filter_map(|&key| Some((key, self.servers.get(key)?)))
    }

    /// Servers of a service that get new work.
    pub fn ready<'a>(
        &'a self,
        service: &str,
        now: time::Instant,
    ) -> impl Iterator<Item = (ServerKey, &'a server::ServerRecord)> + use<'a> {
        let keys = self.by_service.get(service).into_iter().flatten();
        keys.filter_map(move |&key| {
            let record = self.servers.get(key)?;
            self.is_eligible(record, now).then_some((key, record))
        })
    }

    /// Returns whether a server gets new work: it accepts work, and its failure domain is not
    /// evacuated.
    #[must_use]
    pub fn is_eligible(&self, record: &server::ServerRecord, now: time::Instant) -> bool {
        record.takes_work(now) && !self.evacuations.contains(&record.domain)
    }

    /// Returns whether the failure domain of a server is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, key: ServerKey) -> bool {
        let record = self.servers.get(key);
        record.is_some_and(|record| self.evacuations.contains(&record.domain))
    }

    /// Failure domains that are evacuated.
    #[must_use]
    pub const fn evacuations(&self) -> &evacuation::EvacuationSet {
        &self.evacuations
    }

    /// Applies evacuations as of a later log position; returns whether the set of evacuated domains
    /// changed.
    pub fn apply_evacuations(
        &mut self,
        evacuations: evacuation::EvacuationSet,
        now: time::Instant,
    ) -> bool {
        let before = self.evacuations.all();
        self.evacuations.take(evacuations);
        self.settle_evacuations(now);
        self.evacuations.all() != before
    }

    /// Takes back evacuations that an older copy of the store lacks and that the operator has not
    /// written again; returns whether there were any.
    pub fn settle_evacuations(&mut self, now: time::Instant) -> bool {
        let settling = self.settles_at.is_some_and(|at| now < at);
        !settling && self.evacuations.settle()
    }

    /// Returns whether a server should get no generations. An engine that repeatedly goes down and
    /// up accepts connections and reservations in between; being empty, it attracts the prompts of
    /// all VMs, and each VM would have to lose one to notice.
    #[must_use]
    pub fn is_failing(&self, key: ServerKey, now: time::Instant) -> bool {
        let here = self
            .servers
            .get(key)
            .is_some_and(|record| record.is_failing_locally(now));
        here || self.peers.is_reported_failing(key, now)
    }

    /// Records the start of an attempt.
    pub fn start(&mut self, run: runs::RunRecord) -> RunKey {
        if let Some(record) = self.servers.get_mut(run.server) {
            record.mark_used(run.started);
            record.limit.count_request(run.started);
        }
        self.runs.insert(run)
    }

    /// Returns a running attempt.
    #[must_use]
    pub fn run(&self, key: RunKey) -> Option<&runs::RunRecord> {
        self.runs.get(key)
    }

    /// Returns a running attempt, mutably.
    pub fn run_mut(&mut self, key: RunKey) -> Option<&mut runs::RunRecord> {
        self.runs.get_mut(key)
    }

    /// All running attempts of this VM.
    pub fn runs(&self) -> impl Iterator<Item = (RunKey, &runs::RunRecord)> {
        self.runs.iter()
    }

    /// Removes an attempt that ended.
    pub fn end(&mut self, key: RunKey) -> Option<runs::RunRecord> {
        self.runs.remove(key)
    }

    /// Updates a server with the outcome of an attempt.
    pub fn record_outcome(
        &mut self,
        key: ServerKey,
        verdict: server::ServerVerdict,
        now: time::Instant,
    ) {
        if let Some(record) = self.servers.get_mut(key) {
            record.record_outcome(verdict, now);
            if verdict.is_bad() {
                self.recently_failed.insert(key);
            }
        }
    }

    /// Counts a request other than an attempt, such as a reservation or a copy.
    pub fn count_request(&mut self, key: ServerKey, now: time::Instant) {
        if let Some(record) = self.servers.get_mut(key) {
            record.limit.count_request(now);
        }
    }

    /// Returns whether a server may get a request of this VM now.
    #[must_use]
    pub fn may_send(&self, key: ServerKey, now: time::Instant) -> bool {
        let record = self.servers.get(key);
        record.is_some_and(|record| record.allows_request(now))
    }

    /// Returns whether requests to a server are limited.
    #[must_use]
    pub fn is_limited(&self, key: ServerKey, now: time::Instant) -> bool {
        let record = self.servers.get(key);
        record.is_some_and(|record| record.is_limited(now))
    }

    /// Returns whether a server limits requests or wants none for a while.
    #[must_use]
    pub fn is_restricted(&self, key: ServerKey, now: time::Instant) -> bool {
        let record = self.servers.get(key);
        record.is_some_and(|record| record.is_restricted(now))
    }

    /// Computes the shares of this VM in the limits of servers anew.
    pub fn update_limit_shares(&mut self, view: &limits::SenderView, now: time::Instant) {
        for key in self.limited.keys() {
            if let Some(record) = self.servers.get_mut(key) {
                let hash = record.incarnation_hash();
                record.limit.update_share(hash, view, now);
                record.brittle.update_slots(record.slots, hash, view);
            }
        }
    }

    /// Returns a server, mutably.
    pub fn server_mut(&mut self, key: ServerKey) -> Option<&mut server::ServerRecord> {
        self.servers.get_mut(key)
    }

    /// Records that a server is full; it gets no requests before `until`.
    pub fn mark_full(&mut self, key: ServerKey, until: time::Instant) {
        if let Some(record) = self.servers.get_mut(key) {
            record.mark_full(until);
        }
    }

    /// Load of this VM on each server, and which servers fail.
    #[must_use]
    pub fn own_loads(
        &self,
        now: time::Instant,
    ) -> slotmap::SparseSecondaryMap<ServerKey, loads::PeerLoad> {
        let mut own = slotmap::SparseSecondaryMap::<ServerKey, loads::PeerLoad>::new();
        for &key in &self.recently_failed {
            let record = self.servers.get(key);
            if record.is_some_and(|record| record.is_failing_locally(now)) {
                let load = loads::PeerLoad {
                    failing: true,
                    ..loads::PeerLoad::default()
                };
                own.insert(key, load);
            }
        }
        for run in self.runs.values() {
            let tokens = run.planned_tokens();
            if let Some(entry) = own.entry(run.server) {
                entry.or_default().add_run(run, tokens);
            }
            for copy in run.backup.iter().chain(run.moving_to.iter()) {
                if let Some(entry) = own.entry(*copy) {
                    entry.or_default().tokens += tokens;
                }
            }
        }
        own
    }

    /// Replaces the loads of another VM, which has no load on servers that are not named.
    pub fn replace_peer_loads(
        &mut self,
        vm: u64,
        loads: impl Iterator<Item = (ServerKey, loads::PeerLoad)>,
        now: time::Instant,
    ) {
        let servers = &self.servers;
        let known = loads.filter(|(key, _)| servers.contains_key(*key));
        self.peers.replace(vm, known, now);
    }

    /// Hash over the standing of all servers: equal on VMs that know the same updates.
    #[must_use]
    pub const fn standing_hash(&self) -> u64 {
        self.standing_hash
    }

    /// Returns the load of each server of a service, summed over all VMs.
    #[must_use]
    pub fn loads(&self, service: &str, now: time::Instant) -> LoadTable {
        let own = self.own_loads(now);
        let mut loads = slotmap::SecondaryMap::with_capacity(self.servers.capacity());
        for (key, _) in self.of_service(service) {
            let own = own.get(key).copied().unwrap_or_default();
            let mut load = loads::ServerLoad::of_own(own);
            self.peers.add_to(&mut load, key, now);
            loads.insert(key, load);
        }
        loads
    }
}

/// Contribution of a server to the hash over all standings.
fn standing_hash_of(record: &server::ServerRecord) -> u64 {
    let code = match record.standing {
        server::ServerStanding::Gone => return 0,
        server::ServerStanding::Ready => 0,
        server::ServerStanding::Leaving => 1,
    };
    let seed = record.started_at.millis() << 1 | code;
    xxhash_rust::xxh3::xxh3_64_with_seed(record.id.as_bytes(), seed)
}

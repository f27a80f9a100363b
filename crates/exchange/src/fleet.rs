//! Backend servers as this VM believes them to be, and what runs on them.

use std::collections;

use tokio::time;

use crate::{evacuation, loads, runs, server, update};

slotmap::new_key_type! {
    /// Key of one incarnation of a backend server.
    pub struct ServerKey;
    /// Key of one try that this VM has on a server.
    pub struct RunKey;
}

/// Records of servers that went are kept this long, so that late news does not bring them back.
const GONE_KEPT: time::Duration = time::Duration::from_secs(120);
/// An entry that lapsed during an outage of the store counts as alive until this long after the
/// store is back; servers that live write themselves in again within about two seconds.
pub const LAPSE_GRACE: time::Duration = time::Duration::from_millis(2_200);

/// What each server of a service has to do, over all VMs.
pub type LoadTable = slotmap::SecondaryMap<ServerKey, loads::ServerLoad>;

/// What a piece of news changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetChange {
    /// Older than what is known, or the same.
    Nothing,
    /// A server came, or takes work again.
    Arrived(ServerKey),
    /// A server leaves or is gone; its runs should move.
    Leaves(ServerKey),
}

/// All servers and all tries of this VM.
#[derive(Clone, Debug, Default)]
pub struct ServerFleet {
    servers: slotmap::SlotMap<ServerKey, server::ServerRecord>,
    by_id: collections::HashMap<String, ServerKey>,
    /// Servers by [`server::ServerRecord::name_hash`]; of two with the same hash the later one, whose load is then told
    /// wrongly: one in 10,000 pairs of 600 servers.
    by_hash: collections::HashMap<u32, ServerKey>,
    /// All that are not forgotten: a choice among those of one service must not cost by how many
    /// others there are.
    by_service: collections::HashMap<String, Vec<ServerKey>>,
    /// Those that may have spared time left.
    spared: Vec<ServerKey>,
    /// Those that something failed at since they were last looked through.
    doubted: collections::HashSet<ServerKey>,
    /// Hash of which servers stand how; each that is not gone adds its part.
    standing_hash: u64,
    /// Failure domains whose servers get no new work.
    evacuations: evacuation::EvacuationSet,
    /// What other VMs have on them.
    peers: loads::PeerLoads,
    runs: slotmap::SlotMap<RunKey, runs::RunRecord>,
}

impl ServerFleet {
    /// Takes one piece of news of the store or of a peer. News older than what made the record
    /// changes nothing, whatever way it came: a server that leaves is never believed to stay
    /// because an older word of it arrives later.
    ///
    /// `spared` says that the store was away when its entry lapsed: see [`LAPSE_GRACE`].
    pub fn take_news(
        &mut self,
        news: &update::ServerUpdate,
        spared: Option<time::Instant>,
        now: time::Instant,
    ) -> FleetChange {
        let Some(&key) = self.by_id.get(&news.id) else {
            return self.first_news(news, now);
        };
        let known = self.servers[key].born;
        match &news.entry {
            // The late word of an incarnation that is over, or of a writer that knows none.
            Some(entry) if entry.started_at < known => return FleetChange::Nothing,
            Some(entry) if entry.started_at > known && known.is_known() => {
                return self.take_successor(key, news, entry, now);
            }
            Some(entry) if entry.started_at > known => self.tell_born(key, entry.started_at),
            _ => {}
        }
        let record = &mut self.servers[key];
        let before = record.standing;
        let after = record.take_word(news);
        if after == before {
            return FleetChange::Nothing;
        }
        self.set_standing(key, after, now);
        let record = &mut self.servers[key];
        record.spared_until = match (before, after) {
            (server::ServerStanding::Ready, server::ServerStanding::Gone) => spared,
            _ => None,
        };
        if record.spared_until.is_some() {
            self.spared.push(key);
        }
        match after {
            server::ServerStanding::Ready => FleetChange::Arrived(key),
            server::ServerStanding::Gone if record.spared_until.is_some() => FleetChange::Nothing,
            _ => FleetChange::Leaves(key),
        }
    }

    fn first_news(&mut self, news: &update::ServerUpdate, now: time::Instant) -> FleetChange {
        let Some(entry) = &news.entry else {
            return FleetChange::Nothing;
        };
        let record = server::ServerRecord::new(&news.id, news.offset, entry, now);
        FleetChange::Arrived(self.insert(record))
    }

    /// A server started again under its name. It knows nothing of what the incarnation before it had:
    /// what was learnt of that one, and what runs or is kept there, stays with a record that takes no
    /// work. Were it the same record, a server that left before it crashed would get no work ever
    /// again, and a copy kept before the crash would be sent for where another run may have its name.
    fn take_successor(
        &mut self,
        before: ServerKey,
        news: &update::ServerUpdate,
        entry: &update::ServerEntry,
        now: time::Instant,
    ) -> FleetChange {
        self.set_standing(before, server::ServerStanding::Gone, now);
        let old = &mut self.servers[before];
        old.superseded = true;
        old.spared_until = None;
        let mut record = server::ServerRecord::new(&news.id, news.offset, entry, now);
        record.end_at(old.ended_offset);
        let gone = record.standing == server::ServerStanding::Gone;
        let key = self.insert(record);
        if gone {
            FleetChange::Leaves(before)
        } else {
            FleetChange::Arrived(key)
        }
    }

    /// The incarnation that is known is now known by its birth, too.
    fn tell_born(&mut self, key: ServerKey, born: update::StartTime) {
        let record = &mut self.servers[key];
        self.standing_hash ^= standing_part(record);
        record.born = born;
        self.standing_hash ^= standing_part(record);
        self.by_hash.insert(record.name_hash(), key);
    }

    fn set_standing(
        &mut self,
        key: ServerKey,
        standing: server::ServerStanding,
        now: time::Instant,
    ) {
        let record = &mut self.servers[key];
        self.standing_hash ^= standing_part(record);
        if record.standing != standing {
            record.since = now;
        }
        record.standing = standing;
        self.standing_hash ^= standing_part(record);
    }

    fn insert(&mut self, record: server::ServerRecord) -> ServerKey {
        self.standing_hash ^= standing_part(&record);
        let (id, hash) = (record.id.clone(), record.name_hash());
        let service = record.service.clone();
        let key = self.servers.insert(record);
        self.by_service.entry(service).or_default().push(key);
        self.by_id.insert(id, key);
        self.by_hash.insert(hash, key);
        key
    }

    /// A word of the store on a server whose incarnations are told apart, but which does not say which
    /// one it means, was written by somebody else: it names no server.
    #[must_use]
    pub fn names_none(&self, news: &update::ServerUpdate) -> bool {
        let known = self.by_id.get(&news.id);
        let known = known.is_some_and(|&key| self.servers[key].born.is_known());
        let entry = news.entry.as_ref();
        known && entry.is_some_and(|entry| !entry.started_at.is_known())
    }

    /// The store was read whole: servers that it does not list are gone. `end` is the position up
    /// to which the list is known to be complete.
    pub fn take_absence(
        &mut self,
        listed: &collections::HashSet<String>,
        end: u64,
        spared: Option<time::Instant>,
        now: time::Instant,
    ) -> Vec<ServerKey> {
        let absent: Vec<_> = self
            .servers
            .iter()
            .filter(|(_, record)| record.offset < end && !listed.contains(&record.id))
            .filter(|(_, record)| record.standing != server::ServerStanding::Gone)
            .map(|(_, record)| update::ServerUpdate {
                id: record.id.clone(),
                offset: record.offset + 1,
                entry: None,
            })
            .collect();
        let changes = absent.iter().map(|news| self.take_news(news, spared, now));
        changes
            .filter_map(|change| match change {
                FleetChange::Leaves(key) => Some(key),
                _ => None,
            })
            .collect()
    }

    /// Servers whose spared time has ended since they lapsed: they are gone for good.
    pub fn end_spared(&mut self, now: time::Instant) -> Vec<ServerKey> {
        let mut ended = Vec::new();
        let servers = &mut self.servers;
        self.spared.retain(|&key| {
            let Some(record) = servers.get_mut(key) else {
                return false;
            };
            let over = record.spared_until.is_some_and(|until| until <= now);
            if over {
                record.spared_until = None;
                ended.push(key);
            }
            record.spared_until.is_some()
        });
        ended
    }

    /// Forgets servers that have been gone for long and run nothing.
    pub fn sweep(&mut self, now: time::Instant) {
        let used: collections::HashSet<_> = self.runs.values().map(|run| run.server).collect();
        let old = self.servers.iter().filter(|(key, record)| {
            record.standing == server::ServerStanding::Gone
                && now.saturating_duration_since(record.since) > GONE_KEPT
                && !used.contains(key)
        });
        for key in old.map(|(key, _)| key).collect::<Vec<_>>() {
            self.forget(key);
        }
        let servers = &self.servers;
        self.doubted.retain(|key| {
            servers
                .get(*key)
                .is_some_and(|server| server.is_doubted(now))
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
        self.doubted.remove(&key);
        self.peers.forget(key);
    }

    /// A server.
    #[must_use]
    pub fn server(&self, key: ServerKey) -> Option<&server::ServerRecord> {
        self.servers.get(key)
    }

    /// A server by the hash of its name, as other VMs name it in their loads.
    #[must_use]
    pub fn find_hash(&self, hash: u32) -> Option<ServerKey> {
        self.by_hash.get(&hash).copied()
    }

    /// The newest incarnation of a server's name.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<ServerKey> {
        self.by_id.get(id).copied()
    }

    /// All servers.
    pub fn servers(&self) -> impl Iterator<Item = (ServerKey, &server::ServerRecord)> {
        self.servers.iter()
    }

    /// Servers of a service, however they stand.
    pub fn of_service(
        &self,
        service: &str,
    ) -> impl Iterator<Item = (ServerKey, &server::ServerRecord)> {
        let keys = self.by_service.get(service).into_iter().flatten();
        keys.filter_map(|&key| Some((key, self.servers.get(key)?)))
    }

    /// Servers of a service that take new work.
    pub fn ready<'a>(
        &'a self,
        service: &str,
        now: time::Instant,
    ) -> impl Iterator<Item = (ServerKey, &'a server::ServerRecord)> + use<'a> {
        let keys = self.by_service.get(service).into_iter().flatten();
        keys.filter_map(move |&key| {
            let record = self.servers.get(key)?;
            self.gives_work(record, now).then_some((key, record))
        })
    }

    /// Whether a server gets new work: it takes some, and its failure domain is not evacuated.
    #[must_use]
    pub fn gives_work(&self, record: &server::ServerRecord, now: time::Instant) -> bool {
        record.takes_work(now) && !self.evacuations.domains.contains(&record.domain)
    }

    /// Whether the failure domain of a server is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, key: ServerKey) -> bool {
        let record = self.servers.get(key);
        record.is_some_and(|record| self.evacuations.domains.contains(&record.domain))
    }

    /// Failure domains that are evacuated.
    #[must_use]
    pub const fn evacuations(&self) -> &evacuation::EvacuationSet {
        &self.evacuations
    }

    /// Takes evacuations as of a later position; says whether other domains are evacuated then.
    pub fn take_evacuations(&mut self, evacuations: evacuation::EvacuationSet) -> bool {
        self.evacuations.take(evacuations)
    }

    /// Whether a server should get no generations. An engine that goes down and up by turns takes
    /// connections and reservations all the while; it is empty, and so draws the prompts of all VMs,
    /// each of which would have to learn by a lost one.
    #[must_use]
    pub fn is_failing(&self, key: ServerKey, now: time::Instant) -> bool {
        let here = self
            .servers
            .get(key)
            .is_some_and(|record| record.fails_here(now));
        here || self.peers.say_failing(key, now)
    }

    /// A try is sent to a server.
    pub fn start(&mut self, run: runs::RunRecord) -> RunKey {
        if let Some(record) = self.servers.get_mut(run.server) {
            record.note_used(run.started);
        }
        self.runs.insert(run)
    }

    /// A try.
    #[must_use]
    pub fn run(&self, key: RunKey) -> Option<&runs::RunRecord> {
        self.runs.get(key)
    }

    /// A try, to be changed.
    pub fn run_mut(&mut self, key: RunKey) -> Option<&mut runs::RunRecord> {
        self.runs.get_mut(key)
    }

    /// All tries of this VM.
    pub fn runs(&self) -> impl Iterator<Item = (RunKey, &runs::RunRecord)> {
        self.runs.iter()
    }

    /// A try ended.
    pub fn end(&mut self, key: RunKey) -> Option<runs::RunRecord> {
        self.runs.remove(key)
    }

    /// What is learnt of a server from how a try ended there.
    pub fn judge(&mut self, key: ServerKey, verdict: server::ServerVerdict, now: time::Instant) {
        if let Some(record) = self.servers.get_mut(key) {
            record.judge(verdict, now);
            if verdict.is_bad() {
                self.doubted.insert(key);
            }
        }
    }

    /// A server said that it has no room.
    pub fn note_full(&mut self, key: ServerKey, until: time::Instant) {
        if let Some(record) = self.servers.get_mut(key) {
            record.note_full(until);
        }
    }

    /// What this VM has on each server, and which fail.
    #[must_use]
    pub fn own_loads(
        &self,
        now: time::Instant,
    ) -> slotmap::SparseSecondaryMap<ServerKey, loads::PeerLoad> {
        let mut own = slotmap::SparseSecondaryMap::<ServerKey, loads::PeerLoad>::new();
        for &key in &self.doubted {
            let record = self.servers.get(key);
            if record.is_some_and(|record| record.fails_here(now)) {
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
                let load = entry.or_default();
                load.runs += 1;
                load.tokens += tokens;
                load.backlog += run.backlog();
            }
            for copy in run.backup.iter().chain(run.moving_to.iter()) {
                if let Some(entry) = own.entry(*copy) {
                    entry.or_default().tokens += tokens;
                }
            }
        }
        own
    }

    /// Another VM told all that it has: what it does not name, it no longer has.
    pub fn take_peer_loads(
        &mut self,
        vm: u64,
        loads: impl Iterator<Item = (ServerKey, loads::PeerLoad)>,
        now: time::Instant,
    ) {
        let servers = &self.servers;
        let known = loads.filter(|(key, _)| servers.contains_key(*key));
        self.peers.replace(vm, known, now);
    }

    /// Hash of which servers stand how: equal on VMs that know the same news.
    #[must_use]
    pub const fn standing_hash(&self) -> u64 {
        self.standing_hash
    }

    /// What each server of a service has to do, over all VMs.
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

/// What a server adds to the hash of how all stand.
fn standing_part(record: &server::ServerRecord) -> u64 {
    let code = match record.standing {
        server::ServerStanding::Gone => return 0,
        server::ServerStanding::Ready => 0,
        server::ServerStanding::Leaving => 1,
    };
    let seed = record.born.millis() << 1 | code;
    xxhash_rust::xxh3::xxh3_64_with_seed(record.id.as_bytes(), seed)
}

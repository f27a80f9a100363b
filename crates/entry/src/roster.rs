//! The backend servers as this process sees them: keeps the decision core in step with the
//! configuration, with load reports and with what is leaving.

use std::{collections, sync};

use base::{id, ops, rendezvous};
use conf::{inventory, snapshot};
use gossip::digest;
use sched::{driver, request, view};
use tokio::{sync::watch as channel, time};

use crate::{sight, watch};

/// Places of names in small numbers: equal names have equal numbers.
#[derive(Debug, Default)]
struct NumberTable {
    numbers: collections::HashMap<String, u16>,
}

impl NumberTable {
    fn number(&mut self, name: &str) -> u16 {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = u16::try_from(self.numbers.len()).unwrap_or(u16::MAX);
        self.numbers.insert(name.to_owned(), number);
        number
    }
}

#[derive(Debug, Default)]
struct RosterState {
    sights: collections::HashMap<id::ServerKey, watch::ServerSight>,
    models: slotmap::SlotMap<id::ModelKey, String>,
    model_keys: collections::HashMap<String, id::ModelKey>,
    organisations: collections::HashSet<id::OrganisationKey>,
    regions: NumberTable,
    domains: NumberTable,
}

/// The servers known to be leaving; replaced whole, so that requests keep theirs.
pub type LeavingSet = sync::Arc<collections::BTreeSet<id::ServerKey>>;

/// What this process knows of the backend servers.
#[derive(Debug)]
pub struct ServerRoster {
    state: sync::Mutex<RosterState>,
    leaving: channel::Sender<LeavingSet>,
    driver: driver::Driver,
}

impl RosterState {
    fn location(&mut self, region: &str, failure_domain: &str) -> view::ServerLocation {
        view::ServerLocation {
            region: self.regions.number(region),
            failure_domain: self.domains.number(failure_domain),
        }
    }

    fn model_key(&mut self, name: &str) -> id::ModelKey {
        if let Some(key) = self.model_keys.get(name) {
            return *key;
        }
        let key = self.models.insert(name.to_owned());
        self.model_keys.insert(name.to_owned(), key);
        key
    }

    fn engine_spec(
        &mut self,
        server: &snapshot::ServerView,
        engine: &inventory::EngineEntry,
        loaded: Option<&[watch::LoadedBody]>,
    ) -> view::EngineSpec {
        let location = self.location(&server.region, &server.entry.failure_domain);
        // Until an engine has said what it has ready, it is taken to have its first model.
        let names: Vec<String> = match loaded {
            Some(loaded) => loaded.iter().map(|model| model.model.clone()).collect(),
            None => engine.models.iter().take(1).cloned().collect(),
        };
        let models = names.iter().map(|name| self.model_key(name)).collect();
        view::EngineSpec {
            identity: rendezvous::score("engine", &server.name),
            location,
            models,
            total_blocks: engine.kv_blocks,
            block_tokens: engine.block_tokens,
            max_batch: engine.max_batch,
        }
    }
}

/// What a report changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportEffect {
    /// The server was not known to be up before.
    pub came_up: bool,
    /// It was not known to be leaving before.
    pub began_leaving: bool,
}

/// What a missed report changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MissEffect {
    /// Nothing.
    None,
    /// It is suspected from now on.
    Suspected,
    /// It is taken to be dead from now on.
    Dead,
}

impl ServerRoster {
    /// An empty roster that feeds `driver`.
    #[must_use]
    pub fn new(driver: driver::Driver) -> Self {
        Self {
            state: sync::Mutex::default(),
            leaving: channel::Sender::default(),
            driver,
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, RosterState> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Follows the set of servers that are leaving.
    #[must_use]
    pub fn subscribe_leaving(&self) -> channel::Receiver<LeavingSet> {
        self.leaving.subscribe()
    }

    fn mark_leaving(&self, server: id::ServerKey) -> bool {
        self.leaving.send_if_modified(|leaving| {
            if leaving.contains(&server) {
                return false;
            }
            let mut larger = (**leaving).clone();
            larger.insert(server);
            *leaving = sync::Arc::new(larger);
            true
        })
    }

    fn unmark_leaving(&self, server: id::ServerKey) {
        self.leaving.send_if_modified(|leaving| {
            if !leaving.contains(&server) {
                return false;
            }
            let mut smaller = (**leaving).clone();
            smaller.remove(&server);
            *leaving = sync::Arc::new(smaller);
            true
        });
    }

    /// Takes in a new snapshot: servers, models, organisations and the policy's settings.
    pub fn configure(&self, snapshot: &snapshot::ConfigSnapshot, own: &sight::OwnPlace) {
        let mut state = self.lock();
        let location = state.location(&own.region, &own.failure_domain);
        let engines: Vec<(id::ServerKey, view::EngineSpec)> = snapshot
            .servers()
            .filter_map(|(key, server)| match &server.entry.kind {
                inventory::ServerKind::ModelEngine(engine) => {
                    let report = state
                        .sights
                        .get(&key)
                        .and_then(|sight| sight.report.clone());
                    let loaded = report.as_ref().map(|report| report.models.as_slice());
                    Some((key, state.engine_spec(server, engine, loaded)))
                }
                inventory::ServerKind::PlainService { .. } => None,
            })
            .collect();
        let gone: Vec<id::ServerKey> = state
            .sights
            .keys()
            .copied()
            .filter(|key| snapshot.server(*key).is_none())
            .collect();
        for key in &gone {
            state.sights.remove(key);
        }
        for (key, _) in snapshot.servers() {
            state.sights.entry(key).or_default();
        }
        let organisations = snapshot.organisations().map(|(key, _)| key).collect();
        let former = std::mem::replace(&mut state.organisations, organisations);
        drop(state);
        let policy = sight::policy_settings(snapshot, location, own);
        self.driver.change(|core, now| {
            core.settings_changed(policy);
            for key in gone {
                core.server_removed(key);
            }
            for (key, spec) in engines {
                core.server_added(key, spec, now);
            }
            for (key, organisation) in snapshot.organisations() {
                core.organisation_set(key, sight::plan(&organisation.rule));
            }
            for key in former {
                if snapshot.organisation(key).is_none() {
                    core.organisation_removed(key);
                }
            }
        });
    }

    /// Takes in a load report of an engine.
    pub fn reported(
        &self,
        key: id::ServerKey,
        server: &snapshot::ServerView,
        report: watch::LoadBody,
        now: time::Instant,
    ) -> ReportEffect {
        let inventory::ServerKind::ModelEngine(engine) = &server.entry.kind else {
            return ReportEffect::default();
        };
        let mut state = self.lock();
        let sight = state.sights.entry(key).or_default();
        let came_up = sight.report.is_none() || sight.misses >= watch::SUSPECT_MISSES;
        let former = sight.report.replace(report.clone());
        sight.reported_at = Some(now);
        sight.misses = 0;
        sight.in_doubt = false;
        let restarted = former
            .as_ref()
            .is_some_and(|it| it.incarnation != report.incarnation);
        if restarted {
            sight.cache_position = 0;
            // Leaving is never unlearnt for one life of a server; this is another life.
            self.unmark_leaving(key);
        }
        let began_leaving = report.leaving && self.mark_leaving(key);
        let changed = former.is_none_or(|it| it.models != report.models) || restarted;
        let spec = changed.then(|| state.engine_spec(server, engine, Some(&report.models)));
        let is_leaving = self.leaving.borrow().contains(&key);
        drop(state);
        self.driver.change(|core, _| {
            if let Some(spec) = spec {
                core.server_added(key, spec, now);
            }
            if restarted {
                core.server_restarted(key, now);
            }
            core.server_reported(key, sight::load_report(&report, now));
            core.server_suspected(key, false);
            if is_leaving {
                core.server_leaving(key);
            }
        });
        ReportEffect {
            came_up,
            began_leaving,
        }
    }

    /// Takes in an engine's load as its watcher passed it on.
    pub fn heard(&self, key: id::ServerKey, load: &digest::EngineLoad, taken_at: time::Instant) {
        let mut state = self.lock();
        let sight = state.sights.entry(key).or_default();
        let Some(report) = sight.report.as_mut() else {
            return;
        };
        if digest::incarnation_hash(&report.incarnation.to_string()) != load.incarnation_hash {
            // Another life, of which this process knows nothing: it looks for itself.
            sight.in_doubt = true;
            return;
        }
        report.free_blocks = load.free_blocks;
        report.running = load.running;
        report.waiting = load.waiting;
        report.preemptions = u64::from(load.preemptions);
        report.taken_ms_ago = 0;
        let report = sight::load_report(report, taken_at);
        sight.reported_at = Some(taken_at);
        drop(state);
        self.driver
            .change(|core, _| core.server_reported(key, report));
    }

    /// Number of the last cache event that was read of a server, when it is time to read on.
    pub fn take_cache_turn(&self, key: id::ServerKey, now: time::Instant) -> Option<u64> {
        let mut state = self.lock();
        let sight = state.sights.get_mut(&key)?;
        let is_early = sight
            .cache_read_at
            .is_some_and(|at| now.duration_since(at) < watch::CACHE_INTERVAL);
        if is_early {
            return None;
        }
        sight.cache_read_at = Some(now);
        Some(sight.cache_position)
    }

    /// Takes in what a server's cache stored (true) and evicted, up to event number `position`.
    pub fn cache_changed<I>(&self, key: id::ServerKey, changes: I, position: u64)
    where
        I: Iterator<Item = (request::PrefixHash, bool)>,
    {
        if let Some(sight) = self.lock().sights.get_mut(&key) {
            sight.cache_position = position;
        }
        self.driver.change(|core, now| {
            for (prefix, is_stored) in changes {
                core.prefix_reported(key, prefix, is_stored, now);
            }
        });
    }

    /// Whether a server's last answer is missing or tells less than is known from others.
    #[must_use]
    pub fn is_in_doubt(&self, key: id::ServerKey) -> bool {
        let state = self.lock();
        state
            .sights
            .get(&key)
            .is_none_or(|sight| sight.in_doubt || sight.misses > 0 || sight.reported_at.is_none())
    }

    /// Takes in the answer of a plain service server to a health check.
    pub fn healthy(&self, key: id::ServerKey, leaving: bool, now: time::Instant) -> ReportEffect {
        let mut state = self.lock();
        let sight = state.sights.entry(key).or_default();
        let came_up = sight.reported_at.is_none() || sight.misses >= watch::SUSPECT_MISSES;
        sight.reported_at = Some(now);
        sight.misses = 0;
        let began_leaving = leaving && self.mark_leaving(key);
        ReportEffect {
            came_up,
            began_leaving,
        }
    }

    /// Takes in that a server did not answer.
    pub fn missed(&self, key: id::ServerKey) -> MissEffect {
        let mut state = self.lock();
        let sight = state.sights.entry(key).or_default();
        sight.misses = sight.misses.saturating_add(1);
        let misses = sight.misses;
        drop(state);
        match misses {
            watch::SUSPECT_MISSES => {
                self.driver
                    .change(|core, _| core.server_suspected(key, true));
                MissEffect::Suspected
            }
            watch::DEAD_MISSES => MissEffect::Dead,
            _ => MissEffect::None,
        }
    }

    /// Marks a server as leaving; false when it was known.
    pub fn leave(&self, key: id::ServerKey) -> bool {
        let fresh = self.mark_leaving(key);
        self.driver.change(|core, _| core.server_leaving(key));
        fresh
    }

    /// The servers known to be leaving.
    #[must_use]
    pub fn leaving(&self) -> LeavingSet {
        sync::Arc::clone(&self.leaving.borrow())
    }

    /// Whether a server is known to be leaving.
    #[must_use]
    pub fn is_leaving(&self, key: id::ServerKey) -> bool {
        self.leaving.borrow().contains(&key)
    }

    /// Whether a server missed its last polls.
    #[must_use]
    pub fn is_suspected(&self, key: id::ServerKey) -> bool {
        self.lock()
            .sights
            .get(&key)
            .is_some_and(|sight| sight.misses >= watch::SUSPECT_MISSES)
    }

    /// The life of a server's process by its last report.
    #[must_use]
    pub fn incarnation(&self, key: id::ServerKey) -> Option<id::Incarnation> {
        let state = self.lock();
        let report = state.sights.get(&key)?.report.as_ref()?;
        Some(report.incarnation)
    }

    /// Hash and key of every model.
    #[must_use]
    pub fn models(&self) -> Vec<(u64, id::ModelKey)> {
        let state = self.lock();
        let models = state.model_keys.iter();
        models
            .map(|(name, key)| (digest::subject_hash(name), *key))
            .collect()
    }

    /// The key of a model that some engine serves or may serve.
    #[must_use]
    pub fn model_key(&self, name: &str) -> Option<id::ModelKey> {
        self.lock().model_keys.get(name).copied()
    }

    /// The backend servers for the operators' face.
    #[must_use]
    pub fn status(
        &self,
        snapshot: &snapshot::ConfigSnapshot,
        now: time::Instant,
    ) -> Vec<ops::ServerStatus> {
        let state = self.lock();
        let mut servers: Vec<ops::ServerStatus> = snapshot
            .servers()
            .map(|(key, server)| {
                let sight = state.sights.get(&key).cloned().unwrap_or_default();
                sight::server_status(server, &sight, self.leaving.borrow().contains(&key), now)
            })
            .collect();
        servers.sort_by(|left, right| left.server.cmp(&right.server));
        servers
    }
}

/// The number by which the entry VMs order themselves when they divide the engines.
#[must_use]
pub fn vm_identity(name: &str) -> u64 {
    rendezvous::score("vm", name)
}

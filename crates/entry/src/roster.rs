//! The backend servers as this process observes them: keeps the decision core up to date with the
//! configuration, load reports and the servers that are leaving.

use std::{collections, sync};

use base::{id, ops, rendezvous};
use conf::{inventory, snapshot};
use gossip::digest;
use sched::{driver, request, view};
use tokio::{sync::watch as channel, time};

use crate::{observation, watch};

/// Maps names to small numbers; equal names have equal numbers.
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
    observations: collections::HashMap<id::ServerKey, watch::ServerObservation>,
    models: slotmap::SlotMap<id::ModelKey, String>,
    model_keys: collections::HashMap<String, id::ModelKey>,
    organisations: collections::HashSet<id::OrganisationKey>,
    regions: NumberTable,
    domains: NumberTable,
}

/// The servers known to be leaving. An update replaces the set, so that a request keeps the
/// version that it started with.
pub type LeavingSet = sync::Arc<collections::BTreeSet<id::ServerKey>>;

/// State of the backend servers as this process knows it.
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
        // Until an engine has reported its loaded models, assume that it has its first one.
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

/// Effect of a report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportEffect {
    /// Whether the server was not known to be up before.
    pub came_up: bool,
    /// Whether the server was not known to be leaving before.
    pub began_leaving: bool,
}

/// Effect of a missed report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MissEffect {
    /// The state of the server did not change.
    None,
    /// The server became suspected.
    Suspected,
    /// The server is considered dead from now on.
    Dead,
}

impl ServerRoster {
    /// Creates an empty roster that updates `driver`.
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

    /// Subscribes to the set of servers that are leaving.
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

    /// Applies a new snapshot: servers, models, organisations and the policy's settings.
    pub fn configure(&self, snapshot: &snapshot::ConfigSnapshot, own: &observation::OwnPlace) {
        let mut state = self.lock();
        let location = state.location(&own.region, &own.failure_domain);
        let engines: Vec<(id::ServerKey, view::EngineSpec)> = snapshot
            .servers()
            .filter_map(|(key, server)| match &server.entry.kind {
                inventory::ServerKind::ModelEngine(engine) => {
                    let report = state
                        .observations
                        .get(&key)
                        .and_then(|observation| observation.report.clone());
                    let loaded = report.as_ref().map(|report| report.models.as_slice());
                    Some((key, state.engine_spec(server, engine, loaded)))
                }
                inventory::ServerKind::PlainService { .. } => None,
            })
            .collect();
        let removed: Vec<id::ServerKey> = state
            .observations
            .keys()
            .copied()
            .filter(|key| snapshot.server(*key).is_none())
            .collect();
        for key in &removed {
            state.observations.remove(key);
        }
        for (key, _) in snapshot.servers() {
            state.observations.entry(key).or_default();
        }
        let organisations = snapshot.organisations().map(|(key, _)| key).collect();
        let previous = std::mem::replace(&mut state.organisations, organisations);
        drop(state);
        let policy = observation::policy_settings(snapshot, location, own);
        self.driver.change(|core, now| {
            core.settings_changed(policy);
            for key in removed {
                core.server_removed(key);
            }
            for (key, spec) in engines {
                core.server_added(key, spec, now);
            }
            for (key, organisation) in snapshot.organisations() {
                core.organisation_set(key, observation::plan(&organisation.rule));
            }
            for key in previous {
                if snapshot.organisation(key).is_none() {
                    core.organisation_removed(key);
                }
            }
        });
    }

    /// Applies a load report of an engine.
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
        let observation = state.observations.entry(key).or_default();
        let came_up = observation.report.is_none() || observation.misses >= watch::SUSPECT_MISSES;
        let previous = observation.report.replace(report.clone());
        observation.reported_at = Some(now);
        observation.misses = 0;
        observation.in_doubt = false;
        let restarted = previous
            .as_ref()
            .is_some_and(|it| it.incarnation != report.incarnation);
        if restarted {
            observation.cache_position = 0;
            // A leaving mark is permanent for one incarnation of a server; this is a new one.
            self.unmark_leaving(key);
        }
        let began_leaving = report.leaving && self.mark_leaving(key);
        let changed = previous.is_none_or(|it| it.models != report.models) || restarted;
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
            core.server_reported(key, observation::load_report(&report, now));
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

    /// Applies an engine's load received from the entry VM that watches it.
    pub fn load_received(
        &self,
        key: id::ServerKey,
        load: &digest::EngineLoad,
        taken_at: time::Instant,
    ) {
        let mut state = self.lock();
        let observation = state.observations.entry(key).or_default();
        let Some(report) = observation.report.as_mut() else {
            return;
        };
        if digest::incarnation_hash(&report.incarnation.to_string()) != load.incarnation_hash {
            // The load is of an incarnation unknown to this process: poll the engine directly.
            observation.in_doubt = true;
            return;
        }
        report.free_blocks = load.free_blocks;
        report.running = load.running;
        report.waiting = load.waiting;
        report.preemptions = u64::from(load.preemptions);
        report.taken_ms_ago = 0;
        let report = observation::load_report(report, taken_at);
        observation.reported_at = Some(taken_at);
        drop(state);
        self.driver
            .change(|core, _| core.server_reported(key, report));
    }

    /// Returns the number of the last cache event read from a server if the next read is due, and
    /// marks that read as started.
    pub fn claim_cache_read(&self, key: id::ServerKey, now: time::Instant) -> Option<u64> {
        let mut state = self.lock();
        let observation = state.observations.get_mut(&key)?;
        let is_early = observation
            .cache_read_at
            .is_some_and(|at| now.duration_since(at) < watch::CACHE_INTERVAL);
        if is_early {
            return None;
        }
        observation.cache_read_at = Some(now);
        Some(observation.cache_position)
    }

    /// Applies the prefixes that a server's cache stored (true) and evicted (false), up to event
    /// number `position`.
    pub fn cache_changed<I>(&self, key: id::ServerKey, changes: I, position: u64)
    where
        I: Iterator<Item = (request::PrefixHash, bool)>,
    {
        if let Some(observation) = self.lock().observations.get_mut(&key) {
            observation.cache_position = position;
        }
        self.driver.change(|core, now| {
            for (prefix, is_stored) in changes {
                core.prefix_reported(key, prefix, is_stored, now);
            }
        });
    }

    /// Whether a server has not answered yet, its last poll failed, or another entry VM reported a
    /// different incarnation.
    #[must_use]
    pub fn is_in_doubt(&self, key: id::ServerKey) -> bool {
        let state = self.lock();
        state.observations.get(&key).is_none_or(|observation| {
            observation.in_doubt || observation.misses > 0 || observation.reported_at.is_none()
        })
    }

    /// Applies the answer of a plain service server to a health check.
    pub fn healthy(&self, key: id::ServerKey, leaving: bool, now: time::Instant) -> ReportEffect {
        let mut state = self.lock();
        let observation = state.observations.entry(key).or_default();
        let came_up =
            observation.reported_at.is_none() || observation.misses >= watch::SUSPECT_MISSES;
        observation.reported_at = Some(now);
        observation.misses = 0;
        let began_leaving = leaving && self.mark_leaving(key);
        ReportEffect {
            came_up,
            began_leaving,
        }
    }

    /// Counts a poll that a server did not answer.
    pub fn missed(&self, key: id::ServerKey) -> MissEffect {
        let mut state = self.lock();
        let observation = state.observations.entry(key).or_default();
        observation.misses = observation.misses.saturating_add(1);
        let misses = observation.misses;
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

    /// Marks a server as leaving; returns false when it was marked already.
    pub fn leave(&self, key: id::ServerKey) -> bool {
        let is_new = self.mark_leaving(key);
        self.driver.change(|core, _| core.server_leaving(key));
        is_new
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
            .observations
            .get(&key)
            .is_some_and(|observation| observation.misses >= watch::SUSPECT_MISSES)
    }

    /// Incarnation of a server's process by its last report.
    #[must_use]
    pub fn incarnation(&self, key: id::ServerKey) -> Option<id::Incarnation> {
        let state = self.lock();
        let report = state.observations.get(&key)?.report.as_ref()?;
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

    /// Status of the backend servers for the operators' API.
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
                let observation = state.observations.get(&key).cloned().unwrap_or_default();
                observation::server_status(
                    server,
                    &observation,
                    self.leaving.borrow().contains(&key),
                    now,
                )
            })
            .collect();
        servers.sort_by(|left, right| left.server.cmp(&right.server));
        servers
    }
}

/// Number that orders the entry VMs when they divide the engines among them.
#[must_use]
pub fn vm_identity(name: &str) -> u64 {
    rendezvous::score("vm", name)
}

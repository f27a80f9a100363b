//! Watching model engines: asks each for its load and hands the report on.

use std::{collections, sync, time::Duration};

use base::id;
use conf::{inventory, snapshot};
use gossip::{digest, handle, watching};
use sched::request;
use tokio::time;

use crate::{chronicle, configure, roster};

/// Load of one engine as it reports it.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct LoadBody {
    /// The life of the engine's process.
    pub incarnation: id::Incarnation,
    /// How old the report is, in milliseconds.
    pub taken_ms_ago: u64,
    /// KV cache blocks that it has.
    pub total_blocks: u32,
    /// Blocks that no generation holds.
    pub free_blocks: u32,
    /// Tokens in one block.
    pub block_tokens: u32,
    /// Generations in its batch.
    pub running: u32,
    /// Generations in its own queue.
    pub waiting: u32,
    /// Preemptions since its start.
    pub preemptions: u64,
    /// Models that it has ready.
    pub models: Vec<LoadedBody>,
    /// Its role.
    #[serde(default)]
    pub role: String,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// One model that an engine has ready.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct LoadedBody {
    /// The model.
    pub model: String,
    /// Its version.
    #[serde(default)]
    pub version: String,
    /// Adapters beside it.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// What this VM last saw of one backend server.
#[derive(Clone, Debug, Default)]
pub struct ServerSight {
    /// Its last report, when it has answered in this life.
    pub report: Option<LoadBody>,
    /// When the last answer arrived, on this VM's clock.
    pub reported_at: Option<time::Instant>,
    /// Polls in a row that were not answered.
    pub misses: u32,
    /// Number of the last cache event that was read in this life.
    pub cache_position: u64,
    /// When the cache events were last read.
    pub cache_read_at: Option<time::Instant>,
    /// Others told of another life of it than this process knows.
    pub in_doubt: bool,
}

/// Polls in a row without an answer after which a server is suspected.
pub const SUSPECT_MISSES: u32 = 2;
/// Polls in a row without an answer after which a server is taken to be dead.
pub const DEAD_MISSES: u32 = 4;
/// Time between two polls of a server by its first watcher, or while it is in doubt.
pub const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two polls of a server by its other watchers.
pub const STANDBY_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two polls of a server by an entry VM that only uses it.
pub const USER_INTERVAL: Duration = Duration::from_secs(10);
/// Servers that one VM uses for which [`USER_INTERVAL`] holds; it grows with their number beyond.
const FEW_SERVERS: u32 = 12;
/// Time between two polls of a server that this VM does not use, such as one of another region.
const STRANGER_INTERVAL: Duration = Duration::from_secs(300);
/// Time between two readings of an engine's cache events by its first watcher.
pub const CACHE_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two looks at which polls are due.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for the answer to one poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(400);

fn user_interval(servers: usize) -> Duration {
    let servers = u32::try_from(servers).unwrap_or(u32::MAX);
    USER_INTERVAL * servers.div_ceil(FEW_SERVERS).max(1)
}

/// Answer of a plain service server to a health check.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
struct HealthBody {
    #[serde(default)]
    leaving: bool,
}

/// One cache event of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize)]
struct CacheEventBody {
    kind: String,
    prefix_hash: u64,
    tokens: u32,
}

impl CacheEventBody {
    fn prefix(&self) -> request::PrefixHash {
        request::PrefixHash {
            hash: self.prefix_hash,
            tokens: self.tokens,
        }
    }
}

/// Cache events of an engine since the last look.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize)]
struct CachePageBody {
    events: Vec<CacheEventBody>,
    next: u64,
}

/// Polls backend servers, feeds the roster, and passes loads on.
///
/// Were every entry VM to poll every server often, 410 of them before 600 engines would spend
/// most of their budget on polls. So few watchers of each server poll it often and pass the load
/// on; those that only use it look for themselves now and then, which also shows them its models.
#[derive(Clone, Debug)]
pub struct LoadWatcher {
    /// Connections for polls alone, so that no poll waits behind a stream.
    pub http: reqwest::Client,
    /// The configuration in force.
    pub book: sync::Arc<configure::ConfigBook>,
    /// Fed with what was seen.
    pub roster: sync::Arc<roster::ServerRoster>,
    /// Says who watches what, and carries loads.
    pub gossip: handle::GossipHandle,
    /// Told of changes of state.
    pub chronicle: chronicle::Chronicle,
}

impl LoadWatcher {
    /// Polls for ever.
    pub async fn run(self) {
        let mut due: collections::HashMap<id::ServerKey, time::Instant> =
            collections::HashMap::new();
        let mut tick = time::interval(LOOK_INTERVAL);
        tick.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            tick.tick().await;
            let now = time::Instant::now();
            let snapshot = self.book.snapshot();
            due.retain(|key, _| snapshot.server(*key).is_some());
            for (key, server) in snapshot.servers() {
                if due.get(&key).is_some_and(|at| *at > now) {
                    continue;
                }
                due.insert(key, now + self.interval(key, server));
                // In a task of its own: a server that does not answer must not delay the others.
                let (watcher, server) = (self.clone(), server.clone());
                tokio::spawn(async move { watcher.poll(key, &server).await });
            }
        }
    }

    fn interval(&self, key: id::ServerKey, server: &snapshot::ServerView) -> Duration {
        let seen = self.gossip.snapshot();
        let candidates = seen.plan.candidates(&self.gossip.identity().name);
        // Before the first plan everything is looked at; after it, hundreds of servers that this
        // VM does not use would cost more than its whole budget.
        if !candidates.is_empty() && !candidates.contains(&server.name) {
            return STRANGER_INTERVAL;
        }
        if self.roster.is_in_doubt(key) {
            return POLL_INTERVAL;
        }
        match self.gossip.watch_duty(&server.name) {
            watching::WatchDuty::First => POLL_INTERVAL,
            watching::WatchDuty::Standby => STANDBY_INTERVAL,
            watching::WatchDuty::None => user_interval(candidates.len()),
        }
    }

    async fn poll(&self, key: id::ServerKey, server: &snapshot::ServerView) {
        let effect = match &server.entry.kind {
            inventory::ServerKind::ModelEngine(_) => {
                match self.get::<LoadBody>(server, "/v1/load").await {
                    Ok(body) => {
                        self.pass_on(server, &body).await;
                        self.read_cache_events(key, server).await;
                        Ok(self
                            .roster
                            .reported(key, server, body, time::Instant::now()))
                    }
                    Err(error) => Err(error),
                }
            }
            inventory::ServerKind::PlainService { .. } => self
                .get::<HealthBody>(server, "/healthz")
                .await
                .map(|body| self.roster.healthy(key, body.leaving, time::Instant::now())),
        };
        match effect {
            Ok(effect) => self.note_report(server, effect),
            Err(error) => self.note_miss(key, server, &error),
        }
    }

    /// Reads what an engine's cache stored and evicted, as its first watcher.
    async fn read_cache_events(&self, key: id::ServerKey, server: &snapshot::ServerView) {
        if self.gossip.watch_duty(&server.name) != watching::WatchDuty::First {
            return;
        }
        let Some(after) = self.roster.take_cache_turn(key, time::Instant::now()) else {
            return;
        };
        let path = format!("/v1/cache-events?after={after}");
        let Ok(page) = self.get::<CachePageBody>(server, &path).await else {
            return;
        };
        let events = page
            .events
            .iter()
            .map(|event| (event.prefix(), event.kind == "stored"));
        self.roster.cache_changed(key, events, page.next);
    }

    async fn pass_on(&self, server: &snapshot::ServerView, body: &LoadBody) {
        let load = digest::EngineLoad {
            incarnation_hash: digest::incarnation_hash(&body.incarnation.to_string()),
            free_blocks: body.free_blocks,
            running: body.running,
            waiting: body.waiting,
            preemptions: u32::try_from(body.preemptions).unwrap_or(u32::MAX),
        };
        self.gossip.publish_load(server.name.clone(), load).await;
    }

    async fn get<T: serde::de::DeserializeOwned>(
        &self,
        server: &snapshot::ServerView,
        path: &str,
    ) -> Result<T, reqwest::Error> {
        let url = format!("http://{}{path}", server.entry.address);
        let answer = self.http.get(url).timeout(POLL_TIMEOUT).send().await?;
        answer.error_for_status()?.json().await
    }

    fn note_report(&self, server: &snapshot::ServerView, effect: roster::ReportEffect) {
        let name = &server.name;
        if effect.came_up {
            log::info!(server = name.as_str(); "backend server is up");
            let reason = "answers polls".to_owned();
            self.chronicle.record(trace::kind::EventKind::ServerUp {
                server: name.clone(),
                reason,
            });
        }
        if effect.began_leaving {
            log::info!(server = name.as_str(); "backend server is leaving");
            let source = "itself".to_owned();
            self.chronicle
                .record(trace::kind::EventKind::ServerLeaving {
                    server: name.clone(),
                    source,
                });
        }
    }

    fn note_miss(&self, key: id::ServerKey, server: &snapshot::ServerView, error: &reqwest::Error) {
        metrics::counter!("pollenchute_watch_missed_polls_total").increment(1);
        let name = &server.name;
        let reason = error.to_string();
        match self.roster.missed(key) {
            roster::MissEffect::None => {}
            roster::MissEffect::Suspected => {
                log::warn!(server = name.as_str(), reason = reason.as_str(); "backend server is suspected");
                self.chronicle
                    .record(trace::kind::EventKind::ServerSuspected {
                        server: name.clone(),
                        reason,
                    });
            }
            roster::MissEffect::Dead => {
                log::warn!(server = name.as_str(), reason = reason.as_str(); "backend server is dead");
                self.chronicle.record(trace::kind::EventKind::ServerDead {
                    server: name.clone(),
                    reason,
                });
            }
        }
    }
}

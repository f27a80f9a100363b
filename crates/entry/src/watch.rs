//! Polls backend servers for their load and health and shares the loads of engines.

use std::{collections, sync, time::Duration};

use base::id;
use conf::{inventory, snapshot};
use gossip::{digest, handle, watching};
use sched::request;
use tokio::time;

use crate::{configure, recorder, roster};

/// Load of one engine as it reports it.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct LoadBody {
    /// Incarnation of the engine's process.
    pub incarnation: id::Incarnation,
    /// Age of the report, in milliseconds.
    pub taken_ms_ago: u64,
    /// Total KV cache blocks.
    pub total_blocks: u32,
    /// KV cache blocks that no generation holds.
    pub free_blocks: u32,
    /// Tokens in one block.
    pub block_tokens: u32,
    /// Generations in its batch.
    pub running: u32,
    /// Generations in the engine's queue.
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
    /// Adapters loaded with it.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// State of one backend server as this VM last observed it.
#[derive(Clone, Debug, Default)]
pub struct ServerObservation {
    /// Its last report; absent until it answers.
    pub report: Option<LoadBody>,
    /// When the last answer arrived, on this VM's clock.
    pub reported_at: Option<time::Instant>,
    /// Consecutive polls that were not answered.
    pub misses: u32,
    /// Number of the last cache event read from this incarnation.
    pub cache_position: u64,
    /// When the cache events were last read.
    pub cache_read_at: Option<time::Instant>,
    /// Whether another entry VM reported an incarnation unknown to this process.
    pub in_doubt: bool,
}

/// Consecutive unanswered polls after which a server is suspected.
pub const SUSPECT_MISSES: u32 = 2;
/// Consecutive unanswered polls after which a server is considered dead.
pub const DEAD_MISSES: u32 = 4;
/// Poll interval of a server's first watcher, and of all VMs while its state is in doubt.
pub const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Poll interval of a server's other watchers.
pub const STANDBY_INTERVAL: Duration = Duration::from_secs(2);
/// Poll interval of an entry VM that uses a server but does not watch it.
pub const USER_INTERVAL: Duration = Duration::from_secs(10);
/// Number of used servers up to which [`USER_INTERVAL`] applies; beyond it the interval grows in
/// proportion.
const USER_INTERVAL_SERVERS: u32 = 12;
/// Poll interval of a server that this VM does not use, such as one of another region.
const UNUSED_SERVER_INTERVAL: Duration = Duration::from_secs(300);
/// Interval at which an engine's first watcher reads its cache events.
pub const CACHE_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between two checks for polls that are due.
const DUE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of one poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(400);

fn user_interval(servers: usize) -> Duration {
    let servers = u32::try_from(servers).unwrap_or(u32::MAX);
    USER_INTERVAL * servers.div_ceil(USER_INTERVAL_SERVERS).max(1)
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

/// Cache events of an engine since the last read.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize)]
struct CachePageBody {
    events: Vec<CacheEventBody>,
    next: u64,
}

/// Polls backend servers, updates the roster, and shares loads through gossip.
///
/// If every entry VM polled every server often, 410 entry VMs and 600 engines would spend most of
/// their control budget on polls. So a few watchers of each server poll it often and share its
/// load; VMs that only use it poll it rarely, which also shows them its models.
#[derive(Clone, Debug)]
pub struct LoadWatcher {
    /// HTTP client used only for polls, so that no poll waits behind a stream.
    pub http: reqwest::Client,
    /// The configuration in force.
    pub active_config: sync::Arc<configure::ActiveConfig>,
    /// Receives the reports.
    pub roster: sync::Arc<roster::ServerRoster>,
    /// Assigns the watchers and carries loads.
    pub gossip: handle::GossipHandle,
    /// Records changes of state.
    pub recorder: recorder::EventRecorder,
}

impl LoadWatcher {
    /// Polls until cancelled.
    pub async fn run(self) {
        let mut due: collections::HashMap<id::ServerKey, time::Instant> =
            collections::HashMap::new();
        let mut tick = time::interval(DUE_CHECK_INTERVAL);
        tick.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            tick.tick().await;
            let now = time::Instant::now();
            let snapshot = self.active_config.snapshot();
            due.retain(|key, _| snapshot.server(*key).is_some());
            for (key, server) in snapshot.servers() {
                if due.get(&key).is_some_and(|at| *at > now) {
                    continue;
                }
                due.insert(key, now + self.interval(key, server));
                // A separate task, because a server that does not answer must not delay the others.
                let (watcher, server) = (self.clone(), server.clone());
                tokio::spawn(async move { watcher.poll(key, &server).await });
            }
        }
    }

    fn interval(&self, key: id::ServerKey, server: &snapshot::ServerView) -> Duration {
        let seen = self.gossip.snapshot();
        let candidates = seen.plan.candidates(&self.gossip.identity().name);
        // Before the first plan every server is polled. After it, polling the hundreds of servers
        // that this VM does not use would cost more than its complete budget.
        if !candidates.is_empty() && !candidates.contains(&server.name) {
            return UNUSED_SERVER_INTERVAL;
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

    /// Reads the cache events of an engine if this VM is its first watcher.
    async fn read_cache_events(&self, key: id::ServerKey, server: &snapshot::ServerView) {
        if self.gossip.watch_duty(&server.name) != watching::WatchDuty::First {
            return;
        }
        let Some(after) = self.roster.claim_cache_read(key, time::Instant::now()) else {
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
            self.recorder.record(trace::kind::EventKind::ServerUp {
                server: name.clone(),
                reason,
            });
        }
        if effect.began_leaving {
            log::info!(server = name.as_str(); "backend server is leaving");
            let source = "itself".to_owned();
            self.recorder.record(trace::kind::EventKind::ServerLeaving {
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
                self.recorder
                    .record(trace::kind::EventKind::ServerSuspected {
                        server: name.clone(),
                        reason,
                    });
            }
            roster::MissEffect::Dead => {
                log::warn!(server = name.as_str(), reason = reason.as_str(); "backend server is dead");
                self.recorder.record(trace::kind::EventKind::ServerDead {
                    server: name.clone(),
                    reason,
                });
            }
        }
    }
}

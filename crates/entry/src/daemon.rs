//! Starts everything of one entry daemon, and stops it in order.

use std::{net, sync, time::Duration};

use base::id;
use flow::{plane, settings as plane_settings, token, view};
use ledger::{host, route};
use rand::SeedableRng as _;
use sched::{core, driver};
use snafu::{ResultExt as _, Snafu};
use tokio::{sync::watch as channel, task, time};
use trace::{journal, kind, ring};
use wire::{identity, key};

use crate::{
    adapt::{claims, identity as identity_port, jobs, peers, quota, schedule},
    chronicle, configure, digests, follow, http, members, membership, peer_service, ports, roster,
    settings, state, vm_list, watch,
};

/// Largest part of the time line's ring, in bytes.
const TIMELINE_BYTES: usize = 8 << 20;
/// Time between two looks at the log's partitions.
const LEDGER_INTERVAL: Duration = Duration::from_secs(2);
/// How long streams that are handed over may take to end.
const HANDOVER: Duration = Duration::from_secs(5);

/// The daemon cannot start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The settings cannot be used.
    #[snafu(display("settings: {what}; {remedy}"))]
    Settings {
        /// What is wrong.
        what: String,
        /// What to do.
        remedy: String,
    },
    /// The callers' address cannot be listened on.
    #[snafu(display("cannot serve on {address}: {message}; free the address or change `callers`"))]
    Serve {
        /// The address.
        address: net::SocketAddr,
        /// What rocket said.
        message: String,
    },
    /// The address for other entry VMs cannot be listened on.
    #[snafu(display("cannot listen for peers on {address}: {source}; free it or change `peers`"))]
    Peers {
        /// The address.
        address: net::SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// Gossip cannot start.
    #[snafu(display("{source}"))]
    Gossip {
        /// Why.
        source: gossip::driver::StartError,
    },
    /// A connection pool cannot be made.
    #[snafu(display("cannot make an HTTP client: {source}; check the machine's limits"))]
    Client {
        /// What the library said.
        source: reqwest::Error,
    },
}

/// One running daemon.
#[derive(Debug)]
pub struct RunningDaemon {
    state: sync::Arc<state::EntryState>,
    callers: net::SocketAddr,
    shutdown: rocket::Shutdown,
    server: task::JoinHandle<()>,
    controllers: task::JoinSet<()>,
}

impl RunningDaemon {
    /// Where callers and operators connect.
    #[must_use]
    pub const fn callers(&self) -> net::SocketAddr {
        self.callers
    }

    /// Where other entry VMs connect.
    #[must_use]
    pub fn peers(&self) -> net::SocketAddr {
        self.state.peers
    }

    /// What its faces and controllers share.
    #[must_use]
    pub const fn state(&self) -> &sync::Arc<state::EntryState> {
        &self.state
    }

    /// Completes when its HTTP server has ended by itself.
    pub async fn ended(&mut self) {
        let _ = (&mut self.server).await;
    }

    /// Stops gracefully: takes nothing new, finishes or hands over what runs, then ends.
    pub async fn stop(mut self) {
        let chronicle = &self.state.chronicle;
        chronicle.record(kind::EventKind::ProcessStopping {
            reason: "told to stop".to_owned(),
        });
        log::info!(vm = self.state.settings.vm.as_str(); "stopping");
        let left = self
            .state
            .plane
            .gate()
            .drain(self.state.settings.bounds.drain(), HANDOVER)
            .await;
        if left > 0 {
            log::warn!(left = left; "requests still run after the wait");
        }
        self.state.gossip.depart().await;
        self.shutdown.notify();
        let _ = (&mut self.server).await;
        self.controllers.shutdown().await;
    }
}

/// Checks what no type can.
///
/// # Errors
///
/// [`StartError::Settings`] with the remedy.
pub fn check(settings: &settings::DaemonSettings) -> Result<token::TokenKeys, StartError> {
    let fail = |what: String, remedy: &str| {
        Err(StartError::Settings {
            what,
            remedy: remedy.to_owned(),
        })
    };
    let mut keys = Vec::new();
    for key in &settings.cluster_keys {
        match hex::decode(&key.secret) {
            Ok(secret) if secret.len() == settings::CLUSTER_KEY_BYTES => {
                keys.push(token::TokenKey { id: key.id, secret });
            }
            _ => {
                let what = format!("cluster key {} is not 64 hexadecimal digits", key.id);
                return fail(what, "draw 32 random bytes and write them in hexadecimal");
            }
        }
    }
    let mut keys = keys.into_iter();
    let Some(newest) = keys.next() else {
        return fail(
            "there is no cluster key".to_owned(),
            "give `cluster_keys` one key, or two",
        );
    };
    let older = keys.next();
    if keys.next().is_some() {
        return fail(
            "there are more than two cluster keys".to_owned(),
            "keep the newest two",
        );
    }
    if older.as_ref().is_some_and(|older| older.id == newest.id) {
        return fail(
            "two cluster keys have one id".to_owned(),
            "give each its own number",
        );
    }
    Ok(token::TokenKeys::new(newest, older))
}

/// Starts a daemon; returns once it listens.
///
/// # Errors
///
/// [`StartError`] when the settings cannot be used or the address cannot be listened on.
pub async fn start(settings: settings::DaemonSettings) -> Result<RunningDaemon, StartError> {
    start_with(settings, None).await
}

/// Like [`start`], with the recorder that renders this process's metrics.
///
/// # Errors
///
/// As [`start`].
pub async fn start_with(
    settings: settings::DaemonSettings,
    metrics: Option<metrics_exporter_prometheus::PrometheusHandle>,
) -> Result<RunningDaemon, StartError> {
    let token_keys = check(&settings)?;
    let mut controllers = task::JoinSet::new();
    let state = sync::Arc::new(build(settings, token_keys, metrics, &mut controllers).await?);
    let (server, callers, shutdown) = http::serve::serve(sync::Arc::clone(&state)).await?;
    let version = env!("CARGO_PKG_VERSION").to_owned();
    state
        .chronicle
        .record(kind::EventKind::ProcessStarted { version });
    log::info!(vm = state.settings.vm.as_str(), callers = callers.to_string().as_str(); "started");
    Ok(RunningDaemon {
        state,
        callers,
        shutdown,
        server,
        controllers,
    })
}

/// What the pieces of a daemon are made of.
struct Foundation {
    settings: settings::DaemonSettings,
    identity: identity::ProcessIdentity,
    keys: key::KeyHandle,
    token_keys: token::TokenKeys,
    chronicle: chronicle::Chronicle,
    log: ledger::http::HttpLog,
    book: sync::Arc<configure::ConfigBook>,
    driver: driver::Driver,
    roster: sync::Arc<roster::ServerRoster>,
    members: sync::Arc<members::MemberTable>,
}

impl Foundation {
    fn new(
        settings: settings::DaemonSettings,
        token_keys: token::TokenKeys,
    ) -> Result<Self, StartError> {
        let incarnation = id::Incarnation::draw(&mut rand::rng());
        let limits = ring::RingLimits {
            max_events: settings.bounds.timeline_events,
            max_bytes: TIMELINE_BYTES,
        };
        let journal = journal::EventJournal::new(settings.vm.clone(), incarnation, limits);
        let log_url = format!("http://{}", settings.platform.log);
        let core = core::DispatchCore::new(
            sched::settings::PolicySettings::default(),
            rand::rngs::StdRng::from_rng(&mut rand::rng()),
        );
        let driver = driver::Driver::new(core);
        Ok(Self {
            identity: identity::ProcessIdentity {
                name: settings.vm.clone(),
                incarnation,
            },
            keys: wire_keys(&settings)?,
            token_keys,
            chronicle: chronicle::Chronicle::new(journal),
            log: ledger::http::HttpLog::new(ledger::http::HttpSettings::at(log_url)),
            book: sync::Arc::default(),
            roster: sync::Arc::new(roster::ServerRoster::new(driver.clone())),
            driver,
            members: sync::Arc::new(members::MemberTable::new(settings.vm.clone())),
            settings,
        })
    }

    /// The request plane, with what other entry VMs may ask of it.
    fn plane(
        &self,
        view: channel::Receiver<sync::Arc<view::PlaneView>>,
        caller: peers::PeerCaller,
    ) -> Result<(Plane, sync::Arc<LedgerHost>), StartError> {
        let host = sync::Arc::new(host::LedgerHost::new(
            self.log.clone(),
            self.settings.vm.clone(),
            ledger_settings(),
        ));
        let router = route::LedgerRouter::new(
            sync::Arc::clone(&host),
            peers::PeerLedger(caller.clone()),
            route::RouteSettings::default(),
            rand::random(),
        );
        let ports = ports::EntryPorts {
            engines: flow::http::HttpEngines::new().context(ClientSnafu)?,
            services: flow::http::HttpServices::new().context(ClientSnafu)?,
            schedule: schedule::PlaneScheduler::new(
                self.driver.clone(),
                sync::Arc::clone(&self.roster),
                sync::Arc::clone(&self.book),
            ),
            quotas: quota::CoreQuota,
            claims: claims::LogClaims::new(router.clone()),
            jobs: jobs::LogJobs::new(router, sync::Arc::clone(&self.book)),
            events: self.chronicle.clone(),
            clock: identity_port::SystemClock,
            ids: identity_port::RandomIds,
            peers: peers::PeerNotes(caller),
        };
        let settings =
            plane_settings::PlaneSettings::new(self.settings.vm.clone(), self.token_keys.clone());
        Ok((
            sync::Arc::new(plane::RequestPlane::new(ports, settings, view)),
            host,
        ))
    }

    fn own_place(&self) -> roster::OwnPlace {
        roster::OwnPlace {
            vm: self.settings.vm.clone(),
            region: self.settings.region.clone(),
            failure_domain: self.settings.failure_domain.clone(),
        }
    }
}

/// Time between two appends of a partition of deferrable work. Nobody waits for it at a gate, and
/// the log's appends are few.
const JOB_APPEND_GAP: Duration = Duration::from_millis(100);

fn ledger_settings() -> host::HostSettings {
    let mut settings = host::HostSettings::default();
    settings.jobs.append.min_gap = JOB_APPEND_GAP;
    settings
}

type Plane = sync::Arc<plane::RequestPlane<ports::EntryPorts>>;
type LedgerHost = host::LedgerHost<ledger::http::HttpLog>;

fn wire_keys(settings: &settings::DaemonSettings) -> Result<key::KeyHandle, StartError> {
    let bad = |error: key::KeyError| StartError::Settings {
        what: "the cluster keys cannot be used".to_owned(),
        remedy: error.to_string(),
    };
    let keys: Result<Vec<key::WireKey>, key::KeyError> = settings
        .cluster_keys
        .iter()
        .map(|key| key::WireKey::from_hex(key.id, &key.secret))
        .collect();
    let ring = key::KeyRing::new(keys.map_err(bad)?).map_err(bad)?;
    Ok(key::KeyHandle::new(ring))
}

async fn build(
    settings: settings::DaemonSettings,
    token_keys: token::TokenKeys,
    metrics: Option<metrics_exporter_prometheus::PrometheusHandle>,
    controllers: &mut task::JoinSet<()>,
) -> Result<state::EntryState, StartError> {
    let base = Foundation::new(settings, token_keys)?;
    let (listener, peers_address) = listen_for_peers(base.settings.peers).await?;
    let stamper = base.chronicle.stamper();
    let gossip = gossip::start_stamped(
        membership::gossip_settings(&base.settings, base.identity.clone(), peers_address),
        base.keys.clone(),
        rand::random(),
        stamper.clone(),
    )
    .await
    .context(GossipSnafu)?;
    let caller = peers::PeerCaller::new(
        wire::client::PeerClient::new(
            base.identity.clone(),
            base.keys.clone(),
            wire::client::ClientLimits::default(),
        )
        .with_stamper(stamper.clone()),
        sync::Arc::clone(&base.members),
    );
    let (views, view) = channel::channel(sync::Arc::new(view::PlaneView::default()));
    let (plane, host) = base.plane(view, caller.clone())?;
    let service = peer_service::EntryPeerService {
        host: sync::Arc::clone(&host),
        book: sync::Arc::clone(&base.book),
        plane: sync::Arc::clone(&plane),
    };
    let server = wire::server::PeerServer::stamped(
        base.identity.clone(),
        base.keys.clone(),
        service,
        wire::server::ServerLimits::default(),
        stamper,
    );
    controllers.spawn(server.serve(listener));
    spawn_watchers(&base, &gossip, &caller, controllers)?;
    spawn_plane(&base, &plane, host, caller, controllers);
    controllers.spawn(follow_views(
        sync::Arc::clone(&base.book),
        sync::Arc::clone(&base.roster),
        base.own_place(),
        views,
    ));
    Ok(state::EntryState {
        settings: base.settings,
        incarnation: base.identity.incarnation,
        book: base.book,
        roster: base.roster,
        members: base.members,
        chronicle: base.chronicle,
        driver: base.driver,
        plane,
        log: base.log,
        gossip,
        peers: peers_address,
        metrics,
    })
}

/// Starts what works for the request plane.
fn spawn_plane(
    base: &Foundation,
    plane: &Plane,
    host: sync::Arc<LedgerHost>,
    caller: peers::PeerCaller,
    controllers: &mut task::JoinSet<()>,
) {
    controllers.spawn(base.driver.clone().run());
    controllers.spawn(membership::spread_suspects(
        sync::Arc::clone(plane),
        caller,
        sync::Arc::clone(&base.members),
    ));
    controllers.spawn(maintain_ledger(host, sync::Arc::clone(&base.members)));
    controllers.spawn(sync::Arc::clone(plane).run_jobs());
}

fn spawn_watchers(
    base: &Foundation,
    gossip: &gossip::handle::GossipHandle,
    caller: &peers::PeerCaller,
    controllers: &mut task::JoinSet<()>,
) -> Result<(), StartError> {
    let watcher = watch::LoadWatcher {
        http: client()?,
        book: sync::Arc::clone(&base.book),
        roster: sync::Arc::clone(&base.roster),
        gossip: gossip.clone(),
        chronicle: base.chronicle.clone(),
    };
    controllers.spawn(watcher.run());
    let digests = digests::DigestController {
        gossip: gossip.clone(),
        book: sync::Arc::clone(&base.book),
        roster: sync::Arc::clone(&base.roster),
        members: sync::Arc::clone(&base.members),
        driver: base.driver.clone(),
    };
    controllers.spawn(digests.run());
    let member_controller = membership::MemberController {
        gossip: gossip.clone(),
        book: sync::Arc::clone(&base.book),
        members: sync::Arc::clone(&base.members),
        roster: sync::Arc::clone(&base.roster),
        chronicle: base.chronicle.clone(),
    };
    controllers.spawn(member_controller.run());
    let follower = follow::FollowController {
        log: base.log.clone(),
        book: sync::Arc::clone(&base.book),
        caller: caller.clone(),
        gossip: gossip.clone(),
        chronicle: base.chronicle.clone(),
    };
    controllers.spawn(follower.run());
    let list = vm_list::ListController {
        http: client()?,
        url: format!("http://{}/v1/vms", base.settings.platform.vm_list),
        book: sync::Arc::clone(&base.book),
        roster: sync::Arc::clone(&base.roster),
        gossip: gossip.clone(),
        incarnation: base.identity.incarnation,
        chronicle: base.chronicle.clone(),
    };
    controllers.spawn(list.run());
    Ok(())
}

/// Listens for frames; datagrams then arrive at the same number.
async fn listen_for_peers(
    address: net::SocketAddr,
) -> Result<(tokio::net::TcpListener, net::SocketAddr), StartError> {
    let listener = tokio::net::TcpListener::bind(address)
        .await
        .context(PeersSnafu { address })?;
    let bound = listener.local_addr().context(PeersSnafu { address })?;
    Ok((listener, bound))
}

/// Keeps the partitions that this VM ranks for read, and carries work past the log's retention.
async fn maintain_ledger(host: sync::Arc<LedgerHost>, members: sync::Arc<members::MemberTable>) {
    let mut tick = time::interval(LEDGER_INTERVAL);
    tick.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut rng = rand::rngs::StdRng::from_rng(&mut rand::rng());
    loop {
        tick.tick().await;
        host.maintain(&members.live_names(), &mut rng).await;
    }
}

fn client() -> Result<reqwest::Client, StartError> {
    reqwest::Client::builder()
        .tcp_nodelay(true)
        .connect_timeout(Duration::from_millis(500))
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .build()
        .context(ClientSnafu)
}

/// Keeps the roster and the request plane's view in step with the configuration and with what
/// is leaving.
async fn follow_views(
    book: sync::Arc<configure::ConfigBook>,
    roster: sync::Arc<roster::ServerRoster>,
    own: roster::OwnPlace,
    views: channel::Sender<sync::Arc<view::PlaneView>>,
) {
    let mut snapshots = book.subscribe();
    let mut leaving = roster.subscribe_leaving();
    loop {
        let snapshot = snapshots.borrow_and_update().clone();
        let left = leaving.borrow_and_update().clone();
        let known = views.borrow().config.revision();
        if known != snapshot.revision() {
            roster.configure(&snapshot, &own);
        }
        views.send_replace(sync::Arc::new(view::PlaneView {
            config: snapshot,
            leaving: left,
        }));
        tokio::select! {
            changed = snapshots.changed() => if changed.is_err() { return },
            changed = leaving.changed() => if changed.is_err() { return },
        }
    }
}

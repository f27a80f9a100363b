//! Creates the components of one daemon and connects them.

use std::{net, sync, time::Duration};

use base::id;
use carry::memory;
use flow::{plane, settings as plane_settings, token, view};
use ledger::{host, route};
use rand::SeedableRng as _;
use sched::{core, driver};
use snafu::ResultExt as _;
use tokio::{sync::watch as channel, task, time};
use trace::{journal, ring};
use wire::{identity, key};

use crate::{
    adapt::{claims, identity as identity_port, jobs, peers, quota, schedule},
    configure, daemon, digests, follow, members, membership, observation, peer_service, placement,
    ports, recorder, roster, settings, state, vm_list, watch,
};

/// Maximum size of the time line's ring buffer, in bytes.
const TIMELINE_BYTES: usize = 8 << 20;
/// Interval between two maintenance runs of the log's partitions.
const LEDGER_INTERVAL: Duration = Duration::from_secs(2);

/// Components from which the others of a daemon are created.
struct DaemonParts {
    settings: settings::DaemonSettings,
    identity: identity::ProcessIdentity,
    keys: key::KeyHandle,
    token_keys: token::TokenKeys,
    recorder: recorder::EventRecorder,
    log: ledger::http::HttpLog,
    active_config: sync::Arc<configure::ActiveConfig>,
    driver: driver::Driver,
    roster: sync::Arc<roster::ServerRoster>,
    members: sync::Arc<members::MemberTable>,
}

impl DaemonParts {
    fn new(
        settings: settings::DaemonSettings,
        token_keys: token::TokenKeys,
    ) -> Result<Self, daemon::StartError> {
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
            recorder: recorder::EventRecorder::new(journal),
            log: ledger::http::HttpLog::new(ledger::http::HttpSettings::at(log_url)),
            active_config: sync::Arc::default(),
            roster: sync::Arc::new(roster::ServerRoster::new(driver.clone())),
            driver,
            members: sync::Arc::new(members::MemberTable::new(settings.vm.clone())),
            settings,
        })
    }

    /// Creates the request plane and the host that serves ledger requests of other entry VMs.
    fn plane(
        &self,
        view: channel::Receiver<sync::Arc<view::PlaneView>>,
        caller: peers::PeerCaller,
    ) -> Result<(Plane, sync::Arc<LedgerHost>), daemon::StartError> {
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
            engines: flow::http::HttpEngines::new().context(daemon::ClientSnafu)?,
            services: flow::http::HttpServices::new().context(daemon::ClientSnafu)?,
            schedule: schedule::PlaneScheduler::new(
                self.driver.clone(),
                sync::Arc::clone(&self.roster),
                sync::Arc::clone(&self.active_config),
            ),
            quotas: quota::CoreQuota,
            claims: claims::LogClaims::new(router.clone()),
            jobs: jobs::LogJobs::new(router, sync::Arc::clone(&self.active_config)),
            events: self.recorder.clone(),
            clock: identity_port::SystemClock,
            ids: identity_port::RandomIds,
            peers: peers::PeerNotes(caller),
        };
        let mut settings =
            plane_settings::PlaneSettings::new(self.settings.vm.clone(), self.token_keys.clone());
        settings.abandon_after = Some(ABANDON_AFTER);
        Ok((
            sync::Arc::new(plane::RequestPlane::new(ports, settings, view)),
            host,
        ))
    }

    /// Creates the client for calls to other entry VMs.
    fn caller(&self, stamper: &trace::stamper::MessageStamper) -> peers::PeerCaller {
        peers::PeerCaller::new(
            wire::client::PeerClient::new(
                self.identity.clone(),
                self.keys.clone(),
                wire::client::ClientLimits::default(),
            )
            .with_stamper(stamper.clone()),
            sync::Arc::clone(&self.members),
        )
    }

    fn own_place(&self) -> observation::OwnPlace {
        observation::OwnPlace {
            vm: self.settings.vm.clone(),
            region: self.settings.region.clone(),
            failure_domain: self.settings.failure_domain.clone(),
        }
    }
}

/// Time after which a generation without a first token is started on another engine, if its engine
/// can be neither reached nor sent a cancellation; the cancellation stays pending. Without it, with
/// one of 3 engines frozen, 3 of 60 requests get no answer.
const ABANDON_AFTER: Duration = Duration::from_secs(1);

/// Minimum interval between two appends to a partition of deferrable jobs. Deferrable jobs are not
/// latency-critical, and the log allows only few appends.
const JOB_APPEND_INTERVAL: Duration = Duration::from_millis(100);

fn ledger_settings() -> host::HostSettings {
    let mut settings = host::HostSettings::default();
    settings.jobs.append.min_interval = JOB_APPEND_INTERVAL;
    settings
}

type Plane = sync::Arc<plane::RequestPlane<ports::EntryPorts>>;
type LedgerHost = host::LedgerHost<ledger::http::HttpLog>;

fn wire_keys(settings: &settings::DaemonSettings) -> Result<key::KeyHandle, daemon::StartError> {
    let bad = |error: key::KeyError| daemon::StartError::Settings {
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

/// Creates a daemon's components and starts its controllers.
pub(crate) async fn build(
    settings: settings::DaemonSettings,
    token_keys: token::TokenKeys,
    metrics: Option<metrics_exporter_prometheus::PrometheusHandle>,
    controllers: &mut task::JoinSet<()>,
) -> Result<state::EntryState, daemon::StartError> {
    let base = DaemonParts::new(settings, token_keys)?;
    let (listener, peers_address) = listen_for_peers(base.settings.peers).await?;
    let stamper = base.recorder.stamper();
    let gossip = gossip::start_stamped(
        membership::gossip_settings(&base.settings, base.identity.clone(), peers_address),
        base.keys.clone(),
        rand::random(),
        stamper.clone(),
    )
    .await
    .context(daemon::GossipSnafu)?;
    let caller = base.caller(&stamper);
    let (views, view) = channel::channel(sync::Arc::new(view::PlaneView::default()));
    let (plane, host) = base.plane(view, caller.clone())?;
    let service = peer_service::EntryPeerService {
        host: sync::Arc::clone(&host),
        active_config: sync::Arc::clone(&base.active_config),
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
        sync::Arc::clone(&base.active_config),
        sync::Arc::clone(&base.roster),
        base.own_place(),
        views,
    ));
    let (leases, board) = spawn_placement(&base, controllers)?;
    let body_memory = base.settings.bounds.body_memory_bytes;
    Ok(state::EntryState {
        body_memory: memory::CallerMemory::new(usize::try_from(body_memory).unwrap_or(usize::MAX)),
        settings: base.settings,
        incarnation: base.identity.incarnation,
        active_config: base.active_config,
        roster: base.roster,
        members: base.members,
        recorder: base.recorder,
        leases,
        placement: board,
        driver: base.driver,
        plane,
        log: base.log,
        gossip,
        peers: peers_address,
        metrics,
    })
}

/// Starts the tasks that serve the request plane.
fn spawn_plane(
    base: &DaemonParts,
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
    base: &DaemonParts,
    gossip: &gossip::handle::GossipHandle,
    caller: &peers::PeerCaller,
    controllers: &mut task::JoinSet<()>,
) -> Result<(), daemon::StartError> {
    let watcher = watch::LoadWatcher {
        http: client()?,
        active_config: sync::Arc::clone(&base.active_config),
        roster: sync::Arc::clone(&base.roster),
        gossip: gossip.clone(),
        recorder: base.recorder.clone(),
    };
    controllers.spawn(watcher.run());
    let digests = digests::DigestController {
        gossip: gossip.clone(),
        active_config: sync::Arc::clone(&base.active_config),
        roster: sync::Arc::clone(&base.roster),
        members: sync::Arc::clone(&base.members),
        driver: base.driver.clone(),
    };
    controllers.spawn(digests.run());
    let member_controller = membership::MemberController {
        gossip: gossip.clone(),
        active_config: sync::Arc::clone(&base.active_config),
        members: sync::Arc::clone(&base.members),
        roster: sync::Arc::clone(&base.roster),
        recorder: base.recorder.clone(),
    };
    controllers.spawn(member_controller.run());
    let follower = follow::FollowController {
        log: base.log.clone(),
        active_config: sync::Arc::clone(&base.active_config),
        caller: caller.clone(),
        gossip: gossip.clone(),
        recorder: base.recorder.clone(),
    };
    controllers.spawn(follower.run());
    let list = vm_list::ListController {
        http: client()?,
        url: format!("http://{}/v1/vms", base.settings.platform.vm_list),
        active_config: sync::Arc::clone(&base.active_config),
        roster: sync::Arc::clone(&base.roster),
        gossip: gossip.clone(),
        incarnation: base.identity.incarnation,
        recorder: base.recorder.clone(),
    };
    controllers.spawn(list.run());
    Ok(())
}

type LeaseDriver = lease::driver::LeaseDriver<ledger::http::HttpLog>;
type PlacementParts = (sync::Arc<LeaseDriver>, sync::Arc<placement::PlacementBoard>);

/// Starts holding leases and placing models.
fn spawn_placement(
    base: &DaemonParts,
    controllers: &mut task::JoinSet<()>,
) -> Result<PlacementParts, daemon::StartError> {
    let leases = start_leases(base)?;
    let board = sync::Arc::new(placement::PlacementBoard::default());
    let placing = placement::PlacementController {
        leases: sync::Arc::clone(&leases),
        active_config: sync::Arc::clone(&base.active_config),
        members: sync::Arc::clone(&base.members),
        board: sync::Arc::clone(&board),
        recorder: base.recorder.clone(),
        http: client()?,
        weight_store: format!("http://{}", base.settings.platform.weight_store),
        vm: base.settings.vm.clone(),
        region: base.settings.region.clone(),
    };
    controllers.spawn(placing.run());
    Ok((leases, board))
}

fn start_leases(base: &DaemonParts) -> Result<sync::Arc<LeaseDriver>, daemon::StartError> {
    let limits = lease::limits::LeaseLimits::default();
    let started = lease::driver::LeaseDriver::start(base.log.clone(), &base.settings.vm, limits);
    let leases = started.map_err(|error| daemon::StartError::Settings {
        what: "the limits of leases contradict one another".to_owned(),
        remedy: error.to_string(),
    })?;
    Ok(sync::Arc::new(leases))
}

/// Listens for frames; gossip then binds its datagrams to the same port number.
async fn listen_for_peers(
    address: net::SocketAddr,
) -> Result<(tokio::net::TcpListener, net::SocketAddr), daemon::StartError> {
    let listener = tokio::net::TcpListener::bind(address)
        .await
        .context(daemon::PeersSnafu { address })?;
    let bound = listener
        .local_addr()
        .context(daemon::PeersSnafu { address })?;
    Ok((listener, bound))
}

/// Keeps reading the partitions that this VM ranks for, and rewrites jobs before the log's
/// retention drops them.
async fn maintain_ledger(host: sync::Arc<LedgerHost>, members: sync::Arc<members::MemberTable>) {
    let mut tick = time::interval(LEDGER_INTERVAL);
    tick.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut rng = rand::rngs::StdRng::from_rng(&mut rand::rng());
    loop {
        tick.tick().await;
        host.maintain(&members.live_names(), &mut rng).await;
    }
}

fn client() -> Result<reqwest::Client, daemon::StartError> {
    reqwest::Client::builder()
        .tcp_nodelay(true)
        .connect_timeout(Duration::from_millis(500))
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .build()
        .context(daemon::ClientSnafu)
}

/// Keeps the roster and the request plane's view up to date with the configuration and the servers
/// that are leaving.
async fn follow_views(
    active_config: sync::Arc<configure::ActiveConfig>,
    roster: sync::Arc<roster::ServerRoster>,
    own: observation::OwnPlace,
    views: channel::Sender<sync::Arc<view::PlaneView>>,
) {
    let mut snapshots = active_config.subscribe();
    let mut leaving = roster.subscribe_leaving();
    loop {
        let snapshot = snapshots.borrow_and_update().clone();
        let leaving_now = leaving.borrow_and_update().clone();
        let known = views.borrow().config.revision();
        if known != snapshot.revision() {
            roster.configure(&snapshot, &own);
        }
        views.send_replace(sync::Arc::new(view::PlaneView {
            config: snapshot,
            leaving: leaving_now,
        }));
        tokio::select! {
            changed = snapshots.changed() => if changed.is_err() { return },
            changed = leaving.changed() => if changed.is_err() { return },
        }
    }
}

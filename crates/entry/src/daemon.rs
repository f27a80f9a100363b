//! Starts and gracefully stops one entry daemon.

use std::{net, sync, time::Duration};

use flow::token;
use snafu::Snafu;
use tokio::{task, time};
use trace::kind;

use crate::{assemble, http, settings, state};

/// Timeout for streams that are handed over to end.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);

/// The daemon cannot start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// The settings cannot be used.
    #[snafu(display("settings: {what}; {remedy}"))]
    Settings {
        /// The error.
        what: String,
        /// The remedy.
        remedy: String,
    },
    /// The callers' address cannot be listened on.
    #[snafu(display("cannot serve on {address}: {message}; free the address or change `callers`"))]
    Serve {
        /// The address.
        address: net::SocketAddr,
        /// The error of Rocket.
        message: String,
    },
    /// The address for other entry VMs cannot be listened on.
    #[snafu(display("cannot listen for peers on {address}: {source}; free it or change `peers`"))]
    Peers {
        /// The address.
        address: net::SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// Gossip cannot start.
    #[snafu(display("{source}"))]
    Gossip {
        /// The cause.
        source: gossip::driver::StartError,
    },
    /// An HTTP client cannot be created.
    #[snafu(display("cannot create an HTTP client: {source}; check the machine's limits"))]
    Client {
        /// The error of the HTTP library.
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
    /// Address for callers and operators.
    #[must_use]
    pub const fn callers(&self) -> net::SocketAddr {
        self.callers
    }

    /// Address for other entry VMs.
    #[must_use]
    pub fn peers(&self) -> net::SocketAddr {
        self.state.peers
    }

    /// State shared by the HTTP interfaces and the controllers.
    #[must_use]
    pub const fn state(&self) -> &sync::Arc<state::EntryState> {
        &self.state
    }

    /// Waits until the HTTP server ends without having been stopped.
    pub async fn ended(&mut self) {
        let _ = (&mut self.server).await;
    }

    /// Stops gracefully: is no longer advertised to callers, accepts requests for the notice
    /// period, then refuses new ones, finishes or hands over the running ones, and ends.
    pub async fn stop(mut self) {
        let recorder = &self.state.recorder;
        recorder.record(kind::EventKind::ProcessStopping {
            reason: "told to stop".to_owned(),
        });
        log::info!(vm = self.state.settings.vm.as_str(); "stopping");
        self.state.gossip.leave().await;
        time::sleep(self.state.settings.bounds.notice()).await;
        let left = self
            .state
            .plane
            .gate()
            .drain(self.state.settings.bounds.drain(), HANDOVER_TIMEOUT)
            .await;
        if left > 0 {
            log::warn!(left = left; "requests still running after the drain timeout");
        }
        self.state.gossip.depart().await;
        self.shutdown.notify();
        let _ = (&mut self.server).await;
        self.controllers.shutdown().await;
    }
}

/// Validates the constraints that the types of the settings cannot express.
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

/// Starts a daemon; returns once it is listening.
///
/// # Errors
///
/// [`StartError`] when the settings cannot be used or the address cannot be listened on.
pub async fn start(settings: settings::DaemonSettings) -> Result<RunningDaemon, StartError> {
    start_with(settings, None).await
}

/// Starts a daemon like [`start`], with the recorder that renders this process's metrics.
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
    let state =
        sync::Arc::new(assemble::build(settings, token_keys, metrics, &mut controllers).await?);
    let (server, callers, shutdown) = http::serve::serve(sync::Arc::clone(&state)).await?;
    let version = env!("CARGO_PKG_VERSION").to_owned();
    state
        .recorder
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

//! HTTP server shared by all stand-ins; it stops and restarts together with its stand-in.

use std::{collections, future, io, net, pin, sync, task};

use rocket::{data, fairing, http::Status, request, response};
use tokio::{sync as signal, time};

use crate::{gate, signals};

/// Answer of a stand-in.
#[derive(Debug)]
#[derive(rocket::Responder)]
pub enum JsonReply {
    /// A JSON body with its status.
    Told((Status, response::content::RawJson<String>)),
    /// A broken connection without a usable answer.
    Lost(LostAnswer),
}

/// Maximum size of a request body.
pub const BODY_LIMIT: data::ByteUnit = data::ByteUnit::Mebibyte(4);

/// Error of a stand-in that could not listen.
#[derive(Debug)]
#[derive(snafu::Snafu)]
#[snafu(display("a stand-in could not listen on {address}: {reason}; choose a free address"))]
pub struct ServeError {
    /// Requested address.
    pub address: net::SocketAddr,
    /// Error text of the HTTP library.
    pub reason: String,
}

/// Running HTTP server of a stand-in; stops on drop.
#[derive(Debug)]
pub struct RunningServer {
    address: net::SocketAddr,
    stop: signal::watch::Sender<bool>,
    task: tokio::task::JoinHandle<()>,
}

impl RunningServer {
    /// Returns the address on which the server listens.
    #[must_use]
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Stops the server and cuts open connections.
    pub async fn stop(self) {
        self.stop.send_replace(true);
        // An error means that the task panicked, which the runtime has already reported.
        let _ = self.task.await;
    }
}

/// Builds a JSON answer.
pub fn json<T: serde::Serialize>(status: u16, body: &T) -> JsonReply {
    let status = Status::from_code(status).unwrap_or(Status::InternalServerError);
    let text = serde_json::to_string(body).unwrap_or_else(|_| String::from("null"));
    JsonReply::Told((status, response::content::RawJson(text)))
}

/// Builds a JSON error `{"error": {"code", "message", …}}`.
pub fn error(status: u16, code: &str, message: &str) -> JsonReply {
    json(
        status,
        &serde_json::json!({"error": {"code": code, "message": message}}),
    )
}

/// Builds a JSON error with the time after which to retry.
pub fn error_after(status: u16, code: &str, message: &str, retry_after_ms: u64) -> JsonReply {
    let error = serde_json::json!({
        "code": code, "message": message, "retry_after_ms": retry_after_ms
    });
    json(
        status,
        &serde_json::json!({"error": error, "retry_after_ms": retry_after_ms}),
    )
}

/// Answer that is never delivered completely because the connection breaks midway.
#[derive(Clone, Copy, Debug)]
pub struct LostAnswer;

impl<'r> response::Responder<'r, 'static> for LostAnswer {
    fn respond_to(self, _: &'r rocket::Request<'_>) -> response::Result<'static> {
        response::Response::build()
            .status(Status::Ok)
            .raw_header("Content-Length", "1000000")
            .streamed_body(LostBody)
            .ok()
    }
}

/// Body whose first read fails.
struct LostBody;

impl tokio::io::AsyncRead for LostBody {
    fn poll_read(
        self: pin::Pin<&mut Self>,
        _: &mut task::Context<'_>,
        _: &mut tokio::io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        task::Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
    }
}

/// Reads a JSON body of at most [`BODY_LIMIT`].
///
/// # Errors
///
/// Returns the answer to send if the body is too large or malformed.
pub async fn read_json<T: serde::de::DeserializeOwned>(
    body: data::Data<'_>,
) -> Result<T, JsonReply> {
    let bytes = read_bytes(body).await?;
    serde_json::from_slice(&bytes).map_err(|cause| {
        let message = format!("the request body is invalid: {cause}; see docs/INTERFACES.md");
        error(400, "bad_request", &message)
    })
}

/// Reads a body of at most [`BODY_LIMIT`].
///
/// # Errors
///
/// Returns the answer to send if the body is too large or truncated.
pub async fn read_bytes(body: data::Data<'_>) -> Result<Vec<u8>, JsonReply> {
    let body = body.open(BODY_LIMIT).into_bytes().await;
    let body = body.map_err(|_| error(400, "bad_request", "the body was cut; send it again"))?;
    if body.is_complete() {
        Ok(body.into_inner())
    } else {
        let message = format!("the body is larger than {BODY_LIMIT}; send less");
        Err(error(413, "too_large", &message))
    }
}

/// Time at which the server first saw a request.
#[derive(Clone, Copy, Debug)]
pub struct SeenAt(pub time::Instant);

#[rocket::async_trait]
impl<'r> request::FromRequest<'r> for SeenAt {
    type Error = future::Ready<()>;

    async fn from_request(request: &'r rocket::Request<'_>) -> request::Outcome<Self, Self::Error> {
        request::Outcome::Success(*request.local_cache(|| Self(time::Instant::now())))
    }
}

/// Silence epochs of the connections by their remote address.
#[derive(Debug, Default)]
struct ConnectionTable {
    seen: sync::Mutex<collections::HashMap<net::SocketAddr, ConnectionEntry>>,
}

#[derive(Clone, Copy, Debug)]
struct ConnectionEntry {
    silence_epoch: u64,
    used_at: time::Instant,
}

impl ConnectionTable {
    /// The silence epoch in which the connection from `remote` was opened.
    fn epoch(&self, remote: net::SocketAddr, current: u64) -> u64 {
        /// Longer than clients keep idle connections; a later request from the same address belongs
        /// to a new connection.
        const ENTRY_RETENTION: time::Duration = time::Duration::from_secs(120);
        const CLEANUP_SIZE_STEP: usize = 1_024;
        let now = time::Instant::now();
        let mut seen = self
            .seen
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if seen.len() % CLEANUP_SIZE_STEP == CLEANUP_SIZE_STEP - 1 {
            seen.retain(|_, entry| now - entry.used_at < ENTRY_RETENTION);
        }
        let entry = seen.entry(remote).or_insert(ConnectionEntry {
            silence_epoch: current,
            used_at: now,
        });
        if now - entry.used_at > ENTRY_RETENTION {
            entry.silence_epoch = current;
        }
        entry.used_at = now;
        entry.silence_epoch
    }
}

/// Serves `routes` on `address` (port 0: any free port) while the gate is up, and listens on the
/// same port again whenever it comes back up.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn serve<S: Clone + Send + Sync + 'static>(
    address: net::SocketAddr,
    gate: gate::LinkGate,
    state: S,
    routes: Vec<rocket::Route>,
) -> Result<RunningServer, ServeError> {
    serve_with_signals(
        address,
        gate,
        signals::StatedSignals::default(),
        state,
        routes,
    )
    .await
}

/// Serves like [`serve`], with `signals` in the headers of each answer.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn serve_with_signals<S: Clone + Send + Sync + 'static>(
    address: net::SocketAddr,
    gate: gate::LinkGate,
    signals: signals::StatedSignals,
    state: S,
    routes: Vec<rocket::Route>,
) -> Result<RunningServer, ServeError> {
    let front = FrontSpec {
        gate,
        signals,
        state,
        routes,
        connections: sync::Arc::new(ConnectionTable::default()),
    };
    let run = ServerRun::begin(front.rocket(address)).await;
    let run = run.map_err(|reason| ServeError { address, reason })?;
    let address = run.address;
    let (stop, stopped) = signal::watch::channel(false);
    let task = tokio::spawn(keep_serving(front, run, stopped));
    Ok(RunningServer {
        address,
        stop,
        task,
    })
}

/// Parameters from which each server run is built.
struct FrontSpec<S> {
    gate: gate::LinkGate,
    signals: signals::StatedSignals,
    state: S,
    routes: Vec<rocket::Route>,
    connections: sync::Arc<ConnectionTable>,
}

impl<S: Clone + Send + Sync + 'static> FrontSpec<S> {
    fn rocket(&self, address: net::SocketAddr) -> rocket::Rocket<rocket::Build> {
        let config = rocket::Config {
            address: address.ip(),
            port: address.port(),
            log_level: rocket::config::LogLevel::Off,
            shutdown: rocket::config::Shutdown {
                ctrlc: false,
                signals: collections::HashSet::new(),
                // A crashed process doesn't shut connections down gracefully.
                grace: 0,
                mercy: 0,
                ..rocket::config::Shutdown::default()
            },
            ..rocket::Config::release_default()
        };
        let (gate, connections) = (self.gate.clone(), self.connections.clone());
        let pass = fairing::AdHoc::on_request("gate", move |request, _| {
            request.local_cache(|| SeenAt(time::Instant::now()));
            let (gate, connections) = (gate.clone(), connections.clone());
            Box::pin(async move {
                let current = gate.state().silence_epoch;
                let remote = request.remote().filter(|_| !is_admin(request));
                if let Some(remote) = remote {
                    gate.pass(connections.epoch(remote, current)).await;
                }
            })
        });
        rocket::custom(config)
            .attach(pass)
            .attach(self.signals.fairing())
            .manage(self.state.clone())
            .register("/", rocket::catchers![plain_error])
            .mount("/", self.routes.clone())
    }
}

#[rocket::catch(default)]
fn plain_error(status: Status, request: &rocket::Request<'_>) -> JsonReply {
    let message = format!("{} {} is not served here", request.method(), request.uri());
    error(status.code, "not_served", &message)
}

impl<S: Clone + Send + Sync + 'static> FrontSpec<S> {
    /// Starts a new server run at the address of an earlier one, as soon as the address is free.
    async fn restart(&self, address: net::SocketAddr) -> ServerRun {
        const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(20);
        /// Number of failed attempts before a warning is logged.
        const ATTEMPTS_BEFORE_WARNING: u32 = 50;
        let mut attempts = 0;
        loop {
            match ServerRun::begin(self.rocket(address)).await {
                Ok(run) => return run,
                Err(reason) if attempts == ATTEMPTS_BEFORE_WARNING => {
                    log::warn!(address:%, reason; "stand-in can't listen after its restart; retrying");
                }
                Err(_) => {}
            }
            attempts += 1;
            time::sleep(RETRY_INTERVAL).await;
        }
    }
}

fn is_admin(request: &rocket::Request<'_>) -> bool {
    request.uri().path().starts_with("/admin/")
}

/// One run of a server, from listening to the end of all its connections.
struct ServerRun {
    address: net::SocketAddr,
    shutdown: rocket::Shutdown,
    task: tokio::task::JoinHandle<Result<(), String>>,
}

impl ServerRun {
    async fn begin(rocket: rocket::Rocket<rocket::Build>) -> Result<Self, String> {
        let (address_sender, mut address_receiver) = signal::mpsc::unbounded_channel();
        let liftoff = fairing::AdHoc::on_liftoff("address", move |rocket| {
            let config = rocket.config();
            // Sending fails only if `begin` was cancelled and its receiver dropped.
            let _ = address_sender.send(net::SocketAddr::new(config.address, config.port));
            Box::pin(future::ready(()))
        });
        let rocket = rocket.attach(liftoff).ignite().await;
        let rocket = rocket.map_err(|cause| cause.to_string())?;
        let shutdown = rocket.shutdown();
        let mut task = tokio::spawn(async move {
            let outcome = rocket.launch().await;
            outcome.map(drop).map_err(|cause| cause.to_string())
        });
        tokio::select! {
            Some(address) = address_receiver.recv() => Ok(Self { address, shutdown, task }),
            outcome = &mut task => match outcome {
                Ok(Ok(())) => Err(String::from("the server stopped immediately after its start")),
                Ok(Err(reason)) => Err(reason),
                Err(cause) => Err(cause.to_string()),
            },
        }
    }

    /// Stops listening immediately and cuts open connections.
    ///
    /// The library waits for every connection, and silent ones never end. So a restart at the same
    /// address doesn't wait for the returned task; only a stop does, for a limited time.
    fn end(self) -> tokio::task::JoinHandle<Result<(), String>> {
        self.shutdown.notify();
        self.task
    }
}

async fn keep_serving<S: Clone + Send + Sync + 'static>(
    front: FrontSpec<S>,
    mut run: ServerRun,
    mut stopped: signal::watch::Receiver<bool>,
) {
    const STOP_TIMEOUT: time::Duration = time::Duration::from_secs(1);
    let address = run.address;
    loop {
        let stops = stopped_or(&mut stopped, front.gate.wait_up(false)).await;
        let task = run.end();
        if stops {
            // Connections still open after the timeout are silent and end with the process.
            let _ = time::timeout(STOP_TIMEOUT, task).await;
            return;
        }
        if stopped_or(&mut stopped, front.gate.wait_up(true)).await {
            return;
        }
        run = front.restart(address).await;
    }
}

/// Returns whether the stop came before `other` completed.
async fn stopped_or(
    stopped: &mut signal::watch::Receiver<bool>,
    other: impl Future<Output = ()>,
) -> bool {
    tokio::select! {
        _ = stopped.wait_for(|stop| *stop) => true,
        () = other => false,
    }
}

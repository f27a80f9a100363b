//! What the HTTP fronts share: a server that dies and comes back with its stand-in.

use std::{collections, future, io, net, pin, sync, task};

use rocket::{data, fairing, http::Status, request, response};
use tokio::{sync as signal, time};

use crate::gate;

/// Answer of a stand-in.
#[derive(Debug)]
#[derive(rocket::Responder)]
pub enum JsonReply {
    /// A JSON body with its status.
    Told((Status, response::content::RawJson<String>)),
    /// Nothing that its caller could use.
    Lost(LostAnswer),
}

/// Largest body that a stand-in takes, in bytes.
pub const BODY_LIMIT: data::ByteUnit = data::ByteUnit::Mebibyte(4);

/// Why a stand-in could not listen.
#[derive(Debug)]
#[derive(snafu::Snafu)]
#[snafu(display("a stand-in could not listen on {address}: {reason}; choose a free address"))]
pub struct ServeError {
    /// The address that was asked for.
    pub address: net::SocketAddr,
    /// What the library said.
    pub reason: String,
}

/// A stand-in that listens. It stops when this is dropped.
#[derive(Debug)]
pub struct RunningServer {
    address: net::SocketAddr,
    stop: signal::watch::Sender<bool>,
    task: tokio::task::JoinHandle<()>,
}

impl RunningServer {
    /// Where it listens.
    #[must_use]
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Stops it, cutting what is open.
    pub async fn stop(self) {
        self.stop.send_replace(true);
        // An error is the task's panic, which the runtime has printed.
        let _ = self.task.await;
    }
}

/// A JSON answer.
pub fn json<T: serde::Serialize>(status: u16, body: &T) -> JsonReply {
    let status = Status::from_code(status).unwrap_or(Status::InternalServerError);
    let text = serde_json::to_string(body).unwrap_or_else(|_| String::from("null"));
    JsonReply::Told((status, response::content::RawJson(text)))
}

/// A JSON error `{"error": {"code", "message", …}}`.
pub fn error(status: u16, code: &str, message: &str) -> JsonReply {
    json(
        status,
        &serde_json::json!({"error": {"code": code, "message": message}}),
    )
}

/// A JSON error that says when to try again.
pub fn error_after(status: u16, code: &str, message: &str, retry_after_ms: u64) -> JsonReply {
    let error = serde_json::json!({
        "code": code, "message": message, "retry_after_ms": retry_after_ms
    });
    json(
        status,
        &serde_json::json!({"error": error, "retry_after_ms": retry_after_ms}),
    )
}

/// An answer that never arrives whole: the connection breaks in the middle of it.
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

/// A body that breaks at once.
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
/// The answer to send, when the body is too large or isn't what is expected.
pub async fn read_json<T: serde::de::DeserializeOwned>(
    body: data::Data<'_>,
) -> Result<T, JsonReply> {
    let bytes = read_bytes(body).await?;
    serde_json::from_slice(&bytes).map_err(|cause| {
        let message =
            format!("the body is not what this call takes: {cause}; see docs/INTERFACES.md");
        error(400, "bad_request", &message)
    })
}

/// Reads a body of at most [`BODY_LIMIT`].
///
/// # Errors
///
/// The answer to send, when the body is too large or was cut.
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

/// When the front first saw a request.
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
        /// Longer than clients keep idle connections; a later one from there is another one.
        const FORGOTTEN_AFTER: time::Duration = time::Duration::from_secs(120);
        const LOOK_THROUGH: usize = 1_024;
        let now = time::Instant::now();
        let mut seen = self
            .seen
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if seen.len() % LOOK_THROUGH == LOOK_THROUGH - 1 {
            seen.retain(|_, entry| now - entry.used_at < FORGOTTEN_AFTER);
        }
        let entry = seen.entry(remote).or_insert(ConnectionEntry {
            silence_epoch: current,
            used_at: now,
        });
        if now - entry.used_at > FORGOTTEN_AFTER {
            entry.silence_epoch = current;
        }
        entry.used_at = now;
        entry.silence_epoch
    }
}

/// Serves `routes` on `address` (port 0: any) for as long as the gate is up, and again when it
/// comes up again, on the same port.
///
/// # Errors
///
/// When the address can't be had.
pub async fn serve<S: Clone + Send + Sync + 'static>(
    address: net::SocketAddr,
    gate: gate::LinkGate,
    state: S,
    routes: Vec<rocket::Route>,
) -> Result<RunningServer, ServeError> {
    let front = FrontSpec {
        gate,
        state,
        routes,
        connections: sync::Arc::new(ConnectionTable::default()),
    };
    let life = ServerLife::begin(front.rocket(address)).await;
    let life = life.map_err(|reason| ServeError { address, reason })?;
    let address = life.address;
    let (stop, stopped) = signal::watch::channel(false);
    let task = tokio::spawn(keep_serving(front, life, stopped));
    Ok(RunningServer {
        address,
        stop,
        task,
    })
}

/// What each life of a front is built from.
struct FrontSpec<S> {
    gate: gate::LinkGate,
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
                // A process that dies doesn't say goodbye.
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
    /// Begins another life at the address of an earlier one, as soon as that has let it go.
    async fn begin_again(&self, address: net::SocketAddr) -> ServerLife {
        const TRY_AGAIN: time::Duration = time::Duration::from_millis(20);
        /// Tries that may fail before it is worth a line.
        const QUIET_TRIES: u32 = 50;
        let mut tries = 0;
        loop {
            match ServerLife::begin(self.rocket(address)).await {
                Ok(life) => return life,
                Err(reason) if tries == QUIET_TRIES => {
                    log::warn!(address:%, reason; "stand-in can't listen again yet");
                }
                Err(_) => {}
            }
            tries += 1;
            time::sleep(TRY_AGAIN).await;
        }
    }
}

fn is_admin(request: &rocket::Request<'_>) -> bool {
    request.uri().path().starts_with("/admin/")
}

/// One life of a front, from listening to the end of all its connections.
struct ServerLife {
    address: net::SocketAddr,
    shutdown: rocket::Shutdown,
    task: tokio::task::JoinHandle<Result<(), String>>,
}

impl ServerLife {
    async fn begin(rocket: rocket::Rocket<rocket::Build>) -> Result<Self, String> {
        let (tell, mut told) = signal::mpsc::unbounded_channel();
        let liftoff = fairing::AdHoc::on_liftoff("address", move |rocket| {
            let config = rocket.config();
            // Nobody listens any more only when `begin` was given up.
            let _ = tell.send(net::SocketAddr::new(config.address, config.port));
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
            Some(address) = told.recv() => Ok(Self { address, shutdown, task }),
            outcome = &mut task => match outcome {
                Ok(Ok(())) => Err(String::from("it ended at once")),
                Ok(Err(reason)) => Err(reason),
                Err(cause) => Err(cause.to_string()),
            },
        }
    }

    /// Stops listening at once and cuts what is open.
    ///
    /// The library waits for every connection, and for those that went silent in vain: so whoever
    /// comes up again at this address doesn't wait for it, only a stop does, and not for long.
    fn end(self) -> tokio::task::JoinHandle<Result<(), String>> {
        self.shutdown.notify();
        self.task
    }
}

async fn keep_serving<S: Clone + Send + Sync + 'static>(
    front: FrontSpec<S>,
    mut life: ServerLife,
    mut stopped: signal::watch::Receiver<bool>,
) {
    const STOP_LIMIT: time::Duration = time::Duration::from_secs(1);
    let address = life.address;
    loop {
        let stops = stopped_or(&mut stopped, front.gate.wait_up(false)).await;
        let task = life.end();
        if stops {
            // What is still open then is silent, and ends with the process.
            let _ = time::timeout(STOP_LIMIT, task).await;
            return;
        }
        if stopped_or(&mut stopped, front.gate.wait_up(true)).await {
            return;
        }
        life = front.begin_again(address).await;
    }
}

/// Whether the stop came before `other`.
async fn stopped_or(
    stopped: &mut signal::watch::Receiver<bool>,
    other: impl Future<Output = ()>,
) -> bool {
    tokio::select! {
        _ = stopped.wait_for(|stop| *stop) => true,
        () = other => false,
    }
}

//! Kept connections to servers.

use std::{cell, collections, io, net, rc};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{body, client::conn::http1};
use hyper_util::rt;
use snafu::Snafu;
use tokio::{task, time};

use crate::socket;

/// Idle time after which a connection is not used again, unless its server names another. Servers
/// close idle connections after a timeout of their own; a request that crosses the close is lost.
const KEPT: time::Duration = time::Duration::from_secs(8);
/// Part of the idle timeout that a server names within which its connection is used again.
const KEPT_PART: f64 = 0.7;
/// Time that a connection rests after an answer before it carries another request. Surplus bytes of
/// a faulty server that follow its answer arrive within this, and close it.
const REST: time::Duration = time::Duration::from_millis(4);
/// Kept connections to one server; more are closed.
const MOST_KEPT: usize = 8;

/// Why there is no connection.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// The server did not answer in time.
    #[snafu(display("no connection to {address} within {} ms", within.as_millis()))]
    Slow {
        /// The server.
        address: net::SocketAddr,
        /// Time that was allowed.
        within: time::Duration,
    },
    /// The server refused, or the system has no socket left.
    #[snafu(display("no connection to {address}: {source}"))]
    Refused {
        /// The server.
        address: net::SocketAddr,
        /// What the system said.
        source: io::Error,
    },
}

/// Which kept connections may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReuseRule {
    /// Any that is not known to be closed.
    Any,
    /// Only one that carried an answer this short a time ago.
    Within(time::Duration),
}

/// Connections to servers, by address.
#[derive(Clone, Debug, Default)]
pub struct ConnectionPool {
    kept: rc::Rc<cell::RefCell<collections::HashMap<net::SocketAddr, Vec<KeptConnection>>>>,
}

#[derive(Debug)]
struct KeptConnection {
    connection: LiveConnection,
    /// When it had rested after its last answer.
    since: time::Instant,
    /// Until when it may be used again.
    until: time::Instant,
}

/// A connection; closed at once when dropped, whatever it carries.
#[derive(Debug)]
pub struct LiveConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    address: net::SocketAddr,
    reused: bool,
    _driver: DriverGuard,
}

/// Ends a connection's task, and so the connection.
#[derive(Debug)]
struct DriverGuard(task::AbortHandle);

impl Drop for DriverGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Why a request got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum SendError {
    /// Nothing of it was written.
    #[snafu(display("the connection was closed before anything was sent"))]
    Unsent,
    /// Some of it may have been written.
    #[snafu(display("the connection broke without an answer"))]
    Broken,
}

impl ConnectionPool {
    /// A connection to `address`: a kept one that `rule` allows, or a new one.
    ///
    /// # Errors
    ///
    /// When none comes about within `within`.
    pub async fn get(
        &self,
        address: net::SocketAddr,
        rule: ReuseRule,
        within: time::Duration,
    ) -> Result<LiveConnection, ConnectError> {
        if let Some(connection) = self.take_kept(address, rule) {
            return Ok(connection);
        }
        match time::timeout(within, connect(address)).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(source)) => Err(ConnectError::Refused { address, source }),
            Err(_) => Err(ConnectError::Slow { address, within }),
        }
    }

    fn take_kept(&self, address: net::SocketAddr, rule: ReuseRule) -> Option<LiveConnection> {
        let now = time::Instant::now();
        let mut kept = self.kept.borrow_mut();
        let connections = kept.get_mut(&address)?;
        connections.retain(|kept| now < kept.until && !kept.connection.sender.is_closed());
        let usable = |kept: &KeptConnection| {
            let Some(idle) = now.checked_duration_since(kept.since) else {
                return false;
            };
            let fresh = match rule {
                ReuseRule::Any => true,
                ReuseRule::Within(span) => idle <= span,
            };
            fresh && kept.connection.sender.is_ready()
        };
        let place = connections.iter().rposition(usable)?;
        let mut connection = connections.remove(place).connection;
        connection.reused = true;
        Some(connection)
    }

    /// Keeps a connection whose answer was read whole. `named` is the idle timeout that the server
    /// stated.
    pub fn put(&self, connection: LiveConnection, named: Option<time::Duration>) {
        let now = time::Instant::now();
        self.put_since(connection, named, now + REST, now);
    }

    /// Keeps a connection that may carry another request at once.
    pub fn put_reusable(&self, connection: LiveConnection, named: Option<time::Duration>) {
        let now = time::Instant::now();
        self.put_since(connection, named, now, now);
    }

    fn put_since(
        &self,
        connection: LiveConnection,
        named: Option<time::Duration>,
        since: time::Instant,
        now: time::Instant,
    ) {
        let keep = named.map_or(KEPT, |named| named.mul_f64(KEPT_PART).min(KEPT));
        let mut kept = self.kept.borrow_mut();
        let connections = kept.entry(connection.address).or_default();
        if connections.len() < MOST_KEPT {
            connections.push(KeptConnection {
                connection,
                since,
                until: now + keep,
            });
        }
    }

    /// Closes what is kept for longer than it may be used.
    pub fn sweep(&self) {
        let now = time::Instant::now();
        self.kept.borrow_mut().retain(|_, connections| {
            connections.retain(|kept| now < kept.until && !kept.connection.sender.is_closed());
            !connections.is_empty()
        });
    }
}

async fn connect(address: net::SocketAddr) -> io::Result<LiveConnection> {
    let stream = tokio::net::TcpStream::connect(address).await?;
    socket::tune(&stream, socket::SERVER_SILENCE)?;
    metrics::counter!("pollenchute_carry_connections_opened_total").increment(1);
    let handshake = http1::Builder::new()
        .max_buf_size(64 * 1_024)
        .handshake(rt::TokioIo::new(stream))
        .await;
    let (sender, driver) = handshake.map_err(io::Error::other)?;
    let task = task::spawn_local(async move {
        // Its end is seen by whoever holds the sender or reads the body.
        let _ = driver.await;
    });
    Ok(LiveConnection {
        sender,
        address,
        reused: false,
        _driver: DriverGuard(task.abort_handle()),
    })
}

impl LiveConnection {
    /// Sends a request and waits for the head of its answer. Dropping the future and the
    /// connection gives the request up.
    ///
    /// # Errors
    ///
    /// When the connection breaks first.
    pub async fn send(
        &mut self,
        request: http::Request<Full<Bytes>>,
    ) -> Result<http::Response<body::Incoming>, SendError> {
        if self.sender.ready().await.is_err() {
            return Err(SendError::Unsent);
        }
        self.sender
            .try_send_request(request)
            .await
            .map_err(|mut fault| {
                if fault.take_message().is_some() {
                    SendError::Unsent
                } else {
                    SendError::Broken
                }
            })
    }

    /// Whether it carried a request before this one.
    #[must_use]
    pub const fn is_reused(&self) -> bool {
        self.reused
    }
}

/// The idle timeout that a server states in its answer.
#[must_use]
pub fn keep_alive_timeout(headers: &http::HeaderMap) -> Option<time::Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(time::Duration::from_secs)
}

/// Whether a message says that its connection will be closed behind it.
#[must_use]
pub fn closes(headers: &http::HeaderMap) -> bool {
    headers
        .get_all(http::header::CONNECTION)
        .iter()
        .any(|value| {
            value.to_str().is_ok_and(|value| {
                value
                    .split(',')
                    .any(|part| part.trim().eq_ignore_ascii_case("close"))
            })
        })
}

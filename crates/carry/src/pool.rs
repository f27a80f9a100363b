//! Pool of keep-alive connections to servers.

use std::{cell, collections, io, net, rc};

use base::outcome;
use hyper::{body, body::Body as _, client::conn::http1};
use snafu::Snafu;
use tokio::{task, time};

use crate::{bounded, call, socket};

/// Maximum idle time of a connection that is reused, unless its server states a shorter timeout.
/// Servers close idle connections after a timeout of their own, and a request that crosses the
/// close is lost.
const MAX_IDLE: time::Duration = time::Duration::from_secs(8);
/// Fraction of a server's stated idle timeout within which its connection is reused.
const SERVER_TIMEOUT_FRACTION: f64 = 0.7;
/// Delay after an answer before its connection is reused. Surplus bytes that a faulty server sends
/// after its answer arrive within this time and close the connection.
const REUSE_DELAY: time::Duration = time::Duration::from_millis(4);
/// Maximum idle connections to one server; further ones are closed.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Errors of connecting to a server.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// The connection was not established in time.
    #[snafu(display("no connection to {address} within {} ms", within.as_millis()))]
    TimedOut {
        /// The server.
        address: net::SocketAddr,
        /// The timeout.
        within: time::Duration,
    },
    /// The server refused, or the system has no socket left.
    #[snafu(display("no connection to {address}: {source}"))]
    Refused {
        /// The server.
        address: net::SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
}

impl ConnectError {
    /// Whether the server's host answered that nothing listens at the address.
    #[must_use]
    pub fn is_refusal(&self) -> bool {
        match self {
            Self::Refused { source, .. } => source.kind() == io::ErrorKind::ConnectionRefused,
            Self::TimedOut { .. } => false,
        }
    }
}

/// Which idle connections may be reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReuseRule {
    /// Any that is not known to be closed.
    Any,
    /// Only one that has been idle for at most this time.
    Within(time::Duration),
}

/// Idle connections to servers, by address.
#[derive(Clone, Debug, Default)]
pub struct ConnectionPool {
    kept: rc::Rc<cell::RefCell<collections::HashMap<net::SocketAddr, Vec<IdleConnection>>>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: LiveConnection,
    /// Time from which it may be reused, the reuse delay after its last answer included.
    since: time::Instant,
    /// Time until which it may be reused.
    until: time::Instant,
}

/// A connection; closed immediately when dropped, even with a request in progress.
#[derive(Debug)]
pub struct LiveConnection {
    sender: http1::SendRequest<call::CallBody>,
    address: net::SocketAddr,
    reused: bool,
    heads: bounded::HeadMeter,
    _driver: DriverGuard,
}

/// Aborts a connection's task when dropped, and so closes the connection.
#[derive(Debug)]
struct DriverGuard(task::AbortHandle);

impl Drop for DriverGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Errors of sending a request and waiting for the head of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum SendError {
    /// Nothing of the request was written.
    #[snafu(display("the connection was closed before anything was sent"))]
    Unsent,
    /// Part of the request may have been written, and what was read is no final answer.
    #[snafu(display("the connection broke without an answer"))]
    Broken,
    /// The head of the answer did not end within its limit in bytes or in time. The request may have
    /// been served.
    #[snafu(display("{answer}"))]
    Endless {
        /// What was read.
        answer: bounded::EndlessAnswer,
    },
}

impl ConnectionPool {
    /// Returns a connection to `address`: an idle one that `rule` allows, or a new one.
    ///
    /// # Errors
    ///
    /// When no connection is established within `within`.
    pub async fn get(
        &self,
        address: net::SocketAddr,
        rule: ReuseRule,
        within: time::Duration,
    ) -> Result<LiveConnection, ConnectError> {
        if let Some(connection) = self.take_idle(address, rule) {
            return Ok(connection);
        }
        match time::timeout(within, connect(address)).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(source)) => Err(ConnectError::Refused { address, source }),
            Err(_) => Err(ConnectError::TimedOut { address, within }),
        }
    }

    fn take_idle(&self, address: net::SocketAddr, rule: ReuseRule) -> Option<LiveConnection> {
        let now = time::Instant::now();
        let mut kept = self.kept.borrow_mut();
        let connections = kept.get_mut(&address)?;
        connections.retain(|kept| now < kept.until && !kept.connection.sender.is_closed());
        let usable = |kept: &IdleConnection| {
            let Some(idle) = now.checked_duration_since(kept.since) else {
                return false;
            };
            let fresh = match rule {
                ReuseRule::Any => true,
                ReuseRule::Within(max_idle) => idle <= max_idle,
            };
            fresh && kept.connection.sender.is_ready()
        };
        let index = connections.iter().rposition(usable)?;
        let mut connection = connections.remove(index).connection;
        connection.reused = true;
        Some(connection)
    }

    /// Returns a connection whose answer was read completely to the pool, for use after the reuse
    /// delay. `server_timeout` is the idle timeout that the server stated.
    pub fn put(&self, connection: LiveConnection, server_timeout: Option<time::Duration>) {
        let now = time::Instant::now();
        self.put_since(connection, server_timeout, now + REUSE_DELAY, now);
    }

    /// Returns a connection to the pool that may be reused immediately.
    pub fn put_reusable(&self, connection: LiveConnection, server_timeout: Option<time::Duration>) {
        let now = time::Instant::now();
        self.put_since(connection, server_timeout, now, now);
    }

    fn put_since(
        &self,
        connection: LiveConnection,
        server_timeout: Option<time::Duration>,
        since: time::Instant,
        now: time::Instant,
    ) {
        let keep = server_timeout.map_or(MAX_IDLE, |server_timeout| {
            server_timeout
                .mul_f64(SERVER_TIMEOUT_FRACTION)
                .min(MAX_IDLE)
        });
        let mut kept = self.kept.borrow_mut();
        let connections = kept.entry(connection.address).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(IdleConnection {
                connection,
                since,
                until: now + keep,
            });
        }
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, address: net::SocketAddr) {
        self.kept.borrow_mut().remove(&address);
    }

    /// Closes idle connections that may no longer be reused.
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
    socket::tune(&stream, socket::SERVER_ACK_TIMEOUT)?;
    socket::reset_on_close(&stream)?;
    metrics::counter!("pollenchute_carry_connections_opened_total").increment(1);
    let heads = bounded::HeadMeter::default();
    let stream = bounded::BoundedStream::new(stream, heads.clone());
    let handshake = http1::Builder::new()
        .max_buf_size(bounded::MAX_HEAD_BYTES)
        .handshake(stream)
        .await;
    let (sender, driver) = handshake.map_err(io::Error::other)?;
    let task = task::spawn_local(async move {
        // The holder of the sender or the reader of the body observes the end of the connection.
        let _ = driver.await;
    });
    Ok(LiveConnection {
        sender,
        address,
        reused: false,
        heads,
        _driver: DriverGuard(task.abort_handle()),
    })
}

impl LiveConnection {
    /// Sends a request and waits for the head of its answer. Dropping the future and the
    /// connection cancels the request.
    ///
    /// # Errors
    ///
    /// When the connection is closed first, the head is too long, or its status is not that of a final
    /// answer.
    pub async fn send(
        &mut self,
        request: http::Request<call::CallBody>,
    ) -> Result<http::Response<body::Incoming>, SendError> {
        if self.sender.ready().await.is_err() {
            return Err(SendError::Unsent);
        }
        self.heads.begin();
        let response = self.sender.try_send_request(request).await;
        let response = response.map_err(|mut error| {
            if error.take_message().is_some() {
                SendError::Unsent
            } else {
                self.broken(error.error())
            }
        });
        self.heads.end();
        let status = response.as_ref().map(http::Response::status);
        if let Ok(status) = status
            && !outcome::is_final_status(status.as_u16())
        {
            metrics::counter!("pollenchute_carry_statuses_refused_total").increment(1);
            log::info!(
                address:% = self.address, status = status.as_u16(), reused = self.reused;
                "status is not that of a final answer"
            );
            return Err(SendError::Broken);
        }
        response
    }

    /// Sends a request and waits for the head of its answer. If a head has begun and not ended shortly
    /// before `left` is over, it has no end. The caller of this function limits the time of servers
    /// that are silent.
    ///
    /// # Errors
    ///
    /// When the connection is closed first, or the head is too long or too slow.
    pub async fn send_within(
        &mut self,
        request: http::Request<call::CallBody>,
        left: time::Duration,
    ) -> Result<http::Response<body::Incoming>, SendError> {
        let heads = self.heads.clone();
        let sent = heads.limit(left, self.send(request)).await;
        sent.unwrap_or_else(|answer| Err(SendError::Endless { answer }))
    }

    /// Classifies an error after which part of the request may have been written.
    fn broken(&self, error: &hyper::Error) -> SendError {
        let too_long = || {
            let limit = bounded::EndlessLimit::Lines(bounded::MAX_HEAD_LINES);
            let is_too_long = error.is_parse_too_large();
            is_too_long.then(|| self.heads.endless(limit))
        };
        let endless = self.heads.exceeded().or_else(too_long);
        endless.map_or(SendError::Broken, |answer| SendError::Endless { answer })
    }

    /// Whether the connection was taken from the pool and so carried a request before.
    #[must_use]
    pub const fn is_reused(&self) -> bool {
        self.reused
    }
}

/// Returns the idle timeout that a server states in the `keep-alive` header of its answer.
#[must_use]
pub fn keep_alive_timeout(headers: &http::HeaderMap) -> Option<time::Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(time::Duration::from_secs)
}

/// Whether an answer states where its body ends, by a length or by chunks. The body of any other
/// answer ends when the server closes the connection.
#[must_use]
pub fn is_delimited(headers: &http::HeaderMap, body: &body::Incoming) -> bool {
    let codings = headers.get_all(http::header::TRANSFER_ENCODING);
    let last = codings.iter().next_back();
    let chunked = last.is_some_and(|value| {
        let coding = value.as_bytes().rsplit(|&byte| byte == b',').next();
        coding.is_some_and(|coding| coding.trim_ascii().eq_ignore_ascii_case(b"chunked"))
    });
    chunked || body.size_hint().exact().is_some()
}

/// Whether a message has `connection: close`.
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

//! Client for calls to other entry VMs.

use std::{collections, net, sync, time};

use base::outcome;
use snafu::ResultExt as _;
use tokio::{io, sync as channels, time::Instant};
use trace::stamper;

pub use crate::call::{CallError, CallOptions};
use crate::{call, connection, frame, handshake, identity, key, proto::peer};
use connection::{CallEnd, ConnectionCommand};
use peer::{request, response};

/// Maximum number of calls queued for sending on one connection.
const CALL_BACKLOG: usize = 64;

/// Maximum number of attempts per call; a lost connection is replaced between attempts.
const MAX_ATTEMPTS: u32 = 3;

/// Limits of a client.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Timeout of connecting, and of the handshake.
    pub connect_timeout: time::Duration,
    /// A connection with calls in progress that receives nothing for this long is replaced.
    pub silence_timeout: time::Duration,
    /// A connection without calls for this long is closed.
    pub idle_timeout: time::Duration,
    /// Maximum size of a frame.
    pub max_frame_bytes: usize,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            connect_timeout: time::Duration::from_millis(1000),
            silence_timeout: time::Duration::from_millis(1000),
            idle_timeout: time::Duration::from_secs(30),
            max_frame_bytes: frame::DEFAULT_MAX_FRAME_BYTES,
        }
    }
}

/// Opens streams to other entry VMs.
pub trait StreamConnector: Send + Sync + 'static {
    /// Type of the streams.
    type Stream: io::AsyncRead + io::AsyncWrite + Unpin + Send + 'static;

    /// Opens one stream.
    fn connect(
        &self,
        address: net::SocketAddr,
    ) -> impl Future<Output = std::io::Result<Self::Stream>> + Send;
}

/// Opens TCP connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpConnector;

impl StreamConnector for TcpConnector {
    type Stream = tokio::net::TcpStream;

    async fn connect(&self, address: net::SocketAddr) -> std::io::Result<Self::Stream> {
        let stream = tokio::net::TcpStream::connect(address).await?;
        // Calls are short; Nagle's algorithm would only delay them.
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}

/// Calls other entry VMs; cheap to clone. Clones share the open connections.
#[derive(Debug)]
pub struct PeerClient<C = TcpConnector> {
    shared: sync::Arc<SharedClient<C>>,
}

impl<C> Clone for PeerClient<C> {
    fn clone(&self) -> Self {
        Self {
            shared: sync::Arc::clone(&self.shared),
        }
    }
}

#[derive(Debug)]
struct SharedClient<C> {
    connector: C,
    own: identity::ProcessIdentity,
    keys: key::KeyHandle,
    limits: ClientLimits,
    /// One slot per called address; its lock is held while connecting, so that concurrent calls
    /// open only one connection.
    slots: sync::Mutex<collections::HashMap<net::SocketAddr, SharedSlot>>,
    calls: sync::atomic::AtomicU64,
    stamper: stamper::MessageStamper,
}

type SharedSlot = sync::Arc<channels::Mutex<Option<ConnectionSender>>>;
type ConnectionSender = channels::mpsc::Sender<ConnectionCommand>;

impl PeerClient {
    /// Creates a client of the process `own` over TCP.
    #[must_use]
    pub fn new(own: identity::ProcessIdentity, keys: key::KeyHandle, limits: ClientLimits) -> Self {
        Self::with_connector(own, keys, limits, TcpConnector)
    }
}

impl<C: StreamConnector> PeerClient<C> {
    /// Creates a client of the process `own` over the streams of `connector`.
    #[must_use]
    pub fn with_connector(
        own: identity::ProcessIdentity,
        keys: key::KeyHandle,
        limits: ClientLimits,
        connector: C,
    ) -> Self {
        Self {
            shared: sync::Arc::new(SharedClient {
                connector,
                own,
                keys,
                limits,
                slots: sync::Mutex::default(),
                calls: sync::atomic::AtomicU64::new(0),
                stamper: stamper::MessageStamper::default(),
            }),
        }
    }

    /// Returns a copy of this client that stamps its calls; it does not share connections.
    #[must_use]
    pub fn with_stamper(&self, stamper: stamper::MessageStamper) -> Self
    where
        C: Clone,
    {
        let shared = &self.shared;
        Self {
            shared: sync::Arc::new(SharedClient {
                connector: shared.connector.clone(),
                own: shared.own.clone(),
                keys: shared.keys.clone(),
                limits: shared.limits,
                slots: sync::Mutex::default(),
                calls: sync::atomic::AtomicU64::new(0),
                stamper,
            }),
        }
    }

    /// Sends a request and waits for the response.
    ///
    /// # Errors
    /// When there is no valid response; [`CallError::ran`] tells whether the call may have had an
    /// effect.
    pub async fn call(
        &self,
        address: net::SocketAddr,
        request: request::Kind,
        options: CallOptions,
    ) -> Result<response::Kind, CallError> {
        let deadline = Instant::now() + options.timeout;
        for _ in 1..MAX_ATTEMPTS {
            let error = match self.attempt_call(address, request.clone(), deadline).await {
                Ok(response) => return Ok(response),
                Err(error) => error,
            };
            let again = match &error {
                CallError::NotSent { .. } => true,
                CallError::Lost { .. } => options.repeatable,
                _ => false,
            };
            if !again {
                return Err(error);
            }
            metrics::counter!("pollenchute_wire_calls_repeated_total").increment(1);
        }
        self.attempt_call(address, request, deadline).await
    }

    async fn attempt_call(
        &self,
        address: net::SocketAddr,
        request: request::Kind,
        deadline: Instant,
    ) -> Result<response::Kind, CallError> {
        let connecting = tokio::time::timeout_at(deadline, self.connection(address)).await;
        let ran = outcome::RanState::No;
        let connection =
            connecting.unwrap_or_else(|_| call::DeadlineSnafu { address, ran }.fail())?;
        let id = self
            .shared
            .calls
            .fetch_add(1, sync::atomic::Ordering::Relaxed);
        let (done, end) = channels::oneshot::channel();
        let call = Box::new(connection::OutgoingCall {
            id,
            timeout: deadline.saturating_duration_since(Instant::now()),
            request: peer::Request {
                kind: Some(request),
            },
            done,
        });
        if connection
            .send(ConnectionCommand::Call(call))
            .await
            .is_err()
        {
            return call::NotSentSnafu { address }.fail();
        }
        // Cancels the call on the other side also when the caller's future is dropped.
        let guard = CancelGuard { connection, id };
        let waited = tokio::time::timeout_at(deadline, end).await;
        drop(guard);
        let ran = outcome::RanState::Unknown;
        let Ok(end) = waited else {
            return call::DeadlineSnafu { address, ran }.fail();
        };
        match end.unwrap_or(CallEnd::Closed) {
            CallEnd::Replied(kind) => call::read_reply(address, kind),
            CallEnd::NotSent => call::NotSentSnafu { address }.fail(),
            CallEnd::Closed | CallEnd::Silent => call::LostSnafu { address }.fail(),
        }
    }

    /// Returns the open connection to `address`, or opens a new one.
    async fn connection(&self, address: net::SocketAddr) -> Result<ConnectionSender, CallError> {
        let slot = {
            let slots = self.shared.slots.lock();
            let mut slots = slots.unwrap_or_else(sync::PoisonError::into_inner);
            // Unreferenced slots whose connection has ended are removed.
            slots.retain(|_, slot| sync::Arc::strong_count(slot) > 1 || is_open(slot));
            sync::Arc::clone(slots.entry(address).or_default())
        };
        let mut guard = slot.lock().await;
        if let Some(connection) = guard.as_ref().filter(|connection| !connection.is_closed()) {
            return Ok(connection.clone());
        }
        let connection = self.open(address).await?;
        *guard = Some(connection.clone());
        Ok(connection)
    }

    async fn open(&self, address: net::SocketAddr) -> Result<ConnectionSender, CallError> {
        let shared = &self.shared;
        let limits = shared.limits;
        let dialing = shared.connector.connect(address);
        let stream = tokio::time::timeout(limits.connect_timeout, dialing)
            .await
            .unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))
            .context(call::ConnectSnafu { address })?;
        let handshaking =
            handshake::connect(stream, &shared.own, &shared.keys, limits.max_frame_bytes);
        let session = tokio::time::timeout(limits.connect_timeout, handshaking)
            .await
            .unwrap_or(Err(handshake::HandshakeError::TimedOut))
            .context(call::HandshakeSnafu { address })?;
        let (connection, inbox) = channels::mpsc::channel(CALL_BACKLOG);
        let limits = connection::ConnectionLimits {
            silence_timeout: limits.silence_timeout,
            heartbeat_interval: limits.silence_timeout / 2,
            idle_timeout: limits.idle_timeout,
        };
        tokio::spawn(
            connection::ConnectionActor::new(
                session,
                shared.keys.clone(),
                limits,
                shared.stamper.clone(),
            )
            .run(inbox),
        );
        Ok(connection)
    }
}

fn is_open(slot: &SharedSlot) -> bool {
    slot.try_lock()
        .is_ok_and(|slot| slot.as_ref().is_some_and(|sender| !sender.is_closed()))
}

/// Cancels the call on the other side when dropped.
struct CancelGuard {
    connection: ConnectionSender,
    id: u64,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        // When the backlog is full, the call harmlessly runs to its deadline there.
        let _ = self.connection.try_send(ConnectionCommand::Cancel(self.id));
    }
}

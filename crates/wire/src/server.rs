//! Server for calls from other entry VMs.

use std::{collections, sync, time};

use futures_util::{SinkExt as _, StreamExt as _};
use tokio::{io, net, sync as channels, task};
use trace::stamper;

use crate::{frame, handshake, identity, key, proto::peer};
use peer::{client_frame, reply, request, response, server_frame};

/// Maximum number of replies queued for sending on one connection.
const REPLY_BACKLOG: usize = 64;

/// Failure of a call, as reported to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallFailure {
    /// Kind of the failure.
    pub kind: peer::FailureKind,
    /// Cause and remedy, for operators.
    pub message: String,
}

/// Handler of calls.
pub trait PeerService: Send + Sync + 'static {
    /// Handles one call of `caller`. The future is dropped when the caller no longer waits.
    fn handle(
        &self,
        caller: &identity::ProcessIdentity,
        request: request::Kind,
    ) -> impl Future<Output = Result<response::Kind, CallFailure>> + Send;
}

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Maximum number of connections; further ones are closed immediately.
    pub connections: usize,
    /// Maximum number of connections that have not yet proved that they have a key.
    pub unauthenticated: usize,
    /// Maximum number of concurrent calls over all connections; further ones are refused as busy.
    pub calls: usize,
    /// Maximum number of concurrent calls on one connection.
    pub calls_per_connection: usize,
    /// Maximum size of a frame.
    pub max_frame_bytes: usize,
    /// A connection that receives nothing for this long is closed.
    pub idle_timeout: time::Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            connections: 1024,
            unauthenticated: 256,
            calls: 256,
            calls_per_connection: 64,
            max_frame_bytes: frame::DEFAULT_MAX_FRAME_BYTES,
            idle_timeout: time::Duration::from_secs(60),
        }
    }
}

/// Serves calls from other entry VMs.
#[derive(Debug)]
pub struct PeerServer<P> {
    shared: sync::Arc<SharedServer<P>>,
}

#[derive(Debug)]
struct SharedServer<P> {
    own: identity::ProcessIdentity,
    keys: key::KeyHandle,
    service: P,
    limits: ServerLimits,
    connections: sync::Arc<channels::Semaphore>,
    unauthenticated: channels::Semaphore,
    calls: sync::Arc<channels::Semaphore>,
    stamper: stamper::MessageStamper,
}

impl<P: PeerService> PeerServer<P> {
    /// Creates a server whose calls are handled by `service`.
    #[must_use]
    pub fn new(
        own: identity::ProcessIdentity,
        keys: key::KeyHandle,
        service: P,
        limits: ServerLimits,
    ) -> Self {
        Self::stamped(
            own,
            keys,
            service,
            limits,
            stamper::MessageStamper::default(),
        )
    }

    /// Creates a server that also stamps its replies.
    #[must_use]
    pub fn stamped(
        own: identity::ProcessIdentity,
        keys: key::KeyHandle,
        service: P,
        limits: ServerLimits,
        stamper: stamper::MessageStamper,
    ) -> Self {
        Self {
            shared: sync::Arc::new(SharedServer {
                own,
                keys,
                service,
                limits,
                connections: sync::Arc::new(channels::Semaphore::new(limits.connections)),
                unauthenticated: channels::Semaphore::new(limits.unauthenticated),
                calls: sync::Arc::new(channels::Semaphore::new(limits.calls)),
                stamper,
            }),
        }
    }

    /// Serves one connection over any kind of stream until it ends.
    pub async fn serve_stream<S>(&self, stream: S)
    where
        S: io::AsyncRead + io::AsyncWrite + Unpin + Send + 'static,
    {
        sync::Arc::clone(&self.shared).serve_stream(stream).await;
    }

    /// Accepts connections until the future is dropped, which closes all of them.
    pub async fn serve(self, listener: net::TcpListener) {
        let mut tasks = task::JoinSet::new();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                Some(_) = tasks.join_next() => continue,
            };
            let Ok((stream, _)) = accepted else {
                // For example, no file descriptor is left: an immediate retry would be a busy loop.
                tokio::time::sleep(time::Duration::from_millis(50)).await;
                continue;
            };
            let slots = sync::Arc::clone(&self.shared.connections);
            let Ok(slot) = slots.try_acquire_owned() else {
                count_refused("too_many");
                continue;
            };
            // Calls are short; Nagle's algorithm would only delay them.
            let _ = stream.set_nodelay(true);
            let shared = sync::Arc::clone(&self.shared);
            tasks.spawn(async move {
                shared.serve_stream(stream).await;
                drop(slot);
            });
        }
    }
}

fn count_refused(reason: &'static str) {
    metrics::counter!("pollenchute_wire_connections_refused_total", "reason" => reason)
        .increment(1);
}

/// A received frame, or the end of the connection.
enum Arrival {
    Frame(client_frame::Kind),
    End,
}

/// State of one connection.
struct ConnectionState<P> {
    shared: sync::Arc<SharedServer<P>>,
    caller: sync::Arc<identity::ProcessIdentity>,
    replies: channels::mpsc::Sender<peer::ServerFrame>,
    /// Calls in progress; aborted with the connection, since no caller waits for them any more.
    tasks: task::JoinSet<()>,
    /// Abort handles of the same calls, by call id.
    handles: collections::HashMap<u64, task::AbortHandle>,
}

impl<P: PeerService> SharedServer<P> {
    async fn serve_stream<S: io::AsyncRead + io::AsyncWrite + Unpin + Send + 'static>(
        self: sync::Arc<Self>,
        stream: S,
    ) {
        let Ok(permit) = self.unauthenticated.try_acquire() else {
            count_refused("too_many_strangers");
            return;
        };
        let authenticating =
            tokio::time::timeout(handshake::HANDSHAKE_TIMEOUT, self.authenticate(stream));
        let (mut session, first) = match authenticating
            .await
            .unwrap_or(Err(handshake::HandshakeError::TimedOut))
        {
            Ok(authenticated) => authenticated,
            Err(error) => return count_refused(error.label()),
        };
        drop(permit);
        session
            .stream
            .codec_mut()
            .set_max_frame_length(self.limits.max_frame_bytes);
        self.serve_session(session, first).await;
    }

    /// Performs the handshake and waits for the first frame, which proves that the client has the
    /// key.
    async fn authenticate<S: io::AsyncRead + io::AsyncWrite + Unpin>(
        &self,
        stream: S,
    ) -> Result<(handshake::Session<S>, client_frame::Kind), handshake::HandshakeError> {
        let mut session = handshake::accept(stream, &self.own, &self.keys).await?;
        match session.stream.next().await {
            None => Err(handshake::HandshakeError::Closed),
            Some(Err(source)) => Err(handshake::HandshakeError::Broken { source }),
            Some(Ok(mut frame)) => {
                let first: Option<peer::ClientFrame> = session.opener.open(&mut frame);
                let first = first.and_then(|first| first.kind);
                first
                    .map(|first| (session, first))
                    .ok_or(handshake::HandshakeError::Malformed)
            }
        }
    }

    async fn serve_session<S: io::AsyncRead + io::AsyncWrite + Unpin + Send + 'static>(
        self: sync::Arc<Self>,
        session: handshake::Session<S>,
        first: client_frame::Kind,
    ) {
        let (idle_timeout, key_id) = (self.limits.idle_timeout, session.key_id);
        let (mut sink, mut source) = session.stream.split();
        let (replies, mut outbox) = channels::mpsc::channel::<peer::ServerFrame>(REPLY_BACKLOG);
        let (mut sealer, mut opener) = (session.sealer, session.opener);
        let writer = task::spawn(async move {
            while let Some(reply) = outbox.recv().await {
                let sent = tokio::time::timeout(idle_timeout, sink.send(sealer.seal(&reply))).await;
                if !matches!(sent, Ok(Ok(()))) {
                    return;
                }
            }
        });
        let mut state = ConnectionState {
            shared: self,
            caller: sync::Arc::new(session.peer),
            replies,
            tasks: task::JoinSet::new(),
            handles: collections::HashMap::new(),
        };
        let mut arrival = Arrival::Frame(first);
        while let Arrival::Frame(kind) = arrival {
            // A key is revoked because it may be compromised; connections that were opened with
            // it must not outlive it.
            let in_force = state.shared.keys.current().accepted(key_id).is_some();
            if !in_force || !state.handle_frame(kind).await {
                break;
            }
            arrival = next_arrival(&mut source, &mut opener, idle_timeout).await;
        }
        drop(state);
        writer.abort();
    }
}

async fn next_arrival<T>(
    source: &mut T,
    opener: &mut frame::FrameOpener,
    idle_timeout: time::Duration,
) -> Arrival
where
    T: futures_util::Stream<Item = Result<bytes::BytesMut, std::io::Error>> + Unpin,
{
    let Ok(Some(Ok(mut frame))) = tokio::time::timeout(idle_timeout, source.next()).await else {
        return Arrival::End;
    };
    let frame: Option<peer::ClientFrame> = opener.open(&mut frame);
    let Some(kind) = frame.and_then(|frame| frame.kind) else {
        metrics::counter!("pollenchute_wire_frames_dropped_total").increment(1);
        return Arrival::End;
    };
    Arrival::Frame(kind)
}

impl<P: PeerService> ConnectionState<P> {
    /// Handles one frame; `false` when the connection has ended.
    async fn handle_frame(&mut self, kind: client_frame::Kind) -> bool {
        while self.tasks.try_join_next().is_some() {}
        match kind {
            client_frame::Kind::Ping(number) => {
                let pong = server_frame::Kind::Pong(number);
                self.replies
                    .send(peer::ServerFrame { kind: Some(pong) })
                    .await
                    .is_ok()
            }
            client_frame::Kind::Cancel(id) => {
                if let Some(handle) = self.handles.remove(&id) {
                    handle.abort();
                }
                true
            }
            client_frame::Kind::Call(call) => {
                self.shared.stamper.observe(&self.caller.name, call.stamp);
                self.start_call(call).await
            }
        }
    }

    async fn start_call(&mut self, call: peer::Call) -> bool {
        self.handles.retain(|_, handle| !handle.is_finished());
        let slot = sync::Arc::clone(&self.shared.calls).try_acquire_owned();
        let full = self.handles.len() >= self.shared.limits.calls_per_connection;
        let (Ok(slot), false) = (slot, full) else {
            metrics::counter!("pollenchute_wire_calls_refused_total").increment(1);
            let failure = peer::Failure {
                kind: peer::FailureKind::Busy.into(),
                message: "this VM runs as many calls as it may; ask another or later".to_owned(),
            };
            let reply = self.shared.reply(call.id, reply::Kind::Failure(failure));
            return send_reply(&self.replies, reply).await;
        };
        let (shared, caller) = (
            sync::Arc::clone(&self.shared),
            sync::Arc::clone(&self.caller),
        );
        let (replies, id) = (self.replies.clone(), call.id);
        let handle = self.tasks.spawn(async move {
            let outcome = shared.answer(&caller, call).await;
            send_reply(&replies, shared.reply(id, outcome)).await;
            drop(slot);
        });
        self.handles.insert(id, handle);
        true
    }
}

impl<P: PeerService> SharedServer<P> {
    fn reply(&self, id: u64, kind: reply::Kind) -> peer::Reply {
        peer::Reply {
            id,
            stamp: self.stamper.stamp(),
            kind: Some(kind),
        }
    }

    async fn answer(&self, caller: &identity::ProcessIdentity, call: peer::Call) -> reply::Kind {
        let Some(request) = call.request.and_then(|request| request.kind) else {
            return reply::Kind::Failure(peer::Failure {
                kind: peer::FailureKind::Unsupported.into(),
                message: "this VM does not know this kind of call; update it".to_owned(),
            });
        };
        let within = time::Duration::from_millis(call.within_ms.into());
        match tokio::time::timeout(within, self.service.handle(caller, request)).await {
            Ok(Ok(response)) => reply::Kind::Response(peer::Response {
                kind: Some(response),
            }),
            Ok(Err(failure)) => reply::Kind::Failure(peer::Failure {
                kind: failure.kind.into(),
                message: failure.message,
            }),
            Err(_) => reply::Kind::Failure(peer::Failure {
                kind: peer::FailureKind::Unknown.into(),
                message: "the caller's time was over before the answer".to_owned(),
            }),
        }
    }
}

async fn send_reply(
    replies: &channels::mpsc::Sender<peer::ServerFrame>,
    reply: peer::Reply,
) -> bool {
    let kind = Some(server_frame::Kind::Reply(reply));
    replies.send(peer::ServerFrame { kind }).await.is_ok()
}

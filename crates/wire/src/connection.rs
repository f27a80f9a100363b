//! Client side of a connection, with its calls in progress.

use std::{collections, time};

use futures_util::{SinkExt as _, StreamExt as _};
use tokio::{io, sync as channels, time::Instant};
use trace::stamper;

use crate::{handshake, key, proto::peer};
use peer::{client_frame, server_frame};

/// Outcome of a call on its connection.
#[derive(Debug)]
pub(crate) enum CallEnd {
    /// The other side replied.
    Replied(peer::reply::Kind),
    /// The connection ended before the call was sent: the call did not run.
    NotSent,
    /// The connection ended during the call.
    Closed,
    /// The connection fell silent during the call.
    Silent,
}

/// A call to be sent.
#[derive(Debug)]
pub(crate) struct OutgoingCall {
    /// Unique on the connection.
    pub id: u64,
    pub timeout: time::Duration,
    pub request: peer::Request,
    pub done: channels::oneshot::Sender<CallEnd>,
}

/// A command to the connection.
#[derive(Debug)]
pub(crate) enum ConnectionCommand {
    Call(Box<OutgoingCall>),
    /// The caller no longer waits for this call.
    Cancel(u64),
}

/// Time limits of a connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionLimits {
    /// A connection whose ping is unanswered for this long counts as silent.
    pub silence_timeout: time::Duration,
    /// Interval between checks for silence, with pings while calls are in progress.
    pub heartbeat_interval: time::Duration,
    /// A connection without calls for this long is closed.
    pub idle_timeout: time::Duration,
}

/// Reason why a connection ended.
enum EndReason {
    Closed,
    Silent,
}

/// Runs one connection until it breaks, falls silent or has been idle.
pub(crate) struct ConnectionActor<S> {
    session: handshake::Session<S>,
    keys: key::KeyHandle,
    limits: ConnectionLimits,
    stamper: stamper::MessageStamper,
    /// Calls that were sent and not yet answered.
    pending: collections::BTreeMap<u64, channels::oneshot::Sender<CallEnd>>,
    /// When the unanswered ping was sent. Any received frame counts as its answer.
    pinged_at: Option<Instant>,
    last_call: Instant,
    pings: u64,
}

impl<S: io::AsyncRead + io::AsyncWrite + Unpin> ConnectionActor<S> {
    pub(crate) fn new(
        session: handshake::Session<S>,
        keys: key::KeyHandle,
        limits: ConnectionLimits,
        stamper: stamper::MessageStamper,
    ) -> Self {
        Self {
            session,
            keys,
            limits,
            stamper,
            pending: collections::BTreeMap::new(),
            pinged_at: None,
            last_call: Instant::now(),
            pings: 0,
        }
    }

    pub(crate) async fn run(mut self, mut inbox: channels::mpsc::Receiver<ConnectionCommand>) {
        let reason = self.serve(&mut inbox).await.unwrap_or_else(|reason| reason);
        if matches!(reason, EndReason::Silent) {
            metrics::counter!("pollenchute_wire_connections_silent_total").increment(1);
        }
        inbox.close();
        while let Ok(command) = inbox.try_recv() {
            if let ConnectionCommand::Call(call) = command {
                let _ = call.done.send(CallEnd::NotSent);
            }
        }
        for done in std::mem::take(&mut self.pending).into_values() {
            let _ = done.send(match reason {
                EndReason::Closed => CallEnd::Closed,
                EndReason::Silent => CallEnd::Silent,
            });
        }
    }

    async fn serve(
        &mut self,
        inbox: &mut channels::mpsc::Receiver<ConnectionCommand>,
    ) -> Result<EndReason, EndReason> {
        let mut heartbeat = tokio::time::interval(self.limits.heartbeat_interval);
        heartbeat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        // The first frame proves to the server that this side has the key.
        self.ping().await?;
        loop {
            tokio::select! {
                frame = self.session.stream.next() => match frame {
                    Some(Ok(mut frame)) => self.handle_frame(&mut frame)?,
                    Some(Err(_)) | None => return Ok(EndReason::Closed),
                },
                command = inbox.recv() => match command {
                    Some(command) => self.execute(command).await?,
                    None => return Ok(EndReason::Closed),
                },
                _ = heartbeat.tick() => {
                    self.pending.retain(|_, done| !done.is_closed());
                    if self.pending.is_empty() && self.last_call.elapsed() >= self.limits.idle_timeout {
                        return Ok(EndReason::Closed);
                    }
                    self.check_silence().await?;
                }
            }
        }
    }

    /// Detects silent connections: a middlebox may lose the connection's state, after which nothing
    /// arrives, not even an error. So a ping is always outstanding while a call is pending, and an
    /// unanswered ping ends the connection.
    async fn check_silence(&mut self) -> Result<(), EndReason> {
        if self.keys.current().accepted(self.session.key_id).is_none() {
            return Err(EndReason::Closed);
        }
        match self.pinged_at {
            Some(pinged_at) if pinged_at.elapsed() >= self.limits.silence_timeout => {
                Err(EndReason::Silent)
            }
            None if !self.pending.is_empty() => self.ping().await,
            Some(_) | None => Ok(()),
        }
    }

    fn handle_frame(&mut self, frame: &mut bytes::BytesMut) -> Result<(), EndReason> {
        let frame: Option<peer::ServerFrame> = self.session.opener.open(frame);
        let Some(kind) = frame.and_then(|frame| frame.kind) else {
            metrics::counter!("pollenchute_wire_frames_dropped_total").increment(1);
            return Err(EndReason::Closed);
        };
        self.pinged_at = None;
        // A reply without a pending call arrived late; call ids are unique, so it matches no other
        // call.
        if let server_frame::Kind::Reply(reply) = &kind {
            self.stamper.observe(&self.session.peer.name, reply.stamp);
        }
        if let server_frame::Kind::Reply(reply) = kind
            && let Some(done) = self.pending.remove(&reply.id)
            && let Some(kind) = reply.kind
        {
            let _ = done.send(CallEnd::Replied(kind));
        }
        Ok(())
    }

    async fn execute(&mut self, command: ConnectionCommand) -> Result<(), EndReason> {
        match command {
            ConnectionCommand::Cancel(id) => {
                if self.pending.remove(&id).is_some() {
                    self.write(client_frame::Kind::Cancel(id)).await?;
                }
                Ok(())
            }
            ConnectionCommand::Call(call) => {
                self.last_call = Instant::now();
                self.pending.insert(call.id, call.done);
                let within_ms = u32::try_from(call.timeout.as_millis()).unwrap_or(u32::MAX);
                self.write(client_frame::Kind::Call(peer::Call {
                    id: call.id,
                    within_ms,
                    request: Some(call.request),
                    stamp: self.stamper.stamp(),
                }))
                .await?;
                if self.pinged_at.is_none() {
                    self.ping().await
                } else {
                    Ok(())
                }
            }
        }
    }

    async fn ping(&mut self) -> Result<(), EndReason> {
        self.pings += 1;
        self.pinged_at = Some(Instant::now());
        self.write(client_frame::Kind::Ping(self.pings)).await
    }

    async fn write(&mut self, kind: client_frame::Kind) -> Result<(), EndReason> {
        let frame = self
            .session
            .sealer
            .seal(&peer::ClientFrame { kind: Some(kind) });
        let sent = self.session.stream.send(frame);
        match tokio::time::timeout(self.limits.silence_timeout, sent).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(EndReason::Closed),
            Err(_) => Err(EndReason::Silent),
        }
    }
}

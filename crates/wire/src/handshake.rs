//! Handshake of a connection: both sides prove that they have a key, and derive session keys.
//!
//! Client to server: a hello with a nonce. Server to client: a hello with a nonce and a MAC over
//! both hellos, which authenticates the server. Both derive one key for each direction from the
//! shared key and both hellos; the client's first frame under it authenticates the client. A
//! recorded connection cannot be replayed, since the other side's nonce is new each time.

use std::time;

use futures_util::{SinkExt as _, StreamExt as _};
use prost::Message as _;
use snafu::{OptionExt as _, ResultExt as _};
use tokio::io;

use crate::{frame, identity, key, proto::envelope};

/// Version of the frame protocol.
const VERSION: u32 = 1;

/// Timeout of the complete handshake.
pub(crate) const HANDSHAKE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Error that ends a handshake.
#[derive(Debug, snafu::Snafu)]
pub enum HandshakeError {
    /// The other side closed the connection, sent an oversized frame, or the network failed.
    #[snafu(display("the connection ended during the handshake: {source}; check the other VM"))]
    Broken {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The other side closed the connection without an answer.
    #[snafu(display(
        "the other side closed during the handshake; check that both VMs have a peer key in common"
    ))]
    Closed,
    /// The frame is not a hello of this protocol.
    #[snafu(display(
        "received no hello of version {VERSION}; check the address and release of the other VM"
    ))]
    Malformed,
    /// The key id is not in force here.
    #[snafu(display("peer key {id} is not in force here; put it in force before it signs"))]
    UnknownKey {
        /// The key id.
        id: u32,
    },
    /// The MAC does not verify.
    #[snafu(display("the other side does not have peer key {id}; compare the keys of both VMs"))]
    WrongTag {
        /// The key id.
        id: u8,
    },
    /// The handshake took too long.
    #[snafu(display("the handshake took longer than {HANDSHAKE_TIMEOUT:?}; check the network"))]
    TimedOut,
}

impl HandshakeError {
    /// Label of the error in metrics.
    #[must_use]
    pub const fn label(&self) -> &'static str {
        match self {
            Self::Broken { .. } => "broken",
            Self::Closed => "closed",
            Self::Malformed => "malformed",
            Self::UnknownKey { .. } => "unknown_key",
            Self::WrongTag { .. } => "wrong_tag",
            Self::TimedOut => "late",
        }
    }
}

/// A connection after the handshake.
pub(crate) struct Session<S> {
    pub stream: frame::FramedStream<S>,
    pub peer: identity::ProcessIdentity,
    /// Id of the shared key; the connection ends when the key is no longer in force.
    pub key_id: u8,
    pub sealer: frame::FrameSealer,
    pub opener: frame::FrameOpener,
}

/// Performs the client side of the handshake.
pub(crate) async fn connect<S: io::AsyncRead + io::AsyncWrite + Unpin>(
    stream: S,
    own: &identity::ProcessIdentity,
    keys: &key::KeyHandle,
    max_frame_bytes: usize,
) -> Result<Session<S>, HandshakeError> {
    let mut stream = frame::split(stream);
    let ring = keys.current();
    let key = ring.signing();
    let client = envelope::ClientHello {
        version: VERSION,
        key_id: key.id().into(),
        name: own.name.clone(),
        incarnation: identity::incarnation_to_wire(own.incarnation).to_vec(),
        nonce: random_nonce(),
    }
    .encode_to_vec();
    stream
        .send(bytes::Bytes::from(client.clone()))
        .await
        .context(BrokenSnafu)?;
    let mut server = envelope::ServerHello::decode(receive(&mut stream).await?)
        .ok()
        .context(MalformedSnafu)?;
    let tag: Option<key::MacTag> = std::mem::take(&mut server.tag).try_into().ok();
    let hellos = HelloPair {
        client,
        server: server.encode_to_vec(),
    };
    let proved = tag.is_some_and(|tag| key.verifies(&hellos.parts(SERVER_PROOF), &tag));
    snafu::ensure!(proved, WrongTagSnafu { id: key.id() });
    let peer = identity::ProcessIdentity::from_wire(server.name, &server.incarnation)
        .context(MalformedSnafu)?;
    stream.codec_mut().set_max_frame_length(max_frame_bytes);
    Ok(Session {
        stream,
        peer,
        key_id: key.id(),
        sealer: frame::FrameSealer::new(key.derive(&hellos.parts(TO_SERVER))),
        opener: frame::FrameOpener::new(key.derive(&hellos.parts(TO_CLIENT))),
    })
}

/// Performs the server side of the handshake. The client is not authenticated until its first frame
/// is opened.
pub(crate) async fn accept<S: io::AsyncRead + io::AsyncWrite + Unpin>(
    stream: S,
    own: &identity::ProcessIdentity,
    keys: &key::KeyHandle,
) -> Result<Session<S>, HandshakeError> {
    let mut stream = frame::split(stream);
    let client = receive(&mut stream).await?.to_vec();
    let hello = envelope::ClientHello::decode(client.as_slice())
        .ok()
        .context(MalformedSnafu)?;
    let peer = identity::ProcessIdentity::from_wire(hello.name, &hello.incarnation)
        .filter(|_| hello.version == VERSION)
        .context(MalformedSnafu)?;
    let id = hello.key_id;
    let ring = keys.current();
    let number = u8::try_from(id).ok();
    let key = number
        .and_then(|id| ring.accepted(id))
        .context(UnknownKeySnafu { id })?;
    let mut server = envelope::ServerHello {
        name: own.name.clone(),
        incarnation: identity::incarnation_to_wire(own.incarnation).to_vec(),
        nonce: random_nonce(),
        tag: Vec::new(),
    };
    let hellos = HelloPair {
        client,
        server: server.encode_to_vec(),
    };
    server.tag = key.tag(&hellos.parts(SERVER_PROOF)).to_vec();
    stream
        .send(bytes::Bytes::from(server.encode_to_vec()))
        .await
        .context(BrokenSnafu)?;
    Ok(Session {
        stream,
        peer,
        key_id: key.id(),
        sealer: frame::FrameSealer::new(key.derive(&hellos.parts(TO_CLIENT))),
        opener: frame::FrameOpener::new(key.derive(&hellos.parts(TO_SERVER))),
    })
}

const SERVER_PROOF: &[u8] = b"pollenchute server proof";
const TO_SERVER: &[u8] = b"pollenchute frames to server";
const TO_CLIENT: &[u8] = b"pollenchute frames to client";

/// Both hellos as sent, the server's without its MAC.
struct HelloPair {
    client: Vec<u8>,
    server: Vec<u8>,
}

impl HelloPair {
    fn parts<'a>(&'a self, label: &'a [u8]) -> [&'a [u8]; 3] {
        [label, &self.client, &self.server]
    }
}

fn random_nonce() -> Vec<u8> {
    rand::random::<[u8; 32]>().to_vec()
}

async fn receive<S: io::AsyncRead + io::AsyncWrite + Unpin>(
    stream: &mut frame::FramedStream<S>,
) -> Result<bytes::BytesMut, HandshakeError> {
    stream
        .next()
        .await
        .context(ClosedSnafu)?
        .context(BrokenSnafu)
}

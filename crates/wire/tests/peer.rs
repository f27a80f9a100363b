//! Tests of calls between two processes over in-memory streams, with a paused clock.

use std::{net, sync, time};

use base::{id, outcome};
use peer::{request, response};
use rand_chacha::rand_core::{Rng as _, SeedableRng as _};
use tokio::{io, io::AsyncReadExt as _, io::AsyncWriteExt as _};
use wire::{
    client::{self, CallError, CallOptions},
    identity, key,
    proto::peer,
    server::{self, CallFailure},
};

const ADDRESS: net::SocketAddr =
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), 7001);

fn keys(id: u8, secret: u8) -> key::KeyHandle {
    let key = key::WireKey::new(id, &[secret; 32]);
    key::KeyHandle::new(key::KeyRing::new(vec![key]).expect("one key"))
}

fn process(name: &str, incarnation: u128) -> identity::ProcessIdentity {
    identity::ProcessIdentity {
        name: name.to_owned(),
        incarnation: id::Incarnation(incarnation),
    }
}

/// Answers an extension with its own body after a delay, given in milliseconds by its name.
#[derive(Clone, Default)]
struct EchoService {
    bodies: sync::Arc<sync::Mutex<Vec<Vec<u8>>>>,
    finished: sync::Arc<sync::atomic::AtomicUsize>,
}

impl server::PeerService for EchoService {
    async fn handle(
        &self,
        _: &identity::ProcessIdentity,
        request: request::Kind,
    ) -> Result<response::Kind, CallFailure> {
        let request::Kind::Extension(extension) = request else {
            return Err(CallFailure {
                kind: peer::FailureKind::Unsupported,
                message: "only extensions".to_owned(),
            });
        };
        self.bodies
            .lock()
            .expect("no panic")
            .push(extension.body.clone());
        let delay_ms = extension.name.parse().unwrap_or(0);
        tokio::time::sleep(time::Duration::from_millis(delay_ms)).await;
        self.finished.fetch_add(1, sync::atomic::Ordering::Relaxed);
        Ok(response::Kind::Extension(extension.body))
    }
}

fn echo(delay_ms: u64, body: &[u8]) -> request::Kind {
    request::Kind::Extension(peer::Extension {
        name: delay_ms.to_string(),
        body: body.to_vec(),
    })
}

fn within_ms(within_ms: u64, repeatable: bool) -> CallOptions {
    CallOptions {
        timeout: time::Duration::from_millis(within_ms),
        repeatable,
    }
}

/// Connects to a server through a relay that may silently stall a connection, and records it.
#[derive(Clone)]
struct FakeNetwork {
    /// Keys of the server.
    keys: key::KeyHandle,
    server: sync::Arc<server::PeerServer<EchoService>>,
    /// Number of connections opened so far.
    opened: sync::Arc<sync::atomic::AtomicUsize>,
    /// Number of first connections that fall silent after `silent_after_bytes` bytes.
    silent: usize,
    silent_after_bytes: usize,
    /// Time after which every connection falls silent.
    silent_after: time::Duration,
    /// Bytes sent by clients.
    recorded: sync::Arc<sync::Mutex<Vec<u8>>>,
}

impl client::StreamConnector for FakeNetwork {
    type Stream = io::DuplexStream;

    async fn connect(&self, _: net::SocketAddr) -> std::io::Result<io::DuplexStream> {
        let number = self.opened.fetch_add(1, sync::atomic::Ordering::Relaxed);
        let (near, far) = io::duplex(1 << 16);
        let (inner, served) = io::duplex(1 << 16);
        let server = sync::Arc::clone(&self.server);
        tokio::spawn(async move { server.serve_stream(served).await });
        let limit = if number < self.silent {
            self.silent_after_bytes
        } else {
            usize::MAX
        };
        tokio::spawn(self.clone().copy(far, inner, limit));
        Ok(near)
    }
}

impl FakeNetwork {
    fn new(limits: server::ServerLimits) -> (Self, EchoService) {
        let service = EchoService::default();
        let own = process("hall-b", 2);
        let keys = keys(1, 1);
        let server = server::PeerServer::new(own, keys.clone(), service.clone(), limits);
        let network = Self {
            keys,
            server: sync::Arc::new(server),
            opened: sync::Arc::default(),
            silent: 0,
            silent_after_bytes: 0,
            silent_after: time::Duration::MAX,
            recorded: sync::Arc::default(),
        };
        (network, service)
    }

    fn client(&self, keys: key::KeyHandle) -> client::PeerClient<Self> {
        let limits = client::ClientLimits::default();
        client::PeerClient::with_connector(process("hall-a", 1), keys, limits, self.clone())
    }

    fn opened(&self) -> usize {
        self.opened.load(sync::atomic::Ordering::Relaxed)
    }

    async fn copy(self, mut near: io::DuplexStream, mut far: io::DuplexStream, limit: usize) {
        let (mut passed, mut up, mut down) = (0, [0; 4096], [0; 4096]);
        let mut silence = std::pin::pin!(tokio::time::sleep(self.silent_after));
        loop {
            let (bytes, upwards) = tokio::select! {
                Ok(bytes) = near.read(&mut up) => (bytes, true),
                Ok(bytes) = far.read(&mut down) => (bytes, false),
                () = &mut silence => return std::future::pending().await,
                else => return,
            };
            passed += bytes;
            if bytes == 0 {
                return;
            }
            if passed > limit {
                // Both ends stay open, but nothing is relayed any more.
                return std::future::pending().await;
            }
            if upwards {
                self.recorded
                    .lock()
                    .expect("no panic")
                    .extend_from_slice(&up[..bytes]);
                let _ = far.write_all(&up[..bytes]).await;
            } else {
                let _ = near.write_all(&down[..bytes]).await;
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn out_of_order_responses_reach_their_own_calls() {
    // Guards against a caller receiving the response of another call: many calls share one
    // connection, are answered out of order and partly cancelled, and replies carry only the call
    // id.
    let (network, _) = FakeNetwork::new(server::ServerLimits::default());
    let client = network.client(keys(1, 1));
    let calls = (0..50_u64).map(|number| {
        let client = client.clone();
        async move {
            let body = number.to_le_bytes();
            let limit_ms = if number % 5 == 0 { 100 } else { 5_000 };
            let request = echo((number * 37) % 400, &body);
            let answer = client
                .call(ADDRESS, request, within_ms(limit_ms, false))
                .await;
            match answer {
                Ok(answer) => assert_eq!(answer, response::Kind::Extension(body.to_vec())),
                Err(error) => {
                    assert!(matches!(error, CallError::Deadline { .. }), "{error}");
                    assert_eq!(number % 5, 0);
                }
            }
        }
    });
    futures_util::future::join_all(calls).await;
    assert_eq!(network.opened(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_silent_connection_is_replaced() {
    // Guards against calls that hang although new connections work: a middlebox loses the state of
    // an open connection, and neither end is notified.
    let (mut network, service) = FakeNetwork::new(server::ServerLimits::default());
    (network.silent, network.silent_after_bytes) = (1, 500);
    let client = network.client(keys(1, 1));
    let started_at = tokio::time::Instant::now();
    let request = echo(0, &[7; 600]);
    let answer = client
        .call(ADDRESS, request.clone(), within_ms(5_000, true))
        .await;
    assert_eq!(
        answer.expect("repeated"),
        response::Kind::Extension(vec![7; 600])
    );
    assert_eq!(network.opened(), 2);
    assert!(started_at.elapsed() <= time::Duration::from_millis(1_600));
    assert_eq!(service.bodies.lock().expect("no panic").len(), 1);

    (network.silent, network.silent_after_bytes) = (3, 500);
    let client = network.client(keys(1, 1));
    let lost = client.call(ADDRESS, request, within_ms(5_000, false)).await;
    let lost = lost.expect_err("a call that is not repeatable must not be repeated");
    assert_eq!(lost.ran(), outcome::RanState::Unknown);
    assert_eq!(network.opened(), 3);
}

#[tokio::test(start_paused = true)]
async fn silence_is_detected_during_a_call() {
    // Guards against a long call that hangs until its deadline: a middlebox loses the connection's
    // state during the call, while only the response is expected on the connection.
    let (mut network, _) = FakeNetwork::new(server::ServerLimits::default());
    network.silent_after = time::Duration::from_secs(5);
    let client = network.client(keys(1, 1));
    let started_at = tokio::time::Instant::now();
    let lost = client
        .call(ADDRESS, echo(20_000, b"slow"), within_ms(30_000, false))
        .await;
    assert!(matches!(lost, Err(CallError::Lost { .. })), "{lost:?}");
    assert!(started_at.elapsed() <= time::Duration::from_millis(7_100));
}

#[tokio::test(start_paused = true)]
async fn a_slow_response_is_not_silence() {
    let (network, _) = FakeNetwork::new(server::ServerLimits::default());
    let client = network.client(keys(1, 1));
    let answer = client
        .call(ADDRESS, echo(20_000, b"slow"), within_ms(30_000, false))
        .await;
    assert_eq!(
        answer.expect("answered"),
        response::Kind::Extension(b"slow".to_vec())
    );
    assert_eq!(network.opened(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_server_at_its_limit_refuses_calls_immediately() {
    let limits = server::ServerLimits {
        calls: 2,
        ..server::ServerLimits::default()
    };
    let (network, service) = FakeNetwork::new(limits);
    let client = network.client(keys(1, 1));
    let calls = (0..5).map(|_| client.call(ADDRESS, echo(100, b"x"), within_ms(1_000, false)));
    let ends = futures_util::future::join_all(calls).await;
    let refused: Vec<&CallError> = ends.iter().filter_map(|end| end.as_ref().err()).collect();
    assert_eq!(refused.len(), 3);
    for error in refused {
        assert!(matches!(
            error,
            CallError::Refused {
                kind: peer::FailureKind::Busy,
                ..
            }
        ));
        assert_eq!(error.ran(), outcome::RanState::No);
    }
    assert_eq!(service.bodies.lock().expect("no panic").len(), 2);
    let after = client
        .call(ADDRESS, echo(0, b"x"), within_ms(1_000, false))
        .await;
    assert!(after.is_ok(), "slots must be released after the calls");
}

#[tokio::test(start_paused = true)]
async fn a_dropped_call_is_cancelled_on_the_server() {
    let (network, service) = FakeNetwork::new(server::ServerLimits::default());
    let client = network.client(keys(1, 1));
    let call = client.call(ADDRESS, echo(10_000, b"x"), within_ms(60_000, false));
    let given_up = tokio::time::timeout(time::Duration::from_millis(100), call).await;
    assert!(given_up.is_err());
    tokio::time::sleep(time::Duration::from_secs(60)).await;
    assert_eq!(service.bodies.lock().expect("no panic").len(), 1);
    assert_eq!(service.finished.load(sync::atomic::Ordering::Relaxed), 0);
}

#[tokio::test(start_paused = true)]
async fn a_client_with_another_key_is_refused() {
    let (network, service) = FakeNetwork::new(server::ServerLimits::default());
    for (id, secret) in [(1, 2), (2, 1)] {
        let client = network.client(keys(id, secret));
        let error = client
            .call(ADDRESS, echo(0, b"x"), within_ms(3_000, true))
            .await;
        let error = error.expect_err("refused");
        assert!(matches!(error, CallError::Handshake { .. }), "{error}");
        assert_eq!(error.ran(), outcome::RanState::No);
    }
    assert!(service.bodies.lock().expect("no panic").is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_connection_is_closed_when_its_key_is_removed() {
    // Guards against a stolen key that stays usable after it was replaced: a connection opened with
    // it has its own derived keys, which the server must discard with the key.
    let (network, _) = FakeNetwork::new(server::ServerLimits::default());
    let client = network.client(keys(1, 1));
    client
        .call(ADDRESS, echo(0, b"x"), within_ms(1_000, false))
        .await
        .expect("answered");
    network
        .keys
        .replace(key::KeyRing::new(vec![key::WireKey::new(2, &[2; 32])]).expect("one"));
    let refused = client
        .call(ADDRESS, echo(0, b"y"), within_ms(3_000, false))
        .await;
    assert!(refused.is_err());
    let refused = client
        .call(ADDRESS, echo(0, b"z"), within_ms(3_000, false))
        .await;
    assert!(
        matches!(refused, Err(CallError::Handshake { .. })),
        "{refused:?}"
    );
}

/// Sends `bytes` to the server over a new connection, and waits until the connection has ended.
async fn send_raw(network: &FakeNetwork, bytes: &[u8]) {
    let (mut near, far) = io::duplex(1 << 16);
    let sending = async {
        let _ = near.write_all(bytes).await;
        // Leaves time for valid frames to be handled before the connection ends.
        tokio::time::sleep(time::Duration::from_millis(100)).await;
        let _ = near.shutdown().await;
        let _ = near.read_to_end(&mut Vec::new()).await;
    };
    tokio::join!(network.server.serve_stream(far), sending);
}

#[tokio::test(start_paused = true)]
async fn replayed_and_forged_bytes_are_never_handled() {
    // Guards against duplicate or forged appends: an attacker records a connection and sends its
    // bytes again, unchanged or modified, or sends garbage. The server must then still serve a
    // valid client.
    let (network, service) = FakeNetwork::new(server::ServerLimits::default());
    let client = network.client(keys(1, 1));
    client
        .call(ADDRESS, echo(0, b"once"), within_ms(1_000, false))
        .await
        .expect("answered");
    let recorded = network.recorded.lock().expect("no panic").clone();
    send_raw(&network, &recorded).await;
    send_raw(&network, &u32::MAX.to_be_bytes()).await;
    for seed in 0..2_000 {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let mut bytes = recorded.clone();
        if seed % 3 == 0 {
            rng.fill_bytes(&mut bytes);
        } else {
            let position = (rng.next_u32() as usize) % bytes.len();
            bytes[position] ^= 1 << (rng.next_u32() % 8);
            bytes.truncate(bytes.len() - (rng.next_u32() as usize) % 2);
        }
        send_raw(&network, &bytes).await;
    }
    assert_eq!(
        *service.bodies.lock().expect("no panic"),
        [b"once".to_vec()]
    );
    client
        .call(ADDRESS, echo(0, b"after"), within_ms(1_000, false))
        .await
        .expect("answered");
}

#[tokio::test(start_paused = true)]
async fn modified_or_out_of_sequence_frames_are_not_opened() {
    // Guards against tampering: one bit is changed in transit, in any frame after the handshake.
    // TCP's checksum does not protect against an attacker.
    use futures_util::{SinkExt as _, StreamExt as _};
    for position in 0..40 {
        let key = key::WireKey::new(1, &[position; 32]);
        let mut sealer = wire::frame::FrameSealer::new(key.clone());
        let mut opener = wire::frame::FrameOpener::new(key);
        let frames: Vec<bytes::BytesMut> = (0..3)
            .map(|number| {
                let kind = Some(peer::client_frame::Kind::Ping(number));
                bytes::BytesMut::from(sealer.seal(&peer::ClientFrame { kind }))
            })
            .collect();
        let mut open = |frame: &bytes::BytesMut| -> Option<peer::ClientFrame> {
            opener.open(&mut frame.clone())
        };
        assert!(open(&frames[1]).is_none(), "a frame was omitted");
        assert!(open(&frames[0]).is_some());
        assert!(open(&frames[0]).is_none(), "a frame was repeated");
        let mut changed = frames[1].clone();
        let index = usize::from(position) % changed.len();
        changed[index] ^= 1;
        assert!(open(&changed).is_none(), "changed at {index}");
    }
    let (near, far) = io::duplex(64);
    let mut sink =
        tokio_util::codec::Framed::new(near, tokio_util::codec::LengthDelimitedCodec::new());
    let mut source = tokio_util::codec::Framed::new(
        far,
        tokio_util::codec::LengthDelimitedCodec::builder()
            .max_frame_length(8)
            .new_codec(),
    );
    sink.send(bytes::Bytes::from_static(&[0; 9]))
        .await
        .expect("the stream has capacity");
    assert!(
        source.next().await.is_some_and(|frame| frame.is_err()),
        "an oversized frame must be rejected"
    );
}

//! Tests that messages carry the sender's clock, so that their effects are ordered after them.

use std::sync;

use base::id;
use peer::{request, response};
use trace::{clock, journal, stamper};
use wire::{
    client, datagram, identity, key,
    proto::peer,
    server::{self, CallFailure},
};

const BEHIND_MS: u64 = 1_772_000_000_000;
const AHEAD_MS: u64 = BEHIND_MS + 1_500;

const fn behind() -> u64 {
    BEHIND_MS
}

const fn ahead() -> u64 {
    AHEAD_MS
}

struct Side {
    identity: identity::ProcessIdentity,
    journal: sync::Arc<journal::EventJournal>,
    stamper: stamper::MessageStamper,
}

fn side(name: &str, incarnation: u128, wall: stamper::WallClock) -> Side {
    let limits = trace::ring::RingLimits::default();
    let journal = journal::EventJournal::new(name.to_owned(), id::Incarnation(incarnation), limits);
    let journal = sync::Arc::new(journal);
    Side {
        identity: identity::ProcessIdentity {
            name: name.to_owned(),
            incarnation: id::Incarnation(incarnation),
        },
        stamper: stamper::MessageStamper::new(sync::Arc::clone(&journal), wall),
        journal,
    }
}

fn keys() -> key::KeyHandle {
    let key = key::WireKey::new(1, &[7; 32]);
    key::KeyHandle::new(key::KeyRing::new(vec![key]).expect("one key"))
}

#[test]
fn a_datagram_orders_its_effects_after_their_cause() {
    // Guards against a timeline in which a VM learns of a failure before another VM detected it:
    // VM A, whose clock is 1.5 s ahead, records the failure and sends it to VM B, which would stamp
    // its own record by its wall clock alone.
    let (sender, receiver) = (side("hall-a", 1, ahead), side("hall-b", 2, behind));
    let codec = datagram::DatagramCodec::new(sender.identity, keys());
    let mut codec = codec.with_stamper(sender.stamper);
    let cause = sender.journal.stamp(AHEAD_MS);
    let sealed = codec.seal(Some(&receiver.identity), b"word".to_vec());
    let sealed = sealed.expect("the payload fits");
    let opener = datagram::DatagramCodec::new(receiver.identity, keys());
    let mut opener = opener.with_stamper(receiver.stamper);
    let stale = receiver.journal.stamp(BEHIND_MS);
    assert!(stale < cause);
    let mut forged = sealed.clone();
    *forged.last_mut().expect("not empty") ^= 1;
    opener.open(&forged).expect_err("the MAC covers the stamp");
    assert!(
        receiver.journal.stamp(BEHIND_MS) < cause,
        "the stamp of a forged datagram was applied"
    );
    opener.open(&sealed).expect("valid");
    assert!(receiver.journal.stamp(BEHIND_MS) > cause);
}

struct EchoService;

impl server::PeerService for EchoService {
    async fn handle(
        &self,
        _: &identity::ProcessIdentity,
        _: request::Kind,
    ) -> Result<response::Kind, CallFailure> {
        Ok(response::Kind::Extension(Vec::new()))
    }
}

/// Makes one call from `caller` to `callee`; returns the stamps of both sides before the call.
async fn call(caller: &Side, callee: &Side) -> (clock::HybridStamp, clock::HybridStamp) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a free port");
    let address = listener.local_addr().expect("bound");
    let limits = server::ServerLimits::default();
    let (identity, stamper) = (callee.identity.clone(), callee.stamper.clone());
    let server = server::PeerServer::stamped(identity, keys(), EchoService, limits, stamper);
    let serving = tokio::spawn(server.serve(listener));
    let limits = client::ClientLimits::default();
    let client = client::PeerClient::new(caller.identity.clone(), keys(), limits);
    let client = client.with_stamper(caller.stamper.clone());
    let before = (caller.stamper.stamp(), callee.stamper.stamp());
    let request = request::Kind::Extension(peer::Extension::default());
    let options = client::CallOptions {
        timeout: std::time::Duration::from_secs(20),
        repeatable: false,
    };
    client
        .call(address, request, options)
        .await
        .expect("an answer");
    serving.abort();
    let (caller, callee) = before;
    (
        clock::HybridStamp::from_bits(caller),
        clock::HybridStamp::from_bits(callee),
    )
}

#[tokio::test]
async fn calls_and_replies_order_their_effects_after_them() {
    let (late, early) = (side("hall-a", 1, ahead), side("hall-b", 2, behind));
    let (caller_before, _) = call(&late, &early).await;
    assert!(
        early.journal.stamp(BEHIND_MS) > caller_before,
        "the call must carry the caller's stamp"
    );
    let (late, early) = (side("hall-a", 1, ahead), side("hall-b", 2, behind));
    let (_, callee_before) = call(&early, &late).await;
    assert!(
        early.journal.stamp(BEHIND_MS) > callee_before,
        "the reply must carry the callee's stamp"
    );
}

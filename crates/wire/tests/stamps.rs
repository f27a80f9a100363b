//! Messages carry the sender's clock, so that what they cause is ordered after it.

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

fn side(name: &str, life: u128, wall: stamper::WallClock) -> Side {
    let limits = trace::ring::RingLimits::default();
    let journal = journal::EventJournal::new(name.to_owned(), id::Incarnation(life), limits);
    let journal = sync::Arc::new(journal);
    Side {
        identity: identity::ProcessIdentity {
            name: name.to_owned(),
            incarnation: id::Incarnation(life),
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
fn datagram_orders_its_effect_after_its_cause() {
    // Symptom: in the time line a VM learns of a death before anybody has noticed it.
    // Sequence: VM A, whose clock is 1.5 s ahead, records the death and tells VM B, who records it.
    // Cause: B stamped by its own wall clock alone.
    let (sender, receiver) = (side("hall-a", 1, ahead), side("hall-b", 2, behind));
    let codec = datagram::DatagramCodec::new(sender.identity, keys());
    let mut codec = codec.with_stamper(sender.stamper);
    let cause = sender.journal.stamp(AHEAD_MS);
    let sealed = codec.seal(Some(&receiver.identity), b"word".to_vec());
    let sealed = sealed.expect("short");
    let opener = datagram::DatagramCodec::new(receiver.identity, keys());
    let mut opener = opener.with_stamper(receiver.stamper);
    let stale = receiver.journal.stamp(BEHIND_MS);
    assert!(stale < cause);
    let mut forged = sealed.clone();
    *forged.last_mut().expect("not empty") ^= 1;
    opener.open(&forged).expect_err("the MAC covers the stamp");
    assert!(
        receiver.journal.stamp(BEHIND_MS) < cause,
        "a forged stamp was followed"
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

/// One call from `caller` to `callee`; returns the stamps of both sides before it.
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
async fn call_and_answer_order_what_they_cause() {
    let (late, early) = (side("hall-a", 1, ahead), side("hall-b", 2, behind));
    let (caller_before, _) = call(&late, &early).await;
    assert!(
        early.journal.stamp(BEHIND_MS) > caller_before,
        "the call carries its stamp"
    );
    let (late, early) = (side("hall-a", 1, ahead), side("hall-b", 2, behind));
    let (_, callee_before) = call(&early, &late).await;
    assert!(
        early.journal.stamp(BEHIND_MS) > callee_before,
        "the answer carries its stamp"
    );
}

//! Tests of VMs of other systems, whose messages must change nothing, and of how a VM finds out its
//! own system.

mod cluster;

use std::{rc, time};

use arbitrary::Unstructured;
use cluster::store;
use exchange::{catchup, link, message, system};
use tokio::time as clock;

/// Number of another system.
const OTHER_SYSTEM: u64 = 42;
/// Number of VMs that send datagrams in a history.
const SENDERS: u8 = 6;
/// Number of random histories.
const HISTORIES: u64 = 400;

/// The introduction of VM `number`; only introductions name the system.
fn introduction(number: u8, sequence: u64, system: u64) -> message::PeerDatagram {
    message::PeerDatagram {
        sender: u64::from(number),
        name: format!("vm-{number}"),
        domain: String::from("a"),
        incarnation: 1,
        sequence,
        stage: message::VmStage::Serving.into(),
        entry_address: cluster::address(number).to_string(),
        link_address: cluster::address(number + 100).to_string(),
        system,
        ..message::PeerDatagram::default()
    }
}

fn draw_datagram(
    u: &mut Unstructured<'_>,
    sequence: u64,
) -> arbitrary::Result<(bool, message::PeerDatagram)> {
    // The last two VMs are of another system; one of them has the name of a VM of this system.
    let number = u.int_in_range(1..=SENDERS)?;
    let foreign = number > SENDERS - 2;
    let system = if foreign {
        OTHER_SYSTEM
    } else {
        cluster::SYSTEM
    };
    let mut datagram = introduction(number, sequence, system);
    if number == SENDERS {
        datagram.name = String::from("vm-1");
    }
    if u.ratio(2, 3)? {
        datagram.name.clear();
        datagram.system = 0;
    }
    datagram.catalog_version = u.int_in_range(0..=9)?;
    datagram.standing_hash = u.int_in_range(0..=3)?;
    let server = u.int_in_range(1..=9_u8)?;
    let leaves = u.arbitrary()?;
    let mut entry = cluster::entry("app", server, "a");
    entry.leaving = leaves;
    let update = cluster::update(&format!("i-{server}"), sequence, Some(entry));
    datagram.updates = vec![message::UpdateItem::from(&update)];
    datagram.known = vec![cluster::address(200 + number).to_string()];
    datagram.crashes = vec![message::CrashItem {
        server: u.int_in_range(1..=3)?,
        age_ms: u.int_in_range(0..=10)?,
        requests: vec![u.int_in_range(1..=3)?],
        ..message::CrashItem::default()
    }];
    datagram.refused = vec![u.arbitrary()?];
    Ok((foreign, datagram))
}

/// All that a VM knows of others and of servers, for comparison.
fn known_state(plane: &cluster::TestPlane) -> String {
    let now = clock::Instant::now();
    let mut state = plane.state();
    let peers: Vec<_> = state.peers.all().map(|peer| format!("{peer:?}")).collect();
    let servers: Vec<_> = state.fleet.servers().map(|(_, it)| it.update()).collect();
    let accused = state.crashes.introduction(now);
    let greeted = state.peers.greetings(now);
    format!("{peers:?} {servers:?} {accused:?} {greeted:?}")
}

async fn history(u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    // The oracle is a VM that receives datagrams of its own system only.
    let (plane, oracle) = (cluster::plane(), cluster::plane());
    for sequence in 1..u.int_in_range(2..=30)? {
        let (foreign, datagram) = draw_datagram(u, sequence)?;
        let answered = link::take_datagram(&plane, &datagram);
        if foreign {
            assert_eq!(answered, None, "a VM of another system gets no answer");
        } else {
            assert_eq!(answered, link::take_datagram(&oracle, &datagram));
        }
        assert_eq!(known_state(&plane), known_state(&oracle));
    }
    Ok(())
}

#[test]
fn datagrams_of_other_systems_change_nothing() {
    // Guards against calls that run at servers of another system, and against callers that are sent
    // to its VMs. VMs of another system send datagrams to this one, some under a name that is known
    // here, and any sender was taken for a peer.
    cluster::histories(HISTORIES, |u| {
        let mut end = Ok(());
        cluster::run(async { end = history(u).await });
        end
    });
}

/// A VM that does not know its system yet.
fn fresh_plane() -> cluster::TestPlane {
    let plane = cluster::plane();
    plane.state().system = system::SystemBelief::Unasked;
    plane
}

/// Identifies the plane's system in a task.
fn identify(
    plane: &cluster::TestPlane,
    store: rc::Rc<store::FakeStore>,
) -> tokio::task::JoinHandle<Result<(), system::JoinedOther>> {
    let plane = plane.clone();
    tokio::task::spawn_local(async move { system::identify(&plane, store).await })
}

#[test]
fn no_vm_is_believed_before_the_store_had_time_to_answer() {
    // Guards against a new VM that takes over the configuration of another system. It receives a
    // datagram from a VM of that system before its own store has answered, and joined the system of
    // the first sender.
    cluster::run(async {
        let plane = fresh_plane();
        let store = store::FakeStore::silent_for(time::Duration::from_millis(300));
        let identified = identify(&plane, store);
        clock::sleep(time::Duration::from_millis(100)).await;
        let answered = link::take_datagram(&plane, &introduction(2, 1, OTHER_SYSTEM));
        assert_eq!((answered, plane.state().peers.len()), (None, 0));
        assert_eq!(identified.await.expect("ends"), Ok(()));
        let own = system::SystemBelief::Known(cluster::system_id(cluster::SYSTEM));
        assert_eq!(plane.state().system, own);
        link::take_datagram(&plane, &introduction(2, 2, OTHER_SYSTEM));
        link::take_datagram(&plane, &introduction(3, 1, cluster::SYSTEM));
        assert_eq!(plane.state().peers.len(), 1);
    });
}

#[test]
fn a_vm_without_a_store_joins_the_first_sender_and_verifies_it_later() {
    // Guards against VMs that are replaced while the store is unavailable and serve nobody, or that
    // join another system and keep serving with its configuration. The store does not answer for
    // seconds, a VM of this or of another system sends a datagram, then the store is back. Either
    // no sender was believed, or the first one forever.
    cluster::run(async {
        for (first, other) in [
            (cluster::SYSTEM, OTHER_SYSTEM),
            (OTHER_SYSTEM, cluster::SYSTEM),
        ] {
            let plane = fresh_plane();
            let store = store::FakeStore::silent_for(time::Duration::from_secs(5));
            let identified = identify(&plane, store.clone());
            clock::sleep(time::Duration::from_secs(1)).await;
            assert_eq!(plane.state().system, system::SystemBelief::Unanswered);
            link::take_datagram(&plane, &introduction(2, 1, first));
            link::take_datagram(&plane, &introduction(3, 1, other));
            assert_eq!(plane.state().peers.len(), 1, "one system at a time");
            let joined = system::SystemBelief::Told(cluster::system_id(first));
            assert_eq!(plane.state().system, joined);
            let end = identified.await.expect("ends");
            assert_eq!(end.is_ok(), first == cluster::SYSTEM);
            assert!(store.asked.get() <= 15, "{} calls", store.asked.get());
        }
    });
}

#[test]
fn a_vm_without_a_system_is_answered_and_not_believed() {
    // Guards against a VM of another system that is a peer for as long as its own store is silent.
    // It has an address that this VM knows and sends before it knows its system; no system was
    // taken for the same one.
    cluster::run(async {
        let plane = cluster::plane();
        let answered = link::take_datagram(&plane, &introduction(2, 1, 0));
        assert_eq!(answered, Some(cluster::address(102)));
        assert_eq!(plane.state().peers.len(), 0);
        let fresh = fresh_plane();
        let answered = link::take_datagram(&fresh, &introduction(2, 1, 0));
        assert_eq!(
            answered, None,
            "two VMs without a system don't answer each other forever"
        );
    });
}

#[test]
fn state_of_another_system_is_rejected() {
    // Guards against a VM that puts another system's configuration in force. It requests the newer
    // configuration of a peer that has just stopped, and a VM of another system has its address by
    // then.
    cluster::run(async {
        let plane = cluster::plane();
        let there = cluster::plane();
        there.state().system = system::SystemBelief::Known(cluster::system_id(OTHER_SYSTEM));
        let decode = |_: &[u8]| Ok(cluster::catalog(9));
        let request = message::StateRequest::default();
        there.state().document = rc::Rc::new(bytes::Bytes::from_static(b"9").into());
        let mut reply = catchup::state_reply(&mut there.state(), &request);
        let base = plane.state().document.clone();
        catchup::take_state(&plane, &base, reply.clone(), decode);
        assert_eq!(plane.state().version(), 1);
        reply.system = cluster::SYSTEM;
        catchup::take_state(&plane, &base, reply, decode);
        assert_eq!(plane.state().version(), 9);
    });
}

//! VMs of other systems: what they say changes nothing here, and how a VM learns which system is its
//! own.

mod world;

use std::{rc, time};

use arbitrary::Unstructured;
use exchange::{catchup, link, message, system};
use tokio::time as clock;
use world::store;

/// Another system.
const OTHER: u64 = 42;
/// VMs that speak in a history.
const SPEAKERS: u8 = 6;
/// Histories that are played.
const HISTORIES: u64 = 400;

/// What VM `number` says of itself; only such datagrams name their system.
fn introduction(number: u8, sequence: u64, system: u64) -> message::PeerDatagram {
    message::PeerDatagram {
        sender: u64::from(number),
        name: format!("vm-{number}"),
        domain: String::from("a"),
        incarnation: 1,
        sequence,
        stage: message::VmStage::Serving.into(),
        entry_address: world::address(number).to_string(),
        link_address: world::address(number + 100).to_string(),
        system,
        ..message::PeerDatagram::default()
    }
}

fn draw_datagram(
    u: &mut Unstructured<'_>,
    sequence: u64,
) -> arbitrary::Result<(bool, message::PeerDatagram)> {
    // The last two are of another system; one of them has the name of a VM of this one.
    let number = u.int_in_range(1..=SPEAKERS)?;
    let foreign = number > SPEAKERS - 2;
    let system = if foreign { OTHER } else { world::SYSTEM };
    let mut told = introduction(number, sequence, system);
    if number == SPEAKERS {
        told.name = String::from("vm-1");
    }
    if u.ratio(2, 3)? {
        told.name.clear();
        told.system = 0;
    }
    told.catalog_version = u.int_in_range(0..=9)?;
    told.standing_hash = u.int_in_range(0..=3)?;
    let server = u.int_in_range(1..=9_u8)?;
    let leaves = u.arbitrary()?;
    let mut entry = world::entry("app", server, "a");
    entry.leaving = leaves;
    let news = world::news(&format!("i-{server}"), sequence, Some(entry));
    told.updates = vec![message::UpdateItem::from(&news)];
    told.known = vec![world::address(200 + number).to_string()];
    told.accusations = vec![message::AccusationItem {
        fingerprint: u.int_in_range(1..=3)?,
        server: u.int_in_range(1..=3)?,
    }];
    told.refused = vec![u.arbitrary()?];
    Ok((foreign, told))
}

/// All that a VM believes of others and of servers.
fn beliefs(plane: &world::TestPlane) -> String {
    let now = clock::Instant::now();
    let mut state = plane.state();
    let peers: Vec<_> = state.peers.all().map(|peer| format!("{peer:?}")).collect();
    let servers: Vec<_> = state.fleet.servers().map(|(_, it)| it.news()).collect();
    let mut accused: Vec<_> = state.suspects.accusations().collect();
    accused.sort_unstable();
    let greeted = state.peers.greetings(now);
    format!("{peers:?} {servers:?} {accused:?} {greeted:?}")
}

async fn history(u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    // The oracle is a VM that hears only its own system's.
    let (plane, oracle) = (world::plane(), world::plane());
    for sequence in 1..u.int_in_range(2..=30)? {
        let (foreign, told) = draw_datagram(u, sequence)?;
        let answered = link::take_datagram(&plane, &told);
        if foreign {
            assert_eq!(answered, None, "a stranger gets no answer");
        } else {
            assert_eq!(answered, link::take_datagram(&oracle, &told));
        }
        assert_eq!(beliefs(&plane), beliefs(&oracle));
    }
    Ok(())
}

#[test]
fn what_strangers_say_changes_nothing() {
    // Symptom: calls run at servers of another system, and its VMs are named to callers.
    // Sequence: VMs of another system speak to this one, some under a name that is known here.
    // Cause: whoever spoke was taken for a peer.
    world::histories(HISTORIES, |u| {
        let mut end = Ok(());
        world::run(async { end = history(u).await });
        end
    });
}

/// A VM that knows of no system yet.
fn fresh_plane() -> world::TestPlane {
    let plane = world::plane();
    plane.state().system = system::SystemBelief::Unasked;
    plane
}

/// The plane identifies itself beside the test.
fn identify(
    plane: &world::TestPlane,
    store: rc::Rc<store::FakeStore>,
) -> tokio::task::JoinHandle<Result<(), system::JoinedOther>> {
    let plane = plane.clone();
    tokio::task::spawn_local(async move { system::identify(&plane, store).await })
}

#[test]
fn while_the_store_may_still_answer_no_vm_is_believed() {
    // Symptom: a fresh VM takes over the configuration of another system.
    // Sequence: it is heard by a VM of that system before its own store has answered.
    // Cause: the first that spoke believed.
    world::run(async {
        let plane = fresh_plane();
        let store = store::FakeStore::silent_for(time::Duration::from_millis(300));
        let identified = identify(&plane, store);
        clock::sleep(time::Duration::from_millis(100)).await;
        let answered = link::take_datagram(&plane, &introduction(2, 1, OTHER));
        assert_eq!((answered, plane.state().peers.len()), (None, 0));
        assert_eq!(identified.await.expect("ends"), Ok(()));
        let own = system::SystemBelief::Known(world::system_id(world::SYSTEM));
        assert_eq!(plane.state().system, own);
        link::take_datagram(&plane, &introduction(2, 2, OTHER));
        link::take_datagram(&plane, &introduction(3, 1, world::SYSTEM));
        assert_eq!(plane.state().peers.len(), 1);
    });
}

#[test]
fn a_vm_whose_store_is_away_joins_the_first_it_hears_and_checks_it_later() {
    // Symptom: VMs that are replaced while the store is away serve nobody; or one that joined another
    // system goes on serving by its configuration.
    // Sequence: the store does not answer for seconds; a VM speaks, of this system or of another one;
    // the store is back.
    // Cause: nobody believed, or the first one for good.
    world::run(async {
        for (heard, other) in [(world::SYSTEM, OTHER), (OTHER, world::SYSTEM)] {
            let plane = fresh_plane();
            let store = store::FakeStore::silent_for(time::Duration::from_secs(5));
            let identified = identify(&plane, store.clone());
            clock::sleep(time::Duration::from_secs(1)).await;
            assert_eq!(plane.state().system, system::SystemBelief::Unanswered);
            link::take_datagram(&plane, &introduction(2, 1, heard));
            link::take_datagram(&plane, &introduction(3, 1, other));
            assert_eq!(plane.state().peers.len(), 1, "one system at a time");
            let told = system::SystemBelief::Told(world::system_id(heard));
            assert_eq!(plane.state().system, told);
            let end = identified.await.expect("ends");
            assert_eq!(end.is_ok(), heard == world::SYSTEM);
            assert!(store.asked.get() <= 15, "{} calls", store.asked.get());
        }
    });
}

#[test]
fn a_vm_that_does_not_know_its_system_is_told_and_not_believed() {
    // Symptom: a VM of another system is a peer for as long as its own store is silent.
    // Sequence: it was given an address that this VM knows, and speaks before it knows its system.
    // Cause: no system taken for the own one.
    world::run(async {
        let plane = world::plane();
        let answered = link::take_datagram(&plane, &introduction(2, 1, 0));
        assert_eq!(answered, Some(world::address(102)));
        assert_eq!(plane.state().peers.len(), 0);
        let fresh = fresh_plane();
        let answered = link::take_datagram(&fresh, &introduction(2, 1, 0));
        assert_eq!(
            answered, None,
            "two that know nothing don't answer each other for ever"
        );
    });
}

#[test]
fn a_state_of_another_system_is_not_taken() {
    // Symptom: a VM has another system's configuration in force.
    // Sequence: a peer is asked for its newer configuration just after it went; its address is
    // another system's by then.
    // Cause: the answer believed for its address.
    world::run(async {
        let plane = world::plane();
        let there = world::plane();
        there.state().system = system::SystemBelief::Known(world::system_id(OTHER));
        let decode = |_: &[u8]| Ok(world::catalog(9));
        let request = message::StateRequest::default();
        there.state().document = rc::Rc::new(bytes::Bytes::from_static(b"9").into());
        let mut reply = catchup::state_reply(&mut there.state(), &request);
        let base = plane.state().document.clone();
        catchup::take_state(&plane, &base, reply.clone(), decode);
        assert_eq!(plane.state().version(), 1);
        reply.system = world::SYSTEM;
        catchup::take_state(&plane, &base, reply, decode);
        assert_eq!(plane.state().version(), 9);
    });
}

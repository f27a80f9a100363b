//! What the store is asked for, and when: a storm of configurations, VMs that look for each other.

mod world;

use std::time;

use exchange::{follow, message};
use tokio::time::Instant;
use world::store;

/// Other VMs; six of all VMs read the store for all.
const OTHERS: u8 = 40;
/// Time between two changes.
const CHANGE_GAP: time::Duration = time::Duration::from_millis(165);

fn decode(bytes: &[u8]) -> Result<exchange::catalog::RouteCatalog, String> {
    let text = std::str::from_utf8(bytes).map_err(|error| error.to_string())?;
    let version = text.parse().map_err(|_| String::from("no number"))?;
    Ok(world::catalog(version))
}

/// What another VM tells while the newest version is in force there.
fn datagram(number: u8, sequence: u64, version: u64) -> message::PeerDatagram {
    message::PeerDatagram {
        sender: u64::from(number),
        name: format!("vm-other-{number}"),
        domain: String::from("a"),
        incarnation: 1,
        sequence,
        stage: message::VmStage::Serving.into(),
        entry_address: world::address(number).to_string(),
        link_address: world::address(number + 100).to_string(),
        catalog_version: version,
        system: world::SYSTEM,
        ..message::PeerDatagram::default()
    }
}

#[test]
fn in_a_storm_of_changes_a_vm_reads_few_of_them_and_is_never_far_behind() {
    // Load: a configuration each 165 ms for 4.6 s. Each of 68 VMs that do not read for all asked the
    // store for each version: 3,629 calls a day at 74 VMs.
    world::run(async {
        let plane = world::plane();
        let store = store::FakeStore::changing(CHANGE_GAP);
        let mut sequence = 0;
        let mut hear = |version| {
            sequence += 1;
            let now = Instant::now();
            for number in 1..=OTHERS {
                let told = datagram(number, sequence, version);
                plane.state().peers.take(&told, now);
            }
        };
        hear(store.version());
        assert!(!plane.state().reads_store(Instant::now()), "others read");
        let following = follow::follow_catalog(plane.clone(), store.clone(), decode);
        tokio::task::spawn_local(following);
        for _ in 0..28 {
            tokio::time::sleep(CHANGE_GAP).await;
            hear(store.version());
            let behind = store.version() - plane.state().version();
            assert!(behind <= 5, "{behind} versions behind");
        }
        let read = store.read.get();
        assert!((5..=12).contains(&read), "{read} readings of 28 versions");
    });
}

#[test]
fn vms_that_are_told_of_no_others_look_for_them_at_once() {
    // Symptom: for 2.4 s after all VMs lost power each believes that it is alone: it counts no stream
    // of the others, and reads the store for all.
    // Sequence: their settings name no other VM; all start within 0.4 s.
    // Cause: each waited to be found through addresses that nobody had.
    world::run(async {
        for (seeds, least, most) in [(vec![], 0, 300), (vec![world::address(202)], 2_500, 2_500)] {
            let plane = world::plane();
            plane.state().settings.seeds = seeds;
            let began = Instant::now();
            let store = store::FakeStore::changing(CHANGE_GAP);
            follow::discover_peers(plane, store.clone()).await;
            let after = store.registered_at.get().expect("registered") - began;
            let millis = after.as_millis();
            assert!((least..=most).contains(&millis), "{millis} ms");
        }
    });
}

//! Tests of the load on the store: rapid configuration changes, and discovery of other VMs.

mod cluster;

use std::time;

use cluster::store;
use exchange::{follow, message};
use tokio::time::{self as clock, Instant};

/// Number of other VMs; six of all VMs read the store on behalf of all.
const OTHERS: u8 = 40;
/// Interval between configuration changes.
const CHANGE_INTERVAL: time::Duration = time::Duration::from_millis(165);
/// Time after which a VM has registered and read the addresses of the others.
const DISCOVERED: time::Duration = time::Duration::from_secs(5);

fn decode(bytes: &[u8]) -> Result<exchange::catalog::RouteCatalog, String> {
    let text = std::str::from_utf8(bytes).map_err(|error| error.to_string())?;
    let version = text.parse().map_err(|_| String::from("no number"))?;
    Ok(cluster::catalog(version))
}

/// Datagram of another VM that has the newest version in force.
fn datagram(number: u8, sequence: u64, version: u64) -> message::PeerDatagram {
    message::PeerDatagram {
        sender: u64::from(number),
        name: format!("vm-other-{number}"),
        domain: String::from("a"),
        incarnation: 1,
        sequence,
        stage: message::VmStage::Serving.into(),
        entry_address: cluster::address(number).to_string(),
        link_address: cluster::address(number + 100).to_string(),
        catalog_version: version,
        system: cluster::SYSTEM,
        ..message::PeerDatagram::default()
    }
}

#[test]
fn rapid_changes_cause_few_reads_and_little_lag() {
    // A configuration change every 165 ms for 4.6 s. Guards against every VM reading every version
    // from the store although only a few VMs should read it on behalf of all.
    cluster::run(async {
        let plane = cluster::plane();
        let store = store::FakeStore::changing(CHANGE_INTERVAL);
        let mut sequence = 0;
        let mut receive = |version| {
            sequence += 1;
            let now = Instant::now();
            for number in 1..=OTHERS {
                let received = datagram(number, sequence, version);
                plane.state().peers.take(&received, now);
            }
        };
        receive(store.version());
        assert!(
            !plane.state().reads_store(Instant::now()),
            "other VMs read the store"
        );
        let following = follow::follow_catalog(plane.clone(), store.clone(), decode);
        tokio::task::spawn_local(following);
        for _ in 0..28 {
            tokio::time::sleep(CHANGE_INTERVAL).await;
            receive(store.version());
            let behind = store.version() - plane.state().version();
            assert!(behind <= 5, "{behind} versions behind");
        }
        let read = store.read.get();
        assert!((5..=12).contains(&read), "{read} reads of 28 versions");
    });
}

#[test]
fn vms_without_seeds_discover_others_at_once() {
    // Guards against VMs that ignore the streams of all others and all read the store for 2.4 s
    // after a common power loss: their settings name no other VM, all start within 0.4 s, and each
    // waits to be found at an address that nobody has.
    cluster::run(async {
        for (seeds, min, max) in [
            (vec![], 0, 300),
            (vec![cluster::address(202)], 2_500, 2_500),
        ] {
            let plane = cluster::plane();
            plane.state().settings.seeds = seeds;
            let started = Instant::now();
            let store = store::FakeStore::changing(CHANGE_INTERVAL);
            let discovery = follow::discover_peers(plane, store.clone());
            let _ = clock::timeout(DISCOVERED, discovery).await;
            let after = store.registered_at.get().expect("registered") - started;
            let millis = after.as_millis();
            assert!((min..=max).contains(&millis), "{millis} ms");
        }
    });
}

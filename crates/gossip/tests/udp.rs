//! Tests of the complete crate over loopback sockets.

use std::{net, time};

use base::id;
use gossip::{claim, handle, settings, update};
use rand::SeedableRng as _;
use wire::{identity, key};

fn keys() -> key::KeyHandle {
    let key = key::WireKey::new(1, &[7; 32]);
    key::KeyHandle::new(key::KeyRing::new(vec![key]).expect("one key"))
}

fn place(address: net::SocketAddr) -> claim::MemberPlace {
    claim::MemberPlace {
        address,
        failure_domain: "hall-a".to_owned(),
        region: "hcmc".to_owned(),
    }
}

/// Loopback addresses with ports that were free when probed.
fn free_addresses(count: usize) -> Vec<net::SocketAddr> {
    let sockets: Vec<net::UdpSocket> = (0..count)
        .map(|_| net::UdpSocket::bind("127.0.0.1:0").expect("a free port"))
        .collect();
    sockets
        .iter()
        .map(|socket| socket.local_addr().expect("bound"))
        .collect()
}

async fn start_all(addresses: &[net::SocketAddr]) -> Vec<handle::GossipHandle> {
    let seeds: Vec<settings::SeedEntry> = addresses
        .iter()
        .enumerate()
        .map(|(index, address)| settings::SeedEntry {
            name: format!("vm-{index}"),
            place: place(*address),
        })
        .collect();
    let mut handles = Vec::new();
    for (index, address) in addresses.iter().enumerate() {
        let mut rng = rand::rngs::StdRng::seed_from_u64(index as u64);
        let own = settings::OwnSettings {
            identity: identity::ProcessIdentity {
                name: format!("vm-{index}"),
                incarnation: id::Incarnation::draw(&mut rng),
            },
            started_at_ms: 1,
            place: place(*address),
        };
        let settings = settings::GossipSettings {
            own,
            bind: *address,
            seeds: seeds.clone(),
            timing: settings::TimingSettings::default(),
        };
        let seed = [u8::try_from(index).expect("few"); 32];
        handles.push(
            gossip::start(settings, keys(), seed)
                .await
                .expect("the port is free"),
        );
    }
    handles
}

async fn wait_until(
    handle: &handle::GossipHandle,
    is_met: impl Fn(&gossip::view::MemberSnapshot) -> bool,
) {
    let mut members = handle.members();
    let waited = members.wait_for(|snapshot| is_met(snapshot));
    let limit = time::Duration::from_secs(60);
    let waited = tokio::time::timeout(limit, waited).await;
    assert!(
        waited.is_ok_and(|outcome| outcome.is_ok()),
        "timed out waiting for the snapshot"
    );
}

#[tokio::test]
async fn members_join_leave_and_are_detected_as_dead() {
    // Guards against reporting a leaving or killed VM as serving: of three members one marks itself
    // as leaving and one stops without announcing its departure, which only the others can detect.
    let addresses = free_addresses(3);
    let mut handles = start_all(&addresses).await;
    for handle in &handles {
        wait_until(handle, |snapshot| snapshot.serving("hcmc").count() == 3).await;
    }
    handles[1].leave().await;
    for handle in &handles {
        wait_until(handle, |snapshot| snapshot.members["vm-1"].leaving).await;
    }
    handles[0]
        .publish(update::ItemUpdate::Configuration(
            update::ConfigurationUpdate {
                vm: "vm-0".to_owned(),
                revision: 3,
                offset: 9,
                chain_hash: base::fingerprint::ContentHash([7; 32]),
            },
        ))
        .await;
    wait_until(&handles[1], |snapshot| {
        snapshot.members["vm-0"]
            .configuration
            .as_ref()
            .is_some_and(|update| update.revision == 3)
    })
    .await;
    drop(handles.pop());
    wait_until(&handles[0], |snapshot| {
        snapshot.members["vm-2"].state == claim::MemberState::Dead
    })
    .await;
    handles[1].depart().await;
    wait_until(&handles[0], |snapshot| {
        snapshot.members["vm-1"].state == claim::MemberState::Left
    })
    .await;
}

//! Tests of individual failures, on virtual time.

use std::time;

use base::{fingerprint, id};
use gossip::{claim, digest, event, list, settings, update, watching};
use prost::Message as _;
use rand_chacha::rand_core::{Rng as _, SeedableRng as _};
use wire::{identity, proto::gossip as proto};

use crate::cluster::{EPOCH_MS, SimulatedCluster, TestCore};

fn seconds(seconds: u64) -> time::Duration {
    time::Duration::from_secs(seconds)
}

/// Starts `count` VMs in regions of two failure domains each and waits until all know each other.
fn joined_cluster(seed: u64, count: usize, regions: usize) -> SimulatedCluster {
    joined_cluster_with(seed, count, regions, settings::TimingSettings::default())
}

fn joined_cluster_with(
    seed: u64,
    count: usize,
    regions: usize,
    timing: settings::TimingSettings,
) -> SimulatedCluster {
    let places: Vec<(String, String)> = (0..count)
        .map(|index| {
            let region = format!("region-{}", index % regions);
            (region.clone(), format!("{region}-{}", index / regions % 2))
        })
        .collect();
    let mut cluster = SimulatedCluster::new(seed, &places, timing);
    (0..count).for_each(|index| cluster.start(index));
    cluster.advance(seconds(20));
    for index in 0..count {
        assert_eq!(
            present(&cluster, index).len(),
            count,
            "seed {seed}: VM {index} does not know all members"
        );
    }
    cluster.events.clear();
    cluster
}

fn core(cluster: &SimulatedCluster, index: usize) -> &TestCore {
    cluster.vms[index].core.as_ref().expect("the VM is running")
}

fn present(cluster: &SimulatedCluster, index: usize) -> Vec<String> {
    let members = core(cluster, index).members().iter();
    let present = members.filter(|(_, record)| record.state().is_present());
    present
        .map(|(_, record)| record.claim.name.clone())
        .collect()
}

fn quarantine(ttl: time::Duration) -> update::ItemUpdate {
    update::ItemUpdate::Quarantine(update::QuarantineUpdate {
        fingerprint: fingerprint::ContentHash::of(b"crashes engines"),
        lifted: false,
        ttl,
        reason: "two deaths".to_owned(),
    })
}

#[test]
fn items_survive_a_rolling_replacement_of_all_vms() {
    // Guards against losing a quarantine in a rolling release, after which the content crashes
    // engines again: VMs store nothing, so items survive only on their neighbours.
    let mut cluster = joined_cluster(1, 5, 1);
    cluster.act(0, |core, now| core.publish(now, &quarantine(seconds(3600))));
    cluster.act(1, TestCore::leave);
    let leaving = update::LeavingSubject::Server {
        name: "engine-1".to_owned(),
        incarnation: "a".to_owned(),
    };
    cluster.act(1, |core, now| {
        core.publish(now, &update::ItemUpdate::Leaving(leaving.clone()))
    });
    cluster.advance(seconds(1));
    for index in 0..5 {
        cluster.start(index);
        cluster.advance(seconds(3));
    }
    for index in 0..5 {
        let snapshot = core(&cluster, index).snapshot(cluster.now);
        assert!(snapshot.leaving.contains(&leaving));
        assert_eq!(
            snapshot.serving("region-0").count(),
            5,
            "a restarted VM is not leaving"
        );
        assert_eq!(core(&cluster, index).items().iter().count(), 3);
    }
}

#[test]
fn the_latest_quarantine_decision_wins() {
    // Guards against an older quarantine decision replacing a newer one: a quarantine is imposed,
    // lifted and imposed again on different VMs, and only the item versions tell the order.
    let mut cluster = joined_cluster(13, 5, 1);
    for round in 0..4 {
        let update::ItemUpdate::Quarantine(mut update) = quarantine(seconds(3600)) else {
            unreachable!()
        };
        update.lifted = round % 2 == 1;
        update.reason = format!("round {}", 9 - round);
        let index = round % 5;
        cluster.act(index, |core, now| {
            core.publish(now, &update::ItemUpdate::Quarantine(update.clone()))
        });
        cluster.advance(seconds(2));
        for index in 0..5 {
            let item = core(&cluster, index)
                .items()
                .iter()
                .next()
                .expect("published");
            let held = update::ItemUpdate::from_item(item, cluster.now);
            assert!(
                matches!(held, Some(update::ItemUpdate::Quarantine(held)) if held.reason == update.reason)
            );
        }
    }
}

#[test]
fn an_unbound_hello_is_answered_and_its_content_ignored() {
    // Guards against replay: an unbound datagram is valid on any VM at any time, so a restarted VM
    // must not apply the claims and items in it.
    let mut cluster = joined_cluster(14, 2, 1);
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
    let sender = identity::ProcessIdentity {
        name: "stranger".to_owned(),
        incarnation: id::Incarnation(9),
    };
    let address = cluster.vms[1].place.address;
    let mut send = |bound, kind| {
        let mut message = random_message(&mut rng, "stranger");
        message.claims = vec![claim_of(&sender, address).to_wire()];
        message.kind = Some(kind);
        let core = cluster.vms[0].core.as_mut().expect("the VM is running");
        let actions = core.on_datagram(
            cluster.now,
            address,
            &sender,
            bound,
            &message.encode_to_vec(),
        );
        let sent = actions
            .iter()
            .filter(|action| matches!(action, event::CoreAction::Send(_)));
        (sent.count(), core.members().named("stranger").is_some())
    };
    use proto::message::Kind;
    assert_eq!(send(false, Kind::Push(proto::Push::default())), (0, false));
    assert_eq!(
        send(false, Kind::HelloAnswer(proto::HelloAnswer {})),
        (0, false)
    );
    assert_eq!(send(false, Kind::Hello(proto::Hello {})), (1, false));
    assert_eq!(send(true, Kind::Push(proto::Push::default())), (0, true));
}

#[test]
fn an_unknown_sender_is_sent_a_hello() {
    // Guards against a member that is received from but never becomes known: after a restart, or
    // after removing the member, a VM is probed by it, and a probe carries only its identity.
    let mut cluster = joined_cluster(15, 2, 1);
    let sender = identity::ProcessIdentity {
        name: "stranger".to_owned(),
        incarnation: id::Incarnation(9),
    };
    let ping = proto::Message {
        kind: Some(proto::message::Kind::Ping(proto::Ping { number: 1 })),
        ..proto::Message::default()
    };
    let (now, address) = (cluster.now, cluster.vms[1].place.address);
    let core = cluster.vms[0].core.as_mut().expect("the VM is running");
    let actions = core.on_datagram(now, address, &sender, true, &ping.encode_to_vec());
    assert_eq!(actions.len(), 2, "expected an Ack and a Hello: {actions:?}");
}

fn claim_of(
    member: &identity::ProcessIdentity,
    address: std::net::SocketAddr,
) -> claim::MemberClaim {
    claim::MemberClaim {
        name: member.name.clone(),
        version: claim::ClaimVersion {
            incarnation: claim::MemberIncarnation {
                started_at_ms: EPOCH_MS,
                id: member.incarnation,
            },
            refutation: 0,
            state: claim::MemberState::Alive,
        },
        place: claim::MemberPlace {
            address,
            failure_domain: "region-0-0".to_owned(),
            region: "region-0".to_owned(),
        },
    }
}

#[test]
fn expired_items_are_removed_on_all_members() {
    // Guards against items that never expire: VMs remove an item at slightly different times, and
    // anti-entropy could send it back to those that have already removed it.
    let mut cluster = joined_cluster(2, 6, 1);
    cluster.faults.loss = 30;
    cluster.faults.delay_ms = 800;
    cluster.act(0, |core, now| core.publish(now, &quarantine(seconds(30))));
    cluster.advance(seconds(45));
    (0..6).for_each(|index| assert_eq!(core(&cluster, index).items().iter().count(), 0));
}

#[test]
fn a_paused_vm_suspects_no_other_member() {
    // Guards against a VM declaring its neighbours dead after it was itself paused for a minute in
    // the middle of a probe and received nothing meanwhile.
    for phase_ms in (0..2000).step_by(100) {
        let mut cluster = joined_cluster(3, 6, 1);
        // Long delays, so that an acknowledgement is often in datagram when the pause begins.
        cluster.faults.delay_ms = 150;
        cluster.advance(time::Duration::from_millis(phase_ms));
        cluster.vms[2].paused = true;
        cluster.advance(seconds(60));
        assert_eq!(present(&cluster, 0).len(), 5);
        cluster.events.clear();
        cluster.resume(2);
        cluster.advance(seconds(10));
        let paused = &cluster.vms[2].name;
        let bad = cluster.events.iter().find(|(_, _, event)| {
            matches!(event, event::GossipEvent::Member(claim)
                if claim.name != *paused && claim.version.state != claim::MemberState::Alive)
        });
        assert!(
            bad.is_none(),
            "paused after {phase_ms} ms, a member was suspected: {bad:?}"
        );
        (0..6).for_each(|index| assert_eq!(present(&cluster, index).len(), 6));
    }
}

#[test]
fn a_vm_declared_dead_learns_of_it_from_its_first_probe() {
    // Guards against a resumed VM that stays dead to the others although it serves: they declared
    // it dead during its pause and send nothing to dead members, so it learns of this only from the
    // answers to its own probes.
    let timing = settings::TimingSettings {
        sync_interval: seconds(600),
        reconnect_interval: seconds(600),
        ..settings::TimingSettings::default()
    };
    let mut cluster = joined_cluster_with(11, 6, 1, timing);
    cluster.vms[2].paused = true;
    cluster.advance(seconds(60));
    // More datagrams arrived than its socket buffer holds.
    cluster.vms[2].backlog.clear();
    cluster.resume(2);
    cluster.advance(seconds(4));
    (0..6).for_each(|index| assert_eq!(present(&cluster, index).len(), 6));
}

#[test]
fn a_clock_set_back_only_delays_the_rejoin() {
    // Guards against a restarted VM that is never seen again: its clock is set back by an hour, so
    // its earlier incarnation counts as newer, since incarnations are ordered by start time.
    let mut cluster = joined_cluster(4, 4, 1);
    cluster.vms[1].skew_ms = -3_600_000;
    cluster.start(1);
    cluster.advance(seconds(15));
    let incarnation = cluster.vms[1].identity.incarnation;
    for index in 0..4 {
        let record = core(&cluster, index)
            .members()
            .named(&cluster.vms[1].name)
            .expect("known");
        assert_eq!(record.claim.version.incarnation.id, incarnation);
        assert_eq!(record.state(), claim::MemberState::Alive);
    }
}

#[test]
fn a_name_conflict_is_reported_and_causes_little_traffic() {
    // Guards against excessive traffic when two processes run under one name at two addresses: the
    // one that loses is an unknown sender to the others with each datagram.
    let mut cluster = joined_cluster(16, 5, 1);
    cluster.kill(4);
    cluster.vms[4].name = cluster.vms[3].name.clone();
    cluster.vms[4].identity.name = cluster.vms[3].name.clone();
    cluster.start(4);
    cluster.advance(seconds(30));
    let before: u64 = cluster.sent.iter().map(|sent| sent.1).sum();
    cluster.advance(seconds(60));
    let after: u64 = cluster.sent.iter().map(|sent| sent.1).sum();
    let bytes_per_second = (after - before) / 60 / 5;
    assert!(bytes_per_second < 1000, "{bytes_per_second} B/s per VM");
    let conflicts = cluster.events.iter().filter(|(_, index, event)| {
        *index == 3 && matches!(event, event::GossipEvent::NameConflict(_))
    });
    assert_eq!(conflicts.count(), 1, "the earlier process is notified once");
}

#[test]
fn a_region_is_reported_lost_and_reachable_again() {
    // Guards against members of an unreachable region that appear healthy: they are probed only in
    // their own region, so their last claims stand while two regions are partitioned for two
    // minutes.
    let mut cluster = joined_cluster(5, 8, 2);
    for index in (1..8).step_by(2) {
        cluster.vms[index].partition = 1;
    }
    cluster.advance(seconds(20));
    for index in 0..8 {
        let snapshot = core(&cluster, index).snapshot(cluster.now);
        assert_eq!(snapshot.lost_regions.len(), 1);
        assert_eq!(
            present(&cluster, index).len(),
            8,
            "a lost link must not make members dead"
        );
    }
    cluster.act(0, |core, now| core.publish(now, &quarantine(seconds(3600))));
    cluster.advance(seconds(100));
    (0..8).for_each(|index| cluster.vms[index].partition = 0);
    cluster.advance(seconds(10));
    for index in 0..8 {
        let snapshot = core(&cluster, index).snapshot(cluster.now);
        assert!(snapshot.lost_regions.is_empty());
        assert_eq!(
            core(&cluster, index)
                .items()
                .iter()
                .filter(|item| { item.key.kind == gossip::item::ItemKind::Quarantine })
                .count(),
            1
        );
    }
}

#[test]
fn a_suspicion_from_another_region_does_not_expire() {
    // Guards against a healthy VM that is dead in another region while the link is down: a
    // suspicion crosses the link, the link fails, and the refutation cannot cross any more.
    let mut cluster = joined_cluster(12, 8, 2);
    let (victim, name) = (2, cluster.vms[2].name.clone());
    let state = |cluster: &SimulatedCluster| {
        core(cluster, 1)
            .members()
            .named(&name)
            .map(|record| record.state())
    };
    cluster.vms[victim].paused = true;
    while state(&cluster) == Some(claim::MemberState::Alive) {
        cluster.advance(time::Duration::from_millis(50));
    }
    (1..8)
        .step_by(2)
        .for_each(|index| cluster.vms[index].partition = 1);
    cluster.resume(victim);
    cluster.advance(seconds(20));
    assert_eq!(state(&cluster), Some(claim::MemberState::Suspect));
    (0..8).for_each(|index| cluster.vms[index].partition = 0);
    cluster.advance(seconds(10));
    assert_eq!(state(&cluster), Some(claim::MemberState::Alive));
}

#[test]
fn only_representatives_send_across_regions() {
    let mut cluster = joined_cluster(6, 24, 2);
    cluster.cross_region_senders.clear();
    cluster.advance(seconds(60));
    assert!(
        cluster.cross_region_senders.len() <= 4,
        "more senders than one per failure domain in two regions: {:?}",
        cluster.cross_region_senders
    );
}

#[test]
fn an_outdated_vm_list_does_not_mark_a_new_incarnation() {
    // Guards against a replaced VM that gets no work: the platform's list lags and still reports
    // the earlier incarnation under the same name as leaving.
    let mut cluster = joined_cluster(7, 3, 1);
    let name = cluster.vms[1].name.clone();
    let wall_ms = |cluster: &SimulatedCluster| EPOCH_MS + cluster.now.as_millis() as u64;
    let report = |as_of_ms| list::VmListReport {
        as_of_ms,
        leaving: [name.clone()].into(),
        ..list::VmListReport::default()
    };
    let old = wall_ms(&cluster);
    cluster.start(1);
    cluster.advance(seconds(20));
    cluster.act(0, |core, now| core.set_vm_list(now, report(old)));
    cluster.advance(seconds(2));
    assert!(!core(&cluster, 2).snapshot(cluster.now).members[&name].leaving);
    let new = wall_ms(&cluster);
    cluster.act(0, |core, now| core.set_vm_list(now, report(new)));
    cluster.advance(seconds(2));
    assert!(core(&cluster, 2).snapshot(cluster.now).members[&name].leaving);
}

#[test]
fn watch_plans_are_balanced_and_stable() {
    let vms: Vec<String> = (0..137).map(|number| format!("vm-{number}")).collect();
    let servers: Vec<String> = (0..200).map(|number| format!("engine-{number}")).collect();
    let vms: Vec<&str> = vms.iter().map(String::as_str).collect();
    let servers: Vec<&str> = servers.iter().map(String::as_str).collect();
    let plan = watching::WatchPlan::new(&vms, &servers, watching::WatchRules::default());
    let fewer = watching::WatchPlan::new(&vms[1..], &servers, watching::WatchRules::default());
    for server in &servers {
        assert_eq!(plan.users(server).len(), 22);
        assert_eq!(plan.watchers(server).len(), 2);
        let watched = plan.watchers(server).iter().any(|vm| vm == vms[0]);
        assert!(
            watched || plan.watchers(server) == fewer.watchers(server),
            "{server}"
        );
    }
    let used = vms.iter().map(|vm| plan.candidates(vm).len());
    assert!(used.clone().min() >= Some(12), "{:?}", used.min());
}

#[test]
fn a_standby_watcher_takes_over() {
    // Guards against outdated engine loads when the first watcher is paused: the standby watcher
    // reads the engine, but normally only the first watcher sends.
    let mut cluster = joined_cluster(8, 5, 1);
    let servers = || ["engine-1".to_owned()];
    (0..5).for_each(|index| {
        cluster.act(index, |core, _| {
            core.set_servers(servers());
            Vec::new()
        });
    });
    cluster.advance(seconds(1));
    let plan = core(&cluster, 0).watch_plan();
    let index_of = |cluster: &SimulatedCluster, name: &String| {
        cluster
            .vms
            .iter()
            .position(|vm| vm.name == *name)
            .expect("a member")
    };
    let watchers: Vec<usize> = plan
        .watchers("engine-1")
        .iter()
        .map(|name| index_of(&cluster, name))
        .collect();
    let rounds = |cluster: &mut SimulatedCluster, range: std::ops::Range<u32>| {
        cluster.events.clear();
        for free_blocks in range {
            for watcher in &watchers {
                let load = digest::EngineLoad {
                    free_blocks,
                    ..digest::EngineLoad::default()
                };
                if !cluster.vms[*watcher].paused {
                    cluster.act(*watcher, |core, now| {
                        core.publish_load(now, "engine-1", load);
                        Vec::new()
                    });
                }
            }
            cluster.advance(seconds(1));
        }
        let loads = cluster
            .events
            .iter()
            .filter(|(_, _, event)| matches!(event, event::GossipEvent::Load(_)));
        loads.count()
    };
    // At first both watchers send, since neither has received from the other.
    rounds(&mut cluster, 0..2);
    assert_eq!(
        rounds(&mut cluster, 2..12),
        40,
        "one load per second to each other VM, from the first watcher only"
    );
    cluster.vms[watchers[0]].paused = true;
    let received = rounds(&mut cluster, 12..22);
    assert!((18..=30).contains(&received), "{received} loads received");
}

#[test]
fn digests_respect_the_bandwidth_limit() {
    let mut cluster = joined_cluster(9, 40, 1);
    let receivers: Vec<String> = cluster.vms.iter().map(|vm| vm.name.clone()).collect();
    let before = cluster.sent[0].1;
    for round in 0..20 {
        for number in 0..10 {
            let demand = digest::OrganisationDemand {
                requests: round,
                ..Default::default()
            };
            let organisation = format!("organisation-{number}");
            cluster.act(0, |core, now| {
                core.publish_demand(now, &organisation, demand, &receivers);
                Vec::new()
            });
        }
        cluster.advance(seconds(1));
    }
    let bytes_per_second = (cluster.sent[0].1 - before) / 20;
    // Probes and acknowledgements are not part of the digest limit.
    let bound = u64::from(cluster.timing.digest_bytes_per_second);
    let allowed = bound * 9 / 10..bound + 1500;
    assert!(
        allowed.contains(&bytes_per_second),
        "{bytes_per_second} B/s"
    );
    let demands = cluster
        .events
        .iter()
        .filter_map(|(_, index, event)| match event {
            event::GossipEvent::Demand(update) => Some((*index, update.demand.requests)),
            _ => None,
        });
    let newest = demands.fold(vec![0; 40], |mut newest, (index, requests)| {
        newest[index] = requests.max(newest[index]);
        newest
    });
    // 39 receivers of about 340 bytes each are served once in 4.4 s; none waits for two cycles.
    assert!(
        newest[1..].iter().all(|requests| *requests >= 13),
        "{newest:?}"
    );
}

#[test]
fn invalid_messages_cause_no_panic_and_no_unbounded_growth() {
    // Guards against one process crashing all others: a process with a valid key, faulty or of
    // another release, may send invalid messages.
    let mut cluster = joined_cluster(10, 3, 1);
    let sender = identity::ProcessIdentity {
        name: "stranger".to_owned(),
        incarnation: id::Incarnation(9),
    };
    let address = cluster.vms[1].place.address;
    for seed in 0..20_000 {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let mut payload = random_message(&mut rng, &cluster.vms[0].name).encode_to_vec();
        if seed % 2 == 0 && !payload.is_empty() {
            let position = rng.next_u32() as usize % payload.len();
            payload[position] = rng.next_u32().to_le_bytes()[0];
        }
        let bound = seed % 5 != 0;
        let core = cluster.vms[0].core.as_mut().expect("the VM is running");
        let actions = core.on_datagram(cluster.now, address, &sender, bound, &payload);
        assert!(
            actions.len() <= 30,
            "seed {seed}: {} actions",
            actions.len()
        );
        if seed % 100 == 0 {
            core.on_tick(cluster.now);
            core.leave(cluster.now);
            core.publish(cluster.now, &quarantine(seconds(60 + seed)));
        }
    }
    assert!(core(&cluster, 0).members().iter().count() <= 4096);
    cluster.advance(seconds(10));
}

fn random_message(rng: &mut rand_chacha::ChaCha8Rng, own: &str) -> proto::Message {
    let edge_value = |rng: &mut rand_chacha::ChaCha8Rng| match rng.next_u32() % 4 {
        0 => 0,
        1 => u64::MAX,
        2 => 1,
        _ => rng.next_u64(),
    };
    let names = [own, "", "stranger", "x\ny", &"n".repeat(90)];
    let name = names[rng.next_u32() as usize % 5].to_owned();
    proto::Message {
        kind: random_kind(rng, &name),
        claims: vec![proto::MemberClaim {
            name: name.clone(),
            birth_ms: edge_value(rng),
            incarnation: vec![7; 15 + rng.next_u32() as usize % 3],
            refutation: edge_value(rng) as u32,
            state: (edge_value(rng) % 6) as i32,
            address: ["10.0.0.1:7000", "nowhere", "10.0.9.9:1"][rng.next_u32() as usize % 3]
                .to_owned(),
            failure_domain: "region-0-0".to_owned(),
            region: ["region-0", "", "region-9"][rng.next_u32() as usize % 3].to_owned(),
        }],
        items: vec![proto::Item {
            kind: rng.next_u32() % 6,
            subject: name,
            version: edge_value(rng),
            body: vec![8; rng.next_u32() as usize % 300],
            expires_in_ms: edge_value(rng) as u32,
        }],
        in_force: vec![proto::InForce {
            offset: edge_value(rng),
            digest: 1,
            holders: vec![edge_value(rng); rng.next_u32() as usize % 4],
        }],
        digests: vec![proto::Digest {
            kind: rng.next_u32() % 4,
            subject: edge_value(rng),
            age_ms: edge_value(rng) as u32,
            body: vec![8; rng.next_u32() as usize % 9],
        }],
    }
}

fn random_kind(rng: &mut rand_chacha::ChaCha8Rng, name: &str) -> Option<proto::message::Kind> {
    use proto::message::Kind;
    let kinds = [
        Kind::Ping(proto::Ping { number: 1 }),
        Kind::Ack(proto::Ack {
            number: rng.next_u32() % 20,
        }),
        Kind::PingRequest(proto::PingRequest {
            number: 1,
            target: name.to_owned(),
        }),
        Kind::Hello(proto::Hello {}),
        Kind::HelloAnswer(proto::HelloAnswer {}),
        Kind::SyncSummary(proto::SyncSummary {
            buckets: vec![rng.next_u32(); 60 + rng.next_u32() as usize % 6],
            answer_wanted: true,
        }),
        Kind::Push(proto::Push {
            sync: true,
            more: true,
        }),
    ];
    kinds.get(rng.next_u32() as usize % 8).cloned()
}

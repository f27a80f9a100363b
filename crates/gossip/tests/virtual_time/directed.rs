//! Failures one by one, on virtual time.

use std::time;

use base::{fingerprint, id};
use gossip::{claim, digest, event, list, settings, update, watching};
use prost::Message as _;
use rand_chacha::rand_core::{Rng as _, SeedableRng as _};
use wire::{identity, proto::gossip as proto};

use crate::fabric::{EPOCH_MS, Fabric, TestCore};

fn seconds(seconds: u64) -> time::Duration {
    time::Duration::from_secs(seconds)
}

/// `count` VMs in regions of two failure domains each, all started and known to each other.
fn joined(seed: u64, count: usize, regions: usize) -> Fabric {
    joined_with(seed, count, regions, settings::TimingSettings::default())
}

fn joined_with(
    seed: u64,
    count: usize,
    regions: usize,
    timing: settings::TimingSettings,
) -> Fabric {
    let places: Vec<(String, String)> = (0..count)
        .map(|index| {
            let region = format!("region-{}", index % regions);
            (region.clone(), format!("{region}-{}", index / regions % 2))
        })
        .collect();
    let mut fabric = Fabric::new(seed, &places, timing);
    (0..count).for_each(|index| fabric.start(index));
    fabric.advance(seconds(20));
    for index in 0..count {
        assert_eq!(
            present(&fabric, index).len(),
            count,
            "seed {seed}: all have met"
        );
    }
    fabric.told.clear();
    fabric
}

fn core(fabric: &Fabric, index: usize) -> &TestCore {
    fabric.vms[index].core.as_ref().expect("it runs")
}

fn present(fabric: &Fabric, index: usize) -> Vec<String> {
    let members = core(fabric, index).members().iter();
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
fn news_outlives_everyone_who_first_had_it() {
    // Symptom: a quarantined request crashes engines again after a release.
    // Sequence: it is quarantined; all VMs are replaced one after another.
    // Cause: VMs keep nothing; only their neighbours remember.
    let mut fabric = joined(1, 5, 1);
    fabric.act(0, |core, now| core.publish(now, &quarantine(seconds(3600))));
    fabric.act(1, TestCore::leave);
    let leaving = update::LeavingSubject::Server {
        name: "engine-1".to_owned(),
        incarnation: "a".to_owned(),
    };
    fabric.act(1, |core, now| {
        core.publish(now, &update::ItemUpdate::Leaving(leaving.clone()))
    });
    fabric.advance(seconds(1));
    for index in 0..5 {
        fabric.start(index);
        fabric.advance(seconds(3));
    }
    for index in 0..5 {
        let snapshot = core(&fabric, index).snapshot(fabric.now);
        assert!(snapshot.leaving.contains(&leaving));
        assert_eq!(
            snapshot.serving("region-0").count(),
            5,
            "a successor is not leaving"
        );
        assert_eq!(core(&fabric, index).items().iter().count(), 3);
    }
}

#[test]
fn the_last_word_on_a_quarantine_holds() {
    // Symptom: an operator lifts a quarantine and it comes back, or the other way round.
    // Sequence: it is imposed, lifted and imposed again, each time on another VM.
    // Cause: the words differ only in their versions.
    let mut fabric = joined(13, 5, 1);
    for round in 0..4 {
        let update::ItemUpdate::Quarantine(mut update) = quarantine(seconds(3600)) else {
            unreachable!()
        };
        update.lifted = round % 2 == 1;
        update.reason = format!("round {}", 9 - round);
        let index = round % 5;
        fabric.act(index, |core, now| {
            core.publish(now, &update::ItemUpdate::Quarantine(update.clone()))
        });
        fabric.advance(seconds(2));
        for index in 0..5 {
            let item = core(&fabric, index)
                .items()
                .iter()
                .next()
                .expect("published");
            let held = update::ItemUpdate::from_item(item, fabric.now);
            assert!(
                matches!(held, Some(update::ItemUpdate::Quarantine(held)) if held.reason == update.reason)
            );
        }
    }
}

#[test]
fn a_greeting_is_answered_and_not_believed() {
    // Symptom: a VM that was just restarted believes what somebody recorded long ago.
    // Sequence: a datagram that names no receiver's life arrives, with a claim and an item in it.
    // Cause: such a datagram is valid anywhere, at any time.
    let mut fabric = joined(14, 2, 1);
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
    let sender = identity::ProcessIdentity {
        name: "stranger".to_owned(),
        incarnation: id::Incarnation(9),
    };
    let address = fabric.vms[1].place.address;
    let mut send = |bound, kind| {
        let mut message = odd_message(&mut rng, "stranger");
        message.claims = vec![claim_of(&sender, address).to_wire()];
        message.kind = Some(kind);
        let core = fabric.vms[0].core.as_mut().expect("it runs");
        let actions = core.on_datagram(
            fabric.now,
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
fn a_stranger_is_greeted() {
    // Symptom: a VM hears another but never names it to a caller.
    // Sequence: it forgot the other, or was restarted; the other goes on probing it.
    // Cause: a probe does not say who the sender is beyond its name.
    let mut fabric = joined(15, 2, 1);
    let sender = identity::ProcessIdentity {
        name: "stranger".to_owned(),
        incarnation: id::Incarnation(9),
    };
    let ping = proto::Message {
        kind: Some(proto::message::Kind::Ping(proto::Ping { number: 1 })),
        ..proto::Message::default()
    };
    let (now, address) = (fabric.now, fabric.vms[1].place.address);
    let core = fabric.vms[0].core.as_mut().expect("it runs");
    let actions = core.on_datagram(now, address, &sender, true, &ping.encode_to_vec());
    assert_eq!(actions.len(), 2, "an answer and a greeting: {actions:?}");
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
fn what_expires_is_forgotten_everywhere() {
    // Symptom: a quarantine never ends.
    // Sequence: it expires at slightly different times on different VMs, which compare notes.
    // Cause: those that still have it hand it back to those that have dropped it.
    let mut fabric = joined(2, 6, 1);
    fabric.faults.loss = 30;
    fabric.faults.delay_ms = 800;
    fabric.act(0, |core, now| core.publish(now, &quarantine(seconds(30))));
    fabric.advance(seconds(45));
    (0..6).for_each(|index| assert_eq!(core(&fabric, index).items().iter().count(), 0));
}

#[test]
fn a_pause_kills_nobody_else() {
    // Symptom: after one VM was paused, it and its neighbours take each other for dead.
    // Sequence: it is paused in the middle of a probe for a minute and goes on.
    // Cause: it heard nobody for a minute, but that was its own doing.
    for phase_ms in (0..2000).step_by(100) {
        let mut fabric = joined(3, 6, 1);
        // So slow that an answer is often on its way.
        fabric.faults.delay_ms = 150;
        fabric.advance(time::Duration::from_millis(phase_ms));
        fabric.vms[2].paused = true;
        fabric.advance(seconds(60));
        assert_eq!(present(&fabric, 0).len(), 5);
        fabric.told.clear();
        fabric.resume(2);
        fabric.advance(seconds(10));
        let paused = &fabric.vms[2].name;
        let bad = fabric.told.iter().find(|(_, _, event)| {
            matches!(event, event::GossipEvent::Member(claim)
                if claim.name != *paused && claim.version.state != claim::MemberState::Alive)
        });
        assert!(bad.is_none(), "after {phase_ms} ms: {bad:?}");
        (0..6).for_each(|index| assert_eq!(present(&fabric, index).len(), 6));
    }
}

#[test]
fn the_dead_hear_of_it_from_the_first_they_ask() {
    // Symptom: a VM that was paused serves, but is named to no caller for long.
    // Sequence: the others found it dead; it goes on and hears nothing of that.
    // Cause: nobody sends to the dead, so the word about it does not reach it.
    let timing = settings::TimingSettings {
        sync_interval: seconds(600),
        reconnect_interval: seconds(600),
        ..settings::TimingSettings::default()
    };
    let mut fabric = joined_with(11, 6, 1, timing);
    fabric.vms[2].paused = true;
    fabric.advance(seconds(60));
    // More arrived than its socket holds.
    fabric.vms[2].backlog.clear();
    fabric.resume(2);
    fabric.advance(seconds(4));
    (0..6).for_each(|index| assert_eq!(present(&fabric, index).len(), 6));
}

#[test]
fn a_clock_set_back_only_delays() {
    // Symptom: a restarted VM stays invisible for good.
    // Sequence: it restarts, and its clock is an hour behind; its earlier life counts as newer.
    // Cause: lives are ordered by their beginning.
    let mut fabric = joined(4, 4, 1);
    fabric.vms[1].skew_ms = -3_600_000;
    fabric.start(1);
    fabric.advance(seconds(15));
    let life = fabric.vms[1].identity.incarnation;
    for index in 0..4 {
        let record = core(&fabric, index)
            .members()
            .named(&fabric.vms[1].name)
            .expect("known");
        assert_eq!(record.claim.version.incarnation.id, life);
        assert_eq!(record.state(), claim::MemberState::Alive);
    }
}

#[test]
fn two_processes_of_one_name_cost_little_and_are_told() {
    // Symptom: the network between entry VMs fills up.
    // Sequence: two processes run under one name, at two addresses.
    // Cause: the one that the others do not see is a stranger to them with each datagram.
    let mut fabric = joined(16, 5, 1);
    fabric.kill(4);
    fabric.vms[4].name = fabric.vms[3].name.clone();
    fabric.vms[4].identity.name = fabric.vms[3].name.clone();
    fabric.start(4);
    fabric.advance(seconds(30));
    let before: u64 = fabric.sent.iter().map(|sent| sent.1).sum();
    fabric.advance(seconds(60));
    let after: u64 = fabric.sent.iter().map(|sent| sent.1).sum();
    let bytes_per_second = (after - before) / 60 / 5;
    assert!(bytes_per_second < 1000, "{bytes_per_second}");
    let conflicts = fabric.told.iter().filter(|(_, index, event)| {
        *index == 3 && matches!(event, event::GossipEvent::NameConflict(_))
    });
    assert_eq!(conflicts.count(), 1, "the earlier one is told once");
}

#[test]
fn a_lost_region_is_told_and_found_again() {
    // Symptom: members of a region that cannot be reached look healthy.
    // Sequence: two regions lose each other for two minutes.
    // Cause: nobody here probes them; their last word stands.
    let mut fabric = joined(5, 8, 2);
    for index in (1..8).step_by(2) {
        fabric.vms[index].side = 1;
    }
    fabric.advance(seconds(20));
    for index in 0..8 {
        let snapshot = core(&fabric, index).snapshot(fabric.now);
        assert_eq!(snapshot.lost_regions.len(), 1);
        assert_eq!(
            present(&fabric, index).len(),
            8,
            "nobody is killed by a lost link"
        );
    }
    fabric.act(0, |core, now| core.publish(now, &quarantine(seconds(3600))));
    fabric.advance(seconds(100));
    (0..8).for_each(|index| fabric.vms[index].side = 0);
    fabric.advance(seconds(10));
    for index in 0..8 {
        let snapshot = core(&fabric, index).snapshot(fabric.now);
        assert!(snapshot.lost_regions.is_empty());
        assert_eq!(
            core(&fabric, index)
                .items()
                .iter()
                .filter(|item| { item.key.kind == gossip::item::ItemKind::Quarantine })
                .count(),
            1
        );
    }
}

#[test]
fn a_suspicion_that_crossed_last_kills_nobody() {
    // Symptom: a healthy VM is dead in another region for as long as the link is down.
    // Sequence: it is suspected, the suspicion crosses, the link fails, it refutes.
    // Cause: the refutation cannot cross any more.
    let mut fabric = joined(12, 8, 2);
    let (victim, name) = (2, fabric.vms[2].name.clone());
    let state = |fabric: &Fabric| {
        core(fabric, 1)
            .members()
            .named(&name)
            .map(|record| record.state())
    };
    fabric.vms[victim].paused = true;
    while state(&fabric) == Some(claim::MemberState::Alive) {
        fabric.advance(time::Duration::from_millis(50));
    }
    (1..8)
        .step_by(2)
        .for_each(|index| fabric.vms[index].side = 1);
    fabric.resume(victim);
    fabric.advance(seconds(20));
    assert_eq!(state(&fabric), Some(claim::MemberState::Suspect));
    (0..8).for_each(|index| fabric.vms[index].side = 0);
    fabric.advance(seconds(10));
    assert_eq!(state(&fabric), Some(claim::MemberState::Alive));
}

#[test]
fn few_cross_between_regions() {
    let mut fabric = joined(6, 24, 2);
    fabric.crossing.clear();
    fabric.advance(seconds(60));
    assert!(
        fabric.crossing.len() <= 4,
        "two failure domains, two regions: {:?}",
        fabric.crossing
    );
}

#[test]
fn the_list_marks_only_lives_that_it_can_mean() {
    // Symptom: a VM that was just replaced gets no work.
    // Sequence: a VM leaves and is replaced under its name; the platform's list still calls it
    // leaving.
    // Cause: the list lags.
    let mut fabric = joined(7, 3, 1);
    let name = fabric.vms[1].name.clone();
    let wall_ms = |fabric: &Fabric| EPOCH_MS + fabric.now.as_millis() as u64;
    let report = |as_of_ms| list::VmListReport {
        as_of_ms,
        leaving: [name.clone()].into(),
        ..list::VmListReport::default()
    };
    let old = wall_ms(&fabric);
    fabric.start(1);
    fabric.advance(seconds(20));
    fabric.act(0, |core, now| core.set_vm_list(now, report(old)));
    fabric.advance(seconds(2));
    assert!(!core(&fabric, 2).snapshot(fabric.now).members[&name].leaving);
    let new = wall_ms(&fabric);
    fabric.act(0, |core, now| core.set_vm_list(now, report(new)));
    fabric.advance(seconds(2));
    assert!(core(&fabric, 2).snapshot(fabric.now).members[&name].leaving);
}

#[test]
fn watching_is_divided_alike_and_moves_little() {
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
    // Symptom: an engine's load stands still on all VMs but its own watcher's.
    // Sequence: the first watcher is paused; the standby goes on reading the engine.
    // Cause: only the first watcher's word is sent.
    let mut fabric = joined(8, 5, 1);
    let servers = || ["engine-1".to_owned()];
    (0..5).for_each(|index| {
        fabric.act(index, |core, _| {
            core.set_servers(servers());
            Vec::new()
        });
    });
    fabric.advance(seconds(1));
    let plan = core(&fabric, 0).watch_plan();
    let index_of = |fabric: &Fabric, name: &String| {
        fabric
            .vms
            .iter()
            .position(|vm| vm.name == *name)
            .expect("a member")
    };
    let watchers: Vec<usize> = plan
        .watchers("engine-1")
        .iter()
        .map(|name| index_of(&fabric, name))
        .collect();
    let rounds = |fabric: &mut Fabric, range: std::ops::Range<u32>| {
        fabric.told.clear();
        for free_blocks in range {
            for watcher in &watchers {
                let load = digest::EngineLoad {
                    free_blocks,
                    ..digest::EngineLoad::default()
                };
                if !fabric.vms[*watcher].paused {
                    fabric.act(*watcher, |core, now| {
                        core.publish_load(now, "engine-1", load);
                        Vec::new()
                    });
                }
            }
            fabric.advance(seconds(1));
        }
        let loads = fabric
            .told
            .iter()
            .filter(|(_, _, event)| matches!(event, event::GossipEvent::Load(_)));
        loads.count()
    };
    // At first both speak, since neither has heard the other.
    rounds(&mut fabric, 0..2);
    assert_eq!(
        rounds(&mut fabric, 2..12),
        40,
        "one word for each other VM, from the first only"
    );
    fabric.vms[watchers[0]].paused = true;
    let heard = rounds(&mut fabric, 12..22);
    assert!((18..=30).contains(&heard), "{heard}");
}

#[test]
fn digests_keep_to_their_bound() {
    let mut fabric = joined(9, 40, 1);
    let receivers: Vec<String> = fabric.vms.iter().map(|vm| vm.name.clone()).collect();
    let before = fabric.sent[0].1;
    for round in 0..20 {
        for number in 0..10 {
            let demand = digest::OrganisationDemand {
                requests: round,
                ..Default::default()
            };
            let organisation = format!("organisation-{number}");
            fabric.act(0, |core, now| {
                core.publish_demand(now, &organisation, demand, &receivers);
                Vec::new()
            });
        }
        fabric.advance(seconds(1));
    }
    let bytes_per_second = (fabric.sent[0].1 - before) / 20;
    // Probes and answers come on top of the bound for digests.
    let bound = u64::from(fabric.timing.digest_bytes_per_second);
    let allowed = bound * 9 / 10..bound + 1500;
    assert!(allowed.contains(&bytes_per_second), "{bytes_per_second}");
    let demands = fabric
        .told
        .iter()
        .filter_map(|(_, index, event)| match event {
            event::GossipEvent::Demand(update) => Some((*index, update.demand.requests)),
            _ => None,
        });
    let newest = demands.fold(vec![0; 40], |mut newest, (index, requests)| {
        newest[index] = requests.max(newest[index]);
        newest
    });
    // 39 receivers of about 340 bytes each take turns of 4.4 s; nobody waits for two.
    assert!(
        newest[1..].iter().all(|requests| *requests >= 13),
        "{newest:?}"
    );
}

#[test]
fn no_message_makes_a_core_panic_or_grow_without_bound() {
    // Symptom: one process takes all others down with it.
    // Sequence: a process with a key, of another release or broken, sends what makes no sense.
    // Cause: a key proves membership, not sanity.
    let mut fabric = joined(10, 3, 1);
    let sender = identity::ProcessIdentity {
        name: "stranger".to_owned(),
        incarnation: id::Incarnation(9),
    };
    let address = fabric.vms[1].place.address;
    for seed in 0..20_000 {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let mut payload = odd_message(&mut rng, &fabric.vms[0].name).encode_to_vec();
        if seed % 2 == 0 && !payload.is_empty() {
            let position = rng.next_u32() as usize % payload.len();
            payload[position] = rng.next_u32().to_le_bytes()[0];
        }
        let bound = seed % 5 != 0;
        let core = fabric.vms[0].core.as_mut().expect("it runs");
        let actions = core.on_datagram(fabric.now, address, &sender, bound, &payload);
        assert!(actions.len() <= 30, "seed {seed}: {}", actions.len());
        if seed % 100 == 0 {
            core.on_tick(fabric.now);
            core.leave(fabric.now);
            core.publish(fabric.now, &quarantine(seconds(60 + seed)));
        }
    }
    assert!(core(&fabric, 0).members().iter().count() <= 4096);
    fabric.advance(seconds(10));
}

fn odd_message(rng: &mut rand_chacha::ChaCha8Rng, own: &str) -> proto::Message {
    let odd = |rng: &mut rand_chacha::ChaCha8Rng| match rng.next_u32() % 4 {
        0 => 0,
        1 => u64::MAX,
        2 => 1,
        _ => rng.next_u64(),
    };
    let names = [own, "", "stranger", "x\ny", &"n".repeat(90)];
    let name = names[rng.next_u32() as usize % 5].to_owned();
    proto::Message {
        kind: odd_kind(rng, &name),
        claims: vec![proto::MemberClaim {
            name: name.clone(),
            birth_ms: odd(rng),
            incarnation: vec![7; 15 + rng.next_u32() as usize % 3],
            refutation: odd(rng) as u32,
            state: (odd(rng) % 6) as i32,
            address: ["10.0.0.1:7000", "nowhere", "10.0.9.9:1"][rng.next_u32() as usize % 3]
                .to_owned(),
            failure_domain: "region-0-0".to_owned(),
            region: ["region-0", "", "region-9"][rng.next_u32() as usize % 3].to_owned(),
        }],
        items: vec![proto::Item {
            kind: rng.next_u32() % 6,
            subject: name,
            version: odd(rng),
            body: vec![8; rng.next_u32() as usize % 300],
            expires_in_ms: odd(rng) as u32,
        }],
        in_force: vec![proto::InForce {
            offset: odd(rng),
            digest: 1,
            holders: vec![odd(rng); rng.next_u32() as usize % 4],
        }],
        digests: vec![proto::Digest {
            kind: rng.next_u32() % 4,
            subject: odd(rng),
            age_ms: odd(rng) as u32,
            body: vec![8; rng.next_u32() as usize % 9],
        }],
    }
}

fn odd_kind(rng: &mut rand_chacha::ChaCha8Rng, name: &str) -> Option<proto::message::Kind> {
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

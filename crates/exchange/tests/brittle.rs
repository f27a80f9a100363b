//! Tests of servers that fall over when they have to turn too many requests away.

mod cluster;

use std::time;

use cluster::ServerScript;
use exchange::{announce, catalog, port};
use rand::{RngExt as _, SeedableRng as _, rngs};
use tokio::time::Instant;

/// Duration of the load.
const LOAD_TIME: time::Duration = time::Duration::from_secs(12);
/// Time from the first statement of a server after which it may let fewer wait.
const CONTACT_TIME: time::Duration = time::Duration::from_secs(3);
/// Times that the servers of a service may fall over, and the part of their number in addition.
const MAX_FALLS: usize = 2;

/// How often a server fell over: it turned more requests away within a second than it can.
fn falls(turned_away: &[Instant], per_second: f64) -> usize {
    let mut falls = 0;
    let mut from = 0;
    for (index, at) in turned_away.iter().enumerate() {
        while at.duration_since(turned_away[from]) >= time::Duration::from_secs(1) {
            from += 1;
        }
        if (index + 1 - from) as f64 > per_second {
            falls += 1;
            from = index + 1;
            if from == turned_away.len() {
                break;
            }
        }
    }
    falls
}

/// Lets VMs tell each other of themselves.
fn tell_all(planes: &[cluster::TestPlane], round: u64) {
    let now = Instant::now();
    for (sender, plane) in planes.iter().enumerate() {
        let mut datagram = announce::introduction(&mut plane.state());
        datagram.sequence = round;
        for (number, other) in planes.iter().enumerate() {
            if number != sender {
                exchange::link::take_datagram(other, &datagram);
                other.state().peers.take(&datagram, now);
            }
        }
    }
}

/// VMs that share two brittle servers.
fn start_vms(vms: usize, per_second: f64) -> (Vec<cluster::TestPlane>, cluster::SharedServers) {
    let shared = cluster::SharedServers::default();
    for server in ["s1", "s2"] {
        let brittle = cluster::SharedServer {
            room: 24,
            running: 0,
            brittle: per_second,
            turned_away: Vec::new(),
        };
        shared.borrow_mut().insert(server.to_owned(), brittle);
    }
    let planes = (0..vms).map(|number| {
        let plane = cluster::plane();
        *plane.port().shared.borrow_mut() = shared.clone();
        let mut state = plane.state();
        state.settings.name = cluster::vm_name(number);
        state.settings.link_address = cluster::vm_address(number);
        drop(state);
        cluster::start(&plane);
        plane
    });
    (planes.collect(), shared)
}

/// Plays a load at `vms` VMs of two servers that are brittle and then let none wait; returns how
/// often servers fell over, and the fraction of the calls that was served.
async fn play(vms: usize, per_second: f64, load_ms: u64, seed: u64) -> (usize, f64) {
    let (planes, shared) = start_vms(vms, per_second);
    let mut rng = rngs::StdRng::seed_from_u64(seed);
    let started = Instant::now();
    let mut calls = Vec::new();
    let mut round = 1;
    while started.elapsed() < LOAD_TIME {
        tokio::time::sleep(time::Duration::from_millis(
            rng.random_range(1..load_ms * 2),
        ))
        .await;
        if round * 40 <= started.elapsed().as_millis() as u64 {
            round += 1;
            tell_all(&planes, round);
        }
        if started.elapsed() > CONTACT_TIME {
            for server in shared.borrow_mut().values_mut() {
                server.room = 8;
            }
        }
        let plane = planes[rng.random_range(0..vms)].clone();
        for server in ["s1", "s2"] {
            let work = time::Duration::from_millis(rng.random_range(20..60));
            plane
                .port()
                .push_script(server, ServerScript::Answer(200, work));
        }
        let kind = [
            catalog::ExchangeKind::Idempotent,
            catalog::ExchangeKind::Once,
        ];
        let mut request = cluster::request(&format!("a{}", calls.len()), kind[calls.len() % 2]);
        request.limit = Instant::now() + time::Duration::from_secs(1);
        request.deadline = request.limit;
        calls.push(tokio::task::spawn_local(async move {
            let answer = plane.serve(request).await;
            answer.is_ok_and(|reply| reply.status.is_success())
        }));
    }
    let count = calls.len();
    let mut served = 0;
    for call in calls {
        served += usize::from(call.await.expect("ended"));
    }
    let shared = shared.borrow();
    let falls = shared
        .values()
        .map(|server| falls(&server.turned_away, per_second));
    (falls.sum(), served as f64 / count as f64)
}

#[test]
fn brittle_servers_are_not_made_to_turn_too_many_requests_away() {
    // Guards against servers that fall over because all VMs together fill their queues.
    for (vms, per_second) in [(1, 3.0), (7, 3.0), (7, 10.0), (30, 5.0)] {
        for seed in 0..3 {
            cluster::run(async move {
                let (falls, served) = play(vms, per_second, 2, seed).await;
                let what = format!("{vms} VMs, {per_second} a second, seed {seed}");
                assert!(falls <= MAX_FALLS, "{what}: {falls} falls");
                assert!(served > 0.4, "{what}: {served} of the calls served");
            });
        }
    }
}

#[test]
fn what_a_server_can_turn_away_is_known_to_all_vms() {
    // Guards against VMs that fill a brittle server since it has not told them so itself.
    cluster::run(async {
        let (planes, _) = start_vms(3, 4.0);
        let now = Instant::now();
        let key = planes[0].state().fleet.find("s1").expect("known");
        let stated = port::LimitSignal::PerSecond(4.0);
        planes[0].state().take_brittle_signal(key, stated, now, now);
        tell_all(&planes, 2);
        for plane in &planes {
            let state = plane.state();
            let server = |id| state.fleet.server(state.fleet.find(id).expect("known"));
            assert!(server("s1").expect("known").is_brittle(now));
            assert!(!server("s2").expect("known").is_brittle(now));
            assert!(
                !state.fleet.is_limited(key, now),
                "that is another statement"
            );
        }
    });
}

#[test]
fn a_server_that_says_no_more_that_it_is_brittle_is_filled_again() {
    cluster::run(async {
        let plane = cluster::plane();
        let key = plane.state().fleet.find("s1").expect("known");
        let mut state = plane.state();
        let sent = Instant::now();
        let stated = port::LimitSignal::PerSecond(3.0);
        assert!(state.take_brittle_signal(key, stated, sent, sent));
        assert!(state.fleet.server(key).expect("known").is_brittle(sent));
        assert!(state.note_turned_away(key, sent));
        let later = sent + time::Duration::from_millis(10);
        let ended = port::LimitSignal::Unlimited;
        assert!(state.take_brittle_signal(key, ended, later, later));
        assert!(!state.fleet.server(key).expect("known").is_brittle(later));
        assert!(!state.note_turned_away(key, later));
    });
}

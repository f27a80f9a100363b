//! Servers that turn a VM away and ask it for rest.

mod cluster;

use std::time;

use cluster::called::{CallScenario, CalledVms};
use exchange::{catalog, fleet, reply};
use tokio::time::{self as clock, Instant};

/// Rest that servers ask for.
const REST: time::Duration = time::Duration::from_secs(3);
/// Time after the answer from which the users count.
const TOLD: time::Duration = time::Duration::from_millis(500);
/// Requests that the users allow from then on.
const ALLOWED: usize = 2;
const CALL_TIME: time::Duration = time::Duration::from_millis(1_500);

/// Lets a server turn the next attempt of each VM away and ask for rest, once.
fn turn_away(running: &CalledVms, server: &str) {
    for vm in &running.vms.vms {
        let port = vm.plane.port();
        port.turn_away(server, REST);
    }
}

/// Most requests that a server got from one VM in the rest that it had asked that VM for.
fn most_in_rest(running: &CalledVms, server: &str) -> usize {
    let vms = running.vms.vms.iter().map(|vm| {
        let port = vm.plane.port();
        let asked = port.asked_rest.borrow().get(server).copied();
        let arrivals = port.arrivals.borrow();
        let counted = arrivals.iter().filter(|(at, when)| {
            at == server && asked.is_some_and(|asked| *when >= asked + TOLD && *when < asked + REST)
        });
        counted.count()
    });
    vms.max().unwrap_or_default()
}

async fn check_rest(mut running: CalledVms, scenario: CallScenario) {
    running.call(&scenario, CALL_TIME).await;
    let servers = match scenario.kind {
        catalog::ExchangeKind::Stream => ["e1", "e2"],
        _ => ["s1", "s2"],
    };
    let busiest = servers
        .into_iter()
        .max_by_key(|server| running.count(server));
    let server = busiest.expect("two");
    turn_away(&running, server);
    running.call(&scenario, 2 * REST).await;
    let most = most_in_rest(&running, server);
    assert!(most <= ALLOWED, "{most} from one VM: {scenario:?}");
    let ports = running.vms.vms.iter().map(|vm| vm.plane.port());
    let asked = ports.filter(|port| port.asked_rest.borrow().contains_key(server));
    assert!(asked.count() > 0, "no VM was asked: {scenario:?}");
}

#[test]
fn a_server_that_asks_for_rest_gets_no_calls() {
    // Guards against a VM that sends again as soon as a server that turned it away looks cheap.
    for vms in [1, 2, 7, 30] {
        for kind in [
            catalog::ExchangeKind::Idempotent,
            catalog::ExchangeKind::Once,
        ] {
            cluster::run(async move {
                let scenario = CallScenario {
                    kind,
                    callers: 30.0 * vms as f64,
                    ..CallScenario::calls(vms)
                };
                check_rest(CalledVms::start(&scenario), scenario).await;
            });
        }
    }
}

#[test]
fn a_server_that_asks_for_rest_gets_no_streams() {
    // Guards against reservations and attempts of streams within the rest.
    for vms in [1, 2, 7] {
        cluster::run(async move {
            let scenario = CallScenario {
                callers: 5.0 * vms as f64,
                ..CallScenario::streams(vms)
            };
            check_rest(CalledVms::start(&scenario), scenario).await;
        });
    }
}

#[test]
fn a_server_that_asks_for_rest_gets_no_retries_where_the_others_fail() {
    // Guards against a VM that prefers a resting server to one that answers with errors.
    for vms in [1, 2, 7] {
        cluster::run(async move {
            let scenario = CallScenario {
                callers: 30.0 * vms as f64,
                ..CallScenario::calls(vms)
            };
            let running = CalledVms::start(&scenario);
            running.err("s2");
            check_rest(running, scenario).await;
        });
    }
}

/// Lets a server ask the VM for rest in the answer to a reservation or an attempt of any kind.
fn rest(plane: &cluster::TestPlane, server: &str) {
    let mut state = plane.state();
    let key = state.fleet.find(server).expect("known");
    state.take_rest_signal(key, REST, Instant::now());
}

fn arrivals(plane: &cluster::TestPlane, server: &str, since: Instant) -> usize {
    let arrivals = plane.port().arrivals.borrow();
    let counted = arrivals
        .iter()
        .filter(|(at, when)| at == server && *when >= since);
    counted.count()
}

#[test]
fn callers_are_refused_at_once_while_all_servers_rest() {
    // Guards against callers that wait for servers that take nothing, and that are told to come back
    // before one does.
    cluster::run(async {
        let plane = cluster::plane();
        cluster::start(&plane);
        rest(&plane, "s1");
        clock::sleep(time::Duration::from_secs(1)).await;
        rest(&plane, "s2");
        let asked_at = Instant::now();
        let request = cluster::request("r1", catalog::ExchangeKind::Once);
        let refusal = plane.serve(request).await.expect_err("all rest");
        assert_eq!(refusal.cause, reply::RefusalCause::Overload);
        assert_eq!(asked_at.elapsed(), time::Duration::ZERO);
        let retry_after = refusal.retry_after.expect("it did not run");
        assert!(
            retry_after >= time::Duration::from_millis(1_400),
            "{retry_after:?}"
        );
        assert!(
            retry_after <= time::Duration::from_millis(2_600),
            "{retry_after:?}"
        );
        clock::sleep(2 * time::Duration::from_secs(1)).await;
        let request = cluster::request("r2", catalog::ExchangeKind::Once);
        assert!(plane.serve(request).await.is_ok(), "the first rest is over");
    });
}

#[test]
fn a_longer_rest_is_not_ended_by_a_shorter_one() {
    // Guards against an answer to an earlier request that asks for less.
    cluster::run(async {
        let plane = cluster::plane();
        rest(&plane, "s1");
        let now = Instant::now();
        let mut state = plane.state();
        let key = state.fleet.find("s1").expect("known");
        state.take_rest_signal(key, REST / 10, now);
        let before = now + REST - time::Duration::from_millis(1);
        assert!(!state.fleet.may_send(key, before));
        assert!(state.fleet.may_send(key, now + REST));
    });
}

#[test]
fn a_rest_without_end_is_bounded() {
    // Guards against a server that gets no work any more after an answer with a wrong time.
    cluster::run(async {
        let plane = cluster::plane();
        let now = Instant::now();
        let mut state = plane.state();
        let key = state.fleet.find("s1").expect("known");
        state.take_rest_signal(key, time::Duration::MAX, now);
        assert!(!state.fleet.may_send(key, now + 20 * REST));
        assert!(
            state
                .fleet
                .may_send(key, now + time::Duration::from_secs(600))
        );
    });
}

#[test]
fn runs_stay_on_a_resting_server_until_its_rest_is_over() {
    // Guards against copy calls, and continued runs, at a server that wants nothing.
    cluster::run(async {
        let plane = cluster::plane();
        plane.state().settings.backups = false;
        cluster::start(&plane);
        for number in 0..4 {
            let plane = plane.clone();
            let script = cluster::ServerScript::Events(200, time::Duration::from_millis(50));
            plane.port().push_script("e1", script);
            let request = cluster::request(&format!("r{number}"), catalog::ExchangeKind::Stream);
            tokio::task::spawn_local(async move {
                if let Ok(reply) = plane.serve(request).await {
                    cluster::read(cluster::parts(reply)).await;
                }
            });
        }
        clock::sleep(time::Duration::from_secs(1)).await;
        let since = Instant::now();
        rest(&plane, "e1");
        let change = cluster::update("e1", 50, None);
        let change = plane.state().apply_update(change, false, since);
        assert!(matches!(change, fleet::FleetChange::Leaves(_)));
        plane.wake_decisions();
        clock::sleep(REST - time::Duration::from_millis(1)).await;
        assert_eq!(arrivals(&plane, "e1", since), 0);
        clock::sleep(time::Duration::from_millis(100)).await;
        assert!(arrivals(&plane, "e1", since) > 0, "moved then");
    });
}

#[test]
fn runs_do_not_move_to_a_resting_server() {
    // Guards against copies and continued runs at a server that wants nothing.
    cluster::run(async {
        let plane = cluster::plane();
        cluster::start(&plane);
        rest(&plane, "e2");
        let since = Instant::now();
        let script = cluster::ServerScript::Breaks(20, time::Duration::from_millis(50));
        plane.port().push_script("e1", script);
        let request = cluster::request("r1", catalog::ExchangeKind::Stream);
        let reply = plane.serve(request).await.expect("served");
        clock::sleep(time::Duration::from_millis(500)).await;
        cluster::leave(&plane, "e1", 11);
        cluster::read(cluster::parts(reply)).await;
        let copied = plane.port().copied.borrow();
        let to_resting = copied
            .iter()
            .filter(|(_, to, _)| *to == cluster::address(12));
        assert_eq!(to_resting.count(), 0);
        assert_eq!(arrivals(&plane, "e2", since), 0);
    });
}

#[test]
fn rests_are_kept_in_random_runs() {
    // Guards against combinations of kinds, loads and losses that no other test has.
    cluster::histories(24, |u| {
        let vms = u.int_in_range(1..=12)?;
        let calls = if u.ratio(1, 3)? {
            CallScenario::streams(vms)
        } else {
            CallScenario::calls(vms)
        };
        let scenario = CallScenario {
            loss: f64::from(u.int_in_range(0..=100_u32)?) / 100.0,
            callers: calls.callers * f64::from(u.int_in_range(1..=8_u32)?) / 2.0,
            ..calls
        };
        let errs: bool = u.arbitrary()?;
        cluster::run(async move {
            let running = CalledVms::start(&scenario);
            if errs {
                running.err("s2");
            }
            check_rest(running, scenario).await;
        });
        Ok(())
    });
}

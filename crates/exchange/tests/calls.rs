//! Calls with a short answer: what may be tried again, and what is promised.

mod world;

use std::{rc, time};

use base::outcome;
use exchange::{catalog, port, reply};
use world::ServerScript;

fn status(reply: &Result<reply::Reply, reply::Refusal>) -> u16 {
    reply.as_ref().map_or(0, |reply| reply.status.as_u16())
}

/// Both servers do the same, in this order.
fn both(plane: &world::TestPlane, script: &ServerScript) {
    plane_port(plane).tell("s1", script.clone());
    plane_port(plane).tell("s2", script.clone());
}

fn plane_port(plane: &world::TestPlane) -> &world::FakePort {
    plane.port()
}

#[test]
fn a_single_call_whose_answer_is_lost_is_not_sent_again() {
    // Symptom: a family is charged twice for one pass.
    // Sequence: the server runs the call, its connection breaks before the answer.
    // Cause: a lost answer taken for "not run".
    world::run(async {
        let plane = world::plane();
        both(&plane, &ServerScript::Lost);
        let told = plane
            .serve(world::ask("a", catalog::ExchangeKind::Once))
            .await;
        let refusal = told.expect_err("lost");
        assert_eq!(refusal.ran, outcome::RanState::Unknown);
        assert_eq!(refusal.cause, reply::RefusalCause::ServerLost);
        assert_eq!(plane_port(&plane).seen.borrow().len(), 1);
    });
}

#[test]
fn an_idempotent_call_is_tried_at_the_other_server() {
    // Symptom: a phone shows an error although two servers of three work.
    // Sequence: one server breaks off, the other answers.
    // Cause: no second try of a call that may be repeated.
    world::run(async {
        for first in [
            ServerScript::Lost,
            ServerScript::Answer(500, time::Duration::ZERO),
        ] {
            let plane = world::plane();
            both(&plane, &first);
            plane_port(&plane).tell("s1", ServerScript::Answer(200, time::Duration::ZERO));
            let told = plane
                .serve(world::ask("a", catalog::ExchangeKind::Idempotent))
                .await;
            // The other server fails as well: its own answer, or the loss, is told.
            assert_ne!(status(&told), 200);
            let seen = plane_port(&plane).seen.borrow();
            assert_eq!(seen.len(), 2, "two servers at the most");
            assert_ne!(seen[0].server, seen[1].server);
        }
    });
}

#[test]
fn a_call_that_nobody_ran_is_refused_with_that_promise() {
    // Symptom: a caller that was told 503 finds its booking made.
    // Sequence: every server says that it did not run the call.
    // Cause: the promise given without proof; here each try has one.
    world::run(async {
        let plane = world::plane();
        both(&plane, &ServerScript::NotRun(port::NotRunCause::Rejected));
        let told = plane
            .serve(world::ask("a", catalog::ExchangeKind::Once))
            .await;
        let refusal = told.expect_err("refused");
        assert_eq!(refusal.ran, outcome::RanState::No);
        assert!(refusal.retry_after.is_some());
    });
}

#[test]
fn a_server_that_is_another_now_costs_no_try() {
    // Symptom: a booking is refused right after a server's address was given to another service.
    // Sequence: the first server is another incarnation and says so, the second answers.
    // Cause: a try that reached nobody counted against the route's one server.
    world::run(async {
        let plane = world::plane();
        both(
            &plane,
            &ServerScript::NotRun(port::NotRunCause::Misdirected),
        );
        plane_port(&plane)
            .scripts
            .borrow_mut()
            .get_mut("s2")
            .expect("s2")
            .clear();
        for _ in 0..4 {
            let told = plane
                .serve(world::ask("a", catalog::ExchangeKind::Once))
                .await;
            assert_eq!(status(&told), 200);
        }
    });
}

#[test]
fn a_silent_server_is_hedged_once_and_given_up_at_once() {
    // Symptom: queue status freezes for a second on some phones.
    // Sequence: a server takes the call and stays silent, the other is well.
    // Cause: no hedge; and the silent try must be closed when the other answers.
    world::run(async {
        let plane = world::plane();
        both(&plane, &ServerScript::Silent);
        plane_port(&plane)
            .scripts
            .borrow_mut()
            .get_mut("s2")
            .expect("s2")
            .clear();
        for number in 0..3 {
            let id = format!("a{number}");
            let began = tokio::time::Instant::now();
            let told = plane
                .serve(world::ask(&id, catalog::ExchangeKind::Idempotent))
                .await;
            assert_eq!(status(&told), 200);
            assert!(began.elapsed() < time::Duration::from_millis(100));
            assert_eq!(
                plane.state().fleet.runs().count(),
                0,
                "no try is left behind"
            );
        }
    });
}

#[test]
fn an_answer_is_given_at_the_limit_not_after() {
    // Symptom: a request outlives its route's limit.
    // Sequence: its server never answers.
    // Cause: the limit counted from the try instead of the request.
    world::run(async {
        let plane = world::plane();
        both(&plane, &ServerScript::Silent);
        let mut ask = world::ask("a", catalog::ExchangeKind::Once);
        ask.limit = ask.arrived + time::Duration::from_millis(1_200);
        let began = tokio::time::Instant::now();
        let refusal = plane.serve(ask).await.expect_err("out of time");
        assert_eq!(refusal.cause, reply::RefusalCause::Timeout);
        assert_eq!(refusal.ran, outcome::RanState::Unknown);
        assert_eq!(began.elapsed(), time::Duration::from_millis(1_200));
    });
}

#[test]
fn a_caller_that_leaves_gives_its_place_back() {
    // Symptom: servers look busy for ever, and work waits before idle ones.
    // Sequence: callers leave while their calls run or wait.
    // Cause: a place that only an answer gives back.
    world::run(async {
        let plane = world::plane();
        world::start(&plane);
        both(&plane, &ServerScript::Silent);
        let served = plane.serve(world::ask("a", catalog::ExchangeKind::Once));
        let left = tokio::time::timeout(time::Duration::from_millis(50), served).await;
        assert!(left.is_err());
        assert_eq!(plane.state().fleet.runs().count(), 0);
        assert_eq!(plane.open_requests(), 0);
    });
}

#[test]
fn retries_stop_when_the_budget_is_spent() {
    // Symptom: a failing service gets twice its load.
    // Sequence: all servers fail all calls, hundreds come.
    // Cause: no bound on further tries.
    world::run(async {
        let plane = world::plane();
        for number in 0..200 {
            both(&plane, &ServerScript::Lost);
            let id = format!("a{number}");
            let told = plane
                .serve(world::ask(&id, catalog::ExchangeKind::Idempotent))
                .await;
            assert!(told.is_err());
        }
        let further = plane_port(&plane).seen.borrow().len() - 200;
        assert!(
            further <= 60,
            "{further} further tries; the rule allows 0.2 x 200 + 20"
        );
        let plane = rc::Rc::clone(&plane);
        assert!(
            plane
                .state()
                .retries_left("app", tokio::time::Instant::now())
                < 1.0
        );
    });
}

#[test]
fn a_long_answer_counts_as_open_until_its_caller_has_it() {
    // Symptom: a caller gets half of a large answer as its VM stops.
    // Sequence: an answer over 256 KB is passed on as it comes; the VM is told to stop.
    // Cause: a request that counted as ended with its head, so that the stop did not wait.
    world::run(async {
        let plane = world::plane();
        let large = ServerScript::Large(10, time::Duration::from_millis(500));
        both(&plane, &large);
        let ask = world::ask("a", catalog::ExchangeKind::Idempotent);
        let reply = plane.serve(ask).await.expect("head");
        assert_eq!(plane.open_requests(), 1);
        let read = world::read(world::parts(reply)).await;
        assert!(read.whole);
        assert_eq!(read.text.len(), 10 * world::LARGE_PART);
        tokio::task::yield_now().await;
        assert_eq!(plane.open_requests(), 0);
    });
}

#[test]
fn a_long_answer_ends_with_the_time_of_its_route() {
    // Symptom: a server that sends one part a second holds its caller, and its own place, for
    // minutes past the route's limit.
    // Sequence: an answer over 256 KB whose parts come slower and slower.
    // Cause: only the time up to the head was bounded.
    world::run(async {
        let plane = world::plane();
        let large = ServerScript::Large(100, time::Duration::from_secs(1));
        both(&plane, &large);
        let mut ask = world::ask("a", catalog::ExchangeKind::Idempotent);
        ask.limit = ask.arrived + time::Duration::from_secs(8);
        let limit = ask.limit;
        let reply = plane.serve(ask).await.expect("head");
        let read = world::read(world::parts(reply)).await;
        assert!(!read.whole, "the caller sees that it is cut");
        assert_eq!(tokio::time::Instant::now(), limit);
        tokio::task::yield_now().await;
        assert_eq!(plane.open_requests(), 0);
        assert_eq!(plane_port(&plane).open.borrow().values().sum::<u32>(), 0);
    });
}

//! Tests of calls: which are retried, and what refusals guarantee.

mod cluster;

use std::{rc, time};

use base::outcome;
use cluster::ServerScript;
use exchange::{catalog, port, reply};

fn status(reply: &Result<reply::Reply, reply::Refusal>) -> u16 {
    reply.as_ref().map_or(0, |reply| reply.status.as_u16())
}

/// Adds the same script for both servers.
fn script_both(plane: &cluster::TestPlane, script: &ServerScript) {
    plane_port(plane).push_script("s1", script.clone());
    plane_port(plane).push_script("s2", script.clone());
}

fn plane_port(plane: &cluster::TestPlane) -> &cluster::FakePort {
    plane.port()
}

#[test]
fn a_single_call_with_a_lost_response_is_not_retried() {
    // Guards against running a single call twice: the server runs it, and the connection breaks
    // before the response. A lost response does not mean that the call was not run.
    cluster::run(async {
        let plane = cluster::plane();
        script_both(&plane, &ServerScript::Lost);
        let served = plane
            .serve(cluster::request("a", catalog::ExchangeKind::Once))
            .await;
        let refusal = served.expect_err("lost");
        assert_eq!(refusal.ran, outcome::RanState::Unknown);
        assert_eq!(refusal.cause, reply::RefusalCause::ServerLost);
        assert_eq!(plane_port(&plane).seen.borrow().len(), 1);
    });
}

#[test]
fn an_idempotent_call_is_retried_on_the_other_server() {
    // Guards against returning an error while another server works: one server breaks off, and the
    // call may be retried on another one.
    cluster::run(async {
        for first in [
            ServerScript::Lost,
            ServerScript::Answer(500, time::Duration::ZERO),
        ] {
            let plane = cluster::plane();
            script_both(&plane, &first);
            plane_port(&plane).push_script("s1", ServerScript::Answer(200, time::Duration::ZERO));
            let served = plane
                .serve(cluster::request("a", catalog::ExchangeKind::Idempotent))
                .await;
            // The other server fails as well: the caller gets its response, or the loss.
            assert_ne!(status(&served), 200);
            let seen = plane_port(&plane).seen.borrow();
            assert_eq!(seen.len(), 2, "at most two servers");
            assert_ne!(seen[0].server, seen[1].server);
        }
    });
}

#[test]
fn a_call_that_no_server_ran_is_refused_as_not_run() {
    // Guards against a refusal that claims "not run" for a call that ran. Every server reports that
    // it did not run the call, so the claim is proved for each attempt.
    cluster::run(async {
        let plane = cluster::plane();
        script_both(&plane, &ServerScript::NotRun(port::NotRunCause::Rejected));
        let served = plane
            .serve(cluster::request("a", catalog::ExchangeKind::Once))
            .await;
        let refusal = served.expect_err("refused");
        assert_eq!(refusal.ran, outcome::RanState::No);
        assert!(refusal.retry_after.is_some());
    });
}

#[test]
fn a_misdirected_attempt_does_not_count() {
    // Guards against refusing a call right after a server's address was reassigned: the first
    // server is another incarnation and says so, which must not use up the route's only attempt.
    cluster::run(async {
        let plane = cluster::plane();
        script_both(
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
            let served = plane
                .serve(cluster::request("a", catalog::ExchangeKind::Once))
                .await;
            assert_eq!(status(&served), 200);
        }
    });
}

#[test]
fn a_call_to_a_silent_server_is_hedged_once_and_cancelled() {
    // Guards against calls that hang on a silent server: an idempotent call is hedged, and the
    // silent attempt is cancelled when the other server responds.
    cluster::run(async {
        let plane = cluster::plane();
        script_both(&plane, &ServerScript::Silent);
        plane_port(&plane)
            .scripts
            .borrow_mut()
            .get_mut("s2")
            .expect("s2")
            .clear();
        for number in 0..3 {
            let id = format!("a{number}");
            let started = tokio::time::Instant::now();
            let served = plane
                .serve(cluster::request(&id, catalog::ExchangeKind::Idempotent))
                .await;
            assert_eq!(status(&served), 200);
            assert!(started.elapsed() < time::Duration::from_millis(100));
            assert_eq!(plane.state().fleet.runs().count(), 0, "no attempt is left");
        }
    });
}

#[test]
fn a_call_times_out_at_its_limit() {
    // Guards against exceeding the route's time limit when the server never responds: the limit
    // counts from the request, not from the attempt.
    cluster::run(async {
        let plane = cluster::plane();
        script_both(&plane, &ServerScript::Silent);
        let mut request = cluster::request("a", catalog::ExchangeKind::Once);
        request.limit = request.arrived + time::Duration::from_millis(1_200);
        let started = tokio::time::Instant::now();
        let refusal = plane.serve(request).await.expect_err("out of time");
        assert_eq!(refusal.cause, reply::RefusalCause::Timeout);
        assert_eq!(refusal.ran, outcome::RanState::Unknown);
        assert_eq!(started.elapsed(), time::Duration::from_millis(1_200));
    });
}

#[test]
fn a_call_is_freed_when_its_caller_leaves() {
    // Guards against servers that look busy for ever: a caller that leaves while its call runs or
    // waits must free the assignment.
    cluster::run(async {
        let plane = cluster::plane();
        cluster::start(&plane);
        script_both(&plane, &ServerScript::Silent);
        let served = plane.serve(cluster::request("a", catalog::ExchangeKind::Once));
        let left = tokio::time::timeout(time::Duration::from_millis(50), served).await;
        assert!(left.is_err());
        assert_eq!(plane.state().fleet.runs().count(), 0);
        assert_eq!(plane.open_requests(), 0);
    });
}

#[test]
fn retries_stop_when_the_budget_is_spent() {
    // Guards against doubling the load of a failing service: all servers fail hundreds of calls,
    // and retries are limited.
    cluster::run(async {
        let plane = cluster::plane();
        for number in 0..200 {
            script_both(&plane, &ServerScript::Lost);
            let id = format!("a{number}");
            let served = plane
                .serve(cluster::request(&id, catalog::ExchangeKind::Idempotent))
                .await;
            assert!(served.is_err());
        }
        let retries = plane_port(&plane).seen.borrow().len() - 200;
        assert!(
            retries <= 60,
            "{retries} retries; the rule allows 0.2 x 200 + 20"
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
fn a_long_response_counts_as_open_until_received() {
    // Guards against truncating a large response when the VM stops: a response over 256 KB is
    // streamed, and its request counts as open until the caller has all of it.
    cluster::run(async {
        let plane = cluster::plane();
        let large = ServerScript::Large(10, time::Duration::from_millis(500));
        script_both(&plane, &large);
        let request = cluster::request("a", catalog::ExchangeKind::Idempotent);
        let reply = plane.serve(request).await.expect("head");
        assert_eq!(plane.open_requests(), 1);
        let read = cluster::read(cluster::parts(reply)).await;
        assert!(read.complete);
        assert_eq!(read.text.len(), 10 * cluster::LARGE_PART);
        tokio::task::yield_now().await;
        assert_eq!(plane.open_requests(), 0);
    });
}

#[test]
fn a_long_response_ends_at_the_route_limit() {
    // Guards against responses over 256 KB that arrive slowly and hold their caller and their
    // server's slot for minutes past the route's limit: the limit covers the body as well as the
    // head.
    cluster::run(async {
        let plane = cluster::plane();
        let large = ServerScript::Large(100, time::Duration::from_secs(1));
        script_both(&plane, &large);
        let mut request = cluster::request("a", catalog::ExchangeKind::Idempotent);
        request.limit = request.arrived + time::Duration::from_secs(8);
        let limit = request.limit;
        let reply = plane.serve(request).await.expect("head");
        let read = cluster::read(cluster::parts(reply)).await;
        assert!(!read.complete, "the response is truncated");
        assert_eq!(tokio::time::Instant::now(), limit);
        tokio::task::yield_now().await;
        assert_eq!(plane.open_requests(), 0);
        assert_eq!(plane_port(&plane).open.borrow().values().sum::<u32>(), 0);
    });
}

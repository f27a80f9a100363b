//! Tests of requests without an answer at a VM that stops.

mod cluster;

use std::{rc, time};

use base::outcome;
use exchange::{catalog, handover, reply, stopping};
use tokio::time::Instant;

const ALL_KINDS: [catalog::ExchangeKind; 3] = [
    catalog::ExchangeKind::Idempotent,
    catalog::ExchangeKind::Once,
    catalog::ExchangeKind::Stream,
];

/// A request that waits for a server until its time limit.
fn patient(id: &str, kind: catalog::ExchangeKind) -> exchange::request::ExchangeRequest {
    let mut request = cluster::request(id, kind);
    request.target_latency = time::Duration::from_secs(20);
    request
}

/// Lets no server of a plane take a request.
fn fill(plane: &cluster::TestPlane) {
    let mut state = plane.state();
    for id in ["s1", "s2", "e1", "e2"] {
        let key = state.fleet.find(id).expect("known");
        let until = Instant::now() + time::Duration::from_secs(60);
        state.fleet.mark_full(key, until);
    }
}

/// Sends a request this long before or after the stop of its VM begins, and returns its answer and when
/// it came, from the begin of the stop. Panics if the VM has stopped before.
async fn answer_of_stopping(
    plane: &cluster::TestPlane,
    request: exchange::request::ExchangeRequest,
    (sent_first, gap): (bool, time::Duration),
) -> (handover::HandedAnswer, time::Duration) {
    let stop = || {
        let (plane, began) = (plane.clone(), Instant::now());
        let stopping = async move { stopping::drain(&plane, cluster::GRACE).await };
        (tokio::task::spawn_local(stopping), began)
    };
    let serve = || {
        let plane = plane.clone();
        tokio::task::spawn_local(async move { (plane.serve(request).await, Instant::now()) })
    };
    let (serving, (stopped, began)) = if sent_first {
        let serving = serve();
        tokio::time::sleep(gap).await;
        (serving, stop())
    } else {
        let stopping = stop();
        tokio::time::sleep(gap).await;
        (serve(), stopping)
    };
    let served = tokio::select! {
        biased;
        served = serving => served.expect("served"),
        _ = stopped => panic!("the VM has stopped without an answer"),
    };
    (served.0, served.1.saturating_duration_since(began))
}

fn gaps() -> Vec<(bool, time::Duration)> {
    let times = [0, 100, 1_000, 2_400, 4_600].map(time::Duration::from_millis);
    let before = times.iter().map(|gap| (true, *gap));
    before
        .chain(times.iter().map(|gap| (false, *gap)))
        .collect()
}

#[test]
fn a_request_that_waits_at_a_stopping_vm_is_refused() {
    // Guards against requests that wait for a server at a VM that stops until its process ends, and
    // get no answer.
    for kind in ALL_KINDS {
        for gap in gaps() {
            cluster::run(async {
                let plane = cluster::plane();
                cluster::start(&plane);
                fill(&plane);
                let request = patient("r1", kind);
                let (answer, after) = answer_of_stopping(&plane, request, gap).await;
                let refusal = answer.expect_err("no server is free");
                assert_eq!(refusal.ran, outcome::RanState::No, "{kind:?} {gap:?}");
                assert!(refusal.retry_after.is_some(), "{kind:?} {gap:?}");
                if kind == catalog::ExchangeKind::Stream {
                    // A stream sent to a server later would be cut off.
                    let limit = time::Duration::from_millis(2_600).max(gap.1);
                    assert!(after <= limit, "{gap:?}: {after:?}");
                }
                assert!(plane.port().seen.borrow().is_empty());
            });
        }
    }
}

#[test]
fn a_request_without_an_answer_of_its_server_is_answered_before_its_vm_stops() {
    // Guards against connections that are closed without an answer as the process ends, though the
    // request was read: its server is silent.
    for kind in ALL_KINDS {
        for gap in gaps() {
            cluster::run(async {
                let plane = cluster::plane();
                cluster::start(&plane);
                for server in ["s1", "s2", "e1", "e2"] {
                    for _ in 0..4 {
                        let silent = cluster::ServerScript::Silent;
                        plane.port().push_script(server, silent);
                    }
                }
                let mut request = patient("r1", kind);
                request.limit += time::Duration::from_secs(20);
                let (answer, _) = answer_of_stopping(&plane, request, gap).await;
                let refusal = answer.expect_err("silent");
                // Nothing promises that what was sent has not run.
                let sent = !plane.port().seen.borrow().is_empty();
                let unsent = refusal.ran == outcome::RanState::No;
                assert_eq!(sent, !unsent, "{kind:?} {gap:?}: {refusal:?}");
            });
        }
    }
}

#[test]
fn a_call_that_may_outlast_the_stop_of_its_vm_is_not_sent_late() {
    // Guards against calls, also those that run at most once, that a stopping VM takes late and sends to a
    // server, and gives up before its process ends.
    let work = time::Duration::from_secs(5);
    for kind in [
        catalog::ExchangeKind::Idempotent,
        catalog::ExchangeKind::Once,
    ] {
        for sent_ms in [100, 1_000, 2_400, 2_600, 3_500, 4_500, 5_900, 6_500, 7_500] {
            for left_ms in [300, 1_000, 1_500, 2_500, 4_000, 6_000, 39_000] {
                for is_free in [true, false] {
                    cluster::run(async {
                        let plane = cluster::plane();
                        cluster::start(&plane);
                        // A stream keeps the VM from stopping early.
                        for server in ["e1", "e2"] {
                            let step = time::Duration::from_millis(100);
                            let events = cluster::ServerScript::Events(76, step);
                            plane.port().push_script(server, events);
                        }
                        let stream = cluster::request("r0", catalog::ExchangeKind::Stream);
                        let reply: reply::Reply = plane.serve(stream).await.expect("served");
                        tokio::task::spawn_local(cluster::read(cluster::parts(reply)));
                        if !is_free {
                            fill(&plane);
                        }
                        for server in ["s1", "s2"] {
                            let slow = cluster::ServerScript::Answer(200, work);
                            plane.port().push_script(server, slow.clone());
                            plane.port().push_script(server, slow);
                        }
                        let sent = time::Duration::from_millis(sent_ms);
                        let left = time::Duration::from_millis(left_ms);
                        let mut request = patient("r1", kind);
                        request.limit = Instant::now() + sent + left;
                        request.deadline = request.limit;
                        let (answer, after) =
                            answer_of_stopping(&plane, request, (false, sent)).await;
                        let what = format!("{kind:?}, {sent_ms}, {left_ms} ms: {answer:?}");
                        let is_sent = plane.port().seen.borrow().len() > 1;
                        // The VM takes calls for 7.6 s at most, and those that may last longer for 2.5 s.
                        let outlasts = sent_ms + left_ms > 7_600;
                        assert!(!is_sent || !outlasts || sent_ms <= 2_500, "{what}");
                        if outlasts && sent_ms > 2_500 {
                            let refusal = answer.expect_err("not sent");
                            assert_eq!(refusal.ran, outcome::RanState::No, "{what}");
                            assert!(refusal.retry_after.is_some() && after == sent, "{what}");
                        } else if is_free && sent_ms < 6_000 {
                            assert!(is_sent, "{what}");
                        }
                    });
                }
            }
        }
    }
}

#[test]
fn a_request_is_answered_before_its_vm_stops_while_its_service_is_suspected_to_be_cut() {
    // Guards against connections that are closed without an answer as the process ends, since a request
    // that no server got waits for the verdict on the links of its VM.
    for kind in [
        catalog::ExchangeKind::Idempotent,
        catalog::ExchangeKind::Once,
    ] {
        for suspected_ms in [7_000, 7_400, 7_590] {
            cluster::run(async {
                let plane = cluster::plane();
                cluster::start(&plane);
                fill(&plane);
                let suspecting = plane.clone();
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(time::Duration::from_millis(suspected_ms)).await;
                    let mut state = suspecting.state();
                    for id in ["s1", "s2"] {
                        let server = state.fleet.find(id).expect("known");
                        state
                            .reach
                            .record_unreached("app", server, 2, Instant::now());
                    }
                });
                let request = patient("r1", kind);
                let gap = (false, time::Duration::from_millis(100));
                let (answer, _) = answer_of_stopping(&plane, request, gap).await;
                let refusal = answer.expect_err("no server is free");
                assert_eq!(
                    refusal.ran,
                    outcome::RanState::No,
                    "{kind:?} {suspected_ms} ms"
                );
            });
        }
    }
}

#[test]
fn a_stream_with_an_answer_goes_on_while_its_vm_stops() {
    // Guards against streams that are ended early by the limit for those without an answer.
    cluster::run(async {
        let plane = cluster::plane();
        cluster::start(&plane);
        for server in ["e1", "e2"] {
            let events = cluster::ServerScript::Events(76, time::Duration::from_millis(100));
            plane.port().push_script(server, events);
        }
        let request = cluster::request("r1", catalog::ExchangeKind::Stream);
        let reply: reply::Reply = plane.serve(request).await.expect("served");
        let stopping = plane.clone();
        let stopped = tokio::task::spawn_local(async move {
            stopping::drain(&stopping, cluster::GRACE).await;
        });
        let read = cluster::read(cluster::parts(reply)).await;
        assert!(read.complete && read.text == cluster::events(76));
        stopped.await.expect("stopped");
        assert_eq!(rc::Rc::strong_count(&plane), 2, "only the decisions go on");
    });
}

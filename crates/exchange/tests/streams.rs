//! Tests of streams: each event arrives once and in order, from a single run, on whichever server
//! it continues.

mod cluster;

use std::time;

use base::outcome;
use cluster::ServerScript;
use exchange::{catalog, port, reply};

const INTERVAL: time::Duration = time::Duration::from_millis(40);

fn stream(id: &str) -> exchange::request::ExchangeRequest {
    cluster::request(id, catalog::ExchangeKind::Stream)
}

fn script_both(plane: &cluster::TestPlane, script: &ServerScript) {
    for server in ["e1", "e2"] {
        plane.port().push_script(server, script.clone());
    }
}

#[test]
fn a_stream_is_forwarded_completely() {
    cluster::run(async {
        let plane = cluster::plane();
        script_both(&plane, &ServerScript::Events(30, INTERVAL));
        let reply = plane.serve(stream("a")).await.expect("served");
        let read = cluster::read(cluster::parts(reply)).await;
        assert_eq!(
            read,
            cluster::ReadStream {
                text: cluster::events(30),
                complete: true
            }
        );
        let seen = plane.port().seen.borrow();
        assert!(seen[0].reservation.is_some(), "memory was reserved first");
    });
}

#[test]
fn a_stream_that_breaks_off_never_looks_complete() {
    // Guards against a truncated stream that looks complete: the engine crashes within an event,
    // and there is no copy.
    cluster::run(async {
        let plane = cluster::plane();
        plane.state().settings.backups = false;
        script_both(&plane, &ServerScript::Breaks(5, INTERVAL));
        let reply = plane.serve(stream("a")).await.expect("head");
        let read = cluster::read(cluster::parts(reply)).await;
        assert_eq!(
            read,
            cluster::ReadStream {
                text: cluster::events(5),
                complete: false
            }
        );
        assert_eq!(
            plane.port().seen.borrow().len(),
            1,
            "the stream is not retried"
        );
    });
}

#[test]
fn a_stream_continues_on_its_backup_after_a_crash() {
    // Guards against losing a stream whose run has a copy, and against a continuation that repeats
    // events or joins a partial one: the engine crashes within an event, and the other engine has
    // the copy.
    cluster::run(async {
        let plane = cluster::plane();
        script_both(&plane, &ServerScript::Breaks(5, INTERVAL));
        script_both(&plane, &ServerScript::Events(20, INTERVAL));
        let reply = plane.serve(stream("a")).await.expect("served");
        // Whichever engine was first, the other one uses its second script only on its second call.
        let first = plane.port().seen.borrow()[0].clone();
        let other = if first.server == "e1" { "e2" } else { "e1" };
        plane
            .port()
            .scripts
            .borrow_mut()
            .get_mut(other)
            .expect("script")
            .pop_front();
        let read = cluster::read(cluster::parts(reply)).await;
        assert_eq!(
            read,
            cluster::ReadStream {
                text: cluster::events(20),
                complete: true
            }
        );
        let seen = plane.port().seen.borrow();
        let resume = seen[1].resume.clone().expect("from a copy");
        assert_eq!(seen[1].server, other);
        assert_eq!(resume.handle, "a");
        assert_eq!(resume.last_event.as_deref(), Some("4"));
        assert_eq!(Some(resume.origin), first.backup);
    });
}

#[test]
fn a_stream_continues_from_the_copy_of_an_unfinished_move() {
    // Guards against releasing copies of unfinished moves: five runs leave an engine whose link
    // copies one after the other, the last part of the first run waits behind the others, and the
    // engine is gone before it is copied. The run must continue from the part copied before.
    cluster::run(async {
        let plane = cluster::plane();
        plane.state().settings.backups = false;
        cluster::start(&plane);
        let reply = {
            for server in ["e1", "e2"] {
                plane
                    .port()
                    .push_script(server, ServerScript::Breaks(20, INTERVAL));
            }
            plane.serve(stream("a")).await.expect("served")
        };
        let first = plane.port().seen.borrow()[0].server.clone();
        let (number, other) = if first == "e1" {
            (11, "e2")
        } else {
            (12, "e1")
        };
        plane.port().scripts.borrow_mut().clear();
        plane
            .port()
            .push_script(other, ServerScript::Events(60, INTERVAL));
        {
            let mut copies = plane.port().copies.borrow_mut();
            copies.push_back(Ok(port::CopyDone {
                handle: String::from("h7"),
                events: 6,
            }));
            copies.push_back(Err(port::CopyFault::Unreachable));
            for _ in 0..100 {
                copies.push_back(Err(port::CopyFault::Unreachable));
            }
        }
        tokio::time::sleep(INTERVAL * 6).await;
        cluster::leave(&plane, &first, number);
        let read = cluster::read(cluster::parts(reply)).await;
        assert!(read.complete);
        assert_eq!(read.text, cluster::events(60));
        let seen = plane.port().seen.borrow();
        assert_eq!(seen.len(), 2, "one run, resumed once");
        let resume = seen[1].resume.clone().expect("from the copy");
        assert_eq!(
            (seen[1].server.as_str(), resume.handle.as_str()),
            (other, "h7")
        );
        assert_eq!(resume.last_event.as_deref(), Some("19"));
    });
}

#[test]
fn a_stream_on_a_leaving_engine_is_moved() {
    // Guards against losing streams on reclaimed engines: the engine is told to leave while the
    // stream runs, and there is no proactive copy. The run is copied while it continues, then
    // stopped, copied again and continued on the other engine.
    cluster::run(async {
        let plane = cluster::plane();
        plane.state().settings.backups = false;
        cluster::start(&plane);
        script_both(&plane, &ServerScript::Events(100, INTERVAL));
        let reply = plane.serve(stream("a")).await.expect("served");
        let first = plane.port().seen.borrow()[0].server.clone();
        let (number, other) = if first == "e1" {
            (11, "e2")
        } else {
            (12, "e1")
        };
        tokio::time::sleep(INTERVAL * 6).await;
        cluster::leave(&plane, &first, number);
        let read = cluster::read(cluster::parts(reply)).await;
        assert_eq!(
            read,
            cluster::ReadStream {
                text: cluster::events(100),
                complete: true
            }
        );
        let copied: Vec<_> = plane
            .port()
            .copied
            .borrow()
            .iter()
            .map(|copy| copy.2)
            .collect();
        assert_eq!(copied, [false, true], "copied while running, then stopped");
        let seen = plane.port().seen.borrow();
        assert_eq!(seen[1].server, other);
        assert_eq!(seen[1].resume.as_ref().expect("copy").handle, "h1");
    });
}

#[test]
fn a_stopped_run_continues_on_its_source_if_the_target_is_full() {
    // Guards against losing a run that was stopped for a move: the last copy finds no memory on the
    // target, and the source keeps the stopped run under the handle in the error.
    cluster::run(async {
        let plane = cluster::plane();
        plane.state().settings.backups = false;
        cluster::start(&plane);
        script_both(&plane, &ServerScript::Events(100, INTERVAL));
        script_both(&plane, &ServerScript::Events(100, INTERVAL));
        let done = port::CopyDone {
            handle: String::from("h0"),
            events: 1,
        };
        let full = port::CopyFault::NoRoom(Some(String::from("h1")));
        plane
            .port()
            .copies
            .borrow_mut()
            .extend([Ok(done), Err(full)]);
        let reply = plane.serve(stream("a")).await.expect("served");
        let first = plane.port().seen.borrow()[0].server.clone();
        tokio::time::sleep(INTERVAL * 6).await;
        cluster::leave(&plane, &first, if first == "e1" { 11 } else { 12 });
        let read = cluster::read(cluster::parts(reply)).await;
        assert!(read.complete);
        assert_eq!(read.text, cluster::events(100));
        let seen = plane.port().seen.borrow();
        assert_eq!(seen[1].server, first);
        assert_eq!(seen[1].resume.as_ref().expect("copy").handle, "h1");
    });
}

#[test]
fn a_full_engine_is_not_sent_a_stream() {
    // Guards against streams that wait in an engine's queue and are lost with it: load reports of
    // other VMs are outdated and show free memory; only the engine's reservation is reliable.
    cluster::run(async {
        let plane = cluster::plane();
        cluster::start(&plane);
        plane.port().full.borrow_mut().insert(String::from("e1"));
        for number in 0..4 {
            let id = format!("a{number}");
            let reply = plane.serve(stream(&id)).await.expect("served");
            drop(reply);
        }
        assert!(
            plane
                .port()
                .seen
                .borrow()
                .iter()
                .all(|seen| seen.server == "e2")
        );
    });
}

#[test]
fn a_stream_without_capacity_is_refused_before_its_caller_leaves() {
    // Guards against holding a stream until its caller leaves: all engines stay full, and callers
    // leave after four times the target latency, long before the deadline of 39 s.
    cluster::run(async {
        let plane = cluster::plane();
        cluster::start(&plane);
        plane
            .port()
            .full
            .borrow_mut()
            .extend([String::from("e1"), String::from("e2")]);
        let started = tokio::time::Instant::now();
        let refusal = plane.serve(stream("a")).await.expect_err("no capacity");
        assert!(started.elapsed() < time::Duration::from_millis(4 * 1_800));
        assert_eq!(refusal.ran, outcome::RanState::No);
        assert!(refusal.retry_after.is_some());
        assert!(plane.port().seen.borrow().is_empty());
    });
}

#[test]
fn a_stream_is_cancelled_when_its_caller_leaves() {
    // Guards against runs whose caller has left in the middle of the stream.
    cluster::run(async {
        let plane = cluster::plane();
        script_both(&plane, &ServerScript::Events(1_000, INTERVAL));
        let reply = plane.serve(stream("a")).await.expect("served");
        tokio::time::sleep(INTERVAL * 3).await;
        drop(reply);
        tokio::time::sleep(time::Duration::from_millis(200)).await;
        assert_eq!(plane.state().fleet.runs().count(), 0);
        assert!(plane.port().open.borrow().values().all(|open| *open == 0));
        assert_eq!(plane.open_requests(), 0);
    });
}

#[test]
fn a_stream_lost_before_its_head_is_not_retried() {
    // Guards against running one stream on two engines: the connection breaks before the head,
    // while the engine may be in prefill. No event yet does not mean not run.
    cluster::run(async {
        let plane = cluster::plane();
        script_both(&plane, &ServerScript::Lost);
        let refusal = plane.serve(stream("a")).await.expect_err("lost");
        assert_eq!(refusal.ran, outcome::RanState::Unknown);
        assert_eq!(plane.port().seen.borrow().len(), 1);
    });
}

#[test]
fn a_request_that_crashed_two_engines_is_quarantined() {
    // Guards against one request that crashes each engine that starts it, with all its streams, and
    // is retried.
    cluster::run(async {
        let plane = cluster::plane();
        plane.state().settings.backups = false;
        let board = std::rc::Rc::new(cluster::crashing::CrashBoard::default());
        board.bad_requests.borrow_mut().insert(77);
        *plane.port().crashing.borrow_mut() = Some(board.clone());
        let mut causes = Vec::new();
        for _ in 0..6 {
            let mut request = stream("a");
            request.fingerprint = 77;
            match plane.serve(request).await {
                Ok(reply) => assert!(!cluster::read(cluster::parts(reply)).await.complete),
                Err(refusal) => causes.push(refusal.cause),
            }
            tokio::time::sleep(time::Duration::from_secs(3)).await;
            board.restart_all();
        }
        assert!(causes.contains(&reply::RefusalCause::Quarantined));
        let crashed = board.arrivals.borrow().len();
        assert!(crashed <= 4, "it reached engines {crashed} times");
    });
}

#[test]
fn a_stream_sent_to_a_silent_engine_may_have_run() {
    // Guards against reporting a stream as not run while its engine runs it: the engine accepts the
    // request and stays silent until the time limit.
    cluster::run(async {
        let plane = cluster::plane();
        script_both(&plane, &ServerScript::Silent);
        let refusal = plane.serve(stream("a")).await.expect_err("out of time");
        assert_eq!(refusal.ran, outcome::RanState::Unknown);
        assert_eq!(refusal.cause, reply::RefusalCause::Timeout);
    });
}

#[test]
fn a_stopping_vm_refuses_streams_that_it_cannot_finish() {
    // Guards against truncating streams at the end of a stop: a caller with an outdated lookup
    // sends a stream late in the grace period.
    cluster::run(async {
        let plane = cluster::plane();
        script_both(&plane, &ServerScript::Events(20, INTERVAL));
        plane.stop(cluster::GRACE);
        tokio::time::sleep(time::Duration::from_secs(1)).await;
        let reply = plane.serve(stream("a")).await.expect("early enough");
        assert!(cluster::read(cluster::parts(reply)).await.complete);
        tokio::time::sleep(time::Duration::from_secs(1)).await;
        let refusal = plane.serve(stream("b")).await.expect_err("too late");
        assert_eq!(refusal.cause, reply::RefusalCause::Stopping);
        assert_eq!(refusal.ran, outcome::RanState::No);
        let mut call = cluster::request("c", catalog::ExchangeKind::Once);
        call.limit = tokio::time::Instant::now() + time::Duration::from_secs(1);
        let call = plane.serve(call).await;
        assert!(call.is_ok(), "a call still ends in time");
        let call = cluster::request("d", catalog::ExchangeKind::Once);
        let refusal = plane.serve(call).await.expect_err("may outlast the stop");
        assert_eq!(refusal.cause, reply::RefusalCause::Stopping);
        assert_eq!(refusal.ran, outcome::RanState::No);
        assert_eq!(plane.port().seen.borrow().len(), 2);
    });
}

//! Tests of the choice of the target of a move, and of what follows where there is none.

mod cluster;

use std::time;

use cluster::engines;
use exchange::{catalog, place, port};
use tokio::time::Instant;

#[test]
fn runs_that_move_together_stay_in_their_failure_domain() {
    // Guards against truncated streams of an engine that is gone 1.4 s after its notice: each run
    // was copied to an idle engine of another domain, which took 0.31 s per run, because a single
    // prompt in prefill on the engine of their own domain counted for more.
    cluster::run(async {
        let now = Instant::now();
        let mut fleet = engines::fleet_of(3);
        let [source, other, near] = ["e1", "e2", "e3"].map(|id| fleet.find(id).expect("known"));
        for _ in 0..5 {
            fleet.start(engines::run(source, 2_600, true));
        }
        fleet.start(engines::run(near, 2_600, false));
        let request = place::CopyRequest {
            source,
            tokens: 3_000,
            proactive: false,
            service: "llm",
            need: exchange::pauses::PauseNeed::default(),
        };
        let engine = cluster::engine_rule();
        for seed in 0..40 {
            let mut rng: rand::rngs::StdRng = rand::SeedableRng::seed_from_u64(seed);
            let chosen = place::choose_copy(&fleet, &engine, &request, now, &mut rng);
            assert_eq!(chosen, Some(near));
        }
        // If no engine of the domain has memory, one of another domain is chosen.
        for _ in 0..5 {
            fleet.start(engines::run(near, 3_000, true));
        }
        let chosen = place::choose_copy(&fleet, &engine, &request, now, &mut engines::rng());
        assert_eq!(chosen, Some(other));
    });
}

#[test]
fn a_stream_whose_copies_find_no_room_is_not_sent_again_and_again() {
    // Guards against a run that is stopped, finds no room, goes on where it was, and is stopped
    // again at once: each time is a repeat.
    cluster::run(async {
        let plane = cluster::plane();
        plane.state().settings.backups = false;
        cluster::start(&plane);
        for server in ["e1", "e2"] {
            for _ in 0..100 {
                let script = cluster::ServerScript::Events(400, time::Duration::from_millis(20));
                plane.port().push_script(server, script);
            }
        }
        for _ in 0..200 {
            let no_room = port::CopyFault::NoRoom(Some(String::from("h1")));
            plane.port().copies.borrow_mut().push_back(Err(no_room));
        }
        let request = cluster::request("r1", catalog::ExchangeKind::Stream);
        let reply = plane.serve(request).await.expect("served");
        let server = plane.port().seen.borrow()[0].server.clone();
        let number = if server == "e1" { 11 } else { 12 };
        cluster::leave(&plane, &server, number);
        tokio::task::spawn_local(cluster::read(cluster::parts(reply)));
        tokio::time::sleep(time::Duration::from_secs(4)).await;
        let sent = plane.port().seen.borrow().len();
        assert!(sent <= 8, "{sent} attempts in four seconds");
        assert_eq!(plane.state().fleet.runs().count(), 1, "it goes on");
    });
}

#[test]
fn a_stream_does_not_go_on_at_a_backup_that_left_long_ago() {
    // Guards against work for a server that leaves, seconds after its notice.
    cluster::run(async {
        let plane = cluster::plane();
        cluster::start(&plane);
        for server in ["e1", "e2"] {
            let script = cluster::ServerScript::Breaks(100, time::Duration::from_millis(50));
            plane.port().push_script(server, script);
        }
        let request = cluster::request("r1", catalog::ExchangeKind::Stream);
        let reply = plane.serve(request).await.expect("served");
        let (server, backup) = {
            let seen = plane.port().seen.borrow();
            (seen[0].server.clone(), seen[0].backup)
        };
        assert!(backup.is_some());
        let (other, number) = if server == "e1" {
            ("e2", 12)
        } else {
            ("e1", 11)
        };
        tokio::time::sleep(time::Duration::from_secs(1)).await;
        cluster::leave(&plane, other, number);
        let read = cluster::read(cluster::parts(reply)).await;
        assert!(!read.complete, "nothing is left to go on from");
        assert_eq!(plane.port().seen.borrow().len(), 1);
    });
}

/// Plays a stream without length on a server that leaves, whose calls to stop it get these results.
/// Returns the plane and what the caller got.
async fn play_stop(
    results: Vec<Result<port::CopyDone, port::CopyFault>>,
) -> (cluster::TestPlane, cluster::ReadStream) {
    let plane = cluster::plane();
    plane.state().settings.backups = false;
    plane.port().undelimited.set(true);
    cluster::start(&plane);
    for server in ["e1", "e2"] {
        for _ in 0..2 {
            let script = cluster::ServerScript::Events(200, time::Duration::from_millis(20));
            plane.port().push_script(server, script);
        }
    }
    let request = cluster::request("r1", catalog::ExchangeKind::Stream);
    let reply = plane.serve(request).await.expect("served");
    let server = plane.port().seen.borrow()[0].server.clone();
    // While it is copied first, the run goes on.
    let first = port::CopyDone {
        handle: String::from("h1"),
        events: 3,
    };
    let results = std::iter::once(Ok(first)).chain(results);
    plane.port().copies.borrow_mut().extend(results);
    let number = if server == "e1" { 11 } else { 12 };
    cluster::leave(&plane, &server, number);
    let read = cluster::read(cluster::parts(reply)).await;
    (plane, read)
}

#[test]
fn a_run_that_may_have_been_stopped_goes_on_from_its_memory() {
    // Guards against a stream that is lost, or ends early as complete, because the connection of the call
    // that stops it was reset: the server keeps its memory, and answers a repeated call.
    let done = || {
        Ok(port::CopyDone {
            handle: String::from("h2"),
            events: 9,
        })
    };
    let (lost, busy) = (port::CopyFault::Unreachable, port::CopyFault::Busy);
    for busy_calls in [0, 1, 6] {
        cluster::run(async {
            let mut results = vec![Err(lost.clone())];
            results.extend(vec![Err(busy.clone()); busy_calls]);
            results.push(done());
            let (plane, read) = play_stop(results).await;
            assert!(read.complete, "{busy_calls}: {}", read.text.len());
            assert_eq!(read.text, cluster::events(200));
            let seen = plane.port().seen.borrow();
            let resume = seen.last().and_then(|call| call.resume.clone());
            assert_eq!(resume.map(|resume| resume.handle), Some(String::from("h2")));
        });
    }
}

#[test]
fn a_run_that_may_have_been_stopped_never_ends_as_complete() {
    // Guards against a stream that ends early as complete: after a call without an answer, neither "no
    // such run" nor "another call is in progress" proves that it was not stopped.
    for fault in [
        port::CopyFault::Busy,
        port::CopyFault::NoRun,
        port::CopyFault::Unreachable,
    ] {
        cluster::run(async {
            let mut results = vec![Err(port::CopyFault::Unreachable)];
            results.extend(vec![Err(fault.clone()); 60]);
            let (plane, read) = play_stop(results).await;
            let all = read.text == cluster::events(200);
            assert!(!read.complete || all, "{fault:?}: {}", read.text.len());
            let calls = plane.port().copied.borrow().len();
            assert!(calls <= 24, "{fault:?}: {calls} calls");
        });
    }
}

//! Streams: each event once and in order, from a single run, wherever it goes on.

mod world;

use std::time;

use base::outcome;
use exchange::{catalog, port, reply};
use world::ServerScript;

const GAP: time::Duration = time::Duration::from_millis(40);

fn stream(id: &str) -> exchange::request::ExchangeRequest {
    world::ask(id, catalog::ExchangeKind::Stream)
}

fn both(plane: &world::TestPlane, script: &ServerScript) {
    for server in ["e1", "e2"] {
        plane.port().tell(server, script.clone());
    }
}

#[test]
fn a_stream_is_passed_on_whole() {
    world::run(async {
        let plane = world::plane();
        both(&plane, &ServerScript::Events(30, GAP));
        let reply = plane.serve(stream("a")).await.expect("served");
        let read = world::read(world::parts(reply)).await;
        assert_eq!(
            read,
            world::ReadStream {
                text: world::events(30),
                whole: true
            }
        );
        let seen = plane.port().seen.borrow();
        assert!(seen[0].reservation.is_some(), "memory was set aside first");
    });
}

#[test]
fn a_stream_that_breaks_off_never_looks_whole() {
    // Symptom: half a review passes for a whole one.
    // Sequence: the engine dies in the middle of an event, no copy is kept.
    // Cause: the end of the channel taken for the end of the answer.
    world::run(async {
        let plane = world::plane();
        plane.state().settings.backups = false;
        both(&plane, &ServerScript::Breaks(5, GAP));
        let reply = plane.serve(stream("a")).await.expect("head");
        let read = world::read(world::parts(reply)).await;
        assert_eq!(
            read,
            world::ReadStream {
                text: world::events(5),
                whole: false
            }
        );
        assert_eq!(plane.port().seen.borrow().len(), 1, "it is not run again");
    });
}

#[test]
fn a_stream_whose_engine_dies_goes_on_at_its_backup() {
    // Symptom: a review is cut although a copy of its run is kept elsewhere.
    // Sequence: the engine dies within an event; the copy is at the other engine.
    // Cause: no continuation; or one that repeats or joins the half event.
    world::run(async {
        let plane = world::plane();
        both(&plane, &ServerScript::Breaks(5, GAP));
        both(&plane, &ServerScript::Events(20, GAP));
        let reply = plane.serve(stream("a")).await.expect("served");
        // Whichever engine came first, the other answers its second script only when asked twice.
        let first = plane.port().seen.borrow()[0].clone();
        let other = if first.server == "e1" { "e2" } else { "e1" };
        plane
            .port()
            .scripts
            .borrow_mut()
            .get_mut(other)
            .expect("script")
            .pop_front();
        let read = world::read(world::parts(reply)).await;
        assert_eq!(
            read,
            world::ReadStream {
                text: world::events(20),
                whole: true
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
fn a_stream_whose_engine_is_gone_before_it_has_moved_goes_on_from_what_was_copied() {
    // Symptom: four of five streams are cut as an engine is reclaimed, though each was copied.
    // Sequence: five runs leave an engine; its link copies one after the other. The rest of the first
    // waits behind the others, and the engine is gone.
    // Cause: what had been copied was released, since the move was not finished.
    world::run(async {
        let plane = world::plane();
        plane.state().settings.backups = false;
        world::start(&plane);
        let reply = {
            for server in ["e1", "e2"] {
                plane.port().tell(server, ServerScript::Breaks(20, GAP));
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
        plane.port().tell(other, ServerScript::Events(60, GAP));
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
        tokio::time::sleep(GAP * 6).await;
        world::leave(&plane, &first, number);
        let read = world::read(world::parts(reply)).await;
        assert!(read.whole);
        assert_eq!(read.text, world::events(60));
        let seen = plane.port().seen.borrow();
        assert_eq!(seen.len(), 2, "one run, gone on once");
        let resume = seen[1].resume.clone().expect("from the copy");
        assert_eq!(
            (seen[1].server.as_str(), resume.handle.as_str()),
            (other, "h7")
        );
        assert_eq!(resume.last_event.as_deref(), Some("19"));
    });
}

#[test]
fn a_stream_on_a_leaving_engine_is_copied_and_goes_on_elsewhere() {
    // Symptom: four in ten reviews are cut when engines are reclaimed.
    // Sequence: the engine is told to leave while the stream runs; no copy is kept.
    // Cause: runs left where they are. Here: copied while it runs, stopped, copied, gone on.
    world::run(async {
        let plane = world::plane();
        plane.state().settings.backups = false;
        world::start(&plane);
        both(&plane, &ServerScript::Events(100, GAP));
        let reply = plane.serve(stream("a")).await.expect("served");
        let first = plane.port().seen.borrow()[0].server.clone();
        let (number, other) = if first == "e1" {
            (11, "e2")
        } else {
            (12, "e1")
        };
        tokio::time::sleep(GAP * 6).await;
        world::leave(&plane, &first, number);
        let read = world::read(world::parts(reply)).await;
        assert_eq!(
            read,
            world::ReadStream {
                text: world::events(100),
                whole: true
            }
        );
        let copied: Vec<_> = plane
            .port()
            .copied
            .borrow()
            .iter()
            .map(|copy| copy.2)
            .collect();
        assert_eq!(copied, [false, true], "first while it runs, then stopped");
        let seen = plane.port().seen.borrow();
        assert_eq!(seen[1].server, other);
        assert_eq!(seen[1].resume.as_ref().expect("copy").handle, "h1");
    });
}

#[test]
fn a_stopped_run_without_room_goes_on_where_it_was() {
    // Symptom: a run that was stopped to be moved is lost.
    // Sequence: the last copy finds no room; the source keeps the stopped run.
    // Cause: the handle in the refusal not used.
    world::run(async {
        let plane = world::plane();
        plane.state().settings.backups = false;
        world::start(&plane);
        both(&plane, &ServerScript::Events(100, GAP));
        both(&plane, &ServerScript::Events(100, GAP));
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
        tokio::time::sleep(GAP * 6).await;
        world::leave(&plane, &first, if first == "e1" { 11 } else { 12 });
        let read = world::read(world::parts(reply)).await;
        assert!(read.whole);
        assert_eq!(read.text, world::events(100));
        let seen = plane.port().seen.borrow();
        assert_eq!(seen[1].server, first);
        assert_eq!(seen[1].resume.as_ref().expect("copy").handle, "h1");
    });
}

#[test]
fn a_full_engine_is_not_sent_a_stream() {
    // Symptom: streams wait in an engine's queue until it is reclaimed, and die with it.
    // Sequence: beliefs say that there is room, the engine has none.
    // Cause: beliefs of other VMs' loads are old; only the engine knows its memory.
    world::run(async {
        let plane = world::plane();
        world::start(&plane);
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
fn a_stream_without_room_is_refused_before_its_caller_leaves() {
    // Symptom: callers wait seven seconds for a stream that never starts, and leave.
    // Sequence: all engines stay full.
    // Cause: patience measured by the deadline of 39 s, while callers leave after four aims.
    world::run(async {
        let plane = world::plane();
        world::start(&plane);
        plane
            .port()
            .full
            .borrow_mut()
            .extend([String::from("e1"), String::from("e2")]);
        let began = tokio::time::Instant::now();
        let refusal = plane.serve(stream("a")).await.expect_err("no room");
        assert!(began.elapsed() < time::Duration::from_millis(4 * 1_800));
        assert_eq!(refusal.ran, outcome::RanState::No);
        assert!(refusal.retry_after.is_some());
        assert!(plane.port().seen.borrow().is_empty());
    });
}

#[test]
fn a_stream_is_given_up_when_its_caller_leaves() {
    // Symptom: engines work for callers that are gone.
    // Sequence: the caller leaves in the middle of its stream.
    // Cause: the run held by a task that nobody ends.
    world::run(async {
        let plane = world::plane();
        both(&plane, &ServerScript::Events(1_000, GAP));
        let reply = plane.serve(stream("a")).await.expect("served");
        tokio::time::sleep(GAP * 3).await;
        drop(reply);
        tokio::time::sleep(time::Duration::from_millis(200)).await;
        assert_eq!(plane.state().fleet.runs().count(), 0);
        assert!(plane.port().open.borrow().values().all(|open| *open == 0));
        assert_eq!(plane.open_requests(), 0);
    });
}

#[test]
fn a_stream_lost_before_its_head_is_not_run_again() {
    // Symptom: one stream runs on two engines.
    // Sequence: the connection breaks before the head; the engine may be reading the prompt.
    // Cause: "no event yet" taken for "not run".
    world::run(async {
        let plane = world::plane();
        both(&plane, &ServerScript::Lost);
        let refusal = plane.serve(stream("a")).await.expect_err("lost");
        assert_eq!(refusal.ran, outcome::RanState::Unknown);
        assert_eq!(plane.port().seen.borrow().len(), 1);
    });
}

#[test]
fn a_request_that_crashes_engines_is_kept_away_after_two() {
    // Symptom: one dossier takes engine after engine down, each with all its streams.
    // Sequence: the request kills each engine that begins it, and comes again.
    // Cause: nobody connects the crashes.
    world::run(async {
        let plane = world::plane();
        plane.state().settings.backups = false;
        both(&plane, &ServerScript::Breaks(0, GAP));
        let mut told = Vec::new();
        for _ in 0..6 {
            let mut ask = stream("a");
            ask.fingerprint = 77;
            match plane.serve(ask).await {
                Ok(reply) => assert!(!world::read(world::parts(reply)).await.whole),
                Err(refusal) => told.push(refusal.cause),
            }
            tokio::time::sleep(time::Duration::from_secs(3)).await;
        }
        assert!(told.contains(&reply::RefusalCause::Quarantined));
        let crashed = plane.port().seen.borrow().len();
        assert!(crashed <= 4, "it reached engines {crashed} times");
    });
}

#[test]
fn a_stream_sent_to_a_silent_engine_may_have_run() {
    // Symptom: a caller is told 503 ("not run") of a stream that its engine was running.
    // Sequence: the engine takes the request and stays silent until the time is up.
    // Cause: what was sent counted as not run until its answer said otherwise.
    world::run(async {
        let plane = world::plane();
        both(&plane, &ServerScript::Silent);
        let refusal = plane.serve(stream("a")).await.expect_err("out of time");
        assert_eq!(refusal.ran, outcome::RanState::Unknown);
        assert_eq!(refusal.cause, reply::RefusalCause::Timeout);
    });
}

#[test]
fn a_vm_that_stops_takes_no_stream_that_it_can_not_finish() {
    // Symptom: a review that was taken six seconds after its VM was told to stop is cut.
    // Sequence: a stop; a caller that kept an old lookup sends a stream late in the grace time.
    // Cause: whatever still came was taken, until the process ended.
    world::run(async {
        let plane = world::plane();
        both(&plane, &ServerScript::Events(20, GAP));
        plane.stop();
        tokio::time::sleep(time::Duration::from_secs(1)).await;
        let reply = plane.serve(stream("a")).await.expect("early enough");
        assert!(world::read(world::parts(reply)).await.whole);
        tokio::time::sleep(time::Duration::from_secs(1)).await;
        let refusal = plane.serve(stream("b")).await.expect_err("too late");
        assert_eq!(refusal.cause, reply::RefusalCause::Stopping);
        assert_eq!(refusal.ran, outcome::RanState::No);
        let call = plane
            .serve(world::ask("c", catalog::ExchangeKind::Once))
            .await;
        assert!(call.is_ok(), "a call still ends in time");
        assert_eq!(plane.port().seen.borrow().len(), 2);
    });
}

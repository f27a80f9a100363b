//! Tests of streams that break off: whether their servers state where a body ends or not, callers
//! get complete events only, and an end only if the stream has one.

mod cluster;

use std::time;

use bytes::Bytes;
use cluster::{BodyEnd, ServerScript};
use exchange::{catalog, event, port};

/// Events of the stream before it breaks off, and of the whole stream.
const FIRST_EVENTS: u32 = 3;
const ALL_EVENTS: u32 = 12;
const INTERVAL: time::Duration = time::Duration::from_millis(10);

fn stream() -> exchange::request::ExchangeRequest {
    cluster::request("a", catalog::ExchangeKind::Stream)
}

/// The first bytes of a stream, in parts of at most `part_bytes`.
fn cut_stream(length: usize, part_bytes: usize, end: BodyEnd, delimited: bool) -> ServerScript {
    let text = cluster::events(FIRST_EVENTS);
    let parts = text.as_bytes()[..length].chunks(part_bytes);
    let given = cluster::GivenBody {
        parts: parts.map(Bytes::copy_from_slice).collect(),
        end,
        delimited,
    };
    ServerScript::Body(200, given)
}

/// Lets the first engine answer with `first`, and the other one with all events that remain.
async fn read_stream(
    plane: &cluster::TestPlane,
    first: &ServerScript,
) -> Option<cluster::ReadStream> {
    for server in ["e1", "e2"] {
        plane.port().push_script(server, first.clone());
    }
    let reply = plane.serve(stream()).await.ok()?;
    let rest = ServerScript::Events(ALL_EVENTS, INTERVAL);
    let first = plane.port().seen.borrow()[0].server.clone();
    let other = if first == "e1" { "e2" } else { "e1" };
    plane.port().scripts.borrow_mut().remove(other);
    for server in ["e1", "e2"] {
        plane.port().push_script(server, rest.clone());
    }
    Some(cluster::read(cluster::parts(reply)).await)
}

/// Number of complete events in the first bytes of a stream, and whether these end there.
fn events_in(length: usize) -> (u32, bool) {
    let text = &cluster::events(FIRST_EVENTS)[..length];
    let events = text.matches("\n\n").count();
    let events = u32::try_from(events).expect("few");
    (events, cluster::events(events).len() == length)
}

/// Calls `check` with each way in which a stream can end: after each byte, with and without a
/// stated end, closed and reset.
fn for_each_end(check: impl Fn(usize, usize, BodyEnd, bool)) {
    for length in 0..=cluster::events(FIRST_EVENTS).len() {
        for part_bytes in [1, 7, 1_000] {
            for delimited in [false, true] {
                for end in [BodyEnd::Closed, BodyEnd::Reset] {
                    check(length, part_bytes, end, delimited);
                }
            }
        }
    }
}

/// Whether a stream that ended in this way is whole.
fn is_whole(length: usize, end: BodyEnd, delimited: bool) -> bool {
    let (events, between_events) = events_in(length);
    end == BodyEnd::Closed && between_events && (delimited || events > 0)
}

#[test]
fn a_stream_that_ends_inside_an_event_goes_on_from_its_copy() {
    // Guards against a partial event and the end of the connection that reach the caller as a
    // complete stream.
    for_each_end(|length, part_bytes, end, delimited| {
        cluster::run(async move {
            let plane = cluster::plane();
            let first = cut_stream(length, part_bytes, end, delimited);
            let read = read_stream(&plane, &first).await.expect("a head");
            let whole = is_whole(length, end, delimited);
            let events = if whole {
                events_in(length).0
            } else {
                ALL_EVENTS
            };
            let what = format!("{length} bytes, {end:?}, delimited: {delimited}");
            assert_eq!(read.text, cluster::events(events), "{what}");
            assert!(read.complete, "{what}");
        });
    });
}

#[test]
fn a_stream_that_ends_inside_an_event_never_looks_complete() {
    // Guards against the same where no copy is left.
    for_each_end(|length, part_bytes, end, delimited| {
        cluster::run(async move {
            let plane = cluster::plane();
            plane.state().settings.backups = false;
            let first = cut_stream(length, part_bytes, end, delimited);
            let read = read_stream(&plane, &first).await.expect("a head");
            let what = format!("{length} bytes, {end:?}, delimited: {delimited}");
            assert_eq!(read.text, cluster::events(events_in(length).0), "{what}");
            assert_eq!(read.complete, is_whole(length, end, delimited), "{what}");
            assert_eq!(plane.port().seen.borrow().len(), 1, "{what}");
        });
    });
}

#[test]
fn a_continued_stream_that_ends_inside_an_event_never_looks_complete() {
    // Guards against the same for a run that has already gone on elsewhere.
    cluster::run(async {
        let plane = cluster::plane();
        plane.port().undelimited.set(true);
        for server in ["e1", "e2"] {
            let breaks = ServerScript::Breaks(2, INTERVAL);
            plane.port().push_script(server, breaks);
            for _ in 0..40 {
                let breaks = ServerScript::Breaks(ALL_EVENTS / 2, INTERVAL);
                plane.port().push_script(server, breaks);
            }
        }
        let reply = plane.serve(stream()).await.expect("a head");
        let read = cluster::read(cluster::parts(reply)).await;
        assert_eq!(read.text, cluster::events(ALL_EVENTS / 2));
        assert!(!read.complete);
        assert!(plane.port().seen.borrow().len() > 1, "it went on elsewhere");
    });
}

/// Plays a stream on an engine that leaves, where the copy that stops the run gets `answer`.
async fn move_stream(interval: time::Duration, answer: port::CopyFault) -> cluster::ReadStream {
    let plane = cluster::plane();
    plane.state().settings.backups = false;
    plane.port().undelimited.set(true);
    cluster::start(&plane);
    for server in ["e1", "e2"] {
        let events = ServerScript::Events(40, interval);
        plane.port().push_script(server, events);
    }
    let spare = port::CopyDone {
        handle: String::from("h7"),
        events: 2,
    };
    let copies = [Ok(spare), Err(answer)];
    plane.port().copies.borrow_mut().extend(copies);
    let reply = plane.serve(stream()).await.expect("a head");
    let first = plane.port().seen.borrow()[0].server.clone();
    let number = if first == "e1" { 11 } else { 12 };
    tokio::time::sleep(interval * 6).await;
    cluster::leave(&plane, &first, number);
    cluster::read(cluster::parts(reply)).await
}

#[test]
fn a_stopped_run_whose_copy_failed_never_looks_complete() {
    // Guards against the stream of a stopped run, which its server closes without an end, taken for
    // a whole one when the answer to the copy is lost: before that answer, or later.
    let faults = [port::CopyFault::Unreachable, port::CopyFault::NoRoom(None)];
    for fault in faults {
        for interval in [3, 40] {
            let fault = fault.clone();
            cluster::run(async move {
                let interval = time::Duration::from_millis(interval);
                let read = move_stream(interval, fault.clone()).await;
                let what = format!("{fault:?}, events every {interval:?}");
                assert!(read.complete, "{what}: it goes on from the first copy");
                assert_eq!(read.text, cluster::events(40), "{what}");
            });
        }
    }
}

#[test]
fn a_run_that_ended_before_its_copy_is_whole() {
    cluster::run(async {
        for fault in [port::CopyFault::NoRun, port::CopyFault::Busy] {
            let interval = time::Duration::from_millis(40);
            let read = move_stream(interval, fault).await;
            assert_eq!(read.text, cluster::events(40));
            assert!(read.complete);
        }
    });
}

#[test]
fn a_stream_broken_off_in_a_large_event_does_not_go_on() {
    // Guards against an event that reaches the caller twice: the first part of one that exceeds the
    // buffer was forwarded before the stream broke off.
    const LARGE_EVENT_BYTES: usize = 400_000;
    for end in [BodyEnd::Closed, BodyEnd::Reset] {
        for delimited in [false, true] {
            cluster::run(async move {
                let plane = cluster::plane();
                let large = format!("id: 1\ndata: {}", "x".repeat(LARGE_EVENT_BYTES));
                let parts = vec![Bytes::from(cluster::events(1)), Bytes::from(large)];
                let given = cluster::GivenBody {
                    parts,
                    end,
                    delimited,
                };
                let first = ServerScript::Body(200, given);
                let read = read_stream(&plane, &first).await.expect("a head");
                assert!(!read.complete, "{end:?}, delimited: {delimited}");
                assert_eq!(plane.port().seen.borrow().len(), 1);
            });
        }
    }
}

#[test]
fn an_error_in_place_of_a_stream_is_forwarded() {
    for delimited in [false, true] {
        cluster::run(async move {
            let plane = cluster::plane();
            let given = cluster::GivenBody {
                parts: vec![Bytes::from_static(b"no weights")],
                end: BodyEnd::Closed,
                delimited,
            };
            let first = ServerScript::Body(500, given);
            let read = read_stream(&plane, &first).await.expect("a head");
            assert_eq!((read.text.as_str(), read.complete), ("no weights", true));
        });
    }
}

#[test]
fn line_ends_after_the_last_event_are_no_event() {
    for rest in ["", "\n", "\r\n", "\n\n"] {
        cluster::run(async move {
            let plane = cluster::plane();
            let text = cluster::events(FIRST_EVENTS) + rest;
            let given = cluster::GivenBody {
                parts: vec![Bytes::from(text.clone())],
                end: BodyEnd::Closed,
                delimited: false,
            };
            let first = ServerScript::Body(200, given);
            let read = read_stream(&plane, &first).await.expect("a head");
            assert_eq!((read.text.as_str(), read.complete), (text.as_str(), true));
        });
    }
}

#[test]
fn the_parts_of_a_stream_do_not_change_its_events() {
    let text = "id: 0\ndata: a\n\n: ping\n\nid: 1\r\ndata: b\r\n\r\nid: 2\ndata: c\n\nid: 3\nda";
    let whole = "id: 0\ndata: a\n\n: ping\n\nid: 1\r\ndata: b\r\n\r\nid: 2\ndata: c\n\n";
    for part_bytes in 1..=text.len() {
        let mut splitter = event::EventSplitter::default();
        let mut taken = Vec::new();
        for part in text.as_bytes().chunks(part_bytes) {
            taken.extend_from_slice(&splitter.take(part));
        }
        assert_eq!(taken, whole.as_bytes(), "parts of {part_bytes} bytes");
        assert_eq!((splitter.events(), splitter.last_id()), (4, Some("2")));
        assert_eq!(splitter.partial_bytes(), "id: 3\nda".len());
    }
}

#[test]
fn the_end_of_a_large_event_is_found_across_parts() {
    let large = format!("id: 7\ndata: {}\n\n", "x".repeat(700_000));
    for rest in 1..12 {
        let mut splitter = event::EventSplitter::default();
        let (first, last) = large.as_bytes().split_at(large.len() - rest);
        let mut taken = splitter.take(first).to_vec();
        assert!(splitter.is_in_event() && !splitter.may_continue());
        for byte in last {
            taken.extend_from_slice(&splitter.take(&[*byte]));
        }
        assert_eq!(taken, large.as_bytes(), "the last {rest} bytes one by one");
        assert!(!splitter.is_in_event());
        assert_eq!(splitter.events(), 1);
    }
}

#[test]
fn a_run_whose_large_event_was_sent_in_parts_is_not_moved() {
    // Guards against half an event that reaches the caller twice because its server leaves.
    cluster::run(async {
        let plane = cluster::plane();
        cluster::start(&plane);
        let part = Bytes::from("y".repeat(100_000));
        let given = cluster::GivenBody {
            parts: vec![part; 60],
            end: BodyEnd::Closed,
            delimited: true,
        };
        for server in ["e1", "e2"] {
            let script = ServerScript::Body(200, given.clone());
            plane.port().push_script(server, script);
        }
        let reply = plane.serve(stream()).await.expect("a head");
        let mut parts = cluster::parts(reply);
        let first = plane.port().seen.borrow()[0].server.clone();
        let reading = async { while parts.recv().await.is_some() {} };
        let leaving = async {
            tokio::time::sleep(INTERVAL * 20).await;
            cluster::leave(&plane, &first, if first == "e1" { 11 } else { 12 });
        };
        tokio::join!(reading, leaving);
        assert_eq!(plane.port().seen.borrow().len(), 1);
    });
}

#[test]
fn an_error_that_broke_off_does_not_go_on_as_a_stream() {
    // Guards against an answer joined of an error's body and the events of a run.
    for end in [BodyEnd::Closed, BodyEnd::Reset] {
        cluster::run(async move {
            let plane = cluster::plane();
            let given = cluster::GivenBody {
                parts: vec![Bytes::from_static(b"no wei")],
                end,
                delimited: false,
            };
            let first = ServerScript::Body(500, given);
            let read = read_stream(&plane, &first).await.expect("a head");
            assert!(!read.text.contains("id: "), "{}", read.text);
            assert_eq!(read.complete, end == BodyEnd::Closed);
        });
    }
}

#[test]
fn an_event_that_comes_once_more_where_a_stream_goes_on_is_not_forwarded() {
    // Guards against an event that a caller gets twice: a server sends the last one again, though it was
    // told to go on after it.
    let before = cluster::events(5);
    let after: String = (4..9).map(|id| format!("id: {id}\ndata: x\n\n")).collect();
    for part_bytes in [1, 2, 7, 1_000] {
        for partial in ["", "id: 5", "id: 5\ndata: x\n"] {
            let mut splitter = event::EventSplitter::default();
            let mut text = splitter.take(before.as_bytes()).to_vec();
            text.extend(splitter.take(partial.as_bytes()));
            splitter.drop_partial();
            for part in after.as_bytes().chunks(part_bytes) {
                text.extend(splitter.take(part));
            }
            let all = cluster::events(9);
            assert_eq!(
                String::from_utf8_lossy(&text),
                all,
                "{part_bytes} {partial:?}"
            );
            assert_eq!(splitter.events(), 9);
        }
    }
}

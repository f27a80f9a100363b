//! Tests of streams that go on at the server that holds their proactive copy.

mod cluster;

use std::time;

use exchange::catalog;

/// Time for which two servers may work on one request.
const MAX_BOTH: time::Duration = time::Duration::from_millis(400);
const EVENTS: u32 = 400;

fn slow_events() -> cluster::ServerScript {
    cluster::ServerScript::Events(EVENTS, time::Duration::from_millis(20))
}

/// A plane, the names of the server and of the backup of a stream, and what its caller got.
type PlayedStream = (cluster::TestPlane, [String; 2], cluster::ReadStream);

/// Plays a stream whose server leaves, and whose backup has this script and reads the call to stop the run
/// after `stop_delay`.
async fn play(
    script: cluster::ServerScript,
    engines: u8,
    stop_delay: time::Duration,
    delimited: bool,
) -> PlayedStream {
    play_with([slow_events(), script], engines, stop_delay, delimited).await
}

/// Plays a stream whose server has the first script and leaves, and whose backup has the second one.
async fn play_from(
    old: cluster::ServerScript,
    backup: cluster::ServerScript,
    engines: u8,
    delimited: bool,
) -> PlayedStream {
    play_with([old, backup], engines, time::Duration::ZERO, delimited).await
}

async fn play_with(
    [old, script]: [cluster::ServerScript; 2],
    engines: u8,
    stop_delay: time::Duration,
    delimited: bool,
) -> PlayedStream {
    let plane = cluster::plane();
    plane.port().undelimited.set(!delimited);
    let now = tokio::time::Instant::now();
    for number in 3..=engines {
        let entry = cluster::entry("llm", 10 + number, "a");
        let update = cluster::update(&format!("e{number}"), 1, Some(entry));
        plane.state().apply_update(update, false, now);
    }
    cluster::start(&plane);
    let names: Vec<_> = (1..=engines).map(|number| format!("e{number}")).collect();
    for name in &names {
        plane.port().push_script(name, old.clone());
    }
    let request = cluster::request("r1", catalog::ExchangeKind::Stream);
    let reply = plane.serve(request).await.expect("served");
    let (source, backup) = {
        let seen = plane.port().seen.borrow();
        let is_backup = |number: &u8| seen[0].backup == Some(cluster::address(10 + number));
        let number = (1..=engines).find(is_backup).expect("a backup");
        (seen[0].server.clone(), format!("e{number}"))
    };
    plane.port().scripts.borrow_mut().clear();
    for name in &names {
        plane.port().push_script(name, slow_events());
    }
    plane
        .port()
        .scripts
        .borrow_mut()
        .insert(backup.clone(), [script, slow_events()].into());
    let delays = &plane.port().copy_delays;
    delays.borrow_mut().insert(backup.clone(), stop_delay);
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    let number = 10 + source[1..].parse::<u8>().expect("a number");
    cluster::leave(&plane, &source, number);
    let read = cluster::read(cluster::parts(reply)).await;
    (plane, [source, backup], read)
}

/// Time from the attempt at the backup to the call that stops the old run; `None` without one.
fn stopped_after(
    plane: &cluster::TestPlane,
    [source, backup]: &[String; 2],
) -> Option<time::Duration> {
    let port = plane.port();
    let stops = port.copied.borrow();
    assert!(
        stops
            .iter()
            .any(|(server, _, stop)| server == source && *stop),
        "{stops:?}"
    );
    let arrivals = port.arrivals.borrow();
    let first_from = |name: &str, from: Option<tokio::time::Instant>| {
        let mut of_server = arrivals.iter().filter(|(server, _)| server == name);
        of_server
            .find(|(_, at)| from.is_none_or(|from| *at >= from))
            .map(|(_, at)| *at)
    };
    let attempted = first_from(backup, None)?;
    Some(first_from(source, Some(attempted))?.saturating_duration_since(attempted))
}

#[test]
fn a_stream_whose_backup_gives_no_answer_does_not_stay_at_its_old_server() {
    // Guards against two servers at work on one stream: the answer of its backup is lost, and its old
    // server works on until the request's time is over.
    let scripts = [cluster::ServerScript::Silent, cluster::ServerScript::Lost];
    for script in scripts {
        for engines in [2, 3, 5] {
            cluster::run(async {
                let (plane, names, read) =
                    play(script.clone(), engines, time::Duration::ZERO, true).await;
                let stopped = stopped_after(&plane, &names).expect("stopped");
                assert!(
                    stopped <= MAX_BOTH,
                    "{script:?}, {engines} engines: {stopped:?}"
                );
                let expected = cluster::events(EVENTS);
                assert!(
                    read.complete && read.text == expected,
                    "{script:?}: {read:?}"
                );
                // The backup may work on after its connection was closed.
                let source = plane.port().copied.borrow();
                assert!(
                    source
                        .iter()
                        .any(|(server, _, stop)| *server == names[1] && *stop)
                );
            });
        }
    }
}

#[test]
fn a_stop_call_that_is_read_late_does_not_end_a_stream_as_complete() {
    // Guards against a stream that ends early as complete, or is lost: it goes on at its backup, which only
    // then reads the call to stop the run that it may have begun before.
    let scripts = [cluster::ServerScript::Silent, cluster::ServerScript::Lost];
    for script in scripts {
        for delay_ms in [0, 100, 200, 400, 800, 1_200, 1_600, 3_000] {
            for delimited in [false, true] {
                cluster::run(async {
                    let delay = time::Duration::from_millis(delay_ms);
                    let (_, _, read) = play(script.clone(), 2, delay, delimited).await;
                    // A call that is not answered before callers leave may cost the stream.
                    let is_lost = delay_ms > 1_200 && !read.complete;
                    assert!(
                        is_lost || read.complete && read.text == cluster::events(EVENTS),
                        "{script:?}, {delay_ms} ms, delimited: {delimited}: {} bytes, {}",
                        read.text.len(),
                        read.complete
                    );
                });
            }
        }
    }
}

#[test]
fn a_run_whose_stream_went_on_elsewhere_is_stopped_at_its_old_server() {
    // Guards against two servers at work on one stream: the old one leaves, or resets the connection, and
    // works on although its connection was closed.
    let broken = cluster::ServerScript::Breaks(40, time::Duration::from_millis(20));
    for old in [slow_events(), broken] {
        for engines in [2, 3, 5] {
            for delimited in [false, true] {
                cluster::run(async {
                    let (plane, names, read) =
                        play_from(old.clone(), slow_events(), engines, delimited).await;
                    let stopped = stopped_after(&plane, &names).expect("stopped");
                    assert!(
                        stopped <= MAX_BOTH,
                        "{old:?}, {engines} engines: {stopped:?}"
                    );
                    let expected = cluster::events(EVENTS);
                    assert!(read.complete && read.text == expected, "{old:?}: {read:?}");
                    // A second call there could stop a run that comes back later.
                    let copied = plane.port().copied.borrow();
                    assert_eq!(copied.len(), 1, "{copied:?}");
                });
            }
        }
    }
}

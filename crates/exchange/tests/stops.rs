//! Tests of calls that stop a run, whose connections are reset at each moment or stay silent.

mod cluster;

use std::{rc, time};

use cluster::copying::{self, CallLoss};
use exchange::catalog;

/// Time without an event after which callers leave.
const MAX_PAUSE: time::Duration = time::Duration::from_secs(2);
/// Calls for copies of one run.
const MAX_CALLS: usize = 60;
const EVENTS: u32 = 200;
const INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Losses of calls in a row.
const LOSSES: [&[CallLoss]; 11] = [
    &[],
    &[CallLoss::Unread],
    &[CallLoss::Copying],
    &[CallLoss::Answered],
    &[CallLoss::Silent],
    &[CallLoss::Unread, CallLoss::Unread],
    &[CallLoss::Unread, CallLoss::Copying],
    &[CallLoss::Copying, CallLoss::Copying],
    &[CallLoss::Copying, CallLoss::Answered],
    &[CallLoss::Answered, CallLoss::Unread],
    &[CallLoss::Copying, CallLoss::Silent],
];

/// A stream as its caller got it.
struct PlayedStream {
    read: cluster::ReadStream,
    max_pause: time::Duration,
}

impl PlayedStream {
    /// What is wrong with a stream whose server kept its memory.
    fn fault(&self, plane: &cluster::TestPlane, refuses_stopped: bool) -> Option<String> {
        let handle = match refuses_stopped {
            true => copying::KEPT,
            false => copying::MOVED,
        };
        let port = plane.port();
        let seen = port.seen.borrow();
        let resume = seen.last().and_then(|call| call.resume.clone());
        let calls = port.copied.borrow().len();
        let faults = [
            (
                !self.read.complete || self.read.text != cluster::events(EVENTS),
                format!(
                    "{} bytes, complete: {}",
                    self.read.text.len(),
                    self.read.complete
                ),
            ),
            (
                self.max_pause >= MAX_PAUSE,
                format!("pause of {:?}", self.max_pause),
            ),
            (
                resume.as_ref().map(|resume| resume.handle.as_str()) != Some(handle),
                format!("{resume:?} in place of {handle}"),
            ),
            (calls > MAX_CALLS, format!("{calls} calls")),
        ];
        faults
            .into_iter()
            .find(|(is_fault, _)| *is_fault)
            .map(|(_, fault)| fault)
    }
}

/// Plays a stream whose server leaves and answers the calls to stop it as `server` does.
async fn play(
    plane: &cluster::TestPlane,
    server: copying::CopyServer,
    delimited: bool,
) -> PlayedStream {
    plane.state().settings.backups = false;
    plane.port().undelimited.set(!delimited);
    *plane.port().copier.borrow_mut() = Some(rc::Rc::new(server));
    cluster::start(plane);
    for server in ["e1", "e2"] {
        for _ in 0..20 {
            let script = cluster::ServerScript::Events(EVENTS, INTERVAL);
            plane.port().push_script(server, script);
        }
    }
    let request = cluster::request("r1", catalog::ExchangeKind::Stream);
    let reply = plane.serve(request).await.expect("served");
    let source = plane.port().seen.borrow()[0].server.clone();
    let number = if source == "e1" { 11 } else { 12 };
    cluster::leave(plane, &source, number);
    let (read, max_pause) = cluster::read_timed(cluster::parts(reply)).await;
    PlayedStream { read, max_pause }
}

#[test]
fn a_run_whose_stop_call_is_lost_goes_on_from_its_memory() {
    // Guards against a stream that is lost, ends early as complete, or pauses until its caller leaves,
    // because a call that stopped its run was not answered though the server keeps its memory.
    let mut failures = Vec::new();
    for losses in LOSSES {
        for copy_ms in [20, 330, 700, 1_200] {
            for case in 0..8 {
                let [delimited, refuses_running, refuses_stopped] =
                    [1, 2, 4].map(|bit| case & bit != 0);
                let copy_time = time::Duration::from_millis(copy_ms);
                let server = copying::CopyServer {
                    refuses_running,
                    refuses_stopped,
                    ..copying::CopyServer::new(copy_time, losses)
                };
                let mut fault = None;
                cluster::run(async {
                    let plane = cluster::plane();
                    let played = play(&plane, server, delimited).await;
                    fault = played.fault(&plane, refuses_stopped);
                });
                failures.extend(fault.map(|fault| {
                    format!(
                        "{losses:?}, copies of {copy_ms} ms, delimited: {delimited}, refuses \
                         running: {refuses_running}, stopped: {refuses_stopped}: {fault}\n"
                    )
                }));
            }
        }
    }
    let count = failures.len();
    assert!(
        failures.is_empty(),
        "{count} failures:\n{}",
        failures.concat()
    );
}

#[test]
fn a_run_whose_stop_calls_are_never_answered_does_not_end_as_complete() {
    // Guards against a stream that ends early as complete where nothing tells what became of its run.
    for loss in [CallLoss::Copying, CallLoss::Answered, CallLoss::Silent] {
        for delimited in [false, true] {
            cluster::run(async move {
                let plane = cluster::plane();
                let copy_time = time::Duration::from_millis(50);
                let server = copying::CopyServer {
                    refuses_running: true,
                    ..copying::CopyServer::new(copy_time, &[loss; 200])
                };
                let played = play(&plane, server, delimited).await;
                assert!(!played.read.complete, "{loss:?}, delimited: {delimited}");
            });
        }
    }
}

//! Requests whose attempts are dropped before they crash their servers.

mod cluster;

use std::{cell, rc, time};

use cluster::crashing::{self, CallEnd};
use exchange::{catalog::ExchangeKind, reply::RefusalCause};

const BAD: u64 = 77;
/// Time after the third crash from which no more than [`MAX_RETRIES`] may reach servers.
const CONTACT: time::Duration = time::Duration::from_secs(3);
const MAX_RETRIES: usize = 3;
const QUARANTINED: CallEnd = CallEnd::Refused(RefusalCause::Quarantined);

const fn ms(count: u64) -> time::Duration {
    time::Duration::from_millis(count)
}

/// Sends a bad request every 0.3 s whose servers go on with it after its connection was closed, and
/// sound ones beside it.
async fn play(vms: &mut crashing::CrashingVms, kind: ExchangeKind, leave: Option<time::Duration>) {
    vms.board.bad_requests.borrow_mut().insert(BAD);
    vms.board.keeps_on.set(true);
    for number in 0..100_usize {
        let mut request = vms.alike("bad", kind, BAD);
        match leave {
            Some(after) => vms.send_and_leave(number * 3 % 7, request, after),
            None => {
                request.deadline = request.arrived + ms(40);
                request.limit = request.deadline;
                vms.send(number * 3 % 7, request);
            }
        }
        for half in 0..10 {
            let sound = vms.request("sound", kind);
            vms.send((number + half) % 7, sound);
            vms.pass(ms(30)).await;
        }
    }
    vms.pass(ms(2_000)).await;
}

/// Whether the cause was refused in time, and no sound request was.
fn check(vms: &crashing::CrashingVms, what: &str) -> bool {
    let late = vms.board.late_of(BAD, 3, CONTACT);
    let crashes = vms.board.crashes.borrow().len();
    let (sent, whole) = (
        vms.ends_of("sound").len(),
        vms.count("sound", CallEnd::Whole),
    );
    println!("{what}: {late} late, {crashes} crashes, sound {whole} of {sent}");
    late <= MAX_RETRIES && vms.count("sound", QUARANTINED) == 0
}

/// Plays callers that leave, and fails after the last play if any broke the bound.
fn play_all(plays: impl IntoIterator<Item = (ExchangeKind, Option<time::Duration>)>) {
    let mut broken = Vec::new();
    for (kind, leave) in plays {
        let holds = rc::Rc::new(cell::Cell::new(false));
        let played = holds.clone();
        cluster::run(async move {
            let mut vms = crashing::CrashingVms::start(7, 3, 9);
            play(&mut vms, kind, leave).await;
            played.set(check(&vms, &format!("{kind:?}, left after {leave:?}")));
        });
        if !holds.get() {
            broken.push((kind, leave));
        }
    }
    assert!(broken.is_empty(), "late or refused: {broken:?}");
}

#[test]
fn a_request_whose_caller_leaves_before_the_crash_is_refused() {
    // Guards against a crash that accuses nobody, since the caller of its cause had left.
    let kinds = [ExchangeKind::Idempotent, ExchangeKind::Stream];
    play_all(
        kinds
            .into_iter()
            .flat_map(|kind| [20, 45, 55].map(|after| (kind, Some(ms(after))))),
    );
}

#[test]
fn a_request_whose_deadline_passes_before_the_crash_is_refused() {
    // Guards against the same with a deadline that is shorter than the time until the crash.
    play_all([
        (ExchangeKind::Idempotent, None),
        (ExchangeKind::Stream, None),
    ]);
}

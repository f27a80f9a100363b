//! Requests whose attempts are dropped before they crash their servers.

mod cluster;

use std::time;

use cluster::crashing::{self, CONTACT, CallEnd, MAX_RETRIES, QUARANTINED};
use exchange::catalog::ExchangeKind;

const BAD: u64 = 77;

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

/// Plays callers that leave, and fails if any play broke the bound.
fn play_all(plays: impl IntoIterator<Item = (ExchangeKind, Option<time::Duration>)>) {
    crashing::check_all(plays, |(kind, leave)| async move {
        let mut vms = crashing::CrashingVms::start(7, 3, 9);
        play(&mut vms, kind, leave).await;
        check(&vms, &format!("{kind:?}, left after {leave:?}"))
    });
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

#[test]
fn a_stream_whose_caller_leaves_an_idle_engine_is_refused() {
    // Guards against crashes that no VM sees, since nothing else runs on the engine.
    cluster::run(async {
        let mut vms = crashing::CrashingVms::start(7, 3, 9);
        vms.board.bad_requests.borrow_mut().insert(BAD);
        vms.board.keeps_on.set(true);
        for number in 0..20_usize {
            let request = vms.alike("bad", ExchangeKind::Stream, BAD);
            vms.send_and_leave(number % 7, request, ms(20));
            vms.pass(ms(2_000)).await;
        }
        assert!(check(&vms, "idle engines"));
    });
}

#[test]
fn a_hedge_that_is_dropped_does_not_accuse_a_sound_call() {
    // Guards against a call that is refused since servers crashed where its hedges were dropped.
    const SOUND: u64 = 5;
    cluster::run(async {
        let mut vms = crashing::CrashingVms::start(3, 6, 0);
        for plane in &vms.vms {
            plane.port().pace.set(Some(ms(90)));
        }
        for round in 0..60_usize {
            let request = vms.alike("sound", ExchangeKind::Idempotent, SOUND);
            vms.send(round % 3, request);
            vms.pass(ms(100)).await;
            if round % 10 == 9 {
                let server = vms.current_name(&format!("s{}", round / 10 % 6 + 1));
                vms.board.crash(&server);
            }
        }
        let hedged = vms.vms.iter().map(|vm| vm.port().seen.borrow().len());
        let (sent, seen) = (vms.ends_of("sound").len(), hedged.sum::<usize>());
        let crashes = vms.board.crashes.borrow().len();
        assert!(
            seen >= sent + crashes,
            "{seen} attempts of {sent}: fewer hedges than crashes"
        );
        assert_eq!(vms.count("sound", QUARANTINED), 0);
        assert!(vms.count("sound", CallEnd::Whole) * 20 >= sent * 19);
    });
}

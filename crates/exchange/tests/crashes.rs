//! Requests that crash the servers that run them.

mod cluster;

use std::time;

use cluster::crashing::{self, CONTACT, CallEnd, MAX_RETRIES, QUARANTINED};
use exchange::{budget, catalog::ExchangeKind, permit};
use tokio::time::Instant;

/// Fingerprint of the request that crashes servers.
const BAD: u64 = 77;

/// Time of an answer, and between events, of servers on which runs often meet a crash as they begin.
const SLOW: time::Duration = time::Duration::from_millis(40);

const fn ms(count: u64) -> time::Duration {
    time::Duration::from_millis(count)
}

/// VMs before servers that crash under [`BAD`].
fn crashing_vms(vms: usize, plain: u8, engines: u8) -> crashing::CrashingVms {
    let vms = crashing::CrashingVms::start(vms, plain, engines);
    vms.board.bad_requests.borrow_mut().insert(BAD);
    vms
}

/// Sends the bad request until two servers have crashed under it.
async fn crash_two(vms: &mut crashing::CrashingVms, kind: ExchangeKind) {
    while vms.board.crashes.borrow().len() < 2 {
        let request = vms.alike("bad", kind, BAD);
        vms.send(0, request);
        vms.pass(ms(300)).await;
    }
}

#[test]
fn a_call_that_crashes_servers_is_quarantined() {
    // Guards against equal calls that crash one plain server after the other.
    for kind in [ExchangeKind::Idempotent, ExchangeKind::Once] {
        cluster::run(async move {
            let mut vms = crashing_vms(1, 3, 0);
            for _ in 0..8 {
                let request = vms.alike("bad", kind, BAD);
                vms.send(0, request);
                vms.pass(ms(800)).await;
            }
            let crashes = vms.board.crashes.borrow().len();
            assert!(crashes <= 3, "{kind:?}: {crashes} servers crashed");
            assert!(vms.count("bad", QUARANTINED) >= 5);
        });
    }
}

#[test]
fn a_request_that_crashes_servers_is_quarantined_on_all_vms() {
    // Guards against a request that comes at any VM and crashes servers again and again.
    for kind in [
        ExchangeKind::Idempotent,
        ExchangeKind::Once,
        ExchangeKind::Stream,
    ] {
        cluster::run(async move {
            let mut vms = crashing_vms(7, 3, 9);
            for number in 0..60 {
                let request = vms.alike("bad", kind, BAD);
                vms.send(number * 3 % 7, request);
                vms.pass(ms(130)).await;
                let request = vms.request("sound", kind);
                vms.send(number % 7, request);
                vms.pass(ms(130)).await;
            }
            let late = vms.board.arrivals_after(3, CONTACT);
            assert!(late <= MAX_RETRIES, "{kind:?}: {late} retries");
            let crashes = vms.board.crashes.borrow().len();
            assert!(crashes <= 3 + MAX_RETRIES, "{kind:?}: {crashes} crashed");
            assert_eq!(vms.count("sound", QUARANTINED), 0, "{kind:?}");
        });
    }
}

#[test]
fn a_quarantine_ends_while_vms_tell_each_other() {
    // Guards against accusations that VMs renew with each datagram, so that none ever ends.
    cluster::run(async {
        let mut vms = crashing_vms(2, 0, 3);
        crash_two(&mut vms, ExchangeKind::Stream).await;
        vms.pass(ms(1_000)).await;
        let request = vms.alike("bad", ExchangeKind::Stream, BAD);
        vms.send(1, request);
        vms.pass(ms(1_000)).await;
        assert_eq!(vms.count("bad", QUARANTINED), 1, "known on the other VM");
        vms.pass(time::Duration::from_secs(600)).await;
        vms.board.bad_requests.borrow_mut().clear();
        for vm in 0..2 {
            let request = vms.alike("mended", ExchangeKind::Stream, BAD);
            vms.send(vm, request);
        }
        vms.pass(ms(1_000)).await;
        assert_eq!(vms.ends_of("mended"), [CallEnd::Whole; 2]);
    });
}

#[test]
fn a_request_that_was_acquitted_is_not_accused_again_by_old_reports() {
    // Guards against a VM that forgets that a request ran well, when another VM repeats its report.
    const SOUND: u64 = 5;
    cluster::run(async {
        let mut vms = crashing::CrashingVms::start(2, 0, 1);
        for vm in 0..2 {
            vms.vms[vm].port().pace.set(Some(SLOW));
            let bad = 100 + vm as u64;
            vms.board.bad_requests.borrow_mut().insert(bad);
            for (name, fingerprint) in [("bad", bad), ("beside", SOUND)] {
                let mut request = vms.alike(name, ExchangeKind::Stream, fingerprint);
                request.size.as_mut().expect("a stream").prompt_tokens = 100;
                vms.send(vm, request);
            }
            vms.pass(ms(5_000)).await;
            if vm == 0 {
                let request = vms.alike("between", ExchangeKind::Stream, SOUND);
                vms.send(1, request);
                vms.pass(ms(5_000)).await;
            }
        }
        assert_eq!(vms.board.crashes.borrow().len(), 2);
        assert_eq!(vms.ends_of("beside"), [CallEnd::Broken; 2]);
        assert_eq!(vms.ends_of("between"), [CallEnd::Whole]);
        for vm in 0..2 {
            let request = vms.alike("after", ExchangeKind::Stream, SOUND);
            vms.send(vm, request);
        }
        vms.pass(ms(5_000)).await;
        assert_eq!(vms.ends_of("after"), [CallEnd::Whole; 2]);
    });
}

#[test]
fn the_newest_crash_is_told_first() {
    // Guards against VMs that tell the same few crashes of many, and never the newest.
    cluster::run(async {
        let mut vms = crashing::CrashingVms::start(2, 0, 9);
        vms.restart_time = ms(50);
        for plane in &vms.vms {
            plane.state().settings.backups = false;
        }
        vms.connected = false;
        for number in 0..101 {
            let fingerprint = 1_000 + number;
            vms.board.bad_requests.borrow_mut().insert(fingerprint);
            let request = vms.alike("one", ExchangeKind::Stream, fingerprint);
            vms.send(0, request);
            vms.pass(ms(250)).await;
        }
        vms.connected = true;
        let before = vms.board.crashes.borrow().len();
        assert!(before >= 101, "{before} crashed");
        vms.announce();
        vms.connected = false;
        for _ in 0..3 {
            let request = vms.alike("newest", ExchangeKind::Stream, 1_100);
            vms.send(1, request);
            vms.pass(ms(1_000)).await;
        }
        assert!(
            vms.count("newest", QUARANTINED) >= 2,
            "told of one crash, and saw another"
        );
    });
}

#[test]
fn no_permit_is_issued_for_what_is_quarantined() {
    // Guards against retries, hedges and resumed runs of a request whose quarantine is known.
    cluster::run(async {
        let mut vms = crashing_vms(1, 0, 3);
        crash_two(&mut vms, ExchangeKind::Stream).await;
        vms.pass(ms(300)).await;
        let request = vms.alike("bad", ExchangeKind::Stream, BAD);
        for kind in [
            budget::RepeatKind::Retry,
            budget::RepeatKind::Hedge,
            budget::RepeatKind::Resume,
        ] {
            let attempts = permit::SharedAttempts::default();
            let mut state = vms.vms[0].state();
            let permit = state.permit(&request, &attempts, kind, Instant::now());
            assert!(permit.is_none(), "{kind:?}");
        }
    });
}

#[test]
fn a_run_does_not_go_on_from_one_crash_to_the_next() {
    // Guards against a stream that goes on at its backups, and crashes all engines by itself.
    cluster::run(async {
        let mut vms = crashing_vms(1, 0, 6);
        let request = vms.alike("bad", ExchangeKind::Stream, BAD);
        vms.send(0, request);
        vms.pass(ms(2_000)).await;
        assert_eq!(vms.ends_of("bad"), [CallEnd::Broken]);
        let crashes = vms.board.crashes.borrow().len();
        assert!(crashes <= 2, "{crashes} engines crashed");
    });
}

#[test]
fn a_run_that_goes_on_and_crashes_its_server_accuses() {
    // Guards against a second crash that nobody counts, since the run had gone on from a copy.
    cluster::run(async {
        let mut vms = crashing_vms(1, 0, 6);
        vms.board.resumed_before_head.set(true);
        for _ in 0..3 {
            let request = vms.alike("bad", ExchangeKind::Stream, BAD);
            vms.send(0, request);
            vms.pass(ms(1_000)).await;
        }
        let crashes = vms.board.crashes.borrow().len();
        assert!(crashes <= 2, "{crashes} engines crashed");
    });
}

#[test]
fn what_waits_is_refused_once_it_is_quarantined() {
    // Guards against requests that arrived before the verdict, waited, and were sent after it.
    cluster::run(async {
        let mut vms = crashing_vms(2, 0, 6);
        for plane in &vms.vms {
            plane.state().settings.backups = false;
        }
        vms.connected = false;
        vms.vms[0].port().pace.set(Some(ms(100)));
        for _ in 0..100 {
            if !vms.vms[0].state().waiting_services().is_empty() {
                break;
            }
            let request = vms.request("filler", ExchangeKind::Stream);
            vms.send(0, request);
            vms.pass(ms(50)).await;
        }
        for _ in 0..4 {
            let request = vms.alike("waits", ExchangeKind::Stream, BAD);
            vms.send(0, request);
        }
        for _ in 0..2 {
            let request = vms.alike("bad", ExchangeKind::Stream, BAD);
            vms.send(1, request);
            vms.pass(ms(200)).await;
        }
        assert_eq!(vms.ends_of("waits"), [], "all wait");
        vms.connected = true;
        vms.pass(ms(400)).await;
        let refused = vms.count("waits", QUARANTINED);
        vms.pass(ms(8_000)).await;
        let crashes = vms.board.crashes.borrow().len();
        assert_eq!((crashes, refused), (2, 4), "crashes, refused at once");
    });
}

#[test]
fn what_is_about_to_be_sent_is_refused_once_it_is_quarantined() {
    // Guards against requests that were permitted and placed before the verdict, and sent after it.
    cluster::run(async {
        let mut vms = crashing_vms(2, 0, 6);
        vms.vms[0].port().reserve_time.set(ms(800));
        let request = vms.alike("reserves", ExchangeKind::Stream, BAD);
        vms.send(0, request);
        for _ in 0..2 {
            let request = vms.alike("bad", ExchangeKind::Stream, BAD);
            vms.send(1, request);
            vms.pass(ms(200)).await;
        }
        assert_eq!(vms.ends_of("reserves"), [], "it reserves memory");
        vms.pass(ms(1_000)).await;
        assert_eq!(vms.ends_of("reserves"), [QUARANTINED]);
        let crashes = vms.board.crashes.borrow().len();
        assert_eq!(crashes, 2);
    });
}

#[test]
fn a_sound_request_that_many_send_is_served_beside_crashes() {
    // Guards against a sound request that is quarantined since it ran on two servers that crashed.
    const POLLED: u64 = 9;
    for kind in [ExchangeKind::Idempotent, ExchangeKind::Stream] {
        cluster::run(async move {
            let mut vms = crashing_vms(3, 3, 6);
            for plane in &vms.vms {
                plane.port().pace.set(Some(SLOW));
            }
            for round in 0..200 {
                let request = vms.alike("polled", kind, POLLED);
                vms.send(round % 3, request);
                if round % 10 == 9 {
                    vms.board
                        .bad_requests
                        .borrow_mut()
                        .insert(10_000 + round as u64);
                    let request = vms.alike("bad", kind, 10_000 + round as u64);
                    vms.send(round % 3, request);
                }
                vms.pass(ms(60)).await;
            }
            assert!(vms.board.crashes.borrow().len() >= 6, "{kind:?}: too few");
            assert_eq!(vms.count("polled", QUARANTINED), 0, "{kind:?}");
        });
    }
}

#[test]
fn a_cut_link_does_not_pass_for_a_crash() {
    // Guards against requests that are quarantined since the links of their VM were cut twice.
    const SOUND: u64 = 6;
    cluster::run(async {
        let mut vms = crashing_vms(3, 0, 3);
        vms.vms[0].state().settings.backups = false;
        for _ in 0..3 {
            let request = vms.alike("lost", ExchangeKind::Stream, SOUND);
            vms.send(0, request);
            vms.pass(ms(4)).await;
            vms.vms[0].port().sever();
            for round in 0..30 {
                let request = vms.request("other", ExchangeKind::Stream);
                vms.send(1 + round % 2, request);
                vms.pass(ms(60)).await;
            }
            vms.vms[0].port().cut.set(None);
            vms.pass(ms(2_000)).await;
        }
        assert_eq!(vms.count("lost", QUARANTINED), 0);
        for vm in 0..3 {
            let request = vms.alike("after", ExchangeKind::Stream, SOUND);
            vms.send(vm, request);
        }
        vms.pass(ms(1_000)).await;
        assert_eq!(vms.ends_of("after"), [CallEnd::Whole; 3]);
    });
}

#[test]
fn a_vm_that_starts_late_or_was_cut_learns_what_is_quarantined() {
    // Guards against a VM that heard no report of the crashes and sends the request once more.
    cluster::run(async {
        let mut vms = crashing_vms(3, 0, 3);
        vms.cut(|vm| vm == 2);
        crash_two(&mut vms, ExchangeKind::Stream).await;
        vms.pass(time::Duration::from_secs(20)).await;
        vms.cut_paths.clear();
        vms.add_vm();
        vms.pass(ms(2_000)).await;
        for vm in 2..4 {
            let request = vms.alike("late", ExchangeKind::Stream, BAD);
            vms.send(vm, request);
        }
        vms.pass(ms(1_000)).await;
        assert_eq!(vms.ends_of("late"), [QUARANTINED; 2]);
    });
}

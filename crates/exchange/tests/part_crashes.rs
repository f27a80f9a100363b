//! Parts of prompts that crash the engines that answer, whatever else a request holds.

mod cluster;

use std::time;

use cluster::crashing::{self, CONTACT, CallEnd, MAX_RETRIES, QUARANTINED};
use exchange::request;

/// First part of all prompts.
const FIRST: u64 = 1;
/// Part that crashes engines.
const BAD: u64 = 50;

/// Last part of prompts that have the same one.
const LAST: u64 = 60;

/// Gives a prompt the last part that others have.
fn set_last(request: &mut request::ExchangeRequest) {
    let size = request.size.as_mut().expect("a stream");
    size.parts.last_mut().expect("its own").hash = LAST;
}

const fn ms(count: u64) -> time::Duration {
    time::Duration::from_millis(count)
}

fn crashing_vms(vms: usize) -> crashing::CrashingVms {
    let vms = crashing::CrashingVms::start(vms, 0, 9);
    vms.board.bad_parts.borrow_mut().insert(BAD);
    vms
}

/// Sends bad requests, no two alike, each to the next VM, and sound ones between them.
async fn send_both(vms: &mut crashing::CrashingVms, count: usize, bad_parts: &[u64]) {
    let running = vms.vms.len();
    for number in 0..count {
        let request = vms.stream_of("bad", bad_parts);
        vms.send(number * 3 % running, request);
        for _ in 0..3 {
            vms.pass(ms(130)).await;
            let request = vms.stream_of("sound", &[FIRST, 2 + number as u64 % 3]);
            vms.send(number % running, request);
        }
    }
    vms.pass(ms(2_000)).await;
}

#[test]
fn a_part_that_crashes_engines_is_quarantined_on_all_vms() {
    // Guards against requests, no two alike, that crash one engine after the other with a part that
    // they share, before their first event or after it.
    for events in [0, 1] {
        cluster::run(async move {
            let mut vms = crashing_vms(7);
            vms.board.events_before.set(events);
            send_both(&mut vms, 60, &[FIRST, BAD]).await;
            let late = vms.board.arrivals_after(5, CONTACT);
            assert!(late <= MAX_RETRIES, "{events} events: {late} requests more");
            let crashes = vms.board.crashes.borrow().len();
            assert!(
                crashes <= 5 + MAX_RETRIES,
                "{events} events: {crashes} crashed"
            );
            let (sent, whole) = (180, vms.count("sound", CallEnd::Whole));
            assert!(
                whole * 20 >= sent * 19,
                "{events} events: {whole} of {sent}"
            );
        });
    }
}

#[test]
fn a_vm_that_starts_late_or_was_cut_learns_the_part() {
    // Guards against a VM that was told of no crash and sends a request with the part.
    cluster::run(async {
        let mut vms = crashing_vms(3);
        vms.cut(|vm| vm == 2);
        for number in 0..6 {
            let request = vms.stream_of("bad", &[FIRST, BAD]);
            vms.send(number % 2, request);
            vms.pass(ms(500)).await;
        }
        vms.pass(time::Duration::from_secs(20)).await;
        vms.cut_paths.clear();
        vms.add_vm();
        vms.pass(ms(2_000)).await;
        for vm in 2..4 {
            let request = vms.stream_of("late", &[FIRST, BAD]);
            vms.send(vm, request);
        }
        vms.pass(ms(1_000)).await;
        assert_eq!(vms.ends_of("late"), [QUARANTINED; 2]);
    });
}

#[test]
fn the_last_part_of_a_prompt_is_not_accused() {
    // Guards against sound requests that are refused for a last part that they share with bad ones.
    cluster::run(async {
        let mut vms = crashing_vms(2);
        for number in 0..8 {
            let mut request = vms.stream_of("bad", &[FIRST, BAD]);
            set_last(&mut request);
            vms.send(number % 2, request);
            vms.pass(ms(800)).await;
        }
        assert!(vms.count("bad", QUARANTINED) > 0);
        for vm in 0..2 {
            let mut request = vms.stream_of("sound", &[FIRST, 2]);
            set_last(&mut request);
            vms.send(vm, request);
            vms.pass(ms(1_000)).await;
        }
        assert_eq!(vms.ends_of("sound"), [CallEnd::Whole; 2]);
    });
}

#[test]
fn requests_that_share_only_their_last_part_accuse_no_part() {
    // Guards against a last part that is refused since three different requests with it crashed engines.
    cluster::run(async {
        let mut vms = crashing_vms(2);
        for number in 0..5 {
            let mut request = vms.stream_of("bad", &[100 + number]);
            set_last(&mut request);
            vms.board
                .bad_requests
                .borrow_mut()
                .insert(request.fingerprint);
            vms.send(0, request);
            vms.pass(ms(800)).await;
        }
        assert!(vms.board.crashes.borrow().len() >= 5);
        for vm in 0..2 {
            let mut request = vms.stream_of("sound", &[2]);
            set_last(&mut request);
            vms.send(vm, request);
        }
        vms.pass(ms(1_000)).await;
        assert_eq!(vms.ends_of("sound"), [CallEnd::Whole; 2]);
    });
}

#[test]
fn the_part_of_a_stranger_is_not_quarantined_for_the_stranger() {
    // Guards against an organisation that crashes engines with the parts of another one, to have that
    // one refused.
    const STRANGER: u64 = 70;
    cluster::run(async {
        let mut vms = crashing_vms(2);
        for number in 0..12 {
            let mut request = vms.stream_of("bad", &[STRANGER, BAD]);
            request.organisation = Some(String::from("attacker"));
            vms.send(number % 2, request);
            vms.pass(ms(800)).await;
        }
        assert!(vms.count("bad", QUARANTINED) > 0);
        for vm in 0..2 {
            let request = vms.stream_of("stranger", &[STRANGER, 2]);
            vms.send(vm, request);
        }
        vms.pass(ms(1_000)).await;
        assert_eq!(vms.ends_of("stranger"), [CallEnd::Whole; 2]);
    });
}

#[test]
fn a_part_that_requests_of_many_organisations_share_is_quarantined_for_all() {
    // Guards against a part that is counted for each organisation by itself, three crashes each.
    cluster::run(async {
        let mut vms = crashing_vms(3);
        for number in 0..40 {
            let mut request = vms.stream_of("bad", &[FIRST, BAD]);
            request.organisation = Some(format!("org-{number}"));
            vms.send(number % 3, request);
            let request = vms.stream_of("sound", &[FIRST, 2]);
            vms.send(number % 3, request);
            vms.pass(ms(500)).await;
        }
        let crashes = vms.board.crashes.borrow().len();
        assert!(crashes <= 5, "{crashes} crashed");
        assert_eq!(vms.count("sound", QUARANTINED), 0);
    });
}

//! Requests that crash servers after a part of their answer.

mod cluster;

use std::time;

use cluster::crashing::{self, CONTACT, CallEnd, MAX_RETRIES, QUARANTINED};
use exchange::catalog::ExchangeKind;

const BAD: u64 = 77;
/// First part of all prompts, and the part that crashes engines.
const FIRST: u64 = 1;
const BAD_PART: u64 = 50;

/// Sends a bad stream every 0.3 s, and a sound one every 0.1 s, to the next VM.
async fn play(vms: &mut crashing::CrashingVms, is_part: bool) {
    vms.board.bad_requests.borrow_mut().insert(BAD);
    vms.board.bad_parts.borrow_mut().insert(BAD_PART);
    for number in 0..300 {
        if number % 3 == 0 {
            let request = match is_part {
                true => vms.stream_of("bad", &[FIRST, BAD_PART]),
                false => vms.alike("bad", ExchangeKind::Stream, BAD),
            };
            vms.send(number % 7, request);
        }
        let request = vms.stream_of("sound", &[FIRST, 2 + number as u64 % 3]);
        vms.send(number * 3 % 7, request);
        vms.pass(time::Duration::from_millis(100)).await;
    }
    vms.pass(time::Duration::from_secs(2)).await;
}

/// Whether the cause was refused in time, and sound requests were served.
fn check(vms: &crashing::CrashingVms, events: u32, is_part: bool) -> bool {
    let (cause, count) = if is_part { (BAD_PART, 5) } else { (BAD, 3) };
    let late = vms.board.late_of(cause, count, CONTACT);
    let crashes = vms.board.crashes.borrow().len();
    let (sent, whole) = (
        vms.ends_of("sound").len(),
        vms.count("sound", CallEnd::Whole),
    );
    let refused = vms.count("sound", QUARANTINED);
    println!(
        "{events} events, part {is_part}: {late} late, {crashes} crashes, sound {whole} of {sent}, {refused} quarantined"
    );
    late <= MAX_RETRIES && refused == 0 && whole * 20 >= sent * 17
}

/// Plays runs that crash after so many events, and fails if any broke the bound.
fn play_all(plays: impl IntoIterator<Item = (u32, bool)>, draws_events: bool) {
    crashing::check_all(plays, |(events, is_part)| async move {
        let mut vms = crashing::CrashingVms::start(7, 3, 9);
        vms.board.events_before.set(events);
        vms.board.draws_events.set(draws_events);
        play(&mut vms, is_part).await;
        check(&vms, events, is_part)
    });
}

#[test]
fn a_stream_that_crashes_its_server_after_some_events_is_refused() {
    // Guards against a request that is taken to run well since its answer had begun.
    let events = [1, 2, 3, 6, 20];
    play_all(events.map(|events| (events, false)), false);
}

#[test]
fn a_part_that_crashes_engines_after_some_events_is_refused() {
    // Guards against the same with a part that requests share.
    let events = [1, 2, 3, 6, 20];
    play_all(events.map(|events| (events, true)), false);
}

#[test]
fn a_stream_that_crashes_its_server_at_any_event_is_refused() {
    // Guards against a request that crashes servers early in some runs, and late in others.
    play_all([(30, false), (30, true)], true);
}

#[test]
fn a_call_that_crashes_its_server_within_a_long_answer_is_refused() {
    // Guards against a call that is taken to run well since its answer is too long to be buffered.
    cluster::run(async {
        let mut vms = crashing::CrashingVms::start(7, 3, 0);
        vms.board.bad_requests.borrow_mut().insert(BAD);
        vms.board.large_parts.set(5);
        for number in 0..100 {
            let request = vms.alike("bad", ExchangeKind::Idempotent, BAD);
            vms.send(number * 3 % 7, request);
            vms.pass(time::Duration::from_millis(300)).await;
        }
        let late = vms.board.late_of(BAD, 3, CONTACT);
        let crashes = vms.board.crashes.borrow().len();
        assert!(late <= MAX_RETRIES, "{late} late, {crashes} crashes");
    });
}

#[test]
fn sound_streams_on_engines_that_crash_by_themselves_are_not_refused() {
    // Guards against streams that are refused since two engines crashed that ran them.
    const SOUND: u64 = 5;
    cluster::run(async {
        let mut vms = crashing::CrashingVms::start(3, 0, 9);
        for round in 0..40_usize {
            for vm in 0..3 {
                let request = vms.alike("polled", ExchangeKind::Stream, SOUND + vm as u64);
                vms.send(vm, request);
                let request = vms.stream_of("sound", &[FIRST, 2]);
                vms.send(vm, request);
            }
            vms.pass(time::Duration::from_millis(200)).await;
            let engine = format!("e{}", round % 9 + 1);
            if round % 3 == 0 && round < 27 {
                vms.board.crash(&engine);
            }
            vms.pass(time::Duration::from_millis(300)).await;
        }
        assert_eq!(vms.count("polled", QUARANTINED), 0);
        assert_eq!(vms.count("sound", QUARANTINED), 0);
    });
}

#[test]
fn long_streams_of_one_subject_are_served_while_engines_crash_by_themselves() {
    // Guards against a part of long streams, none of which has ended yet, that is refused since
    // engines crashed that ran them.
    cluster::run(async {
        let mut vms = crashing::CrashingVms::start(7, 0, 9);
        for plane in &vms.vms {
            plane
                .port()
                .pace
                .set(Some(time::Duration::from_millis(200)));
        }
        for round in 0..200_usize {
            for subject in [2, 3] {
                let mut request = vms.stream_of("sound", &[FIRST, subject]);
                request.size.as_mut().expect("a stream").prompt_tokens = 500;
                vms.send((round + subject as usize) % 7, request);
            }
            vms.pass(time::Duration::from_millis(250)).await;
            if round % 8 == 7 {
                let number = round / 8 * 2;
                let engine = format!("e{}", number % 9 + 1);
                let name = vms.current_name(&engine);
                vms.board.crash(&name);
            }
        }
        vms.pass(time::Duration::from_secs(10)).await;
        let (crashes, sent) = (vms.board.crashes.borrow().len(), vms.ends_of("sound").len());
        let whole = vms.count("sound", CallEnd::Whole);
        println!("long streams: {crashes} crashes, {whole} of {sent} whole");
        assert_eq!(vms.count("sound", QUARANTINED), 0);
    });
}

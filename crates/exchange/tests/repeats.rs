//! Repeats of a service stay within the allowance, counted where they arrive.

mod cluster;

use std::time;

use cluster::repeating::{self, RepeatingVms};
use exchange::catalog;
use tokio::time::Instant;

const VMS: usize = 7;
/// Interval between two calls, and between two streams, of all callers together.
const CALL_INTERVAL: time::Duration = time::Duration::from_millis(24);
const STREAM_INTERVAL: time::Duration = time::Duration::from_millis(120);

/// Lets all plain servers answer with errors.
fn fail_plain_servers(running: &RepeatingVms) {
    for vm in running.vms() {
        let servers = ["s1", "s2", "s3"].map(String::from);
        vm.port().erring.borrow_mut().extend(servers);
    }
}

/// Sends calls that may be repeated for a while; `each_second` happens once a second.
async fn call_for(
    running: &mut RepeatingVms,
    duration: time::Duration,
    mut each_second: impl FnMut(&mut RepeatingVms, usize),
) {
    let (started_at, mut number, mut seconds) = (Instant::now(), 0, 0);
    while started_at.elapsed() < duration {
        if started_at.elapsed().as_secs() as usize > seconds {
            seconds += 1;
            each_second(running, seconds);
        }
        number += 1;
        let id = format!("c{number}-{:?}", Instant::now());
        running.call(number % VMS, id, catalog::ExchangeKind::Idempotent);
        running.pass(CALL_INTERVAL).await;
    }
}

#[test]
fn repeats_of_vms_that_start_again_and_again_stay_within_the_allowance() {
    // Guards against VMs that forget what they spent and take the whole allowance until they hear
    // others.
    cluster::run(async {
        let mut running = RepeatingVms::start(VMS);
        fail_plain_servers(&running);
        call_for(&mut running, 3 * repeating::WINDOW, |running, second| {
            if second % 2 == 0 {
                (0..VMS).for_each(|vm| running.restart(vm));
                fail_plain_servers(running);
            }
        })
        .await;
        running.check("app");
    });
}

#[test]
fn repeats_of_vms_that_are_cut_from_each_other_stay_within_the_allowance() {
    // Guards against VMs that each take the whole allowance once the others are silent.
    cluster::run(async {
        let mut running = RepeatingVms::start(VMS);
        running.connected = false;
        running.pass(2 * repeating::WINDOW).await;
        fail_plain_servers(&running);
        call_for(&mut running, 3 * repeating::WINDOW, |_, _| ()).await;
        running.check("app");
    });
}

#[test]
fn repeats_stay_within_the_allowance_while_all_streams_must_move() {
    // Guards against resumed runs that are counted and never limited.
    cluster::run(async {
        let mut running = RepeatingVms::start(VMS);
        let mut number = 0;
        for step in 0..250 {
            number += 1;
            let id = format!("r{number}");
            running.call(number % VMS, id, catalog::ExchangeKind::Stream);
            running.pass(STREAM_INTERVAL).await;
            if step == 60 {
                for vm in running.vms() {
                    vm.port().breaks_after.set(Some(60));
                }
            }
        }
        running.check("llm");
    });
}

#[test]
fn repeats_that_arrive_when_a_path_heals_stay_within_the_allowance() {
    // Guards against attempts that were given up, and still arrive, all at once.
    cluster::run(async {
        let mut running = RepeatingVms::start(VMS);
        let until = Instant::now() + 3 * repeating::WINDOW;
        for vm in running.vms() {
            let stalled = ["s1", "s2", "s3"].map(|server| (String::from(server), until));
            vm.port().stalled.borrow_mut().extend(stalled);
        }
        call_for(&mut running, 4 * repeating::WINDOW, |_, _| ()).await;
        running.check("app");
    });
}

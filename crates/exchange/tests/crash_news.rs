//! How VMs learn of crashes, and which they remember.

mod cluster;

use std::time;

use cluster::running;
use exchange::{
    catalog::ExchangeKind,
    crashes::{self, BreakMoment::Early as EARLY},
    message, request,
};
use tokio::time::Instant;

/// Time within which all VMs know of a crash.
const CONTACT: time::Duration = time::Duration::from_secs(3);
/// Fraction of datagrams that is lost.
const LOSS: f64 = 0.2;

fn bad_request() -> request::ExchangeRequest {
    cluster::request("bad", ExchangeKind::Stream)
}

/// Lets a VM find that a server crashed under the bad request.
fn crash(vms: &running::RunningVms, vm: usize, server: u64) {
    let plane = &vms.vms.vms[vm].plane;
    let now = Instant::now();
    let mut state = plane.state();
    state
        .crashes
        .record_broken(server, &bad_request(), EARLY, now);
    assert!(state.crashes.record_check(server, true, now).is_some());
    drop(state);
    plane.announce();
}

/// VMs that refuse the bad request.
fn refusing(vms: &running::RunningVms) -> usize {
    let now = Instant::now();
    let planes = vms.vms.vms.iter().map(|vm| &vm.plane);
    let refusing = planes.filter(|plane| {
        let quarantine = plane.state().crashes.quarantine_left(&bad_request(), now);
        quarantine.is_some()
    });
    refusing.count()
}

#[test]
fn all_vms_learn_of_a_crash_though_datagrams_are_lost() {
    // Guards against VMs that go on sending a request of which others know that it crashes servers.
    running::check(|count| async move {
        let vms = running::RunningVms::start(count, LOSS).await;
        crash(&vms, 0, 1);
        crash(&vms, count - 1, 2);
        let known = || refusing(&vms) == count;
        let took = running::wait_until(known, CONTACT).await;
        assert!(took <= CONTACT, "{} of {count} know", refusing(&vms));
    });
}

#[test]
fn a_vm_that_starts_much_later_learns_of_a_crash() {
    // Guards against news that are told once, and never to a VM that starts after that.
    cluster::run(async {
        let mut vms = running::RunningVms::start_with_fresh(9, 1, LOSS).await;
        crash(&vms, 0, 1);
        crash(&vms, 4, 2);
        tokio::time::sleep(time::Duration::from_secs(120)).await;
        vms.start_vm(9);
        let known = || refusing(&vms) == 10;
        let took = running::wait_until(known, CONTACT).await;
        assert!(took <= CONTACT, "{} of 10 know", refusing(&vms));
    });
}

#[test]
fn crashes_are_known_after_all_vms_have_restarted() {
    // Guards against a request that crashes servers anew each time that all VMs lose power.
    cluster::run(async {
        let mut vms = running::RunningVms::start(9, LOSS).await;
        crash(&vms, 0, 1);
        crash(&vms, 4, 2);
        tokio::time::sleep(time::Duration::from_secs(10)).await;
        vms.restart_all();
        let known = || refusing(&vms) == 9;
        let took = running::wait_until(known, CONTACT).await;
        assert!(took <= CONTACT, "{} of 9 know", refusing(&vms));
        tokio::time::sleep(crashes::QUARANTINE_TIME).await;
        assert_eq!(refusing(&vms), 0, "it ends as it would have");
        vms.restart_all();
        tokio::time::sleep(CONTACT).await;
        assert_eq!(refusing(&vms), 0, "ended");
    });
}

#[test]
fn what_is_told_of_crashes_is_bounded() {
    // Guards against datagrams and tables that grow with what callers invent.
    cluster::run(async {
        let now = Instant::now();
        let mut evidence = crashes::CrashEvidence::default();
        for number in 0..500 {
            for other in 0..20 {
                let mut request = bad_request();
                request.fingerprint = number * 100 + other;
                let size = request.size.as_mut().expect("a stream");
                size.parts = (0..16)
                    .map(|part| request::PromptPart {
                        hash: number * 10_000 + other * 100 + part,
                        tokens: 1,
                    })
                    .collect();
                evidence.record_broken(number, &request, EARLY, now);
            }
            evidence.record_check(number, true, now);
            let items = evidence.news(9, now);
            let contents: Vec<_> = items.iter().map(|item| item.contents().count()).collect();
            assert!(
                contents.iter().sum::<usize>() <= 96,
                "{contents:?} in one datagram"
            );
        }
        let mut servers = std::collections::BTreeSet::new();
        for _ in 0..2_000 {
            let items = evidence.introduction(now);
            servers.extend(items.into_iter().map(|item| item.server));
        }
        assert!(
            servers.len() <= 64,
            "{} crashes are remembered",
            servers.len()
        );
        assert!(servers.contains(&499), "the newest is");
    });
}

#[test]
fn all_remembered_crashes_are_told_in_turn() {
    // Guards against a VM that repeats one of several crashes, and never the others.
    for crashes in 2..=6 {
        cluster::run(async move {
            let mut evidence = crashes::CrashEvidence::default();
            for server in 1..=crashes {
                evidence.record_broken(server, &bad_request(), EARLY, Instant::now());
                evidence.record_check(server, true, Instant::now());
            }
            while !evidence.news(6, Instant::now()).is_empty() {}
            let mut told = std::collections::BTreeSet::new();
            for _ in 0..crashes {
                tokio::time::sleep(time::Duration::from_secs(1)).await;
                let items = evidence.news(6, Instant::now());
                assert_eq!(items.len(), 1, "one a second");
                told.extend(items.into_iter().map(|item| item.server));
            }
            assert_eq!(told.len() as u64, crashes);
        });
    }
}

#[test]
fn a_record_is_not_renewed_by_vms_that_repeat_it() {
    // Guards against two VMs that keep each other's records alive: each datagram takes some time, and
    // makes what it tells look newer.
    cluster::run(async {
        let mut vms = [(); 2].map(|()| crashes::CrashEvidence::default());
        let request = bad_request();
        for server in 1..=2 {
            vms[0].record_broken(server, &request, EARLY, Instant::now());
            vms[0].record_check(server, true, Instant::now());
        }
        let from = Instant::now();
        while from.elapsed() < crashes::QUARANTINE_TIME + time::Duration::from_secs(1) {
            for teller in 0..2 {
                let items: Vec<message::CrashItem> = vms[teller].introduction(Instant::now());
                tokio::time::sleep(time::Duration::from_millis(400)).await;
                for item in items {
                    vms[1 - teller].take_item(&item, Instant::now());
                }
            }
        }
        let now = Instant::now();
        for vm in &vms {
            assert_eq!(vm.quarantine_left(&request, now), None);
        }
    });
}

#[test]
#[ignore = "manual: bytes of news of crashes between 410 VMs"]
fn bytes_of_crashes_between_410_vms() {
    const VMS: usize = 410;
    /// Number of crashes, and of requests of one VM at each.
    const CRASHES: u64 = 10;
    const REQUESTS: u64 = 8;
    cluster::run(async {
        let vms = running::RunningVms::start(VMS, 0.0).await;
        // Until then VMs introduce themselves to each other.
        tokio::time::sleep(time::Duration::from_secs(60)).await;
        let span = time::Duration::from_secs(10);
        let rate = async || {
            let before = vms.vms.sent_bytes.get();
            tokio::time::sleep(span).await;
            (vms.vms.sent_bytes.get() - before) as f64 / VMS as f64 / span.as_secs_f64()
        };
        println!("{:.0} bytes a second and VM without crashes", rate().await);
        for server in 0..CRASHES {
            for vm in 0..3 {
                let plane = &vms.vms.vms[(server as usize * 41 + vm * 7) % VMS].plane;
                let (now, mut state) = (Instant::now(), plane.state());
                for number in 0..REQUESTS {
                    let mut request = bad_request();
                    request.fingerprint = server * 1_000 + vm as u64 * 100 + number;
                    let size = request.size.as_mut().expect("a stream");
                    size.parts = (0..3)
                        .map(|part| request::PromptPart {
                            hash: request.fingerprint * 10 + part,
                            tokens: 500,
                        })
                        .collect();
                    let late = crashes::BreakMoment::Late;
                    state.crashes.record_broken(server, &request, late, now);
                }
                state.crashes.record_check(server, true, now);
                drop(state);
                plane.announce();
            }
        }
        println!("{:.0} with {CRASHES} crashes, the first 10 s", rate().await);
        println!("{:.0} the next 10 s", rate().await);
        tokio::time::sleep(span).await;
        println!("{:.0} from 30 s on", rate().await);
    });
}

//! Measures the time until the last of many VMs knows that a server leaves, or that a failure
//! domain is evacuated.

mod cluster;

use std::{collections, rc, time};

use cluster::{
    log_store,
    lossy::{self, VmHealth},
};
use exchange::{evacuation, follow, position, update};
use tokio::time::{self as clock, Instant};

/// Half of the time that the users allow until a server that leaves gets no more work.
const KNOWN_WITHIN: time::Duration = time::Duration::from_millis(1_500);
/// Number of servers: those of 300 VMs with ten each.
const SERVERS: usize = 3_000;
/// Time after which VMs that read the store for all have found each other and read once.
const WARM_UP: time::Duration = time::Duration::from_millis(1_500);
/// Mean interval between two notices: a sixth of the servers is replaced every 5 s.
const NOTICE_INTERVAL: time::Duration = time::Duration::from_millis(10);
/// One in this many VMs is slow or killed, in the runs where some are.
const UNHEALTHY_ONE_IN: usize = 20;
/// Number of changes of the operator in one run.
const OPERATOR_CHANGES: u64 = 4;
/// Interval between two checks of what the VMs know.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
struct NoticeScenario {
    vms: usize,
    loss: f64,
    /// Health of some VMs, relays among them, after half of the notices.
    health: VmHealth,
    notices: usize,
}

/// A notice that was written to the store.
struct WrittenNotice {
    server: String,
    at: Instant,
    /// VMs that do not have it yet.
    missing: Vec<usize>,
}

fn name(number: usize) -> String {
    format!("i-{:08x}", number.wrapping_mul(0x9E37_79B9) & 0xFFFF_FFFF)
}

fn entry(number: usize, leaving: bool) -> update::ServerEntry {
    let service = if number.is_multiple_of(7) {
        "app"
    } else {
        "llm"
    };
    let domain = format!("d-{}", number % lossy::DOMAINS);
    update::ServerEntry {
        started_at: update::StartTime::from_millis(1_000 + number as u64),
        leaving,
        ..cluster::entry(service, 9, &domain)
    }
}

/// Running VMs and their store.
struct RunningVms {
    vms: rc::Rc<lossy::LossyVms>,
    store: rc::Rc<log_store::LogStore>,
    runs: Vec<tokio::task::JoinHandle<()>>,
}

impl Drop for RunningVms {
    fn drop(&mut self) {
        self.runs.iter().for_each(tokio::task::JoinHandle::abort);
    }
}

/// Starts the VMs, which then read the store and send each other its contents.
async fn start(scenario: &NoticeScenario) -> RunningVms {
    let store = rc::Rc::new(log_store::LogStore::default());
    for number in 0..SERVERS {
        store.append(&name(number), Some(entry(number, false)));
    }
    let first = store.records();
    let seed = (scenario.vms * 1_000) as u64 + (scenario.loss * 100.0) as u64;
    let vms = lossy::LossyVms::new(scenario.vms, scenario.loss, seed, &first);
    let runs = (0..scenario.vms).map(|own| {
        let run = lossy::run_vm(vms.clone(), store.clone(), own);
        tokio::task::spawn_local(run)
    });
    let runs = runs.collect();
    clock::sleep(WARM_UP).await;
    RunningVms { vms, store, runs }
}

/// Whether a VM sends no more work to a server, or can't be expected to know.
fn knows(vm: &lossy::LossyVm, server: &str, now: Instant) -> bool {
    let state = vm.plane.state();
    let key = state.fleet.find(server).expect("known from the start");
    let record = state.fleet.server(key).expect("just found");
    let unhealthy = matches!(vm.health.get(), VmHealth::Killed | VmHealth::Slow);
    unhealthy || !record.takes_work(now)
}

/// Runs the notices and returns the time in which each was known to all healthy VMs.
async fn run_notices(scenario: NoticeScenario) -> Vec<time::Duration> {
    let running = start(&scenario).await;
    let (vms, store) = (&running.vms, &running.store);
    let mut open = collections::VecDeque::<WrittenNotice>::new();
    let mut times = Vec::new();
    let mut written = 0;
    let mut next_at = Instant::now();
    while written < scenario.notices || !open.is_empty() {
        clock::sleep(CHECK_INTERVAL).await;
        let now = Instant::now();
        while written < scenario.notices && next_at <= now {
            let server = name(written);
            store.append(&server, Some(entry(written, true)));
            store.append(
                &name(written + SERVERS),
                Some(entry(written + SERVERS, false)),
            );
            let missing = (0..scenario.vms).collect();
            open.push_back(WrittenNotice {
                server,
                at: now,
                missing,
            });
            written += 1;
            next_at += NOTICE_INTERVAL.mul_f64(2.0 * vms.draw());
            if written == scenario.notices / 2 {
                for (number, vm) in vms.vms.iter().enumerate() {
                    if number % UNHEALTHY_ONE_IN == UNHEALTHY_ONE_IN - 1 {
                        vm.health.set(scenario.health);
                    }
                }
            }
        }
        for notice in &mut open {
            let server = &notice.server;
            let misses = |number: &usize| !knows(&vms.vms[*number], server, now);
            notice.missing.retain(misses);
        }
        open.retain(|notice| {
            let took = now - notice.at;
            let known = notice.missing.is_empty() || took > 4 * KNOWN_WITHIN;
            if known {
                times.push(took);
            }
            !known
        });
    }
    let span =
        (WARM_UP + NOTICE_INTERVAL * u32::try_from(scenario.notices).expect("few")).as_secs_f64();
    let rate = vms.sent_bytes.get() as f64 / scenario.vms as f64 / span / 1_000.0;
    times.sort_unstable();
    println!(
        "{scenario:?}: middle {:?}, longest {:?}, {rate:.1} KB a second sent by a VM",
        times[times.len() / 2],
        times[times.len() - 1]
    );
    times
}

/// Runs each play and checks that each notice was known in time.
fn check(scenarios: impl IntoIterator<Item = NoticeScenario>) {
    let mut late = Vec::new();
    for scenario in scenarios {
        let mut times = Vec::new();
        cluster::run(async { times = run_notices(scenario).await });
        let count = times.iter().filter(|took| **took > KNOWN_WITHIN).count();
        if count > 0 {
            late.push((scenario, count));
        }
    }
    assert!(late.is_empty(), "late notices: {late:#?}");
}

fn scenario_of(vms: usize) -> NoticeScenario {
    NoticeScenario {
        vms,
        loss: 0.01,
        health: VmHealth::Healthy,
        notices: 150,
    }
}

fn with_losses(scenario: NoticeScenario) -> impl Iterator<Item = NoticeScenario> + Clone {
    let losses = [0.0, 0.01, 0.05, 0.2].into_iter();
    losses.map(move |loss| NoticeScenario { loss, ..scenario })
}

fn with_unhealthy_vms(scenario: NoticeScenario) -> impl Iterator<Item = NoticeScenario> {
    let healths = [VmHealth::Killed, VmHealth::Slow].into_iter();
    healths.map(move |health| NoticeScenario { health, ..scenario })
}

#[test]
fn a_leaving_server_is_known_to_all_in_time_whatever_is_lost_30() {
    // Guards against one lost datagram that leaves a VM without a notice until it compares lists.
    check(with_losses(scenario_of(30)));
}

#[test]
fn a_leaving_server_is_known_to_all_in_time_whatever_is_lost_129() {
    // The same with the smallest number of VMs that do not form a full mesh.
    check(with_losses(scenario_of(129)));
}

#[test]
fn a_leaving_server_is_known_to_all_in_time_whatever_is_lost_300() {
    // The same with the number of VMs in the users' trials.
    check(with_losses(scenario_of(300)));
}

#[test]
fn a_leaving_server_is_known_to_all_in_time_whatever_is_lost_414() {
    // The same with the number of VMs that the users name.
    check(with_losses(scenario_of(414)));
}

#[test]
fn a_leaving_server_is_known_to_all_in_time_beside_vms_that_fail() {
    // Guards against a group of VMs that learns notices from one VM only.
    check(
        [30, 129, 300]
            .map(scenario_of)
            .into_iter()
            .flat_map(with_unhealthy_vms),
    );
}

#[test]
fn a_leaving_server_is_known_to_all_in_time_beside_vms_that_fail_414() {
    // The same with the number of VMs that the users name.
    check(with_unhealthy_vms(scenario_of(414)));
}

#[test]
fn a_vm_that_hears_no_reader_knows_in_time() {
    // Guards against a VM that learns of the store only through a few others and receives no
    // datagram of them.
    let cut = |vms| NoticeScenario {
        health: VmHealth::CutFromReaders,
        loss: 0.2,
        ..scenario_of(vms)
    };
    check([30, 129].map(cut));
}

/// Kind of change that the operator makes in the store.
#[derive(Clone, Copy, Debug)]
enum OperatorChange {
    Evacuation,
    Configuration,
}

/// Makes changes of the operator, each found by one VM, and returns the longest time until one was
/// in force on all VMs.
async fn change(scenario: NoticeScenario, change: OperatorChange) -> time::Duration {
    let running = start(&scenario).await;
    let planes: Vec<_> = running.vms.vms.iter().map(|vm| vm.plane.clone()).collect();
    let is_reader = |plane: &&cluster::TestPlane| plane.state().reads_store(Instant::now());
    let mut longest = time::Duration::ZERO;
    for number in 2..=OPERATOR_CHANGES + 1 {
        let mut readers = planes.iter().filter(is_reader);
        let reader = readers.next().expect("some read");
        match change {
            OperatorChange::Evacuation => {
                let domain = (number % 2 == 0).then(|| String::from("d-1"));
                let evacuations = evacuation::EvacuationSet {
                    position: position::StorePosition::new(0, number),
                    domains: domain.into_iter().collect(),
                    ..evacuation::EvacuationSet::default()
                };
                follow::apply_evacuations(reader, evacuations, "store");
            }
            OperatorChange::Configuration => {
                let document = number.to_string().into();
                follow::take_document(reader, lossy::decode, document, "store");
            }
        }
        let changed_at = Instant::now();
        let in_force = |plane: &cluster::TestPlane| match change {
            OperatorChange::Evacuation => {
                plane.state().fleet.evacuations().position.offset == number
            }
            OperatorChange::Configuration => plane.state().version() == number,
        };
        while !planes.iter().all(in_force) && changed_at.elapsed() < 4 * KNOWN_WITHIN {
            clock::sleep(CHECK_INTERVAL).await;
        }
        longest = longest.max(changed_at.elapsed());
    }
    println!("{scenario:?}, {change:?}: longest {longest:?}");
    longest
}

#[test]
fn evacuations_and_configurations_are_in_force_on_all_in_time_whatever_is_lost() {
    // Guards against VMs to which a change that they must enforce is sent only once.
    for vms in [30, 129, 414] {
        let scenario = NoticeScenario {
            loss: 0.2,
            ..scenario_of(vms)
        };
        for changed in [OperatorChange::Evacuation, OperatorChange::Configuration] {
            let mut longest = time::Duration::ZERO;
            cluster::run(async { longest = change(scenario, changed).await });
            assert!(
                longest <= KNOWN_WITHIN,
                "{scenario:?}, {changed:?}: {longest:?}"
            );
        }
    }
}

#[test]
#[ignore = "10,000 notices, by hand"]
fn ten_thousand_notices_are_known_to_all_in_time() {
    let sizes = [30, 129, 300, 414].map(scenario_of);
    let healthy = sizes.into_iter().flat_map(with_losses);
    let unhealthy = healthy.clone().flat_map(with_unhealthy_vms);
    check(healthy.chain(unhealthy).map(|scenario| NoticeScenario {
        notices: 209,
        ..scenario
    }));
}

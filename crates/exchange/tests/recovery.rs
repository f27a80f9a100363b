//! Tests of many VMs that start within one second and know nothing: the time until each has what it
//! needs, and the calls to the store meanwhile.

mod cluster;

use std::{rc, time};

use bytes::Bytes;
use cluster::many_vms;
use exchange::{catalog, state, update};
use tokio::time::{self as clock, Instant};

/// Number of servers for each VM.
const SERVERS_EACH: usize = 10;
/// Bytes of the operator's document.
const DOCUMENT_BYTES: usize = 24_000;
/// Rate of a VM's link, in bytes per second.
const LINK_RATE: f64 = 2.5e6;
/// Duration of a short call to the store.
const STORE_TIME: time::Duration = time::Duration::from_millis(4);
/// Time within which the VMs start.
const START_TIME: time::Duration = time::Duration::from_millis(1_000);
/// Maximum time until each VM serves again after the loss of all, and until it knows all servers,
/// which is half of what the users allow.
const SERVES_WITHIN: time::Duration = time::Duration::from_millis(3_000);
const KNOWS_WITHIN: time::Duration = time::Duration::from_millis(7_500);

fn decode(_: &[u8]) -> Result<catalog::RouteCatalog, String> {
    Ok(cluster::catalog(1))
}

/// The lost VMs, and the state of the store.
#[derive(Clone, Copy, Debug)]
struct ClusterLoss {
    vms: usize,
    /// One in this many VMs is lost.
    one_in: usize,
    store_time: time::Duration,
    store_down: time::Duration,
}

/// Times and calls of a recovery.
#[derive(Clone, Copy, Debug, Default)]
struct ClusterRecovery {
    /// Time until the last VM had a configuration and servers of each service.
    serves: time::Duration,
    /// Time until the last VM knew all servers.
    knows: time::Duration,
    /// Calls to the store by then, per lost VM.
    calls_each: f64,
}

fn entries(servers: usize) -> Vec<update::ServerUpdate> {
    let entry = |number: usize| {
        let service = if number.is_multiple_of(7) {
            "app"
        } else {
            "llm"
        };
        let name = format!("i-{:08x}", number.wrapping_mul(0x9E37_79B9) & 0xFFFF_FFFF);
        let entry = cluster::entry(service, 9, &format!("d-{}", number % many_vms::DOMAINS));
        cluster::update(&name, number as u64 + 1, Some(entry))
    };
    let mut entries: Vec<_> = (0..servers).map(entry).collect();
    entries.sort_by(|one, other| one.id.cmp(&other.id));
    entries
}

fn serves(state: &state::PlaneState) -> bool {
    let now = Instant::now();
    let has = |service| state.fleet.ready(service, now).next().is_some();
    state.version() > 0 && has("app") && has("llm")
}

/// Runs one VM, which either starts anew or has been running and knows everything.
async fn run_vm(
    vms: many_vms::VmCluster,
    store: rc::Rc<many_vms::ClusterStore>,
    number: usize,
    loss: ClusterLoss,
) {
    let vm = &vms[number];
    if number.is_multiple_of(loss.one_in) {
        let spread = vm.plane.state().draw();
        clock::sleep(START_TIME.mul_f64(spread)).await;
    } else {
        vm.know_all(&store, cluster::catalog(1));
    }
    many_vms::run_vm(vms, store, number, decode).await;
}

async fn recover(loss: ClusterLoss) -> ClusterRecovery {
    let began = Instant::now();
    let entries = entries(loss.vms * SERVERS_EACH);
    let servers = entries.len();
    let vms = (0..loss.vms).map(|number| many_vms::ClusterVm::new(number, LINK_RATE));
    let vms: many_vms::VmCluster = rc::Rc::new(vms.collect());
    let store = rc::Rc::new(many_vms::ClusterStore::new(
        entries,
        Bytes::from(vec![b'x'; DOCUMENT_BYTES]),
        loss.store_time,
        began + loss.store_down,
    ));
    let tasks: Vec<_> = (0..loss.vms)
        .map(|number| tokio::task::spawn_local(run_vm(vms.clone(), store.clone(), number, loss)))
        .collect();
    let mut recovery = ClusterRecovery::default();
    let lost = loss.vms.div_ceil(loss.one_in) as f64;
    while recovery.knows.is_zero() && began.elapsed() < time::Duration::from_secs(20) {
        clock::sleep(time::Duration::from_millis(20)).await;
        let all = |holds: &dyn Fn(&state::PlaneState) -> bool| {
            vms.iter().all(|vm| holds(&vm.plane.state()))
        };
        if recovery.serves.is_zero() && all(&serves) {
            recovery.serves = began.elapsed();
        }
        if all(&|state| state.servers_complete && state.fleet.servers().count() == servers) {
            recovery.knows = began.elapsed();
            recovery.calls_each = store.calls.get() as f64 / lost;
        }
    }
    tasks.iter().for_each(tokio::task::JoinHandle::abort);
    recovery
}

/// Runs a loss and checks the recovery times.
fn check(loss: ClusterLoss) -> ClusterRecovery {
    let mut recovery = ClusterRecovery::default();
    cluster::run(async { recovery = recover(loss).await });
    println!("{loss:?}: {recovery:?}");
    let from = loss.store_down;
    assert!(!recovery.serves.is_zero() && recovery.serves <= from + SERVES_WITHIN);
    assert!(!recovery.knows.is_zero() && recovery.knows <= from + KNOWS_WITHIN);
    recovery
}

const ALL_LOST: ClusterLoss = ClusterLoss {
    vms: 0,
    one_in: 1,
    store_time: STORE_TIME,
    store_down: time::Duration::ZERO,
};

#[test]
fn all_vms_serve_again_soon_after_all_were_lost() {
    // Guards against hundreds of VMs that each read the complete list of servers at once, time out
    // and start over.
    let small = check(ClusterLoss {
        vms: 30,
        ..ALL_LOST
    });
    for vms in [100, 300, 414] {
        let recovery = check(ClusterLoss { vms, ..ALL_LOST });
        // The calls of all VMs grow no faster than their number, and neither does the time.
        assert!(recovery.calls_each <= small.calls_each * 1.1);
        assert!(recovery.serves <= small.serves * u32::try_from(vms / 30).expect("small"));
    }
}

#[test]
fn all_vms_serve_again_soon_with_a_slow_store() {
    // Guards against a recovery that depends on many consecutive calls.
    let store_time = time::Duration::from_millis(240);
    check(ClusterLoss {
        vms: 300,
        store_time,
        ..ALL_LOST
    });
}

#[test]
fn all_vms_serve_again_soon_after_the_store_is_back() {
    // Guards against VMs that call an unavailable store so often that they delay its return.
    let store_down = time::Duration::from_secs(5);
    check(ClusterLoss {
        vms: 300,
        store_down,
        ..ALL_LOST
    });
}

#[test]
fn half_of_the_vms_learn_from_the_others() {
    // Guards against VMs that receive requests for more long lists than their links can carry.
    check(ClusterLoss {
        vms: 300,
        one_in: 2,
        ..ALL_LOST
    });
}

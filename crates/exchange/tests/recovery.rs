//! Many VMs start in one second and know nothing: how long until each has what it needs, and what they
//! ask of the store meanwhile.

mod world;

use std::{rc, time};

use bytes::Bytes;
use exchange::{catalog, state, update};
use tokio::time::{self as clock, Instant};
use world::cluster;

/// Servers for each VM.
const SERVERS_EACH: usize = 10;
/// Bytes of the operator's document.
const DOCUMENT_BYTES: usize = 24_000;
/// Link of a VM, in bytes a second.
const LINK_RATE: f64 = 2.5e6;
/// Time of a short call at the store.
const STORE_TIME: time::Duration = time::Duration::from_millis(4);
/// Span in which the VMs start.
const START_SPAN: time::Duration = time::Duration::from_millis(1_000);
/// Time in which each VM serves again after the loss of all, and in which it knows all servers, which is
/// half of what the users allow.
const SERVES_WITHIN: time::Duration = time::Duration::from_millis(3_000);
const KNOWS_WITHIN: time::Duration = time::Duration::from_millis(7_500);

fn decode(_: &[u8]) -> Result<catalog::RouteCatalog, String> {
    Ok(world::catalog(1))
}

/// Which VMs are lost, and how the store fares.
#[derive(Clone, Copy, Debug)]
struct HerdLoss {
    vms: usize,
    /// One in this many is lost.
    one_in: usize,
    store_time: time::Duration,
    store_down: time::Duration,
}

/// How long it took.
#[derive(Clone, Copy, Debug, Default)]
struct HerdRecovery {
    /// Until the last VM had a configuration and servers of each service.
    serves: time::Duration,
    /// Until the last one knew all servers.
    knows: time::Duration,
    /// Calls to the store by then, for each VM that was lost.
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
        let entry = world::entry(service, 9, &format!("d-{}", number % cluster::DOMAINS));
        world::news(&name, number as u64 + 1, Some(entry))
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

/// One VM: it starts anew, or has run on and knows all.
async fn run_vm(
    vms: cluster::VmHerd,
    store: rc::Rc<cluster::HerdStore>,
    number: usize,
    loss: HerdLoss,
) {
    let vm = &vms[number];
    if number.is_multiple_of(loss.one_in) {
        let spread = vm.plane.state().draw();
        clock::sleep(START_SPAN.mul_f64(spread)).await;
    } else {
        vm.know_all(&store, world::catalog(1));
    }
    cluster::run_vm(vms, store, number, decode).await;
}

async fn recover(loss: HerdLoss) -> HerdRecovery {
    let began = Instant::now();
    let entries = entries(loss.vms * SERVERS_EACH);
    let servers = entries.len();
    let vms = (0..loss.vms).map(|number| cluster::HerdVm::new(number, LINK_RATE));
    let vms: cluster::VmHerd = rc::Rc::new(vms.collect());
    let store = rc::Rc::new(cluster::HerdStore::new(
        entries,
        Bytes::from(vec![b'x'; DOCUMENT_BYTES]),
        loss.store_time,
        began + loss.store_down,
    ));
    let tasks: Vec<_> = (0..loss.vms)
        .map(|number| tokio::task::spawn_local(run_vm(vms.clone(), store.clone(), number, loss)))
        .collect();
    let mut recovery = HerdRecovery::default();
    let lost = loss.vms.div_ceil(loss.one_in) as f64;
    while recovery.knows.is_zero() && began.elapsed() < time::Duration::from_secs(20) {
        clock::sleep(time::Duration::from_millis(20)).await;
        let all = |holds: &dyn Fn(&state::PlaneState) -> bool| {
            vms.iter().all(|vm| holds(&vm.plane.state()))
        };
        if recovery.serves.is_zero() && all(&serves) {
            recovery.serves = began.elapsed();
        }
        if all(&|state| state.servers_whole && state.fleet.servers().count() == servers) {
            recovery.knows = began.elapsed();
            recovery.calls_each = store.calls.get() as f64 / lost;
        }
    }
    tasks.iter().for_each(tokio::task::JoinHandle::abort);
    recovery
}

/// Plays a loss and checks how long it took.
fn check(loss: HerdLoss) -> HerdRecovery {
    let mut recovery = HerdRecovery::default();
    world::run(async { recovery = recover(loss).await });
    println!("{loss:?}: {recovery:?}");
    let from = loss.store_down;
    assert!(!recovery.serves.is_zero() && recovery.serves <= from + SERVES_WITHIN);
    assert!(!recovery.knows.is_zero() && recovery.knows <= from + KNOWS_WITHIN);
    recovery
}

const ALL_LOST: HerdLoss = HerdLoss {
    vms: 0,
    one_in: 1,
    store_time: STORE_TIME,
    store_down: time::Duration::ZERO,
};

#[test]
fn all_vms_serve_again_soon_after_all_were_lost() {
    // Guards against hundreds of VMs that each read the whole list of servers at once, time out and
    // begin anew.
    let small = check(HerdLoss {
        vms: 30,
        ..ALL_LOST
    });
    for vms in [100, 300, 414] {
        let recovery = check(HerdLoss { vms, ..ALL_LOST });
        // Calls of all VMs grow no faster than their number, time no faster either.
        assert!(recovery.calls_each <= small.calls_each * 1.1);
        assert!(recovery.serves <= small.serves * u32::try_from(vms / 30).expect("small"));
    }
}

#[test]
fn all_vms_serve_again_soon_beside_a_slow_store() {
    // Guards against a recovery that rests on many calls one after the other.
    let store_time = time::Duration::from_millis(240);
    check(HerdLoss {
        vms: 300,
        store_time,
        ..ALL_LOST
    });
}

#[test]
fn all_vms_serve_again_soon_after_the_store_is_back() {
    // Guards against VMs that call a store which is down so often that its return is not noticed.
    let store_down = time::Duration::from_secs(5);
    check(HerdLoss {
        vms: 300,
        store_down,
        ..ALL_LOST
    });
}

#[test]
fn half_of_the_vms_learn_from_the_others() {
    // Guards against VMs that are asked for more long lists than their links carry.
    check(HerdLoss {
        vms: 300,
        one_in: 2,
        ..ALL_LOST
    });
}

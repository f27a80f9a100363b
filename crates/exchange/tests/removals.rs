//! Entries of servers that are removed from the store while it is away, after that, or beyond what
//! its records still show: every VM stops sending in time, and none too early.

mod cluster;

use std::{rc, time};

use cluster::lossy;
use exchange::fleet;
use tokio::time::{self as clock, Instant};

/// Half of the time that the users allow until a server that leaves gets no more work.
const KNOWN_WITHIN: time::Duration = time::Duration::from_millis(1_500);
/// Time after which VMs that read the store for all have found each other and read once.
const WARM_UP: time::Duration = time::Duration::from_millis(1_500);
/// Duration of an outage of the store.
const OUTAGE: time::Duration = time::Duration::from_secs(2);
/// Time after an outage at which the store has been answering all VMs for long.
const SETTLED: time::Duration = time::Duration::from_secs(8);
/// Maximum time until a VM that reads the store notes that it answers again.
const RETURN_NOTED: time::Duration = time::Duration::from_millis(500);
/// Interval between two checks of what the VMs know.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(10);
/// Number of servers.
const SERVERS: usize = 60;

/// Running VMs and their store.
struct RunningVms {
    vms: rc::Rc<lossy::LossyVms>,
    store: rc::Rc<lossy::LogStore>,
    runs: Vec<tokio::task::JoinHandle<()>>,
}

impl Drop for RunningVms {
    fn drop(&mut self) {
        self.runs.iter().for_each(tokio::task::JoinHandle::abort);
    }
}

fn name(number: usize) -> String {
    format!("i-{number:04}")
}

/// Starts VMs that know each other and all servers.
async fn start(vms: usize, loss: f64) -> RunningVms {
    let store = rc::Rc::new(lossy::LogStore::default());
    for number in 0..SERVERS {
        store.append(&name(number), Some(cluster::entry("app", 9, "d-0")));
    }
    let first = store.records.borrow().clone();
    let vms = lossy::LossyVms::new(vms, loss, vms as u64, &first);
    let runs = vms.vms.iter().enumerate().map(|(own, vm)| {
        cluster::start(&vm.plane);
        tokio::task::spawn_local(lossy::run_vm(vms.clone(), store.clone(), own))
    });
    let runs = runs.collect();
    clock::sleep(WARM_UP).await;
    RunningVms { vms, store, runs }
}

impl RunningVms {
    /// Takes the store away for `OUTAGE`.
    async fn outage(&self) {
        self.store.away.set(true);
        clock::sleep(OUTAGE).await;
        self.store.away.set(false);
    }

    /// Number of VMs that still send work to a server.
    fn senders(&self, server: &str) -> usize {
        let now = Instant::now();
        let sends = |vm: &&lossy::LossyVm| {
            let state = vm.plane.state();
            let key = state.fleet.find(server).expect("known from the start");
            state.fleet.server(key).expect("just found").takes_work(now)
        };
        self.vms.vms.iter().filter(sends).count()
    }

    /// Time until no VM sends work to a server, or somewhat more than `limit`.
    async fn known_after(&self, server: &str, limit: time::Duration) -> time::Duration {
        let from = Instant::now();
        while self.senders(server) > 0 && from.elapsed() <= limit {
            clock::sleep(CHECK_INTERVAL).await;
        }
        from.elapsed()
    }
}

/// Checks a scenario with few VMs, with as many as form a full mesh, and with more.
fn check<F: Future<Output = ()>>(scenario: impl Fn(usize) -> F) {
    for vms in [9, 78, 300] {
        cluster::run(scenario(vms));
    }
}

#[test]
fn a_removal_after_an_outage_is_known_to_all_in_time() {
    // Guards against VMs that noted an outage of the store once and then tell nobody of removals.
    check(|vms| async move {
        let running = start(vms, 0.05).await;
        running.outage().await;
        clock::sleep(SETTLED).await;
        let server = name(7);
        running.store.append(&server, None);
        let took = running.known_after(&server, KNOWN_WITHIN).await;
        let senders = running.senders(&server);
        assert!(took <= KNOWN_WITHIN, "{senders} of {vms} VMs send to it");
    });
}

#[test]
fn an_entry_that_expired_in_an_outage_ends_on_all_vms_with_the_grace_period() {
    // Guards against a grace period whose end only the VMs that read the store notice.
    check(|vms| async move {
        let running = start(vms, 0.05).await;
        let server = name(7);
        running.store.append(&server, None);
        running.outage().await;
        let limit = RETURN_NOTED + fleet::LAPSE_GRACE + KNOWN_WITHIN;
        let took = running.known_after(&server, limit).await;
        let senders = running.senders(&server);
        assert!(took <= limit, "{senders} of {vms} VMs send to it");
    });
}

#[test]
fn servers_whose_entries_expired_in_an_outage_get_work_on_all_vms_until_they_are_back() {
    // Guards against VMs that hear of an expired entry from another one and grant it no grace.
    check(|vms| async move {
        let running = start(vms, 0.05).await;
        running.store.away.set(true);
        clock::sleep(OUTAGE).await;
        for number in 0..SERVERS {
            running.store.append(&name(number), None);
        }
        running.store.away.set(false);
        let back_at = Instant::now();
        while back_at.elapsed() < time::Duration::from_millis(1_900) {
            clock::sleep(CHECK_INTERVAL).await;
            let senders = running.senders(&name(7));
            assert_eq!(senders, vms, "after {:?}", back_at.elapsed());
        }
        for number in 0..SERVERS {
            let entry = cluster::entry("app", 9, "d-0");
            running.store.append(&name(number), Some(entry));
        }
        clock::sleep(SETTLED).await;
        assert_eq!(running.senders(&name(7)), vms);
    });
}

#[test]
fn a_removal_that_only_the_complete_list_shows_is_known_to_all_in_time() {
    // Guards against VMs that find a server missing from the list and tell nobody.
    check(|vms| async move {
        let running = start(vms, 0.05).await;
        let server = name(7);
        running.store.append(&server, None);
        running.store.trim();
        let took = running.known_after(&server, KNOWN_WITHIN).await;
        let senders = running.senders(&server);
        assert!(took <= KNOWN_WITHIN, "{senders} of {vms} VMs send to it");
    });
}

#[test]
fn a_reply_of_another_vm_ends_no_grace_period() {
    // Guards against a VM that asks another one for state and gets removals that are not final.
    cluster::run(async {
        let asked = cluster::plane();
        let now = Instant::now();
        asked.state().note_store(false, now);
        asked.state().note_store(true, now);
        asked
            .state()
            .apply_update(cluster::update("s1", 2, None), true, now);
        let asking = cluster::plane();
        let request = exchange::catchup::state_request(&asking.state());
        let reply = exchange::catchup::state_reply(&mut asked.state(), &request);
        assert_eq!(reply.updates, []);
    });
}

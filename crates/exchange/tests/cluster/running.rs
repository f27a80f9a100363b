//! Running VMs before a store that is away at times, and what they do about its servers.

use std::{rc, time};

use exchange::{crash_store, follow, update};
use tokio::time::{self as clock, Instant};

use super::{log_store, lossy};

/// Time after which VMs that read the store for all have found each other and read once.
const WARM_UP: time::Duration = time::Duration::from_millis(1_500);
/// Interval between two checks of what the VMs know.
pub const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(10);
/// Number of servers.
pub const SERVERS: usize = 60;

/// Running VMs and their store.
pub struct RunningVms {
    pub vms: rc::Rc<lossy::LossyVms>,
    pub store: rc::Rc<log_store::LogStore>,
    runs: Vec<tokio::task::JoinHandle<()>>,
    loss: f64,
    started: Instant,
}

impl Drop for RunningVms {
    fn drop(&mut self) {
        self.runs.iter().for_each(tokio::task::JoinHandle::abort);
    }
}

/// Name of a server by number.
pub fn name(number: usize) -> String {
    format!("i-{number:04}")
}

/// Entry of any server.
pub fn entry() -> update::ServerEntry {
    super::entry("app", 9, "d-0")
}

/// Entry of any server that leaves.
pub fn leaving() -> update::ServerEntry {
    update::ServerEntry {
        leaving: true,
        ..entry()
    }
}

impl RunningVms {
    /// Starts VMs that know each other and all servers.
    pub async fn start(vms: usize, loss: f64) -> Self {
        Self::start_with_fresh(vms, 0, loss).await
    }

    /// Starts VMs that know each other and all servers. `fresh` more, which know nothing but some
    /// addresses, can be started later.
    pub async fn start_with_fresh(vms: usize, fresh: usize, loss: f64) -> Self {
        let store = rc::Rc::new(log_store::LogStore::default());
        store.era.set(1);
        for number in 0..SERVERS {
            store.append(&name(number), Some(entry()));
        }
        let document = bytes::Bytes::from_static(b"1");
        store.operate(log_store::OperatorRecord::Document(document));
        store.contents.borrow_mut().system = Some(super::system_id(super::SYSTEM));
        let first = store.records();
        let vms = lossy::LossyVms::new_with_fresh(vms + fresh, fresh, loss, vms as u64, &first);
        let mut running = Self {
            vms,
            store,
            runs: Vec::new(),
            loss,
            started: Instant::now(),
        };
        for own in 0..running.vms.vms.len() - fresh {
            running.start_vm(own);
        }
        clock::sleep(WARM_UP).await;
        running
    }

    /// Ends the processes of all VMs, and starts them again with nothing but what the store has.
    pub fn restart_all(&mut self) {
        let count = self.vms.vms.len();
        self.runs.drain(..).for_each(|run| run.abort());
        let first = self.store.records();
        self.vms = lossy::LossyVms::new(count, self.loss, 1 + count as u64, &first);
        let uptime = u64::try_from(self.started.elapsed().as_millis()).expect("small");
        for (own, vm) in self.vms.vms.iter().enumerate() {
            vm.plane.state().settings.incarnation = 1 + uptime + own as u64;
        }
        for own in 0..count {
            self.start_vm(own);
        }
    }

    /// Starts one VM.
    pub fn start_vm(&mut self, own: usize) {
        let plane = self.vms.vms[own].plane.clone();
        super::start(&plane);
        let store = self.store.clone();
        let vms = self.vms.clone();
        let run = async move {
            tokio::join!(
                lossy::run_vm(vms, store.clone(), own),
                follow::follow_catalog(plane.clone(), store.clone(), lossy::decode),
                crash_store::keep_crashes(plane.clone(), store.clone()),
                follow::discover_peers(plane, store),
            );
        };
        let run = log_store::CALLER.scope(own, run);
        self.runs.push(tokio::task::spawn_local(run));
    }

    /// Takes the store away for a while.
    pub async fn outage(&self, duration: time::Duration) {
        self.store.away.set(true);
        clock::sleep(duration).await;
        self.store.away.set(false);
    }

    /// Takes the store away for a while, after which it comes back from an older copy.
    pub async fn drill(&self, copy: log_store::StoreContents, duration: time::Duration) {
        self.drill_and(copy, duration, |_| ()).await;
    }

    /// The same; what `write` writes is in the store before it answers any VM.
    pub async fn drill_and(
        &self,
        copy: log_store::StoreContents,
        duration: time::Duration,
        write: impl FnOnce(&log_store::LogStore),
    ) {
        self.store.away.set(true);
        clock::sleep(duration).await;
        self.store.restore(copy);
        write(&self.store);
        self.store.away.set(false);
    }

    /// VMs that send work to a server.
    pub fn senders(&self, server: &str) -> Vec<usize> {
        let now = Instant::now();
        let sends = |number: &usize| {
            let state = self.vms.vms[*number].plane.state();
            let key = state.fleet.find(server);
            let record = key.and_then(|key| state.fleet.server(key));
            record.is_some_and(|record| record.takes_work(now))
        };
        (0..self.runs.len()).filter(sends).collect()
    }

    /// Waits until no VM sends work to a server, at most somewhat longer than `limit`. Returns the
    /// time that it took.
    pub async fn known_after(&self, server: &str, limit: time::Duration) -> time::Duration {
        let no_sender = || self.senders(server).is_empty();
        wait_until(no_sender, limit).await
    }

    /// Checks that no VM sends work to a server after `limit`.
    pub async fn check_known(&self, server: &str, limit: time::Duration) {
        let took = self.known_after(server, limit).await;
        let (senders, vms) = (self.senders(server), self.runs.len());
        assert!(took <= limit, "{senders:?} of {vms} VMs send to it");
    }
}

/// Waits until a condition holds, at most somewhat longer than `limit`. Returns the time that it
/// took.
pub async fn wait_until(condition: impl Fn() -> bool, limit: time::Duration) -> time::Duration {
    let from = Instant::now();
    while !condition() && from.elapsed() <= limit {
        clock::sleep(CHECK_INTERVAL).await;
    }
    from.elapsed()
}

/// Runs a scenario with few VMs, with as many as form a full mesh, and with more.
pub fn check<F: Future<Output = ()>>(scenario: impl Fn(usize) -> F) {
    for vms in [9, 78, 300] {
        super::run(scenario(vms));
    }
}

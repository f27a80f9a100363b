//! Limits that servers state in their answers, kept by all VMs together.

mod cluster;

use std::{rc, time};

use cluster::lossy;
use exchange::{catalog, port};
use tokio::time::{self as clock, Instant};

/// Window in which the users count the requests at a limited server.
const WINDOW: time::Duration = time::Duration::from_secs(4);
/// Time after the first statement of a limit from which the users count.
const CONTACT: time::Duration = time::Duration::from_secs(3);
/// Time after an answer with the limit from which the users count a VM.
const TOLD: time::Duration = time::Duration::from_millis(500);
/// Time for which requests are sent after the limit was stated.
const LIMITED_TIME: time::Duration = time::Duration::from_secs(12);
/// Time for which VMs run without a limit.
const WARM_UP: time::Duration = time::Duration::from_millis(1_500);

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
struct LimitScenario {
    vms: usize,
    /// Fraction of datagrams between VMs that is lost.
    loss: f64,
    /// Requests per second that server `s1` states.
    per_second: f64,
    /// Requests of callers per second, over all VMs.
    callers: f64,
    kind: catalog::ExchangeKind,
}

/// Running VMs, with two servers of each service, of which `s1` and `e1` may state limits.
struct LimitedVms {
    vms: rc::Rc<lossy::LossyVms>,
    runs: Vec<tokio::task::JoinHandle<()>>,
    requests: usize,
}

impl Drop for LimitedVms {
    fn drop(&mut self) {
        self.runs.iter().for_each(tokio::task::JoinHandle::abort);
    }
}

impl LimitedVms {
    fn start(scenario: &LimitScenario) -> Self {
        let store = rc::Rc::new(lossy::LogStore::default());
        for (number, service) in [(1, "app"), (2, "app"), (11, "llm"), (12, "llm")] {
            let id = format!(
                "{}{}",
                if service == "app" { "s" } else { "e" },
                number % 10
            );
            store.append(&id, Some(cluster::entry(service, number, "d-0")));
        }
        let first = store.records.borrow().clone();
        let seed = scenario.vms as u64;
        let vms = lossy::LossyVms::new(scenario.vms, scenario.loss, seed, &first);
        let mut runs = Vec::new();
        for (own, vm) in vms.vms.iter().enumerate() {
            let run = lossy::run_vm(vms.clone(), store.clone(), own);
            runs.push(tokio::task::spawn_local(run));
            cluster::start(&vm.plane);
        }
        let requests = 0;
        Self {
            vms,
            runs,
            requests,
        }
    }

    /// Lets a server state this in each of its answers from now on.
    fn state_limit(&self, server: &str, limit: port::LimitSignal) {
        for vm in &self.vms.vms {
            let signals = port::ServerSignals { limit: Some(limit) };
            let mut all = vm.plane.port().signals.borrow_mut();
            all.insert(server.to_owned(), signals);
        }
    }

    /// Sends the requests of callers, each to a random VM, for `duration`.
    async fn call(&mut self, scenario: &LimitScenario, duration: time::Duration) {
        let until = Instant::now() + duration;
        while Instant::now() < until {
            clock::sleep(time::Duration::from_secs_f64(1.0 / scenario.callers)).await;
            self.requests += 1;
            let vm = (self.vms.draw() * self.vms.vms.len() as f64) as usize;
            let plane = self.vms.vms[vm].plane.clone();
            let request = cluster::request(&format!("r{}", self.requests), scenario.kind);
            tokio::task::spawn_local(async move {
                let _ = plane.serve(request).await;
            });
        }
    }

    /// Most requests of any kind that a server got in a window that ends after `from`, from VMs to
    /// which it had stated its limit.
    fn most_requests(&self, server: &str, from: Instant) -> usize {
        let ports = || self.vms.vms.iter().map(|vm| vm.plane.port());
        let arrivals = ports().flat_map(|port| {
            let told = port.told.borrow().get(server).copied();
            let arrivals = port.arrivals.borrow();
            let own = arrivals.iter().filter(|(at, _)| at == server);
            own.map(move |&(_, at)| (at, told)).collect::<Vec<_>>()
        });
        let arrivals: Vec<_> = arrivals.collect();
        let ends = arrivals.iter().filter(|(at, _)| *at >= from);
        let counts = ends.map(|&(end, _)| {
            let counted = arrivals.iter().filter(|&&(at, told)| {
                told.is_some_and(|told| told + TOLD <= end) && at <= end && at + WINDOW > end
            });
            counted.count()
        });
        counts.max().unwrap_or_default()
    }
}

/// Most requests of a window that the users allow.
fn allowed(per_second: f64) -> usize {
    (1.5 * per_second * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Runs one scenario; returns the most requests that the limited server got in a window.
async fn most_requests(scenario: LimitScenario) -> usize {
    let mut running = LimitedVms::start(&scenario);
    running.call(&scenario, WARM_UP).await;
    let limit = port::LimitSignal::PerSecond(scenario.per_second);
    let server = match scenario.kind {
        catalog::ExchangeKind::Stream => "e1",
        _ => "s1",
    };
    running.state_limit(server, limit);
    let stated_at = Instant::now();
    running.call(&scenario, LIMITED_TIME).await;
    running.most_requests(server, stated_at + CONTACT)
}

#[test]
fn a_limit_holds_over_all_vms_for_calls() {
    // Guards against a server that gets its limit from each of many VMs, or that no VM heeds.
    for vms in [2, 7, 30, 100, 300] {
        cluster::run(async move {
            let scenario = LimitScenario {
                vms,
                loss: 0.05,
                per_second: 3.9,
                callers: 60.0,
                kind: catalog::ExchangeKind::Idempotent,
            };
            let most = most_requests(scenario).await;
            let allowed = allowed(scenario.per_second);
            assert!(most <= allowed, "{most} of {allowed} from {vms} VMs");
        });
    }
}

#[test]
fn a_limit_holds_over_all_vms_for_streams() {
    // Guards against reservations and attempts of streams that a limit does not count.
    for vms in [2, 7, 30] {
        cluster::run(async move {
            let scenario = LimitScenario {
                vms,
                loss: 0.05,
                per_second: 1.5,
                callers: 10.0,
                kind: catalog::ExchangeKind::Stream,
            };
            let most = most_requests(scenario).await;
            let allowed = allowed(scenario.per_second);
            assert!(most <= allowed, "{most} of {allowed} from {vms} VMs");
        });
    }
}

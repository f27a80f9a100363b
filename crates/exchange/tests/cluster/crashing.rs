//! Servers that crash under a request or a part of a prompt, and VMs that send to them.

use std::{cell, collections, rc, time};

use exchange::{announce, catalog, crash_store, link, plane, reply, request, update};
use tokio::time::{self as clock, Instant};

/// Time from the arrival of a call until its server crashes.
pub const CRASH_DELAY: time::Duration = time::Duration::from_millis(50);
/// Time from a crash until a successor is listed.
const RESTART_TIME: time::Duration = time::Duration::from_secs(3);
/// Interval between regular datagrams, and the time that a datagram takes.
const ANNOUNCE_INTERVAL: time::Duration = time::Duration::from_millis(150);
const LINK_DELAY: time::Duration = time::Duration::from_millis(2);

/// Time after the last crash that does not count from which no more than [`MAX_RETRIES`] of a cause
/// may reach servers.
pub const CONTACT: time::Duration = time::Duration::from_secs(3);
pub const MAX_RETRIES: usize = 3;
/// Refusal of what is quarantined.
pub const QUARANTINED: CallEnd = CallEnd::Refused(reply::RefusalCause::Quarantined);

/// Plays scenarios one after the other, and fails after the last one if any did not hold.
pub fn check_all<T: Copy + std::fmt::Debug, F: Future<Output = bool>>(
    plays: impl IntoIterator<Item = T>,
    holds: impl Fn(T) -> F,
) {
    let mut broken = Vec::new();
    for play in plays {
        super::run(async {
            if !holds(play).await {
                broken.push(play);
            }
        });
    }
    assert!(broken.is_empty(), "{} broken: {broken:?}", broken.len());
}

/// What crashes servers, and which of them are down. All VMs share it.
#[derive(Debug, Default)]
pub struct CrashBoard {
    /// Fingerprints of requests that crash servers.
    pub bad_requests: cell::RefCell<collections::BTreeSet<u64>>,
    /// Parts of prompts that crash servers.
    pub bad_parts: cell::RefCell<collections::BTreeSet<u64>>,
    /// Number of events before a stream crashes its server.
    pub events_before: cell::Cell<u32>,
    /// Whether that is the most of them, and each run draws its own.
    pub draws_events: cell::Cell<bool>,
    /// Number of large parts of an answer to a call that its server sends before it crashes.
    pub large_parts: cell::Cell<u32>,
    /// Time from the arrival of a request until its server crashes; [`CRASH_DELAY`] if none is set.
    pub delay: cell::Cell<Option<time::Duration>>,
    /// Whether servers go on with requests whose connection is closed.
    pub keeps_on: cell::Cell<bool>,
    /// Whether a run that goes on crashes its server before the head of the answer.
    pub resumed_before_head: cell::Cell<bool>,
    down: cell::RefCell<collections::BTreeSet<String>>,
    changed: tokio::sync::Notify,
    /// When each server crashed.
    pub crashes: cell::RefCell<Vec<(String, Instant)>>,
    /// When requests that crash servers reached one, with their ids.
    pub arrivals: cell::RefCell<Vec<(String, Instant)>>,
    /// Servers with the causes that run there, one for each run.
    running: cell::RefCell<Vec<(String, u64)>>,
    /// Causes that ran on a server as it crashed, with the time.
    under: cell::RefCell<Vec<(u64, Instant)>>,
    /// When each cause reached a server.
    sent: cell::RefCell<Vec<(u64, Instant)>>,
}

/// A run of a request that crashes its server.
#[derive(Debug)]
pub struct BadRun {
    board: rc::Rc<CrashBoard>,
    run: (String, u64),
}

impl Drop for BadRun {
    fn drop(&mut self) {
        let mut running = self.board.running.borrow_mut();
        if let Some(index) = running.iter().position(|run| *run == self.run) {
            running.swap_remove(index);
        }
    }
}

impl CrashBoard {
    /// What makes a request crash its server: its fingerprint, or a part of its prompt.
    pub fn cause_of(&self, request: &request::ExchangeRequest) -> Option<u64> {
        if self.bad_requests.borrow().contains(&request.fingerprint) {
            return Some(request.fingerprint);
        }
        let parts = request.size.as_ref().map_or(&[][..], |size| &size.parts);
        let bad_parts = self.bad_parts.borrow();
        let mut hashes = parts.iter().map(|part| part.hash);
        hashes.find(|hash| bad_parts.contains(hash))
    }

    /// Counts a run that will crash its server.
    pub fn begin(self: &rc::Rc<Self>, server: &str, cause: u64) -> BadRun {
        self.sent.borrow_mut().push((cause, Instant::now()));
        let run = (server.to_owned(), cause);
        self.running.borrow_mut().push(run.clone());
        BadRun {
            board: self.clone(),
            run,
        }
    }

    /// Time from the arrival of a request until its server crashes.
    pub fn delay(&self) -> time::Duration {
        self.delay.get().unwrap_or(CRASH_DELAY)
    }

    /// Number of events before the next run crashes its server.
    pub fn draw_events(&self) -> u32 {
        let most = self.events_before.get();
        if !self.draws_events.get() {
            return most;
        }
        let number = self.sent.borrow().len() as u32;
        number.wrapping_mul(2_654_435_761) % (most + 1)
    }

    pub fn is_down(&self, server: &str) -> bool {
        self.down.borrow().contains(server)
    }

    /// Crashes a server, with all that runs there.
    pub fn crash(&self, server: &str) {
        if self.down.borrow_mut().insert(server.to_owned()) {
            let crash = (server.to_owned(), Instant::now());
            self.crashes.borrow_mut().push(crash);
            let mut causes: Vec<_> = self.running.borrow().clone();
            causes.retain(|(of, _)| of == server);
            causes.sort_unstable();
            causes.dedup();
            let under = causes.into_iter().map(|(_, cause)| (cause, Instant::now()));
            self.under.borrow_mut().extend(under);
            self.changed.notify_waiters();
        }
    }

    /// Restarts all servers under their names.
    pub fn restart_all(&self) {
        self.down.borrow_mut().clear();
    }

    /// Waits until a server crashes.
    pub async fn crashed(&self, server: &str) {
        loop {
            let changed = self.changed.notified();
            if self.is_down(server) {
                return;
            }
            changed.await;
        }
    }

    pub fn count_arrival(&self, id: &str) {
        let arrival = (id.to_owned(), Instant::now());
        self.arrivals.borrow_mut().push(arrival);
    }

    /// Number of servers that crashed while a cause ran there.
    pub fn crashes_under(&self, cause: u64) -> usize {
        let under = self.under.borrow();
        under.iter().filter(|(of, _)| *of == cause).count()
    }

    /// Number of runs of a cause that began later than `span` after its crash with this number.
    pub fn late_of(&self, cause: u64, crash: usize, span: time::Duration) -> usize {
        let under = self.under.borrow();
        let mut of_cause = under.iter().filter(|(of, _)| *of == cause);
        let Some((_, at)) = of_cause.nth(crash - 1) else {
            return 0;
        };
        let sent = self.sent.borrow();
        let late = sent
            .iter()
            .filter(|(of, began)| *of == cause && *began > *at + span);
        late.count()
    }

    /// Number of arrivals of bad requests later than `span` after the crash with this number.
    pub fn arrivals_after(&self, crash: usize, span: time::Duration) -> usize {
        let crashes = self.crashes.borrow();
        let Some((_, at)) = crashes.get(crash - 1) else {
            return 0;
        };
        let arrivals = self.arrivals.borrow();
        arrivals
            .iter()
            .filter(|(_, arrived)| *arrived > *at + span)
            .count()
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    Whole,
    /// The server's answer broke off.
    Broken,
    Refused(reply::RefusalCause),
}

/// Whether an answer is whole.
async fn is_whole(reply: reply::Reply) -> bool {
    match reply.body {
        reply::ReplyBody::Complete(_) => true,
        reply::ReplyBody::Parts(parts) => super::read(parts).await.complete,
    }
}

/// Lets a VM read and write crashes in the store.
fn keep_crashes(plane: &super::TestPlane, store: &rc::Rc<super::log_store::LogStore>) {
    let keeping = crash_store::keep_crashes(plane.clone(), store.clone());
    tokio::task::spawn_local(keeping);
}

/// VMs that tell each other of themselves, and servers that crash.
pub struct CrashingVms {
    pub vms: Vec<super::TestPlane>,
    pub board: rc::Rc<CrashBoard>,
    /// Servers by id, with their service, number and start order.
    servers: Vec<(String, &'static str, u8)>,
    restarted: usize,
    pub restart_time: time::Duration,
    offset: u64,
    announced_at: Instant,
    /// Paths on which datagrams are lost, as their sender and recipient.
    pub cut_paths: collections::BTreeSet<(usize, usize)>,
    /// Store to which VMs write crashes, if there is one.
    pub store: Option<rc::Rc<super::log_store::LogStore>>,
    started: Instant,
    /// Whether datagrams are exchanged at all.
    pub connected: bool,
    /// How requests ended, in the order of their ends.
    pub ends: rc::Rc<cell::RefCell<Vec<(String, CallEnd)>>>,
    requests: usize,
}

impl CrashingVms {
    /// Starts VMs that have run for a while before so many plain servers and engines.
    pub fn start(vms: usize, plain: u8, engines: u8) -> Self {
        let plain = (1..=plain).map(|number| (format!("s{number}"), "app", number));
        let engines = (1..=engines).map(|number| (format!("e{number}"), "llm", 10 + number));
        let mut running = Self {
            vms: Vec::new(),
            board: rc::Rc::default(),
            servers: plain.chain(engines).collect(),
            restarted: 0,
            restart_time: RESTART_TIME,
            offset: 1,
            announced_at: Instant::now(),
            cut_paths: collections::BTreeSet::new(),
            store: None,
            started: Instant::now(),
            connected: true,
            ends: rc::Rc::default(),
            requests: 0,
        };
        for _ in 0..vms {
            running.add_vm();
        }
        for vm in &running.vms {
            vm.state().started_at = Instant::now() - super::UPTIME;
        }
        running.announce();
        running
    }

    /// Starts one more VM, which knows the servers that run and nothing else.
    pub fn add_vm(&mut self) {
        let number = self.vms.len();
        let mut state = super::vm_state(number, 3);
        let now = Instant::now();
        state.take_catalog(super::catalog(1), bytes::Bytes::from_static(b"1"));
        state.servers_complete = true;
        for (id, service, number) in &self.servers {
            if !self.board.is_down(id) {
                let entry = super::entry(service, *number, "d-0");
                state.apply_update(super::update(id, self.offset, Some(entry)), false, now);
            }
        }
        for other in 0..number.min(3) {
            state.peers.add_address(super::vm_address(other));
        }
        let plane = plane::ExchangePlane::new(super::FakePort::default(), state);
        let plane = rc::Rc::new(plane);
        *plane.port().crashing.borrow_mut() = Some(self.board.clone());
        super::start(&plane);
        if let Some(store) = &self.store {
            let uptime = u64::try_from(self.started.elapsed().as_millis()).expect("small");
            let first_ms = u64::try_from(super::UPTIME.as_millis()).expect("small");
            plane.state().settings.incarnation = 1 + first_ms + uptime;
            keep_crashes(&plane, store);
        }
        self.vms.push(plane);
    }

    /// Gives all VMs a store, to which they write crashes.
    pub fn add_store(&mut self) {
        let store = rc::Rc::<super::log_store::LogStore>::default();
        for vm in &self.vms {
            keep_crashes(vm, &store);
        }
        self.store = Some(store);
    }

    /// Cuts the VMs of a group from all others.
    pub fn cut(&mut self, group: impl Fn(usize) -> bool) {
        let vms = 0..self.vms.len();
        let paths = vms.flat_map(|from| (0..self.vms.len()).map(move |to| (from, to)));
        let cut = paths.filter(|(from, to)| group(*from) != group(*to));
        self.cut_paths.extend(cut);
    }

    /// Lets each VM introduce itself to all others.
    pub fn announce(&mut self) {
        self.announced_at = Instant::now();
        if !self.connected {
            return;
        }
        let vms = self.vms.iter();
        let datagrams: Vec<_> = vms
            .map(|vm| announce::introduction(&mut vm.state()))
            .collect();
        for (from, datagram) in datagrams.iter().enumerate() {
            let others = (0..self.vms.len()).filter(|to| *to != from);
            for to in others.filter(|to| !self.cut_paths.contains(&(from, *to))) {
                link::take_datagram(&self.vms[to], datagram);
            }
        }
    }

    /// The name under which a server with this first name runs now.
    pub fn current_name(&self, first: &str) -> String {
        let mut servers = self.servers.iter().map(|(id, ..)| id);
        let current = servers.find(|id| id.split('.').next() == Some(first));
        current.expect("a server").clone()
    }

    /// Lists successors of servers that crashed some time ago.
    fn restart(&mut self) {
        loop {
            let crash = self.board.crashes.borrow().get(self.restarted).cloned();
            let Some((id, _)) = crash.filter(|(_, at)| at.elapsed() >= self.restart_time) else {
                return;
            };
            self.restarted += 1;
            let server = self.servers.iter_mut().find(|(server, ..)| *server == id);
            let server = server.expect("a server that ran");
            let base = id.split('.').next().expect("a name").to_owned();
            server.0 = format!("{base}.{}", self.restarted);
            let (successor, service, number) = server.clone();
            self.offset += 2;
            let entry = super::entry(service, number, "d-0");
            self.apply(&super::update(&id, self.offset, None));
            self.apply(&super::update(&successor, self.offset + 1, Some(entry)));
        }
    }

    fn apply(&self, update: &update::ServerUpdate) {
        for vm in &self.vms {
            let now = Instant::now();
            vm.state().apply_update(update.clone(), false, now);
            vm.wake_decisions();
        }
    }

    /// Lets some time pass.
    pub async fn pass(&mut self, duration: time::Duration) {
        let until = Instant::now() + duration;
        while Instant::now() < until {
            clock::sleep(LINK_DELAY).await;
            self.restart();
            if self.announced_at.elapsed() >= ANNOUNCE_INTERVAL {
                self.announce();
            }
        }
    }

    /// Sends a request to a VM.
    pub fn send(&mut self, vm: usize, request: request::ExchangeRequest) {
        let (plane, ends) = (self.vms[vm].clone(), self.ends.clone());
        let id = request.id.clone();
        tokio::task::spawn_local(async move {
            let end = match plane.serve(request).await {
                Err(refusal) => CallEnd::Refused(refusal.cause),
                Ok(reply) => match is_whole(reply).await {
                    true => CallEnd::Whole,
                    false => CallEnd::Broken,
                },
            };
            ends.borrow_mut().push((id, end));
        });
    }

    /// Sends a request to a VM; its caller leaves after a while.
    pub fn send_and_leave(
        &mut self,
        vm: usize,
        request: request::ExchangeRequest,
        after: time::Duration,
    ) {
        let plane = self.vms[vm].clone();
        tokio::task::spawn_local(clock::timeout(after, async move {
            if let Ok(reply) = plane.serve(request).await {
                is_whole(reply).await;
            }
        }));
    }

    /// A request whose id and fingerprint no other one has.
    pub fn request(&mut self, name: &str, kind: catalog::ExchangeKind) -> request::ExchangeRequest {
        self.requests += 1;
        let mut request = super::request(&format!("{name}-{}", self.requests), kind);
        if kind != catalog::ExchangeKind::Stream {
            request.deadline = request.arrived + time::Duration::from_secs(1);
            request.limit = request.deadline;
        }
        request
    }

    /// A request like all others with this fingerprint.
    pub fn alike(
        &mut self,
        name: &str,
        kind: catalog::ExchangeKind,
        fingerprint: u64,
    ) -> request::ExchangeRequest {
        let mut request = self.request(name, kind);
        request.fingerprint = fingerprint;
        request
    }

    /// A stream whose prompt has these parts, the last one of its own.
    pub fn stream_of(&mut self, name: &str, parts: &[u64]) -> request::ExchangeRequest {
        let mut request = self.request(name, catalog::ExchangeKind::Stream);
        let own = 1_000_000 + self.requests as u64;
        let size = request.size.as_mut().expect("a stream");
        let parts = parts.iter().chain(std::iter::once(&own));
        let part = |hash: &u64| request::PromptPart {
            hash: *hash,
            tokens: 500,
        };
        size.parts = parts.map(part).collect();
        request
    }

    /// How requests of this name ended.
    pub fn ends_of(&self, name: &str) -> Vec<CallEnd> {
        let ends = self.ends.borrow();
        let ends = ends
            .iter()
            .filter(|(id, _)| id.rsplit_once('-').is_some_and(|(of, _)| of == name));
        ends.map(|(_, end)| *end).collect()
    }

    /// How many requests of this name ended so.
    pub fn count(&self, name: &str, end: CallEnd) -> usize {
        self.ends_of(name)
            .into_iter()
            .filter(|it| *it == end)
            .count()
    }
}

//! A small world for tests of the plane: servers that behave as told, on the paused clock.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod cluster;
pub mod engines;
pub mod lossy;
pub mod store;

use std::{cell, collections, net, rc, time};

use bytes::Bytes;
use exchange::{ask, budget, catalog, fleet, plane, port, reply, state, system, update};
use tokio::sync::mpsc;

/// How one server answers the next try that it gets.
#[derive(Clone, Debug)]
pub enum ServerScript {
    /// A whole answer after a time.
    Answer(u16, time::Duration),
    /// An answer in this many parts of [`LARGE_PART`] bytes, one every so often.
    Large(u32, time::Duration),
    /// A stream of this many events, one every so often.
    Events(u32, time::Duration),
    /// A stream that breaks off after this many events.
    Breaks(u32, time::Duration),
    /// It was not run.
    NotRun(port::NotRunCause),
    /// It may have run.
    Lost,
    /// Nothing, ever.
    Silent,
}

/// Bytes of a part of a large answer.
pub const LARGE_PART: usize = 100_000;

/// What the servers saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeenCall {
    pub server: String,
    pub request: String,
    pub reservation: Option<String>,
    pub backup: Option<net::SocketAddr>,
    pub resume: Option<port::ResumePoint>,
    /// The server proved that it did not run it.
    pub proved: bool,
}

/// Servers that behave as told.
#[derive(Debug, Default)]
pub struct FakePort {
    pub scripts: cell::RefCell<collections::HashMap<String, collections::VecDeque<ServerScript>>>,
    pub seen: cell::RefCell<Vec<SeenCall>>,
    /// Servers that set nothing aside.
    pub full: cell::RefCell<collections::HashSet<String>>,
    /// Answers to copies, in order.
    pub copies: cell::RefCell<collections::VecDeque<Result<port::CopyDone, port::CopyFault>>>,
    /// Copies asked for: source, destination, whether the run was to stop.
    pub copied: cell::RefCell<Vec<(String, net::SocketAddr, bool)>>,
    /// Runs whose answers are still open, by server.
    pub open: rc::Rc<cell::RefCell<collections::BTreeMap<String, u32>>>,
}

/// Body of a fake answer.
#[derive(Debug)]
pub struct FakeBody {
    left: collections::VecDeque<Result<Bytes, port::LostCause>>,
    gap: time::Duration,
    server: String,
    open: rc::Rc<cell::RefCell<collections::BTreeMap<String, u32>>>,
}

impl Drop for FakeBody {
    fn drop(&mut self) {
        *self
            .open
            .borrow_mut()
            .entry(self.server.clone())
            .or_default() -= 1;
    }
}

impl port::AnswerBody for FakeBody {
    async fn next(&mut self) -> Option<Result<Bytes, port::LostCause>> {
        tokio::time::sleep(self.gap).await;
        self.left.pop_front()
    }
}

impl FakePort {
    pub fn tell(&self, server: &str, script: ServerScript) {
        self.scripts
            .borrow_mut()
            .entry(server.to_owned())
            .or_default()
            .push_back(script);
    }

    fn body(
        &self,
        call: &port::ServerCall,
        events: u32,
        gap: time::Duration,
        ok: bool,
    ) -> FakeBody {
        let first = call
            .resume
            .as_ref()
            .and_then(|resume| resume.last_event.as_ref()?.parse().ok());
        let first: u32 = first.map_or(0, |last: u32| last + 1);
        let mut left: collections::VecDeque<_> = (first..events)
            .map(|id| Ok(Bytes::from(format!("id: {id}\ndata: x\n\n"))))
            .collect();
        if !ok {
            left.push_back(Ok(Bytes::from("id: 99\nda")));
            left.push_back(Err(port::LostCause::Broken));
        }
        let server = call.target.id.clone();
        *self.open.borrow_mut().entry(server.clone()).or_default() += 1;
        FakeBody {
            left,
            gap,
            server,
            open: self.open.clone(),
        }
    }
}

impl port::ServerPort for FakePort {
    type Body = FakeBody;

    async fn open(&self, call: port::ServerCall) -> port::CallOutcome<FakeBody> {
        let script = {
            let mut scripts = self.scripts.borrow_mut();
            let script = scripts
                .get_mut(&call.target.id)
                .and_then(collections::VecDeque::pop_front);
            let gap = time::Duration::from_millis(10);
            script.unwrap_or(match call.ask.kind {
                catalog::ExchangeKind::Stream => ServerScript::Events(40, gap),
                _ => ServerScript::Answer(200, gap),
            })
        };
        self.seen.borrow_mut().push(SeenCall {
            server: call.target.id.clone(),
            request: call.ask.id.clone(),
            reservation: call.reservation.clone(),
            backup: call.backup,
            resume: call.resume.clone(),
            proved: matches!(script, ServerScript::NotRun(_)),
        });
        let (status, body) = match script {
            ServerScript::Answer(status, after) => {
                tokio::time::sleep(after).await;
                (status, self.body(&call, 1, time::Duration::ZERO, true))
            }
            ServerScript::Large(parts, gap) => {
                let mut body = self.body(&call, 0, gap, true);
                let part = Ok(Bytes::from_static(&[b'x'; LARGE_PART]));
                body.left = vec![part; parts as usize].into();
                (200, body)
            }
            ServerScript::Events(events, gap) => (200, self.body(&call, events, gap, true)),
            ServerScript::Breaks(events, gap) => (200, self.body(&call, events, gap, false)),
            ServerScript::NotRun(cause) => return port::CallOutcome::NotRun(cause),
            ServerScript::Lost => return port::CallOutcome::Lost(port::LostCause::Broken),
            ServerScript::Silent => std::future::pending().await,
        };
        port::CallOutcome::Answered(port::ServerAnswer {
            status: http::StatusCode::from_u16(status).expect("status"),
            headers: http::HeaderMap::new(),
            body,
        })
    }

    async fn reserve(
        &self,
        target: port::ServerTarget,
        _tokens: u64,
        _span: time::Duration,
    ) -> Result<String, port::ReserveFault> {
        if self.full.borrow().contains(&target.id) {
            return Err(port::ReserveFault::Full);
        }
        Ok(format!("hold-{}", target.id))
    }

    async fn copy(
        &self,
        source: port::ServerTarget,
        _run: String,
        to: net::SocketAddr,
        stop: bool,
    ) -> Result<port::CopyDone, port::CopyFault> {
        self.copied.borrow_mut().push((source.id, to, stop));
        tokio::time::sleep(time::Duration::from_millis(20)).await;
        let told = self.copies.borrow_mut().pop_front();
        told.unwrap_or(Ok(port::CopyDone {
            handle: String::from("h1"),
            events: 3,
        }))
    }

    async fn release(&self, _source: port::ServerTarget, _handle: String) {}
}

pub type TestPlane = rc::Rc<plane::ExchangePlane<FakePort>>;

pub fn address(number: u8) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 0, number], 80))
}

pub fn settings(name: &str) -> state::PlaneSettings {
    state::PlaneSettings {
        name: name.to_owned(),
        domain: String::from("a"),
        entry_address: address(200),
        link_address: address(201),
        seeds: Vec::new(),
        incarnation: 1,
        retries: budget::BudgetRule {
            ratio: 0.2,
            slack: 20.0,
            window: time::Duration::from_secs(10),
        },
        backups: true,
        moves: true,
    }
}

/// Name of one of many VMs.
pub fn vm_name(number: usize) -> String {
    format!("vm-{number:04}")
}

/// Where the others reach one of many VMs.
pub fn vm_address(number: usize) -> net::SocketAddr {
    let [high, low] = u16::try_from(number).expect("small").to_be_bytes();
    net::SocketAddr::from(([10, 1, high, low], 81))
}

/// Which of many VMs is reached there.
pub fn vm_number(address: net::SocketAddr) -> usize {
    let net::IpAddr::V4(ip) = address.ip() else {
        unreachable!("all are V4");
    };
    let [_, _, high, low] = ip.octets();
    usize::from(u16::from_be_bytes([high, low]))
}

/// One of many VMs in so many failure domains, which knows nothing but its system.
pub fn vm_state(number: usize, domains: usize) -> state::PlaneState {
    let settings = state::PlaneSettings {
        name: vm_name(number),
        domain: format!("d-{}", number % domains),
        link_address: vm_address(number),
        ..settings("")
    };
    let rng = rand::SeedableRng::seed_from_u64(number as u64);
    let mut state = state::PlaneState::new(settings, rng);
    state.system = system::SystemBelief::Known(system_id(SYSTEM));
    state
}

pub fn engine_rule() -> catalog::EngineRule {
    catalog::EngineRule {
        memory_tokens: 20_000,
        moves: true,
        backups: true,
        tokens_per_event: 4,
        copy_us_per_token: 50.0,
        reservation: Some(time::Duration::from_secs(2)),
    }
}

pub fn route(prefix: &str, service: &str, kind: catalog::ExchangeKind) -> catalog::RouteRule {
    catalog::RouteRule {
        name: prefix.to_owned(),
        host: String::from("h.example"),
        prefix: prefix.to_owned(),
        kind,
        timeout: time::Duration::from_secs(10),
        target_latency: time::Duration::from_millis(100),
        priority: 0,
        splits: vec![catalog::ServiceSplit {
            service: service.to_owned(),
            weight: 1,
        }],
        attempts: if kind == catalog::ExchangeKind::Idempotent {
            2
        } else {
            1
        },
        public: false,
    }
}

pub fn catalog(version: u64) -> catalog::RouteCatalog {
    let rule = |engine| catalog::ServiceRule {
        connections: 100,
        engine,
    };
    catalog::RouteCatalog {
        version,
        routes: vec![
            route("/safe/", "app", catalog::ExchangeKind::Idempotent),
            route("/once/", "app", catalog::ExchangeKind::Once),
            route("/stream/", "llm", catalog::ExchangeKind::Stream),
        ],
        services: [
            (String::from("app"), rule(None)),
            (String::from("llm"), rule(Some(engine_rule()))),
        ]
        .into(),
        organisations: vec![catalog::OrganisationRule {
            name: String::from("org"),
            priority: None,
        }],
        keys: [(String::from("key"), 0)].into(),
        keyed: true,
        limits: catalog::CallerLimits {
            header_bytes: 16_384,
            body_bytes: 1_000_000,
            idle_timeout: time::Duration::from_secs(15),
        },
    }
}

pub fn entry(service: &str, number: u8, domain: &str) -> update::ServerEntry {
    update::ServerEntry {
        started_at: update::StartTime::UNKNOWN,
        service: service.to_owned(),
        address: address(number),
        domain: domain.to_owned(),
        slots: 8,
        leaving: false,
        cold: time::Duration::ZERO,
    }
}

pub fn news(id: &str, offset: u64, entry: Option<update::ServerEntry>) -> update::ServerUpdate {
    update::ServerUpdate {
        id: id.to_owned(),
        offset,
        entry,
    }
}

/// Number of the system that all VMs here belong to.
pub const SYSTEM: u64 = 41;

pub fn system_id(number: u64) -> system::SystemId {
    system::SystemId::from_number(number).expect("not 0")
}

/// A plane with two plain servers (`s1`, `s2`) and two engines (`e1`, `e2`).
pub fn plane() -> TestPlane {
    let rng = rand::SeedableRng::seed_from_u64(7);
    let mut state = state::PlaneState::new(settings("vm-1"), rng);
    state.system = system::SystemBelief::Known(system_id(SYSTEM));
    let now = tokio::time::Instant::now();
    state.take_catalog(catalog(1), Bytes::from_static(b"1"));
    for (number, id) in [(1, "s1"), (2, "s2")] {
        state.take_news(news(id, 1, Some(entry("app", number, "a"))), false, now);
    }
    for (number, id) in [(11, "e1"), (12, "e2")] {
        state.take_news(news(id, 1, Some(entry("llm", number, "a"))), false, now);
    }
    rc::Rc::new(plane::ExchangePlane::new(FakePort::default(), state))
}

/// A server of `plane` stops taking work.
pub fn leave(plane: &TestPlane, id: &str, number: u8) {
    let mut leaving = entry("llm", number, "a");
    leaving.leaving = true;
    let now = tokio::time::Instant::now();
    let change = plane
        .state()
        .take_news(news(id, 50, Some(leaving)), false, now);
    assert!(matches!(change, fleet::FleetChange::Leaves(_)));
    plane.stir();
}

pub fn ask(id: &str, kind: catalog::ExchangeKind) -> ask::ExchangeAsk {
    let now = tokio::time::Instant::now();
    let stream = kind == catalog::ExchangeKind::Stream;
    let size = ask::GenerationSize {
        prompt_tokens: 3_000,
        most_tokens: 2_000,
        hint_tokens: Some(800),
        parts: Vec::new(),
    };
    ask::ExchangeAsk {
        id: id.to_owned(),
        method: http::Method::POST,
        target: String::from("/x/y"),
        host: String::from("h.example"),
        headers: http::HeaderMap::new(),
        body: Bytes::from_static(b"body"),
        organisation: Some(String::from("org")),
        route: String::from("r"),
        service: String::from(if stream { "llm" } else { "app" }),
        kind,
        priority: 0,
        attempts: if kind == catalog::ExchangeKind::Idempotent {
            2
        } else {
            1
        },
        arrived: now,
        deadline: now + time::Duration::from_secs(20),
        limit: now + time::Duration::from_secs(20),
        aim: time::Duration::from_millis(if stream { 1_800 } else { 100 }),
        size: stream.then_some(size),
        fingerprint: ask::fingerprint(id, None, b""),
    }
}

/// A streamed answer as its caller reads it.
#[derive(Debug, PartialEq, Eq)]
pub struct ReadStream {
    pub text: String,
    pub whole: bool,
}

pub async fn read(mut parts: mpsc::Receiver<reply::StreamPart>) -> ReadStream {
    let mut text = String::new();
    while let Some(part) = parts.recv().await {
        match part {
            reply::StreamPart::Bytes(bytes) => {
                text.push_str(std::str::from_utf8(&bytes).expect("text"))
            }
            reply::StreamPart::End => return ReadStream { text, whole: true },
        }
    }
    ReadStream { text, whole: false }
}

pub fn parts(reply: reply::Reply) -> mpsc::Receiver<reply::StreamPart> {
    match reply.body {
        reply::ReplyBody::Parts(parts) => parts,
        reply::ReplyBody::Whole(_) => panic!("not a stream"),
    }
}

/// The events from 0 up to `count`, each once and in order.
pub fn events(count: u32) -> String {
    (0..count)
        .map(|id| format!("id: {id}\ndata: x\n\n"))
        .collect()
}

/// Runs a test on one thread with the paused clock.
pub fn run<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// Lets the plane decide in the background.
pub fn start(plane: &TestPlane) {
    let plane = plane.clone();
    tokio::task::spawn_local(async move { plane.run_decisions().await });
}

/// Checks a property on `count` histories; the number of one that fails is printed.
pub fn histories(
    count: u64,
    property: impl Fn(&mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()>,
) {
    for number in 0..count {
        // The low half of a seed says how many bytes there are to draw from.
        let seed = (number.wrapping_mul(0x9E37_79B9) << 32) | 2_048;
        let ran = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            arbtest::arbtest(|u| property(u)).seed(seed).run();
        }));
        if let Err(cause) = ran {
            eprintln!("history {number} failed (seed {seed:#x})");
            std::panic::resume_unwind(cause);
        }
    }
}

//! Test cluster for the plane: fake servers with scripted behaviour, on the paused clock.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod called;
pub mod copying;
pub mod crashing;
pub mod engines;
pub mod handing;
pub mod log_store;
pub mod lossy;
pub mod many_vms;
pub mod repeating;
pub mod running;
pub mod store;

use std::{cell, collections, net, rc, time};

use bytes::Bytes;
use exchange::{
    budget, catalog, cold, fleet, handed, handover, permit, plane, port, position, reply, request,
    state, system, update,
};
use tokio::sync::mpsc;

/// Behaviour of a server for its next attempt.
#[derive(Clone, Debug)]
pub enum ServerScript {
    /// A complete response after a delay.
    Answer(u16, time::Duration),
    /// A response in this many parts of [`LARGE_PART`] bytes, at an interval.
    Large(u32, time::Duration),
    /// A stream of this many events, at an interval.
    Events(u32, time::Duration),
    /// A stream that breaks off after this many events.
    Breaks(u32, time::Duration),
    /// A response with this status whose body is given.
    Body(u16, GivenBody),
    /// The request was not run.
    NotRun(port::NotRunCause),
    /// The request may have run.
    Lost,
    /// The server never responds.
    Silent,
}

/// Body of a scripted response.
#[derive(Clone, Debug)]
pub struct GivenBody {
    pub parts: Vec<Bytes>,
    pub end: BodyEnd,
    /// Whether the response states the length of its body or sends it in chunks.
    pub delimited: bool,
}

/// Brittle servers by name.
pub type SharedServers = rc::Rc<cell::RefCell<collections::BTreeMap<String, SharedServer>>>;

/// A server that all VMs share, with room for a few requests.
#[derive(Clone, Debug)]
pub struct SharedServer {
    /// Requests that it takes at a time, waiting ones included.
    pub room: usize,
    pub running: usize,
    /// Requests per second that it can turn away.
    pub brittle: f64,
    /// When it turned requests away.
    pub turned_away: Vec<tokio::time::Instant>,
}

/// How the paths of a VM to all servers are cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathCut {
    /// New connections are refused at once.
    Refused,
    /// New connections hang.
    Silent,
}

/// How the connection of a response ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// Closed by the server after its last byte.
    Closed,
    /// Reset.
    Reset,
}

/// Time after which a connection that hangs is given up.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Size in bytes of a part of a large response.
pub const LARGE_PART: usize = 100_000;

/// A call received by a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeenCall {
    pub server: String,
    pub request: String,
    pub reservation: Option<String>,
    pub backup: Option<net::SocketAddr>,
    pub resume: Option<port::ResumePoint>,
    /// Whether the server proved that it did not run the request.
    pub proved: bool,
}

/// Fake servers with scripted behaviour.
#[derive(Debug, Default)]
pub struct FakePort {
    pub scripts: cell::RefCell<collections::HashMap<String, collections::VecDeque<ServerScript>>>,
    pub seen: cell::RefCell<Vec<SeenCall>>,
    /// Servers that answer with an error status unless a script says otherwise.
    pub erring: cell::RefCell<collections::HashSet<String>>,
    /// Events after which any server breaks a stream off.
    pub breaks_after: cell::Cell<Option<u32>>,
    /// Servers that refuse reservations.
    pub full: cell::RefCell<collections::HashSet<String>>,
    /// Results of copies, in order.
    pub copies: cell::RefCell<collections::VecDeque<Result<port::CopyDone, port::CopyFault>>>,
    /// Time after which a server reads a call to copy a run.
    pub copy_delays: cell::RefCell<collections::HashMap<String, time::Duration>>,
    /// Answers copies in place of scripted results.
    pub copier: cell::RefCell<Option<rc::Rc<copying::CopyServer>>>,
    /// Requested copies: source, target, whether the run was to stop.
    pub copied: cell::RefCell<Vec<(String, net::SocketAddr, bool)>>,
    /// Signals in each answer of a server.
    pub signals: cell::RefCell<collections::HashMap<String, port::ServerSignals>>,
    /// When each server first stated a limit to this VM.
    pub told: cell::RefCell<collections::HashMap<String, tokio::time::Instant>>,
    /// Rest that a server asks for when it turns the next request away.
    pub rests: cell::RefCell<collections::HashMap<String, time::Duration>>,
    /// When each server asked this VM for rest.
    pub asked_rest: cell::RefCell<collections::HashMap<String, tokio::time::Instant>>,
    /// When each server first said to this VM that it leaves.
    pub told_leaving: cell::RefCell<collections::HashMap<String, tokio::time::Instant>>,
    /// Requests of any kind that servers got, with the time.
    pub arrivals: cell::RefCell<Vec<(String, tokio::time::Instant)>>,
    /// Attempts that reached servers, by request, with the time.
    pub attempts: cell::RefCell<Vec<(String, tokio::time::Instant)>>,
    /// Requests whose attempt without a repeat reached a server.
    pub firsts: cell::RefCell<Vec<String>>,
    /// Requests that were handed over with a repeat.
    pub handed_with_repeat: cell::RefCell<Vec<String>>,
    /// Servers behind a path that stalls until a time. Attempts reach them then, also those that
    /// were given up.
    pub stalled: cell::RefCell<collections::HashMap<String, tokio::time::Instant>>,
    /// Time by which attempts beyond the first of their request are late: packets of their
    /// connections were lost, while others pass.
    pub loss_delay: cell::Cell<Option<time::Duration>>,
    /// Whether streams have neither a length nor chunks, and end with their connection.
    pub undelimited: cell::Cell<bool>,
    /// Runs that were stopped for a copy, by server and request.
    pub stopped: copying::StoppedRuns,
    /// Brittle servers that all VMs share, by name.
    pub shared: cell::RefCell<SharedServers>,
    /// Servers that refuse connections.
    pub unreachable: cell::RefCell<collections::BTreeSet<String>>,
    /// How the paths of this VM to all servers are cut.
    pub cut: cell::Cell<Option<PathCut>>,
    /// Time of an answer, and between events, unless a script says otherwise.
    pub pace: cell::Cell<Option<time::Duration>>,
    /// Time that a server takes to answer a reservation.
    pub reserve_time: cell::Cell<time::Duration>,
    /// Signals that open connections of this VM are reset.
    pub severed: rc::Rc<tokio::sync::Notify>,
    /// Servers that crash under some requests, shared by all VMs.
    pub crashing: cell::RefCell<Option<rc::Rc<crashing::CrashBoard>>>,
    /// Servers to which connections were tried.
    pub probed: cell::RefCell<Vec<String>>,
    /// Requests that were handed over, with the address of the other VM.
    pub handed: cell::RefCell<Vec<(String, net::SocketAddr)>>,
    /// Number of next handed requests whose answers are lost.
    pub lost_answers: cell::Cell<u32>,
    /// Other VMs by the address at which they take requests over.
    pub vms: cell::RefCell<
        collections::HashMap<net::SocketAddr, rc::Weak<plane::ExchangePlane<FakePort>>>,
    >,
    /// Runs whose responses are still open, by server.
    pub open: rc::Rc<cell::RefCell<collections::BTreeMap<String, u32>>>,
}

/// Body of a fake response.
#[derive(Debug)]
pub struct FakeBody {
    left: collections::VecDeque<Result<Bytes, port::LostCause>>,
    interval: time::Duration,
    server: String,
    request: String,
    delimited: bool,
    /// Whether it ends once its run was stopped.
    ends_stopped: bool,
    stopped: copying::StoppedRuns,
    open: rc::Rc<cell::RefCell<collections::BTreeMap<String, u32>>>,
    severed: rc::Rc<tokio::sync::Notify>,
    crashing: Option<rc::Rc<crashing::CrashBoard>>,
    /// Present if the run crashes its server after what is left.
    crashes: Option<crashing::BadRun>,
    /// Whether nothing comes after what is left.
    hangs: bool,
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

impl port::ResponseBody for FakeBody {
    async fn next(&mut self) -> Option<Result<Bytes, port::LostCause>> {
        let crashing = self.crashing.clone();
        tokio::select! {
            biased;
            () = crashed(crashing.as_deref(), &self.server) => {
                return Some(Err(port::LostCause::Broken));
            }
            () = self.severed.notified() => return Some(Err(port::LostCause::Broken)),
            () = tokio::time::sleep(self.interval) => {}
        }
        if self.hangs && self.left.is_empty() {
            crashed(crashing.as_deref(), &self.server).await;
            return Some(Err(port::LostCause::Broken));
        }
        if let Some(board) = crashing.filter(|_| self.crashes.is_some() && self.left.is_empty()) {
            board.crash(&self.server);
            return Some(Err(port::LostCause::Broken));
        }
        // The server closes the stream of a stopped run without its end.
        let run = (self.server.clone(), self.request.clone());
        if self.ends_stopped && self.stopped.borrow().contains(&run) {
            return self.delimited.then_some(Err(port::LostCause::Broken));
        }
        self.left.pop_front()
    }

    fn is_delimited(&self) -> bool {
        self.delimited
    }
}

fn responded(body: FakeBody) -> port::CallOutcome<FakeBody> {
    port::CallOutcome::Responded(port::ServerResponse {
        status: http::StatusCode::OK,
        headers: http::HeaderMap::new(),
        body,
    })
}

/// Waits until a server crashes, if any does.
async fn crashed(board: Option<&crashing::CrashBoard>, server: &str) {
    match board {
        Some(board) => board.crashed(server).await,
        None => std::future::pending().await,
    }
}

impl FakePort {
    /// Cuts the paths to all servers, and resets open connections.
    pub fn sever(&self) {
        self.cut.set(Some(PathCut::Refused));
        self.severed.notify_waiters();
    }

    pub fn push_script(&self, server: &str, script: ServerScript) {
        self.scripts
            .borrow_mut()
            .entry(server.to_owned())
            .or_default()
            .push_back(script);
    }

    /// Opens a connection to a server; returns whether it is reached.
    async fn path(&self, server: &str) -> bool {
        let crashing = self.crashing.borrow().clone();
        if crashing.is_some_and(|board| board.is_down(server)) {
            return false;
        }
        if self.unreachable.borrow().contains(server) {
            return false;
        }
        match self.cut.get() {
            None => true,
            Some(PathCut::Refused) => false,
            Some(PathCut::Silent) => {
                tokio::time::sleep(CONNECT_TIMEOUT).await;
                false
            }
        }
    }

    fn body(
        &self,
        call: &port::ServerCall,
        events: u32,
        interval: time::Duration,
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
        let delimited = !self.undelimited.get();
        if !ok {
            left.push_back(Ok(Bytes::from("id: 99\nda")));
            if delimited {
                left.push_back(Err(port::LostCause::Broken));
            }
        }
        self.fake_body(call, left, interval, delimited)
    }

    fn fake_body(
        &self,
        call: &port::ServerCall,
        left: collections::VecDeque<Result<Bytes, port::LostCause>>,
        interval: time::Duration,
        delimited: bool,
    ) -> FakeBody {
        let server = call.target.id.clone();
        *self.open.borrow_mut().entry(server.clone()).or_default() += 1;
        if call.resume.is_some() {
            let run = (call.target.id.clone(), call.request.id.clone());
            self.stopped.borrow_mut().remove(&run);
        }
        FakeBody {
            left,
            interval,
            server,
            request: call.request.id.clone(),
            delimited,
            ends_stopped: !delimited || self.copier.borrow().is_some(),
            stopped: self.stopped.clone(),
            open: self.open.clone(),
            severed: self.severed.clone(),
            crashing: self.crashing.borrow().clone(),
            crashes: None,
            hangs: false,
        }
    }
}

impl port::ServerPort for FakePort {
    type Body = FakeBody;

    async fn open(
        &self,
        call: port::ServerCall,
        proof: permit::PermitProof,
    ) -> port::SignalledReply<port::CallOutcome<FakeBody>> {
        let server = call.target.id.clone();
        if !self.path(&server).await {
            let cause = port::NotRunCause::Unreachable;
            return port::SignalledReply::silent(port::CallOutcome::NotRun(cause));
        }
        let now = tokio::time::Instant::now();
        let stalled_until = self.stalled.borrow().get(&server).copied();
        let mut arrives_at = stalled_until.map_or(now, |until| until.max(now));
        if let Some(delay) = self.loss_delay.get() {
            let attempts = self.attempts.borrow();
            if attempts.iter().any(|(id, _)| *id == call.request.id) {
                arrives_at += delay;
            }
        }
        let attempt = (call.request.id.clone(), arrives_at);
        self.attempts.borrow_mut().push(attempt);
        if proof.is_first() {
            let request = call.request.id.clone();
            self.firsts.borrow_mut().push(request);
        }
        tokio::time::sleep_until(arrives_at).await;
        if let Some(signals) = self.take_turn_away(&server) {
            self.count(&server);
            let reply = port::CallOutcome::NotRun(port::NotRunCause::Rejected);
            return port::SignalledReply { reply, signals };
        }
        let crashing = self.crashing.borrow().clone();
        let reply = tokio::select! {
            biased;
            () = crashed(crashing.as_deref(), &server) => {
                port::CallOutcome::Lost(port::LostCause::Broken)
            }
            () = self.severed.notified() => port::CallOutcome::Lost(port::LostCause::Broken),
            reply = self.respond_shared(call) => reply,
        };
        let answered = !matches!(reply, port::CallOutcome::Lost(_));
        let mut reply = self.signalled(&server, reply, answered);
        let shared = self.shared.borrow().clone();
        if let Some(shared) = shared.borrow().get(&server) {
            reply.signals.brittle = Some(port::LimitSignal::PerSecond(shared.brittle));
        }
        reply
    }

    async fn reserve(
        &self,
        target: port::ServerTarget,
        _tokens: u64,
        _span: time::Duration,
    ) -> port::SignalledReply<Result<String, port::ReserveFault>> {
        tokio::time::sleep(self.reserve_time.get()).await;
        if !self.path(&target.id).await {
            return port::SignalledReply::silent(Err(port::ReserveFault::Unreachable));
        }
        self.count(&target.id);
        if let Some(signals) = self.take_turn_away(&target.id) {
            let reply = Err(port::ReserveFault::Full);
            return port::SignalledReply { reply, signals };
        }
        let reply = if self.full.borrow().contains(&target.id) {
            Err(port::ReserveFault::Full)
        } else {
            Ok(format!("hold-{}", target.id))
        };
        self.signalled(&target.id, reply, true)
    }

    async fn copy(
        &self,
        source: port::ServerTarget,
        run: String,
        to: net::SocketAddr,
        stop: bool,
    ) -> port::SignalledReply<Result<port::CopyDone, port::CopyFault>> {
        self.count(&source.id);
        self.copied.borrow_mut().push((source.id.clone(), to, stop));
        let delay = self.copy_delays.borrow().get(&source.id).copied();
        tokio::time::sleep(delay.unwrap_or_default()).await;
        let copier = self.copier.borrow().clone();
        if let Some(copier) = copier {
            let reply = copier.copy(&source.id, &run, stop, &self.stopped).await;
            return self.signalled(&source.id, reply, true);
        }
        tokio::time::sleep(time::Duration::from_millis(20)).await;
        let reply = self.copies.borrow_mut().pop_front();
        let reply = reply.unwrap_or(Ok(port::CopyDone {
            handle: String::from("h1"),
            events: 3,
        }));
        let refused = matches!(reply, Err(port::CopyFault::NoRun | port::CopyFault::Busy));
        if stop && !refused {
            let stopped = (source.id.clone(), run);
            self.stopped.borrow_mut().insert(stopped);
        }
        self.signalled(&source.id, reply, true)
    }

    async fn release(
        &self,
        source: port::ServerTarget,
        _handle: String,
    ) -> port::SignalledReply<()> {
        self.count(&source.id);
        self.signalled(&source.id, (), true)
    }

    async fn probe(&self, target: port::ServerTarget) -> port::ProbeOutcome {
        self.probed.borrow_mut().push(target.id.clone());
        let hangs = self.cut.get() == Some(PathCut::Silent);
        match self.path(&target.id).await {
            true => port::ProbeOutcome::Reached,
            false if hangs => port::ProbeOutcome::Unreached,
            false => port::ProbeOutcome::Refused,
        }
    }

    async fn hand_over(
        &self,
        peer: net::SocketAddr,
        request: handed::HandedRequest,
        proof: permit::PermitProof,
    ) -> Result<handover::HandedAnswer, handover::HandoverError> {
        if !proof.is_first() {
            let id = request.id.clone();
            self.handed_with_repeat.borrow_mut().push(id);
        }
        self.handed.borrow_mut().push((request.id.clone(), peer));
        let plane = self.vms.borrow().get(&peer).and_then(rc::Weak::upgrade);
        let plane = plane.ok_or(handover::HandoverError::Unsent)?;
        let request = handover::take_request(&plane, request);
        let request = request.ok_or(handover::HandoverError::Unsent)?;
        let answer = Box::pin(plane.serve(request)).await;
        if self.lost_answers.get() > 0 {
            self.lost_answers.set(self.lost_answers.get() - 1);
            return Err(handover::HandoverError::Lost);
        }
        Ok(answer)
    }
}

impl FakePort {
    /// Lets a server turn the next request away and ask for rest.
    pub fn turn_away(&self, server: &str, rest: time::Duration) {
        self.rests.borrow_mut().insert(server.to_owned(), rest);
    }

    /// Signals of a server that turns this request away.
    fn take_turn_away(&self, server: &str) -> Option<port::ServerSignals> {
        let rest = self.rests.borrow_mut().remove(server)?;
        let now = tokio::time::Instant::now();
        self.asked_rest.borrow_mut().insert(server.to_owned(), now);
        Some(port::ServerSignals {
            rest: Some(rest),
            ..port::ServerSignals::default()
        })
    }

    /// Records that a server got a request of any kind.
    fn count(&self, server: &str) {
        let now = tokio::time::Instant::now();
        self.arrivals.borrow_mut().push((server.to_owned(), now));
    }

    /// Adds the signals that the server gives now, if it answered.
    fn signalled<T>(&self, server: &str, reply: T, answered: bool) -> port::SignalledReply<T> {
        let signals = self.signals.borrow().get(server).copied();
        let signals = signals.filter(|_| answered).unwrap_or_default();
        if let Some(port::LimitSignal::PerSecond(_)) = signals.limit {
            let now = tokio::time::Instant::now();
            let mut told = self.told.borrow_mut();
            told.entry(server.to_owned()).or_insert(now);
        }
        if signals.leaving {
            let now = tokio::time::Instant::now();
            let mut told = self.told_leaving.borrow_mut();
            told.entry(server.to_owned()).or_insert(now);
        }
        port::SignalledReply { reply, signals }
    }

    /// Responds, or turns the request away if a shared server has no room.
    async fn respond_shared(&self, call: port::ServerCall) -> port::CallOutcome<FakeBody> {
        let server = call.target.id.clone();
        let servers = self.shared.borrow().clone();
        let taken = servers.borrow_mut().get_mut(&server).map(|shared| {
            let taken = shared.running < shared.room;
            if taken {
                shared.running += 1;
            } else {
                shared.turned_away.push(tokio::time::Instant::now());
            }
            taken
        });
        if taken == Some(false) {
            return port::CallOutcome::NotRun(port::NotRunCause::Rejected);
        }
        let reply = self.respond(call).await;
        if let Some(shared) = servers.borrow_mut().get_mut(&server) {
            shared.running -= 1;
        }
        reply
    }

    /// Takes the script for an attempt.
    fn take_script(&self, call: &port::ServerCall) -> ServerScript {
        let mut scripts = self.scripts.borrow_mut();
        let script = scripts
            .get_mut(&call.target.id)
            .and_then(collections::VecDeque::pop_front);
        let interval = self.pace.get().unwrap_or(time::Duration::from_millis(10));
        let errs = self.erring.borrow().contains(&call.target.id);
        let breaks_after = self.breaks_after.get();
        script.unwrap_or(match call.request.kind {
            catalog::ExchangeKind::Stream if breaks_after.is_some() => {
                let seen = call
                    .resume
                    .as_ref()
                    .and_then(|resume| resume.last_event.as_ref());
                let seen = seen.and_then(|last| last.parse::<u32>().ok());
                let events = breaks_after.unwrap_or_default();
                ServerScript::Breaks(seen.map_or(0, |last| last + 1) + events, interval)
            }
            _ if errs => ServerScript::Answer(500, interval),
            catalog::ExchangeKind::Stream => ServerScript::Events(40, interval),
            _ => ServerScript::Answer(200, interval),
        })
    }

    /// Crashes the server of a bad request: a call before its answer, a stream after some events.
    async fn crash(
        &self,
        call: &port::ServerCall,
        board: rc::Rc<crashing::CrashBoard>,
        cause: u64,
    ) -> port::CallOutcome<FakeBody> {
        board.count_arrival(&call.request.id);
        let run = board.begin(&call.target.id, cause);
        let before_head = call.resume.is_some() && board.resumed_before_head.get();
        let is_stream = call.request.kind == catalog::ExchangeKind::Stream && !before_head;
        let interval = time::Duration::from_millis(10);
        let events = board.draw_events();
        let delay = board.delay();
        if board.keeps_on.get() {
            let runs = if is_stream {
                interval * (events + 1)
            } else {
                time::Duration::ZERO
            };
            let server = call.target.id.clone();
            tokio::task::spawn_local(async move {
                tokio::time::sleep(delay + runs).await;
                board.crash(&server);
                drop(run);
            });
            tokio::time::sleep(delay).await;
            if !is_stream {
                return std::future::pending().await;
            }
            return responded(self.body_of_bad(call, events, interval, None));
        }
        tokio::time::sleep(delay).await;
        if !is_stream && board.large_parts.get() > 0 {
            let part = Ok(Bytes::from_static(&[b'x'; LARGE_PART]));
            let left = vec![part; board.large_parts.get() as usize];
            let mut body = self.fake_body(call, left.into(), interval, true);
            body.crashes = Some(run);
            return responded(body);
        }
        if !is_stream {
            board.crash(&call.target.id);
            return port::CallOutcome::Lost(port::LostCause::Broken);
        }
        responded(self.body_of_bad(call, events, interval, Some(run)))
    }

    /// Body of so many events after those that the caller has; with `run`, its end crashes the server.
    fn body_of_bad(
        &self,
        call: &port::ServerCall,
        events: u32,
        interval: time::Duration,
        run: Option<crashing::BadRun>,
    ) -> FakeBody {
        let resumed = call.resume.as_ref();
        let last = resumed.and_then(|resume| resume.last_event.as_ref()?.parse().ok());
        let first = last.map_or(0, |last: u32| last + 1);
        let mut body = self.body(call, first + events, interval, true);
        if run.is_none() {
            body.hangs = true;
        }
        body.crashes = run;
        body
    }

    async fn respond(&self, call: port::ServerCall) -> port::CallOutcome<FakeBody> {
        self.count(&call.target.id);
        let board = self.crashing.borrow().clone();
        if let Some(board) = board
            && let Some(cause) = board.cause_of(&call.request)
        {
            return self.crash(&call, board, cause).await;
        }
        let script = self.take_script(&call);
        self.seen.borrow_mut().push(SeenCall {
            server: call.target.id.clone(),
            request: call.request.id.clone(),
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
            ServerScript::Large(parts, interval) => {
                let mut body = self.body(&call, 0, interval, true);
                let part = Ok(Bytes::from_static(&[b'x'; LARGE_PART]));
                body.left = vec![part; parts as usize].into();
                (200, body)
            }
            ServerScript::Events(events, interval) => {
                (200, self.body(&call, events, interval, true))
            }
            ServerScript::Breaks(events, interval) => {
                (200, self.body(&call, events, interval, false))
            }
            ServerScript::Body(status, given) => {
                let mut left: collections::VecDeque<_> = given.parts.into_iter().map(Ok).collect();
                if given.end == BodyEnd::Reset {
                    left.push_back(Err(port::LostCause::Broken));
                }
                let interval = time::Duration::from_millis(10);
                (
                    status,
                    self.fake_body(&call, left, interval, given.delimited),
                )
            }
            ServerScript::NotRun(cause) => return port::CallOutcome::NotRun(cause),
            ServerScript::Lost => return port::CallOutcome::Lost(port::LostCause::Broken),
            ServerScript::Silent => std::future::pending().await,
        };
        port::CallOutcome::Responded(port::ServerResponse {
            status: http::StatusCode::from_u16(status).expect("status"),
            headers: http::HeaderMap::new(),
            body,
        })
    }
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
        handover_address: Some(address(202)),
        seeds: Vec::new(),
        incarnation: 1,
        retries: budget::BudgetRule {
            ratio: 0.2,
            slack: 20.0,
            window: time::Duration::from_secs(10),
        },
        backups: true,
        moves: true,
        server_heartbeat: time::Duration::from_millis(1_200),
        grace: GRACE,
        contact: time::Duration::from_secs(3),
        cold: cold::ColdRule::default(),
    }
}

/// Name of a VM by number.
pub fn vm_name(number: usize) -> String {
    format!("vm-{number:04}")
}

/// Link address of a VM by number.
pub fn vm_address(number: usize) -> net::SocketAddr {
    let [high, low] = u16::try_from(number).expect("small").to_be_bytes();
    net::SocketAddr::from(([10, 1, high, low], 81))
}

/// Number of the VM with this link address.
pub fn vm_number(address: net::SocketAddr) -> usize {
    let net::IpAddr::V4(ip) = address.ip() else {
        unreachable!("all are V4");
    };
    let [_, _, high, low] = ip.octets();
    usize::from(u16::from_be_bytes([high, low]))
}

/// State of a VM by number, spread over so many failure domains; it knows only its system.
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
        max_pause: None,
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
        cold_per_s: None,
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
            head_timeout: time::Duration::from_secs(3),
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
        said_leaving: false,
        cold: time::Duration::ZERO,
    }
}

pub fn update(id: &str, offset: u64, entry: Option<update::ServerEntry>) -> update::ServerUpdate {
    update::ServerUpdate {
        id: id.to_owned(),
        position: position::StorePosition::new(0, offset),
        entry,
    }
}

/// Number of the system that all test VMs belong to.
pub const SYSTEM: u64 = 41;

pub fn system_id(number: u64) -> system::SystemId {
    system::SystemId::from_number(number).expect("not 0")
}

/// Time that VMs have run which are not said to have just started.
pub const UPTIME: time::Duration = time::Duration::from_secs(60);

/// Time after which a VM that stops is killed.
pub const GRACE: time::Duration = time::Duration::from_secs(8);

/// A plane with two plain servers (`s1`, `s2`) and two engines (`e1`, `e2`), which has run for a
/// while.
pub fn plane() -> TestPlane {
    let rng = rand::SeedableRng::seed_from_u64(7);
    let mut state = state::PlaneState::new(settings("vm-1"), rng);
    state.system = system::SystemBelief::Known(system_id(SYSTEM));
    let now = tokio::time::Instant::now();
    state.started_at = now - UPTIME;
    state.take_catalog(catalog(1), Bytes::from_static(b"1"));
    for (number, id) in [(1, "s1"), (2, "s2")] {
        state.apply_update(update(id, 1, Some(entry("app", number, "a"))), false, now);
    }
    for (number, id) in [(11, "e1"), (12, "e2")] {
        state.apply_update(update(id, 1, Some(entry("llm", number, "a"))), false, now);
    }
    rc::Rc::new(plane::ExchangePlane::new(FakePort::default(), state))
}

/// Lets a server of `plane` announce that it leaves.
pub fn leave(plane: &TestPlane, id: &str, number: u8) {
    let mut leaving = entry("llm", number, "a");
    leaving.leaving = true;
    let now = tokio::time::Instant::now();
    let change = plane
        .state()
        .apply_update(update(id, 50, Some(leaving)), false, now);
    assert!(matches!(change, fleet::FleetChange::Leaves(_)));
    plane.wake_decisions();
}

pub fn request(id: &str, kind: catalog::ExchangeKind) -> request::ExchangeRequest {
    let now = tokio::time::Instant::now();
    let stream = kind == catalog::ExchangeKind::Stream;
    let size = request::GenerationSize {
        prompt_tokens: 3_000,
        max_tokens: 2_000,
        hint_tokens: Some(800),
        parts: Vec::new(),
    };
    request::ExchangeRequest {
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
        target_latency: time::Duration::from_millis(if stream { 1_800 } else { 100 }),
        max_pause: None,
        size: stream.then_some(size),
        fingerprint: request::fingerprint(id, None, b""),
        handed_over: false,
    }
}

/// A streamed response as its caller received it.
#[derive(Debug, PartialEq, Eq)]
pub struct ReadStream {
    pub text: String,
    pub complete: bool,
}

pub async fn read(parts: mpsc::Receiver<reply::StreamPart>) -> ReadStream {
    read_timed(parts).await.0
}

/// Reads a streamed response, and returns the longest time between two parts of it.
pub async fn read_timed(
    mut parts: mpsc::Receiver<reply::StreamPart>,
) -> (ReadStream, time::Duration) {
    let (mut text, mut complete) = (String::new(), false);
    let (mut before, mut max_pause) = (tokio::time::Instant::now(), time::Duration::ZERO);
    while let (false, Some(part)) = (complete, parts.recv().await) {
        max_pause = max_pause.max(before.elapsed());
        before = tokio::time::Instant::now();
        match part {
            reply::StreamPart::Bytes(bytes) => {
                text.push_str(std::str::from_utf8(&bytes).expect("text"));
            }
            reply::StreamPart::End => complete = true,
        }
    }
    (ReadStream { text, complete }, max_pause)
}

pub fn parts(reply: reply::Reply) -> mpsc::Receiver<reply::StreamPart> {
    match reply.body {
        reply::ReplyBody::Parts(parts) => parts,
        reply::ReplyBody::Complete(_) => panic!("not a stream"),
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

/// Runs the decision loop of the plane in the background.
pub fn start(plane: &TestPlane) {
    let plane = plane.clone();
    tokio::task::spawn_local(async move { plane.run_decisions().await });
}

/// Checks a property on `count` histories; prints the number of a failing one.
pub fn histories(
    count: u64,
    property: impl Fn(&mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()>,
) {
    for number in 0..count {
        // The low half of a seed is the number of bytes to draw from.
        let seed = (number.wrapping_mul(0x9E37_79B9) << 32) | 2_048;
        let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            arbtest::arbtest(|u| property(u)).seed(seed).run();
        }));
        if let Err(cause) = outcome {
            eprintln!("history {number} failed (seed {seed:#x})");
            std::panic::resume_unwind(cause);
        }
    }
}

//! Streams: events are passed on as they come, and a run may go on at another server.
//!
//! How a run moves is in `moving`.

use std::rc;

use base::outcome;
use tokio::{
    sync::{mpsc, oneshot},
    time,
};

use crate::{
    ask, event, fleet, forecast, moving, pace, plane, port, port::AnswerBody as _, relocate, reply,
    server,
};

/// Parts under way to a slow caller: bounds what it can make us hold.
const PARTS: usize = 16;
/// Events that a run must have made for a break not to speak against its request: what crashes a
/// server does so as it begins.
const BEGUN_EVENTS: u64 = 2;
/// Tries of one request that certainly did not run: each may meet a server that just left.
const MOST_NOT_RUN: u32 = 3;

/// Time for which memory is set aside: the request follows at once.
const RESERVED_FOR: time::Duration = time::Duration::from_millis(500);
/// How long a run whose copy failed is left alone: runs end or begin meanwhile.
const MOVE_PAUSE: time::Duration = time::Duration::from_millis(70);
/// How long a server that has no room is not asked again: generations end there every second or so.
const FULL_PAUSE: time::Duration = time::Duration::from_millis(150);

type HeadSender = oneshot::Sender<Result<StreamHead, reply::Refusal>>;

/// Head of a streamed answer.
struct StreamHead {
    status: http::StatusCode,
    headers: http::HeaderMap,
}

/// Serves one stream. What runs for it ends when the returned body is dropped.
pub(crate) async fn serve<P: port::ServerPort + 'static, G: 'static>(
    plane: &rc::Rc<plane::ExchangePlane<P>>,
    ask: rc::Rc<ask::ExchangeAsk>,
    guard: G,
) -> Result<reply::Reply, reply::Refusal> {
    let (head, got_head) = oneshot::channel();
    let (parts, got_parts) = mpsc::channel(PARTS);
    let plane = plane.clone();
    tokio::task::spawn_local(async move {
        drive(plane, ask, head, parts).await;
        drop(guard);
    });
    let lost = reply::Refusal {
        cause: reply::RefusalCause::ServerLost,
        ran: outcome::RanState::Unknown,
        retry_after: None,
    };
    let head = got_head.await.map_err(|_| lost)??;
    let body = reply::ReplyBody::Parts(got_parts);
    Ok(reply::Reply {
        status: head.status,
        headers: head.headers,
        body,
    })
}

/// Runs one stream until it ends, its time is up or its caller leaves.
async fn drive<P: port::ServerPort + 'static>(
    plane: rc::Rc<plane::ExchangePlane<P>>,
    ask: rc::Rc<ask::ExchangeAsk>,
    head: HeadSender,
    parts: mpsc::Sender<reply::StreamPart>,
) {
    let watched = parts.clone();
    let mut driver = StreamDriver {
        plane: plane.clone(),
        ask: ask.clone(),
        head: Some(head),
        parts,
        splitter: event::EventSplitter::default(),
        ran: outcome::RanState::No,
        passed: 0,
        pace: pace::EventPace::default(),
        spare: None,
    };
    let ended = tokio::select! {
        biased;
        () = watched.closed() => Err("caller left"),
        () = time::sleep_until(ask.limit) => Err("out of time"),
        end = driver.run() => Ok(end),
    };
    let events = driver.splitter.events();
    match ended {
        Ok(Ok(())) => {
            let pace = &driver.pace;
            pace.count(&ask);
            log::info!(
                request:% = ask.id, events, passed = driver.passed,
                first_ms = pace.first_ms(&ask), worst_pause_ms = pace.worst_ms(),
                end:% = outcome::EndKind::Whole.name();
                "stream whole"
            );
        }
        Ok(Err(refusal)) => driver.give_up(refusal),
        Err("caller left") => {
            let end = outcome::EndKind::Left.name();
            log::info!(request:% = ask.id, events, end:% = end; "caller left");
        }
        Err(why) => {
            log::info!(request:% = ask.id, events, cause:% = why; "stream given up");
            let refusal = match driver.ran {
                outcome::RanState::No => plane.refuse(&ask, reply::RefusalCause::Patience),
                ran => reply::Refusal {
                    cause: reply::RefusalCause::Timeout,
                    ran,
                    retry_after: None,
                },
            };
            driver.give_up(refusal);
        }
    }
}

pub(crate) struct StreamDriver<P: port::ServerPort> {
    pub(crate) plane: rc::Rc<plane::ExchangePlane<P>>,
    pub(crate) ask: rc::Rc<ask::ExchangeAsk>,
    /// Present until the caller has had the head.
    head: Option<HeadSender>,
    pub(crate) parts: mpsc::Sender<reply::StreamPart>,
    pub(crate) splitter: event::EventSplitter,
    /// Whether any try may have run.
    pub(crate) ran: outcome::RanState,
    /// Times that the run went on at another server.
    pub(crate) passed: u32,
    /// When events came.
    pub(crate) pace: pace::EventPace,
    /// What a move that was not finished has copied: see [`moving::SpareCopy`].
    pub(crate) spare: Option<moving::SpareCopy>,
}

/// A try whose answer is being passed on.
pub(crate) struct LiveRun<P: port::ServerPort> {
    pub(crate) placed: plane::PlacedRun<P>,
    pub(crate) orders: mpsc::UnboundedReceiver<relocate::RelocationOrder>,
    /// Absent until the server has answered.
    pub(crate) body: Option<P::Body>,
}

/// Why relaying from one server ended.
pub(crate) enum RelayEnd {
    /// The last event came.
    Finished,
    /// The stream broke off.
    Broken,
    /// The run stopped here and goes on from a copy.
    Stopped(CopyPlace),
}

/// A copy that a run can go on from.
pub(crate) struct CopyPlace {
    /// Server to send the request to.
    pub(crate) to: fleet::ServerKey,
    /// Where to try if that one has no room: the source itself.
    pub(crate) or: Option<fleet::ServerKey>,
    /// Server that named the copy. Once it has started again, the handle may name another run's.
    pub(crate) origin: fleet::ServerKey,
    pub(crate) handle: String,
}

impl<P: port::ServerPort + 'static> StreamDriver<P> {
    async fn run(&mut self) -> Result<(), reply::Refusal> {
        let mut live = self.start().await?;
        loop {
            let copy = match self.relay(&mut live).await {
                RelayEnd::Finished => return self.finish().await,
                RelayEnd::Stopped(copy) => Some(copy),
                RelayEnd::Broken => self.copy_of_broken(&live),
            };
            self.splitter.drop_partial();
            live.body = None;
            let resumed = match copy {
                Some(copy) => self.resume(&mut live, copy).await,
                None => false,
            };
            if !resumed {
                return Err(self.lost());
            }
        }
    }

    /// Sends the request until a server takes it.
    async fn start(&mut self) -> Result<LiveRun<P>, reply::Refusal> {
        let mut avoid = Vec::new();
        let mut waited = None;
        loop {
            let placed = self
                .plane
                .place_again(&self.ask, &avoid, &mut waited)
                .await?;
            let server = placed.server;
            let Ok(reservation) = self.reserve(server).await else {
                continue;
            };
            avoid.push(server);
            let orders = self.plane.moves_of(placed.run);
            let mut live = LiveRun {
                placed,
                orders,
                body: None,
            };
            let Some(mut call) = self.call(&live, None, server) else {
                continue;
            };
            call.reservation = reservation;
            log::info!(
                request:% = self.ask.id, server:% = call.target.id,
                backup:? = call.backup, waited_ms = millis(self.ask.arrived),
                size:? = self.ask.size.as_ref().map(ask::GenerationSize::summary);
                "stream sent"
            );
            let sent = time::Instant::now();
            // Should its time run out while the server is silent, it may have run: said to have not,
            // its caller would ask again while it runs.
            let before = self.ran;
            self.ran = before.and(outcome::RanState::Unknown);
            match self.plane.port.open(call).await {
                port::CallOutcome::Answered(answer) => {
                    self.ran = outcome::RanState::Yes;
                    self.answered(&mut live, answer, sent);
                    return Ok(live);
                }
                port::CallOutcome::NotRun(cause) => {
                    self.ran = before;
                    self.plane.judge(server, server::ServerVerdict::Refused);
                    log::info!(
                        request:% = self.ask.id, server:% = self.plane.server_id(server),
                        cause:? = cause; "stream not run"
                    );
                    self.may_send_again(avoid.len(), cause)?;
                }
                port::CallOutcome::Lost(cause) => {
                    self.note_lost(server, cause);
                    return Err(self.lost());
                }
            }
        }
    }

    /// Sets memory aside at a server, so that the request neither waits in the server's own queue
    /// nor is preempted: there it could not go elsewhere, and would be lost with the server.
    async fn reserve(
        &self,
        server: fleet::ServerKey,
    ) -> Result<Option<String>, port::ReserveFault> {
        let Some((span, tokens)) = self.reservation() else {
            return Ok(None);
        };
        let Some(target) = self.plane.target(server) else {
            return Err(port::ReserveFault::Unreachable);
        };
        let reserved = self.plane.port.reserve(target, tokens, span).await;
        match reserved {
            Ok(handle) => Ok(Some(handle)),
            Err(fault) => {
                log::info!(
                    request:% = self.ask.id, server:% = self.plane.server_id(server), tokens,
                    fault:? = fault; "no room"
                );
                if fault == port::ReserveFault::Unreachable {
                    self.plane.judge(server, server::ServerVerdict::Failed);
                }
                self.note_full(server);
                Err(fault)
            }
        }
    }

    /// How long and how much to set aside; absent where it can't be.
    fn reservation(&self) -> Option<(time::Duration, u64)> {
        let state = self.plane.state();
        let engine = state.service(&self.ask.service)?.engine?;
        let size = self.ask.size.as_ref()?;
        let output = forecast::expected_output(size, 0) as u64;
        Some((
            engine.reservation?.min(RESERVED_FOR),
            u64::from(size.prompt_tokens) + output,
        ))
    }

    /// A try that certainly did not run may be followed by another, within the budget.
    fn may_send_again(&self, tries: usize, cause: port::NotRunCause) -> Result<(), reply::Refusal> {
        let now = time::Instant::now();
        let tries = u32::try_from(tries).unwrap_or(u32::MAX);
        let counted = cause == port::NotRunCause::Rejected && tries >= self.ask.attempts;
        let again = !counted && tries < MOST_NOT_RUN;
        if again && self.plane.state().take_retry(&self.ask.service, now) {
            return Ok(());
        }
        Err(self.plane.refuse(&self.ask, reply::RefusalCause::Rejected))
    }

    pub(crate) fn call(
        &self,
        live: &LiveRun<P>,
        resume: Option<port::ResumePoint>,
        server: fleet::ServerKey,
    ) -> Option<port::ServerCall> {
        let target = self.plane.target(server)?;
        let backup = self.plane.state().fleet.run(live.placed.run)?.backup;
        let backup = backup.and_then(|backup| self.plane.target(backup));
        Some(port::ServerCall {
            ask: self.ask.clone(),
            target,
            left: plane::ExchangePlane::<P>::left(&self.ask),
            resume,
            reservation: None,
            backup: backup.map(|backup| backup.address),
            reuse: port::ReuseRule::FRESH,
        })
    }

    fn answered(
        &mut self,
        live: &mut LiveRun<P>,
        answer: port::ServerAnswer<P::Body>,
        sent: time::Instant,
    ) {
        if let Some(head) = self.head.take() {
            let told = StreamHead {
                status: answer.status,
                headers: answer.headers,
            };
            let _ = head.send(Ok(told));
        }
        if answer.status.is_server_error() {
            self.plane
                .judge(live.placed.server, server::ServerVerdict::Erred);
        } else {
            let verdict = server::ServerVerdict::Good(sent.elapsed());
            self.plane.judge(live.placed.server, verdict);
        }
        live.body = Some(answer.body);
    }

    /// Passes events on until the stream ends or the run stops here.
    async fn relay(&mut self, live: &mut LiveRun<P>) -> RelayEnd {
        loop {
            let Some(body) = live.body.as_mut() else {
                return RelayEnd::Broken;
            };
            let order = tokio::select! {
                part = body.next() => {
                    match part {
                        Some(Ok(bytes)) => self.pass(live, &bytes).await,
                        Some(Err(_)) => return RelayEnd::Broken,
                        None => return RelayEnd::Finished,
                    }
                    continue;
                }
                Some(order) = live.orders.recv() => order,
            };
            let end = match order {
                relocate::RelocationOrder::Switch(to) => self.switch(live, to).await,
                relocate::RelocationOrder::Move(to) => self.move_run(live, to).await,
            };
            if let Some(end) = end {
                return end;
            }
            if let Some(run) = self.plane.state().fleet.run_mut(live.placed.run) {
                run.moving_to = None;
                run.move_after = Some(time::Instant::now() + MOVE_PAUSE);
            }
        }
    }

    /// Passes bytes on, and notes how far the run has come.
    pub(crate) async fn pass(&mut self, live: &LiveRun<P>, bytes: &[u8]) {
        let whole = self.splitter.take(bytes);
        {
            let mut state = self.plane.state();
            let engine = state
                .service(&self.ask.service)
                .and_then(|rule| rule.engine);
            let per_event = engine.map_or(1, |engine| engine.tokens_per_event);
            let events = u32::try_from(self.splitter.events()).unwrap_or(u32::MAX);
            if let Some(run) = state.fleet.run_mut(live.placed.run) {
                run.produced = events.saturating_mul(per_event);
                if events > 0 && run.first_at.is_none() {
                    run.first_at = Some(time::Instant::now());
                    self.plane.tell_loads();
                }
            }
        }
        if !whole.is_empty() {
            self.pace.note(time::Instant::now());
            let _ = self.parts.send(reply::StreamPart::Bytes(whole)).await;
        }
    }

    async fn finish(&mut self) -> Result<(), reply::Refusal> {
        let rest = self.splitter.rest();
        if !rest.is_empty() {
            let _ = self.parts.send(reply::StreamPart::Bytes(rest)).await;
        }
        let _ = self.parts.send(reply::StreamPart::End).await;
        self.plane.state().suspects.acquit(self.ask.fingerprint);
        Ok(())
    }

    /// A server said that it has no room.
    pub(crate) fn note_full(&self, server: fleet::ServerKey) {
        let now = time::Instant::now();
        let mut state = self.plane.state();
        let pause = FULL_PAUSE.mul_f64(0.7 + 0.6 * state.draw());
        state.fleet.note_full(server, now + pause);
    }

    /// A server broke the request off before its first byte.
    fn note_lost(&self, server: fleet::ServerKey, cause: port::LostCause) {
        log::info!(
            request:% = self.ask.id, server:% = self.plane.server_id(server),
            cause:? = cause; "stream lost before its head"
        );
        self.plane.judge(server, server::ServerVerdict::BrokeOff);
        self.plane.tell_loads();
        self.accuse(server);
        let now = time::Instant::now();
        let state = self.plane.state();
        if let Some(record) = state.fleet.server(server) {
            log::info!(
                server:% = record.id, failure_rate = record.failure_rate(now),
                failing = state.fleet.is_failing(server, now);
                "server broke a generation off"
            );
        }
    }

    /// A server broke off: its request is a suspect if it had just begun.
    pub(crate) fn accuse(&self, server: fleet::ServerKey) {
        let now = time::Instant::now();
        let mut state = self.plane.state();
        let leaving = state
            .fleet
            .server(server)
            .is_some_and(|server| !server.takes_work(now));
        if leaving || self.splitter.events() >= BEGUN_EVENTS {
            return;
        }
        let Some(record) = state.fleet.server(server) else {
            return;
        };
        let (id, hash) = (record.id.clone(), record.incarnation_hash());
        if state.suspects.accuse(self.ask.fingerprint, hash, now) {
            log::info!(request:% = self.ask.id, server:% = id; "suspect of a crash");
        }
    }

    fn lost(&self) -> reply::Refusal {
        reply::Refusal {
            cause: reply::RefusalCause::ServerLost,
            ran: self.ran,
            retry_after: None,
        }
    }

    /// Ends it without its last event.
    fn give_up(&mut self, refusal: reply::Refusal) {
        let events = self.splitter.events();
        log::info!(
            request:% = self.ask.id, cause:% = refusal.cause.name(), ran:? = refusal.ran, events,
            end:% = outcome::EndKind::Failed.name();
            "stream not whole"
        );
        if let Some(head) = self.head.take() {
            let _ = head.send(Err(refusal));
        }
    }
}

pub(crate) fn millis(since: time::Instant) -> u64 {
    u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX)
}

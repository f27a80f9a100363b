//! Streams: events are forwarded as they arrive, and a run may continue on another server.
//!
//! Moves of runs are implemented in `moving`, and the switch to a proactive copy in `switching`.

use std::rc;

use base::outcome;
use crash::table;
use tokio::{
    sync::{mpsc, oneshot},
    time,
};

use crate::{
    accusing, budget, crashes, endless, event, event_pace, fleet, forecast, moving, permit, plane,
    port, port::ResponseBody as _, relocate, reply, request, server, switching,
};

/// Stream parts buffered for a slow caller: limits the memory that it can hold.
const MAX_BUFFERED_PARTS: usize = 16;
/// Number of events from which a stream has gone on beyond its beginning.
const MIN_EVENTS_TO_GO_ON: u64 = 2;
/// Time for which an answer has to go on to clear the parts of its prompt of all crashes. Whole answers
/// may take much longer, and all that share a part would be refused until the first one.
const LONG_RUN_TIME: time::Duration = time::Duration::from_secs(1);
/// Max attempts of one request that certainly did not run; each may meet a server that has just
/// left.
const MAX_NOT_RUN_ATTEMPTS: u32 = 3;

/// Max duration of a memory reservation: the request follows at once.
const MAX_RESERVATION: time::Duration = time::Duration::from_millis(500);
/// Delay before a run whose copy failed is moved again: other runs end or start meanwhile.
const MOVE_RETRY_DELAY: time::Duration = time::Duration::from_millis(70);
/// Mean delay before a full server gets a request again: generations end there about once a second.
const FULL_RETRY_DELAY: time::Duration = time::Duration::from_millis(150);

type HeadSender = oneshot::Sender<Result<StreamHead, reply::Refusal>>;

/// Head of a streamed response.
struct StreamHead {
    status: http::StatusCode,
    headers: http::HeaderMap,
}

/// Serves one stream. Its run is cancelled when the returned body is dropped.
pub(crate) async fn serve<P: port::ServerPort + 'static, G: 'static>(
    plane: &rc::Rc<plane::ExchangePlane<P>>,
    request: rc::Rc<request::ExchangeRequest>,
    attempts: permit::SharedAttempts,
    guard: G,
) -> Result<reply::Reply, reply::Refusal> {
    let (head, mut head_receiver) = oneshot::channel();
    let (parts, parts_receiver) = mpsc::channel(MAX_BUFFERED_PARTS);
    let (give_up, given_up) = oneshot::channel();
    let (driven, limit) = (plane.clone(), request.limit);
    tokio::task::spawn_local(async move {
        drive(driven, request, attempts, head, parts, given_up).await;
        drop(guard);
    });
    let lost = reply::Refusal {
        cause: reply::RefusalCause::ServerLost,
        ran: outcome::RanState::Unknown,
        retry_after: None,
    };
    let answered = tokio::select! {
        biased;
        head = &mut head_receiver => Some(head),
        () = plane.answer_due(limit) => None,
    };
    let head = match answered {
        Some(head) => head,
        None => {
            let _ = give_up.send(());
            head_receiver.await
        }
    };
    let head = head.map_err(|_| lost)??;
    let body = reply::ReplyBody::Parts(parts_receiver);
    Ok(reply::Reply {
        status: head.status,
        headers: head.headers,
        body,
    })
}

/// Drives one stream until it ends, its time limit passes or its caller leaves.
async fn drive<P: port::ServerPort + 'static>(
    plane: rc::Rc<plane::ExchangePlane<P>>,
    request: rc::Rc<request::ExchangeRequest>,
    attempts: permit::SharedAttempts,
    head: HeadSender,
    parts: mpsc::Sender<reply::StreamPart>,
    given_up: oneshot::Receiver<()>,
) {
    let watched = parts.clone();
    let mut driver = StreamDriver {
        plane: plane.clone(),
        request: request.clone(),
        attempts,
        head: Some(head),
        parts,
        splitter: event::EventSplitter::default(),
        ran: outcome::RanState::No,
        moves: 0,
        pace: event_pace::EventPace::default(),
        went_on_at: None,
        spare: None,
        stops_elsewhere: Vec::new(),
    };
    let ended = tokio::select! {
        biased;
        () = watched.closed() => Err("caller left"),
        Ok(()) = given_up => Err("not answered in time"),
        () = time::sleep_until(request.limit) => Err("out of time"),
        end = driver.run() => Ok(end),
    };
    let events = driver.splitter.events();
    match ended {
        Ok(Ok(())) => {
            let (pace, worst) = (&driver.pace, driver.record_pauses());
            log::info!(
                request:% = request.id, events, passed = driver.moves,
                first_ms = pace.first_ms(&request), worst_pause_ms = pace.max_pause_ms(),
                worst_event = worst.event, worst_server = worst.server, worst_class = worst.class,
                end:% = outcome::EndKind::Whole.name(); "stream whole"
            );
        }
        Ok(Err(refusal)) => driver.fail(refusal),
        Err("caller left") => {
            let end = outcome::EndKind::Left.name();
            log::info!(request:% = request.id, events, end:% = end; "caller left");
        }
        Err(why) => {
            log::info!(request:% = request.id, events, cause:% = why; "stream timed out");
            let refusal = match driver.ran {
                outcome::RanState::No => plane.refuse(&request, reply::RefusalCause::Patience),
                ran => reply::Refusal {
                    cause: reply::RefusalCause::Timeout,
                    ran,
                    retry_after: None,
                },
            };
            driver.fail(refusal);
        }
    }
}

pub(crate) struct StreamDriver<P: port::ServerPort> {
    pub(crate) plane: rc::Rc<plane::ExchangePlane<P>>,
    pub(crate) request: rc::Rc<request::ExchangeRequest>,
    pub(crate) attempts: permit::SharedAttempts,
    /// Present until the head was sent to the caller.
    head: Option<HeadSender>,
    pub(crate) parts: mpsc::Sender<reply::StreamPart>,
    pub(crate) splitter: event::EventSplitter,
    /// Whether any attempt ran or may have run.
    pub(crate) ran: outcome::RanState,
    /// Number of times that the run continued on another server.
    pub(crate) moves: u32,
    /// Arrival times of events.
    pub(crate) pace: event_pace::EventPace,
    /// When the answer of the server that it runs on went on beyond its beginning, until that was long
    /// ago.
    went_on_at: Option<time::Instant>,
    /// Copy made by an unfinished move: see [`moving::SpareCopy`].
    pub(crate) spare: Option<moving::SpareCopy>,
    /// Calls that stop the run at servers other than that of its live attempt.
    pub(crate) stops_elsewhere: Vec<switching::StopElsewhere>,
}

/// An attempt whose response is being forwarded.
pub(crate) struct LiveRun<P: port::ServerPort> {
    pub(crate) placed: plane::PlacedRun<P>,
    pub(crate) orders: mpsc::UnboundedReceiver<relocate::RelocationOrder>,
    /// Response body; `None` until the server has responded.
    pub(crate) body: Option<P::Body>,
    /// Present while the server may be at work on the run.
    pub(crate) watch: Option<accusing::AttemptWatch<P>>,
    /// Whether the body consists of events. An error response does not.
    pub(crate) has_events: bool,
    /// Number of events that the caller had when the body began.
    pub(crate) first_event: u64,
    /// Whether the server was asked to stop the run and has not denied it. It closes the stream of a
    /// stopped run without its end.
    pub(crate) may_be_stopped: bool,
}

impl<P: port::ServerPort> LiveRun<P> {
    const fn new(
        placed: plane::PlacedRun<P>,
        orders: mpsc::UnboundedReceiver<relocate::RelocationOrder>,
    ) -> Self {
        Self {
            placed,
            orders,
            body: None,
            watch: None,
            has_events: false,
            first_event: 0,
            may_be_stopped: false,
        }
    }

    /// Continues with the body of another server, after so many events. `may_be_stopped` is set if a
    /// call to stop the run there is pending.
    pub(crate) fn continue_with(
        &mut self,
        body: P::Body,
        watch: accusing::AttemptWatch<P>,
        events: u64,
        may_be_stopped: bool,
    ) {
        self.body = Some(body);
        self.watch = Some(watch);
        self.first_event = events;
        self.may_be_stopped = may_be_stopped;
    }

    /// Ends the watch of the run on its server, at which its end is known.
    pub(crate) fn settle(&mut self) {
        if let Some(watch) = self.watch.take() {
            watch.settle();
        }
    }
}

/// Why forwarding from one server ended.
pub(crate) enum RelayEnd {
    /// The stream is complete.
    Finished,
    /// The stream broke off.
    Broken,
    /// The run was stopped on this server and continues from a copy.
    Stopped(CopyPlace),
}

/// A copy from which a run can continue.
pub(crate) struct CopyPlace {
    /// Server on which the run continues.
    pub(crate) to: fleet::ServerKey,
    /// Whether the request to that server is already counted against its limit.
    pub(crate) counted: bool,
    /// Fallback if that server is full: the source of the copy.
    pub(crate) fallback: Option<fleet::ServerKey>,
    /// Server that issued the handle. After a restart of that server the handle may name another
    /// run.
    pub(crate) origin: fleet::ServerKey,
    pub(crate) handle: String,
    /// Whether the run was certainly stopped on the server that it leaves.
    pub(crate) is_stopped: bool,
}

impl<P: port::ServerPort + 'static> StreamDriver<P> {
    async fn run(&mut self) -> Result<(), reply::Refusal> {
        let mut live = self.start().await?;
        loop {
            let end = self.relay(&mut live).await;
            live.settle();
            self.went_on_at = None;
            let copy = match end {
                RelayEnd::Finished => {
                    self.record_finished(&live).await;
                    return self.finish().await;
                }
                RelayEnd::Stopped(copy) => Some(copy),
                RelayEnd::Broken => self.copy_after_break(&live).await,
            };
            self.splitter.drop_partial();
            live.body = None;
            let resumed = match copy {
                Some(copy) if self.may_continue(&live) => self.resume(&mut live, copy).await,
                _ => moving::ResumeEnd::NotRun,
            };
            if resumed != moving::ResumeEnd::WentOn {
                return Err(self.lost());
            }
        }
    }

    /// Sends the request until a server accepts it.
    async fn start(&mut self) -> Result<LiveRun<P>, reply::Refusal> {
        let mut avoid = Vec::new();
        let mut waited = None;
        let mut permit = self.permit(budget::RepeatKind::Retry)?;
        loop {
            let placed = self
                .plane
                .place_requeued(&self.request, &avoid, &mut waited)
                .await?;
            let server = placed.server;
            let Ok(reservation) = self.reserve(server).await else {
                if self.plane.is_cut(&self.request.service) {
                    let cause = reply::RefusalCause::NoServer;
                    return Err(self.plane.refuse(&self.request, cause));
                }
                continue;
            };
            avoid.push(server);
            let orders = self.plane.relocation_orders(placed.run);
            let mut live = LiveRun::new(placed, orders);
            let Some(mut call) = self.call(&live, None, server) else {
                continue;
            };
            call.reservation = reservation;
            let expected = self.expected(&live);
            log::info!(
                request:% = self.request.id, server:% = call.target.id, permit = permit.name(),
                backup:? = call.backup, waited_ms = millis(self.request.arrived), risk = expected.risk,
                size:? = self.request.size.as_ref().map(request::GenerationSize::summary),
                expected_first_ms = expected.first_ms, expected_pause_ms = expected.pause_ms; "stream sent"
            );
            let sent = time::Instant::now();
            // If the time limit passes while the server is silent, the request may have run.
            // Reported as not run, it would be retried by its caller while it still runs.
            let before = self.ran;
            self.ran = before.and(outcome::RanState::Unknown);
            let kind = if avoid.len() == 1 { "first" } else { "further" };
            self.plane.count_limited(server, kind);
            match self.plane.send_attempt(call, server, permit).await {
                port::CallOutcome::Responded(response) => {
                    self.ran = outcome::RanState::Yes;
                    self.begin_response(&mut live, response, sent);
                    return Ok(live);
                }
                port::CallOutcome::NotRun(cause) => {
                    self.ran = before;
                    self.record_not_run(server, cause);
                    permit = self.permit_retry(avoid.len())?;
                }
                port::CallOutcome::Lost(cause) => {
                    self.record_lost(server, cause).await;
                    return Err(self.lost());
                }
            }
        }
    }

    /// Reserves memory on a server, so that the request neither waits in the server's own queue nor
    /// is preempted: while queued there it could not move to another server, and would be lost with
    /// this one.
    async fn reserve(
        &self,
        server: fleet::ServerKey,
    ) -> Result<Option<String>, port::ReserveFault> {
        // A limited server takes the attempt instead of the reservation.
        let wanted = self.reservation();
        let Some((span, tokens)) = wanted.filter(|_| !self.plane.is_limited(server)) else {
            return Ok(None);
        };
        let Some(target) = self.plane.target(server) else {
            return Err(port::ReserveFault::Unreachable);
        };
        let sent = time::Instant::now();
        self.plane.count_request(server, "reserve");
        let reply = self.plane.port.reserve(target, tokens, span).await;
        let held = self.plane.take_signals(server, sent, reply);
        let reached = !matches!(held, Err(port::ReserveFault::Unreachable));
        self.plane.record_reach(server, sent, reached);
        match held {
            Ok(handle) => Ok(Some(handle)),
            Err(error) => {
                log::info!(
                    request:% = self.request.id, server:% = self.plane.server_id(server), tokens,
                    fault:? = error; "no room"
                );
                if error == port::ReserveFault::Unreachable {
                    self.plane
                        .record_outcome(server, server::ServerVerdict::Failed);
                }
                self.mark_full(server);
                Err(error)
            }
        }
    }

    /// Duration and tokens of a reservation; `None` if the service does not support reservations.
    fn reservation(&self) -> Option<(time::Duration, u64)> {
        let state = self.plane.state();
        let engine = state.service(&self.request.service)?.engine?;
        let size = self.request.size.as_ref()?;
        let output = forecast::expected_output(size, 0) as u64;
        Some((
            engine.reservation?.min(MAX_RESERVATION),
            u64::from(size.prompt_tokens) + output,
        ))
    }

    /// Records that an attempt certainly did not run.
    fn record_not_run(&self, server: fleet::ServerKey, cause: port::NotRunCause) {
        if cause != port::NotRunCause::Quarantined {
            self.plane
                .record_outcome(server, server::ServerVerdict::Refused);
        }
        log::info!(
            request:% = self.request.id, server:% = self.plane.server_id(server),
            cause:? = cause; "stream not run"
        );
    }

    /// Permits another attempt after one that certainly did not run.
    fn permit_retry(&self, attempts: usize) -> Result<permit::AttemptPermit, reply::Refusal> {
        let attempts = u32::try_from(attempts).unwrap_or(u32::MAX);
        if attempts >= MAX_NOT_RUN_ATTEMPTS {
            return Err(self.rejected());
        }
        self.permit(budget::RepeatKind::Retry)
    }

    /// Permits an attempt; refuses the request if there is no permit.
    fn permit(&self, kind: budget::RepeatKind) -> Result<permit::AttemptPermit, reply::Refusal> {
        let now = time::Instant::now();
        let mut state = self.plane.state();
        let permit = state.permit(&self.request, &self.attempts, kind, now);
        drop(state);
        permit.ok_or_else(|| self.rejected())
    }

    fn rejected(&self) -> reply::Refusal {
        self.plane.refuse_unpermitted(&self.request)
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
            request: self.request.clone(),
            target,
            left: plane::ExchangePlane::<P>::left(&self.request),
            resume,
            reservation: None,
            backup: backup.map(|backup| backup.address),
            reuse: port::ReuseRule::FRESH,
        })
    }

    fn begin_response(
        &mut self,
        live: &mut LiveRun<P>,
        response: port::ServerResponse<P::Body>,
        sent: time::Instant,
    ) {
        if let Some(head) = self.head.take() {
            let stream_head = StreamHead {
                status: response.status,
                headers: response.headers,
            };
            let _ = head.send(Ok(stream_head));
        }
        if response.status.is_server_error() {
            self.plane
                .record_outcome(live.placed.server, server::ServerVerdict::Erred);
        } else {
            let verdict = server::ServerVerdict::Good(sent.elapsed());
            self.plane.record_outcome(live.placed.server, verdict);
        }
        live.watch = Some(self.watch(live.placed.server));
        live.has_events = response.status.is_success();
        live.body = Some(response.body);
    }

    pub(crate) fn watch(&self, server: fleet::ServerKey) -> accusing::AttemptWatch<P> {
        accusing::AttemptWatch::new(self.plane.clone(), server, self.request.clone())
    }

    /// Forwards events until the stream ends or the run stops on this server.
    async fn relay(&mut self, live: &mut LiveRun<P>) -> RelayEnd {
        loop {
            let Some(body) = live.body.as_mut() else {
                return RelayEnd::Broken;
            };
            let order = tokio::select! {
                part = body.next() => {
                    match part {
                        Some(Ok(bytes)) if self.forward_event(live, &bytes).await => return RelayEnd::Broken,
                        Some(Ok(_)) => {}
                        Some(Err(_)) => return RelayEnd::Broken,
                        None => return self.end_of_body(live),
                    }
                    continue;
                }
                Some(order) = live.orders.recv() => order,
            };
            let end = match order {
                _ if !self.may_continue(live) => None,
                relocate::RelocationOrder::Switch(to) => self.switch(live, to).await,
                relocate::RelocationOrder::Move(to) => self.move_run(live, to, false).await,
            };
            if let Some(end) = end {
                return end;
            }
            if let Some(run) = self.plane.state().fleet.run_mut(live.placed.run) {
                run.moving_to = None;
                run.move_after = Some(time::Instant::now() + MOVE_RETRY_DELAY);
            }
        }
    }

    /// Whether the caller's answer may continue with the events of the run on another server. Nothing
    /// continues the body of an error response, and what is quarantined is not sent again.
    fn may_continue(&self, live: &LiveRun<P>) -> bool {
        let quarantined = self.plane.is_quarantined(&self.request);
        live.has_events && self.splitter.may_continue() && !quarantined
    }

    /// Returns how forwarding ended when the body of a response reached its end. A stream that ends
    /// inside an event has been broken off. If only the close of its connection ended it, so has one
    /// without events, since a generation has at least one, and one whose run may be stopped.
    pub(crate) fn end_of_body(&self, live: &LiveRun<P>) -> RelayEnd {
        let delimited = live
            .body
            .as_ref()
            .is_some_and(port::ResponseBody::is_delimited);
        let partial_bytes = self.splitter.partial_bytes();
        if !delimited || partial_bytes > 0 {
            log::info!(
                request:% = self.request.id, server:% = self.plane.server_id(live.placed.server),
                events = self.splitter.events(), delimited, partial_bytes; "body of a stream ended"
            );
        }
        let empty = self.splitter.events() == live.first_event;
        let unproved = !delimited && (empty || live.may_be_stopped);
        if live.has_events && (unproved || self.splitter.is_in_event()) {
            RelayEnd::Broken
        } else {
            RelayEnd::Finished
        }
    }

    /// Forwards bytes and records the progress of the run.
    pub(crate) async fn forward(&mut self, live: &LiveRun<P>, bytes: &[u8]) {
        let before = self.moment(live);
        let complete = self.splitter.take(bytes);
        if live.has_events {
            self.record_progress(before, self.moment(live));
        }
        {
            let mut state = self.plane.state();
            let engine = state
                .service(&self.request.service)
                .and_then(|rule| rule.engine);
            let per_event = engine.map_or(1, |engine| engine.tokens_per_event);
            let events = u32::try_from(self.splitter.events()).unwrap_or(u32::MAX);
            if let Some(run) = state.fleet.run_mut(live.placed.run) {
                run.produced = events.saturating_mul(per_event);
                if events > 0 && run.first_at.is_none() {
                    run.first_at = Some(time::Instant::now());
                    self.plane.announce_loads();
                }
            }
        }
        if !complete.is_empty() {
            self.record_arrival(live);
            endless::send_part(&self.parts, complete).await;
        }
    }

    async fn finish(&mut self) -> Result<(), reply::Refusal> {
        let rest = self.splitter.rest();
        if !rest.is_empty() {
            let _ = self.parts.send(reply::StreamPart::Bytes(rest)).await;
        }
        let _ = self.parts.send(reply::StreamPart::End).await;
        Ok(())
    }

    /// Records that a server is full.
    pub(crate) fn mark_full(&self, server: fleet::ServerKey) {
        let now = time::Instant::now();
        let mut state = self.plane.state();
        if state.note_turned_away(server, now) {
            return;
        }
        let pause = FULL_RETRY_DELAY.mul_f64(0.7 + 0.6 * state.draw());
        state.fleet.mark_full(server, now + pause);
    }

    /// Records that a server broke the request off before its first byte.
    async fn record_lost(&self, server: fleet::ServerKey, cause: port::LostCause) {
        log::info!(
            request:% = self.request.id, server:% = self.plane.server_id(server),
            cause:? = cause; "stream lost before its head"
        );
        self.plane
            .record_outcome(server, server::ServerVerdict::BrokeOff);
        self.plane.announce_loads();
        if cause == port::LostCause::Broken {
            self.record_lost_at(server).await;
        }
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

    /// Makes the request a suspect if a server crashed that lost it before the head of its answer.
    pub(crate) async fn record_lost_at(&self, server: fleet::ServerKey) {
        let early = crashes::BreakMoment::Early;
        self.plane.record_broken(server, &self.request, early).await;
    }

    /// Records what the progress of an answer tells of the request.
    fn record_progress(&mut self, before: crashes::BreakMoment, after: crashes::BreakMoment) {
        let now = time::Instant::now();
        if before != after {
            self.went_on_at = Some(now);
            let beginning = table::RunExtent::Beginning;
            self.plane.record_ran_well(&self.request, beginning);
        }
        let is_long = |at| now.saturating_duration_since(at) >= LONG_RUN_TIME;
        if self.went_on_at.is_some_and(is_long) {
            self.went_on_at = None;
            self.plane.record_parts_ran_well(&self.request);
        }
    }

    /// When the answer of this server broke off, if it does now.
    const fn moment(&self, live: &LiveRun<P>) -> crashes::BreakMoment {
        if self.splitter.events() < live.first_event + MIN_EVENTS_TO_GO_ON {
            crashes::BreakMoment::Early
        } else {
            crashes::BreakMoment::Late
        }
    }

    /// Makes the request a suspect if its server crashed. Returns whether the server is known to run.
    pub(crate) async fn record_broken(&self, live: &LiveRun<P>) -> bool {
        let (server, moment) = (live.placed.server, self.moment(live));
        self.plane
            .record_broken(server, &self.request, moment)
            .await
    }

    /// Records what the end of a whole body tells. One that ended with its connection may have been
    /// broken off by a crash; that is checked if it has just begun, or while crashes are remembered.
    async fn record_finished(&self, live: &LiveRun<P>) {
        if !live.has_events {
            return;
        }
        let body = live.body.as_ref();
        let is_delimited = body.is_some_and(port::ResponseBody::is_delimited);
        let is_checked = self.moment(live) == crashes::BreakMoment::Early
            || self.plane.state().crashes.knows_crashes();
        if is_delimited || is_checked && self.record_broken(live).await {
            let whole = table::RunExtent::Whole;
            self.plane.record_ran_well(&self.request, whole);
        }
    }

    fn lost(&self) -> reply::Refusal {
        reply::Refusal {
            cause: reply::RefusalCause::ServerLost,
            ran: self.ran,
            retry_after: None,
        }
    }

    /// Ends the stream without its last event.
    fn fail(&mut self, refusal: reply::Refusal) {
        let events = self.splitter.events();
        log::info!(
            request:% = self.request.id, cause:% = refusal.cause.name(), ran:? = refusal.ran, events,
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

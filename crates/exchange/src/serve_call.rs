//! Calls: a short response is read completely before it is forwarded, so that a call broken off by
//! its server can be retried on another one where that is allowed.

use std::rc;

use base::outcome;
use bytes::{Bytes, BytesMut};
use crash::table;
use futures_util::{StreamExt as _, stream};
use tokio::{sync::mpsc, time};

use crate::{
    accusing, budget, catalog, crashes, endless, fleet, permit, plane, port,
    port::ResponseBody as _, reply, request, serve_stream, server, wait,
};

/// Parts of a long response buffered for a slow caller: limits the memory that it can hold.
const MAX_BUFFERED_PARTS: usize = 4;
/// Fraction of the target latency after which an idempotent call is hedged: sent to a second server
/// as well.
const HEDGE_AFTER_FRACTION: f64 = 0.6;
/// Min delay before a hedge: a hedge sent sooner doubles the load without benefit.
const MIN_HEDGE_DELAY: time::Duration = time::Duration::from_millis(50);

/// Outcome of one attempt.
enum AttemptEnd<P: port::ServerPort> {
    Complete(CompleteResponse),
    Long(LongResponse<P>),
    NotRun(port::NotRunCause),
    Lost,
}

struct CompleteResponse {
    /// Whether the response states where its body ends; any other one may have been broken off.
    delimited: bool,
    status: http::StatusCode,
    headers: http::HeaderMap,
    body: Bytes,
}

struct LongResponse<P: port::ServerPort> {
    status: http::StatusCode,
    headers: http::HeaderMap,
    first: Bytes,
    body: P::Body,
    placed: plane::PlacedRun<P>,
    watch: accusing::AttemptWatch<P>,
}

/// Serves an idempotent or single call. `guard` is held until the caller has received the complete
/// response.
pub(crate) async fn serve<P: port::ServerPort + 'static, G: 'static>(
    plane: &rc::Rc<plane::ExchangePlane<P>>,
    request: rc::Rc<request::ExchangeRequest>,
    attempts: &permit::SharedAttempts,
    guard: G,
) -> Result<reply::Reply, reply::Refusal> {
    let mut call = CallState {
        plane,
        request: &request,
        avoid: Vec::new(),
        attempts,
        ran: outcome::RanState::No,
        guard: Some(guard),
    };
    tokio::select! {
        biased;
        end = call.run() => return end,
        () = plane.answer_due(request.limit) => {}
    }
    Err(call.timed_out())
}

struct CallState<'a, P: port::ServerPort, G> {
    plane: &'a rc::Rc<plane::ExchangePlane<P>>,
    request: &'a rc::Rc<request::ExchangeRequest>,
    /// Servers that already got an attempt.
    avoid: Vec<fleet::ServerKey>,
    attempts: &'a permit::SharedAttempts,
    /// Whether any attempt so far ran.
    ran: outcome::RanState,
    /// Handed over to a long response that is streamed.
    guard: Option<G>,
}

impl<P: port::ServerPort + 'static, G: 'static> CallState<'_, P, G> {
    async fn run(&mut self) -> Result<reply::Reply, reply::Refusal> {
        let mut attempts = stream::FuturesUnordered::new();
        let first = self.plane.place(self.request, &self.avoid).await?;
        let permit = self.permit(budget::RepeatKind::Retry);
        let permit = permit.ok_or_else(|| self.rejected())?;
        attempts.push(self.send(first, permit));
        let mut last_response = None;
        let hedge = time::sleep(self.hedge_after());
        tokio::pin!(hedge);
        let mut hedged = self.request.kind != catalog::ExchangeKind::Idempotent;
        loop {
            let end = tokio::select! {
                end = attempts.next() => end,
                () = &mut hedge, if !hedged => {
                    hedged = true;
                    if let Some((placed, permit)) = self.hedge() {
                        attempts.push(self.send(placed, permit));
                    }
                    continue;
                }
            };
            let Some((server, end)) = end else {
                return last_response.unwrap_or_else(|| Err(self.lost()));
            };
            match self.next_step(server, end) {
                Step::Respond(response) => return response,
                Step::Retry(response) => last_response = Some(response),
            }
            if attempts.is_empty() && self.is_cut() {
                let cause = reply::RefusalCause::NoServer;
                return Err(self.plane.refuse(self.request, cause));
            }
            if attempts.is_empty() {
                let Some(permit) = self.permit_retry() else {
                    return last_response.unwrap_or_else(|| Err(self.lost()));
                };
                match self.plane.place(self.request, &self.avoid).await {
                    Ok(placed) => attempts.push(self.send(placed, permit)),
                    Err(refusal) => return last_response.unwrap_or(Err(refusal)),
                }
            }
        }
    }

    /// Delay of the hedge: late enough that few calls need it, early enough that its response is
    /// still on time.
    fn hedge_after(&self) -> time::Duration {
        self.request
            .target_latency
            .mul_f64(HEDGE_AFTER_FRACTION)
            .max(MIN_HEDGE_DELAY)
    }

    fn hedge(&mut self) -> Option<(plane::PlacedRun<P>, permit::AttemptPermit)> {
        let now = time::Instant::now();
        if !self.plane.state().may_hedge(self.request, now) {
            return None;
        }
        let permit = self.permit(budget::RepeatKind::Hedge)?;
        let rank = wait::WaitRank::default();
        let placed = self
            .plane
            .state()
            .place(self.request, &self.avoid, rank, now);
        let (run, server) = placed.ok()?;
        metrics::counter!("pollenchute_exchange_hedges_total").increment(1);
        Some((self.plane.placed(run, server), permit))
    }

    /// Sends one attempt; its assignment is freed when the future ends or is dropped.
    fn send(
        &mut self,
        placed: plane::PlacedRun<P>,
        permit: permit::AttemptPermit,
    ) -> impl Future<Output = (fleet::ServerKey, AttemptEnd<P>)> + use<P, G> {
        let kind = if self.avoid.is_empty() {
            "first"
        } else {
            "further"
        };
        self.plane.count_limited(placed.server, kind);
        self.avoid.push(placed.server);
        let plane = self.plane.clone();
        let request = self.request.clone();
        async move {
            let server = placed.server;
            (server, run_attempt(plane, request, placed, permit).await)
        }
    }

    fn next_step(&mut self, server: fleet::ServerKey, end: AttemptEnd<P>) -> Step {
        let idempotent = self.request.kind == catalog::ExchangeKind::Idempotent;
        match end {
            AttemptEnd::Complete(response) => {
                self.ran = outcome::RanState::Yes;
                let failed = response.status.is_server_error();
                let reply = Ok(reply::Reply {
                    status: response.status,
                    headers: response.headers,
                    body: reply::ReplyBody::Complete(response.body),
                });
                if failed && idempotent {
                    Step::Retry(reply)
                } else {
                    Step::Respond(reply)
                }
            }
            AttemptEnd::Long(response) => {
                self.ran = outcome::RanState::Yes;
                Step::Respond(Ok(stream_long(
                    self.request.clone(),
                    response,
                    self.guard.take(),
                )))
            }
            AttemptEnd::NotRun(cause) => {
                let refused = match cause {
                    port::NotRunCause::Rejected => reply::RefusalCause::Rejected,
                    port::NotRunCause::Quarantined => reply::RefusalCause::Quarantined,
                    _ => reply::RefusalCause::NoServer,
                };
                self.log_failed(server, cause_name(cause));
                if self.ran == outcome::RanState::No {
                    Step::Retry(Err(self.plane.refuse(self.request, refused)))
                } else {
                    Step::Retry(Err(self.lost()))
                }
            }
            AttemptEnd::Lost => {
                self.ran = self.ran.and(outcome::RanState::Unknown);
                self.log_failed(server, "lost");
                let lost = Err(self.lost());
                if idempotent {
                    Step::Retry(lost)
                } else {
                    Step::Respond(lost)
                }
            }
        }
    }

    /// Whether no server is reached, and none has run the call.
    fn is_cut(&self) -> bool {
        self.ran == outcome::RanState::No && self.plane.is_cut(&self.request.service)
    }

    fn permit_retry(&self) -> Option<permit::AttemptPermit> {
        let idempotent = self.request.kind == catalog::ExchangeKind::Idempotent;
        let may = idempotent || self.ran == outcome::RanState::No;
        may.then(|| self.permit(budget::RepeatKind::Retry))?
    }

    fn permit(&self, kind: budget::RepeatKind) -> Option<permit::AttemptPermit> {
        let now = time::Instant::now();
        let mut state = self.plane.state();
        state.permit(self.request, self.attempts, kind, now)
    }

    fn rejected(&self) -> reply::Refusal {
        self.plane.refuse_unpermitted(self.request)
    }

    fn log_failed(&self, server: fleet::ServerKey, why: &str) {
        log::info!(
            request:% = self.request.id, server:% = self.plane.server_id(server), cause:% = why,
            fingerprint = self.request.fingerprint;
            "try failed"
        );
    }

    fn lost(&self) -> reply::Refusal {
        reply::Refusal {
            cause: reply::RefusalCause::ServerLost,
            ran: self.ran,
            retry_after: None,
        }
    }

    fn timed_out(&self) -> reply::Refusal {
        let unanswered: Vec<_> = self.attempts.borrow().unanswered().collect();
        for (server, sent_at) in unanswered {
            self.plane.record_reach(server, sent_at, false);
        }
        for &server in &self.avoid {
            self.plane
                .record_outcome(server, server::ServerVerdict::Failed);
        }
        if !self.attempts.borrow().may_have_run() {
            return self
                .plane
                .refuse(self.request, reply::RefusalCause::Patience);
        }
        reply::Refusal {
            cause: reply::RefusalCause::Timeout,
            ran: outcome::RanState::Unknown,
            retry_after: None,
        }
    }
}

enum Step {
    /// The final response.
    Respond(Result<reply::Reply, reply::Refusal>),
    /// Response to return if no further attempt succeeds.
    Retry(Result<reply::Reply, reply::Refusal>),
}

const fn cause_name(cause: port::NotRunCause) -> &'static str {
    match cause {
        port::NotRunCause::Unreachable => "unreachable",
        port::NotRunCause::Rejected => "rejected",
        port::NotRunCause::Misdirected => "misdirected",
        port::NotRunCause::Quarantined => "quarantined",
    }
}

async fn run_attempt<P: port::ServerPort + 'static>(
    plane: rc::Rc<plane::ExchangePlane<P>>,
    request: rc::Rc<request::ExchangeRequest>,
    placed: plane::PlacedRun<P>,
    permit: permit::AttemptPermit,
) -> AttemptEnd<P> {
    let started = time::Instant::now();
    let Some(target) = plane.target(placed.server) else {
        return AttemptEnd::NotRun(port::NotRunCause::Unreachable);
    };
    let reuse = match request.kind {
        catalog::ExchangeKind::Idempotent => port::ReuseRule::Any,
        _ => port::ReuseRule::FRESH,
    };
    log::info!(
        request:% = request.id, server:% = target.id,
        permit = permit.name(), waited_ms = serve_stream::millis(request.arrived); "try sent"
    );
    let left = plane::ExchangePlane::<P>::left(&request);
    let call = port::ServerCall {
        request: request.clone(),
        target,
        left,
        resume: None,
        reservation: None,
        backup: None,
        reuse,
    };
    let outcome = plane.send_attempt(call, placed.server, permit).await;
    let end = match outcome {
        port::CallOutcome::Responded(response) => {
            let watch = accusing::AttemptWatch::new(plane.clone(), placed.server, request.clone());
            read_response(response, placed, watch, request.limit).await
        }
        port::CallOutcome::NotRun(port::NotRunCause::Quarantined) => {
            return AttemptEnd::NotRun(port::NotRunCause::Quarantined);
        }
        port::CallOutcome::NotRun(cause) => {
            let verdict = match cause {
                port::NotRunCause::Misdirected => server::ServerVerdict::Failed,
                _ => server::ServerVerdict::Refused,
            };
            plane.record_outcome(placed.server, verdict);
            return AttemptEnd::NotRun(cause);
        }
        port::CallOutcome::Lost(cause) => {
            plane.record_outcome(placed.server, server::ServerVerdict::Failed);
            if cause == port::LostCause::Broken {
                let early = crashes::BreakMoment::Early;
                plane.record_broken(placed.server, &request, early).await;
            }
            return AttemptEnd::Lost;
        }
    };
    let (server, end) = end;
    record_end(&plane, server, &request, &end, started);
    if matches!(end, AttemptEnd::Lost) {
        let early = crashes::BreakMoment::Early;
        plane.record_broken(server, &request, early).await;
    }
    end
}

/// Records what the end of an attempt that was answered tells of its server and of the request.
fn record_end<P: port::ServerPort>(
    plane: &plane::ExchangePlane<P>,
    server: fleet::ServerKey,
    request: &request::ExchangeRequest,
    end: &AttemptEnd<P>,
    started: time::Instant,
) {
    let verdict = match end {
        AttemptEnd::Complete(response) if response.status.is_server_error() => {
            server::ServerVerdict::Erred
        }
        AttemptEnd::Complete(_) | AttemptEnd::Long(_) => {
            server::ServerVerdict::Good(started.elapsed())
        }
        _ => server::ServerVerdict::Failed,
    };
    plane.record_outcome(server, verdict);
    match end {
        AttemptEnd::Complete(response)
            if response.delimited && !response.status.is_server_error() =>
        {
            plane.record_ran_well(request, table::RunExtent::Whole);
        }
        _ => {}
    }
}

async fn read_response<P: port::ServerPort>(
    response: port::ServerResponse<P::Body>,
    placed: plane::PlacedRun<P>,
    watch: accusing::AttemptWatch<P>,
    limit: time::Instant,
) -> (fleet::ServerKey, AttemptEnd<P>) {
    let server = placed.server;
    let port::ServerResponse {
        status,
        headers,
        mut body,
        ..
    } = response;
    let mut buffer = BytesMut::new();
    let mut body_watch = endless::BodyWatch::new(&placed, limit);
    let last = loop {
        match body.next().await {
            Some(Ok(bytes)) => buffer.extend_from_slice(&bytes),
            last => break Some(last),
        }
        if !body_watch.keeps(buffer.len()) {
            break None;
        }
    };
    let first = body_watch.end(buffer.freeze());
    drop(body_watch);
    let end = match last {
        None => AttemptEnd::Long(LongResponse {
            status,
            headers,
            first,
            body,
            placed,
            watch,
        }),
        // Only the close of its connection ended it, which a server that stops also causes.
        Some(None) if status.is_success() && first.is_empty() && !body.is_delimited() => {
            watch.settle();
            AttemptEnd::Lost
        }
        Some(None) => {
            watch.settle();
            AttemptEnd::Complete(CompleteResponse {
                delimited: body.is_delimited(),
                status,
                headers,
                body: first,
            })
        }
        Some(Some(_)) => {
            watch.settle();
            AttemptEnd::Lost
        }
    };
    (server, end)
}

/// Streams a long response to the caller until the route's time limit. The server's assignment and
/// `guard` are held until the caller has received all of it, so that a stop of this VM waits for
/// it.
fn stream_long<P: port::ServerPort + 'static, G: 'static>(
    request: rc::Rc<request::ExchangeRequest>,
    response: LongResponse<P>,
    guard: G,
) -> reply::Reply {
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_PARTS);
    let LongResponse {
        status,
        headers,
        first,
        mut body,
        placed,
        watch,
    } = response;
    tokio::task::spawn_local(async move {
        let progress = endless::LongProgress::default();
        let (end, is_known) = tokio::select! {
            biased;
            () = sender.closed() => (outcome::EndKind::Left, false),
            () = time::sleep_until(request.limit) => {
                progress.record_timeout(&placed);
                (outcome::EndKind::Failed, false)
            }
            end = forward_parts(&sender, first, &mut body, &progress) => (end, true),
        };
        log::info!(request:% = request.id, end:% = end.name(); "long answer ended");
        if is_known {
            watch.settle();
            record_long_end(&placed, &request, end, body.is_delimited()).await;
        }
        drop((placed, guard));
    });
    reply::Reply {
        status,
        headers,
        body: reply::ReplyBody::Parts(receiver),
    }
}

/// Records what the end of a long answer tells of the request.
async fn record_long_end<P: port::ServerPort + 'static>(
    placed: &plane::PlacedRun<P>,
    request: &request::ExchangeRequest,
    end: outcome::EndKind,
    is_delimited: bool,
) {
    let plane = &placed.plane;
    if end != outcome::EndKind::Whole {
        let late = crashes::BreakMoment::Late;
        plane.record_broken(placed.server, request, late).await;
    } else if is_delimited {
        plane.record_ran_well(request, table::RunExtent::Whole);
    }
}

async fn forward_parts(
    sender: &mpsc::Sender<reply::StreamPart>,
    first: Bytes,
    body: &mut impl port::ResponseBody,
    progress: &endless::LongProgress,
) -> outcome::EndKind {
    let mut next = Some(Ok(first));
    while let Some(Ok(bytes)) = next {
        progress.note(bytes.len());
        // If the caller has left, nothing is sent: the caller of this function detects that itself.
        let sent = endless::send_part(sender, bytes);
        progress.wait(endless::LongWait::Caller, sent).await;
        let read = progress.wait(endless::LongWait::Server, body.next());
        next = read.await;
    }
    if next.is_some() {
        return outcome::EndKind::Failed;
    }
    let _ = sender.send(reply::StreamPart::End).await;
    outcome::EndKind::Whole
}

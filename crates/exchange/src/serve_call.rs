//! Calls with a short answer: read whole before it is passed on, so that what a server breaks off
//! can be asked of another where that is allowed.

use std::rc;

use base::outcome;
use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt as _, stream};
use tokio::{sync::mpsc, time};

use crate::{
    ask, catalog, fleet, plane, port, port::AnswerBody as _, reply, serve_stream, server, wait,
};

/// Answers up to this size are read whole before they are passed on; longer ones are passed on as
/// they come and can't be tried again.
const WHOLE_BYTES: usize = 256 * 1_024;
/// Parts of a long answer that are under way to a slow caller: bounds what it can make us hold.
const LONG_PARTS: usize = 4;
/// Part of the aim after which an idempotent call is also sent to another server.
const HEDGE_PART: f64 = 0.6;
/// Least time before that: a hedge sooner doubles load for nothing.
const HEDGE_LEAST: time::Duration = time::Duration::from_millis(50);
/// Further tries that must be left before one is spent on a hedge: failures go first.
const HEDGE_RESERVE: f64 = 3.0;

/// What one try came to.
enum TryEnd<P: port::ServerPort> {
    Whole(WholeAnswer),
    Long(LongAnswer<P>),
    NotRun(port::NotRunCause),
    Lost,
}

struct WholeAnswer {
    status: http::StatusCode,
    headers: http::HeaderMap,
    body: Bytes,
}

struct LongAnswer<P: port::ServerPort> {
    status: http::StatusCode,
    headers: http::HeaderMap,
    first: Bytes,
    body: P::Body,
    placed: plane::PlacedRun<P>,
}

/// Serves an idempotent or single call. `guard` lives until its caller has all of the answer.
pub(crate) async fn serve<P: port::ServerPort + 'static, G: 'static>(
    plane: &rc::Rc<plane::ExchangePlane<P>>,
    ask: rc::Rc<ask::ExchangeAsk>,
    guard: G,
) -> Result<reply::Reply, reply::Refusal> {
    let mut call = CallState {
        plane,
        ask: &ask,
        avoid: Vec::new(),
        sent: 0,
        ran: outcome::RanState::No,
        guard: Some(guard),
    };
    match time::timeout_at(ask.limit, call.run()).await {
        Ok(end) => end,
        Err(_) => Err(call.timed_out()),
    }
}

struct CallState<'a, P: port::ServerPort, G> {
    plane: &'a rc::Rc<plane::ExchangePlane<P>>,
    ask: &'a rc::Rc<ask::ExchangeAsk>,
    /// Servers that had a try.
    avoid: Vec<fleet::ServerKey>,
    /// Tries that may have reached a server that could run it.
    sent: u32,
    /// What is known of the tries so far.
    ran: outcome::RanState,
    /// Goes with a long answer that is passed on.
    guard: Option<G>,
}

impl<P: port::ServerPort + 'static, G: 'static> CallState<'_, P, G> {
    async fn run(&mut self) -> Result<reply::Reply, reply::Refusal> {
        let mut tries = stream::FuturesUnordered::new();
        let first = self.plane.place(self.ask, &self.avoid).await?;
        tries.push(self.send(first));
        let mut last_answer = None;
        let hedge = time::sleep(self.hedge_after());
        tokio::pin!(hedge);
        let mut hedged = self.ask.kind != catalog::ExchangeKind::Idempotent;
        loop {
            let end = tokio::select! {
                end = tries.next() => end,
                () = &mut hedge, if !hedged => {
                    hedged = true;
                    if let Some(placed) = self.hedge() {
                        tries.push(self.send(placed));
                    }
                    continue;
                }
            };
            let Some((server, end)) = end else {
                return last_answer.unwrap_or_else(|| Err(self.lost()));
            };
            match self.judge(server, end) {
                Step::Answer(answer) => return answer,
                Step::Again(answer) => last_answer = Some(answer),
            }
            if tries.is_empty() && !self.retry_allowed() {
                return last_answer.unwrap_or_else(|| Err(self.lost()));
            }
            if tries.is_empty() {
                match self.plane.place(self.ask, &self.avoid).await {
                    Ok(placed) => tries.push(self.send(placed)),
                    Err(refusal) => return last_answer.unwrap_or(Err(refusal)),
                }
            }
        }
    }

    /// When another server is asked as well: late enough that few need it, soon enough that its
    /// answer is still on time.
    fn hedge_after(&self) -> time::Duration {
        self.ask.aim.mul_f64(HEDGE_PART).max(HEDGE_LEAST)
    }

    fn hedge(&mut self) -> Option<plane::PlacedRun<P>> {
        let now = time::Instant::now();
        let mut state = self.plane.state();
        if self.sent >= self.ask.attempts
            || state.retries_left(&self.ask.service, now) < HEDGE_RESERVE
        {
            return None;
        }
        let (run, server) = state
            .place(self.ask, &self.avoid, wait::WaitRank::default(), now)
            .ok()?;
        state.take_retry(&self.ask.service, now);
        drop(state);
        metrics::counter!("pollenchute_exchange_hedges_total").increment(1);
        Some(self.plane.placed(run, server))
    }

    /// Sends one try; its place is given back when the future ends or is dropped.
    fn send(
        &mut self,
        placed: plane::PlacedRun<P>,
    ) -> impl Future<Output = (fleet::ServerKey, TryEnd<P>)> + use<P, G> {
        self.avoid.push(placed.server);
        self.sent += 1;
        let plane = self.plane.clone();
        let ask = self.ask.clone();
        async move {
            let server = placed.server;
            (server, try_once(plane, ask, placed).await)
        }
    }

    fn judge(&mut self, server: fleet::ServerKey, end: TryEnd<P>) -> Step {
        let idempotent = self.ask.kind == catalog::ExchangeKind::Idempotent;
        match end {
            TryEnd::Whole(answer) => {
                self.ran = outcome::RanState::Yes;
                let failed = answer.status.is_server_error();
                let reply = Ok(reply::Reply {
                    status: answer.status,
                    headers: answer.headers,
                    body: reply::ReplyBody::Whole(answer.body),
                });
                if failed && idempotent {
                    Step::Again(reply)
                } else {
                    Step::Answer(reply)
                }
            }
            TryEnd::Long(answer) => {
                self.ran = outcome::RanState::Yes;
                Step::Answer(Ok(pass_on(self.ask.clone(), answer, self.guard.take())))
            }
            TryEnd::NotRun(cause) => {
                // What never reached a server that could run it is no try in the route's sense.
                if cause != port::NotRunCause::Rejected {
                    self.sent -= 1;
                }
                let refused = match cause {
                    port::NotRunCause::Rejected => reply::RefusalCause::Rejected,
                    _ => reply::RefusalCause::NoServer,
                };
                self.log_failed(server, cause_name(cause));
                if self.ran == outcome::RanState::No {
                    Step::Again(Err(self.plane.refuse(self.ask, refused)))
                } else {
                    Step::Again(Err(self.lost()))
                }
            }
            TryEnd::Lost => {
                self.ran = self.ran.and(outcome::RanState::Unknown);
                self.log_failed(server, "lost");
                let lost = Err(self.lost());
                if idempotent {
                    Step::Again(lost)
                } else {
                    Step::Answer(lost)
                }
            }
        }
    }

    fn retry_allowed(&self) -> bool {
        let now = time::Instant::now();
        let idempotent = self.ask.kind == catalog::ExchangeKind::Idempotent;
        let may = idempotent || self.ran == outcome::RanState::No;
        may && self.sent < self.ask.attempts
            && self.plane.state().take_retry(&self.ask.service, now)
    }

    fn log_failed(&self, server: fleet::ServerKey, why: &str) {
        log::info!(
            request:% = self.ask.id, server:% = self.plane.server_id(server), cause:% = why;
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
        for &server in &self.avoid {
            self.plane.judge(server, server::ServerVerdict::Failed);
        }
        if self.sent == 0 {
            return self.plane.refuse(self.ask, reply::RefusalCause::Patience);
        }
        reply::Refusal {
            cause: reply::RefusalCause::Timeout,
            ran: outcome::RanState::Unknown,
            retry_after: None,
        }
    }
}

enum Step {
    /// This is the final answer.
    Answer(Result<reply::Reply, reply::Refusal>),
    /// Another try may do better; this is the answer if there is none.
    Again(Result<reply::Reply, reply::Refusal>),
}

const fn cause_name(cause: port::NotRunCause) -> &'static str {
    match cause {
        port::NotRunCause::Unreachable => "unreachable",
        port::NotRunCause::Rejected => "rejected",
        port::NotRunCause::Misdirected => "misdirected",
    }
}

async fn try_once<P: port::ServerPort + 'static>(
    plane: rc::Rc<plane::ExchangePlane<P>>,
    ask: rc::Rc<ask::ExchangeAsk>,
    placed: plane::PlacedRun<P>,
) -> TryEnd<P> {
    let started = time::Instant::now();
    let Some(target) = plane.target(placed.server) else {
        return TryEnd::NotRun(port::NotRunCause::Unreachable);
    };
    let reuse = match ask.kind {
        catalog::ExchangeKind::Idempotent => port::ReuseRule::Any,
        _ => port::ReuseRule::FRESH,
    };
    log::info!(
        request:% = ask.id, server:% = target.id,
        waited_ms = serve_stream::millis(ask.arrived); "try sent"
    );
    let left = plane::ExchangePlane::<P>::left(&ask);
    let call = port::ServerCall {
        ask,
        target,
        left,
        resume: None,
        reservation: None,
        backup: None,
        reuse,
    };
    let end = match plane.port.open(call).await {
        port::CallOutcome::Answered(answer) => read_answer(answer, placed).await,
        port::CallOutcome::NotRun(cause) => {
            let verdict = match cause {
                port::NotRunCause::Misdirected => server::ServerVerdict::Failed,
                _ => server::ServerVerdict::Refused,
            };
            plane.judge(placed.server, verdict);
            return TryEnd::NotRun(cause);
        }
        port::CallOutcome::Lost(_) => {
            plane.judge(placed.server, server::ServerVerdict::Failed);
            return TryEnd::Lost;
        }
    };
    let (server, end) = end;
    let verdict = match &end {
        TryEnd::Whole(answer) if answer.status.is_server_error() => server::ServerVerdict::Erred,
        TryEnd::Whole(_) | TryEnd::Long(_) => server::ServerVerdict::Good(started.elapsed()),
        _ => server::ServerVerdict::Failed,
    };
    plane.judge(server, verdict);
    end
}

async fn read_answer<P: port::ServerPort>(
    answer: port::ServerAnswer<P::Body>,
    placed: plane::PlacedRun<P>,
) -> (fleet::ServerKey, TryEnd<P>) {
    let server = placed.server;
    let port::ServerAnswer {
        status,
        headers,
        mut body,
        ..
    } = answer;
    let mut whole = BytesMut::new();
    let end = loop {
        match body.next().await {
            None => {
                let body = whole.freeze();
                break TryEnd::Whole(WholeAnswer {
                    status,
                    headers,
                    body,
                });
            }
            Some(Err(_)) => break TryEnd::Lost,
            Some(Ok(bytes)) => whole.extend_from_slice(&bytes),
        }
        if whole.len() > WHOLE_BYTES {
            let first = whole.freeze();
            break TryEnd::Long(LongAnswer {
                status,
                headers,
                first,
                body,
                placed,
            });
        }
    };
    (server, end)
}

/// Passes a long answer on as it comes, until its route's time is up. Until its caller has all of
/// it, its server's place is taken and `guard` lives, so that a stop waits for it.
fn pass_on<P: port::ServerPort + 'static, G: 'static>(
    ask: rc::Rc<ask::ExchangeAsk>,
    answer: LongAnswer<P>,
    guard: G,
) -> reply::Reply {
    let (sender, receiver) = mpsc::channel(LONG_PARTS);
    let LongAnswer {
        status,
        headers,
        first,
        mut body,
        placed,
    } = answer;
    tokio::task::spawn_local(async move {
        let end = tokio::select! {
            biased;
            () = sender.closed() => outcome::EndKind::Left,
            () = time::sleep_until(ask.limit) => outcome::EndKind::Failed,
            end = pass_parts(&sender, first, &mut body) => end,
        };
        log::info!(request:% = ask.id, end:% = end.name(); "long answer ended");
        drop((placed, guard));
    });
    reply::Reply {
        status,
        headers,
        body: reply::ReplyBody::Parts(receiver),
    }
}

async fn pass_parts(
    sender: &mpsc::Sender<reply::StreamPart>,
    first: Bytes,
    body: &mut impl port::AnswerBody,
) -> outcome::EndKind {
    let mut next = Some(Ok(first));
    while let Some(Ok(bytes)) = next {
        // It fails when the caller has left, which is noticed beside this.
        let _ = sender.send(reply::StreamPart::Bytes(bytes)).await;
        next = body.next().await;
    }
    if next.is_some() {
        return outcome::EndKind::Failed;
    }
    let _ = sender.send(reply::StreamPart::End).await;
    outcome::EndKind::Whole
}

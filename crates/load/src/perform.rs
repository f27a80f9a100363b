//! Makes one planned call and records its outcome.

use std::{net, time::Duration};

use base::{fingerprint, refusal};
use futures_util::StreamExt as _;
use stand::service;
use tokio::time;

use crate::{arrival, body, caller, check, record, sse};

/// Interval between two polls for the outcome of accepted work.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of continuations of one stream before it counts as cut.
const MAX_CONTINUATIONS: u32 = 6;

const GENERATION_TOKEN: &str = "x-generation-token";

/// One call in progress.
struct CallRun<'a> {
    caller: &'a caller::EntryCaller,
    /// Intended start.
    start: time::Instant,
    check: check::AnswerCheck,
    record: record::CallRecord,
    /// Arrival time of the last token.
    last: time::Instant,
}

/// Result of reading one connection of a stream.
enum StreamEnd {
    Done,
    Refused(refusal::RefusalBody),
    Broken(String),
    Faulty(check::AnswerError),
}

/// Makes `call`, whose intended start is `start`.
pub async fn perform(
    caller: &caller::EntryCaller,
    call: &arrival::PlannedCall,
    start: time::Instant,
) -> record::CallRecord {
    match &call.request {
        arrival::PlannedRequest::Service {
            service,
            path,
            text,
            at_most_once,
        } => {
            let request = ServiceParts {
                path: format!("/v1/services/{service}/{path}"),
                class: call.class.name(),
                text,
                key: at_most_once.then(|| format!("{}-{text}", unix_ms())),
            };
            let mut record = record::CallRecord::begin(call.workload, call.class);
            let outcome = call_service(caller, start, &request, &mut record).await;
            record.key = request.key;
            record.outcome = outcome.unwrap_or_else(|outcome| outcome);
            record
        }
        arrival::PlannedRequest::Generation(generation) => {
            let mut run = CallRun {
                caller,
                start,
                check: check::AnswerCheck::new(generation.expected()),
                record: record::CallRecord::begin(call.workload, call.class),
                last: start,
            };
            let request = RequestParts {
                body: body::ChatRequest::of(&call.organisation, generation),
                class: call.class.name(),
            };
            let outcome = match generation.delivery {
                arrival::CallDelivery::Streamed => run.stream(&request).await,
                arrival::CallDelivery::Whole => run.complete(&request).await,
                arrival::CallDelivery::RespondAsync => run.respond_async(&request).await,
            };
            run.record.outcome = outcome.unwrap_or_else(|outcome| outcome);
            run.record
        }
    }
}

/// Request data that every attempt of one generation sends.
struct RequestParts {
    body: body::ChatRequest,
    class: &'static str,
}

impl RequestParts {
    fn build(
        &self,
        caller: &caller::EntryCaller,
        address: net::SocketAddr,
    ) -> reqwest::RequestBuilder {
        caller
            .request(reqwest::Method::POST, address, "/v1/chat/completions")
            .header("x-traffic-class", self.class)
            .json(&self.body)
    }
}

/// Request data that every attempt of one service call sends.
struct ServiceParts<'a> {
    path: String,
    class: &'static str,
    text: &'a str,
    key: Option<String>,
}

type CallResult = Result<record::CallOutcome, record::CallOutcome>;

impl CallRun<'_> {
    async fn stream(&mut self, request: &RequestParts) -> CallResult {
        let caller = self.caller;
        let mut answer = caller
            .send(&mut self.record, |address| request.build(caller, address))
            .await?;
        let mut token: Option<String> = None;
        loop {
            token = generation_token(&answer.response).or(token);
            let broken = match self.read_stream(answer.response).await {
                StreamEnd::Done => return Ok(verdict_of(self.check.finish())),
                StreamEnd::Faulty(error) => return Ok(record::CallOutcome::Faulty(error)),
                StreamEnd::Refused(refusal) => return Ok(self.refused(refusal)),
                StreamEnd::Broken(broken) => broken,
            };
            caller.suspect(answer.address);
            self.record.continuations += 1;
            let Some(token) = token.as_ref().filter(|_| self.may_continue()) else {
                let seen = format!("after token {}: {broken}", self.check.next());
                return Ok(record::CallOutcome::Faulty(check::AnswerError::Cut {
                    seen,
                }));
            };
            let path = format!("/v1/generations/{token}?from={}", self.check.next());
            let next = caller
                .send(&mut self.record, |address| {
                    caller.request(reqwest::Method::GET, address, &path)
                })
                .await;
            answer = match next {
                Err(record::CallOutcome::Refused(refusal)) => return Ok(self.refused(refusal)),
                next => next?,
            };
        }
    }

    const fn may_continue(&self) -> bool {
        self.record.continuations <= MAX_CONTINUATIONS
    }

    /// Classifies a refusal: after the first token it is an early end of the answer.
    const fn refused(&self, refusal: refusal::RefusalBody) -> record::CallOutcome {
        if self.check.next() == 0 {
            record::CallOutcome::Refused(refusal)
        } else {
            record::CallOutcome::Ended(refusal)
        }
    }

    async fn read_stream(&mut self, response: reqwest::Response) -> StreamEnd {
        let mut events = sse::read_events(response);
        loop {
            let event = match time::timeout(self.caller.settings.idle_timeout, events.next()).await
            {
                Err(_) => return StreamEnd::Broken("the connection was idle for too long".into()),
                Ok(None) => return StreamEnd::Broken("ended without [DONE]".into()),
                Ok(Some(Err(error))) => return StreamEnd::Broken(format!("{error:?}")),
                Ok(Some(Ok(event))) => event,
            };
            let sse::StreamEvent::Data(data) = event else {
                continue;
            };
            if data == "[DONE]" {
                return StreamEnd::Done;
            }
            if let Err(end) = self.process_chunk(&data) {
                return end;
            }
        }
    }

    fn process_chunk(&mut self, data: &str) -> Result<(), StreamEnd> {
        let Ok(chunk) = serde_json::from_str::<body::ChatChunk>(data) else {
            let seen = format!("invalid chunk: {data:.100}");
            return Err(StreamEnd::Faulty(check::AnswerError::Mixed { seen }));
        };
        if let Some(refusal) = chunk.error {
            return Err(StreamEnd::Refused(refusal));
        }
        if chunk.pollenchute.handover.is_some() {
            // The entry VM is shutting down; another one continues the stream by the same token.
            return Err(StreamEnd::Broken("handed over".into()));
        }
        let text = chunk
            .choices
            .into_iter()
            .find_map(|choice| choice.delta.content);
        let (Some(text), Some(index)) = (text, chunk.pollenchute.index) else {
            return Ok(());
        };
        let now = time::Instant::now();
        let checked = self.check.check_token(index, &text);
        checked.map_err(StreamEnd::Faulty)?;
        let settings = self.caller.settings;
        let interval = now - self.last;
        self.record
            .add_token(now - self.start, interval, settings.expected_step);
        self.last = now;
        Ok(())
    }

    async fn complete(&mut self, request: &RequestParts) -> CallResult {
        let caller = self.caller;
        let exchanged = caller
            .exchange(&mut self.record, |address| request.build(caller, address))
            .await?;
        Ok(self.check_answer(&exchanged.text))
    }

    async fn respond_async(&mut self, request: &RequestParts) -> CallResult {
        let caller = self.caller;
        let accepted = caller
            .exchange(&mut self.record, |address| {
                request
                    .build(caller, address)
                    .header("prefer", "respond-async")
            })
            .await?;
        let location = accepted.headers.get(reqwest::header::LOCATION);
        let Some(location) = location.and_then(|location| location.to_str().ok()) else {
            let seen = format!("status {} without a location", accepted.status);
            return Ok(record::CallOutcome::Faulty(check::AnswerError::Cut {
                seen,
            }));
        };
        let deadline = time::Instant::now() + caller.settings.answer_timeout;
        while time::Instant::now() < deadline {
            time::sleep(POLL_INTERVAL).await;
            let polled = caller
                .exchange(&mut self.record, |address| {
                    caller.request(reqwest::Method::GET, address, location)
                })
                .await?;
            let Ok(body) = serde_json::from_str::<body::AcceptedWork>(&polled.text) else {
                let seen = format!("invalid outcome of accepted work: {:.100}", polled.text);
                return Ok(record::CallOutcome::Faulty(check::AnswerError::Mixed {
                    seen,
                }));
            };
            if let Some(refusal) = body.error {
                return Ok(self.refused(refusal));
            }
            if body.choices.is_some() {
                return Ok(self.check_answer(&polled.text));
            }
        }
        let seen = format!(
            "accepted work had no outcome within {:?}",
            caller.settings.answer_timeout
        );
        Ok(record::CallOutcome::Faulty(check::AnswerError::Cut {
            seen,
        }))
    }

    fn check_answer(&mut self, text: &str) -> record::CallOutcome {
        let parsed = serde_json::from_str::<body::ChatAnswer>(text).ok();
        let choice = parsed.and_then(|answer| answer.choices.into_iter().next());
        let Some(choice) = choice else {
            let seen = format!("invalid answer: {text:.100}");
            return record::CallOutcome::Faulty(check::AnswerError::Mixed { seen });
        };
        let verdict = self.check.check_answer(&choice.message.content);
        let expected = self.caller.settings.expected_step * self.check.next();
        self.record.tokens = self.check.next();
        self.record.add_answer(self.start.elapsed(), expected);
        verdict_of(verdict)
    }
}

async fn call_service(
    caller: &caller::EntryCaller,
    start: time::Instant,
    request: &ServiceParts<'_>,
    record: &mut record::CallRecord,
) -> CallResult {
    let exchanged = caller
        .exchange(record, |address| {
            let builder = caller
                .request(reqwest::Method::POST, address, &request.path)
                .header("x-traffic-class", request.class)
                .body(request.text.to_owned());
            match &request.key {
                Some(key) => builder.header("idempotency-key", key),
                None => builder,
            }
        })
        .await?;
    record.add_answer(start.elapsed(), Duration::ZERO);
    let Ok(answer) = serde_json::from_str::<service::ServiceAnswer>(&exchanged.text) else {
        let seen = format!("invalid answer: {:.100}", exchanged.text);
        return Ok(record::CallOutcome::Faulty(check::AnswerError::Mixed {
            seen,
        }));
    };
    let own = fingerprint::ContentHash::of(request.text.as_bytes()).to_string();
    if answer.body_sha256 != own || answer.idempotency_key != request.key {
        let seen = format!(
            "{} received the answer to another call: {answer:?}",
            request.text
        );
        return Ok(record::CallOutcome::Faulty(check::AnswerError::Mixed {
            seen,
        }));
    }
    Ok(record::CallOutcome::Whole)
}

fn verdict_of(verdict: Result<(), check::AnswerError>) -> record::CallOutcome {
    match verdict {
        Ok(()) => record::CallOutcome::Whole,
        Err(error) => record::CallOutcome::Faulty(error),
    }
}

fn generation_token(response: &reqwest::Response) -> Option<String> {
    let value = response.headers().get(GENERATION_TOKEN)?;
    value.to_str().ok().map(str::to_owned)
}

fn unix_ms() -> u128 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis())
}

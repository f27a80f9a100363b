//! Hands requests over to VMs that reach the servers, over HTTP.
//!
//! What is handed over is one attempt of a request, which its first VM has permitted. The other VM
//! places it with the time that is left, counts it against the limits of servers, and cancels it when
//! the connection is closed. It does not hand it on. Requests are accepted only
//! with the number of this system, which callers do not know.

use std::{net, rc, time};

use bytes::{Bytes, BytesMut};
use carry::{bounded, call, intake, listen, pool};
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use prost::Message as _;
use snafu::Snafu;
use tokio::{sync::mpsc, time::Instant};

use crate::{body, endless, handed, message, permit, plane, port, reply, request};

/// Path of the call that hands a request over.
const HANDOVER_PATH: &str = "/handover";
/// Timeout for a connection to another VM, which accepts one in a few milliseconds.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(250);
/// Maximum time in which a handed request arrives: the largest takes about 1 s over a link of 10 Mbit/s.
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Bytes of a handed request beyond the body of the caller.
const EXTRA_BYTES: usize = 64 * 1_024;
/// Group of all handed requests among those that hold places.
const HANDED_GROUP: u64 = 0;
/// Maximum size of a complete answer: a whole body (`endless::MAX_KEPT_BODY_BYTES`) with its head.
const MAX_COMPLETE_BYTES: u64 = 768 * 1_024;
/// Parts of an answer buffered for a slow caller.
const MAX_BUFFERED_PARTS: usize = 16;

/// Why a request that was handed over has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum HandoverError {
    /// The other VM certainly did not take the request.
    #[snafu(display("the other VM was not reached"))]
    Unsent,
    /// The other VM may have served the request.
    #[snafu(display("the answer of the other VM broke off"))]
    Lost,
}

/// Answer of another VM: its reply or its refusal.
pub type HandedAnswer = Result<reply::Reply, reply::Refusal>;

/// Client of other VMs.
#[derive(Clone, Debug, Default)]
pub struct HandoverClient {
    pool: pool::ConnectionPool,
}

impl HandoverClient {
    /// Closes pooled connections that have expired.
    pub fn sweep(&self) {
        self.pool.sweep();
    }

    /// Hands a request over to the VM at `peer` for one attempt, which is permitted. Dropping the future, or the body of the reply,
    /// cancels it there.
    ///
    /// # Errors
    ///
    /// When the VM is not reached, or its answer is not whole.
    pub async fn hand_over(
        &self,
        peer: net::SocketAddr,
        request: handed::HandedRequest,
        _proof: permit::PermitProof,
    ) -> Result<HandedAnswer, HandoverError> {
        let streams = request.is_stream();
        let id = request.id.clone();
        let left = time::Duration::from_millis(request.limit_ms);
        let (head, body) = request.encode_parts();
        let http_request = http::Request::builder()
            .method(http::Method::POST)
            .uri(HANDOVER_PATH)
            .header(http::header::HOST, peer.to_string())
            .body(call::CallBody::joined(head, body))
            .map_err(|_| HandoverError::Unsent)?;
        let rule = pool::ReuseRule::Within(port::ReuseRule::FRESH_TIME);
        let connected = self.pool.get(peer, rule, CONNECT_TIMEOUT).await;
        let mut connection = connected.map_err(|_| HandoverError::Unsent)?;
        let response = match connection.send_within(http_request, left).await {
            Ok(response) if response.status() == http::StatusCode::OK => response,
            Ok(_) | Err(pool::SendError::Unsent) => return Err(HandoverError::Unsent),
            Err(pool::SendError::Broken) => return Err(HandoverError::Lost),
            Err(pool::SendError::Endless { answer }) => {
                answer.report(bounded::EndlessPlace::Link, peer);
                return Err(HandoverError::Lost);
            }
        };
        let answer = AnswerReader {
            request: id,
            body: response.into_body(),
            connection,
            pool: self.pool.clone(),
        };
        answer.read(streams).await
    }
}

/// Answer of another VM that is being received.
struct AnswerReader {
    /// Id of the request.
    request: String,
    body: Incoming,
    connection: pool::LiveConnection,
    pool: pool::ConnectionPool,
}

impl AnswerReader {
    async fn read(mut self, streams: bool) -> Result<HandedAnswer, HandoverError> {
        let mut first = BytesMut::new();
        let head = loop {
            match handed::AnswerHead::take(&mut first) {
                Ok(Some(head)) => break head,
                Ok(None) => {}
                Err(_) => return Err(HandoverError::Lost),
            }
            let part = self.next().await.ok_or(HandoverError::Lost)?;
            first.extend_from_slice(&part?);
        };
        if head.is_foreign(&self.request) {
            log::info!(request:% = self.request, answered:% = head.request; "answer to another request");
            return Err(HandoverError::Lost);
        }
        let (status, headers) = match head.into_result().ok_or(HandoverError::Lost)? {
            Ok(head) => head,
            Err(refusal) => {
                self.keep();
                return Ok(Err(refusal));
            }
        };
        // A longer body is forwarded as it arrives: what other VMs send whole is shorter.
        let length = self.body.size_hint().exact();
        let is_complete = !streams && length.is_some_and(|length| length <= MAX_COMPLETE_BYTES);
        let body = if is_complete {
            while let Some(part) = self.next().await {
                first.extend_from_slice(&part?);
            }
            self.keep();
            reply::ReplyBody::Complete(first.freeze())
        } else {
            reply::ReplyBody::Parts(self.forward(first.freeze()))
        };
        Ok(Ok(reply::Reply {
            status,
            headers,
            body,
        }))
    }

    async fn next(&mut self) -> Option<Result<Bytes, HandoverError>> {
        loop {
            let frame = self.body.frame().await?;
            match frame.map(http_body::Frame::into_data) {
                Ok(Ok(bytes)) => return Some(Ok(bytes)),
                Ok(Err(_)) => {}
                Err(_) => return Some(Err(HandoverError::Lost)),
            }
        }
    }

    /// Returns the connection of a complete answer to the pool.
    fn keep(self) {
        self.pool.put(self.connection, None);
    }

    /// Forwards the parts of the body until it ends or its receiver is dropped.
    fn forward(mut self, first: Bytes) -> mpsc::Receiver<reply::StreamPart> {
        let (sender, receiver) = mpsc::channel(MAX_BUFFERED_PARTS);
        tokio::task::spawn_local(async move {
            let watched = sender.clone();
            let forwarding = async {
                let mut part = Some(Ok(first));
                while let Some(Ok(bytes)) = part {
                    if !bytes.is_empty() {
                        endless::send_part(&sender, bytes).await;
                    }
                    part = self.next().await;
                }
                // A body that breaks off ends without the end of a complete reply.
                if part.is_none() {
                    let _ = sender.send(reply::StreamPart::End).await;
                    self.keep();
                }
            };
            tokio::select! {
                biased;
                () = watched.closed() => {}
                () = forwarding => {}
            }
        });
        receiver
    }
}

/// Serves the requests that other VMs hand over, until `stop`.
pub async fn serve<P: port::ServerPort + 'static>(
    plane: rc::Rc<plane::ExchangePlane<P>>,
    listener: tokio::net::TcpListener,
    rule: impl Fn() -> listen::ListenRule,
    counts: listen::ListenerIntake,
    stop: listen::StopSwitch,
) {
    let answering = move |request| answer(plane.clone(), request);
    listen::serve(listener, rule, counts, stop, answering).await;
}

async fn answer<P: port::ServerPort + 'static>(
    plane: rc::Rc<plane::ExchangePlane<P>>,
    http_request: http::Request<intake::CallerBody>,
) -> http::Response<body::ReplyStream> {
    let is_stopping = plane.state().stage == message::VmStage::Stopping;
    let mut response = match read_request(&plane, http_request).await {
        Ok(request) => {
            let id = request.id.clone();
            handed_response(id, plane.serve(request).await)
        }
        Err(status) => {
            let mut response = http::Response::new(body::ReplyStream::complete(Bytes::new()));
            *response.status_mut() = status;
            response
        }
    };
    if is_stopping {
        let close = http::HeaderValue::from_static("close");
        let headers = response.headers_mut();
        headers.insert(http::header::CONNECTION, close);
    }
    response
}

/// Reads a handed request. The status of an error tells the other VM that it was not taken.
async fn read_request<P>(
    plane: &plane::ExchangePlane<P>,
    http_request: http::Request<intake::CallerBody>,
) -> Result<request::ExchangeRequest, http::StatusCode> {
    let catalog = plane.catalog();
    let catalog = catalog.ok_or(http::StatusCode::SERVICE_UNAVAILABLE)?;
    if http_request.uri().path() != HANDOVER_PATH {
        http_request.into_body().refuse();
        return Err(http::StatusCode::NOT_FOUND);
    }
    let limit = intake::IntakeLimit {
        bytes: catalog.limits.body_bytes + catalog.limits.header_bytes + EXTRA_BYTES,
        until: Instant::now() + REQUEST_TIMEOUT,
    };
    let body = http_request.into_body();
    let bytes = body.collect(limit, HANDED_GROUP).await.map_err(|error| {
        log::info!(cause:% = error; "handed request not read");
        match error {
            intake::IntakeError::Broken => http::StatusCode::BAD_REQUEST,
            intake::IntakeError::TooLarge { .. } => http::StatusCode::PAYLOAD_TOO_LARGE,
            _ => http::StatusCode::SERVICE_UNAVAILABLE,
        }
    })?;
    let message = handed::HandedRequest::decode(bytes);
    let message = message.map_err(|_| http::StatusCode::BAD_REQUEST)?;
    take_request(plane, message).ok_or(http::StatusCode::FORBIDDEN)
}

/// Takes a request that another VM of this system hands over; `None` if the sender is not one.
pub fn take_request<P>(
    plane: &plane::ExchangePlane<P>,
    message: handed::HandedRequest,
) -> Option<request::ExchangeRequest> {
    if !plane.state().system.is_own(message.system) {
        metrics::counter!("pollenchute_exchange_handovers_foreign_total").increment(1);
        return None;
    }
    let vm = message.vm.clone();
    let request = message.into_request(Instant::now())?;
    metrics::counter!("pollenchute_exchange_taken_over_total").increment(1);
    log::info!(
        request:% = request.id, from:% = vm, service:% = request.service,
        left_ms = request.left(Instant::now()).as_millis();
        "taken over from another VM"
    );
    Some(request)
}

fn handed_response(request: String, answer: HandedAnswer) -> http::Response<body::ReplyStream> {
    let (head, rest) = match answer {
        Ok(reply) => {
            let head = handed::AnswerHead::of_reply(&reply);
            (head, body::ReplyStream::of(reply.body))
        }
        Err(refusal) => {
            let head = handed::AnswerHead::of_refusal(&refusal);
            (head, body::ReplyStream::complete(Bytes::new()))
        }
    };
    let head = head.answering(request);
    http::Response::new(rest.after(head.encode_with_length()))
}

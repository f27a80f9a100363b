//! Messages by which a VM hands a request over to another one, as protobuf.

use std::{mem, time};

use base::outcome;
use bytes::{Buf as _, BufMut as _, Bytes, BytesMut};
use prost::{Message as _, encoding};
use snafu::Snafu;
use tokio::time::Instant;

use crate::{catalog, reply, request};

/// Size of the length before the head of an answer.
const LENGTH_BYTES: usize = 4;
/// Tag of the body in a handed request.
const BODY_TAG: u32 = 8;
/// Maximum size of the head of an answer.
const MAX_HEAD_BYTES: usize = 256 * 1_024;

/// Name and value of a header.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct HeaderItem {
    /// Name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Value.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
}

/// A part of a prompt.
#[derive(Clone, Copy, PartialEq)]
#[derive(prost::Message)]
pub struct PartItem {
    /// Content hash.
    #[prost(fixed64, tag = "1")]
    pub hash: u64,
    /// Number of tokens.
    #[prost(uint32, tag = "2")]
    pub tokens: u32,
}

/// Size of a generation.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct SizeItem {
    /// Tokens of the prompt.
    #[prost(uint32, tag = "1")]
    pub prompt_tokens: u32,
    /// Maximum number of output tokens.
    #[prost(uint32, tag = "2")]
    pub max_tokens: u32,
    /// The caller's estimate of the output tokens.
    #[prost(uint32, optional, tag = "3")]
    pub hint_tokens: Option<u32>,
    /// Parts of the prompt, in order.
    #[prost(message, repeated, tag = "4")]
    pub parts: Vec<PartItem>,
}

/// A request that another VM is to serve.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct HandedRequest {
    /// Number of the sender's system, which callers do not know.
    #[prost(fixed64, tag = "1")]
    pub system: u64,
    /// Name of the VM that hands the request over.
    #[prost(string, tag = "2")]
    pub vm: String,
    /// Id that the caller gave to this attempt.
    #[prost(string, tag = "3")]
    pub id: String,
    /// Method.
    #[prost(string, tag = "4")]
    pub method: String,
    /// Path and query.
    #[prost(string, tag = "5")]
    pub target: String,
    /// Host as the caller wrote it.
    #[prost(string, tag = "6")]
    pub host: String,
    /// Headers to forward.
    #[prost(message, repeated, tag = "7")]
    pub headers: Vec<HeaderItem>,
    /// Complete body.
    #[prost(bytes = "bytes", tag = "8")]
    pub body: Bytes,
    /// Name of the organisation.
    #[prost(string, optional, tag = "9")]
    pub organisation: Option<String>,
    /// Name of the route.
    #[prost(string, tag = "10")]
    pub route: String,
    /// Service that handles the request.
    #[prost(string, tag = "11")]
    pub service: String,
    /// Kind of the request: 1 idempotent, 2 once, 3 stream.
    #[prost(uint32, tag = "12")]
    pub kind: u32,
    /// Priority; 0 goes first.
    #[prost(uint32, tag = "13")]
    pub priority: u32,
    /// Maximum number of attempts: one, since the sender counts those of its request.
    #[prost(uint32, tag = "14")]
    pub attempts: u32,
    /// Time until the caller stops waiting, in milliseconds.
    #[prost(uint64, tag = "15")]
    pub deadline_ms: u64,
    /// Time until the final response is due, in milliseconds.
    #[prost(uint64, tag = "16")]
    pub limit_ms: u64,
    /// Target latency of the response, in milliseconds.
    #[prost(uint64, tag = "17")]
    pub target_latency_ms: u64,
    /// Size of a generation; absent for calls.
    #[prost(message, optional, tag = "18")]
    pub size: Option<SizeItem>,
    /// Fingerprint of path, caller and body.
    #[prost(fixed64, tag = "19")]
    pub fingerprint: u64,
    /// Maximum pause between two events of a stream, in microseconds; 0 if the route has no limit.
    #[prost(uint64, tag = "20")]
    pub max_pause_us: u64,
}

/// Head of the answer to a handed request: a reply, whose body follows, or a refusal.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct AnswerHead {
    /// Status of the reply; 0 for a refusal.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// Headers of the reply.
    #[prost(message, repeated, tag = "2")]
    pub headers: Vec<HeaderItem>,
    /// Name of the refusal's cause.
    #[prost(string, tag = "3")]
    pub cause: String,
    /// Whether the refused request ran: 1 no, 2 yes, 3 unknown.
    #[prost(uint32, tag = "4")]
    pub ran: u32,
    /// Delay before a retry, in milliseconds.
    #[prost(uint64, optional, tag = "5")]
    pub retry_after_ms: Option<u64>,
    /// Id of the request that is answered; empty from a VM of an earlier version.
    #[prost(string, tag = "6")]
    pub request: String,
}

/// The first bytes of an answer are no head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the answer of another VM does not begin with a head"))]
pub struct InvalidHead;

/// Number of a kind of request in messages.
const fn kind_number(kind: catalog::ExchangeKind) -> u32 {
    match kind {
        catalog::ExchangeKind::Idempotent => 1,
        catalog::ExchangeKind::Once => 2,
        catalog::ExchangeKind::Stream => 3,
    }
}

const fn kind_of(number: u32) -> Option<catalog::ExchangeKind> {
    match number {
        1 => Some(catalog::ExchangeKind::Idempotent),
        2 => Some(catalog::ExchangeKind::Once),
        3 => Some(catalog::ExchangeKind::Stream),
        _ => None,
    }
}

/// Number of an outcome in messages.
const fn ran_number(ran: outcome::RanState) -> u32 {
    match ran {
        outcome::RanState::No => 1,
        outcome::RanState::Yes => 2,
        outcome::RanState::Unknown => 3,
    }
}

/// The outcome with a number. Any other number proves nothing.
const fn ran_of(number: u32) -> outcome::RanState {
    match number {
        1 => outcome::RanState::No,
        2 => outcome::RanState::Yes,
        _ => outcome::RanState::Unknown,
    }
}

fn header_items(headers: &http::HeaderMap) -> Vec<HeaderItem> {
    let items = headers.iter().map(|(name, value)| HeaderItem {
        name: name.as_str().to_owned(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    });
    items.collect()
}

fn header_map(items: Vec<HeaderItem>) -> Option<http::HeaderMap> {
    let mut headers = http::HeaderMap::with_capacity(items.len());
    for item in items {
        let name = http::HeaderName::from_bytes(item.name.as_bytes()).ok()?;
        headers.append(name, http::HeaderValue::from_maybe_shared(item.value).ok()?);
    }
    Some(headers)
}

fn millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn micros(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

impl From<&request::GenerationSize> for SizeItem {
    fn from(size: &request::GenerationSize) -> Self {
        let parts = size.parts.iter().map(|part| PartItem {
            hash: part.hash,
            tokens: part.tokens,
        });
        Self {
            prompt_tokens: size.prompt_tokens,
            max_tokens: size.max_tokens,
            hint_tokens: size.hint_tokens,
            parts: parts.collect(),
        }
    }
}

impl From<SizeItem> for request::GenerationSize {
    fn from(size: SizeItem) -> Self {
        let parts = size.parts.iter().map(|part| request::PromptPart {
            hash: part.hash,
            tokens: part.tokens,
        });
        Self {
            prompt_tokens: size.prompt_tokens,
            max_tokens: size.max_tokens,
            hint_tokens: size.hint_tokens,
            parts: parts.collect(),
        }
    }
}

impl HandedRequest {
    /// Whether the answer is a stream.
    #[must_use]
    pub const fn is_stream(&self) -> bool {
        self.kind == kind_number(catalog::ExchangeKind::Stream)
    }

    /// The message that hands a request over for one attempt.
    #[must_use]
    pub fn of(request: &request::ExchangeRequest, system: u64, vm: &str, now: Instant) -> Self {
        Self {
            system,
            vm: vm.to_owned(),
            id: request.id.clone(),
            method: request.method.as_str().to_owned(),
            target: request.target.clone(),
            host: request.host.clone(),
            headers: header_items(&request.headers),
            body: request.body.clone(),
            organisation: request.organisation.clone(),
            route: request.route.clone(),
            service: request.service.clone(),
            kind: kind_number(request.kind),
            priority: request.priority.into(),
            attempts: 1,
            deadline_ms: millis(request.deadline.saturating_duration_since(now)),
            limit_ms: millis(request.left(now)),
            target_latency_ms: millis(request.target_latency),
            size: request.size.as_ref().map(SizeItem::from),
            fingerprint: request.fingerprint,
            max_pause_us: request.max_pause.map_or(0, micros),
        }
    }

    /// Encodes the message in two parts: the body is its last field, and stays in its buffer.
    #[must_use]
    pub fn encode_parts(mut self) -> (Bytes, Bytes) {
        let body = mem::take(&mut self.body);
        let mut head = self.encode_to_vec();
        if !body.is_empty() {
            encoding::encode_key(BODY_TAG, encoding::WireType::LengthDelimited, &mut head);
            encoding::encode_varint(body.len() as u64, &mut head);
        }
        (head.into(), body)
    }

    /// The request that was handed over; `None` if a field is not valid.
    #[must_use]
    pub fn into_request(self, now: Instant) -> Option<request::ExchangeRequest> {
        let deadline = now + time::Duration::from_millis(self.deadline_ms);
        Some(request::ExchangeRequest {
            id: self.id,
            method: self.method.parse().ok()?,
            target: self.target,
            host: self.host,
            headers: header_map(self.headers)?,
            body: self.body,
            organisation: self.organisation,
            route: self.route,
            service: self.service,
            kind: kind_of(self.kind)?,
            priority: u8::try_from(self.priority).ok()?,
            attempts: self.attempts,
            arrived: now,
            deadline,
            limit: deadline.min(now + time::Duration::from_millis(self.limit_ms)),
            target_latency: time::Duration::from_millis(self.target_latency_ms),
            max_pause: (self.max_pause_us > 0)
                .then(|| time::Duration::from_micros(self.max_pause_us)),
            size: self.size.map(request::GenerationSize::from),
            fingerprint: self.fingerprint,
            handed_over: true,
        })
    }
}

impl AnswerHead {
    /// The head of a reply.
    #[must_use]
    pub fn of_reply(reply: &reply::Reply) -> Self {
        Self {
            status: reply.status.as_u16().into(),
            headers: header_items(&reply.headers),
            ..Self::default()
        }
    }

    /// The head for a refusal.
    #[must_use]
    pub fn of_refusal(refusal: &reply::Refusal) -> Self {
        // A VM of an earlier version does not know `OverShare`, and would take the answer for one of
        // an attempt that may have run.
        let cause = match refusal.cause {
            reply::RefusalCause::OverShare => reply::RefusalCause::Overload,
            cause => cause,
        };
        Self {
            cause: cause.name().to_owned(),
            ran: ran_number(refusal.ran),
            retry_after_ms: refusal.retry_after.map(millis),
            ..Self::default()
        }
    }

    /// The same head with the id of the request that it answers.
    #[must_use]
    pub fn answering(self, request: String) -> Self {
        Self { request, ..self }
    }

    /// Whether it answers another request than that with this id.
    #[must_use]
    pub fn is_foreign(&self, request: &str) -> bool {
        !self.request.is_empty() && self.request != request
    }

    /// Encodes the head with its length.
    #[must_use]
    pub fn encode_with_length(&self) -> Bytes {
        let length = u32::try_from(self.encoded_len()).unwrap_or(u32::MAX);
        let mut bytes = BytesMut::with_capacity(LENGTH_BYTES + self.encoded_len());
        bytes.put_u32(length);
        bytes.extend_from_slice(&self.encode_to_vec());
        bytes.freeze()
    }

    /// Takes the head off the first bytes of an answer; `Ok(None)` until it is complete.
    ///
    /// # Errors
    ///
    /// When the bytes are no head.
    pub fn take(bytes: &mut BytesMut) -> Result<Option<Self>, InvalidHead> {
        let Some(length) = bytes.get(..LENGTH_BYTES) else {
            return Ok(None);
        };
        let length = (&length[..]).get_u32() as usize;
        if length > MAX_HEAD_BYTES {
            return Err(InvalidHead);
        }
        if bytes.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        bytes.advance(LENGTH_BYTES);
        let head = Self::decode(bytes.split_to(length));
        head.map(Some).map_err(|_| InvalidHead)
    }

    /// The refusal, or status and headers of the reply; `None` if a field is not valid.
    #[must_use]
    pub fn into_result(
        self,
    ) -> Option<Result<(http::StatusCode, http::HeaderMap), reply::Refusal>> {
        if self.status == 0 {
            return Some(Err(reply::Refusal {
                cause: reply::RefusalCause::from_name(&self.cause)?,
                ran: ran_of(self.ran),
                retry_after: self.retry_after_ms.map(time::Duration::from_millis),
            }));
        }
        let status = u16::try_from(self.status).ok()?;
        if !outcome::is_final_status(status) {
            return None;
        }
        let status = http::StatusCode::from_u16(status).ok()?;
        Some(Ok((status, header_map(self.headers)?)))
    }
}

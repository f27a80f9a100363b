//! Links to backend servers over HTTP.
//!
//! Starts may use a pooled connection. All else opens a fresh one: a resume or a cancel follows
//! upon a connection that went silent, and a pooled one may have gone silent with it; and a call
//! of a plain service is proved not to have run only by a connection that never opened.

use std::{error, io, time::Duration};

use base::id;
use bytes::{Bytes, BytesMut};
use reqwest::header;

use crate::{link_error, port, proof, sse};

/// A connection that does not open within this is given up.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// A pooled connection is used again only for this long: the older, the likelier it has gone
/// silent unnoticed.
const POOLED_FOR: Duration = Duration::from_secs(2);

/// Largest answer of a plain service.
const ANSWER_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Header that names the generation of a stream; an engine that sends it lets a crossed answer
/// be told apart.
const GENERATION_HEADER: &str = "x-generation-id";

/// Header that carries the caller's request.
const REQUEST_HEADER: &str = "x-request-id";

fn client(pooled: usize) -> reqwest::Result<reqwest::Client> {
    reqwest::Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        // A client that sends again by itself would run a call twice.
        .retry(reqwest::retry::never())
        .referer(false)
        .tcp_nodelay(true)
        .connect_timeout(CONNECT_LIMIT)
        .pool_idle_timeout(POOLED_FOR)
        .pool_max_idle_per_host(pooled)
        .build()
}

/// Whether the far end answered that nothing listens there: its process is gone.
///
/// A connection that merely does not open in time says nothing of the kind.
fn is_refused(failure: &reqwest::Error) -> bool {
    let mut cause: Option<&(dyn error::Error + 'static)> = error::Error::source(failure);
    while let Some(inner) = cause {
        let refused = inner
            .downcast_ref::<io::Error>()
            .is_some_and(|failure| failure.kind() == io::ErrorKind::ConnectionRefused);
        if refused {
            return true;
        }
        cause = inner.source();
    }
    false
}

/// Model engines over HTTP.
#[derive(Clone, Debug)]
pub struct HttpEngines {
    pooled: reqwest::Client,
    fresh: reqwest::Client,
}

/// Events of one generation over one HTTP connection.
#[derive(Debug)]
pub struct HttpEvents {
    response: reqwest::Response,
    reader: sse::EventReader,
    generation: id::GenerationId,
    server: String,
}

impl HttpEngines {
    /// A link with its own connections.
    ///
    /// # Errors
    ///
    /// When the HTTP library cannot be set up.
    pub fn new() -> reqwest::Result<Self> {
        Ok(Self {
            pooled: client(usize::MAX)?,
            fresh: client(0)?,
        })
    }
}

fn generation_url(target: &port::ServerTarget, generation: id::GenerationId) -> String {
    format!("http://{}/v1/generations/{generation}", target.address)
}

fn events_of(
    response: reqwest::Response,
    target: &port::ServerTarget,
    asked: id::GenerationId,
) -> HttpEvents {
    let named = response
        .headers()
        .get(GENERATION_HEADER)
        .and_then(|value| value.to_str().ok()?.parse().ok());
    HttpEvents {
        response,
        reader: sse::EventReader::default(),
        generation: named.unwrap_or(asked),
        server: target.name.clone(),
    }
}

impl port::EngineLink for HttpEngines {
    type Events = HttpEvents;

    async fn start(
        &self,
        target: &port::ServerTarget,
        order: &port::StartOrder,
        permit: proof::SendPermit,
    ) -> Result<HttpEvents, link_error::StartError> {
        let url = format!("http://{}/v1/generations", target.address);
        let server = || target.name.clone();
        match self.pooled.post(url).json(order).send().await {
            Ok(response) if response.status().is_success() => {
                Ok(events_of(response, target, order.id))
            }
            Ok(response) => Err(link_error::StartError::Declined {
                server: server(),
                status: response.status().as_u16(),
            }),
            Err(failure) if failure.is_connect() || failure.is_builder() => {
                Err(link_error::StartError::NeverSent {
                    evidence: permit.never_sent(),
                    server: server(),
                    cause: failure.to_string(),
                })
            }
            Err(failure) => Err(link_error::StartError::Lost {
                server: server(),
                cause: failure.to_string(),
            }),
        }
    }

    async fn resume(
        &self,
        target: &port::ServerTarget,
        generation: id::GenerationId,
        from: u32,
    ) -> Result<HttpEvents, link_error::ResumeError> {
        let url = format!("{}?from={from}", generation_url(target, generation));
        let server = target.name.clone();
        match self.fresh.get(url).send().await {
            Ok(response) if response.status().is_success() => {
                Ok(events_of(response, target, generation))
            }
            Ok(response) if response.status() == reqwest::StatusCode::NOT_FOUND => {
                Err(link_error::ResumeError::NotHeld { server })
            }
            Ok(response) => Err(link_error::ResumeError::Lost {
                server,
                cause: response.status().to_string(),
            }),
            Err(failure) if is_refused(&failure) => {
                Err(link_error::ResumeError::Refused { server })
            }
            Err(failure) => Err(link_error::ResumeError::Lost {
                server,
                cause: failure.to_string(),
            }),
        }
    }

    async fn cancel(
        &self,
        target: &port::ServerTarget,
        generation: id::GenerationId,
    ) -> Result<port::CancelAnswer, link_error::CancelError> {
        let server = target.name.clone();
        let lost = |cause: String| link_error::CancelError::Lost {
            server: target.name.clone(),
            cause,
        };
        let sent = self.fresh.delete(generation_url(target, generation)).send();
        match sent.await {
            Ok(response) if response.status().is_success() => {
                let known: Result<KnownBody, _> = response.json().await;
                let known = known.map_err(|failure| lost(failure.to_string()))?;
                Ok(port::CancelAnswer::Known {
                    ran: known.ran,
                    produced: known.produced,
                })
            }
            Ok(response) if response.status() == reqwest::StatusCode::NOT_FOUND => {
                Ok(port::CancelAnswer::Remembered)
            }
            Ok(response) => Err(lost(response.status().to_string())),
            Err(failure) if is_refused(&failure) => {
                Err(link_error::CancelError::Refused { server })
            }
            Err(failure) => Err(lost(failure.to_string())),
        }
    }
}

/// Body of an answer to a cancel of a generation that the engine holds.
#[derive(serde::Deserialize)]
struct KnownBody {
    ran: bool,
    #[serde(default)]
    produced: u32,
}

impl port::EngineEvents for HttpEvents {
    async fn next(&mut self) -> Result<port::TaggedEvent, link_error::StreamError> {
        let server = || self.server.clone();
        loop {
            match self.reader.take() {
                Ok(Some(event)) => {
                    return Ok(port::TaggedEvent {
                        generation: self.generation,
                        event,
                    });
                }
                Ok(None) => {}
                Err(fault) => {
                    return Err(link_error::StreamError::Nonsense {
                        server: server(),
                        cause: fault.to_string(),
                    });
                }
            }
            let cause = match self.response.chunk().await {
                Ok(Some(piece)) => {
                    self.reader.push(&piece);
                    continue;
                }
                Ok(None) => "it ended without a finish".to_owned(),
                Err(failure) => failure.to_string(),
            };
            return Err(link_error::StreamError::Cut {
                server: server(),
                cause,
            });
        }
    }
}

/// Plain services over HTTP.
#[derive(Clone, Debug)]
pub struct HttpServices {
    fresh: reqwest::Client,
}

impl HttpServices {
    /// A link with its own connections.
    ///
    /// # Errors
    ///
    /// When the HTTP library cannot be set up.
    pub fn new() -> reqwest::Result<Self> {
        Ok(Self { fresh: client(0)? })
    }

    fn request(
        &self,
        target: &port::ServerTarget,
        call: &port::ServiceCall,
        time_left: Duration,
    ) -> Result<reqwest::RequestBuilder, String> {
        let method = reqwest::Method::from_bytes(call.method.as_bytes())
            .map_err(|failure| failure.to_string())?;
        let path = call.path.trim_start_matches('/');
        let url = format!("http://{}/{path}", target.address);
        let mut request = self
            .fresh
            .request(method, url)
            .timeout(time_left)
            .header(REQUEST_HEADER, call.request.to_string())
            .header("x-time-limit-ms", time_left.as_millis().to_string())
            .body(call.body.clone());
        if let Some(key) = &call.key {
            request = request.header("idempotency-key", key);
        }
        if let Some(content_type) = &call.content_type {
            request = request.header(header::CONTENT_TYPE, content_type);
        }
        Ok(request)
    }
}

impl port::ServiceLink for HttpServices {
    async fn call(
        &self,
        target: &port::ServerTarget,
        call: &port::ServiceCall,
        time_left: Duration,
        permit: proof::SendPermit,
    ) -> Result<port::ServiceAnswer, link_error::CallError> {
        let server = target.name.clone();
        let request = match self.request(target, call, time_left) {
            Ok(request) => request,
            Err(cause) => {
                return Err(link_error::CallError::NeverSent {
                    evidence: permit.never_sent(),
                    server,
                    cause,
                });
            }
        };
        match request.send().await {
            Ok(response) => answer_of(response, call)
                .await
                .map_err(|cause| link_error::CallError::Lost { server, cause }),
            Err(failure) if failure.is_connect() || failure.is_builder() => {
                Err(link_error::CallError::NeverSent {
                    evidence: permit.never_sent(),
                    server,
                    cause: failure.to_string(),
                })
            }
            Err(failure) => Err(link_error::CallError::Lost {
                server,
                cause: failure.to_string(),
            }),
        }
    }
}

/// The whole answer, if it is this call's.
async fn answer_of(
    mut response: reqwest::Response,
    call: &port::ServiceCall,
) -> Result<port::ServiceAnswer, String> {
    let header = |name: &str| {
        let value = response.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let is_crossed = header(REQUEST_HEADER).is_some_and(|named| named != call.request.to_string());
    if is_crossed {
        return Err("the answer names another request".to_owned());
    }
    let status = response.status().as_u16();
    let content_type = header(header::CONTENT_TYPE.as_str());
    let mut body = BytesMut::new();
    loop {
        match response.chunk().await {
            Ok(Some(piece)) if body.len() + piece.len() <= ANSWER_LIMIT_BYTES => {
                body.extend_from_slice(&piece);
            }
            Ok(Some(_)) => return Err(format!("its answer is over {ANSWER_LIMIT_BYTES} bytes")),
            Ok(None) => break,
            Err(failure) => return Err(failure.to_string()),
        }
    }
    Ok(port::ServiceAnswer {
        status,
        content_type,
        body: Bytes::from(body),
    })
}

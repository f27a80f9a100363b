//! Links to backend servers over HTTP.
//!
//! Starts may use a pooled connection. All other calls open a fresh one. A resume or a cancel
//! follows a connection that went silent, and pooled ones may have gone silent with it. And only a
//! connection that never opened proves that a plain service call did not run.

use std::{error, io, time::Duration};

use base::{id, outcome};
use bytes::{Bytes, BytesMut};
use reqwest::header;

use crate::{link_error, port, proof, sse};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which an idle pooled connection may be reused: the longer it is idle, the likelier it
/// has gone silent unnoticed.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a plain service's answer.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Header that names the generation of a stream. If an engine sends it, an answer that belongs to
/// another call is recognised.
const GENERATION_HEADER: &str = "x-generation-id";

/// Header that carries the ID of the caller's request.
const REQUEST_HEADER: &str = "x-request-id";

fn client(pooled: usize) -> reqwest::Result<reqwest::Client> {
    reqwest::Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        // A client that retries by itself could run a call twice.
        .retry(reqwest::retry::never())
        .referer(false)
        .tcp_nodelay(true)
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_idle_timeout(POOL_IDLE_TIMEOUT)
        .pool_max_idle_per_host(pooled)
        .build()
}

/// Whether the connection was refused, which shows that the server's process is not running.
///
/// A connection that does not open in time does not show this.
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

/// Calls to model engines over HTTP.
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
    requested: id::GenerationId,
) -> HttpEvents {
    let named = response
        .headers()
        .get(GENERATION_HEADER)
        .and_then(|value| value.to_str().ok()?.parse().ok());
    HttpEvents {
        response,
        reader: sse::EventReader::default(),
        generation: named.unwrap_or(requested),
        server: target.name.clone(),
    }
}

impl port::EngineLink for HttpEngines {
    type Events = HttpEvents;

    async fn start(
        &self,
        target: &port::ServerTarget,
        start_request: &port::StartRequest,
        permit: proof::SendPermit,
    ) -> Result<HttpEvents, link_error::StartError> {
        let url = format!("http://{}/v1/generations", target.address);
        let server = || target.name.clone();
        match self.pooled.post(url).json(start_request).send().await {
            Ok(response) if response.status().is_success() => {
                Ok(events_of(response, target, start_request.id))
            }
            Ok(response) if !outcome::is_final_status(response.status().as_u16()) => {
                Err(link_error::StartError::Lost {
                    server: server(),
                    cause: not_final(response.status()),
                })
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
                let known: Result<CancelBody, _> = response.json().await;
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
struct CancelBody {
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
                Err(error) => {
                    return Err(link_error::StreamError::Nonsense {
                        server: server(),
                        cause: error.to_string(),
                    });
                }
            }
            let cause = match self.response.chunk().await {
                Ok(Some(piece)) => {
                    self.reader.push(&piece);
                    continue;
                }
                Ok(None) => "it ended without a finish event".to_owned(),
                Err(failure) => failure.to_string(),
            };
            return Err(link_error::StreamError::Cut {
                server: server(),
                cause,
            });
        }
    }
}

/// Calls to plain services over HTTP.
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

/// What an answer proves whose status is not that of a final one.
fn not_final(status: reqwest::StatusCode) -> String {
    format!("status {status} is not that of a final answer")
}

/// Reads the complete answer and checks that it belongs to this call.
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
        return Err("the answer belongs to another request".to_owned());
    }
    let status = response.status().as_u16();
    if !outcome::is_final_status(status) {
        return Err(not_final(response.status()));
    }
    let content_type = header(header::CONTENT_TYPE.as_str());
    let mut body = BytesMut::new();
    loop {
        match response.chunk().await {
            Ok(Some(piece)) if body.len() + piece.len() <= MAX_ANSWER_BYTES => {
                body.extend_from_slice(&piece);
            }
            Ok(Some(_)) => return Err(format!("the answer exceeds {MAX_ANSWER_BYTES} bytes")),
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

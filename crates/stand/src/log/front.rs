//! HTTP server of the log.

use std::net;

use base64::Engine as _;
use rocket::{State, data, get, post, routes};
use tokio::time;

use super::{LogError, handle};
use crate::http;

/// Serves the log on `address` (port 0: any free port).
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn serve(
    handle: handle::LogHandle,
    address: net::SocketAddr,
) -> Result<http::RunningServer, http::ServeError> {
    let routes = routes![append, read, faults];
    let (gate, signals) = (handle.gate().clone(), handle.signals().clone());
    http::serve_with_signals(address, gate, signals, handle, routes).await
}

#[derive(serde::Serialize)]
struct AppendAnswer {
    offset: u64,
}

#[derive(serde::Serialize)]
struct ReadAnswer {
    first: u64,
    next: u64,
    records: Vec<RecordAnswer>,
}

#[derive(serde::Serialize)]
struct RecordAnswer {
    offset: u64,
    at_ms: u64,
    body: String,
}

#[post("/v1/streams/<stream>/records", data = "<body>")]
async fn append(
    stream: &str,
    body: data::Data<'_>,
    handle: &State<handle::LogHandle>,
) -> http::JsonReply {
    let body = match http::read_bytes(body).await {
        Ok(body) => bytes::Bytes::from(body),
        Err(reply) => return reply,
    };
    match handle.append(stream, body).await {
        Ok(offset) => http::json(200, &AppendAnswer { offset }),
        Err(error) => error_reply(&error),
    }
}

#[get("/v1/streams/<stream>/records?<from>&<max>&<wait_ms>")]
async fn read(
    stream: &str,
    from: Option<u64>,
    max: Option<usize>,
    wait_ms: Option<u64>,
    handle: &State<handle::LogHandle>,
) -> http::JsonReply {
    const DEFAULT_PAGE_RECORDS: usize = 100;
    let wait = time::Duration::from_millis(wait_ms.unwrap_or(0));
    let max = max.unwrap_or(DEFAULT_PAGE_RECORDS);
    let page = match handle.read(stream, from.unwrap_or(0), max, wait).await {
        Ok(page) => page,
        Err(error) => return error_reply(&error),
    };
    let records = page.records.into_iter().map(|record| RecordAnswer {
        offset: record.offset,
        at_ms: record.at_ms,
        body: base64::engine::general_purpose::STANDARD.encode(&record.body),
    });
    let answer = ReadAnswer {
        first: page.first,
        next: page.next,
        records: records.collect(),
    };
    http::json(200, &answer)
}

#[post("/admin/faults", data = "<body>")]
async fn faults(body: data::Data<'_>, handle: &State<handle::LogHandle>) -> http::JsonReply {
    match http::read_json(body).await {
        Ok(fault) => {
            handle.apply(&fault);
            http::json(200, &fault)
        }
        Err(reply) => reply,
    }
}

fn error_reply(error: &LogError) -> http::JsonReply {
    let message = error.to_string();
    match error {
        LogError::OverCap { retry_after_ms } => {
            http::error_after(429, "over_cap", &message, *retry_after_ms)
        }
        LogError::TooLarge { .. } => http::error(413, "too_large", &message),
        LogError::Dropped { first } => http::json(410, &serde_json::json!({"first": first})),
        LogError::Outage => http::error(503, "outage", &message),
        LogError::AnswerLost => http::JsonReply::Lost(http::LostAnswer),
    }
}

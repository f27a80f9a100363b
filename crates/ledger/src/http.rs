//! The log over HTTP, as docs/INTERFACES.md describes its face.

use base64::Engine as _;
use base64::engine::general_purpose;
use tokio::time;

use crate::client;
use crate::client::LogClient;

/// How an [`HttpLog`] reaches the log.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct HttpSettings {
    /// Where the log listens, for instance `http://10.0.0.9:7000`.
    pub url: String,
    /// An append without an answer after this is given up as unknown, in milliseconds.
    pub append_timeout_ms: u64,
    /// Added to a read's own waiting time before the read is given up, in milliseconds.
    pub read_timeout_ms: u64,
}

impl HttpSettings {
    /// Settings for the log at `url` with the usual time limits.
    pub fn at(url: impl Into<String>) -> Self {
        Self {
            url: url.into(),
            append_timeout_ms: 2_000,
            read_timeout_ms: 2_000,
        }
    }
}

/// A client of the log over HTTP; clones share their connections.
#[derive(Clone, Debug)]
pub struct HttpLog {
    http: reqwest::Client,
    settings: HttpSettings,
}

#[derive(serde::Deserialize)]
struct AppendAnswer {
    offset: u64,
}

#[derive(serde::Deserialize)]
struct DroppedAnswer {
    first: u64,
}

#[derive(serde::Deserialize)]
struct PageAnswer {
    first: u64,
    next: u64,
    records: Vec<RecordAnswer>,
}

#[derive(serde::Deserialize)]
struct RecordAnswer {
    offset: u64,
    at_ms: u64,
    body: String,
}

impl HttpLog {
    /// A client with connections of its own.
    #[must_use]
    pub fn new(settings: HttpSettings) -> Self {
        Self::over(reqwest::Client::new(), settings)
    }

    /// A client over connections that exist.
    #[must_use]
    pub const fn over(http: reqwest::Client, settings: HttpSettings) -> Self {
        Self { http, settings }
    }

    fn records_url(&self, stream: &str) -> String {
        let base = self.settings.url.trim_end_matches('/');
        format!("{base}/v1/streams/{stream}/records")
    }
}

impl LogClient for HttpLog {
    async fn append(&self, stream: &str, body: bytes::Bytes) -> Result<u64, client::AppendError> {
        let limit = time::Duration::from_millis(self.settings.append_timeout_ms);
        let request = self.http.post(self.records_url(stream)).body(body);
        let response = request
            .timeout(limit)
            .send()
            .await
            .map_err(|error| append_fault(stream, &error))?;
        let status = response.status();
        if status.as_u16() == 429 {
            return client::OverCapSnafu { stream }.fail();
        }
        if status.is_client_error() {
            return client::RefusedSnafu {
                stream,
                status: status.as_u16(),
            }
            .fail();
        }
        if !status.is_success() {
            // A server error says nothing about whether the record was written before it.
            let cause = format!("status {status}");
            return client::UnknownSnafu { stream, cause }.fail();
        }
        let answer: AppendAnswer = response
            .json()
            .await
            .map_err(|error| append_fault(stream, &error))?;
        Ok(answer.offset)
    }

    async fn read(&self, query: &client::ReadQuery) -> Result<client::ReadPage, client::ReadError> {
        let limit_ms = query.wait_ms.saturating_add(self.settings.read_timeout_ms);
        let url = format!(
            "{}?from={}&max={}&wait_ms={}",
            self.records_url(&query.stream),
            query.from,
            query.max,
            query.wait_ms
        );
        let response = self
            .http
            .get(url)
            .timeout(time::Duration::from_millis(limit_ms))
            .send()
            .await
            .map_err(|error| read_fault(query, error.to_string()))?;
        let status = response.status();
        if status.as_u16() == 410 {
            let answer: DroppedAnswer = response
                .json()
                .await
                .map_err(|error| read_fault(query, error.to_string()))?;
            return client::DroppedSnafu {
                stream: &query.stream,
                first: answer.first,
            }
            .fail();
        }
        if !status.is_success() {
            return Err(read_fault(query, format!("status {status}")));
        }
        let answer: PageAnswer = response
            .json()
            .await
            .map_err(|error| read_fault(query, error.to_string()))?;
        page_of(query, answer)
    }
}

/// Only a connection that was never made proves that nothing was appended; every later fault may
/// hide an append that took effect.
fn append_fault(stream: &str, error: &reqwest::Error) -> client::AppendError {
    let cause = error.to_string();
    if error.is_connect() {
        client::DownSnafu { stream, cause }.build()
    } else {
        client::UnknownSnafu { stream, cause }.build()
    }
}

fn read_fault(query: &client::ReadQuery, cause: String) -> client::ReadError {
    client::FaultSnafu {
        stream: &query.stream,
        cause,
    }
    .build()
}

fn page_of(
    query: &client::ReadQuery,
    answer: PageAnswer,
) -> Result<client::ReadPage, client::ReadError> {
    let mut records = Vec::with_capacity(answer.records.len());
    for record in answer.records {
        let body = general_purpose::STANDARD
            .decode(&record.body)
            .map_err(|error| read_fault(query, format!("offset {}: {error}", record.offset)))?;
        records.push(client::LogRecord {
            offset: record.offset,
            at_ms: record.at_ms,
            body: body.into(),
        });
    }
    Ok(client::ReadPage {
        first: answer.first,
        next: answer.next,
        records,
    })
}

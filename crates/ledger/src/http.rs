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
    /// A read is given up when nothing comes for this long, in milliseconds; until the answer begins, its
    /// own waiting time is added.
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
        let silence = time::Duration::from_millis(self.settings.read_timeout_ms);
        let wait = time::Duration::from_millis(query.wait_ms);
        let url = format!(
            "{}?from={}&max={}&wait_ms={}",
            self.records_url(&query.stream),
            query.from,
            query.max,
            query.wait_ms
        );
        let sending = self.http.get(url).send();
        let sent = time::timeout(wait.saturating_add(silence), sending).await;
        let response = sent
            .map_err(|_| silent_fault(query, silence))?
            .map_err(|error| read_fault(query, error.to_string()))?;
        let status = response.status();
        if status.as_u16() == 410 {
            let answer: DroppedAnswer = read_json(query, response, silence).await?;
            return client::DroppedSnafu {
                stream: &query.stream,
                first: answer.first,
            }
            .fail();
        }
        if !status.is_success() {
            return Err(read_fault(query, format!("status {status}")));
        }
        let answer: PageAnswer = read_json(query, response, silence).await?;
        page_of(query, answer)
    }
}

/// Reads a body as long as it goes on coming: a page of large records takes its time over a slow link, and
/// would never be read within a limit on the whole.
async fn read_json<T: serde::de::DeserializeOwned>(
    query: &client::ReadQuery,
    mut response: reqwest::Response,
    silence: time::Duration,
) -> Result<T, client::ReadError> {
    let mut body = bytes::BytesMut::new();
    loop {
        let part = time::timeout(silence, response.chunk()).await;
        let part = part
            .map_err(|_| silent_fault(query, silence))?
            .map_err(|error| read_fault(query, error.to_string()))?;
        let Some(part) = part else { break };
        body.extend_from_slice(&part);
    }
    serde_json::from_slice(&body).map_err(|error| read_fault(query, error.to_string()))
}

fn silent_fault(query: &client::ReadQuery, silence: time::Duration) -> client::ReadError {
    read_fault(query, format!("nothing for {} ms", silence.as_millis()))
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

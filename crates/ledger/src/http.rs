//! HTTP client of the log, as specified in docs/INTERFACES.md.

use base64::Engine as _;
use base64::engine::general_purpose;
use tokio::time;

use crate::client;
use crate::client::LogClient;

/// Settings of an [`HttpLog`].
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct HttpSettings {
    /// Base URL of the log, for instance `http://10.0.0.9:7000`.
    pub url: String,
    /// Timeout of an append, after which its outcome is unknown, in milliseconds.
    pub append_timeout_ms: u64,
    /// Time without received data after which a read fails, in milliseconds. Until the answer
    /// begins, the waiting time that the read requests is added.
    pub read_timeout_ms: u64,
}

impl HttpSettings {
    /// Returns settings for the log at `url` with the default timeouts.
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

/// Header with the era of the log, in all its answers.
const ERA_HEADER: &str = "log-era";

impl HttpLog {
    /// Creates a client with its own connection pool.
    #[must_use]
    pub fn new(settings: HttpSettings) -> Self {
        Self::with_client(reqwest::Client::new(), settings)
    }

    /// Creates a client that uses the connection pool of `http`.
    #[must_use]
    pub const fn with_client(http: reqwest::Client, settings: HttpSettings) -> Self {
        Self { http, settings }
    }

    fn records_url(&self, stream: &str) -> String {
        let base = self.settings.url.trim_end_matches('/');
        format!("{base}/v1/streams/{stream}/records")
    }
}

impl LogClient for HttpLog {
    async fn append(&self, stream: &str, body: bytes::Bytes) -> Result<u64, client::AppendError> {
        let timeout = time::Duration::from_millis(self.settings.append_timeout_ms);
        let request = self.http.post(self.records_url(stream)).body(body);
        let response = request
            .timeout(timeout)
            .send()
            .await
            .map_err(|error| append_error(stream, &error))?;
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
            // After a server error the record may or may not have been written.
            let cause = format!("status {status}");
            return client::UnknownSnafu { stream, cause }.fail();
        }
        let answer: AppendAnswer = response
            .json()
            .await
            .map_err(|error| append_error(stream, &error))?;
        Ok(answer.offset)
    }

    async fn read(&self, query: &client::ReadQuery) -> Result<client::ReadPage, client::ReadError> {
        let idle_timeout = time::Duration::from_millis(self.settings.read_timeout_ms);
        let wait = time::Duration::from_millis(query.wait_ms);
        let url = format!(
            "{}?from={}&max={}&wait_ms={}",
            self.records_url(&query.stream),
            query.from,
            query.max,
            query.wait_ms
        );
        let sending = self.http.get(url).send();
        let sent = time::timeout(wait.saturating_add(idle_timeout), sending).await;
        let response = sent
            .map_err(|_| idle_timeout_error(query, idle_timeout))?
            .map_err(|error| read_error(query, error.to_string()))?;
        let status = response.status();
        let era = era_of(&response);
        if status.as_u16() == 410 {
            let answer: DroppedAnswer = read_json(query, response, idle_timeout).await?;
            return client::DroppedSnafu {
                stream: &query.stream,
                era,
                first: answer.first,
            }
            .fail();
        }
        if !status.is_success() {
            return Err(read_error(query, format!("status {status}")));
        }
        let answer: PageAnswer = read_json(query, response, idle_timeout).await?;
        page_of(query, era, answer)
    }
}

/// Reads a body as long as data keeps arriving. A page of large records over a slow link would
/// never be read within a timeout on the total time.
async fn read_json<T: serde::de::DeserializeOwned>(
    query: &client::ReadQuery,
    mut response: reqwest::Response,
    idle_timeout: time::Duration,
) -> Result<T, client::ReadError> {
    let mut body = bytes::BytesMut::new();
    loop {
        let part = time::timeout(idle_timeout, response.chunk()).await;
        let part = part
            .map_err(|_| idle_timeout_error(query, idle_timeout))?
            .map_err(|error| read_error(query, error.to_string()))?;
        let Some(part) = part else { break };
        body.extend_from_slice(&part);
    }
    serde_json::from_slice(&body).map_err(|error| read_error(query, error.to_string()))
}

fn idle_timeout_error(
    query: &client::ReadQuery,
    idle_timeout: time::Duration,
) -> client::ReadError {
    read_error(
        query,
        format!("no data for {} ms", idle_timeout.as_millis()),
    )
}

/// Converts an error of an append. Only a failure to connect proves that nothing was appended;
/// after any later error the append may have taken effect.
fn append_error(stream: &str, error: &reqwest::Error) -> client::AppendError {
    let cause = error.to_string();
    if error.is_connect() {
        client::DownSnafu { stream, cause }.build()
    } else {
        client::UnknownSnafu { stream, cause }.build()
    }
}

fn read_error(query: &client::ReadQuery, cause: String) -> client::ReadError {
    client::FailedSnafu {
        stream: &query.stream,
        cause,
    }
    .build()
}

/// The era that an answer names; 0 if it names none.
fn era_of(response: &reqwest::Response) -> u64 {
    let era = response.headers().get(ERA_HEADER);
    let era = era.and_then(|era| era.to_str().ok()?.parse().ok());
    era.unwrap_or_default()
}

fn page_of(
    query: &client::ReadQuery,
    era: u64,
    answer: PageAnswer,
) -> Result<client::ReadPage, client::ReadError> {
    let mut records = Vec::with_capacity(answer.records.len());
    for record in answer.records {
        let body = general_purpose::STANDARD
            .decode(&record.body)
            .map_err(|error| read_error(query, format!("offset {}: {error}", record.offset)))?;
        records.push(client::LogRecord {
            offset: record.offset,
            at_ms: record.at_ms,
            body: body.into(),
        });
    }
    Ok(client::ReadPage {
        era,
        first: answer.first,
        next: answer.next,
        records,
    })
}

//! Calls to the operators' API, on the first entry VM that answers.

use std::{fmt, net};

use base::{outcome, refusal};
use snafu::ResultExt as _;

use crate::{error, settings};

/// A client of the operators' API.
#[derive(Clone, Debug)]
pub struct OpsClient {
    http: reqwest::Client,
    entries: Vec<net::SocketAddr>,
    key: String,
}

/// The unparsed answer of one entry VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawAnswer {
    /// The entry VM.
    pub entry: String,
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

/// Reason why one entry VM gave no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallError {
    /// The cause.
    pub reason: String,
    /// Whether it is certain that the call had no effect.
    pub is_not_run: bool,
}

impl fmt::Display for CallError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.reason)
    }
}

impl RawAnswer {
    const fn is_success(&self) -> bool {
        self.status >= 200 && self.status < 300
    }

    /// Returns whether another entry VM may succeed: this one is broken, leaving or not ready.
    const fn is_retryable_elsewhere(&self) -> bool {
        self.status >= 500
    }

    /// Parses the body as `T`.
    ///
    /// # Errors
    /// When the body is not a JSON value of type `T`.
    pub fn parse<T: serde::de::DeserializeOwned>(&self) -> Result<T, error::CtlError> {
        let what = || format!("the answer of {}", self.entry);
        serde_json::from_slice(&self.body).with_context(|_| error::JsonSnafu { what: what() })
    }

    /// Returns the message of a refusal, or the beginning of a body in another format.
    #[must_use]
    pub fn message(&self) -> String {
        let envelope: Result<refusal::RefusalEnvelope, _> = serde_json::from_slice(&self.body);
        envelope.map_or_else(
            |_| {
                String::from_utf8_lossy(&self.body)
                    .chars()
                    .take(200)
                    .collect()
            },
            |envelope| envelope.error.message,
        )
    }

    /// Returns whether the VM guarantees that the call had no effect.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        let envelope: Result<refusal::RefusalEnvelope, _> = serde_json::from_slice(&self.body);
        envelope.is_ok_and(|envelope| envelope.error.ran == outcome::RanState::No)
    }

    fn into_refusal(self) -> error::CtlError {
        error::CtlError::Refused {
            message: self.message(),
            entry: self.entry,
            status: self.status,
        }
    }
}

impl OpsClient {
    /// Creates a client with these settings.
    ///
    /// # Errors
    /// When the HTTP client cannot be created.
    pub fn new(settings: settings::CallSettings) -> Result<Self, error::CtlError> {
        // A proxy from the operator's environment would see the operator key.
        let http = reqwest::Client::builder()
            .no_proxy()
            .connect_timeout(settings.timeout.min(std::time::Duration::from_secs(2)))
            .timeout(settings.timeout)
            .build()
            .map_err(|error| error::CtlError::Usage {
                message: format!("cannot start the HTTP client: {error}"),
            })?;
        Ok(Self {
            http,
            entries: settings.entries,
            key: settings.key,
        })
    }

    /// Returns the entry VMs in the order in which they are tried.
    #[must_use]
    pub fn entries(&self) -> &[net::SocketAddr] {
        &self.entries
    }

    /// Sends a GET request to the first entry VM that answers.
    ///
    /// # Errors
    /// When none answers, or one refuses.
    pub async fn get<T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<T, error::CtlError> {
        self.first_answer(path, None).await?.parse()
    }

    /// Posts a body to the first entry VM that answers. Only for idempotent calls: an answer may be
    /// lost after the call took effect, and the same call is then sent to the next VM.
    ///
    /// # Errors
    /// When none answers, or one refuses.
    pub async fn post<A: serde::Serialize, T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        request: &A,
    ) -> Result<T, error::CtlError> {
        let body = to_json(request)?;
        self.first_answer(path, Some(&body)).await?.parse()
    }

    /// Posts a body to this entry VM only.
    ///
    /// # Errors
    /// When it does not answer, or refuses.
    pub async fn post_to<A: serde::Serialize, T: serde::de::DeserializeOwned>(
        &self,
        entry: &str,
        path: &str,
        request: &A,
    ) -> Result<T, error::CtlError> {
        let body = to_json(request)?;
        match self.call(entry, path, Some(&body)).await {
            Ok(answer) if answer.is_success() => answer.parse(),
            Ok(answer) => Err(answer.into_refusal()),
            Err(error) => {
                let attempts = vec![format!("{entry}: {error}")];
                error::UnreachableSnafu { attempts }.fail()
            }
        }
    }

    /// Calls one entry VM, with a body or without one.
    ///
    /// # Errors
    /// When no complete answer was received.
    pub async fn call(
        &self,
        entry: &str,
        path: &str,
        body: Option<&str>,
    ) -> Result<RawAnswer, CallError> {
        let url = format!("http://{entry}{path}");
        let request = match body {
            Some(body) => self
                .http
                .post(url)
                .header("content-type", "application/json")
                .body(body.to_owned()),
            None => self.http.get(url),
        };
        let response = request.bearer_auth(&self.key).send().await;
        let response = response.map_err(|error| call_error(&error))?;
        let status = response.status().as_u16();
        let body = response.bytes().await.map_err(|error| call_error(&error))?;
        Ok(RawAnswer {
            entry: entry.to_owned(),
            status,
            body: body.to_vec(),
        })
    }

    async fn first_answer(
        &self,
        path: &str,
        body: Option<&str>,
    ) -> Result<RawAnswer, error::CtlError> {
        let mut attempts = Vec::new();
        for entry in &self.entries {
            match self.call(&entry.to_string(), path, body).await {
                Ok(answer) if answer.is_success() => return Ok(answer),
                Ok(answer) if !answer.is_retryable_elsewhere() => return Err(answer.into_refusal()),
                Ok(answer) => {
                    attempts.push(format!("{entry}: {} {}", answer.status, answer.message()));
                }
                Err(error) => attempts.push(format!("{entry}: {error}")),
            }
        }
        error::UnreachableSnafu { attempts }.fail()
    }
}

/// Serialises `value` as JSON.
///
/// # Errors
/// When it cannot be represented as JSON.
pub fn to_json<T: serde::Serialize>(value: &T) -> Result<String, error::CtlError> {
    serde_json::to_string(value).context(error::JsonSnafu { what: "a request" })
}

fn call_error(error: &reqwest::Error) -> CallError {
    let reason = if error.is_timeout() {
        "no answer in time".to_owned()
    } else {
        root_cause(error).to_string()
    };
    CallError {
        reason,
        is_not_run: error.is_connect(),
    }
}

/// Returns the innermost source of an error: `connection refused`, not `error sending request`.
fn root_cause<'a>(
    error: &'a (dyn std::error::Error + 'static),
) -> &'a (dyn std::error::Error + 'static) {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause
}

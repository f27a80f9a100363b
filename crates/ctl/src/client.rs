//! Calls to the operators' face, at whichever entry VM answers.

use std::{fmt, net};

use base::{outcome, refusal};
use snafu::ResultExt as _;

use crate::{error, settings};

/// A client of the operators' face.
#[derive(Clone, Debug)]
pub struct OpsClient {
    http: reqwest::Client,
    entries: Vec<net::SocketAddr>,
    key: String,
}

/// What one entry VM answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawAnswer {
    /// The entry VM.
    pub entry: String,
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

/// Why one entry VM gave no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallFault {
    /// What happened.
    pub reason: String,
    /// Whether it is certain that the call had no effect.
    pub is_unsent: bool,
}

impl fmt::Display for CallFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.reason)
    }
}

impl RawAnswer {
    const fn is_success(&self) -> bool {
        self.status >= 200 && self.status < 300
    }

    /// Whether another entry VM may do better: this one is broken, leaving or not ready.
    const fn is_other_worth_trying(&self) -> bool {
        self.status >= 500
    }

    /// The body as `T`.
    ///
    /// # Errors
    /// When it is something else.
    pub fn parse<T: serde::de::DeserializeOwned>(&self) -> Result<T, error::CtlError> {
        let what = || format!("the answer of {}", self.entry);
        serde_json::from_slice(&self.body).with_context(|_| error::JsonSnafu { what: what() })
    }

    /// What a refusal says.
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

    /// Whether the VM promises that the call had no effect.
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
    /// A client with these settings.
    ///
    /// # Errors
    /// When the HTTP library cannot start.
    pub fn new(settings: settings::CallSettings) -> Result<Self, error::CtlError> {
        // A proxy named in the operator's environment would see the operator key.
        let http = reqwest::Client::builder()
            .no_proxy()
            .connect_timeout(settings.timeout.min(std::time::Duration::from_secs(2)))
            .timeout(settings.timeout)
            .build()
            .map_err(|fault| error::CtlError::Usage {
                message: format!("cannot start the HTTP client: {fault}"),
            })?;
        Ok(Self {
            http,
            entries: settings.entries,
            key: settings.key,
        })
    }

    /// The entry VMs that are tried, in order.
    #[must_use]
    pub fn entries(&self) -> &[net::SocketAddr] {
        &self.entries
    }

    /// Asks the first entry VM that answers.
    ///
    /// # Errors
    /// When none answers, or one refuses.
    pub async fn get<T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<T, error::CtlError> {
        self.first_answer(path, None).await?.parse()
    }

    /// Sends a body to the first entry VM that answers. Only for calls that do no harm twice: an
    /// answer may be lost after the call took effect, and the next VM is then sent the same.
    ///
    /// # Errors
    /// When none answers, or one refuses.
    pub async fn post<A: serde::Serialize, T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        ask: &A,
    ) -> Result<T, error::CtlError> {
        let body = to_json(ask)?;
        self.first_answer(path, Some(&body)).await?.parse()
    }

    /// Sends a body to this entry VM and no other.
    ///
    /// # Errors
    /// When it does not answer, or refuses.
    pub async fn post_to<A: serde::Serialize, T: serde::de::DeserializeOwned>(
        &self,
        entry: &str,
        path: &str,
        ask: &A,
    ) -> Result<T, error::CtlError> {
        let body = to_json(ask)?;
        match self.call(entry, path, Some(&body)).await {
            Ok(answer) if answer.is_success() => answer.parse(),
            Ok(answer) => Err(answer.into_refusal()),
            Err(fault) => {
                let attempts = vec![format!("{entry}: {fault}")];
                error::UnreachableSnafu { attempts }.fail()
            }
        }
    }

    /// Calls one entry VM, with a body or without one.
    ///
    /// # Errors
    /// When no whole answer came.
    pub async fn call(
        &self,
        entry: &str,
        path: &str,
        body: Option<&str>,
    ) -> Result<RawAnswer, CallFault> {
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
        let response = response.map_err(|fault| call_fault(&fault))?;
        let status = response.status().as_u16();
        let body = response.bytes().await.map_err(|fault| call_fault(&fault))?;
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
                Ok(answer) if !answer.is_other_worth_trying() => return Err(answer.into_refusal()),
                Ok(answer) => {
                    attempts.push(format!("{entry}: {} {}", answer.status, answer.message()));
                }
                Err(fault) => attempts.push(format!("{entry}: {fault}")),
            }
        }
        error::UnreachableSnafu { attempts }.fail()
    }
}

/// `value` as JSON.
///
/// # Errors
/// When it cannot be written so.
pub fn to_json<T: serde::Serialize>(value: &T) -> Result<String, error::CtlError> {
    serde_json::to_string(value).context(error::JsonSnafu { what: "a request" })
}

fn call_fault(fault: &reqwest::Error) -> CallFault {
    let reason = if fault.is_timeout() {
        "no answer in time".to_owned()
    } else {
        innermost(fault).to_string()
    };
    CallFault {
        reason,
        is_unsent: fault.is_connect(),
    }
}

/// The cause at the bottom: `connection refused` and not `error sending request`.
fn innermost<'a>(
    fault: &'a (dyn std::error::Error + 'static),
) -> &'a (dyn std::error::Error + 'static) {
    let mut cause = fault;
    while let Some(deeper) = cause.source() {
        cause = deeper;
    }
    cause
}

//! A caller of one organisation: finds entry VMs, sends requests, and retries where that is safe.

use std::{net, sync, time::Duration};

use base::{outcome, refusal};
use snafu::ResultExt as _;
use tokio::time;

use crate::{body, check, directory, record};

/// Maximum number of attempts of one call, the first included, before the caller gives up on an
/// overloaded system.
const MAX_ATTEMPTS: usize = 8;

/// Timeout of establishing a connection. A connection that times out has carried no request.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Expectations and timeouts of callers.
#[derive(Clone, Copy, Debug)]
pub struct CallSettings {
    /// Expected time between two tokens; time beyond it is stall time.
    pub expected_step: Duration,
    /// Idle time after which a stream is continued at another entry VM.
    pub idle_timeout: Duration,
    /// Timeout of a response head, of a complete response body, and of the outcome of accepted
    /// work.
    pub answer_timeout: Duration,
}

/// The HTTP client cannot be set up.
#[derive(Debug)]
#[derive(snafu::Snafu)]
#[snafu(display("HTTP client: {source}; check the limit of open files"))]
pub struct ClientError {
    source: reqwest::Error,
}

/// A caller of one organisation.
#[derive(Debug)]
pub struct EntryCaller {
    client: reqwest::Client,
    api_key: String,
    /// Never locked across an await.
    directory: sync::Mutex<directory::EntryDirectory>,
    /// Expectations and timeouts.
    pub(crate) settings: CallSettings,
}

/// Response head, with the address of the entry VM that sent it.
#[derive(Debug)]
pub(crate) struct EntryAnswer {
    pub address: net::SocketAddr,
    pub response: reqwest::Response,
}

impl EntryCaller {
    /// Creates a caller that uses `api_key` and first queries one of `bootstrap`.
    pub fn new(
        api_key: String,
        bootstrap: Vec<net::SocketAddr>,
        settings: CallSettings,
    ) -> Result<Self, ClientError> {
        let client = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .build()
            .context(ClientSnafu)?;
        Ok(Self {
            client,
            api_key,
            directory: sync::Mutex::new(directory::EntryDirectory::new(bootstrap)),
            settings,
        })
    }

    /// Builds a request to one entry VM with this caller's key.
    pub(crate) fn request(
        &self,
        method: reqwest::Method,
        address: net::SocketAddr,
        path: &str,
    ) -> reqwest::RequestBuilder {
        let url = format!("http://{address}{path}");
        self.client.request(method, url).bearer_auth(&self.api_key)
    }

    /// Records that the entry VM at `address` failed a call.
    pub(crate) fn suspect(&self, address: net::SocketAddr) {
        self.with_directory(|directory| directory.suspect(address, time::Instant::now()));
    }

    /// Sends the request that `build` returns until an entry VM accepts it or finally refuses it.
    ///
    /// A call is retried only where that is safe: its connection was not accepted, the refusal
    /// says that the call did not run and gives a retry delay, or the response was lost before its
    /// first byte and repeating the call is harmless (a generation of which nothing arrived, an
    /// idempotent call, or a call whose idempotency key lets the system detect the repetition).
    pub(crate) async fn send<B>(
        &self,
        record: &mut record::CallRecord,
        build: B,
    ) -> Result<EntryAnswer, record::CallOutcome>
    where
        B: Fn(net::SocketAddr) -> reqwest::RequestBuilder,
    {
        let mut lost = String::new();
        for _ in 0..MAX_ATTEMPTS {
            let Some(address) = self.entry_address().await else {
                break;
            };
            let sending = build(address).send();
            let response = match time::timeout(self.settings.answer_timeout, sending).await {
                Ok(Ok(response)) => response,
                Ok(Err(error)) => {
                    record.resends += u32::from(!error.is_connect());
                    self.suspect(address);
                    lost = format!("{address}: {error:?}");
                    continue;
                }
                Err(_) => {
                    self.suspect(address);
                    lost = format!(
                        "{address}: no response head within {:?}",
                        self.settings.answer_timeout
                    );
                    break;
                }
            };
            if response.status().is_success() {
                return Ok(EntryAnswer { address, response });
            }
            let refusal = read_refusal(response).await?;
            record.refused_tries.push(refusal.code);
            if refusal.code == refusal::RefusalCode::NotReady {
                // `NotReady` concerns this entry VM only: the next one may accept the call at once.
                self.suspect(address);
            }
            let Some(delay) = retry_delay(&refusal) else {
                return Err(record::CallOutcome::Refused(refusal));
            };
            if record.refused_tries.len() >= MAX_ATTEMPTS {
                return Err(record::CallOutcome::Refused(refusal));
            }
            time::sleep(delay).await;
        }
        let seen = format!("no entry VM answered; last error: {lost}");
        Err(record::CallOutcome::Faulty(check::AnswerError::Cut {
            seen,
        }))
    }

    /// Sends like [`Self::send`] and reads the complete body; repeats the request if reading the
    /// body fails.
    pub(crate) async fn exchange<B>(
        &self,
        record: &mut record::CallRecord,
        build: B,
    ) -> Result<ExchangedAnswer, record::CallOutcome>
    where
        B: Fn(net::SocketAddr) -> reqwest::RequestBuilder,
    {
        let mut lost = String::new();
        for _ in 0..MAX_ATTEMPTS {
            let EntryAnswer { address, response } = self.send(record, &build).await?;
            let status = response.status();
            let headers = response.headers().clone();
            match time::timeout(self.settings.answer_timeout, response.text()).await {
                Ok(Ok(text)) => {
                    return Ok(ExchangedAnswer {
                        status,
                        headers,
                        text,
                    });
                }
                Ok(Err(error)) => lost = error.to_string(),
                Err(_) => lost = "the body timed out".into(),
            }
            record.resends += 1;
            self.suspect(address);
        }
        let seen = format!("no complete body arrived; last error: {lost}");
        Err(record::CallOutcome::Faulty(check::AnswerError::Cut {
            seen,
        }))
    }

    /// Returns the best-ranked entry VM; fetches the entry list first if it is stale.
    async fn entry_address(&self) -> Option<net::SocketAddr> {
        let now = time::Instant::now();
        if self.with_directory(|directory| directory.is_stale(now)) {
            self.refresh_entries().await;
        }
        let now = time::Instant::now();
        self.with_directory(|directory| directory.ranking(now).first().copied())
    }

    async fn refresh_entries(&self) {
        for address in self.with_directory(|directory| directory.ranking(time::Instant::now())) {
            let Some(answer) = self.fetch_entries(address).await else {
                self.suspect(address);
                continue;
            };
            let listed = answer.entries.iter().map(|entry| entry.address).collect();
            let keep = Duration::from_millis(answer.keep_ms);
            self.with_directory(|directory| {
                directory.store_entries(listed, keep, time::Instant::now())
            });
            return;
        }
        self.with_directory(|directory| directory.keep_stale(time::Instant::now()));
    }

    async fn fetch_entries(&self, address: net::SocketAddr) -> Option<body::EntriesAnswer> {
        let request = self.request(reqwest::Method::GET, address, "/v1/entries");
        let response = request.timeout(CONNECT_TIMEOUT).send().await.ok()?;
        response.error_for_status().ok()?.json().await.ok()
    }

    fn with_directory<T>(&self, work: impl FnOnce(&mut directory::EntryDirectory) -> T) -> T {
        let mut directory = self
            .directory
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        work(&mut directory)
    }
}

/// A response with its complete body.
#[derive(Debug)]
pub(crate) struct ExchangedAnswer {
    pub status: reqwest::StatusCode,
    pub headers: reqwest::header::HeaderMap,
    pub text: String,
}

async fn read_refusal(
    response: reqwest::Response,
) -> Result<refusal::RefusalBody, record::CallOutcome> {
    let status = response.status();
    let text = response.text().await.unwrap_or_default();
    match serde_json::from_str::<refusal::RefusalEnvelope>(&text) {
        Ok(envelope) => Ok(envelope.error),
        Err(_) => {
            let seen = format!("status {status} whose body is not a refusal: {text:.200}");
            Err(record::CallOutcome::Faulty(check::AnswerError::Cut {
                seen,
            }))
        }
    }
}

/// Returns the delay after which to retry the refused call; `None` if a retry is unsafe or useless.
fn retry_delay(refusal: &refusal::RefusalBody) -> Option<Duration> {
    let is_safe =
        refusal.ran == outcome::RanState::No || refusal.code == refusal::RefusalCode::InProgress;
    let delay_ms = refusal.retry_after_ms.filter(|_| is_safe)?;
    Some(Duration::from_millis(delay_ms))
}

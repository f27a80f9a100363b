//! A caller of one organisation: finds entry VMs, sends, and tries again where that is safe.

use std::{net, sync, time::Duration};

use base::{outcome, refusal};
use snafu::ResultExt as _;
use tokio::time;

use crate::{body, book, check, record};

/// Tries of one call, the first included; a system that is full is given up after these.
const MAX_TRIES: usize = 8;

/// A connection that is not accepted within this is given up; it carried nothing.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// What callers expect of the system, and when they act themselves.
#[derive(Clone, Copy, Debug)]
pub struct CallSettings {
    /// Time between two tokens; what goes beyond it is stall time.
    pub expected_step: Duration,
    /// A stream that shows nothing for this long is continued at another entry VM.
    pub idle: Duration,
    /// An answer in one piece, or the head of a stream, is waited for this long.
    pub patience: Duration,
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
    book: sync::Mutex<book::EntryBook>,
    /// What it expects.
    pub(crate) settings: CallSettings,
}

/// An answer's head, and who sent it.
#[derive(Debug)]
pub(crate) struct EntryAnswer {
    pub address: net::SocketAddr,
    pub response: reqwest::Response,
}

impl EntryCaller {
    /// A caller that holds `api_key` and first asks one of `bootstrap`.
    pub fn new(
        api_key: String,
        bootstrap: Vec<net::SocketAddr>,
        settings: CallSettings,
    ) -> Result<Self, ClientError> {
        let client = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIME)
            .tcp_nodelay(true)
            .build()
            .context(ClientSnafu)?;
        Ok(Self {
            client,
            api_key,
            book: sync::Mutex::new(book::EntryBook::new(bootstrap)),
            settings,
        })
    }

    /// A request to one entry VM with this caller's key.
    pub(crate) fn request(
        &self,
        method: reqwest::Method,
        address: net::SocketAddr,
        path: &str,
    ) -> reqwest::RequestBuilder {
        let url = format!("http://{address}{path}");
        self.client.request(method, url).bearer_auth(&self.api_key)
    }

    /// Notes that the entry VM at `address` failed a call.
    pub(crate) fn suspect(&self, address: net::SocketAddr) {
        self.with_book(|book| book.suspect(address, time::Instant::now()));
    }

    /// Sends what `build` makes until an entry VM takes it or says a refusal that is final.
    ///
    /// A call is sent again only where that is safe: its connection was not accepted, the refusal
    /// says that it did not run and when to come back, or its answer was lost before the first
    /// byte and repeating is harmless (a generation of which nothing arrived, an idempotent call,
    /// or one whose idempotency key lets the system recognise it).
    pub(crate) async fn send<B>(
        &self,
        record: &mut record::CallRecord,
        build: B,
    ) -> Result<EntryAnswer, record::CallOutcome>
    where
        B: Fn(net::SocketAddr) -> reqwest::RequestBuilder,
    {
        let mut lost = String::new();
        for _ in 0..MAX_TRIES {
            let Some(address) = self.entry_address().await else {
                break;
            };
            let sending = build(address).send();
            let response = match time::timeout(self.settings.patience, sending).await {
                Ok(Ok(response)) => response,
                Ok(Err(error)) => {
                    record.resends += u32::from(!error.is_connect());
                    self.suspect(address);
                    lost = format!("{address}: {error:?}");
                    continue;
                }
                Err(_) => {
                    self.suspect(address);
                    lost = format!("{address}: no head within {:?}", self.settings.patience);
                    break;
                }
            };
            if response.status().is_success() {
                return Ok(EntryAnswer { address, response });
            }
            let refusal = read_refusal(response).await?;
            record.refused_tries.push(refusal.code);
            if refusal.code == refusal::RefusalCode::NotReady {
                // It speaks for this entry VM only: the next one may take the call at once.
                self.suspect(address);
            }
            let Some(delay) = delay_of_retry(&refusal) else {
                return Err(record::CallOutcome::Refused(refusal));
            };
            if record.refused_tries.len() >= MAX_TRIES {
                return Err(record::CallOutcome::Refused(refusal));
            }
            time::sleep(delay).await;
        }
        let seen = format!("no entry VM answered; last: {lost}");
        Err(record::CallOutcome::Faulty(check::AnswerFault::Cut {
            seen,
        }))
    }

    /// Sends like [`Self::send`] and reads the whole body; a body that breaks is asked for again.
    pub(crate) async fn exchange<B>(
        &self,
        record: &mut record::CallRecord,
        build: B,
    ) -> Result<ExchangedAnswer, record::CallOutcome>
    where
        B: Fn(net::SocketAddr) -> reqwest::RequestBuilder,
    {
        let mut lost = String::new();
        for _ in 0..MAX_TRIES {
            let EntryAnswer { address, response } = self.send(record, &build).await?;
            let status = response.status();
            let headers = response.headers().clone();
            match time::timeout(self.settings.patience, response.text()).await {
                Ok(Ok(text)) => {
                    return Ok(ExchangedAnswer {
                        status,
                        headers,
                        text,
                    });
                }
                Ok(Err(error)) => lost = error.to_string(),
                Err(_) => lost = "the body stopped".into(),
            }
            record.resends += 1;
            self.suspect(address);
        }
        let seen = format!("no body came whole; last: {lost}");
        Err(record::CallOutcome::Faulty(check::AnswerFault::Cut {
            seen,
        }))
    }

    /// The best entry VM now; asks for the list when the last answer is due.
    async fn entry_address(&self) -> Option<net::SocketAddr> {
        let now = time::Instant::now();
        if self.with_book(|book| book.is_stale(now)) {
            self.ask_entries().await;
        }
        let now = time::Instant::now();
        self.with_book(|book| book.ranking(now).first().copied())
    }

    async fn ask_entries(&self) {
        for address in self.with_book(|book| book.ranking(time::Instant::now())) {
            let Some(answer) = self.ask_one(address).await else {
                self.suspect(address);
                continue;
            };
            let named = answer.entries.iter().map(|entry| entry.address).collect();
            let keep = Duration::from_millis(answer.keep_ms);
            self.with_book(|book| book.learn(named, keep, time::Instant::now()));
            return;
        }
        self.with_book(|book| book.keep_stale(time::Instant::now()));
    }

    async fn ask_one(&self, address: net::SocketAddr) -> Option<body::EntriesAnswer> {
        let request = self.request(reqwest::Method::GET, address, "/v1/entries");
        let response = request.timeout(CONNECT_TIME).send().await.ok()?;
        response.error_for_status().ok()?.json().await.ok()
    }

    fn with_book<T>(&self, work: impl FnOnce(&mut book::EntryBook) -> T) -> T {
        let mut book = self
            .book
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        work(&mut book)
    }
}

/// An answer that was read whole.
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
            let seen = format!("status {status} with a body that is no refusal: {text:.200}");
            Err(record::CallOutcome::Faulty(check::AnswerFault::Cut {
                seen,
            }))
        }
    }
}

/// When to come back after `refusal`, if that is safe and of use.
fn delay_of_retry(refusal: &refusal::RefusalBody) -> Option<Duration> {
    let is_safe =
        refusal.ran == outcome::RanState::No || refusal.code == refusal::RefusalCode::InProgress;
    let delay_ms = refusal.retry_after_ms.filter(|_| is_safe)?;
    Some(Duration::from_millis(delay_ms))
}

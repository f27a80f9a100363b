//! One request as a caller sent it, decoded once by the face that took it in.

use bytes::Bytes;
use tokio::time;

use crate::catalog;

/// One part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Equal for equal parts.
    pub hash: u64,
    /// Tokens that it covers.
    pub tokens: u32,
}

/// What a generation will need of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GenerationSize {
    /// Tokens to read.
    pub prompt_tokens: u32,
    /// Most tokens that it may produce.
    pub most_tokens: u32,
    /// The caller's guess of what it will produce; right at the median, often far off.
    pub hint_tokens: Option<u32>,
    /// Parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
}

impl GenerationSize {
    /// Prompt, most output and hint, for logs.
    #[must_use]
    pub fn summary(&self) -> (u32, u32, Option<u32>) {
        (self.prompt_tokens, self.most_tokens, self.hint_tokens)
    }
}

/// One request.
#[derive(Clone, Debug)]
pub struct ExchangeAsk {
    /// The caller's own id of this try; servers echo it.
    pub id: String,
    /// Method, unchanged.
    pub method: http::Method,
    /// Path and query, unchanged.
    pub target: String,
    /// Host as the caller wrote it.
    pub host: String,
    /// Headers to pass on, without those of a connection and those that this system sets.
    pub headers: http::HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Organisation's name for the backend server.
    pub organisation: Option<String>,
    /// Name of the route, for logs.
    pub route: String,
    /// Service that it goes to.
    pub service: String,
    /// What may be done again.
    pub kind: catalog::ExchangeKind,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Most servers that it may be sent to.
    pub attempts: u32,
    /// When the head had been read.
    pub arrived: time::Instant,
    /// When the caller stops waiting.
    pub deadline: time::Instant,
    /// When it must have had its final answer: never after `deadline`.
    pub limit: time::Instant,
    /// Latency at which its answer is on time.
    pub aim: time::Duration,
    /// Present for generations.
    pub size: Option<GenerationSize>,
    /// Equal for requests that are the same in path, caller and body.
    pub fingerprint: u64,
}

impl ExchangeAsk {
    /// What the caller will still wait, never negative.
    #[must_use]
    pub fn left(&self, now: time::Instant) -> time::Duration {
        self.limit.saturating_duration_since(now)
    }
}

/// Fingerprint of a request: the same path, key and body give the same number on every VM.
#[must_use]
pub fn fingerprint(target: &str, key: Option<&str>, body: &[u8]) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    hasher.update(target.as_bytes());
    hasher.update(&[0]);
    hasher.update(key.unwrap_or_default().as_bytes());
    hasher.update(&[0]);
    hasher.update(body);
    hasher.digest()
}

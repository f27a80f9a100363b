//! A request as its caller sent it, decoded once by the ingress.

use bytes::Bytes;
use tokio::time;

use crate::catalog;

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Content hash.
    pub hash: u64,
    /// Number of tokens.
    pub tokens: u32,
}

/// Size of a generation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GenerationSize {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Max output tokens.
    pub max_tokens: u32,
    /// The caller's estimate of the output tokens; right at the median, often far off.
    pub hint_tokens: Option<u32>,
    /// Parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
}

impl GenerationSize {
    /// Prompt tokens, max output and hint, for logs.
    #[must_use]
    pub fn summary(&self) -> (u32, u32, Option<u32>) {
        (self.prompt_tokens, self.max_tokens, self.hint_tokens)
    }

    /// Hashes of the parts of the prompt, for logs.
    #[must_use]
    pub fn part_hashes(&self) -> Vec<u64> {
        self.parts.iter().map(|part| part.hash).collect()
    }
}

/// One request.
#[derive(Clone, Debug)]
pub struct ExchangeRequest {
    /// Id that the caller gave to this attempt; servers echo it.
    pub id: String,
    /// Method, unchanged.
    pub method: http::Method,
    /// Path and query, unchanged.
    pub target: String,
    /// Host as the caller wrote it.
    pub host: String,
    /// Headers to forward, without hop-by-hop headers and those that this system sets.
    pub headers: http::HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Name of the organisation, for the backend server.
    pub organisation: Option<String>,
    /// Name of the route, for logs.
    pub route: String,
    /// Service that handles the request.
    pub service: String,
    /// Which retries are allowed.
    pub kind: catalog::ExchangeKind,
    /// Priority; 0 goes first.
    pub priority: u8,
    /// Max attempts.
    pub attempts: u32,
    /// When the head was read.
    pub arrived: time::Instant,
    /// When the caller stops waiting.
    pub deadline: time::Instant,
    /// When the final response is due; never after `deadline`.
    pub limit: time::Instant,
    /// Target latency of the response.
    pub target_latency: time::Duration,
    /// Maximum pause between two events of a stream that the route allows; `None`: no limit.
    pub max_pause: Option<time::Duration>,
    /// Size of a generation; `None` for calls.
    pub size: Option<GenerationSize>,
    /// Fingerprint of path, caller and body.
    pub fingerprint: u64,
    /// Whether another VM handed the request over; it is then not handed on.
    pub handed_over: bool,
}

impl ExchangeRequest {
    /// Remaining time for the response, never negative.
    #[must_use]
    pub fn left(&self, now: time::Instant) -> time::Duration {
        self.limit.saturating_duration_since(now)
    }
}

/// Computes the fingerprint of a request: the same on every VM for the same path, key and body.
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

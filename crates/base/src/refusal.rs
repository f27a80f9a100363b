//! The typed error body that callers receive.

use crate::outcome;

/// Why a request was refused or ended early.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The body or a header is malformed.
    BadRequest,
    /// The body is larger than the limit.
    TooLarge,
    /// The API key is missing or unknown.
    Unauthenticated,
    /// The key is known but not authorised for this operation.
    Forbidden,
    /// No such model, service, request or generation.
    NotFound,
    /// An idempotency key is required on this call.
    IdempotencyKeyRequired,
    /// The idempotency key is older than the window in which repeats are recognised.
    IdempotencyKeyExpired,
    /// Another call with the same idempotency key is in progress.
    InProgress,
    /// The organisation is over its limit.
    RateLimited,
    /// The system is full; nothing was started.
    Overloaded,
    /// The content was found to crash backend servers.
    Quarantined,
    /// No backend server can serve this now.
    Unavailable,
    /// The deadline passed.
    DeadlineExceeded,
    /// The generation was lost after its first token and cannot be continued.
    GenerationLost,
    /// The backend server's answer was lost or malformed.
    BackendFault,
    /// This entry VM has no accepted configuration yet, or is leaving.
    NotReady,
    /// An internal error.
    Internal,
}

impl RefusalCode {
    /// The HTTP status that carries this code.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::IdempotencyKeyRequired => 400,
            Self::Unauthenticated => 401,
            Self::Forbidden => 403,
            Self::NotFound => 404,
            Self::InProgress => 409,
            Self::TooLarge => 413,
            Self::IdempotencyKeyExpired | Self::Quarantined => 422,
            Self::RateLimited => 429,
            Self::Internal => 500,
            Self::GenerationLost | Self::BackendFault => 502,
            Self::Overloaded | Self::Unavailable | Self::NotReady => 503,
            Self::DeadlineExceeded => 504,
        }
    }
}

/// The body of every refusal: what happened, what to do, and whether the request ran.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct RefusalBody {
    /// Machine-readable reason.
    pub code: RefusalCode,
    /// Human-readable reason and remedy.
    pub message: String,
    /// Whether the request ran; `no` is a guarantee.
    pub ran: outcome::RanState,
    /// Delay before a retry, in milliseconds; absent when a retry cannot succeed.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
}

impl RefusalBody {
    /// A refusal before anything was started.
    pub fn not_run(code: RefusalCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            ran: outcome::RanState::No,
            retry_after_ms: None,
        }
    }

    /// Sets the delay after which a retry may succeed.
    #[must_use]
    pub fn retry_after_ms(mut self, delay_ms: u64) -> Self {
        self.retry_after_ms = Some(delay_ms);
        self
    }

    /// Sets whether the request ran.
    #[must_use]
    pub fn ran(mut self, ran: outcome::RanState) -> Self {
        self.ran = ran;
        self
    }
}

/// The JSON envelope on the wire, in the shape that common client libraries expect.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct RefusalEnvelope {
    /// The refusal.
    pub error: RefusalBody,
}

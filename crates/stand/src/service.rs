//! Stand-in for a plain service server that runs calls and counts them.

use std::collections;

pub mod front;
pub mod handle;

pub use self::{
    front::serve,
    handle::{ServiceFault, ServiceHandle},
};

/// Behaviour of one plain service server.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceProfile {
    /// Name, repeated in each answer.
    pub server: String,
    /// Duration of a call, which takes effect halfway through.
    pub latency_ms: u64,
}

impl Default for ServiceProfile {
    fn default() -> Self {
        Self {
            server: String::from("plain-0"),
            latency_ms: 10,
        }
    }
}

/// Call received by a server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceCall {
    /// HTTP method.
    pub method: String,
    /// Path, with the query if there is one.
    pub path: String,
    /// `X-Request-Id`.
    pub request_id: Option<String>,
    /// `Idempotency-Key`.
    pub idempotency_key: Option<String>,
    /// Body.
    pub body: bytes::Bytes,
}

/// Answer of a server, which repeats enough of the call to detect mixed-up answers.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ServiceAnswer {
    /// Name of the server.
    pub server: String,
    /// Path of the call.
    pub path: String,
    /// Request id of the call.
    pub request_id: Option<String>,
    /// Idempotency key of the call.
    pub idempotency_key: Option<String>,
    /// Size of the request body.
    pub body_bytes: usize,
    /// SHA-256 of the request body in hexadecimal.
    pub body_sha256: String,
    /// Number of this run on this server, from 1.
    pub run: u64,
}

/// Counts of the calls that ran on one server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct RunCounts {
    /// Total number of runs.
    pub total: u64,
    /// Runs by idempotency key.
    pub by_key: collections::BTreeMap<String, u64>,
    /// Runs by request id.
    pub by_request: collections::BTreeMap<String, u64>,
}

/// Server state machine without I/O or clock.
///
/// The counts represent effects visible outside the server, so they survive a crash.
#[derive(Clone, Debug, Default)]
pub struct ServiceCore {
    profile: ServiceProfile,
    counts: RunCounts,
    lose_answers: u32,
}

impl ServiceCore {
    /// Creates a server without any runs.
    #[must_use]
    pub fn new(profile: ServiceProfile) -> Self {
        Self {
            profile,
            ..Self::default()
        }
    }

    /// Runs a call. Returns `None` if the answer is lost.
    pub fn run(&mut self, call: &ServiceCall) -> Option<ServiceAnswer> {
        self.counts.total += 1;
        if let Some(key) = &call.idempotency_key {
            *self.counts.by_key.entry(key.clone()).or_default() += 1;
        }
        if let Some(request_id) = &call.request_id {
            *self
                .counts
                .by_request
                .entry(request_id.clone())
                .or_default() += 1;
        }
        if self.lose_answers > 0 {
            self.lose_answers -= 1;
            return None;
        }
        Some(ServiceAnswer {
            server: self.profile.server.clone(),
            path: call.path.clone(),
            request_id: call.request_id.clone(),
            idempotency_key: call.idempotency_key.clone(),
            body_bytes: call.body.len(),
            body_sha256: base::fingerprint::ContentHash::of(&call.body).to_string(),
            run: self.counts.total,
        })
    }

    /// Returns the run counts.
    #[must_use]
    pub const fn counts(&self) -> &RunCounts {
        &self.counts
    }

    /// Returns the profile.
    #[must_use]
    pub const fn profile(&self) -> &ServiceProfile {
        &self.profile
    }

    /// Drops the answers of the next `count` calls, which still run.
    pub fn lose_answers(&mut self, count: u32) {
        self.lose_answers = count;
    }
}

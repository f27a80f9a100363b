//! The plain service server: it runs what it is told and counts it.

use std::collections;

pub mod front;
pub mod handle;

pub use self::{
    front::serve,
    handle::{ServiceFault, ServiceHandle},
};

/// Manners of one plain service server.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceProfile {
    /// Its name, which each of its answers carries.
    pub server: String,
    /// Time that a call takes; it takes effect halfway.
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

/// One call as a server sees it.
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

/// What a server answers; it repeats enough of the call to tell crossed answers apart.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ServiceAnswer {
    /// The server.
    pub server: String,
    /// Path of the call.
    pub path: String,
    /// Its request id.
    pub request_id: Option<String>,
    /// Its idempotency key.
    pub idempotency_key: Option<String>,
    /// Size of its body.
    pub body_bytes: usize,
    /// SHA-256 of its body in hexadecimal.
    pub body_sha256: String,
    /// Number of this run among all of this server, from 1.
    pub run: u64,
}

/// What ran on one server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct RunCounts {
    /// All runs.
    pub total: u64,
    /// Runs by idempotency key.
    pub by_key: collections::BTreeMap<String, u64>,
    /// Runs by request id.
    pub by_request: collections::BTreeMap<String, u64>,
}

/// The server without I/O and clock.
///
/// The counts stand for what the world outside saw, so they outlive a crash.
#[derive(Clone, Debug, Default)]
pub struct ServiceCore {
    profile: ServiceProfile,
    counts: RunCounts,
    lose_answers: u32,
}

impl ServiceCore {
    /// A server that has run nothing.
    #[must_use]
    pub fn new(profile: ServiceProfile) -> Self {
        Self {
            profile,
            ..Self::default()
        }
    }

    /// Runs a call. The answer is `None` when it is lost.
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

    /// What ran.
    #[must_use]
    pub const fn counts(&self) -> &RunCounts {
        &self.counts
    }

    /// Its profile.
    #[must_use]
    pub const fn profile(&self) -> &ServiceProfile {
        &self.profile
    }

    /// Loses the answers of the next `count` calls, which run.
    pub fn lose_answers(&mut self, count: u32) {
        self.lose_answers = count;
    }
}

//! Stand-in for the weight store, which serves bytes at a limited rate.

use std::{net, sync};

use rocket::{State, data, get, post, routes};
use tokio::time;

use crate::{bucket, gate, http};

/// Capacity of the weight store.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct WeightsProfile {
    /// Bytes per second.
    pub bytes_per_second: f64,
    /// Burst after a pause, in bytes; a larger request is never granted.
    pub burst_bytes: f64,
}

impl Default for WeightsProfile {
    fn default() -> Self {
        Self {
            bytes_per_second: 1e9,
            burst_bytes: 1e9,
        }
    }
}

/// Weight store without I/O or clock: `now` is the time since any fixed moment and is monotonic.
#[derive(Clone, Debug)]
pub struct WeightsCore {
    bucket: bucket::TokenBucket,
}

impl WeightsCore {
    /// Creates a store with a full burst.
    #[must_use]
    pub const fn new(profile: WeightsProfile) -> Self {
        let bucket = bucket::TokenBucket::new(profile.bytes_per_second, profile.burst_bytes);
        Self { bucket }
    }

    /// Takes `bytes` from the rate limit.
    ///
    /// # Errors
    ///
    /// Returns the time to wait if fewer bytes are available.
    pub fn take(&mut self, now: time::Duration, bytes: u64) -> Result<(), time::Duration> {
        self.bucket.take(now, bytes as f64)
    }
}

/// Fault that a caller injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(tag = "fault", rename_all = "snake_case", deny_unknown_fields)]
pub enum WeightsFault {
    /// Refuses connections.
    Refuse {
        /// Whether the fault is switched on or off.
        on: bool,
    },
    /// Blocks traffic in both directions.
    Hang {
        /// Whether the fault is switched on or off.
        on: bool,
    },
    /// Silences all existing connections permanently; new ones work.
    Silence,
}

/// Handle of a running weight store, shared between clones.
#[derive(Clone, Debug)]
pub struct WeightsHandle {
    core: sync::Arc<sync::Mutex<WeightsCore>>,
    gate: gate::LinkGate,
    origin: time::Instant,
}

impl WeightsHandle {
    /// Creates a store.
    #[must_use]
    pub fn new(profile: WeightsProfile) -> Self {
        Self {
            core: sync::Arc::new(sync::Mutex::new(WeightsCore::new(profile))),
            gate: gate::LinkGate::default(),
            origin: time::Instant::now(),
        }
    }

    /// Takes `bytes` from the rate limit.
    ///
    /// # Errors
    ///
    /// Returns the time to wait if fewer bytes are available.
    pub fn take(&self, bytes: u64) -> Result<(), time::Duration> {
        let mut core = self
            .core
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        core.take(self.origin.elapsed(), bytes)
    }

    /// Returns the gate for connections to this store.
    #[must_use]
    pub const fn gate(&self) -> &gate::LinkGate {
        &self.gate
    }

    /// Injects or clears a fault.
    pub fn apply(&self, fault: WeightsFault) {
        match fault {
            WeightsFault::Refuse { on } => self.gate.set_up(!on),
            WeightsFault::Hang { on } => self.gate.set_hanging(on),
            WeightsFault::Silence => self.gate.silence(),
        }
    }
}

/// Serves the store on `address` (port 0: any free port).
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn serve(
    handle: WeightsHandle,
    address: net::SocketAddr,
) -> Result<http::RunningServer, http::ServeError> {
    http::serve(
        address,
        handle.gate().clone(),
        handle,
        routes![take, faults],
    )
    .await
}

#[get("/v1/weights/<model>/<version>?<bytes>")]
fn take(model: &str, version: &str, bytes: u64, handle: &State<WeightsHandle>) -> http::JsonReply {
    match handle.take(bytes) {
        Ok(()) => {
            let body = serde_json::json!({"model": model, "version": version, "bytes": bytes});
            http::json(200, &body)
        }
        Err(wait) => {
            let wait_ms = wait.as_millis() as u64 + 1;
            let message = format!("rate limit exceeded; retry in {wait_ms} ms");
            http::error_after(429, "over_rate", &message, wait_ms)
        }
    }
}

#[post("/admin/faults", data = "<body>")]
async fn faults(body: data::Data<'_>, handle: &State<WeightsHandle>) -> http::JsonReply {
    match http::read_json(body).await {
        Ok(fault) => {
            handle.apply(fault);
            http::json(200, &fault)
        }
        Err(reply) => reply,
    }
}

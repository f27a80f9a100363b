//! The control interface of a model engine: reading its state and sending it orders.

use std::collections;

use base::id;
use snafu::Snafu;

/// The state that an order requests of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct WantedState {
    /// Name of the model.
    pub model: String,
    /// Version of the model.
    pub version: String,
    /// Adapters to load with the model.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Role of the engine.
    pub role: String,
}

/// A model that an engine has loaded and can serve.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ReadyModel {
    /// Name of the model.
    pub model: String,
    /// Version of the model.
    pub version: String,
    /// Adapters loaded with the model.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// Body of `POST /v1/orders`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct OrderBody {
    /// Fencing number of the sender's lease.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fencing: Option<u64>,
    /// The requested state.
    pub want: WantedState,
    /// The engine refuses the order once the connection is older than this, in milliseconds.
    pub within_ms: u64,
}

/// Answer of `GET /v1/state` and of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct EngineState {
    /// Incarnation of the engine's process.
    pub incarnation: id::Incarnation,
    /// Models that the engine can serve.
    #[serde(default)]
    pub models: Vec<ReadyModel>,
    /// Role of the engine.
    #[serde(default)]
    pub role: String,
    /// The state that is being loaded.
    #[serde(default)]
    pub loading: Option<WantedState>,
    /// The highest fencing number that the engine has received.
    #[serde(default)]
    pub fencing: Option<u64>,
    /// Whether the engine is leaving.
    #[serde(default)]
    pub leaving: bool,
}

impl EngineState {
    /// Whether the engine is in the state `want`.
    #[must_use]
    pub fn matches(&self, want: &WantedState) -> bool {
        self.loading.is_none()
            && self.role == want.role
            && self.models.iter().any(|ready| {
                ready.model == want.model
                    && ready.version == want.version
                    && same_names(&ready.adapters, &want.adapters)
            })
    }

    /// Whether the engine is loading the state `want`.
    #[must_use]
    pub fn is_loading(&self, want: &WantedState) -> bool {
        self.loading.as_ref().is_some_and(|loading| {
            loading.model == want.model
                && loading.version == want.version
                && loading.role == want.role
                && same_names(&loading.adapters, &want.adapters)
        })
    }
}

fn same_names(left: &[String], right: &[String]) -> bool {
    let left: collections::BTreeSet<&String> = left.iter().collect();
    let right: collections::BTreeSet<&String> = right.iter().collect();
    left == right
}

/// An error of a call to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum EngineError {
    /// The engine refuses the order's fencing number.
    #[snafu(display("the engine knows a newer fencing number; its holder gives the orders"))]
    OldFencing,
    /// The order arrived after its time limit.
    #[snafu(display("the order came after its time limit; read the state and send it again"))]
    TooLate,
    /// The engine refuses the call.
    #[snafu(display("the engine refused the call with status {status}; check the order"))]
    Refused {
        /// HTTP status of the answer.
        status: u16,
    },
    /// The engine did not answer; an order may have taken effect.
    #[snafu(display("the engine did not answer ({cause}); read its state before sending orders"))]
    NoAnswer {
        /// Cause that the connection reported.
        cause: String,
    },
}

/// Opens connections to engines.
pub trait EngineClient: Send + Sync + 'static {
    /// A connection to an engine.
    type Connection: EngineConnection;

    /// Opens a connection for one state request and one order.
    fn open(
        &self,
        address: std::net::SocketAddr,
    ) -> impl Future<Output = Result<Self::Connection, EngineError>> + Send;
}

/// One connection to an engine.
///
/// An implementation must not reconnect on its own: the engine counts an order's time limit from
/// when it accepted the connection, and the answered state request proves that it had accepted it.
/// An implementation must also limit the time of every call.
pub trait EngineConnection: Send {
    /// `GET /v1/state`.
    fn state(&mut self) -> impl Future<Output = Result<EngineState, EngineError>> + Send;

    /// `POST /v1/orders`.
    fn order(
        &mut self,
        body: &OrderBody,
    ) -> impl Future<Output = Result<EngineState, EngineError>> + Send;
}

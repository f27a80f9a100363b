//! The face of a model engine as orders use it.

use std::collections;

use base::id;
use snafu::Snafu;

/// What an order wants an engine to be.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct WantedState {
    /// The model.
    pub model: String,
    /// Its version.
    pub version: String,
    /// Adapters beside it.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// The engine's role.
    pub role: String,
}

/// A model that an engine has ready.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ReadyModel {
    /// The model.
    pub model: String,
    /// Its version.
    pub version: String,
    /// Adapters beside it.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// Body of `POST /v1/orders`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct OrderBody {
    /// The giver's fencing number.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fencing: Option<u64>,
    /// What is wanted.
    pub want: WantedState,
    /// The engine refuses the order this long after it first saw the connection.
    pub within_ms: u64,
}

/// Answer of `GET /v1/state` and of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct EngineState {
    /// The life of its process.
    pub incarnation: id::Incarnation,
    /// What is ready.
    #[serde(default)]
    pub models: Vec<ReadyModel>,
    /// Its role.
    #[serde(default)]
    pub role: String,
    /// What is being loaded.
    #[serde(default)]
    pub loading: Option<WantedState>,
    /// The newest fencing number that it saw.
    #[serde(default)]
    pub fencing: Option<u64>,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

impl EngineState {
    /// Whether it is what is wanted.
    #[must_use]
    pub fn is(&self, want: &WantedState) -> bool {
        self.loading.is_none()
            && self.role == want.role
            && self.models.iter().any(|ready| {
                ready.model == want.model
                    && ready.version == want.version
                    && same_names(&ready.adapters, &want.adapters)
            })
    }

    /// Whether it is becoming what is wanted.
    #[must_use]
    pub fn becomes(&self, want: &WantedState) -> bool {
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

/// Why an engine's answer is missing.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum EngineFault {
    /// The engine refuses the order's fencing number.
    #[snafu(display("the engine knows a newer fencing number; its holder gives the orders"))]
    OldFencing,
    /// The order came too late.
    #[snafu(display("the order came after its time limit; read the state and send it again"))]
    TooLate,
    /// The engine refuses the call.
    #[snafu(display("the engine refused the call with status {status}; check the order"))]
    Refused {
        /// HTTP status of the answer.
        status: u16,
    },
    /// There is no answer; an order may be in effect.
    #[snafu(display("the engine did not answer ({cause}); read its state before all else"))]
    Silent {
        /// What the connection reported.
        cause: String,
    },
}

/// Opens connections to engines.
pub trait EngineClient: Send + Sync + 'static {
    /// One connection.
    type Connection: EngineConnection;

    /// Opens a connection that serves one reading and one order.
    fn open(
        &self,
        address: std::net::SocketAddr,
    ) -> impl Future<Output = Result<Self::Connection, EngineFault>> + Send;
}

/// One connection to an engine. It never opens a second one by itself: an order's time limit
/// counts from when the engine saw the connection, and an answered reading proves that it did.
///
/// An implementation bounds every call in time.
pub trait EngineConnection: Send {
    /// `GET /v1/state`.
    fn state(&mut self) -> impl Future<Output = Result<EngineState, EngineFault>> + Send;

    /// `POST /v1/orders`.
    fn order(
        &mut self,
        body: &OrderBody,
    ) -> impl Future<Output = Result<EngineState, EngineFault>> + Send;
}

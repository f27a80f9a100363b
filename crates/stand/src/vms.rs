//! Stand-in for the platform's list of live and leaving VMs, which shows changes after a lag.

use std::{collections, net, sync};

use rocket::{State, data, get, post, routes};
use tokio::time;

use crate::{gate, http};

/// Behaviour of the VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct VmsProfile {
    /// Lag until a change is visible.
    pub lag_ms: u64,
    /// Names of the VMs that are live at the start.
    pub live: Vec<String>,
}

impl Default for VmsProfile {
    fn default() -> Self {
        Self {
            lag_ms: 5_000,
            live: Vec::new(),
        }
    }
}

/// State of one VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM will be removed.
    Leaving,
}

/// Entry of a VM in the list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct VmEntry {
    /// Name of the VM.
    pub name: String,
    /// State of the VM.
    pub state: VmState,
}

/// Answer of `GET /v1/vms`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct VmList {
    /// All VMs on the list.
    pub vms: Vec<VmEntry>,
    /// Time of the list on the platform's clock.
    pub as_of_ms: u64,
}

/// VM list without I/O or clock: `now` is the time since any fixed moment and is monotonic.
#[derive(Clone, Debug)]
pub struct VmsCore {
    lag: time::Duration,
    shown: collections::BTreeMap<String, VmState>,
    /// Changes that are not visible yet, oldest first; `None` removes a VM from the list.
    pending: collections::VecDeque<(time::Duration, String, Option<VmState>)>,
}

impl VmsCore {
    /// Creates the initial list.
    #[must_use]
    pub fn new(profile: &VmsProfile) -> Self {
        let live = profile
            .live
            .iter()
            .map(|name| (name.clone(), VmState::Live));
        Self {
            lag: time::Duration::from_millis(profile.lag_ms),
            shown: live.collect(),
            pending: collections::VecDeque::new(),
        }
    }

    /// Sets the state of one VM at `now`; `None` removes it from the list.
    pub fn set(&mut self, now: time::Duration, name: &str, state: Option<VmState>) {
        self.pending.push_back((now, String::from(name), state));
    }

    /// Returns the list as it was one lag before `now`.
    pub fn list(&mut self, now: time::Duration) -> Vec<VmEntry> {
        let lag = self.lag;
        while let Some((_, name, state)) = self.pending.pop_front_if(|entry| entry.0 + lag <= now) {
            match state {
                Some(state) => self.shown.insert(name, state),
                None => self.shown.remove(&name),
            };
        }
        let shown = self.shown.iter().map(|(name, state)| VmEntry {
            name: name.clone(),
            state: *state,
        });
        shown.collect()
    }
}

/// Fault that a caller injects.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(tag = "fault", rename_all = "snake_case", deny_unknown_fields)]
pub enum VmsFault {
    /// Sets the state of one VM; an absent `state` removes it from the list.
    Set {
        /// Name of the VM.
        name: String,
        /// New state.
        #[serde(default)]
        state: Option<VmState>,
    },
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

/// Handle of a running VM list, shared between clones.
#[derive(Clone, Debug)]
pub struct VmsHandle {
    core: sync::Arc<sync::Mutex<VmsCore>>,
    gate: gate::LinkGate,
    origin: time::Instant,
    /// Platform clock at `origin`, in Unix milliseconds.
    clock_ms: u64,
    lag_ms: u64,
}

impl VmsHandle {
    /// Creates a list.
    #[must_use]
    pub fn new(profile: &VmsProfile) -> Self {
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        Self {
            core: sync::Arc::new(sync::Mutex::new(VmsCore::new(profile))),
            gate: gate::LinkGate::default(),
            origin: time::Instant::now(),
            clock_ms: since.map_or(0, |since| since.as_millis() as u64),
            lag_ms: profile.lag_ms,
        }
    }

    /// Returns the list as it was one lag ago.
    #[must_use]
    pub fn list(&self) -> VmList {
        let now = self.origin.elapsed();
        VmList {
            vms: self.lock().list(now),
            as_of_ms: (self.clock_ms + now.as_millis() as u64).saturating_sub(self.lag_ms),
        }
    }

    /// Sets the state of one VM; `None` removes it from the list.
    pub fn set(&self, name: &str, state: Option<VmState>) {
        let now = self.origin.elapsed();
        self.lock().set(now, name, state);
    }

    /// Returns the gate for connections to this list.
    #[must_use]
    pub const fn gate(&self) -> &gate::LinkGate {
        &self.gate
    }

    /// Injects or clears a fault.
    pub fn apply(&self, fault: &VmsFault) {
        match fault {
            VmsFault::Set { name, state } => self.set(name, *state),
            VmsFault::Refuse { on } => self.gate.set_up(!on),
            VmsFault::Hang { on } => self.gate.set_hanging(*on),
            VmsFault::Silence => self.gate.silence(),
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, VmsCore> {
        self.core
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Serves the list on `address` (port 0: any free port).
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn serve(
    handle: VmsHandle,
    address: net::SocketAddr,
) -> Result<http::RunningServer, http::ServeError> {
    http::serve(
        address,
        handle.gate().clone(),
        handle,
        routes![list, faults],
    )
    .await
}

#[get("/v1/vms")]
fn list(handle: &State<VmsHandle>) -> http::JsonReply {
    http::json(200, &handle.list())
}

#[post("/admin/faults", data = "<body>")]
async fn faults(body: data::Data<'_>, handle: &State<VmsHandle>) -> http::JsonReply {
    match http::read_json(body).await {
        Ok(fault) => {
            handle.apply(&fault);
            http::json(200, &fault)
        }
        Err(reply) => reply,
    }
}

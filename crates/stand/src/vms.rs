//! The platform's list of live and leaving VMs, which lags.

use std::{collections, net, sync};

use rocket::{State, data, get, post, routes};
use tokio::time;

use crate::{gate, http};

/// Manners of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct VmsProfile {
    /// Time until a change shows.
    pub lag_ms: u64,
    /// VMs that are live at the start.
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
    /// It runs.
    Live,
    /// It will be taken away.
    Leaving,
}

/// One VM of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct VmEntry {
    /// Its name.
    pub name: String,
    /// Its state.
    pub state: VmState,
}

/// Answer of `GET /v1/vms`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct VmList {
    /// All that were there.
    pub vms: Vec<VmEntry>,
    /// When it was so, on the platform's clock.
    pub as_of_ms: u64,
}

/// The list without I/O and clock: `now` is the time since any fixed moment and never goes back.
#[derive(Clone, Debug)]
pub struct VmsCore {
    lag: time::Duration,
    shown: collections::BTreeMap<String, VmState>,
    /// Changes that don't show yet, oldest first; `None` takes a VM off the list.
    pending: collections::VecDeque<(time::Duration, String, Option<VmState>)>,
}

impl VmsCore {
    /// The list at the start.
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

    /// Changes one VM at `now`; `None` takes it off the list.
    pub fn set(&mut self, now: time::Duration, name: &str, state: Option<VmState>) {
        self.pending.push_back((now, String::from(name), state));
    }

    /// The list as it was a lag before `now`.
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

/// A fault that is switched on from outside.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(tag = "fault", rename_all = "snake_case", deny_unknown_fields)]
pub enum VmsFault {
    /// Changes one VM; no `state` takes it off the list.
    Set {
        /// Its name.
        name: String,
        /// Its state from now on.
        #[serde(default)]
        state: Option<VmState>,
    },
    /// Refuses connections.
    Refuse {
        /// Whether from now on or no more.
        on: bool,
    },
    /// Lets nothing through in either direction.
    Hang {
        /// Whether from now on or no more.
        on: bool,
    },
    /// Makes all connections of now silent for good; new ones work.
    Silence,
}

/// A running VM list; clones share it.
#[derive(Clone, Debug)]
pub struct VmsHandle {
    core: sync::Arc<sync::Mutex<VmsCore>>,
    gate: gate::LinkGate,
    origin: time::Instant,
    /// The platform's clock at `origin`, in Unix milliseconds.
    clock_ms: u64,
    lag_ms: u64,
}

impl VmsHandle {
    /// Starts a list.
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

    /// The list as it was a lag ago.
    #[must_use]
    pub fn list(&self) -> VmList {
        let now = self.origin.elapsed();
        VmList {
            vms: self.lock().list(now),
            as_of_ms: (self.clock_ms + now.as_millis() as u64).saturating_sub(self.lag_ms),
        }
    }

    /// Changes one VM; `None` takes it off the list.
    pub fn set(&self, name: &str, state: Option<VmState>) {
        let now = self.origin.elapsed();
        self.lock().set(now, name, state);
    }

    /// The way to this list.
    #[must_use]
    pub const fn gate(&self) -> &gate::LinkGate {
        &self.gate
    }

    /// Switches a fault.
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

/// Serves the list on `address` (port 0: any).
///
/// # Errors
///
/// When the address can't be had.
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

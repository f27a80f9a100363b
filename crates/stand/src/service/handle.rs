//! A running plain service server in this process, on the runtime's clock.

use std::sync;

use tokio::time;

use super::{RunCounts, ServiceAnswer, ServiceCall, ServiceCore, ServiceProfile};
use crate::gate;

/// A fault that is switched on from outside.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(tag = "fault", rename_all = "snake_case", deny_unknown_fields)]
pub enum ServiceFault {
    /// Dies: connections break and are refused; it comes up again after `down_ms` if given.
    Crash {
        /// Time until it comes up.
        #[serde(default)]
        down_ms: Option<u64>,
    },
    /// Comes up again.
    Restart,
    /// Makes all connections of now silent for good; new ones work.
    Silence,
    /// Lets nothing through in either direction.
    Hang {
        /// Whether from now on or no more.
        on: bool,
    },
    /// Adds this to the time of each call: half of it before the effect, half of it after.
    Slow {
        /// Added time.
        delay_ms: u64,
    },
    /// Loses the answers of the next calls, which run.
    LoseAnswers {
        /// How many.
        count: u32,
    },
    /// Announces in its health that it is leaving, or not any more.
    Leaving {
        /// Whether from now on or no more.
        on: bool,
    },
}

/// What a caller of a server sees in place of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(snafu::Snafu)]
pub enum ServiceError {
    /// The connection was refused: the call did not run.
    #[snafu(display(
        "the server refused the connection; the call did not run, choose another one"
    ))]
    Refused,
    /// The connection broke: the call may have run.
    #[snafu(display("the connection broke; the call may have run"))]
    Broken,
}

#[derive(Debug)]
struct ServiceShared {
    core: ServiceCore,
    delay: time::Duration,
    leaving: bool,
    calls_while_leaving: u64,
    /// Number of this life; a call that began in an earlier one is dead.
    life: u64,
}

/// A running server; clones share it.
#[derive(Clone, Debug)]
pub struct ServiceHandle {
    shared: sync::Arc<sync::Mutex<ServiceShared>>,
    gate: gate::LinkGate,
}

impl ServiceHandle {
    /// Starts a server.
    #[must_use]
    pub fn new(profile: ServiceProfile) -> Self {
        let shared = ServiceShared {
            core: ServiceCore::new(profile),
            delay: time::Duration::ZERO,
            leaving: false,
            calls_while_leaving: 0,
            life: 0,
        };
        Self {
            shared: sync::Arc::new(sync::Mutex::new(shared)),
            gate: gate::LinkGate::default(),
        }
    }

    /// Runs a call.
    ///
    /// # Errors
    ///
    /// Only `Refused` proves that it did not run.
    pub async fn call(&self, call: ServiceCall) -> Result<ServiceAnswer, ServiceError> {
        let silence_epoch = self.gate.state().silence_epoch;
        self.gate.pass(silence_epoch).await;
        if !self.gate.state().up {
            return Err(ServiceError::Refused);
        }
        let (life, half) = self.begin();
        time::sleep(half).await;
        let answer = {
            let mut shared = self.lock();
            if shared.life != life {
                return Err(ServiceError::Broken);
            }
            shared.core.run(&call)
        };
        time::sleep(half).await;
        self.gate.pass(silence_epoch).await;
        let alive = self.lock().life == life;
        answer.filter(|_| alive).ok_or(ServiceError::Broken)
    }

    /// The health of the server.
    ///
    /// # Errors
    ///
    /// When the connection is refused.
    pub async fn leaving(&self) -> Result<bool, ServiceError> {
        self.gate.pass(self.gate.state().silence_epoch).await;
        if !self.gate.state().up {
            return Err(ServiceError::Refused);
        }
        Ok(self.lock().leaving)
    }

    /// What ran.
    #[must_use]
    pub fn counts(&self) -> RunCounts {
        self.lock().core.counts().clone()
    }

    /// Calls that came after the server announced that it is leaving.
    #[must_use]
    pub fn calls_while_leaving(&self) -> u64 {
        self.lock().calls_while_leaving
    }

    /// The way to this server.
    #[must_use]
    pub const fn gate(&self) -> &gate::LinkGate {
        &self.gate
    }

    /// Switches a fault.
    pub fn apply(&self, fault: &ServiceFault) {
        match *fault {
            ServiceFault::Crash { down_ms } => {
                self.crash();
                if let Some(down_ms) = down_ms {
                    let handle = self.clone();
                    tokio::spawn(async move {
                        time::sleep(time::Duration::from_millis(down_ms)).await;
                        handle.restart();
                    });
                }
            }
            ServiceFault::Restart => self.restart(),
            ServiceFault::Silence => self.gate.silence(),
            ServiceFault::Hang { on } => self.gate.set_hanging(on),
            ServiceFault::Slow { delay_ms } => {
                self.lock().delay = time::Duration::from_millis(delay_ms);
            }
            ServiceFault::LoseAnswers { count } => self.lock().core.lose_answers(count),
            ServiceFault::Leaving { on } => self.lock().leaving = on,
        }
    }

    /// Dies: what is under way breaks, connections are refused.
    pub fn crash(&self) {
        self.lock().life += 1;
        self.gate.set_up(false);
    }

    /// Comes up again.
    pub fn restart(&self) {
        self.lock().leaving = false;
        self.gate.set_up(true);
    }

    /// The life in which a call begins, and half the time that it takes.
    fn begin(&self) -> (u64, time::Duration) {
        let mut shared = self.lock();
        if shared.leaving {
            shared.calls_while_leaving += 1;
        }
        let latency = time::Duration::from_millis(shared.core.profile().latency_ms);
        (shared.life, (latency + shared.delay) / 2)
    }

    fn lock(&self) -> sync::MutexGuard<'_, ServiceShared> {
        self.shared
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

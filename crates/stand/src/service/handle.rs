//! In-process plain service server that runs on the runtime's clock.

use std::sync;

use tokio::time;

use super::{RunCounts, ServiceAnswer, ServiceCall, ServiceCore, ServiceProfile};
use crate::{gate, signals};

/// Fault that a caller injects.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(tag = "fault", rename_all = "snake_case", deny_unknown_fields)]
pub enum ServiceFault {
    /// Crashes: connections break and are refused; restarts after `down_ms` if given.
    Crash {
        /// Time until the restart.
        #[serde(default)]
        down_ms: Option<u64>,
    },
    /// Restarts a crashed server.
    Restart,
    /// Silences all existing connections permanently; new ones work.
    Silence,
    /// Blocks traffic in both directions.
    Hang {
        /// Whether the fault is switched on or off.
        on: bool,
    },
    /// Delays each call, half before and half after its effect.
    Slow {
        /// Added delay.
        delay_ms: u64,
    },
    /// Drops the answers of the next calls, which still run.
    LoseAnswers {
        /// Number of answers to drop.
        count: u32,
    },
    /// Sets whether the health check and all answers state that the server is leaving.
    Leaving {
        /// Whether the fault is switched on or off.
        on: bool,
    },
    /// States a limit on requests in all answers; takes any number all the same.
    Limit {
        /// Requests per second from all callers together; states none if absent.
        #[serde(default)]
        per_second: Option<f64>,
    },
    /// Turns the next requests away unrun and asks their callers for rest.
    TurnAway {
        /// Number of requests.
        count: u32,
        /// Time for which the caller is to send nothing.
        rest_ms: u64,
    },
}

/// Error of a call to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(snafu::Snafu)]
pub enum ServiceError {
    /// The connection was refused; the call did not run.
    #[snafu(display(
        "the server refused the connection; the call did not run, choose another one"
    ))]
    Refused,
    /// The connection broke; the call may have run.
    #[snafu(display("the connection broke; the call may have run"))]
    Broken,
}

#[derive(Debug)]
struct ServiceShared {
    core: ServiceCore,
    delay: time::Duration,
    leaving: bool,
    calls_while_leaving: u64,
    /// Number of this incarnation; calls that began in an earlier one fail.
    incarnation: u64,
}

/// Handle of a running server, shared between clones.
#[derive(Clone, Debug)]
pub struct ServiceHandle {
    shared: sync::Arc<sync::Mutex<ServiceShared>>,
    gate: gate::LinkGate,
    signals: signals::StatedSignals,
}

impl ServiceHandle {
    /// Creates a server.
    #[must_use]
    pub fn new(profile: ServiceProfile) -> Self {
        let shared = ServiceShared {
            core: ServiceCore::new(profile),
            delay: time::Duration::ZERO,
            leaving: false,
            calls_while_leaving: 0,
            incarnation: 0,
        };
        Self {
            shared: sync::Arc::new(sync::Mutex::new(shared)),
            gate: gate::LinkGate::default(),
            signals: signals::StatedSignals::default(),
        }
    }

    /// Runs a call.
    ///
    /// # Errors
    ///
    /// Only `Refused` proves that the call did not run.
    pub async fn call(&self, call: ServiceCall) -> Result<ServiceAnswer, ServiceError> {
        let silence_epoch = self.gate.state().silence_epoch;
        self.gate.pass(silence_epoch).await;
        if !self.gate.state().up {
            return Err(ServiceError::Refused);
        }
        let (incarnation, half) = self.begin();
        time::sleep(half).await;
        let answer = {
            let mut shared = self.lock();
            if shared.incarnation != incarnation {
                return Err(ServiceError::Broken);
            }
            shared.core.run(&call)
        };
        time::sleep(half).await;
        self.gate.pass(silence_epoch).await;
        let alive = self.lock().incarnation == incarnation;
        answer.filter(|_| alive).ok_or(ServiceError::Broken)
    }

    /// Returns whether the server's health check reports that it is leaving.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is refused.
    pub async fn leaving(&self) -> Result<bool, ServiceError> {
        self.gate.pass(self.gate.state().silence_epoch).await;
        if !self.gate.state().up {
            return Err(ServiceError::Refused);
        }
        Ok(self.lock().leaving)
    }

    /// Returns the run counts.
    #[must_use]
    pub fn counts(&self) -> RunCounts {
        self.lock().core.counts().clone()
    }

    /// Returns the number of calls received after the server announced that it is leaving.
    #[must_use]
    pub fn calls_while_leaving(&self) -> u64 {
        self.lock().calls_while_leaving
    }

    /// Returns the gate for connections to this server.
    #[must_use]
    pub const fn gate(&self) -> &gate::LinkGate {
        &self.gate
    }

    /// Returns what the server states in the headers of its answers.
    #[must_use]
    pub const fn signals(&self) -> &signals::StatedSignals {
        &self.signals
    }

    /// Injects or clears a fault.
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
            ServiceFault::Leaving { on } => {
                self.lock().leaving = on;
                self.signals.set_leaving(on);
            }
            ServiceFault::Limit { per_second } => self.signals.set_limit(per_second),
            ServiceFault::TurnAway { count, rest_ms } => {
                let rest = time::Duration::from_millis(rest_ms);
                self.signals.turn_away(count, rest);
            }
        }
    }

    /// Crashes the server: calls in progress break, new connections are refused.
    pub fn crash(&self) {
        self.lock().incarnation += 1;
        self.gate.set_up(false);
    }

    /// Restarts the server.
    pub fn restart(&self) {
        self.lock().leaving = false;
        self.signals.set_leaving(false);
        self.gate.set_up(true);
    }

    /// Returns the incarnation in which a call begins and half its duration.
    fn begin(&self) -> (u64, time::Duration) {
        let mut shared = self.lock();
        if shared.leaving {
            shared.calls_while_leaving += 1;
        }
        let latency = time::Duration::from_millis(shared.core.profile().latency_ms);
        (shared.incarnation, (latency + shared.delay) / 2)
    }

    fn lock(&self) -> sync::MutexGuard<'_, ServiceShared> {
        self.shared
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

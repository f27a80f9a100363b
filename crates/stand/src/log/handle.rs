//! In-process log that runs on the runtime's clock.

use std::sync;

use tokio::{sync as signal, time};

use super::{LogCore, LogError, LogProfile, LogRecord, ReadPage};
use crate::{gate, signals};

/// Maximum time that one read waits for records.
const MAX_WAIT: time::Duration = time::Duration::from_secs(30);

/// Fault that a caller injects.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(tag = "fault", rename_all = "snake_case", deny_unknown_fields)]
pub enum LogFault {
    /// Answers every call with an error.
    Outage {
        /// Whether the fault is switched on or off.
        on: bool,
    },
    /// Blocks traffic in both directions: callers wait.
    Hang {
        /// Whether the fault is switched on or off.
        on: bool,
    },
    /// Refuses connections.
    Refuse {
        /// Whether the fault is switched on or off.
        on: bool,
    },
    /// Silences all existing connections permanently; new ones work.
    Silence,
    /// Delays each call, half before and half after its effect.
    Slow {
        /// Added delay.
        delay_ms: u64,
    },
    /// Drops the answers of the next appends, which still take effect.
    LoseAnswers {
        /// Number of answers to drop.
        count: u32,
    },
    /// Drops old records, as retention would.
    DropBelow {
        /// Stream.
        stream: String,
        /// First retained offset.
        first: u64,
    },
    /// Comes back from an older copy: records appended since are lost, and their offsets are given
    /// out again.
    Restore {
        /// Age of the copy.
        age_ms: u64,
    },
    /// Shifts the log's own clock.
    ShiftClock {
        /// Shift in milliseconds; may be negative.
        shift_ms: i64,
    },
}

#[derive(Debug)]
struct LogShared {
    core: LogCore,
    delay: time::Duration,
}

/// Handle of a running log, shared between clones.
#[derive(Clone, Debug)]
pub struct LogHandle {
    shared: sync::Arc<sync::Mutex<LogShared>>,
    /// Notified on every append and fault.
    changed: sync::Arc<signal::Notify>,
    gate: gate::LinkGate,
    signals: signals::StatedSignals,
    origin: time::Instant,
}

impl LogHandle {
    /// Creates an empty log.
    #[must_use]
    pub fn new(profile: LogProfile) -> Self {
        let clock_ms = profile.clock_ms.unwrap_or_else(unix_ms);
        let shared = LogShared {
            core: LogCore::new(profile, clock_ms),
            delay: time::Duration::ZERO,
        };
        let signals = signals::StatedSignals::default();
        signals.set_era(shared.core.era());
        Self {
            signals,
            shared: sync::Arc::new(sync::Mutex::new(shared)),
            changed: sync::Arc::new(signal::Notify::new()),
            gate: gate::LinkGate::default(),
            origin: time::Instant::now(),
        }
    }

    /// Appends one record and returns its offset.
    ///
    /// # Errors
    ///
    /// `Outage` and `AnswerLost` don't prove that the append had no effect; all other errors do.
    pub async fn append(&self, stream: &str, body: bytes::Bytes) -> Result<u64, LogError> {
        let silence_epoch = self.connect().await?;
        let cost = time::Duration::from_millis(self.lock().core.profile().append_ms);
        self.spend_half(cost).await;
        let now = self.origin.elapsed();
        let outcome = self.lock().core.append(now, stream, body);
        self.changed.notify_waiters();
        self.spend_half(cost).await;
        self.gate.pass(silence_epoch).await;
        match outcome {
            Ok(outcome) if outcome.answer_lost || !self.gate.state().up => {
                Err(LogError::AnswerLost)
            }
            other => other.map(|outcome| outcome.offset),
        }
    }

    /// Reads at most `max` records from offset `from`; waits at most `wait` if there are none.
    ///
    /// # Errors
    ///
    /// Returns an error if the log is down or has dropped the requested offset.
    pub async fn read(
        &self,
        stream: &str,
        from: u64,
        max: usize,
        wait: time::Duration,
    ) -> Result<ReadPage, LogError> {
        let silence_epoch = self.connect().await?;
        let cost = time::Duration::from_millis(self.lock().core.profile().read_ms);
        self.spend_half(cost).await;
        let deadline = time::Instant::now() + wait.min(MAX_WAIT);
        let outcome = loop {
            let changed = self.changed.notified();
            let mut changed = std::pin::pin!(changed);
            changed.as_mut().enable();
            let now = self.origin.elapsed();
            let outcome = self.lock().core.read(now, stream, from, max);
            let waits = outcome.as_ref().is_ok_and(|page| page.records.is_empty());
            if !waits || !self.gate.state().up || time::timeout_at(deadline, changed).await.is_err()
            {
                break outcome;
            }
        };
        self.spend_half(cost).await;
        self.gate.pass(silence_epoch).await;
        if self.gate.state().up {
            outcome
        } else {
            Err(LogError::AnswerLost)
        }
    }

    /// Returns all retained records of a stream, for checkers.
    #[must_use]
    pub fn records(&self, stream: &str) -> Vec<LogRecord> {
        self.lock().core.records(stream).cloned().collect()
    }

    /// Returns the gate for connections to this log.
    #[must_use]
    pub const fn gate(&self) -> &gate::LinkGate {
        &self.gate
    }

    /// Returns what the log states in the headers of its answers.
    #[must_use]
    pub const fn signals(&self) -> &signals::StatedSignals {
        &self.signals
    }

    /// Injects or clears a fault.
    pub fn apply(&self, fault: &LogFault) {
        match fault {
            LogFault::Outage { on } => self.lock().core.set_outage(*on),
            LogFault::Hang { on } => self.gate.set_hanging(*on),
            LogFault::Refuse { on } => self.gate.set_up(!on),
            LogFault::Silence => self.gate.silence(),
            LogFault::Slow { delay_ms } => {
                self.lock().delay = time::Duration::from_millis(*delay_ms);
            }
            LogFault::LoseAnswers { count } => self.lock().core.lose_answers(*count),
            LogFault::DropBelow { stream, first } => self.lock().core.drop_below(stream, *first),
            LogFault::Restore { age_ms } => {
                let age = time::Duration::from_millis(*age_ms);
                let now = self.origin.elapsed();
                let mut shared = self.lock();
                shared.core.restore(now, age);
                self.signals.set_era(shared.core.era());
            }
            LogFault::ShiftClock { shift_ms } => self.lock().core.shift_clock(*shift_ms),
        }
        self.changed.notify_waiters();
    }

    async fn connect(&self) -> Result<u64, LogError> {
        let silence_epoch = self.gate.state().silence_epoch;
        self.gate.pass(silence_epoch).await;
        if self.gate.state().up {
            Ok(silence_epoch)
        } else {
            Err(LogError::Outage)
        }
    }

    async fn spend_half(&self, cost: time::Duration) {
        let delay = self.lock().delay;
        time::sleep((cost + delay) / 2).await;
    }

    fn lock(&self) -> sync::MutexGuard<'_, LogShared> {
        self.shared
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

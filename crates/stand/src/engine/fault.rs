//! Injected faults of an engine.

use std::{mem, time};

use base::id;

use super::{EngineCore, call};

/// Fault that a caller injects.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(tag = "fault", rename_all = "snake_case", deny_unknown_fields)]
pub enum EngineFault {
    /// Crashes and loses all state; restarts after `down_ms` if given.
    Crash {
        /// Time until the next incarnation starts.
        #[serde(default)]
        down_ms: Option<u64>,
    },
    /// Restarts a crashed engine.
    Restart,
    /// Stops all progress while streams stay open and deliver pings.
    Stall {
        /// Whether the fault is switched on or off.
        on: bool,
    },
    /// Silences all existing connections permanently; new ones work.
    Silence,
    /// Blocks traffic in both directions.
    Hang {
        /// Whether the fault is switched on or off.
        on: bool,
    },
    /// Makes each step take `factor` times as long.
    Slow {
        /// Multiplier of the step duration; 1 is normal speed.
        factor: f64,
    },
    /// Announces that the engine is reclaimed, then stops it permanently after `notice_ms`.
    Reclaim {
        /// Time from the notice to the stop.
        notice_ms: u64,
    },
    /// Cuts each newly opened stream after this many tokens; switched off if absent.
    Truncate {
        /// Number of tokens before the cut.
        #[serde(default)]
        after_tokens: Option<u32>,
    },
    /// Drops the answers of the next starts, cancellations and orders, which still take effect.
    LoseAnswers {
        /// Number of answers to drop.
        count: u32,
    },
    /// Sends malformed data in place of tokens on newly opened streams.
    Nonsense {
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

impl EngineCore {
    /// Crashes the engine; all its state is lost.
    pub fn crash(&mut self, now: time::Duration) {
        self.advance(now);
        self.die(now);
    }

    /// Crashes the engine at `now`; must already be advanced to `now`.
    pub(super) fn die(&mut self, now: time::Duration) {
        if self.down {
            return;
        }
        self.down = true;
        self.plan = None;
        self.events.push(call::EngineEvent::Crashed { at: now });
    }

    /// Restarts as a new incarnation without any state of the earlier one.
    pub fn restart(&mut self, now: time::Duration, incarnation: id::Incarnation) {
        let events = mem::take(&mut self.events);
        *self = Self::new(self.profile.clone(), incarnation, now);
        self.events = events;
    }

    /// Stops or resumes all progress, while calls are still answered.
    pub fn set_stalled(&mut self, now: time::Duration, stalled: bool) {
        self.advance(now);
        let resumes = self.stalled && !stalled;
        self.stalled = stalled;
        if !resumes || self.down {
            return;
        }
        match &mut self.plan {
            Some(plan) => plan.ends_at = plan.ends_at.max(now),
            None => self.begin_step(now),
        }
    }

    /// Multiplies the duration of each step by `factor`, starting with the next step.
    pub fn set_slow_factor(&mut self, now: time::Duration, factor: f64) {
        self.advance(now);
        self.slow_factor = factor.max(0.0);
    }

    /// Sets whether the engine announces that it is leaving.
    pub fn set_leaving(&mut self, now: time::Duration, leaving: bool) {
        self.advance(now);
        self.observe(now);
        self.leaving = leaving;
    }
}

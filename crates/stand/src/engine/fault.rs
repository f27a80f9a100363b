//! Faults of an engine that are switched on from outside.

use std::{mem, time};

use base::id;

use super::{EngineCore, call};

/// A fault that is switched on from outside.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(tag = "fault", rename_all = "snake_case", deny_unknown_fields)]
pub enum EngineFault {
    /// Dies with all it holds, and comes up again after `down_ms` if that is given.
    Crash {
        /// Time until another incarnation comes up.
        #[serde(default)]
        down_ms: Option<u64>,
    },
    /// Comes up again.
    Restart,
    /// Makes no progress while streams stay open and ping.
    Stall {
        /// Whether from now on or no more.
        on: bool,
    },
    /// Makes all connections of now silent for good; new ones work.
    Silence,
    /// Lets nothing through in either direction.
    Hang {
        /// Whether from now on or no more.
        on: bool,
    },
    /// Makes each step take `factor` times as long.
    Slow {
        /// 1 is usual.
        factor: f64,
    },
    /// Announces that it is reclaimed, and dies after `notice_ms` for good.
    Reclaim {
        /// Time from the notice to the end.
        notice_ms: u64,
    },
    /// Cuts every stream that is opened from now on, once it has carried this many tokens; absent: no more.
    Truncate {
        /// Tokens that a stream carries.
        #[serde(default)]
        after_tokens: Option<u32>,
    },
    /// Breaks the answers of the next starts, cancellations and orders, which take effect.
    LoseAnswers {
        /// How many.
        count: u32,
    },
    /// Sends nonsense in place of tokens, on streams that are opened from now on.
    Nonsense {
        /// Whether from now on or no more.
        on: bool,
    },
}

impl EngineCore {
    /// Dies: all that it held is lost.
    pub fn crash(&mut self, now: time::Duration) {
        self.advance(now);
        self.die(now);
    }

    /// Dies at `now`, up to which it has worked already.
    pub(super) fn die(&mut self, now: time::Duration) {
        if self.down {
            return;
        }
        self.down = true;
        self.plan = None;
        self.events.push(call::EngineEvent::Crashed { at: now });
    }

    /// Comes up again as another incarnation that knows nothing of the earlier one.
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

    /// Makes every step take `factor` times as long, from the next one on.
    pub fn set_slow_factor(&mut self, now: time::Duration, factor: f64) {
        self.advance(now);
        self.slow_factor = factor.max(0.0);
    }

    /// Announces that it will go.
    pub fn set_leaving(&mut self, now: time::Duration, leaving: bool) {
        self.advance(now);
        self.observe(now);
        self.leaving = leaving;
    }
}

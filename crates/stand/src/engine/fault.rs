//! Faults of an engine that are switched on from outside.

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

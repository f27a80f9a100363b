//! Why a request went where it went, waited or was refused: compact typed reasons for the time
//! line and `pollenctl explain`.

use std::{fmt, time};

use base::{id, refusal};

use crate::request;

/// What outweighed the other candidates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoiceCause {
    /// It was the only candidate.
    Only,
    /// Its predicted time to first token was the shortest.
    Soonest,
    /// It holds a prefix of the prompt.
    Prefix,
    /// Drawn at random among the near-best.
    Drawn,
    /// Nothing in the own failure domain had room.
    DomainSpill,
    /// Nothing in the own region had room.
    RegionSpill,
}

/// What a waiting request waits for. When servers lack different things, the greatest is told:
/// the one that comes nearest to having room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitCause {
    /// It did not wait.
    None,
    /// No server that serves the model is in health, or an earlier try went to each.
    Server,
    /// The engines' batches are full.
    Batch,
    /// Engine memory: admitting it would pass its class's bound on running out.
    Memory,
    /// Room was kept for urgent work.
    Headroom,
    /// There is room, but this entry VM has taken its share of it until the next report.
    Share,
    /// Its organisation had reached a limit.
    Limit,
}

/// Why a request went to its server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DispatchReason {
    /// What decided.
    pub cause: ChoiceCause,
    /// What it last waited for.
    pub wait: WaitCause,
    /// Time from its submission to this decision.
    pub waited: time::Duration,
    /// Servers that were compared.
    pub candidates: u16,
    /// Chance that the server runs out of memory with it, in thousandths.
    pub overflow_permille: u16,
    /// Predicted time to first token.
    pub first_token: time::Duration,
    /// Tokens of its prompt believed to be in the server's cache.
    pub cached_tokens: u32,
    /// Age of the report that the choice rests on.
    pub report_age: time::Duration,
}

impl fmt::Display for ChoiceCause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Only => "the only candidate",
            Self::Soonest => "soonest first token",
            Self::Prefix => "holds the prompt's prefix",
            Self::Drawn => "drawn among the near-best",
            Self::DomainSpill => "no room in the own failure domain",
            Self::RegionSpill => "no room in the own region",
        })
    }
}

impl fmt::Display for WaitCause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::None => "did not wait",
            Self::Memory => "waited for engine memory",
            Self::Batch => "waited for a place in a batch",
            Self::Share => "waited for its fair share",
            Self::Limit => "waited for its limit",
            Self::Headroom => "waited beside room kept for urgent work",
            Self::Server => "waited for a server of the model",
        })
    }
}

impl fmt::Display for DispatchReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}; {} ({} ms); overflow chance {} permille, {} tokens cached, report {} ms old",
            self.cause,
            self.wait,
            self.waited.as_millis(),
            self.overflow_permille,
            self.cached_tokens,
            self.report_age.as_millis(),
        )
    }
}

/// Why a request was refused. Nothing of it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// Its deadline passed, or cannot be met.
    Deadline,
    /// Its organisation is over its requests a second.
    RequestRate,
    /// Its organisation is over its generated tokens a second.
    TokenRate,
    /// Its organisation has its limit of generations at once.
    Concurrency,
    /// The queue of its class is full.
    QueueFull,
    /// No server serves the model.
    NoServer,
    /// It is larger than any engine's memory.
    TooLarge,
}

impl RefusalReason {
    /// The code that its caller is told.
    #[must_use]
    pub const fn code(self) -> refusal::RefusalCode {
        match self {
            Self::Deadline => refusal::RefusalCode::DeadlineExceeded,
            Self::RequestRate | Self::TokenRate | Self::Concurrency => {
                refusal::RefusalCode::RateLimited
            }
            Self::QueueFull => refusal::RefusalCode::Overloaded,
            Self::NoServer => refusal::RefusalCode::Unavailable,
            Self::TooLarge => refusal::RefusalCode::TooLarge,
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Deadline => {
                "no engine can start this before its deadline; ask again after the time given"
            }
            Self::RequestRate => {
                "the organisation is over its requests a second; slow down or raise the limit"
            }
            Self::TokenRate => {
                "the organisation is over its tokens a second; slow down or raise the limit"
            }
            Self::Concurrency => {
                "the organisation runs as many generations as it may; wait for one to end or \
                 raise the limit"
            }
            Self::QueueFull => "too much work of this class waits; ask again after the time given",
            Self::NoServer => "no engine serves this model now; ask again, or add an engine for it",
            Self::TooLarge => {
                "prompt and output together are larger than any engine's memory; shorten the \
                 prompt or lower max_tokens"
            }
        })
    }
}

/// Why a running generation is stopped to be started again later.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PreemptReason {
    /// Chance that the server runs out of memory if nothing is stopped, in thousandths.
    pub overflow_permille: u16,
    /// Tokens that are lost with it.
    pub lost_tokens: u32,
}

/// What the core wants done.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Start it on `server`.
    Dispatch {
        /// What to start.
        ticket: request::TicketKey,
        /// Where.
        server: id::ServerKey,
        /// Engine priority: 0 urgent, 1 normal, 2 deferrable.
        priority: u8,
        /// Why there, and why not earlier.
        reason: DispatchReason,
    },
    /// Refuse it; the ticket is gone.
    Refuse {
        /// What to refuse.
        ticket: request::TicketKey,
        /// Why.
        reason: RefusalReason,
        /// When asking again makes sense; absent when it does not.
        retry_after: Option<time::Duration>,
    },
    /// Cancel it on its server, then call [`crate::core::DispatchCore::requeued`].
    Preempt {
        /// What to stop.
        ticket: request::TicketKey,
        /// Where it runs.
        server: id::ServerKey,
        /// Why it and why now.
        reason: PreemptReason,
    },
}

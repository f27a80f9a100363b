//! Decisions and the reasons for them: compact typed reasons for dispatch, waiting and refusal,
//! shown in the timeline and by `pollenctl explain`.

use std::{fmt, time};

use base::{id, refusal};

use crate::request;

/// Main reason why a server was chosen over the other candidates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoiceCause {
    /// The server was the only candidate.
    Only,
    /// Its predicted time to first token was the shortest.
    Soonest,
    /// The server holds a prefix of the prompt.
    Prefix,
    /// The server was drawn at random among those with nearly the best score.
    Drawn,
    /// No server in the VM's own failure domain had free capacity.
    DomainSpill,
    /// No server in the VM's own region had free capacity.
    RegionSpill,
}

/// Resource that a waiting request waits for. If servers lack different resources, the greatest
/// value is reported: that of the server closest to having capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitCause {
    /// The request did not wait.
    None,
    /// All servers of the model are unhealthy or were used by an earlier attempt.
    Server,
    /// The engines' batches are full.
    Batch,
    /// Admission would exceed the class's bound on the chance of running out of engine memory.
    Memory,
    /// The free capacity is reserved for urgent work.
    Headroom,
    /// There is free capacity, but this entry VM has used up its share of it until the next report.
    Share,
    /// The organisation has reached a limit.
    Limit,
}

/// Reason for dispatching a request to its server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DispatchReason {
    /// Reason for the choice of the server.
    pub cause: ChoiceCause,
    /// Cause of the last wait of the request.
    pub wait_cause: WaitCause,
    /// Time from submission to dispatch.
    pub waited: time::Duration,
    /// Number of servers compared.
    pub candidates: u16,
    /// Probability that the server runs out of memory with this request, in thousandths.
    pub overflow_permille: u16,
    /// Predicted time to first token.
    pub first_token: time::Duration,
    /// Prompt tokens predicted to be in the server's cache.
    pub cached_tokens: u32,
    /// Age of the load report that the choice is based on.
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
            self.wait_cause,
            self.waited.as_millis(),
            self.overflow_permille,
            self.cached_tokens,
            self.report_age.as_millis(),
        )
    }
}

/// Reason for refusing a request. A refused request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The deadline has passed or cannot be met.
    Deadline,
    /// The organisation exceeds its limit of requests per second.
    RequestRate,
    /// The organisation exceeds its limit of generated tokens per second.
    TokenRate,
    /// The organisation has reached its limit of concurrent generations.
    Concurrency,
    /// The queue of the request's class is full.
    QueueFull,
    /// No server serves the model.
    NoServer,
    /// The request is larger than any engine's memory.
    TooLarge,
}

impl RefusalReason {
    /// Returns the refusal code sent to the caller.
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
                "no engine can start this request before its deadline; retry after the given time"
            }
            Self::RequestRate => {
                "the organisation exceeds its limit of requests per second; slow down or raise the limit"
            }
            Self::TokenRate => {
                "the organisation exceeds its limit of tokens per second; slow down or raise the limit"
            }
            Self::Concurrency => {
                "the organisation has reached its limit of concurrent generations; wait for one to \
                 end or raise the limit"
            }
            Self::QueueFull => {
                "the queue of this traffic class is full; retry after the given time"
            }
            Self::NoServer => "no engine serves this model now; retry, or add an engine for it",
            Self::TooLarge => {
                "prompt and output together exceed the memory of every engine; shorten the \
                 prompt or lower max_tokens"
            }
        })
    }
}

/// Reason for stopping a running generation, which is restarted later.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PreemptReason {
    /// Probability that the server runs out of memory without the preemption, in thousandths.
    pub overflow_permille: u16,
    /// Number of generated tokens that are lost.
    pub lost_tokens: u32,
}

/// Action that the core requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Starts a generation on `server`.
    Dispatch {
        /// Ticket of the generation.
        ticket: request::TicketKey,
        /// Server to use.
        server: id::ServerKey,
        /// Engine priority: 0 urgent, 1 normal, 2 deferrable.
        priority: u8,
        /// Reason for the choice of the server and for the wait before it.
        reason: DispatchReason,
    },
    /// Refuses a request. Its ticket has been removed.
    Refuse {
        /// Ticket of the request.
        ticket: request::TicketKey,
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Delay before a retry; `None` if a retry cannot succeed.
        retry_after: Option<time::Duration>,
    },
    /// Cancels a generation on its server; afterwards the caller calls
    /// [`crate::core::DispatchCore::requeued`].
    Preempt {
        /// Ticket of the generation.
        ticket: request::TicketKey,
        /// Server that runs the generation.
        server: id::ServerKey,
        /// Reason for the preemption.
        reason: PreemptReason,
    },
}

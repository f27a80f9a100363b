//! State of one request from its submission to its end.

use base::id;
use tokio::time;

use crate::{explain, length, request, risk};

/// Number of prompt tokens that cost as much as one generated token.
const PROMPT_TOKENS_PER_COST: f64 = 10.0;

/// State of a generation running on a server.
#[derive(Clone, Copy, Debug)]
pub struct RunState {
    /// Server that runs the generation.
    pub server: id::ServerKey,
    /// Index of the ticket in the server's `tickets`.
    pub index: usize,
    /// Time of the dispatch.
    pub started_at: time::Instant,
    /// Memory load counted for the generation in the server's view.
    pub load: risk::MemoryLoad,
    /// Number of tokens received.
    pub produced: u32,
    /// Value of `produced` when `load` was last computed.
    pub load_produced: u32,
    /// Arrival time of the latest token; until the first token, the time of the dispatch.
    pub last_token_at: time::Instant,
    /// Prompt tokens predicted to be in the server's cache.
    pub predicted_cached: u32,
    /// Prompt tokens counted as still to be prefilled.
    pub prefill: f32,
    /// Whether its preemption has been requested.
    pub stopping: bool,
}

/// State of one request.
#[derive(Clone, Debug)]
pub struct TicketState {
    /// Submitted request.
    pub request: request::GenerationRequest,
    /// Key of the organisation's histogram; may be stale.
    pub histogram: length::HistogramKey,
    /// Time of the submission.
    pub submitted_at: time::Instant,
    /// Time at which the request was first at the front of its queue and no server had capacity.
    pub blocked_at: Option<time::Instant>,
    /// Cause of the last wait of the request.
    pub wait_cause: explain::WaitCause,
    /// Expected number of output tokens.
    pub expected: f32,
    /// State on its server; `None` while the request waits.
    pub run: Option<RunState>,
}

impl TicketState {
    /// Returns the estimated cost of the request in generated tokens.
    #[must_use]
    pub fn cost(&self) -> f64 {
        f64::from(self.request.prompt_tokens) / PROMPT_TOKENS_PER_COST + f64::from(self.expected)
    }

    /// Returns the source of length predictions for the request.
    #[must_use]
    pub fn source(&self) -> length::LengthSource {
        length::LengthSource {
            organisation: self.request.organisation,
            model: self.request.model,
            class: self.request.class,
        }
    }

    /// Returns whether the generation may be stopped and restarted: its caller has received none of
    /// its tokens.
    #[must_use]
    pub fn restartable(&self) -> bool {
        let silent = self.run.is_some_and(|run| run.produced == 0);
        self.request.buffered || silent
    }
}

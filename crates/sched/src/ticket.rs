//! What the core knows of one request from its submission to its end.

use base::id;
use tokio::time;

use crate::{explain, length, request, risk};

/// Tokens of prompt that cost as much as one generated token.
const PROMPT_TOKENS_PER_COST: f64 = 10.0;

/// A generation on a server.
#[derive(Clone, Copy, Debug)]
pub struct RunState {
    /// Where it runs.
    pub server: id::ServerKey,
    /// Its index in the server's list.
    pub index: usize,
    /// When it was dispatched.
    pub started_at: time::Instant,
    /// What is summed for it in the server's view.
    pub load: risk::MemoryLoad,
    /// Tokens that arrived.
    pub produced: u32,
    /// Tokens that had arrived when `load` was last worked out.
    pub load_produced: u32,
    /// When the newest of them arrived.
    pub last_token_at: time::Instant,
    /// Prompt tokens that were predicted_cached to be in the server's cache.
    pub predicted_cached: u32,
    /// Prompt tokens that were summed as still to be taken in.
    pub prefill: f32,
    /// Whether it was told to stop.
    pub stopping: bool,
}

/// One request.
#[derive(Clone, Debug)]
pub struct TicketState {
    /// What was asked.
    pub request: request::GenerationRequest,
    /// The organisation's histogram; may be stale.
    pub histogram: length::HistogramKey,
    /// When it was submitted.
    pub submitted_at: time::Instant,
    /// When it first was the next to be served and found no room.
    pub blocked_at: Option<time::Instant>,
    /// What it last waited for.
    pub wait: explain::WaitCause,
    /// Output tokens that it is expected to bring.
    pub expected: f32,
    /// Where it runs; absent while it waits.
    pub run: Option<RunState>,
}

impl TicketState {
    /// What serving it is reckoned to cost, in generated tokens.
    #[must_use]
    pub fn cost(&self) -> f64 {
        f64::from(self.request.prompt_tokens) / PROMPT_TOKENS_PER_COST + f64::from(self.expected)
    }

    /// Whose lengths to go by.
    #[must_use]
    pub fn source(&self) -> length::LengthSource {
        length::LengthSource {
            organisation: self.request.organisation,
            model: self.request.model,
            class: self.request.class,
        }
    }

    /// Whether it may be stopped and started again: no token of it has left for its caller.
    #[must_use]
    pub fn restartable(&self) -> bool {
        let silent = self.run.is_some_and(|run| run.produced == 0);
        self.request.buffered || silent
    }
}

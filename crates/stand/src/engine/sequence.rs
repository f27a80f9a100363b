//! State of one generation inside an engine.

use std::time;

use base::{id, prefix};

use super::{call, profile, text};
use crate::draw;

slotmap::new_key_type! {
    /// Key of one generation in one engine's arena.
    pub struct SequenceKey;
}

/// Queue order: by priority, then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueRank {
    /// 0 is served first.
    pub priority: u8,
    /// Arrival number.
    pub arrival: u64,
}

/// Phase of a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SequencePhase {
    /// In the queue; holds no blocks.
    Waiting,
    /// In the batch, with this many tokens still to prefill; 0 means that it decodes.
    Running {
        /// Tokens to prefill.
        prefill_left: u32,
    },
    /// Ended; holds no blocks.
    Ended,
}

/// State of one generation.
#[derive(Clone, Debug)]
pub struct Sequence {
    /// Id of the generation.
    pub id: id::GenerationId,
    /// Rank in the queue and in the batch.
    pub rank: QueueRank,
    /// Model used.
    pub model: String,
    /// Adapter used.
    pub adapter: Option<String>,
    /// Current phase.
    pub phase: SequencePhase,
    /// Hashes of the prompt's full blocks.
    pub chain: Vec<u64>,
    /// Tokens of the prompt; at least 1.
    pub prompt_tokens: u32,
    /// Number of output tokens at its regular end; at least 1.
    pub target: u32,
    /// Finish reason at its regular end.
    pub reason: call::FinishReason,
    /// Tokens produced; never decreases.
    pub produced: u32,
    /// Prompt tokens found in the cache at the first prefill.
    pub cached_tokens: u32,
    /// Whether any part of it ran.
    pub ran: bool,
    /// Number of preemptions.
    pub preempted: u32,
    /// Number of private blocks.
    pub private: u32,
    /// Held cached blocks, in prompt order.
    pub held: Vec<u64>,
    /// Whether running it crashes the engine.
    pub crashes: bool,
    /// Mark of the prompt.
    pub mark: Option<u32>,
    /// Set once the generation has ended.
    pub finish: Option<call::FinishReport>,
    /// Time at which the generation ended.
    pub ended_at: time::Duration,
}

impl Sequence {
    /// Creates the waiting generation that `call` requests.
    #[must_use]
    pub fn new(call: &call::StartCall, arrival: u64, profile: &profile::EngineProfile) -> Self {
        let prompt_tokens = (call.prompt.split_whitespace().count() as u32).max(1);
        let max_output = profile.context_tokens.saturating_sub(prompt_tokens);
        let limit = call.max_tokens.min(max_output).max(1);
        let drawn = output_tokens(call, profile);
        let reason = if drawn <= limit {
            call::FinishReason::Stop
        } else {
            call::FinishReason::Length
        };
        Self {
            id: call.id,
            rank: QueueRank {
                priority: call.priority,
                arrival,
            },
            model: call.model.clone(),
            adapter: call.adapter.clone(),
            phase: SequencePhase::Waiting,
            chain: prefix::chain(
                &call.model,
                call.adapter.as_deref(),
                &call.prompt,
                profile.block_tokens,
            ),
            prompt_tokens,
            target: drawn.min(limit),
            reason,
            produced: 0,
            cached_tokens: 0,
            ran: false,
            preempted: 0,
            private: 0,
            held: Vec::new(),
            crashes: text::directive(&call.prompt, "crash").is_some(),
            mark: text::directive(&call.prompt, "mark")
                .and_then(|mark| u32::from_str_radix(mark, 16).ok()),
            finish: None,
            ended_at: time::Duration::ZERO,
        }
    }

    /// Returns the number of tokens whose keys and values must be in memory.
    #[must_use]
    pub const fn context(&self) -> u32 {
        self.prompt_tokens + self.produced
    }

    /// Returns the number of blocks held.
    #[must_use]
    pub fn blocks(&self) -> u32 {
        self.private + self.held.len() as u32
    }

    /// Returns the progress.
    #[must_use]
    pub const fn progress(&self) -> call::GenerationProgress {
        call::GenerationProgress {
            produced: self.produced,
            finish: self.finish,
            mark: self.mark,
        }
    }

    /// Builds the final report for an end with `finish`.
    #[must_use]
    pub const fn report(&self, finish: call::FinishReason) -> call::FinishReport {
        call::FinishReport {
            finish,
            produced: self.produced,
            prompt_tokens: self.prompt_tokens,
            cached_tokens: self.cached_tokens,
            preempted: self.preempted,
        }
    }
}

/// Output length, which callers can't know in advance: set by a directive or derived from the seed.
fn output_tokens(call: &call::StartCall, profile: &profile::EngineProfile) -> u32 {
    if let Some(Ok(tokens)) = text::directive(&call.prompt, "len").map(str::parse::<u32>) {
        return tokens.max(1);
    }
    let seed = call.seed.unwrap_or_else(|| draw::bits(0, call.id.0 as u64));
    let tokens = draw::lognormal(seed, profile.output_median_tokens, profile.output_sigma);
    (tokens.round() as u32).max(1)
}

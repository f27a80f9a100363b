//! Requests, answers and events of an engine, in their wire format.

use std::time;

use base::id;

/// Body of `POST /v1/generations`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct StartCall {
    /// Id of the generation, chosen by the caller.
    pub id: id::GenerationId,
    /// Model that must be loaded.
    pub model: String,
    /// Adapter that must be loaded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// Words; each is one token. `[[len=N]]` sets the output length, `[[mark=<hexadecimal>]]` is
    /// repeated in every token, `[[crash]]` kills the engine.
    pub prompt: String,
    /// Maximum number of output tokens.
    pub max_tokens: u32,
    /// 0 urgent, 1 normal, 2 deferrable.
    pub priority: u8,
    /// Seed of the output length; defaults to the id.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed: Option<u64>,
}

/// Reason why a generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The output was complete.
    Stop,
    /// The output reached `max_tokens` or the limit of the engine's memory.
    Length,
    /// The generation was cancelled.
    Cancelled,
    /// The engine aborted the generation, for instance because its model was unloaded.
    Error,
}

/// Last event of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct FinishReport {
    /// Reason why the generation ended.
    pub finish: FinishReason,
    /// Number of tokens produced, numbered 0 to `produced - 1`.
    pub produced: u32,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens found in the prefix cache at the first prefill.
    pub cached_tokens: u32,
    /// Number of preemptions, each followed by recomputation.
    pub preempted: u32,
}

/// Progress of a generation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GenerationProgress {
    /// Tokens produced.
    pub produced: u32,
    /// Set once the generation has ended.
    pub finish: Option<FinishReport>,
    /// Mark of the prompt, repeated in each token.
    pub mark: Option<u32>,
}

/// Event in an engine; events are emitted in order of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// A generation left the queue for the batch.
    Admitted {
        /// Id of the generation.
        id: id::GenerationId,
        /// Time of the event.
        at: time::Duration,
    },
    /// A generation was preempted and is queued again.
    Preempted {
        /// Id of the generation.
        id: id::GenerationId,
        /// Time of the event.
        at: time::Duration,
    },
    /// A token was produced.
    Token {
        /// Id of the generation.
        id: id::GenerationId,
        /// Number of the token, from 0.
        seq: u32,
        /// Time of the event.
        at: time::Duration,
    },
    /// A generation ended.
    Finished {
        /// Id of the generation.
        id: id::GenerationId,
        /// Final report.
        report: FinishReport,
        /// Time of the event.
        at: time::Duration,
    },
    /// An ended generation was forgotten and can't be resumed any more.
    Forgotten {
        /// Id of the generation.
        id: id::GenerationId,
    },
    /// The engine crashed and lost all its generations.
    Crashed {
        /// Time of the event.
        at: time::Duration,
    },
}

/// Answer to a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelAnswer {
    /// The generation is known and produces no more tokens.
    Known {
        /// Whether any part of it ran.
        ran: bool,
        /// Tokens produced.
        produced: u32,
    },
    /// The id is unknown, and a later start with it is refused. The generation may still have run
    /// in an earlier incarnation, or before the retention time of ended generations.
    Remembered,
}

/// A loaded model.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct LoadedModel {
    /// Name of the model.
    pub model: String,
    /// Version of the model.
    pub version: String,
    /// Loaded adapters of the model.
    pub adapters: Vec<String>,
}

/// State that an order requests of the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct WantedState {
    /// Model.
    pub model: String,
    /// Version of the model.
    pub version: String,
    /// Adapters of the model; others are unloaded.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Role.
    pub role: String,
}

/// Body of `POST /v1/orders`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct OrderCall {
    /// Fencing number of the sender.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fencing: Option<u64>,
    /// Requested state.
    pub want: WantedState,
    /// Maximum age of the order; an older one is refused.
    pub within_ms: u64,
}

/// Answer of `GET /v1/state` and of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct EngineState {
    /// Incarnation of the process.
    pub incarnation: id::Incarnation,
    /// Loaded models.
    pub models: Vec<LoadedModel>,
    /// Role of the engine.
    pub role: String,
    /// State that is being loaded, if any.
    pub loading: Option<WantedState>,
    /// Newest fencing number seen, recorded even if the engine doesn't check fencing numbers.
    pub fencing: Option<u64>,
    /// Whether the engine has announced that it is leaving.
    pub leaving: bool,
}

/// Answer of `GET /v1/load`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct LoadReport {
    /// Incarnation of the process.
    pub incarnation: id::Incarnation,
    /// Age of the values below.
    pub taken_ms_ago: u64,
    /// KV cache blocks.
    pub total_blocks: u32,
    /// Blocks that no running generation holds.
    pub free_blocks: u32,
    /// Tokens in one block.
    pub block_tokens: u32,
    /// Generations in the batch.
    pub running: u32,
    /// Generations in the queue.
    pub waiting: u32,
    /// Preemptions since the start of the process.
    pub preemptions: u64,
    /// Loaded models.
    pub models: Vec<LoadedModel>,
    /// Role of the engine.
    pub role: String,
    /// Whether the engine has announced that it is leaving.
    pub leaving: bool,
}

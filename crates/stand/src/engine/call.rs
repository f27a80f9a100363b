//! What goes into an engine and what comes out, as on the wire.

use std::time;

use base::id;

/// Body of `POST /v1/generations`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct StartCall {
    /// Name of the generation, drawn by the caller.
    pub id: id::GenerationId,
    /// Model that must be loaded.
    pub model: String,
    /// Adapter that must be loaded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// Words; each is one token. `[[len=N]]` sets the output length, `[[mark=<hexadecimal>]]` is
    /// repeated in every token, `[[crash]]` kills the engine.
    pub prompt: String,
    /// Output tokens at the most.
    pub max_tokens: u32,
    /// 0 urgent, 1 normal, 2 deferrable.
    pub priority: u8,
    /// Seed of the output length; the id stands in when it is absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed: Option<u64>,
}

/// Why a generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// It was complete.
    Stop,
    /// It came to `max_tokens`, or to the end of the engine's memory.
    Length,
    /// Somebody cancelled it.
    Cancelled,
    /// The engine gave it up, for instance because its model was unloaded.
    Error,
}

/// Last event of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct FinishReport {
    /// Why it ended.
    pub finish: FinishReason,
    /// Tokens produced in all; their numbers are 0 to `produced - 1`.
    pub produced: u32,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Of these, those found in the prefix cache at the first prefill.
    pub cached_tokens: u32,
    /// Times that its memory was taken away and worked out again.
    pub preempted: u32,
}

/// How far a generation is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GenerationProgress {
    /// Tokens produced.
    pub produced: u32,
    /// Set when it has ended.
    pub finish: Option<FinishReport>,
    /// The mark of its prompt, which each token carries.
    pub mark: Option<u32>,
}

/// What happened in an engine, in the order of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// A generation left the queue for the batch.
    Admitted {
        /// Which.
        id: id::GenerationId,
        /// When.
        at: time::Duration,
    },
    /// A generation lost its memory and is queued again.
    Preempted {
        /// Which.
        id: id::GenerationId,
        /// When.
        at: time::Duration,
    },
    /// A token was produced.
    Token {
        /// Of which generation.
        id: id::GenerationId,
        /// Its number, from 0.
        seq: u32,
        /// When.
        at: time::Duration,
    },
    /// A generation ended.
    Finished {
        /// Which.
        id: id::GenerationId,
        /// How.
        report: FinishReport,
        /// When.
        at: time::Duration,
    },
    /// An ended generation can't be resumed any more.
    Forgotten {
        /// Which.
        id: id::GenerationId,
    },
    /// The engine died, with all that it held.
    Crashed {
        /// When.
        at: time::Duration,
    },
}

/// Answer to a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelAnswer {
    /// The generation is known and won't produce any more.
    Known {
        /// Whether any part of it ran.
        ran: bool,
        /// Tokens produced.
        produced: u32,
    },
    /// The id isn't known, and a start of it that comes late is refused. Whether it ran once, in an
    /// earlier life or longer ago than generations are kept, isn't known either.
    Remembered,
}

/// A model as the engine has it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct LoadedModel {
    /// Its name.
    pub model: String,
    /// Its version.
    pub version: String,
    /// Adapters beside it.
    pub adapters: Vec<String>,
}

/// What an order wants the engine to be.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct WantedState {
    /// Model.
    pub model: String,
    /// Its version.
    pub version: String,
    /// Adapters beside it; others are unloaded.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Role.
    pub role: String,
}

/// Body of `POST /v1/orders`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct OrderCall {
    /// The giver's fencing number.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fencing: Option<u64>,
    /// What is wanted.
    pub want: WantedState,
    /// An order older than this is refused.
    pub within_ms: u64,
}

/// Answer of `GET /v1/state` and of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct EngineState {
    /// This life of the process.
    pub incarnation: id::Incarnation,
    /// What is loaded.
    pub models: Vec<LoadedModel>,
    /// Its role.
    pub role: String,
    /// What is being loaded.
    pub loading: Option<WantedState>,
    /// The newest fencing number that it saw, also when it doesn't check them.
    pub fencing: Option<u64>,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Answer of `GET /v1/load`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct LoadReport {
    /// This life of the process.
    pub incarnation: id::Incarnation,
    /// Age of all that follows.
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
    /// What is loaded.
    pub models: Vec<LoadedModel>,
    /// Its role.
    pub role: String,
    /// Whether it is leaving.
    pub leaving: bool,
}

//! Errors of an engine.

use base::id;

/// Error of an engine call. Every variant except `AnswerLost` proves that the call had no effect.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum EngineError {
    /// The process is down and the connection was refused.
    #[snafu(display("the engine is down; choose another one"))]
    Down,
    /// The generation is running, ended recently or was cancelled.
    #[snafu(display(
        "generation {id} is known here (running, ended or cancelled); resume it, or draw a new id"
    ))]
    Known {
        /// Id of the generation.
        id: id::GenerationId,
    },
    /// The engine doesn't hold the generation.
    #[snafu(display("generation {id} is not held here; start it with a new id"))]
    NotHeld {
        /// Id of the generation.
        id: id::GenerationId,
    },
    /// The model or the adapter isn't loaded.
    #[snafu(display("{name} is not loaded here; choose an engine whose load report names it"))]
    NotLoaded {
        /// Name of the model or adapter.
        name: String,
    },
    /// The prompt exceeds the engine's limit.
    #[snafu(display("the prompt has {tokens} tokens and {limit} fit here; shorten it"))]
    TooLong {
        /// Tokens of the prompt.
        tokens: u32,
        /// Maximum number of tokens.
        limit: u32,
    },
    /// The order's fencing number is outdated.
    #[snafu(display("fencing number {got} is older than {newest}; read the lease again"))]
    OldFencing {
        /// Fencing number of the order.
        got: u64,
        /// Newest fencing number seen.
        newest: u64,
    },
    /// The order arrived after its time limit.
    #[snafu(display(
        "the order arrived {late_ms} ms after its time limit; send it again if the lease is still held"
    ))]
    LateOrder {
        /// Time past the limit.
        late_ms: u64,
    },
    /// The call took effect but its answer was lost, so the caller can't know the outcome.
    #[snafu(display("the answer was lost; cancel the generation, or read the state back"))]
    AnswerLost,
}

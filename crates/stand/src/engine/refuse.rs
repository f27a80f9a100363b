//! Why an engine says no.

use base::id;

/// What an engine refuses. Each but `AnswerLost` proves that the call took no effect.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum EngineError {
    /// The process is dead: the connection was refused.
    #[snafu(display("the engine is down; choose another one"))]
    Down,
    /// The id is running, ended lately or was cancelled.
    #[snafu(display(
        "generation {id} is known here (running, ended or cancelled); resume it, or draw a new id"
    ))]
    Known {
        /// Which.
        id: id::GenerationId,
    },
    /// The id isn't held.
    #[snafu(display("generation {id} is not held here; start it with a new id"))]
    NotHeld {
        /// Which.
        id: id::GenerationId,
    },
    /// The model or the adapter isn't loaded.
    #[snafu(display("{name} is not loaded here; choose an engine whose load report names it"))]
    NotLoaded {
        /// Which.
        name: String,
    },
    /// The prompt can never fit.
    #[snafu(display("the prompt has {tokens} tokens and {limit} fit here; shorten it"))]
    TooLong {
        /// Tokens of the prompt.
        tokens: u32,
        /// Tokens that fit.
        limit: u32,
    },
    /// The order's fencing number is old.
    #[snafu(display("fencing number {got} is older than {newest}; read the lease again"))]
    OldFencing {
        /// The number that came.
        got: u64,
        /// The newest one seen.
        newest: u64,
    },
    /// The order took too long to arrive.
    #[snafu(display(
        "the order came {late_ms} ms after its time limit; give it again if the lease still holds"
    ))]
    LateOrder {
        /// Time past its limit.
        late_ms: u64,
    },
    /// The call took effect and its answer was lost: its caller can't know.
    #[snafu(display("the answer was lost; cancel the generation, or read the state back"))]
    AnswerLost,
}

//! Bodies that callers send and read, in the shape of the field's client libraries.

use std::net;

use crate::arrival;

/// A request for a chat completion.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct ChatRequest {
    model: String,
    messages: [ChatMessage; 1],
    max_tokens: u32,
    stream: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    stream_options: Option<StreamOptions>,
}

#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
struct StreamOptions {
    include_usage: bool,
}

/// One message of a chat.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ChatMessage {
    role: String,
    /// Its text.
    #[serde(default)]
    pub content: String,
}

impl ChatRequest {
    /// The request for `generation` by a caller of `organisation`.
    #[must_use]
    pub fn of(organisation: &str, generation: &arrival::PlannedGeneration) -> Self {
        let stream = generation.delivery == arrival::CallDelivery::Streamed;
        Self {
            model: generation.model.clone(),
            messages: [ChatMessage {
                role: "user".into(),
                content: arrival::prompt_text(organisation, generation),
            }],
            max_tokens: generation.max_tokens,
            stream,
            stream_options: stream.then_some(StreamOptions {
                include_usage: true,
            }),
        }
    }
}

/// A whole chat completion.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
pub struct ChatAnswer {
    /// Exactly one choice is asked for.
    pub choices: Vec<ChatChoice>,
}

/// One choice of a whole completion.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
pub struct ChatChoice {
    /// The answer.
    pub message: ChatMessage,
}

/// One event of a streamed completion.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
pub struct ChatChunk {
    /// Empty in the chunk that carries the usage.
    #[serde(default)]
    pub choices: Vec<ChunkChoice>,
    /// What the system adds.
    #[serde(default)]
    pub pollenchute: ChunkExtra,
    /// Present when the stream ends early.
    #[serde(default)]
    pub error: Option<base::refusal::RefusalBody>,
}

/// One choice of a chunk.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
pub struct ChunkChoice {
    /// What the chunk adds.
    #[serde(default)]
    pub delta: ChunkDelta,
}

/// What a chunk adds to the answer.
#[derive(Clone, Debug, Default)]
#[derive(serde::Deserialize)]
pub struct ChunkDelta {
    /// Text of the token.
    #[serde(default)]
    pub content: Option<String>,
}

/// What the system adds to a chunk.
#[derive(Clone, Debug, Default)]
#[derive(serde::Deserialize)]
pub struct ChunkExtra {
    /// Number of the token that the chunk carries; the first token is number 0.
    #[serde(default)]
    pub index: Option<u32>,
    /// Path where another entry VM continues the stream that ends here.
    #[serde(default, rename = "continue")]
    pub handover: Option<String>,
}

/// The answer of `/v1/entries`.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
pub struct EntriesAnswer {
    /// Entry VMs for this organisation, in order.
    pub entries: Vec<EntryAddress>,
    /// How long to keep the answer.
    pub keep_ms: u64,
}

/// One entry VM as callers are told it.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
pub struct EntryAddress {
    /// Where to connect.
    pub address: net::SocketAddr,
}

/// The outcome of accepted work as `/v1/requests/<id>` gives it.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
pub struct AcceptedWork {
    /// The whole answer once it is there.
    #[serde(default)]
    pub choices: Option<Vec<ChatChoice>>,
    /// The refusal when it could not be had.
    #[serde(default)]
    pub error: Option<base::refusal::RefusalBody>,
}

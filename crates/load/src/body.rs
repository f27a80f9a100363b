//! Request and response bodies of callers, in the format of the common client libraries.

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
    /// Text of the message.
    #[serde(default)]
    pub content: String,
}

impl ChatRequest {
    /// Builds the request for `generation` by a caller of `organisation`.
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

/// A complete chat completion.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
pub struct ChatAnswer {
    /// Choices; callers request exactly one.
    pub choices: Vec<ChatChoice>,
}

/// One choice of a complete chat completion.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
pub struct ChatChoice {
    /// Message with the answer.
    pub message: ChatMessage,
}

/// One event of a streamed completion.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
pub struct ChatChunk {
    /// Choices; empty in the chunk that carries the usage.
    #[serde(default)]
    pub choices: Vec<ChunkChoice>,
    /// Extension fields of the system.
    #[serde(default)]
    pub pollenchute: ChunkExtra,
    /// Error; present when the stream ends early.
    #[serde(default)]
    pub error: Option<base::refusal::RefusalBody>,
}

/// One choice of a chunk.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
pub struct ChunkChoice {
    /// Addition to the answer.
    #[serde(default)]
    pub delta: ChunkDelta,
}

/// Addition of one chunk to the answer.
#[derive(Clone, Debug, Default)]
#[derive(serde::Deserialize)]
pub struct ChunkDelta {
    /// Text of the token.
    #[serde(default)]
    pub content: Option<String>,
}

/// Extension fields that the system adds to a chunk.
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

/// Response of `/v1/entries`.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
pub struct EntriesAnswer {
    /// Entry VMs for this organisation, in order of preference.
    pub entries: Vec<EntryAddress>,
    /// Time for which the caller may cache the response.
    pub keep_ms: u64,
}

/// One entry VM in the response of `/v1/entries`.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
pub struct EntryAddress {
    /// Address to connect to.
    pub address: net::SocketAddr,
}

/// Outcome of accepted work, as returned by `/v1/requests/<id>`.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
pub struct AcceptedWork {
    /// Complete answer; absent until the work has finished.
    #[serde(default)]
    pub choices: Option<Vec<ChatChoice>>,
    /// Refusal; present when the work failed.
    #[serde(default)]
    pub error: Option<base::refusal::RefusalBody>,
}

//! Bodies of generation requests in the format of common client libraries.

use std::fmt::Write as _;

use base::fingerprint;
use snafu::{ResultExt as _, Snafu};

/// Error in a request body.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The body is not JSON of the expected shape.
    #[snafu(display("the request body is malformed: {source}; correct it"))]
    Malformed {
        /// Error of the parser, with line and column.
        source: serde_json::Error,
    },
    /// The prompt is empty.
    #[snafu(display("the request body has no text in `{field}`; send at least one"))]
    Empty {
        /// Name of the empty field.
        field: String,
    },
    /// More than one answer was requested.
    #[snafu(display("`n` is {count}; send one request per answer"))]
    MultipleChoices {
        /// Number of answers requested.
        count: u32,
    },
    /// The limit of tokens is 0.
    #[snafu(display("`max_tokens` is 0; send at least 1, or omit it"))]
    ZeroMaxTokens,
}

/// Completion API that a caller used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompletionApi {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Completion,
}

/// Parsed body of a generation request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GenerationBody {
    /// API of the request; the answer uses the format of the same API.
    pub api: CompletionApi,
    /// Model as named by the caller: `model` or `model:adapter`.
    pub model: String,
    /// Complete prompt.
    pub prompt: String,
    /// Maximum number of tokens to produce; `None`: what the model's context leaves.
    pub max_tokens: Option<u32>,
    /// Sampling seed.
    pub seed: Option<u64>,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether a streamed answer ends with a separate usage chunk.
    pub include_usage: bool,
}

#[derive(serde::Deserialize)]
struct RawBody {
    model: String,
    #[serde(default)]
    messages: Vec<RawMessage>,
    #[serde(default)]
    prompt: Option<RawPrompt>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    seed: Option<i64>,
    #[serde(default)]
    n: Option<u32>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    stream_options: Option<RawStreamOptions>,
}

#[derive(serde::Deserialize)]
struct RawStreamOptions {
    #[serde(default)]
    include_usage: bool,
}

#[derive(serde::Deserialize)]
struct RawMessage {
    role: String,
    #[serde(default)]
    content: Option<RawContent>,
}

#[derive(serde::Deserialize)]
#[serde(untagged)]
enum RawContent {
    Text(String),
    Parts(Vec<RawPart>),
}

#[derive(serde::Deserialize)]
struct RawPart {
    #[serde(default)]
    text: String,
}

#[derive(serde::Deserialize)]
#[serde(untagged)]
enum RawPrompt {
    Text(String),
    Texts(Vec<String>),
}

impl GenerationBody {
    /// Parses a body. Unknown fields are ignored, since clients send many.
    ///
    /// # Errors
    ///
    /// Returns a [`BodyError`] that states the problem and how to correct it.
    pub fn parse(api: CompletionApi, body: &[u8]) -> Result<Self, BodyError> {
        let raw: RawBody = serde_json::from_slice(body).context(MalformedSnafu)?;
        let count = raw.n.unwrap_or(1);
        snafu::ensure!(count == 1, MultipleChoicesSnafu { count });
        let max_tokens = raw.max_completion_tokens.or(raw.max_tokens);
        snafu::ensure!(max_tokens != Some(0), ZeroMaxTokensSnafu);
        let prompt = match api {
            CompletionApi::Chat => chat_prompt(&raw.messages)?,
            CompletionApi::Completion => plain_prompt(raw.prompt)?,
        };
        Ok(Self {
            api,
            model: raw.model,
            prompt,
            max_tokens,
            seed: raw.seed.map(i64::cast_unsigned),
            stream: raw.stream.unwrap_or(false),
            include_usage: raw
                .stream_options
                .is_some_and(|options| options.include_usage),
        })
    }

    /// Fingerprint of the engine's input; a repeated request has the same one.
    #[must_use]
    pub fn fingerprint(&self) -> fingerprint::ContentHash {
        fingerprint::ContentHash::of_parts(&[self.model.as_bytes(), self.prompt.as_bytes()])
    }
}

/// Renders one line per message, followed by the start of the answer.
fn chat_prompt(messages: &[RawMessage]) -> Result<String, BodyError> {
    let mut prompt = String::new();
    let mut has_text = false;
    for message in messages {
        let _ = write!(prompt, "{}: ", message.role);
        match &message.content {
            Some(RawContent::Text(text)) => {
                has_text |= !text.is_empty();
                prompt.push_str(text);
            }
            Some(RawContent::Parts(parts)) => {
                for part in parts {
                    has_text |= !part.text.is_empty();
                    prompt.push_str(&part.text);
                }
            }
            None => {}
        }
        prompt.push('\n');
    }
    snafu::ensure!(has_text, EmptySnafu { field: "messages" });
    prompt.push_str("assistant:");
    Ok(prompt)
}

fn plain_prompt(raw: Option<RawPrompt>) -> Result<String, BodyError> {
    let prompt = match raw {
        Some(RawPrompt::Text(text)) => text,
        Some(RawPrompt::Texts(texts)) if texts.len() == 1 => texts.concat(),
        Some(RawPrompt::Texts(texts)) if texts.len() > 1 => {
            let count = u32::try_from(texts.len()).unwrap_or(u32::MAX);
            return MultipleChoicesSnafu { count }.fail();
        }
        Some(RawPrompt::Texts(_)) | None => String::new(),
    };
    snafu::ensure!(!prompt.is_empty(), EmptySnafu { field: "prompt" });
    Ok(prompt)
}

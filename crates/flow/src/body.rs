//! Requests for generations in the shape that client libraries of the field speak.

use std::fmt::Write as _;

use base::fingerprint;
use snafu::{ResultExt as _, Snafu};

/// A request's body cannot be served.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// It is not JSON of the expected shape.
    #[snafu(display("the request body is not understood: {source}; correct it"))]
    Malformed {
        /// What the parser said, with line and column.
        source: serde_json::Error,
    },
    /// There is nothing to generate from.
    #[snafu(display("the request body has no text in `{field}`; give at least one"))]
    Empty {
        /// The field.
        field: String,
    },
    /// More than one answer is asked for.
    #[snafu(display("`n` is {count}; send one request for each answer that is wanted"))]
    MultipleChoices {
        /// Answers that were asked for.
        count: u32,
    },
    /// No token may be produced.
    #[snafu(display("`max_tokens` is 0; give at least 1, or leave it out"))]
    ZeroMaxTokens,
}

/// Which of the two faces a caller used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompletionApi {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Completion,
}

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GenerationBody {
    /// The face that it came by; answers take the same shape.
    pub api: CompletionApi,
    /// The model as the caller names it: `model` or `model:adapter`.
    pub model: String,
    /// The whole prompt.
    pub prompt: String,
    /// Most tokens to produce; absent: what the model's context leaves.
    pub max_tokens: Option<u32>,
    /// Seed of the sampling.
    pub seed: Option<u64>,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether a streamed answer ends with a chunk of its own for the usage.
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
    /// Parses a body; fields that are not known are ignored, as clients send many.
    ///
    /// # Errors
    ///
    /// [`BodyError`] names what is wrong and what to do.
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

    /// Fingerprint of what an engine is given to work on; a caller's repeat has the same.
    #[must_use]
    pub fn fingerprint(&self) -> fingerprint::ContentHash {
        fingerprint::ContentHash::of_parts(&[self.model.as_bytes(), self.prompt.as_bytes()])
    }
}

/// One line for each message, then the answer's beginning.
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

//! Complete and streamed answers in the format that common client libraries expect.

use std::io::Write as _;

use base::{id, refusal};
use bytes::{BufMut as _, BytesMut};

use crate::{body, port};

/// Writes the chunks of one stream, whose common beginning is formatted once.
#[derive(Clone, Debug)]
pub struct ChunkWriter {
    api: body::CompletionApi,
    /// Beginning of every chunk, up to and including the bracket that opens `choices`.
    head: String,
    include_usage: bool,
}

/// Token usage in the format that client libraries expect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
struct UsageBody {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
    prompt_tokens_details: UsageDetails,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
struct UsageDetails {
    cached_tokens: u32,
}

impl UsageBody {
    fn of(report: &port::FinishReport) -> Self {
        Self {
            prompt_tokens: report.prompt_tokens,
            completion_tokens: report.produced,
            total_tokens: report.prompt_tokens.saturating_add(report.produced),
            prompt_tokens_details: UsageDetails {
                cached_tokens: report.cached_tokens,
            },
        }
    }
}

/// Name of a finish reason on the wire; only complete answers carry one.
#[must_use]
pub const fn finish_name(finish: port::FinishReason) -> &'static str {
    match finish {
        port::FinishReason::Stop => "stop",
        port::FinishReason::Length => "length",
        port::FinishReason::Cancelled => "cancelled",
        port::FinishReason::Error => "error",
    }
}

impl ChunkWriter {
    /// Creates a writer for the answer to `request`.
    #[must_use]
    pub fn new(
        api: body::CompletionApi,
        request: id::RequestId,
        model: &str,
        created_s: u64,
        include_usage: bool,
    ) -> Self {
        let (prefix, object) = match api {
            body::CompletionApi::Chat => ("chatcmpl", "chat.completion.chunk"),
            body::CompletionApi::Completion => ("cmpl", "text_completion"),
        };
        let model = json_text(model);
        let head = format!(
            r#"data: {{"id":"{prefix}-{request}","object":"{object}","created":{created_s},"model":{model},"choices":["#
        );
        Self {
            api,
            head,
            include_usage,
        }
    }

    /// Writes the chunk of one token.
    pub fn token(&self, out: &mut BytesMut, index: u32, text: &str) {
        out.put_slice(self.head.as_bytes());
        out.put_slice(match (self.api, index) {
            (body::CompletionApi::Chat, 0) => {
                br#"{"index":0,"delta":{"role":"assistant","content":"#.as_slice()
            }
            (body::CompletionApi::Chat, _) => br#"{"index":0,"delta":{"content":"#.as_slice(),
            (body::CompletionApi::Completion, _) => br#"{"index":0,"text":"#.as_slice(),
        });
        let mut writer = out.writer();
        // Writing to memory cannot fail.
        let _ = serde_json::to_writer(&mut writer, text);
        let close = match self.api {
            body::CompletionApi::Chat => "}",
            body::CompletionApi::Completion => "",
        };
        let _ = write!(
            writer,
            "{close},\"finish_reason\":null}}],\"pollenchute\":{{\"index\":{index}}}}}\n\n"
        );
    }

    /// Writes the end of a complete answer.
    pub fn finish(&self, out: &mut BytesMut, report: &port::FinishReport) {
        let usage = serde_json::to_string(&UsageBody::of(report)).unwrap_or_default();
        let name = finish_name(report.finish);
        let variable = match self.api {
            body::CompletionApi::Chat => r#""delta":{}"#,
            body::CompletionApi::Completion => r#""text":"""#,
        };
        let head = &self.head;
        let mut writer = out.writer();
        let _ = write!(
            writer,
            "{head}{{\"index\":0,{variable},\"finish_reason\":\"{name}\"}}]"
        );
        let _ = if self.include_usage {
            write!(writer, "}}\n\n{head}],\"usage\":{usage}}}\n\n")
        } else {
            write!(writer, ",\"usage\":{usage}}}\n\n")
        };
        out.put_slice(b"data: [DONE]\n\n");
    }
}

/// Where the caller can continue an answer that ended early.
#[derive(Clone, Copy, Debug)]
pub struct ContinuationLink<'a> {
    /// The continuation token.
    pub token: &'a str,
    /// Number of the first token that was not sent.
    pub from: u32,
}

/// Ends a stream early with a refusal and, if given, a link to the rest; no `[DONE]` follows.
pub fn write_refusal(
    out: &mut BytesMut,
    body: &refusal::RefusalBody,
    rest: Option<ContinuationLink<'_>>,
) {
    out.put_slice(b"data: {\"error\":");
    let mut writer = out.writer();
    // Writing to memory cannot fail.
    let _ = serde_json::to_writer(&mut writer, body);
    if let Some(ContinuationLink { token, from }) = rest {
        let _ = write!(
            writer,
            ",\"pollenchute\":{{\"continue\":\"/v1/generations/{token}?from={from}\"}}"
        );
    }
    out.put_slice(b"}\n\n");
}

/// Server-sent comment that keeps proxies and other middleboxes from closing an idle connection.
pub const HEARTBEAT: &[u8] = b": ping\n\n";

/// Formats a complete answer.
#[must_use]
pub fn complete_answer(
    api: body::CompletionApi,
    request: id::RequestId,
    model: &str,
    created_s: u64,
    text: &str,
    report: &port::FinishReport,
) -> String {
    let (prefix, object) = match api {
        body::CompletionApi::Chat => ("chatcmpl", "chat.completion"),
        body::CompletionApi::Completion => ("cmpl", "text_completion"),
    };
    let model = json_text(model);
    let text = json_text(text);
    let usage = serde_json::to_string(&UsageBody::of(report)).unwrap_or_default();
    let finish = finish_name(report.finish);
    let variable = match api {
        body::CompletionApi::Chat => {
            format!(r#""message":{{"role":"assistant","content":{text}}}"#)
        }
        body::CompletionApi::Completion => format!(r#""text":{text}"#),
    };
    format!(
        r#"{{"id":"{prefix}-{request}","object":"{object}","created":{created_s},"model":{model},"choices":[{{"index":0,{variable},"finish_reason":"{finish}"}}],"usage":{usage}}}"#
    )
}

fn json_text(text: &str) -> String {
    serde_json::to_string(text).unwrap_or_default()
}

//! Test callers, which see only the bytes that a real caller receives.

use std::sync;

use base::refusal;
use bytes::Bytes;
use flow::{body, pipe, plane, request};
use futures_util::StreamExt as _;
use stand::engine;

use crate::cluster;

/// Tokens and refusal that one caller received for one answer.
#[derive(Debug, Default)]
pub struct Transcript {
    /// Tokens with the index in their chunk, in order of arrival.
    pub tokens: Vec<(u32, engine::text::TokenText)>,
    /// Number of tokens reported by the usage chunk.
    pub counted: Option<u32>,
    pub done: bool,
    /// Refusal that ended the stream.
    pub refusal: Option<refusal::RefusalBody>,
    /// Whether the refusal says how to continue the stream.
    pub continuable: bool,
}

pub fn headers() -> request::CallerHeaders {
    request::CallerHeaders {
        api_key: Some(cluster::API_KEY.to_owned()),
        ..request::CallerHeaders::default()
    }
}

/// Body of a chat request whose tokens all carry `mark`.
pub fn chat(mark: u32, tokens: u32, stream: bool, extra: &str) -> Bytes {
    let content = format!("[[mark={mark:x}]] [[len={tokens}]] {extra}");
    let body = serde_json::json!({
        "model": "review-llm",
        "messages": [{"role": "user", "content": content}],
        "stream": stream,
        "max_tokens": 200,
    });
    Bytes::from(body.to_string())
}

pub async fn generate(
    plane: &sync::Arc<cluster::ClusterPlane>,
    body: Bytes,
) -> Result<plane::GenerationReply, plane::RefusedRequest> {
    plane
        .generate(headers(), body::CompletionApi::Chat, body)
        .await
}

impl Transcript {
    /// Reads a stream to its end, or until `limit` tokens have arrived.
    pub async fn read(&mut self, stream: &mut pipe::CallerStream, limit: usize) {
        let mut rest = String::new();
        while self.tokens.len() < limit {
            let Some(piece) = stream.next().await else {
                return;
            };
            rest.push_str(std::str::from_utf8(&piece).unwrap());
            while let Some(end) = rest.find("\n\n") {
                let event: String = rest.drain(..end + 2).collect();
                self.event(event.trim());
            }
        }
    }

    fn event(&mut self, event: &str) {
        let Some(data) = event.strip_prefix("data: ") else {
            return;
        };
        assert!(!self.done, "an event after [DONE]: {data}");
        assert!(self.refusal.is_none(), "an event after a refusal: {data}");
        if data == "[DONE]" {
            self.done = true;
            return;
        }
        let json: serde_json::Value = serde_json::from_str(data).unwrap();
        if let Some(error) = json.get("error") {
            self.refusal = Some(serde_json::from_value(error.clone()).unwrap());
            self.continuable = json["pollenchute"].get("continue").is_some();
            return;
        }
        if let Some(count) = json["usage"]["completion_tokens"].as_u64() {
            self.counted = Some(count as u32);
        }
        if let Some(text) = json["choices"][0]["delta"]["content"].as_str() {
            let index = json["pollenchute"]["index"].as_u64().unwrap() as u32;
            let token = engine::text::read_token(text).expect("a token of a stand-in");
            self.tokens.push((index, token));
        }
    }

    /// Parses a complete answer.
    pub fn read_complete(&mut self, body: &[u8]) {
        let json: serde_json::Value = serde_json::from_slice(body).unwrap();
        let text = json["choices"][0]["message"]["content"].as_str().unwrap();
        for (index, word) in text.split_whitespace().enumerate() {
            let token = engine::text::read_token(word).expect("a token of a stand-in");
            self.tokens.push((index as u32, token));
        }
        self.counted = json["usage"]["completion_tokens"]
            .as_u64()
            .map(|count| count as u32);
        self.done = true;
    }

    /// Checks promises 1 and 2: each token once, in order, of one generation and of the caller's
    /// own request; and an answer that ends as complete has all its tokens.
    pub fn check(&self, mark: u32, expected: u32) {
        let first = self.tokens.first().map(|(_, token)| token.tag);
        for (place, (index, token)) in self.tokens.iter().enumerate() {
            assert_eq!(*index as usize, place, "chunk out of order: {self:?}");
            assert_eq!(token.seq as usize, place, "token out of order: {self:?}");
            assert_eq!(
                Some(token.tag),
                first,
                "tokens of two generations: {self:?}"
            );
            assert_eq!(token.mark, Some(mark), "another request's token: {self:?}");
        }
        if self.done {
            assert_eq!(
                self.tokens.len(),
                expected as usize,
                "tokens are missing: {self:?}"
            );
            assert_eq!(
                self.counted,
                Some(expected),
                "wrong token count in the usage: {self:?}"
            );
            assert!(
                self.refusal.is_none(),
                "a complete answer with a refusal: {self:?}"
            );
        }
    }
}

/// Builds a plain service call.
pub fn call(path: &str, body: &str) -> request::RawCall {
    request::RawCall {
        service: "pass-app".to_owned(),
        method: "POST".to_owned(),
        path: path.to_owned(),
        content_type: None,
        body: Bytes::from(body.to_owned()),
    }
}

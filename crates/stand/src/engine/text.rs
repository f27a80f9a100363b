//! Token texts, which carry the generation and token number so that checkers can verify streams.

use base::id;
use xxhash_rust::xxh3;

/// Returns the 32-bit tag that identifies a generation in its token texts, written as eight
/// hexadecimal digits.
#[must_use]
pub fn tag(generation: id::GenerationId) -> u32 {
    xxh3::xxh3_64(&generation.0.to_le_bytes()) as u32
}

/// Returns the text of token `seq`: `"<tag>.<seq> "`.
#[must_use]
pub fn token(generation: id::GenerationId, seq: u32) -> String {
    format!("{:08x}.{seq} ", tag(generation))
}

/// Returns the text of token `seq` when the prompt carries `[[mark=<hexadecimal>]]`:
/// `"<tag>.<seq>.<mark> "`. The caller chose the mark and recognises its own answer by it.
#[must_use]
pub fn marked_token(generation: id::GenerationId, seq: u32, mark: u32) -> String {
    format!("{:08x}.{seq}.{mark:x} ", tag(generation))
}

/// Parsed token text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenText {
    /// Tag of the generation.
    pub tag: u32,
    /// Number of the token.
    pub seq: u32,
    /// Mark of the prompt, if any.
    pub mark: Option<u32>,
}

/// Parses the token `word`; returns `None` if it is not a token of a stand-in.
#[must_use]
pub fn read_token(word: &str) -> Option<TokenText> {
    let mut parts = word.trim_end().split('.');
    let tag = u32::from_str_radix(parts.next()?, 16).ok()?;
    let seq = parts.next()?.parse().ok()?;
    let mark = match parts.next() {
        Some(mark) => Some(u32::from_str_radix(mark, 16).ok()?),
        None => None,
    };
    let is_whole = parts.next().is_none();
    is_whole.then_some(TokenText { tag, seq, mark })
}

/// Returns tag and number of every token in `text`, or `None` if it contains anything else.
#[must_use]
pub fn parse(text: &str) -> Option<Vec<(u32, u32)>> {
    let tokens = text.split_whitespace().map(read_token);
    tokens
        .map(|token| token.map(|token| (token.tag, token.seq)))
        .collect()
}

/// Returns the value of the directive `[[name=value]]` in `prompt`; empty for a bare `[[name]]`.
#[must_use]
pub fn directive<'a>(prompt: &'a str, name: &str) -> Option<&'a str> {
    let mut rest = prompt;
    while let Some(start) = rest.find("[[") {
        rest = &rest[start + 2..];
        let inner = &rest[..rest.find("]]")?];
        let (key, value) = inner.split_once('=').unwrap_or((inner, ""));
        if key == name {
            return Some(value);
        }
    }
    None
}

//! The text of tokens: each names its generation and its number, so that a checker can tell.

use base::id;
use xxhash_rust::xxh3;

/// Eight hexadecimal digits that stand for a generation in the text of its tokens.
#[must_use]
pub fn tag(generation: id::GenerationId) -> u32 {
    xxh3::xxh3_64(&generation.0.to_le_bytes()) as u32
}

/// The text of token `seq`: `"<tag>.<seq> "`.
#[must_use]
pub fn token(generation: id::GenerationId, seq: u32) -> String {
    format!("{:08x}.{seq} ", tag(generation))
}

/// Tag and number of every token in `text`; `None` when anything else is in it.
#[must_use]
pub fn parse(text: &str) -> Option<Vec<(u32, u32)>> {
    text.split_whitespace().map(parse_token).collect()
}

fn parse_token(word: &str) -> Option<(u32, u32)> {
    let (tag, seq) = word.split_once('.')?;
    Some((u32::from_str_radix(tag, 16).ok()?, seq.parse().ok()?))
}

/// The value of the directive `[[name=value]]` in `prompt`; empty for a bare `[[name]]`.
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

//! Paths of plain service calls, in one spelling.
//!
//! What goes wrong without it: `free/../charge` or `%63harge` is not listed as non-idempotent,
//! yet runs what `charge` runs, without a claim. One would notice a charge that was made twice.

use base::refusal;

/// The path without its query, percent-decoded, when it has one spelling only.
///
/// # Errors
///
/// A refusal of empty and dot segments, backslashes and control characters.
pub fn plain_path(path: &str) -> Result<String, refusal::RefusalBody> {
    let (path, _query) = path.split_once('?').unwrap_or((path, ""));
    let path = path.strip_prefix('/').unwrap_or(path);
    let decoded = decode(path).ok_or_else(ambiguous)?;
    let has_odd_character = decoded
        .chars()
        .any(|character| character == '\\' || character == '#' || character.is_control());
    let inner = decoded.strip_suffix('/').unwrap_or(&decoded);
    let has_odd_segment = inner
        .split('/')
        .any(|segment| matches!(segment, "." | "..") || (segment.is_empty() && !inner.is_empty()));
    if has_odd_character || has_odd_segment {
        return Err(ambiguous());
    }
    Ok(decoded)
}

fn ambiguous() -> refusal::RefusalBody {
    refusal::RefusalBody::not_run(
        refusal::RefusalCode::BadRequest,
        "the path has empty or dot segments, backslashes or odd characters; spell it plainly",
    )
}

/// Undoes percent encoding once; `None` when it is malformed, or hides a slash or another
/// percent sign.
fn decode(path: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(path.len());
    let mut rest = path.as_bytes();
    while let Some((byte, tail)) = rest.split_first() {
        if *byte != b'%' {
            bytes.push(*byte);
            rest = tail;
            continue;
        }
        let (digits, tail) = tail.split_at_checked(2)?;
        let decoded = hex::decode(digits).ok()?;
        if matches!(decoded[0], b'/' | b'%') {
            return None;
        }
        bytes.extend_from_slice(&decoded);
        rest = tail;
    }
    String::from_utf8(bytes).ok()
}

//! Canonical form of the paths of plain service calls.
//!
//! Without it, `free/../charge` or `%63harge` would not match the listed non-idempotent path
//! `charge`, yet would run the same code without a claim, and a charge could be made twice.

use base::refusal;

/// Returns the path without its query, percent-decoded, or refuses one that is ambiguous.
///
/// # Errors
///
/// A refusal of empty and dot segments, backslashes, `#`, control characters, malformed
/// percent-encoding, and encoded slashes or percent signs.
pub fn plain_path(path: &str) -> Result<String, refusal::RefusalBody> {
    let (path, _query) = path.split_once('?').unwrap_or((path, ""));
    let path = path.strip_prefix('/').unwrap_or(path);
    let decoded = decode(path).ok_or_else(ambiguous)?;
    let has_invalid_character = decoded
        .chars()
        .any(|character| character == '\\' || character == '#' || character.is_control());
    let inner = decoded.strip_suffix('/').unwrap_or(&decoded);
    let has_invalid_segment = inner
        .split('/')
        .any(|segment| matches!(segment, "." | "..") || (segment.is_empty() && !inner.is_empty()));
    if has_invalid_character || has_invalid_segment {
        return Err(ambiguous());
    }
    Ok(decoded)
}

fn ambiguous() -> refusal::RefusalBody {
    refusal::RefusalBody::not_run(
        refusal::RefusalCode::BadRequest,
        "the path has empty or dot segments, backslashes or invalid characters; send it in \
         canonical form",
    )
}

/// Decodes percent-encoding once. Returns `None` if it is malformed or encodes a slash or a percent
/// sign.
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

//! Normalization of request paths before they are matched against rules.

/// Removes the query, percent escapes, empty segments and dot segments from a path.
///
/// Otherwise a caller could spell a non-idempotent path such that its rule does not match but the
/// server still accepts it, and the call would run without an idempotency key.
pub(crate) fn plain_path(path: &str) -> Vec<u8> {
    let path = path.split(['?', '#']).next().unwrap_or_default();
    let decoded = percent_decoded(path.as_bytes());
    let mut segments: Vec<&[u8]> = Vec::new();
    for segment in decoded.split(|byte| *byte == b'/') {
        match segment {
            b"" | b"." => {}
            b".." => {
                segments.pop();
            }
            _ => segments.push(segment),
        }
    }
    segments.join(&b'/')
}

fn percent_decoded(text: &[u8]) -> Vec<u8> {
    let mut decoded = Vec::with_capacity(text.len());
    let mut rest = text;
    while let [first, tail @ ..] = rest {
        let mut byte = [0_u8];
        if *first == b'%' && tail.len() >= 2 && hex::decode_to_slice(&tail[..2], &mut byte).is_ok()
        {
            decoded.push(byte[0]);
            rest = &tail[2..];
        } else {
            decoded.push(*first);
            rest = tail;
        }
    }
    decoded
}

//! Hash chains over prompts, by which a model engine names the prefixes that it has cached.

use xxhash_rust::xxh3;

/// The hash of each full block of `prompt`, each covering everything before it too.
///
/// A token is a word. The hashes are equal in every process, so that those in a model engine's
/// cache events can be compared with those that an entry VM computes for a request.
#[must_use]
pub fn chain(model: &str, adapter: Option<&str>, prompt: &str, block_tokens: u32) -> Vec<u64> {
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(model.as_bytes());
    hasher.update(&[0]);
    hasher.update(adapter.unwrap_or_default().as_bytes());
    let block_tokens = block_tokens.max(1) as usize;
    let mut hashes = Vec::new();
    for (index, word) in prompt.split_whitespace().enumerate() {
        hasher.update(&[0]);
        hasher.update(word.as_bytes());
        if (index + 1) % block_tokens == 0 {
            hashes.push(hasher.digest());
        }
    }
    hashes
}

//! Fingerprints of content, equal in every process.

use sha2::Digest as _;

/// SHA-256 of some content: an API key, a request body, a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ContentHash(#[serde(with = "hex::serde")] pub [u8; 32]);

impl ContentHash {
    /// The hash of `content`.
    #[must_use]
    pub fn of(content: &[u8]) -> Self {
        Self(sha2::Sha256::digest(content).into())
    }

    /// The hash of several parts; their boundaries count, so `["ab"]` differs from `["a", "b"]`.
    #[must_use]
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = sha2::Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.finalize().into())
    }
}

impl std::fmt::Display for ContentHash {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&hex::encode(self.0))
    }
}

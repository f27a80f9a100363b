//! Continuation tokens: they hold all that an entry VM needs to continue a stream that another one
//! started, so that nothing about streams is stored.

use base::{fingerprint, id, refusal};
use hmac::{KeyInit as _, Mac as _};

use crate::body;

/// Maximum length of a token; a longer one is rejected without being decoded.
const MAX_TOKEN_BYTES: usize = 4096;

/// Contents of a token: everything that an entry VM needs to continue a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ContinuationFacts {
    /// The caller's request.
    pub request: id::RequestId,
    /// The generation.
    pub generation: id::GenerationId,
    /// Name of the backend server that holds the generation.
    pub server: String,
    /// Name of the organisation; only its keys may use the token.
    pub organisation: String,
    /// The entry VM that first relayed the stream.
    pub vm: String,
    /// Fingerprint of the request's content.
    pub content: fingerprint::ContentHash,
    /// Revision of the configuration under which the generation was started.
    pub revision: u64,
    /// Whether chunks have the chat format.
    pub chat: bool,
    /// The model as the caller named it.
    pub model: String,
    /// Start of the stream, seconds since 1970.
    pub created_s: u64,
    /// Whether the answer ends with a separate usage chunk.
    pub include_usage: bool,
    /// Expiry of the token, milliseconds since 1970.
    pub expires_ms: u64,
}

impl ContinuationFacts {
    /// The API format in which the stream started.
    #[must_use]
    pub const fn api(&self) -> body::CompletionApi {
        if self.chat {
            body::CompletionApi::Chat
        } else {
            body::CompletionApi::Completion
        }
    }
}

/// A secret key that authenticates tokens.
#[derive(Clone)]
pub struct TokenKey {
    /// Identifies the key; part of each token.
    pub id: u8,
    /// The secret.
    pub secret: Vec<u8>,
}

impl std::fmt::Debug for TokenKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "TokenKey({})", self.id)
    }
}

/// The currently valid keys; during a rotation there are two.
#[derive(Clone, Debug)]
pub struct TokenKeys {
    /// Signs and verifies.
    newest: TokenKey,
    /// Only verifies.
    older: Option<TokenKey>,
}

type TokenMac = hmac::Hmac<sha2::Sha256>;

impl TokenKeys {
    /// Creates a key set in which `newest` signs and both keys verify.
    #[must_use]
    pub const fn new(newest: TokenKey, older: Option<TokenKey>) -> Self {
        Self { newest, older }
    }

    /// Encodes `facts` as a token: key ID, facts and MAC in hexadecimal digits.
    #[must_use]
    pub fn sign(&self, facts: &ContinuationFacts) -> String {
        let mut bytes = vec![self.newest.id];
        // Writing to memory cannot fail.
        let _ = serde_json::to_writer(&mut bytes, facts);
        let mac = mac_of(&self.newest, &bytes).finalize().into_bytes();
        bytes.extend_from_slice(&mac);
        hex::encode(bytes)
    }

    /// Verifies a token with the valid keys and returns its facts unless it has expired.
    ///
    /// # Errors
    ///
    /// A refusal, which does not distinguish a wrong MAC from a wrong format.
    pub fn verify(
        &self,
        token: &str,
        now_ms: u64,
    ) -> Result<ContinuationFacts, refusal::RefusalBody> {
        let facts = self.open(token).ok_or_else(|| {
            refusal::RefusalBody::not_run(
                refusal::RefusalCode::BadRequest,
                "the continuation token is not valid; send x-generation-token unchanged",
            )
        })?;
        if facts.expires_ms <= now_ms {
            return Err(refusal::RefusalBody::not_run(
                refusal::RefusalCode::NotFound,
                "the continuation token has expired; send the request again",
            ));
        }
        Ok(facts)
    }

    fn open(&self, token: &str) -> Option<ContinuationFacts> {
        if token.len() > MAX_TOKEN_BYTES {
            return None;
        }
        let bytes = hex::decode(token).ok()?;
        let (signed, mac) = bytes.split_last_chunk::<32>()?;
        let (key_id, json) = signed.split_first()?;
        let older = self.older.iter();
        let key = std::iter::once(&self.newest)
            .chain(older)
            .find(|key| key.id == *key_id)?;
        mac_of(key, signed).verify_slice(mac).ok()?;
        serde_json::from_slice(json).ok()
    }
}

fn mac_of(key: &TokenKey, bytes: &[u8]) -> TokenMac {
    let mut mac = TokenMac::new_from_slice(&key.secret).expect("HMAC takes keys of any length");
    mac.update(bytes);
    mac
}

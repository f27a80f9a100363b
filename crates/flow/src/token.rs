//! Continuation tokens: any entry VM can go on with a stream that another began, and nothing
//! about it is stored anywhere.

use base::{fingerprint, id, refusal};
use hmac::{KeyInit as _, Mac as _};

use crate::body;

/// Longest token that is looked at.
const LONGEST_TOKEN_BYTES: usize = 4096;

/// Everything that an entry VM needs to go on with a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ContinuationFacts {
    /// The caller's request.
    pub request: id::RequestId,
    /// The generation.
    pub generation: id::GenerationId,
    /// Name of the backend server that holds it.
    pub server: String,
    /// Name of the organisation; only its keys may use the token.
    pub organisation: String,
    /// The entry VM that began to relay it.
    pub vm: String,
    /// Of the request's content.
    pub content: fingerprint::ContentHash,
    /// Revision of the configuration that it was started under.
    pub revision: u64,
    /// Whether chunks take the shape of a chat.
    pub chat: bool,
    /// The model as the caller named it.
    pub model: String,
    /// When it was begun, seconds since 1970.
    pub created_s: u64,
    /// Whether the answer ends with a chunk of its own for the usage.
    pub include_usage: bool,
    /// Not honoured from then on, milliseconds since 1970.
    pub expires_ms: u64,
}

impl ContinuationFacts {
    /// The face that the stream began with.
    #[must_use]
    pub const fn face(&self) -> body::CompletionApi {
        if self.chat {
            body::CompletionApi::Chat
        } else {
            body::CompletionApi::Completion
        }
    }
}

/// One secret that tokens are authenticated with.
#[derive(Clone)]
pub struct TokenKey {
    /// Which of the valid keys it is; travels in the token.
    pub id: u8,
    /// The secret.
    pub secret: Vec<u8>,
}

impl std::fmt::Debug for TokenKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "TokenKey({})", self.id)
    }
}

/// The keys that are valid at once; while they are rotated there are two.
#[derive(Clone, Debug)]
pub struct TokenKeys {
    /// Signs new tokens.
    newest: TokenKey,
    /// Still verifies.
    older: Option<TokenKey>,
}

type TokenMac = hmac::Hmac<sha2::Sha256>;

impl TokenKeys {
    /// `newest` signs; both verify.
    #[must_use]
    pub const fn new(newest: TokenKey, older: Option<TokenKey>) -> Self {
        Self { newest, older }
    }

    /// The token of `facts`: key id, facts and MAC in hexadecimal digits.
    #[must_use]
    pub fn sign(&self, facts: &ContinuationFacts) -> String {
        let mut bytes = vec![self.newest.id];
        // Writing into memory does not fail.
        let _ = serde_json::to_writer(&mut bytes, facts);
        let mac = mac_of(&self.newest, &bytes).finalize().into_bytes();
        bytes.extend_from_slice(&mac);
        hex::encode(bytes)
    }

    /// The facts of a token that one of the valid keys signed and whose time is not up.
    ///
    /// # Errors
    ///
    /// A refusal that does not tell a wrong MAC from a wrong shape.
    pub fn verify(
        &self,
        token: &str,
        now_ms: u64,
    ) -> Result<ContinuationFacts, refusal::RefusalBody> {
        let facts = self.open(token).ok_or_else(|| {
            refusal::RefusalBody::not_run(
                refusal::RefusalCode::BadRequest,
                "the continuation token is not valid; send x-generation-token as it was given",
            )
        })?;
        if facts.expires_ms <= now_ms {
            return Err(refusal::RefusalBody::not_run(
                refusal::RefusalCode::NotFound,
                "the continuation token's time is up; send the request anew",
            ));
        }
        Ok(facts)
    }

    fn open(&self, token: &str) -> Option<ContinuationFacts> {
        if token.len() > LONGEST_TOKEN_BYTES {
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

//! Keys shared by the processes of the system; two may be valid at once for rotation.

use std::{fmt, sync};

use hmac::{KeyInit as _, Mac as _};
use snafu::{OptionExt as _, ResultExt as _};

/// Size of a MAC on the wire, in bytes.
///
/// HMAC-SHA256 yields 32 bytes. Truncated to half, an attacker still has one chance in 2^128 per
/// attempt, and each of the many small datagrams is 16 bytes shorter.
pub const TAG_BYTES: usize = 16;

/// A MAC on the wire.
pub type MacTag = [u8; TAG_BYTES];

type HmacSha256 = hmac::Hmac<sha2::Sha256>;

/// Error of an invalid key or key ring.
#[derive(Debug, snafu::Snafu)]
pub enum KeyError {
    /// The key is not 64 hexadecimal digits.
    #[snafu(display("peer key {id} is not 64 hexadecimal digits; draw 32 random bytes for it"))]
    Malformed {
        /// Id of the key.
        id: u8,
        /// Error of the decoder.
        source: hex::FromHexError,
    },
    /// No key is given.
    #[snafu(display("no peer key is given; give one, or two while a key is rotated"))]
    Missing,
    /// More than two keys are given.
    #[snafu(display("{count} peer keys are given; keep at most two, remove the oldest first"))]
    TooMany {
        /// Number of keys.
        count: usize,
    },
    /// Two keys have the same id.
    #[snafu(display("two peer keys have the number {id}; give the new one another number"))]
    Repeated {
        /// The repeated id.
        id: u8,
    },
}

/// One shared key.
#[derive(Clone)]
pub struct WireKey {
    /// Id of the key, sent in the clear.
    id: u8,
    /// HMAC state after processing the key, so that this is not repeated for each message.
    state: HmacSha256,
}

impl WireKey {
    /// Creates the key with id `id`.
    #[must_use]
    pub fn new(id: u8, secret: &[u8; 32]) -> Self {
        let state = HmacSha256::new_from_slice(secret).expect("HMAC takes a key of any length");
        Self { id, state }
    }

    /// Creates the key with id `id` from 64 hexadecimal digits.
    ///
    /// # Errors
    /// When `text` is anything else.
    pub fn from_hex(id: u8, text: &str) -> Result<Self, KeyError> {
        let mut secret = [0; 32];
        hex::decode_to_slice(text, &mut secret).context(MalformedSnafu { id })?;
        Ok(Self::new(id, &secret))
    }

    /// Id of the key.
    #[must_use]
    pub const fn id(&self) -> u8 {
        self.id
    }

    /// The MAC over `parts`, including their boundaries.
    #[must_use]
    pub fn tag(&self, parts: &[&[u8]]) -> MacTag {
        let whole = self.mac(parts).finalize().into_bytes();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&whole[..TAG_BYTES]);
        tag
    }

    /// Whether `tag` is the MAC over `parts`, compared in constant time.
    #[must_use]
    pub fn verifies(&self, parts: &[&[u8]], tag: &MacTag) -> bool {
        self.mac(parts).verify_truncated_left(tag).is_ok()
    }

    /// Derives a key for one purpose, which reveals nothing about this key.
    #[must_use]
    pub fn derive(&self, parts: &[&[u8]]) -> Self {
        let secret: [u8; 32] = self.mac(parts).finalize().into_bytes().into();
        Self::new(self.id, &secret)
    }

    fn mac(&self, parts: &[&[u8]]) -> HmacSha256 {
        let mut mac = self.state.clone();
        for part in parts {
            mac.update(&(part.len() as u64).to_le_bytes());
            mac.update(part);
        }
        mac
    }
}

impl fmt::Debug for WireKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("WireKey")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

/// The keys in force: the first one signs, all are accepted.
#[derive(Clone, Debug)]
pub struct KeyRing {
    /// One or two keys with different ids.
    keys: Vec<WireKey>,
}

impl KeyRing {
    /// Creates a ring of one or two keys, the signing key first.
    ///
    /// # Errors
    /// When there are no keys, more than two, or two with the same id.
    pub fn new(keys: Vec<WireKey>) -> Result<Self, KeyError> {
        snafu::ensure!(keys.len() <= 2, TooManySnafu { count: keys.len() });
        let first = keys.first().context(MissingSnafu)?;
        let repeated = keys.iter().skip(1).any(|key| key.id == first.id);
        snafu::ensure!(!repeated, RepeatedSnafu { id: first.id });
        Ok(Self { keys })
    }

    /// The signing key.
    #[must_use]
    pub fn signing(&self) -> &WireKey {
        &self.keys[0]
    }

    /// The accepted key with that id.
    #[must_use]
    pub fn accepted(&self, id: u8) -> Option<&WireKey> {
        self.keys.iter().find(|key| key.id == id)
    }
}

/// Handle to the key ring of a process, replaceable at run time.
#[derive(Clone, Debug)]
pub struct KeyHandle {
    current: sync::Arc<sync::RwLock<sync::Arc<KeyRing>>>,
}

impl KeyHandle {
    /// Creates a handle to `ring`.
    #[must_use]
    pub fn new(ring: KeyRing) -> Self {
        Self {
            current: sync::Arc::new(sync::RwLock::new(sync::Arc::new(ring))),
        }
    }

    /// The ring in force now.
    #[must_use]
    pub fn current(&self) -> sync::Arc<KeyRing> {
        let guard = self
            .current
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner);
        sync::Arc::clone(&guard)
    }

    /// Puts `ring` in force; connections whose key is not in it are closed.
    pub fn replace(&self, ring: KeyRing) {
        let mut guard = self
            .current
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner);
        *guard = sync::Arc::new(ring);
    }
}

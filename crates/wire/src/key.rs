//! Keys that processes of the system share, two valid at once so that they can be rotated.

use std::{fmt, sync};

use hmac::{KeyInit as _, Mac as _};
use snafu::{OptionExt as _, ResultExt as _};

/// Bytes of a MAC on the wire.
///
/// HMAC-SHA256 gives 32. Half of them still leave an outsider one chance in 2^128 for each try,
/// and each of the many small datagrams is 16 bytes shorter.
pub const TAG_BYTES: usize = 16;

/// A MAC on the wire.
pub type MacTag = [u8; TAG_BYTES];

type HmacSha256 = hmac::Hmac<sha2::Sha256>;

/// Why a key or a ring of keys was refused.
#[derive(Debug, snafu::Snafu)]
pub enum KeyError {
    /// Not 64 hexadecimal digits.
    #[snafu(display("peer key {id} is not 64 hexadecimal digits; draw 32 random bytes for it"))]
    Malformed {
        /// Which key.
        id: u8,
        /// What is wrong with it.
        source: hex::FromHexError,
    },
    /// No key at all.
    #[snafu(display("no peer key is given; give one, or two while a key is rotated"))]
    Missing,
    /// More than two.
    #[snafu(display("{count} peer keys are given; keep at most two, remove the oldest first"))]
    TooMany {
        /// How many.
        count: usize,
    },
    /// Two of one number.
    #[snafu(display("two peer keys have the number {id}; give the new one another number"))]
    Repeated {
        /// The number.
        id: u8,
    },
}

/// One shared key.
#[derive(Clone)]
pub struct WireKey {
    /// Its number, which travels in clear.
    id: u8,
    /// HMAC state after the key was taken in, so that a message costs no key schedule.
    state: HmacSha256,
}

impl WireKey {
    /// The key with number `id`.
    #[must_use]
    pub fn new(id: u8, secret: &[u8; 32]) -> Self {
        let state = HmacSha256::new_from_slice(secret).expect("HMAC takes a key of any length");
        Self { id, state }
    }

    /// The key with number `id` from 64 hexadecimal digits.
    ///
    /// # Errors
    /// When `text` is anything else.
    pub fn from_hex(id: u8, text: &str) -> Result<Self, KeyError> {
        let mut secret = [0; 32];
        hex::decode_to_slice(text, &mut secret).context(MalformedSnafu { id })?;
        Ok(Self::new(id, &secret))
    }

    /// Its number.
    #[must_use]
    pub const fn id(&self) -> u8 {
        self.id
    }

    /// The MAC over `parts`, whose boundaries count.
    #[must_use]
    pub fn tag(&self, parts: &[&[u8]]) -> MacTag {
        let whole = self.mac(parts).finalize().into_bytes();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&whole[..TAG_BYTES]);
        tag
    }

    /// Whether `tag` is the MAC over `parts`; takes the same time whichever byte differs.
    #[must_use]
    pub fn verifies(&self, parts: &[&[u8]], tag: &MacTag) -> bool {
        self.mac(parts).verify_truncated_left(tag).is_ok()
    }

    /// A key for one purpose, which tells nothing about this one.
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

/// The keys in force: the first signs, each one is accepted.
#[derive(Clone, Debug)]
pub struct KeyRing {
    /// One or two, with different numbers.
    keys: Vec<WireKey>,
}

impl KeyRing {
    /// A ring of one or two keys, the signing one first.
    ///
    /// # Errors
    /// When there are none, more than two, or two of one number.
    pub fn new(keys: Vec<WireKey>) -> Result<Self, KeyError> {
        snafu::ensure!(keys.len() <= 2, TooManySnafu { count: keys.len() });
        let first = keys.first().context(MissingSnafu)?;
        let repeated = keys.iter().skip(1).any(|key| key.id == first.id);
        snafu::ensure!(!repeated, RepeatedSnafu { id: first.id });
        Ok(Self { keys })
    }

    /// The key that signs.
    #[must_use]
    pub fn signing(&self) -> &WireKey {
        &self.keys[0]
    }

    /// The accepted key of that number.
    #[must_use]
    pub fn accepted(&self, id: u8) -> Option<&WireKey> {
        self.keys.iter().find(|key| key.id == id)
    }
}

/// The ring that every part of a process uses, replaceable while it runs.
#[derive(Clone, Debug)]
pub struct KeyHandle {
    current: sync::Arc<sync::RwLock<sync::Arc<KeyRing>>>,
}

impl KeyHandle {
    /// A handle to `ring`.
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

    /// Puts `ring` in force; connections whose key is no longer in it end.
    pub fn replace(&self, ring: KeyRing) {
        let mut guard = self
            .current
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner);
        *guard = sync::Arc::new(ring);
    }
}

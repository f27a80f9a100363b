//! Format of records: a batch of entries, each with its own id.

use base::id;
use sha2::Digest as _;
use snafu::{ResultExt as _, Snafu};

/// Several entries appended as one record.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct BatchRecord<E> {
    /// Name of the entry VM that appended the batch, for humans who read the log.
    pub writer: String,
    /// The entries, in order.
    pub entries: Vec<BatchEntry<E>>,
}

/// One entry of a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct BatchEntry<E> {
    /// Random id chosen by the writer. An entry that is appended again keeps its id, so that folds
    /// ignore the repetition.
    pub id: id::RecordId,
    /// Offset up to which the writer had read the stream when it created the entry; unchanged when
    /// the entry is appended again.
    ///
    /// A fold may refuse an entry that is based on a position so old that the fold no longer knows
    /// what followed it.
    pub seen: u64,
    /// Content of the entry.
    pub item: E,
}

/// Position and time of a record on the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordPlace {
    /// Offset of the record.
    pub offset: u64,
    /// Time at which the record was appended, on the log's clock.
    pub at_ms: u64,
}

/// An error of encoding or decoding a record.
#[derive(Debug, Snafu)]
pub enum RecordError {
    /// The bytes are not a JSON batch of the expected entries.
    #[snafu(display(
        "the record is not a batch of entries ({source}); check for foreign writers on this stream"
    ))]
    Malformed {
        /// Error of the parser.
        source: serde_json::Error,
    },
    /// The entry cannot be written as JSON.
    #[snafu(display("the entry cannot be written as JSON ({source}); report this as a defect"))]
    Unwritable {
        /// Error of the serialiser.
        source: serde_json::Error,
    },
}

/// One entry, encoded and ready to be added to a batch.
#[derive(Clone, Debug)]
pub struct EncodedEntry {
    /// The entry's id.
    pub id: id::RecordId,
    json: String,
}

impl EncodedEntry {
    /// Encodes `item` with the id `id`, for a writer that had read up to `seen`.
    ///
    /// # Errors
    /// Returns an error if `item` cannot be written as JSON.
    pub fn new<E: serde::Serialize>(
        id: id::RecordId,
        seen: u64,
        item: &E,
    ) -> Result<Self, RecordError> {
        let json =
            serde_json::to_string(&BatchEntry { id, seen, item }).context(UnwritableSnafu)?;
        Ok(Self { id, json })
    }

    /// Returns the size of the entry within a record, in bytes.
    #[must_use]
    pub const fn size(&self) -> usize {
        self.json.len() + 1
    }
}

/// Encodes entries as one record.
#[must_use]
pub fn encode<'a, I>(writer: &str, entries: I) -> bytes::Bytes
where
    I: IntoIterator<Item = &'a EncodedEntry>,
{
    let mut text = String::from("{\"writer\":");
    text.push_str(&serde_json::Value::from(writer).to_string());
    text.push_str(",\"entries\":[");
    for (index, entry) in entries.into_iter().enumerate() {
        if index > 0 {
            text.push(',');
        }
        text.push_str(&entry.json);
    }
    text.push_str("]}");
    text.into()
}

/// Decodes a batch.
///
/// # Errors
/// Returns an error if the bytes are not a JSON batch of entries of type `E`.
pub fn decode<E: serde::de::DeserializeOwned>(body: &[u8]) -> Result<BatchRecord<E>, RecordError> {
    serde_json::from_slice(body).context(MalformedSnafu)
}

/// Derives an id from another id and `salt`; the result is the same in every process.
#[must_use]
pub fn derived_id(origin: id::RecordId, salt: u128) -> id::RecordId {
    let mut hasher = sha2::Sha256::new();
    hasher.update(origin.0.to_le_bytes());
    hasher.update(salt.to_le_bytes());
    let digest: [u8; 32] = hasher.finalize().into();
    let mut half = [0; 16];
    half.copy_from_slice(&digest[..16]);
    id::RecordId(u128::from_le_bytes(half))
}

/// Returns the ids of a record's entries regardless of their type; empty if the record is not a
/// batch.
#[must_use]
pub fn entry_ids(body: &[u8]) -> Vec<id::RecordId> {
    decode::<serde::de::IgnoredAny>(body)
        .map(|batch| batch.entries.iter().map(|entry| entry.id).collect())
        .unwrap_or_default()
}

/// Encodes bytes as base64 text in JSON, for `#[serde(with = "…")]`.
pub mod base64_bytes {
    use base64::Engine as _;
    use base64::engine::general_purpose;

    /// Serialises the bytes.
    ///
    /// # Errors
    /// Returns an error if the serialiser fails.
    pub fn serialize<S: serde::Serializer>(
        bytes: &bytes::Bytes,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&general_purpose::STANDARD.encode(bytes))
    }

    /// Deserialises the bytes.
    ///
    /// # Errors
    /// Returns an error if the text is not base64.
    pub fn deserialize<'de, D: serde::Deserializer<'de>>(
        deserializer: D,
    ) -> Result<bytes::Bytes, D::Error> {
        let text = <String as serde::Deserialize>::deserialize(deserializer)?;
        general_purpose::STANDARD
            .decode(text)
            .map(bytes::Bytes::from)
            .map_err(serde::de::Error::custom)
    }
}

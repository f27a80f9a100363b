//! The form of this project's records: a batch of entries, each with an id of its own.

use base::id;
use sha2::Digest as _;
use snafu::{ResultExt as _, Snafu};

/// Several entries that were appended as one record.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct BatchRecord<E> {
    /// Name of the entry VM that appended the batch; for people who read the log.
    pub writer: String,
    /// The entries, in order.
    pub entries: Vec<BatchEntry<E>>,
}

/// One entry of a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct BatchEntry<E> {
    /// Drawn by the writer. An entry that is appended again keeps it, so that folds ignore the
    /// repetition.
    pub id: id::RecordId,
    /// Offset up to which the writer had read the stream when it decided on the entry; the same
    /// when the entry is appended again.
    ///
    /// A fold may refuse what was decided on a prefix so old that the fold no longer remembers
    /// what followed it.
    pub seen: u64,
    /// What the entry says.
    pub item: E,
}

/// Where the log put a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordPlace {
    /// Offset of the record.
    pub offset: u64,
    /// When the record was appended, by the log's own clock.
    pub at_ms: u64,
}

/// A record that is not a batch of the expected entries.
#[derive(Debug, Snafu)]
pub enum RecordError {
    /// The bytes are not the JSON of a batch.
    #[snafu(display(
        "the record is not a batch of entries ({source}); look for another writer on this stream"
    ))]
    Malformed {
        /// What the parser reported.
        source: serde_json::Error,
    },
    /// The entry cannot be written as JSON.
    #[snafu(display("the entry cannot be written as JSON ({source}); report this as a defect"))]
    Unwritable {
        /// What the serialiser reported.
        source: serde_json::Error,
    },
}

/// One entry in the form in which it waits to be joined to a batch.
#[derive(Clone, Debug)]
pub struct EncodedEntry {
    /// The entry's id.
    pub id: id::RecordId,
    json: String,
}

impl EncodedEntry {
    /// Encodes `item` under `id`, decided by a writer that had read up to `seen`.
    ///
    /// # Errors
    /// When `item` has no JSON form.
    pub fn new<E: serde::Serialize>(
        id: id::RecordId,
        seen: u64,
        item: &E,
    ) -> Result<Self, RecordError> {
        let json =
            serde_json::to_string(&BatchEntry { id, seen, item }).context(UnwritableSnafu)?;
        Ok(Self { id, json })
    }

    /// Bytes that the entry takes in a record.
    #[must_use]
    pub const fn size(&self) -> usize {
        self.json.len() + 1
    }
}

/// Joins entries to the bytes of one record.
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

/// Reads a batch.
///
/// # Errors
/// When the bytes are not the JSON of such a batch.
pub fn decode<E: serde::de::DeserializeOwned>(body: &[u8]) -> Result<BatchRecord<E>, RecordError> {
    serde_json::from_slice(body).context(MalformedSnafu)
}

/// An id that follows from another one and `salt`, the same in every process.
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

/// The ids of a record's entries, whatever the entries say; none when it is not a batch.
#[must_use]
pub fn entry_ids(body: &[u8]) -> Vec<id::RecordId> {
    decode::<serde::de::IgnoredAny>(body)
        .map(|batch| batch.entries.iter().map(|entry| entry.id).collect())
        .unwrap_or_default()
}

/// Bytes as base64 text inside JSON, for `#[serde(with = "…")]`.
pub mod base64_bytes {
    use base64::Engine as _;
    use base64::engine::general_purpose;

    /// Writes the bytes.
    ///
    /// # Errors
    /// When the serialiser fails.
    pub fn serialize<S: serde::Serializer>(
        bytes: &bytes::Bytes,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&general_purpose::STANDARD.encode(bytes))
    }

    /// Reads the bytes.
    ///
    /// # Errors
    /// When the text is not base64.
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

//! Splits bytes that are too large for one record into parts.

use std::collections;

use base::{fingerprint, id};

use crate::record;

/// One part of the bytes that a later entry refers to.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct PartItem {
    /// Id of the entry that the bytes belong to.
    pub owner: id::RecordId,
    /// Index of the part, starting at 0.
    pub index: u32,
    /// Bytes of the part.
    #[serde(with = "record::base64_bytes")]
    pub data: bytes::Bytes,
}

/// The bytes of an entry, either inline or as a reference to parts appended before.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct SplitBytes {
    /// Number of parts; 0 if `whole` contains the bytes.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub parts: u32,
    /// Hash of the complete bytes.
    pub hash: fingerprint::ContentHash,
    /// The complete bytes if there are no parts.
    #[serde(with = "record::base64_bytes")]
    pub whole: bytes::Bytes,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_zero(count: &u32) -> bool {
    *count == 0
}

/// Splits `bytes` of the entry `owner` into parts of at most `part_bytes`. The parts must be
/// appended before the entry.
#[must_use]
pub fn split(
    owner: id::RecordId,
    bytes: bytes::Bytes,
    part_bytes: usize,
) -> (Vec<PartItem>, SplitBytes) {
    let hash = fingerprint::ContentHash::of(&bytes);
    if bytes.len() <= part_bytes {
        let whole = SplitBytes {
            parts: 0,
            hash,
            whole: bytes,
        };
        return (Vec::new(), whole);
    }
    let mut items = Vec::new();
    let mut rest = bytes;
    while !rest.is_empty() {
        let data = rest.split_to(rest.len().min(part_bytes));
        let index = u32::try_from(items.len()).unwrap_or(u32::MAX);
        items.push(PartItem { owner, index, data });
    }
    let split_bytes = SplitBytes {
        parts: u32::try_from(items.len()).unwrap_or(u32::MAX),
        hash,
        whole: bytes::Bytes::new(),
    };
    (items, split_bytes)
}

/// Returns the id of a part's entry. It is derived from the owner's id, so that a part that is
/// appended again, also by another process, is recognised.
#[must_use]
pub fn part_id(item: &PartItem) -> id::RecordId {
    record::derived_id(item.owner, u128::from(item.index))
}

/// Parts whose owner has not been read yet.
#[derive(Clone, Debug, Default)]
pub struct PartBuffer {
    owners: collections::HashMap<id::RecordId, collections::BTreeMap<u32, bytes::Bytes>>,
    /// Owners by the time of their first part, oldest first.
    arrivals: collections::VecDeque<(u64, id::RecordId)>,
}

impl PartBuffer {
    /// Adds a part.
    pub fn put(&mut self, at_ms: u64, item: PartItem) {
        let parts = self.owners.entry(item.owner).or_default();
        if parts.is_empty() {
            self.arrivals.push_back((at_ms, item.owner));
        }
        parts.insert(item.index, item.data);
    }

    /// Returns the bytes of `owner`, or `None` if a part is missing or the hash does not match.
    pub fn join(&mut self, owner: id::RecordId, split_bytes: &SplitBytes) -> Option<bytes::Bytes> {
        let bytes = if split_bytes.parts == 0 {
            split_bytes.whole.clone()
        } else {
            self.concatenate(owner, split_bytes.parts)?
        };
        if fingerprint::ContentHash::of(&bytes) != split_bytes.hash {
            return None;
        }
        self.owners.remove(&owner);
        Some(bytes)
    }

    /// Removes parts from before `oldest_ms` whose owner never arrived.
    pub fn expire(&mut self, oldest_ms: u64) {
        while let Some(&(at_ms, owner)) = self.arrivals.front() {
            if at_ms >= oldest_ms {
                return;
            }
            self.arrivals.pop_front();
            self.owners.remove(&owner);
        }
    }

    fn concatenate(&self, owner: id::RecordId, count: u32) -> Option<bytes::Bytes> {
        let parts = self.owners.get(&owner)?;
        let mut bytes = bytes::BytesMut::new();
        for index in 0..count {
            bytes.extend_from_slice(parts.get(&index)?);
        }
        Some(bytes.freeze())
    }
}

//! Splits changes and checkpoints that exceed one log record into parts, and reassembles them.

use std::collections;

use base::{fingerprint, id};

use crate::offer;

/// Maximum size of one record. The log accepts records of any size, but a very large record would
/// delay the records behind it.
pub const MAX_RECORD_BYTES: usize = 256 * 1024;
/// Maximum size of the text in one part; the rest of the record holds the header.
pub const MAX_PART_BYTES: usize = MAX_RECORD_BYTES - 1024;
/// Minimum size of a part, so that any UTF-8 character fits into one.
const MIN_PART_BYTES: usize = 4;
/// Maximum number of parts of one text.
const MAX_PART_COUNT: u32 = 256;
/// Maximum number of texts that are reassembled concurrently.
const MAX_PENDING_TEXTS: usize = 4;
/// Maximum distance, in records, between the first and any other part of a text; a text that
/// exceeds it is discarded.
const MAX_PART_DISTANCE: u64 = 4_096;

/// Content that the parts add up to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum PartKind {
    /// A change.
    Change,
    /// A checkpoint of the state described by this offer.
    Checkpoint(offer::StateOffer),
}

/// Header of a record that holds a part.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct PartHeader {
    /// Content that the parts add up to.
    pub of: PartKind,
    /// Id shared by all parts of one text. For a checkpoint it is derived from the content.
    pub id: id::RecordId,
    /// Index of this part, from 0 to `count - 1`.
    pub index: u32,
    /// Number of parts of the text.
    pub count: u32,
    /// Hash of the complete text.
    pub hash: fingerprint::ContentHash,
    /// Hash of this part's text. It detects a damaged part on arrival, so that the part does not
    /// invalidate the others.
    pub piece: fingerprint::ContentHash,
}

/// First line of a record that holds a part.
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
struct PartLine {
    part: PartHeader,
}

/// Splits `text` into records with at most `part_bytes` of text each.
#[must_use]
pub fn split(of: PartKind, id: id::RecordId, text: &str, part_bytes: usize) -> Vec<Vec<u8>> {
    let hash = fingerprint::ContentHash::of(text.as_bytes());
    let pieces = pieces(text, part_bytes.clamp(MIN_PART_BYTES, MAX_PART_BYTES));
    let count = u32::try_from(pieces.len()).unwrap_or(u32::MAX);
    let record = |(index, piece): (u32, &str)| {
        let piece_hash = fingerprint::ContentHash::of(piece.as_bytes());
        let header = PartHeader {
            of,
            id,
            index,
            count,
            hash,
            piece: piece_hash,
        };
        let mut record = serde_json::to_vec(&PartLine { part: header }).unwrap_or_default();
        record.push(b'\n');
        record.extend_from_slice(piece.as_bytes());
        record
    };
    (0..).zip(pieces).map(record).collect()
}

fn pieces(text: &str, part_bytes: usize) -> Vec<&str> {
    let mut pieces = Vec::new();
    let mut rest = text;
    while rest.len() > part_bytes {
        let mut end = part_bytes;
        while !rest.is_char_boundary(end) {
            end -= 1;
        }
        let (piece, tail) = rest.split_at(end);
        pieces.push(piece);
        rest = tail;
    }
    pieces.push(rest);
    pieces
}

/// Parses a record that holds a part into header and text; `None` for any other record.
#[must_use]
pub fn parse(record: &[u8]) -> Option<(PartHeader, &str)> {
    if !record.starts_with(b"{\"part\":") {
        return None;
    }
    let end = record.iter().position(|byte| *byte == b'\n')?;
    let line: PartLine = serde_json::from_slice(&record[..end]).ok()?;
    let text = std::str::from_utf8(&record[end + 1..]).ok()?;
    Some((line.part, text))
}

/// Outcome of adding a part to a [`PartTable`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartOutcome {
    /// Other parts are still missing.
    Waiting,
    /// The part completed its text.
    Complete {
        /// The reassembled text.
        text: String,
        /// Offset of the first part that was read.
        first_offset: u64,
    },
    /// The part is invalid, or the reassembled text does not match its hash.
    Refused(String),
}

/// A partially received text.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
struct PendingText {
    /// Offset of the first part that was read.
    first_offset: u64,
    /// Offset of the latest part that was read.
    last_offset: u64,
    count: u32,
    hash: fingerprint::ContentHash,
    parts: collections::BTreeMap<u32, String>,
}

/// Texts whose parts have not all been read; a pure function of the records read so far.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct PartTable {
    /// At most [`MAX_PENDING_TEXTS`].
    wholes: collections::BTreeMap<id::RecordId, PendingText>,
}

impl PartTable {
    /// Adds the part at `offset`.
    pub fn add(&mut self, offset: u64, header: &PartHeader, text: &str) -> PartOutcome {
        if header.index >= header.count
            || header.count > MAX_PART_COUNT
            || text.len() > MAX_PART_BYTES
        {
            return PartOutcome::Refused(
                "part index, part count or part size out of range".to_owned(),
            );
        }
        if fingerprint::ContentHash::of(text.as_bytes()) != header.piece {
            return PartOutcome::Refused("part does not match its hash".to_owned());
        }
        self.wholes
            .retain(|_, pending| offset.saturating_sub(pending.first_offset) <= MAX_PART_DISTANCE);
        let pending = self.wholes.entry(header.id).or_insert_with(|| PendingText {
            first_offset: offset,
            last_offset: offset,
            count: header.count,
            hash: header.hash,
            parts: collections::BTreeMap::new(),
        });
        if pending.count != header.count || pending.hash != header.hash {
            return PartOutcome::Refused("part of a different text with the same id".to_owned());
        }
        pending.parts.insert(header.index, text.to_owned());
        pending.last_offset = offset;
        if pending.parts.len() < header.count as usize {
            self.evict_stalest();
            return PartOutcome::Waiting;
        }
        self.finish(header)
    }

    fn finish(&mut self, header: &PartHeader) -> PartOutcome {
        let Some(pending) = self.wholes.remove(&header.id) else {
            return PartOutcome::Waiting;
        };
        let first_offset = pending.first_offset;
        let text: String = pending.parts.into_values().collect();
        if fingerprint::ContentHash::of(text.as_bytes()) != header.hash {
            return PartOutcome::Refused("reassembled text does not match its hash".to_owned());
        }
        PartOutcome::Complete { text, first_offset }
    }

    /// Evicts the text whose last part is the oldest once the table is full. Otherwise the
    /// parts of writers that died would accumulate in memory. Texts that still receive parts are
    /// not evicted in favour of a new one.
    fn evict_stalest(&mut self) {
        if self.wholes.len() <= MAX_PENDING_TEXTS {
            return;
        }
        let stalest = self
            .wholes
            .iter()
            .min_by_key(|(id, pending)| (pending.last_offset, **id));
        if let Some(id) = stalest.map(|(id, _)| *id) {
            self.wholes.remove(&id);
        }
    }
}

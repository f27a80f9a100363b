//! Records of the log that are parts of something larger: a change or a checkpoint.

use std::collections;

use base::{fingerprint, id};

use crate::offer;

/// Bytes of one record, at the most; the log takes records of any size, but one that holds up all
/// others for long is no use.
pub const RECORD_BYTES: usize = 256 * 1024;
/// Bytes of text in one part; the rest of a record is its header.
pub const PART_BYTES: usize = RECORD_BYTES - 1024;
/// A character must fit into a part.
const LEAST_PART_BYTES: usize = 4;
/// Parts of one whole, at the most.
const PART_COUNT: u32 = 256;
/// Wholes that are collected at once, at the most.
const PENDING_WHOLES: usize = 4;
/// A whole whose parts lie further apart than this many records is given up.
const PART_SPAN: u64 = 4_096;

/// What the parts make together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum PartKind {
    /// A change.
    Change,
    /// A checkpoint of the state that this offer tells.
    Checkpoint(offer::StateOffer),
}

/// Which part of what a record is.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct PartHeader {
    /// What the parts make together.
    pub of: PartKind,
    /// The same in all parts of one whole; of a checkpoint, equal for equal content.
    pub id: id::RecordId,
    /// Counted from 0, less than `count`.
    pub index: u32,
    /// Parts of the whole.
    pub count: u32,
    /// Hash of the whole text.
    pub hash: fingerprint::ContentHash,
    /// Hash of this part's text. A damaged part is known by it at once and spoils no others.
    pub piece: fingerprint::ContentHash,
}

/// The first line of a record that is a part.
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
struct PartLine {
    part: PartHeader,
}

/// Splits `text` into records with at most `part_bytes` of it each.
#[must_use]
pub fn split(of: PartKind, id: id::RecordId, text: &str, part_bytes: usize) -> Vec<Vec<u8>> {
    let hash = fingerprint::ContentHash::of(text.as_bytes());
    let pieces = pieces(text, part_bytes.clamp(LEAST_PART_BYTES, PART_BYTES));
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

/// The header and text of a record that is a part; nothing for any other record.
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

/// What a part did to the collection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartOutcome {
    /// Others are missing still.
    Waiting,
    /// It was the last one.
    Whole {
        /// All parts together.
        text: String,
        /// Offset of the part that came first.
        first_offset: u64,
    },
    /// It cannot belong to any whole, or the whole is not what its hash says.
    Refused(String),
}

/// Parts of one whole.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
struct PendingWhole {
    /// Offset of the part that came first.
    first_offset: u64,
    /// Offset of the part that came last.
    last_offset: u64,
    count: u32,
    hash: fingerprint::ContentHash,
    parts: collections::BTreeMap<u32, String>,
}

/// Parts of which others are missing; a pure function of the records that came.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct PartTable {
    /// At most [`PENDING_WHOLES`].
    wholes: collections::BTreeMap<id::RecordId, PendingWhole>,
}

impl PartTable {
    /// Adds the part that lies at `offset`.
    pub fn add(&mut self, offset: u64, header: &PartHeader, text: &str) -> PartOutcome {
        if header.index >= header.count || header.count > PART_COUNT || text.len() > PART_BYTES {
            return PartOutcome::Refused("a part with impossible numbers".to_owned());
        }
        if fingerprint::ContentHash::of(text.as_bytes()) != header.piece {
            return PartOutcome::Refused("a part that does not match its hash".to_owned());
        }
        self.wholes
            .retain(|_, whole| offset.saturating_sub(whole.first_offset) <= PART_SPAN);
        let whole = self
            .wholes
            .entry(header.id)
            .or_insert_with(|| PendingWhole {
                first_offset: offset,
                last_offset: offset,
                count: header.count,
                hash: header.hash,
                parts: collections::BTreeMap::new(),
            });
        if whole.count != header.count || whole.hash != header.hash {
            return PartOutcome::Refused("a part of another text under the same id".to_owned());
        }
        whole.parts.insert(header.index, text.to_owned());
        whole.last_offset = offset;
        if whole.parts.len() < header.count as usize {
            self.drop_stalest();
            return PartOutcome::Waiting;
        }
        self.finish(header)
    }

    fn finish(&mut self, header: &PartHeader) -> PartOutcome {
        let Some(whole) = self.wholes.remove(&header.id) else {
            return PartOutcome::Waiting;
        };
        let first_offset = whole.first_offset;
        let text: String = whole.parts.into_values().collect();
        if fingerprint::ContentHash::of(text.as_bytes()) != header.hash {
            return PartOutcome::Refused("the parts do not make the text of their hash".to_owned());
        }
        PartOutcome::Whole { text, first_offset }
    }

    /// Parts whose writer died stay for good otherwise, and memory fills with them. The one that
    /// has waited longest for a part goes: of those under way, none is lost to a newcomer.
    fn drop_stalest(&mut self) {
        if self.wholes.len() <= PENDING_WHOLES {
            return;
        }
        let stalest = self
            .wholes
            .iter()
            .min_by_key(|(id, whole)| (whole.last_offset, **id));
        if let Some(id) = stalest.map(|(id, _)| *id) {
            self.wholes.remove(&id);
        }
    }
}

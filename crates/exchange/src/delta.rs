//! A document for a VM that has another one, for instance that of the version before.
//!
//! Load pattern: a change of a configuration of a megabyte, of which hundreds of VMs have all but a few
//! bytes, half of them behind links of 10 Mbit/s. A document is cut where its content says so; whoever asks
//! names the pieces that it has and gets the others, compressed.

use std::{cell, collections};

use bytes::{Bytes, BytesMut};
use fastcdc::v2020;
use lz4_flex::block;
use snafu::{OptionExt as _, ResultExt as _, Snafu, ensure};

/// Sizes of a piece, in bytes.
const PIECE_LEAST: usize = 2 * 1_024;
const PIECE_MEAN: usize = 8 * 1_024;
const PIECE_MOST: usize = 32 * 1_024;

/// Largest document that is put together: a damaged delta may name one piece again and again.
const MOST_DOCUMENT: usize = 32 * 1_024 * 1_024;

/// Hash of a piece's bytes.
type PieceHash = u64;

/// A document and the pieces that it consists of.
#[derive(Debug, Default)]
pub struct PiecedDocument {
    bytes: Bytes,
    /// All pieces, in order; cut when they are first asked for.
    pieces: cell::OnceCell<Vec<DocumentPiece>>,
    /// Hash of the whole.
    hash: cell::OnceCell<u64>,
    /// Pieces that were asked for, compressed.
    packed: cell::RefCell<collections::HashMap<PieceHash, Bytes>>,
}

#[derive(Clone, Debug)]
struct DocumentPiece {
    hash: PieceHash,
    bytes: Bytes,
}

/// What makes a document of another one.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct DocumentDelta {
    /// Hashes of all its pieces, in order.
    #[prost(fixed64, repeated, tag = "1")]
    pub order: Vec<u64>,
    /// Pieces that the asker did not name, each once, compressed.
    #[prost(bytes = "bytes", repeated, tag = "2")]
    pub packed: Vec<Bytes>,
    /// Hash of the whole.
    #[prost(fixed64, tag = "3")]
    pub hash: u64,
}

/// Why a delta gives no document.
#[derive(Debug, Snafu)]
pub enum DeltaFault {
    /// A piece can't be decompressed.
    #[snafu(display("a piece can't be decompressed: {source}"))]
    Packed {
        /// What is wrong with it.
        source: block::DecompressError,
    },
    /// A piece is neither in it nor in the document that is there.
    #[snafu(display("piece {hash:016x} is missing"))]
    Missing {
        /// Which one.
        hash: u64,
    },
    /// The whole is larger than any document.
    #[snafu(display("{bytes} bytes are more than {MOST_DOCUMENT}"))]
    TooLarge {
        /// Its length so far.
        bytes: usize,
    },
    /// The whole is not what was sent.
    #[snafu(display("{bytes} bytes do not have the hash that was told"))]
    Mismatch {
        /// Its length.
        bytes: usize,
    },
}

impl From<Bytes> for PiecedDocument {
    fn from(bytes: Bytes) -> Self {
        Self {
            bytes,
            ..Self::default()
        }
    }
}

impl PiecedDocument {
    /// The whole.
    #[must_use]
    pub const fn bytes(&self) -> &Bytes {
        &self.bytes
    }

    fn pieces(&self) -> &[DocumentPiece] {
        self.pieces.get_or_init(|| {
            let cuts = v2020::FastCDC::new(&self.bytes, PIECE_LEAST, PIECE_MEAN, PIECE_MOST);
            let piece = |cut: v2020::Chunk| {
                let bytes = self.bytes.slice(cut.offset..cut.offset + cut.length);
                let hash = xxhash_rust::xxh3::xxh3_64(&bytes);
                DocumentPiece { hash, bytes }
            };
            cuts.map(piece).collect()
        })
    }

    /// Hashes of the pieces, as they are named to another VM.
    #[must_use]
    pub fn hashes(&self) -> Vec<u64> {
        self.pieces().iter().map(|piece| piece.hash).collect()
    }

    /// What a VM needs that has pieces of these hashes.
    #[must_use]
    pub fn delta(&self, known: &[u64]) -> DocumentDelta {
        let mut given: collections::HashSet<_> = known.iter().copied().collect();
        let pieces = self.pieces();
        let new = pieces.iter().filter(|piece| given.insert(piece.hash));
        DocumentDelta {
            packed: new.map(|piece| self.pack(piece)).collect(),
            order: self.hashes(),
            hash: *self
                .hash
                .get_or_init(|| xxhash_rust::xxh3::xxh3_64(&self.bytes)),
        }
    }

    fn pack(&self, piece: &DocumentPiece) -> Bytes {
        let mut packed = self.packed.borrow_mut();
        let bytes = packed
            .entry(piece.hash)
            .or_insert_with(|| block::compress(&piece.bytes).into());
        bytes.clone()
    }

    /// The document that a delta makes of this one.
    ///
    /// # Errors
    ///
    /// When it was made for another one, or does not give what its sender had.
    pub fn apply(&self, delta: &DocumentDelta) -> Result<Bytes, DeltaFault> {
        let own = self.pieces().iter();
        let mut pieces: collections::HashMap<_, _> =
            own.map(|piece| (piece.hash, piece.bytes.clone())).collect();
        for packed in &delta.packed {
            let bytes = block::decompress(packed, PIECE_MOST).context(PackedSnafu)?;
            pieces.insert(xxhash_rust::xxh3::xxh3_64(&bytes), bytes.into());
        }
        let mut whole = BytesMut::new();
        for &hash in &delta.order {
            let piece = pieces.get(&hash).context(MissingSnafu { hash })?;
            let bytes = whole.len() + piece.len();
            ensure!(bytes <= MOST_DOCUMENT, TooLargeSnafu { bytes });
            whole.extend_from_slice(piece);
        }
        let bytes = whole.len();
        let told = xxhash_rust::xxh3::xxh3_64(&whole) == delta.hash;
        ensure!(told, MismatchSnafu { bytes });
        Ok(whole.freeze())
    }
}

//! Deltas between versions of the operator's document.
//!
//! Load pattern: a configuration of a megabyte changes, and hundreds of VMs, half of them behind
//! links of 10 Mbit/s, have all but a few bytes of it. A document is cut into content-defined
//! chunks; a requester names the chunks that it has and gets the others, compressed.

use std::{cell, collections};

use bytes::{Bytes, BytesMut};
use fastcdc::v2020;
use lz4_flex::block;
use snafu::{OptionExt as _, ResultExt as _, Snafu, ensure};

/// Sizes of a chunk.
const MIN_CHUNK_BYTES: usize = 2 * 1_024;
const MEAN_CHUNK_BYTES: usize = 8 * 1_024;
const MAX_CHUNK_BYTES: usize = 32 * 1_024;

/// Maximum size of an assembled document: a damaged delta may repeat one chunk many times.
const MAX_DOCUMENT_BYTES: usize = 32 * 1_024 * 1_024;

/// Hash of a chunk's bytes.
type ChunkHash = u64;

/// A document and its chunks.
#[derive(Debug, Default)]
pub struct ChunkedDocument {
    bytes: Bytes,
    /// All chunks, in order; cut on first use.
    chunks: cell::OnceCell<Vec<DocumentChunk>>,
    /// Hash of the complete document.
    hash: cell::OnceCell<u64>,
    /// Chunks that were sent before, compressed.
    compressed: cell::RefCell<collections::HashMap<ChunkHash, Bytes>>,
}

#[derive(Clone, Debug)]
struct DocumentChunk {
    hash: ChunkHash,
    bytes: Bytes,
}

/// Difference that turns one document into another.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct DocumentDelta {
    /// Hashes of all chunks of the document, in order.
    #[prost(fixed64, repeated, tag = "1")]
    pub order: Vec<u64>,
    /// Chunks that the requester did not name, each once, compressed.
    #[prost(bytes = "bytes", repeated, tag = "2")]
    pub compressed: Vec<Bytes>,
    /// Hash of the complete document.
    #[prost(fixed64, tag = "3")]
    pub hash: u64,
}

/// Reason why a delta can't be applied.
#[derive(Debug, Snafu)]
pub enum DeltaError {
    /// A chunk can't be decompressed.
    #[snafu(display("a chunk can't be decompressed: {source}"))]
    Compressed {
        /// Error of the decompressor.
        source: block::DecompressError,
    },
    /// A chunk is neither in the delta nor in the base document.
    #[snafu(display("chunk {hash:016x} is missing"))]
    Missing {
        /// Hash of the missing chunk.
        hash: u64,
    },
    /// The assembled document is larger than any document may be.
    #[snafu(display("document of {bytes} bytes exceeds the maximum of {MAX_DOCUMENT_BYTES}"))]
    TooLarge {
        /// Size when the assembly stopped.
        bytes: usize,
    },
    /// The assembled document is not the one that the sender had.
    #[snafu(display("document of {bytes} bytes does not have the hash in the delta"))]
    Mismatch {
        /// Size of the assembled document.
        bytes: usize,
    },
}

impl From<Bytes> for ChunkedDocument {
    fn from(bytes: Bytes) -> Self {
        Self {
            bytes,
            ..Self::default()
        }
    }
}

impl ChunkedDocument {
    /// Bytes of the complete document.
    #[must_use]
    pub const fn bytes(&self) -> &Bytes {
        &self.bytes
    }

    fn chunks(&self) -> &[DocumentChunk] {
        self.chunks.get_or_init(|| {
            let cuts = v2020::FastCDC::new(
                &self.bytes,
                MIN_CHUNK_BYTES,
                MEAN_CHUNK_BYTES,
                MAX_CHUNK_BYTES,
            );
            let chunk = |cut: v2020::Chunk| {
                let bytes = self.bytes.slice(cut.offset..cut.offset + cut.length);
                let hash = xxhash_rust::xxh3::xxh3_64(&bytes);
                DocumentChunk { hash, bytes }
            };
            cuts.map(chunk).collect()
        })
    }

    /// Hashes of the chunks, for a state request.
    #[must_use]
    pub fn hashes(&self) -> Vec<u64> {
        self.chunks().iter().map(|chunk| chunk.hash).collect()
    }

    /// Difference for a VM that has the chunks with these hashes.
    #[must_use]
    pub fn delta(&self, known: &[u64]) -> DocumentDelta {
        let mut known_hashes: collections::HashSet<_> = known.iter().copied().collect();
        let chunks = self.chunks();
        let new = chunks
            .iter()
            .filter(|chunk| known_hashes.insert(chunk.hash));
        DocumentDelta {
            compressed: new.map(|chunk| self.compress(chunk)).collect(),
            order: self.hashes(),
            hash: *self
                .hash
                .get_or_init(|| xxhash_rust::xxh3::xxh3_64(&self.bytes)),
        }
    }

    fn compress(&self, chunk: &DocumentChunk) -> Bytes {
        let mut compressed = self.compressed.borrow_mut();
        let bytes = compressed
            .entry(chunk.hash)
            .or_insert_with(|| block::compress(&chunk.bytes).into());
        bytes.clone()
    }

    /// Applies a delta to this document and returns the new one.
    ///
    /// # Errors
    ///
    /// When the delta was made for another document, or does not produce the document that its
    /// sender had.
    pub fn apply(&self, delta: &DocumentDelta) -> Result<Bytes, DeltaError> {
        let base = self.chunks().iter();
        let mut chunks: collections::HashMap<_, _> = base
            .map(|chunk| (chunk.hash, chunk.bytes.clone()))
            .collect();
        for compressed in &delta.compressed {
            let bytes = block::decompress(compressed, MAX_CHUNK_BYTES).context(CompressedSnafu)?;
            chunks.insert(xxhash_rust::xxh3::xxh3_64(&bytes), bytes.into());
        }
        let mut document = BytesMut::new();
        for &hash in &delta.order {
            let chunk = chunks.get(&hash).context(MissingSnafu { hash })?;
            let bytes = document.len() + chunk.len();
            ensure!(bytes <= MAX_DOCUMENT_BYTES, TooLargeSnafu { bytes });
            document.extend_from_slice(chunk);
        }
        let bytes = document.len();
        let matches = xxhash_rust::xxh3::xxh3_64(&document) == delta.hash;
        ensure!(matches, MismatchSnafu { bytes });
        Ok(document.freeze())
    }
}

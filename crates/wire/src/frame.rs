//! Frames: limited in size, authenticated, in order, each accepted once.
//!
//! Every frame of a connection is sealed under a key of that connection and direction, together
//! with its sequence number. TCP preserves order, so the number is not sent: a frame that is
//! changed, repeated, omitted or reordered fails its MAC and ends the connection.

use bytes::{Buf as _, BufMut as _};
use tokio::io;
use tokio_util::codec;

use crate::key;

/// Default maximum size of a frame.
pub const DEFAULT_MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Maximum size of a frame before the other side has proved that it has a key.
pub(crate) const MAX_HELLO_BYTES: usize = 512;

const LABEL: &[u8] = b"pollenchute frame";

/// A stream that is split into frames.
pub(crate) type FramedStream<S> = codec::Framed<S, codec::LengthDelimitedCodec>;

/// Splits `stream` into frames, limited to the size of a hello until the handshake is complete.
pub(crate) fn split<S: io::AsyncRead + io::AsyncWrite>(stream: S) -> FramedStream<S> {
    let codec = codec::LengthDelimitedCodec::builder()
        .max_frame_length(MAX_HELLO_BYTES)
        .new_codec();
    codec::Framed::new(stream, codec)
}

/// Seals the frames of one direction.
#[derive(Debug)]
pub struct FrameSealer {
    key: key::WireKey,
    /// Number of frames sealed so far.
    counter: u64,
}

impl FrameSealer {
    /// Seals under `key`, which is used only for this direction of this connection.
    #[must_use]
    pub const fn new(key: key::WireKey) -> Self {
        Self { key, counter: 0 }
    }

    /// The frame that carries `message`.
    pub fn seal(&mut self, message: &impl prost::Message) -> bytes::Bytes {
        let mut frame = bytes::BytesMut::with_capacity(key::TAG_BYTES + message.encoded_len());
        frame.put_bytes(0, key::TAG_BYTES);
        message
            .encode(&mut frame)
            .expect("a buffer of bytes grows as needed");
        let tag = self.key.tag(&mac_input(
            &self.counter.to_le_bytes(),
            &frame[key::TAG_BYTES..],
        ));
        frame[..key::TAG_BYTES].copy_from_slice(&tag);
        self.counter += 1;
        frame.freeze()
    }
}

/// Opens the frames of one direction.
#[derive(Debug)]
pub struct FrameOpener {
    key: key::WireKey,
    /// Number of frames opened so far.
    counter: u64,
}

impl FrameOpener {
    /// Opens frames sealed under `key`.
    #[must_use]
    pub const fn new(key: key::WireKey) -> Self {
        Self { key, counter: 0 }
    }

    /// Decodes the next frame; `None` when it is invalid or out of sequence.
    pub fn open<M: prost::Message + Default>(&mut self, frame: &mut bytes::BytesMut) -> Option<M> {
        let tag: key::MacTag = *frame.first_chunk()?;
        frame.advance(key::TAG_BYTES);
        if !self
            .key
            .verifies(&mac_input(&self.counter.to_le_bytes(), frame), &tag)
        {
            return None;
        }
        self.counter += 1;
        M::decode(frame).ok()
    }
}

const fn mac_input<'a>(counter: &'a [u8; 8], message: &'a [u8]) -> [&'a [u8]; 3] {
    [LABEL, counter, message]
}

//! Builds messages that never exceed a datagram.

use prost::Message as _;
use wire::{datagram, proto::gossip as proto};

use crate::in_force;

/// Maximum encoded size of an `InForce` report without its holders.
const WORD_BYTES: usize = (1 + 3) + (1 + 10) + (1 + 4) + (1 + 3);

/// Encoded size of one holder.
const HOLDER_BYTES: usize = 8;

/// A message under construction.
#[derive(Debug)]
pub struct PacketBuilder {
    message: proto::Message,
    /// Bytes that may still be added.
    room: usize,
}

impl PacketBuilder {
    /// Creates a message of that kind with nothing attached.
    #[must_use]
    pub fn new(kind: proto::message::Kind) -> Self {
        let message = proto::Message {
            kind: Some(kind),
            ..proto::Message::default()
        };
        let room = datagram::MAX_PAYLOAD_BYTES.saturating_sub(message.encoded_len());
        Self { message, room }
    }

    /// Attaches a claim if it fits.
    pub fn add_claim(&mut self, claim: proto::MemberClaim) -> bool {
        let fits = self.take_room(claim.encoded_len());
        if fits {
            self.message.claims.push(claim);
        }
        fits
    }

    /// Attaches an item if it fits.
    pub fn add_item(&mut self, item: proto::Item) -> bool {
        let fits = self.take_room(item.encoded_len());
        if fits {
            self.message.items.push(item);
        }
        fits
    }

    /// Attaches a digest if it fits.
    pub fn add_digest(&mut self, digest: proto::Digest) -> bool {
        let fits = self.take_room(digest.encoded_len());
        if fits {
            self.message.digests.push(digest);
        }
        fits
    }

    /// Attaches the state in force on one incarnation, if it fits.
    pub fn add_in_force(&mut self, holder: u64, state: in_force::StateKey) -> bool {
        let words = &mut self.message.in_force;
        let word = words
            .iter_mut()
            .find(|word| word.offset == state.offset && word.digest == state.digest);
        let cost = word
            .as_ref()
            .map_or(WORD_BYTES + HOLDER_BYTES, |_| HOLDER_BYTES);
        if cost > self.room {
            return false;
        }
        self.room -= cost;
        match word {
            Some(word) => word.holders.push(holder),
            None => words.push(proto::InForce {
                offset: state.offset,
                digest: state.digest,
                holders: vec![holder],
            }),
        }
        true
    }

    /// Marks an answer to a state summary as complete: nothing was left out.
    pub fn mark_complete(&mut self) {
        if let Some(proto::message::Kind::Push(push)) = &mut self.message.kind {
            push.more = false;
        }
    }

    /// Size of the payload in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.message.encoded_len()
    }

    /// The payload of the datagram.
    #[must_use]
    pub fn finish(self) -> Vec<u8> {
        self.message.encode_to_vec()
    }

    fn take_room(&mut self, bytes: usize) -> bool {
        let framed = 1 + prost::length_delimiter_len(bytes) + bytes;
        let fits = framed <= self.room;
        if fits {
            self.room -= framed;
        }
        fits
    }
}

//! Builds messages that never exceed a datagram.

use prost::Message as _;
use wire::{datagram, proto::gossip as proto};

use crate::in_force;

/// Maximum encoded size of an `InForce` report without its holders.
const IN_FORCE_BYTES: usize = (1 + 3) + (1 + 10) + (1 + 4) + (1 + 3);

/// Encoded size of one holder.
const HOLDER_BYTES: usize = 8;

/// A message under construction.
#[derive(Debug)]
pub struct PacketBuilder {
    message: proto::Message,
    /// Bytes that may still be added.
    remaining_bytes: usize,
}

impl PacketBuilder {
    /// Creates a message of that kind with nothing attached.
    #[must_use]
    pub fn new(kind: proto::message::Kind) -> Self {
        let message = proto::Message {
            kind: Some(kind),
            ..proto::Message::default()
        };
        let remaining_bytes = datagram::MAX_PAYLOAD_BYTES.saturating_sub(message.encoded_len());
        Self {
            message,
            remaining_bytes,
        }
    }

    /// Attaches a claim if it fits.
    pub fn add_claim(&mut self, claim: proto::MemberClaim) -> bool {
        let fits = self.reserve(claim.encoded_len());
        if fits {
            self.message.claims.push(claim);
        }
        fits
    }

    /// Attaches an item if it fits.
    pub fn add_item(&mut self, item: proto::Item) -> bool {
        let fits = self.reserve(item.encoded_len());
        if fits {
            self.message.items.push(item);
        }
        fits
    }

    /// Attaches a digest if it fits.
    pub fn add_digest(&mut self, digest: proto::Digest) -> bool {
        let fits = self.reserve(digest.encoded_len());
        if fits {
            self.message.digests.push(digest);
        }
        fits
    }

    /// Attaches the state in force on one incarnation, if it fits.
    pub fn add_in_force(&mut self, holder: u64, state: in_force::StateKey) -> bool {
        let reports = &mut self.message.in_force;
        let report = reports
            .iter_mut()
            .find(|report| report.offset == state.offset && report.digest == state.digest);
        let cost = report
            .as_ref()
            .map_or(IN_FORCE_BYTES + HOLDER_BYTES, |_| HOLDER_BYTES);
        if cost > self.remaining_bytes {
            return false;
        }
        self.remaining_bytes -= cost;
        match report {
            Some(report) => report.holders.push(holder),
            None => reports.push(proto::InForce {
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

    fn reserve(&mut self, bytes: usize) -> bool {
        let framed = 1 + prost::length_delimiter_len(bytes) + bytes;
        let fits = framed <= self.remaining_bytes;
        if fits {
            self.remaining_bytes -= framed;
        }
        fits
    }
}

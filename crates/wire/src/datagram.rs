//! Datagrams: bounded, authenticated, protected against replay.
//!
//! Layout: one byte for version and binding, one for the key's number, the MAC, then an
//! [`envelope::Datagram`]. The MAC is checked before anything is decoded.
//!
//! A *bound* datagram is one whose MAC also covers the receiver's name and incarnation, which
//! costs no byte on the wire. Replayed to another VM, or to the same VM after a restart, its MAC
//! is wrong. Only a greeting, sent before the receiver's incarnation is known, is not bound; its
//! receiver must do no more than answer it.

use prost::Message as _;
use trace::stamper;

use crate::{identity, key, proto::envelope, replay};

/// Largest datagram, headers of UDP and IP not counted: fits any path without fragments.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

/// Largest payload, whatever the sender's name and counter.
pub const MAX_PAYLOAD_BYTES: usize = MAX_DATAGRAM_BYTES - HEADER_BYTES - MAX_ENVELOPE_BYTES;

/// Version and binding, key number, MAC.
const HEADER_BYTES: usize = 2 + key::TAG_BYTES;

/// All of an envelope but its payload: name, incarnation, counter, the payload's own length, and
/// the stamp.
const MAX_ENVELOPE_BYTES: usize =
    (2 + identity::MAX_NAME_BYTES) + (2 + 16) + (1 + 10) + (1 + 2) + (1 + 8);

/// Lives whose replay windows are kept: 410 entry VMs with 190 restarts a day for some weeks.
const REPLAY_LIVES: usize = 8192;

const UNBOUND: u8 = 0x10;
const BOUND: u8 = 0x11;
const LABEL: &[u8] = b"pollenchute datagram";

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// Longer than [`MAX_DATAGRAM_BYTES`].
    Oversized,
    /// Not a datagram of this protocol and version.
    Malformed,
    /// A key number that is not in force.
    UnknownKey,
    /// The MAC is wrong: another key, damage, or bound to another receiver or another life.
    WrongTag,
    /// This counter of this life was taken before, or is too old to tell.
    Replayed,
    /// Sent by this very process.
    Own,
}

impl DropReason {
    /// Its label in metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Oversized => "oversized",
            Self::Malformed => "malformed",
            Self::UnknownKey => "unknown_key",
            Self::WrongTag => "wrong_tag",
            Self::Replayed => "replayed",
            Self::Own => "own",
        }
    }
}

/// The payload is longer than [`MAX_PAYLOAD_BYTES`].
#[derive(Debug, snafu::Snafu)]
#[snafu(display(
    "a payload of {bytes} bytes does not fit a datagram; send at most {MAX_PAYLOAD_BYTES}"
))]
pub struct PayloadError {
    bytes: usize,
}

/// A datagram that passed every check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenedDatagram {
    /// Who sent it, as far as a key that all processes share can prove.
    pub sender: identity::ProcessIdentity,
    /// Whether it was bound to this life of this process.
    pub bound: bool,
    /// The message of the protocol above.
    pub payload: Vec<u8>,
}

/// Seals and opens the datagrams of one process.
#[derive(Debug)]
pub struct DatagramCodec {
    own: identity::ProcessIdentity,
    keys: key::KeyHandle,
    /// Counter of the last datagram sealed; never repeated within one life.
    counter: u64,
    table: replay::ReplayTable,
    stamper: stamper::MessageStamper,
}

impl DatagramCodec {
    /// A codec for the process `own`.
    #[must_use]
    pub fn new(own: identity::ProcessIdentity, keys: key::KeyHandle) -> Self {
        Self {
            own,
            keys,
            counter: 0,
            table: replay::ReplayTable::new(REPLAY_LIVES),
            stamper: stamper::MessageStamper::default(),
        }
    }

    /// The same codec with stamps on its datagrams.
    #[must_use]
    pub fn with_stamper(mut self, stamper: stamper::MessageStamper) -> Self {
        self.stamper = stamper;
        self
    }

    /// Seals `payload` for one life of the receiver, or for whoever gets it.
    ///
    /// # Errors
    /// When the payload is too long.
    pub fn seal(
        &mut self,
        receiver: Option<&identity::ProcessIdentity>,
        payload: Vec<u8>,
    ) -> Result<Vec<u8>, PayloadError> {
        let bytes = payload.len();
        snafu::ensure!(bytes <= MAX_PAYLOAD_BYTES, PayloadSnafu { bytes });
        self.counter += 1;
        let envelope = envelope::Datagram {
            sender: self.own.name.clone(),
            incarnation: identity::incarnation_to_wire(self.own.incarnation).to_vec(),
            counter: self.counter,
            payload,
            stamp: self.stamper.stamp(),
        };
        let ring = self.keys.current();
        let key = ring.signing();
        let mut datagram = Vec::with_capacity(HEADER_BYTES + envelope.encoded_len());
        datagram.extend([binding_byte(receiver), key.id()]);
        datagram.extend([0; key::TAG_BYTES]);
        envelope
            .encode(&mut datagram)
            .expect("a vector grows as needed");
        let sealed = &datagram[HEADER_BYTES..];
        let tag = with_covered(receiver, key.id(), sealed, |parts| key.tag(parts));
        datagram[2..HEADER_BYTES].copy_from_slice(&tag);
        Ok(datagram)
    }

    /// Opens what arrived; whatever is wrong with it is counted and dropped.
    ///
    /// # Errors
    /// Why it was dropped.
    pub fn open(&mut self, datagram: &[u8]) -> Result<OpenedDatagram, DropReason> {
        let opened = self.check(datagram);
        if let Err(reason) = opened {
            metrics::counter!(
                "pollenchute_wire_datagrams_dropped_total", "reason" => reason.label()
            )
            .increment(1);
        }
        opened
    }

    fn check(&mut self, datagram: &[u8]) -> Result<OpenedDatagram, DropReason> {
        if datagram.len() > MAX_DATAGRAM_BYTES {
            return Err(DropReason::Oversized);
        }
        let (header, sealed) = datagram
            .split_first_chunk::<HEADER_BYTES>()
            .ok_or(DropReason::Malformed)?;
        let receiver = match header[0] {
            BOUND => Some(&self.own),
            UNBOUND => None,
            _ => return Err(DropReason::Malformed),
        };
        let ring = self.keys.current();
        let key = ring.accepted(header[1]).ok_or(DropReason::UnknownKey)?;
        let tag = header.last_chunk().expect("the header ends with the MAC");
        if !with_covered(receiver, header[1], sealed, |parts| {
            key.verifies(parts, tag)
        }) {
            return Err(DropReason::WrongTag);
        }
        let bound = receiver.is_some();
        let envelope = envelope::Datagram::decode(sealed).map_err(|_| DropReason::Malformed)?;
        let sender = identity::ProcessIdentity::from_wire(envelope.sender, &envelope.incarnation)
            .ok_or(DropReason::Malformed)?;
        if sender == self.own {
            return Err(DropReason::Own);
        }
        if !self.table.take(sender.incarnation, envelope.counter) {
            return Err(DropReason::Replayed);
        }
        // A greeting is not bound: whoever recorded it may send it again, with an old stamp, which
        // does no harm to a clock that only grows.
        self.stamper.observe(&sender.name, envelope.stamp);
        Ok(OpenedDatagram {
            sender,
            bound,
            payload: envelope.payload,
        })
    }
}

const fn binding_byte(receiver: Option<&identity::ProcessIdentity>) -> u8 {
    if receiver.is_some() { BOUND } else { UNBOUND }
}

/// Hands `use_parts` what the MAC covers: the key number too, so that it cannot be changed.
fn with_covered<T>(
    receiver: Option<&identity::ProcessIdentity>,
    key_id: u8,
    sealed: &[u8],
    use_parts: impl FnOnce(&[&[u8]]) -> T,
) -> T {
    let incarnation = receiver.map_or([0; 16], |own| {
        identity::incarnation_to_wire(own.incarnation)
    });
    let name = receiver.map_or("", |own| own.name.as_str());
    let header = [binding_byte(receiver), key_id];
    use_parts(&[LABEL, &header, name.as_bytes(), &incarnation, sealed])
}

//! Datagrams: limited in size, authenticated, protected against replay.
//!
//! Layout: one byte for version and binding, one byte for the key id, the MAC, then an
//! [`envelope::Datagram`]. The MAC is checked before anything is decoded.
//!
//! The MAC of a *bound* datagram also covers the receiver's name and incarnation, which adds no
//! bytes on the wire. When it is replayed to another VM, or to the same VM after a restart, its MAC
//! does not verify. Only a `Hello`, sent before the receiver's incarnation is known, is unbound;
//! its receiver must only answer it.

use prost::Message as _;
use trace::stamper;

use crate::{identity, key, proto::envelope, replay};

/// Maximum size of a datagram without UDP and IP headers: small enough for any path without
/// fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

/// Maximum size of the payload, for any name and counter of the sender.
pub const MAX_PAYLOAD_BYTES: usize = MAX_DATAGRAM_BYTES - HEADER_BYTES - MAX_ENVELOPE_BYTES;

/// Version and binding, key id, MAC.
const HEADER_BYTES: usize = 2 + key::TAG_BYTES;

/// Maximum size of an envelope without its payload: name, incarnation, counter, the length of the
/// payload, and the stamp.
const MAX_ENVELOPE_BYTES: usize =
    (2 + identity::MAX_NAME_BYTES) + (2 + 16) + (1 + 10) + (1 + 2) + (1 + 8);

/// Number of incarnations whose replay windows are kept: enough for 410 entry VMs with 190 restarts
/// a day for some weeks.
const MAX_REPLAY_WINDOWS: usize = 8192;

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
    /// The key id is not in force.
    UnknownKey,
    /// The MAC does not verify: another key, corruption, or bound to another receiver or
    /// incarnation.
    WrongTag,
    /// This counter of the sender's incarnation was accepted before, or is behind the replay
    /// window.
    Replayed,
    /// Sent by this process itself.
    Own,
}

impl DropReason {
    /// Label of the reason in metrics.
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
    /// Sender, as far as a key shared by all processes can prove.
    pub sender: identity::ProcessIdentity,
    /// Whether the datagram was bound to this incarnation of this process.
    pub bound: bool,
    /// Message of the protocol that uses the datagram.
    pub payload: Vec<u8>,
}

/// Seals and opens the datagrams of one process.
#[derive(Debug)]
pub struct DatagramCodec {
    own: identity::ProcessIdentity,
    keys: key::KeyHandle,
    /// Counter of the last sealed datagram; never repeated within one incarnation.
    counter: u64,
    table: replay::ReplayTable,
    stamper: stamper::MessageStamper,
}

impl DatagramCodec {
    /// Creates a codec for the process `own`.
    #[must_use]
    pub fn new(own: identity::ProcessIdentity, keys: key::KeyHandle) -> Self {
        Self {
            own,
            keys,
            counter: 0,
            table: replay::ReplayTable::new(MAX_REPLAY_WINDOWS),
            stamper: stamper::MessageStamper::default(),
        }
    }

    /// Adds stamps to the datagrams of this codec.
    #[must_use]
    pub fn with_stamper(mut self, stamper: stamper::MessageStamper) -> Self {
        self.stamper = stamper;
        self
    }

    /// Seals `payload`, bound to one incarnation of the receiver, or unbound when `receiver` is
    /// `None`.
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
        let tag = with_mac_input(receiver, key.id(), sealed, |parts| key.tag(parts));
        datagram[2..HEADER_BYTES].copy_from_slice(&tag);
        Ok(datagram)
    }

    /// Opens a received datagram; invalid ones are counted and dropped.
    ///
    /// # Errors
    /// The reason why the datagram was dropped.
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
        if !with_mac_input(receiver, header[1], sealed, |parts| {
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
        if !self.table.accept(sender.incarnation, envelope.counter) {
            return Err(DropReason::Replayed);
        }
        // An unbound datagram may be replayed with an old stamp, which does not affect a clock that
        // only advances.
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

/// Passes the input of the MAC to `use_parts`; it includes the key id, so that it cannot be
/// changed.
fn with_mac_input<T>(
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

//! Identity of a process: the name of its VM and its incarnation.

use base::id;

/// Maximum length of the name of an entry VM on the wire.
pub const MAX_NAME_BYTES: usize = 64;

/// One incarnation of a process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessIdentity {
    /// Name of the entry VM, 1 to [`MAX_NAME_BYTES`] bytes.
    pub name: String,
    /// Incarnation; a restarted process draws a new one.
    pub incarnation: id::Incarnation,
}

impl ProcessIdentity {
    /// Decodes both parts; `None` when either has an invalid length.
    #[must_use]
    pub fn from_wire(name: String, incarnation: &[u8]) -> Option<Self> {
        let incarnation = incarnation_from_wire(incarnation)?;
        let named = (1..=MAX_NAME_BYTES).contains(&name.len());
        named.then_some(Self { name, incarnation })
    }
}

/// Decodes an incarnation from its 16 bytes.
#[must_use]
pub fn incarnation_from_wire(bytes: &[u8]) -> Option<id::Incarnation> {
    let bytes: [u8; 16] = bytes.try_into().ok()?;
    Some(id::Incarnation(u128::from_be_bytes(bytes)))
}

/// Encodes an incarnation as 16 bytes.
#[must_use]
pub fn incarnation_to_wire(incarnation: id::Incarnation) -> [u8; 16] {
    incarnation.0.to_be_bytes()
}

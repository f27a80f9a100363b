//! Positions in the store's records.
//!
//! In a recovery the store may come back from an older copy of itself. It then gives offsets again
//! that it has given before, and names a later era in all its answers. Positions of a later era
//! come after all positions of earlier ones.

/// Position of a record in the store, or of the end of the records that were read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StorePosition {
    /// Era of the store; 0 if the store names none.
    pub era: u64,
    /// Offset in that era.
    pub offset: u64,
}

impl StorePosition {
    /// Creates the position of an offset in an era.
    #[must_use]
    pub const fn new(era: u64, offset: u64) -> Self {
        Self { era, offset }
    }

    /// The position of a removal that no record states: the list of this era never named the server.
    #[must_use]
    pub const fn era_start(era: u64) -> Self {
        Self::new(era, 0)
    }

    /// Whether this is such a position.
    #[must_use]
    pub const fn is_era_start(self) -> bool {
        self.offset == 0
    }

    /// The position after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self::new(self.era, self.offset.saturating_add(1))
    }
}

//! Hybrid logical clocks: timestamps close to the wall clock that never decrease and that order an
//! event after every event that could have caused it.

use std::sync::atomic;
use std::{fmt, str};

const LOGICAL_BITS: u32 = 16;
const LOGICAL_MASK: u64 = (1 << LOGICAL_BITS) - 1;

/// A hybrid timestamp: milliseconds of the wall clock and a counter within the millisecond.
///
/// Both are packed into one integer (48 bits and 16 bits), so that a comparison is one instruction
/// and a counter overflow carries into the millisecond. JSON and text use `<ms>.<counter>`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HybridStamp(u64);

impl HybridStamp {
    /// Creates the stamp with counter `logical` within millisecond `wall_ms`.
    #[must_use]
    pub const fn new(wall_ms: u64, logical: u16) -> Self {
        Self((wall_ms << LOGICAL_BITS) | logical as u64)
    }

    /// Decodes a stamp from the integer that a peer sent.
    #[must_use]
    pub const fn from_bits(bits: u64) -> Self {
        Self(bits)
    }

    /// Encodes the stamp as one integer for the wire.
    #[must_use]
    pub const fn bits(self) -> u64 {
        self.0
    }

    /// Milliseconds since 1970.
    #[must_use]
    pub const fn wall_ms(self) -> u64 {
        self.0 >> LOGICAL_BITS
    }

    /// Counter within the millisecond.
    #[must_use]
    pub const fn logical(self) -> u16 {
        (self.0 & LOGICAL_MASK) as u16
    }

    const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for HybridStamp {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.wall_ms(), self.logical())
    }
}

/// Error for a text that is not `<ms>.<counter>`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StampError;

impl fmt::Display for StampError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .write_str("a stamp is <unix milliseconds>.<counter>, for instance 1760000000000.0")
    }
}

impl std::error::Error for StampError {}

impl str::FromStr for HybridStamp {
    type Err = StampError;

    fn from_str(text: &str) -> Result<Self, StampError> {
        let (wall, logical) = text.split_once('.').ok_or(StampError)?;
        let wall_ms: u64 = wall.parse().map_err(|_| StampError)?;
        let logical: u16 = logical.parse().map_err(|_| StampError)?;
        if wall_ms >> (u64::BITS - LOGICAL_BITS) != 0 {
            return Err(StampError);
        }
        Ok(Self::new(wall_ms, logical))
    }
}

impl serde::Serialize for HybridStamp {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> serde::Deserialize<'de> for HybridStamp {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = <String as serde::Deserialize>::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// Result of merging a peer's stamp.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The stamp was merged: every later stamp of this process is greater.
    Merged,
    /// The stamp exceeds the maximum clock drift and was ignored.
    TooFarAhead {
        /// Milliseconds by which the stamp is ahead of this VM's wall clock.
        ahead_ms: u64,
    },
}

/// The hybrid logical clock of one process. Threads share it; the stamps it issues are unique.
///
/// The clock does not read the wall clock: callers pass its milliseconds.
#[derive(Debug)]
pub struct HybridClock {
    /// The newest stamp issued or merged; never decreases.
    last: atomic::AtomicU64,
    /// Stamps of peers further ahead than this are ignored.
    max_drift_ms: u64,
}

impl HybridClock {
    /// Maximum clock difference assumed between healthy VMs.
    pub const DEFAULT_DRIFT_MS: u64 = 2_000;

    /// Creates a clock that follows peers up to `max_drift_ms` ahead of its own wall clock.
    #[must_use]
    pub const fn new(max_drift_ms: u64) -> Self {
        Self {
            last: atomic::AtomicU64::new(0),
            max_drift_ms,
        }
    }

    /// Issues the stamp of an event that happens now, greater than all earlier stamps.
    ///
    /// When the wall clock is set back, the wall part stays constant and the counter advances until
    /// the wall clock has caught up; otherwise an effect could be ordered before its cause.
    pub fn tick(&self, now_ms: u64) -> HybridStamp {
        self.advance(HybridStamp::new(now_ms, 0))
    }

    /// Merges the stamp of a message from a peer, so that later events are ordered after it.
    ///
    /// Stamps never decrease, so one VM with a clock an hour ahead would move all others an hour
    /// ahead permanently. A stamp beyond the limit is therefore ignored and reported to the caller,
    /// because events are then ordered against that peer by wall clocks alone.
    pub fn observe(&self, now_ms: u64, peer: HybridStamp) -> MergeOutcome {
        let ahead_ms = peer.wall_ms().saturating_sub(now_ms);
        if ahead_ms > self.max_drift_ms {
            return MergeOutcome::TooFarAhead { ahead_ms };
        }
        self.last.fetch_max(peer.bits(), atomic::Ordering::AcqRel);
        MergeOutcome::Merged
    }

    /// Returns the newest stamp so far, to be sent with a message without recording an event.
    pub fn newest(&self) -> HybridStamp {
        HybridStamp(self.last.load(atomic::Ordering::Acquire))
    }

    fn advance(&self, floor: HybridStamp) -> HybridStamp {
        let step = |last| Some(HybridStamp(last).next().max(floor).bits());
        let order = atomic::Ordering::AcqRel;
        let previous = self
            .last
            .fetch_update(order, atomic::Ordering::Acquire, step)
            .unwrap_or_else(|last| last);
        HybridStamp(previous).next().max(floor)
    }
}

impl Default for HybridClock {
    fn default() -> Self {
        Self::new(Self::DEFAULT_DRIFT_MS)
    }
}

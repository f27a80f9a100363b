//! Hybrid logical clocks: stamps near the wall clock that never run backwards and that order an
//! event after every event that could have caused it.

use std::sync::atomic;
use std::{fmt, str};

const LOGICAL_BITS: u32 = 16;
const LOGICAL_MASK: u64 = (1 << LOGICAL_BITS) - 1;

/// A moment: milliseconds of the wall clock, then a counter within the millisecond.
///
/// Both stand in one number (48 bits and 16 bits), so that comparing is one instruction and a full
/// counter carries into the next millisecond by itself. JSON and text carry `<ms>.<counter>`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HybridStamp(u64);

impl HybridStamp {
    /// The first stamp of millisecond `wall_ms` plus `logical`.
    #[must_use]
    pub const fn new(wall_ms: u64, logical: u16) -> Self {
        Self((wall_ms << LOGICAL_BITS) | logical as u64)
    }

    /// The stamp that a peer sent as one number.
    #[must_use]
    pub const fn from_bits(bits: u64) -> Self {
        Self(bits)
    }

    /// The stamp as one number, for the wire.
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

/// The text is not `<ms>.<counter>`.
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

/// What became of a peer's stamp.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// Every later stamp here is greater than the peer's.
    Merged,
    /// The peer's stamp lies further ahead than clocks may differ; it was left out.
    TooFarAhead {
        /// How far it lies before this VM's wall clock.
        ahead_ms: u64,
    },
}

/// One process's clock. Threads share it; stamps that it hands out are all different.
///
/// It reads no clock: callers pass the wall clock's milliseconds.
#[derive(Debug)]
pub struct HybridClock {
    /// The newest stamp handed out or merged; only ever grows.
    last: atomic::AtomicU64,
    /// Stamps of peers further ahead than this are left out.
    max_drift_ms: u64,
}

impl HybridClock {
    /// How far clocks of healthy VMs are taken to differ at the most.
    pub const DEFAULT_DRIFT_MS: u64 = 2_000;

    /// A clock that follows peers up to `max_drift_ms` ahead of its own wall clock.
    #[must_use]
    pub const fn new(max_drift_ms: u64) -> Self {
        Self {
            last: atomic::AtomicU64::new(0),
            max_drift_ms,
        }
    }

    /// The stamp of an event that happens now, greater than all before it.
    ///
    /// A wall clock that was set back would otherwise order an effect before its cause: then the
    /// wall part stands still and the counter runs until the wall clock has caught up.
    pub fn tick(&self, now_ms: u64) -> HybridStamp {
        self.advance(HybridStamp::new(now_ms, 0))
    }

    /// Takes in the stamp of a message from a peer, so that what follows is ordered after it.
    ///
    /// One VM with a clock an hour ahead would drag every other an hour ahead, for good, since
    /// stamps never go back. A stamp beyond the bound is therefore left out, and the caller is
    /// told, because the order of events against that peer is then by wall clocks alone.
    pub fn observe(&self, now_ms: u64, peer: HybridStamp) -> MergeOutcome {
        let ahead_ms = peer.wall_ms().saturating_sub(now_ms);
        if ahead_ms > self.max_drift_ms {
            return MergeOutcome::TooFarAhead { ahead_ms };
        }
        self.last.fetch_max(peer.bits(), atomic::Ordering::AcqRel);
        MergeOutcome::Merged
    }

    /// The newest stamp so far, to be sent with a message without recording an event.
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

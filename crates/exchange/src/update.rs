//! News of backend servers, in the order that the store gave them.
//!
//! A server that crashed may start again under the name that it had. What tells its incarnations
//! apart is when each was started, as the server itself says it.

use std::{net, time};

/// When an incarnation of a server was started, on the server's own wall clock in milliseconds since
/// 1970. A greater one is a later incarnation of the same name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BirthTime(u64);

impl BirthTime {
    /// Not told: the server has one incarnation for each name.
    pub const UNTOLD: Self = Self(0);

    /// A time in milliseconds; 0 is [`BirthTime::UNTOLD`].
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Milliseconds since 1970; 0: not told.
    #[must_use]
    pub const fn millis(self) -> u64 {
        self.0
    }

    /// Whether the server told it.
    #[must_use]
    pub const fn is_told(self) -> bool {
        self.0 > 0
    }
}

/// A server's entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEntry {
    /// Which incarnation of its name it is.
    pub born: BirthTime,
    /// Service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Time for which it is still slow.
    pub cold: time::Duration,
}

/// One record of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerNews {
    /// Name of the server.
    pub id: String,
    /// Position in the store; of two records of one incarnation the greater counts.
    pub offset: u64,
    /// Absent: the entry is gone, or what stands there names no server.
    pub entry: Option<ServerEntry>,
}

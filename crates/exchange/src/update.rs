//! Updates of backend servers, ordered by their position in the store.
//!
//! A server that crashed may start again under the same name. Its incarnations are distinguished by
//! their start times, which the server itself reports.

use std::{net, time};

use crate::position;

/// Start time of an incarnation of a server, on the server's own wall clock in milliseconds since
/// 1970. A later one belongs to a later incarnation of the same name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StartTime(u64);

impl StartTime {
    /// Unknown: the server has only one incarnation under its name.
    pub const UNKNOWN: Self = Self(0);

    /// A time in milliseconds; 0 is [`StartTime::UNKNOWN`].
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Milliseconds since 1970; 0 if unknown.
    #[must_use]
    pub const fn millis(self) -> u64 {
        self.0
    }

    /// Whether the server reported its start time.
    #[must_use]
    pub const fn is_known(self) -> bool {
        self.0 > 0
    }
}

/// A server's entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEntry {
    /// Start time, which identifies the incarnation.
    pub started_at: StartTime,
    /// Service of the server.
    pub service: String,
    /// Address and port that the server listens on.
    pub address: net::SocketAddr,
    /// Failure domain of the server.
    pub domain: String,
    /// Number of requests that the server works on at a time.
    pub slots: u32,
    /// Whether the server takes no new work.
    pub leaving: bool,
    /// Whether the server itself said so in an answer to some VM, whatever its entry says.
    pub said_leaving: bool,
    /// Remaining time for which the server is still slow.
    pub cold: time::Duration,
}

/// One record of a server in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerUpdate {
    /// Name of the server.
    pub id: String,
    /// Position in the store; of two records of one incarnation the later one counts.
    pub position: position::StorePosition,
    /// The server's entry; `None` if it was removed or its record does not describe a server.
    pub entry: Option<ServerEntry>,
}

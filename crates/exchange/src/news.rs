//! News of backend servers, in the order that the store gave them.

use std::{net, time};

/// A server's entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEntry {
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
    /// Name of the incarnation.
    pub id: String,
    /// Position in the store; of two records of one server the greater counts.
    pub offset: u64,
    /// Absent: the entry is gone.
    pub entry: Option<ServerEntry>,
}

//! Updates of backend servers, ordered by their position in the store.
//!
//! A server that crashed may start again under the same name. Its incarnations are distinguished by
//! their start times, which the server itself reports.

use std::{net, time};

use snafu::Snafu;

use crate::position;

/// Most requests that a server works on at a time.
const MAX_SLOTS: u32 = 10_000;
/// Longest name of a server, a service or a failure domain, in bytes: updates of several servers fit in
/// one datagram.
const MAX_NAME_BYTES: usize = 128;
/// Latest start time, in milliseconds since the Unix epoch: the year 2200. A later value is in another
/// unit or not a time, and its entry would permanently supersede every valid one.
const MAX_START_MS: u64 = 7_258_118_400_000;

/// Why an entry does not describe a server.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum EntryFault {
    /// The name can't be sent to the server in a header.
    #[snafu(display("name {name:?}: use 1 to {MAX_NAME_BYTES} visible ASCII characters"))]
    Name {
        /// First characters of the name.
        name: String,
    },
    /// The name of the service or of the failure domain is empty or too long.
    #[snafu(display("{field} of {bytes} bytes: use 1 to {MAX_NAME_BYTES}"))]
    Text {
        /// Field of the entry.
        field: &'static str,
        /// Size of the name.
        bytes: usize,
    },
    /// No server works on that many requests.
    #[snafu(display("slots {slots}: a server works on 1 to {MAX_SLOTS} requests at a time"))]
    Slots {
        /// Stated number.
        slots: u32,
    },
    /// No server listens at the address.
    #[snafu(display("address {address}: no server can listen there"))]
    Address {
        /// Stated address.
        address: net::SocketAddr,
    },
    /// The start time is not one.
    #[snafu(display("born {millis} is not a start time in milliseconds since the Unix epoch"))]
    Start {
        /// Stated milliseconds.
        millis: u64,
    },
}

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

impl ServerUpdate {
    /// Checks that the entry describes a server: whoever wrote it may have written anything.
    ///
    /// # Errors
    ///
    /// Returns the first field with a value that no server has.
    pub fn check(&self) -> Result<(), EntryFault> {
        let Some(entry) = &self.entry else {
            return Ok(());
        };
        let is_visible = self.id.bytes().all(|byte| byte.is_ascii_graphic());
        if !is_visible || !is_name(&self.id) {
            let name: String = self.id.chars().take(MAX_NAME_BYTES).collect();
            return NameSnafu { name }.fail();
        }
        for (field, text) in [("service", &entry.service), ("zone", &entry.domain)] {
            if !is_name(text) {
                let bytes = text.len();
                return TextSnafu { field, bytes }.fail();
            }
        }
        let (slots, address, start) = (entry.slots, entry.address, entry.started_at);
        if !(1..=MAX_SLOTS).contains(&slots) {
            return SlotsSnafu { slots }.fail();
        }
        if !is_reachable(address) {
            return AddressSnafu { address }.fail();
        }
        if start.millis() > MAX_START_MS {
            let millis = start.millis();
            return StartSnafu { millis }.fail();
        }
        Ok(())
    }
}

const fn is_name(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_NAME_BYTES
}

/// Whether a server can listen at an address.
fn is_reachable(address: net::SocketAddr) -> bool {
    let ip = address.ip();
    let is_broadcast = ip == net::IpAddr::V4(net::Ipv4Addr::BROADCAST);
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast
}

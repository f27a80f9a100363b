//! Shares of a VM's memory and descriptors that the listeners for callers may take.

use crate::{intake, memory};

/// Part of the memory that the bytes of callers may take, as one over this number. The rest is for the
/// state of the process, for answers, and for memory that the allocator does not give back.
const CALLERS_DIVISOR: usize = 3;
/// Least read buffer of a connection.
const MIN_READ_BUFFER_BYTES: usize = 16 * 1_024;
/// Memory of a connection beside its read buffer and its covered bytes.
const CONNECTION_BYTES: usize = 8 * 1_024;
/// Connections that any listener may have.
const MIN_CONNECTIONS: usize = 4;

/// Memory and descriptors that a process may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineLimit {
    /// Memory, in bytes.
    pub memory: usize,
    /// Open file descriptors.
    pub descriptors: usize,
}

/// Fraction of the descriptors that the connections of a listener may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DescriptorShare(pub f64);

impl DescriptorShare {
    /// Requests of callers: each needs one more descriptor to its server, and some are for other VMs, the
    /// store and files.
    pub const CALLERS: Self = Self(0.4);
    /// Requests that other VMs hand over.
    pub const HANDOVERS: Self = Self(0.1);
    /// Lookups of addresses.
    pub const LOOKUPS: Self = Self(0.05);
    /// State requests of other VMs.
    pub const LINKS: Self = Self(0.05);
    /// Probes of readiness and reads of metrics.
    pub const PROBES: Self = Self(0.02);
    /// All of these, with probes and metrics apart.
    const ALL: Self = Self(0.64);
}

impl MachineLimit {
    /// Memory for the heads and bodies of requests that connections do not cover: half of that for
    /// callers, or more on a small VM, so that one request with a body of `body_bytes` can be served.
    #[must_use]
    pub fn body_memory(&self, body_bytes: usize) -> usize {
        let all = self.memory / CALLERS_DIVISOR;
        let one = memory::CallerMemory::limit_for(body_bytes + memory::SMALL_GRANT_BYTES);
        (all / 2).max(one).min(all)
    }

    /// Maximum number of connections of a listener whose request heads have at most `header_bytes`: all
    /// listeners share the half of the memory for callers that is not for bodies.
    #[must_use]
    pub fn connections(&self, share: DescriptorShare, header_bytes: usize) -> usize {
        let buffer = header_bytes.max(MIN_READ_BUFFER_BYTES);
        let each = buffer + intake::COVERED_BYTES + CONNECTION_BYTES;
        let of_memory = self.memory as f64 / (2 * CALLERS_DIVISOR * each) as f64;
        let by_memory = of_memory * share.0 / DescriptorShare::ALL.0;
        let by_descriptors = self.descriptors as f64 * share.0;
        (by_memory.min(by_descriptors) as usize).max(MIN_CONNECTIONS)
    }
}

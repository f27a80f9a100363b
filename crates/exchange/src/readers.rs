//! Which VMs read the store on behalf of all.

use tokio::time;

use crate::{peers, state};

/// Number of VMs that read the store on behalf of all: enough that some remain when a third of them
/// is partitioned, few enough that reading costs the same with 60 VMs as with 6.
pub const READERS: usize = 6;
/// Number of VMs that poll the store for its recovery, among those that can't reach it.
const MAX_PROBING_VMS: usize = 3;

impl state::PlaneState {
    /// Returns whether this VM is one of the few that read the store on behalf of all, among those
    /// that reach it.
    #[must_use]
    pub fn reads_store(&self, now: time::Instant) -> bool {
        let readers = if self.contact.is_unavailable() {
            MAX_PROBING_VMS
        } else {
            READERS
        };
        self.readers_ahead(now) < readers
    }

    /// Whether this VM is the first of those that read the store for all.
    #[must_use]
    pub fn reads_store_first(&self, now: time::Instant) -> bool {
        self.readers_ahead(now) == 0
    }

    /// Number of VMs that read the store rather than this one.
    fn readers_ahead(&self, now: time::Instant) -> usize {
        // VMs that can't reach the store elect readers among themselves as well; otherwise none of
        // them would notice its recovery.
        self.vms_ahead(now, |peer| {
            peer.store_unavailable == self.contact.is_unavailable()
        })
    }

    /// Number of such VMs that count as alive and come before this one in an order that all of them
    /// derive from their names.
    pub(crate) fn vms_ahead(
        &self,
        now: time::Instant,
        counts: impl Fn(&peers::PeerRecord) -> bool,
    ) -> usize {
        let rank = |name: &str| xxhash_rust::xxh3::xxh3_64(name.as_bytes());
        let own = rank(&self.settings.name);
        let vms = self.peers.all();
        let vms = vms.filter(|(_, peer)| peer.is_alive(now) && counts(peer));
        vms.filter(|(name, _)| rank(name) < own).count()
    }
}

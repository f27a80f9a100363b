//! What a VM knows of crashes that the store may not have.

use crate::crash_news;

/// Which crashes this VM writes to the store for VMs that learn of them only there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CrashSharing {
    /// None, since all VMs hear each other.
    #[default]
    Off,
    /// All that it knows, once it finds something.
    Found,
    /// All that it knows, once it finds something or is told.
    All,
}

/// Whether the store is to get crashes.
#[derive(Debug, Default)]
pub struct UnsavedCrashes {
    sharing: CrashSharing,
    /// Whether what is refused has changed, and this VM is to save it.
    refused: bool,
    /// Whether this VM found evidence.
    found: bool,
    /// Whether other VMs told this one evidence.
    told: bool,
}

impl UnsavedCrashes {
    /// Sets which crashes this VM writes to the store for VMs that learn of them only there.
    pub const fn set_sharing(&mut self, sharing: CrashSharing) {
        self.sharing = sharing;
    }

    /// Which crashes this VM writes to the store for VMs that learn of them only there.
    #[must_use]
    pub const fn sharing(&self) -> CrashSharing {
        self.sharing
    }

    /// Adds that what is refused has changed, and this VM is to save it.
    pub const fn add_refused(&mut self) {
        self.refused = true;
    }

    /// Adds evidence.
    pub const fn add(&mut self, source: crash_news::EvidenceSource) {
        match source {
            crash_news::EvidenceSource::Own => self.found = true,
            crash_news::EvidenceSource::Peer => self.told = true,
            crash_news::EvidenceSource::Store => {}
        }
    }

    /// Adds all that this VM wrote, since the store may have lost it.
    pub const fn add_lost(&mut self) {
        self.found = true;
    }

    /// Whether this VM is to save crashes now. If so, they count as saved.
    pub fn take(&mut self) -> bool {
        let refused = std::mem::take(&mut self.refused);
        if self.sharing == CrashSharing::Off {
            return refused;
        }
        let found = std::mem::take(&mut self.found);
        let told = std::mem::take(&mut self.told) && self.sharing == CrashSharing::All;
        refused || found || told
    }
}

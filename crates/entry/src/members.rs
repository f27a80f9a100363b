//! The entry VMs as this process observes them. Their liveness is only a hint; no safety property
//! depends on it.

use std::{collections, net, sync};

use base::{id, ops};
use conf::snapshot;
use lease::choice;

/// One entry VM as this process observes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownMember {
    /// Status for the operators' API.
    pub status: ops::MemberStatus,
    /// Address for frames and datagrams of other entry VMs.
    pub peers: net::SocketAddr,
}

impl KnownMember {
    /// Creates a VM of the inventory that gossip has not reported yet.
    #[must_use]
    pub fn from_inventory(vm: &snapshot::VmView) -> Self {
        let status = ops::MemberStatus {
            vm: vm.name.clone(),
            region: vm.region.clone(),
            failure_domain: vm.entry.failure_domain.clone(),
            address: vm.entry.callers.to_string(),
            state: ops::HealthState::Unknown,
            incarnation: None,
            revision: None,
            heard_ms_ago: None,
            version: None,
        };
        Self {
            status,
            peers: vm.entry.peers,
        }
    }

    /// Creates a VM that gossip reports but the inventory lacks, such as one that was just removed.
    #[must_use]
    pub fn unlisted(name: &str, peers: net::SocketAddr) -> Self {
        let status = ops::MemberStatus {
            vm: name.to_owned(),
            region: String::new(),
            failure_domain: String::new(),
            address: String::new(),
            state: ops::HealthState::Unknown,
            incarnation: None,
            revision: None,
            heard_ms_ago: None,
            version: None,
        };
        Self { status, peers }
    }
}

/// A member whose state changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberChange {
    /// Its name.
    pub vm: String,
    /// Its new state.
    pub state: ops::HealthState,
}

/// Known entry VMs by name.
#[derive(Debug)]
pub struct MemberTable {
    /// Name of this VM.
    own: String,
    members: sync::RwLock<collections::BTreeMap<String, KnownMember>>,
}

impl MemberTable {
    /// Creates an empty table for the VM named `own`.
    #[must_use]
    pub fn new(own: String) -> Self {
        Self {
            own,
            members: sync::RwLock::default(),
        }
    }

    fn read(&self) -> sync::RwLockReadGuard<'_, collections::BTreeMap<String, KnownMember>> {
        self.members
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Replaces all members; returns those whose state changed.
    pub fn replace(&self, members: Vec<KnownMember>) -> Vec<MemberChange> {
        let next: collections::BTreeMap<String, KnownMember> = members
            .into_iter()
            .map(|member| (member.status.vm.clone(), member))
            .collect();
        let mut table = self
            .members
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let former = std::mem::replace(&mut *table, next);
        table
            .values()
            .filter(|member| {
                former
                    .get(&member.status.vm)
                    .is_none_or(|before| before.status.state != member.status.state)
            })
            .map(|member| MemberChange {
                vm: member.status.vm.clone(),
                state: member.status.state,
            })
            .collect()
    }

    /// Whether this entry VM is advertised to callers.
    ///
    /// A VM that gossip has not reported is advertised too: a caller that finds it dead tries the
    /// next one, while a VM that is never advertised receives no requests.
    #[must_use]
    pub fn is_advertised(&self, snapshot: &snapshot::ConfigSnapshot, vm: id::VmKey) -> bool {
        let Some(view) = snapshot.vm(vm) else {
            return false;
        };
        self.read().get(&view.name).is_none_or(|member| {
            !matches!(
                member.status.state,
                ops::HealthState::Dead | ops::HealthState::Leaving
            )
        })
    }

    /// Address at which another entry VM takes frames.
    #[must_use]
    pub fn peer_address(&self, vm: &str) -> Option<net::SocketAddr> {
        self.read().get(vm).map(|member| member.peers)
    }

    /// Names of the live members, this VM included.
    #[must_use]
    pub fn live_names(&self) -> Vec<String> {
        let mut names = self.live_peers();
        names.push(self.own.clone());
        names
    }

    /// Names of the other live members.
    #[must_use]
    pub fn live_peers(&self) -> Vec<String> {
        self.read()
            .values()
            .filter(|member| {
                matches!(
                    member.status.state,
                    ops::HealthState::Up | ops::HealthState::Suspect
                )
            })
            .map(|member| member.status.vm.clone())
            .filter(|name| *name != self.own)
            .collect()
    }

    /// The other live members, with their regions.
    #[must_use]
    pub fn live_regions(&self) -> Vec<choice::RegionMember> {
        let table = self.read();
        let others = table.values().filter(|member| member.status.vm != self.own);
        others
            .filter(|member| {
                matches!(
                    member.status.state,
                    ops::HealthState::Up | ops::HealthState::Suspect
                )
            })
            .map(|member| choice::RegionMember {
                name: member.status.vm.clone(),
                region: member.status.region.clone(),
            })
            .collect()
    }

    /// Status of all known members, sorted by name.
    #[must_use]
    pub fn list(&self) -> Vec<ops::MemberStatus> {
        self.read()
            .values()
            .map(|member| member.status.clone())
            .collect()
    }
}

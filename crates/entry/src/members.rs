//! The entry VMs as this process sees them. Hints of liveness; nothing safe rests on them.

use std::{collections, net, sync};

use base::{id, ops};
use conf::snapshot;
use lease::choice;

/// One entry VM as this process sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownMember {
    /// What operators are shown.
    pub status: ops::MemberStatus,
    /// Where it takes frames and datagrams of other entry VMs.
    pub peers: net::SocketAddr,
}

impl KnownMember {
    /// A VM of the inventory that was not heard of.
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

    /// A VM that was heard of and is not in the inventory, such as one that was just removed.
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
    /// Its state now.
    pub state: ops::HealthState,
}

/// What is known of the entry VMs.
#[derive(Debug)]
pub struct MemberTable {
    /// Name of this VM.
    own: String,
    members: sync::RwLock<collections::BTreeMap<String, KnownMember>>,
}

impl MemberTable {
    /// A table that knows nobody but `own`.
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

    /// Replaces what is known; returns whose state changed.
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

    /// Whether callers may be told this entry VM.
    ///
    /// One that is not heard of is named all the same: a caller that finds it dead asks the
    /// next, while one that is never named serves nobody.
    #[must_use]
    pub fn is_named(&self, snapshot: &snapshot::ConfigSnapshot, vm: id::VmKey) -> bool {
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

    /// Where another entry VM takes frames.
    #[must_use]
    pub fn peer_address(&self, vm: &str) -> Option<net::SocketAddr> {
        self.read().get(vm).map(|member| member.peers)
    }

    /// Names of the members that answer, this VM among them.
    #[must_use]
    pub fn live_names(&self) -> Vec<String> {
        let mut names = self.live_peers();
        names.push(self.own.clone());
        names
    }

    /// Names of the other members that answer.
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

    /// The other members that answer, with their regions.
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

    /// All that is known, by name.
    #[must_use]
    pub fn list(&self) -> Vec<ops::MemberStatus> {
        self.read()
            .values()
            .map(|member| member.status.clone())
            .collect()
    }
}

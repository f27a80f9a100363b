//! Assignment of watchers and users to backend servers: equal on all VMs that see the same members,
//! without any communication.

use std::collections;

use base::rendezvous;

/// Duty of a VM to read a server's load and send it to the server's users.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchDuty {
    /// The VM does not watch the server.
    None,
    /// The VM reads the load at a lower rate, and sends it when the first watcher is silent.
    Standby,
    /// The VM reads the load often and sends it.
    First,
}

/// Rules by which watchers and users are assigned.
#[derive(Clone, Copy, Debug)]
pub struct WatchRules {
    /// Number of VMs that read the load of one server.
    pub watchers: usize,
    /// Average number of servers that one VM uses; in a smaller region each VM uses all.
    pub candidates: usize,
}

impl Default for WatchRules {
    fn default() -> Self {
        Self {
            watchers: 2,
            candidates: 32,
        }
    }
}

/// Watchers and users of each server of one region.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatchPlan {
    /// VMs that use a server, best first; the first of them watch it.
    users: collections::BTreeMap<String, Vec<String>>,
    /// Servers that a VM uses.
    candidates: collections::BTreeMap<String, Vec<String>>,
    watchers: usize,
}

impl WatchPlan {
    /// Computes the plan for a region with these VMs and servers.
    ///
    /// Each server has the same number of users, so that none is unused or overloaded; a VM that
    /// joins or leaves changes only the lists in which it ranks.
    #[must_use]
    pub fn new(vms: &[&str], servers: &[&str], rules: WatchRules) -> Self {
        let mut plan = Self {
            watchers: rules.watchers,
            ..Self::default()
        };
        let wanted = (rules.candidates * vms.len()).div_ceil(servers.len().max(1));
        let count = wanted.max(rules.watchers).min(vms.len());
        for server in servers {
            let users = rendezvous::highest(server, vms.iter().copied(), count);
            for vm in &users {
                let candidates = plan.candidates.entry((*vm).to_owned()).or_default();
                candidates.push((*server).to_owned());
            }
            let users = users.into_iter().map(str::to_owned).collect();
            plan.users.insert((*server).to_owned(), users);
        }
        plan
    }

    /// VMs that use the server, best first; empty for one that is not of this region.
    #[must_use]
    pub fn users(&self, server: &str) -> &[String] {
        self.users.get(server).map_or(&[], Vec::as_slice)
    }

    /// VMs that watch the server, the first watcher first.
    #[must_use]
    pub fn watchers(&self, server: &str) -> &[String] {
        let users = self.users(server);
        &users[..users.len().min(self.watchers)]
    }

    /// Servers that the VM uses, in name order.
    #[must_use]
    pub fn candidates(&self, vm: &str) -> &[String] {
        self.candidates.get(vm).map_or(&[], Vec::as_slice)
    }

    /// Duty of the VM in watching the server.
    #[must_use]
    pub fn duty(&self, vm: &str, server: &str) -> WatchDuty {
        match self
            .watchers(server)
            .iter()
            .position(|watcher| watcher == vm)
        {
            Some(0) => WatchDuty::First,
            Some(_) => WatchDuty::Standby,
            None => WatchDuty::None,
        }
    }

    /// All servers of the plan, in name order.
    pub fn servers(&self) -> impl Iterator<Item = &str> {
        self.users.keys().map(String::as_str)
    }
}

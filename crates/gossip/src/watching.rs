//! Who watches which backend server, and who uses it: equal on all VMs that see the same members,
//! without a word between them.

use std::collections;

use base::rendezvous;

/// Whether this VM reads a server's load and passes it on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchDuty {
    /// It does not.
    None,
    /// It reads now and then, and passes it on when the first watcher is not heard of.
    Standby,
    /// It reads often and passes it on.
    First,
}

/// How watching is divided.
#[derive(Clone, Copy, Debug)]
pub struct WatchRules {
    /// VMs that read the load of one server.
    pub watchers: usize,
    /// Servers that one VM uses, on average; a smaller region has each VM use all.
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

/// Who watches and who uses which server of one region.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatchPlan {
    /// VMs that use a server, best first; the first of them watch it.
    users: collections::BTreeMap<String, Vec<String>>,
    /// Servers that a VM uses.
    candidates: collections::BTreeMap<String, Vec<String>>,
    watchers: usize,
}

impl WatchPlan {
    /// The plan for a region with these VMs and servers.
    ///
    /// Each server has equally many users, so that none is left out and none is flooded; a VM
    /// that comes or goes changes only the lists in which it ranks.
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

    /// Servers that the VM uses, in the order of their names.
    #[must_use]
    pub fn candidates(&self, vm: &str) -> &[String] {
        self.candidates.get(vm).map_or(&[], Vec::as_slice)
    }

    /// What the VM has to do about the server.
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

    /// All servers of the plan, in the order of their names.
    pub fn servers(&self) -> impl Iterator<Item = &str> {
        self.users.keys().map(String::as_str)
    }
}

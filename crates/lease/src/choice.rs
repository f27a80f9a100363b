//! Which VM should hold which lease.
//!
//! Only a few VMs of each region hold all its leases, so that renewals cost few appends. The
//! choice follows liveness hints and may differ between VMs for a while: the log decides.

use std::collections;

use base::rendezvous;

/// One entry VM or backend server and the region that it is in.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RegionMember {
    /// Its name.
    pub name: String,
    /// Its region.
    pub region: String,
}

/// The servers whose leases `vm` should hold, given the live VMs.
#[must_use]
pub fn assigned(
    vm: &str,
    live: &[RegionMember],
    servers: &[RegionMember],
    holders_per_region: usize,
) -> collections::BTreeSet<String> {
    let mut holders: collections::BTreeMap<&str, Vec<&str>> = collections::BTreeMap::new();
    let mut found = collections::BTreeSet::new();
    for server in servers {
        let region = server.region.as_str();
        let holders = holders
            .entry(region)
            .or_insert_with(|| region_holders(region, live, holders_per_region));
        let chosen = rendezvous::highest(&server.name, holders.iter().copied(), 1);
        if chosen == [vm] {
            found.insert(server.name.clone());
        }
    }
    found
}

/// The VMs that hold a region's leases; of any region when the region itself has no live VM.
fn region_holders<'a>(region: &str, live: &'a [RegionMember], count: usize) -> Vec<&'a str> {
    let near = live.iter().filter(|member| member.region == region);
    let mut names: Vec<&str> = near.map(|member| member.name.as_str()).collect();
    if names.is_empty() {
        names = live.iter().map(|member| member.name.as_str()).collect();
    }
    rendezvous::highest(region, names, count.max(1))
}

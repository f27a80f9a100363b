//! Assigns leases to VMs.
//!
//! Only a few VMs of each region hold all leases of that region, so that renewals need few appends.
//! The assignment follows liveness hints and may differ between VMs for a while; the log decides
//! who holds a lease.

use std::collections;

use base::rendezvous;

/// An entry VM or backend server and its region.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RegionMember {
    /// Name of the VM or server.
    pub name: String,
    /// Region that the VM or server runs in.
    pub region: String,
}

/// Returns the names of the servers whose leases `vm` should hold, given the live VMs.
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

/// Chooses the VMs that hold a region's leases. VMs of all regions are eligible when the region
/// itself has no live VM.
fn region_holders<'a>(region: &str, live: &'a [RegionMember], count: usize) -> Vec<&'a str> {
    let near = live.iter().filter(|member| member.region == region);
    let mut names: Vec<&str> = near.map(|member| member.name.as_str()).collect();
    if names.is_empty() {
        names = live.iter().map(|member| member.name.as_str()).collect();
    }
    rendezvous::highest(region, names, count.max(1))
}

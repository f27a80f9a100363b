//! Communication peers of this VM: its neighbours, and representatives of other regions.

use std::{collections, sync};

use base::{id, rendezvous};

use crate::core;

/// Lists derived from the member table, cached until it changes.
#[derive(Clone, Debug)]
pub(crate) struct RosterCache {
    neighbours: sync::Arc<[id::VmKey]>,
    links: sync::Arc<collections::BTreeMap<String, Vec<id::VmKey>>>,
    /// Whether members or seeds changed since the lists were computed.
    pub stale: bool,
}

impl Default for RosterCache {
    fn default() -> Self {
        Self {
            neighbours: sync::Arc::new([]),
            links: sync::Arc::default(),
            stale: true,
        }
    }
}

impl<R: rand::Rng> core::MemberCore<R> {
    /// The present members of this region, without this VM.
    pub(crate) fn neighbours(&mut self) -> sync::Arc<[id::VmKey]> {
        self.refresh_roster();
        sync::Arc::clone(&self.roster.neighbours)
    }

    /// The other regions towards which this VM represents its own, with their representatives.
    pub(crate) fn linked_regions(
        &mut self,
    ) -> sync::Arc<collections::BTreeMap<String, Vec<id::VmKey>>> {
        self.refresh_roster();
        sync::Arc::clone(&self.roster.links)
    }

    fn refresh_roster(&mut self) {
        if !std::mem::take(&mut self.roster.stale) {
            return;
        }
        let own = &self.own.place.region;
        let others = self.table.iter().filter(|(_, record)| {
            record.state().is_present()
                && record.claim.place.region == *own
                && record.claim.name != self.identity.name
        });
        self.roster.neighbours = others.map(|(key, _)| key).collect();
        let own_key = self.table.key(&self.identity.name);
        let is_representative = |other: &String| {
            self.representatives(own, other)
                .iter()
                .any(|key| Some(*key) == own_key)
        };
        let regions = self.other_regions().into_iter().filter(is_representative);
        let links = regions.map(|other| (other.clone(), self.representatives(&other, own)));
        self.roster.links = sync::Arc::new(links.collect());
    }

    /// The representatives of `region` towards `other`: the highest-ranked VM of each failure
    /// domain, so that a link remains when one domain fails.
    fn representatives(&self, region: &str, other: &str) -> Vec<id::VmKey> {
        let subject = format!("link {region} {other}");
        let mut best: collections::BTreeMap<&str, (u64, id::VmKey)> = collections::BTreeMap::new();
        for (key, record) in self.table.iter() {
            let place = &record.claim.place;
            if place.region != region || !record.state().is_present() {
                continue;
            }
            let rank = (rendezvous::score(&subject, &record.claim.name), key);
            let entry = best.entry(&place.failure_domain).or_insert(rank);
            *entry = rank.max(*entry);
        }
        best.into_values().map(|(_, key)| key).collect()
    }

    fn other_regions(&self) -> collections::BTreeSet<String> {
        let members = self
            .table
            .iter()
            .map(|(_, record)| &record.claim.place.region);
        let seeds = self.seeds.values().map(|place| &place.region);
        members
            .chain(seeds)
            .filter(|region| **region != self.own.place.region)
            .cloned()
            .collect()
    }
}

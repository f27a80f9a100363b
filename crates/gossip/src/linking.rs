//! Links between regions: one VM of each failure domain represents its region.
//!
//! Only representatives send across regions, so a VM's cost does not grow with the number of
//! members in other regions. Updates that cross a link then spread within the region like all
//! others.

use std::{collections, net, time};

use base::id;
use rand::seq::IndexedRandom as _;
use wire::proto::gossip as proto;

use crate::{core, event, item};
use event::CoreAction;
use proto::message::Kind;

/// Interval at which each representative sends to another region.
const LINK_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Each representative sends a state summary instead of a ping at every n-th turn.
const SYNC_TURNS: u32 = 5;

/// After this long without a datagram from another region, other addresses there are tried.
const SILENCE_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// `Hello` messages in one round of trying other addresses.
const REDISCOVERY_HELLOS: usize = 2;

/// Interval at which a VM announces to its region that it received from another region.
const BEACON_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// A region from which no member of this region received for this long counts as lost.
const LOST_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// State of the link to another region.
#[derive(Clone, Copy, Debug)]
struct LinkRecord {
    /// When this VM last received from the region.
    received_at: time::Duration,
    /// When any member of this VM's region last received from it, as far as is known here.
    beacon_at: time::Duration,
    /// Whether the region counts as lost.
    lost: bool,
}

/// The links to other regions.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinkState {
    links: collections::BTreeMap<String, LinkRecord>,
    due: time::Duration,
    turn: u32,
}

impl LinkState {
    /// Regions that count as lost.
    pub fn lost(&self) -> collections::BTreeSet<String> {
        let lost = self.links.iter().filter(|(_, link)| link.lost);
        lost.map(|(region, _)| region.clone()).collect()
    }

    fn record(&mut self, region: &str, now: time::Duration) -> &mut LinkRecord {
        self.links.entry(region.to_owned()).or_insert(LinkRecord {
            received_at: now,
            beacon_at: now,
            lost: false,
        })
    }
}

impl<R: rand::Rng> core::MemberCore<R> {
    /// Members of other regions that a dissemination round also sends to.
    pub(crate) fn link_targets(&mut self) -> Vec<id::VmKey> {
        let regions = self.linked_regions();
        regions
            .values()
            .filter_map(|keys| keys.choose(&mut self.rng).copied())
            .collect()
    }

    /// Maintains the links to other regions, and detects lost ones.
    pub(crate) fn link_round(&mut self, now: time::Duration) {
        if now < self.links.due {
            return;
        }
        self.links.due = now + LINK_INTERVAL;
        self.links.turn = self.links.turn.wrapping_add(1);
        for (region, keys) in self.linked_regions().iter() {
            self.contact_region(now, region, keys);
        }
        self.detect_losses(now);
    }

    fn contact_region(&mut self, now: time::Duration, region: &str, keys: &[id::VmKey]) {
        let received_at = self.links.record(region, now).received_at;
        if let Some(&target) = keys.choose(&mut self.rng) {
            let kind = if self.links.turn.is_multiple_of(SYNC_TURNS) {
                Kind::SyncSummary(self.sync_summary(now, true))
            } else {
                let number = self.schedule.next_number();
                Kind::Ping(proto::Ping { number })
            };
            self.send_to(now, target, kind);
        }
        // All its representatives may have been replaced without this region having learnt of it.
        if keys.is_empty() || now.saturating_sub(received_at) >= SILENCE_TIMEOUT {
            let addresses = self.addresses_in(region);
            let picked: Vec<net::SocketAddr> = addresses
                .sample(&mut self.rng, REDISCOVERY_HELLOS)
                .copied()
                .collect();
            for address in picked {
                self.send_hello(address);
            }
        }
    }

    fn addresses_in(&self, region: &str) -> Vec<net::SocketAddr> {
        let members = self.table.iter().map(|(_, record)| &record.claim.place);
        let places = members
            .chain(self.seeds.values())
            .filter(|place| place.region == region);
        let addresses: collections::BTreeSet<net::SocketAddr> =
            places.map(|place| place.address).collect();
        addresses.into_iter().collect()
    }

    /// Records that a datagram arrived from another region, and announces it within this region.
    pub(crate) fn record_received(&mut self, now: time::Duration, sender: &str) {
        let Some(record) = self.table.named(sender) else {
            return;
        };
        let region = record.claim.place.region.clone();
        if region == self.own.place.region {
            return;
        }
        let link = self.links.record(&region, now);
        link.received_at = now;
        if now.saturating_sub(link.beacon_at) >= BEACON_INTERVAL || link.lost {
            let key = item::ItemKey {
                kind: item::ItemKind::Link,
                subject: region,
            };
            let known = self
                .items
                .get(&key)
                .map(|item| item.version)
                .unwrap_or_default();
            let version = known.saturating_add(1);
            let item = item::Item {
                key,
                version,
                body: Vec::new(),
                expires_at: None,
                added_at: now,
            };
            self.apply_item(now, item);
        }
    }

    /// Records that a member of this region received from another region.
    pub(crate) fn record_beacon(&mut self, now: time::Duration, region: &str) {
        let link = self.links.record(region, now);
        link.beacon_at = now;
        if std::mem::take(&mut link.lost) {
            self.notify_link(region, true);
        }
    }

    fn detect_losses(&mut self, now: time::Duration) {
        let is_lost = |link: &LinkRecord| now.saturating_sub(link.beacon_at) >= LOST_TIMEOUT;
        let links = self.links.links.iter_mut();
        let newly_lost = links.filter(|(_, link)| !link.lost && is_lost(link));
        let regions: Vec<String> = newly_lost
            .map(|(region, link)| {
                link.lost = true;
                region.clone()
            })
            .collect();
        for region in regions {
            self.notify_link(&region, false);
        }
    }

    fn notify_link(&mut self, region: &str, reachable: bool) {
        self.actions
            .push(CoreAction::Notify(event::GossipEvent::Region(
                event::RegionUpdate {
                    region: region.to_owned(),
                    reachable,
                },
            )));
    }
}

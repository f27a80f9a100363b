//! Few links between regions: one VM of each failure domain speaks for its region.
//!
//! Only these cross the links, so a VM's cost does not grow with the number of regions' members.
//! What crosses then spreads within the region as everything else does.

use std::{collections, net, time};

use base::id;
use rand::seq::IndexedRandom as _;
use wire::proto::gossip as proto;

use crate::{core, event, item};
use event::CoreAction;
use proto::message::Kind;

/// Each representative writes to another region this often.
const LINK_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Each representative compares notes with another region at every so-manieth turn.
const SYNC_TURNS: u32 = 5;

/// Another region from which nothing came for this long is sought at other addresses.
const SEEK_AFTER: time::Duration = time::Duration::from_secs(3);

/// Greetings in one round of seeking.
const SEEK_GREETINGS: usize = 2;

/// Word that another region was heard spreads this often.
const BEACON_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// A region of which nobody here heard for this long counts as lost.
const LOST_AFTER: time::Duration = time::Duration::from_secs(10);

/// What is known of another region.
#[derive(Clone, Copy, Debug)]
struct LinkRecord {
    /// When this very VM last heard from it.
    heard_at: time::Duration,
    /// When anybody of the own region did, as far as is known here.
    beacon_at: time::Duration,
    /// Whether it counts as lost.
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
            heard_at: now,
            beacon_at: now,
            lost: false,
        })
    }
}

impl<R: rand::Rng> core::MemberCore<R> {
    /// Members of other regions to which a round of spreading sends, too.
    pub(crate) fn link_targets(&mut self) -> Vec<id::VmKey> {
        let regions = self.linked_regions();
        regions
            .values()
            .filter_map(|keys| keys.choose(&mut self.rng).copied())
            .collect()
    }

    /// Keeps the links to other regions up, and notices when one is lost.
    pub(crate) fn link_round(&mut self, now: time::Duration) {
        if now < self.links.due {
            return;
        }
        self.links.due = now + LINK_INTERVAL;
        self.links.turn = self.links.turn.wrapping_add(1);
        for (region, keys) in self.linked_regions().iter() {
            self.write_to(now, region, keys);
        }
        self.notice_losses(now);
    }

    fn write_to(&mut self, now: time::Duration, region: &str, keys: &[id::VmKey]) {
        let heard_at = self.links.record(region, now).heard_at;
        if let Some(&target) = keys.choose(&mut self.rng) {
            let kind = if self.links.turn.is_multiple_of(SYNC_TURNS) {
                Kind::SyncSummary(self.sync_summary(now, true))
            } else {
                let number = self.schedule.next_number();
                Kind::Ping(proto::Ping { number })
            };
            self.send_to(now, target, kind);
        }
        // Its representatives may all be gone without a word having reached this region.
        if keys.is_empty() || now.saturating_sub(heard_at) >= SEEK_AFTER {
            let addresses = self.addresses_in(region);
            let picked: Vec<net::SocketAddr> = addresses
                .sample(&mut self.rng, SEEK_GREETINGS)
                .copied()
                .collect();
            for address in picked {
                self.greet(address);
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

    /// Notes that a member of another region was heard, and has its own region know.
    pub(crate) fn note_heard(&mut self, now: time::Duration, sender: &str) {
        let Some(record) = self.table.named(sender) else {
            return;
        };
        let region = record.claim.place.region.clone();
        if region == self.own.place.region {
            return;
        }
        let link = self.links.record(&region, now);
        link.heard_at = now;
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
                taken_at: now,
            };
            self.take_item(now, item);
        }
    }

    /// Notes that somebody of the own region heard another region.
    pub(crate) fn take_beacon(&mut self, now: time::Duration, region: &str) {
        let link = self.links.record(region, now);
        link.beacon_at = now;
        if std::mem::take(&mut link.lost) {
            self.tell_link(region, true);
        }
    }

    fn notice_losses(&mut self, now: time::Duration) {
        let is_lost = |link: &LinkRecord| now.saturating_sub(link.beacon_at) >= LOST_AFTER;
        let links = self.links.links.iter_mut();
        let fresh = links.filter(|(_, link)| !link.lost && is_lost(link));
        let regions: Vec<String> = fresh
            .map(|(region, link)| {
                link.lost = true;
                region.clone()
            })
            .collect();
        for region in regions {
            self.tell_link(&region, false);
        }
    }

    fn tell_link(&mut self, region: &str, reachable: bool) {
        self.actions
            .push(CoreAction::Notify(event::GossipEvent::Region(
                event::RegionNews {
                    region: region.to_owned(),
                    reachable,
                },
            )));
    }
}

//! Anti-entropy: two members compare summaries of their state, which repairs missed dissemination.

use std::{collections, net, time};

use rand::seq::{IndexedRandom as _, SliceRandom as _};
use wire::{identity, proto::gossip as proto};
use xxhash_rust::xxh3;

use crate::{core, in_force, item, member, packet};
use proto::message::Kind;

/// Buckets of a summary: few enough for one datagram, and enough that one difference among the
/// entries of 410 VMs causes few other entries to be sent.
const BUCKETS: usize = 64;

/// Interval to the next summary when the answer to the last one did not fit.
const FOLLOW_UP_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// For this long after its start a VM sends the next summary as soon as it received an answer.
pub(crate) const CATCH_UP_PERIOD: time::Duration = time::Duration::from_secs(15);

/// An entry that anti-entropy compares and sends.
#[derive(Clone, Copy, Debug)]
enum SyncEntry<'a> {
    Member(&'a member::MemberRecord),
    InForce(&'a member::MemberRecord, in_force::StateKey),
    Item(&'a item::Item),
}

impl SyncEntry<'_> {
    fn bucket(self) -> usize {
        let hash = match self {
            Self::Member(record) => xxh3::xxh3_64_with_seed(record.claim.name.as_bytes(), 0),
            Self::InForce(record, _) => in_force::holder_hash(&record.identity()),
            Self::Item(item) => {
                let seed = item.key.kind.number().into();
                xxh3::xxh3_64_with_seed(item.key.subject.as_bytes(), seed)
            }
        };
        usize::try_from(hash % BUCKETS as u64).unwrap_or(0)
    }

    /// Hash of the entry's key and version.
    fn hash(self) -> u32 {
        let mut hasher = xxh3::Xxh3::new();
        match self {
            Self::Member(record) => {
                let version = record.claim.version;
                hasher.update(record.claim.name.as_bytes());
                hasher.update(&version.incarnation.started_at_ms.to_le_bytes());
                hasher.update(&version.incarnation.id.0.to_le_bytes());
                hasher.update(&version.refutation.to_le_bytes());
                hasher.update(&[version.state as u8]);
            }
            Self::InForce(record, state) => {
                hasher.update(&in_force::holder_hash(&record.identity()).to_le_bytes());
                hasher.update(&state.offset.to_le_bytes());
                hasher.update(&state.digest.to_le_bytes());
            }
            Self::Item(item) => {
                hasher.update(&item.key.kind.number().to_le_bytes());
                hasher.update(item.key.subject.as_bytes());
                hasher.update(&item.version.to_le_bytes());
                hasher.update(&item.body);
            }
        }
        (hasher.digest() & u64::from(u32::MAX)) as u32
    }

    fn attach(self, now: time::Duration, packet: &mut packet::PacketBuilder) -> bool {
        match self {
            Self::Member(record) if record.state().is_present() => {
                packet.add_claim(record.claim.to_wire())
            }
            Self::Member(record) => packet.add_claim(record.claim.to_update()),
            Self::InForce(record, _) => record.add_in_force(packet),
            // An item that is about to expire need not be sent.
            Self::Item(item) => item.to_wire(now).is_none_or(|item| packet.add_item(item)),
        }
    }
}

impl<R: rand::Rng> core::MemberCore<R> {
    /// Sends a state summary to one neighbour.
    pub(crate) fn sync_round(&mut self, now: time::Duration) {
        if now < self.due_times.sync {
            return;
        }
        self.due_times.sync = now + self.timing.sync_interval;
        let neighbours = self.neighbours();
        if let Some(&target) = neighbours.choose(&mut self.rng) {
            let summary = Kind::SyncSummary(self.sync_summary(now, true));
            self.send_to(now, target, summary);
        }
    }

    pub(crate) fn sync_summary(
        &self,
        now: time::Duration,
        answer_wanted: bool,
    ) -> proto::SyncSummary {
        let mut buckets = vec![0; BUCKETS];
        for entry in self.sync_entries() {
            let counts = match entry {
                // Members that are no longer present are removed at different times on different
                // VMs.
                SyncEntry::Member(record) | SyncEntry::InForce(record, _) => {
                    record.state().is_present()
                }
                SyncEntry::Item(item) => self.is_compared(now, item),
            };
            if counts {
                buckets[entry.bucket()] ^= entry.hash();
            }
        }
        proto::SyncSummary {
            buckets,
            answer_wanted,
        }
    }

    /// Whether an item counts in a summary: not when VMs remove it at different times.
    fn is_compared(&self, now: time::Duration, item: &item::Item) -> bool {
        match item.key.kind {
            item::ItemKind::Link => false,
            item::ItemKind::Configuration
            | item::ItemKind::Leaving
            | item::ItemKind::Quarantine => item.is_sendable(now),
        }
    }

    /// Answers a summary with everything in the buckets that differ, as far as it fits.
    pub(crate) fn handle_summary(
        &mut self,
        now: time::Duration,
        from: net::SocketAddr,
        sender: &identity::ProcessIdentity,
        summary: &proto::SyncSummary,
    ) {
        let own = self.sync_summary(now, false);
        let pairs = own.buckets.iter().zip(&summary.buckets).enumerate();
        let differing: collections::BTreeSet<usize> = pairs
            .filter(|(_, (own, other))| own != other)
            .map(|(bucket, _)| bucket)
            .collect();
        if summary.buckets.len() != BUCKETS || differing.is_empty() {
            return;
        }
        if summary.answer_wanted {
            self.send(now, from, sender, Kind::SyncSummary(own));
        }
        for packet in self.sync_packets(now, &differing) {
            self.send_packet(from, sender.clone(), packet);
        }
    }

    fn sync_packets(
        &mut self,
        now: time::Duration,
        differing: &collections::BTreeSet<usize>,
    ) -> Vec<packet::PacketBuilder> {
        // In random order, so that entries that do not fit this time are sent another time.
        let mut order: Vec<usize> = differing.iter().copied().collect();
        order.shuffle(&mut self.rng);
        let mut by_bucket: collections::BTreeMap<usize, Vec<SyncEntry<'_>>> =
            collections::BTreeMap::new();
        for entry in self.sync_entries() {
            by_bucket.entry(entry.bucket()).or_default().push(entry);
        }
        let entries = order
            .iter()
            .filter_map(|bucket| by_bucket.get(bucket))
            .flatten();
        let push = |more| packet::PacketBuilder::new(Kind::Push(proto::Push { sync: true, more }));
        let mut packets = vec![push(true)];
        for entry in entries {
            let last = packets.len() - 1;
            if entry.attach(now, &mut packets[last]) {
                continue;
            }
            if packets.len() == self.timing.sync_datagrams {
                return packets;
            }
            let mut packet = push(true);
            entry.attach(now, &mut packet);
            packets.push(packet);
        }
        packets
            .iter_mut()
            .for_each(packet::PacketBuilder::mark_complete);
        packets
    }

    /// Schedules the next summary soon when the answer did not fit, or this VM has just started: it
    /// lacks much state, and some of it can be applied only after the rest.
    pub(crate) fn handle_push(&mut self, now: time::Duration, push: proto::Push) {
        let is_catching_up = now.saturating_sub(self.started_at) < CATCH_UP_PERIOD;
        if push.sync && (push.more || is_catching_up) {
            self.due_times.sync = self.due_times.sync.min(now + FOLLOW_UP_INTERVAL);
        }
    }

    /// Starts anti-entropy with a member that has just answered a `Hello`.
    pub(crate) fn start_sync(
        &mut self,
        now: time::Duration,
        from: net::SocketAddr,
        sender: &identity::ProcessIdentity,
    ) {
        let summary = self.sync_summary(now, true);
        let mut packet = packet::PacketBuilder::new(Kind::SyncSummary(summary));
        packet.add_claim(self.own.to_wire());
        self.send_packet(from, sender.clone(), packet);
    }

    fn sync_entries(&self) -> impl Iterator<Item = SyncEntry<'_>> {
        let members = self
            .table
            .iter()
            .map(|(_, record)| SyncEntry::Member(record));
        let in_force = self.table.iter().filter_map(|(_, record)| {
            record
                .in_force
                .map(|state| SyncEntry::InForce(record, state))
        });
        let items = self
            .items
            .iter()
            .filter(|item| item.key.kind != item::ItemKind::Link);
        members.chain(in_force).chain(items.map(SyncEntry::Item))
    }
}

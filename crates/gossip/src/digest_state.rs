//! Sending and receiving of digests by the core.

use std::{collections, time};

use base::id;
use wire::{identity, proto::gossip as proto};

use crate::{core, digest, event, packet, watching};
use event::CoreAction;
use proto::message::Kind;

/// Bytes of a datagram around its payload: IP and UDP headers, own header, and a typical envelope.
pub const DATAGRAM_OVERHEAD: usize = 85;

/// A standby watcher sends a load when the newest one it received is at least this old.
const STANDBY_TIMEOUT: time::Duration = time::Duration::from_millis(3500);

/// Minimum interval between two computations of the watch plan: when a failure domain fails, many
/// members change within seconds.
const PLAN_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Digest state of the core.
#[derive(Debug)]
pub(crate) struct DigestState {
    pub outbox: digest::DigestOutbox,
    pub table: digest::DigestTable,
    /// Watchers and users of each server of this region, as of the last computation.
    pub plan: std::sync::Arc<watching::WatchPlan>,
    /// Servers of this region by the hash of their names.
    servers: collections::BTreeMap<u64, String>,
    rules: watching::WatchRules,
    /// Whether members or servers changed since the plan was computed.
    pub stale: bool,
}

impl DigestState {
    pub fn new(bytes_per_second: u32, rules: watching::WatchRules, now: time::Duration) -> Self {
        Self {
            outbox: digest::DigestOutbox::new(bytes_per_second, now),
            table: digest::DigestTable::default(),
            plan: std::sync::Arc::default(),
            servers: collections::BTreeMap::new(),
            rules,
            stale: true,
        }
    }
}

impl<R: rand::Rng> core::MemberCore<R> {
    /// Replaces the backend servers of this region.
    pub fn set_servers(&mut self, servers: impl IntoIterator<Item = String>) {
        self.digests.servers = servers
            .into_iter()
            .map(|name| (digest::subject_hash(&name), name))
            .collect();
        self.digests.stale = true;
    }

    /// Watchers and users of each server of this region.
    #[must_use]
    pub fn watch_plan(&self) -> std::sync::Arc<watching::WatchPlan> {
        std::sync::Arc::clone(&self.digests.plan)
    }

    /// Recomputes the watch plan after members or servers changed.
    pub(crate) fn plan_round(&mut self, now: time::Duration) {
        if !self.digests.stale || now < self.due_times.plan {
            return;
        }
        self.digests.stale = false;
        self.due_times.plan = now + PLAN_INTERVAL;
        let region = &self.own.place.region;
        let serving = self
            .table
            .iter()
            .map(|(_, record)| record)
            .filter(|record| {
                record.claim.place.region == *region
                    && record.state().is_present()
                    && !self.is_leaving(&record.claim)
            });
        let vms: Vec<&str> = serving.map(|record| record.claim.name.as_str()).collect();
        let mut servers: Vec<&str> = self.digests.servers.values().map(String::as_str).collect();
        servers.sort_unstable();
        let plan = watching::WatchPlan::new(&vms, &servers, self.digests.rules);
        if plan != *self.digests.plan {
            self.digests.plan = std::sync::Arc::new(plan);
            self.actions
                .push(CoreAction::Notify(event::GossipEvent::Plan));
        }
    }

    /// Sends a load that this VM has read to the users of the engine.
    ///
    /// Every watcher calls this with each load that it reads; a standby sends only while no recent
    /// load arrives from the first watcher.
    pub fn publish_load(&mut self, now: time::Duration, server: &str, load: digest::EngineLoad) {
        let subject = digest::subject_hash(server);
        let kind = digest::DigestKind::EngineLoad;
        let plan = self.watch_plan();
        let newest = self.digests.table.load_measured_at(subject);
        let silent =
            newest.is_none_or(|measured_at| now.saturating_sub(measured_at) >= STANDBY_TIMEOUT);
        let sends = match plan.duty(&self.identity.name, server) {
            watching::WatchDuty::First => true,
            watching::WatchDuty::Standby => silent,
            watching::WatchDuty::None => false,
        };
        if sends {
            let key = digest::DigestKey { kind, subject };
            self.add_digest(now, key, load.to_body(), plan.users(server));
        }
    }

    /// Sends the recent demand of an organisation on this VM to other VMs.
    pub fn publish_demand(
        &mut self,
        now: time::Duration,
        organisation: &str,
        demand: digest::OrganisationDemand,
        receivers: &[String],
    ) {
        let key = digest::DigestKey {
            kind: digest::DigestKind::OrganisationDemand,
            subject: digest::subject_hash(organisation),
        };
        self.add_digest(now, key, demand.to_body(), receivers);
    }

    /// Sends this VM's work to other VMs.
    pub fn publish_work(
        &mut self,
        now: time::Duration,
        work: digest::EntryWork,
        receivers: &[String],
    ) {
        let key = digest::DigestKey {
            kind: digest::DigestKind::EntryWork,
            subject: digest::subject_hash(&self.identity.name),
        };
        self.add_digest(now, key, work.to_body(), receivers);
    }

    fn add_digest(
        &mut self,
        now: time::Duration,
        key: digest::DigestKey,
        body: Vec<u8>,
        receivers: &[String],
    ) {
        let others = receivers.iter().filter(|name| **name != self.identity.name);
        let keys: Vec<id::VmKey> = others.filter_map(|name| self.table.key(name)).collect();
        self.digests.outbox.add(key, body, now, &keys);
    }

    /// Sends the digests that the bandwidth limit allows.
    pub(crate) fn digest_round(&mut self, now: time::Duration) {
        while let Some((receiver, digests)) = self.digests.outbox.next(now) {
            let Some(record) = self.table.get(receiver) else {
                continue;
            };
            if digests.is_empty() || !record.state().is_present() {
                continue;
            }
            let (address, receiver) = (record.claim.place.address, record.identity());
            let mut packet = packet::PacketBuilder::new(Kind::Push(proto::Push::default()));
            for digest in digests {
                if !packet.add_digest(digest) {
                    metrics::counter!("pollenchute_gossip_digests_left_out_total").increment(1);
                }
            }
            self.digests
                .outbox
                .charge(packet.bytes() + DATAGRAM_OVERHEAD);
            self.send_packet(address, receiver, packet);
        }
    }

    pub(crate) fn apply_digests(
        &mut self,
        now: time::Duration,
        sender: &identity::ProcessIdentity,
        digests: Vec<proto::Digest>,
    ) {
        for digest in digests {
            self.apply_digest(now, sender, &digest);
        }
    }

    fn apply_digest(
        &mut self,
        now: time::Duration,
        sender: &identity::ProcessIdentity,
        digest: &proto::Digest,
    ) {
        let age = time::Duration::from_millis(digest.age_ms.into());
        let Some(kind) = digest::DigestKind::from_number(digest.kind) else {
            return;
        };
        let key = digest::DigestKey {
            kind,
            subject: digest.subject,
        };
        let Some(event) = self.read_digest(sender, digest, kind, age) else {
            return;
        };
        // A digest from before this core was created counts as measured at its creation.
        let measured_at = now.saturating_sub(age);
        if age <= digest::MAX_AGE
            && self
                .digests
                .table
                .record(key, sender.incarnation, measured_at)
        {
            self.actions.push(CoreAction::Notify(event));
        }
    }

    fn read_digest(
        &self,
        sender: &identity::ProcessIdentity,
        digest: &proto::Digest,
        kind: digest::DigestKind,
        age: time::Duration,
    ) -> Option<event::GossipEvent> {
        Some(match kind {
            digest::DigestKind::EngineLoad => event::GossipEvent::Load(event::LoadUpdate {
                server: self.digests.servers.get(&digest.subject)?.clone(),
                load: digest::EngineLoad::from_body(&digest.body)?,
                age,
            }),
            digest::DigestKind::EntryWork => event::GossipEvent::Work(event::WorkUpdate {
                vm: sender.name.clone(),
                work: digest::EntryWork::from_body(&digest.body)?,
                age,
            }),
            digest::DigestKind::OrganisationDemand => {
                event::GossipEvent::Demand(event::DemandUpdate {
                    vm: sender.name.clone(),
                    organisation_hash: digest.subject,
                    demand: digest::OrganisationDemand::from_body(&digest.body)?,
                    age,
                })
            }
        })
    }
}

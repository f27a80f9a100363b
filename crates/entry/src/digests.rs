//! Exchanges short-lived digests with the other entry VMs: loads of engines, the work of each VM,
//! and the demand of organisations on it.

use std::{collections, sync, time::Duration};

use base::id;
use conf::snapshot;
use gossip::{digest, event, handle};
use sched::{core, driver, limit, share};
use tokio::{sync::broadcast, time};

use crate::{configure, members, roster};

/// Interval between two digests of this VM's work and demands while the region is small.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(1);
/// Number of region members up to which [`PUBLISH_INTERVAL`] applies; beyond it the interval grows
/// in proportion, so that the bytes per second stay constant.
const SMALL_REGION_MEMBERS: u32 = 32;
/// Time window of the counts in a demand digest, in seconds.
const DEMAND_WINDOW_S: f32 = 10.0;

/// Exchanges digests with the other entry VMs.
#[derive(Clone, Debug)]
pub struct DigestController {
    /// Carries the digests.
    pub gossip: handle::GossipHandle,
    /// The configuration in force.
    pub active_config: sync::Arc<configure::ActiveConfig>,
    /// Receives the loads.
    pub roster: sync::Arc<roster::ServerRoster>,
    /// The members of the region.
    pub members: sync::Arc<members::MemberTable>,
    /// Receives the work and demands of other VMs, and provides those of this VM.
    pub driver: driver::Driver,
}

impl DigestController {
    /// Runs until cancelled.
    pub async fn run(self) {
        let mut events = self.gossip.subscribe();
        let mut subjects = SubjectIndex::default();
        let mut publish_at = time::Instant::now();
        loop {
            tokio::select! {
                event = events.recv() => match event {
                    Ok(event) => self.handle(&event, &mut subjects),
                    // Lost digests expire and are replaced by the next ones.
                    Err(broadcast::error::RecvError::Lagged(lost)) => {
                        metrics::counter!("pollenchute_entry_gossip_events_lost_total").increment(lost);
                    }
                    Err(broadcast::error::RecvError::Closed) => return,
                },
                () = time::sleep_until(publish_at) => {
                    let peers = self.region_peers();
                    publish_at = time::Instant::now() + interval(peers.len());
                    self.publish(peers).await;
                }
            }
        }
    }

    fn handle(&self, event: &event::GossipEvent, subjects: &mut SubjectIndex) {
        let config = self.active_config.snapshot();
        let now = time::Instant::now();
        let taken_at = |age: Duration| now.checked_sub(age).unwrap_or(now);
        match event {
            event::GossipEvent::Load(update) => {
                if let Some(server) = config.server_key(&update.server) {
                    self.roster
                        .load_received(server, &update.load, taken_at(update.age));
                }
            }
            event::GossipEvent::Work(update) => {
                if let Some(vm) = config.vm_key(&update.vm) {
                    let at = taken_at(update.age);
                    self.record_work(vm, update, at);
                }
            }
            event::GossipEvent::Demand(update) => {
                let organisation = subjects.organisation(&config, update.organisation_hash);
                if let (Some(organisation), Some(vm)) = (organisation, config.vm_key(&update.vm)) {
                    let demand = rates(&update.demand);
                    let at = taken_at(update.age);
                    self.driver.change(|core, now| {
                        core.demand_reported(organisation, vm, demand, at, now)
                    });
                }
            }
            _ => {}
        }
    }

    fn record_work(&self, vm: id::VmKey, update: &event::WorkUpdate, taken_at: time::Instant) {
        let models = self.roster.models();
        let identity = roster::vm_identity(&update.vm);
        self.driver.change(|core, _| {
            for work in &update.work.models {
                let known = models.iter().find(|(hash, _)| *hash == work.model_hash);
                let Some(&(_, model)) = known else { continue };
                let digest = share::EntryDigest {
                    identity,
                    weight: update.work.weight,
                    firm: work.firm,
                    deferrable: work.deferrable,
                    waiting: work.waiting,
                    urgent: work.urgent,
                };
                core.entry_reported(vm, model, digest, taken_at);
            }
        });
    }

    fn region_peers(&self) -> Vec<String> {
        let seen = self.gossip.snapshot();
        let own = &self.gossip.identity().name;
        let Some(region) = seen.members.get(own).map(|member| member.region.clone()) else {
            return Vec::new();
        };
        let serving = seen.serving(&region).filter(|member| member.name != *own);
        serving.map(|member| member.name.clone()).collect()
    }

    /// Publishes this VM's work to the region, and the demand of each organisation on this VM to
    /// the organisation's other entry VMs.
    async fn publish(&self, peers: Vec<String>) {
        let (work, demands) = self
            .driver
            .change(|core, _| (self.work(core), core.demands().collect::<Vec<_>>()));
        let config = self.active_config.snapshot();
        self.gossip.publish_work(work, peers).await;
        for (organisation, demand) in demands {
            let Some(view) = config.organisation(organisation) else {
                continue;
            };
            let recipients = self.other_entries(&config, organisation);
            if !recipients.is_empty() {
                self.gossip
                    .publish_demand(view.name.clone(), counts(&demand), recipients)
                    .await;
            }
        }
    }

    fn work(&self, core: &core::DispatchCore) -> digest::EntryWork {
        let models = self.roster.models();
        let mut work = digest::EntryWork::default();
        for (key, digest) in core.entry_digests() {
            let known = models.iter().find(|(_, model)| *model == key);
            let Some(&(model_hash, _)) = known else {
                continue;
            };
            work.weight = digest.weight;
            work.models.push(digest::ModelWork {
                model_hash,
                firm: digest.firm,
                deferrable: digest.deferrable,
                waiting: digest.waiting,
                urgent: digest.urgent,
            });
        }
        work
    }

    fn other_entries(
        &self,
        config: &snapshot::ConfigSnapshot,
        organisation: id::OrganisationKey,
    ) -> Vec<String> {
        let own = &self.gossip.identity().name;
        config
            .entries_of(organisation, |vm| self.members.is_advertised(config, vm))
            .into_iter()
            .filter_map(|key| config.vm(key))
            .map(|vm| vm.name.clone())
            .filter(|name| name != own)
            .collect()
    }
}

fn interval(peers: usize) -> Duration {
    let peers = u32::try_from(peers).unwrap_or(u32::MAX);
    PUBLISH_INTERVAL * peers.div_ceil(SMALL_REGION_MEMBERS).max(1)
}

fn rates(demand: &digest::OrganisationDemand) -> limit::LimitDemand {
    limit::LimitDemand {
        requests_per_second: demand.requests as f32 / DEMAND_WINDOW_S,
        tokens_per_second: demand.tokens as f32 / DEMAND_WINDOW_S,
        generations: demand.running as f32,
    }
}

fn counts(demand: &limit::LimitDemand) -> digest::OrganisationDemand {
    digest::OrganisationDemand {
        requests: (demand.requests_per_second * DEMAND_WINDOW_S).round() as u32,
        tokens: (demand.tokens_per_second * DEMAND_WINDOW_S).round() as u32,
        running: demand.generations.round() as u32,
    }
}

/// Organisations by the hash that identifies them in digests, for one revision.
#[derive(Debug, Default)]
struct SubjectIndex {
    revision: u64,
    organisations: collections::HashMap<u64, id::OrganisationKey>,
}

impl SubjectIndex {
    fn organisation(
        &mut self,
        config: &snapshot::ConfigSnapshot,
        subject: u64,
    ) -> Option<id::OrganisationKey> {
        if self.revision != config.revision() {
            self.revision = config.revision();
            self.organisations = config
                .organisations()
                .map(|(key, view)| (digest::subject_hash(&view.name), key))
                .collect();
        }
        self.organisations.get(&subject).copied()
    }
}

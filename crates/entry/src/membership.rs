//! Membership in this daemon: configures gossip, keeps the member table up to date with it, and
//! announces state that every entry VM should receive within a second.

use std::{collections, net, sync, time::Duration};

use base::{fingerprint, id, ops};
use conf::snapshot;
use futures_util::future;
use gossip::{claim, handle, settings as gossip_settings, update, view};
use tokio::time;
use trace::kind;
use wire::identity;

use crate::{adapt::peers, clock, configure, members, recorder, roster, settings};

/// Interval between two checks for changed crash suspects.
const SUSPECTS_INTERVAL: Duration = Duration::from_millis(100);

/// Returns the gossip settings of this daemon, bound to `address`.
#[must_use]
pub fn gossip_settings(
    settings: &settings::DaemonSettings,
    identity: identity::ProcessIdentity,
    address: net::SocketAddr,
) -> gossip_settings::GossipSettings {
    let place = claim::MemberPlace {
        address,
        failure_domain: settings.failure_domain.clone(),
        region: settings.region.clone(),
    };
    gossip_settings::GossipSettings {
        own: gossip_settings::OwnSettings {
            identity,
            started_at_ms: clock::unix_ms(),
            place,
        },
        bind: address,
        seeds: settings.seeds.iter().map(seed_entry).collect(),
        timing: gossip_settings::TimingSettings::default(),
    }
}

fn seed_entry(seed: &settings::SeedSettings) -> gossip_settings::SeedEntry {
    gossip_settings::SeedEntry {
        name: seed.vm.clone(),
        place: claim::MemberPlace {
            address: seed.peers,
            failure_domain: seed.failure_domain.clone(),
            region: seed.region.clone(),
        },
    }
}

/// Synchronises gossip, the member table and the roster.
#[derive(Clone, Debug)]
pub struct MemberController {
    /// Gossip of this daemon.
    pub gossip: handle::GossipHandle,
    /// The configuration in force.
    pub active_config: sync::Arc<configure::ActiveConfig>,
    /// Updated from gossip.
    pub members: sync::Arc<members::MemberTable>,
    /// Receives the backend servers that are leaving.
    pub roster: sync::Arc<roster::ServerRoster>,
    /// Records changes of state.
    pub recorder: recorder::EventRecorder,
}

impl MemberController {
    /// Runs until cancelled.
    pub async fn run(self) {
        let mut seen = self.gossip.members();
        let mut snapshots = self.active_config.subscribe();
        let mut leaving = self.roster.subscribe_leaving();
        loop {
            let config = snapshots.borrow_and_update().clone();
            let now_seen = seen.borrow_and_update().clone();
            leaving.borrow_and_update();
            self.reconcile(&config, &now_seen);
            tokio::select! {
                changed = seen.changed() => if changed.is_err() { return },
                changed = snapshots.changed() => {
                    if changed.is_err() { return }
                    self.announce().await;
                }
                changed = leaving.changed() => {
                    if changed.is_err() { return }
                    self.announce_leaving().await;
                }
            }
        }
    }

    /// Announces the revision in force to the other entry VMs, and gives gossip the seeds and
    /// servers of the configuration.
    async fn announce(&self) {
        let config = self.active_config.snapshot();
        let seeds = config
            .vms()
            .map(|(_, vm)| gossip_settings::SeedEntry {
                name: vm.name.clone(),
                place: claim::MemberPlace {
                    address: vm.entry.peers,
                    failure_domain: vm.entry.failure_domain.clone(),
                    region: vm.region.clone(),
                },
            })
            .collect();
        self.gossip.set_seeds(seeds).await;
        let own = config
            .vms()
            .find(|(_, vm)| vm.name == self.gossip.identity().name);
        if let Some((_, own)) = own {
            let servers = config
                .servers()
                .filter(|(_, server)| server.region == own.region);
            let names = servers.map(|(_, server)| server.name.clone()).collect();
            self.gossip.set_servers(names).await;
        }
        let Some(offer) = self.active_config.offer() else {
            return;
        };
        let configuration = update::ConfigurationUpdate {
            vm: self.gossip.identity().name.clone(),
            revision: offer.revision,
            offset: offer.offset,
            chain_hash: offer.hash.0,
        };
        self.gossip
            .publish(update::ItemUpdate::Configuration(configuration))
            .await;
    }

    /// Announces the incarnations of backend servers that are leaving.
    async fn announce_leaving(&self) {
        let config = self.active_config.snapshot();
        let known = self.gossip.snapshot();
        for key in self.roster.leaving().iter() {
            let Some(server) = config.server(*key) else {
                continue;
            };
            let incarnation = incarnation_text(self.roster.incarnation(*key));
            if known.is_server_leaving(&server.name, &incarnation) {
                continue;
            }
            let subject = update::LeavingSubject::Server {
                name: server.name.clone(),
                incarnation,
            };
            self.gossip
                .publish(update::ItemUpdate::Leaving(subject))
                .await;
        }
    }

    fn reconcile(&self, config: &snapshot::ConfigSnapshot, seen: &view::MemberSnapshot) {
        for subject in &seen.leaving {
            let update::LeavingSubject::Server { name, incarnation } = subject else {
                continue;
            };
            let Some(key) = config.server_key(name) else {
                continue;
            };
            // A mark of an earlier incarnation does not apply to the current one.
            if incarnation_text(self.roster.incarnation(key)) == *incarnation
                && self.roster.leave(key)
            {
                let source = "another entry VM".to_owned();
                self.recorder.record(kind::EventKind::ServerLeaving {
                    server: name.clone(),
                    source,
                });
            }
        }
        let statuses = member_statuses(config, seen);
        for change in self.members.replace(statuses) {
            self.note(&change);
        }
    }

    fn note(&self, change: &members::MemberChange) {
        let member = change.vm.clone();
        let reason = "gossip".to_owned();
        let event = match change.state {
            ops::HealthState::Up => kind::EventKind::MemberUp { member },
            ops::HealthState::Suspect => kind::EventKind::MemberSuspect { member, reason },
            ops::HealthState::Dead => kind::EventKind::MemberDead { member, reason },
            ops::HealthState::Leaving => kind::EventKind::MemberLeaving {
                member,
                source: reason,
            },
            ops::HealthState::Unknown => return,
        };
        log::info!(member = change.vm.as_str(), state = change.state.name(); "member changed");
        self.recorder.record(event);
    }
}

/// Formats an incarnation for leaving marks; plain service servers have none, written `-`.
fn incarnation_text(incarnation: Option<id::Incarnation>) -> String {
    incarnation.map_or_else(|| "-".to_owned(), |incarnation| incarnation.to_string())
}

fn member_statuses(
    config: &snapshot::ConfigSnapshot,
    seen: &view::MemberSnapshot,
) -> Vec<members::KnownMember> {
    let mut known: collections::BTreeMap<&str, members::KnownMember> = config
        .vms()
        .map(|(_, vm)| (vm.name.as_str(), members::KnownMember::from_inventory(vm)))
        .collect();
    for member in seen.members.values() {
        let entry = known
            .entry(member.name.as_str())
            .or_insert_with(|| members::KnownMember::unlisted(&member.name, member.address));
        entry.peers = member.address;
        entry.status.state = state_of(member);
        entry.status.region.clone_from(&member.region);
        entry
            .status
            .failure_domain
            .clone_from(&member.failure_domain);
        entry.status.incarnation = Some(member.incarnation);
        entry.status.revision = member.configuration.as_ref().map(|update| update.revision);
    }
    known.into_values().collect()
}

const fn state_of(member: &view::MemberView) -> ops::HealthState {
    match member.state {
        claim::MemberState::Left => ops::HealthState::Leaving,
        claim::MemberState::Dead => ops::HealthState::Dead,
        _ if member.leaving => ops::HealthState::Leaving,
        claim::MemberState::Suspect => ops::HealthState::Suspect,
        claim::MemberState::Alive => ops::HealthState::Up,
    }
}

/// Timeout for sending crash suspects to one member.
const SUSPECTS_TIMEOUT: Duration = Duration::from_millis(800);

/// Sends the content suspected of crashing backend servers to each member that has not
/// acknowledged it yet.
///
/// A request that crashes a server arrives at another entry VM as soon as its caller retries; the
/// next server survives only if that VM received the suspects before. A member counts as informed
/// only once it has answered: one that joined later, or whose message was lost, would otherwise
/// never receive the earlier deaths, and lose two servers of its own.
pub async fn spread_suspects(
    plane: sync::Arc<flow::plane::RequestPlane<crate::ports::EntryPorts>>,
    caller: peers::PeerCaller,
    members: sync::Arc<members::MemberTable>,
) {
    let mut tick = time::interval(SUSPECTS_INTERVAL);
    tick.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut acknowledged: collections::BTreeMap<String, fingerprint::ContentHash> =
        collections::BTreeMap::new();
    loop {
        tick.tick().await;
        let digest = plane.suspects().digest(clock::unix_ms());
        let Ok(body) = serde_json::to_vec(&digest) else {
            continue;
        };
        let hash = fingerprint::ContentHash::of(&body);
        let peers = members.live_peers();
        // A member that left and returned is a new incarnation without the suspects.
        acknowledged.retain(|vm, _| peers.contains(vm));
        if digest == flow::suspect::SuspectDigest::default() {
            continue;
        }
        let pending = peers
            .into_iter()
            .filter(|vm| acknowledged.get(vm) != Some(&hash));
        let calls = pending.map(|vm| send_suspects(&caller, vm, body.clone()));
        for vm in future::join_all(calls).await.into_iter().flatten() {
            acknowledged.insert(vm, hash);
        }
    }
}

/// Sends the suspects to one member; returns its name if it acknowledged them.
async fn send_suspects(caller: &peers::PeerCaller, vm: String, body: Vec<u8>) -> Option<String> {
    let answer = caller
        .call_extension(&vm, peers::SUSPECTS, body, SUSPECTS_TIMEOUT)
        .await;
    answer.ok().map(|_| vm)
}

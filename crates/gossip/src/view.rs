//! Snapshots of the members for other parts of the process.

use std::{collections, net, sync};

use base::id;

use crate::{claim, core, list, member, update, watching};

/// One member in this VM's current view. A hint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// Name of the VM.
    pub name: String,
    /// Current incarnation of the VM.
    pub incarnation: id::Incarnation,
    /// State of the member.
    pub state: claim::MemberState,
    /// Whether this incarnation accepts no new work; never revoked.
    pub leaving: bool,
    /// Address at which the member receives datagrams and frames.
    pub address: net::SocketAddr,
    /// Failure domain of the member.
    pub failure_domain: String,
    /// Region of the member.
    pub region: String,
    /// Configuration in force on the member, as last received.
    pub configuration: Option<update::ConfigurationUpdate>,
}

/// All members in this VM's current view, including itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberSnapshot {
    /// Members by name.
    pub members: collections::BTreeMap<String, MemberView>,
    /// Incarnations of VMs and backend servers that accept no new work.
    pub leaving: collections::BTreeSet<update::LeavingSubject>,
    /// Regions from which no member of this region received lately; the state of their members is
    /// outdated.
    pub lost_regions: collections::BTreeSet<String>,
    /// Watchers and users of each backend server of this region.
    pub plan: sync::Arc<watching::WatchPlan>,
    /// Differences between the platform's list of VMs and gossip.
    pub disagreement: list::ListDisagreement,
}

impl MemberSnapshot {
    /// Present members of that region that accept new work, in name order.
    pub fn serving<'a>(&'a self, region: &'a str) -> impl Iterator<Item = &'a MemberView> {
        self.members.values().filter(move |member| {
            member.region == region && member.state.is_present() && !member.leaving
        })
    }

    /// Whether that incarnation of that backend server is known to be leaving.
    #[must_use]
    pub fn is_server_leaving(&self, name: &str, incarnation: &str) -> bool {
        self.leaving.contains(&update::LeavingSubject::Server {
            name: name.to_owned(),
            incarnation: incarnation.to_owned(),
        })
    }
}

impl<R: rand::Rng> core::MemberCore<R> {
    /// A snapshot of all members at `now`.
    #[must_use]
    pub fn snapshot(&self, now: std::time::Duration) -> MemberSnapshot {
        let mut snapshot = MemberSnapshot {
            lost_regions: self.links.lost(),
            plan: self.watch_plan(),
            disagreement: self.list_disagreement(),
            ..MemberSnapshot::default()
        };
        for item in self.items().iter() {
            if let Some(update::ItemUpdate::Leaving(subject)) =
                update::ItemUpdate::from_item(item, now)
            {
                snapshot.leaving.insert(subject);
            }
        }
        for (_, record) in self.members().iter() {
            let name = record.claim.name.clone();
            let configuration = self.configuration_of(record);
            let view = member_view(record, &snapshot.leaving, configuration);
            snapshot.members.insert(name, view);
        }
        snapshot
    }
}

fn member_view(
    record: &member::MemberRecord,
    leaving: &collections::BTreeSet<update::LeavingSubject>,
    configuration: Option<update::ConfigurationUpdate>,
) -> MemberView {
    let claim = &record.claim;
    let incarnation = claim.version.incarnation;
    let subject = update::LeavingSubject::Vm {
        name: claim.name.clone(),
        incarnation: incarnation.id,
    };
    MemberView {
        name: claim.name.clone(),
        incarnation: incarnation.id,
        state: claim.version.state,
        leaving: leaving.contains(&subject),
        address: claim.place.address,
        failure_domain: claim.place.failure_domain.clone(),
        region: claim.place.region.clone(),
        configuration,
    }
}

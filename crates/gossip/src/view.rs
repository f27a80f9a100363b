//! What other parts of the process see of the members.

use std::{collections, net, sync};

use base::id;

use crate::{claim, core, list, member, news, watching};

/// One member as this VM sees it now. A hint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// Name of the VM.
    pub name: String,
    /// The life that is spoken of.
    pub incarnation: id::Incarnation,
    /// What is said of it.
    pub state: claim::MemberState,
    /// Whether this life takes no new work; never taken back.
    pub leaving: bool,
    /// Where it takes datagrams and frames.
    pub address: net::SocketAddr,
    /// Its failure domain.
    pub failure_domain: String,
    /// Its region.
    pub region: String,
    /// Configuration in force there, as last heard.
    pub configuration: Option<news::ConfigurationNews>,
}

/// All members as this VM sees them now, the own VM among them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberSnapshot {
    /// By name.
    pub members: collections::BTreeMap<String, MemberView>,
    /// Lives of VMs and backend servers that take no new work.
    pub leaving: collections::BTreeSet<news::LeavingSubject>,
    /// Regions that nobody of the own region has heard from lately; what is said of their members
    /// is old.
    pub lost_regions: collections::BTreeSet<String>,
    /// Who watches and who uses which backend server of the own region.
    pub plan: sync::Arc<watching::WatchPlan>,
    /// Where the platform's list of VMs and gossip disagree.
    pub disagreement: list::ListDisagreement,
}

impl MemberSnapshot {
    /// Members of that region that answer and take new work, by name.
    pub fn serving<'a>(&'a self, region: &'a str) -> impl Iterator<Item = &'a MemberView> {
        self.members.values().filter(move |member| {
            member.region == region && member.state.is_present() && !member.leaving
        })
    }

    /// Whether that life of that backend server is known to be leaving.
    #[must_use]
    pub fn is_server_leaving(&self, name: &str, incarnation: &str) -> bool {
        self.leaving.contains(&news::LeavingSubject::Server {
            name: name.to_owned(),
            incarnation: incarnation.to_owned(),
        })
    }
}

impl<R: rand::Rng> core::MemberCore<R> {
    /// All members as seen now.
    #[must_use]
    pub fn snapshot(&self, now: std::time::Duration) -> MemberSnapshot {
        let mut snapshot = MemberSnapshot {
            lost_regions: self.links.lost(),
            plan: self.watch_plan(),
            disagreement: self.list_disagreement(),
            ..MemberSnapshot::default()
        };
        for item in self.items().iter() {
            if let Some(news::NewsItem::Leaving(subject)) = news::NewsItem::from_item(item, now) {
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
    leaving: &collections::BTreeSet<news::LeavingSubject>,
    configuration: Option<news::ConfigurationNews>,
) -> MemberView {
    let claim = &record.claim;
    let life = claim.version.life;
    let subject = news::LeavingSubject::Vm {
        name: claim.name.clone(),
        incarnation: life.incarnation,
    };
    MemberView {
        name: claim.name.clone(),
        incarnation: life.incarnation,
        state: claim.version.state,
        leaving: leaving.contains(&subject),
        address: claim.place.address,
        failure_domain: claim.place.failure_domain.clone(),
        region: claim.place.region.clone(),
        configuration,
    }
}

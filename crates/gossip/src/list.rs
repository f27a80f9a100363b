//! The platform's list of VMs, which lags: VMs reported as leaving, and differences from gossip.

use std::{collections, time};

use crate::{claim, core, event, update};

/// Assumed bound on the clock difference between VMs and the platform. An incarnation that started
/// within this margin before the list's timestamp may be a successor of the one in the list.
const CLOCK_MARGIN_MS: u64 = 10_000;

/// The platform's list of VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VmListReport {
    /// Timestamp of the list by the platform's clock, in milliseconds since the Unix epoch.
    pub as_of_ms: u64,
    /// VMs reported as live.
    pub live: collections::BTreeSet<String>,
    /// VMs reported as leaving.
    pub leaving: collections::BTreeSet<String>,
}

/// Differences between the list and gossip. A hint for operators; its only effect is which VMs are
/// sent a `Hello`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListDisagreement {
    /// VMs that are live in the list but not present in gossip.
    pub listed_but_absent: Vec<String>,
    /// VMs that are present in gossip but in neither part of the list.
    pub present_but_unlisted: Vec<String>,
}

impl<R: rand::Rng> core::MemberCore<R> {
    /// Applies the platform's list: VMs reported as leaving are marked as leaving, and VMs reported
    /// as live are sent a `Hello` first.
    pub fn set_vm_list(
        &mut self,
        now: time::Duration,
        list: VmListReport,
    ) -> Vec<event::CoreAction> {
        let is_leaving = |claim: &claim::MemberClaim| {
            let started_before = claim
                .version
                .incarnation
                .started_at_ms
                .saturating_add(CLOCK_MARGIN_MS)
                <= list.as_of_ms;
            // The list lags: an entry may refer to an earlier incarnation of the same name.
            list.leaving.contains(&claim.name) && started_before
        };
        let claims = self.table.iter().map(|(_, record)| &record.claim);
        let subjects: Vec<update::LeavingSubject> = claims
            .filter(|claim| is_leaving(claim))
            .map(update::LeavingSubject::of_vm)
            .collect();
        for subject in subjects {
            self.add_update(now, &update::ItemUpdate::Leaving(subject));
        }
        self.list = list;
        let disagreement = self.list_disagreement();
        metrics::gauge!("pollenchute_gossip_list_disagreements").set(
            (disagreement.listed_but_absent.len() + disagreement.present_but_unlisted.len()) as f64,
        );
        std::mem::take(&mut self.actions)
    }

    /// Differences between the platform's list and gossip.
    #[must_use]
    pub fn list_disagreement(&self) -> ListDisagreement {
        let is_present = |name: &str| {
            self.table
                .named(name)
                .is_some_and(|record| record.state().is_present())
        };
        let list = &self.list;
        let absent = list.live.iter().filter(|name| !is_present(name));
        let present = self
            .table
            .iter()
            .filter(|(_, record)| record.state().is_present());
        let names = present.map(|(_, record)| &record.claim.name);
        let unlisted =
            names.filter(|name| !list.live.contains(*name) && !list.leaving.contains(*name));
        ListDisagreement {
            listed_but_absent: absent.cloned().collect(),
            present_but_unlisted: unlisted.cloned().collect(),
        }
    }
}

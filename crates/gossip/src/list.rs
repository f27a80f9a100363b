//! The platform's lagging list of VMs: whom it calls leaving, and whom it misses.

use std::{collections, time};

use crate::{claim, core, event, news};

/// Clocks of VMs and of the platform differ by less than this; a life that began this shortly
/// before the list's date may be a successor of the one that the list speaks of.
const CLOCK_MARGIN_MS: u64 = 10_000;

/// The platform's list of VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VmListReport {
    /// As of when, in milliseconds of the Unix epoch by the platform's clock.
    pub as_of_ms: u64,
    /// VMs called live.
    pub live: collections::BTreeSet<String>,
    /// VMs called leaving.
    pub leaving: collections::BTreeSet<String>,
}

/// Where list and gossip disagree. A hint for operators; nothing follows from it but greetings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListDisagreement {
    /// Called live by the list, not heard of here.
    pub listed_but_absent: Vec<String>,
    /// Heard of here, in neither part of the list.
    pub present_but_unlisted: Vec<String>,
}

impl<R: rand::Rng> core::MemberCore<R> {
    /// Takes the platform's list: whom it calls leaving leaves, whom it calls live is greeted first.
    pub fn set_vm_list(
        &mut self,
        now: time::Duration,
        list: VmListReport,
    ) -> Vec<event::CoreAction> {
        let is_leaving = |claim: &claim::MemberClaim| {
            let began_before =
                claim.version.life.birth_ms.saturating_add(CLOCK_MARGIN_MS) <= list.as_of_ms;
            // The list lags: what it says may be meant for an earlier life of the same name.
            list.leaving.contains(&claim.name) && began_before
        };
        let claims = self.table.iter().map(|(_, record)| &record.claim);
        let subjects: Vec<news::LeavingSubject> = claims
            .filter(|claim| is_leaving(claim))
            .map(news::LeavingSubject::of_vm)
            .collect();
        for subject in subjects {
            self.add_news(now, &news::NewsItem::Leaving(subject));
        }
        self.list = list;
        let disagreement = self.list_disagreement();
        metrics::gauge!("pollenchute_gossip_list_disagreements").set(
            (disagreement.listed_but_absent.len() + disagreement.present_but_unlisted.len()) as f64,
        );
        std::mem::take(&mut self.actions)
    }

    /// Where the platform's list and gossip disagree.
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

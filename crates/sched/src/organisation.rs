//! Table of organisations: a small slot for each known one, and an account for those with recent
//! work.

use base::id;
use tokio::time;

use crate::{limit, settings};

/// Data kept for each organisation, idle or not: 16 bytes in addition to the arena's own 4.
#[derive(Clone, Copy, Debug)]
struct OrganisationSlot {
    weight: f32,
    /// Index of its limits in `plans`, or [`NO_INDEX`] if it has none.
    plan: u32,
    /// Index of its account in `active`, or [`NO_INDEX`] while it is idle.
    account: u32,
}

/// Marks an absent index.
const NO_INDEX: u32 = u32::MAX;

/// Organisation that has an account.
#[derive(Clone, Debug)]
struct ActiveOrganisation {
    organisation: id::OrganisationKey,
    account: limit::LimitAccount,
}

/// All organisations known to this VM.
#[derive(Clone, Debug, Default)]
pub struct OrganisationTable {
    slots: slotmap::SecondaryMap<id::OrganisationKey, OrganisationSlot>,
    plans: slab::Slab<settings::OrganisationPlan>,
    active: slab::Slab<ActiveOrganisation>,
    /// Sum of the weights of organisations with running or waiting work.
    busy_weight: f64,
    /// Number of entry VMs that the callers of one organisation use.
    entries: u32,
}

impl OrganisationTable {
    /// Creates an empty table for organisations that are each served by `entries` VMs.
    #[must_use]
    pub fn new(entries: u32) -> Self {
        Self {
            entries,
            ..Self::default()
        }
    }

    /// Sets the number of VMs that serve each organisation.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries;
    }

    /// Sets an organisation's plan; adds the organisation if it is unknown.
    pub fn set(&mut self, organisation: id::OrganisationKey, plan: settings::OrganisationPlan) {
        let unlimited = plan.requests_per_second.is_none()
            && plan.tokens_per_second.is_none()
            && plan.concurrent_generations.is_none();
        let weight = plan.weight.max(1e-3) as f32;
        if let Some(slot) = self.slots.get_mut(organisation) {
            let busy = self
                .active
                .get(slot.account as usize)
                .is_some_and(ActiveOrganisation::busy);
            if busy {
                self.busy_weight += f64::from(weight - slot.weight);
            }
            slot.weight = weight;
            self.plans.try_remove(slot.plan as usize);
            slot.plan = NO_INDEX;
        } else {
            let slot = OrganisationSlot {
                weight,
                plan: NO_INDEX,
                account: NO_INDEX,
            };
            self.slots.insert(organisation, slot);
        }
        if !unlimited {
            self.slots[organisation].plan = self.plans.insert(plan) as u32;
        }
    }

    /// Removes an organisation.
    pub fn remove(&mut self, organisation: id::OrganisationKey) {
        if let Some(slot) = self.slots.remove(organisation) {
            self.plans.try_remove(slot.plan as usize);
            if let Some(active) = self.active.try_remove(slot.account as usize)
                && active.busy()
            {
                self.busy_weight -= f64::from(slot.weight);
            }
        }
    }

    /// Returns the number of known organisations.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns whether no organisation is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Returns the number of organisations with an account.
    #[must_use]
    pub fn active(&self) -> usize {
        self.active.len()
    }

    /// Returns the sum of the weights of organisations with running or waiting work.
    #[must_use]
    pub fn busy_weight(&self) -> f64 {
        self.busy_weight
    }

    /// Returns an organisation's weight, or 1 if the organisation is unknown.
    #[must_use]
    pub fn weight(&self, organisation: id::OrganisationKey) -> f64 {
        let slot = self.slots.get(organisation);
        slot.map_or(1.0, |slot| f64::from(slot.weight))
    }

    /// Returns an organisation's plan.
    #[must_use]
    pub fn plan(&self, organisation: id::OrganisationKey) -> settings::OrganisationPlan {
        let slot = self.slots.get(organisation);
        let plan = slot.and_then(|slot| self.plans.get(slot.plan as usize));
        plan.copied().unwrap_or_default()
    }

    /// Returns whether an organisation has any limit.
    #[must_use]
    pub fn limited(&self, organisation: id::OrganisationKey) -> bool {
        let slot = self.slots.get(organisation);
        slot.is_some_and(|slot| slot.plan != NO_INDEX)
    }

    /// Runs `change` on an organisation's account, advanced to `now`. Creates the account if there
    /// is none.
    pub fn with_account<R>(
        &mut self,
        organisation: id::OrganisationKey,
        now: time::Instant,
        with_account: impl FnOnce(&mut limit::LimitAccount, &settings::OrganisationPlan) -> R,
    ) -> R {
        let plan = self.plan(organisation);
        if !self.slots.contains_key(organisation) {
            self.set(organisation, plan);
        }
        let slot = &mut self.slots[organisation];
        if slot.account == NO_INDEX {
            let account = limit::LimitAccount::new(&plan, self.entries, now);
            let active = ActiveOrganisation {
                organisation,
                account,
            };
            slot.account = self.active.insert(active) as u32;
        }
        let active = &mut self.active[slot.account as usize];
        let before = active.busy();
        active.account.advance(&plan, self.entries, now);
        let result = with_account(&mut active.account, &plan);
        match (before, active.busy()) {
            (false, true) => self.busy_weight += f64::from(slot.weight),
            (true, false) => self.busy_weight -= f64::from(slot.weight),
            _ => {}
        }
        result
    }

    /// Returns whether a waiting generation of the organisation may start now.
    pub fn may_start(&mut self, organisation: id::OrganisationKey, now: time::Instant) -> bool {
        !self.limited(organisation)
            || self.with_account(organisation, now, |account, plan| account.may_start(plan))
    }

    /// Drops the accounts of idle organisations.
    pub fn sweep(&mut self, now: time::Instant) {
        let (slots, plans, entries) = (&mut self.slots, &self.plans, self.entries);
        self.active.retain(|_, active| {
            let slot = slots.get_mut(active.organisation);
            let Some(slot) = slot else { return false };
            let plan = plans.get(slot.plan as usize).copied().unwrap_or_default();
            active.account.advance(&plan, entries, now);
            if active.account.is_idle() {
                slot.account = NO_INDEX;
                return false;
            }
            true
        });
    }

    /// Returns the demand of each active organisation that has a limit, to send to other entry VMs.
    pub fn demands(&self) -> impl Iterator<Item = (id::OrganisationKey, limit::LimitDemand)> + '_ {
        self.active
            .iter()
            .map(|(_, active)| (active.organisation, active.account.demand()))
            .filter(|(organisation, _)| self.limited(*organisation))
    }
}

impl ActiveOrganisation {
    fn busy(&self) -> bool {
        self.account.running + self.account.waiting > 0
    }
}

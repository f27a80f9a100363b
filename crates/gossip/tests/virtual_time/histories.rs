//! Random histories of failures, checked against what must hold.

use std::{collections, time};

use arbtest::arbitrary;
use base::fingerprint;
use gossip::{claim, item, list, settings, update, view};

use crate::fabric::{EPOCH_MS, Fabric, NetworkFaults, TestCore};

/// Histories in each of the tests below.
const HISTORIES: u64 = 700;

/// After every fault is over, all members agree within this.
const SETTLES: time::Duration = time::Duration::from_secs(40);

/// At the end of it nothing is lost any more: while something is, a member may be suspect for the
/// moment that it takes to refute.
const CALM: time::Duration = time::Duration::from_secs(8);

fn seconds(seconds: u64) -> time::Duration {
    time::Duration::from_secs(seconds)
}

/// Runs `HISTORIES` histories, each from a fixed seed that is printed when it fails.
fn run_histories(
    first: u64,
    property: impl Fn(&mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()>,
) {
    for number in first..first + HISTORIES {
        let mixed = (number + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32;
        let seed = mixed << 32 | 2048;
        arbtest::arbtest(|u| property(u)).seed(seed).run();
    }
}

/// A history under way, with what its oracle remembers.
struct History {
    fabric: Fabric,
    /// Quarantines are renewed and lifted by number.
    published: u64,
}

impl History {
    fn begin(u: &mut arbitrary::Unstructured<'_>, regions: usize) -> arbitrary::Result<Self> {
        let count: usize = u.int_in_range(2..=6)?;
        let places: Vec<(String, String)> = (0..count)
            .map(|index| {
                let region = format!("region-{}", index % regions);
                (region.clone(), format!("{region}-{}", index / regions % 2))
            })
            .collect();
        let timing = settings::TimingSettings::default();
        let mut fabric = Fabric::new(u.arbitrary()?, &places, timing);
        for index in 0..count {
            fabric.vms[index].skew_ms = u.int_in_range(-4000..=4000)?;
            fabric.start(index);
        }
        fabric.faults = NetworkFaults {
            loss: u.int_in_range(0..=80)?,
            twice: u.int_in_range(0..=60)?,
            delay_ms: u.int_in_range(1..=150)?,
        };
        Ok(Self {
            fabric,
            published: 0,
        })
    }

    fn step(&mut self, u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()> {
        let count = self.fabric.vms.len();
        let index = u.int_in_range(0..=count - 1)?;
        match u.int_in_range(0..=13)? {
            0 => self.fabric.kill(index),
            1 => {
                // A clock may be set back between two lives.
                self.fabric.vms[index].skew_ms = u.int_in_range(-20_000..=4000)?;
                self.fabric.start(index);
            }
            2 => self.fabric.vms[index].paused = self.fabric.vms[index].core.is_some(),
            3 => self.fabric.resume(index),
            4 => {
                for vm in &mut self.fabric.vms {
                    vm.side = u.int_in_range(0..=1)?;
                }
            }
            5 => self.heal(),
            6 => self.fabric.faults.loss = u.int_in_range(0..=120)?,
            7 => self.fabric.act(index, TestCore::leave),
            8 => self.publish(index, u)?,
            9 => {
                for index in 0..count {
                    self.fabric.start(index);
                    self.fabric
                        .advance(time::Duration::from_millis(u.int_in_range(300..=3000)?));
                }
            }
            10 => self.take_list(index, u)?,
            11 => {
                // Two operators at once: one version, two bodies.
                let other = u.int_in_range(0..=count - 1)?;
                self.quarantine(index, "of one");
                self.quarantine(other, "of the other");
            }
            _ => {}
        }
        self.fabric
            .advance(time::Duration::from_millis(u.int_in_range(0..=4000)?));
        self.fabric.check_monotone();
        Ok(())
    }

    fn heal(&mut self) {
        self.fabric.vms.iter_mut().for_each(|vm| vm.side = 0);
    }

    fn publish(
        &mut self,
        index: usize,
        u: &mut arbitrary::Unstructured<'_>,
    ) -> arbitrary::Result<()> {
        if self.fabric.vms[index].paused {
            return Ok(());
        }
        self.published += 1;
        let name = format!("engine-{}", u.int_in_range(0..=2)?);
        let update = match u.int_in_range(0..=2)? {
            0 => update::ItemUpdate::Leaving(update::LeavingSubject::Server {
                name,
                incarnation: u.int_in_range(0..=3)?.to_string(),
            }),
            1 => update::ItemUpdate::Quarantine(update::QuarantineUpdate {
                fingerprint: fingerprint::ContentHash::of(name.as_bytes()),
                lifted: u.arbitrary()?,
                ttl: seconds(3600),
                reason: format!("death {}", self.published),
            }),
            _ => update::ItemUpdate::Configuration(update::ConfigurationUpdate {
                vm: self.fabric.vms[index].name.clone(),
                revision: self.published,
                offset: self.published,
                chain_hash: fingerprint::ContentHash([7; 32]),
            }),
        };
        self.fabric
            .act(index, |core, now| core.publish(now, &update));
        Ok(())
    }

    fn quarantine(&mut self, index: usize, reason: &str) {
        let update = update::ItemUpdate::Quarantine(update::QuarantineUpdate {
            fingerprint: fingerprint::ContentHash::of(b"raced"),
            lifted: false,
            ttl: seconds(3600),
            reason: reason.to_owned(),
        });
        if !self.fabric.vms[index].paused {
            self.fabric
                .act(index, |core, now| core.publish(now, &update));
        }
    }

    /// Has a VM read the platform's list, which calls some other VM leaving as of some time ago.
    fn take_list(
        &mut self,
        index: usize,
        u: &mut arbitrary::Unstructured<'_>,
    ) -> arbitrary::Result<()> {
        let names = self.fabric.vms.iter().map(|vm| vm.name.clone());
        let mut list = list::VmListReport {
            live: names.collect(),
            ..list::VmListReport::default()
        };
        let other = u.int_in_range(0..=self.fabric.vms.len() - 1)?;
        let born_at = self.fabric.vms[other].born_at;
        // The list dates from before the newest life, so it may not touch that one.
        list.as_of_ms = EPOCH_MS + u64::try_from(born_at.as_millis()).expect("short");
        list.leaving
            .extend(list.live.take(&self.fabric.vms[other].name));
        if !self.fabric.vms[index].paused {
            self.fabric
                .act(index, |core, now| core.set_vm_list(now, list));
        }
        Ok(())
    }

    /// Ends every fault, gives the members time, and checks that they agree.
    fn settle(mut self) {
        self.heal();
        self.fabric.faults = NetworkFaults {
            loss: 5,
            twice: 5,
            delay_ms: 5,
        };
        (0..self.fabric.vms.len()).for_each(|index| self.fabric.resume(index));
        self.fabric.check_monotone();
        let expected = self.best_items();
        self.fabric.advance(SETTLES - CALM);
        self.fabric.faults.loss = 0;
        self.fabric.advance(CALM);
        self.fabric.check_monotone();
        self.check_members();
        self.check_items(&expected);
        self.check_in_force();
        self.check_detection();
    }

    /// The best version of each item that some running member holds.
    fn best_items(&self) -> collections::BTreeMap<item::ItemKey, u64> {
        let mut best = collections::BTreeMap::new();
        for core in self.fabric.vms.iter().filter_map(|vm| vm.core.as_ref()) {
            for item in core.items().iter().filter(|item| is_shared(item)) {
                let version = best.entry(item.key.clone()).or_insert(item.version);
                *version = item.version.max(*version);
            }
        }
        best
    }

    fn check_members(&self) {
        for index in self.fabric.running() {
            let vm = &self.fabric.vms[index];
            let table = vm.core.as_ref().expect("running").members();
            for other in &self.fabric.vms {
                let record = table.named(&other.name);
                let state = record.map(|record| record.state());
                if other.core.is_some() {
                    let life = record.map(|record| record.claim.version.incarnation.id);
                    assert_eq!(
                        state,
                        Some(claim::MemberState::Alive),
                        "{} of {}",
                        vm.name,
                        other.name
                    );
                    assert_eq!(
                        life,
                        Some(other.identity.incarnation),
                        "{} of {}",
                        vm.name,
                        other.name
                    );
                } else {
                    let present = state.is_some_and(claim::MemberState::is_present);
                    // Of a region without a living member nobody is left to tell.
                    let deserted = !self
                        .fabric
                        .vms
                        .iter()
                        .any(|vm| vm.place.region == other.place.region && vm.core.is_some());
                    assert!(
                        !present || deserted,
                        "{} of {}: {state:?}",
                        vm.name,
                        other.name
                    );
                }
            }
        }
    }

    fn check_items(&self, expected: &collections::BTreeMap<item::ItemKey, u64>) {
        let running = self.fabric.running();
        let stores: Vec<collections::BTreeMap<&item::ItemKey, (u64, &[u8])>> = running
            .iter()
            .map(|index| {
                let core = self.fabric.vms[*index].core.as_ref().expect("running");
                let items = core.items().iter().filter(|item| is_shared(item));
                items
                    .map(|item| (&item.key, (item.version, item.body.as_slice())))
                    .collect()
            })
            .collect();
        for store in &stores {
            assert_eq!(store, &stores[0]);
            for (key, version) in expected {
                let held = store.get(key).map(|(version, _)| *version);
                assert!(held.is_some_and(|held| held >= *version), "{key:?}");
            }
        }
    }

    /// Every running member knows what is in force on every other.
    fn check_in_force(&self) {
        let cores = self
            .fabric
            .vms
            .iter()
            .filter_map(|vm| Some((&vm.name, vm.core.as_ref()?)));
        let views: Vec<(&String, view::MemberSnapshot)> = cores
            .map(|(name, core)| (name, core.snapshot(self.fabric.now)))
            .collect();
        for (name, own) in &views {
            for (other, view) in &views {
                let seen = &view.members[*name].configuration;
                assert_eq!(seen, &own.members[*name].configuration, "{other} of {name}");
            }
        }
    }

    /// Kills one more and checks that its region notices within the bound of one turn of probes,
    /// the time to refute, and a second for the rest.
    fn check_detection(&mut self) {
        let running = self.fabric.running();
        let Some(&victim) = running.first() else {
            return;
        };
        let region = self.fabric.vms[victim].place.region.clone();
        let name = self.fabric.vms[victim].name.clone();
        let witnesses: Vec<usize> = running
            .into_iter()
            .filter(|index| *index != victim && self.fabric.vms[*index].place.region == region)
            .collect();
        self.fabric.faults.loss = 0;
        self.fabric.kill(victim);
        let turn = u64::try_from(witnesses.len()).expect("few");
        self.fabric
            .advance(seconds(2 * turn + 1) + self.fabric.timing.suspicion_timeout + seconds(1));
        for witness in witnesses {
            let core = self.fabric.vms[witness].core.as_ref().expect("running");
            let state = core.members().named(&name).map(|record| record.state());
            assert_eq!(
                state,
                Some(claim::MemberState::Dead),
                "{} did not notice",
                self.fabric.vms[witness].name
            );
        }
    }
}

fn is_shared(item: &item::Item) -> bool {
    item.key.kind != item::ItemKind::Link
}

fn run_one(u: &mut arbitrary::Unstructured<'_>, regions: usize) -> arbitrary::Result<()> {
    let mut history = History::begin(u, regions)?;
    for _ in 0..u.int_in_range(1..=10)? {
        history.step(u)?;
    }
    history.settle();
    Ok(())
}

#[test]
fn one_region_agrees_after_every_history() {
    run_histories(0, |u| run_one(u, 1));
}

#[test]
fn one_region_agrees_after_more_histories() {
    run_histories(100_000, |u| run_one(u, 1));
}

#[test]
fn two_regions_agree_after_every_history() {
    run_histories(200_000, |u| run_one(u, 2));
}

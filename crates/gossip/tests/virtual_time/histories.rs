//! Random histories of faults, checked against the invariants and for convergence.

use std::{collections, time};

use arbtest::arbitrary;
use base::fingerprint;
use gossip::{claim, item, list, settings, update, view};

use crate::cluster::{EPOCH_MS, NetworkFaults, SimulatedCluster, TestCore};

/// Number of histories in each test.
const HISTORIES: u64 = 700;

/// Time within which all members converge after all faults have ended.
const CONVERGENCE_TIMEOUT: time::Duration = time::Duration::from_secs(40);

/// Period without loss at the end of that time: while datagrams are lost, a member may be suspect
/// until it has refuted the suspicion.
const LOSSLESS_PERIOD: time::Duration = time::Duration::from_secs(8);

fn seconds(seconds: u64) -> time::Duration {
    time::Duration::from_secs(seconds)
}

/// Runs `HISTORIES` histories, each from a fixed seed that is printed on failure.
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

/// A running history.
struct History {
    cluster: SimulatedCluster,
    /// Number of items published so far.
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
        let mut cluster = SimulatedCluster::new(u.arbitrary()?, &places, timing);
        for index in 0..count {
            cluster.vms[index].skew_ms = u.int_in_range(-4000..=4000)?;
            cluster.start(index);
        }
        cluster.faults = NetworkFaults {
            loss: u.int_in_range(0..=80)?,
            duplication: u.int_in_range(0..=60)?,
            delay_ms: u.int_in_range(1..=150)?,
        };
        Ok(Self {
            cluster,
            published: 0,
        })
    }

    fn step(&mut self, u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()> {
        let count = self.cluster.vms.len();
        let index = u.int_in_range(0..=count - 1)?;
        match u.int_in_range(0..=13)? {
            0 => self.cluster.kill(index),
            1 => {
                // A clock may be set back between two incarnations.
                self.cluster.vms[index].skew_ms = u.int_in_range(-20_000..=4000)?;
                self.cluster.start(index);
            }
            2 => self.cluster.vms[index].paused = self.cluster.vms[index].core.is_some(),
            3 => self.cluster.resume(index),
            4 => {
                for vm in &mut self.cluster.vms {
                    vm.partition = u.int_in_range(0..=1)?;
                }
            }
            5 => self.heal(),
            6 => self.cluster.faults.loss = u.int_in_range(0..=120)?,
            7 => self.cluster.act(index, TestCore::leave),
            8 => self.publish(index, u)?,
            9 => {
                for index in 0..count {
                    self.cluster.start(index);
                    self.cluster
                        .advance(time::Duration::from_millis(u.int_in_range(300..=3000)?));
                }
            }
            10 => self.apply_list(index, u)?,
            11 => {
                // Two operators act concurrently: one version, two bodies.
                let other = u.int_in_range(0..=count - 1)?;
                self.quarantine(index, "of one");
                self.quarantine(other, "of the other");
            }
            _ => {}
        }
        self.cluster
            .advance(time::Duration::from_millis(u.int_in_range(0..=4000)?));
        self.cluster.check_monotone();
        Ok(())
    }

    fn heal(&mut self) {
        self.cluster.vms.iter_mut().for_each(|vm| vm.partition = 0);
    }

    fn publish(
        &mut self,
        index: usize,
        u: &mut arbitrary::Unstructured<'_>,
    ) -> arbitrary::Result<()> {
        if self.cluster.vms[index].paused {
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
                vm: self.cluster.vms[index].name.clone(),
                revision: self.published,
                offset: self.published,
                chain_hash: fingerprint::ContentHash([7; 32]),
            }),
        };
        self.cluster
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
        if !self.cluster.vms[index].paused {
            self.cluster
                .act(index, |core, now| core.publish(now, &update));
        }
    }

    /// Applies an outdated platform list on a VM, which reports some VM as leaving.
    fn apply_list(
        &mut self,
        index: usize,
        u: &mut arbitrary::Unstructured<'_>,
    ) -> arbitrary::Result<()> {
        let names = self.cluster.vms.iter().map(|vm| vm.name.clone());
        let mut list = list::VmListReport {
            live: names.collect(),
            ..list::VmListReport::default()
        };
        let other = u.int_in_range(0..=self.cluster.vms.len() - 1)?;
        let started_at = self.cluster.vms[other].started_at;
        // The list is older than the newest incarnation, so it must not mark that one.
        list.as_of_ms =
            EPOCH_MS + u64::try_from(started_at.as_millis()).expect("virtual time fits 64 bits");
        list.leaving
            .extend(list.live.take(&self.cluster.vms[other].name));
        if !self.cluster.vms[index].paused {
            self.cluster
                .act(index, |core, now| core.set_vm_list(now, list));
        }
        Ok(())
    }

    /// Ends all faults, waits for convergence, and checks that the members agree.
    fn settle(mut self) {
        self.heal();
        self.cluster.faults = NetworkFaults {
            loss: 5,
            duplication: 5,
            delay_ms: 5,
        };
        (0..self.cluster.vms.len()).for_each(|index| self.cluster.resume(index));
        self.cluster.check_monotone();
        let expected = self.best_items();
        self.cluster.advance(CONVERGENCE_TIMEOUT - LOSSLESS_PERIOD);
        self.cluster.faults.loss = 0;
        self.cluster.advance(LOSSLESS_PERIOD);
        self.cluster.check_monotone();
        self.check_members();
        self.check_items(&expected);
        self.check_in_force();
        self.check_detection();
    }

    /// The highest version of each item that any running member holds.
    fn best_items(&self) -> collections::BTreeMap<item::ItemKey, u64> {
        let mut best = collections::BTreeMap::new();
        for core in self.cluster.vms.iter().filter_map(|vm| vm.core.as_ref()) {
            for item in core.items().iter().filter(|item| is_shared(item)) {
                let version = best.entry(item.key.clone()).or_insert(item.version);
                *version = item.version.max(*version);
            }
        }
        best
    }

    fn check_members(&self) {
        for index in self.cluster.running() {
            let vm = &self.cluster.vms[index];
            let table = vm.core.as_ref().expect("running").members();
            for other in &self.cluster.vms {
                let record = table.named(&other.name);
                let state = record.map(|record| record.state());
                if other.core.is_some() {
                    let incarnation = record.map(|record| record.claim.version.incarnation.id);
                    assert_eq!(
                        state,
                        Some(claim::MemberState::Alive),
                        "{} does not report {} as alive",
                        vm.name,
                        other.name
                    );
                    assert_eq!(
                        incarnation,
                        Some(other.identity.incarnation),
                        "{} reports another incarnation of {}",
                        vm.name,
                        other.name
                    );
                } else {
                    let present = state.is_some_and(claim::MemberState::is_present);
                    // In a region without a running member none is left to detect the failure.
                    let deserted = !self
                        .cluster
                        .vms
                        .iter()
                        .any(|vm| vm.place.region == other.place.region && vm.core.is_some());
                    assert!(
                        !present || deserted,
                        "{} reports {} as {state:?}",
                        vm.name,
                        other.name
                    );
                }
            }
        }
    }

    fn check_items(&self, expected: &collections::BTreeMap<item::ItemKey, u64>) {
        let running = self.cluster.running();
        let stores: Vec<collections::BTreeMap<&item::ItemKey, (u64, &[u8])>> = running
            .iter()
            .map(|index| {
                let core = self.cluster.vms[*index].core.as_ref().expect("running");
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
                assert!(
                    held.is_some_and(|held| held >= *version),
                    "{key:?} is outdated"
                );
            }
        }
    }

    /// Checks that every running member knows the configuration in force on every other.
    fn check_in_force(&self) {
        let cores = self
            .cluster
            .vms
            .iter()
            .filter_map(|vm| Some((&vm.name, vm.core.as_ref()?)));
        let views: Vec<(&String, view::MemberSnapshot)> = cores
            .map(|(name, core)| (name, core.snapshot(self.cluster.now)))
            .collect();
        for (name, own) in &views {
            for (other, view) in &views {
                let seen = &view.members[*name].configuration;
                assert_eq!(
                    seen, &own.members[*name].configuration,
                    "{other} reports another configuration of {name}"
                );
            }
        }
    }

    /// Stops one more VM and checks that its region detects this within one probe cycle, the
    /// suspicion timeout and one second for the rest.
    fn check_detection(&mut self) {
        let running = self.cluster.running();
        let Some(&victim) = running.first() else {
            return;
        };
        let region = self.cluster.vms[victim].place.region.clone();
        let name = self.cluster.vms[victim].name.clone();
        let witnesses: Vec<usize> = running
            .into_iter()
            .filter(|index| *index != victim && self.cluster.vms[*index].place.region == region)
            .collect();
        self.cluster.faults.loss = 0;
        self.cluster.kill(victim);
        let cycle = u64::try_from(witnesses.len()).expect("few");
        self.cluster
            .advance(seconds(2 * cycle + 1) + self.cluster.timing.suspicion_timeout + seconds(1));
        for witness in witnesses {
            let core = self.cluster.vms[witness].core.as_ref().expect("running");
            let state = core.members().named(&name).map(|record| record.state());
            assert_eq!(
                state,
                Some(claim::MemberState::Dead),
                "{} did not detect the failure",
                self.cluster.vms[witness].name
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
fn one_region_converges_after_random_faults() {
    run_histories(0, |u| run_one(u, 1));
}

#[test]
fn one_region_converges_after_more_random_faults() {
    run_histories(100_000, |u| run_one(u, 1));
}

#[test]
fn two_regions_converge_after_random_faults() {
    run_histories(200_000, |u| run_one(u, 2));
}

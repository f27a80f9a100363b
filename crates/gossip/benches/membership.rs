//! Cost and speed of membership by number of VMs: many real cores in one process, on virtual time.
//! `cargo bench -p gossip --bench membership [-- sizes…]`.

use std::{collections, env, fs, hint, time};

use base::{fingerprint, id};
use cluster::{NetworkFaults, SimulatedCluster, TestCore};
use gossip::{claim, digest, event, settings, update, watching};
use rand_chacha::rand_core::Rng as _;
use wire::{datagram, identity, key};

#[allow(dead_code, reason = "the tests use the other functions")]
#[path = "../tests/virtual_time/cluster.rs"]
mod cluster;

/// Number of regions, and of failure domains in each.
const REGIONS: usize = 3;
const DOMAINS: usize = 3;

/// Duration of the steady-state measurement; it contains one configuration change, which matches
/// 1,200 changes a day.
const WINDOW_S: u64 = 72;

/// Number of organisations whose demand one VM sends to two others every five seconds at 410 VMs:
/// 38,000 organisations on three VMs each, one in ten active.
const DEMANDS_AT_410: usize = 28;

/// Number of failures, and of leaving marks at each loss rate.
const TRIALS: u32 = 30;

fn seconds(seconds: u64) -> time::Duration {
    time::Duration::from_secs(seconds)
}

/// CPU time of this process so far.
fn cpu_time() -> time::Duration {
    let text = fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    let nanoseconds = text.split(' ').next().and_then(|field| field.parse().ok());
    time::Duration::from_nanos(nanoseconds.unwrap_or(0))
}

/// Resident memory of this process.
fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = text
        .split(' ')
        .nth(1)
        .and_then(|field| field.parse().ok())
        .unwrap_or(0);
    pages * 4096
}

fn percentile(values: &[time::Duration], per_cent: usize) -> u128 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let index = (sorted.len() * per_cent / 100).min(sorted.len().saturating_sub(1));
    sorted.get(index).map_or(0, time::Duration::as_millis)
}

/// A cluster of one size whose VMs have all joined.
struct Site {
    cluster: SimulatedCluster,
    /// Model engines of each region.
    engines: collections::BTreeMap<String, Vec<String>>,
    round: u32,
    /// Age of each load when its successor arrived, which is its maximum age.
    ages: Vec<time::Duration>,
    /// When each user last received the load of each engine, and its age at that time.
    last_received: collections::BTreeMap<(usize, String), (time::Duration, time::Duration)>,
}

impl Site {
    fn join(count: usize) -> Self {
        let places: Vec<(String, String)> = (0..count)
            .map(|index| {
                let region = format!("region-{}", index % REGIONS);
                (
                    region.clone(),
                    format!("{region}-{}", index / REGIONS % DOMAINS),
                )
            })
            .collect();
        let mut cluster = SimulatedCluster::new(7, &places, settings::TimingSettings::default());
        let mut engines: collections::BTreeMap<String, Vec<String>> = collections::BTreeMap::new();
        for number in 0..count * 600 / 410 {
            let region = format!("region-{}", number % REGIONS);
            engines
                .entry(region)
                .or_default()
                .push(format!("engine-{number}"));
        }
        let before = resident_bytes();
        for index in 0..count {
            cluster.start(index);
            let own = engines
                .get(&cluster.vms[index].place.region)
                .cloned()
                .unwrap_or_default();
            cluster.act(index, |core, _| {
                core.set_servers(own);
                Vec::new()
            });
        }
        let joined_after = Self::wait_until(&mut cluster, |cluster| {
            cluster
                .vms
                .iter()
                .filter_map(|vm| vm.core.as_ref())
                .all(|core| core.members().iter().count() == count)
        });
        cluster.advance(seconds(60));
        cluster.events.clear();
        let memory = resident_bytes().saturating_sub(before) / count as u64;
        println!(
            "{count:>4} VMs  all joined within {} ms  memory {} KB per VM",
            joined_after.as_millis(),
            memory / 1024
        );
        Self {
            cluster,
            engines,
            round: 0,
            ages: Vec::new(),
            last_received: collections::BTreeMap::new(),
        }
    }

    fn wait_until(
        cluster: &mut SimulatedCluster,
        is_met: impl Fn(&SimulatedCluster) -> bool,
    ) -> time::Duration {
        let started_at = cluster.now;
        while !is_met(cluster) && cluster.now < started_at + seconds(120) {
            cluster.advance(time::Duration::from_millis(20));
        }
        cluster.now - started_at
    }

    /// Simulates one second of the steady state: watchers read engines, VMs send demand.
    fn second(&mut self) {
        self.round += 1;
        let cluster = &mut self.cluster;
        let names: Vec<String> = cluster.vms.iter().map(|vm| vm.name.clone()).collect();
        let demands = DEMANDS_AT_410 * names.len() / 410;
        for index in 0..names.len() {
            let (round, seed) = (self.round, cluster.rng.next_u32());
            let region = &cluster.vms[index].place.region;
            let engines = self.engines.get(region).map_or(&[][..], Vec::as_slice);
            cluster.act(index, |core, now| {
                let plan = core.watch_plan();
                for (number, engine) in engines.iter().enumerate() {
                    let duty = plan.duty(&names[index], engine);
                    let reads = duty == watching::WatchDuty::First
                        || duty == watching::WatchDuty::Standby && round.is_multiple_of(5);
                    if reads {
                        core.publish_load(now, engine, some_load(seed, number));
                    }
                }
                if (round + index as u32).is_multiple_of(5) {
                    for number in 0..demands {
                        let pick =
                            |step: usize| names[(index + number * 7 * step) % names.len()].clone();
                        let demand = digest::OrganisationDemand {
                            requests: round,
                            tokens: 3000,
                            running: 2,
                        };
                        core.publish_demand(
                            now,
                            &format!("organisation-{number}"),
                            demand,
                            &[pick(3), pick(6)],
                        );
                    }
                }
                Vec::new()
            });
        }
        cluster.advance(seconds(1));
        for (at, index, event) in cluster.events.drain(..) {
            if let event::GossipEvent::Load(update) = event {
                let before = self
                    .last_received
                    .insert((index, update.server), (at, update.age));
                self.ages
                    .extend(before.map(|(received_at, age)| at - received_at + age));
            }
        }
    }

    fn change_configuration(&mut self) {
        for index in self.cluster.running() {
            let vm = self.cluster.vms[index].name.clone();
            let revision: u64 = self.round.into();
            let update = update::ConfigurationUpdate {
                vm,
                revision,
                offset: revision,
                chain_hash: fingerprint::ContentHash::of(&revision.to_le_bytes()),
            };
            self.cluster.act(index, |core, now| {
                core.publish(now, &update::ItemUpdate::Configuration(update))
            });
        }
    }

    fn measure_steady(&mut self, codec: time::Duration) {
        for _ in 0..10 {
            self.second();
        }
        self.ages.clear();
        let (sent, received) = (self.cluster.sent.clone(), self.cluster.received.clone());
        let cpu = cpu_time();
        for second in 0..WINDOW_S {
            if second == 10 {
                self.change_configuration();
            }
            self.second();
        }
        let cpu = cpu_time() - cpu;
        let count = self.cluster.vms.len() as f64;
        let window = WINDOW_S as f64;
        let per_vm = |total: u64| total as f64 / count / window;
        let out: Vec<u64> = self
            .cluster
            .sent
            .iter()
            .zip(&sent)
            .map(|(now, then)| now.1 - then.1)
            .collect();
        let datagrams: u64 = self
            .cluster
            .sent
            .iter()
            .zip(&sent)
            .map(|(now, then)| now.0 - then.0)
            .sum();
        let both = self.cluster.received.iter().zip(&received).zip(&out);
        let both: Vec<u64> = both.map(|((now, then), out)| now - then + out).collect();
        let max = both.iter().max().copied().unwrap_or(0) as f64 / window;
        let core_share = cpu.as_secs_f64() / count / window;
        let codec_share = per_vm(datagrams) * codec.as_secs_f64();
        println!(
            "{:>4} VMs  steady: sent {:.0} B/s, both ways {:.0} B/s (max of one VM {max:.0}), {:.1} datagrams/s, core {:.3} % + codec {:.3} % of a CPU core",
            self.cluster.vms.len(),
            per_vm(out.iter().sum()),
            per_vm(both.iter().sum()),
            per_vm(datagrams),
            core_share * 100.0,
            codec_share * 100.0,
        );
    }

    fn print_ages(&self) {
        println!(
            "{:>4} VMs  maximum age of a load at its users: p50 {} ms, p99 {} ms",
            self.cluster.vms.len(),
            percentile(&self.ages, 50),
            percentile(&self.ages, 99),
        );
    }

    /// Measures the time until all running VMs hold an item that one VM publishes, in its region
    /// and in all regions.
    fn measure_spread(&mut self, loss: u32) {
        self.cluster.faults = NetworkFaults {
            loss,
            ..self.cluster.faults
        };
        let (mut near, mut far) = (Vec::new(), Vec::new());
        for number in 0..TRIALS {
            let running = self.cluster.running();
            let index = running[self.cluster.rng.next_u32() as usize % running.len()];
            let subject = update::LeavingSubject::Server {
                name: format!("engine-{number}"),
                incarnation: format!("{loss}"),
            };
            let item = update::ItemUpdate::Leaving(subject);
            let started_at = self.cluster.now;
            self.cluster
                .act(index, |core, now| core.publish(now, &item));
            self.cluster.advance(seconds(8));
            let region = self.cluster.vms[index].place.region.clone();
            let events = self
                .cluster
                .events
                .iter()
                .filter(|(_, _, event)| *event == event::GossipEvent::Item(item.clone()));
            let delays: collections::BTreeMap<usize, time::Duration> =
                events.map(|(at, vm, _)| (*vm, *at - started_at)).collect();
            assert_eq!(
                delays.len(),
                running.len(),
                "every running VM receives the item"
            );
            let in_region = delays
                .iter()
                .filter(|(vm, _)| self.cluster.vms[**vm].place.region == region);
            near.extend(in_region.map(|(_, after)| *after).max());
            far.extend(delays.values().max());
            self.cluster.events.clear();
        }
        self.cluster.faults.loss = 0;
        println!(
            "{:>4} VMs  leaving mark on all VMs, loss {:.0} %: region p50 {} ms, p99 {} ms; all regions p50 {} ms, p99 {} ms",
            self.cluster.vms.len(),
            f64::from(loss) / 2.56,
            percentile(&near, 50),
            percentile(&near, 99),
            percentile(&far, 50),
            percentile(&far, 99),
        );
    }

    /// Measures the time after a configuration change until all VMs know that it is in force on
    /// all.
    fn measure_in_force(&mut self) {
        let count = self.cluster.vms.len();
        let before: u64 = self.cluster.sent.iter().map(|sent| sent.1).sum();
        self.round += 1;
        let offset = u64::from(self.round);
        self.change_configuration();
        let knows = |core: &TestCore| {
            let known = core
                .members()
                .iter()
                .filter(|(_, record)| record.in_force.is_some_and(|state| state.offset == offset));
            known.count() == count
        };
        let all = |cluster: &SimulatedCluster| {
            cluster
                .vms
                .iter()
                .filter_map(|vm| vm.core.as_ref())
                .all(knows)
        };
        let after = Self::wait_until(&mut self.cluster, all);
        let sent: u64 = self.cluster.sent.iter().map(|sent| sent.1).sum();
        println!(
            "{count:>4} VMs  one configuration in force on all: known to all after {} ms, {} B sent per VM",
            after.as_millis(),
            (sent - before) / count as u64,
        );
        self.cluster.events.clear();
    }

    /// Measures the time until a new VM knows all members and the configuration in force on them.
    fn measure_fresh_join(&mut self) {
        let count = self.cluster.vms.len();
        let mut joins = Vec::new();
        for trial in 0..10 {
            let index = trial * 7 % count;
            self.cluster.kill(index);
            self.cluster.advance(seconds(15));
            self.cluster.start(index);
            let name = self.cluster.vms[index].name.clone();
            joins.push(Self::wait_until(&mut self.cluster, |cluster| {
                cluster.vms[index].core.as_ref().is_some_and(|core| {
                    let known = core.members().iter().filter(|(_, record)| {
                        record.in_force.is_some() || record.claim.name == name
                    });
                    known.count() == count
                })
            }));
            self.change_configuration();
            self.cluster.advance(seconds(20));
        }
        println!(
            "{count:>4} VMs  new VM knows all members: p50 {} ms, p99 {} ms",
            percentile(&joins, 50),
            percentile(&joins, 99),
        );
        self.cluster.events.clear();
    }

    /// Measures the time until a failure is known to the first VM, to the region, and to all VMs.
    fn measure_detection(&mut self) {
        let (mut first, mut near, mut far) = (Vec::new(), Vec::new(), Vec::new());
        for _ in 0..TRIALS {
            let running = self.cluster.running();
            let victim = running[self.cluster.rng.next_u32() as usize % running.len()];
            let (name, region) = (
                self.cluster.vms[victim].name.clone(),
                self.cluster.vms[victim].place.region.clone(),
            );
            let started_at = self.cluster.now;
            self.cluster.kill(victim);
            self.cluster.advance(seconds(20));
            let events = self.cluster.events.iter().filter(|(_, _, event)| {
                matches!(event, event::GossipEvent::Member(claim) if claim.name == name && claim.version.state == claim::MemberState::Dead)
            });
            let delays: collections::BTreeMap<usize, time::Duration> =
                events.map(|(at, vm, _)| (*vm, *at - started_at)).collect();
            let in_region: Vec<time::Duration> = delays
                .iter()
                .filter(|(vm, _)| self.cluster.vms[**vm].place.region == region)
                .map(|(_, after)| *after)
                .collect();
            first.extend(in_region.iter().min());
            near.extend(in_region.iter().max());
            far.extend(delays.values().max());
            self.cluster.start(victim);
            self.cluster.advance(seconds(10));
            self.cluster.events.clear();
        }
        println!(
            "{:>4} VMs  failure detection: first p50 {} ms, p99 {} ms; region p50 {} ms, p99 {} ms; all p50 {} ms, p99 {} ms",
            self.cluster.vms.len(),
            percentile(&first, 50),
            percentile(&first, 99),
            percentile(&near, 50),
            percentile(&near, 99),
            percentile(&far, 50),
            percentile(&far, 99),
        );
    }

    /// Measures the loss and the return of a complete failure domain.
    fn measure_domain_loss(&mut self) {
        let domain = self.cluster.vms[0].place.failure_domain.clone();
        let lost: Vec<usize> = (0..self.cluster.vms.len())
            .filter(|index| self.cluster.vms[*index].place.failure_domain == domain)
            .collect();
        lost.iter().for_each(|index| self.cluster.kill(*index));
        let mut max = 0;
        let started_at = self.cluster.now;
        let names: collections::BTreeSet<String> = lost
            .iter()
            .map(|index| self.cluster.vms[*index].name.clone())
            .collect();
        let all_know = |cluster: &SimulatedCluster| {
            cluster
                .vms
                .iter()
                .filter_map(|vm| vm.core.as_ref())
                .all(|core| {
                    core.members().iter().all(|(_, record)| {
                        !names.contains(&record.claim.name) || !record.state().is_present()
                    })
                })
        };
        while !all_know(&self.cluster) && self.cluster.now < started_at + seconds(120) {
            let before = self.cluster.sent.clone();
            let received = self.cluster.received.clone();
            self.cluster.advance(seconds(1));
            let both = (0..before.len()).map(|index| {
                self.cluster.sent[index].1 - before[index].1 + self.cluster.received[index]
                    - received[index]
            });
            max = both.max().unwrap_or(0).max(max);
        }
        let dead_after = self.cluster.now - started_at;
        lost.iter().for_each(|index| self.cluster.start(*index));
        let back_after = Self::wait_until(&mut self.cluster, |cluster| {
            cluster
                .vms
                .iter()
                .filter_map(|vm| vm.core.as_ref())
                .all(|core| {
                    let members = core.members();
                    cluster.vms.iter().all(|vm| {
                        members.named(&vm.name).is_some_and(|record| {
                            record.claim.version.incarnation.id == vm.identity.incarnation
                                && record.state() == claim::MemberState::Alive
                        })
                    })
                })
        });
        println!(
            "{:>4} VMs  loss of one domain of {} VMs: dead on all VMs after {} ms, max {max} B in one second both ways; alive on all VMs after {} ms",
            self.cluster.vms.len(),
            lost.len(),
            dead_after.as_millis(),
            back_after.as_millis(),
        );
        self.cluster.events.clear();
    }
}

fn some_load(seed: u32, number: usize) -> digest::EngineLoad {
    let varied = seed.rotate_left(u32::try_from(number).unwrap_or(0));
    digest::EngineLoad {
        incarnation_hash: 0x1234_5678,
        free_blocks: 2000 + varied % 4000,
        running: varied % 60,
        waiting: varied % 9,
        preemptions: varied % 2,
    }
}

/// CPU time to seal and open one datagram of typical size.
fn measure_codec() -> time::Duration {
    let ring = key::KeyRing::new(vec![key::WireKey::new(1, &[7; 32])]).expect("one key");
    let process = |name: &str, incarnation| identity::ProcessIdentity {
        name: name.to_owned(),
        incarnation: id::Incarnation(incarnation),
    };
    let (sender, receiver) = (process("region-0-1-vm-1", 1), process("region-0-1-vm-2", 2));
    let mut sealing = datagram::DatagramCodec::new(sender, key::KeyHandle::new(ring.clone()));
    let mut opening = datagram::DatagramCodec::new(receiver.clone(), key::KeyHandle::new(ring));
    let count = 100_000_u32;
    let before = cpu_time();
    for _ in 0..count {
        let datagram = sealing
            .seal(Some(&receiver), vec![7; 60])
            .expect("the payload fits");
        hint::black_box(opening.open(&datagram).expect("valid"));
    }
    (cpu_time() - before) / count
}

fn main() {
    let sizes: Vec<usize> = env::args()
        .filter_map(|argument| argument.parse().ok())
        .collect();
    let sizes = if sizes.is_empty() {
        vec![4, 16, 64, 256, 410]
    } else {
        sizes
    };
    let codec = measure_codec();
    println!("seal and open one datagram: {} ns", codec.as_nanos());
    for size in sizes {
        let mut site = Site::join(size);
        site.measure_steady(codec);
        site.print_ages();
        site.measure_in_force();
        site.measure_fresh_join();
        site.measure_spread(0);
        site.measure_spread(13);
        site.measure_detection();
        site.measure_domain_loss();
        let _: Option<&TestCore> = site.cluster.vms[0].core.as_ref();
    }
}

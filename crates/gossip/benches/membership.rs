//! What membership costs and how fast it is, by number of VMs: the real core, many in one process,
//! on virtual time. `cargo bench -p gossip --bench membership [-- sizes…]`.

use std::{collections, env, fs, hint, time};

use base::{fingerprint, id};
use fabric::{Fabric, NetworkFaults, TestCore};
use gossip::{claim, digest, event, settings, update, watching};
use rand_chacha::rand_core::Rng as _;
use wire::{datagram, identity, key};

#[allow(dead_code, reason = "the tests use the rest")]
#[path = "../tests/virtual_time/fabric.rs"]
mod fabric;

/// Regions, and failure domains in each.
const REGIONS: usize = 3;
const DOMAINS: usize = 3;

/// Window of the steady state: one change of configuration falls into it, as 1,200 a day do.
const WINDOW_S: u64 = 72;

/// Organisations with recent demand that one VM tells two others about every five seconds, at
/// 410 VMs: 38,000 organisations on three VMs each, one in ten active.
const DEMANDS_AT_410: usize = 28;

/// Deaths, and marks at each rate of loss.
const TRIALS: u32 = 30;

fn seconds(seconds: u64) -> time::Duration {
    time::Duration::from_secs(seconds)
}

/// Processor time of this process so far.
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

/// All VMs of one size, joined.
struct Site {
    fabric: Fabric,
    /// Model engines of each region.
    engines: collections::BTreeMap<String, Vec<String>>,
    round: u32,
    /// Ages of the load that a user had just before the next came: how old it gets.
    ages: Vec<time::Duration>,
    /// When each user heard last of each engine, and how old that was then.
    heard: collections::BTreeMap<(usize, String), (time::Duration, time::Duration)>,
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
        let mut fabric = Fabric::new(7, &places, settings::TimingSettings::default());
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
            fabric.start(index);
            let own = engines
                .get(&fabric.vms[index].place.region)
                .cloned()
                .unwrap_or_default();
            fabric.act(index, |core, _| {
                core.set_servers(own);
                Vec::new()
            });
        }
        let joined_after = Self::wait_until(&mut fabric, |fabric| {
            fabric
                .vms
                .iter()
                .filter_map(|vm| vm.core.as_ref())
                .all(|core| core.members().iter().count() == count)
        });
        fabric.advance(seconds(60));
        fabric.told.clear();
        let memory = resident_bytes().saturating_sub(before) / count as u64;
        println!(
            "{count:>4} VMs  all join together in {} ms  memory {} KB a VM",
            joined_after.as_millis(),
            memory / 1024
        );
        Self {
            fabric,
            engines,
            round: 0,
            ages: Vec::new(),
            heard: collections::BTreeMap::new(),
        }
    }

    fn wait_until(fabric: &mut Fabric, is_met: impl Fn(&Fabric) -> bool) -> time::Duration {
        let started_at = fabric.now;
        while !is_met(fabric) && fabric.now < started_at + seconds(120) {
            fabric.advance(time::Duration::from_millis(20));
        }
        fabric.now - started_at
    }

    /// One second of the steady state: watchers read engines, VMs tell of demand.
    fn second(&mut self) {
        self.round += 1;
        let fabric = &mut self.fabric;
        let names: Vec<String> = fabric.vms.iter().map(|vm| vm.name.clone()).collect();
        let demands = DEMANDS_AT_410 * names.len() / 410;
        for index in 0..names.len() {
            let (round, seed) = (self.round, fabric.rng.next_u32());
            let region = &fabric.vms[index].place.region;
            let engines = self.engines.get(region).map_or(&[][..], Vec::as_slice);
            fabric.act(index, |core, now| {
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
        fabric.advance(seconds(1));
        for (at, index, event) in fabric.told.drain(..) {
            if let event::GossipEvent::Load(update) = event {
                let before = self.heard.insert((index, update.server), (at, update.age));
                self.ages
                    .extend(before.map(|(received_at, age)| at - received_at + age));
            }
        }
    }

    fn change_configuration(&mut self) {
        for index in self.fabric.running() {
            let vm = self.fabric.vms[index].name.clone();
            let revision: u64 = self.round.into();
            let update = update::ConfigurationUpdate {
                vm,
                revision,
                offset: revision,
                chain_hash: fingerprint::ContentHash::of(&revision.to_le_bytes()),
            };
            self.fabric.act(index, |core, now| {
                core.publish(now, &update::ItemUpdate::Configuration(update))
            });
        }
    }

    fn measure_steady(&mut self, codec: time::Duration) {
        for _ in 0..10 {
            self.second();
        }
        self.ages.clear();
        let (sent, received) = (self.fabric.sent.clone(), self.fabric.received.clone());
        let cpu = cpu_time();
        for second in 0..WINDOW_S {
            if second == 10 {
                self.change_configuration();
            }
            self.second();
        }
        let cpu = cpu_time() - cpu;
        let count = self.fabric.vms.len() as f64;
        let window = WINDOW_S as f64;
        let per_vm = |total: u64| total as f64 / count / window;
        let out: Vec<u64> = self
            .fabric
            .sent
            .iter()
            .zip(&sent)
            .map(|(now, then)| now.1 - then.1)
            .collect();
        let datagrams: u64 = self
            .fabric
            .sent
            .iter()
            .zip(&sent)
            .map(|(now, then)| now.0 - then.0)
            .sum();
        let both = self.fabric.received.iter().zip(&received).zip(&out);
        let both: Vec<u64> = both.map(|((now, then), out)| now - then + out).collect();
        let most = both.iter().max().copied().unwrap_or(0) as f64 / window;
        let core_share = cpu.as_secs_f64() / count / window;
        let codec_share = per_vm(datagrams) * codec.as_secs_f64();
        println!(
            "{:>4} VMs  steady: sent {:.0} B/s, both ways {:.0} B/s (most of one VM {most:.0}), {:.1} datagrams/s, core {:.3} % + codec {:.3} % of a processor",
            self.fabric.vms.len(),
            per_vm(out.iter().sum()),
            per_vm(both.iter().sum()),
            per_vm(datagrams),
            core_share * 100.0,
            codec_share * 100.0,
        );
    }

    fn print_ages(&self) {
        println!(
            "{:>4} VMs  oldest that a load gets at its users: p50 {} ms, p99 {} ms",
            self.fabric.vms.len(),
            percentile(&self.ages, 50),
            percentile(&self.ages, 99),
        );
    }

    /// How long until all who run hold an item that one VM publishes, in its region and in all.
    fn measure_spread(&mut self, loss: u32) {
        self.fabric.faults = NetworkFaults {
            loss,
            ..self.fabric.faults
        };
        let (mut near, mut far) = (Vec::new(), Vec::new());
        for number in 0..TRIALS {
            let running = self.fabric.running();
            let index = running[self.fabric.rng.next_u32() as usize % running.len()];
            let subject = update::LeavingSubject::Server {
                name: format!("engine-{number}"),
                incarnation: format!("{loss}"),
            };
            let item = update::ItemUpdate::Leaving(subject);
            let started_at = self.fabric.now;
            self.fabric.act(index, |core, now| core.publish(now, &item));
            self.fabric.advance(seconds(8));
            let region = self.fabric.vms[index].place.region.clone();
            let told = self
                .fabric
                .told
                .iter()
                .filter(|(_, _, event)| *event == event::GossipEvent::Item(item.clone()));
            let learnt: collections::BTreeMap<usize, time::Duration> =
                told.map(|(at, vm, _)| (*vm, *at - started_at)).collect();
            assert_eq!(learnt.len(), running.len(), "everybody learns it");
            let in_region = learnt
                .iter()
                .filter(|(vm, _)| self.fabric.vms[**vm].place.region == region);
            near.extend(in_region.map(|(_, after)| *after).max());
            far.extend(learnt.values().max());
            self.fabric.told.clear();
        }
        self.fabric.faults.loss = 0;
        println!(
            "{:>4} VMs  a mark at everybody, loss {:.0} %: region p50 {} ms, p99 {} ms; all regions p50 {} ms, p99 {} ms",
            self.fabric.vms.len(),
            f64::from(loss) / 2.56,
            percentile(&near, 50),
            percentile(&near, 99),
            percentile(&far, 50),
            percentile(&far, 99),
        );
    }

    /// How long after one change of configuration all VMs know that it is in force on all.
    fn measure_in_force(&mut self) {
        let count = self.fabric.vms.len();
        let before: u64 = self.fabric.sent.iter().map(|sent| sent.1).sum();
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
        let all = |fabric: &Fabric| {
            fabric
                .vms
                .iter()
                .filter_map(|vm| vm.core.as_ref())
                .all(knows)
        };
        let after = Self::wait_until(&mut self.fabric, all);
        let sent: u64 = self.fabric.sent.iter().map(|sent| sent.1).sum();
        println!(
            "{count:>4} VMs  one configuration on all: known to all after {} ms, {} B sent a VM meanwhile",
            after.as_millis(),
            (sent - before) / count as u64,
        );
        self.fabric.told.clear();
    }

    /// How long until a fresh VM knows all members and what is in force on them.
    fn measure_fresh_join(&mut self) {
        let count = self.fabric.vms.len();
        let mut joins = Vec::new();
        for trial in 0..10 {
            let index = trial * 7 % count;
            self.fabric.kill(index);
            self.fabric.advance(seconds(15));
            self.fabric.start(index);
            let name = self.fabric.vms[index].name.clone();
            joins.push(Self::wait_until(&mut self.fabric, |fabric| {
                fabric.vms[index].core.as_ref().is_some_and(|core| {
                    let known = core.members().iter().filter(|(_, record)| {
                        record.in_force.is_some() || record.claim.name == name
                    });
                    known.count() == count
                })
            }));
            self.change_configuration();
            self.fabric.advance(seconds(20));
        }
        println!(
            "{count:>4} VMs  a fresh VM knows all members: p50 {} ms, p99 {} ms",
            percentile(&joins, 50),
            percentile(&joins, 99),
        );
        self.fabric.told.clear();
    }

    /// How long until a death is known to the first, to the region, and to all.
    fn measure_detection(&mut self) {
        let (mut first, mut near, mut far) = (Vec::new(), Vec::new(), Vec::new());
        for _ in 0..TRIALS {
            let running = self.fabric.running();
            let victim = running[self.fabric.rng.next_u32() as usize % running.len()];
            let (name, region) = (
                self.fabric.vms[victim].name.clone(),
                self.fabric.vms[victim].place.region.clone(),
            );
            let started_at = self.fabric.now;
            self.fabric.kill(victim);
            self.fabric.advance(seconds(20));
            let told = self.fabric.told.iter().filter(|(_, _, event)| {
                matches!(event, event::GossipEvent::Member(claim) if claim.name == name && claim.version.state == claim::MemberState::Dead)
            });
            let learnt: collections::BTreeMap<usize, time::Duration> =
                told.map(|(at, vm, _)| (*vm, *at - started_at)).collect();
            let in_region: Vec<time::Duration> = learnt
                .iter()
                .filter(|(vm, _)| self.fabric.vms[**vm].place.region == region)
                .map(|(_, after)| *after)
                .collect();
            first.extend(in_region.iter().min());
            near.extend(in_region.iter().max());
            far.extend(learnt.values().max());
            self.fabric.start(victim);
            self.fabric.advance(seconds(10));
            self.fabric.told.clear();
        }
        println!(
            "{:>4} VMs  a death: first p50 {} ms, p99 {} ms; region p50 {} ms, p99 {} ms; all p50 {} ms, p99 {} ms",
            self.fabric.vms.len(),
            percentile(&first, 50),
            percentile(&first, 99),
            percentile(&near, 50),
            percentile(&near, 99),
            percentile(&far, 50),
            percentile(&far, 99),
        );
    }

    /// One whole failure domain goes at once, and comes back.
    fn measure_domain_loss(&mut self) {
        let domain = self.fabric.vms[0].place.failure_domain.clone();
        let lost: Vec<usize> = (0..self.fabric.vms.len())
            .filter(|index| self.fabric.vms[*index].place.failure_domain == domain)
            .collect();
        lost.iter().for_each(|index| self.fabric.kill(*index));
        let mut most = 0;
        let started_at = self.fabric.now;
        let names: collections::BTreeSet<String> = lost
            .iter()
            .map(|index| self.fabric.vms[*index].name.clone())
            .collect();
        let all_know = |fabric: &Fabric| {
            fabric
                .vms
                .iter()
                .filter_map(|vm| vm.core.as_ref())
                .all(|core| {
                    core.members().iter().all(|(_, record)| {
                        !names.contains(&record.claim.name) || !record.state().is_present()
                    })
                })
        };
        while !all_know(&self.fabric) && self.fabric.now < started_at + seconds(120) {
            let before = self.fabric.sent.clone();
            let received = self.fabric.received.clone();
            self.fabric.advance(seconds(1));
            let both = (0..before.len()).map(|index| {
                self.fabric.sent[index].1 - before[index].1 + self.fabric.received[index]
                    - received[index]
            });
            most = both.max().unwrap_or(0).max(most);
        }
        let dead_after = self.fabric.now - started_at;
        lost.iter().for_each(|index| self.fabric.start(*index));
        let back_after = Self::wait_until(&mut self.fabric, |fabric| {
            fabric
                .vms
                .iter()
                .filter_map(|vm| vm.core.as_ref())
                .all(|core| {
                    let members = core.members();
                    fabric.vms.iter().all(|vm| {
                        members.named(&vm.name).is_some_and(|record| {
                            record.claim.version.incarnation.id == vm.identity.incarnation
                                && record.state() == claim::MemberState::Alive
                        })
                    })
                })
        });
        println!(
            "{:>4} VMs  {} of one domain go: dead everywhere after {} ms, at most {most} B in a second both ways; back everywhere after {} ms",
            self.fabric.vms.len(),
            lost.len(),
            dead_after.as_millis(),
            back_after.as_millis(),
        );
        self.fabric.told.clear();
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

/// Processor time to seal and to open one datagram of usual size.
fn measure_codec() -> time::Duration {
    let ring = key::KeyRing::new(vec![key::WireKey::new(1, &[7; 32])]).expect("one key");
    let process = |name: &str, life| identity::ProcessIdentity {
        name: name.to_owned(),
        incarnation: id::Incarnation(life),
    };
    let (sender, receiver) = (process("region-0-1-vm-1", 1), process("region-0-1-vm-2", 2));
    let mut sealing = datagram::DatagramCodec::new(sender, key::KeyHandle::new(ring.clone()));
    let mut opening = datagram::DatagramCodec::new(receiver.clone(), key::KeyHandle::new(ring));
    let count = 100_000_u32;
    let before = cpu_time();
    for _ in 0..count {
        let datagram = sealing.seal(Some(&receiver), vec![7; 60]).expect("short");
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
        let _: Option<&TestCore> = site.fabric.vms[0].core.as_ref();
    }
}

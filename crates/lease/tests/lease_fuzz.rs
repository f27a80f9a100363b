//! Stateful fuzz test of the fold and the holder against an oracle, with the driver's order of
//! calls: histories of three VMs, which may be replaced, over a log with faults, on a paused clock.

use std::collections;

use arbitrary::Unstructured;
use base::id;
use lease::{fold, holder, limits};
use ledger::driver::LogFold as _;
use ledger::record;
use rand_chacha::rand_core::{Rng as _, SeedableRng as _};
use tokio::time;

const HISTORIES: u64 = 2_500;
const ACTIONS: usize = 300;
const SERVERS: [&str; 2] = ["engine-1", "engine-2"];
const LIMITS: limits::LeaseLimits = limits::LeaseLimits {
    hold_ms: 1_000,
    renew_ms: 300,
    order_ms: 100,
    drift_ppm: 1_000,
    holders_per_region: 2,
};

/// A record that is in flight to the log or on it.
#[derive(Clone, Debug)]
struct PendingRecord {
    id: id::RecordId,
    item: fold::HoldItem,
    requested_at: time::Instant,
}

#[derive(Debug)]
struct Process {
    holder: holder::LeaseHolder,
    fold: fold::LeaseFold,
    /// Offset of the next record to read.
    position: usize,
    pending: Option<PendingRecord>,
    orders: Vec<(String, u64, time::Instant)>,
}

#[derive(Default)]
struct Oracle {
    /// Newest order by server: its fencing number and its sender.
    newest: collections::BTreeMap<String, (u64, fold::HolderId)>,
    effective: u64,
    takeovers: u64,
}

impl Oracle {
    fn take_effect(&mut self, server: &str, fencing: u64, sender: &fold::HolderId) {
        if let Some((newest, last)) = self.newest.get(server) {
            assert!(fencing >= *newest, "an old order took effect on {server}");
            assert!(
                fencing > *newest || last == sender,
                "two senders used one fencing number"
            );
            self.takeovers += u64::from(fencing > *newest);
        }
        self.effective += 1;
        self.newest
            .insert(server.to_owned(), (fencing, sender.clone()));
    }
}

struct TestCluster {
    processes: Vec<Process>,
    /// Appends in flight or abandoned, which may still take effect, also twice.
    in_flight: Vec<PendingRecord>,
    log: Vec<(u64, PendingRecord)>,
    started_at: time::Instant,
    skew_ms: u64,
    incarnations: u128,
    record_count: u128,
    oracle: Oracle,
}

fn new_process(vm: usize, incarnation: u128) -> Process {
    let id = fold::HolderId {
        vm: format!("vm-{vm}"),
        incarnation: id::Incarnation(incarnation),
    };
    Process {
        holder: holder::LeaseHolder::new(id, LIMITS),
        fold: fold::LeaseFold::default(),
        position: 0,
        pending: None,
        orders: Vec::new(),
    }
}

impl TestCluster {
    fn log_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64 + self.skew_ms
    }

    fn act(&mut self, input: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        let who = input.choose_index(self.processes.len())?;
        match input.int_in_range(0..=15)? {
            0..=4 => {
                // A complete round without faults.
                self.read(who);
                self.request(who, input)?;
                self.append_newest();
                self.read(who);
            }
            5 => self.request(who, input)?,
            6 => self.append_any(input)?,
            7 => self.read(who),
            8..=10 => self.send(who, input)?,
            11..=13 => self.take_effect(who, input)?,
            14 if input.ratio(1, 8)? => {
                self.incarnations += 1;
                self.processes[who] = new_process(who, self.incarnations);
            }
            14 if input.ratio(1, 4)? => self.skew_ms += input.int_in_range(0..=600)?,
            _ => self.processes[who].pending = None,
        }
        Ok(())
    }

    fn request(&mut self, who: usize, input: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        let mut assigned = collections::BTreeSet::new();
        for server in SERVERS {
            if input.ratio(15, 16)? {
                assigned.insert(server.to_owned());
            }
        }
        let log_ms = self.log_ms();
        let process = &mut self.processes[who];
        process.holder.observe(&process.fold);
        let planned = process.holder.plan(&assigned, &process.fold, Some(log_ms));
        if let (None, Some(item)) = (&process.pending, planned) {
            process.holder.begin_request(&item);
            self.record_count += 1;
            let pending = PendingRecord {
                id: id::RecordId(self.record_count),
                item,
                requested_at: time::Instant::now(),
            };
            process.pending = Some(pending.clone());
            self.in_flight.push(pending);
        }
        Ok(())
    }

    fn append_any(&mut self, input: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        if self.in_flight.is_empty() {
            return Ok(());
        }
        let index = input.choose_index(self.in_flight.len())?;
        let is_duplicated = input.ratio(1, 8)?;
        let pending = if is_duplicated {
            self.in_flight[index].clone()
        } else {
            self.in_flight.remove(index)
        };
        self.log.push((self.log_ms(), pending));
        Ok(())
    }

    fn append_newest(&mut self) {
        if let Some(pending) = self.in_flight.pop() {
            self.log.push((self.log_ms(), pending));
        }
    }

    /// Reads to the end of the log and applies the verdict that the process waits for.
    fn read(&mut self, who: usize) {
        let process = &mut self.processes[who];
        while let Some((at_ms, pending)) = self.log.get(process.position) {
            let place = record::RecordPlace {
                offset: process.position as u64,
                at_ms: *at_ms,
            };
            let entry = record::BatchEntry {
                id: pending.id,
                seen: 0,
                item: fold::LeaseEntry::Hold(pending.item.clone()),
            };
            let batch = record::BatchRecord {
                writer: String::new(),
                entries: vec![entry],
            };
            process.position += 1;
            for decided in process.fold.apply(place, batch) {
                if let Some(own) = process.pending.take_if(|own| own.id == decided.id) {
                    let now = time::Instant::now();
                    let verdict = &decided.verdict;
                    process
                        .holder
                        .apply_verdict(&own.item, verdict, own.requested_at, now);
                }
            }
        }
    }

    fn send(&mut self, who: usize, input: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        let server = *input.choose(&SERVERS)?;
        let now = time::Instant::now();
        let process = &mut self.processes[who];
        if let Ok(permit) = process.holder.permit(server, now)
            && permit.check_unfenced(now).is_ok()
        {
            process
                .orders
                .push((server.to_owned(), permit.fencing(), now));
        }
        Ok(())
    }

    fn take_effect(&mut self, who: usize, input: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        let process = &mut self.processes[who];
        if process.orders.is_empty() {
            return Ok(());
        }
        let index = input.choose_index(process.orders.len())?;
        let (server, fencing, seen) = process.orders.swap_remove(index);
        if seen.elapsed().as_millis() <= u128::from(LIMITS.order_ms) {
            let sender = process.holder.id().clone();
            self.oracle.take_effect(&server, fencing, &sender);
        }
        Ok(())
    }
}

async fn run(seed: u64, clock_jumps: bool) -> Oracle {
    let mut bytes = vec![0; 8_192];
    rand_chacha::ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut bytes);
    let mut input = Unstructured::new(&bytes);
    let mut cluster = TestCluster {
        processes: (0..3).map(|vm| new_process(vm, vm as u128)).collect(),
        in_flight: Vec::new(),
        log: Vec::new(),
        started_at: time::Instant::now(),
        skew_ms: 0,
        incarnations: 3,
        record_count: 0,
        oracle: Oracle::default(),
    };
    for _ in 0..ACTIONS {
        let pause_ms = match input.int_in_range(0..=19).unwrap_or(0) {
            0..=13 => 0,
            14..=18 => input.int_in_range(1..=100).unwrap_or(1),
            _ => input.int_in_range(100..=1_200).unwrap_or(100),
        };
        time::advance(time::Duration::from_millis(pause_ms)).await;
        if clock_jumps && input.ratio(1, 16).unwrap_or(false) {
            // The log's clock jumps forward: a lease changes hands long before it lapses by the
            // holder's clock.
            cluster.skew_ms += input.int_in_range(0..=1_200).unwrap_or(0);
        }
        if cluster.act(&mut input).is_err() {
            break;
        }
    }
    check_folds(&mut cluster);
    cluster.oracle
}

/// Checks that folds that have read the same records are equal.
fn check_folds(cluster: &mut TestCluster) {
    for who in 0..cluster.processes.len() {
        cluster.read(who);
    }
    let first = &cluster.processes[0].fold;
    assert!(
        cluster
            .processes
            .iter()
            .all(|process| process.fold == *first)
    );
}

/// Guards against deadlines, waits and fencing numbers that do not follow from the log's order: an
/// engine that ignores fencing numbers would accept the orders of two VMs in turn. Histories
/// contain pauses, lost and repeated appends, jumps of the log's clock and replaced VMs.
#[tokio::test(start_paused = true)]
async fn old_orders_never_take_effect_after_new_ones() {
    let mut effective = 0;
    let mut takeovers = 0;
    for (seed, clock_jumps) in (0..HISTORIES).flat_map(|seed| [(seed, false), (seed, true)]) {
        println!("seed {seed}, clock_jumps {clock_jumps}");
        let oracle = run(seed, clock_jumps).await;
        effective += oracle.effective;
        takeovers += oracle.takeovers;
    }
    println!(
        "{} histories, {effective} orders in effect, {takeovers} takeovers",
        2 * HISTORIES
    );
    assert!(
        takeovers > 50,
        "only {takeovers} takeovers: the histories do not test enough changes of holder"
    );
}

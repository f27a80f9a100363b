//! Stateful fuzz of deferrable work against an oracle that knows nothing of the code's insides.

mod cluster;

use std::{collections, sync};

use arbitrary::Unstructured;
use base::id;
use ledger::{appender, host, job_calls, job_store, jobs, partition, permit, route};
use rand::SeedableRng as _;
use tokio::{task, time};

const ORGANISATION: &str = "depot-3";
const PART_BYTES: usize = 40;
const LONG_KEPT_MS: u64 = 3_600_000;
const SHORT_KEPT_MS: u64 = 3_000;

/// One holder's time with some work, by its own reckoning.
#[derive(Clone, Debug)]
struct WorkSpan {
    from: time::Instant,
    until: time::Instant,
}

/// What the world saw of one piece of work.
#[derive(Clone, Debug, Default)]
struct SeenJob {
    kept_ms: u64,
    accepted: bool,
    refused: bool,
    spans: Vec<WorkSpan>,
    /// Results that their holders were told count.
    kept: collections::BTreeSet<String>,
    /// Results that callers were given.
    fetched: collections::BTreeSet<String>,
    denied: bool,
}

#[derive(Clone, Default)]
struct Witness(sync::Arc<sync::Mutex<collections::BTreeMap<id::RequestId, SeenJob>>>);

impl Witness {
    fn note(&self, job: id::RequestId, change: impl FnOnce(&mut SeenJob)) {
        change(self.0.lock().expect("witness").entry(job).or_default());
    }

    fn jobs(&self) -> collections::BTreeMap<id::RequestId, SeenJob> {
        self.0.lock().expect("witness").clone()
    }
}

/// The oracle.
fn check(found: &collections::BTreeMap<id::RequestId, SeenJob>) {
    for (job, seen) in found {
        if seen.refused && !seen.accepted {
            assert!(seen.spans.is_empty(), "{job}: refused, but done");
            assert!(seen.fetched.is_empty(), "{job}: refused, but has a result");
        }
        let results: collections::BTreeSet<&String> = seen.kept.union(&seen.fetched).collect();
        assert!(results.len() <= 1, "{job}: several results {results:?}");
        if seen.kept_ms == LONG_KEPT_MS {
            assert!(
                !seen.denied || !seen.accepted,
                "{job}: accepted, but denied"
            );
            assert!(
                !seen.accepted || !seen.fetched.is_empty(),
                "{job}: accepted, but lost"
            );
        }
        for (index, span) in seen.spans.iter().enumerate() {
            for other in &seen.spans[index + 1..] {
                let apart = span.until <= other.from || other.until <= span.from;
                assert!(apart, "{job}: two holders at once: {span:?} {other:?}");
            }
        }
    }
}

fn settings() -> host::HostSettings {
    let mut settings = host::HostSettings::default();
    settings.claims.limits.retention_ms = 24_000;
    settings.jobs = job_store::JobSettings {
        limits: jobs::JobLimits {
            hold_ms: 1_000,
            margin_ms: 200,
            carry_after_ms: 6_000,
            fetched_kept_ms: 2_000,
            memory_ms: 6_000,
            part_bytes: PART_BYTES,
            max_held_bytes: 2_000,
        },
        append: appender::AppendLimits {
            max_batch_entries: 4,
            max_lookups: 2,
            ..appender::AppendLimits::default()
        },
    };
    settings
}

fn route_settings() -> route::RouteSettings {
    route::RouteSettings {
        attempt_timeout: time::Duration::from_millis(400),
        report_timeout: time::Duration::from_secs(6),
        report_interval: time::Duration::from_millis(200),
        max_withdrawals: 64,
    }
}

/// How a holder behaves.
#[derive(Clone, Copy, Debug)]
struct HolderFate {
    /// Steps of work, each with a renewal after it.
    steps: u8,
    step_ms: u64,
    /// It dies before it reports.
    dies: bool,
    /// It gives the work back.
    gives_back: bool,
}

const DILIGENT: HolderFate = HolderFate {
    steps: 1,
    step_ms: 5,
    dies: false,
    gives_back: false,
};

async fn accept(router: cluster::TestRouter, witness: Witness, job: id::RequestId, kept_ms: u64) {
    let body = bytes::Bytes::from(format!("the long request {job}"));
    let reply = router.accept(job, ORGANISATION, kept_ms, body).await;
    witness.note(job, |seen| {
        seen.kept_ms = kept_ms;
        match reply {
            job_calls::AcceptReply::Accepted => seen.accepted = true,
            job_calls::AcceptReply::NotAccepted(_) => seen.refused = true,
            job_calls::AcceptReply::Unknown => {}
        }
    });
}

async fn work(
    router: cluster::TestRouter,
    witness: Witness,
    part: partition::PartitionIndex,
    fate: HolderFate,
) -> bool {
    let Some(mut ticket) = router.take_next(part).await else {
        return false;
    };
    let job = ticket.grant.job;
    assert_eq!(
        ticket.grant.body,
        format!("the long request {job}"),
        "another body"
    );
    let begun = time::Instant::now();
    if !ticket.may_continue(begun) {
        return true;
    }
    let claim = ticket.grant.claim;
    let index = note_span(&witness, &ticket, begun);
    for _ in 0..fate.steps {
        time::sleep(time::Duration::from_millis(fate.step_ms)).await;
        let late = !ticket.may_continue(time::Instant::now());
        let state = router.renew(&mut ticket).await;
        if late || state == job_calls::RenewState::Superseded {
            break;
        }
        witness.note(job, |seen| seen.spans[index].until = ticket.deadline());
    }
    let now = time::Instant::now();
    if ticket.may_continue(now) && (fate.gives_back || !fate.dies) {
        witness.note(job, |seen| seen.spans[index].until = now);
    }
    if fate.gives_back {
        router.release(ticket).await;
    } else if !fate.dies {
        let result = format!("the whole answer of {claim}");
        let reply = router.finish(&ticket, result.clone().into()).await;
        if reply == job_calls::FinishReply::Kept {
            witness.note(job, |seen| {
                seen.kept.insert(result);
            });
        }
    }
    true
}

fn note_span(witness: &Witness, ticket: &permit::JobTicket, from: time::Instant) -> usize {
    let mut index = 0;
    witness.note(ticket.grant.job, |seen| {
        index = seen.spans.len();
        seen.spans.push(WorkSpan {
            from,
            until: ticket.deadline(),
        });
    });
    index
}

async fn fetch(router: cluster::TestRouter, witness: Witness, job: id::RequestId) {
    let accepted = witness.jobs().get(&job).is_some_and(|seen| seen.accepted);
    let reply = router.fetch(job).await;
    match reply {
        job_calls::FetchReply::Found(job_calls::FoundJob {
            view: jobs::JobView::Finished(result),
            organisation,
        }) => {
            assert_eq!(organisation, ORGANISATION);
            let text = String::from_utf8(result.bytes.to_vec()).expect("text");
            witness.note(job, |seen| {
                seen.fetched.insert(text);
            });
        }
        job_calls::FetchReply::NotFound if accepted => {
            witness.note(job, |seen| seen.denied = true);
        }
        _ => {}
    }
}

/// Each VM looks after its partitions every second, as its daemon would.
fn maintain(vm: &cluster::TestVm, network: &cluster::Network, number: u64) -> task::AbortHandle {
    let host = sync::Arc::downgrade(&vm.host);
    let network = network.clone();
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(number);
    let looking = async move {
        while let Some(host) = host.upgrade() {
            let live = network.view_of(host.vm());
            host.maintain(&live, &mut rng).await;
            drop(host);
            time::sleep(time::Duration::from_secs(1)).await;
        }
    };
    tokio::spawn(looking).abort_handle()
}

/// Plays a history; gives what the world saw of each piece of work.
async fn history(u: &mut Unstructured<'_>, number: u64) -> arbitrary::Result<String> {
    let world = cluster::World::new(number, 3, settings(), route_settings());
    world.heal();
    let witness = Witness::default();
    let rng = rand_chacha::ChaCha8Rng::seed_from_u64(number);
    let mut lives = number << 8;
    for vm in &world.vms {
        lives += 1;
        maintain(vm, &world.network, lives);
    }
    let mut player = HistoryPlayer {
        world,
        witness,
        rng,
        ids: Vec::new(),
        lives,
        sound: time::Instant::now(),
    };
    for _ in 0..30 {
        player.step(u).await?;
        // Work is lost when the log fails for longer than it keeps records and all readers die.
        if player.sound.elapsed() > time::Duration::from_secs(8) {
            player.rest().await;
        }
    }
    finish(&player.world, &player.witness).await;
    let jobs = player.witness.jobs();
    let told = jobs.iter().map(|(job, seen)| {
        let spans: Vec<_> = seen
            .spans
            .iter()
            .map(|span| span.until - span.from)
            .collect();
        let flags = (seen.accepted, seen.refused, seen.denied);
        format!(
            "{job:?} {flags:?} {spans:?} {:?} {:?}\n",
            seen.kept, seen.fetched
        )
    });
    Ok(told.collect())
}

struct HistoryPlayer {
    world: cluster::World,
    witness: Witness,
    rng: rand_chacha::ChaCha8Rng,
    ids: Vec<id::RequestId>,
    lives: u64,
    /// When everything was last known to work.
    sound: time::Instant,
}

impl HistoryPlayer {
    async fn step(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        let router = self.world.vms[u.choose_index(3)?].router.clone();
        let witness = self.witness.clone();
        match u.int_in_range(0..=13_u8)? {
            0..=2 => {
                let job = id::RequestId::draw(&mut self.rng);
                self.ids.push(job);
                let kept_ms = if u.ratio(3, 4)? {
                    LONG_KEPT_MS
                } else {
                    SHORT_KEPT_MS
                };
                tokio::spawn(accept(router, witness, job, kept_ms));
            }
            3..=6 => {
                let part = partition::PartitionIndex(u.int_in_range(0..=3)?);
                tokio::spawn(work(router, witness, part, draw_fate(u)?));
            }
            7 if !self.ids.is_empty() => {
                let job = *u.choose(&self.ids)?;
                tokio::spawn(fetch(router, witness, job));
            }
            8 => self.world.draw_faults(u)?,
            9 => {
                let index = u.choose_index(3)?;
                self.world.replace(index);
                self.lives += 1;
                maintain(&self.world.vms[index], &self.world.network, self.lives);
            }
            10 => self.world.pause(u.choose_index(3)?, u.arbitrary()?),
            11 => self.rest().await,
            _ => {
                let longest = if u.ratio(1, 4)? { 20 } else { 4 };
                let steps = u64::from(u.arbitrary::<u8>()?);
                time::sleep(time::Duration::from_millis(steps * longest)).await;
            }
        }
        Ok(())
    }

    async fn rest(&mut self) {
        self.world.heal();
        time::sleep(time::Duration::from_secs(6)).await;
        self.sound = time::Instant::now();
    }
}

fn draw_fate(u: &mut Unstructured<'_>) -> arbitrary::Result<HolderFate> {
    Ok(HolderFate {
        steps: u.int_in_range(0..=4)?,
        step_ms: u64::from(u.arbitrary::<u8>()?) * 6,
        dies: u.ratio(1, 5)?,
        gives_back: u.ratio(1, 6)?,
    })
}

/// Once everything works again all accepted work gets done and can be fetched from any VM.
async fn finish(world: &cluster::World, witness: &Witness) {
    world.heal();
    time::sleep(time::Duration::from_secs(10)).await;
    for index in 0..partition::JOB_PARTITIONS {
        let part = partition::PartitionIndex(index);
        let vm = &world.vms[usize::from(index) % world.vms.len()];
        let mut misses = 0;
        while misses < 3 {
            if !work(vm.router.clone(), witness.clone(), part, DILIGENT).await {
                misses += 1;
                time::sleep(time::Duration::from_millis(500)).await;
            }
        }
    }
    for job in witness.jobs().into_keys() {
        for vm in &world.vms {
            fetch(vm.router.clone(), witness.clone(), job).await;
        }
    }
    check(&witness.jobs());
}

#[test]
fn accepted_work_is_done_once_and_its_one_result_kept() {
    // Symptom: accepted work is lost, or its caller reads two different answers.
    // Sequence: acceptances, claims, renewals, results in parts, outages of the log, lost and late
    // answers, replaced and paused entry VMs, two appenders, retention, in any order.
    // Cause: none known; this is the search for one.
    cluster::check_histories(800, 2_048, |u, number| {
        cluster::run_paused(history(u, number)).map(drop)
    });
}

/// Histories that are played twice.
const HISTORIES_TWICE: u64 = 40;

#[test]
fn a_history_is_a_function_of_its_seed() {
    // Symptom: one run of this file fails, the next passes, and nothing has changed.
    // Sequence: the same draws, played twice.
    // Cause: waiters woken in an order that no seed decides.
    cluster::check_repeatable(HISTORIES_TWICE, 2_048, |u, number| {
        cluster::run_paused(history(u, number))
    });
}

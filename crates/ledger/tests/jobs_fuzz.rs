//! Stateful fuzz test of deferrable jobs. The oracle checks only events that callers and holders
//! observe.

mod cluster;

use std::{collections, sync};

use arbitrary::Unstructured;
use base::id;
use ledger::{appender, host, job_calls, job_store, jobs, partition, permit, route};
use rand::SeedableRng as _;
use tokio::{task, time};

const ORGANISATION: &str = "depot-3";
const PART_BYTES: usize = 40;
const LONG_RETENTION_MS: u64 = 3_600_000;
const SHORT_RETENTION_MS: u64 = 3_000;

/// The time during which one holder held a job, by the holder's own clock.
#[derive(Clone, Debug)]
struct HoldSpan {
    from: time::Instant,
    until: time::Instant,
}

/// Observations of one job by its callers and holders.
#[derive(Clone, Debug, Default)]
struct ObservedJob {
    kept_ms: u64,
    accepted: bool,
    refused: bool,
    spans: Vec<HoldSpan>,
    /// Results that were confirmed to their holders as stored.
    kept: collections::BTreeSet<String>,
    /// Results that callers received.
    fetched: collections::BTreeSet<String>,
    not_found: bool,
}

#[derive(Clone, Default)]
struct JobRecorder(sync::Arc<sync::Mutex<collections::BTreeMap<id::RequestId, ObservedJob>>>);

impl JobRecorder {
    fn record(&self, job: id::RequestId, change: impl FnOnce(&mut ObservedJob)) {
        change(self.0.lock().expect("recorder").entry(job).or_default());
    }

    fn jobs(&self) -> collections::BTreeMap<id::RequestId, ObservedJob> {
        self.0.lock().expect("recorder").clone()
    }
}

/// The oracle: accepted jobs are not lost, have one result and one holder at a time.
fn check(found: &collections::BTreeMap<id::RequestId, ObservedJob>) {
    for (job, seen) in found {
        if seen.refused && !seen.accepted {
            assert!(seen.spans.is_empty(), "{job}: refused, but executed");
            assert!(seen.fetched.is_empty(), "{job}: refused, but has a result");
        }
        let results: collections::BTreeSet<&String> = seen.kept.union(&seen.fetched).collect();
        assert!(results.len() <= 1, "{job}: several results {results:?}");
        if seen.kept_ms == LONG_RETENTION_MS {
            assert!(
                !seen.not_found || !seen.accepted,
                "{job}: accepted, but not found"
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

/// Behaviour of a holder.
#[derive(Clone, Copy, Debug)]
struct HolderFate {
    /// Number of steps of the execution, each followed by a renewal.
    steps: u8,
    step_ms: u64,
    /// The holder dies before it reports a result.
    dies: bool,
    /// The holder releases the job.
    releases: bool,
}

const RELIABLE_HOLDER: HolderFate = HolderFate {
    steps: 1,
    step_ms: 5,
    dies: false,
    releases: false,
};

async fn accept(
    router: cluster::TestRouter,
    recorder: JobRecorder,
    job: id::RequestId,
    kept_ms: u64,
) {
    let body = bytes::Bytes::from(format!("the long request {job}"));
    let reply = router.accept(job, ORGANISATION, kept_ms, body).await;
    recorder.record(job, |seen| {
        seen.kept_ms = kept_ms;
        match reply {
            job_calls::AcceptReply::Accepted => seen.accepted = true,
            job_calls::AcceptReply::NotAccepted(_) => seen.refused = true,
            job_calls::AcceptReply::Unknown => {}
        }
    });
}

async fn execute_next(
    router: cluster::TestRouter,
    recorder: JobRecorder,
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
    let started_at = time::Instant::now();
    if !ticket.may_continue(started_at) {
        return true;
    }
    let claim = ticket.grant.claim;
    let index = record_span(&recorder, &ticket, started_at);
    for _ in 0..fate.steps {
        time::sleep(time::Duration::from_millis(fate.step_ms)).await;
        let late = !ticket.may_continue(time::Instant::now());
        let state = router.renew(&mut ticket).await;
        if late || state == job_calls::RenewState::Superseded {
            break;
        }
        recorder.record(job, |seen| seen.spans[index].until = ticket.deadline());
    }
    let now = time::Instant::now();
    if ticket.may_continue(now) && (fate.releases || !fate.dies) {
        recorder.record(job, |seen| seen.spans[index].until = now);
    }
    if fate.releases {
        router.release(ticket).await;
    } else if !fate.dies {
        let result = format!("the whole answer of {claim}");
        let reply = router.finish(&ticket, result.clone().into()).await;
        if reply == job_calls::FinishReply::Kept {
            recorder.record(job, |seen| {
                seen.kept.insert(result);
            });
        }
    }
    true
}

fn record_span(recorder: &JobRecorder, ticket: &permit::JobTicket, from: time::Instant) -> usize {
    let mut index = 0;
    recorder.record(ticket.grant.job, |seen| {
        index = seen.spans.len();
        seen.spans.push(HoldSpan {
            from,
            until: ticket.deadline(),
        });
    });
    index
}

async fn fetch(router: cluster::TestRouter, recorder: JobRecorder, job: id::RequestId) {
    let accepted = recorder.jobs().get(&job).is_some_and(|seen| seen.accepted);
    let reply = router.fetch(job).await;
    match reply {
        job_calls::FetchReply::Found(job_calls::FoundJob {
            view: jobs::JobView::Finished(result),
            organisation,
        }) => {
            assert_eq!(organisation, ORGANISATION);
            let text = String::from_utf8(result.bytes.to_vec()).expect("text");
            recorder.record(job, |seen| {
                seen.fetched.insert(text);
            });
        }
        job_calls::FetchReply::NotFound if accepted => {
            recorder.record(job, |seen| seen.not_found = true);
        }
        _ => {}
    }
}

/// Calls `maintain` on the VM's host every second, as its daemon does.
fn maintain(vm: &cluster::TestVm, network: &cluster::Network, number: u64) -> task::AbortHandle {
    let host = sync::Arc::downgrade(&vm.host);
    let network = network.clone();
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(number);
    let maintenance = async move {
        while let Some(host) = host.upgrade() {
            let live = network.view_of(host.vm());
            host.maintain(&live, &mut rng).await;
            drop(host);
            time::sleep(time::Duration::from_secs(1)).await;
        }
    };
    tokio::spawn(maintenance).abort_handle()
}

/// Runs a history and returns what was observed of each job.
async fn history(u: &mut Unstructured<'_>, number: u64) -> arbitrary::Result<String> {
    let cluster = cluster::TestCluster::new(number, 3, settings(), route_settings());
    cluster.clear_faults();
    let recorder = JobRecorder::default();
    let rng = rand_chacha::ChaCha8Rng::seed_from_u64(number);
    let mut seed = number << 8;
    for vm in &cluster.vms {
        seed += 1;
        maintain(vm, &cluster.network, seed);
    }
    let mut runner = HistoryRunner {
        cluster,
        recorder,
        rng,
        ids: Vec::new(),
        seed,
        healthy_at: time::Instant::now(),
    };
    for _ in 0..30 {
        runner.step(u).await?;
        // Jobs are lost if the log fails for longer than its retention and all readers die.
        if runner.healthy_at.elapsed() > time::Duration::from_secs(8) {
            runner.recover().await;
        }
    }
    finish(&runner.cluster, &runner.recorder).await;
    let jobs = runner.recorder.jobs();
    let lines = jobs.iter().map(|(job, seen)| {
        let spans: Vec<_> = seen
            .spans
            .iter()
            .map(|span| span.until - span.from)
            .collect();
        let flags = (seen.accepted, seen.refused, seen.not_found);
        format!(
            "{job:?} {flags:?} {spans:?} {:?} {:?}\n",
            seen.kept, seen.fetched
        )
    });
    Ok(lines.collect())
}

struct HistoryRunner {
    cluster: cluster::TestCluster,
    recorder: JobRecorder,
    rng: rand_chacha::ChaCha8Rng,
    ids: Vec<id::RequestId>,
    seed: u64,
    /// The last time at which no faults were active.
    healthy_at: time::Instant,
}

impl HistoryRunner {
    async fn step(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        let router = self.cluster.vms[u.choose_index(3)?].router.clone();
        let recorder = self.recorder.clone();
        match u.int_in_range(0..=13_u8)? {
            0..=2 => {
                let job = id::RequestId::draw(&mut self.rng);
                self.ids.push(job);
                let kept_ms = if u.ratio(3, 4)? {
                    LONG_RETENTION_MS
                } else {
                    SHORT_RETENTION_MS
                };
                tokio::spawn(accept(router, recorder, job, kept_ms));
            }
            3..=6 => {
                let part = partition::PartitionIndex(u.int_in_range(0..=3)?);
                tokio::spawn(execute_next(router, recorder, part, draw_fate(u)?));
            }
            7 if !self.ids.is_empty() => {
                let job = *u.choose(&self.ids)?;
                tokio::spawn(fetch(router, recorder, job));
            }
            8 => self.cluster.draw_faults(u)?,
            9 => {
                let index = u.choose_index(3)?;
                self.cluster.replace(index);
                self.seed += 1;
                maintain(&self.cluster.vms[index], &self.cluster.network, self.seed);
            }
            10 => self.cluster.pause(u.choose_index(3)?, u.arbitrary()?),
            11 => self.recover().await,
            _ => {
                let step_ms = if u.ratio(1, 4)? { 20 } else { 4 };
                let steps = u64::from(u.arbitrary::<u8>()?);
                time::sleep(time::Duration::from_millis(steps * step_ms)).await;
            }
        }
        Ok(())
    }

    async fn recover(&mut self) {
        self.cluster.clear_faults();
        time::sleep(time::Duration::from_secs(6)).await;
        self.healthy_at = time::Instant::now();
    }
}

fn draw_fate(u: &mut Unstructured<'_>) -> arbitrary::Result<HolderFate> {
    Ok(HolderFate {
        steps: u.int_in_range(0..=4)?,
        step_ms: u64::from(u.arbitrary::<u8>()?) * 6,
        dies: u.ratio(1, 5)?,
        releases: u.ratio(1, 6)?,
    })
}

/// Checks that after all faults are cleared every accepted job is finished and its result can be
/// fetched from any VM.
async fn finish(cluster: &cluster::TestCluster, recorder: &JobRecorder) {
    cluster.clear_faults();
    time::sleep(time::Duration::from_secs(10)).await;
    for index in 0..partition::JOB_PARTITIONS {
        let part = partition::PartitionIndex(index);
        let vm = &cluster.vms[usize::from(index) % cluster.vms.len()];
        let mut misses = 0;
        while misses < 3 {
            if !execute_next(vm.router.clone(), recorder.clone(), part, RELIABLE_HOLDER).await {
                misses += 1;
                time::sleep(time::Duration::from_millis(500)).await;
            }
        }
    }
    for job in recorder.jobs().into_keys() {
        for vm in &cluster.vms {
            fetch(vm.router.clone(), recorder.clone(), job).await;
        }
    }
    check(&recorder.jobs());
}

#[test]
fn accepted_jobs_finish_with_exactly_one_result() {
    // Guards against accepted jobs that are lost or have two different answers. No such fault is
    // known; the test searches for one with acceptances, claims, renewals, results in parts,
    // outages of the log, lost and late answers, replaced and paused entry VMs, two appenders and
    // retention, in any order.
    cluster::check_histories(800, 2_048, |u, number| {
        cluster::run_paused(history(u, number)).map(drop)
    });
}

/// Number of histories that are run twice.
const REPEATED_HISTORIES: u64 = 40;

#[test]
fn a_history_is_a_function_of_its_seed() {
    // Guards against waiters that are woken in an order that no seed determines: the same history
    // would pass in one run and fail in another.
    cluster::check_repeatable(REPEATED_HISTORIES, 2_048, |u, number| {
        cluster::run_paused(history(u, number))
    });
}

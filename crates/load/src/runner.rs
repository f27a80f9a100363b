//! Runs a scenario against entry VMs: starts every call at its time and gathers the outcomes.

use std::{collections, net, sync, time::Duration};

use tokio::{task, time};

use crate::{arrival, caller, check, measure, perform, record, report, scenario};

/// What a run tells while it goes on.
pub trait RunProgress {
    /// So many calls have started and so many have their outcome.
    fn advance(&self, started: u64, done: u64);
}

/// Tells nothing.
#[derive(Clone, Copy, Debug)]
pub struct SilentProgress;

impl RunProgress for SilentProgress {
    fn advance(&self, _started: u64, _done: u64) {}
}

/// Makes things fail.
pub trait FaultSink: Send + Sync + 'static {
    /// Makes `fault` happen now.
    fn inflict(&self, fault: scenario::FaultKind) -> impl Future<Output = ()> + Send;
}

/// Makes nothing fail: a run against daemons whose faults somebody else switches.
#[derive(Clone, Copy, Debug)]
pub struct NoFaults;

impl FaultSink for NoFaults {
    async fn inflict(&self, _fault: scenario::FaultKind) {}
}

/// A scenario and the callers that play it.
#[derive(Debug)]
pub struct ScenarioRun {
    scenario: scenario::LoadScenario,
    callers: collections::BTreeMap<String, sync::Arc<caller::EntryCaller>>,
}

impl ScenarioRun {
    /// A run of `scenario` whose callers first ask one of `entries`.
    pub fn new(
        scenario: scenario::LoadScenario,
        entries: &[net::SocketAddr],
    ) -> Result<Self, caller::ClientError> {
        let settings = caller::CallSettings {
            expected_step: Duration::from_millis(scenario.expected_step_ms),
            idle: Duration::from_millis(scenario.idle_ms),
            patience: Duration::from_millis(scenario.grace_ms),
        };
        let mut callers = collections::BTreeMap::new();
        for (index, (name, organisation)) in scenario.organisations.iter().enumerate() {
            let mut bootstrap = entries.to_vec();
            bootstrap.rotate_left(index % entries.len().max(1));
            let key = organisation.api_key.clone();
            let caller = caller::EntryCaller::new(key, bootstrap, settings)?;
            callers.insert(name.clone(), sync::Arc::new(caller));
        }
        Ok(Self { scenario, callers })
    }

    /// Makes all calls, and the faults at their times.
    pub async fn play<S: FaultSink, P: RunProgress>(
        &self,
        faults: sync::Arc<S>,
        progress: &P,
    ) -> measure::RunMeasure {
        let calls = arrival::plan_calls(&self.scenario);
        let start = time::Instant::now();
        let faults = task::spawn(inflict_all(self.scenario.faults.clone(), faults, start));
        let mut tasks = task::JoinSet::new();
        let mut measure = measure::RunMeasure::default();
        let (mut started, mut done) = (0, 0);
        for call in calls {
            let at = start + call.at;
            time::sleep_until(at).await;
            tasks.spawn(self.perform_one(call, at));
            started += 1;
            while let Some(joined) = tasks.try_join_next() {
                take_record(&mut measure, joined);
                done += 1;
            }
            progress.advance(started, done);
        }
        while let Some(joined) = tasks.join_next().await {
            take_record(&mut measure, joined);
            done += 1;
            progress.advance(started, done);
        }
        faults.abort();
        measure
    }

    /// The report of a run that began at `start`.
    #[must_use]
    pub fn report(&self, measure: &measure::RunMeasure, start: time::Instant) -> report::RunReport {
        let elapsed_ms = u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
        report::RunReport::of(&self.scenario.name, self.scenario.seed, elapsed_ms, measure)
    }

    fn perform_one(
        &self,
        call: arrival::PlannedCall,
        at: time::Instant,
    ) -> impl Future<Output = record::CallRecord> + Send + 'static {
        // The plan names only organisations of the scenario.
        let caller = self.callers[&call.organisation].clone();
        let limit = Duration::from_millis(self.scenario.duration_ms + self.scenario.grace_ms);
        async move {
            let performing = perform::perform(&caller, &call, at);
            match time::timeout(limit, performing).await {
                Ok(record) => record,
                Err(_) => {
                    let mut record = record::CallRecord::begin(call.workload, call.class);
                    let seen = format!("no outcome within {limit:?}");
                    record.outcome = record::CallOutcome::Faulty(check::AnswerFault::Cut { seen });
                    record
                }
            }
        }
    }
}

fn take_record(
    measure: &mut measure::RunMeasure,
    joined: Result<record::CallRecord, task::JoinError>,
) {
    match joined {
        Ok(record) => measure.add(&record),
        // A call is never aborted, so this is a panic: a fault of this program, not of the system.
        Err(error) => std::panic::resume_unwind(error.into_panic()),
    }
}

async fn inflict_all<S: FaultSink>(
    mut planned: Vec<scenario::PlannedFault>,
    faults: sync::Arc<S>,
    start: time::Instant,
) {
    planned.sort_by_key(|planned| planned.at_ms);
    for planned in planned {
        time::sleep_until(start + Duration::from_millis(planned.at_ms)).await;
        faults.inflict(planned.fault).await;
    }
}

//! Runs a scenario against entry VMs: starts every call at its planned time and collects the
//! outcomes.

use std::{collections, net, sync, time::Duration};

use tokio::{task, time};

use crate::{arrival, caller, check, measure, perform, record, report, scenario};

/// Receives the progress of a run.
pub trait RunProgress {
    /// Called with the numbers of calls that have started and that have finished.
    fn advance(&self, started: u64, done: u64);
}

/// Ignores the progress.
#[derive(Clone, Copy, Debug)]
pub struct SilentProgress;

impl RunProgress for SilentProgress {
    fn advance(&self, _started: u64, _done: u64) {}
}

/// Injects faults during a run.
pub trait FaultInjector: Send + Sync + 'static {
    /// Injects `fault` immediately.
    fn inject_fault(&self, fault: scenario::FaultKind) -> impl Future<Output = ()> + Send;
}

/// Injects no faults; for a run against daemons whose faults are controlled elsewhere.
#[derive(Clone, Copy, Debug)]
pub struct NoFaults;

impl FaultInjector for NoFaults {
    async fn inject_fault(&self, _fault: scenario::FaultKind) {}
}

/// A scenario with its callers.
#[derive(Debug)]
pub struct ScenarioRun {
    scenario: scenario::LoadScenario,
    callers: collections::BTreeMap<String, sync::Arc<caller::EntryCaller>>,
}

impl ScenarioRun {
    /// Creates a run of `scenario` whose callers first query one of `entries`.
    pub fn new(
        scenario: scenario::LoadScenario,
        entries: &[net::SocketAddr],
    ) -> Result<Self, caller::ClientError> {
        let settings = caller::CallSettings {
            expected_step: Duration::from_millis(scenario.expected_step_ms),
            idle_timeout: Duration::from_millis(scenario.idle_ms),
            answer_timeout: Duration::from_millis(scenario.grace_ms),
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

    /// Makes all calls and injects the faults at their planned times.
    pub async fn play<S: FaultInjector, P: RunProgress>(
        &self,
        faults: sync::Arc<S>,
        progress: &P,
    ) -> measure::RunMeasure {
        let calls = arrival::plan_calls(&self.scenario);
        let start = time::Instant::now();
        let faults = task::spawn(inject_all(self.scenario.faults.clone(), faults, start));
        let mut tasks = task::JoinSet::new();
        let mut measure = measure::RunMeasure::default();
        let (mut started, mut done) = (0, 0);
        for call in calls {
            let at = start + call.at;
            time::sleep_until(at).await;
            tasks.spawn(self.perform_one(call, at));
            started += 1;
            while let Some(joined) = tasks.try_join_next() {
                add_record(&mut measure, joined);
                done += 1;
            }
            progress.advance(started, done);
        }
        while let Some(joined) = tasks.join_next().await {
            add_record(&mut measure, joined);
            done += 1;
            progress.advance(started, done);
        }
        faults.abort();
        measure
    }

    /// Creates the report of a run that began at `start`.
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
        // The plan contains only organisations of the scenario, so the lookup cannot fail.
        let caller = self.callers[&call.organisation].clone();
        let limit = Duration::from_millis(self.scenario.duration_ms + self.scenario.grace_ms);
        async move {
            let performing = perform::perform(&caller, &call, at);
            match time::timeout(limit, performing).await {
                Ok(record) => record,
                Err(_) => {
                    let mut record = record::CallRecord::begin(call.workload, call.class);
                    let seen = format!("no outcome within {limit:?}");
                    record.outcome = record::CallOutcome::Faulty(check::AnswerError::Cut { seen });
                    record
                }
            }
        }
    }
}

fn add_record(
    measure: &mut measure::RunMeasure,
    joined: Result<record::CallRecord, task::JoinError>,
) {
    match joined {
        Ok(record) => measure.add(&record),
        // Calls are never aborted, so the error is a panic, which is a bug in this program and not
        // in the system under test.
        Err(error) => std::panic::resume_unwind(error.into_panic()),
    }
}

async fn inject_all<S: FaultInjector>(
    mut planned: Vec<scenario::PlannedFault>,
    faults: sync::Arc<S>,
    start: time::Instant,
) {
    planned.sort_by_key(|planned| planned.at_ms);
    for planned in planned {
        time::sleep_until(start + Duration::from_millis(planned.at_ms)).await;
        faults.inject_fault(planned.fault).await;
    }
}

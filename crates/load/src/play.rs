//! The action `run`: runs a scenario against daemons that are already running.

use std::{net, path, sync};

use snafu::ResultExt as _;
use tokio::time;

use crate::{arrival, caller, cli, exit, progress, report, runner, scenario};

/// A run failed.
#[derive(Debug)]
#[derive(snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PlayError {
    /// The runtime does not start.
    #[snafu(display("runtime: {source}; check the limit on threads"))]
    Runtime {
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// The scenario is invalid or unreadable.
    #[snafu(transparent)]
    Scenario {
        /// All errors in the scenario.
        source: scenario::ScenarioError,
    },
    /// The HTTP client cannot be set up.
    #[snafu(transparent)]
    Client {
        /// Cause of the failure.
        source: caller::ClientError,
    },
    /// The report cannot be saved.
    #[snafu(transparent)]
    Report {
        /// Cause of the failure.
        source: report::ReportError,
    },
    /// An engine does not report its preemptions.
    #[snafu(display("engine {address}: {source}; check --engines, or leave it out"))]
    Engine {
        /// Address of the engine.
        address: net::SocketAddr,
        /// Error from the HTTP client.
        source: reqwest::Error,
    },
}

/// Runs the scenario and prints the report.
///
/// # Errors
///
/// Returns an error if the run fails or the report cannot be saved.
pub async fn run_scenario(action: &cli::RunAction) -> Result<exit::ExitKind, PlayError> {
    let mut scenario = scenario::LoadScenario::read(&action.scenario)?;
    scenario.seed = action.seed.unwrap_or(scenario.seed);
    if !std::mem::take(&mut scenario.faults).is_empty() {
        eprintln!("the faults of the scenario are injected by `demo` only; this run ignores them");
    }
    let total = arrival::plan_calls(&scenario).len() as u64;
    let run = runner::ScenarioRun::new(scenario, &action.entries.0)?;
    let before = count_preemptions(&action.engines.0).await?;
    let start = time::Instant::now();
    let bar = progress::BarProgress::new(total);
    let measure = run.play(sync::Arc::new(runner::NoFaults), &bar).await;
    drop(bar);
    let mut report = run.report(&measure, start);
    let after = count_preemptions(&action.engines.0).await?;
    report.preemptions = after
        .zip(before)
        .map(|(after, before)| after.saturating_sub(before));
    finish(&report, action.save.as_deref())
}

/// Prints and saves a report; the exit kind tells whether an answer was broken.
pub(crate) fn finish(
    report: &report::RunReport,
    save: Option<&path::Path>,
) -> Result<exit::ExitKind, PlayError> {
    print!("{report}");
    if let Some(path) = save {
        report.save(path)?;
    }
    Ok(if report.broken() == 0 {
        exit::ExitKind::Success
    } else {
        exit::ExitKind::BrokenAnswers
    })
}

/// The part of an engine's load report that is used here.
#[derive(serde::Deserialize)]
struct EngineLoad {
    preemptions: u64,
}

/// Returns the sum of preemptions of all engines so far; absent when `engines` is empty.
async fn count_preemptions(engines: &[net::SocketAddr]) -> Result<Option<u64>, PlayError> {
    let client = reqwest::Client::new();
    let mut sum = None;
    for address in engines {
        let asked = client.get(format!("http://{address}/v1/load")).send().await;
        let answer = asked.and_then(reqwest::Response::error_for_status);
        let answer = answer.context(EngineSnafu { address: *address })?;
        let load: EngineLoad = answer
            .json()
            .await
            .context(EngineSnafu { address: *address })?;
        *sum.get_or_insert(0) += load.preemptions;
    }
    Ok(sum)
}

//! Executes the actions of the command line.

use std::path;

use argh::FromArgs as _;

use crate::{cli, compare, demo, exit, play, plot, report};

/// Parses `arguments` and executes the action; prints to standard output and standard error.
#[must_use]
pub fn execute(program: &str, arguments: &[String]) -> exit::ExitKind {
    // Logging is off by default: the daemons' log lines would be mixed with the printed tables.
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("off")).init();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let name = path::Path::new(program).file_name().unwrap_or_default();
    let command = match cli::LoadCommand::from_args(&[&name.to_string_lossy()], &words) {
        Ok(command) => command,
        Err(early) if early.status.is_ok() => {
            println!("{}", early.output);
            return exit::ExitKind::Success;
        }
        Err(early) => {
            eprintln!("{}\nRun {program} --help for usage.", early.output);
            return exit::ExitKind::Usage;
        }
    };
    match command.action {
        cli::LoadAction::Compare(action) => exit_kind_of(compare_runs(&action)),
        cli::LoadAction::Plot(action) => exit_kind_of(plot_run(&action)),
        cli::LoadAction::Run(action) => exit_kind_of(with_runtime(play::run_scenario(&action))),
        cli::LoadAction::Demo(action) => exit_kind_of(with_runtime(demo::run(&action))),
    }
}

/// Runs `work` to completion on a new runtime.
fn with_runtime<T, E: From<play::PlayError>>(
    work: impl Future<Output = Result<T, E>>,
) -> Result<T, E> {
    let runtime = tokio::runtime::Runtime::new();
    let runtime = runtime.map_err(|source| play::PlayError::Runtime { source })?;
    runtime.block_on(work)
}

/// Returns the exit kind of `outcome`; prints the error of a failure.
fn exit_kind_of<E: std::error::Error>(outcome: Result<exit::ExitKind, E>) -> exit::ExitKind {
    outcome.unwrap_or_else(|error| {
        eprintln!("{error}");
        exit::ExitKind::Failed
    })
}

fn compare_runs(action: &cli::CompareAction) -> Result<exit::ExitKind, report::ReportError> {
    let before = report::RunReport::read(&action.before)?;
    let after = report::RunReport::read(&action.after)?;
    let thresholds = compare::CompareThresholds {
        fraction: action.percent / 100.0,
        floor: action.floor_ms,
    };
    let comparison = compare::RunComparison::of(&before, &after, thresholds);
    print!("{comparison}");
    Ok(match comparison.verdict() {
        compare::CompareVerdict::Worse => exit::ExitKind::Worse,
        compare::CompareVerdict::Better | compare::CompareVerdict::Same => exit::ExitKind::Success,
    })
}

fn plot_run(action: &cli::PlotAction) -> Result<exit::ExitKind, plot::PlotError> {
    let report = report::RunReport::read(&action.report)?;
    let beside = action.report.with_extension("svg");
    let output = action.output.as_ref().unwrap_or(&beside);
    plot::draw_report(&report, output)?;
    println!("{}", output.display());
    Ok(exit::ExitKind::Success)
}

//! The entry daemon: reads its options and settings, runs, and stops gracefully on a signal.

use std::{fs, io, process};

use carry::{logging, output, signals};
use entry::{daemon, settings};
// Linked for its constructor: signals are blocked until `start_runtime` catches them.
use startup as _;
use tokio::runtime;

/// The entry daemon of pollenchute: accepts, schedules and relays the requests of callers.
///
/// Examples:
///   pollenchuted --config entry-1.jsonc
///   pollenchuted --config entry-1.jsonc --check
#[derive(argh::FromArgs)]
struct DaemonOptions {
    /// settings file, JSON with comments
    #[argh(option)]
    config: String,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
    /// log level: error, warn, info, debug or trace; else from RUST_LOG, else info
    #[argh(option)]
    log_level: Option<String>,
}

/// Libraries that log single requests; `_` is Rocket's target for indented lines.
const QUIET_MODULES: [&str; 4] = ["rocket", "_", "hyper", "reqwest"];

/// Exit codes of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExitCode {
    /// The program completed normally.
    Success = 0,
    /// The daemon could not start or run.
    Failure = 1,
    /// The settings are invalid.
    BadSettings = 2,
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code as u8)
    }
}

fn main() -> process::ExitCode {
    let options: DaemonOptions = argh::from_env();
    let (runtime, stop) = match start_runtime() {
        Ok(started) => started,
        Err(error) => {
            eprintln!(
                "no runtime, or signals can't be caught: {error}; a stop would cut off answers"
            );
            return ExitCode::Failure.into();
        }
    };
    let settings = match read_settings(&options.config) {
        Ok(settings) => settings,
        Err(message) => {
            eprintln!("{message}");
            return ExitCode::BadSettings.into();
        }
    };
    if options.check {
        println!("{}: no fault found", options.config);
        return ExitCode::Success.into();
    }
    let level = options.log_level.as_deref().unwrap_or("info");
    let environment = env_logger::Env::default().default_filter_or(level);
    let mut logger = env_logger::Builder::from_env(environment);
    if let Some(level) = &options.log_level {
        logger.parse_filters(level);
    }
    for module in QUIET_MODULES {
        logger.filter_module(module, log::LevelFilter::Error);
    }
    match output::LineWriter::stdout() {
        Ok(writer) => logging::SampledLog::new(logger, writer).install(),
        Err(error) => {
            output::write_fatal(&format!("cannot create the log thread: {error}"));
            return ExitCode::Failure.into();
        }
    }
    let code = runtime.block_on(run(settings, stop));
    output::finish();
    code.into()
}

fn read_settings(path: &str) -> Result<settings::DaemonSettings, String> {
    let text = fs::read_to_string(path)
        .map_err(|error| format!("{path}: {error}; give a file that can be read with --config"))?;
    let settings: settings::DaemonSettings =
        conf::settings::parse(path, &text).map_err(|faults| faults.to_string())?;
    daemon::check(&settings).map_err(|error| format!("{path}: {error}"))?;
    Ok(settings)
}

/// Creates the runtime and installs its signal handlers.
fn start_runtime() -> io::Result<(runtime::Runtime, signals::StopSignals)> {
    let runtime = runtime::Builder::new_multi_thread().enable_all().build()?;
    let entered = runtime.enter();
    let stop = signals::StopSignals::catch()?;
    drop(entered);
    Ok((runtime, stop))
}

async fn run(settings: settings::DaemonSettings, stop: signals::StopSignals) -> ExitCode {
    let metrics = metrics_exporter_prometheus::PrometheusBuilder::new()
        .install_recorder()
        .ok();
    let mut daemon = match daemon::start_with(settings, metrics).await {
        Ok(daemon) => daemon,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::Failure;
        }
    };
    tokio::select! {
        () = daemon.ended() => return ExitCode::Failure,
        () = stop.wait() => {}
    }
    daemon.stop().await;
    ExitCode::Success
}

//! The entry daemon: reads its options and settings, runs, and stops gracefully on a signal.

use std::{fs, process};

use carry::{logging, output};
use entry::{daemon, settings};
use tokio::signal::unix;

/// The entry daemon of pollenchute: takes callers' requests, decides, relays.
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

/// Libraries whose lines tell of single requests; `_` is rocket's target for indented ones.
const QUIET_MODULES: [&str; 4] = ["rocket", "_", "hyper", "reqwest"];

/// How the program ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExitCode {
    /// It did what was asked.
    Success = 0,
    /// It could not start or run.
    Failure = 1,
    /// The settings are wrong.
    BadSettings = 2,
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code as u8)
    }
}

fn main() -> process::ExitCode {
    let options: DaemonOptions = argh::from_env();
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
            output::last_word(&format!("no thread for the log: {error}"));
            return ExitCode::Failure.into();
        }
    }
    let code = run(settings);
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

#[tokio::main]
async fn run(settings: settings::DaemonSettings) -> ExitCode {
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
    let signals = (
        unix::signal(unix::SignalKind::terminate()),
        unix::signal(unix::SignalKind::interrupt()),
    );
    let (Ok(mut terminate), Ok(mut interrupt)) = signals else {
        eprintln!("signals cannot be listened to; a stop would cut off answers, so not starting");
        return ExitCode::Failure;
    };
    tokio::select! {
        () = daemon.ended() => return ExitCode::Failure,
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    daemon.stop().await;
    ExitCode::Success
}

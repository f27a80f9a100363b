//! Entry point of the `pollenstand` command.

use std::{fs, path};

use argh::FromArgs as _;
use tokio::signal::unix;

use crate::{cli, exit, fleet, settings};

/// Default port of the admin listener.
const DEFAULT_PORT: u16 = 7_900;

/// Parses `arguments` and runs the command; prints to standard output and standard error.
#[must_use]
pub fn execute(program: &str, arguments: &[String]) -> exit::ExitKind {
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let name = path::Path::new(program).file_name().unwrap_or_default();
    let command = match cli::StandCommand::from_args(&[&name.to_string_lossy()], &words) {
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
    start_logger(command.log_level);
    match read_settings(&command) {
        Ok(settings) if command.check => {
            println!(
                "{}",
                serde_json::json!({"valid": true, "engines": settings.engines.len()})
            );
            exit::ExitKind::Success
        }
        Ok(settings) => run(&settings),
        Err(kind) => kind,
    }
}

fn start_logger(level: Option<log::LevelFilter>) {
    let env = env_logger::Env::default().default_filter_or("info");
    let mut builder = env_logger::Builder::from_env(env);
    if let Some(level) = level {
        builder.filter_level(level);
    }
    // The HTTP library logs every request; none of its lines report a state change.
    builder.filter_module("rocket", log::LevelFilter::Off);
    builder.init();
}

/// Reads the settings from the file or the options; prints an error.
fn read_settings(command: &cli::StandCommand) -> Result<settings::StandSettings, exit::ExitKind> {
    let Some(file) = &command.config else {
        let first_port = command.first_port.unwrap_or(DEFAULT_PORT);
        let engines = command.engines.unwrap_or(1);
        let services = command.services.unwrap_or(1);
        return Ok(settings::StandSettings::on_loopback(
            first_port, engines, services,
        ));
    };
    if command.engines.is_some() || command.services.is_some() || command.first_port.is_some() {
        eprintln!(
            "--config can't be combined with --engines, --services or --first-port; omit one or the other"
        );
        return Err(exit::ExitKind::Usage);
    }
    let name = file.display().to_string();
    let text = fs::read_to_string(file).map_err(|cause| {
        eprintln!("{name}: {cause}; give a readable file");
        exit::ExitKind::Settings
    })?;
    conf::settings::parse(&name, &text).map_err(|faults| {
        eprintln!("{faults}");
        exit::ExitKind::Settings
    })
}

#[tokio::main]
async fn run(settings: &settings::StandSettings) -> exit::ExitKind {
    let fleet = match fleet::StandFleet::start(settings).await {
        Ok(fleet) => fleet,
        Err(fault) => {
            eprintln!("{fault}");
            return exit::ExitKind::Failed;
        }
    };
    for member in fleet.members() {
        println!("{} http://{}", member.name, member.address);
    }
    if let Some(address) = fleet.admin_address() {
        println!("admin http://{address}");
    }
    log::info!(members = fleet.members().len(); "stand-ins are ready");
    if let Err(cause) = wait_for_stop().await {
        eprintln!("can't register signal handlers: {cause}; run this on a Unix system");
        return exit::ExitKind::Failed;
    }
    fleet.stop().await;
    log::info!("stand-ins are stopped");
    exit::ExitKind::Success
}

async fn wait_for_stop() -> std::io::Result<()> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    tokio::select! {
        outcome = tokio::signal::ctrl_c() => outcome,
        _ = terminate.recv() => Ok(()),
    }
}

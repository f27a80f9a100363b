//! Dispatch of one command.

use crate::{
    args, capacity, client, completions, configuration, error, operate, publish, saved_logs,
    settings, status, timeline,
};

/// Runs the command given on the command line.
pub async fn run(
    args: args::CtlArgs,
    environment: &settings::CallEnvironment,
) -> error::CommandOutput {
    let result = dispatch(args, environment).await;
    result.unwrap_or_else(|error| error::CommandOutput::failure(&error))
}

async fn dispatch(
    mut args: args::CtlArgs,
    environment: &settings::CallEnvironment,
) -> Result<error::CommandOutput, error::CtlError> {
    if args.version {
        let text = format!("pollenctl {}\n", env!("CARGO_PKG_VERSION"));
        return Ok(error::CommandOutput::success(text));
    }
    if args.check {
        let call = settings::resolve(&args, environment)?;
        let count = error::count_text(call.entries.len(), "entry address");
        let text = format!("settings are valid: {count}, operator key found\n");
        return Ok(error::CommandOutput::success(text));
    }
    let Some(command) = args.command.take() else {
        let message = "say what to do: run `pollenctl --help` for the commands".to_owned();
        return Err(error::CtlError::Usage { message });
    };
    match command {
        args::CtlCommand::Check(check) => configuration::check(&check),
        args::CtlCommand::Capacity(args) => capacity::capacity(&args),
        args::CtlCommand::Completions(_) => {
            Ok(error::CommandOutput::success(completions::bash_script()))
        }
        args::CtlCommand::Timeline(timeline) if timeline.from.is_some() => {
            timeline::saved_timeline(&timeline, environment.now_ms)
        }
        args::CtlCommand::Explain(explain) if !explain.logs.is_empty() => {
            saved_logs::explain(&explain)
        }
        args::CtlCommand::Explain(explain) if explain.from.is_some() => {
            timeline::saved_explain(&explain)
        }
        command => {
            let call = settings::resolve(&args, environment)?;
            let client = client::OpsClient::new(call)?;
            remote(command, &client, environment).await
        }
    }
}

/// Runs a command that calls entry VMs.
async fn remote(
    command: args::CtlCommand,
    client: &client::OpsClient,
    environment: &settings::CallEnvironment,
) -> Result<error::CommandOutput, error::CtlError> {
    use args::CtlCommand as Command;
    match command {
        Command::Check(args) => configuration::check(&args),
        Command::Capacity(args) => capacity::capacity(&args),
        Command::Completions(_) => Ok(error::CommandOutput::success(completions::bash_script())),
        Command::Diff(args) => configuration::diff(&args, client).await,
        Command::Publish(args) => publish::publish(&args, client).await,
        Command::Rollback(args) => publish::rollback(&args, client).await,
        Command::History(args) => publish::history(&args, client).await,
        Command::Status(args) => status::status(&args, client).await,
        Command::Drain(args) => operate::drain(&args, client).await,
        Command::Placement(args) => operate::placement(&args, client).await,
        Command::Quarantine(args) => operate::quarantine(&args, client).await,
        Command::Timeline(args) => timeline::timeline(&args, client, environment.now_ms).await,
        Command::Explain(args) => timeline::explain(&args, client).await,
    }
}

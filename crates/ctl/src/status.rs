//! The command `pollenctl status`.

use base::ops;
use tokio::time;

use crate::{args, client, error, in_force, overview};

/// Runs `pollenctl status`.
///
/// # Errors
/// When no entry VM answers.
pub async fn status(
    args: &args::StatusArgs,
    client: &client::OpsClient,
) -> Result<error::CommandOutput, error::CtlError> {
    if args.in_force {
        let goal = in_force::InForceGoal {
            revision: args.revision,
            is_live_only: args.live_only,
            timeout: time::Duration::from_secs(args.timeout),
        };
        return in_force::wait(&goal, client).await;
    }
    if args.revision.is_some() || args.live_only {
        let message = "--revision and --live-only go with --in-force; add it";
        return error::UsageSnafu { message }.fail();
    }
    let status: ops::StatusBody = client.get("/ops/status").await?;
    if args.json {
        return Ok(error::CommandOutput::success(format!(
            "{}\n",
            client::to_json(&status)?
        )));
    }
    Ok(error::CommandOutput::success(overview::render(&status)))
}

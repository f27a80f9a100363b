//! Inventory and rules files: checking them and comparing them with the configuration in force.

use std::{fmt::Write as _, fs};

use base::ops;
use conf::{change, document, place};
use snafu::ResultExt as _;

use crate::{args, client, error, table};

/// Reads and checks both files.
///
/// # Errors
/// When one cannot be read, or with all faults of both files.
pub fn read(inventory: &str, rules: &str) -> Result<document::Configuration, error::CtlError> {
    let inventory_text =
        fs::read_to_string(inventory).context(error::ReadFileSnafu { file: inventory })?;
    let rules_text = fs::read_to_string(rules).context(error::ReadFileSnafu { file: rules })?;
    let inventory = place::SourceText {
        file: inventory,
        text: &inventory_text,
    };
    let rules = place::SourceText {
        file: rules,
        text: &rules_text,
    };
    document::parse(inventory, rules).map_err(|faults| error::CtlError::Faulty { faults })
}

/// Converts the configuration to the JSON state that changes are computed from.
///
/// # Errors
/// When it cannot be represented as JSON.
pub fn to_state(
    configuration: &document::Configuration,
) -> Result<serde_json::Value, error::CtlError> {
    serde_json::to_value(configuration).context(error::JsonSnafu {
        what: "the configuration",
    })
}

/// Fetches the configuration in force, or an older revision.
///
/// # Errors
/// When no entry VM answers, or the one that answers does not know the revision.
pub async fn fetch(
    client: &client::OpsClient,
    revision: Option<u64>,
) -> Result<ops::ConfigurationBody, error::CtlError> {
    let path = revision.map_or_else(
        || "/ops/configuration".to_owned(),
        |revision| format!("/ops/configuration?revision={revision}"),
    );
    match client.get(&path).await {
        // Before the first change, entry VMs have no configuration and answer 404.
        Err(error::CtlError::Refused { status: 404, .. }) if revision.is_none() => initial(),
        answer => answer,
    }
}

/// Returns revision 0, the empty configuration before the first change, with which every VM starts.
///
/// # Errors
/// When it cannot be represented as JSON.
pub fn initial() -> Result<ops::ConfigurationBody, error::CtlError> {
    Ok(ops::ConfigurationBody {
        revision: 0,
        offset: 0,
        state_hash: None,
        state: to_state(&document::Configuration::default())?,
    })
}

/// Runs `pollenctl check`.
///
/// # Errors
/// With all faults of the files.
pub fn check(args: &args::CheckArgs) -> Result<error::CommandOutput, error::CtlError> {
    let configuration = read(&args.inventory, &args.rules)?;
    let inventory = &configuration.inventory;
    let text = format!(
        "valid: {}, {}, {}, {}, {}\n",
        error::count_text(inventory.regions.len(), "region"),
        error::count_text(inventory.entry_vms.len(), "entry VM"),
        error::count_text(inventory.backend_servers.len(), "backend server"),
        error::count_text(inventory.models.len(), "model"),
        error::count_text(inventory.organisations.len(), "organisation"),
    );
    Ok(error::CommandOutput::success(text))
}

/// Runs `pollenctl diff`.
///
/// # Errors
/// When the files are invalid or no entry VM answers.
pub async fn diff(
    args: &args::DiffArgs,
    client: &client::OpsClient,
) -> Result<error::CommandOutput, error::CtlError> {
    let wanted = to_state(&read(&args.inventory, &args.rules)?)?;
    let current = fetch(client, None).await?;
    let patch = change::merge_patch(&current.state, &wanted);
    if args.json {
        return Ok(error::CommandOutput::success(format!("{patch:#}\n")));
    }
    let mut text = describe(&current.state, &patch);
    let revision = current.revision;
    if text.is_empty() {
        let _ = writeln!(text, "no difference to revision {revision}");
    } else {
        let _ = writeln!(
            text,
            "against revision {revision}; publish with --base {revision}"
        );
    }
    Ok(error::CommandOutput::success(text))
}

/// Describes `patch` with one line per path that it changes in `state`; empty if it changes none.
#[must_use]
pub fn describe(state: &serde_json::Value, patch: &serde_json::Value) -> String {
    let mut out = String::new();
    if patch.as_object().is_some_and(serde_json::Map::is_empty) {
        return out;
    }
    let mut paths: Vec<Vec<String>> = change::touched_paths(patch)
        .into_iter()
        .map(|path| truncate_at_new(state, path))
        .collect();
    paths.dedup();
    for path in paths {
        let before = find(state, &path);
        let after = find(patch, &path).filter(|value| !value.is_null());
        let line = match (before, after) {
            (Some(before), Some(after)) => format!("~ {}: {before} -> {after}", path.join(".")),
            (None, Some(after)) => format!("+ {}: {after}", path.join(".")),
            (Some(before), None) => format!("- {}: {before}", path.join(".")),
            (None, None) => continue,
        };
        let _ = writeln!(out, "{}", table::fit(&line, table::TERMINAL_COLUMNS));
    }
    out
}

fn find<'a>(value: &'a serde_json::Value, path: &[String]) -> Option<&'a serde_json::Value> {
    path.iter().try_fold(value, |value, name| value.get(name))
}

/// Truncates `path` after the first name missing in `state`, so that a new subtree is shown as one
/// change.
fn truncate_at_new(state: &serde_json::Value, mut path: Vec<String>) -> Vec<String> {
    let is_new = |length: &usize| find(state, &path[..*length]).is_none();
    let length = (1..=path.len()).find(is_new).unwrap_or(path.len());
    path.truncate(length);
    path
}

//! Configuration changes: publishing, rollback and history.

use std::fmt::Write as _;

use base::{id, ops};
use conf::change;
use snafu::OptionExt as _;
use tokio::time;
use trace::{moment, text};

use crate::{args, client, configuration, error, in_force, table};

/// Maximum number of rebases of one change; after that the operator has to retry.
const MAX_REBASES: u32 = 5;
/// Maximum number of paths of one change in the history; the first change has thousands.
const MAX_HISTORY_PATHS: usize = 8;
/// Interval before all entry VMs are tried again.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Runs `pollenctl publish`.
///
/// # Errors
/// When the files are invalid, another change was accepted first, or no entry VM answers.
pub async fn publish(
    args: &args::PublishArgs,
    client: &client::OpsClient,
) -> Result<error::CommandOutput, error::CtlError> {
    let wanted = configuration::to_state(&configuration::read(&args.inventory, &args.rules)?)?;
    let current = configuration::fetch(client, None).await?;
    let base = base_state(args.base.as_deref(), current, client).await?;
    let patch = change::merge_patch(&base.state, &wanted);
    let changes = configuration::describe(&base.state, &patch);
    if changes.is_empty() {
        let text = format!(
            "no difference to revision {}; nothing published\n",
            base.revision
        );
        return Ok(error::CommandOutput::success(text));
    }
    let request = ops::PublishAsk {
        record: record_id(args.record.as_deref())?,
        base_revision: base.revision,
        change: patch,
        author: String::new(),
        comment: args.comment.clone(),
    };
    let options = PublishOptions {
        is_rebase_allowed: args.rebase,
        is_in_force_awaited: args.wait,
        timeout: time::Duration::from_secs(args.timeout),
    };
    decide(request, &options, changes, client).await
}

/// Runs `pollenctl rollback`, which publishes the difference from the revision in force to an older
/// state as a change.
///
/// # Errors
/// When no entry VM knows the older state, another change was accepted first, or no entry VM
/// answers.
pub async fn rollback(
    args: &args::RollbackArgs,
    client: &client::OpsClient,
) -> Result<error::CommandOutput, error::CtlError> {
    let current = configuration::fetch(client, None).await?;
    let wanted = older_state(args.revision, client).await?;
    let patch = change::merge_patch(&current.state, &wanted.state);
    let changes = configuration::describe(&current.state, &patch);
    if changes.is_empty() {
        let text = format!("revision {} has the same state already\n", current.revision);
        return Ok(error::CommandOutput::success(text));
    }
    let mut comment = format!("rollback to revision {}", args.revision);
    if !args.comment.is_empty() {
        let _ = write!(comment, ": {}", args.comment);
    }
    let request = ops::PublishAsk {
        record: record_id(None)?,
        base_revision: current.revision,
        change: patch,
        author: String::new(),
        comment,
    };
    let options = PublishOptions {
        is_rebase_allowed: false,
        is_in_force_awaited: args.wait,
        timeout: time::Duration::from_secs(args.timeout),
    };
    decide(request, &options, changes, client).await
}

/// Runs `pollenctl history`.
///
/// # Errors
/// When no entry VM answers.
pub async fn history(
    args: &args::HistoryArgs,
    client: &client::OpsClient,
) -> Result<error::CommandOutput, error::CtlError> {
    let mut body: ops::HistoryBody = client.get("/ops/history").await?;
    let surplus = body.entries.len().saturating_sub(args.limit);
    body.entries.drain(..surplus);
    if args.json {
        return Ok(error::CommandOutput::success(format!(
            "{}\n",
            client::to_json(&body)?
        )));
    }
    let mut text = String::new();
    for entry in &body.entries {
        text.push_str(&history_lines(entry));
    }
    if text.is_empty() {
        text.push_str("no change is remembered\n");
    }
    Ok(error::CommandOutput::success(text))
}

/// Options for publishing a change.
#[derive(Clone, Copy, Debug)]
struct PublishOptions {
    is_rebase_allowed: bool,
    is_in_force_awaited: bool,
    timeout: time::Duration,
}

/// Returns the state that the files were made from.
///
/// Files made from revision 40 but published as a difference to revision 41 would silently undo
/// another operator's change in 41. The base must therefore be given.
async fn base_state(
    base: Option<&str>,
    current: ops::ConfigurationBody,
    client: &client::OpsClient,
) -> Result<ops::ConfigurationBody, error::CtlError> {
    match base {
        Some("latest") => Ok(current),
        None if current.revision == 0 => Ok(current),
        None => {
            let message = format!(
                "say which revision the files were made from: review them with `pollenctl diff` \
                 and publish with --base {}",
                current.revision
            );
            error::UsageSnafu { message }.fail()
        }
        Some(number) => {
            let revision: u64 = number.parse().ok().with_context(|| error::UsageSnafu {
                message: format!("--base {number:?} is no revision; give a number or `latest`"),
            })?;
            if revision == current.revision {
                return Ok(current);
            }
            older_state(revision, client).await
        }
    }
}

async fn older_state(
    revision: u64,
    client: &client::OpsClient,
) -> Result<ops::ConfigurationBody, error::CtlError> {
    if revision == 0 {
        return configuration::initial();
    }
    let found = configuration::fetch(client, Some(revision)).await;
    found.map_err(|error| match error {
        error::CtlError::Refused { status: 404, .. } => error::CtlError::NotFound {
            message: format!(
                "no entry VM remembers the state of revision {revision}; take its files from \
                 your version control and publish them against the revision in force"
            ),
        },
        other => other,
    })
}

fn record_id(given: Option<&str>) -> Result<id::RecordId, error::CtlError> {
    let Some(text) = given else {
        return Ok(id::RecordId::draw(&mut rand::rng()));
    };
    text.parse().ok().with_context(|| error::UsageSnafu {
        message: format!("--record {text:?} is no record id; copy the 32 digits from the message"),
    })
}

async fn decide(
    mut request: ops::PublishAsk,
    options: &PublishOptions,
    mut text: String,
    client: &client::OpsClient,
) -> Result<error::CommandOutput, error::CtlError> {
    for _ in 0..=MAX_REBASES {
        match send(&request, options.timeout, client).await? {
            ops::PublishAnswer::Accepted { revision, offset } => {
                let _ = writeln!(text, "accepted as revision {revision} (offset {offset})");
                return finish(text, revision, options, client).await;
            }
            ops::PublishAnswer::Conflict {
                current_revision,
                overlapping,
                ..
            } if options.is_rebase_allowed && overlapping.is_empty() => {
                let base = request.base_revision;
                let _ = writeln!(
                    text,
                    "revision {base} has moved to {current_revision}: rebased"
                );
                request.base_revision = current_revision;
                request.record = record_id(None)?;
            }
            refused => return Err(refusal(refused, &request)),
        }
    }
    let message = "others change the configuration faster than this change can follow; try again";
    error::ConflictSnafu { message }.fail()
}

async fn finish(
    mut text: String,
    revision: u64,
    options: &PublishOptions,
    client: &client::OpsClient,
) -> Result<error::CommandOutput, error::CtlError> {
    if !options.is_in_force_awaited {
        text.push_str("see where it is in force with `pollenctl status --in-force`\n");
        return Ok(error::CommandOutput::success(text));
    }
    let goal = in_force::InForceGoal {
        revision: Some(revision),
        is_live_only: false,
        timeout: options.timeout,
    };
    let mut output = in_force::wait(&goal, client).await?;
    output.text.insert_str(0, &text);
    Ok(output)
}

/// Sends one request until it is decided or the timeout expires.
///
/// The answer may be lost after the append took effect. The same request is then sent to the next
/// entry VM: its record id is the same, so the change takes effect once, and the VM that answers
/// reports the decision of the log.
async fn send(
    request: &ops::PublishAsk,
    timeout: time::Duration,
    client: &client::OpsClient,
) -> Result<ops::PublishAnswer, error::CtlError> {
    let body = client::to_json(request)?;
    let deadline = time::Instant::now() + timeout;
    let mut undecided = None;
    loop {
        let mut attempts = Vec::new();
        for entry in client.entries() {
            let entry = entry.to_string();
            let called = client.call(&entry, "/ops/publish", Some(&body)).await;
            let error = match called.map(|answer| read_answer(&answer)) {
                Ok(PublishAttempt::Decided(answer)) => return Ok(answer),
                Ok(PublishAttempt::Refused(error)) => {
                    return Err(undecided_or(undecided, request, error));
                }
                Ok(PublishAttempt::Undecided(error)) | Err(error) => error,
            };
            attempts.push(format!("{entry}: {error}"));
            if !error.is_not_run {
                undecided = attempts.last().cloned();
            }
        }
        if time::Instant::now() + RETRY_INTERVAL >= deadline {
            return Err(undecided_or(
                undecided,
                request,
                error::CtlError::Unreachable { attempts },
            ));
        }
        time::sleep(RETRY_INTERVAL).await;
    }
}

/// Returns the error of a publish without a decision. Once an attempt may have taken effect, the
/// refusal of a later attempt does not prove that nothing did.
fn undecided_or(
    undecided: Option<String>,
    request: &ops::PublishAsk,
    error: error::CtlError,
) -> error::CtlError {
    let record = request.record;
    match undecided {
        Some(reason) => error::CtlError::Undecided { reason, record },
        None => error,
    }
}

/// Result of one attempt to publish.
enum PublishAttempt {
    Decided(ops::PublishAnswer),
    /// The VM refused, and other VMs would refuse too.
    Refused(error::CtlError),
    /// No decision; another attempt may get one.
    Undecided(client::CallError),
}

fn read_answer(answer: &client::RawAnswer) -> PublishAttempt {
    match serde_json::from_slice(&answer.body) {
        Ok(ops::PublishAnswer::Undecided { reason }) => {
            PublishAttempt::Undecided(client::CallError {
                reason,
                is_not_run: false,
            })
        }
        Ok(decided) => PublishAttempt::Decided(decided),
        Err(_) if answer.status < 500 => PublishAttempt::Refused(error::CtlError::Refused {
            entry: answer.entry.clone(),
            status: answer.status,
            message: answer.message(),
        }),
        Err(_) => PublishAttempt::Undecided(client::CallError {
            reason: format!("{} {}", answer.status, answer.message()),
            is_not_run: answer.is_not_run(),
        }),
    }
}

fn refusal(answer: ops::PublishAnswer, request: &ops::PublishAsk) -> error::CtlError {
    match answer {
        ops::PublishAnswer::Invalid { faults } => error::CtlError::Invalid { faults },
        ops::PublishAnswer::Conflict {
            base_revision,
            current_revision,
            since,
            overlapping,
        } => error::CtlError::Conflict {
            message: conflict_text(base_revision, current_revision, &since, &overlapping),
        },
        ops::PublishAnswer::Accepted { .. } | ops::PublishAnswer::Undecided { .. } => {
            error::CtlError::Undecided {
                reason: "no decision".to_owned(),
                record: request.record,
            }
        }
    }
}

fn conflict_text(
    base_revision: u64,
    current_revision: u64,
    since: &[ops::ConflictEntry],
    overlapping: &[String],
) -> String {
    let mut text = format!(
        "nothing was published: revision {base_revision} is no longer in force, \
         {current_revision} is\n"
    );
    for entry in since {
        let author = text::clean(&entry.author);
        let comment = text::clean(&entry.comment);
        let _ = writeln!(text, "  revision {} by {author}: {comment}", entry.revision);
        for path in &entry.paths {
            let _ = writeln!(text, "    {}", text::clean(path));
        }
    }
    if overlapping.is_empty() {
        text.push_str("none of it touches yours: publish again with --rebase");
    } else {
        let _ = writeln!(text, "both of you changed:");
        for path in overlapping {
            let _ = writeln!(text, "  {}", text::clean(path));
        }
        let _ = write!(
            text,
            "bring their change into your files, review with `pollenctl diff`, and publish with \
             --base {current_revision}"
        );
    }
    text
}

fn history_lines(entry: &ops::HistoryEntry) -> String {
    let what = entry.revision.map_or_else(
        || format!("refused (made against {})", entry.base_revision),
        |revision| format!("revision {revision}"),
    );
    let at = match entry.at_ms {
        0 => "(time not known)".to_owned(),
        at_ms => moment::full_text(at_ms),
    };
    let head = format!("{at}  {what}  by {}  {}", entry.author, entry.comment);
    let mut lines = format!("{}\n", table::fit(&head, table::TERMINAL_COLUMNS));
    if let Some(reason) = &entry.refused {
        let line = format!("    because {reason}");
        let _ = writeln!(lines, "{}", table::fit(&line, table::TERMINAL_COLUMNS));
    }
    for path in entry.paths.iter().take(MAX_HISTORY_PATHS) {
        let line = format!("    {path}");
        let _ = writeln!(lines, "{}", table::fit(&line, table::TERMINAL_COLUMNS));
    }
    let more = entry.paths.len().saturating_sub(MAX_HISTORY_PATHS);
    if more > 0 {
        let _ = writeln!(lines, "    and {more} more; see --json");
    }
    lines
}

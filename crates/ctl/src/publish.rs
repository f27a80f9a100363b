//! Changes of configuration: publishing, bringing back, history.

use std::fmt::Write as _;

use base::{id, ops};
use conf::change;
use snafu::OptionExt as _;
use tokio::time;
use trace::{moment, text};

use crate::{args, client, configuration, error, in_force, table};

/// A change whose base moved under it this often is left to its operator.
const MAX_REBASES: u32 = 5;
/// Paths of one change that the history shows; the first change of all has thousands.
const PATHS_SHOWN: usize = 8;
/// Pause before all entry VMs are tried again.
const ROUND_PAUSE: time::Duration = time::Duration::from_millis(500);

/// `pollenctl publish`.
///
/// # Errors
/// When the files are faulty, another change was first, or nobody answers.
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
    let ask = ops::PublishAsk {
        record: record_id(args.record.as_deref())?,
        base_revision: base.revision,
        change: patch,
        author: String::new(),
        comment: args.comment.clone(),
    };
    let plan = ChangePlan {
        is_rebased: args.rebase,
        is_awaited: args.wait,
        limit: time::Duration::from_secs(args.timeout),
    };
    decide(ask, &plan, changes, client).await
}

/// `pollenctl rollback`: the difference from what is in force to the older state, as a change.
///
/// # Errors
/// When no entry VM knows the older state, another change was first, or nobody answers.
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
    let ask = ops::PublishAsk {
        record: record_id(None)?,
        base_revision: current.revision,
        change: patch,
        author: String::new(),
        comment,
    };
    let plan = ChangePlan {
        is_rebased: false,
        is_awaited: args.wait,
        limit: time::Duration::from_secs(args.timeout),
    };
    decide(ask, &plan, changes, client).await
}

/// `pollenctl history`.
///
/// # Errors
/// When nobody answers.
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

/// How a change is to be brought through.
#[derive(Clone, Copy, Debug)]
struct ChangePlan {
    is_rebased: bool,
    is_awaited: bool,
    limit: time::Duration,
}

/// The state that the files were made from.
///
/// Files that were made from revision 40 and are published as a difference to revision 41 would
/// undo, without a word, what another operator did in 41. So the base must be named.
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
        return configuration::first();
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
    mut ask: ops::PublishAsk,
    plan: &ChangePlan,
    mut text: String,
    client: &client::OpsClient,
) -> Result<error::CommandOutput, error::CtlError> {
    for _ in 0..=MAX_REBASES {
        match send(&ask, plan.limit, client).await? {
            ops::PublishAnswer::Accepted { revision, offset } => {
                let _ = writeln!(text, "accepted as revision {revision} (offset {offset})");
                return finish(text, revision, plan, client).await;
            }
            ops::PublishAnswer::Conflict {
                current_revision,
                overlapping,
                ..
            } if plan.is_rebased && overlapping.is_empty() => {
                let base = ask.base_revision;
                let _ = writeln!(
                    text,
                    "revision {base} has moved to {current_revision}: rebased"
                );
                ask.base_revision = current_revision;
                ask.record = record_id(None)?;
            }
            refused => return Err(refusal(refused, &ask)),
        }
    }
    let message = "others change the configuration faster than this change can follow; try again";
    error::ConflictSnafu { message }.fail()
}

async fn finish(
    mut text: String,
    revision: u64,
    plan: &ChangePlan,
    client: &client::OpsClient,
) -> Result<error::CommandOutput, error::CtlError> {
    if !plan.is_awaited {
        text.push_str("see where it is in force with `pollenctl status --in-force`\n");
        return Ok(error::CommandOutput::success(text));
    }
    let goal = in_force::ForceGoal {
        revision: Some(revision),
        is_live_only: false,
        limit: plan.limit,
    };
    let mut output = in_force::wait(&goal, client).await?;
    output.text.insert_str(0, &text);
    Ok(output)
}

/// Sends one ask until it is decided or the time is up.
///
/// The answer may be lost after the append took effect. The same ask then goes to the next entry
/// VM: its record id is the same, so the change takes effect once, and whoever answers says what
/// the log decided about it.
async fn send(
    ask: &ops::PublishAsk,
    limit: time::Duration,
    client: &client::OpsClient,
) -> Result<ops::PublishAnswer, error::CtlError> {
    let body = client::to_json(ask)?;
    let deadline = time::Instant::now() + limit;
    let mut undecided = None;
    loop {
        let mut attempts = Vec::new();
        for entry in client.entries() {
            let entry = entry.to_string();
            let called = client.call(&entry, "/ops/publish", Some(&body)).await;
            let fault = match called.map(|answer| read_answer(&answer)) {
                Ok(PublishStep::Decided(answer)) => return Ok(answer),
                Ok(PublishStep::Refused(error)) => return Err(after(undecided, ask, error)),
                Ok(PublishStep::Open(fault)) | Err(fault) => fault,
            };
            attempts.push(format!("{entry}: {fault}"));
            if !fault.is_unsent {
                undecided = attempts.last().cloned();
            }
        }
        if time::Instant::now() + ROUND_PAUSE >= deadline {
            return Err(after(
                undecided,
                ask,
                error::CtlError::Unreachable { attempts },
            ));
        }
        time::sleep(ROUND_PAUSE).await;
    }
}

/// How a publish ends without a decision: once some try may have taken effect, no refusal of a
/// later try proves that nothing did.
fn after(
    undecided: Option<String>,
    ask: &ops::PublishAsk,
    error: error::CtlError,
) -> error::CtlError {
    let record = ask.record;
    match undecided {
        Some(reason) => error::CtlError::Undecided { reason, record },
        None => error,
    }
}

/// What one answer to a publish means.
enum PublishStep {
    Decided(ops::PublishAnswer),
    /// This VM will not do it, and asking others is no use.
    Refused(error::CtlError),
    /// Nothing is decided; another try may.
    Open(client::CallFault),
}

fn read_answer(answer: &client::RawAnswer) -> PublishStep {
    match serde_json::from_slice(&answer.body) {
        Ok(ops::PublishAnswer::Undecided { reason }) => PublishStep::Open(client::CallFault {
            reason,
            is_unsent: false,
        }),
        Ok(decided) => PublishStep::Decided(decided),
        Err(_) if answer.status < 500 => PublishStep::Refused(error::CtlError::Refused {
            entry: answer.entry.clone(),
            status: answer.status,
            message: answer.message(),
        }),
        Err(_) => PublishStep::Open(client::CallFault {
            reason: format!("{} {}", answer.status, answer.message()),
            is_unsent: answer.is_not_run(),
        }),
    }
}

fn refusal(answer: ops::PublishAnswer, ask: &ops::PublishAsk) -> error::CtlError {
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
                record: ask.record,
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
    for path in entry.paths.iter().take(PATHS_SHOWN) {
        let line = format!("    {path}");
        let _ = writeln!(lines, "{}", table::fit(&line, table::TERMINAL_COLUMNS));
    }
    let more = entry.paths.len().saturating_sub(PATHS_SHOWN);
    if more > 0 {
        let _ = writeln!(lines, "    and {more} more; see --json");
    }
    lines
}

//! Waiting until every entry VM acts by a revision.

use std::{collections, fmt::Write as _};

use base::ops;
use futures_util::StreamExt as _;
use tokio::time;
use trace::moment;

use crate::{client, error, table};

/// First pause between two looks; it doubles up to [`LONGEST_PAUSE`].
const POLL_PAUSE: time::Duration = time::Duration::from_millis(125);
const LONGEST_PAUSE: time::Duration = time::Duration::from_secs(1);
/// Entry VMs that are asked at once.
const CALLS_AT_ONCE: usize = 32;

/// What is waited for.
#[derive(Clone, Copy, Debug)]
pub struct ForceGoal {
    /// The revision, or a later one; absent: the newest that any VM knows at the start.
    pub revision: Option<u64>,
    /// Whether VMs that are taken to be dead are passed over.
    pub is_live_only: bool,
    /// How long to wait.
    pub limit: time::Duration,
}

/// An entry VM that has not said that it acts by the revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LaggingVm {
    /// Its name.
    pub vm: String,
    /// Where it is asked directly.
    pub address: String,
    /// How it is, in the eyes of the VM that answered.
    pub state: ops::HealthState,
    /// What it last said.
    pub revision: Option<u64>,
    /// When, in milliseconds before the answer.
    pub heard_ms_ago: Option<u64>,
}

/// The entry VMs that have not said that they act by `wanted` or a later revision.
///
/// What a VM said once stays true for as long as it runs, because a configuration in force never
/// reverts; so a late report may only make the wait longer, never end it too early. `direct`
/// holds what VMs answered when asked themselves.
#[must_use]
pub fn lagging(
    status: &ops::StatusBody,
    wanted: u64,
    is_live_only: bool,
    direct: &collections::BTreeMap<String, u64>,
) -> Vec<LaggingVm> {
    let mut lagging = Vec::new();
    for member in &status.members {
        let said = member.revision.max(direct.get(&member.vm).copied());
        let is_passed_over = is_live_only && member.state == ops::HealthState::Dead;
        if is_passed_over || said.is_some_and(|revision| revision >= wanted) {
            continue;
        }
        lagging.push(LaggingVm {
            vm: member.vm.clone(),
            address: member.address.clone(),
            state: member.state,
            revision: said,
            heard_ms_ago: member.heard_ms_ago,
        });
    }
    lagging
}

/// The newest revision that the answering VM or any member has in force.
#[must_use]
pub fn newest(status: &ops::StatusBody) -> u64 {
    let members = status.members.iter().filter_map(|member| member.revision);
    members.fold(status.configuration.revision, u64::max)
}

/// Waits for the goal and says what came of it.
///
/// # Errors
/// When no entry VM answers.
pub async fn wait(
    goal: &ForceGoal,
    client: &client::OpsClient,
) -> Result<error::CommandOutput, error::CtlError> {
    let begin = time::Instant::now();
    let mut direct = collections::BTreeMap::new();
    let mut wanted = goal.revision;
    let mut pause = POLL_PAUSE;
    loop {
        let status: ops::StatusBody = client.get("/ops/status?only=members").await?;
        let revision = *wanted.get_or_insert_with(|| newest(&status));
        let mut laggards = lagging(&status, revision, goal.is_live_only, &direct);
        if !laggards.is_empty() {
            // Gossip may be cut between the VM that answers and others that we reach.
            ask_directly(&laggards, client, &mut direct).await;
            laggards = lagging(&status, revision, goal.is_live_only, &direct);
        }
        let waited_ms = u64::try_from(begin.elapsed().as_millis()).unwrap_or(u64::MAX);
        if laggards.is_empty() {
            let count = error::count_text(status.members.len(), "entry VM");
            let waited = moment::span_text(waited_ms);
            let text =
                format!("revision {revision} is in force on {count}, seen within {waited}\n");
            return Ok(error::CommandOutput::success(text));
        }
        if begin.elapsed() >= goal.limit {
            return Ok(timed_out(revision, &laggards, status.members.len()));
        }
        time::sleep(pause.min(goal.limit.saturating_sub(begin.elapsed()))).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

async fn ask_directly(
    laggards: &[LaggingVm],
    client: &client::OpsClient,
    direct: &mut collections::BTreeMap<String, u64>,
) {
    let calls = laggards.iter().map(|laggard| async move {
        let answer = client
            .call(&laggard.address, "/ops/status?only=configuration", None)
            .await
            .ok()?;
        let status: ops::StatusBody = answer.parse().ok()?;
        (status.vm == laggard.vm).then_some((status.vm, status.configuration.revision))
    });
    let answers: Vec<_> = futures_util::stream::iter(calls)
        .buffer_unordered(CALLS_AT_ONCE)
        .collect()
        .await;
    direct.extend(answers.into_iter().flatten());
}

fn timed_out(revision: u64, laggards: &[LaggingVm], total: usize) -> error::CommandOutput {
    let mut text = format!(
        "revision {revision} is in force on {} of {total} entry VMs; not known to be on:\n",
        total - laggards.len()
    );
    let mut table = table::TextTable::new(&["entry VM", "state", "last said", "heard", "address"]);
    for laggard in laggards {
        table.row(vec![
            laggard.vm.clone(),
            laggard.state.name().to_owned(),
            laggard
                .revision
                .map_or_else(|| "nothing".to_owned(), |number| number.to_string()),
            heard_text(laggard.heard_ms_ago),
            laggard.address.clone(),
        ]);
    }
    let _ = write!(text, "{}", table.render());
    error::CommandOutput {
        text,
        complaint: "pollenctl: time is up; wait longer with --timeout, or pass over dead VMs with \
                    --live-only\n"
            .to_owned(),
        status: error::ExitStatus::TimedOut,
    }
}

/// `2.0 s ago`, or `never`.
#[must_use]
pub fn heard_text(heard_ms_ago: Option<u64>) -> String {
    heard_ms_ago.map_or_else(
        || "never".to_owned(),
        |age_ms| format!("{} ago", moment::span_text(age_ms)),
    )
}

//! Waiting until a revision is in force on every entry VM.

use std::{collections, fmt::Write as _};

use base::ops;
use futures_util::StreamExt as _;
use tokio::time;
use trace::moment;

use crate::{client, error, table};

/// Initial interval between two polls; it doubles up to [`MAX_POLL_INTERVAL`].
const INITIAL_POLL_INTERVAL: time::Duration = time::Duration::from_millis(125);
const MAX_POLL_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Maximum number of concurrent calls to entry VMs.
const MAX_CONCURRENT_CALLS: usize = 32;

/// The revision to wait for, the VMs considered, and the timeout.
#[derive(Clone, Copy, Debug)]
pub struct InForceGoal {
    /// The revision, which a later one satisfies too; absent: the newest known to any VM at the
    /// start.
    pub revision: Option<u64>,
    /// Whether VMs considered dead are ignored.
    pub is_live_only: bool,
    /// Maximum time to wait.
    pub timeout: time::Duration,
}

/// An entry VM that has not reported the revision as in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LaggingVm {
    /// Name of the entry VM.
    pub vm: String,
    /// Address for direct queries.
    pub address: String,
    /// Health state in the view of the VM that answered.
    pub state: ops::HealthState,
    /// The revision that it last reported, if any.
    pub revision: Option<u64>,
    /// Age of the last message from it, in milliseconds before the answer.
    pub heard_ms_ago: Option<u64>,
}

/// Returns the entry VMs that have not reported `wanted` or a later revision as in force.
///
/// A report stays valid for as long as its VM runs, because a configuration in force never reverts;
/// a late report may therefore prolong the wait but never end it too early. `direct` holds the
/// revisions that VMs reported in answer to direct queries.
#[must_use]
pub fn lagging(
    status: &ops::StatusBody,
    wanted: u64,
    is_live_only: bool,
    direct: &collections::BTreeMap<String, u64>,
) -> Vec<LaggingVm> {
    let mut lagging = Vec::new();
    for member in &status.members {
        let reported = member.revision.max(direct.get(&member.vm).copied());
        let is_ignored = is_live_only && member.state == ops::HealthState::Dead;
        if is_ignored || reported.is_some_and(|revision| revision >= wanted) {
            continue;
        }
        lagging.push(LaggingVm {
            vm: member.vm.clone(),
            address: member.address.clone(),
            state: member.state,
            revision: reported,
            heard_ms_ago: member.heard_ms_ago,
        });
    }
    lagging
}

/// Returns the newest revision in force on the answering VM or any member.
#[must_use]
pub fn newest_revision(status: &ops::StatusBody) -> u64 {
    let members = status.members.iter().filter_map(|member| member.revision);
    members.fold(status.configuration.revision, u64::max)
}

/// Waits for the goal and reports the result.
///
/// # Errors
/// When no entry VM answers.
pub async fn wait(
    goal: &InForceGoal,
    client: &client::OpsClient,
) -> Result<error::CommandOutput, error::CtlError> {
    let started_at = time::Instant::now();
    let mut direct = collections::BTreeMap::new();
    let mut wanted = goal.revision;
    let mut interval = INITIAL_POLL_INTERVAL;
    loop {
        let status: ops::StatusBody = client.get("/ops/status?only=members").await?;
        let revision = *wanted.get_or_insert_with(|| newest_revision(&status));
        let mut laggards = lagging(&status, revision, goal.is_live_only, &direct);
        if !laggards.is_empty() {
            // The answering VM may receive no gossip from VMs that the client can reach.
            query_directly(&laggards, client, &mut direct).await;
            laggards = lagging(&status, revision, goal.is_live_only, &direct);
        }
        let waited_ms = u64::try_from(started_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        if laggards.is_empty() {
            let count = error::count_text(status.members.len(), "entry VM");
            let waited = moment::span_text(waited_ms);
            let text =
                format!("revision {revision} is in force on {count}, seen within {waited}\n");
            return Ok(error::CommandOutput::success(text));
        }
        if started_at.elapsed() >= goal.timeout {
            return Ok(timed_out(revision, &laggards, status.members.len()));
        }
        time::sleep(interval.min(goal.timeout.saturating_sub(started_at.elapsed()))).await;
        interval = (interval * 2).min(MAX_POLL_INTERVAL);
    }
}

async fn query_directly(
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
        .buffer_unordered(MAX_CONCURRENT_CALLS)
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
            age_text(laggard.heard_ms_ago),
            laggard.address.clone(),
        ]);
    }
    let _ = write!(text, "{}", table.render());
    error::CommandOutput {
        text,
        error_text: "pollenctl: time is up; wait longer with --timeout, or ignore dead VMs with \
                    --live-only\n"
            .to_owned(),
        status: error::ExitStatus::TimedOut,
    }
}

/// Formats an age as `2.0 s ago`, or `never`.
#[must_use]
pub fn age_text(age_ms: Option<u64>) -> String {
    age_ms.map_or_else(
        || "never".to_owned(),
        |age_ms| format!("{} ago", moment::span_text(age_ms)),
    )
}

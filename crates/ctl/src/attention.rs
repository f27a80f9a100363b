//! Findings in a status that need an operator's attention.

use std::collections;

use base::ops;

use crate::in_force;

/// Maximum number of findings shown; the rest are only counted.
const MAX_LINES: usize = 12;

/// Returns the findings, most severe first, or one line if there are none.
#[must_use]
pub fn lines(status: &ops::StatusBody) -> Vec<String> {
    let mut findings = Vec::new();
    findings.extend(readiness(status));
    findings.extend(log(status));
    findings.extend(models(status));
    findings.extend(members(status));
    findings.extend(servers(status));
    findings.extend(versions(status));
    findings.extend(never_seen(status));
    if findings.is_empty() {
        return vec!["nothing needs attention".to_owned()];
    }
    let more = findings.len().saturating_sub(MAX_LINES);
    findings.truncate(MAX_LINES);
    let mut lines = vec!["NEEDS ATTENTION".to_owned()];
    lines.extend(findings.into_iter().map(|finding| format!("  {finding}")));
    if more > 0 {
        lines.push(format!("  and {more} more; see pollenctl status --json"));
    }
    lines
}

fn readiness(status: &ops::StatusBody) -> Option<String> {
    (status.readiness == ops::ReadyState::Starting).then(|| {
        "this VM has no accepted configuration: neither log nor peers gave it one".to_owned()
    })
}

fn log(status: &ops::StatusBody) -> impl Iterator<Item = String> + '_ {
    let down = status.log.iter().filter(|stream| !stream.reachable);
    down.map(|stream| match stream.answered_ms_ago {
        None => format!(
            "log stream {} has not answered this process yet",
            stream.stream
        ),
        answered_ms_ago => {
            let answered = in_force::age_text(answered_ms_ago);
            format!(
                "log stream {} does not answer; last answer {answered}",
                stream.stream
            )
        }
    })
}

fn models(status: &ops::StatusBody) -> Vec<String> {
    let mut findings = Vec::new();
    for placement in &status.placement {
        let serving = placement.ready.len() + placement.outdated.len();
        if serving < placement.min_engines as usize {
            findings.push(format!(
                "model {} is on {serving} engines, below its {}",
                placement.model, placement.min_engines
            ));
        }
        if let Some(reason) = &placement.blocked {
            findings.push(format!("model {} is held up: {reason}", placement.model));
        }
    }
    findings
}

fn members(status: &ops::StatusBody) -> impl Iterator<Item = String> + '_ {
    let bad = status.members.iter().filter(|member| is_bad(member.state));
    bad.map(|member| {
        let heard = in_force::age_text(member.heard_ms_ago);
        format!(
            "entry VM {} is {}, heard {heard}",
            member.vm,
            member.state.name()
        )
    })
}

fn servers(status: &ops::StatusBody) -> impl Iterator<Item = String> + '_ {
    let bad = status.servers.iter().filter(|server| is_bad(server.state));
    bad.map(|server| {
        let reported = in_force::age_text(server.report_age_ms);
        format!(
            "backend server {} is {}, reported {reported}",
            server.server,
            server.state.name()
        )
    })
}

const fn is_bad(state: ops::HealthState) -> bool {
    matches!(state, ops::HealthState::Suspect | ops::HealthState::Dead)
}

fn versions(status: &ops::StatusBody) -> Option<String> {
    let mut counts: collections::BTreeMap<&str, usize> = collections::BTreeMap::new();
    for version in status
        .members
        .iter()
        .filter_map(|member| member.version.as_deref())
    {
        *counts.entry(version).or_default() += 1;
    }
    if counts.len() < 2 {
        return None;
    }
    let counts: Vec<String> = counts
        .iter()
        .map(|(version, count)| format!("{version} on {count}"))
        .collect();
    Some(format!(
        "entry VMs run several versions: {}",
        counts.join(", ")
    ))
}

/// Reports VMs in the inventory that no VM has ever received a message from; they may never have
/// been started.
fn never_seen(status: &ops::StatusBody) -> Option<String> {
    let is_unknown = |member: &&ops::MemberStatus| member.state == ops::HealthState::Unknown;
    let unknown: Vec<&str> = status
        .members
        .iter()
        .filter(is_unknown)
        .map(|member| member.vm.as_str())
        .collect();
    let first = unknown.first()?;
    Some(match unknown.len() {
        1 => format!("entry VM {first} has never been heard of"),
        count => format!("{count} entry VMs have never been heard of, {first} among them"),
    })
}

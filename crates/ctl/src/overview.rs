//! Overview of the system in the view of one VM, in 80 columns.

use std::collections;

use base::ops;
use trace::moment;

use crate::{attention, error, in_force, table};

/// Renders the complete overview.
#[must_use]
pub fn render(status: &ops::StatusBody) -> String {
    let mut out = String::new();
    for line in head(status) {
        add_line(&mut out, &line);
    }
    let sections = [
        ("entry VMs", members(status)),
        ("backend servers", servers(status)),
        ("models", models(status)),
        ("queues of this VM", queues(status)),
        ("log", log(status)),
    ];
    for (name, table) in sections {
        if !table.is_empty() {
            add_line(&mut out, "");
            add_line(&mut out, &name.to_uppercase());
            out.push_str(&table.render());
        }
    }
    add_line(&mut out, "");
    add_line(&mut out, &lease_line(&status.leases));
    add_line(&mut out, &quarantine_line(&status.quarantine));
    add_line(&mut out, "");
    for line in attention::lines(status) {
        add_line(&mut out, &line);
    }
    out
}

fn add_line(out: &mut String, line: &str) {
    out.push_str(&table::fit(line, table::TERMINAL_COLUMNS));
    out.push('\n');
}

fn head(status: &ops::StatusBody) -> [String; 3] {
    let newest = in_force::newest_revision(status);
    let is_current = |member: &&ops::MemberStatus| member.revision.is_some_and(|it| it >= newest);
    let current = status.members.iter().filter(is_current).count();
    let readiness = match status.readiness {
        ops::ReadyState::Starting => "starting",
        ops::ReadyState::Ready => "ready",
        ops::ReadyState::Leaving => "leaving",
    };
    [
        format!(
            "{} ({}, {}), {readiness}, version {}, {}",
            status.vm,
            status.failure_domain,
            status.region,
            status.version,
            moment::full_text(status.now_ms)
        ),
        format!(
            "revision {newest} in force on {current} of {}",
            error::count_text(status.members.len(), "entry VM"),
        ),
        local_line(&status.configuration),
    ]
}

fn local_line(configuration: &ops::ConfigurationStatus) -> String {
    if configuration.revision == 0 {
        return "here: no configuration yet".to_owned();
    }
    let span = moment::span_text(configuration.in_force_ms);
    let ops::ConfigurationStatus {
        revision, source, ..
    } = configuration;
    format!("here: revision {revision} for {span}, from {source}")
}

/// Number of members of a group in each state.
#[derive(Clone, Copy, Debug, Default)]
struct StateCounts {
    up: usize,
    suspect: usize,
    dead: usize,
    leaving: usize,
    unknown: usize,
}

impl StateCounts {
    const fn add(&mut self, state: ops::HealthState) {
        let count = match state {
            ops::HealthState::Up => &mut self.up,
            ops::HealthState::Suspect => &mut self.suspect,
            ops::HealthState::Dead => &mut self.dead,
            ops::HealthState::Leaving => &mut self.leaving,
            ops::HealthState::Unknown => &mut self.unknown,
        };
        *count += 1;
    }

    fn cells(self) -> impl Iterator<Item = String> {
        [self.up, self.suspect, self.dead, self.leaving, self.unknown]
            .into_iter()
            .map(count_cell)
    }
}

/// Formats a count, with `-` for zero so that other numbers stand out.
fn count_cell(count: usize) -> String {
    if count == 0 {
        "-".to_owned()
    } else {
        count.to_string()
    }
}

fn members(status: &ops::StatusBody) -> table::TextTable {
    let newest = in_force::newest_revision(status);
    let mut groups: collections::BTreeMap<(&str, &str), (StateCounts, usize)> =
        collections::BTreeMap::new();
    for member in &status.members {
        let group = groups
            .entry((&member.region, &member.failure_domain))
            .or_default();
        group.0.add(member.state);
        group.1 += usize::from(member.revision.is_none_or(|revision| revision < newest));
    }
    let head = [
        "failure domain",
        "up",
        "suspect",
        "dead",
        "leaving",
        "unknown",
        "behind",
    ];
    let mut table = table::TextTable::new(&head);
    for ((region, domain), (counts, behind)) in groups {
        let name = if region.is_empty() {
            domain.to_owned()
        } else {
            format!("{region}/{domain}")
        };
        let cells = std::iter::once(name).chain(counts.cells());
        table.row(cells.chain(std::iter::once(count_cell(behind))).collect());
    }
    table
}

/// Totals of the backend servers that serve the same model or service.
#[derive(Clone, Copy, Debug, Default)]
struct ServerGroup {
    counts: StateCounts,
    running: u64,
    waiting: u64,
    free_blocks: u64,
    total_blocks: u64,
    report_age_ms: Option<u64>,
}

impl ServerGroup {
    fn add(&mut self, server: &ops::ServerStatus) {
        self.counts.add(server.state);
        self.running += u64::from(server.running);
        self.waiting += u64::from(server.waiting);
        self.free_blocks += u64::from(server.free_blocks.min(server.total_blocks));
        self.total_blocks += u64::from(server.total_blocks);
        self.report_age_ms = self.report_age_ms.max(server.report_age_ms);
    }

    fn memory_text(&self) -> String {
        match (self.total_blocks - self.free_blocks).checked_mul(100) {
            Some(used) if self.total_blocks > 0 => format!("{}%", used / self.total_blocks),
            _ => "-".to_owned(),
        }
    }
}

fn servers(status: &ops::StatusBody) -> table::TextTable {
    let mut groups: collections::BTreeMap<&str, ServerGroup> = collections::BTreeMap::new();
    for server in &status.servers {
        let served = server
            .serves
            .first()
            .map_or("(nothing)", |model| model.name.as_str());
        groups.entry(served).or_default().add(server);
    }
    let head = [
        "serving", "up", "susp", "dead", "leave", "unkn", "running", "waiting", "memory", "report",
    ];
    let mut table = table::TextTable::new(&head);
    for (name, group) in groups {
        let mut cells = vec![name.to_owned()];
        cells.extend(group.counts.cells());
        cells.push(group.running.to_string());
        cells.push(group.waiting.to_string());
        cells.push(group.memory_text());
        cells.push(
            group
                .report_age_ms
                .map_or_else(|| "none".to_owned(), moment::span_text),
        );
        table.row(cells);
    }
    table
}

fn models(status: &ops::StatusBody) -> table::TextTable {
    let head = [
        "model",
        "version",
        "ready",
        "at least",
        "loading",
        "other version",
    ];
    let mut table = table::TextTable::new(&head);
    for placement in &status.placement {
        table.row(vec![
            placement.model.clone(),
            placement.wanted_version.clone(),
            placement.ready.len().to_string(),
            placement.min_engines.to_string(),
            count_cell(placement.loading.len()),
            count_cell(placement.outdated.len()),
        ]);
    }
    table
}

fn queues(status: &ops::StatusBody) -> table::TextTable {
    let head = ["class", "waiting", "running", "oldest", "taken", "refused"];
    let mut table = table::TextTable::new(&head);
    for queue in &status.queues {
        table.row(vec![
            queue.class.name().to_owned(),
            queue.waiting.to_string(),
            queue.running.to_string(),
            if queue.waiting == 0 {
                "-".to_owned()
            } else {
                moment::span_text(queue.oldest_ms)
            },
            queue.taken.to_string(),
            queue.refused.to_string(),
        ]);
    }
    table
}

fn log(status: &ops::StatusBody) -> table::TextTable {
    let mut table = table::TextTable::new(&["stream", "state", "last answer", "next offset"]);
    for stream in &status.log {
        table.row(vec![
            stream.stream.clone(),
            log_state(stream).to_owned(),
            in_force::age_text(stream.answered_ms_ago),
            stream.next_offset.to_string(),
        ]);
    }
    table
}

/// Returns the state shown for a log stream. A process that has just started has no answer yet,
/// which is not an outage.
const fn log_state(stream: &ops::LogStatus) -> &'static str {
    match (stream.reachable, stream.answered_ms_ago) {
        (true, _) => "answers",
        (false, Some(_)) => "DOWN",
        (false, None) => "no answer yet",
    }
}

fn lease_line(leases: &[ops::LeaseStatus]) -> String {
    let holders: collections::BTreeSet<&str> = leases
        .iter()
        .filter_map(|lease| lease.holder.as_deref())
        .collect();
    let held = leases.iter().filter(|lease| lease.holder.is_some()).count();
    let free = leases.len() - held;
    let holders = error::count_text(holders.len(), "VM");
    format!("leases: {held} held by {holders}, {free} free")
}

fn quarantine_line(entries: &[ops::QuarantineStatus]) -> String {
    if entries.is_empty() {
        return "quarantine: empty".to_owned();
    }
    let is_refused =
        |entry: &&ops::QuarantineStatus| entry.state == ops::QuarantineState::Quarantined;
    let refused = entries.iter().filter(is_refused).count();
    let suspected = entries.len() - refused;
    format!("quarantine: {refused} refused, {suspected} suspected; see pollenctl quarantine list")
}

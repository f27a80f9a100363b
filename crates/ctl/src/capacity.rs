//! What the system costs at the size that decides its design, worked out from measured slopes.

use std::{fmt::Write as _, fs};

use conf::settings;

use crate::{args, error};

/// The size, and what was measured.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct CapacityFile {
    /// The size that decides the design.
    pub size: TargetSize,
    /// Measured slopes.
    pub slopes: SlopeTable,
}

impl settings::CheckedSettings for CapacityFile {}

/// The size that decides the design.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSize {
    /// Entry VMs.
    pub entry_vms: f64,
    /// Model engines.
    pub engines: f64,
    /// Regions.
    pub regions: f64,
    /// Organisations.
    pub organisations: f64,
    /// Requests a second at the peak.
    pub requests_per_second: f64,
    /// Generated tokens a second at the peak.
    pub tokens_per_second: f64,
    /// Generations at once at the peak.
    pub streams: f64,
    /// Changes of configuration a day.
    pub changes_per_day: f64,
    /// VMs replaced a day.
    pub replaced_per_day: f64,
    /// Appends a second that the log takes.
    pub log_appends: f64,
    /// Part of a core that control may cost a VM.
    pub control_core: f64,
    /// Memory that control may cost a VM, in bytes.
    pub control_memory_bytes: f64,
    /// Traffic that control may cost a VM, in bytes a second.
    pub control_bytes_per_second: f64,
}

/// Measured slopes; beside each its file says which command prints it.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct SlopeTable {
    /// Gossip that one VM sends and receives at the full size, bytes a second.
    pub gossip_bytes_per_second: f64,
    /// Part of a core that gossip costs one VM at the full size.
    pub gossip_core: f64,
    /// Memory of gossip on one VM at the full size, in bytes.
    pub gossip_memory_bytes: f64,
    /// One poll of an engine's load, both ways with headers, in bytes.
    pub poll_bytes: f64,
    /// One poll, in seconds of a core.
    pub poll_core_seconds: f64,
    /// Configuration and index for one organisation, in bytes.
    pub configuration_bytes: f64,
    /// Applying and indexing one change at 38,000 organisations, in seconds of a core.
    pub change_core_seconds: f64,
    /// One change on the wire, in bytes.
    pub change_bytes: f64,
    /// The whole state, in bytes.
    pub state_bytes: f64,
    /// The decision core for one organisation that is idle, in bytes.
    pub idle_organisation_bytes: f64,
    /// One decision at the full size, in seconds of a core.
    pub decision_seconds: f64,
    /// Tokens that one core of an entry VM relays a second.
    pub relayed_tokens_per_core: f64,
    /// Memory of one open stream, in bytes.
    pub stream_bytes: f64,
    /// The ring of events, full, in bytes.
    pub ring_bytes: f64,
    /// Appends of claims a second at 300 calls a second, where every appender is always busy.
    pub claim_appends_per_second: f64,
    /// Appends of deferred work a second when every appender is always busy.
    pub job_appends_per_second: f64,
    /// Appends of leases a second.
    pub lease_appends_per_second: f64,
}

/// One row of the table.
#[derive(Clone, Debug, PartialEq)]
struct CapacityRow {
    what: &'static str,
    budget: f64,
    computed: f64,
    unit: &'static str,
    /// How it was worked out.
    from: &'static str,
    mechanism: &'static str,
    breaks: &'static str,
}

const SECONDS_PER_DAY: f64 = 86_400.0;
/// Polls a second of one server by its watchers together: twice by the first, half by the
/// standby, and half a reading of cache events.
const WATCHED_POLLS: f64 = 2.0 + 0.5 + 0.5;
/// Servers that one VM uses without watching them, and its polls of each a second.
const USED_SERVERS: f64 = 32.0;
const USER_POLLS: f64 = 1.0 / 30.0;

fn polls_per_second(size: &TargetSize) -> f64 {
    size.engines / size.entry_vms * WATCHED_POLLS + USED_SERVERS * USER_POLLS
}

fn rows(file: &CapacityFile) -> Vec<CapacityRow> {
    let mut rows = control_rows(&file.size, &file.slopes);
    rows.extend(traffic_rows(&file.size, &file.slopes));
    rows
}

fn control_rows(size: &TargetSize, slopes: &SlopeTable) -> Vec<CapacityRow> {
    let polls = polls_per_second(size);
    let changes = size.changes_per_day / SECONDS_PER_DAY;
    vec![
        CapacityRow {
            what: "control, traffic of one VM",
            budget: size.control_bytes_per_second,
            computed: slopes.gossip_bytes_per_second
                + polls * slopes.poll_bytes
                + changes * slopes.change_bytes,
            unit: "B/s",
            from: "gossip at full size + polls x bytes + changes x bytes",
            mechanism: "divided watching, digests under a byte bound, differences on the log",
            breaks: "the polls of used servers; ask less often",
        },
        CapacityRow {
            what: "control, processor of one VM",
            budget: size.control_core * 100.0,
            computed: 100.0
                * (slopes.gossip_core
                    + polls * slopes.poll_core_seconds
                    + changes * slopes.change_core_seconds),
            unit: "% of a core",
            from: "gossip + polls x cost + changes x cost",
            mechanism: "probing within the region, few links between regions, one index a change",
            breaks: "the index, made anew with each change",
        },
        CapacityRow {
            what: "control, memory of one VM",
            budget: size.control_memory_bytes / 1e6,
            computed: (2.0 * size.organisations * slopes.configuration_bytes
                + size.organisations * slopes.idle_organisation_bytes
                + slopes.gossip_memory_bytes
                + slopes.ring_bytes)
                / 1e6,
            unit: "MB",
            from: "2 revisions x organisations x (configuration + index) + decision core + gossip + events",
            mechanism: "snapshots shared by requests, bounded rings and tables",
            breaks: "snapshots held by long streams during bursts of changes",
        },
        CapacityRow {
            what: "handing the state to replaced VMs, all VMs together",
            budget: size.control_bytes_per_second * size.entry_vms,
            computed: size.replaced_per_day / SECONDS_PER_DAY * slopes.state_bytes,
            unit: "B/s",
            from: "replacements x whole state",
            mechanism: "checkpoints on the log, parts from a peer",
            breaks: "a failure domain that comes back at once: 46 states in one minute",
        },
    ]
}

fn traffic_rows(size: &TargetSize, slopes: &SlopeTable) -> Vec<CapacityRow> {
    let requests = size.requests_per_second / size.entry_vms;
    vec![
        CapacityRow {
            what: "appends to the log, all VMs together",
            budget: size.log_appends,
            computed: slopes.claim_appends_per_second
                + slopes.job_appends_per_second
                + slopes.lease_appends_per_second
                + size.changes_per_day / SECONDS_PER_DAY,
            unit: "appends/s",
            from: "partitions / gap of an appender, whatever the demand + leases + changes",
            mechanism: "group commit through one appender a partition",
            breaks: "more partitions: each commits on its own",
        },
        CapacityRow {
            what: "decisions of one VM",
            budget: 100.0,
            computed: 100.0 * requests * slopes.decision_seconds,
            unit: "% of a core",
            from: "requests x decision",
            mechanism: "bounded candidates, arenas, no allocation",
            breaks: "nothing near",
        },
        CapacityRow {
            what: "relay of one VM",
            budget: 100.0,
            computed: 100.0 * size.tokens_per_second
                / size.entry_vms
                / slopes.relayed_tokens_per_core,
            unit: "% of a core",
            from: "tokens / tokens that one core relays",
            mechanism: "one gathered write for many tokens of a busy connection",
            breaks: "one write a token on quiet connections",
        },
        CapacityRow {
            what: "memory of open streams of one VM",
            budget: 32.0 * 1024.0 * size.streams / size.entry_vms / 1e6,
            computed: slopes.stream_bytes * size.streams / size.entry_vms / 1e6,
            unit: "MB",
            from: "streams x bytes; budget 32 KB a stream",
            mechanism: "bounded pipe of 16 KB to each caller",
            breaks: "callers that stop reading; they are dropped after 10 s",
        },
    ]
}

/// The table in Markdown.
#[must_use]
pub fn table(file: &CapacityFile) -> String {
    let mut text = String::from(
        "| what | budget | computed | margin | worked out from | carried by | what breaks first |\n\
         | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for row in rows(file) {
        let verdict = if row.computed <= row.budget {
            format!("{:.1} times", row.budget / row.computed)
        } else {
            format!(
                "**does not fit**, {:.1} times over",
                row.computed / row.budget
            )
        };
        // Writing into a text does not fail.
        let _ = writeln!(
            text,
            "| {} | {} {} | {} {} | {verdict} | {} | {} | {} |",
            row.what,
            rounded(row.budget),
            row.unit,
            rounded(row.computed),
            row.unit,
            row.from,
            row.mechanism,
            row.breaks
        );
    }
    text
}

/// Three digits that matter are all that slopes of one machine give.
fn rounded(value: f64) -> String {
    if value >= 100.0 {
        format!("{value:.0}")
    } else if value >= 1.0 {
        format!("{value:.1}")
    } else {
        format!("{value:.4}")
    }
}

/// Prints the table from a file of measured slopes.
///
/// # Errors
/// The file cannot be read or has faults.
pub fn capacity(args: &args::CapacityArgs) -> Result<error::CommandOutput, error::CtlError> {
    let text = fs::read_to_string(&args.slopes).map_err(|source| error::CtlError::Usage {
        message: format!("{}: {source}; name docs/capacity.jsonc", args.slopes),
    })?;
    let file: CapacityFile =
        settings::parse(&args.slopes, &text).map_err(|faults| error::CtlError::Usage {
            message: faults.to_string(),
        })?;
    Ok(error::CommandOutput::success(table(&file)))
}

//! Cost estimate of the system at its design size, computed from measured slopes.

use std::{fmt::Write as _, fs};

use conf::settings;

use crate::{args, error};

/// The design size and the measured slopes.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct CapacityFile {
    /// The design size.
    pub size: TargetSize,
    /// Measured slopes.
    pub slopes: SlopeTable,
}

impl settings::CheckedSettings for CapacityFile {}

/// The deployment size for which the system is designed.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSize {
    /// Number of entry VMs.
    pub entry_vms: f64,
    /// Number of model engines.
    pub engines: f64,
    /// Number of regions.
    pub regions: f64,
    /// Number of organisations.
    pub organisations: f64,
    /// Peak requests per second.
    pub requests_per_second: f64,
    /// Peak generated tokens per second.
    pub tokens_per_second: f64,
    /// Peak number of concurrent generations.
    pub streams: f64,
    /// Configuration changes per day.
    pub changes_per_day: f64,
    /// VMs replaced per day.
    pub replaced_per_day: f64,
    /// Appends per second that the log can sustain.
    pub log_appends: f64,
    /// Budget of the control plane per VM, as a fraction of a core.
    pub control_core: f64,
    /// Memory budget of the control plane per VM, in bytes.
    pub control_memory_bytes: f64,
    /// Traffic budget of the control plane per VM, in bytes per second.
    pub control_bytes_per_second: f64,
}

/// Measured slopes; comments in the file name the command that measures each.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct SlopeTable {
    /// Gossip that one VM sends and receives at full size, in bytes per second.
    pub gossip_bytes_per_second: f64,
    /// Processor time of gossip on one VM at full size, as a fraction of a core.
    pub gossip_core: f64,
    /// Memory of gossip on one VM at full size, in bytes.
    pub gossip_memory_bytes: f64,
    /// One poll of an engine's load, request and answer with headers, in bytes.
    pub poll_bytes: f64,
    /// One poll, in core seconds.
    pub poll_core_seconds: f64,
    /// Configuration and index for one organisation, in bytes.
    pub configuration_bytes: f64,
    /// Applying and indexing one change at 38,000 organisations, in core seconds.
    pub change_core_seconds: f64,
    /// One change on the wire, in bytes.
    pub change_bytes: f64,
    /// The complete configuration state, in bytes.
    pub state_bytes: f64,
    /// State of the decision core for one idle organisation, in bytes.
    pub idle_organisation_bytes: f64,
    /// One decision at full size, in core seconds.
    pub decision_seconds: f64,
    /// Tokens per second that one core of an entry VM relays.
    pub relayed_tokens_per_core: f64,
    /// Memory of one open stream, in bytes.
    pub stream_bytes: f64,
    /// A full event ring, in bytes.
    pub ring_bytes: f64,
    /// Appends of claims per second at 300 calls per second, where every appender is always busy.
    pub claim_appends_per_second: f64,
    /// Appends of deferred work per second when every appender is always busy.
    pub job_appends_per_second: f64,
    /// Appends of leases per second.
    pub lease_appends_per_second: f64,
}

/// One row of the capacity table.
#[derive(Clone, Debug, PartialEq)]
struct CapacityRow {
    what: &'static str,
    budget: f64,
    computed: f64,
    unit: &'static str,
    /// The formula in words.
    formula: &'static str,
    mechanism: &'static str,
    breaks: &'static str,
}

const SECONDS_PER_DAY: f64 = 86_400.0;
/// Polls per second of one server by its watchers together: 2 by the primary, 0.5 by the standby,
/// and 0.5 reads of cache events.
const WATCHED_POLLS_PER_SECOND: f64 = 2.0 + 0.5 + 0.5;
/// Number of servers that one VM uses without watching them.
const UNWATCHED_SERVERS: f64 = 32.0;
/// Polls per second of one server by a VM that uses it without watching it.
const UNWATCHED_POLLS_PER_SECOND: f64 = 1.0 / 30.0;

fn polls_per_second(size: &TargetSize) -> f64 {
    size.engines / size.entry_vms * WATCHED_POLLS_PER_SECOND
        + UNWATCHED_SERVERS * UNWATCHED_POLLS_PER_SECOND
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
            formula: "gossip at full size + polls x bytes + changes x bytes",
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
            formula: "gossip + polls x cost + changes x cost",
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
            formula: "2 revisions x organisations x (configuration + index) + decision core + gossip + events",
            mechanism: "snapshots shared by requests, bounded rings and tables",
            breaks: "snapshots held by long streams during bursts of changes",
        },
        CapacityRow {
            what: "handing the state to replaced VMs, all VMs together",
            budget: size.control_bytes_per_second * size.entry_vms,
            computed: size.replaced_per_day / SECONDS_PER_DAY * slopes.state_bytes,
            unit: "B/s",
            formula: "replacements x whole state",
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
            formula: "partitions / gap of an appender, whatever the demand + leases + changes",
            mechanism: "group commit through one appender a partition",
            breaks: "more partitions: each commits on its own",
        },
        CapacityRow {
            what: "decisions of one VM",
            budget: 100.0,
            computed: 100.0 * requests * slopes.decision_seconds,
            unit: "% of a core",
            formula: "requests x decision",
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
            formula: "tokens / tokens that one core relays",
            mechanism: "one gathered write for many tokens of a busy connection",
            breaks: "one write a token on quiet connections",
        },
        CapacityRow {
            what: "memory of open streams of one VM",
            budget: 32.0 * 1024.0 * size.streams / size.entry_vms / 1e6,
            computed: slopes.stream_bytes * size.streams / size.entry_vms / 1e6,
            unit: "MB",
            formula: "streams x bytes; budget 32 KB a stream",
            mechanism: "bounded pipe of 16 KB to each caller",
            breaks: "callers that stop reading; they are dropped after 10 s",
        },
    ]
}

/// Renders the table as Markdown.
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
        // Writing into a string does not fail.
        let _ = writeln!(
            text,
            "| {} | {} {} | {} {} | {verdict} | {} | {} | {} |",
            row.what,
            rounded(row.budget),
            row.unit,
            rounded(row.computed),
            row.unit,
            row.formula,
            row.mechanism,
            row.breaks
        );
    }
    text
}

/// Rounds to about three significant digits, the precision of slopes measured on one machine.
fn rounded(value: f64) -> String {
    if value >= 100.0 {
        format!("{value:.0}")
    } else if value >= 1.0 {
        format!("{value:.1}")
    } else {
        format!("{value:.4}")
    }
}

/// Runs `pollenctl capacity`, which prints the table from a file of measured slopes.
///
/// # Errors
/// When the file cannot be read or is invalid.
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

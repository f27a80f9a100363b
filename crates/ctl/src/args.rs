//! The command line.

use std::net;

use argh::{ArgsInfo as _, FromArgs as _};

use crate::error;

/// Operates pollenchute: checks and publishes configuration, shows what runs and why.
#[derive(Debug)]
#[derive(argh::ArgsInfo, argh::FromArgs)]
#[argh(
    example = "Check, review and publish:\n  {command_name} check inventory.jsonc rules.jsonc\n  {command_name} --entry 192.0.2.7:8000 diff inventory.jsonc rules.jsonc\n  {command_name} publish inventory.jsonc rules.jsonc --base 41 --comment 'two more engines'\n  {command_name} status --in-force --timeout 10",
    example = "See what runs, and why one request waited:\n  {command_name} status\n  {command_name} explain 3f2a90c1",
    note = "The operator key comes from POLLENCHUTE_OPERATOR_KEY or from the file that\n\"operator_key_file\" of the settings names. POLLENCTL_CONFIG names the settings\nwhen --config does not.",
    error_code(
        1,
        "refused: a faulty file, a conflict, an unknown name; nothing took effect"
    ),
    error_code(2, "the command line or the settings make no sense"),
    error_code(3, "no entry VM answered; nothing took effect"),
    error_code(
        4,
        "a change may have taken effect or not; the message says how to find out"
    ),
    error_code(5, "what was waited for had not come when the time was up")
)]
pub struct CtlArgs {
    /// settings file, JSON with comments
    #[argh(option, arg_name = "file")]
    pub config: Option<String>,
    /// entry VM, IP:PORT; may be given several times, the first that answers is used
    #[argh(option, arg_name = "address")]
    pub entry: Vec<net::SocketAddr>,
    /// check the settings and exit
    #[argh(switch)]
    pub check: bool,
    /// print the version and exit
    #[argh(switch)]
    pub version: bool,
    /// command to run
    #[argh(subcommand)]
    pub command: Option<CtlCommand>,
}

/// The commands of `pollenctl`.
#[derive(Debug)]
#[derive(argh::ArgsInfo, argh::FromArgs)]
#[argh(subcommand)]
pub enum CtlCommand {
    /// Check inventory and rules files.
    Check(CheckArgs),
    /// Compare files with the configuration in force.
    Diff(DiffArgs),
    /// Publish files as one change.
    Publish(PublishArgs),
    /// Publish an older state as a new revision.
    Rollback(RollbackArgs),
    /// Show the history of changes.
    History(HistoryArgs),
    /// Show the state of the system.
    Status(StatusArgs),
    /// Drain an entry VM or a backend server.
    Drain(DrainArgs),
    /// Show models on engines.
    Placement(PlacementArgs),
    /// Show or lift quarantine.
    Quarantine(QuarantineArgs),
    /// Show events.
    Timeline(TimelineArgs),
    /// Explain one request.
    Explain(ExplainArgs),
    /// Compute the cost at the design size.
    Capacity(CapacityArgs),
    /// Print shell completions.
    Completions(CompletionsArgs),
}

/// Compute the cost at the design size from measured slopes; needs no entry VM.
#[derive(Debug)]
#[derive(argh::ArgsInfo, argh::FromArgs)]
#[argh(
    subcommand,
    name = "capacity",
    example = "{command_name} docs/capacity.jsonc"
)]
pub struct CapacityArgs {
    /// file of measured slopes, JSON with comments
    #[argh(positional)]
    pub slopes: String,
}

/// Check inventory and rules files; needs no entry VM. Reports all faults at once.
#[derive(Debug)]
#[derive(argh::ArgsInfo, argh::FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "{command_name} inventory.jsonc rules.jsonc"
)]
pub struct CheckArgs {
    /// inventory file, JSON with comments
    #[argh(positional)]
    pub inventory: String,
    /// rules file, JSON with comments
    #[argh(positional)]
    pub rules: String,
}

/// Show what publishing the files would change, and the revision to publish against.
#[derive(Debug)]
#[derive(argh::ArgsInfo, argh::FromArgs)]
#[argh(
    subcommand,
    name = "diff",
    example = "{command_name} inventory.jsonc rules.jsonc"
)]
pub struct DiffArgs {
    /// inventory file
    #[argh(positional)]
    pub inventory: String,
    /// rules file
    #[argh(positional)]
    pub rules: String,
    /// print the difference as a JSON merge patch
    #[argh(switch)]
    pub json: bool,
}

/// Publish inventory and rules as one change.
#[derive(Debug)]
#[derive(argh::ArgsInfo, argh::FromArgs)]
#[argh(
    subcommand,
    name = "publish",
    example = "{command_name} inventory.jsonc rules.jsonc --base 41 --comment 'two more engines' --wait"
)]
pub struct PublishArgs {
    /// inventory file
    #[argh(positional)]
    pub inventory: String,
    /// rules file
    #[argh(positional)]
    pub rules: String,
    /// revision that the files were made from, as `diff` names it, or `latest`
    #[argh(option, arg_name = "revision")]
    pub base: Option<String>,
    /// why, for the history
    #[argh(option, arg_name = "text", default = "String::new()")]
    pub comment: String,
    /// if another change was accepted first and does not overlap, publish on top of it
    #[argh(switch)]
    pub rebase: bool,
    /// wait until every entry VM has it in force
    #[argh(switch)]
    pub wait: bool,
    /// seconds to wait for the decision, and with --wait as many again for all VMs
    #[argh(option, arg_name = "seconds", default = "20")]
    pub timeout: u64,
    /// id of a change that was not decided in time, to send it again
    #[argh(option, arg_name = "id")]
    pub record: Option<String>,
}

/// Publish the state of an older revision as a new one.
#[derive(Debug)]
#[derive(argh::ArgsInfo, argh::FromArgs)]
#[argh(
    subcommand,
    name = "rollback",
    example = "{command_name} 40 --comment 'limits too tight'"
)]
pub struct RollbackArgs {
    /// the revision whose state to restore
    #[argh(positional)]
    pub revision: u64,
    /// why, for the history
    #[argh(option, arg_name = "text", default = "String::new()")]
    pub comment: String,
    /// wait until every entry VM has it in force
    #[argh(switch)]
    pub wait: bool,
    /// seconds to wait for the decision, and with --wait as many again for all VMs
    #[argh(option, arg_name = "seconds", default = "20")]
    pub timeout: u64,
}

/// Show accepted and refused changes, newest last.
#[derive(Debug)]
#[derive(argh::ArgsInfo, argh::FromArgs)]
#[argh(subcommand, name = "history", example = "{command_name} --limit 5")]
pub struct HistoryArgs {
    /// maximum number of changes, the newest
    #[argh(option, arg_name = "count", default = "20")]
    pub limit: usize,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Show sites, entry VMs, backend servers, models, queues, revision, leases and quarantine.
#[derive(Debug)]
#[derive(argh::ArgsInfo, argh::FromArgs)]
#[argh(
    subcommand,
    name = "status",
    example = "{command_name}\n{command_name} --json\n{command_name} --in-force --timeout 10"
)]
pub struct StatusArgs {
    /// print JSON
    #[argh(switch)]
    pub json: bool,
    /// wait until every entry VM has the newest revision in force, or say which have not
    #[argh(switch)]
    pub in_force: bool,
    /// with --in-force: this revision or a later one
    #[argh(option, arg_name = "number")]
    pub revision: Option<u64>,
    /// with --in-force: do not wait for VMs that are considered dead
    #[argh(switch)]
    pub live_only: bool,
    /// with --in-force: seconds to wait
    #[argh(option, arg_name = "seconds", default = "10")]
    pub timeout: u64,
}

/// Let an entry VM or backend server finish its running requests and give it no new ones.
#[derive(Debug)]
#[derive(argh::ArgsInfo, argh::FromArgs)]
#[argh(
    subcommand,
    name = "drain",
    example = "{command_name} --server engine-4 --wait\n{command_name} --vm entry-2"
)]
pub struct DrainArgs {
    /// the backend server
    #[argh(option, arg_name = "name")]
    pub server: Option<String>,
    /// the entry VM
    #[argh(option, arg_name = "name")]
    pub vm: Option<String>,
    /// wait until nothing runs there any more
    #[argh(switch)]
    pub wait: bool,
    /// seconds to wait
    #[argh(option, arg_name = "seconds", default = "300")]
    pub timeout: u64,
}

/// Show which engines have which model and version, and what holds a rollout up.
#[derive(Debug)]
#[derive(argh::ArgsInfo, argh::FromArgs)]
#[argh(
    subcommand,
    name = "placement",
    example = "{command_name} --model review-llm"
)]
pub struct PlacementArgs {
    /// only this model
    #[argh(option, arg_name = "name")]
    pub model: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Show or lift the quarantine of content that crashes backend servers.
#[derive(Debug)]
#[derive(argh::ArgsInfo, argh::FromArgs)]
#[argh(
    subcommand,
    name = "quarantine",
    example = "{command_name} list\n{command_name} lift 9c4a77"
)]
pub struct QuarantineArgs {
    /// command to run
    #[argh(subcommand)]
    pub command: QuarantineCommand,
}

/// The commands of `pollenctl quarantine`.
#[derive(Debug)]
#[derive(argh::ArgsInfo, argh::FromArgs)]
#[argh(subcommand)]
pub enum QuarantineCommand {
    /// Show quarantined content.
    List(QuarantineListArgs),
    /// Lift the quarantine of content.
    Lift(QuarantineLiftArgs),
}

/// Show suspected and refused content.
#[derive(Debug)]
#[derive(argh::ArgsInfo, argh::FromArgs)]
#[argh(subcommand, name = "list")]
pub struct QuarantineListArgs {
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Take content out of quarantine before it expires.
#[derive(Debug)]
#[derive(argh::ArgsInfo, argh::FromArgs)]
#[argh(subcommand, name = "lift")]
pub struct QuarantineLiftArgs {
    /// fingerprint of the content, or its first digits
    #[argh(positional)]
    pub fingerprint: String,
}

/// Show the events of all entry VMs in causal order.
#[derive(Debug)]
#[derive(argh::ArgsInfo, argh::FromArgs)]
#[argh(
    subcommand,
    name = "timeline",
    example = "{command_name} --since 10m --kind lease,server_dead\n{command_name} --request 3f2a90c1 --format svg --output request.svg"
)]
pub struct TimelineArgs {
    /// only this request: its id (response header x-request-id), or the first digits
    #[argh(option, arg_name = "id")]
    pub request: Option<String>,
    /// only events since then: 30s, 10m, 2h, 2026-03-04T12:00:00Z or unix milliseconds
    #[argh(option, arg_name = "time")]
    pub since: Option<String>,
    /// only these kinds or areas, separated by commas: lease,server_dead
    #[argh(option, arg_name = "kinds")]
    pub kind: Option<String>,
    /// maximum number of events per VM, the newest; by default 100,000 for all VMs together
    #[argh(option, arg_name = "count")]
    pub limit: Option<usize>,
    /// text, jsonl or svg
    #[argh(option, arg_name = "format", default = "OutputFormat::Text")]
    pub format: OutputFormat,
    /// read a time line saved with --format jsonl, and call no entry VM
    #[argh(option, arg_name = "file")]
    pub from: Option<String>,
    /// write to this file instead of standard output
    #[argh(option, arg_name = "file")]
    pub output: Option<String>,
}

/// Output format of a time line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(argh::FromArgValue)]
pub enum OutputFormat {
    /// Human-readable lines.
    Text,
    /// JSON lines.
    Jsonl,
    /// An SVG diagram.
    Svg,
}

/// Explain why one request went where it went, waited, or was refused.
#[derive(Debug)]
#[derive(argh::ArgsInfo, argh::FromArgs)]
#[argh(
    subcommand,
    name = "explain",
    example = "{command_name} 3f2a90c1",
    example = "From saved logs, one file a VM:\n  {command_name} 3f2a90c1 --logs edge-1.log --logs edge-2.log"
)]
pub struct ExplainArgs {
    /// request id (response header x-request-id), or its first digits
    #[argh(positional)]
    pub request: String,
    /// read a time line saved with --format jsonl, and call no entry VM
    #[argh(option, arg_name = "file")]
    pub from: Option<String>,
    /// read a log that pollenedge wrote, and call no entry VM; give one file for each VM
    #[argh(option, arg_name = "file")]
    pub logs: Vec<String>,
}

/// Print completions for bash.
#[derive(Debug)]
#[derive(argh::ArgsInfo, argh::FromArgs)]
#[argh(
    subcommand,
    name = "completions",
    example = "{command_name} > /etc/bash_completion.d/pollenctl"
)]
pub struct CompletionsArgs {}

/// Parses the command line.
///
/// # Errors
/// Output with the requested help, or with the error in the command line.
pub fn parse(words: &[&str]) -> Result<CtlArgs, error::CommandOutput> {
    CtlArgs::from_args(&["pollenctl"], words).map_err(|exit| match exit.status {
        Ok(()) => error::CommandOutput::success(format!("{}\n", exit.output.trim_end())),
        Err(()) => error::CommandOutput {
            text: String::new(),
            error_text: format!(
                "pollenctl: {}{}\nRun `pollenctl --help` or `pollenctl <command> --help` for examples.\n",
                exit.output.trim_end(),
                suggestion(&exit.output)
            ),
            status: error::ExitStatus::Usage,
        },
    })
}

/// Suggests a command for a mistyped one; the library suggests options only.
fn suggestion(parse_error: &str) -> String {
    let Some(given) = parse_error.trim().strip_prefix("Unrecognized argument: ") else {
        return String::new();
    };
    let commands = CtlArgs::get_subcommands();
    let names: Vec<&str> = commands.iter().map(|command| command.name).collect();
    let is_option = given.contains(['-', '"', ' ']);
    match rust_fuzzy_search::fuzzy_search_best_n(given, &names, 1).first() {
        Some((name, score)) if !is_option && *score > 0.0 => format!(". Did you mean \"{name}\"?"),
        _ => String::new(),
    }
}

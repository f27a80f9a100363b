//! Command line of `pollenload`.

use std::{net, path};

/// Generate seeded load against entry VMs, compare runs, and run the demonstration.
#[derive(Debug, PartialEq)]
#[derive(argh::FromArgs)]
#[argh(
    example = "{command_name} demo --faults",
    example = "{command_name} run --scenario examples/pass-works/scenario.jsonc --entries 127.0.0.1:8100,127.0.0.1:8101 --save before.json",
    example = "{command_name} compare before.json after.json",
    example = "{command_name} plot after.json --output after.svg",
    error_code(0, "done; every answer was complete or refused with an error"),
    error_code(1, "an answer was cut, mixed or doubled"),
    error_code(2, "the command line is wrong"),
    error_code(3, "compare: the later run is worse"),
    error_code(4, "the run failed to start, or a file could not be used")
)]
pub struct LoadCommand {
    /// action to perform
    #[argh(subcommand)]
    pub action: LoadAction,
}

/// Action of the command line.
#[derive(Debug, PartialEq)]
#[derive(argh::FromArgs)]
#[argh(subcommand)]
pub enum LoadAction {
    /// The demonstration.
    Demo(DemoAction),
    /// A run against daemons.
    Run(RunAction),
    /// A comparison of two saved runs.
    Compare(CompareAction),
    /// A plot of a saved run.
    Plot(PlotAction),
}

/// Run the whole system in this process on loopback, with the example traffic.
#[derive(Debug, PartialEq)]
#[derive(argh::FromArgs)]
#[argh(
    subcommand,
    name = "demo",
    example = "{command_name} --faults --save demo.json"
)]
pub struct DemoAction {
    /// during the run, kill an engine, silence a connection and stop an entry VM
    #[argh(switch)]
    pub faults: bool,

    /// save the report, as JSON
    #[argh(option)]
    pub save: Option<path::PathBuf>,
}

/// Run a scenario against running entry VMs whose engines are stand-ins.
#[derive(Debug, PartialEq)]
#[derive(argh::FromArgs)]
#[argh(
    subcommand,
    name = "run",
    example = "{command_name} --scenario examples/ridebook/scenario.jsonc --entries 127.0.0.1:8100 --engines 127.0.0.1:9100,127.0.0.1:9101"
)]
pub struct RunAction {
    /// scenario file, JSON with comments
    #[argh(option)]
    pub scenario: path::PathBuf,

    /// comma-separated addresses of the entry VMs that callers query first
    #[argh(option)]
    pub entries: AddressList,

    /// comma-separated addresses of the model engines whose preemptions are counted
    #[argh(option, default = "AddressList::default()")]
    pub engines: AddressList,

    /// seed to use instead of the scenario's
    #[argh(option)]
    pub seed: Option<u64>,

    /// save the report, as JSON
    #[argh(option)]
    pub save: Option<path::PathBuf>,
}

/// Compare two saved runs of one scenario and report whether the later one is worse.
#[derive(Debug, PartialEq)]
#[derive(argh::FromArgs)]
#[argh(
    subcommand,
    name = "compare",
    example = "{command_name} before.json after.json --percent 10 --floor-ms 2"
)]
pub struct CompareAction {
    /// report of the earlier run
    #[argh(positional)]
    pub before: path::PathBuf,

    /// report of the later run
    #[argh(positional)]
    pub after: path::PathBuf,

    /// increase of a time, in percent, above which it counts as worse; default 15
    #[argh(option, default = "15.0")]
    pub percent: f64,

    /// increase of a time, in milliseconds, up to which it counts as noise; default 5
    #[argh(option, default = "5.0")]
    pub floor_ms: f64,
}

/// Draw stall time and inter-token latency of a saved run as SVG.
#[derive(Debug, PartialEq)]
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "plot", example = "{command_name} after.json")]
pub struct PlotAction {
    /// report of the run
    #[argh(positional)]
    pub report: path::PathBuf,

    /// output file; default: the report's path with the extension svg
    #[argh(option)]
    pub output: Option<path::PathBuf>,
}

/// Comma-separated addresses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AddressList(pub Vec<net::SocketAddr>);

impl std::str::FromStr for AddressList {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let address = |part: &str| {
            part.trim()
                .parse()
                .map_err(|_| format!("{part:?} is not an address; write it like 127.0.0.1:8100"))
        };
        text.split(',')
            .map(address)
            .collect::<Result<_, _>>()
            .map(Self)
    }
}

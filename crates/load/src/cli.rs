//! The command line of `pollenload`.

use std::{net, path};

/// Seeded load against entry VMs, experiments, and the demonstration.
#[derive(Debug, PartialEq)]
#[derive(argh::FromArgs)]
#[argh(
    example = "{command_name} demo --faults",
    example = "{command_name} run --scenario examples/pass-works/scenario.jsonc --entries 127.0.0.1:8100,127.0.0.1:8101 --save before.json",
    example = "{command_name} compare before.json after.json",
    example = "{command_name} plot after.json --output after.svg",
    error_code(0, "done; every answer was whole or honestly refused"),
    error_code(1, "an answer was cut, mixed or doubled"),
    error_code(2, "the command line is wrong"),
    error_code(3, "compare: the later run is worse"),
    error_code(4, "the run could not be made, or a file not be used")
)]
pub struct LoadCommand {
    /// what to do
    #[argh(subcommand)]
    pub action: LoadAction,
}

/// What to do.
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
    /// A picture of a saved run.
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
    /// kill an engine, silence a connection and stop an entry VM midway
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

    /// addresses of entry VMs where callers first ask, with commas between
    #[argh(option)]
    pub entries: AddressList,

    /// addresses of model engines whose preemptions are counted, with commas between
    #[argh(option, default = "AddressList::default()")]
    pub engines: AddressList,

    /// seed in place of the scenario's
    #[argh(option)]
    pub seed: Option<u64>,

    /// save the report, as JSON
    #[argh(option)]
    pub save: Option<path::PathBuf>,
}

/// Compare two saved runs of one scenario and say whether the later one is worse.
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

    /// growth of a time, in percent, from which on it is worse; 15 when absent
    #[argh(option, default = "15.0")]
    pub percent: f64,

    /// growth of a time, in milliseconds, up to which it is noise; 5 when absent
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

    /// where to write; absent: beside the report, with the ending svg
    #[argh(option)]
    pub output: Option<path::PathBuf>,
}

/// Addresses with commas between.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AddressList(pub Vec<net::SocketAddr>);

impl std::str::FromStr for AddressList {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let address = |part: &str| {
            part.trim()
                .parse()
                .map_err(|_| format!("{part:?} is no address; write it like 127.0.0.1:8100"))
        };
        text.split(',')
            .map(address)
            .collect::<Result<_, _>>()
            .map(Self)
    }
}

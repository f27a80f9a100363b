//! The command line of `pollenstand`.

use std::path;

/// Runs stand-ins for the systems around pollenchute: model engines, plain service servers, the
/// append-only log, the weight store and the VM list, each on its own listener.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(argh::FromArgs)]
#[argh(
    example = "{command_name} --engines 3 --services 1",
    example = "{command_name} --config examples/stand.jsonc --check",
    note = "Faults are switched by POST /admin/faults on the admin listener, for instance\n{{\"target\": \"engine-0\", \"fault\": {{\"fault\": \"crash\", \"down_ms\": 2000}}}}; docs/STAND-INS.md lists them.",
    error_code(0, "stopped by a signal, or the settings are valid"),
    error_code(1, "failed, for instance because an address was in use"),
    error_code(2, "invalid command line"),
    error_code(3, "invalid settings")
)]
pub struct StandCommand {
    /// settings file in JSON with comments; of the options below only --check and --log-level can
    /// be combined with it
    #[argh(option, arg_name = "file")]
    pub config: Option<path::PathBuf>,

    /// model engines to run on loopback (1)
    #[argh(option, arg_name = "count")]
    pub engines: Option<u16>,

    /// plain service servers to run on loopback (1)
    #[argh(option, arg_name = "count")]
    pub services: Option<u16>,

    /// port of the admin listener; log, weight store and VM list use the next three, engines the
    /// ports from 100 above, plain servers those from 1000 above (7900; with 0 each uses any free
    /// port)
    #[argh(option, arg_name = "port")]
    pub first_port: Option<u16>,

    /// check the settings and exit
    #[argh(switch)]
    pub check: bool,

    /// error, warn, info, debug or trace (default: environment variable RUST_LOG, else info)
    #[argh(option, arg_name = "level")]
    pub log_level: Option<log::LevelFilter>,
}

//! The command line of `pollenstand`.

use std::path;

/// Runs stand-ins for what pollenchute meets: model engines, plain service servers, the
/// append-only log, the weight store and the VM list, each on a listener of its own.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(argh::FromArgs)]
#[argh(
    example = "{command_name} --engines 3 --services 1",
    example = "{command_name} --config examples/stand.jsonc --check",
    note = "Faults are switched by POST /admin/faults on the admin listener, for instance\n{{\"target\": \"engine-0\", \"fault\": {{\"fault\": \"crash\", \"down_ms\": 2000}}}}; docs/STAND-INS.md lists them.",
    error_code(0, "stopped by a signal, or the settings are right"),
    error_code(1, "could not go on, for instance because an address was taken"),
    error_code(2, "the command line is wrong"),
    error_code(3, "the settings are wrong")
)]
pub struct StandCommand {
    /// file of settings in JSON with comments; then no option below may stand beside it but
    /// --check and --log-level
    #[argh(option, arg_name = "file")]
    pub config: Option<path::PathBuf>,

    /// model engines to run on loopback (1)
    #[argh(option, arg_name = "count")]
    pub engines: Option<u16>,

    /// plain service servers to run on loopback (1)
    #[argh(option, arg_name = "count")]
    pub services: Option<u16>,

    /// port of the admin listener; log, weight store and VM list take the next three, engines the
    /// ports from 100 above, plain servers those from 1000 above (7900; 0 is any port for each)
    #[argh(option, arg_name = "port")]
    pub first_port: Option<u16>,

    /// check the settings and exit
    #[argh(switch)]
    pub check: bool,

    /// error, warn, info, debug or trace; else what the environment variable RUST_LOG says, else
    /// info
    #[argh(option, arg_name = "level")]
    pub log_level: Option<log::LevelFilter>,
}

//! Settings of the client, from a JSON file with comments, the environment and the command line.

use std::{fs, net, path, time};

use snafu::{OptionExt as _, ResultExt as _};

use crate::{args, error};

/// The environment variable that holds the operator key.
pub const KEY_VARIABLE: &str = "POLLENCHUTE_OPERATOR_KEY";
/// The environment variable that names the settings file.
pub const SETTINGS_VARIABLE: &str = "POLLENCTL_CONFIG";

const DEFAULT_TIMEOUT_MS: u64 = 5_000;

/// The settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct CtlSettings {
    /// Entry VMs, `IP:port` towards callers and operators; the first that answers is used.
    pub entries: Vec<net::SocketAddr>,
    /// File that holds the operator key and nothing else; the environment goes before it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub operator_key_file: Option<String>,
    /// Timeout of one call to one entry VM, in milliseconds.
    pub timeout_ms: u64,
}

impl Default for CtlSettings {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            operator_key_file: None,
            timeout_ms: DEFAULT_TIMEOUT_MS,
        }
    }
}

impl conf::settings::CheckedSettings for CtlSettings {
    fn contradictions(&self) -> Vec<conf::fault::ConfigFault> {
        let mut faults = Vec::new();
        if self.timeout_ms == 0 {
            let message = "no call can be answered within 0 ms";
            let remedy = "write a greater number or remove it";
            faults.push(conf::fault::ConfigFault::at(
                &["timeout_ms"],
                message,
                remedy,
            ));
        }
        for (index, entry) in self.entries.iter().enumerate() {
            if self.entries[..index].contains(entry) {
                let path = ["entries", &index.to_string()];
                let message = format!("{entry} is listed twice");
                faults.push(conf::fault::ConfigFault::at(&path, message, "remove one"));
            }
        }
        faults
    }
}

/// Inputs of a command other than its arguments.
#[derive(Clone, Debug, Default)]
pub struct CallEnvironment {
    /// Value of [`KEY_VARIABLE`].
    pub operator_key: Option<String>,
    /// Value of [`SETTINGS_VARIABLE`].
    pub settings_file: Option<String>,
    /// Wall clock, in milliseconds since 1970.
    pub now_ms: u64,
}

/// Entry VMs to call, the operator key and the timeout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallSettings {
    /// Addresses of entry VMs, never empty.
    pub entries: Vec<net::SocketAddr>,
    /// The operator key.
    pub key: String,
    /// Timeout of one call.
    pub timeout: time::Duration,
}

/// Reads the settings file that the command line or the environment names, if any.
///
/// # Errors
/// When the file cannot be read or is invalid.
pub fn read(
    args: &args::CtlArgs,
    environment: &CallEnvironment,
) -> Result<CtlSettings, error::CtlError> {
    let Some(file) = args.config.as_ref().or(environment.settings_file.as_ref()) else {
        return Ok(CtlSettings::default());
    };
    let text = fs::read_to_string(file).context(error::ReadFileSnafu { file })?;
    let mut settings: CtlSettings = conf::settings::parse(file, &text)
        .map_err(|faults| error::CtlError::Settings { faults })?;
    settings.operator_key_file = settings
        .operator_key_file
        .map(|name| resolve_relative(file, &name));
    Ok(settings)
}

/// Resolves the settings of calls. The command line takes precedence over the environment, and the
/// environment over the file.
///
/// # Errors
/// When no entry VM or no operator key is given.
pub fn resolve(
    args: &args::CtlArgs,
    environment: &CallEnvironment,
) -> Result<CallSettings, error::CtlError> {
    let settings = read(args, environment)?;
    let entries = if args.entry.is_empty() {
        settings.entries
    } else {
        args.entry.clone()
    };
    snafu::ensure!(!entries.is_empty(), error::NoEntriesSnafu);
    let key = match (&environment.operator_key, &settings.operator_key_file) {
        (Some(key), _) => key.clone(),
        (None, Some(file)) => fs::read_to_string(file).context(error::ReadFileSnafu { file })?,
        (None, None) => return error::NoKeySnafu.fail(),
    };
    let key = Some(key.trim().to_owned()).filter(|key| !key.is_empty());
    Ok(CallSettings {
        entries,
        key: key.context(error::NoKeySnafu)?,
        timeout: time::Duration::from_millis(settings.timeout_ms),
    })
}

/// Resolves `name` relative to the directory of `file`.
fn resolve_relative(file: &str, name: &str) -> String {
    let directory = path::Path::new(file)
        .parent()
        .unwrap_or_else(|| path::Path::new(""));
    directory.join(name).to_string_lossy().into_owned()
}

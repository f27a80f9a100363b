//! Errors of commands, their output and their exit status.

use std::{io, process};

use base::id;
use snafu::Snafu;

/// Exit status of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded.
    Success = 0,
    /// Refused because of an invalid file, a conflict or an unknown name. Nothing took effect.
    Refused = 1,
    /// The command line or the settings are invalid.
    Usage = 2,
    /// No entry VM answered. Nothing took effect.
    Unreachable = 3,
    /// The change may or may not have taken effect; the message says how to find out.
    Undecided = 4,
    /// The timeout expired before the awaited condition held.
    TimedOut = 5,
}

impl From<ExitStatus> for process::ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

/// Output and exit status of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandOutput {
    /// Text for standard output.
    pub text: String,
    /// Text for standard error.
    pub error_text: String,
    /// Exit status.
    pub status: ExitStatus,
}

impl CommandOutput {
    /// Creates the output of a successful command.
    #[must_use]
    pub const fn success(text: String) -> Self {
        Self {
            text,
            error_text: String::new(),
            status: ExitStatus::Success,
        }
    }

    /// Creates the output of a failed command.
    #[must_use]
    pub fn failure(error: &CtlError) -> Self {
        Self {
            text: String::new(),
            error_text: format!("pollenctl: {error}\n"),
            status: error.status(),
        }
    }
}

/// Reason why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CtlError {
    /// A local file could not be read.
    #[snafu(display("cannot read {file}: {source}; check the name and its permissions"))]
    ReadFile {
        /// The file.
        file: String,
        /// The I/O error.
        source: io::Error,
    },
    /// A local file could not be written.
    #[snafu(display("cannot write {file}: {source}; check the directory and its permissions"))]
    WriteFile {
        /// The file.
        file: String,
        /// The I/O error.
        source: io::Error,
    },
    /// The settings file is invalid.
    #[snafu(display("the settings are faulty:\n{faults}"))]
    Settings {
        /// All faults of the file.
        faults: conf::fault::FaultList,
    },
    /// Inventory or rules are invalid.
    #[snafu(display("{} found, nothing was published:\n{faults}", count_text(faults.faults.len(), "fault")))]
    Faulty {
        /// All faults of both files.
        faults: conf::fault::FaultList,
    },
    /// No entry VM is configured.
    #[snafu(display(
        "no entry VM is known; pass --entry IP:PORT, or --config FILE with \"entries\""
    ))]
    NoEntries,
    /// No operator key is configured.
    #[snafu(display(
        "no operator key; set {} or \"operator_key_file\" in the settings",
        crate::settings::KEY_VARIABLE
    ))]
    NoKey,
    /// The command line is invalid.
    #[snafu(display("{message}"))]
    Usage {
        /// The problem and its remedy.
        message: String,
    },
    /// No entry VM answered.
    #[snafu(display(
        "no entry VM answered:\n{}\ncheck the addresses and whether the VMs run",
        indented(attempts)
    ))]
    Unreachable {
        /// The failure of each attempt.
        attempts: Vec<String>,
    },
    /// An entry VM refused the call.
    #[snafu(display("{entry} refused ({status}): {message}"))]
    Refused {
        /// The entry VM.
        entry: String,
        /// The HTTP status.
        status: u16,
        /// The message of the refusal, with its remedy.
        message: String,
    },
    /// A value could not be parsed from or written as JSON.
    #[snafu(display("cannot handle {what} as JSON: {source}; is pollenctl older than the VMs?"))]
    Json {
        /// The value.
        what: String,
        /// The JSON error.
        source: serde_json::Error,
    },
    /// A concurrent change was accepted first.
    #[snafu(display("{message}"))]
    Conflict {
        /// The conflicting changes and the remedy.
        message: String,
    },
    /// The changed configuration would be invalid.
    #[snafu(display(
        "the configuration would be faulty, nothing was published:\n{}",
        indented(faults)
    ))]
    Invalid {
        /// All faults.
        faults: Vec<String>,
    },
    /// The log did not decide in time.
    #[snafu(display(
        "not decided in time ({reason}): the change may yet take effect; run the same command \
         again with --record {record}, which is safe, or look for it in `pollenctl history`"
    ))]
    Undecided {
        /// The last attempt without a decision.
        reason: String,
        /// Id of the record on the log.
        record: id::RecordId,
    },
    /// The requested item was not found.
    #[snafu(display("{message}"))]
    NotFound {
        /// The problem and its remedy.
        message: String,
    },
}

impl CtlError {
    /// Returns the exit status for the error.
    #[must_use]
    pub const fn status(&self) -> ExitStatus {
        match self {
            Self::ReadFile { .. }
            | Self::WriteFile { .. }
            | Self::Settings { .. }
            | Self::NoEntries
            | Self::NoKey
            | Self::Usage { .. } => ExitStatus::Usage,
            Self::Faulty { .. }
            | Self::Refused { .. }
            | Self::Json { .. }
            | Self::Conflict { .. }
            | Self::Invalid { .. }
            | Self::NotFound { .. } => ExitStatus::Refused,
            Self::Unreachable { .. } => ExitStatus::Unreachable,
            Self::Undecided { .. } => ExitStatus::Undecided,
        }
    }
}

/// Formats a count with its noun, such as `1 fault` or `2 faults`.
#[must_use]
pub fn count_text(count: usize, noun: &str) -> String {
    let ending = if count == 1 { "" } else { "s" };
    format!("{count} {noun}{ending}")
}

fn indented(lines: &[String]) -> String {
    let lines: Vec<String> = lines.iter().map(|line| format!("  {line}")).collect();
    lines.join("\n")
}

//! What can go wrong, and how a program that called us sees it.

use std::{io, process};

use base::id;
use snafu::Snafu;

/// How a command ended, for the shell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// Done.
    Success = 0,
    /// Refused: a faulty file, a conflict, an unknown name. Nothing took effect.
    Refused = 1,
    /// The command line or the settings make no sense.
    Usage = 2,
    /// No entry VM answered. Nothing took effect.
    Unreachable = 3,
    /// It may have taken effect or not; the message says how to find out.
    Undecided = 4,
    /// What was waited for had not come when the time was up.
    TimedOut = 5,
}

impl From<ExitStatus> for process::ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

/// What a command prints, and how it ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandOutput {
    /// For the standard output.
    pub text: String,
    /// For the standard error output.
    pub complaint: String,
    /// How it ended.
    pub status: ExitStatus,
}

impl CommandOutput {
    /// A command that did what it should.
    #[must_use]
    pub const fn success(text: String) -> Self {
        Self {
            text,
            complaint: String::new(),
            status: ExitStatus::Success,
        }
    }

    /// A command that ended early.
    #[must_use]
    pub fn failure(error: &CtlError) -> Self {
        Self {
            text: String::new(),
            complaint: format!("pollenctl: {error}\n"),
            status: error.status(),
        }
    }
}

/// Why a command ended early.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CtlError {
    /// A file of ours could not be read.
    #[snafu(display("cannot read {file}: {source}; check the name and its permissions"))]
    ReadFile {
        /// The file.
        file: String,
        /// What the system says.
        source: io::Error,
    },
    /// A file of ours could not be written.
    #[snafu(display("cannot write {file}: {source}; check the directory and its permissions"))]
    WriteFile {
        /// The file.
        file: String,
        /// What the system says.
        source: io::Error,
    },
    /// A settings file is faulty.
    #[snafu(display("the settings are faulty:\n{faults}"))]
    Settings {
        /// All its faults.
        faults: conf::fault::FaultList,
    },
    /// Inventory or rules are faulty.
    #[snafu(display("{} found, nothing was published:\n{faults}", count_text(faults.faults.len(), "fault")))]
    Faulty {
        /// All faults of both files.
        faults: conf::fault::FaultList,
    },
    /// No entry VM is known.
    #[snafu(display(
        "no entry VM is known; pass --entry IP:PORT, or --config FILE with \"entries\""
    ))]
    NoEntries,
    /// No operator key is known.
    #[snafu(display(
        "no operator key; set {} or \"operator_key_file\" in the settings",
        crate::settings::KEY_VARIABLE
    ))]
    NoKey,
    /// The command line asks for something that makes no sense.
    #[snafu(display("{message}"))]
    Usage {
        /// What, and what to do.
        message: String,
    },
    /// No entry VM answered.
    #[snafu(display(
        "no entry VM answered:\n{}\ncheck the addresses and whether the VMs run",
        indented(attempts)
    ))]
    Unreachable {
        /// What came of each.
        attempts: Vec<String>,
    },
    /// An entry VM refused.
    #[snafu(display("{entry} refused ({status}): {message}"))]
    Refused {
        /// The entry VM.
        entry: String,
        /// The HTTP status.
        status: u16,
        /// What it says, with the remedy.
        message: String,
    },
    /// An answer or a state of ours cannot be handled as JSON.
    #[snafu(display("cannot handle {what} as JSON: {source}; is pollenctl older than the VMs?"))]
    Json {
        /// What.
        what: String,
        /// How it fails.
        source: serde_json::Error,
    },
    /// Another change was first.
    #[snafu(display("{message}"))]
    Conflict {
        /// Who changed what, and what to do.
        message: String,
    },
    /// The changed configuration would be faulty.
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
        /// What happened last.
        reason: String,
        /// Id of the record.
        record: id::RecordId,
    },
    /// Nothing is known of what was asked for.
    #[snafu(display("{message}"))]
    NotFound {
        /// What, and what to do.
        message: String,
    },
}

impl CtlError {
    /// How the shell sees it.
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

/// `1 fault`, `2 faults`.
#[must_use]
pub fn count_text(count: usize, noun: &str) -> String {
    let ending = if count == 1 { "" } else { "s" };
    format!("{count} {noun}{ending}")
}

fn indented(lines: &[String]) -> String {
    let lines: Vec<String> = lines.iter().map(|line| format!("  {line}")).collect();
    lines.join("\n")
}

//! Exit codes of `pollenstand`.

use std::process;

/// Outcome of the process; determines its exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitKind {
    /// The command succeeded.
    Success,
    /// The command failed, for instance because an address was in use.
    Failed,
    /// The command line is wrong.
    Usage,
    /// The settings are wrong.
    Settings,
}

impl ExitKind {
    /// Returns the exit code.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Failed => 1,
            Self::Usage => 2,
            Self::Settings => 3,
        }
    }
}

impl From<ExitKind> for process::ExitCode {
    fn from(kind: ExitKind) -> Self {
        Self::from(kind.code())
    }
}

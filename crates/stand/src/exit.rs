//! How `pollenstand` ends.

use std::process;

/// Kind of an end; its number is the process's exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitKind {
    /// It did what it was told.
    Success,
    /// It could not go on, for instance because an address was taken.
    Failed,
    /// The command line is wrong.
    Usage,
    /// The settings are wrong.
    Settings,
}

impl ExitKind {
    /// The exit code.
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

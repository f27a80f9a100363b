//! Exit codes of `pollenload`.

use std::process;

/// Result of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitKind {
    /// The action completed, and no answer was cut, mixed or doubled.
    Success,
    /// An answer was cut, mixed or doubled.
    BrokenAnswers,
    /// The command line is invalid.
    Usage,
    /// The later of two compared runs is worse.
    Worse,
    /// The run failed to start, or a file could not be read or written.
    Failed,
}

impl ExitKind {
    /// Returns the exit code of the process.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::BrokenAnswers => 1,
            Self::Usage => 2,
            Self::Worse => 3,
            Self::Failed => 4,
        }
    }
}

impl From<ExitKind> for process::ExitCode {
    fn from(kind: ExitKind) -> Self {
        Self::from(kind.code())
    }
}

//! Exit codes of `pollenload`.

use std::process;

/// How the program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitKind {
    /// Everything asked for was done; no answer broke a promise.
    Success,
    /// An answer was cut, mixed or doubled.
    BrokenAnswers,
    /// The command line is wrong.
    Usage,
    /// The later of two compared runs is worse.
    Worse,
    /// The run could not be made, or a file not be read or written.
    Failed,
}

impl ExitKind {
    /// The number that the shell sees.
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

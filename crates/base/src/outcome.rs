//! The three-valued outcome of an attempt, and how a request ended.

/// Whether a request ran on a backend server, as far as this process can prove.
///
/// `No` is a guarantee; `Unknown` is reported when a reply was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RanState {
    /// Provably no backend server ran any part of the request.
    No,
    /// The request ran.
    Yes,
    /// The request may have run.
    Unknown,
}

impl RanState {
    /// Combines the states of two attempts of a request: `No` only when both are `No`.
    #[must_use]
    pub const fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::No, Self::No) => Self::No,
            (Self::Yes, _) | (_, Self::Yes) => Self::Yes,
            (Self::Unknown, _) | (_, Self::Unknown) => Self::Unknown,
        }
    }
}

/// How a request ended, as written in the field `end` of its last log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// The caller received the complete answer.
    Whole,
    /// The caller disconnected before the end of the answer.
    Left,
    /// The request was refused, its answer was cut off, or the server answered with an error.
    Failed,
}

impl EndKind {
    /// The value of the field `end`.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Left => "left",
            Self::Failed => "failed",
        }
    }
}

/// Whether the status of an HTTP answer is that of a final one. HTTP clients also return a change of
/// protocol, which nobody asks for, and any other number of three digits that does not begin with a
/// zero: such an answer proves nothing.
#[must_use]
pub const fn is_final_status(status: u16) -> bool {
    200 <= status && status <= 599
}

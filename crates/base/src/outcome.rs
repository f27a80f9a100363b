//! The three-valued outcome of a try, and how a request ended.

/// Whether a request ran on a backend server, as far as this process can prove.
///
/// `No` is a promise, `Unknown` is the honest answer to a lost reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RanState {
    /// It is proved that no backend server ran any part of it.
    No,
    /// It ran.
    Yes,
    /// It may have run.
    Unknown,
}

impl RanState {
    /// The state of a request after two tries: `No` only when both are `No`.
    #[must_use]
    pub const fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::No, Self::No) => Self::No,
            (Self::Yes, _) | (_, Self::Yes) => Self::Yes,
            (Self::Unknown, _) | (_, Self::Unknown) => Self::Unknown,
        }
    }
}

/// How a request ended, as the field `end` of its last log line says it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// The caller had all of it.
    Whole,
    /// The caller left before.
    Left,
    /// Refused, cut, or answered with a server's fault.
    Failed,
}

impl EndKind {
    /// As written.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Left => "left",
            Self::Failed => "failed",
        }
    }
}

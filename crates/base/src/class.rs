//! Traffic classes: how long a request may wait, and which requests it must never wait behind.

use std::fmt;

/// How long a request may wait.
///
/// The order is the order of service: a class never waits behind a greater one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TrafficClass {
    /// A person is blocked until the answer arrives, for instance at a gate.
    Urgent,
    /// Interactive, without a hard latency bound.
    Normal,
    /// May wait for minutes, but once accepted is never dropped.
    Deferrable,
}

impl TrafficClass {
    /// All classes, in order of service.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Deferrable];

    /// Index into tables of one value per class: 0, 1 or 2.
    #[must_use]
    pub const fn index(self) -> usize {
        self as usize
    }

    /// The name used in settings, metrics and JSON.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Normal => "normal",
            Self::Deferrable => "deferrable",
        }
    }
}

impl fmt::Display for TrafficClass {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

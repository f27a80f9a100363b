//! Which events are wanted.

use base::id;
use snafu::Snafu;

use crate::{clock, kind};

/// A filter over events; every field present must match.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventQuery {
    /// Only events about this request.
    pub request: Option<id::RequestId>,
    /// Only events at or after this moment, in milliseconds since 1970.
    pub since_ms: Option<u64>,
    /// Only events whose kind matches one of these; empty: all.
    pub kinds: Vec<KindFilter>,
    /// At most this many, the newest; absent: all that are kept.
    pub limit: Option<usize>,
}

impl EventQuery {
    /// Whether an event with these parts is wanted; `limit` is not looked at.
    #[must_use]
    pub fn matches(
        &self,
        stamp: clock::HybridStamp,
        request: Option<id::RequestId>,
        kind: &kind::EventKind,
    ) -> bool {
        let in_time = self
            .since_ms
            .is_none_or(|since_ms| stamp.wall_ms() >= since_ms);
        let in_request = self.request.is_none_or(|wanted| request == Some(wanted));
        let in_kind = self.kinds.is_empty() || self.kinds.iter().any(|filter| filter.matches(kind));
        in_time && in_request && in_kind
    }
}

/// A kind by its name (`lease_lost`) or all kinds of an area (`lease`).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KindFilter(String);

/// The filter names no kind.
#[derive(Debug, Snafu)]
#[snafu(display(
    "no kind of event is called {name:?}; use an area ({areas}) or a whole name such as lease_lost"
))]
pub struct KindError {
    name: String,
    areas: String,
}

impl KindFilter {
    /// Parses one name or area.
    ///
    /// # Errors
    /// [`KindError`] when nothing is called so.
    pub fn parse(name: &str) -> Result<Self, KindError> {
        let filter = Self(name.to_owned());
        if kind::EventKind::NAMES
            .iter()
            .any(|known| filter.covers(known))
        {
            return Ok(filter);
        }
        let areas = areas().join(", ");
        KindSnafu { name, areas }.fail()
    }

    /// Parses several, with commas between them.
    ///
    /// # Errors
    /// [`KindError`] for the first that names nothing.
    pub fn parse_list(text: &str) -> Result<Vec<Self>, KindError> {
        text.split(',')
            .map(str::trim)
            .filter(|name| !name.is_empty())
            .map(Self::parse)
            .collect()
    }

    /// Whether `kind` is wanted.
    #[must_use]
    pub fn matches(&self, kind: &kind::EventKind) -> bool {
        self.covers(kind.name())
    }

    /// The name or area as it was given.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.0
    }

    fn covers(&self, name: &str) -> bool {
        name.strip_prefix(self.0.as_str())
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('_'))
    }
}

/// The areas of events, in the order of declaration.
#[must_use]
pub fn areas() -> Vec<&'static str> {
    let mut areas: Vec<&'static str> = Vec::new();
    for name in kind::EventKind::NAMES {
        let area = name.split('_').next().unwrap_or(name);
        if !areas.contains(&area) {
            areas.push(area);
        }
    }
    areas
}

//! Queries that select events by request, time and kind.

use base::id;
use snafu::Snafu;

use crate::{clock, kind};

/// Maximum number of events in one answer, whatever limit the query requests.
///
/// Without it one operator's call would make an entry VM build an answer as large as its complete
/// ring while it serves requests.
pub const MAX_LIMIT: usize = 20_000;

/// A query that cannot be answered.
#[derive(Debug, Snafu)]
pub enum QueryError {
    /// The filter names no known kind or area.
    #[snafu(display(
        "no kind of event is called {name:?}; use an area ({areas}) or a complete name such as lease_lost"
    ))]
    UnknownKind {
        /// The given name.
        name: String,
        /// The known areas.
        areas: String,
    },
    /// The text is not a prefix of a request id.
    #[snafu(display(
        "{text:?} is no request id; give its 32 hexadecimal digits, or the first of them, as in x-request-id"
    ))]
    BadRequest {
        /// The given text.
        text: String,
    },
}

/// A filter over events; every field present must match.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventQuery {
    /// Only events of requests whose id has this prefix.
    pub request: Option<RequestPrefix>,
    /// Only events at or after this time, in milliseconds since 1970.
    pub since_ms: Option<u64>,
    /// Only events whose kind matches one of these; empty: all.
    pub kinds: Vec<KindFilter>,
    /// Maximum number of events, keeping the newest; absent: all retained events.
    pub limit: Option<usize>,
}

impl EventQuery {
    /// Builds a query from the parameters of `GET /ops/timeline`.
    ///
    /// # Errors
    /// [`QueryError`] for the first invalid parameter.
    pub fn from_parts(
        request: Option<&str>,
        since_ms: Option<u64>,
        kind: Option<&str>,
        limit: Option<usize>,
    ) -> Result<Self, QueryError> {
        Ok(Self {
            request: request.map(RequestPrefix::parse).transpose()?,
            since_ms,
            kinds: KindFilter::parse_list(kind.unwrap_or_default())?,
            limit: Some(limit.unwrap_or(MAX_LIMIT).min(MAX_LIMIT)),
        })
    }

    /// Returns whether an event with these parts matches; `limit` is ignored.
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
        let in_request = self
            .request
            .is_none_or(|prefix| request.is_some_and(|request| prefix.matches(request)));
        let in_kind = self.kinds.is_empty() || self.kinds.iter().any(|filter| filter.matches(kind));
        in_time && in_request && in_kind
    }
}

/// A filter for one kind by its name (`lease_lost`) or for all kinds of an area (`lease`).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KindFilter(String);

impl KindFilter {
    /// Parses one name or area.
    ///
    /// # Errors
    /// [`QueryError`] when no kind or area has that name.
    pub fn parse(name: &str) -> Result<Self, QueryError> {
        let filter = Self(name.to_owned());
        if kind::EventKind::NAMES
            .iter()
            .any(|known| filter.covers(known))
        {
            return Ok(filter);
        }
        let areas = areas().join(", ");
        UnknownKindSnafu { name, areas }.fail()
    }

    /// Parses a comma-separated list of names or areas.
    ///
    /// # Errors
    /// [`QueryError`] for the first unknown name.
    pub fn parse_list(text: &str) -> Result<Vec<Self>, QueryError> {
        text.split(',')
            .map(str::trim)
            .filter(|name| !name.is_empty())
            .map(Self::parse)
            .collect()
    }

    /// Returns whether the filter matches `kind`.
    #[must_use]
    pub fn matches(&self, kind: &kind::EventKind) -> bool {
        self.covers(kind.name())
    }

    /// Returns the name or area as given.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.0
    }

    fn covers(&self, name: &str) -> bool {
        name.strip_prefix(self.0.as_str())
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('_'))
    }
}

/// A prefix of a request id, in hexadecimal digits, up to the complete id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestPrefix {
    /// The given digits, right-aligned.
    digits: u128,
    /// Number of given digits, from 1 to 32.
    count: u32,
}

impl RequestPrefix {
    const ALL_DIGITS: u32 = 32;

    /// Parses 1 to 32 hexadecimal digits.
    ///
    /// # Errors
    /// [`QueryError::BadRequest`] for anything else.
    pub fn parse(text: &str) -> Result<Self, QueryError> {
        let is_digits = text.bytes().all(|letter| letter.is_ascii_hexdigit());
        let count = u32::try_from(text.len()).unwrap_or(u32::MAX);
        match u128::from_str_radix(text, 16) {
            Ok(digits) if is_digits && count <= Self::ALL_DIGITS => Ok(Self { digits, count }),
            _ => BadRequestSnafu { text }.fail(),
        }
    }

    /// Returns whether the id of `request` has this prefix.
    #[must_use]
    pub const fn matches(self, request: id::RequestId) -> bool {
        request.0 >> (4 * (Self::ALL_DIGITS - self.count)) == self.digits
    }
}

impl From<id::RequestId> for RequestPrefix {
    fn from(request: id::RequestId) -> Self {
        Self {
            digits: request.0,
            count: Self::ALL_DIGITS,
        }
    }
}

/// Returns the areas of events, in the order of declaration.
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

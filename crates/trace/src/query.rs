//! Which events are wanted.

use base::id;
use snafu::Snafu;

use crate::{clock, kind};

/// Events in one answer at the most, whatever was asked for.
///
/// Without the bound one operator's call would make an entry VM build an answer as large as its
/// whole ring, beside the requests that it serves.
pub const MAX_LIMIT: usize = 20_000;

/// A query that cannot be answered.
#[derive(Debug, Snafu)]
pub enum QueryError {
    /// The filter names no kind.
    #[snafu(display(
        "no kind of event is called {name:?}; use an area ({areas}) or a whole name such as lease_lost"
    ))]
    UnknownKind {
        /// What was given.
        name: String,
        /// What there is.
        areas: String,
    },
    /// The text is no beginning of a request's id.
    #[snafu(display(
        "{text:?} is no request id; give its 32 hexadecimal digits, or the first of them, as in x-request-id"
    ))]
    BadRequest {
        /// What was given.
        text: String,
    },
}

/// A filter over events; every field present must match.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventQuery {
    /// Only events about the requests whose id begins so.
    pub request: Option<RequestPrefix>,
    /// Only events at or after this moment, in milliseconds since 1970.
    pub since_ms: Option<u64>,
    /// Only events whose kind matches one of these; empty: all.
    pub kinds: Vec<KindFilter>,
    /// At most this many, the newest; absent: all that are kept.
    pub limit: Option<usize>,
}

impl EventQuery {
    /// The query that the parameters of `GET /ops/timeline` spell.
    ///
    /// # Errors
    /// [`QueryError`] for the first parameter that means nothing.
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
        let in_request = self
            .request
            .is_none_or(|prefix| request.is_some_and(|request| prefix.matches(request)));
        let in_kind = self.kinds.is_empty() || self.kinds.iter().any(|filter| filter.matches(kind));
        in_time && in_request && in_kind
    }
}

/// A kind by its name (`lease_lost`) or all kinds of an area (`lease`).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KindFilter(String);

impl KindFilter {
    /// Parses one name or area.
    ///
    /// # Errors
    /// [`QueryError`] when nothing is called so.
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

    /// Parses several, with commas between them.
    ///
    /// # Errors
    /// [`QueryError`] for the first that names nothing.
    pub fn parse_list(text: &str) -> Result<Vec<Self>, QueryError> {
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

/// The first digits of a request's id, or all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestPrefix {
    /// The digits given, at the low end.
    digits: u128,
    /// How many were given, from 1 to 32.
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

    /// Whether the id of `request` begins so.
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

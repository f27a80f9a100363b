//! The configuration in force, as the plane uses it: routes, services, organisations.

use std::{collections, time};

/// What may be done again with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ExchangeKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once; the answer is short.
    Once,
    /// Runs at most once; the answer is a series of events.
    Stream,
}

impl ExchangeKind {
    /// The name used in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::Once => "once",
            Self::Stream => "stream",
        }
    }
}

/// One part of a route's traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSplit {
    /// Service that gets it.
    pub service: String,
    /// Its share is this over the sum of the route's weights.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRule {
    /// Name for logs and metrics.
    pub name: String,
    /// Host that it belongs to, without a port.
    pub host: String,
    /// Begins and ends with a slash.
    pub prefix: String,
    /// What may be done again.
    pub kind: ExchangeKind,
    /// Longest that a caller is kept waiting.
    pub timeout: time::Duration,
    /// Latency at which an answer is on time.
    pub aim: time::Duration,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Never empty; the weights' sum is above 0.
    pub splits: Vec<ServiceSplit>,
    /// Most backend servers that one request may be sent to; at least 1.
    pub attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
}

/// What is known of the engines of a service of generations.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineRule {
    /// Tokens that one engine's memory holds.
    pub memory_tokens: u64,
    /// Whether running generations can be copied to other engines.
    pub moves: bool,
    /// Whether an engine can keep a copy up to date elsewhere while a generation runs.
    pub backups: bool,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// Microseconds that the memory of one token needs on the link between two engines of a failure
    /// domain; twice as many between domains.
    pub copy_us_per_token: f64,
    /// Longest that memory can be set aside for a request; absent where it can't.
    pub reservation: Option<time::Duration>,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Connections that one server takes from all entry VMs together.
    pub connections: u32,
    /// Present for services of generations.
    pub engine: Option<EngineRule>,
}

/// One organisation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrganisationRule {
    /// The name that backend servers are told.
    pub name: String,
    /// Rank that goes before its routes' ranks.
    pub priority: Option<u8>,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time that a connection may stay idle.
    pub idle: time::Duration,
}

/// One accepted configuration.
#[derive(Clone, Debug)]
pub struct RouteCatalog {
    /// Grows with each change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<RouteRule>,
    /// Services by name.
    pub services: collections::HashMap<String, ServiceRule>,
    /// Organisations, in the order of the document.
    pub organisations: Vec<OrganisationRule>,
    /// Place in `organisations` of each key's holder.
    pub keys: collections::HashMap<String, usize>,
    /// Whether callers must show a key at all.
    pub keyed: bool,
    /// Limits of callers.
    pub limits: CallerLimits,
}

/// Why a request has no route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteFault {
    /// No route begins its path.
    NoRoute,
    /// It needs a key and has none that is known.
    NoKey,
}

impl RouteCatalog {
    /// The route with the longest prefix that begins `path`, among those of `host`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let host = host.split(':').next().unwrap_or(host);
        self.routes
            .iter()
            .filter(|route| {
                route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.prefix)
            })
            .max_by_key(|route| route.prefix.len())
    }

    /// The route and the organisation of a request.
    ///
    /// # Errors
    ///
    /// When no route matches, or the route needs a key that nobody holds.
    pub fn admit(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<(&RouteRule, Option<&OrganisationRule>), RouteFault> {
        let route = self.route(host, path).ok_or(RouteFault::NoRoute)?;
        let place = key.and_then(|key| self.keys.get(key));
        let organisation = place.and_then(|&place| self.organisations.get(place));
        if organisation.is_none() && self.keyed && !route.public {
            return Err(RouteFault::NoKey);
        }
        Ok((route, organisation))
    }
}

impl RouteRule {
    /// The service that a request goes to: always the same for the same `draw`, and in proportion
    /// to the weights over many.
    #[must_use]
    pub fn service(&self, draw: u64) -> &str {
        let total: u64 = self
            .splits
            .iter()
            .map(|split| u64::from(split.weight))
            .sum();
        let mut point = draw % total.max(1);
        for split in &self.splits {
            let weight = u64::from(split.weight);
            if point < weight {
                return &split.service;
            }
            point -= weight;
        }
        &self.splits[0].service
    }
}

//! Choice of a server among the candidates, by predicted time to first token (taking cached
//! prefixes into account) and recent failures. Among the servers with nearly the best score, one is
//! drawn at random, weighted by expected free capacity.
//!
//! Many entry VMs read the same delayed report. If each chose the engine with the most free
//! capacity, all would send their urgent work there until the next report and overfill it. With a
//! weighted draw, the combined load of all VMs matches the capacity available.

use base::id;
use rand::{Rng, RngExt as _};
use tokio::time;

use crate::{admission, affinity, explain, request, risk, settings, share, view};

/// Maximum number of candidates compared in one decision.
pub const MAX_CANDIDATES: usize = 64;

/// Number of step durations without any sign of life after which a server counts as unhealthy.
const SILENCE_TIMEOUT_STEPS: f32 = 25.0;

/// Lower bound of the silence timeout, in seconds.
const MIN_SILENCE_TIMEOUT_S: f32 = 0.75;

/// Weight in the draw of an engine that is expected to be full.
const MIN_DRAW_WEIGHT: f32 = 0.1;

/// Decayed failure score above which a server is excluded. Between [`PROBE_THRESHOLD`] and this
/// score it gets one generation at a time.
const EXCLUSION_THRESHOLD: f32 = 0.5;

/// Decayed failure score below which failures do not affect health.
const PROBE_THRESHOLD: f32 = 0.05;

/// Request for a server.
#[derive(Debug)]
pub struct RouteQuery<'a> {
    /// Generation to place.
    pub request: &'a request::GenerationRequest,
    /// Memory load that the generation would add to a server.
    pub load: &'a risk::MemoryLoad,
    /// Bounds on the admission to each server.
    pub bounds: &'a admission::AdmissionBounds,
    /// Server that is reserved for another request and must not be chosen.
    pub reserved: Option<id::ServerKey>,
    /// Learnt rate of prefill, in prompt tokens per second.
    pub prefill_rate: f32,
}

/// Result of a choice.
#[derive(Clone, Copy, Debug)]
pub struct RouteChoice {
    /// Chosen server.
    pub server: id::ServerKey,
    /// Reason for the choice.
    pub cause: explain::ChoiceCause,
    /// Number of servers with free capacity.
    pub candidates: u16,
    /// Predicted time to first token, in seconds.
    pub first_token: f32,
    /// Prompt tokens predicted to be in the server's cache.
    pub cached: u32,
    /// Expected number of prompt tokens that the server has to prefill.
    pub prefill: f32,
}

#[derive(Clone, Copy)]
struct ScoredServer {
    server: id::ServerKey,
    score: f32,
    first_token: f32,
    free: f32,
    prefix: affinity::PrefixEstimate,
}

/// Inputs that are the same for all choices of one decision.
#[derive(Debug)]
pub struct RouteContext<'a> {
    /// All known servers.
    pub servers: &'a slotmap::SecondaryMap<id::ServerKey, view::ServerView>,
    /// Predicted cache hits for the prompt.
    pub estimates: &'a affinity::EstimateList,
    /// This VM's share of each server.
    pub shares: &'a share::ShareTable,
    /// Policy settings.
    pub settings: &'a settings::PolicySettings,
    /// Time of the decision.
    pub now: time::Instant,
}

/// Returns whether a server's health permits new work.
#[must_use]
pub fn healthy(server: &view::ServerView, now: time::Instant) -> bool {
    if server.leaving || server.suspected {
        return false;
    }
    let failure = server.failure(now);
    if failure > EXCLUSION_THRESHOLD || (failure > PROBE_THRESHOLD && server.unstarted > 0) {
        return false;
    }
    let silence = now
        .saturating_duration_since(server.active_at)
        .as_secs_f32();
    let silent = silence > MIN_SILENCE_TIMEOUT_S.max(SILENCE_TIMEOUT_STEPS * server.step);
    !(silent && server.own.running >= 1.0)
}

impl RouteContext<'_> {
    /// Chooses a server among `candidates`.
    ///
    /// # Errors
    ///
    /// Returns what the request has to wait for if no candidate can take it.
    pub fn choose<R: Rng + ?Sized>(
        &self,
        candidates: &[id::ServerKey],
        query: &RouteQuery<'_>,
        rng: &mut R,
    ) -> Result<RouteChoice, explain::WaitCause> {
        let none = ScoredServer {
            server: id::ServerKey::default(),
            score: f32::INFINITY,
            first_token: 0.0,
            free: 0.0,
            prefix: affinity::PrefixEstimate::default(),
        };
        let mut scored = [none; MAX_CANDIDATES];
        let mut found = self.score_all(candidates, query, true, &mut scored);
        if matches!(found, Err(explain::WaitCause::Server)) {
            // All healthy servers were tried before. Retrying one of them is better than not
            // running.
            found = self.score_all(candidates, query, false, &mut scored);
        }
        let count = found?;
        Ok(self.draw(&scored[..count], query, rng))
    }

    fn score_all(
        &self,
        candidates: &[id::ServerKey],
        query: &RouteQuery<'_>,
        skip_avoided: bool,
        scored: &mut [ScoredServer; MAX_CANDIDATES],
    ) -> Result<usize, explain::WaitCause> {
        let mut count = 0;
        let mut cause = explain::WaitCause::Server;
        for &key in candidates.iter().take(MAX_CANDIDATES) {
            if skip_avoided && query.request.avoid.contains(key) {
                continue;
            }
            match self.score(key, query) {
                Ok(server) => {
                    scored[count] = server;
                    count += 1;
                }
                Err(wait) => cause = cause.max(wait),
            }
        }
        if count == 0 { Err(cause) } else { Ok(count) }
    }

    fn score(
        &self,
        key: id::ServerKey,
        query: &RouteQuery<'_>,
    ) -> Result<ScoredServer, explain::WaitCause> {
        let usable = query.reserved != Some(key);
        let server = self.servers.get(key).filter(|_| usable);
        let server = server.ok_or(explain::WaitCause::Server)?;
        if !healthy(server, self.now) {
            return Err(explain::WaitCause::Server);
        }
        let default = 1.0 / self.settings.entries.max(1) as f32;
        let share = self.shares.share(key).unwrap_or(default);
        let capacity_share =
            admission::CapacityShare::of_server(share, server, self.settings.min_reuse);
        let state = admission::assess(server, query.load, query.bounds, capacity_share, self.now);
        if let Some(shortage) = state.shortage
            && (query.bounds.shared || server.unstarted >= self.settings.urgent_overcommit)
        {
            return Err(shortage);
        }
        let prefix = self.estimates.get(key);
        let first_token = self.first_token(server, query, prefix.expected);
        let score = first_token
            + self.settings.failure_weight.as_secs_f32() * server.failure(self.now)
            + self.distance_penalty(server);
        Ok(ScoredServer {
            server: key,
            score,
            first_token,
            free: state.free,
            prefix,
        })
    }

    fn distance_penalty(&self, server: &view::ServerView) -> f32 {
        let (own, server_location) = (self.settings.location, server.spec.location);
        if own.region != server_location.region {
            self.settings.region_penalty.as_secs_f32()
        } else if own.failure_domain != server_location.failure_domain {
            self.settings.domain_penalty.as_secs_f32()
        } else {
            0.0
        }
    }

    fn first_token(&self, server: &view::ServerView, query: &RouteQuery<'_>, cached: f32) -> f32 {
        let uncached = (query.request.prompt_tokens as f32 - cached).max(1.0);
        let queued = server.report.map_or(0, |report| report.waiting) as f32;
        let steps = 1.0 + queued;
        server
            .step
            .mul_add(steps, (server.prefill + uncached) / query.prefill_rate)
    }

    fn draw<R: Rng + ?Sized>(
        &self,
        scored: &[ScoredServer],
        query: &RouteQuery<'_>,
        rng: &mut R,
    ) -> RouteChoice {
        let best = scored
            .iter()
            .map(|server| server.score)
            .fold(f32::INFINITY, f32::min);
        let bound = best + self.settings.near_best.as_secs_f32();
        let near = || scored.iter().filter(|server| server.score <= bound);
        let count = near().count();
        let weight = |server: &ScoredServer| server.free.max(MIN_DRAW_WEIGHT);
        let mut drawn = rng.random::<f32>() * near().map(weight).sum::<f32>();
        let passed = near().take_while(|server| {
            drawn -= weight(server);
            drawn >= 0.0
        });
        let index = passed.count().min(count.saturating_sub(1));
        let chosen = near().nth(index).unwrap_or(&scored[0]);
        let cause = if scored.len() == 1 {
            explain::ChoiceCause::Only
        } else if chosen.prefix.tokens > 0 {
            explain::ChoiceCause::Prefix
        } else if count > 1 {
            explain::ChoiceCause::Drawn
        } else {
            explain::ChoiceCause::Soonest
        };
        let uncached = query.request.prompt_tokens as f32 - chosen.prefix.expected;
        RouteChoice {
            server: chosen.server,
            cause,
            candidates: scored.len() as u16,
            first_token: chosen.first_token,
            cached: chosen.prefix.tokens,
            prefill: uncached.max(1.0),
        }
    }
}

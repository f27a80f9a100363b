//! Choice of a server among candidates: predicted time to first token with cached prefixes, and
//! recent failures; among the near-best at random, in proportion to the room that each is
//! expected to have.
//!
//! Many entry VMs read the same lagged report. Were each to choose the engine with the most room,
//! all would send their urgent work there until the next report, and overfill it. Drawn in
//! proportion to the room, what all of them send together meets the room that there is.

use base::id;
use rand::{Rng, RngExt as _};
use tokio::time;

use crate::{admission, affinity, explain, request, risk, settings, share, view};

/// Most candidates compared in one decision.
pub const MAX_CANDIDATES: usize = 64;

/// A server that shows nothing for this many steps is taken to be in trouble.
const SILENCE_TIMEOUT_STEPS: f32 = 25.0;

/// The same in seconds, at least.
const MIN_SILENCE_TIMEOUT_S: f32 = 0.75;

/// Weight in the draw of an engine that is expected to be full.
const MIN_DRAW_WEIGHT: f32 = 0.1;

/// Faded failures above this keep a server out; below it and above [`PROBE_THRESHOLD`] it gets one
/// generation at a time.
const EXCLUSION_THRESHOLD: f32 = 0.5;

/// Faded failures below this count for nothing.
const PROBE_THRESHOLD: f32 = 0.05;

/// What a choice is made for.
#[derive(Debug)]
pub struct RouteQuery<'a> {
    /// What is to be placed.
    pub request: &'a request::GenerationRequest,
    /// What it would add to a server's memory.
    pub load: &'a risk::MemoryLoad,
    /// Bounds on each server.
    pub bounds: &'a admission::AdmissionBounds,
    /// Kept for another request; not to be chosen.
    pub reserved: Option<id::ServerKey>,
    /// Learnt rate at which engines take in prompts, in tokens a second.
    pub prefill_rate: f32,
}

/// A chosen server.
#[derive(Clone, Copy, Debug)]
pub struct RouteChoice {
    /// Where to.
    pub server: id::ServerKey,
    /// What decided.
    pub cause: explain::ChoiceCause,
    /// Servers that had room.
    pub candidates: u16,
    /// Predicted time to first token, in seconds.
    pub first_token: f32,
    /// Tokens believed to be cached there.
    pub cached: u32,
    /// Prompt tokens that it has to take in.
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

/// What choices are made by.
#[derive(Debug)]
pub struct RouteContext<'a> {
    /// All servers.
    pub servers: &'a slotmap::SecondaryMap<id::ServerKey, view::ServerView>,
    /// Where the prompt's prefixes are believed to be.
    pub estimates: &'a affinity::EstimateList,
    /// This VM's share of each server.
    pub shares: &'a share::ShareTable,
    /// Weights.
    pub settings: &'a settings::PolicySettings,
    /// The time of the decision.
    pub now: time::Instant,
}

/// Whether a server may get new work at all, as far as server_location health goes.
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
    /// The choice among `candidates`.
    ///
    /// # Errors
    ///
    /// What the request has to wait for.
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
            // Every server in health was tried before: better again than not at all.
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
        let prefix = self.estimates.of(key);
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
        let rest = (query.request.prompt_tokens as f32 - cached).max(1.0);
        let queued = server.report.map_or(0, |report| report.waiting) as f32;
        let steps = 1.0 + queued;
        server
            .step
            .mul_add(steps, (server.prefill + rest) / query.prefill_rate)
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
        let rest = query.request.prompt_tokens as f32 - chosen.prefix.expected;
        RouteChoice {
            server: chosen.server,
            cause,
            candidates: scored.len() as u16,
            first_token: chosen.first_token,
            cached: chosen.prefix.tokens,
            prefill: rest.max(1.0),
        }
    }
}

//! Choice of the server for an attempt, and of the server for a copy of a run.
//!
//! Load pattern: many VMs choose at the same time among few servers, from load reports that are
//! about 100 ms old. Engines run out of memory long before they run out of slots, and prefill of
//! one prompt slows every stream on the same engine. Memory is therefore a hard admission check
//! against the expected final memory of the runs on an engine; all other factors are added up as an
//! expected cost in milliseconds.

use rand::RngExt;
use tokio::time;

use crate::{capacity, catalog, fleet, forecast, loads, pauses, request, server};

/// Fraction of an engine's memory up to which proactive copies may fill it; the rest is reserved
/// for runs.
const MAX_BACKUP_FILL: f64 = 0.62;
/// Fraction of the memory of all engines above which no proactive copy is made. A copy takes as
/// much memory as its run: when memory is short, each copy keeps a new generation out for every
/// generation that it would save from a crash.
const MAX_BACKUP_FLEET_FILL: f64 = 0.55;
/// Max prompt tokens queued for prefill on one engine: less than half a second of work. Without
/// this limit an engine that has just started, and is empty, would get the waiting prompts of all
/// VMs.
const MAX_BACKLOG_TOKENS: f64 = 3_000.0;
/// Cost of each generation that already runs on the engine: the time that it adds to the events of
/// the others, summed over a prompt.
const RUN_MS: f64 = 12.0;
/// Cost of a full engine: preemption is likely, and no run can be moved there.
const FULL_MS: f64 = 400.0;
/// Cost of a server in another failure domain: traffic between domains is expensive.
const DOMAIN_MS: f64 = 12.0;
/// Fraction of the prefill backlog of an engine that counts as cost for a run copied there. Counted
/// in full, an engine of the same domain with a single prompt in prefill lost to every engine of
/// another domain; five runs that leave an engine together then need 1.5 s on its link, and the
/// engine ends after 1.4 s.
const COPY_BACKLOG_FRACTION: f64 = 0.2;
/// Cost of a server that failed all recent attempts; scaled by its failure rate.
const FAILED_MS: f64 = 1_500.0;
/// Additional cost of a call to a server that failed all recent calls: about one deadline.
const FAILED_CALL_MS: f64 = 600.0;
/// Cost of a server that is still warming up after its start.
const COLD_MS: f64 = 150.0;
/// Cost reduction for the engine that all VMs prefer for the same first part of a prompt.
const AFFINITY_BONUS_MS: f64 = 15.0;
/// Assumed call latency while none has been measured.
const DEFAULT_CALL_MS: f64 = 15.0;
/// Cost reduction for a call to a server to which this VM has an open connection: a new connection
/// costs the server a millisecond of a slot, and both sides CPU time.
const WARM_BONUS_MS: f64 = 8.0;
/// Random cost per VM that chooses among the same servers, and its max, so that VMs with equal load
/// reports choose different servers. All VMs see freed memory at the same moment; without the
/// random cost, five or six VMs sent a prompt to the emptiest engine within 10 ms, before any had
/// received the loads of the others.
const SPREAD_MS: f64 = 3.0;
const MAX_SPREAD_MS: f64 = 200.0;
/// Max requests in a server's own queue, as a multiple of its slots. Further requests wait on this
/// VM, from where they can still be sent to another server.
const MAX_QUEUE_FACTOR: u32 = 2;

/// Fraction of a server's connection limit that attempts may use; the rest is for idle kept-alive
/// connections and for attempts that other VMs have not announced yet.
const MAX_CONNECTION_FILL: f64 = 0.8;

/// A request for a server.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// Service of the request.
    pub service: &'a str,
    /// Size of a generation; `None` for calls.
    pub size: Option<&'a request::GenerationSize>,
    /// Servers that must not be chosen.
    pub avoid: &'a [fleet::ServerKey],
    /// Failure domain of this VM.
    pub domain: &'a str,
    /// Maximum pause between two events that the route allows; `None`: no limit.
    pub max_pause: Option<time::Duration>,
    /// Number of VMs that share the servers, this one included.
    pub entries: u32,
    /// Memory that must stay free for generations with precedence that wait on other VMs.
    pub ahead_tokens: u64,
    /// Fraction of the total memory that this request must leave free for later requests with a
    /// better rank.
    pub reserve_fraction: f64,
}

impl PlacementRequest<'_> {
    fn demand(&self, size: &request::GenerationSize) -> capacity::MemoryDemand {
        capacity::MemoryDemand {
            tokens: forecast::planned_tokens(size) as f64,
            ahead_tokens: self.ahead_tokens as f64,
            reserve_fraction: self.reserve_fraction,
        }
    }

    /// Risks of the engines, where they make a difference to this request.
    fn risk_view(
        &self,
        fleet: &fleet::ServerFleet,
        engine: &catalog::EngineRule,
        loads: &fleet::LoadTable,
        now: time::Instant,
    ) -> Option<pauses::RiskView> {
        self.size?;
        pauses::RiskView::of(fleet, self.service, self.max_pause, engine, loads, now)
    }

    /// Max random cost of an engine.
    fn spread_ms(&self, engine: &catalog::EngineRule, view: Option<pauses::RiskView>) -> f64 {
        let spread = (SPREAD_MS * f64::from(self.entries)).min(MAX_SPREAD_MS);
        match (view, self.size) {
            (Some(view), Some(size)) if pauses::is_long(size, 0, engine) => {
                (spread * view.engines_per_safe()).min(MAX_SPREAD_MS)
            }
            _ => spread,
        }
    }

    /// What a stream is expected to have on a server with this load.
    fn expected(
        &self,
        fleet: &fleet::ServerFleet,
        server: fleet::ServerKey,
        load: Option<&loads::ServerLoad>,
    ) -> pauses::ExpectedPauses {
        let Some(size) = self.size else {
            return pauses::ExpectedPauses::default();
        };
        let backlog = load.map_or(0, |load| load.backlog) as f64;
        let prompts = backlog + f64::from(size.prompt_tokens);
        pauses::ExpectedPauses::of(fleet.paces.pace(server), self.max_pause, prompts)
    }
}

/// Result of a placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementOutcome {
    /// The chosen server.
    Server(fleet::ServerKey),
    /// All eligible servers are full.
    Full,
    /// No eligible server accepts work.
    NoServer,
}

/// Chooses the server with the lowest expected cost in milliseconds.
pub fn choose(
    fleet: &fleet::ServerFleet,
    rule: Option<&catalog::ServiceRule>,
    request: &PlacementRequest<'_>,
    now: time::Instant,
    rng: &mut impl rand::Rng,
) -> PlacementOutcome {
    choose_expecting(fleet, rule, request, now, rng).0
}

/// Chooses like [`choose`]; also returns what a stream is expected to have on the server.
pub fn choose_expecting(
    fleet: &fleet::ServerFleet,
    rule: Option<&catalog::ServiceRule>,
    request: &PlacementRequest<'_>,
    now: time::Instant,
    rng: &mut impl rand::Rng,
) -> (PlacementOutcome, pauses::ExpectedPauses) {
    let loads = fleet.loads(request.service, now);
    let engine = rule.and_then(|rule| rule.engine);
    let generation = engine.zip(request.size);
    let affinity_server = affinity_server(fleet, request, now);
    let nothing = |any| {
        let outcome = if any {
            PlacementOutcome::Full
        } else {
            PlacementOutcome::NoServer
        };
        (outcome, pauses::ExpectedPauses::default())
    };
    if let Some((engine, size)) = generation
        && !capacity::MemoryCapacity::measure(fleet, request.service, &engine, &loads, now)
            .admits(&request.demand(size))
    {
        return nothing(fleet.ready(request.service, now).next().is_some());
    }
    let view = engine.and_then(|engine| request.risk_view(fleet, &engine, &loads, now));
    let spread = engine.map_or(SPREAD_MS, |engine| request.spread_ms(&engine, view));
    let avoids_failing = engine.is_some() && only_few_fail(fleet, request.service, now);
    let mut best = None;
    let mut any = false;
    for (key, record) in fleet.ready(request.service, now) {
        if request.avoid.contains(&key) {
            continue;
        }
        any = true;
        let load = loads.get(key).copied().unwrap_or_default();
        if !accepts(record, rule, &load, now) || avoids_failing && fleet.is_failing(key, now) {
            continue;
        }
        let cost = match generation {
            Some((engine, size)) => {
                let view = view.map(|view| (view, view.risk(fleet, key)));
                generation_cost(&engine, size, record, &load, view)
            }
            _ => call_cost(record, &load, request.entries, now),
        };
        let Some(mut cost) = cost else { continue };
        cost += common_cost(record, request.domain, now);
        if affinity_server == Some(key) {
            cost -= AFFINITY_BONUS_MS;
        }
        cost += rng.random::<f64>() * spread;
        if best.is_none_or(|(lowest, _)| cost < lowest) {
            best = Some((cost, key));
        }
    }
    let Some((_, key)) = best else {
        return nothing(any);
    };
    let expected = request.expected(fleet, key, loads.get(key));
    (PlacementOutcome::Server(key), expected)
}

/// Returns whether a server takes a further request of this VM, memory and slots aside.
fn accepts(
    record: &server::ServerRecord,
    rule: Option<&catalog::ServiceRule>,
    load: &loads::ServerLoad,
    now: time::Instant,
) -> bool {
    !record.is_full(now)
        && record.allows_request(now)
        && !rule.is_some_and(|rule| is_out_of_connections(rule, load))
}

/// Returns whether the attempts of all VMs use up the connections that a server accepts. It resets
/// further connections, which loses a call that may run only once.
fn is_out_of_connections(rule: &catalog::ServiceRule, load: &loads::ServerLoad) -> bool {
    f64::from(load.runs) >= f64::from(rule.connections) * MAX_CONNECTION_FILL
}

/// Returns whether at most half of the servers fail. If most seem to fail, the cause is this VM,
/// its links or an outage seen by all VMs; avoiding those servers would then stop all traffic.
fn only_few_fail(fleet: &fleet::ServerFleet, service: &str, now: time::Instant) -> bool {
    let (mut failing, mut healthy) = (0, 0);
    for (key, _) in fleet.ready(service, now) {
        if fleet.is_failing(key, now) {
            failing += 1;
        } else {
            healthy += 1;
        }
    }
    failing <= healthy
}

/// Expected cost of a generation; `None` if it does not fit on the engine.
fn generation_cost(
    engine: &catalog::EngineRule,
    size: &request::GenerationSize,
    record: &server::ServerRecord,
    load: &loads::ServerLoad,
    view: Option<(pauses::RiskView, pauses::EngineRisk)>,
) -> Option<f64> {
    let need = forecast::planned_tokens(size) as f64;
    let memory = engine.memory_tokens as f64;
    let after = load.tokens as f64 + need;
    // An empty engine takes anything that fits at all, because no better choice will come.
    let limit = if load.runs == 0 {
        memory
    } else {
        memory * capacity::MEMORY_FILL
    };
    if after > limit || load.runs >= record.slots {
        return None;
    }
    let prompts = load.backlog as f64 + f64::from(size.prompt_tokens);
    if load.backlog > 0 && prompts > MAX_BACKLOG_TOKENS {
        return None;
    }
    let fill = after / memory;
    let prefill_ms = prompts / forecast::PREFILL_TOKENS_PER_MS;
    let runs_ms = f64::from(load.runs) * RUN_MS;
    let full_ms = fill * fill * fill * FULL_MS;
    let Some((view, risk)) = view else {
        return Some(prefill_ms + runs_ms + full_ms);
    };
    let long = pauses::is_long(size, 0, engine);
    let pauses_ms = view.generation_cost(&risk, load, long);
    Some((prefill_ms + runs_ms) * risk.relative + full_ms + pauses_ms)
}

/// Expected cost of a call; `None` if this VM already uses its fair_share share of the server.
fn call_cost(
    record: &server::ServerRecord,
    load: &loads::ServerLoad,
    entries: u32,
    now: time::Instant,
) -> Option<f64> {
    let fair_share = record.slots.saturating_mul(1 + MAX_QUEUE_FACTOR) / entries.max(1) + 2;
    if load.own_runs >= fair_share || is_filled(record, load, now) {
        return None;
    }
    let latency = if record.latency_ms() == 0.0 {
        DEFAULT_CALL_MS
    } else {
        record.latency_ms()
    };
    let queue = f64::from(load.own_runs) * f64::from(entries) / f64::from(record.slots.max(1));
    let warm = if record.is_warm(now) {
        WARM_BONUS_MS
    } else {
        0.0
    };
    Some(latency * (1.0 + queue) + record.failure_rate(now) * FAILED_CALL_MS - warm)
}

/// Returns whether a brittle server may have to turn a further call of this VM away: the slots are
/// dealt out to the VMs, and none fills the server's queue.
fn is_filled(record: &server::ServerRecord, load: &loads::ServerLoad, now: time::Instant) -> bool {
    record.is_brittle(now) && load.own_runs >= record.brittle.slots()
}

fn common_cost(record: &server::ServerRecord, domain: &str, now: time::Instant) -> f64 {
    let domain = if record.domain == domain {
        0.0
    } else {
        DOMAIN_MS
    };
    let cold = if now < record.cold_until {
        COLD_MS
    } else {
        0.0
    };
    domain + cold + record.failure_rate(now) * FAILED_MS
}

/// Returns the server that all VMs prefer for the same first prompt part, by rendezvous hashing.
fn affinity_server(
    fleet: &fleet::ServerFleet,
    request: &PlacementRequest<'_>,
    now: time::Instant,
) -> Option<fleet::ServerKey> {
    let part = request.size?.parts.first()?;
    fleet
        .ready(request.service, now)
        .max_by_key(|(_, record)| {
            xxhash_rust::xxh3::xxh3_64_with_seed(record.id.as_bytes(), part.hash)
        })
        .map(|(key, _)| key)
}

/// A request for a server that receives a copy of a run.
#[derive(Clone, Copy, Debug)]
pub struct CopyRequest<'a> {
    /// Server of the run.
    pub source: fleet::ServerKey,
    /// Memory that the run is expected to need.
    pub tokens: u64,
    /// Whether the copy is made proactively, and may only use memory that runs leave free.
    pub proactive: bool,
    /// Service of both servers.
    pub service: &'a str,
    /// What the run needs of the pauses on its engine.
    pub need: pauses::PauseNeed,
}

/// Fraction of the memory of all engines that accept work which is planned for runs and copies.
fn fleet_fill(
    fleet: &fleet::ServerFleet,
    service: &str,
    memory: f64,
    loads: &fleet::LoadTable,
    now: time::Instant,
) -> f64 {
    let mut engines = 0.0;
    let mut tokens = 0.0;
    for (key, _) in fleet.ready(service, now) {
        engines += 1.0;
        tokens += loads.get(key).map_or(0.0, |load| load.tokens as f64);
    }
    tokens / (engines * memory).max(1.0)
}

/// Time that the source's link needs for this run and for the other runs that move off the source
/// at the same time: the additional cost of a copy to another failure domain.
fn copy_queue_ms(
    engine: &catalog::EngineRule,
    request: &CopyRequest<'_>,
    loads: &fleet::LoadTable,
) -> f64 {
    let moving = loads.get(request.source).map_or(1, |load| load.runs.max(1));
    let runs = if request.proactive { 1 } else { moving };
    request.tokens as f64 * engine.copy_us_per_token / 1_000.0 * f64::from(runs)
}

/// Chooses the server for a copy of a run, preferring the run's own failure domain, where copies
/// are fastest.
pub fn choose_copy(
    fleet: &fleet::ServerFleet,
    engine: &catalog::EngineRule,
    request: &CopyRequest<'_>,
    now: time::Instant,
    rng: &mut impl rand::Rng,
) -> Option<fleet::ServerKey> {
    let source = fleet.server(request.source)?;
    let loads = fleet.loads(request.service, now);
    let memory = engine.memory_tokens as f64;
    if request.proactive
        && fleet_fill(fleet, request.service, memory, &loads, now) > MAX_BACKUP_FLEET_FILL
    {
        return None;
    }
    let limit = memory
        * if request.proactive {
            MAX_BACKUP_FILL
        } else {
            1.0
        };
    let other_domain_ms = copy_queue_ms(engine, request, &loads);
    let max_pause = request.need.max_pause;
    let view = pauses::RiskView::of(fleet, request.service, max_pause, engine, &loads, now);
    let mut best = None;
    for (key, record) in fleet.ready(request.service, now) {
        let load = loads.get(key).copied().unwrap_or_default();
        let after = (load.tokens + request.tokens) as f64;
        let full = record.is_full(now) || load.runs >= record.slots;
        if key == request.source || after > limit || full {
            continue;
        }
        // A run can continue at a restricted server only if that takes the request.
        let restricted = request.proactive && record.is_restricted(now);
        if restricted || !record.allows_request(now) {
            continue;
        }
        let view = view.map(|view| (view, view.risk(fleet, key)));
        let pauses_ms = view.map_or(0.0, |(view, risk)| {
            view.copy_cost(&risk, request.need.long, request.proactive)
        });
        let fill = after / memory;
        let domain = if record.domain == source.domain {
            0.0
        } else {
            other_domain_ms
        };
        let cost = fill * FULL_MS
            + domain
            + load.backlog as f64 / forecast::PREFILL_TOKENS_PER_MS * COPY_BACKLOG_FRACTION
            + record.failure_rate(now) * FAILED_MS
            + pauses_ms
            + rng.random::<f64>() * FULL_MS * 0.1;
        if best.is_none_or(|(lowest, _)| cost < lowest) {
            best = Some((cost, key));
        }
    }
    best.map(|(_, key)| key)
}

//! Which server gets a try.
//!
//! Load pattern: many VMs choose at once among few servers, from beliefs that are a tenth of a
//! second old. Engines run out of memory long before they run out of slots; a prompt that is read
//! slows every stream beside it. So memory is admitted by what the runs there are expected to need
//! at their end, and the rest is a sum of expected milliseconds.

use rand::RngExt;
use tokio::time;

use crate::{ask, catalog, fleet, forecast, loads, room, server};

/// Part of an engine's memory that copies made beforehand may fill; the rest is for runs.
const BACKUP_FILL: f64 = 0.62;
/// Part of all engines' memory that may be in use for a copy to be made beforehand. A copy takes as
/// much memory as its run: where memory is short it keeps a new generation out for each that it
/// would save from a crash.
const BACKUP_FLEET_FILL: f64 = 0.55;
/// Prompt tokens that one engine is given to read at a time: less than half a second's worth. An
/// engine that has just started is empty, and every VM that has something waiting would send it
/// there.
const MOST_BACKLOG: f64 = 3_000.0;
/// What one generation more adds to the time that others take for an event, counted over a prompt.
const RUN_MS: f64 = 12.0;
/// What a full engine costs: preemption is likely, and nothing can move there.
const FULL_MS: f64 = 400.0;
/// What another failure domain costs: bytes between domains are dear.
const DOMAIN_MS: f64 = 12.0;
/// Part of the time for reading its waiting prompts by which an engine slows a run that comes there.
/// Counted whole, an engine of the same domain that reads one prompt lost to each of another domain;
/// five runs that leave together then need 1.5 s on their engine's link, and it is gone after 1.4 s.
/// With a fifth, mean worth of fifteen plays at 9 engines 0.4649 to 0.4718, copies to another domain
/// counted as here.
const COPY_BACKLOG_PART: f64 = 0.2;
/// What a server costs that failed all recent tries.
const FAILED_MS: f64 = 1_500.0;
/// What a call costs at a server that failed all recent calls: about a deadline.
const FAILED_CALL_MS: f64 = 600.0;
/// What a server costs that has just started.
const COLD_MS: f64 = 150.0;
/// What the engine is worth that other VMs also choose for the same first part of a prompt.
const AFFINITY_MS: f64 = 15.0;
/// Latency of a call that is believed before any is known.
const CALL_MS: f64 = 15.0;
/// What a call gains at a server that this VM has a connection to: a new one costs the server a
/// millisecond of a slot, and both sides their work.
const WARM_MS: f64 = 8.0;
/// Random part for each VM that chooses among the same servers, and its most: VMs with equal beliefs
/// spread. When room comes up, all of them see it at the same moment; without this, five or six sent
/// a prompt to the emptiest engine within 10 ms, before any had heard of the others.
const SPREAD_MS: f64 = 3.0;
const SPREAD_MOST_MS: f64 = 200.0;
/// Requests that may wait in a server's own queue, as a multiple of its slots. Beyond it they wait
/// here, where they can still go elsewhere.
const QUEUE_FACTOR: u32 = 2;

/// Part of the connections that a server takes which tries may hold; the rest is for those that are
/// kept without a try, and for tries that are not told yet.
const CONNECTIONS_FILL: f64 = 0.8;

/// What needs a place.
#[derive(Clone, Debug)]
pub struct PlaceAsk<'a> {
    /// Service that it goes to.
    pub service: &'a str,
    /// Present for generations.
    pub size: Option<&'a ask::GenerationSize>,
    /// Servers that must not get it.
    pub avoid: &'a [fleet::ServerKey],
    /// Failure domain of this VM.
    pub domain: &'a str,
    /// VMs that share the servers, this one included.
    pub entries: u32,
    /// Memory that must stay free for generations that go before this one elsewhere.
    pub yielded_tokens: u64,
    /// Part of all memory that this one must leave free for those that will come and go before it.
    pub kept_part: f64,
}

impl PlaceAsk<'_> {
    fn need(&self, size: &ask::GenerationSize) -> room::RoomNeed {
        room::RoomNeed {
            tokens: forecast::planned_tokens(size) as f64,
            yielded: self.yielded_tokens as f64,
            kept_part: self.kept_part,
        }
    }
}

/// What came of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlaceOutcome {
    /// This server.
    Server(fleet::ServerKey),
    /// All that could take it are full.
    Full,
    /// No server takes work.
    NoServer,
}

/// Chooses the server with the least expected cost in milliseconds.
pub fn choose(
    fleet: &fleet::ServerFleet,
    rule: Option<&catalog::ServiceRule>,
    ask: &PlaceAsk<'_>,
    now: time::Instant,
    rng: &mut impl rand::Rng,
) -> PlaceOutcome {
    let loads = fleet.loads(ask.service, now);
    let engine = rule.and_then(|rule| rule.engine);
    let favourite = favourite(fleet, ask, now);
    if let (Some(engine), Some(size)) = (engine, ask.size)
        && !room::MemoryRoom::measure(fleet, ask.service, &engine, &loads, now)
            .takes(&ask.need(size))
    {
        let any = fleet.ready(ask.service, now).next().is_some();
        return if any {
            PlaceOutcome::Full
        } else {
            PlaceOutcome::NoServer
        };
    }
    let spread = (SPREAD_MS * f64::from(ask.entries)).min(SPREAD_MOST_MS);
    let spread = if engine.is_some() { spread } else { SPREAD_MS };
    let avoids_failing = engine.is_some() && few_fail(fleet, ask.service, now);
    let mut best = None;
    let mut any = false;
    for (key, record) in fleet.ready(ask.service, now) {
        if ask.avoid.contains(&key) {
            continue;
        }
        any = true;
        if record.is_full(now) || (avoids_failing && fleet.is_failing(key, now)) {
            continue;
        }
        let load = loads.get(key).copied().unwrap_or_default();
        if rule.is_some_and(|rule| has_its_connections(rule, &load)) {
            continue;
        }
        let cost = match (engine, ask.size) {
            (Some(engine), Some(size)) => generation_cost(&engine, size, record, &load),
            _ => call_cost(record, &load, ask.entries, now),
        };
        let Some(mut cost) = cost else { continue };
        cost += common_cost(record, ask.domain, now);
        if favourite == Some(key) {
            cost -= AFFINITY_MS;
        }
        cost += rng.random::<f64>() * spread;
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, key));
        }
    }
    match best {
        Some((_, key)) => PlaceOutcome::Server(key),
        None if any => PlaceOutcome::Full,
        None => PlaceOutcome::NoServer,
    }
}

/// Whether tries of all VMs hold as many connections to a server as it takes: it resets what comes
/// beyond, and a call that may run once is then lost.
fn has_its_connections(rule: &catalog::ServiceRule, load: &loads::ServerLoad) -> bool {
    f64::from(load.runs) >= f64::from(rule.connections) * CONNECTIONS_FILL
}

/// Whether few enough servers fail for it to be them. When most seem to, the fault is with this VM,
/// its links or what was silent at all VMs, and keeping away from them would stop everything.
fn few_fail(fleet: &fleet::ServerFleet, service: &str, now: time::Instant) -> bool {
    let (mut failing, mut sound) = (0, 0);
    for (key, _) in fleet.ready(service, now) {
        if fleet.is_failing(key, now) {
            failing += 1;
        } else {
            sound += 1;
        }
    }
    failing <= sound
}

/// Expected cost of a generation, absent where it finds no room.
fn generation_cost(
    engine: &catalog::EngineRule,
    size: &ask::GenerationSize,
    record: &server::ServerRecord,
    load: &loads::ServerLoad,
) -> Option<f64> {
    let need = forecast::planned_tokens(size) as f64;
    let memory = engine.memory_tokens as f64;
    let after = load.tokens as f64 + need;
    // An empty engine takes whatever fits at all: nothing better will come.
    let limit = if load.runs == 0 {
        memory
    } else {
        memory * room::MEMORY_FILL
    };
    if after > limit || load.runs >= record.slots {
        return None;
    }
    let crowded = load.backlog as f64 + f64::from(size.prompt_tokens) > MOST_BACKLOG;
    if load.backlog > 0 && crowded {
        return None;
    }
    let prompts = load.backlog as f64 + f64::from(size.prompt_tokens);
    let fill = after / memory;
    Some(
        prompts / forecast::PREFILL_TOKENS_PER_MS
            + f64::from(load.runs) * RUN_MS
            + fill * fill * fill * FULL_MS,
    )
}

/// Expected cost of a call, absent where its server has its fill.
fn call_cost(
    record: &server::ServerRecord,
    load: &loads::ServerLoad,
    entries: u32,
    now: time::Instant,
) -> Option<f64> {
    let fair = record.slots * (1 + QUEUE_FACTOR) / entries.max(1) + 2;
    if load.own_runs >= fair {
        return None;
    }
    let latency = if record.latency_ms() == 0.0 {
        CALL_MS
    } else {
        record.latency_ms()
    };
    let queue = f64::from(load.own_runs) * f64::from(entries) / f64::from(record.slots.max(1));
    let warm = if record.is_warm(now) { WARM_MS } else { 0.0 };
    Some(latency * (1.0 + queue) + record.failure_rate(now) * FAILED_CALL_MS - warm)
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

/// The server that every VM prefers for the same first part of a prompt, by rendezvous.
fn favourite(
    fleet: &fleet::ServerFleet,
    ask: &PlaceAsk<'_>,
    now: time::Instant,
) -> Option<fleet::ServerKey> {
    let part = ask.size?.parts.first()?;
    fleet
        .ready(ask.service, now)
        .max_by_key(|(_, record)| {
            xxhash_rust::xxh3::xxh3_64_with_seed(record.id.as_bytes(), part.hash)
        })
        .map(|(key, _)| key)
}

/// What a copy of a run needs.
#[derive(Clone, Copy, Debug)]
pub struct CopyAsk<'a> {
    /// Where the run is.
    pub source: fleet::ServerKey,
    /// Memory that the run will need.
    pub tokens: u64,
    /// Whether the copy is made beforehand, and may only use what runs leave over.
    pub beforehand: bool,
    /// Service of both servers.
    pub service: &'a str,
}

/// Part of the memory of all engines that take work which is planned for.
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

/// Time that the source's link needs for this run, and for the others there that move with it: what a
/// copy to another failure domain takes longer than one within it.
fn copy_queue_ms(engine: &catalog::EngineRule, ask: &CopyAsk<'_>, loads: &fleet::LoadTable) -> f64 {
    let moving = loads.get(ask.source).map_or(1, |load| load.runs.max(1));
    let runs = if ask.beforehand { 1 } else { moving };
    ask.tokens as f64 * engine.copy_us_per_token / 1_000.0 * f64::from(runs)
}

/// Chooses where a copy of a run goes: the copy is fastest within a failure domain.
pub fn choose_copy(
    fleet: &fleet::ServerFleet,
    engine: &catalog::EngineRule,
    ask: &CopyAsk<'_>,
    now: time::Instant,
    rng: &mut impl rand::Rng,
) -> Option<fleet::ServerKey> {
    let source = fleet.server(ask.source)?;
    let loads = fleet.loads(ask.service, now);
    let memory = engine.memory_tokens as f64;
    if ask.beforehand && fleet_fill(fleet, ask.service, memory, &loads, now) > BACKUP_FLEET_FILL {
        return None;
    }
    let limit = memory * if ask.beforehand { BACKUP_FILL } else { 1.0 };
    let other_domain_ms = copy_queue_ms(engine, ask, &loads);
    let mut best = None;
    for (key, record) in fleet.ready(ask.service, now) {
        let load = loads.get(key).copied().unwrap_or_default();
        let after = (load.tokens + ask.tokens) as f64;
        let full = record.is_full(now) || load.runs >= record.slots;
        if key == ask.source || after > limit || full {
            continue;
        }
        let fill = after / memory;
        let domain = if record.domain == source.domain {
            0.0
        } else {
            other_domain_ms
        };
        let cost = fill * FULL_MS
            + domain
            + load.backlog as f64 / forecast::PREFILL_TOKENS_PER_MS * COPY_BACKLOG_PART
            + record.failure_rate(now) * FAILED_MS
            + rng.random::<f64>() * FULL_MS * 0.1;
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, key));
        }
    }
    best.map(|(_, key)| key)
}

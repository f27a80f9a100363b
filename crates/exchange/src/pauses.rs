//! Effect of the choice of an engine on the pauses between the events of streams.
//!
//! Load pattern: engines of two speeds, with short slow periods. Where a slow period coincides with
//! the prefill of a prompt on a slow engine, a pause exceeds the limit of the route. One such pause
//! makes a whole long stream late. The costs here are in the milliseconds of [`place`](crate::place)
//! and are only added to the cost of engines that have capacity for the request.

use std::time;

use pace::group;

use crate::{catalog, fleet, forecast, loads, request};

/// Number of events from which a stream is long: over a shorter one, a slow period seldom coincides
/// with a prefill.
pub const LONG_EVENTS: f64 = 16.0;
/// Fraction of the maximum pause from which an engine has some risk: estimates are off by as much.
const MIN_RISK_FRACTION: f64 = 0.85;
/// Risk from which an engine counts as one at risk.
const AT_RISK: f64 = 0.5;
/// Cost of a long stream on an engine that breaks its pauses: the caller gets a whole stream late,
/// which is as bad as a first event that is late by this time.
const BROKEN_MS: f64 = 800.0;
/// Cost of a prompt for each steady stream whose pauses it breaks: below [`BROKEN_MS`], because a
/// prefill coincides with a slow period in a part of all cases only.
const ENDANGERED_MS: f64 = 600.0;
/// Cost of a short request on an engine without risk when those are used up: the next long stream
/// then runs on an engine at risk, where it is late and its own prompt endangers others. It also
/// outweighs the shorter prefill on a fast engine. Below twice [`ENDANGERED_MS`], so that a short
/// request rather runs here than beside two steady streams.
const SCARCE_MS: f64 = 1_000.0;
/// Cost of a proactive copy on an engine without risk: the memory is held for as long as the run,
/// and seldom used. Higher than that of an engine at risk that is nearly full.
const COPY_MS: f64 = 300.0;
/// Range of the relative speed that is taken into account: no deployment has engines further apart.
const RELATIVE_RANGE: (f64, f64) = (0.2, 5.0);

/// What a generation needs of the pauses on its engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PauseNeed {
    /// Maximum pause between two events that the route allows; `None`: no limit, and no cost.
    pub max_pause: Option<time::Duration>,
    /// Whether it is expected to have at least [`LONG_EVENTS`] events.
    pub long: bool,
}

impl PauseNeed {
    /// The need of a generation that has produced `produced` tokens.
    #[must_use]
    pub fn of(
        size: &request::GenerationSize,
        produced: u32,
        max_pause: Option<time::Duration>,
        engine: &catalog::EngineRule,
    ) -> Self {
        Self {
            max_pause,
            long: is_long(size, produced, engine),
        }
    }
}

/// Returns whether a generation is expected to have at least [`LONG_EVENTS`] events.
#[must_use]
pub fn is_long(
    size: &request::GenerationSize,
    produced: u32,
    engine: &catalog::EngineRule,
) -> bool {
    let tokens = LONG_EVENTS * f64::from(engine.tokens_per_event);
    forecast::expected_output(size, produced) >= tokens
}

/// Name of the speed class of an engine in logs and metrics.
#[must_use]
pub fn class_name(pace: Option<pace::EnginePace>) -> &'static str {
    let known = pace.filter(|pace| !pace.relative.is_nan());
    known.map_or("unknown", |pace| group::SpeedClass::of(&pace).name())
}

/// Risk that pauses on an engine exceed the maximum, and its speed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineRisk {
    /// While no prompt is being prefilled, from 0 to 1.
    pub alone: f64,
    /// While a prompt is being prefilled, from 0 to 1.
    pub beside: f64,
    /// Factor on the expected time of prompts and running requests; always finite and positive.
    pub relative: f64,
}

impl EngineRisk {
    /// An engine of which nothing is known.
    pub const NONE: Self = Self {
        alone: 0.0,
        beside: 0.0,
        relative: 1.0,
    };

    /// The risk of an engine of this pace. Values that are not finite are taken as not known.
    #[must_use]
    pub fn of(pace: Option<pace::EnginePace>, max_pause: time::Duration) -> Self {
        let Some(pace) = pace else { return Self::NONE };
        let max_ms = max_pause.as_secs_f64() * 1_000.0;
        let (least, most) = RELATIVE_RANGE;
        let relative = if pace.relative.is_finite() {
            pace.relative.clamp(least, most)
        } else {
            1.0
        };
        Self {
            alone: risk(pace.alone_ms / max_ms),
            beside: risk(pace.beside_ms / max_ms),
            relative,
        }
    }

    /// Risk of a long stream there: prompts arrive while it runs.
    #[must_use]
    pub const fn own(&self) -> f64 {
        self.alone.max(self.beside)
    }
}

/// Risk of a pause that is this fraction of the maximum.
fn risk(fraction: f64) -> f64 {
    if !fraction.is_finite() {
        return 0.0;
    }
    ((fraction - MIN_RISK_FRACTION) / (1.0 - MIN_RISK_FRACTION)).clamp(0.0, 1.0)
}

/// Returns whether any engine of a service that gets new work has some risk.
#[must_use]
pub fn has_risk(
    fleet: &fleet::ServerFleet,
    service: &str,
    max_pause: time::Duration,
    now: tokio::time::Instant,
) -> bool {
    fleet
        .ready(service, now)
        .any(|(key, _)| EngineRisk::of(fleet.paces.pace(key), max_pause).own() > 0.0)
}

/// Risks of the engines of a service, for one choice among engines whose risks differ.
#[derive(Clone, Copy, Debug)]
pub struct RiskView {
    max_pause: time::Duration,
    /// Whether some engines are at risk and others are not.
    mixed: bool,
    /// How far the engines not at risk are used up: the fraction of their memory that is planned for
    /// runs and copies, or the fraction of them on which a prompt waits, whichever is greater.
    used: f64,
    /// Number of engines for each one that is not at risk; 1 if there is none.
    engines_per_safe: f64,
}

impl RiskView {
    /// Views the engines of a service that get new work. `None` if the route has no maximum pause
    /// or all risks are equal: the choice is then the same as without regard to pauses.
    #[must_use]
    pub fn of(
        fleet: &fleet::ServerFleet,
        service: &str,
        max_pause: Option<time::Duration>,
        engine: &catalog::EngineRule,
        loads: &fleet::LoadTable,
        now: tokio::time::Instant,
    ) -> Option<Self> {
        let max_pause = max_pause.filter(|max| !max.is_zero())?;
        let mut first = None;
        let mut differ = false;
        let (mut engines, mut safe_engines) = (0.0, 0.0);
        let (mut safe_tokens, mut safe_waits) = (0.0, 0.0);
        for (key, _) in fleet.ready(service, now) {
            let risk = EngineRisk::of(fleet.paces.pace(key), max_pause);
            let (alone, beside) = *first.get_or_insert((risk.alone, risk.beside));
            differ |= (risk.alone, risk.beside) != (alone, beside);
            engines += 1.0;
            if risk.own() < AT_RISK {
                safe_engines += 1.0;
                let load = loads.get(key).copied().unwrap_or_default();
                safe_tokens += load.tokens as f64;
                safe_waits += f64::from(u8::from(load.backlog > 0));
            }
        }
        let memory = (safe_engines * engine.memory_tokens as f64).max(1.0);
        differ.then_some(Self {
            max_pause,
            mixed: safe_engines > 0.0 && safe_engines < engines,
            used: f64::max(safe_tokens / memory, safe_waits / safe_engines.max(1.0)).min(1.0),
            engines_per_safe: if safe_engines > 0.0 {
                engines / safe_engines
            } else {
                1.0
            },
        })
    }

    /// Factor on the random cost of a long stream: VMs that choose at the same moment choose among
    /// the engines not at risk only.
    #[must_use]
    pub const fn engines_per_safe(&self) -> f64 {
        self.engines_per_safe
    }

    /// Risk of an engine.
    #[must_use]
    pub fn risk(&self, fleet: &fleet::ServerFleet, key: fleet::ServerKey) -> EngineRisk {
        EngineRisk::of(fleet.paces.pace(key), self.max_pause)
    }

    /// Cost of a new generation on an engine, beyond that of its time and memory.
    #[must_use]
    pub fn generation_cost(&self, risk: &EngineRisk, load: &loads::ServerLoad, long: bool) -> f64 {
        let endangered = risk.beside * f64::from(load.steady) * ENDANGERED_MS;
        if long {
            return risk.own() * BROKEN_MS + endangered;
        }
        if self.mixed && risk.own() < AT_RISK {
            endangered + self.used * SCARCE_MS
        } else {
            endangered
        }
    }

    /// Cost of a copy on an engine: of a run that moves there, or of a proactive copy.
    #[must_use]
    pub fn copy_cost(&self, risk: &EngineRisk, long: bool, proactive: bool) -> f64 {
        let is_safe = risk.own() < AT_RISK;
        match (proactive, long) {
            (true, _) if self.mixed && is_safe => COPY_MS,
            (false, true) => risk.own() * BROKEN_MS,
            _ => 0.0,
        }
    }
}

/// What a stream is expected to have on the engine that was chosen for it, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ExpectedPauses {
    /// Time to the first event on the engine, in milliseconds.
    pub first_ms: u64,
    /// Longest pause in milliseconds; `None` while the engine's pace is not known.
    pub pause_ms: Option<u64>,
    /// Risk that a pause exceeds the maximum of the route, from 0 to 1.
    pub risk: f64,
}

impl ExpectedPauses {
    /// What a stream is expected to have that is placed after so many prompt tokens.
    #[must_use]
    pub fn of(
        pace: Option<pace::EnginePace>,
        max_pause: Option<time::Duration>,
        prompt_tokens: f64,
    ) -> Self {
        let risk = max_pause.map_or(EngineRisk::NONE, |max| EngineRisk::of(pace, max));
        Self {
            first_ms: (prompt_tokens / forecast::PREFILL_TOKENS_PER_MS * risk.relative) as u64,
            pause_ms: pace.map(|pace| pace.alone_ms.max(pace.beside_ms) as u64),
            risk: (risk.own() * 100.0).round() / 100.0,
        }
    }
}

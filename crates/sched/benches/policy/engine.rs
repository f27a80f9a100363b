//! Model engine stand-ins of the crate `stand`, running the requests of the bench as generations.

use std::time::Duration;

use base::id;
use stand::engine::{self, call, feeds};

use crate::mix;

/// Progress of one request.
#[derive(Clone, Copy, Debug)]
pub enum EngineUpdate {
    Token { request: usize },
    Finished { request: usize, cached: u32 },
    Preempted { request: usize },
}

/// Returns the prompt of a request: its organisation's preamble, followed by its own words.
pub fn prompt(request: usize, arrival: &mix::Arrival) -> String {
    let mut text = format!("[[len={}]]", arrival.length);
    // The directive differs for each request, so it comes last and does not break shared prefixes.
    let own = arrival.prompt.saturating_sub(arrival.preamble + 1);
    let mut words = String::with_capacity(6 * arrival.prompt as usize);
    for word in 0..arrival.preamble {
        words.push_str(&format!("p{}.{word} ", arrival.preamble_number));
    }
    for word in 0..own {
        words.push_str(&format!("{request}.{word} "));
    }
    words.push_str(&text);
    text = words;
    text
}

/// Returns the engine profile of the bench: the default of the stand-in, except for the prefill
/// chunk, the load reports and the retention of ended generations.
pub fn profile(prefill_chunk_tokens: u32, seed: u64) -> engine::EngineProfile {
    engine::EngineProfile {
        prefill_chunk_tokens,
        kept_ms: 1_000,
        tombstone_ms: 1_000,
        load_lag_ms: 0,
        load_every_ms: 250,
        seed,
        ..engine::EngineProfile::default()
    }
}

/// Returns the duration of a step with a single generation, in seconds.
pub fn unloaded_step(profile: &engine::EngineProfile) -> f64 {
    (profile.step_base_us + profile.step_sequence_us) as f64 * 1e-6
}

fn since_start(now: f64) -> Duration {
    Duration::from_secs_f64(now)
}

fn generation(request: usize, attempts: u32) -> id::GenerationId {
    id::GenerationId((request as u128) << 32 | u128::from(attempts))
}

fn request(generation: id::GenerationId) -> usize {
    (generation.0 >> 32) as usize
}

/// Model engine stand-in.
pub struct Engine {
    core: engine::EngineCore,
    cache_seen: u64,
    incarnations: u128,
    model: String,
}

impl Engine {
    pub fn new(profile: engine::EngineProfile) -> Self {
        let model = profile.model.clone();
        let core = engine::EngineCore::new(profile, id::Incarnation(0), Duration::ZERO);
        Self {
            core,
            cache_seen: 0,
            incarnations: 0,
            model,
        }
    }

    pub fn profile(&self) -> &engine::EngineProfile {
        self.core.profile()
    }

    pub fn is_down(&self) -> bool {
        self.core.is_down()
    }

    pub fn free_blocks(&self) -> u32 {
        self.core.pool().free()
    }

    /// Returns whether the engine accepted the request.
    pub fn start(
        &mut self,
        number: usize,
        attempts: u32,
        arrival: &mix::Arrival,
        priority: u8,
        now: f64,
    ) -> bool {
        let call = call::StartCall {
            id: generation(number, attempts),
            model: self.model.clone(),
            adapter: None,
            prompt: prompt(number, arrival),
            max_tokens: arrival.max_tokens,
            priority,
            seed: None,
        };
        self.core.start(since_start(now), &call).is_ok()
    }

    pub fn cancel(&mut self, request: usize, attempts: u32, now: f64) {
        // The call fails on a dead engine, which has nothing to cancel.
        let _ = self
            .core
            .cancel(since_start(now), generation(request, attempts));
    }

    /// Returns when [`Self::step`] is due.
    pub fn next_wake(&self) -> Option<f64> {
        self.core.next_wake().map(|wake| wake.as_secs_f64())
    }

    pub fn step(&mut self, now: f64, updates: &mut Vec<EngineUpdate>) {
        for event in self.core.step(since_start(now)) {
            match event {
                engine::EngineEvent::Token { id, .. } => {
                    updates.push(EngineUpdate::Token {
                        request: request(id),
                    });
                }
                engine::EngineEvent::Preempted { id, .. } => {
                    updates.push(EngineUpdate::Preempted {
                        request: request(id),
                    });
                }
                engine::EngineEvent::Finished { id, report, .. }
                    if report.finish != call::FinishReason::Cancelled =>
                {
                    let (request, cached) = (request(id), report.cached_tokens);
                    updates.push(EngineUpdate::Finished { request, cached });
                }
                _ => {}
            }
        }
    }

    pub fn load(&mut self, now: f64) -> Option<call::LoadReport> {
        self.core.load(since_start(now)).ok()
    }

    pub fn cache_events(&mut self, now: f64) -> Vec<feeds::CacheEvent> {
        let Ok(page) = self.core.cache_events(since_start(now), self.cache_seen) else {
            return Vec::new();
        };
        self.cache_seen = page.next;
        page.events
    }

    pub fn crash(&mut self, now: f64) {
        self.core.crash(since_start(now));
    }

    pub fn restart(&mut self, now: f64) {
        self.incarnations += 1;
        self.cache_seen = 0;
        let incarnation = id::Incarnation(self.incarnations);
        self.core.restart(since_start(now), incarnation);
    }

    pub fn set_slow_factor(&mut self, factor: f64, now: f64) {
        self.core.set_slow_factor(since_start(now), factor);
    }
}

//! Stand-in for a model engine: continuous batching with a limited number of KV cache blocks.

use std::{collections, mem, time};

use base::id;

pub mod batch;
pub mod call;
pub mod error;
pub mod fault;
pub mod feeds;
pub mod front;
pub mod handle;
pub mod orders;
pub mod pool;
pub mod profile;
pub mod sequence;
pub mod stream;
pub mod text;

pub use self::{
    call::{EngineEvent, StartCall},
    error::EngineError,
    fault::EngineFault,
    front::serve,
    handle::EngineHandle,
    profile::EngineProfile,
    stream::{EngineStream, StreamEvent},
};

/// Engine state machine without I/O or clock: `now` is the time since any fixed moment and is
/// monotonic.
#[derive(Clone, Debug)]
pub struct EngineCore {
    profile: EngineProfile,
    incarnation: id::Incarnation,
    sequences: slotmap::SlotMap<sequence::SequenceKey, sequence::Sequence>,
    by_id: collections::HashMap<id::GenerationId, sequence::SequenceKey>,
    /// All sequences in phase `Waiting`, and no others.
    waiting: collections::BTreeMap<sequence::QueueRank, sequence::SequenceKey>,
    /// All sequences in phase `Running`, and no others; at most `max_batch`.
    running: collections::BTreeMap<sequence::QueueRank, sequence::SequenceKey>,
    /// The step in progress; `None` when the engine is idle.
    plan: Option<batch::StepPlan>,
    pool: pool::BlockPool,
    /// Ended generations with the time at which they are forgotten, earliest first.
    ended: collections::VecDeque<(time::Duration, sequence::SequenceKey)>,
    /// Cancelled unknown ids; a start with one of them is refused.
    tombstones: collections::HashSet<id::GenerationId>,
    /// Expiry times of the tombstones, earliest first.
    tombstone_ends: collections::VecDeque<(time::Duration, id::GenerationId)>,
    models: Vec<call::LoadedModel>,
    role: String,
    loading: Option<orders::LoadingState>,
    fencing: Option<u64>,
    leaving: bool,
    history: feeds::LoadHistory,
    feed: feeds::CacheFeed,
    events: Vec<EngineEvent>,
    arrivals: u64,
    preemptions: u64,
    /// Preemptions over all incarnations of the process.
    preemptions_by_priority: [u64; 3],
    down: bool,
    stalled: bool,
    slow_factor: f64,
}

impl EngineCore {
    /// An idle engine with the profile's model loaded.
    #[must_use]
    pub fn new(profile: EngineProfile, incarnation: id::Incarnation, now: time::Duration) -> Self {
        let models = vec![call::LoadedModel {
            model: profile.model.clone(),
            version: profile.version.clone(),
            adapters: profile.adapters.clone(),
        }];
        let mut core = Self {
            incarnation,
            sequences: slotmap::SlotMap::with_key(),
            by_id: collections::HashMap::new(),
            waiting: collections::BTreeMap::new(),
            running: collections::BTreeMap::new(),
            plan: None,
            pool: pool::BlockPool::new(profile.total_blocks),
            ended: collections::VecDeque::new(),
            tombstones: collections::HashSet::new(),
            tombstone_ends: collections::VecDeque::new(),
            models,
            role: profile.role.clone(),
            loading: None,
            fencing: None,
            leaving: false,
            history: feeds::LoadHistory::new(&profile, now),
            feed: feeds::CacheFeed::new(&profile),
            events: Vec::new(),
            arrivals: 0,
            preemptions: 0,
            preemptions_by_priority: [0; 3],
            down: false,
            stalled: false,
            slow_factor: 1.0,
            profile,
        };
        core.observe(now);
        core
    }

    /// Advances to `now` and returns all events since the last call.
    pub fn step(&mut self, now: time::Duration) -> Vec<EngineEvent> {
        self.advance(now);
        mem::take(&mut self.events)
    }

    /// Preemptions over all incarnations of the process, by priority.
    #[must_use]
    pub const fn preemptions_by_priority(&self) -> [u64; 3] {
        self.preemptions_by_priority
    }

    /// Time at which `step` next has work to do, unless another call comes first.
    #[must_use]
    pub fn next_wake(&self) -> Option<time::Duration> {
        if self.down {
            return None;
        }
        let plan = self.plan.as_ref().filter(|_| !self.stalled);
        let times = [
            plan.map(|plan| plan.ends_at),
            self.loading.as_ref().map(|loading| loading.ready_at),
            self.ended.front().map(|entry| entry.0),
            self.tombstone_ends.front().map(|entry| entry.0),
        ];
        times.into_iter().flatten().min()
    }

    /// Adds a generation to the queue.
    ///
    /// # Errors
    ///
    /// Returns the reason if the generation was not started.
    pub fn start(&mut self, now: time::Duration, call: &StartCall) -> Result<(), EngineError> {
        self.advance(now);
        self.check_start(call)?;
        self.observe(now);
        self.arrivals += 1;
        let sequence = sequence::Sequence::new(call, self.arrivals, &self.profile);
        let rank = sequence.rank;
        let key = self.sequences.insert(sequence);
        self.by_id.insert(call.id, key);
        self.waiting.insert(rank, key);
        if self.plan.is_none() && !self.stalled {
            self.begin_step(now);
        }
        Ok(())
    }

    fn check_start(&self, call: &StartCall) -> Result<(), EngineError> {
        if self.down {
            return error::DownSnafu.fail();
        }
        if self.by_id.contains_key(&call.id) || self.tombstones.contains(&call.id) {
            return error::KnownSnafu { id: call.id }.fail();
        }
        let Some(loaded) = self.models.iter().find(|loaded| loaded.model == call.model) else {
            return error::NotLoadedSnafu { name: &call.model }.fail();
        };
        if let Some(adapter) = call
            .adapter
            .as_ref()
            .filter(|name| !loaded.adapters.contains(name))
        {
            return error::NotLoadedSnafu { name: adapter }.fail();
        }
        let limit = self.context_limit();
        let tokens = call.prompt.split_whitespace().count() as u32;
        if tokens >= limit {
            return error::TooLongSnafu { tokens, limit }.fail();
        }
        Ok(())
    }

    /// Maximum number of tokens of one generation, prompt and output together.
    fn context_limit(&self) -> u32 {
        let memory = self
            .profile
            .total_blocks
            .saturating_mul(self.profile.block_tokens);
        memory.min(self.profile.context_tokens)
    }

    /// Cancels a generation, or records an unknown id so that its start is refused.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine is down.
    pub fn cancel(
        &mut self,
        now: time::Duration,
        generation: id::GenerationId,
    ) -> Result<call::CancelAnswer, EngineError> {
        self.advance(now);
        if self.down {
            return error::DownSnafu.fail();
        }
        self.observe(now);
        let Some(&key) = self.by_id.get(&generation) else {
            let until = now + time::Duration::from_millis(self.profile.tombstone_ms);
            if self.tombstones.insert(generation) {
                self.tombstone_ends.push_back((until, generation));
            }
            return Ok(call::CancelAnswer::Remembered);
        };
        self.end(now, key, call::FinishReason::Cancelled);
        let sequence = &self.sequences[key];
        Ok(call::CancelAnswer::Known {
            ran: sequence.ran,
            produced: sequence.produced,
        })
    }

    /// Returns the progress of a generation.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine doesn't hold the generation.
    pub fn progress(
        &self,
        generation: id::GenerationId,
    ) -> Result<call::GenerationProgress, EngineError> {
        if self.down {
            return error::DownSnafu.fail();
        }
        let key = self.by_id.get(&generation);
        let progress = key.map(|key| self.sequences[*key].progress());
        progress.ok_or(EngineError::NotHeld { id: generation })
    }

    /// Returns the newest load report that is visible at `now`.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine is down.
    pub fn load(&mut self, now: time::Duration) -> Result<call::LoadReport, EngineError> {
        self.advance(now);
        if self.down {
            return error::DownSnafu.fail();
        }
        self.observe(now);
        Ok(self.history.newest(now))
    }

    /// Returns the cache events with numbers above `after` that are visible at `now`.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine is down.
    pub fn cache_events(
        &mut self,
        now: time::Duration,
        after: u64,
    ) -> Result<feeds::CachePage, EngineError> {
        const PAGE_EVENTS: usize = 1_000;
        self.advance(now);
        if self.down {
            return error::DownSnafu.fail();
        }
        Ok(self.feed.page(now, after, PAGE_EVENTS))
    }

    /// Returns the current load, without the reporting lag.
    #[must_use]
    pub fn report(&self) -> call::LoadReport {
        call::LoadReport {
            incarnation: self.incarnation,
            taken_ms_ago: 0,
            total_blocks: self.profile.total_blocks,
            free_blocks: self.pool.free(),
            block_tokens: self.profile.block_tokens,
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            preemptions: self.preemptions,
            models: self.models.clone(),
            role: self.role.clone(),
            leaving: self.leaving,
        }
    }

    /// Returns the block pool.
    #[must_use]
    pub const fn pool(&self) -> &pool::BlockPool {
        &self.pool
    }

    /// Returns the engine's profile.
    #[must_use]
    pub const fn profile(&self) -> &EngineProfile {
        &self.profile
    }

    /// Returns whether the engine is down.
    #[must_use]
    pub const fn is_down(&self) -> bool {
        self.down
    }

    /// Processes everything due up to `now`, in order of time. The result doesn't depend on how
    /// often this is called.
    fn advance(&mut self, now: time::Duration) {
        while !self.down {
            let ready_at = self.loading.as_ref().map(|loading| loading.ready_at);
            let ends_at = self.plan.as_ref().map(|plan| plan.ends_at);
            let ends_at = ends_at.filter(|_| !self.stalled);
            match (ready_at, ends_at) {
                (Some(at), _) if at <= now && ends_at.is_none_or(|ends_at| at <= ends_at) => {
                    self.finish_loading(at);
                }
                (_, Some(at)) if at <= now => self.next_step(at),
                _ => break,
            }
        }
        if !self.down {
            self.forget(now);
        }
    }

    fn next_step(&mut self, now: time::Duration) {
        self.observe(now);
        if let Some(plan) = self.plan.take() {
            self.finish_step(&plan);
        }
        self.begin_step(now);
    }

    /// Records the load reports that are due. Must be called before any change at `now`.
    fn observe(&mut self, now: time::Duration) {
        if self.history.is_due(now) {
            let report = self.report();
            self.history.observe(now, report);
        }
    }

    fn forget(&mut self, now: time::Duration) {
        while let Some((_, key)) = self.ended.pop_front_if(|entry| entry.0 <= now) {
            if let Some(sequence) = self.sequences.remove(key) {
                self.by_id.remove(&sequence.id);
                let event = EngineEvent::Forgotten { id: sequence.id };
                self.events.push(event);
            }
        }
        while let Some((_, id)) = self.tombstone_ends.pop_front_if(|entry| entry.0 <= now) {
            self.tombstones.remove(&id);
        }
    }
}

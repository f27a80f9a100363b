//! State of each model engine as seen by this entry VM: delayed load reports, corrected by the
//! generations that this VM runs there.
//!
//! A report shows the load of an engine half a second to some seconds ago. The part of this VM at
//! that time is subtracted; the remainder belongs to other VMs and stays unknown until the next
//! report. If each of nine entry VMs filled the free capacity shown by the same report, they would
//! fill it nine times over. Each VM therefore takes only its share of the free capacity, plus what
//! its own ended generations have freed since.

use base::{class, id};
use tokio::time;

use crate::{length, request::TicketKey, risk, ticket};

/// Location of a server or an entry VM. The caller assigns the numbers; equal numbers mean the same
/// region or failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerLocation {
    /// Number of the region.
    pub region: u16,
    /// Number of the failure domain.
    pub failure_domain: u16,
}

/// Inventory data of a model engine.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Hash of the engine's name: the same in every process, and different for each engine.
    pub identity: u64,
    /// Location of the engine.
    pub location: ServerLocation,
    /// Models that the engine serves now.
    pub models: Vec<id::ModelKey>,
    /// Total number of KV cache blocks.
    pub total_blocks: u32,
    /// Tokens per KV cache block.
    pub block_tokens: u32,
    /// Maximum number of concurrent generations.
    pub max_batch: u32,
}

/// Load report of an engine, as polled by its watcher.
#[derive(Clone, Copy, Debug)]
pub struct LoadReport {
    /// Time of the measurement on this VM's clock: arrival time minus age.
    pub taken_at: time::Instant,
    /// Total number of KV cache blocks.
    pub total_blocks: u32,
    /// KV cache blocks that no generation holds.
    pub free_blocks: u32,
    /// Generations in the engine's batch.
    pub running: u32,
    /// Generations in the engine's own queue.
    pub waiting: u32,
    /// Preemptions since the engine started.
    pub preemptions: u64,
    /// Whether the engine is leaving.
    pub leaving: bool,
}

/// Number of generations and the memory that they hold now and later.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadSum {
    /// Number of generations.
    pub running: f32,
    /// Memory of the generations, in tokens.
    pub memory: risk::MemoryLoad,
}

impl LoadSum {
    /// Adds one generation.
    pub fn add_generation(&mut self, load: &risk::MemoryLoad) {
        self.running += 1.0;
        self.memory.add(load);
    }

    /// Removes one generation.
    pub fn remove_generation(&mut self, load: &risk::MemoryLoad) {
        self.running = (self.running - 1.0).max(0.0);
        self.memory.subtract(load);
        if self.running < 0.5 {
            *self = Self::default();
        }
    }
}

/// Generation of this VM that ended, kept until a report was taken after its end.
#[derive(Clone, Copy, Debug)]
pub struct EndedGeneration {
    /// Time of its end.
    pub at: time::Instant,
    /// Memory that it held.
    pub load: risk::MemoryLoad,
}

/// Maximum number of ended generations tracked per server. Older ones count as if still running.
const MAX_ENDED_GENERATIONS: usize = 128;

/// Half-life of the failure score.
const FAILURE_HALF_LIFE: time::Duration = time::Duration::from_secs(5);

/// Weight of one token interval in the moving average of the step duration.
const STEP_DURATION_WEIGHT: f32 = 0.03;

/// Model engine as seen by this entry VM.
#[derive(Clone, Debug)]
pub struct ServerView {
    /// Inventory data of the engine.
    pub spec: EngineSpec,
    /// Whether the engine is leaving; stays true for this incarnation of the server.
    pub leaving: bool,
    /// Whether membership suspects the server of having failed.
    pub suspected: bool,
    /// This VM's generations, running or just started.
    pub own: LoadSum,
    /// Deferrable generations among `own`.
    pub own_deferrable: LoadSum,
    /// Other VMs' generations as of the latest report.
    pub others: LoadSum,
    /// Generations in `own` that were started after the latest report was taken.
    pub started: LoadSum,
    /// This VM's generations that ended after the latest report was taken.
    pub ended: LoadSum,
    /// Tickets of this VM's generations, in no particular order.
    pub tickets: Vec<TicketKey>,
    /// Latest load report.
    pub report: Option<LoadReport>,
    /// Random number in 0..1, drawn anew with each report, that rounds shares of capacity to whole
    /// generations. The shares are exact in the mean over all entry VMs.
    pub draw: f32,
    /// Mean seconds between two tokens of one generation; 0 while unknown.
    pub step: f32,
    /// Prompt tokens sent to the engine for generations that have no first token yet.
    pub prefill: f32,
    /// Number of this VM's generations without a first token.
    pub unstarted: u32,
    /// Time of the engine's latest sign of life to a generation of this VM.
    pub active_at: time::Instant,
    /// Variance added to other VMs' memory per second, in tokens squared.
    memory_churn: f32,
    /// Number of other VMs' generations that end per second, and of those that start.
    turnover: f32,
    ended_log: std::collections::VecDeque<EndedGeneration>,
    failure: f32,
    failure_at: time::Instant,
}

impl ServerView {
    /// Creates a server of which only its inventory data is known.
    #[must_use]
    pub fn new(spec: EngineSpec, now: time::Instant) -> Self {
        Self {
            spec,
            leaving: false,
            suspected: false,
            own: LoadSum::default(),
            own_deferrable: LoadSum::default(),
            others: LoadSum::default(),
            started: LoadSum::default(),
            ended: LoadSum::default(),
            tickets: Vec::new(),
            report: None,
            draw: 0.0,
            step: 0.0,
            prefill: 0.0,
            unstarted: 0,
            active_at: now,
            memory_churn: 0.0,
            turnover: 0.0,
            ended_log: std::collections::VecDeque::new(),
            failure: 0.0,
            failure_at: now,
        }
    }

    /// Returns the size of the engine's memory in tokens.
    #[must_use]
    pub fn capacity(&self) -> f32 {
        let blocks = self
            .report
            .map_or(self.spec.total_blocks, |report| report.total_blocks);
        (blocks * self.spec.block_tokens) as f32
    }

    /// Returns the age of the latest report.
    #[must_use]
    pub fn report_age(&self, now: time::Instant) -> Option<time::Duration> {
        let report = self.report?;
        Some(now.saturating_duration_since(report.taken_at))
    }

    /// Returns the mean number of tokens added by rounding a generation's memory up to whole
    /// blocks.
    #[must_use]
    pub fn rounding(&self) -> f32 {
        self.spec.block_tokens as f32 / 2.0
    }

    fn started_since_report(&self, started_at: time::Instant) -> bool {
        self.report
            .is_none_or(|report| started_at > report.taken_at)
    }

    /// Counts the start of a generation of this VM. Returns its index in `tickets`.
    pub fn start(
        &mut self,
        ticket: TicketKey,
        load: &risk::MemoryLoad,
        prefill: f32,
        deferrable: bool,
        now: time::Instant,
    ) -> usize {
        if self.own.running < 0.5 {
            self.active_at = now;
        }
        self.own.add_generation(load);
        self.started.add_generation(load);
        if deferrable {
            self.own_deferrable.add_generation(load);
        }
        self.prefill += prefill;
        self.unstarted += 1;
        self.tickets.push(ticket);
        self.tickets.len() - 1
    }

    /// Handles the first token of a generation of this VM.
    pub fn first_token(&mut self, prefill: f32, now: time::Instant) {
        self.active_at = now;
        self.failure = 0.0;
        self.end_prefill(prefill);
    }

    /// Stops counting a generation as waiting for its first token.
    fn end_prefill(&mut self, prefill: f32) {
        self.unstarted = self.unstarted.saturating_sub(1);
        self.prefill = (self.prefill - prefill).max(0.0);
        if self.unstarted == 0 {
            self.prefill = 0.0;
        }
    }

    /// Replaces the predicted memory of a generation of this VM.
    pub fn refresh_load(
        &mut self,
        old: &risk::MemoryLoad,
        new: &risk::MemoryLoad,
        started_at: time::Instant,
        deferrable: bool,
    ) {
        let since_report = self.started_since_report(started_at);
        let sums = [
            (true, &mut self.own),
            (since_report, &mut self.started),
            (deferrable, &mut self.own_deferrable),
        ];
        for (_, sum) in sums.into_iter().filter(|(counted, _)| *counted) {
            sum.memory.subtract(old);
            sum.memory.add(new);
        }
    }

    /// Counts the end of a generation of this VM. The last ticket in `tickets` moves to the index
    /// of the ended one.
    pub fn end(&mut self, run: &ticket::RunState, deferrable: bool, now: time::Instant) {
        self.tickets.swap_remove(run.index);
        self.own.remove_generation(&run.load);
        if deferrable {
            self.own_deferrable.remove_generation(&run.load);
        }
        if run.produced == 0 {
            self.end_prefill(run.prefill);
        }
        if self.started_since_report(run.started_at) {
            self.started.remove_generation(&run.load);
            return;
        }
        self.ended.add_generation(&run.load);
        if self.ended_log.len() == MAX_ENDED_GENERATIONS {
            self.ended_log.pop_front();
        }
        let load = run.load;
        self.ended_log.push_back(EndedGeneration { at: now, load });
    }

    /// Resets other VMs' generations, the leaving state and the failures after a restart of the
    /// engine.
    pub fn restart(&mut self, now: time::Instant) {
        self.leaving = false;
        self.suspected = false;
        self.others = LoadSum::default();
        self.report = None;
        self.step = 0.0;
        self.active_at = now;
        self.failure = 0.0;
        self.ended_log.clear();
        self.ended = LoadSum::default();
        self.started = self.own;
    }

    /// Applies a newer report. `own_at_report` is the load of this VM's still running generations
    /// when the report was taken; `started` is the load of those started since.
    pub fn take_report(
        &mut self,
        report: LoadReport,
        own_at_report: LoadSum,
        started: LoadSum,
        residual: &length::ResidualCurve,
    ) {
        self.leaving |= report.leaving;
        while self
            .ended_log
            .front()
            .is_some_and(|ended| ended.at <= report.taken_at)
        {
            self.ended_log.pop_front();
        }
        self.ended = LoadSum::default();
        for ended in &self.ended_log {
            self.ended.add_generation(&ended.load);
        }
        let block_tokens = self.spec.block_tokens as f32;
        let used = report.total_blocks.saturating_sub(report.free_blocks) as f32 * block_tokens;
        let running = (report.running + report.waiting) as f32;
        let own_running = own_at_report.running + self.ended.running;
        let own_used = own_at_report.memory.mean[0] + self.ended.memory.mean[0];
        let waiting = report.waiting as f32 * own_used / own_running.max(1.0);
        self.set_others(running - own_running, used + waiting - own_used, residual);
        self.started = started;
        self.report = Some(report);
    }

    fn set_others(&mut self, running: f32, used: f32, residual: &length::ResidualCurve) {
        let running = running.max(0.0);
        let used = used.max(0.0);
        let each = used / running.max(1.0);
        self.others.running = running;
        for (index, distance) in risk::HORIZONS.into_iter().enumerate() {
            let (alive, size) = (residual.alive[index], each + distance);
            // The standard deviation of the sizes is about their mean, hence the factor of 2.
            let spread = if distance == 0.0 {
                0.0
            } else {
                alive * (2.0 - alive)
            };
            self.others.memory.mean[index] = if distance == 0.0 {
                used
            } else {
                running * alive * size
            };
            self.others.memory.variance[index] = running * spread * size * size;
        }
        // Each generation ends once per mean length, and about as many start.
        let step = if self.step > 0.0 { self.step } else { 0.03 };
        let turnover = running / (residual.mean_length * step).max(step);
        self.memory_churn = 2.0 * turnover * each * each;
        self.turnover = turnover;
    }

    /// Returns the standard deviation of the number of generations, from the age of the latest
    /// report.
    #[must_use]
    pub fn running_spread(&self, now: time::Instant) -> f32 {
        let age = self.report_age(now).unwrap_or_default().as_secs_f32();
        (2.0 * self.turnover * age).sqrt()
    }

    /// Returns the memory of all generations, including the uncertainty caused by the age of the
    /// report.
    #[must_use]
    pub fn total_memory(&self, now: time::Instant) -> risk::MemoryLoad {
        let mut load = self.own.memory;
        load.add(&self.others.memory);
        let age = self.report_age(now).unwrap_or_default().as_secs_f32();
        for variance in &mut load.variance {
            *variance += self.memory_churn * age;
        }
        load
    }

    /// Records the `interval` between two tokens of a generation.
    pub fn record_step(&mut self, interval: f32, now: time::Instant) {
        self.active_at = now;
        self.step = if self.step == 0.0 {
            interval
        } else {
            // The interval during a preemption is not a step, so the effect of a single interval is
            // bounded.
            STEP_DURATION_WEIGHT.mul_add(interval.min(4.0 * self.step) - self.step, self.step)
        };
    }

    /// Adds a failed generation or call to the failure score.
    pub fn fail(&mut self, weight: f32, now: time::Instant) {
        self.failure = self.failure(now) + weight;
        self.failure_at = now;
    }

    /// Returns the failure score, decayed by age.
    #[must_use]
    pub fn failure(&self, now: time::Instant) -> f32 {
        if self.failure == 0.0 {
            return 0.0;
        }
        let age = now.saturating_duration_since(self.failure_at).as_secs_f32();
        self.failure * (-age / FAILURE_HALF_LIFE.as_secs_f32()).exp2()
    }

    /// Returns the engine priority of a class.
    #[must_use]
    pub const fn priority(class: class::TrafficClass) -> u8 {
        class.index() as u8
    }
}

//! What this entry VM knows of each model engine: lagged reports, corrected by its own streams.
//!
//! A report tells how full the engine was when its watcher looked, half a second to some seconds
//! ago. What this VM had there at that moment is taken out of it; the residual is what others have,
//! and their part is unknown until the next report. Were each of nine entry VMs to fill the room
//! that the same report shows, they would fill it nine times over. So each takes only its share
//! of the room, and again what its own ended generations gave back since.

use base::{class, id};
use tokio::time;

use crate::{length, request::TicketKey, risk, ticket};

/// Where a server or an entry VM stands. The numbers are the caller's; equal means same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerLocation {
    /// Number of its region.
    pub region: u16,
    /// Number of its failure domain.
    pub failure_domain: u16,
}

/// What the inventory says of a model engine.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Hash of its name: equal in every process, different for each engine.
    pub identity: u64,
    /// Where it stands.
    pub location: ServerLocation,
    /// Models that it serves now.
    pub models: Vec<id::ModelKey>,
    /// KV cache blocks that it has.
    pub total_blocks: u32,
    /// Tokens in one block.
    pub block_tokens: u32,
    /// Generations that it runs at once at the most.
    pub max_batch: u32,
}

/// One load report of an engine, as its watcher took it.
#[derive(Clone, Copy, Debug)]
pub struct LoadReport {
    /// Instant on this VM's clock that the load is as of: arrival less its age.
    pub taken_at: time::Instant,
    /// KV cache blocks that it has.
    pub total_blocks: u32,
    /// Blocks that no generation holds.
    pub free_blocks: u32,
    /// Generations in its batch.
    pub running: u32,
    /// Generations in its own queue.
    pub waiting: u32,
    /// Preemptions since it started.
    pub preemptions: u64,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Generations and the memory that they hold and will hold.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadSum {
    /// Generations.
    pub running: f32,
    /// Their memory, in tokens.
    pub memory: risk::MemoryLoad,
}

impl LoadSum {
    /// Adds one generation.
    pub fn add_generation(&mut self, load: &risk::MemoryLoad) {
        self.running += 1.0;
        self.memory.add(load);
    }

    /// Takes one generation away.
    pub fn remove_generation(&mut self, load: &risk::MemoryLoad) {
        self.running = (self.running - 1.0).max(0.0);
        self.memory.subtract(load);
        if self.running < 0.5 {
            *self = Self::default();
        }
    }
}

/// One own generation that ended, kept until a report tells of a later moment.
#[derive(Clone, Copy, Debug)]
pub struct EndedGeneration {
    /// When it ended.
    pub at: time::Instant,
    /// What it held.
    pub load: risk::MemoryLoad,
}

/// Ended generations remembered of one server; more are summed as if still running.
const MAX_ENDED_LOADS: usize = 128;

/// Failures fade to half with this time.
const FAILURE_HALF_LIFE: time::Duration = time::Duration::from_secs(5);

/// What one token's arrival moves the estimate of the step by.
const STEP_DURATION_WEIGHT: f32 = 0.03;

/// One model engine as this entry VM sees it.
#[derive(Clone, Debug)]
pub struct ServerView {
    /// What the inventory says of it.
    pub spec: EngineSpec,
    /// Once true, stays true for this life of the server.
    pub leaving: bool,
    /// Whether membership suspects it.
    pub suspected: bool,
    /// Own generations, running or just started.
    pub own: LoadSum,
    /// Own deferrable ones among them.
    pub own_deferrable: LoadSum,
    /// Others' generations as of the newest report.
    pub others: LoadSum,
    /// Own ones that were started since the newest report was taken.
    pub started: LoadSum,
    /// Own ones that ended since then.
    pub ended: LoadSum,
    /// Own tickets, in no order.
    pub tickets: Vec<TicketKey>,
    /// The newest report.
    pub report: Option<LoadReport>,
    /// A number in 0..1, drawn with each report, by which shares of room are rounded: over all
    /// entry VMs the mean is exact, though each takes total_memory generations.
    pub draw: f32,
    /// Seconds between two tokens of one generation; 0 while unknown.
    pub step: f32,
    /// Prompt tokens sent there that have not brought a first token yet.
    pub prefill: f32,
    /// Own generations without a first token.
    pub unstarted: u32,
    /// When the engine last showed a sign of life to an own generation.
    pub active_at: time::Instant,
    /// Variance that one second adds to others' memory, in tokens squared.
    memory_churn: f32,
    /// Generations of others that end, and as many that begin, in one second.
    turnover: f32,
    ended_log: std::collections::VecDeque<EndedGeneration>,
    failure: f32,
    failure_at: time::Instant,
}

impl ServerView {
    /// A server of which nothing but its inventory entry is known.
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

    /// Tokens that its memory holds.
    #[must_use]
    pub fn capacity(&self) -> f32 {
        let blocks = self
            .report
            .map_or(self.spec.total_blocks, |report| report.total_blocks);
        (blocks * self.spec.block_tokens) as f32
    }

    /// Age of the newest report.
    #[must_use]
    pub fn report_age(&self, now: time::Instant) -> Option<time::Duration> {
        let report = self.report?;
        Some(now.saturating_duration_since(report.taken_at))
    }

    /// What rounding a generation's memory up to total_memory blocks adds, in tokens, in the mean.
    #[must_use]
    pub fn rounding(&self) -> f32 {
        self.spec.block_tokens as f32 / 2.0
    }

    fn started_since_report(&self, started_at: time::Instant) -> bool {
        self.report
            .is_none_or(|report| started_at > report.taken_at)
    }

    /// An own generation starts there. Returns its index in `tickets`.
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

    /// An own generation's first token came.
    pub fn first_token(&mut self, prefill: f32, now: time::Instant) {
        self.active_at = now;
        self.failure = 0.0;
        self.end_prefill(prefill);
    }

    /// A generation no longer waits for its first token.
    fn end_prefill(&mut self, prefill: f32) {
        self.unstarted = self.unstarted.saturating_sub(1);
        self.prefill = (self.prefill - prefill).max(0.0);
        if self.unstarted == 0 {
            self.prefill = 0.0;
        }
    }

    /// An own generation's memory was worked out anew.
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

    /// An own generation ended there. The ticket that takes its index in `tickets` has moved.
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
        if self.ended_log.len() == MAX_ENDED_LOADS {
            self.ended_log.pop_front();
        }
        let load = run.load;
        self.ended_log.push_back(EndedGeneration { at: now, load });
    }

    /// The engine restarted: others' generations, its leaving and its failures are gone.
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

    /// Takes in a newer report. `own_at_report` is what this VM had there when it was taken, as far
    /// as it still runs; `started` what it has started there since.
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
            // Sizes differ about as much as they are large, hence the factor of 2.
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
        // Each ends once in its mean length, and about as many begin.
        let step = if self.step > 0.0 { self.step } else { 0.03 };
        let turnover = running / (residual.mean_length * step).max(step);
        self.memory_churn = 2.0 * turnover * each * each;
        self.turnover = turnover;
    }

    /// Deviation of the number of generations there, from the age of what is known of others'.
    #[must_use]
    pub fn running_spread(&self, now: time::Instant) -> f32 {
        let age = self.report_age(now).unwrap_or_default().as_secs_f32();
        (2.0 * self.turnover * age).sqrt()
    }

    /// Memory of all generations there, own and others', with the doubt that age brings.
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

    /// A token came `interval` after the one before it.
    pub fn record_step(&mut self, interval: f32, now: time::Instant) {
        self.active_at = now;
        self.step = if self.step == 0.0 {
            interval
        } else {
            // A preempted stream's interval is not a step: bound what one can do.
            STEP_DURATION_WEIGHT.mul_add(interval.min(4.0 * self.step) - self.step, self.step)
        };
    }

    /// A generation or call failed there.
    pub fn fail(&mut self, weight: f32, now: time::Instant) {
        self.failure = self.failure(now) + weight;
        self.failure_at = now;
    }

    /// Recent failures, faded by age.
    #[must_use]
    pub fn failure(&self, now: time::Instant) -> f32 {
        if self.failure == 0.0 {
            return 0.0;
        }
        let age = now.saturating_duration_since(self.failure_at).as_secs_f32();
        self.failure * (-age / FAILURE_HALF_LIFE.as_secs_f32()).exp2()
    }

    /// Engine priority of a class.
    #[must_use]
    pub const fn priority(class: class::TrafficClass) -> u8 {
        class.index() as u8
    }
}

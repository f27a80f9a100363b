//! A small continuously batching engine, on virtual time.

use std::collections;

/// What an engine is.
#[derive(Clone, Copy, Debug)]
pub struct EngineSize {
    pub total_blocks: u32,
    pub block_tokens: u32,
    pub max_batch: usize,
    /// Seconds of a step before anything is in it.
    pub step_base: f64,
    /// Seconds that each decoding generation adds.
    pub step_each: f64,
    /// Seconds that each prompt token adds.
    pub step_prefill: f64,
    /// Most prompt tokens taken in one step.
    pub prefill_chunk: u32,
    /// Tokens of prefixes that the cache keeps.
    pub cache_tokens: u32,
}

impl Default for EngineSize {
    fn default() -> Self {
        Self {
            total_blocks: 2_000,
            block_tokens: 16,
            max_batch: 48,
            step_base: 0.020,
            step_each: 0.000_15,
            step_prefill: 0.000_02,
            prefill_chunk: 192,
            cache_tokens: 6_000,
        }
    }
}

/// One generation to run.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    pub request: usize,
    pub priority: u8,
    pub prompt: u32,
    pub length: u32,
    pub prefix: (u64, u32),
}

#[derive(Clone, Debug)]
struct Sequence {
    work: Work,
    order: u64,
    produced: u32,
    blocks: u32,
    prefill: u32,
}

/// What one step brought to one generation.
#[derive(Clone, Copy, Debug)]
pub enum Output {
    Token { request: usize },
    Finished { request: usize, cached: u32 },
    Preempted { request: usize },
}

#[derive(Clone, Debug)]
pub struct Engine {
    pub size: EngineSize,
    pub alive: bool,
    /// 1.0, or 0.5 for half speed.
    pub speed: f64,
    pub preemptions: u64,
    waiting: collections::BTreeMap<(u8, u64), Sequence>,
    running: Vec<Sequence>,
    used: u32,
    next_order: u64,
    cache: Vec<(u64, u32, u64)>,
    clock: u64,
    cached_of: collections::HashMap<usize, u32>,
}

impl Engine {
    pub fn new(size: EngineSize) -> Self {
        Self {
            size,
            alive: true,
            speed: 1.0,
            preemptions: 0,
            waiting: collections::BTreeMap::new(),
            running: Vec::new(),
            used: 0,
            next_order: 0,
            cache: Vec::new(),
            clock: 0,
            cached_of: collections::HashMap::new(),
        }
    }

    pub fn running(&self) -> usize {
        self.running.len()
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub fn free_blocks(&self) -> u32 {
        self.size.total_blocks - self.used
    }

    pub fn idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// True state of what runs: request and tokens produced, for the oracle.
    pub fn progress(&self) -> impl Iterator<Item = (usize, u32)> + '_ {
        let waiting = self.waiting.values();
        let all = self.running.iter().chain(waiting);
        all.map(|sequence| (sequence.work.request, sequence.produced))
    }

    pub fn submit(&mut self, work: Work) {
        let order = self.next_order;
        self.next_order += 1;
        let sequence = Sequence {
            work,
            order,
            produced: 0,
            blocks: 0,
            prefill: 0,
        };
        self.waiting.insert((work.priority, order), sequence);
    }

    pub fn cancel(&mut self, request: usize) {
        self.waiting
            .retain(|_, sequence| sequence.work.request != request);
        if let Some(place) = self
            .running
            .iter()
            .position(|held| held.work.request == request)
        {
            let sequence = self.running.swap_remove(place);
            self.used -= sequence.blocks;
        }
    }

    /// Everything is lost; returns the requests.
    pub fn die(&mut self) -> Vec<usize> {
        let lost = self.progress().map(|(request, _)| request).collect();
        let fresh = Self::new(self.size);
        let preemptions = self.preemptions;
        *self = Self {
            alive: false,
            preemptions,
            ..fresh
        };
        lost
    }

    fn blocks_for(&self, tokens: u32) -> u32 {
        tokens.div_ceil(self.size.block_tokens)
    }

    fn cached(&mut self, prefix: (u64, u32)) -> u32 {
        self.clock += 1;
        let clock = self.clock;
        match self.cache.iter_mut().find(|(hash, ..)| *hash == prefix.0) {
            Some(held) => {
                held.2 = clock;
                held.1
            }
            None => 0,
        }
    }

    fn store(&mut self, prefix: (u64, u32)) {
        if prefix.1 == 0 || self.cached(prefix) > 0 {
            return;
        }
        self.cache.push((prefix.0, prefix.1, self.clock));
        while self.cache.iter().map(|(_, tokens, _)| tokens).sum::<u32>() > self.size.cache_tokens {
            let oldest = (0..self.cache.len()).min_by_key(|&place| self.cache[place].2);
            self.cache.swap_remove(oldest.expect("not empty"));
        }
    }

    fn admit(&mut self) {
        while self.running.len() < self.size.max_batch {
            let Some(entry) = self.waiting.first_entry() else {
                break;
            };
            let sequence = entry.get();
            let tokens = sequence.work.prompt + sequence.produced + 1;
            let blocks = tokens.div_ceil(self.size.block_tokens);
            if blocks > self.size.total_blocks - self.used {
                break;
            }
            let mut sequence = entry.remove();
            sequence.blocks = blocks;
            self.used += blocks;
            let cached = self
                .cached(sequence.work.prefix)
                .min(sequence.work.prompt - 1);
            self.cached_of.insert(sequence.work.request, cached);
            sequence.prefill = sequence.work.prompt + sequence.produced - cached;
            self.running.push(sequence);
        }
    }

    /// Frees a block for `order` by stopping the least urgent, newest generation. Says whether
    /// `order` itself had to go.
    fn make_room(&mut self, order: u64, outputs: &mut Vec<Output>) -> bool {
        while self.used >= self.size.total_blocks {
            let place = (0..self.running.len())
                .max_by_key(|&place| {
                    let held = &self.running[place];
                    (held.work.priority, held.order)
                })
                .expect("somebody holds the memory");
            let mut victim = self.running.remove(place);
            self.used -= victim.blocks;
            victim.blocks = 0;
            self.preemptions += 1;
            outputs.push(Output::Preempted {
                request: victim.work.request,
            });
            let gone = victim.order;
            self.waiting
                .insert((victim.work.priority, victim.order), victim);
            if gone == order {
                return true;
            }
        }
        false
    }

    /// Runs one step; returns how long it took.
    pub fn step(&mut self, outputs: &mut Vec<Output>) -> f64 {
        self.admit();
        let mut chunk = self.size.prefill_chunk;
        let mut order: Vec<(u8, u64)> = self
            .running
            .iter()
            .map(|held| (held.work.priority, held.order))
            .collect();
        order.sort_unstable();
        let mut decoding = 0;
        for (_, number) in order {
            let Some(place) = self.running.iter().position(|held| held.order == number) else {
                continue;
            };
            let taken = self.running[place].prefill.min(chunk);
            chunk -= taken;
            let sequence = &mut self.running[place];
            sequence.prefill -= taken;
            if sequence.prefill > 0 {
                continue;
            }
            decoding += 1;
            let prefix = sequence.work.prefix;
            let first = sequence.produced == 0;
            let tokens = sequence.work.prompt + sequence.produced + 1;
            let more = tokens.div_ceil(self.size.block_tokens) > sequence.blocks;
            if first {
                self.store(prefix);
            }
            if more {
                if self.make_room(number, outputs) {
                    continue;
                }
                self.used += 1;
            }
            let place = self.running.iter().position(|held| held.order == number);
            let place = place.expect("it was not stopped");
            let sequence = &mut self.running[place];
            sequence.blocks += u32::from(more);
            sequence.produced += 1;
            let request = sequence.work.request;
            outputs.push(Output::Token { request });
            if sequence.produced >= sequence.work.length {
                let done = self.running.swap_remove(place);
                self.used -= done.blocks;
                let cached = self.cached_of.remove(&request).unwrap_or(0);
                outputs.push(Output::Finished { request, cached });
            }
        }
        let taken = f64::from(self.size.prefill_chunk - chunk);
        let size = &self.size;
        let time =
            size.step_base + size.step_each * f64::from(decoding) + size.step_prefill * taken;
        debug_assert!(self.used <= self.blocks_for(u32::MAX));
        time / self.speed
    }
}

//! Steps of continuous batching: chooses which generations decode, prefill or are preempted.

use std::{mem, time};

use super::{EngineCore, call, sequence};

/// A step in progress.
#[derive(Clone, Debug)]
pub struct StepPlan {
    /// Time at which the step ends.
    pub ends_at: time::Duration,
    /// Generations that produce a token.
    decode: Vec<sequence::SequenceKey>,
    /// Generations that prefill, with the number of tokens.
    prefill: Vec<(sequence::SequenceKey, u32)>,
}

impl EngineCore {
    /// Chooses the next step and begins it at `now`.
    pub(super) fn begin_step(&mut self, now: time::Duration) {
        self.grow_running(now);
        self.admit_waiting(now);
        self.feed.push(now, self.pool.drain_changes());
        if self.down {
            return;
        }
        let (decode, prefill) = self.choose_work();
        if decode.is_empty() && prefill.is_empty() {
            self.plan = None;
            return;
        }
        let prefill_tokens: u32 = prefill.iter().map(|entry| entry.1).sum();
        let cost_us = self.profile.step_base_us
            + self.profile.step_sequence_us * decode.len() as u64
            + self.profile.prefill_token_us * u64::from(prefill_tokens);
        // A step of zero duration would keep a single call of `step` looping forever.
        let cost = time::Duration::from_micros(cost_us.max(1)).mul_f64(self.slow_factor.max(0.001));
        self.plan = Some(StepPlan {
            ends_at: now + cost,
            decode,
            prefill,
        });
    }

    fn choose_work(
        &self,
    ) -> (
        Vec<sequence::SequenceKey>,
        Vec<(sequence::SequenceKey, u32)>,
    ) {
        let mut budget = self.profile.prefill_chunk_tokens.max(1);
        let mut decode = Vec::new();
        let mut prefill = Vec::new();
        for &key in self.running.values() {
            match self.sequences[key].phase {
                sequence::SequencePhase::Running { prefill_left: 0 } => decode.push(key),
                sequence::SequencePhase::Running { prefill_left } if budget > 0 => {
                    let tokens = prefill_left.min(budget);
                    budget -= tokens;
                    prefill.push((key, tokens));
                }
                _ => {}
            }
        }
        (decode, prefill)
    }

    /// Ends the step: its generations produce their tokens, except those that ended meanwhile.
    pub(super) fn finish_step(&mut self, plan: &StepPlan) {
        for &(key, tokens) in &plan.prefill {
            let Some(sequence) = self.sequences.get_mut(key) else {
                continue;
            };
            let sequence::SequencePhase::Running { prefill_left } = &mut sequence.phase else {
                continue;
            };
            *prefill_left -= tokens;
            if *prefill_left == 0 {
                self.store_prompt(key);
                self.produce(plan.ends_at, key);
            }
        }
        for &key in &plan.decode {
            let phase = self.sequences.get(key).map(|sequence| sequence.phase);
            if matches!(phase, Some(sequence::SequencePhase::Running { .. })) {
                self.produce(plan.ends_at, key);
            }
        }
        self.feed.push(plan.ends_at, self.pool.drain_changes());
    }

    fn store_prompt(&mut self, key: sequence::SequenceKey) {
        let sequence = &mut self.sequences[key];
        for &hash in &sequence.chain[sequence.held.len()..] {
            if !self.pool.store(hash, sequence.held.len() as u32 + 1) {
                break;
            }
            sequence.private -= 1;
            sequence.held.push(hash);
        }
    }

    fn produce(&mut self, now: time::Duration, key: sequence::SequenceKey) {
        let sequence = &mut self.sequences[key];
        let seq = sequence.produced;
        sequence.produced += 1;
        let ends = sequence.produced >= sequence.target;
        let reason = sequence.reason;
        let id = sequence.id;
        self.events
            .push(call::EngineEvent::Token { id, seq, at: now });
        if ends {
            self.end(now, key, reason);
        }
    }

    /// Allocates blocks for the next token of each decoding generation, most urgent first.
    fn grow_running(&mut self, now: time::Duration) {
        let keys: Vec<sequence::SequenceKey> = self.running.values().copied().collect();
        for key in keys {
            while self.lacks_block(key) {
                if self.pool.take(1) {
                    self.sequences[key].private += 1;
                } else if self.running.len() == 1 {
                    // The only running generation already has all the memory; preempting it
                    // could not help.
                    self.end(now, key, call::FinishReason::Length);
                } else {
                    self.preempt_last(now);
                }
            }
        }
    }

    fn lacks_block(&self, key: sequence::SequenceKey) -> bool {
        let sequence = &self.sequences[key];
        let runs = matches!(sequence.phase, sequence::SequencePhase::Running { .. });
        runs && sequence.blocks() * self.profile.block_tokens < sequence.context() + 1
    }

    /// Preempts the latest arrival of the least urgent priority.
    fn preempt_last(&mut self, now: time::Duration) {
        let Some((rank, key)) = self.running.pop_last() else {
            return;
        };
        let sequence = &mut self.sequences[key];
        sequence.phase = sequence::SequencePhase::Waiting;
        sequence.preempted += 1;
        let private = mem::take(&mut sequence.private);
        let held = mem::take(&mut sequence.held);
        let id = sequence.id;
        self.pool.release(private, &held);
        self.waiting.insert(rank, key);
        self.preemptions += 1;
        let class = usize::from(rank.priority).min(self.preemptions_by_priority.len() - 1);
        self.preemptions_by_priority[class] += 1;
        self.events
            .push(call::EngineEvent::Preempted { id, at: now });
    }

    /// Fills the batch from the queue; more urgent generations may preempt less urgent ones.
    fn admit_waiting(&mut self, now: time::Duration) {
        while let Some((&rank, &key)) = self.waiting.first_key_value() {
            let full = self.running.len() >= self.profile.max_batch.max(1) as usize;
            if !full && self.admit(now, rank, key) {
                if self.sequences[key].crashes {
                    self.die(now);
                    return;
                }
                continue;
            }
            let last = self.running.last_key_value();
            if last.is_none_or(|(other, _)| other.priority <= rank.priority) {
                return;
            }
            self.preempt_last(now);
        }
    }

    /// Moves a queued generation into the batch if its context and one more token fit.
    fn admit(
        &mut self,
        now: time::Duration,
        rank: sequence::QueueRank,
        key: sequence::SequenceKey,
    ) -> bool {
        let sequence = &mut self.sequences[key];
        let block_tokens = self.profile.block_tokens;
        // At least one token must be recomputed to produce the next one.
        let usable = (sequence.context() - 1) / block_tokens;
        let usable = sequence.chain.len().min(usable as usize);
        let (hits, idle) = self.pool.find(&sequence.chain[..usable]);
        let need = (sequence.context() + 1).div_ceil(block_tokens) - hits as u32;
        // Keep some blocks free, or the new generation is preempted as soon as the others grow.
        let slack = self.profile.total_blocks / 100;
        let slack = if self.running.is_empty() { 0 } else { slack };
        if need + idle + slack > self.pool.free() {
            return false;
        }
        for &hash in &sequence.chain[..hits] {
            self.pool.hold(hash);
        }
        let taken = self.pool.take(need);
        debug_assert!(taken, "free blocks were counted above");
        sequence.private = need;
        sequence.held = sequence.chain[..hits].to_vec();
        let cached = hits as u32 * block_tokens;
        if !sequence.ran {
            sequence.ran = true;
            sequence.cached_tokens = cached;
        }
        sequence.phase = sequence::SequencePhase::Running {
            prefill_left: sequence.context() - cached,
        };
        let id = sequence.id;
        self.waiting.remove(&rank);
        self.running.insert(rank, key);
        self.events
            .push(call::EngineEvent::Admitted { id, at: now });
        true
    }

    /// Ends a generation that has not ended yet, and frees its blocks.
    pub(super) fn end(
        &mut self,
        now: time::Duration,
        key: sequence::SequenceKey,
        reason: call::FinishReason,
    ) {
        let sequence = &mut self.sequences[key];
        if sequence.finish.is_some() {
            return;
        }
        let report = sequence.report(reason);
        sequence.finish = Some(report);
        sequence.phase = sequence::SequencePhase::Ended;
        let private = mem::take(&mut sequence.private);
        let held = mem::take(&mut sequence.held);
        let (id, rank) = (sequence.id, sequence.rank);
        self.pool.release(private, &held);
        self.waiting.remove(&rank);
        self.running.remove(&rank);
        let kept = time::Duration::from_millis(self.profile.kept_ms);
        self.ended.push_back((now + kept, key));
        let event = call::EngineEvent::Finished {
            id,
            report,
            at: now,
        };
        self.events.push(event);
    }
}

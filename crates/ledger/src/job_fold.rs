//! The state of one partition's deferrable jobs, as a pure function of its records.

use std::{cmp, collections};

use base::id;

use crate::{driver, job_tombstones, jobs, parts, record};

/// State of a job from its acceptance until its result expires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobState {
    /// The organisation that the job belongs to.
    pub organisation: String,
    /// Time of acceptance on the log's clock.
    pub accepted_ms: u64,
    /// Time for which the result is kept, in milliseconds.
    pub kept_ms: u64,
    /// The request while the job is unfinished, then the result.
    pub bytes: bytes::Bytes,
    /// Stage of the job.
    pub stage: jobs::JobStage,
    /// The record from which a new reader learns of the job: its acceptance or the last record that
    /// carried its state.
    pub anchor: record::RecordPlace,
    /// Offset of the last entry that concerns the job.
    last: u64,
    /// Claims processed since the anchor; a repetition of one changes nothing. Claims whose writers
    /// had not read the anchor are refused, so older ids need not be kept.
    processed_claims: Vec<id::RecordId>,
}

/// The deferrable jobs of one partition.
#[derive(Clone, Debug)]
pub struct JobFold {
    limits: jobs::JobLimits,
    jobs: collections::HashMap<id::RequestId, JobState>,
    /// Unfinished jobs by time of acceptance.
    unfinished: collections::BTreeSet<(u64, id::RequestId)>,
    /// Finished jobs by the time at which their results expire.
    expiries: collections::BinaryHeap<cmp::Reverse<(u64, id::RequestId)>>,
    buffer: parts::PartBuffer,
    tombstones: job_tombstones::JobTombstones,
    held_bytes: usize,
    /// Highest timestamp of the records read so far.
    now_ms: u64,
}

/// Position of an entry on the log, and the position up to which its writer had read.
#[derive(Clone, Copy, Debug)]
struct EntryPlace {
    offset: u64,
    at_ms: u64,
    seen: u64,
    id: id::RecordId,
}

impl JobFold {
    /// Creates a fold that has read no record.
    #[must_use]
    pub fn new(limits: jobs::JobLimits) -> Self {
        Self::starting_at(limits, 0)
    }

    fn starting_at(limits: jobs::JobLimits, first: u64) -> Self {
        Self {
            limits,
            jobs: collections::HashMap::new(),
            unfinished: collections::BTreeSet::new(),
            expiries: collections::BinaryHeap::new(),
            buffer: parts::PartBuffer::default(),
            tombstones: job_tombstones::JobTombstones::starting_at(first),
            held_bytes: 0,
            now_ms: 0,
        }
    }

    /// Returns the state of a job.
    #[must_use]
    pub fn get(&self, job: id::RequestId) -> Option<&JobState> {
        self.jobs.get(&job)
    }

    /// Returns the unfinished jobs, oldest first.
    pub fn unfinished(&self) -> impl Iterator<Item = (id::RequestId, &JobState)> {
        self.unfinished
            .iter()
            .filter_map(|(_, job)| self.jobs.get(job).map(|state| (*job, state)))
    }

    /// Returns the total size of the held requests and results, in bytes.
    #[must_use]
    pub const fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Whether a claim at `at_ms` on the log's clock could take the job.
    #[must_use]
    pub fn is_free(&self, state: &JobState, at_ms: u64) -> bool {
        match &state.stage {
            jobs::JobStage::Waiting => true,
            jobs::JobStage::Held(held) => {
                at_ms >= held.alive_ms + held.hold_ms + self.limits.margin_ms
            }
            jobs::JobStage::Finished(_) => false,
        }
    }

    /// Returns the jobs that must be appended again by `now_ms` on the log's clock, oldest anchor
    /// first.
    #[must_use]
    pub fn carry_due(&self, now_ms: u64, max: usize) -> Vec<id::RequestId> {
        let mut due: Vec<(u64, id::RequestId)> = self
            .jobs
            .iter()
            .map(|(job, state)| (state.anchor.at_ms, *job))
            .filter(|(at_ms, _)| at_ms + self.limits.carry_after_ms <= now_ms)
            .collect();
        due.sort_unstable();
        due.truncate(max);
        due.into_iter().map(|(_, job)| job).collect()
    }

    fn accept(&mut self, place: EntryPlace, item: jobs::AcceptItem) -> jobs::JobVerdict {
        if self.jobs.contains_key(&item.job) {
            return jobs::JobVerdict::Accepted;
        }
        if !self.tombstones.admits_acceptance(item.job, place.seen) {
            return jobs::JobVerdict::Stale;
        }
        let Some(bytes) = self.buffer.join(place.id, &item.body) else {
            return jobs::JobVerdict::Incomplete;
        };
        let state = JobState {
            organisation: item.organisation,
            accepted_ms: place.at_ms,
            kept_ms: item.kept_ms,
            bytes,
            stage: jobs::JobStage::Waiting,
            anchor: place.record(),
            last: place.offset,
            processed_claims: Vec::new(),
        };
        self.insert(item.job, state);
        jobs::JobVerdict::Accepted
    }

    /// Applies a claim. Of two claims the first in the log's order holds the job; a later one takes
    /// it only once the holder of the earlier one must have stopped.
    fn claim(&mut self, place: EntryPlace, item: jobs::JobClaimItem) -> jobs::JobVerdict {
        let Some(mut state) = self.jobs.remove(&item.job) else {
            self.tombstones
                .record_unread(place.at_ms, place.offset, item.job);
            return jobs::JobVerdict::NotTaken;
        };
        let verdict = self.claim_job(place, &item, &mut state);
        state.last = place.offset;
        self.jobs.insert(item.job, state);
        verdict
    }

    fn claim_job(
        &self,
        place: EntryPlace,
        item: &jobs::JobClaimItem,
        state: &mut JobState,
    ) -> jobs::JobVerdict {
        let holds = matches!(&state.stage, jobs::JobStage::Held(held) if held.claim == place.id);
        if holds {
            return jobs::JobVerdict::Taken;
        }
        if place.seen <= state.anchor.offset || state.processed_claims.contains(&place.id) {
            return jobs::JobVerdict::NotTaken;
        }
        state.processed_claims.push(place.id);
        if !self.is_free(state, place.at_ms) {
            return jobs::JobVerdict::NotTaken;
        }
        state.stage = jobs::JobStage::Held(jobs::HeldStage {
            claim: place.id,
            holder: item.holder.clone(),
            hold_ms: item.hold_ms,
            alive_ms: place.at_ms,
        });
        jobs::JobVerdict::Taken
    }

    /// Returns the job if it is unfinished and held by the claim of `item`.
    fn held_by(
        &mut self,
        place: EntryPlace,
        item: jobs::HolderItem,
    ) -> Option<(&mut JobState, jobs::HeldStage)> {
        let Some(state) = self.jobs.get_mut(&item.job) else {
            self.tombstones
                .record_unread(place.at_ms, place.offset, item.job);
            return None;
        };
        state.last = place.offset;
        let jobs::JobStage::Held(held) = &state.stage else {
            return None;
        };
        if held.claim != item.claim {
            return None;
        }
        let held = held.clone();
        Some((state, held))
    }

    fn renew(&mut self, place: EntryPlace, item: jobs::HolderItem) -> jobs::JobVerdict {
        let Some((state, mut held)) = self.held_by(place, item) else {
            return jobs::JobVerdict::Superseded;
        };
        held.alive_ms = held.alive_ms.max(place.at_ms);
        state.stage = jobs::JobStage::Held(held);
        jobs::JobVerdict::Renewed
    }

    fn release(&mut self, place: EntryPlace, item: jobs::HolderItem) -> jobs::JobVerdict {
        if let Some((state, _)) = self.held_by(place, item) {
            state.stage = jobs::JobStage::Waiting;
        }
        jobs::JobVerdict::Applied
    }

    /// Applies a result. Only a result under the newest claim is stored: a holder that was
    /// superseded during a pause could otherwise add a second answer or replace its successor's.
    fn finish(&mut self, place: EntryPlace, item: &jobs::FinishItem) -> jobs::JobVerdict {
        let holder = jobs::HolderItem {
            job: item.job,
            claim: item.claim,
        };
        if self.held_by(place, holder).is_none() {
            return self.finished_before(holder);
        }
        let Some(bytes) = self.buffer.join(place.id, &item.result) else {
            return jobs::JobVerdict::Incomplete;
        };
        let Some(mut state) = self.remove(item.job) else {
            return jobs::JobVerdict::Superseded;
        };
        state.bytes = bytes;
        state.stage = jobs::JobStage::Finished(jobs::FinishedStage {
            claim: item.claim,
            at_ms: place.at_ms,
            fetched_ms: None,
        });
        self.insert(item.job, state);
        jobs::JobVerdict::Kept
    }

    fn finished_before(&self, holder: jobs::HolderItem) -> jobs::JobVerdict {
        let stage = self.jobs.get(&holder.job).map(|state| &state.stage);
        match stage {
            Some(jobs::JobStage::Finished(done)) if done.claim == holder.claim => {
                jobs::JobVerdict::Kept
            }
            _ => jobs::JobVerdict::Superseded,
        }
    }

    fn fetched(&mut self, place: EntryPlace, job: id::RequestId) -> jobs::JobVerdict {
        let Some(mut state) = self.remove(job) else {
            self.tombstones
                .record_unread(place.at_ms, place.offset, job);
            return jobs::JobVerdict::Applied;
        };
        state.last = place.offset;
        if let jobs::JobStage::Finished(done) = &mut state.stage {
            done.fetched_ms = done.fetched_ms.or(Some(place.at_ms));
        }
        self.insert(job, state);
        jobs::JobVerdict::Applied
    }

    /// Applies a carried state. It is valid only if no entry has changed the job since the position
    /// up to which its writer had read: then a reader that starts later learns from it exactly what
    /// the others learned from the earlier records.
    fn carry(&mut self, place: EntryPlace, item: jobs::CarryItem) -> jobs::JobVerdict {
        if let Some(state) = self.jobs.get_mut(&item.job) {
            if state.last >= place.seen {
                return jobs::JobVerdict::Stale;
            }
            state.anchor = place.record();
            state.last = place.offset;
            state.processed_claims.clear();
            return jobs::JobVerdict::Applied;
        }
        if !self.tombstones.admits_carried(item.job, place.seen) {
            return jobs::JobVerdict::Stale;
        }
        let Some(bytes) = self.buffer.join(place.id, &item.bytes) else {
            return jobs::JobVerdict::Incomplete;
        };
        self.tombstones.remove(item.job);
        let state = JobState {
            organisation: item.organisation,
            accepted_ms: item.accepted_ms,
            kept_ms: item.kept_ms,
            bytes,
            stage: item.stage,
            anchor: place.record(),
            last: place.offset,
            processed_claims: Vec::new(),
        };
        self.insert(item.job, state);
        jobs::JobVerdict::Applied
    }

    fn insert(&mut self, job: id::RequestId, state: JobState) {
        self.held_bytes += state.bytes.len();
        match self.expiry_ms(&state) {
            Some(expiry_ms) => self.expiries.push(cmp::Reverse((expiry_ms, job))),
            None => {
                self.unfinished.insert((state.accepted_ms, job));
            }
        }
        self.jobs.insert(job, state);
    }

    fn remove(&mut self, job: id::RequestId) -> Option<JobState> {
        let state = self.jobs.remove(&job)?;
        self.held_bytes -= state.bytes.len();
        self.unfinished.remove(&(state.accepted_ms, job));
        Some(state)
    }

    fn expiry_ms(&self, state: &JobState) -> Option<u64> {
        let jobs::JobStage::Finished(done) = &state.stage else {
            return None;
        };
        let kept_ms = done.at_ms + state.kept_ms;
        let fetched_ms = done
            .fetched_ms
            .map_or(u64::MAX, |at_ms| at_ms + self.limits.fetched_kept_ms);
        Some(kept_ms.min(fetched_ms))
    }

    fn expire(&mut self, at_ms: u64) {
        self.now_ms = self.now_ms.max(at_ms);
        let oldest_ms = self.now_ms.saturating_sub(self.limits.memory_ms);
        self.buffer.expire(oldest_ms);
        self.tombstones.expire(oldest_ms);
        while let Some(&cmp::Reverse((expiry_ms, job))) = self.expiries.peek() {
            if expiry_ms >= self.now_ms {
                return;
            }
            self.expiries.pop();
            let current = self.jobs.get(&job).and_then(|state| self.expiry_ms(state));
            if current == Some(expiry_ms)
                && let Some(state) = self.remove(job)
            {
                self.tombstones.record_expired(self.now_ms, state.last, job);
            }
        }
    }
}

impl EntryPlace {
    const fn record(self) -> record::RecordPlace {
        record::RecordPlace {
            offset: self.offset,
            at_ms: self.at_ms,
        }
    }
}

impl driver::LogFold for JobFold {
    type Entry = jobs::JobEntry;
    type Verdict = jobs::JobVerdict;

    fn apply(
        &mut self,
        place: record::RecordPlace,
        batch: record::BatchRecord<jobs::JobEntry>,
    ) -> Vec<driver::EntryVerdict<jobs::JobVerdict>> {
        self.expire(place.at_ms);
        let mut verdicts = Vec::with_capacity(batch.entries.len());
        for entry in batch.entries {
            let place = EntryPlace {
                offset: place.offset,
                at_ms: place.at_ms,
                seen: entry.seen,
                id: entry.id,
            };
            let verdict = match entry.item {
                jobs::JobEntry::Accept(item) => self.accept(place, item),
                jobs::JobEntry::Part(item) => {
                    self.buffer.put(place.at_ms, item);
                    jobs::JobVerdict::Applied
                }
                jobs::JobEntry::Claim(item) => self.claim(place, item),
                jobs::JobEntry::Renew(item) => self.renew(place, item),
                jobs::JobEntry::Release(item) => self.release(place, item),
                jobs::JobEntry::Finish(item) => self.finish(place, &item),
                jobs::JobEntry::Fetched(item) => self.fetched(place, item.job),
                jobs::JobEntry::Carry(item) => self.carry(place, item),
                jobs::JobEntry::Other => continue,
            };
            let id = entry.id;
            verdicts.push(driver::EntryVerdict { id, verdict });
        }
        verdicts
    }

    /// Discards all state: while this process did not read, other processes carried the unfinished
    /// jobs and may have finished them.
    fn restart(&mut self, first: u64) {
        *self = Self::starting_at(self.limits.clone(), first);
    }
}

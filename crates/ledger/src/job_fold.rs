//! The state of one partition's deferrable work: a pure function of its records.

use std::{cmp, collections};

use base::id;

use crate::{driver, job_memory, jobs, parts, record};

/// Some work that is accepted and not forgotten.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobState {
    /// The organisation that it belongs to.
    pub organisation: String,
    /// When it was accepted, on the log's clock.
    pub accepted_ms: u64,
    /// How long its result is kept, in milliseconds.
    pub kept_ms: u64,
    /// The request while it is unfinished, then the result.
    pub bytes: bytes::Bytes,
    /// How far it has come.
    pub stage: jobs::JobStage,
    /// The record that a reader needs to know this work: its acceptance, or the last one that
    /// carried it.
    pub anchor: record::RecordPlace,
    /// Offset of the last entry that concerns it.
    last: u64,
    /// Claims met since the anchor; a repeated one changes nothing. A claim whose writer had not
    /// read the anchor does not count, so older ones need not be remembered.
    spent: Vec<id::RecordId>,
}

/// The deferrable work of one partition.
#[derive(Clone, Debug)]
pub struct JobFold {
    limits: jobs::JobLimits,
    works: collections::HashMap<id::RequestId, JobState>,
    /// Unfinished work by time of acceptance.
    open: collections::BTreeSet<(u64, id::RequestId)>,
    /// Finished work by the time at which it is forgotten.
    expiries: collections::BinaryHeap<cmp::Reverse<(u64, id::RequestId)>>,
    buffer: parts::PartBuffer,
    memory: job_memory::JobMemory,
    held_bytes: usize,
    /// Highest time that a record has shown.
    now_ms: u64,
}

/// Where an entry stands, and how far its writer had read.
#[derive(Clone, Copy, Debug)]
struct EntryPlace {
    offset: u64,
    at_ms: u64,
    seen: u64,
    id: id::RecordId,
}

impl JobFold {
    /// A fold without any record.
    #[must_use]
    pub fn new(limits: jobs::JobLimits) -> Self {
        Self::since(limits, 0)
    }

    fn since(limits: jobs::JobLimits, first: u64) -> Self {
        Self {
            limits,
            works: collections::HashMap::new(),
            open: collections::BTreeSet::new(),
            expiries: collections::BinaryHeap::new(),
            buffer: parts::PartBuffer::default(),
            memory: job_memory::JobMemory::since(first),
            held_bytes: 0,
            now_ms: 0,
        }
    }

    /// Some work.
    #[must_use]
    pub fn get(&self, job: id::RequestId) -> Option<&JobState> {
        self.works.get(&job)
    }

    /// Unfinished work, oldest first.
    pub fn open(&self) -> impl Iterator<Item = (id::RequestId, &JobState)> {
        self.open
            .iter()
            .filter_map(|(_, job)| self.works.get(job).map(|work| (*job, work)))
    }

    /// Bytes of requests and results that are held.
    #[must_use]
    pub const fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Whether a claim at `at_ms` on the log's clock could hold the work.
    #[must_use]
    pub fn is_free(&self, work: &JobState, at_ms: u64) -> bool {
        match &work.stage {
            jobs::JobStage::Waiting => true,
            jobs::JobStage::Held(held) => {
                at_ms >= held.alive_ms + held.hold_ms + self.limits.margin_ms
            }
            jobs::JobStage::Finished(_) => false,
        }
    }

    /// Work that must be appended again by `now_ms` on the log's clock, most pressing first.
    #[must_use]
    pub fn carry_due(&self, now_ms: u64, max: usize) -> Vec<id::RequestId> {
        let mut due: Vec<(u64, id::RequestId)> = self
            .works
            .iter()
            .map(|(job, work)| (work.anchor.at_ms, *job))
            .filter(|(at_ms, _)| at_ms + self.limits.carry_after_ms <= now_ms)
            .collect();
        due.sort_unstable();
        due.truncate(max);
        due.into_iter().map(|(_, job)| job).collect()
    }

    fn accept(&mut self, place: EntryPlace, item: jobs::AcceptItem) -> jobs::JobVerdict {
        if self.works.contains_key(&item.job) {
            return jobs::JobVerdict::Accepted;
        }
        if !self.memory.admits_new(item.job, place.seen) {
            return jobs::JobVerdict::Stale;
        }
        let Some(bytes) = self.buffer.join(place.id, &item.body) else {
            return jobs::JobVerdict::Incomplete;
        };
        let work = JobState {
            organisation: item.organisation,
            accepted_ms: place.at_ms,
            kept_ms: item.kept_ms,
            bytes,
            stage: jobs::JobStage::Waiting,
            anchor: place.record(),
            last: place.offset,
            spent: Vec::new(),
        };
        self.insert(item.job, work);
        jobs::JobVerdict::Accepted
    }

    /// The log's order decides between two claims; a later one counts only once the holder of the
    /// earlier one must have stopped.
    fn claim(&mut self, place: EntryPlace, item: jobs::JobClaimItem) -> jobs::JobVerdict {
        let Some(mut work) = self.works.remove(&item.job) else {
            self.memory.note_unread(place.at_ms, place.offset, item.job);
            return jobs::JobVerdict::NotTaken;
        };
        let verdict = self.claim_work(place, &item, &mut work);
        work.last = place.offset;
        self.works.insert(item.job, work);
        verdict
    }

    fn claim_work(
        &self,
        place: EntryPlace,
        item: &jobs::JobClaimItem,
        work: &mut JobState,
    ) -> jobs::JobVerdict {
        let holds = matches!(&work.stage, jobs::JobStage::Held(held) if held.claim == place.id);
        if holds {
            return jobs::JobVerdict::Taken;
        }
        if place.seen <= work.anchor.offset || work.spent.contains(&place.id) {
            return jobs::JobVerdict::NotTaken;
        }
        work.spent.push(place.id);
        if !self.is_free(work, place.at_ms) {
            return jobs::JobVerdict::NotTaken;
        }
        work.stage = jobs::JobStage::Held(jobs::HeldStage {
            claim: place.id,
            holder: item.holder.clone(),
            hold_ms: item.hold_ms,
            alive_ms: place.at_ms,
        });
        jobs::JobVerdict::Taken
    }

    /// The work, if `claim` is the newest claim that counts and the work is unfinished.
    fn held_by(
        &mut self,
        place: EntryPlace,
        item: jobs::HolderItem,
    ) -> Option<(&mut JobState, jobs::HeldStage)> {
        let Some(work) = self.works.get_mut(&item.job) else {
            self.memory.note_unread(place.at_ms, place.offset, item.job);
            return None;
        };
        work.last = place.offset;
        let jobs::JobStage::Held(held) = &work.stage else {
            return None;
        };
        if held.claim != item.claim {
            return None;
        }
        let held = held.clone();
        Some((work, held))
    }

    fn renew(&mut self, place: EntryPlace, item: jobs::HolderItem) -> jobs::JobVerdict {
        let Some((work, mut held)) = self.held_by(place, item) else {
            return jobs::JobVerdict::Superseded;
        };
        held.alive_ms = held.alive_ms.max(place.at_ms);
        work.stage = jobs::JobStage::Held(held);
        jobs::JobVerdict::Renewed
    }

    fn release(&mut self, place: EntryPlace, item: jobs::HolderItem) -> jobs::JobVerdict {
        if let Some((work, _)) = self.held_by(place, item) {
            work.stage = jobs::JobStage::Waiting;
        }
        jobs::JobVerdict::Noted
    }

    /// Only a result under the newest claim counts: a holder that was superseded while it paused
    /// would otherwise put a second answer beside, or in place of, its successor's.
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
        let Some(mut work) = self.remove(item.job) else {
            return jobs::JobVerdict::Superseded;
        };
        work.bytes = bytes;
        work.stage = jobs::JobStage::Finished(jobs::FinishedStage {
            claim: item.claim,
            at_ms: place.at_ms,
            fetched_ms: None,
        });
        self.insert(item.job, work);
        jobs::JobVerdict::Kept
    }

    fn finished_before(&self, holder: jobs::HolderItem) -> jobs::JobVerdict {
        let stage = self.works.get(&holder.job).map(|work| &work.stage);
        match stage {
            Some(jobs::JobStage::Finished(done)) if done.claim == holder.claim => {
                jobs::JobVerdict::Kept
            }
            _ => jobs::JobVerdict::Superseded,
        }
    }

    fn fetched(&mut self, place: EntryPlace, job: id::RequestId) -> jobs::JobVerdict {
        let Some(mut work) = self.remove(job) else {
            self.memory.note_unread(place.at_ms, place.offset, job);
            return jobs::JobVerdict::Noted;
        };
        work.last = place.offset;
        if let jobs::JobStage::Finished(done) = &mut work.stage {
            done.fetched_ms = done.fetched_ms.or(Some(place.at_ms));
        }
        self.insert(job, work);
        jobs::JobVerdict::Noted
    }

    /// A carried state counts only when nothing happened to the work since its writer had read:
    /// then it tells a reader that starts later just what the earlier records told the others.
    fn carry(&mut self, place: EntryPlace, item: jobs::CarryItem) -> jobs::JobVerdict {
        if let Some(work) = self.works.get_mut(&item.job) {
            if work.last >= place.seen {
                return jobs::JobVerdict::Stale;
            }
            work.anchor = place.record();
            work.last = place.offset;
            work.spent.clear();
            return jobs::JobVerdict::Noted;
        }
        if !self.memory.admits_carried(item.job, place.seen) {
            return jobs::JobVerdict::Stale;
        }
        let Some(bytes) = self.buffer.join(place.id, &item.bytes) else {
            return jobs::JobVerdict::Incomplete;
        };
        self.memory.take_up(item.job);
        let work = JobState {
            organisation: item.organisation,
            accepted_ms: item.accepted_ms,
            kept_ms: item.kept_ms,
            bytes,
            stage: item.stage,
            anchor: place.record(),
            last: place.offset,
            spent: Vec::new(),
        };
        self.insert(item.job, work);
        jobs::JobVerdict::Noted
    }

    fn insert(&mut self, job: id::RequestId, work: JobState) {
        self.held_bytes += work.bytes.len();
        match self.expiry_ms(&work) {
            Some(expiry_ms) => self.expiries.push(cmp::Reverse((expiry_ms, job))),
            None => {
                self.open.insert((work.accepted_ms, job));
            }
        }
        self.works.insert(job, work);
    }

    fn remove(&mut self, job: id::RequestId) -> Option<JobState> {
        let work = self.works.remove(&job)?;
        self.held_bytes -= work.bytes.len();
        self.open.remove(&(work.accepted_ms, job));
        Some(work)
    }

    fn expiry_ms(&self, work: &JobState) -> Option<u64> {
        let jobs::JobStage::Finished(done) = &work.stage else {
            return None;
        };
        let kept_ms = done.at_ms + work.kept_ms;
        let fetched_ms = done
            .fetched_ms
            .map_or(u64::MAX, |at_ms| at_ms + self.limits.fetched_kept_ms);
        Some(kept_ms.min(fetched_ms))
    }

    fn forget(&mut self, at_ms: u64) {
        self.now_ms = self.now_ms.max(at_ms);
        let oldest_ms = self.now_ms.saturating_sub(self.limits.memory_ms);
        self.buffer.forget(oldest_ms);
        self.memory.forget(oldest_ms);
        while let Some(&cmp::Reverse((expiry_ms, job))) = self.expiries.peek() {
            if expiry_ms >= self.now_ms {
                return;
            }
            self.expiries.pop();
            let current = self.works.get(&job).and_then(|work| self.expiry_ms(work));
            if current == Some(expiry_ms)
                && let Some(work) = self.remove(job)
            {
                self.memory.note_forgotten(self.now_ms, work.last, job);
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
        self.forget(place.at_ms);
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
                    jobs::JobVerdict::Noted
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

    /// Others carried what is unfinished, and may have finished it, while this process did not
    /// read; so nothing that it remembers may be trusted.
    fn restart(&mut self, first: u64) {
        *self = Self::since(self.limits.clone(), first);
    }
}

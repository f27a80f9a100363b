//! Deferrable work of one partition, appended and read by this process.

use std::{collections, sync};

use base::id;
use futures_util::future;
use tokio::time;

use crate::client::LogClient;
use crate::{appender, claim_calls, driver, job_calls, job_fold, jobs, partition, parts, record};

/// Settings of a [`JobStore`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobSettings {
    /// Time limits and bounds; the times are equal in all processes.
    pub limits: jobs::JobLimits,
    /// Bounds of the group commit.
    pub append: appender::AppendLimits,
}

/// The deferrable work of one partition. Its tasks end with it.
pub struct JobStore<C> {
    driver: driver::FoldDriver<C, job_fold::JobFold>,
    settings: JobSettings,
    /// Work that a claim of this process is under way for, so that its askers get different work.
    reserved: sync::Mutex<collections::HashSet<id::RequestId>>,
}

/// Work as it was found, with the position of the state in which it was found.
struct PickedJob<'a, C: LogClient> {
    store: &'a JobStore<C>,
    seen: u64,
    grant: job_calls::JobGrant,
}

/// A cancelled request must not keep its work from all later ones.
impl<C: LogClient> Drop for PickedJob<'_, C> {
    fn drop(&mut self) {
        self.store.reserved().remove(&self.grant.job);
    }
}

impl<C: LogClient> JobStore<C> {
    /// Starts to read the partition's stream; everything waits until it was read to its end.
    pub fn open(
        client: C,
        partition: partition::PartitionIndex,
        vm: &str,
        settings: JobSettings,
    ) -> Self {
        let fold = job_fold::JobFold::new(settings.limits.clone());
        let stream = partition::job_stream(partition);
        let limits = settings.append.clone();
        Self {
            driver: driver::FoldDriver::start(client, &stream, vm, fold, limits),
            settings,
            reserved: sync::Mutex::default(),
        }
    }

    /// Whether the partition was read to its end at least once.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        self.driver.is_loaded()
    }

    /// Accepts work: the reply comes when the log has it.
    pub async fn accept(&self, request: job_calls::AcceptRequest) -> job_calls::AcceptReply {
        let deadline = deadline_of(request.wait_ms);
        let size = request.body.len();
        let full = self
            .driver
            .view(|state| state.fold.held_bytes() + size > self.settings.limits.max_held_bytes);
        if full {
            return job_calls::AcceptReply::NotAccepted(job_calls::AcceptRefusal::Full);
        }
        let Some(seen) = self.driver.fresh_position(deadline).await else {
            let cause = appender::NotAppended::NotLoaded;
            return job_calls::AcceptReply::NotAccepted(job_calls::AcceptRefusal::NotAppended(
                cause,
            ));
        };
        let body = match self.put_parts(request.entry, request.body, deadline).await {
            Ok(body) => body,
            Err(cause) => return not_accepted(cause),
        };
        let entry = jobs::JobEntry::Accept(jobs::AcceptItem {
            job: request.job,
            organisation: request.organisation,
            kept_ms: request.kept_ms,
            body,
        });
        match self
            .driver
            .submit(request.entry, &entry, seen, deadline)
            .await
        {
            Ok(jobs::JobVerdict::Accepted) => job_calls::AcceptReply::Accepted,
            // "Stale" is this fold's word: one that has read for longer may have accepted it.
            Ok(_) | Err(driver::SubmitFault::Unsettled) => job_calls::AcceptReply::Unknown,
            Err(fault) => not_accepted(fault),
        }
    }

    /// Claims the oldest work that nobody does.
    pub async fn take_next(&self, request: job_calls::TakeRequest) -> job_calls::TakeReply {
        let deadline = deadline_of(request.wait_ms);
        if self.driver.fresh_position(deadline).await.is_none() {
            return job_calls::TakeReply::Unavailable;
        }
        let Some(picked) = self.pick(&request) else {
            return job_calls::TakeReply::Nothing;
        };
        let job = picked.grant.job;
        let entry = jobs::JobEntry::Claim(jobs::JobClaimItem {
            job,
            holder: request.holder,
            hold_ms: picked.grant.hold_ms,
        });
        let submitted = self
            .driver
            .submit(picked.grant.claim, &entry, picked.seen, deadline)
            .await;
        match submitted {
            Ok(jobs::JobVerdict::Taken) => job_calls::TakeReply::Taken(picked.grant.clone()),
            Ok(_) => job_calls::TakeReply::Nothing,
            Err(_) => job_calls::TakeReply::Unavailable,
        }
    }

    /// Reports that a holder is still at its work.
    pub async fn renew(&self, request: job_calls::RenewRequest) -> Vec<job_calls::RenewState> {
        let deadline = deadline_of(request.wait_ms);
        let renewals = request.entries.into_iter().map(|renewal| async move {
            let entry = jobs::JobEntry::Renew(renewal.item);
            let seen = self.driver.position();
            match self
                .driver
                .submit(renewal.entry, &entry, seen, deadline)
                .await
            {
                Ok(jobs::JobVerdict::Renewed) => job_calls::RenewState::Renewed,
                Ok(_) => job_calls::RenewState::Superseded,
                Err(_) => job_calls::RenewState::Unsettled,
            }
        });
        future::join_all(renewals).await
    }

    /// Gives work back.
    pub async fn release(
        &self,
        renewal: job_calls::RenewEntry,
        wait_ms: u64,
    ) -> claim_calls::RecordReply {
        let entry = jobs::JobEntry::Release(renewal.item);
        let seen = self.driver.position();
        let submitted = self
            .driver
            .submit(renewal.entry, &entry, seen, deadline_of(wait_ms));
        match submitted.await {
            Ok(_) => claim_calls::RecordReply::Recorded,
            Err(_) => claim_calls::RecordReply::NotRecorded,
        }
    }

    /// Records a result: the reply comes when the log has decided whether it counts.
    pub async fn finish(&self, request: job_calls::FinishRequest) -> job_calls::FinishReply {
        let deadline = deadline_of(request.wait_ms);
        let seen = self.driver.position();
        let parted = self
            .put_parts(request.entry, request.result, deadline)
            .await;
        let Ok(result) = parted else {
            return job_calls::FinishReply::NotRecorded;
        };
        let entry = jobs::JobEntry::Finish(jobs::FinishItem {
            job: request.job,
            claim: request.claim,
            result,
        });
        match self
            .driver
            .submit(request.entry, &entry, seen, deadline)
            .await
        {
            Ok(jobs::JobVerdict::Kept) => job_calls::FinishReply::Kept,
            Ok(jobs::JobVerdict::Superseded) => job_calls::FinishReply::Superseded,
            _ => job_calls::FinishReply::NotRecorded,
        }
    }

    /// What is known of some work. "Not found" is said only after a read that shows the log's end:
    /// work that another process has just accepted would otherwise be denied to its caller.
    pub async fn fetch(&self, job: id::RequestId, wait_ms: u64) -> job_calls::FetchReply {
        let deadline = deadline_of(wait_ms);
        if let Some(view) = self.find(job) {
            return job_calls::FetchReply::Found(view);
        }
        if !self.driver.catch_up(deadline).await {
            return job_calls::FetchReply::Unavailable;
        }
        self.find(job).map_or(
            job_calls::FetchReply::NotFound,
            job_calls::FetchReply::Found,
        )
    }

    /// Records that a caller has the result, which then need not be kept for its whole time.
    pub async fn note_fetched(&self, entry: id::RecordId, job: id::RequestId, wait_ms: u64) {
        let item = jobs::JobEntry::Fetched(jobs::FetchedItem { job });
        let seen = self.driver.position();
        let submitted = self.driver.submit(entry, &item, seen, deadline_of(wait_ms));
        // A lost note only keeps the result for longer.
        let _ = submitted.await;
    }

    /// Appends again what retention would drop soon, at most `max` pieces of work; returns how
    /// many were carried. To be called every few seconds by the entry VM that ranks first.
    pub async fn carry<R: rand::Rng + ?Sized>(&self, rng: &mut R, max: usize) -> usize {
        let due = self.carries_due(max);
        let mut carried = 0;
        for (seen, item, bytes) in due {
            let entry = id::RecordId::draw(rng);
            if !self.carry_one(entry, seen, item, bytes).await {
                break;
            }
            carried += 1;
        }
        carried
    }

    async fn carry_one(
        &self,
        entry: id::RecordId,
        seen: u64,
        mut item: jobs::CarryItem,
        bytes: bytes::Bytes,
    ) -> bool {
        let deadline = deadline_of(CARRY_WAIT_MS);
        match self.put_parts(entry, bytes, deadline).await {
            Ok(parted) => item.bytes = parted,
            Err(_) => return false,
        }
        let entry_item = jobs::JobEntry::Carry(item);
        let submitted = self.driver.submit(entry, &entry_item, seen, deadline);
        matches!(submitted.await, Ok(jobs::JobVerdict::Noted))
    }

    /// Without a reading of the log's clock the oldest work is carried, which gives one.
    fn carries_due(&self, max: usize) -> Vec<(u64, jobs::CarryItem, bytes::Bytes)> {
        let now = time::Instant::now();
        if self.driver.is_unreadable() {
            return Vec::new();
        }
        self.driver.view(|state| {
            let fold = &state.fold;
            let due = match state.clock {
                Some(clock) => fold.carry_due(clock.now_ms(now), max),
                None => fold.carry_due(u64::MAX, 1),
            };
            due.into_iter()
                .filter_map(|job| fold.get(job).map(|work| (job, work)))
                .map(|(job, work)| (state.position, carry_item(job, work), work.bytes.clone()))
                .collect()
        })
    }

    /// Without a reading of the log's clock held work is tried too: the log decides, and the try
    /// gives a reading.
    fn pick(&self, request: &job_calls::TakeRequest) -> Option<PickedJob<'_, C>> {
        let now = time::Instant::now();
        let hold_ms = self.settings.limits.hold_ms;
        let mut reserved = self.reserved();
        let (seen, grant) = self.driver.view(|state| {
            let at_ms = state.clock.map_or(u64::MAX, |clock| clock.now_ms(now));
            let (job, work) = state
                .fold
                .open()
                .find(|(job, work)| state.fold.is_free(work, at_ms) && !reserved.contains(job))?;
            let grant = job_calls::JobGrant {
                job,
                claim: record::derived_id(request.claim, job.0),
                organisation: work.organisation.clone(),
                body: work.bytes.clone(),
                hold_ms,
            };
            Some((state.position, grant))
        })?;
        reserved.insert(grant.job);
        Some(PickedJob {
            store: self,
            seen,
            grant,
        })
    }

    fn find(&self, job: id::RequestId) -> Option<job_calls::FoundJob> {
        self.driver.view(|state| {
            let work = state.fold.get(job)?;
            let view = match &work.stage {
                jobs::JobStage::Waiting => jobs::JobView::Waiting,
                jobs::JobStage::Held(_) => jobs::JobView::Running,
                jobs::JobStage::Finished(_) => jobs::JobView::Finished(jobs::JobResult {
                    bytes: work.bytes.clone(),
                }),
            };
            let organisation = work.organisation.clone();
            Some(job_calls::FoundJob { organisation, view })
        })
    }

    async fn put_parts(
        &self,
        owner: id::RecordId,
        bytes: bytes::Bytes,
        deadline: time::Instant,
    ) -> Result<parts::PartedBytes, driver::SubmitFault> {
        let (items, parted) = parts::split(owner, bytes, self.settings.limits.part_bytes);
        let puts = items.into_iter().map(|item| async move {
            let part = parts::part_id(&item);
            let entry = jobs::JobEntry::Part(item);
            let seen = self.driver.position();
            self.driver.submit(part, &entry, seen, deadline).await
        });
        for put in future::join_all(puts).await {
            put?;
        }
        Ok(parted)
    }

    fn reserved(&self) -> sync::MutexGuard<'_, collections::HashSet<id::RequestId>> {
        self.reserved
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Time limit of one carried state.
const CARRY_WAIT_MS: u64 = 5_000;

fn deadline_of(wait_ms: u64) -> time::Instant {
    time::Instant::now() + time::Duration::from_millis(wait_ms)
}

/// A part that may be on the log does no harm: without its owner it is forgotten.
const fn not_accepted(fault: driver::SubmitFault) -> job_calls::AcceptReply {
    let cause = match fault {
        driver::SubmitFault::NotAppended(cause) => cause,
        driver::SubmitFault::Unsettled => appender::NotAppended::TimedOut,
    };
    job_calls::AcceptReply::NotAccepted(job_calls::AcceptRefusal::NotAppended(cause))
}

fn carry_item(job: id::RequestId, work: &job_fold::JobState) -> jobs::CarryItem {
    jobs::CarryItem {
        job,
        organisation: work.organisation.clone(),
        accepted_ms: work.accepted_ms,
        kept_ms: work.kept_ms,
        bytes: parts::PartedBytes {
            parts: 0,
            hash: base::fingerprint::ContentHash::of(&[]),
            whole: bytes::Bytes::new(),
        },
        stage: work.stage.clone(),
    }
}

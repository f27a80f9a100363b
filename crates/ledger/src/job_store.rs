//! Appends and reads the deferrable jobs of one partition.

use std::{collections, sync};

use base::id;
use futures_util::future;
use tokio::time;

use crate::client::LogClient;
use crate::{appender, claim_calls, driver, job_calls, job_fold, jobs, partition, parts, record};

/// Settings of a [`JobStore`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobSettings {
    /// Limits of jobs; the times must be equal in all processes.
    pub limits: jobs::JobLimits,
    /// Limits of the group commit.
    pub append: appender::AppendLimits,
}

/// The deferrable jobs of one partition. Dropping the store stops its tasks.
pub struct JobStore<C> {
    driver: driver::FoldDriver<C, job_fold::JobFold>,
    settings: JobSettings,
    /// Jobs that this process is currently claiming, so that concurrent requests get different
    /// jobs.
    reserved: sync::Mutex<collections::HashSet<id::RequestId>>,
}

/// A job that is being claimed, with the position of the state in which it was found.
struct ReservedJob<'a, C: LogClient> {
    store: &'a JobStore<C>,
    seen: u64,
    grant: job_calls::JobGrant,
}

/// Ends the reservation, also when the request is cancelled; the job would otherwise be withheld
/// from all later requests.
impl<C: LogClient> Drop for ReservedJob<'_, C> {
    fn drop(&mut self) {
        self.store.reserved().remove(&self.grant.job);
    }
}

impl<C: LogClient> JobStore<C> {
    /// Starts reading the partition's stream. All operations wait until it was read to its end.
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

    /// Whether the partition's stream was read to its end at least once.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        self.driver.is_loaded()
    }

    /// Accepts a job. Replies once the job is on the log.
    pub async fn accept(&self, request: job_calls::AcceptRequest) -> job_calls::AcceptReply {
        let deadline = deadline_of(request.wait_ms);
        let size = request.body.len();
        let full = self
            .driver
            .view(|state| state.fold.held_bytes() + size > self.settings.limits.max_held_bytes);
        if full {
            return job_calls::AcceptReply::NotAccepted(job_calls::AcceptRefusal::Full);
        }
        let Some(seen) = self.driver.loaded_position(deadline).await else {
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
            // `Stale` is the verdict of this fold; a fold that has read for longer may have
            // accepted.
            Ok(_) | Err(driver::SubmitError::Unsettled) => job_calls::AcceptReply::Unknown,
            Err(error) => not_accepted(error),
        }
    }

    /// Claims the oldest job that nobody holds.
    pub async fn take_next(&self, request: job_calls::TakeRequest) -> job_calls::TakeReply {
        let deadline = deadline_of(request.wait_ms);
        if self.driver.loaded_position(deadline).await.is_none() {
            return job_calls::TakeReply::Unavailable;
        }
        let Some(reserved_job) = self.reserve_next(&request) else {
            return job_calls::TakeReply::Nothing;
        };
        let job = reserved_job.grant.job;
        let entry = jobs::JobEntry::Claim(jobs::JobClaimItem {
            job,
            holder: request.holder,
            hold_ms: reserved_job.grant.hold_ms,
        });
        let submitted = self
            .driver
            .submit(
                reserved_job.grant.claim,
                &entry,
                reserved_job.seen,
                deadline,
            )
            .await;
        match submitted {
            Ok(jobs::JobVerdict::Taken) => job_calls::TakeReply::Taken(reserved_job.grant.clone()),
            Ok(_) => job_calls::TakeReply::Nothing,
            Err(_) => job_calls::TakeReply::Unavailable,
        }
    }

    /// Renews the claims of a holder.
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

    /// Releases a job.
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

    /// Records a result. Replies once the fold has decided whether the result is stored.
    pub async fn finish(&self, request: job_calls::FinishRequest) -> job_calls::FinishReply {
        let deadline = deadline_of(request.wait_ms);
        let seen = self.driver.position();
        let split_bytes = self
            .put_parts(request.entry, request.result, deadline)
            .await;
        let Ok(result) = split_bytes else {
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

    /// Returns the state of a job. `NotFound` is returned only after a read up to the log's end:
    /// otherwise the caller of a job that another process has just accepted would get `NotFound`.
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

    /// Records that the caller has received the result, which may then expire earlier.
    pub async fn record_fetch(&self, entry: id::RecordId, job: id::RequestId, wait_ms: u64) {
        let item = jobs::JobEntry::Fetched(jobs::FetchedItem { job });
        let seen = self.driver.position();
        let submitted = self.driver.submit(entry, &item, seen, deadline_of(wait_ms));
        // If the entry is lost, the result is only kept for longer.
        let _ = submitted.await;
    }

    /// Appends the state of up to `max` jobs again that retention would drop soon, and returns
    /// their number. Must be called every few seconds by the entry VM that ranks first.
    pub async fn carry<R: rand::Rng + ?Sized>(&self, rng: &mut R, max: usize) -> usize {
        let due = self.jobs_to_carry(max);
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
        let deadline = deadline_of(CARRY_TIMEOUT_MS);
        match self.put_parts(entry, bytes, deadline).await {
            Ok(split_bytes) => item.bytes = split_bytes,
            Err(_) => return false,
        }
        let entry_item = jobs::JobEntry::Carry(item);
        let submitted = self.driver.submit(entry, &entry_item, seen, deadline);
        matches!(submitted.await, Ok(jobs::JobVerdict::Applied))
    }

    /// Returns the jobs to carry. Without an estimate of the log's clock the oldest job is carried,
    /// because its record provides an estimate.
    fn jobs_to_carry(&self, max: usize) -> Vec<(u64, jobs::CarryItem, bytes::Bytes)> {
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
                .filter_map(|job| fold.get(job).map(|job_state| (job, job_state)))
                .map(|(job, job_state)| {
                    (
                        state.position,
                        carry_item(job, job_state),
                        job_state.bytes.clone(),
                    )
                })
                .collect()
        })
    }

    /// Reserves the oldest job that can be claimed. Without an estimate of the log's clock, held
    /// jobs are candidates too: the fold decides on the claim, and its record provides an estimate.
    fn reserve_next(&self, request: &job_calls::TakeRequest) -> Option<ReservedJob<'_, C>> {
        let now = time::Instant::now();
        let hold_ms = self.settings.limits.hold_ms;
        let mut reserved = self.reserved();
        let (seen, grant) = self.driver.view(|state| {
            let at_ms = state.clock.map_or(u64::MAX, |clock| clock.now_ms(now));
            let (job, job_state) = state.fold.unfinished().find(|(job, job_state)| {
                state.fold.is_free(job_state, at_ms) && !reserved.contains(job)
            })?;
            let grant = job_calls::JobGrant {
                job,
                claim: record::derived_id(request.claim, job.0),
                organisation: job_state.organisation.clone(),
                body: job_state.bytes.clone(),
                hold_ms,
            };
            Some((state.position, grant))
        })?;
        reserved.insert(grant.job);
        Some(ReservedJob {
            store: self,
            seen,
            grant,
        })
    }

    fn find(&self, job: id::RequestId) -> Option<job_calls::FoundJob> {
        self.driver.view(|state| {
            let job_state = state.fold.get(job)?;
            let view = match &job_state.stage {
                jobs::JobStage::Waiting => jobs::JobView::Waiting,
                jobs::JobStage::Held(_) => jobs::JobView::Running,
                jobs::JobStage::Finished(_) => jobs::JobView::Finished(jobs::JobResult {
                    bytes: job_state.bytes.clone(),
                }),
            };
            let organisation = job_state.organisation.clone();
            Some(job_calls::FoundJob { organisation, view })
        })
    }

    async fn put_parts(
        &self,
        owner: id::RecordId,
        bytes: bytes::Bytes,
        deadline: time::Instant,
    ) -> Result<parts::SplitBytes, driver::SubmitError> {
        let (items, split_bytes) = parts::split(owner, bytes, self.settings.limits.part_bytes);
        let puts = items.into_iter().map(|item| async move {
            let part = parts::part_id(&item);
            let entry = jobs::JobEntry::Part(item);
            let seen = self.driver.position();
            self.driver.submit(part, &entry, seen, deadline).await
        });
        for put in future::join_all(puts).await {
            put?;
        }
        Ok(split_bytes)
    }

    fn reserved(&self) -> sync::MutexGuard<'_, collections::HashSet<id::RequestId>> {
        self.reserved
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Timeout for appending one carried state.
const CARRY_TIMEOUT_MS: u64 = 5_000;

fn deadline_of(wait_ms: u64) -> time::Instant {
    time::Instant::now() + time::Duration::from_millis(wait_ms)
}

/// Returns the refusal after a failed append. Parts that may be on the log are harmless: without
/// their owner they expire.
const fn not_accepted(error: driver::SubmitError) -> job_calls::AcceptReply {
    let cause = match error {
        driver::SubmitError::NotAppended(cause) => cause,
        driver::SubmitError::Unsettled => appender::NotAppended::TimedOut,
    };
    job_calls::AcceptReply::NotAccepted(job_calls::AcceptRefusal::NotAppended(cause))
}

fn carry_item(job: id::RequestId, job_state: &job_fold::JobState) -> jobs::CarryItem {
    jobs::CarryItem {
        job,
        organisation: job_state.organisation.clone(),
        accepted_ms: job_state.accepted_ms,
        kept_ms: job_state.kept_ms,
        bytes: parts::SplitBytes {
            parts: 0,
            hash: base::fingerprint::ContentHash::of(&[]),
            whole: bytes::Bytes::new(),
        },
        stage: job_state.stage.clone(),
    }
}

//! Deferrable work of one partition, appended and read by this process.

use std::{collections, sync};

use base::id;
use futures_util::future;
use tokio::time;

use crate::client::LogClient;
use crate::{appender, claim_store, driver, job_fold, jobs, partition, parts, record};

/// Work that is to be accepted. Asking twice, also through two processes, is harmless.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct AcceptRequest {
    /// Id of the entry, drawn by the asker.
    pub entry: id::RecordId,
    /// The request; its id tells the partition.
    pub job: id::RequestId,
    /// The organisation that it belongs to.
    pub organisation: String,
    /// How long its result is kept, in milliseconds.
    pub kept_ms: u64,
    /// What is to be done.
    #[serde(with = "record::base64_bytes")]
    pub body: bytes::Bytes,
    /// How long the asker waits for a reply, in milliseconds.
    pub wait_ms: u64,
}

/// Whether work is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AcceptReply {
    /// It is on the log and will be done.
    Accepted,
    /// It is not accepted, and will not be unless it is asked for again.
    NotAccepted(AcceptRefusal),
    /// It may be accepted; its id tells later.
    Unknown,
}

/// Why work is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AcceptRefusal {
    /// The partition holds as many bytes as it may.
    Full,
    /// The work is not on the log.
    NotAppended(appender::NotAppended),
}

/// Somebody wants work.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct TakeRequest {
    /// Drawn by the asker; every request has another one. The claim's id follows from it and the
    /// work: two processes that are both asked may find different work, and a verdict about the
    /// one must not pass for a verdict about the other.
    pub claim: id::RecordId,
    /// Name of the entry VM that wants to do the work.
    pub holder: String,
    /// How long the asker waits for a reply, in milliseconds.
    pub wait_ms: u64,
}

/// What there is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TakeReply {
    /// This work.
    Taken(JobGrant),
    /// Nothing now.
    Nothing,
    /// The log cannot be used now.
    Unavailable,
}

/// Work that a claim holds.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct JobGrant {
    /// The work.
    pub job: id::RequestId,
    /// The claim that holds it.
    pub claim: id::RecordId,
    /// The organisation that it belongs to.
    pub organisation: String,
    /// What is to be done.
    #[serde(with = "record::base64_bytes")]
    pub body: bytes::Bytes,
    /// The holder renews within this time of asking, or stops.
    pub hold_ms: u64,
}

/// Signs of life of one holder for all its work in the partition.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct RenewRequest {
    /// One for each piece of work.
    pub entries: Vec<RenewEntry>,
    /// How long the asker waits for a reply, in milliseconds.
    pub wait_ms: u64,
}

/// A sign of life for one piece of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct RenewEntry {
    /// Id of the entry, drawn by the holder.
    pub entry: id::RecordId,
    /// The work and the claim that holds it.
    pub item: jobs::HolderItem,
}

/// What became of one sign of life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RenewState {
    /// The work is held on, counted from before the request.
    Renewed,
    /// The claim is not the newest one: stop.
    Superseded,
    /// Not known; the earlier time limit stands.
    Unsettled,
}

/// A result. Asking twice is harmless.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct FinishRequest {
    /// Id of the entry, drawn by the holder.
    pub entry: id::RecordId,
    /// The work.
    pub job: id::RequestId,
    /// The claim under which it was done.
    pub claim: id::RecordId,
    /// The whole answer.
    #[serde(with = "record::base64_bytes")]
    pub result: bytes::Bytes,
    /// How long the asker waits for a reply, in milliseconds.
    pub wait_ms: u64,
}

/// What became of a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReply {
    /// It is the one result of the work.
    Kept,
    /// The claim is not the newest one: the result does not count.
    Superseded,
    /// It may not be on the log; report it again.
    NotRecorded,
}

/// What is known of some work.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FetchReply {
    /// It is accepted.
    Found(FoundJob),
    /// It was never accepted, or its time is up.
    NotFound,
    /// The log cannot be read now; the work may be accepted all the same.
    Unavailable,
}

/// Some accepted work.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct FoundJob {
    /// The organisation that it belongs to; nobody else may learn more.
    pub organisation: String,
    /// How far it is.
    pub view: jobs::JobView,
}

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
    grant: JobGrant,
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
    pub async fn accept(&self, request: AcceptRequest) -> AcceptReply {
        let deadline = deadline_of(request.wait_ms);
        let size = request.body.len();
        let full = self
            .driver
            .view(|state| state.fold.held_bytes() + size > self.settings.limits.max_held_bytes);
        if full {
            return AcceptReply::NotAccepted(AcceptRefusal::Full);
        }
        let Some(seen) = self.driver.fresh_position(deadline).await else {
            let cause = appender::NotAppended::NotLoaded;
            return AcceptReply::NotAccepted(AcceptRefusal::NotAppended(cause));
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
            Ok(jobs::JobVerdict::Accepted) => AcceptReply::Accepted,
            // "Stale" is this fold's word: one that has read for longer may have accepted it.
            Ok(_) | Err(driver::SubmitFault::Unsettled) => AcceptReply::Unknown,
            Err(fault) => not_accepted(fault),
        }
    }

    /// Claims the oldest work that nobody does.
    pub async fn take_next(&self, request: TakeRequest) -> TakeReply {
        let deadline = deadline_of(request.wait_ms);
        if self.driver.fresh_position(deadline).await.is_none() {
            return TakeReply::Unavailable;
        }
        let Some(picked) = self.pick(&request) else {
            return TakeReply::Nothing;
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
            Ok(jobs::JobVerdict::Taken) => TakeReply::Taken(picked.grant.clone()),
            Ok(_) => TakeReply::Nothing,
            Err(_) => TakeReply::Unavailable,
        }
    }

    /// Reports that a holder is still at its work.
    pub async fn renew(&self, request: RenewRequest) -> Vec<RenewState> {
        let deadline = deadline_of(request.wait_ms);
        let renewals = request.entries.into_iter().map(|renewal| async move {
            let entry = jobs::JobEntry::Renew(renewal.item);
            let seen = self.driver.position();
            match self
                .driver
                .submit(renewal.entry, &entry, seen, deadline)
                .await
            {
                Ok(jobs::JobVerdict::Renewed) => RenewState::Renewed,
                Ok(_) => RenewState::Superseded,
                Err(_) => RenewState::Unsettled,
            }
        });
        future::join_all(renewals).await
    }

    /// Gives work back.
    pub async fn release(&self, renewal: RenewEntry, wait_ms: u64) -> claim_store::RecordReply {
        let entry = jobs::JobEntry::Release(renewal.item);
        let seen = self.driver.position();
        let submitted = self
            .driver
            .submit(renewal.entry, &entry, seen, deadline_of(wait_ms));
        match submitted.await {
            Ok(_) => claim_store::RecordReply::Recorded,
            Err(_) => claim_store::RecordReply::NotRecorded,
        }
    }

    /// Records a result: the reply comes when the log has decided whether it counts.
    pub async fn finish(&self, request: FinishRequest) -> FinishReply {
        let deadline = deadline_of(request.wait_ms);
        let seen = self.driver.position();
        let parted = self
            .put_parts(request.entry, request.result, deadline)
            .await;
        let Ok(result) = parted else {
            return FinishReply::NotRecorded;
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
            Ok(jobs::JobVerdict::Kept) => FinishReply::Kept,
            Ok(jobs::JobVerdict::Superseded) => FinishReply::Superseded,
            _ => FinishReply::NotRecorded,
        }
    }

    /// What is known of some work. "Not found" is said only after a read that shows the log's end:
    /// work that another process has just accepted would otherwise be denied to its caller.
    pub async fn fetch(&self, job: id::RequestId, wait_ms: u64) -> FetchReply {
        let deadline = deadline_of(wait_ms);
        if let Some(view) = self.find(job) {
            return FetchReply::Found(view);
        }
        if !self.driver.catch_up(deadline).await {
            return FetchReply::Unavailable;
        }
        self.find(job)
            .map_or(FetchReply::NotFound, FetchReply::Found)
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
    fn pick(&self, request: &TakeRequest) -> Option<PickedJob<'_, C>> {
        let now = time::Instant::now();
        let hold_ms = self.settings.limits.hold_ms;
        let mut reserved = self.reserved();
        let (seen, grant) = self.driver.view(|state| {
            let at_ms = state.clock.map_or(u64::MAX, |clock| clock.now_ms(now));
            let (job, work) = state
                .fold
                .open()
                .find(|(job, work)| state.fold.is_free(work, at_ms) && !reserved.contains(job))?;
            let grant = JobGrant {
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

    fn find(&self, job: id::RequestId) -> Option<FoundJob> {
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
            Some(FoundJob { organisation, view })
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
const fn not_accepted(fault: driver::SubmitFault) -> AcceptReply {
    let cause = match fault {
        driver::SubmitFault::NotAppended(cause) => cause,
        driver::SubmitFault::Unsettled => appender::NotAppended::TimedOut,
    };
    AcceptReply::NotAccepted(AcceptRefusal::NotAppended(cause))
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

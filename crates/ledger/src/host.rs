//! The stores of one entry VM and the requests that other entry VMs send to them.

use std::{collections, sync};

use base::id;
use tokio::time;

use crate::client::LogClient;
use crate::{claim_calls, claim_store, job_calls, job_store, partition};

/// A request between entry VMs. Every request may be sent again, also to a third VM: the ids that
/// it contains make a repetition harmless.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(tag = "ask", rename_all = "snake_case")]
pub enum LedgerRequest {
    /// Claims an idempotency key.
    Claim(claim_calls::ClaimRequest),
    /// Records the end of a claim.
    Settle(claim_calls::SettleRequest),
    /// Accepts a job.
    Accept(job_calls::AcceptRequest),
    /// Takes a job.
    Take(PartitionTake),
    /// Renews the claims on jobs.
    Renew(PartitionRenew),
    /// Releases a job.
    Release(ReleaseRequest),
    /// Records the result of a job.
    Finish(job_calls::FinishRequest),
    /// Fetches the state of a job.
    Fetch(FetchRequest),
}

/// A request to take a job from one partition.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct PartitionTake {
    /// The partition.
    pub partition: partition::PartitionIndex,
    /// The request.
    pub request: job_calls::TakeRequest,
}

/// A request to renew claims on jobs of one partition.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct PartitionRenew {
    /// The partition.
    pub partition: partition::PartitionIndex,
    /// The renewals.
    pub request: job_calls::RenewRequest,
}

/// A request to release a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ReleaseRequest {
    /// The job and its claim.
    pub renewal: job_calls::RenewEntry,
    /// Time that the requester waits for a reply, in milliseconds.
    pub wait_ms: u64,
}

/// A request for the state of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct FetchRequest {
    /// Id of the job.
    pub job: id::RequestId,
    /// Time that the requester waits for a reply, in milliseconds.
    pub wait_ms: u64,
}

/// The reply to a [`LedgerRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(tag = "reply", content = "value", rename_all = "snake_case")]
pub enum LedgerReply {
    /// Reply to [`LedgerRequest::Claim`].
    Claim(claim_calls::ClaimReply),
    /// Reply to [`LedgerRequest::Settle`] and [`LedgerRequest::Release`].
    Recorded(claim_calls::RecordReply),
    /// Reply to [`LedgerRequest::Accept`].
    Accept(job_calls::AcceptReply),
    /// Reply to [`LedgerRequest::Take`].
    Take(job_calls::TakeReply),
    /// Reply to [`LedgerRequest::Renew`], in the order of its entries.
    Renew(Vec<job_calls::RenewState>),
    /// Reply to [`LedgerRequest::Finish`].
    Finish(job_calls::FinishReply),
    /// Reply to [`LedgerRequest::Fetch`].
    Fetch(job_calls::FetchReply),
}

impl LedgerRequest {
    /// Returns the stream that the request concerns.
    #[must_use]
    pub fn stream(&self) -> String {
        match self {
            Self::Claim(request) => {
                let partition = partition::of_key(&request.organisation, &request.key);
                partition::claim_stream(partition)
            }
            Self::Settle(request) => {
                let item = &request.item;
                partition::claim_stream(partition::of_key(&item.organisation, &item.key))
            }
            Self::Accept(request) => job_stream(request.job),
            Self::Take(request) => partition::job_stream(request.partition),
            Self::Renew(request) => partition::job_stream(request.partition),
            Self::Release(request) => job_stream(request.renewal.item.job),
            Self::Finish(request) => job_stream(request.job),
            Self::Fetch(request) => job_stream(request.job),
        }
    }
}

impl LedgerReply {
    /// Whether the replying VM could use the log, so that another VM would not reply differently.
    pub(crate) fn could_use_log(&self) -> bool {
        match self {
            Self::Claim(claim_calls::ClaimReply::Refused(refusal)) => !matches!(
                refusal.cause,
                claim_calls::RefusalCause::NotAppended(_) | claim_calls::RefusalCause::Unsettled
            ),
            Self::Recorded(state) => *state == claim_calls::RecordReply::Recorded,
            Self::Accept(state) => !matches!(
                state,
                job_calls::AcceptReply::NotAccepted(job_calls::AcceptRefusal::NotAppended(_))
                    | job_calls::AcceptReply::Unknown
            ),
            Self::Take(state) => *state != job_calls::TakeReply::Unavailable,
            Self::Renew(states) => !states.contains(&job_calls::RenewState::Unsettled),
            Self::Finish(state) => *state != job_calls::FinishReply::NotRecorded,
            Self::Fetch(state) => *state != job_calls::FetchReply::Unavailable,
            Self::Claim(_) => true,
        }
    }

    /// Whether the request may have taken effect on the log in spite of this reply.
    pub(crate) fn may_have_taken_effect(&self) -> bool {
        match self {
            Self::Claim(claim_calls::ClaimReply::Refused(refusal)) => refusal.may_be_on_log,
            Self::Accept(state) => *state == job_calls::AcceptReply::Unknown,
            _ => false,
        }
    }
}

fn job_stream(job: id::RequestId) -> String {
    partition::job_stream(partition::of_request(job))
}

/// Settings of all stores.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostSettings {
    /// Settings of the claim stores.
    pub claims: claim_store::ClaimSettings,
    /// Settings of the job stores.
    pub jobs: job_store::JobSettings,
}

/// A store and the time of its last use.
struct StoreSlot<S> {
    store: sync::Arc<S>,
    last_used: time::Instant,
}

type StoreSlots<S> = sync::Mutex<collections::BTreeMap<partition::PartitionIndex, StoreSlot<S>>>;

/// The stores of one entry VM, opened on first use.
pub struct LedgerHost<C> {
    client: C,
    vm: String,
    settings: HostSettings,
    claims: StoreSlots<claim_store::ClaimStore<C>>,
    jobs: StoreSlots<job_store::JobStore<C>>,
}

/// Time without use after which a store is closed. Stores that this VM ranks for are used by every
/// call of [`LedgerHost::maintain`] and stay open.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// Number of entry VMs that keep reading a partition: the appender and one standby.
const READERS_PER_PARTITION: usize = 2;
/// Maximum number of jobs of one partition that one call of [`LedgerHost::maintain`] appends again.
const MAX_CARRIED_JOBS: usize = 64;

impl<C: LogClient> LedgerHost<C> {
    /// Creates a host without open stores.
    pub fn new(client: C, vm: impl Into<String>, settings: HostSettings) -> Self {
        Self {
            client,
            vm: vm.into(),
            settings,
            claims: StoreSlots::default(),
            jobs: StoreSlots::default(),
        }
    }

    /// Returns the name of this entry VM.
    #[must_use]
    pub fn vm(&self) -> &str {
        &self.vm
    }

    /// Returns the settings of the stores.
    #[must_use]
    pub const fn settings(&self) -> &HostSettings {
        &self.settings
    }

    /// Executes the request on the store of its partition.
    pub async fn handle(&self, request: LedgerRequest) -> LedgerReply {
        match request {
            LedgerRequest::Claim(request) => {
                let partition = partition::of_key(&request.organisation, &request.key);
                LedgerReply::Claim(self.claim_store(partition).claim(request).await)
            }
            LedgerRequest::Settle(request) => {
                let item = &request.item;
                let partition = partition::of_key(&item.organisation, &item.key);
                LedgerReply::Recorded(self.claim_store(partition).settle(request).await)
            }
            LedgerRequest::Accept(request) => {
                let store = self.job_store_of(request.job);
                LedgerReply::Accept(store.accept(request).await)
            }
            LedgerRequest::Take(take) => {
                let store = self.job_store(take.partition);
                LedgerReply::Take(store.take_next(take.request).await)
            }
            LedgerRequest::Renew(renew) => {
                let store = self.job_store(renew.partition);
                LedgerReply::Renew(store.renew(renew.request).await)
            }
            LedgerRequest::Release(request) => {
                let store = self.job_store_of(request.renewal.item.job);
                let released = store.release(request.renewal, request.wait_ms).await;
                LedgerReply::Recorded(released)
            }
            LedgerRequest::Finish(request) => {
                let store = self.job_store_of(request.job);
                LedgerReply::Finish(store.finish(request).await)
            }
            LedgerRequest::Fetch(request) => {
                let store = self.job_store_of(request.job);
                LedgerReply::Fetch(store.fetch(request.job, request.wait_ms).await)
            }
        }
    }

    /// Opens the stores that this VM ranks for among `live`, closes idle ones that it does not rank
    /// for, and appends jobs again that retention would drop. Must be called every few seconds.
    pub async fn maintain<R: rand::Rng + ?Sized>(&self, live: &[String], rng: &mut R) {
        for index in 0..partition::CLAIM_PARTITIONS {
            let partition = partition::PartitionIndex(index);
            let stream = partition::claim_stream(partition);
            if self.rank(&stream, live).is_some() {
                self.claim_store(partition);
            }
        }
        for index in 0..partition::JOB_PARTITIONS {
            let partition = partition::PartitionIndex(index);
            let stream = partition::job_stream(partition);
            match self.rank(&stream, live) {
                Some(0) => {
                    self.job_store(partition).carry(rng, MAX_CARRIED_JOBS).await;
                }
                Some(_) => {
                    self.job_store(partition);
                }
                None => {}
            }
        }
        close_idle(&self.claims);
        close_idle(&self.jobs);
    }

    fn rank(&self, stream: &str, live: &[String]) -> Option<usize> {
        let names = live.iter().map(String::as_str);
        partition::appenders(stream, names, READERS_PER_PARTITION)
            .iter()
            .position(|name| *name == self.vm)
    }

    fn claim_store(
        &self,
        partition: partition::PartitionIndex,
    ) -> sync::Arc<claim_store::ClaimStore<C>> {
        get_or_open(&self.claims, partition, || {
            let settings = self.settings.claims.clone();
            claim_store::ClaimStore::open(self.client.clone(), partition, &self.vm, settings)
        })
    }

    fn job_store(&self, partition: partition::PartitionIndex) -> sync::Arc<job_store::JobStore<C>> {
        get_or_open(&self.jobs, partition, || {
            let settings = self.settings.jobs.clone();
            job_store::JobStore::open(self.client.clone(), partition, &self.vm, settings)
        })
    }

    fn job_store_of(&self, job: id::RequestId) -> sync::Arc<job_store::JobStore<C>> {
        self.job_store(partition::of_request(job))
    }
}

fn get_or_open<S>(
    slots: &StoreSlots<S>,
    partition: partition::PartitionIndex,
    open: impl FnOnce() -> S,
) -> sync::Arc<S> {
    let mut slots = slots.lock().unwrap_or_else(sync::PoisonError::into_inner);
    let last_used = time::Instant::now();
    let slot = slots.entry(partition).or_insert_with(|| StoreSlot {
        store: sync::Arc::new(open()),
        last_used,
    });
    slot.last_used = last_used;
    sync::Arc::clone(&slot.store)
}

fn close_idle<S>(slots: &StoreSlots<S>) {
    let mut slots = slots.lock().unwrap_or_else(sync::PoisonError::into_inner);
    let now = time::Instant::now();
    slots.retain(|_, slot| now.duration_since(slot.last_used) < IDLE_TIMEOUT);
}

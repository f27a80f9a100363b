//! The stores that one entry VM keeps, and what other entry VMs may ask of them.

use std::{collections, sync};

use base::id;
use tokio::time;

use crate::client::LogClient;
use crate::{claim_calls, claim_store, job_calls, job_store, partition};

/// What one entry VM asks of another. Every request may be sent again, also to a third: the ids
/// inside make the repetition harmless.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(tag = "ask", rename_all = "snake_case")]
pub enum LedgerRequest {
    /// A key is claimed.
    Claim(claim_calls::ClaimRequest),
    /// A claim has ended.
    Settle(claim_calls::SettleRequest),
    /// Work is to be accepted.
    Accept(job_calls::AcceptRequest),
    /// Work is wanted.
    Take(PartitionTake),
    /// A holder is still at its work.
    Renew(PartitionRenew),
    /// Work is given back.
    Release(ReleaseRequest),
    /// Work is done.
    Finish(job_calls::FinishRequest),
    /// Work is asked about.
    Fetch(FetchRequest),
}

/// Work is wanted from one partition.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct PartitionTake {
    /// The partition.
    pub partition: partition::PartitionIndex,
    /// Who wants it.
    pub request: job_calls::TakeRequest,
}

/// Signs of life for work of one partition.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct PartitionRenew {
    /// The partition.
    pub partition: partition::PartitionIndex,
    /// The signs of life.
    pub request: job_calls::RenewRequest,
}

/// Work is given back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ReleaseRequest {
    /// The work and its claim.
    pub renewal: job_calls::RenewEntry,
    /// How long the asker waits for a reply, in milliseconds.
    pub wait_ms: u64,
}

/// Work is asked about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct FetchRequest {
    /// The work.
    pub job: id::RequestId,
    /// How long the asker waits for a reply, in milliseconds.
    pub wait_ms: u64,
}

/// The reply to a [`LedgerRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(tag = "reply", content = "value", rename_all = "snake_case")]
pub enum LedgerReply {
    /// To a claim.
    Claim(claim_calls::ClaimReply),
    /// To an end of a claim, or to work given back.
    Recorded(claim_calls::RecordReply),
    /// To work offered.
    Accept(job_calls::AcceptReply),
    /// To a wish for work.
    Take(job_calls::TakeReply),
    /// To signs of life, in their order.
    Renew(Vec<job_calls::RenewState>),
    /// To a result.
    Finish(job_calls::FinishReply),
    /// To a question about work.
    Fetch(job_calls::FetchReply),
}

impl LedgerRequest {
    /// The stream that the request is about.
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
    /// Whether the replying VM could use the log, so that asking another one would not help.
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

    /// Whether the replying VM may have put on the log what was asked.
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
    /// For claims.
    pub claims: claim_store::ClaimSettings,
    /// For deferrable work.
    pub jobs: job_store::JobSettings,
}

/// A store and when it was last asked.
struct StoreSlot<S> {
    store: sync::Arc<S>,
    asked: time::Instant,
}

type StoreSlots<S> = sync::Mutex<collections::BTreeMap<partition::PartitionIndex, StoreSlot<S>>>;

/// The stores of one entry VM, opened when they are first asked.
pub struct LedgerHost<C> {
    client: C,
    vm: String,
    settings: HostSettings,
    claims: StoreSlots<claim_store::ClaimStore<C>>,
    jobs: StoreSlots<job_store::JobStore<C>>,
}

/// A store that this VM does not rank for is closed when it was not asked for this long.
const IDLE_LIMIT: time::Duration = time::Duration::from_secs(60);
/// Entry VMs that keep a partition read: the one that appends, and one that would take over.
const READERS: usize = 2;
/// Work of one partition that one call of [`LedgerHost::maintain`] carries.
const MAX_CARRIES: usize = 64;

impl<C: LogClient> LedgerHost<C> {
    /// A host without stores.
    pub fn new(client: C, vm: impl Into<String>, settings: HostSettings) -> Self {
        Self {
            client,
            vm: vm.into(),
            settings,
            claims: StoreSlots::default(),
            jobs: StoreSlots::default(),
        }
    }

    /// Name of this entry VM.
    #[must_use]
    pub fn vm(&self) -> &str {
        &self.vm
    }

    /// The settings of its stores.
    #[must_use]
    pub const fn settings(&self) -> &HostSettings {
        &self.settings
    }

    /// Does what is asked, through the store of the partition.
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
                let store = self.store_of(request.job);
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
                let store = self.store_of(request.renewal.item.job);
                let released = store.release(request.renewal, request.wait_ms).await;
                LedgerReply::Recorded(released)
            }
            LedgerRequest::Finish(request) => {
                let store = self.store_of(request.job);
                LedgerReply::Finish(store.finish(request).await)
            }
            LedgerRequest::Fetch(request) => {
                let store = self.store_of(request.job);
                LedgerReply::Fetch(store.fetch(request.job, request.wait_ms).await)
            }
        }
    }

    /// Opens the stores that this VM ranks for among `live`, closes idle ones that it does not
    /// rank for, and carries work that retention would drop. To be called every few seconds.
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
                    self.job_store(partition).carry(rng, MAX_CARRIES).await;
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
        partition::appenders(stream, names, READERS)
            .iter()
            .position(|name| *name == self.vm)
    }

    fn claim_store(
        &self,
        partition: partition::PartitionIndex,
    ) -> sync::Arc<claim_store::ClaimStore<C>> {
        slot_store(&self.claims, partition, || {
            let settings = self.settings.claims.clone();
            claim_store::ClaimStore::open(self.client.clone(), partition, &self.vm, settings)
        })
    }

    fn job_store(&self, partition: partition::PartitionIndex) -> sync::Arc<job_store::JobStore<C>> {
        slot_store(&self.jobs, partition, || {
            let settings = self.settings.jobs.clone();
            job_store::JobStore::open(self.client.clone(), partition, &self.vm, settings)
        })
    }

    fn store_of(&self, job: id::RequestId) -> sync::Arc<job_store::JobStore<C>> {
        self.job_store(partition::of_request(job))
    }
}

fn slot_store<S>(
    slots: &StoreSlots<S>,
    partition: partition::PartitionIndex,
    open: impl FnOnce() -> S,
) -> sync::Arc<S> {
    let mut slots = slots.lock().unwrap_or_else(sync::PoisonError::into_inner);
    let asked = time::Instant::now();
    let slot = slots.entry(partition).or_insert_with(|| StoreSlot {
        store: sync::Arc::new(open()),
        asked,
    });
    slot.asked = asked;
    sync::Arc::clone(&slot.store)
}

fn close_idle<S>(slots: &StoreSlots<S>) {
    let mut slots = slots.lock().unwrap_or_else(sync::PoisonError::into_inner);
    let now = time::Instant::now();
    slots.retain(|_, slot| now.duration_since(slot.asked) < IDLE_LIMIT);
}
